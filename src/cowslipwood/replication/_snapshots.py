"""Snapshot files: one file that holds a header and the state machine's state."""

import struct
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure as Err

from ..kernel.wire import decode_record, encode_record
from ._errors import DataDamagedError
from ._files import read_checked, replace_checked, sync_folder
from ._messages import SnapshotHeader

__all__ = ["Snapshot", "SnapshotFiles", "decode_snapshot", "encode_snapshot"]

_HEADER_BYTES = struct.Struct("!I")
_SUFFIX = ".snapshot"


class Snapshot(NamedTuple):
    """A snapshot of the state machine.

    Parameters
    ----------
    header : SnapshotHeader
    state : bytes
    """

    header: SnapshotHeader
    state: bytes


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as one string of bytes."""
    header = encode_record(snapshot.header)
    return _HEADER_BYTES.pack(len(header)) + header + snapshot.state


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot in `data`.

    Raises
    ------
    DataDamagedError
        When the bytes are not a snapshot.
    """
    if len(data) < _HEADER_BYTES.size:
        raise DataDamagedError("a snapshot is cut short")
    (n_bytes,) = _HEADER_BYTES.unpack_from(data)
    body = _HEADER_BYTES.size + n_bytes
    header = decode_record(SnapshotHeader, data[_HEADER_BYTES.size : body])
    if isinstance(header, Err):
        raise DataDamagedError(header.failure().message)
    return Snapshot(header.unwrap(), data[body:])


class SnapshotFiles:
    """The newest snapshot on disk; every method blocks.

    Parameters
    ----------
    folder : Path
    """

    def __init__(self, folder: Path):
        self._folder = folder

    def load(self) -> Snapshot | None:
        """Return the newest snapshot, or None without one.

        Raises
        ------
        DataDamagedError
            When its checksum differs.
        """
        paths = self._paths()
        if not paths:
            return None
        data = read_checked(paths[-1])
        return None if data is None else decode_snapshot(data)

    def save(self, snapshot: Snapshot) -> None:
        """Write a snapshot, sync it, and remove the older ones."""
        path = self._folder / f"{snapshot.header.index:020}{_SUFFIX}"
        replace_checked(path, encode_snapshot(snapshot))
        for older in self._paths()[:-1]:
            older.unlink()
        sync_folder(self._folder)

    def _paths(self) -> list[Path]:
        return sorted(self._folder.glob("*" + _SUFFIX))
