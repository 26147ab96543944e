"""Limits of requests per second that servers name, shared by entries and keepers."""

from ._ledger import MIN_RATE_PER_S, LimitFact, LimitLedger, count_rate
from ._permits import PERMIT_LIFE_MS, SHORT_MS, PermitBucket

__all__ = [
    "MIN_RATE_PER_S",
    "PERMIT_LIFE_MS",
    "SHORT_MS",
    "LimitFact",
    "LimitLedger",
    "PermitBucket",
    "count_rate",
]
