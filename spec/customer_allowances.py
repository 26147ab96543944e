"""Model of parts of one customer's limit, granted by leaders in turn and returned.

The leader's bucket holds one part and fills within `FILL` ticks. An entry uses a part
within `LIFE` ticks of its grant, or returns it. It states what it holds in total, so a
return is never lost and may be heard several times. What the bucket has filled in place
of a part is not added again when the part comes back. The bucket of a new leader is
empty, and parts that another leader has granted do not fill it. The property: in no
`WINDOW` ticks more is used than one leader alone could have granted for them.

What entries without a leader use is not in the model. It is bounded by a part of their
share and a time, and is charged to the next leader.

Setting a field of `Rules` to False removes one rule from the protocol. Each of these
weakened protocols has a counterexample.
"""

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["MOST_USED", "Rules", "build_allowances_protocol"]

# Ticks in which a bucket fills, for which a part may be used, and of the window.
FILL = 2
LIFE = 2
WINDOW = 4
# Parts that one leader can grant so that they are used within one window.
MOST_USED = (WINDOW - 1 + LIFE) // FILL + 1
# Enough changes for each of two leaders to come back.
MAX_CHANGES = 3
# Parts that may be out at once, and on their way back, in the model.
MAX_OUT = 4
MAX_RETURNING = 3


class Rules(NamedTuple):
    """Rules that keep the use within the limit.

    Parameters
    ----------
    parts_expire : bool
        An entry does not use a part that it has had for too long.
    starts_empty : bool
        The bucket of a new leader is empty.
    grants_as_leader : bool
        A process that leads no more grants nothing.
    counts_returns_once : bool
        A return that is heard again puts nothing back.
    counts_replaced : bool
        What the bucket has filled in place of a part is not added again.
    """

    parts_expire: bool = True
    starts_empty: bool = True
    grants_as_leader: bool = True
    counts_returns_once: bool = True
    counts_replaced: bool = True


class State(NamedTuple):
    """State of two processes that lead in turn, of the parts and of their use.

    Parameters
    ----------
    fills : tuple of int
        How far each bucket has filled; -1 for a process that never led.
    leader : int
    n_changes : int
    own : tuple of int
        Ages of the parts that are held and that the leader has granted.
    foreign : tuple of int
        Ages of the parts that are held and that others have granted.
    n_returning : int
        Number of parts that the leader has not heard of as returned.
    n_replaced : int
        What the leader's bucket has filled in place of parts that are out.
    uses : tuple of int
        Ages of the uses within the window.
    is_over : bool
        Whether ever too much was used.
    """

    fills: tuple[int, int]
    leader: int
    n_changes: int
    own: tuple[int, ...]
    foreign: tuple[int, ...]
    n_returning: int
    n_replaced: int
    uses: tuple[int, ...]
    is_over: bool


INITIAL = State((0, -1), 0, 0, (), (), 0, 0, (), False)


def build_allowances_protocol(rules: Rules) -> Protocol:
    """Return the protocol under some rules."""
    return Protocol(
        name="customer_allowances",
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
    if state.is_over:
        return []
    steps = [("tick", _tick(state, rules))]
    if state.n_changes < MAX_CHANGES:
        steps.append(("change", _change_leader(state, rules)))
    has_room = len(state.own) + len(state.foreign) < MAX_OUT
    for index, fill in enumerate(state.fills):
        may_grant = index == state.leader or not rules.grants_as_leader
        if may_grant and fill == FILL and has_room:
            steps.append((f"grant_{index}", _grant(state, index)))
    for kind in ("own", "foreign"):
        for age in sorted(set(getattr(state, kind))):
            steps.append((f"use_{kind}_{age}", _use(state, kind, age)))
    if state.n_returning < MAX_RETURNING:
        for age in sorted(set(state.own)):
            returned = _remove(state, "own", age)
            returned = returned._replace(n_returning=state.n_returning + 1)
            steps.append((f"return_{age}", returned))
    if state.n_returning:
        heard = _hear_return(state, rules)
        steps.append(("hear_return", heard))
        if not rules.counts_returns_once:
            again = heard._replace(n_returning=state.n_returning)
            steps.append(("hear_again", again))
    return steps


def _tick(state: State, rules: Rules) -> State:
    fills = tuple(min(FILL, fill + 1) if fill >= 0 else fill for fill in state.fills)
    own = tuple(min(LIFE, age + 1) for age in state.own)
    foreign = tuple(min(LIFE, age + 1) for age in state.foreign)
    n_expired = 0
    if rules.parts_expire:
        own = tuple(age + 1 for age in state.own if age < LIFE)
        foreign = tuple(age + 1 for age in state.foreign if age < LIFE)
        n_expired = len(state.own) - len(own)
    uses = tuple(age + 1 for age in state.uses if age + 1 < WINDOW)
    n_returning = min(MAX_RETURNING, state.n_returning + n_expired)
    state = state._replace(
        fills=fills, own=own, foreign=foreign, uses=uses, n_returning=n_returning
    )
    n_out = FILL * (len(own) + n_returning)
    n_over = fills[state.leader] + n_out - FILL
    return state._replace(n_replaced=min(n_out, max(state.n_replaced, n_over)))


def _change_leader(state: State, rules: Rules) -> State:
    state = state._replace(
        leader=1 - state.leader,
        n_changes=state.n_changes + 1,
        own=(),
        foreign=tuple(sorted((*state.foreign, *state.own))),
        n_returning=0,
        n_replaced=0,
    )
    return _set_fill(state, state.leader, 0 if rules.starts_empty else FILL)


def _grant(state: State, index: int) -> State:
    state = _set_fill(state, index, 0)
    if index == state.leader:
        return state._replace(own=tuple(sorted((0, *state.own))))
    return state._replace(foreign=tuple(sorted((0, *state.foreign))))


def _hear_return(state: State, rules: Rules) -> State:
    n_replaced = min(FILL, state.n_replaced) if rules.counts_replaced else 0
    fill = min(FILL, state.fills[state.leader] + FILL - n_replaced)
    state = _set_fill(state, state.leader, fill)
    return _limit_replaced(
        state._replace(
            n_returning=state.n_returning - 1, n_replaced=state.n_replaced - n_replaced
        )
    )


def _use(state: State, kind: str, age: int) -> State:
    uses = (*state.uses, 0)
    is_over = len(uses) > MOST_USED
    state = _remove(state, kind, age)._replace(uses=uses[-MOST_USED:], is_over=is_over)
    return _limit_replaced(state)


def _limit_replaced(state: State) -> State:
    n_out = FILL * (len(state.own) + state.n_returning)
    return state._replace(n_replaced=min(state.n_replaced, n_out))


def _remove(state: State, kind: str, age: int) -> State:
    rest = list(getattr(state, kind))
    rest.remove(age)
    return state._replace(**{kind: tuple(rest)})


def _set_fill(state: State, index: int, fill: int) -> State:
    fills = (fill, state.fills[1]) if index == 0 else (state.fills[0], fill)
    return state._replace(fills=fills)
