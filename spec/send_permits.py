"""Model of permits to send to one limited server, granted by leaders in turn.

The leader's bucket holds one permit and fills within `FILL` ticks. A permit is used
within `LIFE` ticks of its grant, or never. The bucket of a new leader is empty. The
property: in no `WINDOW` ticks the server gets more requests than one leader alone could
have granted for them.

Setting a field of `Rules` to False removes one rule from the protocol. Each of these
weakened protocols has a counterexample.
"""

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["MOST_ARRIVALS", "Rules", "build_permits_protocol"]

# Ticks in which a bucket fills, for which a permit may be used, and of the window.
FILL = 2
LIFE = 2
WINDOW = 4
# Permits that one leader can grant so that they are used within one window.
MOST_ARRIVALS = (WINDOW - 1 + LIFE) // FILL + 1
# Enough changes for each of two leaders to come back.
MAX_CHANGES = 3
# Permits that may be out at once in the model.
MAX_OUT = 4


class Rules(NamedTuple):
    """Rules that keep requests within the limit.

    Parameters
    ----------
    permits_expire : bool
        An entry does not use a permit that it has had for too long.
    starts_empty : bool
        The bucket of a new leader is empty.
    grants_as_leader : bool
        A process that leads no more grants nothing.
    """

    permits_expire: bool = True
    starts_empty: bool = True
    grants_as_leader: bool = True


class State(NamedTuple):
    """State of two processes that lead in turn, of the permits and of the server.

    Parameters
    ----------
    fills : tuple of int
        How far each bucket has filled; -1 for a process that never led.
    leader : int
    n_changes : int
    permits : tuple of int
        Ages of the permits that were granted and not used.
    arrivals : tuple of int
        Ages of the server's requests within the window.
    is_over : bool
        Whether the server ever got too many.
    """

    fills: tuple[int, int]
    leader: int
    n_changes: int
    permits: tuple[int, ...]
    arrivals: tuple[int, ...]
    is_over: bool


INITIAL = State((0, -1), 0, 0, (), (), False)


def build_permits_protocol(rules: Rules) -> Protocol:
    """Return the protocol under some rules."""
    return Protocol(
        name="send_permits",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: [
            (label, tuple(next_state))
            for label, next_state in _list_transitions(State(*state), rules)
        ],
        invariants={"within_limit": lambda d: not d["is_over"]},
    )


def _list_transitions(state: State, rules: Rules) -> list[tuple[str, State]]:
    steps = [("tick", _tick(state, rules))]
    if state.n_changes < MAX_CHANGES:
        steps.append(("change", _change_leader(state, rules)))
    for index, fill in enumerate(state.fills):
        may_grant = index == state.leader or not rules.grants_as_leader
        if may_grant and fill == FILL and len(state.permits) < MAX_OUT:
            steps.append((f"grant_{index}", _grant(state, index)))
    for age in sorted(set(state.permits)):
        steps.append((f"use_{age}", _use(state, age)))
    return steps


def _tick(state: State, rules: Rules) -> State:
    fills = tuple(min(FILL, fill + 1) if fill >= 0 else fill for fill in state.fills)
    permits = tuple(min(LIFE, age + 1) for age in state.permits)
    if rules.permits_expire:
        permits = tuple(age + 1 for age in state.permits if age < LIFE)
    arrivals = tuple(age + 1 for age in state.arrivals if age + 1 < WINDOW)
    return state._replace(fills=fills, permits=permits, arrivals=arrivals)


def _change_leader(state: State, rules: Rules) -> State:
    leader = 1 - state.leader
    fill = 0 if rules.starts_empty else FILL
    fills = (fill, state.fills[1]) if leader == 0 else (state.fills[0], fill)
    return state._replace(leader=leader, fills=fills, n_changes=state.n_changes + 1)


def _grant(state: State, index: int) -> State:
    fills = (0, state.fills[1]) if index == 0 else (state.fills[0], 0)
    return state._replace(fills=fills, permits=(*state.permits, 0))


def _use(state: State, age: int) -> State:
    permits = list(state.permits)
    permits.remove(age)
    arrivals = (*state.arrivals, 0)
    is_over = state.is_over or len(arrivals) > MOST_ARRIVALS
    return state._replace(
        permits=tuple(permits), arrivals=arrivals[-MOST_ARRIVALS:], is_over=is_over
    )
