"""The log of one replica, in memory and on disk.

Entries are appended in memory at once; `sync` makes them last, and one write
and sync serves every task that waits for it.
"""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import anyio
from returns.result import Failure as Err

from ..kernel.wire import decode_record, encode_record
from ._errors import DataDamagedError, stop_on_disk_failure
from ._messages import EntryKind, LogEntry, Member, Members, SnapshotHeader
from ._segments import Segments
from ._snapshots import Snapshot, SnapshotFiles

__all__ = ["DurableLog", "members_entry", "on_disk"]


def members_entry(index: int, term: int, members: Sequence[Member]) -> LogEntry:
    """Return the entry that sets the membership."""
    payload = encode_record(Members(tuple(members)))
    return LogEntry(index, term, EntryKind.MEMBERS.value, payload)


def _members_of(entry: LogEntry) -> tuple[Member, ...]:
    decoded = decode_record(Members, entry.payload)
    if isinstance(decoded, Err):
        raise DataDamagedError(f"log entry {entry.index} holds no membership")
    return decoded.unwrap().members


class DurableLog:
    """Log entries since the snapshot, and the snapshot itself.

    Parameters
    ----------
    folder : Path
    max_segment_bytes : int

    Raises
    ------
    DataDamagedError
        When a synced part of the folder is damaged.
    """

    def __init__(self, folder: Path, max_segment_bytes: int):
        self._segments = Segments(folder, max_segment_bytes)
        self._snapshots = SnapshotFiles(folder)
        self._disk = anyio.Lock()
        self._changes: list[tuple[int, tuple[Member, ...]]] = []
        self._n_bytes = 0
        self.snapshot = self._snapshots.load()
        self._entries = self._recover()
        for entry in self._entries:
            self._note_members(entry)
            if entry.index > self.header.index:
                self._n_bytes += len(entry.payload)
        self.synced_index = self.last_index

    @property
    def header(self) -> SnapshotHeader:
        """What the snapshot covers."""
        if self.snapshot is None:
            return SnapshotHeader(0, 0, ())
        return self.snapshot.header

    @property
    def n_bytes(self) -> int:
        """Bytes of the payloads appended since the last snapshot."""
        return self._n_bytes

    @property
    def first_index(self) -> int:
        """Index of the first entry held; one past the last when none is."""
        return self._entries[0].index if self._entries else self.header.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._entries[-1].index if self._entries else self.header.index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.header.term

    @property
    def members(self) -> tuple[Member, ...]:
        """The newest membership, committed or not."""
        return self._changes[-1][1] if self._changes else self.header.members

    @property
    def members_index(self) -> int:
        """Index of the entry that set the newest membership."""
        return self._changes[-1][0] if self._changes else self.header.index

    def members_at(self, index: int) -> tuple[Member, ...]:
        """Return the membership in force at an index."""
        held = [members for at, members in self._changes if at <= index]
        return held[-1] if held else self.header.members

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None when it is not held any more."""
        if index == self.header.index:
            return self.header.term
        entry = self.entry(index)
        return None if entry is None else entry.term

    def entry(self, index: int) -> LogEntry | None:
        """Return an entry; None when it is not held."""
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position]
        return None

    def entries_from(
        self, index: int, n_max: int, max_bytes: int
    ) -> tuple[LogEntry, ...]:
        """Return entries from `index` on, at least one if there is one."""
        start = index - self.first_index
        chosen = self._entries[start : start + n_max]
        n_bytes = 0
        for position, entry in enumerate(chosen):
            n_bytes += len(entry.payload)
            if n_bytes > max_bytes and position:
                return tuple(chosen[:position])
        return tuple(chosen)

    def first_of_term(self, index: int) -> int:
        """Return the first index held of the term that `index` has."""
        term = self.term_at(index)
        while index > self.first_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append in memory."""
        for entry in entries:
            self._entries.append(entry)
            self._n_bytes += len(entry.payload)
            self._note_members(entry)

    async def sync(self, index: int) -> None:
        """Wait until the log up to `index` is on disk."""
        while self.synced_index < index:
            async with self._disk:
                if self.synced_index >= index:
                    return
                start = max(self.synced_index + 1 - self.first_index, 0)
                batch = self._entries[start:]
                if not batch:
                    return
                await on_disk(self._segments.append, batch)
                self.synced_index = batch[-1].index

    async def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on, in memory and on disk."""
        async with self._disk:
            del self._entries[max(index - self.first_index, 0) :]
            self._changes = [change for change in self._changes if change[0] < index]
            self.synced_index = min(self.synced_index, index - 1)
            await on_disk(self._segments.truncate_from, index)

    async def save_snapshot(self, snapshot: Snapshot, n_trailing: int) -> None:
        """Keep a snapshot of applied entries and drop those long before it."""
        async with self._disk:
            if snapshot.header.index <= self.header.index:
                return
            await on_disk(self._snapshots.save, snapshot)
            self.snapshot = snapshot
            self._n_bytes = 0
            self._segments.close_file()
            keep_from = max(snapshot.header.index - n_trailing, 0)
            await on_disk(self._segments.drop_before, keep_from)
            dropped = self._segments.first_index - self.first_index
            if dropped > 0:
                del self._entries[:dropped]
            self._forget_members(snapshot.header.index)

    async def install_snapshot(self, snapshot: Snapshot) -> None:
        """Keep the leader's snapshot; drop the log unless it agrees with it."""
        header = snapshot.header
        agrees = self.term_at(header.index) == header.term
        async with self._disk:
            await on_disk(self._snapshots.save, snapshot)
            self.snapshot = snapshot
            if not agrees:
                self._entries.clear()
                self._changes.clear()
                self.synced_index = header.index
                await on_disk(self._segments.clear)
            self._forget_members(header.index)

    def _note_members(self, entry: LogEntry) -> None:
        if entry.kind == EntryKind.MEMBERS and entry.index > self.header.index:
            self._changes.append((entry.index, _members_of(entry)))

    def _forget_members(self, index: int) -> None:
        self._changes = [change for change in self._changes if change[0] > index]

    def _recover(self) -> list[LogEntry]:
        entries = self._segments.recover()
        header = self.header
        if not entries:
            return entries
        if entries[0].index > header.index + 1:
            raise DataDamagedError(f"the log begins at {entries[0].index}")
        covered = entries[-1].index < header.index
        position = header.index - entries[0].index
        if not covered and position >= 0:
            covered = entries[position].term != header.term
        if covered:
            self._segments.clear()
            entries.clear()
        return entries


async def on_disk(work: Callable[..., Any], *arguments: Any) -> Any:
    """Run blocking work in a thread; the process ends when the disk fails."""
    try:
        return await anyio.to_thread.run_sync(work, *arguments)
    except OSError as exc:
        stop_on_disk_failure(exc)
