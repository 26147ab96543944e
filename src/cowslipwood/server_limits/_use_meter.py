"""Measures an amount per second over the last seconds."""

import math

__all__ = ["UseMeter"]

# Time constant of the average, in milliseconds. It is a quarter of the window over
# which limits are measured, so that load that moves between entries shows within it.
AVERAGING_MS = 2_000.0


class UseMeter:
    """An exponentially weighted average of an amount per second.

    Parameters
    ----------
    now_ms : float
    """

    def __init__(self, now_ms: float):
        self._amount = 0.0
        self._at_ms = now_ms

    def add(self, amount: float, now_ms: float) -> None:
        """Count an amount; a negative one takes back what was counted before."""
        self._decay(now_ms)
        self._amount = max(0.0, self._amount + amount)

    def compute_per_s(self, now_ms: float) -> float:
        """Return the average amount per second."""
        self._decay(now_ms)
        return self._amount * 1000.0 / AVERAGING_MS

    def _decay(self, now_ms: float) -> None:
        if now_ms > self._at_ms:
            self._amount *= math.exp((self._at_ms - now_ms) / AVERAGING_MS)
            self._at_ms = now_ms
