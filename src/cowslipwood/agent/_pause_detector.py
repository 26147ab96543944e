"""Tells how old a call may be after the process did not run for a while."""

__all__ = ["PauseDetector"]

TICK_INTERVAL_MS = 50
FREEZE_MS = 250
GRACE_MS = 200


class PauseDetector:
    """Dates calls that waited in the host's buffers while the process stood still.

    A call that is read right after a pause may have come at its beginning, so
    it is dated back to it.

    Parameters
    ----------
    now_ms : float
    """

    def __init__(self, now_ms: float):
        self._ticked_ms = now_ms
        self._paused_ms = now_ms
        self._woke_ms = now_ms - GRACE_MS

    def tick(self, now_ms: float) -> None:
        """Note that the process runs; to be called every ``TICK_INTERVAL_MS``."""
        if now_ms - self._ticked_ms > FREEZE_MS:
            self._paused_ms = self._ticked_ms
            self._woke_ms = now_ms
        self._ticked_ms = now_ms

    def earliest_arrival_ms(self, now_ms: float) -> float:
        """Return the earliest time at which a call read now may have come."""
        self.tick(now_ms)
        if now_ms - self._woke_ms < GRACE_MS:
            return self._paused_ms
        return now_ms
