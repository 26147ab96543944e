"""What the keeper needs of a replica, and a replica that stands alone."""

import os
import struct
import zlib
from pathlib import Path
from typing import Any, Protocol

import anyio
from returns.result import Result, Success

from ..kernel.codes import Failure

__all__ = ["LocalReplica", "Replica", "StateMachine"]

_RECORD = struct.Struct("!II")


class StateMachine(Protocol):
    """The state that the log's commands build up, the same on every keeper."""

    def apply(self, index: int, command: bytes) -> Any:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


class Replica(Protocol):
    """One member of the replicated log."""

    term: int
    leader_addr: str

    def leads(self, now_ms: float) -> bool:
        """Return whether this replica holds a valid lease as leader."""

    async def run(self) -> None:
        """Take part in the log for as long as the process runs."""

    async def propose(self, command: bytes) -> Result[Any, Failure]:
        """Commit a command and return what applying it returned.

        Fails with NOT_LEADER (not run) or NO_QUORUM (outcome unknown).
        """


class LocalReplica:
    """A log on one disk, without other replicas.

    Parameters
    ----------
    folder : str
    machine : StateMachine
    addr : str
        ``ip:port`` of this keeper.
    """

    def __init__(self, folder: str, machine: StateMachine, addr: str):
        self.term = 1
        self.leader_addr = addr
        self._machine = machine
        self._index = 0
        self._lock = anyio.Lock()
        path = Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        self._file = os.open(path / "log", os.O_RDWR | os.O_CREAT)
        self._recover()

    def leads(self, now_ms: float) -> bool:
        """Return True: there is no other replica."""
        return True

    async def run(self) -> None:
        """Do nothing until cancelled."""
        await anyio.sleep_forever()

    async def propose(self, command: bytes) -> Result[Any, Failure]:
        """Append, sync and apply a command."""
        async with self._lock:
            record = _RECORD.pack(len(command), zlib.crc32(command)) + command
            await anyio.to_thread.run_sync(self._append, record)
            self._index += 1
            return Success(self._machine.apply(self._index, command))

    def _append(self, record: bytes) -> None:
        os.write(self._file, record)
        os.fdatasync(self._file)

    def _recover(self) -> None:
        end = 0
        while True:
            header = os.read(self._file, _RECORD.size)
            if len(header) < _RECORD.size:
                break
            n_bytes, checksum = _RECORD.unpack(header)
            command = os.read(self._file, n_bytes)
            if len(command) < n_bytes or zlib.crc32(command) != checksum:
                break
            self._index += 1
            self._machine.apply(self._index, command)
            end += _RECORD.size + n_bytes
        os.ftruncate(self._file, end)
        os.lseek(self._file, end, os.SEEK_SET)
