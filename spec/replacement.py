"""Model of how replicas that are lost are replaced, whatever is lost in between.

Each of `n_places` voters has a host. A host may lose its disk at any step and any
number of times; it comes back at once, under a new identity, which is no voter. A host
may also stop answering, with its disk, and answer again. At most `n_losses` of the
places may be lost at the same time; a place is lost until a voter that answers fills
it, by the committed membership and by a proposed one. A host that fills no place may be
lost freely. Spare hosts fill no place at the start and may succeed hosts that stop
answering.

A quorum of `n` voters is `n // 2 + 1`. While `k` of them are gone for good, a
membership bears `n - k` losses less a quorum, until the log ends. While one of the `k`
is replaced, and its successor may be lost at any step, too, it bears

    n  k   before   newcomer first   gone voter first   then newcomer
    3  1        0               -1                  0            0
    4  1        0                0                  1            0
    5  1        1                0                  1            1
    5  2        0               -1                  0            0
    6  1        1                1                  2            1
    6  2        0                0                  1            0
    7  1        2                1                  2            2
    7  2        1                0                  1            1
    7  3        0               -1                  0            0
    8  1        2                2                  3            2
    8  2        1                1                  2            1
    8  3        0                0                  1            0
    9  1        3                2                  3            3
    9  2        2                1                  2            2
    9  3        1                0                  1            1
    9  4        0               -1                  0            0

further losses. One or two voters bear no loss in any order. With an odd number of
voters, a newcomer that votes first raises the quorum, so that the log ends if the
newcomer itself is lost. `tests.test_replication` checks the same for the steps of the
program, up to the largest number of voters.

An election and the first entry of its term are one step; so are an entry and its
commit, unless the entry is a membership. A proposed membership that some hosts hold is
kept until a later leader commits it or an entry in its place.

The property is what is reached when nothing more fails: `settle` applies steps that
need no fault, while hosts that do not answer stay silent. A leader must then have every
committed entry, and the hosts that answer must fill all places that they can. Setting a
field of `Rules` to False removes one rule.
"""

import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Rules", "Scenario", "build_replacement_protocol"]


class Rules(NamedTuple):
    """Rules of the order of steps.

    Parameters
    ----------
    removes_gone_first : bool
        A voter whose host answers under another identity is removed before a successor
        votes.
    removes_silent_first : bool
        A voter that does not answer is removed before its successor votes.
    """

    removes_gone_first: bool = True
    removes_silent_first: bool = True


class Scenario(NamedTuple):
    """The hosts, and what may happen to them.

    Parameters
    ----------
    n_places : int
    n_spare : int
        Hosts beyond the places, none of which votes at the start.
    n_losses : int
        Number of places that may be lost at the same time.
    falls_silent : bool
        Whether hosts may stop answering, with their disks.
    """

    n_places: int
    n_spare: int
    n_losses: int
    falls_silent: bool


class Host(NamedTuple):
    """A host, and the memberships as far as they name its identities.

    Parameters
    ----------
    is_voter : bool
        Whether its present identity votes by the committed membership.
    n_gone : int
        Number of its former identities that vote by the committed membership.
    is_next_voter, n_next_gone : bool, int
        The same by the proposed membership; without one, by the committed one.
    holds_proposal : bool
        Whether it holds the proposed membership and all entries before it.
    is_complete : bool
        Whether it holds every committed entry.
    is_silent : bool
    is_leader : bool
    """

    is_voter: bool = False
    n_gone: int = 0
    is_next_voter: bool = False
    n_next_gone: int = 0
    holds_proposal: bool = False
    is_complete: bool = False
    is_silent: bool = False
    is_leader: bool = False


class State(NamedTuple):
    """The hosts, in an order that depends on nothing but their state.

    Parameters
    ----------
    hosts : tuple of Host
    has_proposal : bool
        Whether a membership that is not committed is in some log.
    is_entry_lost : bool
        Whether a leader was elected that lacks a committed entry.
    """

    hosts: tuple[Host, ...]
    has_proposal: bool = False
    is_entry_lost: bool = False


Steps = Iterator[tuple[str, State]]


def build_replacement_protocol(rules: Rules, scenario: Scenario) -> Protocol:
    """Return the protocol under some rules, in a scenario."""
    voter = Host(is_voter=True, is_next_voter=True, is_complete=True)
    hosts = (voter,) * scenario.n_places + (Host(),) * scenario.n_spare
    return Protocol(
        name="replacement",
        candidate=False,
        fields=State._fields,
        initial=tuple(_make_state(hosts)),
        transitions=lambda values: [
            (label, tuple(next_state))
            for label, next_state in _list_transitions(State(*values), rules, scenario)
        ],
        invariants={
            "all_recover": lambda d: _recovers(State(**d), rules, scenario),
            "committed_entries_survive": lambda d: not d["is_entry_lost"],
        },
    )


def _make_state(hosts: Iterable[Host], has_proposal: bool = False) -> State:
    return State(tuple(sorted(hosts)), has_proposal)


def _replace_host(state: State, number: int, host: Host) -> State:
    hosts = (*state.hosts[:number], host, *state.hosts[number + 1 :])
    return _make_state(hosts, state.has_proposal)


def _list_transitions(state: State, rules: Rules, scenario: Scenario) -> list:
    if state.is_entry_lost:
        return []
    steps = [
        *_list_losses(state, scenario),
        *_list_elections(state),
        *_list_leader_steps(state, rules, scenario),
    ]
    return [(label, next_state) for label, next_state in steps if next_state != state]


def _is_in_place(host: Host) -> bool:
    return host.is_voter and host.is_next_voter and not host.is_silent


def _list_losses(state: State, scenario: Scenario) -> Steps:
    """Lose disks, and let hosts fall silent or answer again."""
    n_lost = scenario.n_places - sum(map(_is_in_place, state.hosts))
    for number, host in enumerate(state.hosts):
        if host.is_silent:
            answering = host._replace(is_silent=False)
            yield f"answer {number}", _replace_host(state, number, answering)
        if _is_in_place(host) and n_lost >= scenario.n_losses:
            continue
        yield f"lose_disk {number}", _lose_disk(state, number)
        if scenario.falls_silent and not host.is_silent:
            silent = host._replace(is_silent=True, is_leader=False)
            yield f"silence {number}", _replace_host(state, number, silent)


def _lose_disk(state: State, number: int) -> State:
    host = state.hosts[number]
    empty = Host(
        n_gone=host.n_gone + host.is_voter,
        n_next_gone=host.n_next_gone + host.is_next_voter,
    )
    lost = _replace_host(state, number, empty)
    if lost.has_proposal and not any(host.holds_proposal for host in lost.hosts):
        return _make_state(map(_drop_proposal, lost.hosts))
    return lost


def _drop_proposal(host: Host) -> Host:
    return host._replace(
        is_next_voter=host.is_voter, n_next_gone=host.n_gone, holds_proposal=False
    )


def _commit_proposal(host: Host) -> Host:
    return host._replace(
        is_voter=host.is_next_voter, n_gone=host.n_next_gone, holds_proposal=False
    )


def _compute_quorum(hosts: Iterable[Host]) -> int:
    """Return the number of voters that commit by the committed membership."""
    return sum(host.is_voter + host.n_gone for host in hosts) // 2 + 1


def _store_entry(hosts: Sequence[Host], leader: int, storing: Sequence[int]) -> Steps:
    """Commit an entry that a quorum stores, some of the hosts that could.

    Parameters
    ----------
    hosts : sequence of Host
        The hosts with the membership that the entry is committed by.
    leader : int
        The host that has the entry; it leads.
    storing : sequence of int
        The hosts that may store it.
    """
    others = [
        number for number in storing if hosts[number].is_voter and number != leader
    ]
    n_others = _compute_quorum(hosts) - hosts[leader].is_voter
    for chosen in itertools.combinations(others, max(n_others, 0)):
        yield (
            f"commit {leader} {chosen}",
            _make_state(
                host._replace(
                    is_complete=number == leader or number in chosen,
                    is_leader=number == leader,
                )
                for number, host in enumerate(hosts)
            ),
        )


def _list_answering(state: State) -> list[int]:
    return [number for number, host in enumerate(state.hosts) if not host.is_silent]


def _list_elections(state: State) -> Steps:
    """Elect a host and commit the first entry of its term.

    Nobody votes for a host whose log is older than its own.
    """
    answering = _list_answering(state)
    for number in answering:
        candidate = state.hosts[number]
        position = (candidate.is_complete, candidate.holds_proposal)
        voting = [
            other
            for other in answering
            if (state.hosts[other].is_complete, state.hosts[other].holds_proposal)
            <= position
        ]
        change = _commit_proposal if candidate.holds_proposal else _drop_proposal
        hosts = [change(host) for host in state.hosts]
        if not hosts[number].is_voter:
            continue
        for label, elected in _store_entry(hosts, number, voting):
            is_entry_lost = not candidate.is_complete
            yield f"elect, {label}", elected._replace(is_entry_lost=is_entry_lost)


def _list_leader_steps(state: State, rules: Rules, scenario: Scenario) -> Steps:
    answering = _list_answering(state)
    for leader in answering:
        if not state.hosts[leader].is_leader:
            continue
        if state.has_proposal:
            yield from _list_proposal_steps(state, leader)
            continue
        for number in answering:
            complete = state.hosts[number]._replace(is_complete=True)
            yield f"catch_up {number}", _replace_host(state, number, complete)
        yield from _store_entry(state.hosts, leader, answering)
        for label, hosts in _list_changes(state, rules, scenario):
            proposed = [
                host._replace(holds_proposal=number == leader)
                for number, host in enumerate(hosts)
            ]
            yield f"propose to {label}", _make_state(proposed, has_proposal=True)


def _list_proposal_steps(state: State, leader: int) -> Steps:
    holding = []
    for number in _list_answering(state):
        host = state.hosts[number]
        if host.holds_proposal:
            holding.append(number)
        stored = host._replace(holds_proposal=True, is_complete=True)
        yield f"store {number}", _replace_host(state, number, stored)
    hosts = [_commit_proposal(host) for host in state.hosts]
    yield from _store_entry(hosts, leader, holding)


def _list_changes(
    state: State, rules: Rules, scenario: Scenario
) -> Iterator[tuple[str, list[Host]]]:
    """Return the memberships that the leader may propose next."""
    answering = _list_answering(state)
    voters = [number for number in answering if state.hosts[number].is_voter]
    if len(voters) < _compute_quorum(state.hosts):
        return
    newcomers = [
        number
        for number in answering
        if state.hosts[number].is_complete and number not in voters
    ]
    gone = [number for number in answering if state.hosts[number].n_gone]
    silent = [
        number
        for number, host in enumerate(state.hosts)
        if host.is_silent and (host.is_voter or host.n_gone)
    ]
    n_voters = sum(host.is_voter + host.n_gone for host in state.hosts)
    is_over = n_voters > scenario.n_places
    if is_over or rules.removes_gone_first:
        for number in gone:
            n_next_gone = state.hosts[number].n_gone - 1
            yield f"remove {number}", _propose(state, number, n_next_gone=n_next_gone)
    if is_over or (rules.removes_silent_first and newcomers):
        for number in silent:
            yield f"remove {number}", _remove_silent(state, number)
    adds_first = n_voters == scenario.n_places and (
        (gone and not rules.removes_gone_first)
        or (silent and not rules.removes_silent_first)
    )
    if n_voters < scenario.n_places or adds_first:
        for number in newcomers:
            yield f"add {number}", _propose(state, number, is_next_voter=True)


def _remove_silent(state: State, number: int) -> list[Host]:
    host = state.hosts[number]
    if host.n_gone:
        return _propose(state, number, n_next_gone=host.n_gone - 1)
    return _propose(state, number, is_next_voter=False)


def _propose(state: State, number: int, **changed: int) -> list[Host]:
    hosts = list(state.hosts)
    hosts[number] = hosts[number]._replace(**changed)
    return hosts


def _recovers(state: State, rules: Rules, scenario: Scenario) -> bool:
    """Return whether a leader has all entries and hosts fill the places, in the end."""
    settled = settle(state, rules, scenario)
    is_led = any(host.is_leader and host.is_complete for host in settled.hosts)
    n_answering = sum(not host.is_silent for host in settled.hosts)
    n_filled = sum(host.is_voter and not host.is_silent for host in settled.hosts)
    return is_led and n_filled == min(n_answering, scenario.n_places)


def settle(state: State, rules: Rules, scenario: Scenario) -> State:
    """Return a state that is reached by steps that need no fault.

    A leader is elected, and completes one membership change after another.
    """
    while True:
        elected = next((step for _, step in _list_elections(state)), None)
        if elected is None or elected.is_entry_lost:
            return _make_state(host._replace(is_leader=False) for host in state.hosts)
        state = _make_state(
            host._replace(is_complete=not host.is_silent) for host in elected.hosts
        )
        _, hosts = next(_list_changes(state, rules, scenario), ("", None))
        if hosts is None:
            return state
        state = _make_state(
            (host._replace(holds_proposal=not host.is_silent) for host in hosts),
            has_proposal=True,
        )
