"""Election timeouts, pre-votes and votes: how a replica becomes the leader."""

from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Success

from ..kernel.clock import monotonic_ms
from ..kernel.logs import get_logger
from ..kernel.metrics import Metrics
from ._membership import has_quorum, list_voter_ids
from ._messages import Member, VoteReply, VoteRequest
from ._peers import PeerLinks
from ._state import ReplicaState, Role

__all__ = ["draw_election_timeout_ms", "run_election", "wait_until_election_due"]

# Time limit for the answer to one vote request, in ms.
VOTE_REQUEST_TIMEOUT_MS = 500
# Upper bound of the random part of the first election timeout, in ms. After a power
# failure all replicas start at the same time and none may vote before the shortest
# timeout has passed; the random part keeps them from starting elections together.
FIRST_ELECTION_JITTER_MS = 80.0
# Mean delay before the first repetition of a failed pre-vote, in ms. It doubles with
# each failure, because the other replicas usually start within moments of each other
# but may also be unreachable for a long time.
PRE_VOTE_RETRY_MS = 40.0
# Largest number of times that the delay between pre-votes is doubled.
MAX_PRE_VOTE_RETRY_DOUBLINGS = 3


async def wait_until_election_due(state: ReplicaState) -> None:
    """Return when this replica should start an election."""
    timeout_ms = draw_election_timeout_ms(state)
    while True:
        remaining_ms = state.election_timer_start_ms + timeout_ms - monotonic_ms()
        if state.is_voter and _is_election_due(state, remaining_ms):
            return
        if remaining_ms <= 0:
            remaining_ms = timeout_ms
        await state.changed.wait_for(remaining_ms)


def draw_election_timeout_ms(state: ReplicaState) -> float:
    """Draw the time to wait for a leader before the next election.

    The first timeout after a start is short: an existing leader sends a heartbeat
    soon after the start, and while there is a leader, the other replicas refuse the
    pre-vote.
    """
    timing = state.timing
    if state.uses_full_election_timeout:
        return state.rng.uniform(timing.election_min_ms, timing.election_max_ms)
    return timing.election_min_ms + state.rng.uniform(0.0, FIRST_ELECTION_JITTER_MS)


def _is_election_due(state: ReplicaState, remaining_ms: float) -> bool:
    is_only_voter = len(list_voter_ids(state.log.members)) == 1
    return remaining_ms <= 0 or state.is_handover_requested or is_only_voter


async def run_election(state: ReplicaState, links: PeerLinks, metrics: Metrics) -> bool:
    """Run one election and return whether this replica won it.

    A pre-vote first asks the voters, without changing their state, whether they
    would grant their vote. It keeps a replica that was disconnected from raising the
    term when it reconnects.
    """
    handover = state.is_handover_requested
    state.is_handover_requested = False
    state.election_timer_start_ms = monotonic_ms()
    term = state.term
    if not handover and not await _request_votes(
        state, links, _make_pre_vote_request(state)
    ):
        # A pre-vote changes no state, so it is repeated sooner than after a whole
        # election timeout. A heartbeat that arrives in the meantime restarts the
        # timer.
        state.election_timer_start_ms = monotonic_ms() - state.timing.election_max_ms
        pause_ms = PRE_VOTE_RETRY_MS * 2 ** min(
            state.n_failed_pre_votes, MAX_PRE_VOTE_RETRY_DOUBLINGS
        )
        state.n_failed_pre_votes += 1
        await state.changed.wait_for(pause_ms * state.rng.uniform(0.5, 1.5))
        return False
    if state.term != term or (not handover and state.has_live_leader(monotonic_ms())):
        return False
    state.become_candidate()
    term = state.term
    await state.save_ballot()
    metrics.count("elections_total")
    get_logger().info("election_started", term=term, handover=handover)
    is_won = await _request_votes(state, links, _make_vote_request(state, handover))
    return is_won and state.term == term and state.role == Role.CANDIDATE


def _make_pre_vote_request(state: ReplicaState) -> VoteRequest:
    log = state.log
    return VoteRequest(
        "",
        state.replica_id,
        state.term + 1,
        log.last_index,
        log.last_term,
        pre=True,
        handover=False,
    )


def _make_vote_request(state: ReplicaState, handover: bool) -> VoteRequest:
    return _make_pre_vote_request(state)._replace(
        term=state.term, pre=False, handover=handover
    )


def _log_unanswered_vote(
    state: ReplicaState, member: Member, request: VoteRequest, result: Any
) -> None:
    """Log an unanswered vote request, once until the voter answers again."""
    if not isinstance(result, Err):
        state.unresponsive_voters.discard(member.replica_id)
        return
    if member.replica_id in state.unresponsive_voters:
        return
    state.unresponsive_voters.add(member.replica_id)
    get_logger().info(
        "vote_not_answered",
        member=member.replica_id,
        term=request.term,
        pre=request.pre,
        code=result.failure().code.value,
        reason=result.failure().message,
    )


async def _request_votes(
    state: ReplicaState, links: PeerLinks, request: VoteRequest
) -> bool:
    """Send a vote request to every other voter; return whether a quorum granted it.

    Returns as soon as that is decided, or once every voter has answered or failed.
    """
    members = state.log.members
    other_voters = [
        member
        for member in members
        if member.voter and member.replica_id != state.replica_id
    ]
    granting_ids = {state.replica_id}
    decided = anyio.Event()
    if has_quorum(members, granting_ids):
        return True

    async def request_vote(member: Any) -> None:
        link = links.get_link(member.addr)
        addressed_request = request._replace(to_id=member.replica_id)
        result = await link.request(addressed_request, VOTE_REQUEST_TIMEOUT_MS)
        _log_unanswered_vote(state, member, request, result)
        match result:
            case Success(VoteReply(_, True)):
                granting_ids.add(member.replica_id)
            case Success(VoteReply(term, _)) if term > state.term:
                state.become_follower(term)
                decided.set()
        if has_quorum(members, granting_ids):
            decided.set()

    async def request_all_votes() -> None:
        async with anyio.create_task_group() as tasks:
            for member in other_voters:
                tasks.start_soon(request_vote, member)
        decided.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(request_all_votes)
        await decided.wait()
        tasks.cancel_scope.cancel()
    return has_quorum(members, granting_ids)
