"""The protocol of the memory ledger and the orders to one engine.

Two versions of a model, of two units each, and an engine of three units that
takes whatever it is told. Copies of orders wait on the way, where they may be
lost, doubled or late; answers may be lost; the agent's process may be restarted
with orders still on their way. An order's life is over once no copy of it is on
the way, which the agent learns only by the time that has passed.

A `Rules` field set to False leaves out one rule of the protocol; each of these
weakened protocols has a counterexample.
"""

from typing import Any, NamedTuple

from minicheck import Protocol

__all__ = ["MAX_DOUBLES", "MAX_ORDERS", "MAX_RESTARTS", "Rules", "ledger"]

CAPACITY = 3
SIZE = 2
MODELS = (0, 1)
MAX_ORDERS = 3
MAX_RESENDS = 1
MAX_DOUBLES = 1
MAX_RESTARTS = 1

FREE = "free"
LOADING = "loading"
READY = "ready"
UNLOADING = "unloading"
DOUBT = "doubt"


class Rules(NamedTuple):
    """The rules that keep the engine within its memory.

    Parameters
    ----------
    reserves_first : bool
        A load is ordered only when it fits beside all that is reserved, and not
        only beside what the engine shows.
    keeps_uncertain : bool
        A load whose answer does not come stays reserved.
    frees_on_state : bool
        An unload frees bytes once the engine shows the model gone, not once it
        is ordered.
    keeps_doubts : bool
        Without fencing, bytes stay reserved for the life of the load order.
    doubts_after_restart : bool
        Without fencing, a new process loads nothing for the life of an order.
    reads_after_life : bool
        Reserved bytes are freed on a read of the state after an order's life
        is over, not by the time alone.
    raises_fence : bool
        With fencing, a new process raises the fence before it reads the state.
    """

    reserves_first: bool = True
    keeps_uncertain: bool = True
    frees_on_state: bool = True
    keeps_doubts: bool = True
    doubts_after_restart: bool = True
    reads_after_life: bool = True
    raises_fence: bool = True


class Copy(NamedTuple):
    """One copy of an order on its way."""

    order_id: int
    op: str
    model: int
    fence: int


class State(NamedTuple):
    """The engine, the way to it, and the agent.

    Parameters
    ----------
    held : tuple of bool
        What the engine holds, by model.
    fence : int
        Highest fencing number that the engine has seen.
    done : tuple of int
        Orders that the engine has run.
    copies : tuple of Copy
        Sorted, since copies overtake each other.
    accounts : tuple of str
        The agent's account of each model.
    open_ids : tuple of int
        The agent's open order for each model; 0 for none.
    agent_fence : int
    unknown : bool
        Whether orders of the process before may still arrive.
    foreign : int
        Orders up to this id are of the process before.
    n_orders, n_resends, n_doubles, n_restarts : int
    """

    held: tuple[bool, ...] = (False, False)
    fence: int = 0
    done: tuple[int, ...] = ()
    copies: tuple[Copy, ...] = ()
    accounts: tuple[str, ...] = (FREE, FREE)
    open_ids: tuple[int, ...] = (0, 0)
    agent_fence: int = 0
    unknown: bool = False
    foreign: int = 0
    n_orders: int = 0
    n_resends: int = 0
    n_doubles: int = 0
    n_restarts: int = 0


Step = tuple[str, State]


def _set(values: tuple, place: int, value: Any) -> tuple:
    return (*values[:place], value, *values[place + 1 :])


def _account(state: State, model: int, account: str, order_id: int = 0) -> State:
    return state._replace(
        accounts=_set(state.accounts, model, account),
        open_ids=_set(state.open_ids, model, order_id),
    )


def _send(state: State, copy: Copy) -> State:
    return state._replace(copies=tuple(sorted((*state.copies, copy))))


def _fits(state: State, rules: Rules) -> bool:
    if state.unknown:
        return False
    taken = state.held
    if rules.reserves_first:
        taken = [account != FREE for account in state.accounts]
    return SIZE * sum(taken) + SIZE <= CAPACITY


def _orders(state: State, rules: Rules) -> list[Step]:
    """Order a load or an unload, or send an open order again."""
    steps = []
    order_id = state.n_orders + 1
    may_order = state.n_orders < MAX_ORDERS
    for model in MODELS:
        account = state.accounts[model]
        if may_order and account == FREE and _fits(state, rules):
            copy = Copy(order_id, "load", model, state.agent_fence)
            ordered = _account(state, model, LOADING, order_id)
            steps.append(("load", _send(ordered, copy)._replace(n_orders=order_id)))
        if may_order and account == READY:
            copy = Copy(order_id, "unload", model, state.agent_fence)
            account = UNLOADING if rules.frees_on_state else FREE
            ordered = _account(state, model, account, order_id)
            steps.append(("unload", _send(ordered, copy)._replace(n_orders=order_id)))
        if account in (LOADING, UNLOADING) and state.n_resends < MAX_RESENDS:
            op = "load" if account == LOADING else "unload"
            copy = Copy(state.open_ids[model], op, model, state.agent_fence)
            resent = _send(state, copy)._replace(n_resends=state.n_resends + 1)
            steps.append(("resend", resent))
        if account == LOADING and not rules.keeps_uncertain:
            steps.append(("give_up", _account(state, model, FREE)))
    return steps


def _arrivals(state: State, rules: Rules, fenced: bool) -> list[Step]:
    """Lose a copy, double it, or let it reach the engine."""
    steps = []
    for place, copy in enumerate(state.copies):
        left = state._replace(copies=state.copies[:place] + state.copies[place + 1 :])
        steps.append(("lose", left))
        if state.n_doubles < MAX_DOUBLES:
            doubled = _send(state, copy)._replace(n_doubles=state.n_doubles + 1)
            steps.append(("double", doubled))
        run = _run(left, copy, fenced)
        steps.append(("arrive_answer_lost", run))
        if state.open_ids[copy.model] == copy.order_id:
            steps.append(("arrive", _see(run, copy.model, rules, fenced)))
    return steps


def _run(state: State, copy: Copy, fenced: bool) -> State:
    if fenced and (copy.fence < state.fence or copy.order_id in state.done):
        return state
    done = tuple(sorted({*state.done, copy.order_id})) if fenced else ()
    return state._replace(
        held=_set(state.held, copy.model, copy.op == "load"),
        fence=max(state.fence, copy.fence),
        done=done,
    )


def _see(state: State, model: int, rules: Rules, fenced: bool) -> State:
    """Have the agent read the state of a model without an open order."""
    if state.held[model]:
        return _account(state, model, READY)
    if fenced or not rules.keeps_doubts or state.accounts[model] == FREE:
        return _account(state, model, FREE)
    return _account(state, model, DOUBT)


def _reads(state: State, rules: Rules, fenced: bool) -> list[Step]:
    """Read the state, or learn that an order's life is over."""
    steps = []
    for model in MODELS:
        account = state.accounts[model]
        if account in (FREE, READY, DOUBT):
            steps.append(("read", _see(state, model, rules, fenced)))
        on_the_way = any(c.model == model and c.op == "load" for c in state.copies)
        if account == DOUBT and not on_the_way:
            steps.append(("life_over", _end_life(state, (model,), rules)))
    foreign = any(copy.order_id <= state.foreign for copy in state.copies)
    if state.unknown and not foreign:
        unread = tuple(m for m in MODELS if state.accounts[m] == FREE)
        known = _end_life(state, unread, rules)
        steps.append(("unknown_over", known._replace(unknown=False)))
    return steps


def _end_life(state: State, models: tuple[int, ...], rules: Rules) -> State:
    """Free what was reserved for late orders, unless the engine shows it held."""
    for model in models:
        shown = rules.reads_after_life and state.held[model]
        state = _account(state, model, READY if shown else FREE)
    return state


def _restart(state: State, rules: Rules, fenced: bool) -> list[Step]:
    """Start a new process that knows only what the engine shows."""
    if state.n_restarts == MAX_RESTARTS:
        return []
    fence = state.fence + 1 if fenced and rules.raises_fence else state.fence
    accounts = tuple(READY if held else FREE for held in state.held)
    return [
        (
            "restart",
            state._replace(
                fence=fence,
                agent_fence=fence,
                accounts=accounts,
                open_ids=(0, 0),
                unknown=not fenced and rules.doubts_after_restart,
                foreign=state.n_orders,
                n_restarts=state.n_restarts + 1,
            ),
        )
    ]


def ledger(rules: Rules, fenced: bool) -> Protocol:
    """Return the protocol under `rules`, with an engine that checks fences or not."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = [
            *_orders(state, rules),
            *_arrivals(state, rules, fenced),
            *_reads(state, rules, fenced),
            *_restart(state, rules, fenced),
        ]
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="ledger",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "within_capacity": lambda d: SIZE * sum(d["held"]) <= CAPACITY,
            "never_replaced": lambda d: not (d["held"][1] and d["accounts"][0] == FREE),
        },
    )
