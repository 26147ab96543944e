"""Holds each catalogue entry's limits over all entry hosts.

Every live entry host takes its share of a limit. The shares of whole numbers
add up to the limit exactly; the keepers tell each host its rank.
"""

from returns.result import Failure as Err
from returns.result import Result, Success

from ...catalogue import Entry
from ...kernel.codes import Code, Failure, failure

__all__ = ["Shares", "share_of"]

BURST_S = 1.0
BUSY_RETRY_MS = 500


def share_of(limit: int, n_entries: int, rank: int) -> int:
    """Return the part of a whole limit that falls to the host of that rank."""
    return limit // n_entries + (rank < limit % n_entries)


class _Usage:
    """The use that is made of one entry's limits here."""

    __slots__ = ("at_ms", "n_in_flight", "tokens")

    def __init__(self, tokens: float, now_ms: float):
        self.n_in_flight = 0
        self.tokens = tokens
        self.at_ms = now_ms


class Shares:
    """Counts requests against this host's share of each entry's limits."""

    def __init__(self):
        self._usage: dict[str, _Usage] = {}
        self.n_entries = 1
        self.rank = 0

    def take(self, entry: Entry, now_ms: float) -> Result[None, Failure]:
        """Count a fresh request; fails with OWNER_LIMIT."""
        usage = self._usage.get(entry.name)
        if usage is None:
            usage = _Usage(self._burst(entry), now_ms)
            self._usage[entry.name] = usage
        limits = entry.limits
        if limits.max_in_flight:
            share = share_of(limits.max_in_flight, self.n_entries, self.rank)
            if usage.n_in_flight >= share:
                message = f"{entry.name}: {share} in flight here is its limit"
                return Err(failure(Code.OWNER_LIMIT, message, BUSY_RETRY_MS))
        if limits.rate_per_s:
            rate = limits.rate_per_s / self.n_entries
            earned = (now_ms - usage.at_ms) / 1000 * rate
            usage.tokens = min(self._burst(entry), usage.tokens + earned)
            usage.at_ms = now_ms
            if usage.tokens < 1.0:
                wait_ms = round((1.0 - usage.tokens) / rate * 1000) + 1
                message = f"{entry.name}: {rate:g} per second here is its limit"
                return Err(failure(Code.OWNER_LIMIT, message, wait_ms))
            usage.tokens -= 1.0
        usage.n_in_flight += 1
        return Success(None)

    def release(self, entry: Entry) -> None:
        """Count the end of a request that `take` let in."""
        self._usage[entry.name].n_in_flight -= 1

    def forget(self, names: set[str]) -> None:
        """Drop what is known of entries that are not among `names`."""
        for name in list(self._usage):
            if name not in names and not self._usage[name].n_in_flight:
                del self._usage[name]

    def _burst(self, entry: Entry) -> float:
        return max(1.0, entry.limits.rate_per_s / self.n_entries * BURST_S)
