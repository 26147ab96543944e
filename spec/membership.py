"""Model of membership changes of the replicated log.

A change adds or removes one voter, and a leader makes one only after it has
committed an entry of its own term. The log contains the memberships; a replica uses
the newest one in its log. A request and its answer are one step.
"""

from typing import NamedTuple

from minicheck import Protocol

__all__ = [
    "Rules",
    "Scenario",
    "build_membership_protocol",
    "make_growth_scenario",
    "make_replacement_scenario",
    "make_two_leaders_scenario",
]

NOBODY = -1
FOLLOWER, CANDIDATE, LEADER = range(3)

Voters = frozenset[int]


class Rules(NamedTuple):
    """Rules of the protocol; each weakened protocol leaves one out.

    Parameters
    ----------
    changes_one_voter : bool
        A change adds or removes one voter.
    changes_after_commit : bool
        A change waits until the previous one is committed.
    commits_own_term_first : bool
        A new leader commits an entry of its own term before it changes the
        membership.
    """

    changes_one_voter: bool = True
    changes_after_commit: bool = True
    commits_own_term_first: bool = True


class Scenario(NamedTuple):
    """The replicas, and the changes that leaders may make.

    Parameters
    ----------
    n_replicas : int
    initial_voters : frozenset of int
        The voters at the start.
    reachable : tuple of tuple of int
        For each candidate, the replicas it reaches. Replicas without an item never
        stand for election.
    changes : tuple
        Triples of the leader, the voter that it adds and the voter that it
        removes, or `NOBODY`. With `changes_one_voter`, adding and removing are
        two separate changes.
    max_term : int
    max_log : int
    """

    n_replicas: int
    initial_voters: Voters
    reachable: tuple[tuple[int, ...], ...]
    changes: tuple[tuple[int, int, int], ...]
    max_term: int
    max_log: int


def make_replacement_scenario(max_term: int = 2, max_log: int = 3) -> Scenario:
    """Return three voters, where replica 3 replaces replica 2."""
    changes = ((0, 3, 2), (1, 3, 2))
    reachable = ((1, 3), (0, 2))
    return Scenario(4, frozenset((0, 1, 2)), reachable, changes, max_term, max_log)


def make_two_leaders_scenario(max_term: int = 3, max_log: int = 2) -> Scenario:
    """Return four voters, where leader 0 adds 4 and leader 1 removes 0."""
    changes = ((0, 4, NOBODY), (1, NOBODY, 0))
    initial_voters = frozenset((0, 1, 2, 3))
    reachable = ((1, 2, 4), (2, 3))
    return Scenario(5, initial_voters, reachable, changes, max_term, max_log)


def make_growth_scenario(max_term: int = 2, max_log: int = 3) -> Scenario:
    """Return three voters that two leaders in turn extend to five."""
    changes = ((0, 3, NOBODY), (0, 4, NOBODY), (1, 3, NOBODY), (1, 4, NOBODY))
    initial_voters = frozenset((0, 1, 2))
    reachable = ((1, 3), (2, 4))
    return Scenario(5, initial_voters, reachable, changes, max_term, max_log)


class _Entry(NamedTuple):
    term: int
    voters: Voters


class _Replica(NamedTuple):
    term: int = 0
    vote: int = NOBODY
    log: tuple[_Entry, ...] = ()
    role: int = FOLLOWER
    granted: Voters = frozenset()
    match_lengths: tuple[int, ...] = ()
    n_committed: int = 0


class _State(NamedTuple):
    replicas: tuple[_Replica, ...]
    committed: tuple[tuple[_Entry, int], ...]  # the entry, and the term of its commit
    leaders: tuple[int, ...]
    violation: str


def _with_replicas(state: _State, changed: dict[int, _Replica]) -> _State:
    replicas = [changed.get(p, replica) for p, replica in enumerate(state.replicas)]
    return state._replace(replicas=tuple(replicas))


def _find_voters(replica: _Replica, scenario: Scenario) -> Voters:
    return replica.log[-1].voters if replica.log else scenario.initial_voters


def _is_quorum(replicas: Voters, voters: Voters) -> bool:
    return 2 * len(replicas & voters) > len(voters)


def _compute_log_age(log: tuple[_Entry, ...]) -> tuple[int, int]:
    return (log[-1].term if log else 0, len(log))


def _start_candidacy(state: _State, replica_index: int, scenario: Scenario) -> list:
    replica = state.replicas[replica_index]
    is_voter = replica_index in _find_voters(replica, scenario)
    if replica.term >= scenario.max_term or not is_voter:
        return []
    candidate_after = replica._replace(
        term=replica.term + 1,
        vote=replica_index,
        role=CANDIDATE,
        granted=frozenset((replica_index,)),
        match_lengths=(),
        n_committed=0,
    )
    return [
        (
            f"start_candidacy {replica_index}",
            _with_replicas(state, {replica_index: candidate_after}),
        )
    ]


def _grant_vote(
    state: _State, replica_index: int, voter: int, scenario: Scenario
) -> list:
    candidate, voter_replica = state.replicas[replica_index], state.replicas[voter]
    if candidate.role != CANDIDATE or _compute_log_age(
        candidate.log
    ) < _compute_log_age(voter_replica.log):
        return []
    same_term = voter_replica.term == candidate.term and voter_replica.vote in (
        NOBODY,
        replica_index,
    )
    if voter_replica.term >= candidate.term and not same_term:
        return []
    voter_after = voter_replica._replace(
        term=candidate.term,
        vote=replica_index,
        role=FOLLOWER,
        granted=frozenset(),
        match_lengths=(),
        n_committed=0,
    )
    candidate_after = candidate._replace(granted=candidate.granted | {voter})
    new = _with_replicas(state, {replica_index: candidate_after, voter: voter_after})
    if _is_quorum(candidate_after.granted, _find_voters(candidate_after, scenario)):
        new = _become_leader(new, replica_index, scenario)
    return [(f"grant {replica_index} {voter}", new)]


def _become_leader(state: _State, replica_index: int, scenario: Scenario) -> _State:
    """Make a candidate the leader; it may act as such at any later step."""
    replica = state.replicas[replica_index]
    match_lengths = (0,) * scenario.n_replicas
    leader_after = replica._replace(
        role=LEADER, granted=frozenset(), match_lengths=match_lengths
    )
    new = _with_replicas(state, {replica_index: leader_after})
    leaders = list(state.leaders)
    if leaders[replica.term] not in (NOBODY, replica_index):
        return new._replace(violation="two leaders in a term")
    leaders[replica.term] = replica_index
    survived = all(
        replica.log[index : index + 1] == (entry,)
        for index, (entry, commit_term) in enumerate(state.committed)
        if commit_term < replica.term
    )
    violation = "" if survived else "a committed entry is lost"
    return new._replace(leaders=tuple(leaders), violation=violation)


def _append_entry(
    state: _State, replica_index: int, voters: Voters, label: str
) -> tuple:
    replica = state.replicas[replica_index]
    log = (*replica.log, _Entry(replica.term, voters))
    return (label, _with_replicas(state, {replica_index: replica._replace(log=log)}))


def _append_noop_or_change(
    state: _State, replica_index: int, scenario: Scenario, rules: Rules
) -> list:
    """Append a no-op entry or a changed membership."""
    replica = state.replicas[replica_index]
    if replica.role != LEADER or len(replica.log) >= scenario.max_log:
        return []
    voters = _find_voters(replica, scenario)
    steps = []
    own_entries = [entry for entry in replica.log if entry.term == replica.term]
    if rules.commits_own_term_first and not own_entries:
        steps.append(
            _append_entry(state, replica_index, voters, f"noop {replica_index}")
        )
    n_committed = replica.n_committed
    is_own_committed = any(e.term == replica.term for e in replica.log[:n_committed])
    if rules.commits_own_term_first and not is_own_committed:
        return steps
    if rules.changes_after_commit and _has_open_change(replica, scenario):
        return steps
    for leader, added, removed in scenario.changes:
        if leader != replica_index:
            continue
        for new in _list_next_voters(voters, added, removed, rules):
            steps.append(
                _append_entry(
                    state, replica_index, new, f"change {replica_index} {sorted(new)}"
                )
            )
    return steps


def _has_open_change(replica: _Replica, scenario: Scenario) -> bool:
    committed_entries = replica.log[: replica.n_committed]
    committed = (
        committed_entries[-1].voters if committed_entries else scenario.initial_voters
    )
    return _find_voters(replica, scenario) != committed


def _list_next_voters(voters: Voters, added: int, removed: int, rules: Rules) -> list:
    is_adding = added != NOBODY and added not in voters
    is_removing = removed != NOBODY and removed in voters
    if not rules.changes_one_voter and is_adding and is_removing:
        return [(voters | {added}) - {removed}]
    if is_adding:
        return [voters | {added}]
    if is_removing:
        return [voters - {removed}]
    return []


def _replicate_log(state: _State, replica_index: int, other_index: int) -> list:
    leader, follower = state.replicas[replica_index], state.replicas[other_index]
    if leader.role != LEADER or follower.term > leader.term:
        return []
    steps = []
    for length in range(1, len(leader.log) + 1):
        sent = leader.log[:length]
        log = follower.log if follower.log[:length] == sent else sent
        match_lengths = list(leader.match_lengths)
        match_lengths[other_index] = max(match_lengths[other_index], length)
        follower_after = follower._replace(
            term=leader.term,
            vote=follower.vote if follower.term == leader.term else NOBODY,
            log=log,
            role=FOLLOWER,
            granted=frozenset(),
            match_lengths=(),
            n_committed=0,
        )
        updated_leader = leader._replace(match_lengths=tuple(match_lengths))
        new = _with_replicas(
            state, {replica_index: updated_leader, other_index: follower_after}
        )
        steps.append((f"replicate {replica_index} {other_index} {length}", new))
    return steps


def _commit_entries(state: _State, replica_index: int, scenario: Scenario) -> list:
    leader = state.replicas[replica_index]
    if leader.role != LEADER:
        return []
    steps = []
    for length in range(leader.n_committed + 1, len(leader.log) + 1):
        holders = {
            p for p, matched in enumerate(leader.match_lengths) if matched >= length
        }
        voters = _find_voters(leader, scenario)
        if leader.log[length - 1].term != leader.term:
            continue
        if not _is_quorum(frozenset(holders | {replica_index}), voters):
            continue
        committing_leader = leader._replace(n_committed=length)
        n_known = len(state.committed)
        added = [(entry, leader.term) for entry in leader.log[n_known:length]]
        new = _with_replicas(state, {replica_index: committing_leader})
        agrees = all(
            entry == leader.log[index]
            for index, (entry, _) in enumerate(state.committed[:length])
        )
        violation = "" if agrees else "a committed entry is lost"
        new = new._replace(committed=(*state.committed, *added), violation=violation)
        steps.append((f"commit {replica_index} {length}", new))
    return steps


def build_membership_protocol(rules: Rules, scenario: Scenario) -> Protocol:
    """Return the protocol under some rules, in a scenario."""

    def transitions(values: tuple) -> list:
        state = _State(*values)
        if state.violation:
            return []
        steps = []
        for replica_index, reachable_indices in enumerate(scenario.reachable):
            steps += _start_candidacy(state, replica_index, scenario)
            steps += _append_noop_or_change(state, replica_index, scenario, rules)
            steps += _commit_entries(state, replica_index, scenario)
            for other_index in reachable_indices:
                steps += _grant_vote(state, replica_index, other_index, scenario)
                steps += _replicate_log(state, replica_index, other_index)
        return [(label, tuple(new)) for label, new in steps]

    initial = _State(
        replicas=(_Replica(),) * scenario.n_replicas,
        committed=(),
        leaders=(NOBODY,) * (scenario.max_term + 1),
        violation="",
    )
    return Protocol(
        name="membership",
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
