"""Keeps the newest statement about each server's limit, from all processes."""

import math
from collections import OrderedDict
from typing import NamedTuple

__all__ = ["MIN_RATE_PER_S", "LimitFact", "LimitLedger", "count_rate"]

# Least rate, in requests per second, at which a limited server still gets requests. A
# server says in its answers that its limit has ended, so one that got none would keep
# its limit for ever.
MIN_RATE_PER_S = 0.2
# Difference between the times of two statements, in milliseconds, below which they may
# have been made in the other order: a message may be this late, and answers overtake
# each other. The lower limit then counts.
UNORDERED_MS = 300.0
# Largest number of servers whose statements are kept, the newest ones.
MAX_FACTS = 10_000


def count_rate(rate_per_s: float) -> float:
    """Return the rate at which requests are sent under a limit."""
    return max(MIN_RATE_PER_S, rate_per_s)


class LimitFact(NamedTuple):
    """What one server has said about its limit.

    Parameters
    ----------
    server_id, incarnation : str
    rate_per_s : float
        Requests per second from all hosts together; infinite if its limit has ended.
    at_ms : float
        When an answer last said so.
    """

    server_id: str
    incarnation: str
    rate_per_s: float
    at_ms: float

    @property
    def is_limited(self) -> bool:
        """Whether the server has a limit."""
        return math.isfinite(self.rate_per_s)


class LimitLedger:
    """The newest statement about each server."""

    def __init__(self):
        self._facts: OrderedDict[str, LimitFact] = OrderedDict()

    def record(self, fact: LimitFact) -> bool:
        """Add a statement; return whether it changes the limit of its server.

        Of two statements about one incarnation whose order is uncertain, the lower
        limit counts.
        """
        known = self._facts.get(fact.server_id)
        if known is not None and known.incarnation == fact.incarnation:
            age_ms = fact.at_ms - known.at_ms
            is_lower = fact.rate_per_s <= known.rate_per_s
            if age_ms < (-UNORDERED_MS if is_lower else UNORDERED_MS):
                return False
            fact = fact._replace(at_ms=max(fact.at_ms, known.at_ms))
        elif known is not None and fact.at_ms < known.at_ms:
            return False
        self.replace(fact)
        if known is None or known.incarnation != fact.incarnation:
            return fact.is_limited
        return fact.rate_per_s != known.rate_per_s

    def replace(self, fact: LimitFact) -> None:
        """Set what is known of a server, whatever was known before."""
        self._facts[fact.server_id] = fact
        self._facts.move_to_end(fact.server_id)
        while len(self._facts) > MAX_FACTS:
            self._facts.popitem(last=False)

    def find(self, server_id: str, incarnation: str) -> LimitFact | None:
        """Return what is known of an incarnation of a server."""
        fact = self._facts.get(server_id)
        return fact if fact is not None and fact.incarnation == incarnation else None

    def find_limit(self, server_id: str, incarnation: str) -> LimitFact | None:
        """Return the limit of an incarnation of a server; None if it has none."""
        fact = self.find(server_id, incarnation)
        return fact if fact is not None and fact.is_limited else None

    def list_facts(self) -> list[LimitFact]:
        """Return all statements, also of limits that have ended."""
        return list(self._facts.values())

    def forget(self, server_id: str) -> None:
        """Forget a server that is gone."""
        self._facts.pop(server_id, None)
