"""Decides whether a failed attempt is retried, and which failure the caller gets."""

from typing import NamedTuple

from ...kernel.codes import Code, Failure, Outcome, failure
from ...routes import Route, RouteKind

__all__ = [
    "AttemptCounts",
    "LiveEntryCount",
    "RetryBudgetLimits",
    "SharedRetryBudget",
    "build_final_failure",
    "compute_stop_pause_ms",
    "may_retry",
    "must_stop_first",
]

# Number of buckets into which a budget's window is divided. The counts of a window
# then cover at most one bucket more than its length.
N_BUCKETS = 10
# Share of its part of the extra retries that an entry uses. The rest is for entries
# that have restarted: their predecessors may have used up their parts in this window.
USED_EXTRA_SHARE = 0.75
# Number of entries that is assumed while no leader has sent the number. It is near that
# of large installations, as too low a number would exceed the budget of all entries.
ASSUMED_N_ENTRIES = 100
# Least time, in milliseconds, that an attempt must have. Connecting to a server and
# a short run there take longer.
MIN_ATTEMPT_MS = 20.0
# Time, in milliseconds, for which a stream is sent to no other server after the entry
# has closed the connection of an attempt. Servers notice a close later than that it
# arrives, busy ones by hundreds of milliseconds, and may work for 400 ms more once the
# stream goes on elsewhere.
STOP_PAUSE_MS = 400.0
# Largest number of times that one request is sent to servers that refuse it. After
# this many refusals the service is full, or an order there takes longer than the
# pauses between the attempts, and the caller does better to come back later.
MAX_N_SENT = 5


class AttemptCounts(NamedTuple):
    """How often a request was sent so far.

    Parameters
    ----------
    n_sent : int
        Number of times that the request was sent to a server.
    n_possibly_run : int
        Number of these attempts in which the server may have run the request.
    """

    n_sent: int = 0
    n_possibly_run: int = 0


class RetryBudgetLimits(NamedTuple):
    """How many retries all entries together may send to a service.

    Parameters
    ----------
    retries_per_request : float
        Number of retries for each new request.
    n_extra_retries : float
        Number of further retries in one window, summed over all entries.
    window_ms : float
        Length of the window.
    """

    retries_per_request: float = 0.2
    n_extra_retries: float = 64.0
    window_ms: float = 10_000.0


class LiveEntryCount:
    """Number of live entries that share each retry budget.

    A newly elected leader has had reports from few entries, so its count is too low.
    The highest count that was in force during the last window is therefore used, so
    that no entry takes more than its part in the meantime.

    Parameters
    ----------
    window_ms : float
        Time for which a higher count is kept after a lower one has replaced it.
    """

    def __init__(self, window_ms: float):
        self._window_ms = window_ms
        self._n_entries: int | None = None
        # Replaced counts and the times until which they are kept.
        self._former: list[tuple[int, float]] = []

    def update(self, n_entries: int, now_ms: float) -> None:
        """Apply the number of live entries that the leader has counted."""
        if self._n_entries is not None and n_entries < self._n_entries:
            self._former.append((self._n_entries, now_ms + self._window_ms))
        self._n_entries = max(1, n_entries)

    def get(self, now_ms: float) -> int:
        """Return the number of entries to share with."""
        if self._n_entries is None:
            return ASSUMED_N_ENTRIES
        self._former = [pair for pair in self._former if pair[1] >= now_ms]
        return max([self._n_entries, *(n_entries for n_entries, _ in self._former)])


class SharedRetryBudget:
    """One entry's part of the retries that all entries may send to a service.

    Requests and retries are counted in buckets, so that any span as long as the
    window holds at most the retries that the entry's part allows. An entry that has
    just started does not know what its predecessor has sent. In its first window its
    extra retries come from the margin that running entries leave, and grow with the
    time since the start, so that any number of restarts stays within that margin.

    Parameters
    ----------
    limits : RetryBudgetLimits
    started_ms : float
        When the entry started.
    """

    def __init__(self, limits: RetryBudgetLimits, started_ms: float):
        self._limits = limits
        self._started_ms = started_ms
        self._n_requests_by_bucket: dict[int, int] = {}
        self._n_retries_by_bucket: dict[int, int] = {}

    def count_request(self, now_ms: float) -> None:
        """Count a new request, which is not a retry."""
        bucket = self._compute_bucket(now_ms)
        self._n_requests_by_bucket[bucket] = (
            self._n_requests_by_bucket.get(bucket, 0) + 1
        )

    def spend_retry(self, n_entries: int, now_ms: float) -> bool:
        """Spend one retry if this entry's part allows it; return whether it does.

        Parameters
        ----------
        n_entries : int
            Number of live entries, which have equal parts of the extra retries.
        now_ms : float
        """
        bucket = self._compute_bucket(now_ms)
        self._drop_old_buckets(bucket)
        # The oldest bucket lies only partly inside the window. Its requests are left
        # out and its retries are counted in full, so the budget is never exceeded.
        n_requests = sum(
            n_in_bucket
            for each_bucket, n_in_bucket in self._n_requests_by_bucket.items()
            if each_bucket > bucket - N_BUCKETS
        )
        n_allowed = self._limits.retries_per_request * n_requests
        n_allowed += self._compute_extra_share(now_ms) / n_entries
        if sum(self._n_retries_by_bucket.values()) + 1 > n_allowed:
            return False
        self._n_retries_by_bucket[bucket] = self._n_retries_by_bucket.get(bucket, 0) + 1
        return True

    def _compute_extra_share(self, now_ms: float) -> float:
        """Return the extra retries of all entries if each had run for as long."""
        uptime_share = (now_ms - self._started_ms) / self._limits.window_ms
        used_share = USED_EXTRA_SHARE
        if uptime_share <= 1.0 + 1.0 / N_BUCKETS:
            used_share = (1.0 - USED_EXTRA_SHARE) * min(1.0, uptime_share)
        return self._limits.n_extra_retries * used_share

    def _compute_bucket(self, now_ms: float) -> int:
        return int(now_ms * N_BUCKETS // self._limits.window_ms)

    def _drop_old_buckets(self, current_bucket: int) -> None:
        for counts in (self._n_requests_by_bucket, self._n_retries_by_bucket):
            for old_bucket in [
                bucket for bucket in counts if bucket < current_bucket - N_BUCKETS
            ]:
                del counts[old_bucket]


def may_retry(
    route: Route, attempt_counts: AttemptCounts, fault: Failure, left_ms: float
) -> bool:
    """Return whether a request may be sent to another server after a failure.

    Parameters
    ----------
    route : Route
    attempt_counts : AttemptCounts
    fault : Failure
        How the last attempt failed; its outcome tells whether the server may have
        run the request.
    left_ms : float
        Time left until the caller must have the final answer.
    """
    if left_ms < MIN_ATTEMPT_MS:
        return False
    if fault.outcome is Outcome.UNKNOWN:
        return (
            route.is_repeatable and attempt_counts.n_possibly_run < route.max_attempts
        )
    return attempt_counts.n_sent < MAX_N_SENT


def must_stop_first(route: Route, model: str) -> bool:
    """Return whether one server must have stopped before another gets a request.

    Plain requests that may be repeated may run at two servers at once. Streams and
    requests to a model's engines may not.

    Parameters
    ----------
    route : Route
    model : str
        The model that the request needs; empty for none.
    """
    return route.kind is RouteKind.STREAMING or bool(model)


def compute_stop_pause_ms(
    route: Route, model: str, given_up_at_ms: float, now_ms: float
) -> float:
    """Return how long a request must wait until its servers have stopped.

    Parameters
    ----------
    route : Route
    model : str
        The model that the request needs; empty for none.
    given_up_at_ms : float
        When the entry last closed the connection of an attempt that its server had
        not ended.
    now_ms : float
    """
    if not must_stop_first(route, model):
        return 0.0
    return max(0.0, given_up_at_ms + STOP_PAUSE_MS - now_ms)


def build_final_failure(
    attempt_counts: AttemptCounts, fault: Failure, retry_after_ms: int
) -> Failure:
    """Return the failure to send to the caller.

    A request that a server may have run is never reported as not run.

    Parameters
    ----------
    attempt_counts : AttemptCounts
    fault : Failure
        How the last attempt failed.
    retry_after_ms : int
        When the caller should come back if `fault` does not say so.
    """
    if attempt_counts.n_possibly_run and fault.outcome is Outcome.NOT_RUN:
        return failure(Code.OUTCOME_UNKNOWN, fault.message)
    if fault.outcome is Outcome.NOT_RUN:
        return fault._replace(retry_after_ms=fault.retry_after_ms or retry_after_ms)
    return fault
