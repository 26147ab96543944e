"""The leadership of one term: replication, commits and the lease."""

import anyio
import anyio.abc
from returns.result import Failure as Err

from ..kernel.clock import monotonic_ms
from ..kernel.signal import Signal
from ._membership import quorum_value
from ._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HeartbeatReply,
    HeartbeatRequest,
    LogEntry,
    Member,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)
from ._peers import PeerLink, PeerLinks
from ._snapshots import encode_snapshot
from ._state import ReplicaState, Role

__all__ = ["Leadership"]

APPEND_TIMEOUT_MS = 5_000
HEARTBEAT_TIMEOUT_MS = 1_000
RETRY_MS = 50
QUORUM_CHECK_MS = 50
BATCH_ENTRIES = 512
BATCH_BYTES = 1024 * 1024
CHUNK_BYTES = 1024 * 1024


class Leadership:
    """Leads the replicas from an election until a newer term or a lost quorum.

    Parameters
    ----------
    state : ReplicaState
    links : PeerLinks
    now_ms : float
        When the election was won.
    """

    def __init__(self, state: ReplicaState, links: PeerLinks, now_ms: float):
        self.term = state.term
        self._state = state
        self._links = links
        self.started_ms = now_ms
        self._match: dict[str, int] = {}
        self._next: dict[str, int] = {}
        self._acked_ms: dict[str, float] = {}
        self._followers: dict[str, anyio.CancelScope] = {}
        self._new_entries = Signal()
        self._scope = anyio.CancelScope()
        state.role = Role.LEADER
        state.leader_id = state.replica_id
        state.leader_addr = state.addr
        state.leading = self
        self.first_index = self.append(EntryKind.NOOP, b"")

    def append(self, kind: EntryKind, payload: bytes) -> int:
        """Append an entry of the present term and return its index."""
        log = self._state.log
        entry = LogEntry(log.last_index + 1, self.term, kind.value, payload)
        log.append([entry])
        self._new_entries.notify()
        return entry.index

    def quorum_acked_ms(self, now_ms: float) -> float:
        """Return when the newest question that a quorum answered was sent."""
        acked_ms = {**self._acked_ms, self._state.replica_id: now_ms}
        newest_ms = quorum_value(self._state.log.members, acked_ms)
        return max(newest_ms, 0)

    def silent_ms(self, now_ms: float) -> dict[str, float]:
        """Return the time since each follower's last answer, or since the election."""
        others = (
            member.replica_id
            for member in self._state.log.members
            if member.replica_id != self._state.replica_id
        )
        return {
            replica_id: now_ms - max(self._acked_ms.get(replica_id, 0), self.started_ms)
            for replica_id in others
        }

    def holds_lease(self, now_ms: float) -> bool:
        """Return whether a quorum answered recently enough to act on."""
        return now_ms < self.quorum_acked_ms(now_ms) + self._state.timing.lease_ms

    def match_index(self, replica_id: str) -> int:
        """Return how far a replica's synced log is known to agree."""
        return self._match.get(replica_id, 0)

    def stop(self) -> None:
        """End the leadership."""
        self._scope.cancel()

    async def run(self) -> None:
        """Lead until stopped."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._sync_own_log)
                tasks.start_soon(self._watch_quorum)
                await self._serve_members(tasks)

    async def hand_over(self) -> None:
        """Step down and ask the follower with the newest log to take the lead."""
        state = self._state
        best = max(
            (
                m
                for m in state.log.members
                if m.voter and m.replica_id != state.replica_id
            ),
            key=lambda m: self.match_index(m.replica_id),
            default=None,
        )
        state.follow(self.term)
        if best is not None:
            request = TimeoutNow(best.replica_id, state.replica_id, self.term)
            await self._links.link(best.addr).request(request, HEARTBEAT_TIMEOUT_MS)

    async def _serve_members(self, tasks: anyio.abc.TaskGroup) -> None:
        """Keep one task for each follower, as the membership changes."""
        while True:
            members = {m.replica_id: m for m in self._state.log.members}
            members.pop(self._state.replica_id, None)
            for replica_id in self._followers.keys() - members.keys():
                self._followers.pop(replica_id).cancel()
            for replica_id in members.keys() - self._followers.keys():
                scope = anyio.CancelScope()
                self._followers[replica_id] = scope
                tasks.start_soon(self._serve_follower, members[replica_id], scope)
            await self._new_entries.wait()

    async def _serve_follower(self, member: Member, scope: anyio.CancelScope) -> None:
        self._next[member.replica_id] = self._state.log.last_index
        link = self._links.link(member.addr)
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_heartbeats, member, link)
                await self._replicate(member, link)

    async def _sync_own_log(self) -> None:
        log = self._state.log
        while True:
            if log.synced_index < log.last_index:
                await log.sync(log.last_index)
                self._matched(self._state.replica_id, log.synced_index)
            else:
                self._matched(self._state.replica_id, log.synced_index)
                await self._new_entries.wait()

    async def _watch_quorum(self) -> None:
        """Step down when no quorum answers, or when removed from the members."""
        state = self._state
        while True:
            now_ms = monotonic_ms()
            leader_seen_ms = max(self.started_ms, self.quorum_acked_ms(now_ms))
            is_lost = now_ms - leader_seen_ms > state.timing.election_max_ms
            is_removed = (
                not state.is_voter and state.commit_index >= state.log.members_index
            )
            if is_lost or is_removed:
                state.follow(self.term)
            await anyio.sleep(QUORUM_CHECK_MS / 1000)

    async def _send_heartbeats(self, member: Member, link: PeerLink) -> None:
        state = self._state
        while True:
            sent_ms = monotonic_ms()
            commit_index = min(state.commit_index, self.match_index(member.replica_id))
            request = HeartbeatRequest(
                member.replica_id, state.replica_id, state.addr, self.term, commit_index
            )
            result = await link.request(request, HEARTBEAT_TIMEOUT_MS)
            reply = result.value_or(None)
            if isinstance(reply, HeartbeatReply):
                self._acked(member.replica_id, reply.term, sent_ms)
            spent_ms = monotonic_ms() - sent_ms
            pause_ms = max(state.timing.heartbeat_ms - spent_ms, 1)
            await anyio.sleep(pause_ms / 1000)

    async def _replicate(self, member: Member, link: PeerLink) -> None:
        while True:
            if not await self._send_next(member, link):
                await anyio.sleep(RETRY_MS / 1000)
            elif self._next[member.replica_id] > self._state.log.last_index:
                await self._new_entries.wait()

    async def _send_next(self, member: Member, link: PeerLink) -> bool:
        """Send what follows the last agreed entry; return whether it was answered."""
        state = self._state
        prev_index = self._next[member.replica_id] - 1
        prev_term = state.log.term_at(prev_index)
        if prev_term is None:
            return await self._send_snapshot(member, link)
        request = AppendRequest(
            member.replica_id,
            state.replica_id,
            state.addr,
            self.term,
            prev_index,
            prev_term,
            state.commit_index,
            state.log.entries_from(prev_index + 1, BATCH_ENTRIES, BATCH_BYTES),
        )
        sent_ms = monotonic_ms()
        result = await link.request(request, APPEND_TIMEOUT_MS)
        reply = result.value_or(None)
        if not isinstance(reply, AppendReply):
            return False
        if not self._acked(member.replica_id, reply.term, sent_ms):
            return False
        if reply.accepted:
            self._matched(member.replica_id, reply.match_index)
            self._next[member.replica_id] = reply.match_index + 1
        else:
            last_index = state.log.last_index
            self._next[member.replica_id] = max(
                1, min(reply.conflict_index, last_index + 1)
            )
        return True

    async def _send_snapshot(self, member: Member, link: PeerLink) -> bool:
        """Send the snapshot in parts; return whether the whole was taken."""
        state = self._state
        snapshot = state.log.snapshot
        if snapshot is None:
            return False
        data = encode_snapshot(snapshot)
        index = snapshot.header.index
        offset = 0
        while offset < len(data):
            chunk = SnapshotChunk(
                member.replica_id,
                state.replica_id,
                state.addr,
                self.term,
                index,
                offset,
                len(data),
                data[offset : offset + CHUNK_BYTES],
            )
            sent_ms = monotonic_ms()
            result = await link.request(chunk, APPEND_TIMEOUT_MS)
            if isinstance(result, Err):
                return False
            reply: SnapshotReply = result.unwrap()
            if not self._acked(member.replica_id, reply.term, sent_ms):
                return False
            if reply.next_offset <= offset:
                return False
            offset = reply.next_offset
        self._matched(member.replica_id, index)
        self._next[member.replica_id] = index + 1
        return True

    def _acked(self, replica_id: str, term: int, sent_ms: float) -> bool:
        """Note an answer; return whether the replica still follows."""
        if term > self.term:
            if term > self._state.term:
                self._state.follow(term)
            return False
        held_ms = self._acked_ms.get(replica_id, 0)
        self._acked_ms[replica_id] = max(held_ms, sent_ms)
        return True

    def _matched(self, replica_id: str, index: int) -> None:
        """Note what a replica has synced and commit what a quorum has."""
        state = self._state
        self._match[replica_id] = max(self.match_index(replica_id), index)
        committed = int(quorum_value(state.log.members, self._match))
        # An older term's entry may still be replaced by another leader, however
        # many replicas hold it; it commits with the first entry of this term.
        if state.log.term_at(committed) == self.term:
            state.commit(committed)
