"""What the keeper needs of a replica, and a replica of its state machine."""

from typing import Any, Protocol

from returns.result import Result

from ..kernel.codes import Failure

__all__ = ["Replica", "StateMachine"]


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
