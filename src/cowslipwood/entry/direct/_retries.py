"""Decides whether a failed attempt is followed by another, and the final answer."""

import math
from typing import NamedTuple

from ...kernel.codes import Code, Failure, Outcome, failure
from ...routes import Route

__all__ = [
    "Attempted",
    "BudgetTerms",
    "EntryCount",
    "SharedBudget",
    "final_failure",
    "may_try_again",
]

# A window is counted in this many parts, so a sum is at most one part too long.
N_PARTS = 10
# Entries that have just come or gone are not yet counted everywhere.
MARGIN = 0.75
# Less than a connection and a short run take.
MIN_LEFT_MS = 20.0
# After this many refusals the service is full, or its order hangs, for longer than
# the pauses between: the caller does better to come back.
MAX_SENT = 5


class Attempted(NamedTuple):
    """What has become of a request so far.

    Parameters
    ----------
    n_sent : int
        Servers that it was sent to.
    n_maybe_run : int
        Of these, the ones that may have run it.
    """

    n_sent: int = 0
    n_maybe_run: int = 0


class BudgetTerms(NamedTuple):
    """How many repeats the entries together may send to a service.

    Parameters
    ----------
    per_request : float
        Repeats for each fresh request.
    extra : float
        Repeats beyond that in one window, over all entries.
    window_ms : float
    """

    per_request: float = 0.2
    extra: float = 64.0
    window_ms: float = 10_000.0


class EntryCount:
    """The live entries among which a budget is shared.

    A leader that has just been elected has heard from few; the highest count of
    the last window counts, so that no entry takes another's part meanwhile.

    Parameters
    ----------
    window_ms : float
    """

    def __init__(self, window_ms: float):
        self._window_ms = window_ms
        self._highest_ms = -math.inf
        self.n_entries = 1

    def told(self, n_entries: int, now_ms: float) -> None:
        """Take in the leader's count."""
        is_old = now_ms - self._highest_ms > self._window_ms
        if n_entries >= self.n_entries or is_old:
            self.n_entries = max(1, n_entries)
            self._highest_ms = now_ms


class SharedBudget:
    """One entry's part of the repeats that all entries may send to a service.

    Counts in parts of a window, so that any span of the window's length holds
    at most the part's repeats.

    Parameters
    ----------
    terms : BudgetTerms
    """

    def __init__(self, terms: BudgetTerms):
        self._terms = terms
        self._fresh: dict[int, int] = {}
        self._repeats: dict[int, int] = {}

    def fresh(self, now_ms: float) -> None:
        """Count a fresh request."""
        part = self._part(now_ms)
        self._fresh[part] = self._fresh.get(part, 0) + 1

    def take(self, n_entries: int, now_ms: float) -> bool:
        """Take one repeat; return whether this entry's part allows it.

        Parameters
        ----------
        n_entries : int
            Live entries, which have equal parts of the extra repeats.
        now_ms : float
        """
        part = self._part(now_ms)
        self._drop_old(part)
        # The oldest part lies outside the window in part; repeats count it whole.
        n_fresh = sum(n for each, n in self._fresh.items() if each > part - N_PARTS)
        allowed = self._terms.per_request * n_fresh
        allowed += self._terms.extra / max(1, n_entries) * MARGIN
        if sum(self._repeats.values()) + 1 > allowed:
            return False
        self._repeats[part] = self._repeats.get(part, 0) + 1
        return True

    def _part(self, now_ms: float) -> int:
        return int(now_ms * N_PARTS // self._terms.window_ms)

    def _drop_old(self, part: int) -> None:
        for counts in (self._fresh, self._repeats):
            for old in [each for each in counts if each < part - N_PARTS]:
                del counts[old]


def may_try_again(
    route: Route, attempted: Attempted, fault: Failure, left_ms: float
) -> bool:
    """Return whether a request may be sent to another server after a failure.

    Parameters
    ----------
    route : Route
    attempted : Attempted
    fault : Failure
        How the last attempt failed; its outcome says whether it may have run.
    left_ms : float
        What is left until the request's final answer is due.
    """
    if left_ms < MIN_LEFT_MS:
        return False
    if fault.outcome is Outcome.UNKNOWN:
        return route.may_repeat and attempted.n_maybe_run < route.max_attempts
    return attempted.n_sent < MAX_SENT


def final_failure(attempted: Attempted, fault: Failure, retry_after_ms: int) -> Failure:
    """Return the failure to answer with; what may have run is never called not run."""
    if attempted.n_maybe_run and fault.outcome is Outcome.NOT_RUN:
        return failure(Code.OUTCOME_UNKNOWN, fault.message)
    if fault.outcome is Outcome.NOT_RUN:
        return fault._replace(retry_after_ms=fault.retry_after_ms or retry_after_ms)
    return fault
