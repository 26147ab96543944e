"""Segment files of the log: checksummed records, synced once per batch.

A record's header has its own checksum and the file offset at which its batch starts.
This distinguishes a damaged record from an incomplete tail: a valid record of a
later batch after it shows that the damaged record had been synced.
"""

import os
import struct
import zlib
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from ._errors import DataDamagedError
from ._files import sync_folder, write_all
from ._messages import LogEntry

__all__ = ["Segments"]

_MAGIC = b"\xc5CWL"
_HEADER_FIELDS = struct.Struct("!4sIQQBQI")
_CHECKSUM = struct.Struct("!I")
_HEADER_BYTES = _HEADER_FIELDS.size + _CHECKSUM.size
_SUFFIX = ".log"


class _Record(NamedTuple):
    """A decoded record, the offset of its batch and the offset after the record."""

    entry: LogEntry
    batch_offset: int
    end_offset: int


class _Segment:
    """One segment file: the index of its first record and the records' offsets."""

    def __init__(self, path: Path, first_index: int):
        self.path = path
        self.first_index = first_index
        self.offsets: list[int] = []
        self.n_bytes = 0

    @property
    def next_index(self) -> int:
        return self.first_index + len(self.offsets)


class Segments:
    """The segment files that store the log; every method blocks.

    Parameters
    ----------
    folder : Path
    max_segment_bytes : int
        Size above which a new file is started.
    """

    def __init__(self, folder: Path, max_segment_bytes: int):
        self._folder = folder
        self._max_segment_bytes = max_segment_bytes
        self._segments: list[_Segment] = []
        self._descriptor = -1
        self._is_last_segment_closed = False

    def recover(self) -> list[LogEntry]:
        """Read every record and truncate an incomplete tail of the last file.

        An earlier process may have been killed before it had synced what is found here,
        so all names in the folder and the last file are synced. Earlier files were
        synced before the last one was created.

        Raises
        ------
        DataDamagedError
            When a record that had been synced is damaged or missing.
        """
        sync_folder(self._folder)
        entries: list[LogEntry] = []
        paths = sorted(self._folder.glob("*" + _SUFFIX))
        for path in paths:
            segment = _Segment(path, int(path.stem))
            if entries and segment.first_index != entries[-1].index + 1:
                raise DataDamagedError(f"{path}: records are missing before it")
            self._segments.append(segment)
            entries += self._read_segment(segment, is_last=path == paths[-1])
        if self._segments:
            self._open_segment(self._segments[-1])
            os.fsync(self._descriptor)
        return entries

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write a batch of records and sync it."""
        if self._needs_new_segment():
            self._create_segment(entries[0].index)
        segment = self._segments[-1]
        batch_offset = segment.n_bytes
        data = bytearray()
        for entry in entries:
            segment.offsets.append(batch_offset + len(data))
            data += _encode_record(entry, batch_offset)
        write_all(self._descriptor, bytes(data))
        os.fdatasync(self._descriptor)
        segment.n_bytes += len(data)

    def truncate_from(self, index: int) -> None:
        """Remove the records from `index` on."""
        while self._segments and self._segments[-1].first_index > index:
            self._remove_last_segment()
        if not self._segments or self._segments[-1].next_index <= index:
            return
        segment = self._segments[-1]
        position = index - segment.first_index
        segment.n_bytes = segment.offsets[position]
        del segment.offsets[position:]
        self._open_segment(segment)
        os.ftruncate(self._descriptor, segment.n_bytes)
        os.fsync(self._descriptor)

    def drop_before(self, index: int) -> None:
        """Remove files whose records are all before `index`, except the last file."""
        while len(self._segments) > 1 and self._segments[0].next_index <= index:
            self._segments.pop(0).path.unlink()
            sync_folder(self._folder)

    def clear(self) -> None:
        """Remove every file, the newest first."""
        while self._segments:
            self._remove_last_segment()

    @property
    def first_index(self) -> int:
        """Index of the first record in the files; 0 without a file."""
        return self._segments[0].first_index if self._segments else 0

    def close_segment(self) -> None:
        """Start a new file with the next batch, so that the last one can be dropped."""
        self._is_last_segment_closed = True

    def _needs_new_segment(self) -> bool:
        if not self._segments:
            return True
        last_segment = self._segments[-1]
        is_full = (
            self._is_last_segment_closed
            or last_segment.n_bytes > self._max_segment_bytes
        )
        return is_full and bool(last_segment.offsets)

    def _create_segment(self, first_index: int) -> None:
        path = self._folder / f"{first_index:020}{_SUFFIX}"
        segment = _Segment(path, first_index)
        self._segments.append(segment)
        self._is_last_segment_closed = False
        self._open_segment(segment)
        sync_folder(self._folder)

    def _open_segment(self, segment: _Segment) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(segment.path, flags, 0o600)

    def _remove_last_segment(self) -> None:
        os.close(self._descriptor)
        self._descriptor = -1
        self._segments.pop().path.unlink()
        sync_folder(self._folder)
        if self._segments:
            self._open_segment(self._segments[-1])

    def _read_segment(self, segment: _Segment, is_last: bool) -> list[LogEntry]:
        data = segment.path.read_bytes()
        entries: list[LogEntry] = []
        offset = 0
        while offset < len(data):
            record = _decode_record_at(data, offset)
            if record is None or record.entry.index != segment.next_index:
                if not is_last or _has_later_batch(data, offset):
                    raise DataDamagedError(f"{segment.path}: bad record at {offset}")
                self._truncate_file(segment.path, offset)
                break
            segment.offsets.append(offset)
            entries.append(record.entry)
            offset = record.end_offset
        segment.n_bytes = offset
        return entries

    def _truncate_file(self, path: Path, n_bytes: int) -> None:
        with path.open("r+b") as file:
            file.truncate(n_bytes)
            os.fsync(file.fileno())


def _encode_record(entry: LogEntry, batch_offset: int) -> bytes:
    header = _HEADER_FIELDS.pack(
        _MAGIC,
        len(entry.payload),
        entry.term,
        entry.index,
        entry.kind,
        batch_offset,
        zlib.crc32(entry.payload),
    )
    return header + _CHECKSUM.pack(zlib.crc32(header)) + entry.payload


def _decode_record_at(data: bytes, offset: int) -> _Record | None:
    """Return the record at an offset; None when it is incomplete or damaged."""
    payload_offset = offset + _HEADER_BYTES
    if payload_offset > len(data):
        return None
    header = data[offset : offset + _HEADER_FIELDS.size]
    (header_checksum,) = _CHECKSUM.unpack_from(data, offset + _HEADER_FIELDS.size)
    if zlib.crc32(header) != header_checksum:
        return None
    magic, n_bytes, term, index, kind, batch_offset, checksum = _HEADER_FIELDS.unpack(
        header
    )
    payload = data[payload_offset : payload_offset + n_bytes]
    if magic != _MAGIC or len(payload) < n_bytes or zlib.crc32(payload) != checksum:
        return None
    entry = LogEntry(index, term, kind, payload)
    return _Record(entry, batch_offset, payload_offset + n_bytes)


def _has_later_batch(data: bytes, offset: int) -> bool:
    """Return whether a valid record of a later batch follows the offset."""
    magic_offset = data.find(_MAGIC, offset + 1)
    while magic_offset >= 0:
        record = _decode_record_at(data, magic_offset)
        if record is not None and record.batch_offset > offset:
            return True
        magic_offset = data.find(_MAGIC, magic_offset + 1)
    return False
