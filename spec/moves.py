"""Model of moving a model from one backend server to another.

The model is loaded at the new server before it is released at the old one, and the
leader may change at any step. There is one model and two backend servers. A leader
commits assignments, one proposal at a time. Each agent adopts any assignment newer
than its own, late or never. The leader's copy of an agent's report may be old. A
leader change loses all reports. A pending proposal is either committed or dropped
before the new leader decides anything.

Setting a field of `Rules` to False removes one rule from the protocol. Each of
these weakened protocols has a counterexample.
"""

from typing import Any, NamedTuple

from minicheck import Protocol

__all__ = ["MAX_COMMITS", "MAX_LEADER_CHANGES", "Rules", "build_moves_protocol"]

MAX_COMMITS = 5
MAX_LEADER_CHANGES = 2


class Rules(NamedTuple):
    """Rules that ensure at least one replica stays ready.

    Parameters
    ----------
    waits_for_ready : bool
        A release requires a report that the other server is ready.
    matches_newest_revision : bool
        That report must refer to the server's newest assignment.
    settles_proposals_first : bool
        A new leader decides only after older proposals are committed or dropped.
    """

    waits_for_ready: bool = True
    matches_newest_revision: bool = True
    settles_proposals_first: bool = True


class Assignment(NamedTuple):
    """A committed assignment of one server."""

    revision: int
    holds_model: bool


class Agent(NamedTuple):
    """An agent: its newest adopted assignment, and whether its engine is ready."""

    assignment: Assignment
    is_ready: bool


class State(NamedTuple):
    """State of the whole system; each pair is of server 0 and server 1.

    Parameters
    ----------
    committed : tuple of Assignment
    in_transit : tuple of tuple of Assignment
        Assignments sent and not yet adopted.
    agents : tuple of Agent
    reports : tuple of Agent or None
        The last report of each agent that the leader received.
    proposal, previous_proposal : tuple of (int, bool) or None
        Server and whether it is to hold the model, proposed by the current and by
        the previous leader.
    n_commits, n_leader_changes : int
    """

    committed: tuple[Assignment, Assignment]
    in_transit: tuple[tuple[Assignment, ...], tuple[Assignment, ...]]
    agents: tuple[Agent, Agent]
    reports: tuple[Agent | None, Agent | None]
    proposal: tuple[int, bool] | None
    previous_proposal: tuple[int, bool] | None
    n_commits: int
    n_leader_changes: int


_HOLDS_MODEL = Assignment(1, True)
_HOLDS_NOTHING = Assignment(0, False)
INITIAL = State(
    committed=(_HOLDS_MODEL, _HOLDS_NOTHING),
    in_transit=((), ()),
    agents=(Agent(_HOLDS_MODEL, True), Agent(_HOLDS_NOTHING, False)),
    reports=(None, None),
    proposal=None,
    previous_proposal=None,
    n_commits=1,
    n_leader_changes=0,
)


def build_moves_protocol(rules: Rules) -> Protocol:
    """Return the protocol under some rules."""
    return Protocol(
        name="moves",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: [
            (label, tuple(next_state))
            for label, next_state in _list_transitions(State(*state), rules)
        ],
        invariants={
            "some_replica_is_ready": lambda d: any(a.is_ready for a in d["agents"])
        },
    )


def _list_transitions(state: State, rules: Rules) -> list[tuple[str, State]]:
    steps = []
    for server in (0, 1):
        steps += _propose_assignment(state, server, rules)
        steps += _adopt_assignment(state, server)
        steps += _carry_out_assignment(state, server)
        new_reports = _replace_at(state.reports, server, state.agents[server])
        steps.append((f"report_{server}", state._replace(reports=new_reports)))
    steps += _commit_proposals(state)
    steps += _change_leader(state, rules)
    return steps


def _propose_assignment(
    state: State, server: int, rules: Rules
) -> list[tuple[str, State]]:
    if state.proposal is not None or state.n_commits >= MAX_COMMITS:
        return []
    if not state.committed[server].holds_model:
        return [(f"propose_add_{server}", state._replace(proposal=(server, True)))]
    if _may_release_model(state, 1 - server, rules):
        label = f"propose_release_{server}"
        return [(label, state._replace(proposal=(server, False)))]
    return []


def _may_release_model(state: State, other_server: int, rules: Rules) -> bool:
    assignment = state.committed[other_server]
    report = state.reports[other_server]
    if not assignment.holds_model:
        return False
    if not rules.waits_for_ready:
        return True
    if report is None or not report.is_ready:
        return False
    return not rules.matches_newest_revision or report.assignment == assignment


def _commit_proposals(state: State) -> list[tuple[str, State]]:
    steps = []
    if state.proposal is not None:
        next_state = _apply_proposal(state, state.proposal)._replace(proposal=None)
        steps.append(("commit", next_state))
    if state.previous_proposal is not None:
        next_state = _apply_proposal(state, state.previous_proposal)._replace(
            previous_proposal=None
        )
        steps.append(("commit_previous", next_state))
    return steps


def _apply_proposal(state: State, proposal: tuple[int, bool]) -> State:
    server, holds_model = proposal
    assignment = Assignment(state.n_commits + 1, holds_model)
    in_transit = (*state.in_transit[server], assignment)
    return state._replace(
        committed=_replace_at(state.committed, server, assignment),
        in_transit=_replace_at(state.in_transit, server, in_transit),
        n_commits=state.n_commits + 1,
    )


def _change_leader(state: State, rules: Rules) -> list[tuple[str, State]]:
    if state.n_leader_changes >= MAX_LEADER_CHANGES:
        return []
    changed = state._replace(
        reports=(None, None), proposal=None, n_leader_changes=state.n_leader_changes + 1
    )
    steps = [("change_leader", changed)]
    if state.proposal is None:
        return steps
    if rules.settles_proposals_first:
        steps.append(
            ("change_leader_after_commit", _apply_proposal(changed, state.proposal))
        )
    else:
        uncommitted = changed._replace(previous_proposal=state.proposal)
        steps.append(("change_leader_before_commit", uncommitted))
    return steps


def _adopt_assignment(state: State, server: int) -> list[tuple[str, State]]:
    steps = []
    agent = state.agents[server]
    for assignment in state.in_transit[server]:
        newer = tuple(
            candidate
            for candidate in state.in_transit[server]
            if candidate.revision > assignment.revision
        )
        next_state = state._replace(
            agents=_replace_at(
                state.agents, server, agent._replace(assignment=assignment)
            ),
            in_transit=_replace_at(state.in_transit, server, newer),
        )
        steps.append((f"adopt_{server}", next_state))
    return steps


def _carry_out_assignment(state: State, server: int) -> list[tuple[str, State]]:
    agent = state.agents[server]
    if agent.is_ready == agent.assignment.holds_model:
        return []
    label = f"load_{server}" if agent.assignment.holds_model else f"unload_{server}"
    agent_after = agent._replace(is_ready=agent.assignment.holds_model)
    return [
        (label, state._replace(agents=_replace_at(state.agents, server, agent_after)))
    ]


def _replace_at(pair: tuple[Any, Any], index: int, value: Any) -> tuple[Any, Any]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
