"""Waits for a leader, and stands for election when there is none."""

from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Success

from ..kernel.clock import monotonic_ms
from ..kernel.logs import get_logger
from ..kernel.metrics import Metrics
from ._membership import has_quorum, voters
from ._messages import Member, VoteReply, VoteRequest
from ._peers import PeerLinks
from ._state import ReplicaState, Role

__all__ = ["election_timeout_ms", "stand_for_election", "wait_until_due"]

VOTE_TIMEOUT_MS = 500
# After a loss of power all replicas start at once and nobody may vote before the
# shortest timeout is over; this much at random keeps them from standing together.
FIRST_SPREAD_MS = 80.0
# Between two rounds of questions, doubled up to the last of them: the others start
# within moments of each other, but may also be out of reach for long.
ASK_AGAIN_MS = 40.0
MAX_DOUBLINGS = 3


async def wait_until_due(state: ReplicaState) -> None:
    """Return when this replica should stand for election."""
    timeout_ms = election_timeout_ms(state)
    while True:
        left_ms = state.timer_ms + timeout_ms - monotonic_ms()
        if state.is_voter and _may_stand(state, left_ms):
            return
        if left_ms <= 0:
            left_ms = timeout_ms
        await state.changed.wait_for(left_ms)


def election_timeout_ms(state: ReplicaState) -> float:
    """Return how long to wait for a leader, drawn anew for each election.

    A leader that is there is heard of soon after a start, and otherwise refuses the
    questions, so the first time is short.
    """
    timing = state.timing
    if state.has_heard_leader:
        return state.rng.uniform(timing.election_min_ms, timing.election_max_ms)
    return timing.election_min_ms + state.rng.uniform(0.0, FIRST_SPREAD_MS)


def _may_stand(state: ReplicaState, left_ms: float) -> bool:
    stands_alone = len(voters(state.log.members)) == 1
    return left_ms <= 0 or state.handover_asked or stands_alone


async def stand_for_election(
    state: ReplicaState, links: PeerLinks, metrics: Metrics
) -> bool:
    """Return whether this replica won the next term.

    A first round asks without any effect whether the votes would be granted, so
    that a replica that is cut off does not raise the term when it comes back.
    """
    handover = state.handover_asked
    state.handover_asked = False
    state.timer_ms = monotonic_ms()
    term = state.term
    if not handover and not await _ask_voters(state, links, _pre_vote(state)):
        # Asking has no effect, so it is repeated sooner than a whole timeout. A
        # leader that is heard meanwhile moves the timer on.
        state.timer_ms = monotonic_ms() - state.timing.election_max_ms
        pause_ms = ASK_AGAIN_MS * 2 ** min(state.n_rounds_refused, MAX_DOUBLINGS)
        state.n_rounds_refused += 1
        await state.changed.wait_for(pause_ms * state.rng.uniform(0.5, 1.5))
        return False
    if state.term != term or (not handover and state.has_live_leader(monotonic_ms())):
        return False
    state.stand()
    term = state.term
    await state.save_ballot()
    metrics.count("elections_total")
    get_logger().info("election_started", term=term, handover=handover)
    won = await _ask_voters(state, links, _vote(state, handover))
    return won and state.term == term and state.role == Role.CANDIDATE


def _pre_vote(state: ReplicaState) -> VoteRequest:
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


def _vote(state: ReplicaState, handover: bool) -> VoteRequest:
    return _pre_vote(state)._replace(term=state.term, pre=False, handover=handover)


def _note_silence(
    state: ReplicaState, member: Member, request: VoteRequest, answered: Any
) -> None:
    """Log that a voter does not answer, once until it has answered again."""
    if not isinstance(answered, Err):
        state.silent_voters.discard(member.replica_id)
        return
    if member.replica_id in state.silent_voters:
        return
    state.silent_voters.add(member.replica_id)
    get_logger().info(
        "vote_not_answered",
        member=member.replica_id,
        term=request.term,
        pre=request.pre,
        code=answered.failure().code.value,
        reason=answered.failure().message,
    )


async def _ask_voters(
    state: ReplicaState, links: PeerLinks, request: VoteRequest
) -> bool:
    """Ask every voter; return whether a quorum granted."""
    members = state.log.members
    others = [m for m in members if m.voter and m.replica_id != state.replica_id]
    granted = {state.replica_id}
    done = anyio.Event()
    if has_quorum(members, granted):
        return True

    async def ask(member: Any) -> None:
        link = links.link(member.addr)
        asked = request._replace(to_id=member.replica_id)
        answered = await link.request(asked, VOTE_TIMEOUT_MS)
        _note_silence(state, member, request, answered)
        match answered:
            case Success(VoteReply(_, True)):
                granted.add(member.replica_id)
            case Success(VoteReply(term, _)) if term > state.term:
                state.follow(term)
                done.set()
        if has_quorum(members, granted):
            done.set()

    async def ask_all() -> None:
        async with anyio.create_task_group() as tasks:
            for member in others:
                tasks.start_soon(ask, member)
        done.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask_all)
        await done.wait()
        tasks.cancel_scope.cancel()
    return has_quorum(members, granted)
