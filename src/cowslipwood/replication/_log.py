"""The log of one replica, in memory and on disk.

Entries are appended in memory at once. `sync` makes them durable; one write and one
sync serve all tasks that are waiting for it.
"""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import anyio
from returns.result import Failure as Err

from ..kernel.wire import decode_record, encode_record
from ._errors import DataDamagedError, exit_on_disk_failure
from ._messages import EntryKind, LogEntry, Member, Members, SnapshotHeader
from ._segments import Segments
from ._snapshots import Snapshot, SnapshotFiles

__all__ = ["DurableLog", "make_members_entry", "run_disk_work"]

# Largest total payload of the entries before a snapshot that stay in the log, in bytes.
# With a segment, the entries after the snapshot and two snapshots it fits several times
# into the smallest disks.
MAX_TRAILING_BYTES = 4 * 1024 * 1024


def make_members_entry(index: int, term: int, members: Sequence[Member]) -> LogEntry:
    """Return the entry that sets the membership."""
    payload = encode_record(Members(tuple(members)))
    return LogEntry(index, term, EntryKind.MEMBERS.value, payload)


def _decode_members(entry: LogEntry) -> tuple[Member, ...]:
    decoded = decode_record(Members, entry.payload)
    if isinstance(decoded, Err):
        raise DataDamagedError(f"log entry {entry.index} contains no membership")
    return decoded.unwrap().members


class DurableLog:
    """The newest snapshot and the log entries after it, in memory and on disk.

    Some entries before the snapshot are kept too, so that a follower that is only a
    little behind needs no snapshot.

    Parameters
    ----------
    folder : Path
    max_segment_bytes : int
        Size above which a new log file is started.

    Raises
    ------
    DataDamagedError
        When a synced part of the folder is damaged.
    """

    def __init__(self, folder: Path, max_segment_bytes: int):
        self._segments = Segments(folder, max_segment_bytes)
        self._snapshots = SnapshotFiles(folder)
        self._disk_lock = anyio.Lock()
        self._membership_changes: list[tuple[int, tuple[Member, ...]]] = []
        self._n_payload_bytes = 0
        self.snapshot = self._snapshots.load()
        self._entries = self._recover()
        for entry in self._entries:
            self._record_members(entry)
        self._count_payload_bytes()
        self.synced_index = self.last_index

    @property
    def snapshot_header(self) -> SnapshotHeader:
        """Header of the newest snapshot; zeros without a snapshot."""
        if self.snapshot is None:
            return SnapshotHeader(0, 0, ())
        return self.snapshot.header

    @property
    def n_payload_bytes(self) -> int:
        """Bytes of the payloads appended since the last snapshot."""
        return self._n_payload_bytes

    @property
    def first_index(self) -> int:
        """Index of the first entry in memory; one past the last if there is none."""
        return (
            self._entries[0].index if self._entries else self.snapshot_header.index + 1
        )

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._entries[-1].index if self._entries else self.snapshot_header.index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot_header.term

    @property
    def members(self) -> tuple[Member, ...]:
        """The newest membership, committed or not."""
        return (
            self._membership_changes[-1][1]
            if self._membership_changes
            else self.snapshot_header.members
        )

    @property
    def members_index(self) -> int:
        """Index of the entry that set the newest membership."""
        return (
            self._membership_changes[-1][0]
            if self._membership_changes
            else self.snapshot_header.index
        )

    def members_at(self, index: int) -> tuple[Member, ...]:
        """Return the membership that applies at an index."""
        memberships = [
            members
            for change_index, members in self._membership_changes
            if change_index <= index
        ]
        return memberships[-1] if memberships else self.snapshot_header.members

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None when the entry is not in the log."""
        if index == self.snapshot_header.index:
            return self.snapshot_header.term
        entry = self.entry_at(index)
        return None if entry is None else entry.term

    def entry_at(self, index: int) -> LogEntry | None:
        """Return an entry; None when it is not in the log."""
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position]
        return None

    def entries_from(
        self, index: int, n_max: int, max_bytes: int
    ) -> tuple[LogEntry, ...]:
        """Return entries from `index` on, within both limits but at least one."""
        start = index - self.first_index
        selected = self._entries[start : start + n_max]
        n_payload_bytes = 0
        for position, entry in enumerate(selected):
            n_payload_bytes += len(entry.payload)
            if n_payload_bytes > max_bytes and position:
                return tuple(selected[:position])
        return tuple(selected)

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log with the term of the entry at `index`."""
        term = self.term_at(index)
        while index > self.first_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries in memory."""
        for entry in entries:
            self._entries.append(entry)
            self._n_payload_bytes += len(entry.payload)
            self._record_members(entry)

    async def sync(self, index: int) -> None:
        """Wait until the log up to `index` is on disk."""
        while self.synced_index < index:
            async with self._disk_lock:
                if self.synced_index >= index:
                    return
                start = max(self.synced_index + 1 - self.first_index, 0)
                batch = self._entries[start:]
                if not batch:
                    return
                await run_disk_work(self._segments.append, batch)
                self.synced_index = batch[-1].index

    async def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on, in memory and on disk."""
        async with self._disk_lock:
            start = max(index - self.first_index, 0)
            n_removed_bytes = sum(len(entry.payload) for entry in self._entries[start:])
            # Entries appended before the last snapshot was saved were not counted.
            self._n_payload_bytes = max(self._n_payload_bytes - n_removed_bytes, 0)
            del self._entries[start:]
            self._membership_changes = [
                change for change in self._membership_changes if change[0] < index
            ]
            self.synced_index = min(self.synced_index, index - 1)
            await run_disk_work(self._segments.truncate_from, index)

    async def save_snapshot(self, snapshot: Snapshot, n_trailing_entries: int) -> None:
        """Store a snapshot and drop the entries more than `n_trailing_entries` older.

        Fewer are kept if they are larger than `MAX_TRAILING_BYTES` together. Entries
        are dropped by whole files, so those of one more file may remain.
        """
        async with self._disk_lock:
            if snapshot.header.index <= self.snapshot_header.index:
                return
            await run_disk_work(self._snapshots.save, snapshot)
            self.snapshot = snapshot
            self._n_payload_bytes = 0
            self._segments.close_segment()
            keep_from = self._find_trailing_start(
                snapshot.header.index, n_trailing_entries
            )
            await run_disk_work(self._segments.drop_before, keep_from)
            n_dropped = self._segments.first_index - self.first_index
            if n_dropped > 0:
                del self._entries[:n_dropped]
            self._drop_membership_changes(snapshot.header.index)

    async def install_snapshot(self, snapshot: Snapshot) -> None:
        """Store the leader's snapshot and clear the log, unless the log matches it."""
        header = snapshot.header
        is_consistent = self.term_at(header.index) == header.term
        async with self._disk_lock:
            await run_disk_work(self._snapshots.save, snapshot)
            self.snapshot = snapshot
            if not is_consistent:
                self._entries.clear()
                self._membership_changes.clear()
                self.synced_index = header.index
                await run_disk_work(self._segments.clear)
            self._count_payload_bytes()
            self._drop_membership_changes(header.index)

    def _find_trailing_start(self, index: int, n_entries: int) -> int:
        """Return the first index of the entries to keep up to `index`."""
        n_bytes = 0
        first_kept = max(index - n_entries, self.first_index, 0)
        for candidate in range(index, first_kept - 1, -1):
            n_bytes += len(self._entries[candidate - self.first_index].payload)
            if n_bytes > MAX_TRAILING_BYTES:
                return candidate + 1
        return first_kept

    def _count_payload_bytes(self) -> None:
        """Count the payloads of the entries after the snapshot."""
        start = max(self.snapshot_header.index + 1 - self.first_index, 0)
        self._n_payload_bytes = sum(
            len(entry.payload) for entry in self._entries[start:]
        )

    def _record_members(self, entry: LogEntry) -> None:
        if entry.kind == EntryKind.MEMBERS and entry.index > self.snapshot_header.index:
            self._membership_changes.append((entry.index, _decode_members(entry)))

    def _drop_membership_changes(self, index: int) -> None:
        self._membership_changes = [
            change for change in self._membership_changes if change[0] > index
        ]

    def _recover(self) -> list[LogEntry]:
        """Read the log files; clear them if the snapshot replaces their entries."""
        entries = self._segments.recover()
        header = self.snapshot_header
        if not entries:
            return entries
        if entries[0].index > header.index + 1:
            raise DataDamagedError(f"the log begins at {entries[0].index}")
        is_superseded = entries[-1].index < header.index
        position = header.index - entries[0].index
        if not is_superseded and position >= 0:
            is_superseded = entries[position].term != header.term
        if is_superseded:
            self._segments.clear()
            entries.clear()
        return entries


async def run_disk_work(work: Callable[..., Any], *arguments: Any) -> Any:
    """Run blocking work in a thread; end the process if the disk fails."""
    try:
        return await anyio.to_thread.run_sync(work, *arguments)
    except OSError as exc:
        exit_on_disk_failure(exc)
