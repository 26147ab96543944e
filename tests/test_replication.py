"""Log files, snapshots, membership changes, votes and appends of one replica."""

import random
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err
from returns.result import Success

from cowslipwood.keeper._membership import MAX_VOTERS
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, failure
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.replication import DataDamagedError, _log
from cowslipwood.replication._applier import MAX_LOG_PAYLOAD_BYTES, Applier
from cowslipwood.replication._election import (
    _log_unanswered_vote,
    draw_election_timeout_ms,
)
from cowslipwood.replication._follower import Follower
from cowslipwood.replication._formation import form_log
from cowslipwood.replication._leader import Leadership
from cowslipwood.replication._log import DurableLog, make_members_entry
from cowslipwood.replication._membership import (
    Answering,
    Departure,
    Gone,
    Silent,
    compute_next_members,
    count_places,
    has_quorum,
    list_voter_ids,
)
from cowslipwood.replication._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HeartbeatReply,
    HeartbeatRequest,
    Identity,
    LogEntry,
    Member,
    Place,
    SnapshotHeader,
    VoteRequest,
)
from cowslipwood.replication._segments import Segments
from cowslipwood.replication._snapshots import Snapshot, SnapshotFiles
from cowslipwood.replication._state import ReplicaState, Timing

# Size above which a new segment file is started; small, so that a few records of the
# tests fill several files.
SEGMENT_BYTES = 300
# A few payloads of this size exceed the threshold for a snapshot.
LARGE_PAYLOAD = b"x" * 1024 * 1024
TIMING = Timing()
# Time after the start, in ms, at which a replica no longer assumes a live leader.
AFTER_ELECTION_TIMEOUT_MS = TIMING.election_max_ms + 1

payloads = st.lists(st.binary(max_size=60), min_size=1, max_size=6)
batches = st.lists(payloads, min_size=1, max_size=6)
fixed_examples = settings(derandomize=True, deadline=None, max_examples=150)


class _RecordingStateMachine:
    """State machine whose state is the list of applied commands."""

    def __init__(self):
        self.applied: list[bytes] = []

    def apply(self, index: int, command: bytes) -> None:
        self.applied.append(command)

    def snapshot(self) -> bytes:
        return b"|".join(self.applied)

    def restore(self, data: bytes) -> None:
        self.applied = data.split(b"|")


def _write_batches(folder: Path, written_batches: list[list[bytes]]) -> list[LogEntry]:
    """Append each batch to the segment files and return all entries."""
    segments = Segments(folder, SEGMENT_BYTES)
    entries: list[LogEntry] = []
    for batch in written_batches:
        first_index = len(entries) + 1
        added_entries = [
            LogEntry(first_index + offset, 1, 1, data)
            for offset, data in enumerate(batch)
        ]
        segments.append(added_entries)
        entries += added_entries
    return entries


def _read_segments(folder: Path) -> list[LogEntry]:
    return Segments(folder, SEGMENT_BYTES).recover()


def _run_in_folder(check: Callable[[Path], None]) -> None:
    with tempfile.TemporaryDirectory() as folder_name:
        check(Path(folder_name))


class TestSegments(unittest.TestCase):
    """Segment and snapshot files that are truncated, damaged or missing."""

    @fixed_examples
    @given(batches, st.integers(0, 10_000))
    def test_truncated_last_file(
        self, written_batches: list[list[bytes]], cut_position: int
    ):
        """A last file truncated anywhere loses only records of that file's end."""

        def check(folder: Path) -> None:
            entries = _write_batches(folder, written_batches)
            path = sorted(folder.glob("*.log"))[-1]
            size = path.stat().st_size
            n_kept_bytes = cut_position % (size + 1)
            path.write_bytes(path.read_bytes()[:n_kept_bytes])
            recovered = _read_segments(folder)
            self.assertEqual(recovered, entries[: len(recovered)])
            self.assertGreaterEqual(len(recovered), int(path.stem) - 1)
            self.assertEqual(_read_segments(folder), recovered)

        _run_in_folder(check)

    @fixed_examples
    @given(batches, st.randoms(use_true_random=False))
    def test_flipped_bit(self, written_batches: list[list[bytes]], rng: random.Random):
        """A flipped bit is detected, or loses only records of the last batch."""

        def check(folder: Path) -> None:
            entries = _write_batches(folder, written_batches)
            paths = sorted(folder.glob("*.log"))
            path = rng.choice(paths)
            data = bytearray(path.read_bytes())
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            path.write_bytes(data)
            try:
                recovered = _read_segments(folder)
            except DataDamagedError:
                return
            self.assertEqual(path, paths[-1])
            self.assertEqual(recovered, entries[: len(recovered)])
            self.assertGreaterEqual(
                len(recovered), len(entries) - len(written_batches[-1])
            )

        _run_in_folder(check)

    @fixed_examples
    @given(batches, st.integers(1, 40), st.integers(0, 40))
    def test_truncate_and_append(self, written_batches, index: int, n_more: int):
        """Entries appended after a truncation follow the entries before it."""

        def check(folder: Path) -> None:
            entries = _write_batches(folder, written_batches)
            segments = Segments(folder, SEGMENT_BYTES)
            segments.recover()
            segments.truncate_from(index)
            kept_entries = entries[: index - 1]
            new_entries = [
                LogEntry(len(kept_entries) + 1 + offset, 2, 1, b"new")
                for offset in range(n_more)
            ]
            for entry in new_entries:
                segments.append([entry])
            self.assertEqual(_read_segments(folder), kept_entries + new_entries)

        _run_in_folder(check)

    def test_missing_segment_file(self):
        """A missing file before the last one is detected."""

        def check(folder: Path) -> None:
            _write_batches(folder, [[b"x" * 200]] * 6)
            sorted(folder.glob("*.log"))[1].unlink()
            with self.assertRaises(DataDamagedError):
                _read_segments(folder)

        _run_in_folder(check)

    @fixed_examples
    @given(st.binary(min_size=1, max_size=80), st.randoms(use_true_random=False))
    def test_snapshot_with_flipped_bit(self, state: bytes, rng: random.Random):
        """A snapshot with a flipped bit is detected."""

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

        _run_in_folder(check)


departures = st.sampled_from([Answering, Silent, Gone])


class TestMembershipSteps(unittest.TestCase):
    """Steps of a membership change."""

    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 7), st.integers(0, 6), departures)
    def test_successive_quorums_overlap(
        self, n_members: int, old_position: int, departure_type: type
    ):
        """Each quorum shares a replica with each quorum after the next step."""
        members = tuple(Member(f"k{index}.a", "", True) for index in range(n_members))
        departure = departure_type(members[old_position % n_members].replica_id)
        new = Member(f"k{old_position % n_members}.b", "", False)
        for next_members in _list_steps(members, departure, new):
            ids = [member.replica_id for member in {*members, *next_members}]
            for mask in range(1 << len(ids)):
                first_ids = [
                    replica_id
                    for index, replica_id in enumerate(ids)
                    if mask >> index & 1
                ]
                other_ids = [
                    replica_id for replica_id in ids if replica_id not in first_ids
                ]
                are_both_quorums = has_quorum(members, first_ids) and has_quorum(
                    next_members, other_ids
                )
                self.assertFalse(are_both_quorums)
            members = next_members
        self.assertIn(new._replace(voter=True), members)
        self.assertNotIn(
            departure.replica_id, [member.replica_id for member in members]
        )

    # Guards against a quorum that needs a newcomer, which may be lost as it joins.
    def test_losses_borne(self):
        """No step of a replacement bears fewer losses than the one before.

        If the newcomer is lost, too, it bears no fewer than before the replacement.
        """
        for n_voters in range(1, MAX_VOTERS + 1):
            for n_lost in range(1, (n_voters - 1) // 2 + 1):
                for departure_type in (Silent, Gone):
                    with self.subTest(n_voters, n_lost=n_lost, type=departure_type):
                        self._check_losses_borne(n_voters, n_lost, departure_type)

    def _check_losses_borne(
        self, n_voters: int, n_lost: int, departure_type: type
    ) -> None:
        members = tuple(Member(f"k{index}.a", "", True) for index in range(n_voters))
        left_ids = {member.replica_id for member in members[n_lost:]}
        for lost in members[:n_lost]:
            departure = departure_type(lost.replica_id)
            new = Member(f"{lost.name}.b", "", False)
            n_borne = n_borne_at_first = _count_losses_borne(members, left_ids)
            all_ids = {*left_ids, new.replica_id}
            for next_members in _list_steps(members, departure, new):
                members = next_members
                n_borne_before = n_borne
                n_borne = _count_losses_borne(members, all_ids)
                self.assertGreaterEqual(n_borne, n_borne_before, members)
                n_borne_with_loss = _count_losses_borne(members, left_ids)
                self.assertGreaterEqual(n_borne_with_loss, n_borne_at_first, members)
            left_ids = all_ids
        self.assertEqual(len(list_voter_ids(members)), n_voters)

    def test_answering_member(self):
        """A member that still votes does so until its successor votes."""
        for n_voters in range(1, MAX_VOTERS + 1):
            members = tuple(
                Member(f"k{index}.a", "", True) for index in range(n_voters)
            )
            ids = {"new.a", *list_voter_ids(members)}
            n_borne = _count_losses_borne(members, ids)
            departure = Answering(members[0].replica_id)
            new = Member("new.a", "", False)
            for next_members in _list_steps(members, departure, new):
                self.assertGreaterEqual(_count_losses_borne(next_members, ids), n_borne)

    def test_voter_removed_for_learner(self):
        """A removed voter keeps its place for a learner, and for the next identity."""
        members = tuple(Member(f"k{index}.a", "", True) for index in range(3))
        first = Member("k2.b", "", False)
        removed = compute_next_members(members, Gone("k2.a"), first, False).unwrap()
        self.assertEqual(len(list_voter_ids(removed)), 2)
        self.assertEqual(count_places(removed), 3)
        second = Member("k2.c", "", False)
        replaced = compute_next_members(removed, Gone("k2.b"), second, False).unwrap()
        self.assertEqual(replaced[2:], (second._replace(place=Place.VACATED),))
        voting = compute_next_members(replaced, None, second, True).unwrap()
        self.assertEqual(voting[2:], (second._replace(voter=True),))

    def test_added_learner_has_no_voters_place(self):
        """A learner that is only added does not count among the places of voters."""
        members = (Member("k0.a", "", True),)
        new = Member("k1.a", "", False)
        added = compute_next_members(members, None, new, False).unwrap()
        self.assertEqual(count_places(added), 1)
        lost = Gone(new.replica_id)
        replaced = compute_next_members(added, lost, Member("k1.b", "", False), False)
        self.assertEqual(replaced.unwrap()[1].place, Place.ADDED)

    def test_waiting_learner(self):
        """A learner whose predecessor answers again waits without a place."""
        members = (Member("k0.a", "", True), Member("k1.a", "", True))
        new = Member("k2.a", "", False)
        added = compute_next_members(members, Silent("k1.a"), new, False).unwrap()
        self.assertEqual(added[2], new)
        self.assertEqual(
            compute_next_members(added, Silent("k1.a"), new, False).unwrap(), added
        )


def _list_steps(
    members: tuple[Member, ...], departure: Departure, new: Member
) -> list[tuple[Member, ...]]:
    """Return the memberships of a change whose newcomer is always caught up.

    A change that removed its member is continued as one that removes none, as the
    leader continues it.
    """
    steps: list[tuple[Member, ...]] = []
    while True:
        ids = {member.replica_id for member in members}
        remaining = departure if departure.replica_id in ids else None
        next_members = compute_next_members(members, remaining, new, True).unwrap()
        if next_members is None:
            return steps
        steps.append(next_members)
        members = next_members


def _count_losses_borne(members: tuple[Member, ...], ids: set[str]) -> int:
    """Return how many of some replicas can be lost until no quorum is left of them."""
    voter_ids = list_voter_ids(members)
    return len(ids.intersection(voter_ids)) - (len(voter_ids) // 2 + 1)


class TestCompaction(unittest.TestCase):
    """Snapshots that keep the log in memory small."""

    def test_large_entries_trigger_snapshot(self):
        """A few large entries trigger a snapshot before the entry count does."""

        async def check(folder: Path) -> None:
            _, state, _ = _make_follower(folder)
            state_machine = _RecordingStateMachine()
            applier = Applier(state, state_machine, Metrics("test"), 1_000_000)
            n_entries = MAX_LOG_PAYLOAD_BYTES // len(LARGE_PAYLOAD) + 1
            entries = [
                LogEntry(index + 1, 0, 1, LARGE_PAYLOAD) for index in range(n_entries)
            ]
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
            restored = _RecordingStateMachine()
            Applier(_make_follower(folder)[1], restored, Metrics("test"), 100)
            self.assertEqual(restored.applied, state_machine.applied)

        with tempfile.TemporaryDirectory() as folder_name:
            anyio.run(check, Path(folder_name))


class TestPayloadBytes(unittest.TestCase):
    """The payload bytes since the last snapshot."""

    def _run(self, check: Callable) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as folder_name:
                log = DurableLog(Path(folder_name), SEGMENT_BYTES)
                log.append([LogEntry(index, 1, 1, b"x" * 10) for index in range(1, 6)])
                await log.sync(5)
                await check(log, Path(folder_name))

        anyio.run(run)

    def test_truncated_entries(self):
        """Entries that were truncated do not count."""

        async def check(log: DurableLog, folder: Path) -> None:
            for _ in range(3):
                await log.truncate_from(4)
                log.append([LogEntry(4, 2, 1, b"y" * 7)])
                await log.sync(4)
            # Fails if entries that replace others lead to snapshots too early.
            self.assertEqual(log.n_payload_bytes, 37)
            recovered = DurableLog(folder, SEGMENT_BYTES)
            self.assertEqual(recovered.n_payload_bytes, 37)

        self._run(check)

    def test_truncated_entries_after_a_snapshot(self):
        """Truncating entries that a snapshot left uncounted lowers no other count."""

        async def check(log: DurableLog, folder: Path) -> None:
            await log.save_snapshot(Snapshot(SnapshotHeader(2, 1, ()), b""), 0)
            log.append([LogEntry(6, 1, 1, b"z" * 4)])
            await log.sync(6)
            await log.truncate_from(4)
            # Fails if the count falls below zero and delays the next snapshot.
            self.assertEqual(log.n_payload_bytes, 0)
            log.append([LogEntry(4, 2, 1, b"y" * 7)])
            self.assertEqual(log.n_payload_bytes, 7)

        self._run(check)

    # Guards against large entries before each snapshot that fill the disk.
    def test_large_entries_before_a_snapshot(self):
        """Entries before a snapshot are kept up to a total size, not a number alone."""

        async def check(log: DurableLog, folder: Path) -> None:
            for index in range(6, 70):
                log.append([LogEntry(index, 1, 1, b"x" * 1_000)])
                await log.sync(index)
            with mock.patch.object(_log, "MAX_TRAILING_BYTES", 10_000):
                header = SnapshotHeader(69, 1, ())
                await log.save_snapshot(Snapshot(header, b""), 64)
            n_bytes = sum(path.stat().st_size for path in folder.glob("*.log"))
            self.assertLess(n_bytes, 10_000 + 2 * (SEGMENT_BYTES + 1_100))
            self.assertEqual(len(log.entries_from(61, 9, 9_000)), 9)

        self._run(check)

    def test_entries_before_an_installed_snapshot(self):
        """Entries that the leader's snapshot covers or replaces do not count."""

        async def check(log: DurableLog, folder: Path) -> None:
            await log.install_snapshot(Snapshot(SnapshotHeader(3, 1, ()), b""))
            # Fails if an installed snapshot leads to another one too early.
            self.assertEqual(log.n_payload_bytes, 20)
            await log.install_snapshot(Snapshot(SnapshotHeader(9, 3, ()), b""))
            self.assertEqual(log.n_payload_bytes, 0)

        self._run(check)


class TestFormation(unittest.TestCase):
    """Creation of the log by the initial members."""

    def test_no_initial_member_has_a_disk(self):
        """A replica outside the initial members waits while none of them has a disk."""

        async def check(folder: Path) -> None:
            _, state, _ = _make_follower(folder)
            links = _DisklessLinks()
            peers = {"k2": "127.0.0.1:2", "k3": "127.0.0.1:3"}
            async with anyio.create_task_group() as tasks:
                # Fails if the lack of a first member ends the replica.
                tasks.start_soon(form_log, state, links, "k1", peers)
                while links.n_queries < 2 * len(peers):
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            self.assertFalse(state.has_log_entries)

        with tempfile.TemporaryDirectory() as folder_name:
            anyio.run(check, Path(folder_name))


class _DisklessLinks:
    """Fake links to hosts without a disk, which agree on the initial members."""

    def __init__(self):
        self.n_queries = 0

    def get_link(self, addr: str) -> "_DisklessLinks":
        return self

    async def request(self, value: Any, timeout_ms: float) -> Success:
        await anyio.sleep(0)
        self.n_queries += 1
        return Success(Identity("", "127.0.0.1:2", False, True))


class TestLease(unittest.TestCase):
    """The leader's lease."""

    def test_leader_acts_only_within_lease(self):
        """A lease ends `lease_ms` after the last request that a quorum answered."""

        async def check(folder: Path) -> None:
            _, state, _ = _make_follower(folder)
            members = tuple(Member(f"k{index}.a", "", True) for index in (2, 3))
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

        with tempfile.TemporaryDirectory() as folder_name:
            anyio.run(check, Path(folder_name))


class TestPrecedingTerm(unittest.TestCase):
    """Whether another replica has led since this one did."""

    def _lead(self, state: ReplicaState) -> Leadership:
        state.become_candidate()
        return Leadership(state, _AnsweringLinks(), monotonic_ms())

    def test_own_and_other_terms(self):
        """It is the last own term until another leader's entry has arrived."""

        async def check(folder: Path) -> None:
            follower, state, _ = _make_follower(folder)
            first = self._lead(state)
            self.assertEqual(first.preceding_term, 0)
            state.become_follower(first.term)
            second = self._lead(state)
            self.assertEqual(second.preceding_term, first.term)
            last_index, other_term = state.log.last_index, second.term + 1
            entry = LogEntry(last_index + 1, other_term, EntryKind.NOOP.value, b"")
            await follower.handle_append(
                _make_append_request(other_term, last_index, second.term, 0, (entry,)),
                monotonic_ms(),
            )
            self.assertEqual(self._lead(state).preceding_term, other_term)

        with tempfile.TemporaryDirectory() as folder_name:
            anyio.run(check, Path(folder_name))


class _AnsweringLinks:
    """Fake links to followers that accept every request."""

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
    """Answers of a follower to leaders and candidates."""

    def _run(self, check: Callable) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as folder_name:
                await check(*_make_follower(Path(folder_name)))

        anyio.run(run)

    def test_one_vote_per_term(self):
        """A replica votes for one candidate per term, also across a restart."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            now_ms = AFTER_ELECTION_TIMEOUT_MS
            first = await follower.handle_vote_request(
                _make_vote_request("a", 1), now_ms
            )
            second = await follower.handle_vote_request(
                _make_vote_request("b", 1), now_ms
            )
            self.assertEqual((first.granted, second.granted), (True, False))
            restarted, _, _ = _make_follower(folder)
            third = await restarted.handle_vote_request(
                _make_vote_request("b", 1), now_ms
            )
            again = await restarted.handle_vote_request(
                _make_vote_request("a", 1), now_ms
            )
            self.assertEqual((third.granted, again.granted), (False, True))

        self._run(check)

    def test_missing_log_is_refused(self):
        """A replica does not start if its log is missing and its ballot is not."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            entry = LogEntry(1, 1, 1, b"held")
            await follower.handle_append(
                _make_append_request(1, 0, 0, 0, (entry,)), AFTER_ELECTION_TIMEOUT_MS
            )
            for path in folder.glob("*.log"):
                path.unlink()
            with self.assertRaises(DataDamagedError):
                _make_follower(folder)

        self._run(check)

    def test_vote_counts_as_taking_part(self):
        """A replica that voted before it had a log still reports it after a restart.

        Otherwise the other initial members could create a second log.
        """

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            self.assertFalse(state.has_taken_part)
            await follower.handle_vote_request(
                _make_vote_request("a", 1), AFTER_ELECTION_TIMEOUT_MS
            )
            _, restarted, _ = _make_follower(folder)
            self.assertTrue(restarted.has_taken_part)
            self.assertFalse(restarted.has_log_entries)

        self._run(check)

    def test_first_election_timeout_is_short(self):
        """The election timeout is short until a leader has been heard."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            first = [draw_election_timeout_ms(state) for _ in range(50)]
            heartbeat = HeartbeatRequest("", "l", "", 1, 0)
            await follower.handle_heartbeat(heartbeat, AFTER_ELECTION_TIMEOUT_MS)
            later = [draw_election_timeout_ms(state) for _ in range(50)]
            self.assertGreaterEqual(min(first), TIMING.election_min_ms)
            self.assertLess(max(first), TIMING.election_max_ms - 200)
            self.assertGreater(max(later), TIMING.election_max_ms - 100)

        self._run(check)

    def test_unanswered_vote_is_logged_once(self):
        """An unreachable voter is logged once, and again after it has answered."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            member = Member("a", "127.0.0.1:1", True)
            unanswered = Err(failure(Code.PEER_GONE))
            with structlog.testing.capture_logs() as log_lines:
                for answered in (unanswered, unanswered, Success(None), unanswered):
                    _log_unanswered_vote(
                        state, member, _make_vote_request("k1", 2), answered
                    )
            self.assertEqual(len(log_lines), 2)

        self._run(check)

    def test_no_vote_after_recent_leader_contact(self):
        """A replica refuses votes soon after its start and after a heartbeat."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            delay_ms = TIMING.election_min_ms - 1
            just_started = await follower.handle_vote_request(
                _make_vote_request("a", 5), delay_ms
            )
            heartbeat = HeartbeatRequest("", "l", "", 1, 0)
            await follower.handle_heartbeat(heartbeat, AFTER_ELECTION_TIMEOUT_MS)
            just_followed = await follower.handle_vote_request(
                _make_vote_request("a", 5), AFTER_ELECTION_TIMEOUT_MS + delay_ms
            )
            later_ms = AFTER_ELECTION_TIMEOUT_MS + TIMING.election_min_ms
            later = await follower.handle_vote_request(
                _make_vote_request("a", 5), later_ms
            )
            answers = (just_started.granted, just_followed.granted, later.granted)
            self.assertEqual(answers, (False, False, True))

        self._run(check)

    def test_append_conflicts(self):
        """A newer leader's entries replace others; gaps and old terms are refused."""

        async def check(follower: Follower, state: ReplicaState, folder: Path) -> None:
            old = tuple(LogEntry(index, 1, 1, b"old") for index in (1, 2, 3))
            new = (LogEntry(2, 2, 1, b"new"),)
            await follower.handle_append(
                _make_append_request(1, 0, 0, 1, old), AFTER_ELECTION_TIMEOUT_MS
            )
            gap = await follower.handle_append(
                _make_append_request(2, 5, 2, 1, ()), AFTER_ELECTION_TIMEOUT_MS
            )
            mismatch = await follower.handle_append(
                _make_append_request(2, 3, 2, 1, ()), AFTER_ELECTION_TIMEOUT_MS
            )
            appended = await follower.handle_append(
                _make_append_request(2, 1, 1, 2, new), AFTER_ELECTION_TIMEOUT_MS
            )
            stale = await follower.handle_append(
                _make_append_request(1, 3, 1, 3, ()), AFTER_ELECTION_TIMEOUT_MS
            )
            self.assertEqual((gap.accepted, gap.conflict_index), (False, 4))
            self.assertEqual((mismatch.accepted, mismatch.conflict_index), (False, 1))
            self.assertEqual((appended.accepted, appended.match_index), (True, 2))
            self.assertEqual((stale.accepted, state.commit_index), (False, 2))
            stored_entries = DurableLog(folder, SEGMENT_BYTES).entries_from(1, 9, 9_000)
            self.assertEqual(stored_entries, (old[0], *new))

        self._run(check)


def _make_follower(folder: Path) -> tuple[Follower, ReplicaState, Path]:
    rng = random.Random(1)
    state = ReplicaState(folder, "k1", "", SEGMENT_BYTES, TIMING, rng, 0)
    applier = Applier(state, _RecordingStateMachine(), Metrics("test"), 100)
    return Follower(state, applier), state, folder


def _make_vote_request(candidate_id: str, term: int) -> VoteRequest:
    return VoteRequest("", candidate_id, term, 0, 0, pre=False, handover=False)


def _make_append_request(
    term: int,
    prev_index: int,
    prev_term: int,
    commit_index: int,
    entries: tuple[LogEntry, ...],
) -> AppendRequest:
    return AppendRequest(
        "", "l", "", term, prev_index, prev_term, commit_index, entries
    )
