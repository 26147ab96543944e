"""Durable files: complete, synced, checksummed writes; the data folder's lock."""

import contextlib
import fcntl
import os
import struct
import zlib
from pathlib import Path

from ._errors import DataDamagedError, DataLockedError

__all__ = [
    "lock_folder",
    "read_checksummed",
    "replace_checksummed",
    "sync_folder",
    "write_all",
]

_CHECKSUM = struct.Struct("!I")
_LOCK_NAME = "lock"


def lock_folder(folder: Path) -> int:
    """Create the folder and lock it for this process; return the lock's descriptor.

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
        raise DataLockedError(f"{folder} is locked by another process") from None
    return descriptor


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, with as many calls as that takes."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def sync_folder(folder: Path) -> None:
    """Sync the folder, so that created and removed file names are durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_checksummed(path: Path, data: bytes) -> None:
    """Replace a file atomically with a checksum and `data`, and sync it."""
    temporary = path.with_suffix(".tmp")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, _CHECKSUM.pack(zlib.crc32(data)) + data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync_folder(path.parent)


def read_checksummed(path: Path) -> bytes | None:
    """Return a file's content without its checksum; None when there is no file.

    Raises
    ------
    DataDamagedError
        When the file is too short or its checksum does not match.
    """
    with contextlib.suppress(FileNotFoundError):
        data = path.read_bytes()
        content = data[_CHECKSUM.size :]
        if len(data) < _CHECKSUM.size:
            raise DataDamagedError(f"{path} is too short")
        if _CHECKSUM.unpack(data[: _CHECKSUM.size])[0] != zlib.crc32(content):
            raise DataDamagedError(f"{path} has a wrong checksum")
        return content
    return None
