"""The protocol of a move: make before break, with a leader change at any step.

One model, two backend servers. A leader commits assignments, one proposal at a
time; each agent takes any assignment newer than the one it has, late or never;
the leader's copy of an agent's report may be old. A leader change loses all
reports, and a proposal that was under way is either committed or gone before the
new leader decides.

A `Rules` field set to False leaves out one rule of the protocol; each of these
weakened protocols has a counterexample.
"""

from typing import Any, NamedTuple

from minicheck import Protocol

__all__ = ["MAX_COMMITS", "MAX_LEADER_CHANGES", "Rules", "moves"]

MAX_COMMITS = 5
MAX_LEADER_CHANGES = 2


class Rules(NamedTuple):
    """The rules that keep a ready replica.

    Parameters
    ----------
    waits_for_ready : bool
        A release needs another server's report that it is ready.
    matches_revision : bool
        That report has to answer the server's newest assignment.
    settles_log_first : bool
        A new leader decides only once older proposals are committed or gone.
    """

    waits_for_ready: bool = True
    matches_revision: bool = True
    settles_log_first: bool = True


class Assigned(NamedTuple):
    """A committed assignment of one server."""

    revision: int
    holds: bool


class Agent(NamedTuple):
    """An agent: the newest assignment it took, and whether its engine is ready."""

    assigned: Assigned
    ready: bool


class State(NamedTuple):
    """The whole system; each pair is of server 0 and server 1.

    Parameters
    ----------
    committed : tuple of Assigned
    on_the_way : tuple of tuple of Assigned
        Assignments sent and not yet taken.
    agents : tuple of Agent
    reports : tuple of Agent or None
        What the leader last heard.
    proposal, old_proposal : tuple of (int, bool) or None
        Server and whether it is to hold the model; of this leader and the last.
    n_commits, n_changes : int
    """

    committed: tuple[Assigned, Assigned]
    on_the_way: tuple[tuple[Assigned, ...], tuple[Assigned, ...]]
    agents: tuple[Agent, Agent]
    reports: tuple[Agent | None, Agent | None]
    proposal: tuple[int, bool] | None
    old_proposal: tuple[int, bool] | None
    n_commits: int
    n_changes: int


_HELD = Assigned(1, True)
_EMPTY = Assigned(0, False)
INITIAL = State(
    committed=(_HELD, _EMPTY),
    on_the_way=((), ()),
    agents=(Agent(_HELD, True), Agent(_EMPTY, False)),
    reports=(None, None),
    proposal=None,
    old_proposal=None,
    n_commits=1,
    n_changes=0,
)


def moves(rules: Rules) -> Protocol:
    """Return the protocol under some rules, to be checked for safety."""
    return Protocol(
        name="moves",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: [
            (label, tuple(following))
            for label, following in _steps(State(*state), rules)
        ],
        invariants={
            "some_replica_is_ready": lambda d: any(a.ready for a in d["agents"])
        },
    )


def _steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    steps = []
    for server in (0, 1):
        steps += _decide(state, server, rules)
        steps += _take(state, server)
        steps += _work(state, server)
        reported = _put(state.reports, server, state.agents[server])
        steps.append((f"report_{server}", state._replace(reports=reported)))
    steps += _commit(state)
    steps += _change_leader(state, rules)
    return steps


def _decide(state: State, server: int, rules: Rules) -> list[tuple[str, State]]:
    if state.proposal is not None or state.n_commits >= MAX_COMMITS:
        return []
    if not state.committed[server].holds:
        return [(f"propose_add_{server}", state._replace(proposal=(server, True)))]
    if _may_release(state, 1 - server, rules):
        label = f"propose_release_{server}"
        return [(label, state._replace(proposal=(server, False)))]
    return []


def _may_release(state: State, other: int, rules: Rules) -> bool:
    assigned = state.committed[other]
    report = state.reports[other]
    if not assigned.holds:
        return False
    if not rules.waits_for_ready:
        return True
    if report is None or not report.ready:
        return False
    return not rules.matches_revision or report.assigned == assigned


def _commit(state: State) -> list[tuple[str, State]]:
    steps = []
    if state.proposal is not None:
        following = _apply(state, state.proposal)._replace(proposal=None)
        steps.append(("commit", following))
    if state.old_proposal is not None:
        following = _apply(state, state.old_proposal)._replace(old_proposal=None)
        steps.append(("commit_old", following))
    return steps


def _apply(state: State, proposal: tuple[int, bool]) -> State:
    server, holds = proposal
    assigned = Assigned(state.n_commits + 1, holds)
    sent = (*state.on_the_way[server], assigned)
    return state._replace(
        committed=_put(state.committed, server, assigned),
        on_the_way=_put(state.on_the_way, server, sent),
        n_commits=state.n_commits + 1,
    )


def _change_leader(state: State, rules: Rules) -> list[tuple[str, State]]:
    if state.n_changes >= MAX_LEADER_CHANGES:
        return []
    changed = state._replace(
        reports=(None, None), proposal=None, n_changes=state.n_changes + 1
    )
    steps = [("change_leader", changed)]
    if state.proposal is None:
        return steps
    if rules.settles_log_first:
        steps.append(("change_leader_after_commit", _apply(changed, state.proposal)))
    else:
        late = changed._replace(old_proposal=state.proposal)
        steps.append(("change_leader_before_commit", late))
    return steps


def _take(state: State, server: int) -> list[tuple[str, State]]:
    steps = []
    agent = state.agents[server]
    for assigned in state.on_the_way[server]:
        later = tuple(
            other
            for other in state.on_the_way[server]
            if other.revision > assigned.revision
        )
        following = state._replace(
            agents=_put(state.agents, server, agent._replace(assigned=assigned)),
            on_the_way=_put(state.on_the_way, server, later),
        )
        steps.append((f"take_{server}", following))
    return steps


def _work(state: State, server: int) -> list[tuple[str, State]]:
    agent = state.agents[server]
    if agent.ready == agent.assigned.holds:
        return []
    label = f"load_{server}" if agent.assigned.holds else f"unload_{server}"
    worked = agent._replace(ready=agent.assigned.holds)
    return [(label, state._replace(agents=_put(state.agents, server, worked)))]


def _put(pair: tuple[Any, Any], index: int, value: Any) -> tuple[Any, Any]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
