"""Detects pauses of the process, to correct the arrival times of calls after one."""

__all__ = ["PauseDetector"]

# Interval at which `PauseDetector.tick` is called, in milliseconds.
TICK_INTERVAL_MS = 50
# Gap between two ticks above which the process counts as paused, in milliseconds.
MIN_PAUSE_MS = 250
# Time after a pause in which calls count as received before or during the pause, in
# milliseconds.
BACKDATING_MS = 200


class PauseDetector:
    """Backdates calls that waited in the host's buffers while the process was paused.

    A call that is read right after a pause may have arrived when the pause began, so
    the begin of the pause counts as its arrival time.

    Parameters
    ----------
    now_ms : float
    """

    def __init__(self, now_ms: float):
        self._last_tick_ms = now_ms
        self._pause_began_ms = now_ms
        self._pause_ended_ms = now_ms - BACKDATING_MS

    def tick(self, now_ms: float) -> None:
        """Record that the process runs; to be called every `TICK_INTERVAL_MS`."""
        if now_ms - self._last_tick_ms > MIN_PAUSE_MS:
            self._pause_began_ms = self._last_tick_ms
            self._pause_ended_ms = now_ms
        self._last_tick_ms = now_ms

    def earliest_arrival_ms(self, now_ms: float) -> float:
        """Return the earliest time at which a call read now may have arrived."""
        self.tick(now_ms)
        if now_ms - self._pause_ended_ms < BACKDATING_MS:
            return self._pause_began_ms
        return now_ms
