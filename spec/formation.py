"""Model of how three initial keepers form a cluster with a single replicated log.

Disks may be lost at any step. Each member has an identity that is bound to its
disk. The first member asks all members for their identities and whether they have
taken part in a log. It begins a log when none has; the log lists its members by
identity. A member that loses its disk returns with another identity and without
data. A member whose process ends before it has the log may forget who the members
are. It answers the others, but another one has to begin the log in its place, which
asks all members once more before.

A log is committed when two of its members have it. After that, a second committed log
would lose the contents of the first. A replica accepts entries only if the log lists
its identity; `spec.membership` shows why.

Setting a field of `Rules` to False removes one rule from the protocol. Each of
these weakened protocols has a counterexample.
"""

from typing import Any, NamedTuple

from minicheck import Protocol

__all__ = ["MAX_LOST", "N_MEMBERS", "Rules", "build_formation_protocol"]

N_MEMBERS = 3
QUORUM = 2
# The protocol has to tolerate the loss of one disk at any step.
MAX_LOST = 1

Log = tuple[int, ...]  # identity of each member, by member index


class Rules(NamedTuple):
    """Rules that ensure there is only one committed log.

    Parameters
    ----------
    waits_for_all : bool
        A log is begun only after every initial member has answered.
    reports_participation : bool
        A member that has taken part in a log reports so.
    only_first_begins : bool
        Only the first of the members that know all members begins a log.
    asks_again : bool
        A member that begins the log in place of an earlier one has asked all members
        after it had found that it is to do so.
    forgets_answers_on_restart : bool
        A member forgets the answers it received when its process ends.
    """

    waits_for_all: bool = True
    reports_participation: bool = True
    only_first_begins: bool = True
    asks_again: bool = True
    forgets_answers_on_restart: bool = True


class Answer(NamedTuple):
    """What a member says of itself.

    Parameters
    ----------
    identity : int
    has_taken_part : bool
        Whether it has taken part in a log.
    knows_members : bool
        Whether it knows all members, so that it can begin a log.
    """

    identity: int
    has_taken_part: bool
    knows_members: bool


class Replica(NamedTuple):
    """One member: its identity, its log, and the answers it received.

    Parameters
    ----------
    identity : int
    log : tuple of int or None
    answers : tuple of Answer or None
        By member index.
    knows_members : bool
    asks_again : bool
        Whether it has found that it is to begin the log, and asks once more.
    """

    identity: int
    log: Log | None
    answers: tuple[Answer | None, ...]
    knows_members: bool = True
    asks_again: bool = False


class State(NamedTuple):
    """State of all members; `committed` has each log that was ever committed."""

    replicas: tuple[Replica, ...]
    committed: frozenset[Log]
    n_lost: int


_NO_ANSWERS = (None,) * N_MEMBERS
INITIAL = State(
    tuple(
        Replica(member_index, None, _NO_ANSWERS) for member_index in range(N_MEMBERS)
    ),
    frozenset(),
    0,
)


def build_formation_protocol(rules: Rules) -> Protocol:
    """Return the protocol under some rules."""
    return Protocol(
        name="formation",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: [
            (label, tuple(next_state))
            for label, next_state in _list_transitions(State(*state), rules)
        ],
        invariants={"one_log": lambda d: len(d["committed"]) <= 1},
    )


def _list_transitions(state: State, rules: Rules) -> list[tuple[str, State]]:
    steps = []
    for member_index in range(N_MEMBERS):
        if state.replicas[member_index].knows_members:
            steps += _ask_identity(state, member_index, rules)
            steps += _begin_log(state, member_index, rules)
        steps += _replicate_log(state, member_index)
        steps += _restart_member(state, member_index, rules)
        steps += _lose_disk(state, member_index, rules)
    return [(label, _record_committed_logs(next_state)) for label, next_state in steps]


def _ask_identity(state: State, asker: int, rules: Rules) -> list[tuple[str, State]]:
    replica = state.replicas[asker]
    if replica.log is not None:
        return []
    steps = []
    for member_index, other in enumerate(state.replicas):
        answer = Answer(
            other.identity,
            rules.reports_participation and other.log is not None,
            other.knows_members,
        )
        answers = _replace_at(replica.answers, member_index, answer)
        asker_after = replica._replace(answers=answers)
        steps.append(
            (f"ask_{asker}_{member_index}", _replace_replica(state, asker, asker_after))
        )
    return steps


def _begin_log(
    state: State, member_index: int, rules: Rules
) -> list[tuple[str, State]]:
    replica = state.replicas[member_index]
    received_answers = [answer for answer in replica.answers if answer is not None]
    n_needed = N_MEMBERS if rules.waits_for_all else QUORUM
    if replica.log is not None or len(received_answers) < n_needed:
        return []
    if any(answer.has_taken_part for answer in received_answers):
        return []
    if rules.only_first_begins and any(
        answer is None or answer.knows_members
        for answer in replica.answers[:member_index]
    ):
        return []
    if member_index and rules.asks_again and not replica.asks_again:
        asking = replica._replace(answers=_NO_ANSWERS, asks_again=True)
        return [
            (f"ask_again_{member_index}", _replace_replica(state, member_index, asking))
        ]
    log = tuple(-1 if answer is None else answer.identity for answer in replica.answers)
    log = _replace_at(log, member_index, replica.identity)
    return [
        (
            f"begin_{member_index}",
            _replace_replica(state, member_index, replica._replace(log=log)),
        )
    ]


def _replicate_log(state: State, sender: int) -> list[tuple[str, State]]:
    log = state.replicas[sender].log
    steps = []
    for member_index, other in enumerate(state.replicas):
        if log is None or other.log is not None or log[member_index] != other.identity:
            continue
        log_accepted = _replace_replica(state, member_index, other._replace(log=log))
        steps.append((f"replicate_{sender}_{member_index}", log_accepted))
    return steps


def _restart_member(
    state: State, member_index: int, rules: Rules
) -> list[tuple[str, State]]:
    """Restart a process, which may know the members afterwards or not."""
    replica = state.replicas[member_index]
    restarted = _forget_answers(replica, rules)
    steps = []
    for knows_members in (False, True)[: 1 + replica.knows_members]:
        after = restarted._replace(knows_members=knows_members)
        if after != replica:
            label = f"restart_{member_index}_{'able' if knows_members else 'unable'}"
            steps.append((label, _replace_replica(state, member_index, after)))
    return steps


def _lose_disk(
    state: State, member_index: int, rules: Rules
) -> list[tuple[str, State]]:
    if state.n_lost >= MAX_LOST:
        return []
    steps = []
    replica = state.replicas[member_index]
    for knows_members in (False, True)[: 1 + replica.knows_members]:
        empty_replica = _forget_answers(replica, rules)._replace(
            identity=N_MEMBERS + state.n_lost, log=None, knows_members=knows_members
        )
        disk_lost = _replace_replica(state, member_index, empty_replica)._replace(
            n_lost=state.n_lost + 1
        )
        label = f"lose_disk_{member_index}_{'able' if knows_members else 'unable'}"
        steps.append((label, disk_lost))
    return steps


def _forget_answers(replica: Replica, rules: Rules) -> Replica:
    """Return a replica without what its process knew of the others."""
    if not rules.forgets_answers_on_restart:
        return replica
    return replica._replace(answers=_NO_ANSWERS, asks_again=False)


def _record_committed_logs(state: State) -> State:
    """Record each log that two of the members it lists have."""
    committed = set(state.committed)
    for log in {replica.log for replica in state.replicas if replica.log is not None}:
        holders = [
            member_index
            for member_index, replica in enumerate(state.replicas)
            if replica.log == log and log[member_index] in (replica.identity, -1)
        ]
        if len(holders) >= QUORUM:
            committed.add(log)
    return state._replace(committed=frozenset(committed))


def _replace_replica(state: State, member_index: int, replica: Replica) -> State:
    return state._replace(replicas=_replace_at(state.replicas, member_index, replica))


def _replace_at(values: tuple, index: int, value: Any) -> tuple:
    return (*values[:index], value, *values[index + 1 :])
