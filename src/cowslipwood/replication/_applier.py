"""Applies committed entries in order, answers proposers and saves snapshots."""

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

# Number of entries applied before other tasks get to run.
MAX_APPLY_BATCH_ENTRIES = 64
# Least number of entries before a snapshot that stay in the log.
MIN_TRAILING_ENTRIES = 64
# Payload bytes in the log above which a snapshot is saved, however few the entries,
# unless the state in the last snapshot is larger.
MAX_LOG_PAYLOAD_BYTES = 8 * 1024 * 1024
# Interval at which a task checks whether an index has been applied, in ms.
APPLIED_POLL_MS = 20


class _Waiter(NamedTuple):
    """A proposer that waits for the result of its entry; `results` gets one item."""

    term: int
    completed: anyio.Event
    results: list[Result[Any, Failure]]


class Applier:
    """Applies the committed entries to the state machine.

    Parameters
    ----------
    state : ReplicaState
    state_machine : StateMachine
    metrics : Metrics
    snapshot_entries : int
        Number of entries between two snapshots.
    """

    def __init__(
        self,
        state: ReplicaState,
        state_machine: StateMachine,
        metrics: Metrics,
        snapshot_entries: int,
    ):
        self._state = state
        self._state_machine = state_machine
        self._metrics = metrics
        self._snapshot_entries = snapshot_entries
        self._waiters: dict[int, _Waiter] = {}
        self.applied_index = 0
        if state.log.snapshot is not None:
            self.restore(state.log.snapshot)

    async def run(self) -> None:
        """Apply entries for as long as the process runs."""
        while True:
            while self._apply_batch():
                await anyio.lowlevel.checkpoint()
                await self._save_snapshot_if_due()
            await self._state.changed.wait()

    async def wait_for_result(self, index: int, term: int) -> Result[Any, Failure]:
        """Wait until an entry is applied and return the result of applying it.

        Fails with NOT_LEADER when another entry was committed at the index, so that
        this one certainly did not run, and with NO_QUORUM when the outcome is
        unknown.
        """
        waiter = _Waiter(term, anyio.Event(), [])
        self._waiters[index] = waiter
        await waiter.completed.wait()
        return waiter.results[0]

    async def wait_until_applied(self, index: int) -> None:
        """Wait until the entry at an index is applied."""
        while self.applied_index < index:
            await self._state.changed.wait_for(APPLIED_POLL_MS)

    def fail_waiters(self) -> None:
        """Tell every proposer that the outcome of its entry is unknown."""
        for index in list(self._waiters):
            self._complete_waiter(
                index, Err(failure(Code.NO_QUORUM, "leadership was lost"))
            )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state machine's state with a snapshot."""
        self._state_machine.restore(snapshot.state)
        self.applied_index = snapshot.header.index
        for index in [index for index in self._waiters if index <= self.applied_index]:
            self._complete_waiter(
                index, Err(failure(Code.NO_QUORUM, "leadership was lost"))
            )

    def _apply_batch(self) -> bool:
        """Apply a limited number of entries; return whether there were any."""
        end_index = min(
            self._state.commit_index, self.applied_index + MAX_APPLY_BATCH_ENTRIES
        )
        n_applied = 0
        while self.applied_index < end_index:
            entry = self._state.log.entry_at(self.applied_index + 1)
            if entry is None:
                break
            self.applied_index = entry.index
            self._apply_entry(entry)
            n_applied += 1
        self._metrics.gauge("applied_index", self.applied_index)
        return n_applied > 0

    def _apply_entry(self, entry: LogEntry) -> None:
        result: Any = None
        if entry.kind == EntryKind.COMMAND:
            result = self._state_machine.apply(entry.index, entry.payload)
        waiter = self._waiters.get(entry.index)
        if waiter is None:
            return
        if waiter.term == entry.term:
            self._complete_waiter(entry.index, Success(result))
        else:
            not_leader = failure(
                Code.NOT_LEADER, "another leader's entry took its place"
            )
            self._complete_waiter(entry.index, Err(not_leader))

    def _complete_waiter(self, index: int, result: Result[Any, Failure]) -> None:
        waiter = self._waiters.pop(index)
        waiter.results.append(result)
        waiter.completed.set()

    async def _save_snapshot_if_due(self) -> None:
        log = self._state.log
        index = self.applied_index
        n_entries = index - log.snapshot_header.index
        if n_entries < self._snapshot_entries and not self._is_log_large():
            return
        header = SnapshotHeader(index, log.term_at(index), log.members_at(index))
        snapshot = Snapshot(header, self._state_machine.snapshot())
        n_trailing_entries = max(MIN_TRAILING_ENTRIES, n_entries // 10)
        await log.save_snapshot(snapshot, n_trailing_entries)
        self._metrics.count("snapshots_total")
        get_logger().info(
            "snapshot_saved", index=index, state_bytes=len(snapshot.state)
        )

    def _is_log_large(self) -> bool:
        """Return whether the log's payloads exceed the threshold and the last state.

        Beyond the size of the last snapshot's state, the log takes more memory than a
        new snapshot would.
        """
        log = self._state.log
        state_bytes = 0 if log.snapshot is None else len(log.snapshot.state)
        return log.n_payload_bytes > max(MAX_LOG_PAYLOAD_BYTES, state_bytes)
