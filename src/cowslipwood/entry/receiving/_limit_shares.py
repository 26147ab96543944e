"""Enforces each catalogue entry's limits across all entry hosts.

Each live entry host enforces its share of a limit without asking the others. The
shares of a whole number add up to exactly that number. The keepers tell each host
how many entry hosts there are and its rank among them, which decides the shares.
"""

from returns.result import Failure as Err
from returns.result import Result, Success

from ...catalogue import CatalogueEntry
from ...kernel.codes import Code, Failure, failure

__all__ = ["LimitShares", "compute_share"]

# Size of the rate limit's token bucket, in seconds of the host's share of the rate; one
# token admits one request.
BURST_S = 1.0
# Milliseconds after which a caller may retry when too many requests are in flight.
IN_FLIGHT_RETRY_MS = 500


def compute_share(limit: int, n_entries: int, rank: int) -> int:
    """Return the share of a whole-number limit for the host of the given rank."""
    return limit // n_entries + (rank < limit % n_entries)


class _LimitUsage:
    """How much of one catalogue entry's limits this host uses.

    `n_requests_left` is the number of requests that the rate limit's token bucket
    admits at once.
    """

    __slots__ = ("n_in_flight", "n_requests_left", "refilled_at_ms")

    def __init__(self, n_requests_left: float, now_ms: float):
        self.n_in_flight = 0
        self.n_requests_left = n_requests_left
        self.refilled_at_ms = now_ms


class LimitShares:
    """Counts requests against this host's share of each catalogue entry's limits.

    Attributes
    ----------
    n_entries : int
        Number of live entry hosts.
    rank : int
        This host's place among them, from 0.
    """

    def __init__(self):
        self._usage: dict[str, _LimitUsage] = {}
        self.n_entries = 1
        self.rank = 0

    def admit(self, entry: CatalogueEntry, now_ms: float) -> Result[None, Failure]:
        """Count a new request; fails with OWNER_LIMIT."""
        usage = self._usage.get(entry.name)
        if usage is None:
            usage = _LimitUsage(self._compute_burst_size(entry), now_ms)
            self._usage[entry.name] = usage
        limits = entry.limits
        if limits.max_in_flight:
            share = compute_share(limits.max_in_flight, self.n_entries, self.rank)
            if usage.n_in_flight >= share:
                message = f"{entry.name}: {share} in flight here is its limit"
                return Err(failure(Code.OWNER_LIMIT, message, IN_FLIGHT_RETRY_MS))
        if limits.rate_per_s:
            rate_per_s = limits.rate_per_s / self.n_entries
            n_refilled = (now_ms - usage.refilled_at_ms) / 1000 * rate_per_s
            usage.n_requests_left = min(
                self._compute_burst_size(entry), usage.n_requests_left + n_refilled
            )
            usage.refilled_at_ms = now_ms
            if usage.n_requests_left < 1.0:
                wait_ms = round((1.0 - usage.n_requests_left) / rate_per_s * 1000) + 1
                message = f"{entry.name}: {rate_per_s:g} per second here is its limit"
                return Err(failure(Code.OWNER_LIMIT, message, wait_ms))
            usage.n_requests_left -= 1.0
        usage.n_in_flight += 1
        return Success(None)

    def release(self, entry: CatalogueEntry) -> None:
        """Count the end of a request that `admit` accepted."""
        self._usage[entry.name].n_in_flight -= 1

    def drop_unlisted(self, names: set[str]) -> None:
        """Drop the usage of entries that are not in `names` and have no request."""
        for name in list(self._usage):
            if name not in names and not self._usage[name].n_in_flight:
                del self._usage[name]

    def _compute_burst_size(self, entry: CatalogueEntry) -> float:
        return max(1.0, entry.limits.rate_per_s / self.n_entries * BURST_S)
