"""Election and log: one leader a term, and committed entries survive.

Three replicas, one of which may lose its disk, be replaced by a new identity on
an empty disk, and then another one loses its disk. A request and its answer are
one step; a leader may act on an answer at any later step.
"""

import itertools
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Bounds", "Rules", "election"]

N_REPLICAS = 3
QUORUM = 2
NOBODY = -1
FOLLOWER, CANDIDATE, LEADER = range(3)


class Rules(NamedTuple):
    """The mechanisms; a weakened twin leaves one out.

    Parameters
    ----------
    vote_is_synced : bool
        A restarted replica remembers its vote.
    log_is_synced : bool
        A replica syncs entries before it answers.
    newer_log_needed : bool
        A vote goes only to a log as new as the voter's.
    own_term_commits : bool
        Only entries of the leader's own term are committed by counting.
    new_identity : bool
        An empty disk is a new replica, which no quorum counts.
    catch_up_first : bool
        A new replica votes only after it holds the leader's log.
    """

    vote_is_synced: bool = True
    log_is_synced: bool = True
    newer_log_needed: bool = True
    own_term_commits: bool = True
    new_identity: bool = True
    catch_up_first: bool = True


class Bounds(NamedTuple):
    """How far the search goes; only the candidates stand for election."""

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
    match: tuple[int, ...] = (0,) * N_REPLICAS
    identity: int = 0


class _State(NamedTuple):
    replicas: tuple[_Replica, ...]
    members: tuple[int, ...]  # the identity that counts, for each place
    committed: tuple[tuple[int, int], ...]  # term of the entry, term of its commit
    leaders: tuple[int, ...]  # who led each term
    n_restarts: int
    n_losses: int
    broken: str


def _put(state: _State, **replicas: _Replica) -> _State:
    held = list(state.replicas)
    for name, replica in replicas.items():
        held[int(name[1:])] = replica
    return state._replace(replicas=tuple(held))


def _counts(state: _State, place: int) -> bool:
    """Return whether the replica at a place is a member."""
    return state.replicas[place].identity == state.members[place]


def _stand(state: _State, place: int, bounds: Bounds) -> list:
    replica = state.replicas[place]
    if replica.term >= bounds.max_term or not _counts(state, place):
        return []
    if place not in bounds.candidates:
        return []
    standing = replica._replace(
        term=replica.term + 1,
        vote=place,
        role=CANDIDATE,
        granted=frozenset((place,)),
        match=(0,) * N_REPLICAS,
    )
    return [(f"stand {place}", _put(state, **{f"r{place}": standing}))]


def _grant(state: _State, place: int, voter: int, rules: Rules) -> list:
    candidate, other = state.replicas[place], state.replicas[voter]
    if candidate.role != CANDIDATE or not _counts(state, voter):
        return []
    same_term = other.term == candidate.term and other.vote in (NOBODY, place)
    if other.term >= candidate.term and not same_term:
        return []
    if rules.newer_log_needed and _age(candidate.log) < _age(other.log):
        return []
    granting = other._replace(
        term=candidate.term, vote=place, role=FOLLOWER, granted=frozenset()
    )
    standing = candidate._replace(granted=candidate.granted | {voter})
    new = _put(state, **{f"r{place}": standing, f"r{voter}": granting})
    if len(standing.granted) >= QUORUM:
        new = _win(new, place)
    return [(f"grant {place} {voter}", new)]


def _age(log: tuple[int, ...]) -> tuple[int, int]:
    return (log[-1] if log else 0, len(log))


def _win(state: _State, place: int) -> _State:
    """Make a candidate leader; a leader may act on it at any later step."""
    replica = state.replicas[place]
    leading = replica._replace(role=LEADER, granted=frozenset())
    new = _put(state, **{f"r{place}": leading})
    leaders = list(state.leaders)
    if leaders[replica.term] not in (NOBODY, place):
        return new._replace(broken="two leaders in a term")
    leaders[replica.term] = place
    survived = all(
        index < len(replica.log) and replica.log[index] == term
        for index, (term, at) in enumerate(state.committed)
        if at < replica.term
    )
    broken = "" if survived else "a committed entry is lost"
    return new._replace(leaders=tuple(leaders), broken=broken)


def _append(state: _State, place: int, bounds: Bounds) -> list:
    replica = state.replicas[place]
    if replica.role != LEADER or len(replica.log) >= bounds.max_log:
        return []
    log = (*replica.log, replica.term)
    appended = replica._replace(log=log, n_synced=len(log))
    return [(f"append {place}", _put(state, **{f"r{place}": appended}))]


def _replicate(state: _State, place: int, other: int, rules: Rules) -> list:
    leader, follower = state.replicas[place], state.replicas[other]
    if leader.role != LEADER or follower.term > leader.term:
        return []
    steps = []
    for length in range(1, len(leader.log) + 1):
        sent = leader.log[:length]
        agrees = follower.log[:length] == sent
        log = follower.log if agrees else sent
        n_synced = len(log) if rules.log_is_synced else min(follower.n_synced, len(log))
        match = list(leader.match)
        match[other] = max(match[other], length) if _counts(state, other) else 0
        following = follower._replace(
            term=leader.term,
            vote=follower.vote if follower.term == leader.term else NOBODY,
            log=log,
            n_synced=n_synced,
            role=FOLLOWER,
            granted=frozenset(),
        )
        told = leader._replace(match=tuple(match))
        new = _put(state, **{f"r{place}": told, f"r{other}": following})
        steps.append((f"replicate {place} {other} {length}", new))
    return steps


def _commit(state: _State, place: int, rules: Rules) -> list:
    leader = state.replicas[place]
    if leader.role != LEADER:
        return []
    steps = []
    for length in range(len(state.committed) + 1, len(leader.log) + 1):
        if rules.own_term_commits and leader.log[length - 1] != leader.term:
            continue
        holding = [leader.match[p] >= length or p == place for p in range(N_REPLICAS)]
        if sum(holding) < QUORUM:
            continue
        added = [(t, leader.term) for t in leader.log[len(state.committed) : length]]
        new = state._replace(committed=(*state.committed, *added))
        steps.append((f"commit {place} {length}", new))
    return steps


def _restart(state: _State, place: int, rules: Rules, bounds: Bounds) -> list:
    if state.n_restarts >= bounds.max_restarts:
        return []
    replica = state.replicas[place]
    restarted = replica._replace(
        vote=replica.vote if rules.vote_is_synced else NOBODY,
        log=replica.log[: replica.n_synced],
        role=FOLLOWER,
        granted=frozenset(),
        match=(0,) * N_REPLICAS,
    )
    new = _put(state, **{f"r{place}": restarted})
    return [(f"restart {place}", new._replace(n_restarts=state.n_restarts + 1))]


def _lose_disk(state: _State, place: int, rules: Rules, bounds: Bounds) -> list:
    """Lose one disk, unless another one is still to be replaced."""
    whole = all(_counts(state, p) for p in range(N_REPLICAS))
    if state.n_losses >= bounds.max_losses or not whole:
        return []
    identity = state.replicas[place].identity + int(rules.new_identity)
    new = _put(state, **{f"r{place}": _Replica(identity=identity)})
    return [(f"lose {place}", new._replace(n_losses=state.n_losses + 1))]


def _replace_member(state: _State, place: int, other: int, rules: Rules) -> list:
    """Count the new replica at a place.

    The change takes a quorum of the old members and one of the new, as the steps
    that `spec.membership` checks do.
    """
    leader, joining = state.replicas[place], state.replicas[other]
    if leader.role != LEADER or _counts(state, other):
        return []
    following = [p for p in range(N_REPLICAS) if state.replicas[p].term == leader.term]
    old = [p for p in following if _counts(state, p)]
    commits = any(at == leader.term for _, at in state.committed)
    if len(old) < QUORUM or not commits:
        return []
    if rules.catch_up_first and joining.log != leader.log:
        return []
    members = list(state.members)
    members[other] = joining.identity
    return [(f"replace {other}", state._replace(members=tuple(members)))]


def election(rules: Rules, bounds: Bounds) -> Protocol:
    """Return the protocol with the given mechanisms."""

    def transitions(values: tuple) -> list:
        state = _State(*values)
        if state.broken:
            return []
        steps = []
        for place in range(N_REPLICAS):
            steps += _stand(state, place, bounds)
            steps += _append(state, place, bounds)
            steps += _commit(state, place, rules)
            steps += _restart(state, place, rules, bounds)
            steps += _lose_disk(state, place, rules, bounds)
        for place, other in itertools.permutations(range(N_REPLICAS), 2):
            steps += _grant(state, place, other, rules)
            steps += _replicate(state, place, other, rules)
            steps += _replace_member(state, place, other, rules)
        return [(label, tuple(new)) for label, new in steps]

    initial = _State(
        replicas=(_Replica(),) * N_REPLICAS,
        members=(0,) * N_REPLICAS,
        committed=(),
        leaders=(NOBODY,) * (bounds.max_term + 1),
        n_restarts=0,
        n_losses=0,
        broken="",
    )
    return Protocol(
        name="election",
        candidate=False,
        fields=_State._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "one_leader_a_term": lambda s: s["broken"] != "two leaders in a term",
            "committed_survives": lambda s: s["broken"] != "a committed entry is lost",
        },
    )
