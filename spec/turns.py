"""Model of keepers that lead in turn and give orders to one engine.

An election needs a quorum whose logs are no newer than the candidate's, and the new
leader appends an entry of its term. It acts once a quorum has that entry. A keeper that
leads compares the term of the last entry before its own with its last term. If they
differ, another keeper may have given orders since; it then waits until a lease after
its own last order. The property: no keeper orders again within a lease of its own order
if another keeper has ordered in between.

Setting a field of `Rules` to False removes one rule from the protocol. Each of these
weakened protocols has a counterexample.
"""

from typing import Any, NamedTuple

from minicheck import Protocol

__all__ = ["LEASE", "MAX_TERM", "N_KEEPERS", "Rules", "build_turns_protocol"]

N_KEEPERS = 3
QUORUM = 2
# Ticks of the clock in which keepers may not take turns.
LEASE = 2
# Enough terms for a first leader, another one, and the first one twice.
MAX_TERM = 4
# Age of an order that counts no more, or that was never given.
OLD = LEASE


class Rules(NamedTuple):
    """Rules that keep keepers from taking turns.

    Parameters
    ----------
    waits : bool
        A keeper waits if another one may have given orders since it led.
    acts_with_quorum : bool
        A leader acts only once a quorum has an entry of its term.
    keeps_earlier_orders : bool
        A keeper that is elected twice in a row goes on to wait.
    """

    waits: bool = True
    acts_with_quorum: bool = True
    keeps_earlier_orders: bool = True


class Keeper(NamedTuple):
    """One keeper.

    Parameters
    ----------
    last_term : int
        Term of the last entry of its log.
    led_term : int
        Term that it led last; 0 for none.
    own_age, earlier_age : int
        Ticks since its last order in the terms since another keeper led, and before
        that; at most `OLD`.
    """

    last_term: int = 0
    led_term: int = 0
    own_age: int = OLD
    earlier_age: int = OLD


class State(NamedTuple):
    """State of all keepers and of the engine.

    `orders` has the keeper and the age of each of the engine's recent orders; of
    successive orders of one keeper only the last.
    """

    keepers: tuple[Keeper, ...]
    term: int
    leader: int
    orders: tuple[tuple[int, int], ...]
    took_turns: bool


INITIAL = State((Keeper(),) * N_KEEPERS, 0, -1, (), False)


def build_turns_protocol(rules: Rules) -> Protocol:
    """Return the protocol under some rules."""
    return Protocol(
        name="turns",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: [
            (label, tuple(next_state))
            for label, next_state in _list_transitions(State(*state), rules)
        ],
        invariants={"no_turns": lambda d: not d["took_turns"]},
    )


def _list_transitions(state: State, rules: Rules) -> list[tuple[str, State]]:
    steps = [("tick", _tick(state))]
    for index in range(N_KEEPERS):
        if state.term < MAX_TERM and _can_win(state, index):
            steps.append((f"elect_{index}", _elect(state, index, rules)))
        if state.leader not in (-1, index):
            steps.append((f"replicate_{index}", _replicate(state, index)))
    if state.leader >= 0 and _may_order(state, rules):
        steps.append(("order", _order(state)))
    return steps


def _tick(state: State) -> State:
    keepers = tuple(
        keeper._replace(
            own_age=min(OLD, keeper.own_age + 1),
            earlier_age=min(OLD, keeper.earlier_age + 1),
        )
        for keeper in state.keepers
    )
    orders = tuple((index, age + 1) for index, age in state.orders if age + 1 < LEASE)
    return state._replace(keepers=keepers, orders=orders)


def _can_win(state: State, index: int) -> bool:
    """Return whether a quorum, the candidate included, would vote for it."""
    last_term = state.keepers[index].last_term
    n_votes = sum(keeper.last_term <= last_term for keeper in state.keepers)
    return n_votes >= QUORUM


def _elect(state: State, index: int, rules: Rules) -> State:
    keeper, term = state.keepers[index], state.term + 1
    if keeper.last_term != keeper.led_term:
        earlier_age = min(keeper.earlier_age, keeper.own_age)
        keeper = keeper._replace(own_age=OLD, earlier_age=earlier_age)
    elif not rules.keeps_earlier_orders:
        keeper = keeper._replace(earlier_age=OLD)
    keeper = keeper._replace(last_term=term, led_term=term)
    keepers = _replace_at(state.keepers, index, keeper)
    return state._replace(keepers=keepers, term=term, leader=index)


def _replicate(state: State, index: int) -> State:
    """Copy the leader's log to another keeper."""
    keeper = state.keepers[index]._replace(last_term=state.term)
    return state._replace(keepers=_replace_at(state.keepers, index, keeper))


def _may_order(state: State, rules: Rules) -> bool:
    n_copies = sum(keeper.last_term == state.term for keeper in state.keepers)
    if rules.acts_with_quorum and n_copies < QUORUM:
        return False
    return not rules.waits or state.keepers[state.leader].earlier_age >= LEASE


def _order(state: State) -> State:
    index = state.leader
    keeper = state.keepers[index]._replace(own_age=0)
    has_own_before = any(other == index for other, _ in state.orders[:-1])
    is_last_own = bool(state.orders) and state.orders[-1][0] == index
    orders = (state.orders[:-1] if is_last_own else state.orders) + ((index, 0),)
    return state._replace(
        keepers=_replace_at(state.keepers, index, keeper),
        orders=orders,
        took_turns=state.took_turns or (has_own_before and not is_last_own),
    )


def _replace_at(items: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*items[:index], value, *items[index + 1 :])
