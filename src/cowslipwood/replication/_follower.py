"""Answers the leader and the candidates."""

import anyio

from ..kernel.logs import get_logger
from ._applier import Applier
from ._errors import DataDamagedError, stop_on_damage
from ._messages import (
    AppendReply,
    AppendRequest,
    HeartbeatReply,
    HeartbeatRequest,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from ._snapshots import decode_snapshot
from ._state import ReplicaState, Role

__all__ = ["Follower"]


class _Incoming:
    """A snapshot that arrives in parts."""

    def __init__(self, leader_id: str, index: int):
        self.leader_id = leader_id
        self.index = index
        self.data = bytearray()


class Follower:
    """The part of a replica that others ask.

    Parameters
    ----------
    state : ReplicaState
    applier : Applier
    """

    def __init__(self, state: ReplicaState, applier: Applier):
        self._state = state
        self._applier = applier
        self._changing_log = anyio.Lock()
        self._incoming: _Incoming | None = None

    async def on_vote(self, request: VoteRequest, now_ms: float) -> VoteReply:
        """Grant or refuse a vote, once in a term and only to a log as new."""
        state = self._state
        if request.term < state.term:
            return VoteReply(state.term, False)
        if not request.handover and state.has_live_leader(now_ms):
            return VoteReply(state.term, False)
        log = state.log
        candidate = (request.last_term, request.last_index)
        is_as_new = candidate >= (log.last_term, log.last_index)
        if request.pre:
            return VoteReply(state.term, is_as_new and request.term > state.term)
        if request.term > state.term:
            state.follow(request.term)
        granted = is_as_new and state.ballot.voted_for in ("", request.candidate_id)
        if granted:
            state.vote_for(request.candidate_id)
            state.timer_ms = now_ms
        await state.save_ballot()
        return VoteReply(state.term, granted)

    async def on_heartbeat(
        self, request: HeartbeatRequest, now_ms: float
    ) -> HeartbeatReply:
        """Renew the leader's lease."""
        if self._accepts(request, now_ms):
            await self._state.save_ballot()
            if request.term == self._state.term:
                self._state.commit(request.commit_index)
        return HeartbeatReply(self._state.term)

    async def on_append(self, request: AppendRequest, now_ms: float) -> AppendReply:
        """Append the leader's entries and sync them, if what precedes agrees."""
        state = self._state
        if not self._accepts(request, now_ms):
            return AppendReply(state.term, False, 0, 0)
        await state.save_ballot()
        async with self._changing_log:
            if request.term != state.term:
                return AppendReply(state.term, False, 0, 0)
            conflict_index = self._conflict(request)
            if conflict_index:
                return AppendReply(state.term, False, 0, conflict_index)
            await self._take(request)
            match_index = request.prev_index + len(request.entries)
            state.commit(min(request.commit_index, match_index))
        return AppendReply(state.term, True, match_index, 0)

    async def on_snapshot(self, chunk: SnapshotChunk, now_ms: float) -> SnapshotReply:
        """Collect a snapshot and install it when it is whole."""
        state = self._state
        if not self._accepts(chunk, now_ms):
            return SnapshotReply(state.term, 0)
        await state.save_ballot()
        async with self._changing_log:
            if chunk.term != state.term:
                return SnapshotReply(state.term, 0)
            next_offset = self._collect(chunk)
            if next_offset == chunk.total_bytes:
                next_offset = await self._install(chunk)
        return SnapshotReply(state.term, next_offset)

    def on_timeout_now(self, request: TimeoutNow) -> None:
        """Stand for election at once, when the present leader asks."""
        state = self._state
        if request.term == state.term and request.leader_id == state.leader_id:
            state.handover_asked = True
            state.changed.notify()

    def _accepts(
        self, request: AppendRequest | HeartbeatRequest | SnapshotChunk, now_ms: float
    ) -> bool:
        """Follow the sender, unless its term is old."""
        state = self._state
        if request.term < state.term:
            return False
        if request.term == state.term and state.role == Role.LEADER:
            get_logger().error("two_leaders", term=state.term, other=request.leader_id)
            return False
        state.follow(request.term, request.leader_id, request.leader_addr)
        state.note_leader(now_ms)
        return True

    def _conflict(self, request: AppendRequest) -> int:
        """Return where the leader should try next, or 0 when the logs agree."""
        log = self._state.log
        if request.prev_index > log.last_index:
            return log.last_index + 1
        held_term = log.term_at(request.prev_index)
        if held_term is None:
            return self._state.commit_index + 1
        if held_term != request.prev_term:
            return max(log.first_of_term(request.prev_index), 1)
        return 0

    async def _take(self, request: AppendRequest) -> None:
        """Append what is new, after removing what differs."""
        log = self._state.log
        entries = request.entries
        n_held = 0
        while n_held < len(entries) and (
            log.term_at(entries[n_held].index) == entries[n_held].term
        ):
            n_held += 1
        new = entries[n_held:]
        if new and new[0].index <= log.last_index:
            if new[0].index <= self._state.commit_index:
                stop_on_damage(f"committed entry {new[0].index} differs")
            await log.truncate_from(new[0].index)
        log.append(new)
        await log.sync(request.prev_index + len(entries))
        await self._state.note_log()

    def _collect(self, chunk: SnapshotChunk) -> int:
        """Add a part; return the offset of the next."""
        held = self._incoming
        if held is None or (held.leader_id, held.index) != (
            chunk.leader_id,
            chunk.index,
        ):
            held = _Incoming(chunk.leader_id, chunk.index)
            self._incoming = held
        if chunk.offset == len(held.data):
            held.data += chunk.data
        return len(held.data)

    async def _install(self, chunk: SnapshotChunk) -> int:
        data = bytes(self._incoming.data)
        self._incoming = None
        try:
            snapshot = decode_snapshot(data)
        except DataDamagedError:
            return 0
        if snapshot.header.index > self._state.commit_index:
            await self._state.log.install_snapshot(snapshot)
            await self._state.note_log()
            self._applier.restore(snapshot)
            self._state.commit(snapshot.header.index)
            get_logger().info("snapshot_installed", index=snapshot.header.index)
        return chunk.total_bytes
