"""Watches for how long other work delays the tasks of a process."""

import time
from typing import NamedTuple

import anyio

from .clock import monotonic_ms
from .logs import get_logger
from .metrics import Metrics

__all__ = ["ClockReadings", "LoopDelay", "measure_loop_delay", "watch_loop_delay"]

# Interval between two measurements: short enough that a delay that ends a leader's
# lease is seen whole, and long enough to cost nearly no processor time.
WATCH_INTERVAL_MS = 50.0
# Delay from which a line is logged: a part of the shortest election timeout.
MIN_LOGGED_DELAY_MS = 100.0


class LoopDelay(NamedTuple):
    """How late a task ran, and what the process did meanwhile.

    Parameters
    ----------
    late_ms : float
        Time from the moment at which the task was due to the one at which it ran.
    suspended_ms : float
        Time for which the host was suspended since the task was last run.
    processor_ms : float
        Processor time that the process used since the task was last run.
    """

    late_ms: float
    suspended_ms: float
    processor_ms: float


class ClockReadings(NamedTuple):
    """Readings of the clocks that tell causes of a delay apart, in milliseconds."""

    monotonic_ms: float
    awake_ms: float
    processor_ms: float

    @classmethod
    def read(cls) -> "ClockReadings":
        """Read all clocks."""
        return cls(
            monotonic_ms(), time.monotonic() * 1000.0, time.process_time() * 1000.0
        )


def measure_loop_delay(
    before: ClockReadings, after: ClockReadings, slept_ms: float
) -> LoopDelay:
    """Return the delay of a task that wanted to sleep for `slept_ms`."""
    elapsed_ms = after.monotonic_ms - before.monotonic_ms
    awake_ms = after.awake_ms - before.awake_ms
    return LoopDelay(
        max(0.0, elapsed_ms - slept_ms),
        max(0.0, elapsed_ms - awake_ms),
        after.processor_ms - before.processor_ms,
    )


async def watch_loop_delay(metrics: Metrics) -> None:
    """Measure the delay of this process's tasks until cancelled.

    A delay is due to work of this process if `processor_ms` is about as long, to a
    suspended host if `suspended_ms` is, and otherwise to other processes.
    """
    clocks = ClockReadings.read()
    while True:
        await anyio.sleep(WATCH_INTERVAL_MS / 1000)
        clocks, before = ClockReadings.read(), clocks
        delay = measure_loop_delay(before, clocks, WATCH_INTERVAL_MS)
        metrics.observe("loop_delay_ms", delay.late_ms)
        if delay.late_ms >= MIN_LOGGED_DELAY_MS:
            get_logger().warning(
                "loop_delayed",
                late_ms=round(delay.late_ms),
                suspended_ms=round(delay.suspended_ms),
                processor_ms=round(delay.processor_ms),
            )
