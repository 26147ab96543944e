"""Interfaces between the keeper, its replica of the log and the state machine."""

from typing import Any, Protocol

from returns.result import Result

from ..kernel.codes import Failure

__all__ = ["Replica", "StateMachine"]


class StateMachine(Protocol):
    """State that results from the log's commands, identical on every keeper."""

    def apply(self, index: int, command: bytes) -> Any:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state with an encoded one."""


class Replica(Protocol):
    """One replica of the log, as the keeper uses it."""

    term: int
    leader_addr: str

    def can_act_as_leader(self, now_ms: float) -> bool:
        """Return whether this replica holds a valid lease as leader."""

    async def run(self) -> None:
        """Take part in the log for as long as the process runs."""

    async def propose(self, command: bytes) -> Result[Any, Failure]:
        """Commit a command and return the result of applying it.

        Fails with NOT_LEADER (not run) or NO_QUORUM (outcome unknown).
        """
