"""Handling of votes, heartbeats, appends and snapshots from other replicas."""

import anyio

from ..kernel.logs import get_logger
from ._applier import Applier
from ._errors import DataDamagedError, exit_on_data_damage
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


class _PartialSnapshot:
    """A snapshot of which only the first chunks have arrived."""

    def __init__(self, leader_id: str, index: int):
        self.leader_id = leader_id
        self.index = index
        self.data = bytearray()


class Follower:
    """Handles the requests that other replicas send to this one.

    Parameters
    ----------
    state : ReplicaState
    applier : Applier
    """

    def __init__(self, state: ReplicaState, applier: Applier):
        self._state = state
        self._applier = applier
        self._log_lock = anyio.Lock()
        self._partial_snapshot: _PartialSnapshot | None = None

    async def handle_vote_request(
        self, request: VoteRequest, now_ms: float
    ) -> VoteReply:
        """Grant or refuse a vote.

        A replica votes for one candidate per term, and only for a candidate whose
        log is at least as new as its own.
        """
        state = self._state
        if request.term < state.term:
            return VoteReply(state.term, False)
        if not request.handover and state.has_live_leader(now_ms):
            return VoteReply(state.term, False)
        log = state.log
        candidate_position = (request.last_term, request.last_index)
        is_log_up_to_date = candidate_position >= (log.last_term, log.last_index)
        if request.pre:
            return VoteReply(
                state.term, is_log_up_to_date and request.term > state.term
            )
        if request.term > state.term:
            state.become_follower(request.term)
        granted = is_log_up_to_date and state.ballot.voted_for in (
            "",
            request.candidate_id,
        )
        if granted:
            state.set_vote(request.candidate_id)
            state.election_timer_start_ms = now_ms
        await state.save_ballot()
        return VoteReply(state.term, granted)

    async def handle_heartbeat(
        self, request: HeartbeatRequest, now_ms: float
    ) -> HeartbeatReply:
        """Acknowledge a heartbeat and advance the commit index.

        The answer renews the leader's lease.
        """
        if self._accept_leader(request, now_ms):
            await self._state.save_ballot()
            if request.term == self._state.term:
                self._state.advance_commit_index(request.commit_index)
        return HeartbeatReply(self._state.term)

    async def handle_append(self, request: AppendRequest, now_ms: float) -> AppendReply:
        """Append and sync the leader's entries if the entry before them matches."""
        state = self._state
        if not self._accept_leader(request, now_ms):
            return AppendReply(state.term, False, 0, 0)
        await state.save_ballot()
        async with self._log_lock:
            if request.term != state.term:
                return AppendReply(state.term, False, 0, 0)
            conflict_index = self._find_conflict_index(request)
            if conflict_index:
                return AppendReply(state.term, False, 0, conflict_index)
            await self._store_entries(request)
            match_index = request.prev_index + len(request.entries)
            state.advance_commit_index(min(request.commit_index, match_index))
        return AppendReply(state.term, True, match_index, 0)

    async def handle_snapshot_chunk(
        self, chunk: SnapshotChunk, now_ms: float
    ) -> SnapshotReply:
        """Collect the chunks of a snapshot and install it when it is complete."""
        state = self._state
        if not self._accept_leader(chunk, now_ms):
            return SnapshotReply(state.term, 0)
        await state.save_ballot()
        async with self._log_lock:
            if chunk.term != state.term:
                return SnapshotReply(state.term, 0)
            next_offset = self._add_chunk(chunk)
            if next_offset == chunk.total_bytes:
                next_offset = await self._install_snapshot(chunk)
        return SnapshotReply(state.term, next_offset)

    def handle_timeout_now(self, request: TimeoutNow) -> None:
        """Start an election at once if the current leader asks for it."""
        state = self._state
        if request.term == state.term and request.leader_id == state.leader_id:
            state.is_handover_requested = True
            state.changed.notify()

    def _accept_leader(
        self, request: AppendRequest | HeartbeatRequest | SnapshotChunk, now_ms: float
    ) -> bool:
        """Follow the sender unless its term is old; return whether it is the leader."""
        state = self._state
        if request.term < state.term:
            return False
        if request.term == state.term and state.role == Role.LEADER:
            get_logger().error("two_leaders", term=state.term, other=request.leader_id)
            return False
        state.become_follower(request.term, request.leader_id, request.leader_addr)
        state.record_leader_contact(now_ms)
        return True

    def _find_conflict_index(self, request: AppendRequest) -> int:
        """Return the index that the leader should send next; 0 if the logs match."""
        log = self._state.log
        if request.prev_index > log.last_index:
            return log.last_index + 1
        local_term = log.term_at(request.prev_index)
        if local_term is None:
            return self._state.commit_index + 1
        if local_term != request.prev_term:
            return max(log.first_index_of_term(request.prev_index), 1)
        return 0

    async def _store_entries(self, request: AppendRequest) -> None:
        """Append the entries that are new, after truncating entries that differ."""
        log = self._state.log
        entries = request.entries
        n_matching = 0
        while n_matching < len(entries) and (
            log.term_at(entries[n_matching].index) == entries[n_matching].term
        ):
            n_matching += 1
        new_entries = entries[n_matching:]
        if new_entries and new_entries[0].index <= log.last_index:
            if new_entries[0].index <= self._state.commit_index:
                exit_on_data_damage(f"committed entry {new_entries[0].index} differs")
            await log.truncate_from(new_entries[0].index)
        log.append(new_entries)
        await log.sync(request.prev_index + len(entries))
        await self._state.record_log_exists()

    def _add_chunk(self, chunk: SnapshotChunk) -> int:
        """Add a chunk that continues the snapshot; return the next offset."""
        partial = self._partial_snapshot
        if partial is None or (partial.leader_id, partial.index) != (
            chunk.leader_id,
            chunk.index,
        ):
            partial = _PartialSnapshot(chunk.leader_id, chunk.index)
            self._partial_snapshot = partial
        if chunk.offset == len(partial.data):
            partial.data += chunk.data
        return len(partial.data)

    async def _install_snapshot(self, chunk: SnapshotChunk) -> int:
        data = bytes(self._partial_snapshot.data)
        self._partial_snapshot = None
        try:
            snapshot = decode_snapshot(data)
        except DataDamagedError:
            return 0
        if snapshot.header.index > self._state.commit_index:
            await self._state.log.install_snapshot(snapshot)
            await self._state.record_log_exists()
            self._applier.restore(snapshot)
            self._state.advance_commit_index(snapshot.header.index)
            get_logger().info("snapshot_installed", index=snapshot.header.index)
        return chunk.total_bytes
