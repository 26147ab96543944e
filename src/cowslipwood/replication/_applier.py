"""Applies committed entries in order, answers proposers and takes snapshots."""

from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ..kernel.logs import get_logger
from ..kernel.metrics import Metrics
from ._messages import EntryKind, LogEntry, SnapshotHeader
from ._protocols import StateMachine
from ._snapshots import Snapshot
from ._state import ReplicaState

__all__ = ["Applier"]

APPLY_BATCH = 64
MIN_TRAILING = 64
SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024
CAUGHT_UP_POLL_MS = 20


class _Waiter(NamedTuple):
    term: int
    done: anyio.Event
    results: list[Result[Any, Failure]]


class Applier:
    """Brings the state machine up to the commit index.

    Parameters
    ----------
    state : ReplicaState
    machine : StateMachine
    metrics : Metrics
    snapshot_entries : int
        Entries between two snapshots.
    """

    def __init__(
        self,
        state: ReplicaState,
        machine: StateMachine,
        metrics: Metrics,
        snapshot_entries: int,
    ):
        self._state = state
        self._machine = machine
        self._metrics = metrics
        self._snapshot_entries = snapshot_entries
        self._waiters: dict[int, _Waiter] = {}
        self.applied_index = 0
        if state.log.snapshot is not None:
            self.restore(state.log.snapshot)

    async def run(self) -> None:
        """Apply for as long as the process runs."""
        while True:
            while self._apply_batch():
                await anyio.lowlevel.checkpoint()
                await self._snapshot_if_due()
            await self._state.changed.wait()

    async def result(self, index: int, term: int) -> Result[Any, Failure]:
        """Wait until an entry is applied and return what that returned.

        Fails with NOT_LEADER when another entry took its place, so that it
        surely did not run, and with NO_QUORUM when its end is unknown.
        """
        waiter = _Waiter(term, anyio.Event(), [])
        self._waiters[index] = waiter
        await waiter.done.wait()
        return waiter.results[0]

    async def caught_up(self, index: int) -> None:
        """Wait until an index is applied."""
        while self.applied_index < index:
            await self._state.changed.wait_for(CAUGHT_UP_POLL_MS)

    def fail_waiters(self) -> None:
        """Tell every proposer that its entry's end is unknown."""
        for index in list(self._waiters):
            self._answer(index, Err(failure(Code.NO_QUORUM, "leadership was lost")))

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state machine's state by a snapshot."""
        self._machine.restore(snapshot.state)
        self.applied_index = snapshot.header.index
        for index in [at for at in self._waiters if at <= self.applied_index]:
            self._answer(index, Err(failure(Code.NO_QUORUM, "leadership was lost")))

    def _apply_batch(self) -> bool:
        """Apply some entries; return whether there were any."""
        end = min(self._state.commit_index, self.applied_index + APPLY_BATCH)
        n_applied = 0
        while self.applied_index < end:
            entry = self._state.log.entry(self.applied_index + 1)
            if entry is None:
                break
            self.applied_index = entry.index
            self._apply(entry)
            n_applied += 1
        self._metrics.gauge("applied_index", self.applied_index)
        return n_applied > 0

    def _apply(self, entry: LogEntry) -> None:
        result: Any = None
        if entry.kind == EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.payload)
        waiter = self._waiters.get(entry.index)
        if waiter is None:
            return
        if waiter.term == entry.term:
            self._answer(entry.index, Success(result))
        else:
            lost = failure(Code.NOT_LEADER, "another leader's entry took its place")
            self._answer(entry.index, Err(lost))

    def _answer(self, index: int, result: Result[Any, Failure]) -> None:
        waiter = self._waiters.pop(index)
        waiter.results.append(result)
        waiter.done.set()

    async def _snapshot_if_due(self) -> None:
        log = self._state.log
        index = self.applied_index
        n_entries = index - log.header.index
        if n_entries < self._snapshot_entries and not self._log_is_large():
            return
        header = SnapshotHeader(index, log.term_at(index), log.members_at(index))
        snapshot = Snapshot(header, self._machine.snapshot())
        n_trailing = max(MIN_TRAILING, n_entries // 10)
        await log.save_snapshot(snapshot, n_trailing)
        self._metrics.count("snapshots_total")
        get_logger().info(
            "snapshot_saved", index=index, state_bytes=len(snapshot.state)
        )

    def _log_is_large(self) -> bool:
        """Return whether the log takes more memory than a snapshot would."""
        log = self._state.log
        state_bytes = 0 if log.snapshot is None else len(log.snapshot.state)
        return log.n_bytes > max(SNAPSHOT_LOG_BYTES, state_bytes)
