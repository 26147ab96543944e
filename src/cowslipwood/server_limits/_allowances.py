"""Times and shares by which entries and the leader keep to the limits of customers.

In any window, all entries use at most what one bucket allows for the window, and
further what was granted within `ALLOWANCE_LIFE_MS` before it and what entries without a
leader use. At a limit of R per second these are at most 0.4 R and, for `ALONE_MS` at
`ALONE_SHARE`, 0.35 R. The sum, 0.75 R, is less than the tenth part of a window of 8 s
by which the use may exceed the limit.
"""

from typing import NamedTuple

__all__ = [
    "ALLOWANCE_LIFE_MS",
    "ALONE_MS",
    "ALONE_SHARE",
    "MAX_ALLOWANCE_WAIT_MS",
    "FIRST_LEVEL_SHARE",
    "LARGER_BUCKET_SHARE",
    "MIN_BURST_MS",
    "PREFETCH_MS",
    "LimitTolerance",
]

# Time, in milliseconds, within which a grant may be used, counted from the question.
ALLOWANCE_LIFE_MS = 400.0
# Time, in milliseconds, for whose expected use an entry holds grants.
PREFETCH_MS = 150.0
# Time, in milliseconds, for which an entry that has lost its leader admits requests
# without one. It is longer than an election takes.
ALONE_MS = 1_000.0
# Part of its share of the limit that it uses in that time. Another leader may grant the
# whole limit meanwhile.
ALONE_SHARE = 0.35
# Longest time, in milliseconds, for which a request waits until its customer's bucket
# has filled. The bucket of a new leader begins empty, and a request within the limit
# that comes just then must not be rejected.
MAX_ALLOWANCE_WAIT_MS = 400.0
# Time, in milliseconds, of its rate that a customer may use at once whatever its burst.
# Requests do not arrive evenly.
MIN_BURST_MS = 250.0
# Part of a limit, in milliseconds of its rate, that entries may use in a window beyond
# what the bucket allows: the sum that the first lines of this module derive.
OUTSIDE_BUCKET_MS = 750.0
# Parts of what is tolerated beyond a limit: by the first one the bucket is larger than
# the burst, and with the second one that of a new leader begins. Four changes of leader
# within one window add four times the second part.
LARGER_BUCKET_SHARE = 0.55
FIRST_LEVEL_SHARE = 0.1


class LimitTolerance(NamedTuple):
    """How far the use within a window may exceed the limits of customers.

    Requests arrive unevenly, and some are much larger than others. A customer well
    within its limit over the window has requests rejected if it may not exceed the
    limit for a moment.

    Parameters
    ----------
    window_ms : float
        Window over which the use is measured.
    overage_share : float
        Excess as a share of what the limit allows in the window.
    slack : float
        Further excess, in units.
    """

    window_ms: float = 0.0
    overage_share: float = 0.0
    slack: float = 0.0

    def compute_excess(self, rate_per_s: float, burst: float) -> float:
        """Return what a bucket may grant in a window beyond rate and burst."""
        allowed = rate_per_s * self.window_ms / 1000 + burst
        outside = rate_per_s * OUTSIDE_BUCKET_MS / 1000
        return max(0.0, self.overage_share * allowed + self.slack - outside)
