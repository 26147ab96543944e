"""Simulates continuous batching in an engine: running and waiting requests."""

import heapq
import itertools
from collections import deque
from contextlib import asynccontextmanager

import anyio

from ..kernel.clock import monotonic_ms

__all__ = ["Batch"]

# Number of past loads kept for the lagging report.
MAX_PAST_LOADS = 10_000


class Batch:
    """Limits the requests that run at the same time; others wait by priority.

    Parameters
    ----------
    knee_in_flight : int
        Number of requests that run at full speed at the same time; more slow all down.
    max_running : int
        Largest number of requests that run at the same time.
    report_lag_ms : float
        Age of the reported load.
    """

    def __init__(self, knee_in_flight: int, max_running: int, report_lag_ms: float):
        self._knee_in_flight = knee_in_flight
        self._max_running = max_running
        self._report_lag_ms = report_lag_ms
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        self._arrival_numbers = itertools.count()
        # Time, number of running and number of waiting requests after each change.
        self._past_loads: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])
        self.n_running = 0

    def slowdown_factor(self) -> float:
        """Return how many times longer work takes now than at full speed."""
        return max(1.0, self.n_running / self._knee_in_flight)

    def lagging_load(self, now_ms: float) -> tuple[int, int]:
        """Return the numbers of running and waiting requests before the lag."""
        as_of_ms = now_ms - self._report_lag_ms
        while len(self._past_loads) > 1 and self._past_loads[1][0] <= as_of_ms:
            self._past_loads.popleft()
        _, n_running, n_waiting = self._past_loads[0]
        return n_running, n_waiting

    @asynccontextmanager
    async def hold_slot(self, priority: int):
        """Wait for a slot in the batch and hold it; low priority numbers go first."""
        if self.n_running >= self._max_running:
            await self._wait_for_slot(priority)
        else:
            self.n_running += 1
        self._record_load()
        try:
            yield
        finally:
            self._release_slot()
            self._record_load()

    async def _wait_for_slot(self, priority: int) -> None:
        slot_given = anyio.Event()
        waiter = (priority, next(self._arrival_numbers), slot_given)
        heapq.heappush(self._waiting, waiter)
        self._record_load()
        try:
            await slot_given.wait()
        except BaseException:
            if slot_given.is_set():
                self._release_slot()
            else:
                self._waiting.remove(waiter)
                heapq.heapify(self._waiting)
            raise

    def _release_slot(self) -> None:
        """Pass the slot to the first waiting request, or free it."""
        if self._waiting:
            _, _, slot_given = heapq.heappop(self._waiting)
            slot_given.set()
        else:
            self.n_running -= 1

    def _record_load(self) -> None:
        self._past_loads.append((monotonic_ms(), self.n_running, len(self._waiting)))
        if len(self._past_loads) > MAX_PAST_LOADS:
            self._past_loads.popleft()
