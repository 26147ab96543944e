"""Limits that hold for all entries together, shared by entries and keepers.

Servers name limits of requests per second; the document of routes has limits of
customers. The leader grants what either allows from a `TokenBucket`, and entries use
the grants within a short time from a `Reserve`.
"""

from ._allowances import (
    ALLOWANCE_LIFE_MS,
    ALONE_MS,
    ALONE_SHARE,
    FIRST_LEVEL_SHARE,
    LARGER_BUCKET_SHARE,
    MAX_ALLOWANCE_WAIT_MS,
    MIN_BURST_MS,
    PREFETCH_MS,
    LimitTolerance,
)
from ._bucket import LendingBucket, TokenBucket
from ._ledger import MIN_RATE_PER_S, LimitFact, LimitLedger, count_rate
from ._permits import PERMIT_LIFE_MS, SHORT_MS, PermitBucket
from ._reserve import Reserve
from ._use_meter import UseMeter

__all__ = [
    "ALLOWANCE_LIFE_MS",
    "ALONE_MS",
    "ALONE_SHARE",
    "FIRST_LEVEL_SHARE",
    "LARGER_BUCKET_SHARE",
    "MAX_ALLOWANCE_WAIT_MS",
    "MIN_BURST_MS",
    "MIN_RATE_PER_S",
    "PERMIT_LIFE_MS",
    "PREFETCH_MS",
    "SHORT_MS",
    "LendingBucket",
    "LimitFact",
    "LimitLedger",
    "LimitTolerance",
    "PermitBucket",
    "Reserve",
    "TokenBucket",
    "UseMeter",
    "count_rate",
]
