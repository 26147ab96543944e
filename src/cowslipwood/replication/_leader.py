"""What the leader of a term does: replication, commits, heartbeats and the lease."""

import anyio
import anyio.abc
from returns.result import Failure as Err

from ..kernel.clock import monotonic_ms
from ..kernel.notifier import ChangeNotifier
from ._membership import find_quorum_value
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

# Time limit for the answer to one append request or snapshot chunk, in ms; the
# follower syncs its disk before it answers.
APPEND_TIMEOUT_MS = 5_000
# Time limit for the answer to one heartbeat or handover request, in ms.
HEARTBEAT_TIMEOUT_MS = 1_000
# Delay before the log is sent again to a follower that did not answer, in ms.
REPLICATION_RETRY_MS = 50
# Interval at which the leader checks that a quorum still answers, in ms.
QUORUM_CHECK_INTERVAL_MS = 50
# Largest number of log entries in one append request.
MAX_BATCH_ENTRIES = 512
# Largest total payload of an append request with several entries, in bytes.
MAX_BATCH_BYTES = 1024 * 1024
# Size of one part of a snapshot on the wire, in bytes.
SNAPSHOT_CHUNK_BYTES = 1024 * 1024


class Leadership:
    """Leads the replicas from a won election until a newer term or a lost quorum.

    Parameters
    ----------
    state : ReplicaState
    links : PeerLinks
    now_ms : float
        When the election was won, on the monotonic clock.
    """

    def __init__(self, state: ReplicaState, links: PeerLinks, now_ms: float):
        self.term = state.term
        self._state = state
        self._links = links
        self.started_ms = now_ms
        self.preceding_term = state.log.last_term
        self._match_index_by_id: dict[str, int] = {}
        self._next_index_by_id: dict[str, int] = {}
        self._last_ack_ms_by_id: dict[str, float] = {}
        self._follower_scopes: dict[str, anyio.CancelScope] = {}
        self._new_entries = ChangeNotifier()
        self._cancel_scope = anyio.CancelScope()
        state.role = Role.LEADER
        state.leader_id = state.replica_id
        state.leader_addr = state.addr
        state.leadership = self
        self.first_index = self.append(EntryKind.NOOP, b"")

    def append(self, kind: EntryKind, payload: bytes) -> int:
        """Append an entry of the current term and return its index."""
        log = self._state.log
        entry = LogEntry(log.last_index + 1, self.term, kind.value, payload)
        log.append([entry])
        self._new_entries.notify()
        return entry.index

    def quorum_acked_ms(self, now_ms: float) -> float:
        """Return when the newest request that a quorum answered was sent."""
        acked_ms = {**self._last_ack_ms_by_id, self._state.replica_id: now_ms}
        quorum_acked_ms = find_quorum_value(self._state.log.members, acked_ms)
        return max(quorum_acked_ms, 0)

    def silent_ms_by_follower(self, now_ms: float) -> dict[str, float]:
        """Return the time since each follower's last answer, or since the election.

        The time of an answer is the time at which its request was sent.
        """
        follower_ids = (
            member.replica_id
            for member in self._state.log.members
            if member.replica_id != self._state.replica_id
        )
        return {
            replica_id: now_ms
            - max(self._last_ack_ms_by_id.get(replica_id, 0), self.started_ms)
            for replica_id in follower_ids
        }

    def holds_lease(self, now_ms: float) -> bool:
        """Return whether the lease that a quorum's answers gave is still valid."""
        return now_ms < self.quorum_acked_ms(now_ms) + self._state.timing.lease_ms

    def match_index(self, replica_id: str) -> int:
        """Return the last index up to which a replica's synced log is known to match.

        The index is 0 while nothing is known.
        """
        return self._match_index_by_id.get(replica_id, 0)

    def stop(self) -> None:
        """End the leadership."""
        self._cancel_scope.cancel()

    async def run(self) -> None:
        """Lead until stopped."""
        with self._cancel_scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._sync_own_log)
                tasks.start_soon(self._check_quorum)
                await self._run_follower_tasks(tasks)

    async def hand_over_leadership(self) -> None:
        """Step down and ask the follower with the newest log to start an election."""
        state = self._state
        next_leader = max(
            (
                member
                for member in state.log.members
                if member.voter and member.replica_id != state.replica_id
            ),
            key=lambda member: self.match_index(member.replica_id),
            default=None,
        )
        state.become_follower(self.term)
        if next_leader is not None:
            request = TimeoutNow(next_leader.replica_id, state.replica_id, self.term)
            await self._links.get_link(next_leader.addr).request(
                request, HEARTBEAT_TIMEOUT_MS
            )

    async def _run_follower_tasks(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run one replication task per follower, also after membership changes."""
        while True:
            members = {member.replica_id: member for member in self._state.log.members}
            members.pop(self._state.replica_id, None)
            for replica_id in self._follower_scopes.keys() - members.keys():
                self._follower_scopes.pop(replica_id).cancel()
            for replica_id in members.keys() - self._follower_scopes.keys():
                scope = anyio.CancelScope()
                self._follower_scopes[replica_id] = scope
                tasks.start_soon(self._run_follower, members[replica_id], scope)
            await self._new_entries.wait()

    async def _run_follower(self, member: Member, scope: anyio.CancelScope) -> None:
        self._next_index_by_id[member.replica_id] = self._state.log.last_index
        link = self._links.get_link(member.addr)
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_heartbeats, member, link)
                await self._replicate_log(member, link)

    async def _sync_own_log(self) -> None:
        log = self._state.log
        while True:
            if log.synced_index < log.last_index:
                await log.sync(log.last_index)
                self._record_match(self._state.replica_id, log.synced_index)
            else:
                self._record_match(self._state.replica_id, log.synced_index)
                await self._new_entries.wait()

    async def _check_quorum(self) -> None:
        """Step down when no quorum answers or this replica is no longer a voter."""
        state = self._state
        while True:
            now_ms = monotonic_ms()
            last_quorum_contact_ms = max(self.started_ms, self.quorum_acked_ms(now_ms))
            is_quorum_lost = (
                now_ms - last_quorum_contact_ms > state.timing.election_max_ms
            )
            is_removed = (
                not state.is_voter and state.commit_index >= state.log.members_index
            )
            if is_quorum_lost or is_removed:
                state.become_follower(self.term)
            await anyio.sleep(QUORUM_CHECK_INTERVAL_MS / 1000)

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
                self._record_ack(member.replica_id, reply.term, sent_ms)
            elapsed_ms = monotonic_ms() - sent_ms
            pause_ms = max(state.timing.heartbeat_ms - elapsed_ms, 1)
            await anyio.sleep(pause_ms / 1000)

    async def _replicate_log(self, member: Member, link: PeerLink) -> None:
        while True:
            if not await self._send_next_entries(member, link):
                await anyio.sleep(REPLICATION_RETRY_MS / 1000)
            elif self._next_index_by_id[member.replica_id] > self._state.log.last_index:
                await self._new_entries.wait()

    async def _send_next_entries(self, member: Member, link: PeerLink) -> bool:
        """Send the entries after the last matching one.

        Returns whether the follower answered.
        """
        state = self._state
        prev_index = self._next_index_by_id[member.replica_id] - 1
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
            state.log.entries_from(prev_index + 1, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES),
        )
        sent_ms = monotonic_ms()
        result = await link.request(request, APPEND_TIMEOUT_MS)
        reply = result.value_or(None)
        if not isinstance(reply, AppendReply):
            return False
        if not self._record_ack(member.replica_id, reply.term, sent_ms):
            return False
        if reply.accepted:
            self._record_match(member.replica_id, reply.match_index)
            self._next_index_by_id[member.replica_id] = reply.match_index + 1
        else:
            last_index = state.log.last_index
            self._next_index_by_id[member.replica_id] = max(
                1, min(reply.conflict_index, last_index + 1)
            )
        return True

    async def _send_snapshot(self, member: Member, link: PeerLink) -> bool:
        """Send the snapshot in chunks; return whether the follower received it all."""
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
                data[offset : offset + SNAPSHOT_CHUNK_BYTES],
            )
            sent_ms = monotonic_ms()
            result = await link.request(chunk, APPEND_TIMEOUT_MS)
            if isinstance(result, Err):
                return False
            reply: SnapshotReply = result.unwrap()
            if not self._record_ack(member.replica_id, reply.term, sent_ms):
                return False
            if reply.next_offset <= offset:
                return False
            offset = reply.next_offset
        self._record_match(member.replica_id, index)
        self._next_index_by_id[member.replica_id] = index + 1
        return True

    def _record_ack(self, replica_id: str, term: int, sent_ms: float) -> bool:
        """Record the time of an answer; return whether this replica may still lead.

        An answer with a newer term ends the leadership.
        """
        if term > self.term:
            if term > self._state.term:
                self._state.become_follower(term)
            return False
        previous_ms = self._last_ack_ms_by_id.get(replica_id, 0)
        self._last_ack_ms_by_id[replica_id] = max(previous_ms, sent_ms)
        return True

    def _record_match(self, replica_id: str, index: int) -> None:
        """Record a replica's synced index and commit what a quorum has synced."""
        state = self._state
        self._match_index_by_id[replica_id] = max(self.match_index(replica_id), index)
        quorum_index = int(
            find_quorum_value(state.log.members, self._match_index_by_id)
        )
        # Another leader may still replace an entry of an older term, however many
        # replicas have it. Such an entry is committed only together with the first
        # entry of the current term.
        if state.log.term_at(quorum_index) == self.term:
            state.advance_commit_index(quorum_index)
