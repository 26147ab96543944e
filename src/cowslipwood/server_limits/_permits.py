"""Permits for the requests that one limited server gets, granted by the leader only."""

import math

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
        self._rate_per_s = rate_per_s
        self._n_permits = 0.0
        self._filled_at_ms = now_ms
        # Time at which all who were refused have had a permit, if each comes back.
        self._queue_until_ms = now_ms
        # Last refusal of each rank that has had no permit since, and of any.
        self._refused_at_ms: dict[int, float] = {}
        self._short_at_ms = -math.inf

    def set_rate(self, rate_per_s: float, now_ms: float) -> None:
        """Fill at another rate from now on."""
        self._fill(now_ms)
        self._rate_per_s = rate_per_s
        self._n_permits = min(self._n_permits, self._capacity)

    def take(self, n_wanted: int, urgency_rank: int, now_ms: float) -> int:
        """Take up to `n_wanted` permits; return how many there were."""
        self._fill(now_ms)
        if self._is_held_for_others(urgency_rank, now_ms):
            return 0
        n_granted = min(n_wanted, int(self._n_permits))
        if n_granted > 0:
            self._n_permits -= n_granted
            self._refused_at_ms.pop(urgency_rank, None)
        return max(0, n_granted)

    def take_own(self, now_ms: float) -> None:
        """Count a call that the leader makes itself."""
        self._fill(now_ms)
        self._n_permits = max(-MAX_DEBT, self._n_permits - 1.0)

    def refuse(self, urgency_rank: int, now_ms: float) -> tuple[float, float]:
        """Record a refusal; return the times until the next permit and the own one."""
        self._refused_at_ms[urgency_rank] = self._short_at_ms = now_ms
        interval_ms = 1000.0 / self._rate_per_s
        missing = max(0.0, 1.0 - self._n_permits)
        next_ms = missing * interval_ms
        latest_ms = now_ms + MAX_RETRY_AFTER_MS
        self._queue_until_ms = min(
            latest_ms, max(self._queue_until_ms + interval_ms, now_ms + next_ms)
        )
        return next_ms, self._queue_until_ms - now_ms

    def was_short(self, now_ms: float) -> bool:
        """Return whether a question was refused within `SHORT_MS`."""
        return now_ms - self._short_at_ms < SHORT_MS

    @property
    def _capacity(self) -> float:
        return max(1.0, self._rate_per_s * BURST_MS / 1000)

    def _fill(self, now_ms: float) -> None:
        if now_ms > self._filled_at_ms:
            added = self._rate_per_s * (now_ms - self._filled_at_ms) / 1000
            self._n_permits = min(self._capacity, self._n_permits + added)
            self._filled_at_ms = now_ms

    def _is_held_for_others(self, urgency_rank: int, now_ms: float) -> bool:
        return any(
            rank < urgency_rank and now_ms - at_ms < URGENT_HOLD_MS
            for rank, at_ms in self._refused_at_ms.items()
        )
