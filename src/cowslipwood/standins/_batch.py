"""Continuous batching in a stand-in engine."""

import heapq
import itertools
from collections import deque
from contextlib import asynccontextmanager

import anyio

from ..kernel.clock import monotonic_ms

__all__ = ["Batch"]

MAX_HISTORY = 10_000


class Batch:
    """Requests that run together; the rest wait by priority.

    Parameters
    ----------
    knee_in_flight : int
        Requests that run at full speed together.
    max_running : int
        Requests that run together at all.
    report_lag_ms : float
        How far the reported load lags.
    """

    def __init__(self, knee_in_flight: int, max_running: int, report_lag_ms: float):
        self._knee_in_flight = knee_in_flight
        self._max_running = max_running
        self._report_lag_ms = report_lag_ms
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        self._numbers = itertools.count()
        self._history: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])
        self.n_running = 0

    def slowdown(self) -> float:
        """Return how many times longer work takes now than below the knee."""
        return max(1.0, self.n_running / self._knee_in_flight)

    def reported(self, now_ms: float) -> tuple[int, int]:
        """Return requests running and waiting as of the lag ago."""
        seen_ms = now_ms - self._report_lag_ms
        while len(self._history) > 1 and self._history[1][0] <= seen_ms:
            self._history.popleft()
        _, n_running, n_waiting = self._history[0]
        return n_running, n_waiting

    @asynccontextmanager
    async def slot(self, priority: int):
        """Wait for a place in the batch and hold it; low numbers go first."""
        if self.n_running >= self._max_running:
            await self._wait(priority)
        else:
            self.n_running += 1
        self._record()
        try:
            yield
        finally:
            self._leave()
            self._record()

    async def _wait(self, priority: int) -> None:
        turn = anyio.Event()
        item = (priority, next(self._numbers), turn)
        heapq.heappush(self._waiting, item)
        self._record()
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                self._leave()
            else:
                self._waiting.remove(item)
                heapq.heapify(self._waiting)
            raise

    def _leave(self) -> None:
        """Give the place to the first that waits."""
        if self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            turn.set()
        else:
            self.n_running -= 1

    def _record(self) -> None:
        self._history.append((monotonic_ms(), self.n_running, len(self._waiting)))
        if len(self._history) > MAX_HISTORY:
            self._history.popleft()
