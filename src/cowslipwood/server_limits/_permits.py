"""Permits for the requests that one limited server gets, granted by the leader only."""

import math

from ._bucket import TokenBucket

__all__ = ["PERMIT_LIFE_MS", "SHORT_MS", "PermitBucket"]

# Time, in milliseconds, within which a permit may be used, counted from the question
# for it. A question and its answer may take most of it on a slow link.
PERMIT_LIFE_MS = 500.0
# Time, in milliseconds, of the limit's rate that unused permits may add up to.
BURST_MS = 250.0
# Time, in milliseconds, for which a refused question holds back less urgent ones: an
# entry whose request waits asks again within it.
URGENT_HOLD_MS = 1_000.0
# Time, in milliseconds, for which a server counts as short of permits after a refused
# question. Planning another copy of its models and loading it take seconds.
SHORT_MS = 5_000.0
# Longest time, in milliseconds, that a refused caller is told to wait.
MAX_RETRY_AFTER_MS = 10_000.0
# Largest number of permits by which the calls of the leader may precede its grants.
MAX_DEBT = 1.0


class PermitBucket:
    """A token bucket that fills at the rate of the limit.

    Parameters
    ----------
    rate_per_s : float
    now_ms : float
        The bucket is empty at this time, as another leader may just have emptied it.
    """

    def __init__(self, rate_per_s: float, now_ms: float):
        self._bucket = TokenBucket(rate_per_s, _compute_capacity(rate_per_s), now_ms)
        # Time at which all who were refused have had a permit, if each comes back.
        self._queue_until_ms = now_ms
        # Last refusal of each rank that has had no permit since, and of any.
        self._refused_at_ms: dict[int, float] = {}
        self._short_at_ms = -math.inf

    def set_rate(self, rate_per_s: float, now_ms: float) -> None:
        """Fill at another rate from now on."""
        self._bucket.set_limit(rate_per_s, _compute_capacity(rate_per_s), now_ms)

    def take(self, n_wanted: int, urgency_rank: int, now_ms: float) -> int:
        """Take up to `n_wanted` permits; return how many there were."""
        self._bucket.fill(now_ms)
        if self._is_held_for_others(urgency_rank, now_ms):
            return 0
        n_granted = min(n_wanted, int(self._bucket.level))
        if n_granted > 0:
            self._bucket.take(n_granted)
            self._refused_at_ms.pop(urgency_rank, None)
        return max(0, n_granted)

    def take_own(self, now_ms: float) -> None:
        """Count a call that the leader makes itself."""
        self._bucket.fill(now_ms)
        self._bucket.take(min(1.0, self._bucket.level + MAX_DEBT))

    def refuse(self, urgency_rank: int, now_ms: float) -> tuple[float, float]:
        """Record a refusal; return the times until the next permit and the own one."""
        self._refused_at_ms[urgency_rank] = self._short_at_ms = now_ms
        interval_ms = 1000.0 / self._bucket.rate_per_s
        next_ms = self._bucket.compute_wait_ms(1.0)
        latest_ms = now_ms + MAX_RETRY_AFTER_MS
        self._queue_until_ms = min(
            latest_ms, max(self._queue_until_ms + interval_ms, now_ms + next_ms)
        )
        return next_ms, self._queue_until_ms - now_ms

    def was_short(self, now_ms: float) -> bool:
        """Return whether a question was refused within `SHORT_MS`."""
        return now_ms - self._short_at_ms < SHORT_MS

    def _is_held_for_others(self, urgency_rank: int, now_ms: float) -> bool:
        return any(
            rank < urgency_rank and now_ms - at_ms < URGENT_HOLD_MS
            for rank, at_ms in self._refused_at_ms.items()
        )


def _compute_capacity(rate_per_s: float) -> float:
    return max(1.0, rate_per_s * BURST_MS / 1000)
