"""How three initial keepers begin one log, with disks lost at any step.

Each has an identity that is bound to its disk. The first of them asks all for
their identities and whether they have taken part in a log, and begins one when
nobody has; the log names its members by identity. A member that loses its disk
comes back as another identity, with nothing. The log is committed once two of its
members hold it, and from then on another committed log would lose what it holds.
Entries are taken only by the replica that the log names; `membership` shows why.

A `Rules` field set to False leaves out one rule of the protocol; each of these
weakened protocols has a counterexample.
"""

from typing import Any, NamedTuple

from minicheck import Protocol

__all__ = ["MAX_LOST", "N_MEMBERS", "Rules", "formation"]

N_MEMBERS = 3
QUORUM = 2
# The loss of one disk is to be borne at once.
MAX_LOST = 1

Log = tuple[int, ...]  # the identities of its members, by name


class Rules(NamedTuple):
    """The rules that keep the log the only one.

    Parameters
    ----------
    asks_all : bool
        A log is begun only when every initial member has answered.
    tells_of_log : bool
        A member that has taken part in a log says so.
    one_begins : bool
        Only the first member begins a log.
    forgets_answers : bool
        What was answered is forgotten when the process ends.
    """

    asks_all: bool = True
    tells_of_log: bool = True
    one_begins: bool = True
    forgets_answers: bool = True


class Replica(NamedTuple):
    """One member: its identity, its log, and what others answered it.

    Parameters
    ----------
    identity : int
    log : tuple of int or None
    answers : tuple of (int, bool) or None
        Identity and whether it had taken part, by name.
    """

    identity: int
    log: Log | None
    answers: tuple[tuple[int, bool] | None, ...]


class State(NamedTuple):
    """The whole system; `committed` are all logs that ever were."""

    replicas: tuple[Replica, ...]
    committed: frozenset[Log]
    n_lost: int


_NO_ANSWERS = (None,) * N_MEMBERS
INITIAL = State(
    tuple(Replica(name, None, _NO_ANSWERS) for name in range(N_MEMBERS)),
    frozenset(),
    0,
)


def formation(rules: Rules) -> Protocol:
    """Return the protocol under some rules, to be checked for safety."""
    return Protocol(
        name="formation",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: [
            (label, tuple(following))
            for label, following in _steps(State(*state), rules)
        ],
        invariants={"one_log": lambda d: len(d["committed"]) <= 1},
    )


def _steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    steps = []
    for name in range(N_MEMBERS):
        if name == 0 or not rules.one_begins:
            steps += _ask(state, name, rules)
            steps += _begin(state, name, rules)
        steps += _replicate(state, name)
        steps += _restart(state, name, rules)
        steps += _lose_disk(state, name, rules)
    return [(label, _commit(following)) for label, following in steps]


def _ask(state: State, asker: int, rules: Rules) -> list[tuple[str, State]]:
    replica = state.replicas[asker]
    if replica.log is not None:
        return []
    steps = []
    for name, other in enumerate(state.replicas):
        answer = (other.identity, rules.tells_of_log and other.log is not None)
        answers = _put(replica.answers, name, answer)
        asked = replica._replace(answers=answers)
        steps.append((f"ask_{asker}_{name}", _with(state, asker, asked)))
    return steps


def _begin(state: State, name: int, rules: Rules) -> list[tuple[str, State]]:
    replica = state.replicas[name]
    given = [each for each in replica.answers if each is not None]
    n_needed = N_MEMBERS if rules.asks_all else QUORUM
    if replica.log is not None or len(given) < n_needed:
        return []
    if any(has_taken_part for _, has_taken_part in given):
        return []
    log = tuple(-1 if each is None else each[0] for each in replica.answers)
    log = _put(log, name, replica.identity)
    return [(f"begin_{name}", _with(state, name, replica._replace(log=log)))]


def _replicate(state: State, sender: int) -> list[tuple[str, State]]:
    log = state.replicas[sender].log
    steps = []
    for name, other in enumerate(state.replicas):
        if log is None or other.log is not None or log[name] != other.identity:
            continue
        taken = _with(state, name, other._replace(log=log))
        steps.append((f"replicate_{sender}_{name}", taken))
    return steps


def _restart(state: State, name: int, rules: Rules) -> list[tuple[str, State]]:
    replica = state.replicas[name]
    answers = _NO_ANSWERS if rules.forgets_answers else replica.answers
    if answers == replica.answers:
        return []
    return [(f"restart_{name}", _with(state, name, replica._replace(answers=answers)))]


def _lose_disk(state: State, name: int, rules: Rules) -> list[tuple[str, State]]:
    if state.n_lost >= MAX_LOST:
        return []
    answers = _NO_ANSWERS if rules.forgets_answers else state.replicas[name].answers
    empty = Replica(N_MEMBERS + state.n_lost, None, answers)
    lost = _with(state, name, empty)._replace(n_lost=state.n_lost + 1)
    return [(f"lose_disk_{name}", lost)]


def _commit(state: State) -> State:
    """Note each log that two of the members that it names hold."""
    committed = set(state.committed)
    for log in {each.log for each in state.replicas if each.log is not None}:
        holders = [
            name
            for name, replica in enumerate(state.replicas)
            if replica.log == log and log[name] in (replica.identity, -1)
        ]
        if len(holders) >= QUORUM:
            committed.add(log)
    return state._replace(committed=frozenset(committed))


def _with(state: State, name: int, replica: Replica) -> State:
    return state._replace(replicas=_put(state.replicas, name, replica))


def _put(values: tuple, at: int, value: Any) -> tuple:
    return (*values[:at], value, *values[at + 1 :])
