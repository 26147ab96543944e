"""Membership change: one voter at a time, and only after an own-term commit.

The log carries memberships; a replica goes by the newest one that its log holds.
A request and its answer are one step.
"""

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Rules", "Scenario", "growth", "membership", "replacement", "two_changes"]

NOBODY = -1
FOLLOWER, CANDIDATE, LEADER = range(3)

Voters = frozenset[int]


class Rules(NamedTuple):
    """The mechanisms; a weakened twin leaves one out.

    Parameters
    ----------
    one_voter : bool
        A change adds or removes one voter.
    one_change : bool
        A change waits until the one before is committed.
    own_term_first : bool
        A new leader commits an entry of its own term before it changes anything.
    """

    one_voter: bool = True
    one_change: bool = True
    own_term_first: bool = True


class Scenario(NamedTuple):
    """Who is there, and which changes leaders may make.

    Parameters
    ----------
    n_replicas : int
    first : frozenset of int
        The voters at the start.
    links : tuple of tuple of int
        By candidate, whom it reaches; the others never stand for election.
    changes : tuple
        Triples of the leader, the voter that it adds and the one that it
        removes, or `NOBODY`. With `one_voter` each of the two is a change.
    max_term : int
    max_log : int
    """

    n_replicas: int
    first: Voters
    links: tuple[tuple[int, ...], ...]
    changes: tuple[tuple[int, int, int], ...]
    max_term: int
    max_log: int


def replacement(max_term: int = 2, max_log: int = 3) -> Scenario:
    """Return three voters, of whom 2 is being replaced by 3."""
    changes = ((0, 3, 2), (1, 3, 2))
    links = ((1, 3), (0, 2))
    return Scenario(4, frozenset((0, 1, 2)), links, changes, max_term, max_log)


def two_changes(max_term: int = 3, max_log: int = 2) -> Scenario:
    """Return four voters and two leaders, of whom 0 adds 4 and 1 removes 0."""
    changes = ((0, 4, NOBODY), (1, NOBODY, 0))
    first = frozenset((0, 1, 2, 3))
    links = ((1, 2, 4), (2, 3))
    return Scenario(5, first, links, changes, max_term, max_log)


def growth(max_term: int = 2, max_log: int = 3) -> Scenario:
    """Return three voters that grow to five, by two leaders in turn."""
    changes = ((0, 3, NOBODY), (0, 4, NOBODY), (1, 3, NOBODY), (1, 4, NOBODY))
    first = frozenset((0, 1, 2))
    links = ((1, 3), (2, 4))
    return Scenario(5, first, links, changes, max_term, max_log)


class _Entry(NamedTuple):
    term: int
    voters: Voters


class _Replica(NamedTuple):
    term: int = 0
    vote: int = NOBODY
    log: tuple[_Entry, ...] = ()
    role: int = FOLLOWER
    granted: Voters = frozenset()
    match: tuple[int, ...] = ()
    n_committed: int = 0


class _State(NamedTuple):
    replicas: tuple[_Replica, ...]
    committed: tuple[tuple[_Entry, int], ...]  # the entry, term of its commit
    leaders: tuple[int, ...]
    broken: str


def _put(state: _State, changed: dict[int, _Replica]) -> _State:
    held = [changed.get(p, replica) for p, replica in enumerate(state.replicas)]
    return state._replace(replicas=tuple(held))


def _voters(replica: _Replica, scenario: Scenario) -> Voters:
    return replica.log[-1].voters if replica.log else scenario.first


def _is_quorum(replicas: Voters, voters: Voters) -> bool:
    return 2 * len(replicas & voters) > len(voters)


def _age(log: tuple[_Entry, ...]) -> tuple[int, int]:
    return (log[-1].term if log else 0, len(log))


def _stand(state: _State, place: int, scenario: Scenario) -> list:
    replica = state.replicas[place]
    is_voter = place in _voters(replica, scenario)
    if replica.term >= scenario.max_term or not is_voter:
        return []
    standing = replica._replace(
        term=replica.term + 1,
        vote=place,
        role=CANDIDATE,
        granted=frozenset((place,)),
        match=(),
        n_committed=0,
    )
    return [(f"stand {place}", _put(state, {place: standing}))]


def _grant(state: _State, place: int, voter: int, scenario: Scenario) -> list:
    candidate, other = state.replicas[place], state.replicas[voter]
    if candidate.role != CANDIDATE or _age(candidate.log) < _age(other.log):
        return []
    same_term = other.term == candidate.term and other.vote in (NOBODY, place)
    if other.term >= candidate.term and not same_term:
        return []
    granting = other._replace(
        term=candidate.term,
        vote=place,
        role=FOLLOWER,
        granted=frozenset(),
        match=(),
        n_committed=0,
    )
    standing = candidate._replace(granted=candidate.granted | {voter})
    new = _put(state, {place: standing, voter: granting})
    if _is_quorum(standing.granted, _voters(standing, scenario)):
        new = _win(new, place, scenario)
    return [(f"grant {place} {voter}", new)]


def _win(state: _State, place: int, scenario: Scenario) -> _State:
    """Make a candidate leader; a leader may act on it at any later step."""
    replica = state.replicas[place]
    match = (0,) * scenario.n_replicas
    leading = replica._replace(role=LEADER, granted=frozenset(), match=match)
    new = _put(state, {place: leading})
    leaders = list(state.leaders)
    if leaders[replica.term] not in (NOBODY, place):
        return new._replace(broken="two leaders in a term")
    leaders[replica.term] = place
    survived = all(
        replica.log[index : index + 1] == (entry,)
        for index, (entry, at) in enumerate(state.committed)
        if at < replica.term
    )
    broken = "" if survived else "a committed entry is lost"
    return new._replace(leaders=tuple(leaders), broken=broken)


def _append(state: _State, place: int, voters: Voters, label: str) -> tuple:
    replica = state.replicas[place]
    log = (*replica.log, _Entry(replica.term, voters))
    return (label, _put(state, {place: replica._replace(log=log)}))


def _change(state: _State, place: int, scenario: Scenario, rules: Rules) -> list:
    """Append a no-op, or a membership."""
    replica = state.replicas[place]
    if replica.role != LEADER or len(replica.log) >= scenario.max_log:
        return []
    voters = _voters(replica, scenario)
    steps = []
    own = [entry for entry in replica.log if entry.term == replica.term]
    if rules.own_term_first and not own:
        steps.append(_append(state, place, voters, f"noop {place}"))
    n_committed = replica.n_committed
    own_committed = any(e.term == replica.term for e in replica.log[:n_committed])
    if rules.own_term_first and not own_committed:
        return steps
    if rules.one_change and _has_open_change(replica, scenario):
        return steps
    for leader, added, removed in scenario.changes:
        if leader != place:
            continue
        for new in _next_voters(voters, added, removed, rules):
            steps.append(_append(state, place, new, f"change {place} {sorted(new)}"))
    return steps


def _has_open_change(replica: _Replica, scenario: Scenario) -> bool:
    held = replica.log[: replica.n_committed]
    committed = held[-1].voters if held else scenario.first
    return _voters(replica, scenario) != committed


def _next_voters(voters: Voters, added: int, removed: int, rules: Rules) -> list:
    is_adding = added != NOBODY and added not in voters
    is_removing = removed != NOBODY and removed in voters
    if not rules.one_voter and is_adding and is_removing:
        return [(voters | {added}) - {removed}]
    if is_adding:
        return [voters | {added}]
    if is_removing:
        return [voters - {removed}]
    return []


def _replicate(state: _State, place: int, other: int) -> list:
    leader, follower = state.replicas[place], state.replicas[other]
    if leader.role != LEADER or follower.term > leader.term:
        return []
    steps = []
    for length in range(1, len(leader.log) + 1):
        sent = leader.log[:length]
        log = follower.log if follower.log[:length] == sent else sent
        match = list(leader.match)
        match[other] = max(match[other], length)
        following = follower._replace(
            term=leader.term,
            vote=follower.vote if follower.term == leader.term else NOBODY,
            log=log,
            role=FOLLOWER,
            granted=frozenset(),
            match=(),
            n_committed=0,
        )
        told = leader._replace(match=tuple(match))
        new = _put(state, {place: told, other: following})
        steps.append((f"replicate {place} {other} {length}", new))
    return steps


def _commit(state: _State, place: int, scenario: Scenario) -> list:
    leader = state.replicas[place]
    if leader.role != LEADER:
        return []
    steps = []
    for length in range(leader.n_committed + 1, len(leader.log) + 1):
        holding = {p for p, matched in enumerate(leader.match) if matched >= length}
        voters = _voters(leader, scenario)
        if leader.log[length - 1].term != leader.term:
            continue
        if not _is_quorum(frozenset(holding | {place}), voters):
            continue
        committing = leader._replace(n_committed=length)
        known = len(state.committed)
        added = [(entry, leader.term) for entry in leader.log[known:length]]
        new = _put(state, {place: committing})
        agrees = all(
            entry == leader.log[index]
            for index, (entry, _) in enumerate(state.committed[:length])
        )
        broken = "" if agrees else "a committed entry is lost"
        new = new._replace(committed=(*state.committed, *added), broken=broken)
        steps.append((f"commit {place} {length}", new))
    return steps


def membership(rules: Rules, scenario: Scenario) -> Protocol:
    """Return the protocol with the given mechanisms in a scenario."""

    def transitions(values: tuple) -> list:
        state = _State(*values)
        if state.broken:
            return []
        steps = []
        for place, reached in enumerate(scenario.links):
            steps += _stand(state, place, scenario)
            steps += _change(state, place, scenario, rules)
            steps += _commit(state, place, scenario)
            for other in reached:
                steps += _grant(state, place, other, scenario)
                steps += _replicate(state, place, other)
        return [(label, tuple(new)) for label, new in steps]

    initial = _State(
        replicas=(_Replica(),) * scenario.n_replicas,
        committed=(),
        leaders=(NOBODY,) * (scenario.max_term + 1),
        broken="",
    )
    return Protocol(
        name="membership",
        candidate=False,
        fields=_State._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "one_leader_a_term": lambda s: s["broken"] != "two leaders in a term",
            "committed_survives": lambda s: s["broken"] != "a committed entry is lost",
        },
    )
