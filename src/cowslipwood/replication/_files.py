"""Files that last: whole writes, synced, with a checksum; the folder's lock."""

import contextlib
import fcntl
import os
import struct
import zlib
from pathlib import Path

from ._errors import DataDamagedError, DataLockedError

__all__ = ["lock_folder", "read_checked", "replace_checked", "sync_folder", "write_all"]

_CHECKSUM = struct.Struct("!I")
_LOCK_NAME = "lock"


def lock_folder(folder: Path) -> int:
    """Make the folder and lock it for this process; return the lock's descriptor.

    Raises
    ------
    DataLockedError
        When another process holds the lock.
    """
    folder.mkdir(parents=True, exist_ok=True)
    descriptor = os.open(folder / _LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        raise DataLockedError(f"{folder} is used by another process") from None
    return descriptor


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, however many calls it takes."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def sync_folder(folder: Path) -> None:
    """Make the folder's list of names last."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_checked(path: Path, data: bytes) -> None:
    """Replace a file's content in one step, with its checksum, and sync it."""
    temporary = path.with_suffix(".tmp")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, _CHECKSUM.pack(zlib.crc32(data)) + data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync_folder(path.parent)


def read_checked(path: Path) -> bytes | None:
    """Return a file's content, or None when there is no such file.

    Raises
    ------
    DataDamagedError
        When the checksum differs.
    """
    with contextlib.suppress(FileNotFoundError):
        data = path.read_bytes()
        body = data[_CHECKSUM.size :]
        if len(data) < _CHECKSUM.size:
            raise DataDamagedError(f"{path} is cut short")
        if _CHECKSUM.unpack(data[: _CHECKSUM.size])[0] != zlib.crc32(body):
            raise DataDamagedError(f"{path} has a wrong checksum")
        return body
    return None
