"""Limits retries to a share of the requests."""

__all__ = ["RetryBudget"]

# Tokens that each request adds; a retry takes one token.
N_TOKENS_PER_REQUEST = 0.2
# Tokens added in each second, so that an entry with few requests can retry.
N_TOKENS_PER_S = 1.0
# Size of the bucket in tokens: the number of retries that may follow directly on
# each other.
MAX_N_TOKENS = 20.0


class RetryBudget:
    """A token bucket for retries, filled by each request and slowly by time.

    The refill by time lets an entry with little traffic retry as well.

    Parameters
    ----------
    now_ms : float
    """

    def __init__(self, now_ms: float):
        self._n_tokens = MAX_N_TOKENS
        self._refilled_at_ms = now_ms

    def credit_request(self) -> None:
        """Add the tokens that a new request earns."""
        self._n_tokens = min(MAX_N_TOKENS, self._n_tokens + N_TOKENS_PER_REQUEST)

    def take_token(self, now_ms: float) -> bool:
        """Take the token for one retry; return whether there was one."""
        n_earned = (now_ms - self._refilled_at_ms) / 1000 * N_TOKENS_PER_S
        self._n_tokens = min(MAX_N_TOKENS, self._n_tokens + n_earned)
        self._refilled_at_ms = now_ms
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True
