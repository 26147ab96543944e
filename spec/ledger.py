"""Model of an agent's memory ledger and its orders to one engine.

Two versions of a model take two memory units each; the engine has three units and
executes every order it gets. Copies of orders in transit may be lost, duplicated or
delayed. Answers may be lost. The agent's process may restart while orders are in
transit. An order has expired when no copy of it is in transit any more; the agent
learns of this only because enough time has passed.

Setting a field of `Rules` to False removes one rule from the protocol. Each of
these weakened protocols has a counterexample.
"""

from typing import Any, NamedTuple

from minicheck import Protocol

__all__ = [
    "MAX_DUPLICATES",
    "MAX_ORDERS",
    "MAX_RESTARTS",
    "Rules",
    "build_ledger_protocol",
]

# Memory of the engine, in units.
CAPACITY_UNITS = 3
# Memory of each model version, in units; only one version fits at a time.
MODEL_UNITS = 2
MODELS = (0, 1)
# Bounds of the state space.
MAX_ORDERS = 3
MAX_RESENDS = 1
MAX_DUPLICATES = 1
MAX_RESTARTS = 1

# Reservation of memory for a model, as the agent keeps it.
FREE = "free"
LOADING = "loading"
READY = "ready"
UNLOADING = "unloading"
UNCERTAIN = "uncertain"


class Rules(NamedTuple):
    """Rules that keep the engine within its memory.

    Parameters
    ----------
    counts_reservations : bool
        A load is ordered only if it fits beside all reserved memory, not just
        beside what the engine reports as loaded.
    keeps_unanswered : bool
        Memory for a load stays reserved when no answer comes.
    frees_after_read : bool
        An unload frees memory when the engine reports that the model is gone, not
        when the unload is ordered.
    keeps_uncertain : bool
        Without fencing, memory stays reserved until the load order has expired.
    waits_after_restart : bool
        Without fencing, a new process loads nothing until the orders of the
        previous process have expired.
    reads_after_expiry : bool
        Reserved memory is freed by a read of the engine's state after the order
        has expired, not by the passing of time alone.
    raises_fence_first : bool
        With fencing, a new process raises the fence before it reads the engine's
        state.
    """

    counts_reservations: bool = True
    keeps_unanswered: bool = True
    frees_after_read: bool = True
    keeps_uncertain: bool = True
    waits_after_restart: bool = True
    reads_after_expiry: bool = True
    raises_fence_first: bool = True


class Copy(NamedTuple):
    """One copy of an order in transit."""

    order_id: int
    op: str
    model: int
    fence: int


class State(NamedTuple):
    """State of the engine, the orders in transit, and the agent.

    Parameters
    ----------
    loaded : tuple of bool
        Whether the engine has each model loaded.
    fence : int
        Highest fencing number that the engine has seen.
    completed_ids : tuple of int
        Orders that the engine has executed.
    in_transit : tuple of Copy
        Sorted, because the order does not matter: copies may overtake each other.
    reservations : tuple of str
        The agent's reservation for each model.
    pending_ids : tuple of int
        The agent's pending order for each model; 0 for none.
    agent_fence : int
        Fencing number that the agent sends with its orders.
    awaits_expiry : bool
        Whether orders of the previous process may still arrive.
    last_foreign_id : int
        Orders up to this id were sent by previous processes.
    n_orders, n_resends, n_duplicates, n_restarts : int
    """

    loaded: tuple[bool, ...] = (False, False)
    fence: int = 0
    completed_ids: tuple[int, ...] = ()
    in_transit: tuple[Copy, ...] = ()
    reservations: tuple[str, ...] = (FREE, FREE)
    pending_ids: tuple[int, ...] = (0, 0)
    agent_fence: int = 0
    awaits_expiry: bool = False
    last_foreign_id: int = 0
    n_orders: int = 0
    n_resends: int = 0
    n_duplicates: int = 0
    n_restarts: int = 0


Step = tuple[str, State]


def _replace_at(values: tuple, index: int, value: Any) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _set_reservation(
    state: State, model: int, reservation: str, order_id: int = 0
) -> State:
    return state._replace(
        reservations=_replace_at(state.reservations, model, reservation),
        pending_ids=_replace_at(state.pending_ids, model, order_id),
    )


def _send_copy(state: State, copy: Copy) -> State:
    return state._replace(in_transit=tuple(sorted((*state.in_transit, copy))))


def _fits(state: State, rules: Rules) -> bool:
    if state.awaits_expiry:
        return False
    occupied = state.loaded
    if rules.counts_reservations:
        occupied = [reservation != FREE for reservation in state.reservations]
    return MODEL_UNITS * sum(occupied) + MODEL_UNITS <= CAPACITY_UNITS


def _send_orders(state: State, rules: Rules) -> list[Step]:
    """Order a load or an unload, or resend a pending order."""
    steps = []
    order_id = state.n_orders + 1
    may_order = state.n_orders < MAX_ORDERS
    for model in MODELS:
        reservation = state.reservations[model]
        if may_order and reservation == FREE and _fits(state, rules):
            copy = Copy(order_id, "load", model, state.agent_fence)
            ordered = _set_reservation(state, model, LOADING, order_id)
            steps.append(
                ("load", _send_copy(ordered, copy)._replace(n_orders=order_id))
            )
        if may_order and reservation == READY:
            copy = Copy(order_id, "unload", model, state.agent_fence)
            reservation = UNLOADING if rules.frees_after_read else FREE
            ordered = _set_reservation(state, model, reservation, order_id)
            steps.append(
                ("unload", _send_copy(ordered, copy)._replace(n_orders=order_id))
            )
        if reservation in (LOADING, UNLOADING) and state.n_resends < MAX_RESENDS:
            op = "load" if reservation == LOADING else "unload"
            copy = Copy(state.pending_ids[model], op, model, state.agent_fence)
            resent = _send_copy(state, copy)._replace(n_resends=state.n_resends + 1)
            steps.append(("resend", resent))
        if reservation == LOADING and not rules.keeps_unanswered:
            steps.append(("give_up", _set_reservation(state, model, FREE)))
    return steps


def _deliver_copies(state: State, rules: Rules, fenced: bool) -> list[Step]:
    """Lose a copy, duplicate it, or deliver it to the engine."""
    steps = []
    for index, copy in enumerate(state.in_transit):
        remaining = state._replace(
            in_transit=state.in_transit[:index] + state.in_transit[index + 1 :]
        )
        steps.append(("lose", remaining))
        if state.n_duplicates < MAX_DUPLICATES:
            duplicated = _send_copy(state, copy)._replace(
                n_duplicates=state.n_duplicates + 1
            )
            steps.append(("duplicate", duplicated))
        executed = _execute_order(remaining, copy, fenced)
        steps.append(("deliver_answer_lost", executed))
        if state.pending_ids[copy.model] == copy.order_id:
            steps.append(
                ("deliver", _read_model_state(executed, copy.model, rules, fenced))
            )
    return steps


def _execute_order(state: State, copy: Copy, fenced: bool) -> State:
    if fenced and (copy.fence < state.fence or copy.order_id in state.completed_ids):
        return state
    completed_ids = (
        tuple(sorted({*state.completed_ids, copy.order_id})) if fenced else ()
    )
    return state._replace(
        loaded=_replace_at(state.loaded, copy.model, copy.op == "load"),
        fence=max(state.fence, copy.fence),
        completed_ids=completed_ids,
    )


def _read_model_state(state: State, model: int, rules: Rules, fenced: bool) -> State:
    """Let the agent read a model's state, which ends any pending order for it."""
    if state.loaded[model]:
        return _set_reservation(state, model, READY)
    if fenced or not rules.keeps_uncertain or state.reservations[model] == FREE:
        return _set_reservation(state, model, FREE)
    return _set_reservation(state, model, UNCERTAIN)


def _read_states(state: State, rules: Rules, fenced: bool) -> list[Step]:
    """Read the state of a model, or learn that orders have expired."""
    steps = []
    for model in MODELS:
        reservation = state.reservations[model]
        if reservation in (FREE, READY, UNCERTAIN):
            steps.append(("read", _read_model_state(state, model, rules, fenced)))
        load_in_transit = any(
            c.model == model and c.op == "load" for c in state.in_transit
        )
        if reservation == UNCERTAIN and not load_in_transit:
            steps.append(("expire", _expire_orders(state, (model,), rules)))
    foreign_in_transit = any(
        copy.order_id <= state.last_foreign_id for copy in state.in_transit
    )
    if state.awaits_expiry and not foreign_in_transit:
        free_models = tuple(m for m in MODELS if state.reservations[m] == FREE)
        expired = _expire_orders(state, free_models, rules)
        steps.append(("expire_previous_process", expired._replace(awaits_expiry=False)))
    return steps


def _expire_orders(state: State, models: tuple[int, ...], rules: Rules) -> State:
    """Free memory reserved for late orders, unless the engine reports it in use."""
    for model in models:
        is_loaded = rules.reads_after_expiry and state.loaded[model]
        state = _set_reservation(state, model, READY if is_loaded else FREE)
    return state


def _restart_agent(state: State, rules: Rules, fenced: bool) -> list[Step]:
    """Start a new agent process, which knows only what the engine reports."""
    if state.n_restarts == MAX_RESTARTS:
        return []
    fence = state.fence + 1 if fenced and rules.raises_fence_first else state.fence
    reservations = tuple(READY if loaded else FREE for loaded in state.loaded)
    return [
        (
            "restart",
            state._replace(
                fence=fence,
                agent_fence=fence,
                reservations=reservations,
                pending_ids=(0, 0),
                awaits_expiry=not fenced and rules.waits_after_restart,
                last_foreign_id=state.n_orders,
                n_restarts=state.n_restarts + 1,
            ),
        )
    ]


def build_ledger_protocol(rules: Rules, fenced: bool) -> Protocol:
    """Return the protocol under `rules`; if `fenced`, the engine checks fences."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = [
            *_send_orders(state, rules),
            *_deliver_copies(state, rules, fenced),
            *_read_states(state, rules, fenced),
            *_restart_agent(state, rules, fenced),
        ]
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="ledger",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "within_capacity": lambda d: (
                MODEL_UNITS * sum(d["loaded"]) <= CAPACITY_UNITS
            ),
            "never_replaced": lambda d: (
                not (d["loaded"][1] and d["reservations"][0] == FREE)
            ),
        },
    )
