"""Keeps retries to a share of fresh requests."""

__all__ = ["RetryBudget"]

RETRIES_PER_REQUEST = 0.2
REFILL_PER_S = 1.0
MAX_TOKENS = 20.0


class RetryBudget:
    """A token bucket filled by fresh requests, and slowly by time.

    The slow refill lets an entry with little traffic retry at all.

    Parameters
    ----------
    now_ms : float
    """

    def __init__(self, now_ms: float):
        self._tokens = MAX_TOKENS
        self._at_ms = now_ms

    def fresh_request(self) -> None:
        """Count a fresh request."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRIES_PER_REQUEST)

    def take(self, now_ms: float) -> bool:
        """Take a retry's token; return whether there was one."""
        earned = (now_ms - self._at_ms) / 1000 * REFILL_PER_S
        self._tokens = min(MAX_TOKENS, self._tokens + earned)
        self._at_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
