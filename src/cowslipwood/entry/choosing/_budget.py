"""Limits retries to a share of the requests."""

__all__ = ["RetryTokenBucket"]

# Retries that each request adds to the saved ones.
RETRIES_PER_REQUEST = 0.2
# Retries added to the saved ones in each second, so that an entry with few requests can
# retry.
RETRIES_PER_S = 1.0
# Largest number of saved retries, which is the size of the bucket: so many retries may
# follow directly on each other.
MAX_SAVED_RETRIES = 20.0


class RetryTokenBucket:
    """A token bucket for retries, filled by each request and slowly by time.

    The refill by time lets an entry with little traffic retry as well.

    Parameters
    ----------
    now_ms : float
    """

    def __init__(self, now_ms: float):
        self._n_saved_retries = MAX_SAVED_RETRIES
        self._refilled_at_ms = now_ms

    def credit_request(self) -> None:
        """Add the share of a retry that a new request earns."""
        self._n_saved_retries = min(
            MAX_SAVED_RETRIES, self._n_saved_retries + RETRIES_PER_REQUEST
        )

    def take_retry(self, now_ms: float) -> bool:
        """Take one saved retry; return whether there was one."""
        n_earned = (now_ms - self._refilled_at_ms) / 1000 * RETRIES_PER_S
        self._n_saved_retries = min(MAX_SAVED_RETRIES, self._n_saved_retries + n_earned)
        self._refilled_at_ms = now_ms
        if self._n_saved_retries < 1.0:
            return False
        self._n_saved_retries -= 1.0
        return True
