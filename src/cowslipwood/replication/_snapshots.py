"""Snapshot files: one file that holds a header and the state machine's state."""

import struct
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure as Err

from ..kernel.wire import decode_record, encode_record
from ._errors import DataDamagedError
from ._files import read_checksummed, replace_checksummed, sync_folder
from ._messages import SnapshotHeader

__all__ = ["Snapshot", "SnapshotFiles", "decode_snapshot", "encode_snapshot"]

_HEADER_LENGTH = struct.Struct("!I")
_SUFFIX = ".snapshot"


class Snapshot(NamedTuple):
    """A snapshot of the state machine.

    Parameters
    ----------
    header : SnapshotHeader
    state : bytes
        The state machine's state, as it encodes it.
    """

    header: SnapshotHeader
    state: bytes


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as one byte string, for the disk and the wire."""
    header = encode_record(snapshot.header)
    return _HEADER_LENGTH.pack(len(header)) + header + snapshot.state


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot that `encode_snapshot` encoded.

    Raises
    ------
    DataDamagedError
        When the bytes are not a snapshot.
    """
    if len(data) < _HEADER_LENGTH.size:
        raise DataDamagedError("a snapshot is too short")
    (header_bytes,) = _HEADER_LENGTH.unpack_from(data)
    state_offset = _HEADER_LENGTH.size + header_bytes
    header = decode_record(SnapshotHeader, data[_HEADER_LENGTH.size : state_offset])
    if isinstance(header, Err):
        raise DataDamagedError(header.failure().message)
    return Snapshot(header.unwrap(), data[state_offset:])


class SnapshotFiles:
    """The snapshot files in a folder; every method blocks.

    Parameters
    ----------
    folder : Path
    """

    def __init__(self, folder: Path):
        self._folder = folder

    def load(self) -> Snapshot | None:
        """Return the newest snapshot; None if there is none.

        Raises
        ------
        DataDamagedError
            When the file is damaged.
        """
        paths = self._paths()
        if not paths:
            return None
        data = read_checksummed(paths[-1])
        return None if data is None else decode_snapshot(data)

    def save(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot, then remove the older ones."""
        path = self._folder / f"{snapshot.header.index:020}{_SUFFIX}"
        replace_checksummed(path, encode_snapshot(snapshot))
        for older in self._paths()[:-1]:
            older.unlink()
        sync_folder(self._folder)

    def _paths(self) -> list[Path]:
        return sorted(self._folder.glob("*" + _SUFFIX))
