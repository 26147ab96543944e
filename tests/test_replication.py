"""The files of the log, the memberships, and two replicas' logs that differ."""

import random
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err
from returns.result import Success

from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, failure
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.replication import DataDamagedError
from cowslipwood.replication._applier import SNAPSHOT_THRESHOLD_BYTES, Applier
from cowslipwood.replication._election import (
    _log_unanswered_vote,
    draw_election_timeout_ms,
)
from cowslipwood.replication._follower import Follower
from cowslipwood.replication._leader import Leadership
from cowslipwood.replication._log import DurableLog, make_members_entry
from cowslipwood.replication._membership import compute_next_members, has_quorum
from cowslipwood.replication._messages import (
    AppendReply,
    AppendRequest,
    HeartbeatReply,
    HeartbeatRequest,
    LogEntry,
    Member,
    SnapshotHeader,
    VoteRequest,
)
from cowslipwood.replication._segments import Segments
from cowslipwood.replication._snapshots import Snapshot, SnapshotFiles
from cowslipwood.replication._state import ReplicaState, Timing

SEGMENT_BYTES = 300
LARGE = b"x" * 1024 * 1024
TIMING = Timing()
AFTER_LEASE_MS = TIMING.election_max_ms + 1

payloads = st.lists(st.binary(max_size=60), min_size=1, max_size=6)
batches = st.lists(payloads, min_size=1, max_size=6)
held_files = settings(derandomize=True, deadline=None, max_examples=150)


class _Machine:
    """Keeps the commands that were applied."""

    def __init__(self):
        self.applied: list[bytes] = []

    def apply(self, index: int, command: bytes) -> None:
        self.applied.append(command)

    def snapshot(self) -> bytes:
        return b"|".join(self.applied)

    def restore(self, data: bytes) -> None:
        self.applied = data.split(b"|")


def _write(folder: Path, written: list[list[bytes]]) -> list[LogEntry]:
    """Append the batches and return the entries."""
    segments = Segments(folder, SEGMENT_BYTES)
    entries: list[LogEntry] = []
    for batch in written:
        start = len(entries) + 1
        added = [LogEntry(start + n, 1, 1, data) for n, data in enumerate(batch)]
        segments.append(added)
        entries += added
    return entries


def _reread(folder: Path) -> list[LogEntry]:
    return Segments(folder, SEGMENT_BYTES).recover()


def _in_folder(check: Callable[[Path], None]) -> None:
    with tempfile.TemporaryDirectory() as name:
        check(Path(name))


class TestSegments(unittest.TestCase):
    """Log files that were cut or changed by chance."""

    @held_files
    @given(batches, st.integers(0, 10_000))
    def test_truncation(self, written: list[list[bytes]], cut: int):
        """A last file cut anywhere yields a prefix that lacks only its own tail."""

        def check(folder: Path) -> None:
            entries = _write(folder, written)
            path = sorted(folder.glob("*.log"))[-1]
            size = path.stat().st_size
            kept = cut % (size + 1)
            path.write_bytes(path.read_bytes()[:kept])
            recovered = _reread(folder)
            self.assertEqual(recovered, entries[: len(recovered)])
            self.assertGreaterEqual(len(recovered), int(path.stem) - 1)
            self.assertEqual(_reread(folder), recovered)

        _in_folder(check)

    @held_files
    @given(batches, st.randoms(use_true_random=False))
    def test_bit_flip(self, written: list[list[bytes]], rng: random.Random):
        """A flipped bit is refused, or cuts the last batch; no record is wrong."""

        def check(folder: Path) -> None:
            entries = _write(folder, written)
            paths = sorted(folder.glob("*.log"))
            path = rng.choice(paths)
            data = bytearray(path.read_bytes())
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            path.write_bytes(data)
            try:
                recovered = _reread(folder)
            except DataDamagedError:
                return
            self.assertEqual(path, paths[-1])
            self.assertEqual(recovered, entries[: len(recovered)])
            self.assertGreaterEqual(len(recovered), len(entries) - len(written[-1]))

        _in_folder(check)

    @held_files
    @given(batches, st.integers(1, 40), st.integers(0, 40))
    def test_truncate_and_append(self, written, index: int, n_more: int):
        """After a truncation the log holds what was kept and what came after."""

        def check(folder: Path) -> None:
            entries = _write(folder, written)
            segments = Segments(folder, SEGMENT_BYTES)
            segments.recover()
            segments.truncate_from(index)
            kept = entries[: index - 1]
            more = [LogEntry(len(kept) + 1 + n, 2, 1, b"new") for n in range(n_more)]
            for entry in more:
                segments.append([entry])
            self.assertEqual(_reread(folder), kept + more)

        _in_folder(check)

    def test_missing_file(self):
        """A file missing before the last one is refused."""

        def check(folder: Path) -> None:
            _write(folder, [[b"x" * 200]] * 6)
            sorted(folder.glob("*.log"))[1].unlink()
            with self.assertRaises(DataDamagedError):
                _reread(folder)

        _in_folder(check)

    @held_files
    @given(st.binary(min_size=1, max_size=80), st.randoms(use_true_random=False))
    def test_snapshot_flip(self, state: bytes, rng: random.Random):
        """A snapshot with a flipped bit is refused."""

        def check(folder: Path) -> None:
            files = SnapshotFiles(folder)
            snapshot = Snapshot(SnapshotHeader(3, 1, ()), state)
            files.save(snapshot)
            self.assertEqual(files.load(), snapshot)
            (path,) = folder.glob("*.snapshot")
            data = bytearray(path.read_bytes())
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            path.write_bytes(data)
            with self.assertRaises(DataDamagedError):
                files.load()

        _in_folder(check)


class TestMembershipSteps(unittest.TestCase):
    """The steps from one membership to the next."""

    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 7), st.integers(0, 6))
    def test_quorums_meet(self, n_members: int, place: int):
        """Each quorum shares a replica with each quorum of the next step."""
        members = tuple(Member(f"k{n}.a", "", True) for n in range(n_members))
        old_id = members[place % n_members].replica_id
        new = Member(f"k{place % n_members}.b", "", False)
        for _ in range(4):
            after = compute_next_members(members, old_id, new, True).unwrap()
            if after is None:
                break
            ids = [m.replica_id for m in {*members, *after}]
            for mask in range(1 << len(ids)):
                chosen = [i for n, i in enumerate(ids) if mask >> n & 1]
                others = [i for i in ids if i not in chosen]
                both = has_quorum(members, chosen) and has_quorum(after, others)
                self.assertFalse(both)
            members = after
        self.assertIn(new._replace(voter=True), members)
        self.assertNotIn(old_id, [m.replica_id for m in members])


class TestCompaction(unittest.TestCase):
    """What keeps the log in memory small."""

    def test_large_entries(self):
        """A few large entries bring a snapshot on, after which they can go."""

        async def check(folder: Path) -> None:
            _, state, _ = _follower(folder)
            machine = _Machine()
            applier = Applier(state, machine, Metrics("test"), 1_000_000)
            n_entries = SNAPSHOT_THRESHOLD_BYTES // len(LARGE) + 1
            entries = [LogEntry(n + 1, 0, 1, LARGE) for n in range(n_entries)]
            state.log.append(entries)
            await state.log.sync(n_entries)
            state.advance_commit_index(n_entries)
            with anyio.move_on_after(60):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(applier.run)
                    while state.log.snapshot_header.index == 0:
                        await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()
            self.assertEqual(state.log.snapshot_header.index, n_entries)
            self.assertEqual(state.log.n_payload_bytes, 0)
            restored = _Machine()
            Applier(_follower(folder)[1], restored, Metrics("test"), 100)
            self.assertEqual(restored.applied, machine.applied)

        with tempfile.TemporaryDirectory() as name:
            anyio.run(check, Path(name))


class TestLease(unittest.TestCase):
    """What lets a leader act."""

    def test_lease(self):
        """A leader acts until the lease after a quorum's last answer, no longer."""

        async def check(folder: Path) -> None:
            _, state, _ = _follower(folder)
            members = tuple(Member(f"k{n}.a", "", True) for n in (2, 3))
            own = Member(state.replica_id, "", True)
            state.log.append([make_members_entry(1, 0, (own, *members))])
            state.become_candidate()
            now_ms = monotonic_ms()
            leadership = Leadership(state, _AnsweringLinks(), now_ms)
            self.assertFalse(leadership.holds_lease(now_ms))
            with anyio.move_on_after(60):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(leadership.run)
                    while state.commit_index < leadership.first_index:
                        await state.changed.wait()
                    leadership.stop()
            acked_ms = leadership.quorum_acked_ms(monotonic_ms())
            self.assertEqual(state.commit_index, leadership.first_index)
            self.assertTrue(leadership.holds_lease(acked_ms + TIMING.lease_ms - 1))
            self.assertFalse(leadership.holds_lease(acked_ms + TIMING.lease_ms))
            self.assertLess(TIMING.lease_ms, TIMING.election_min_ms)

        with tempfile.TemporaryDirectory() as name:
            anyio.run(check, Path(name))


class _AnsweringLinks:
    """Stands in for followers that take everything."""

    def get_link(self, addr: str) -> "_AnsweringLinks":
        return self

    async def request(self, value: Any, timeout_ms: float) -> Success:
        await anyio.sleep(0)
        match value:
            case AppendRequest():
                match_index = value.prev_index + len(value.entries)
                return Success(AppendReply(value.term, True, match_index, 0))
            case _:
                return Success(HeartbeatReply(value.term))


class TestFollower(unittest.TestCase):
    """A follower asked by leaders and candidates."""

    def _run(self, check: Callable) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as name:
                await check(*_follower(Path(name)))

        anyio.run(run)

    def test_vote_once(self):
        """A replica votes for one candidate a term, also after a restart."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            now_ms = AFTER_LEASE_MS
            first = await follower.handle_vote_request(
                _make_vote_request("a", 1), now_ms
            )
            second = await follower.handle_vote_request(
                _make_vote_request("b", 1), now_ms
            )
            self.assertEqual((first.granted, second.granted), (True, False))
            restarted, _, _ = _follower(folder)
            third = await restarted.handle_vote_request(
                _make_vote_request("b", 1), now_ms
            )
            again = await restarted.handle_vote_request(
                _make_vote_request("a", 1), now_ms
            )
            self.assertEqual((third.granted, again.granted), (False, True))

        self._run(check)

    def test_lost_log(self):
        """A replica whose log is gone, but not its vote, doesn't start."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            entry = LogEntry(1, 1, 1, b"held")
            await follower.handle_append(_append(1, 0, 0, 0, (entry,)), AFTER_LEASE_MS)
            for path in folder.glob("*.log"):
                path.unlink()
            with self.assertRaises(DataDamagedError):
                _follower(folder)

        self._run(check)

    def test_voted_before_log(self):
        """A replica that voted says so to others that would begin a new log."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            self.assertFalse(state.has_taken_part)
            await follower.handle_vote_request(
                _make_vote_request("a", 1), AFTER_LEASE_MS
            )
            _, restarted, _ = _follower(folder)
            self.assertTrue(restarted.has_taken_part)
            self.assertFalse(restarted.is_formed)

        self._run(check)

    def test_first_election_is_early(self):
        """After a start the timeout is short, and full once a leader was heard."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            first = [draw_election_timeout_ms(state) for _ in range(50)]
            heartbeat = HeartbeatRequest("", "l", "", 1, 0)
            await follower.handle_heartbeat(heartbeat, AFTER_LEASE_MS)
            later = [draw_election_timeout_ms(state) for _ in range(50)]
            self.assertGreaterEqual(min(first), TIMING.election_min_ms)
            self.assertLess(max(first), TIMING.election_max_ms - 200)
            self.assertGreater(max(later), TIMING.election_max_ms - 100)

        self._run(check)

    def test_silence_is_logged_once(self):
        """A voter out of reach is logged once, and again after it has answered."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            member = Member("a", "127.0.0.1:1", True)
            silent = Err(failure(Code.PEER_GONE))
            with structlog.testing.capture_logs() as lines:
                for answered in (silent, silent, Success(None), silent):
                    _log_unanswered_vote(
                        state, member, _make_vote_request("k1", 2), answered
                    )
            self.assertEqual(len(lines), 2)

        self._run(check)

    def test_no_vote_within_lease(self):
        """A replica that may have heard a leader refuses votes in newer terms."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            late_ms = TIMING.election_min_ms - 1
            just_started = await follower.handle_vote_request(
                _make_vote_request("a", 5), late_ms
            )
            heartbeat = HeartbeatRequest("", "l", "", 1, 0)
            await follower.handle_heartbeat(heartbeat, AFTER_LEASE_MS)
            just_followed = await follower.handle_vote_request(
                _make_vote_request("a", 5), AFTER_LEASE_MS + late_ms
            )
            later_ms = AFTER_LEASE_MS + TIMING.election_min_ms
            later = await follower.handle_vote_request(
                _make_vote_request("a", 5), later_ms
            )
            answers = (just_started.granted, just_followed.granted, later.granted)
            self.assertEqual(answers, (False, False, True))

        self._run(check)

    def test_conflict(self):
        """Entries of an older leader give way; a gap or old sender is refused."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            old = tuple(LogEntry(n, 1, 1, b"old") for n in (1, 2, 3))
            new = (LogEntry(2, 2, 1, b"new"),)
            await follower.handle_append(_append(1, 0, 0, 1, old), AFTER_LEASE_MS)
            gap = await follower.handle_append(_append(2, 5, 2, 1, ()), AFTER_LEASE_MS)
            differs = await follower.handle_append(
                _append(2, 3, 2, 1, ()), AFTER_LEASE_MS
            )
            taken = await follower.handle_append(
                _append(2, 1, 1, 2, new), AFTER_LEASE_MS
            )
            stale = await follower.handle_append(
                _append(1, 3, 1, 3, ()), AFTER_LEASE_MS
            )
            self.assertEqual((gap.accepted, gap.conflict_index), (False, 4))
            self.assertEqual((differs.accepted, differs.conflict_index), (False, 1))
            self.assertEqual((taken.accepted, taken.match_index), (True, 2))
            self.assertEqual((stale.accepted, state.commit_index), (False, 2))
            held = DurableLog(folder, SEGMENT_BYTES).entries_from(1, 9, 9_000)
            self.assertEqual(held, (old[0], *new))

        self._run(check)


def _follower(folder: Path) -> tuple[Follower, ReplicaState, Path]:
    rng = random.Random(1)
    state = ReplicaState(folder, "k1", "", SEGMENT_BYTES, TIMING, rng, 0)
    applier = Applier(state, _Machine(), Metrics("test"), 100)
    return Follower(state, applier), state, folder


def _make_vote_request(candidate_id: str, term: int) -> VoteRequest:
    return VoteRequest("", candidate_id, term, 0, 0, pre=False, handover=False)


def _append(
    term: int,
    prev_index: int,
    prev_term: int,
    commit_index: int,
    entries: tuple[LogEntry, ...],
) -> AppendRequest:
    return AppendRequest(
        "", "l", "", term, prev_index, prev_term, commit_index, entries
    )
