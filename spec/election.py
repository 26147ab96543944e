"""Model of leader election and log replication among three replicas.

Checked properties: a term has one leader at most, and no committed entry is lost.
A replica may lose its disk. A new identity on an empty disk then replaces it, after
which another replica may lose its disk. A request and its answer are one step; a
leader may act on an answer at any later step.
"""

import itertools
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Bounds", "Rules", "build_election_protocol"]

N_REPLICAS = 3
QUORUM = 2
NOBODY = -1
FOLLOWER, CANDIDATE, LEADER = range(3)


class Rules(NamedTuple):
    """Rules of the protocol; each weakened protocol leaves one out.

    Parameters
    ----------
    vote_is_synced : bool
        A restarted replica remembers its vote.
    log_is_synced : bool
        A replica syncs entries before it answers.
    requires_log_as_new : bool
        A replica votes only for a candidate whose log is as new as its own.
    commits_own_term_only : bool
        A leader commits by counting replicas only entries of its own term.
    new_identity_per_disk : bool
        A replica with an empty disk gets a new identity, which counts in no quorum
        until it replaces the old one.
    catches_up_first : bool
        A new replica votes only after it holds the leader's log.
    """

    vote_is_synced: bool = True
    log_is_synced: bool = True
    requires_log_as_new: bool = True
    commits_own_term_only: bool = True
    new_identity_per_disk: bool = True
    catches_up_first: bool = True


class Bounds(NamedTuple):
    """Bounds of the state space; only `candidates` stand for election."""

    max_term: int
    max_log: int
    max_restarts: int
    max_losses: int
    candidates: tuple[int, ...] = tuple(range(N_REPLICAS))


class _Replica(NamedTuple):
    term: int = 0
    vote: int = NOBODY
    log: tuple[int, ...] = ()
    n_synced: int = 0
    role: int = FOLLOWER
    granted: frozenset[int] = frozenset()
    match_lengths: tuple[int, ...] = (0,) * N_REPLICAS
    identity: int = 0


class _State(NamedTuple):
    replicas: tuple[_Replica, ...]
    members: tuple[int, ...]  # identity of the member at each index
    committed: tuple[tuple[int, int], ...]  # term of the entry, term of its commit
    leaders: tuple[int, ...]  # index of the leader of each term
    n_restarts: int
    n_losses: int
    violation: str


def _with_replicas(state: _State, **replicas: _Replica) -> _State:
    new_replicas = list(state.replicas)
    for key, replica in replicas.items():
        new_replicas[int(key[1:])] = replica
    return state._replace(replicas=tuple(new_replicas))


def _is_member(state: _State, replica_index: int) -> bool:
    """Return whether the replica at an index is a member."""
    return state.replicas[replica_index].identity == state.members[replica_index]


def _start_candidacy(state: _State, replica_index: int, bounds: Bounds) -> list:
    replica = state.replicas[replica_index]
    if replica.term >= bounds.max_term or not _is_member(state, replica_index):
        return []
    if replica_index not in bounds.candidates:
        return []
    candidate_after = replica._replace(
        term=replica.term + 1,
        vote=replica_index,
        role=CANDIDATE,
        granted=frozenset((replica_index,)),
        match_lengths=(0,) * N_REPLICAS,
    )
    return [
        (
            f"start_candidacy {replica_index}",
            _with_replicas(state, **{f"r{replica_index}": candidate_after}),
        )
    ]


def _grant_vote(state: _State, replica_index: int, voter: int, rules: Rules) -> list:
    candidate, voter_replica = state.replicas[replica_index], state.replicas[voter]
    if candidate.role != CANDIDATE or not _is_member(state, voter):
        return []
    same_term = voter_replica.term == candidate.term and voter_replica.vote in (
        NOBODY,
        replica_index,
    )
    if voter_replica.term >= candidate.term and not same_term:
        return []
    if rules.requires_log_as_new and _compute_log_age(candidate.log) < _compute_log_age(
        voter_replica.log
    ):
        return []
    voter_after = voter_replica._replace(
        term=candidate.term, vote=replica_index, role=FOLLOWER, granted=frozenset()
    )
    candidate_after = candidate._replace(granted=candidate.granted | {voter})
    new = _with_replicas(
        state, **{f"r{replica_index}": candidate_after, f"r{voter}": voter_after}
    )
    if len(candidate_after.granted) >= QUORUM:
        new = _become_leader(new, replica_index)
    return [(f"grant {replica_index} {voter}", new)]


def _compute_log_age(log: tuple[int, ...]) -> tuple[int, int]:
    return (log[-1] if log else 0, len(log))


def _become_leader(state: _State, replica_index: int) -> _State:
    """Make a candidate the leader; it may act as such at any later step."""
    replica = state.replicas[replica_index]
    leader_after = replica._replace(role=LEADER, granted=frozenset())
    new = _with_replicas(state, **{f"r{replica_index}": leader_after})
    leaders = list(state.leaders)
    if leaders[replica.term] not in (NOBODY, replica_index):
        return new._replace(violation="two leaders in a term")
    leaders[replica.term] = replica_index
    survived = all(
        entry_index < len(replica.log) and replica.log[entry_index] == term
        for entry_index, (term, commit_term) in enumerate(state.committed)
        if commit_term < replica.term
    )
    violation = "" if survived else "a committed entry is lost"
    return new._replace(leaders=tuple(leaders), violation=violation)


def _append_entry(state: _State, replica_index: int, bounds: Bounds) -> list:
    replica = state.replicas[replica_index]
    if replica.role != LEADER or len(replica.log) >= bounds.max_log:
        return []
    log = (*replica.log, replica.term)
    appended = replica._replace(log=log, n_synced=len(log))
    return [
        (
            f"append {replica_index}",
            _with_replicas(state, **{f"r{replica_index}": appended}),
        )
    ]


def _replicate_log(
    state: _State, replica_index: int, other_index: int, rules: Rules
) -> list:
    leader, follower = state.replicas[replica_index], state.replicas[other_index]
    if leader.role != LEADER or follower.term > leader.term:
        return []
    steps = []
    for length in range(1, len(leader.log) + 1):
        sent = leader.log[:length]
        agrees = follower.log[:length] == sent
        log = follower.log if agrees else sent
        n_synced = len(log) if rules.log_is_synced else min(follower.n_synced, len(log))
        match_lengths = list(leader.match_lengths)
        match_lengths[other_index] = (
            max(match_lengths[other_index], length)
            if _is_member(state, other_index)
            else 0
        )
        follower_after = follower._replace(
            term=leader.term,
            vote=follower.vote if follower.term == leader.term else NOBODY,
            log=log,
            n_synced=n_synced,
            role=FOLLOWER,
            granted=frozenset(),
        )
        updated_leader = leader._replace(match_lengths=tuple(match_lengths))
        new = _with_replicas(
            state,
            **{f"r{replica_index}": updated_leader, f"r{other_index}": follower_after},
        )
        steps.append((f"replicate {replica_index} {other_index} {length}", new))
    return steps


def _commit_entries(state: _State, replica_index: int, rules: Rules) -> list:
    leader = state.replicas[replica_index]
    if leader.role != LEADER:
        return []
    steps = []
    for length in range(len(state.committed) + 1, len(leader.log) + 1):
        if rules.commits_own_term_only and leader.log[length - 1] != leader.term:
            continue
        holds_entries = [
            leader.match_lengths[p] >= length or p == replica_index
            for p in range(N_REPLICAS)
        ]
        if sum(holds_entries) < QUORUM:
            continue
        added = [(t, leader.term) for t in leader.log[len(state.committed) : length]]
        new = state._replace(committed=(*state.committed, *added))
        steps.append((f"commit {replica_index} {length}", new))
    return steps


def _restart_replica(
    state: _State, replica_index: int, rules: Rules, bounds: Bounds
) -> list:
    if state.n_restarts >= bounds.max_restarts:
        return []
    replica = state.replicas[replica_index]
    restarted = replica._replace(
        vote=replica.vote if rules.vote_is_synced else NOBODY,
        log=replica.log[: replica.n_synced],
        role=FOLLOWER,
        granted=frozenset(),
        match_lengths=(0,) * N_REPLICAS,
    )
    new = _with_replicas(state, **{f"r{replica_index}": restarted})
    return [(f"restart {replica_index}", new._replace(n_restarts=state.n_restarts + 1))]


def _lose_disk(state: _State, replica_index: int, rules: Rules, bounds: Bounds) -> list:
    """Lose the disk of a replica, unless a lost disk is yet to be replaced."""
    all_members = all(_is_member(state, p) for p in range(N_REPLICAS))
    if state.n_losses >= bounds.max_losses or not all_members:
        return []
    identity = state.replicas[replica_index].identity + int(rules.new_identity_per_disk)
    new = _with_replicas(state, **{f"r{replica_index}": _Replica(identity=identity)})
    return [(f"lose {replica_index}", new._replace(n_losses=state.n_losses + 1))]


def _replace_member(
    state: _State, replica_index: int, other_index: int, rules: Rules
) -> list:
    """Make the new identity at an index a member.

    The change needs a quorum of the old members and one of the new members, as do
    the steps that `spec.membership` checks.
    """
    leader, joining = state.replicas[replica_index], state.replicas[other_index]
    if leader.role != LEADER or _is_member(state, other_index):
        return []
    in_same_term = [
        p for p in range(N_REPLICAS) if state.replicas[p].term == leader.term
    ]
    old = [p for p in in_same_term if _is_member(state, p)]
    commits = any(commit_term == leader.term for _, commit_term in state.committed)
    if len(old) < QUORUM or not commits:
        return []
    if rules.catches_up_first and joining.log != leader.log:
        return []
    members = list(state.members)
    members[other_index] = joining.identity
    return [(f"replace {other_index}", state._replace(members=tuple(members)))]


def build_election_protocol(rules: Rules, bounds: Bounds) -> Protocol:
    """Return the protocol under some rules, within some bounds."""

    def transitions(values: tuple) -> list:
        state = _State(*values)
        if state.violation:
            return []
        steps = []
        for replica_index in range(N_REPLICAS):
            steps += _start_candidacy(state, replica_index, bounds)
            steps += _append_entry(state, replica_index, bounds)
            steps += _commit_entries(state, replica_index, rules)
            steps += _restart_replica(state, replica_index, rules, bounds)
            steps += _lose_disk(state, replica_index, rules, bounds)
        for replica_index, other_index in itertools.permutations(range(N_REPLICAS), 2):
            steps += _grant_vote(state, replica_index, other_index, rules)
            steps += _replicate_log(state, replica_index, other_index, rules)
            steps += _replace_member(state, replica_index, other_index, rules)
        return [(label, tuple(new)) for label, new in steps]

    initial = _State(
        replicas=(_Replica(),) * N_REPLICAS,
        members=(0,) * N_REPLICAS,
        committed=(),
        leaders=(NOBODY,) * (bounds.max_term + 1),
        n_restarts=0,
        n_losses=0,
        violation="",
    )
    return Protocol(
        name="election",
        candidate=False,
        fields=_State._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "one_leader_per_term": lambda s: s["violation"] != "two leaders in a term",
            "committed_entries_survive": lambda s: (
                s["violation"] != "a committed entry is lost"
            ),
        },
    )
