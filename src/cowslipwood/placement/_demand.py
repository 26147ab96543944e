"""Estimates the demand for each model from the reports of the entries.

The estimate rises fast, so that replicas are added for a burst, and falls slowly, so
that a pause in the demand causes no moves.
"""

import math
from typing import NamedTuple

from ..kernel.messages import DemandSample, EntryReport

__all__ = ["DemandEstimator", "offered_in_flight"]

# Time constant of the estimate's exponential rise, in milliseconds.
RISE_TIME_MS = 1_000.0
# Time constant of the estimate's exponential fall, in milliseconds.
FALL_TIME_MS = 120_000.0
# Age in milliseconds after which an entry's report no longer counts.
REPORT_TIMEOUT_MS = 3_000.0
# Time in seconds that a request is assumed to take when none was served.
NOMINAL_SERVICE_TIME_S = 1.0
# Least share of served requests that is assumed when requests in flight are scaled up.
MIN_SERVED_SHARE = 0.5
# Estimate, in requests in flight, below which a name has no demand.
NEGLIGIBLE_IN_FLIGHT = 1e-4


def offered_in_flight(sample: DemandSample) -> float:
    """Return the requests that would be in flight if none were refused.

    Requests are missed when no replica was ready or none could answer in time. They
    are assumed to take as long as the served ones, or a nominal time if none was
    served.
    """
    missed_share = min(max(sample.missed_share, 0.0), 1.0)
    if missed_share >= 1.0 or sample.in_flight <= 0.0:
        return max(sample.arrivals_per_s, 0.0) * NOMINAL_SERVICE_TIME_S
    return sample.in_flight / max(1.0 - missed_share, MIN_SERVED_SHARE)


class _EntryDemand(NamedTuple):
    reported_at_ms: float
    offered_by_name: dict[str, float]


class DemandEstimator:
    """Smooths the demand for each model, summed over all entries."""

    def __init__(self):
        self._demand_by_entry: dict[str, _EntryDemand] = {}
        self._estimate_by_name: dict[str, float] = {}
        self._unserved_since_ms: dict[str, float] = {}
        self._updated_at_ms: float | None = None

    def record_report(self, report: EntryReport, now_ms: float) -> None:
        """Record the demand in an entry's report."""
        offered_by_name = {
            sample.model: offered_in_flight(sample) for sample in report.demand
        }
        self._demand_by_entry[report.entry_id] = _EntryDemand(now_ms, offered_by_name)

    def update(self, now_ms: float) -> dict[str, float]:
        """Update the estimate to the present; return requests in flight by name."""
        last_ms = self._updated_at_ms
        elapsed_ms = 0.0 if last_ms is None else max(now_ms - last_ms, 0.0)
        self._updated_at_ms = now_ms
        observed_by_name = self._sum_reports(now_ms)
        rise_weight = (
            1.0 if last_ms is None else 1.0 - math.exp(-elapsed_ms / RISE_TIME_MS)
        )
        fall_weight = 1.0 - math.exp(-elapsed_ms / FALL_TIME_MS)
        for name in observed_by_name.keys() | self._estimate_by_name.keys():
            estimated_in_flight = self._estimate_by_name.get(name, 0.0)
            observed_in_flight = observed_by_name.get(name, 0.0)
            estimated_in_flight += (observed_in_flight - estimated_in_flight) * (
                rise_weight if observed_in_flight > estimated_in_flight else fall_weight
            )
            if estimated_in_flight < NEGLIGIBLE_IN_FLIGHT:
                self._estimate_by_name.pop(name, None)
            else:
                self._estimate_by_name[name] = estimated_in_flight
        return dict(self._estimate_by_name)

    def _sum_reports(self, now_ms: float) -> dict[str, float]:
        total_by_name: dict[str, float] = {}
        for entry_id, entry_demand in list(self._demand_by_entry.items()):
            if now_ms - entry_demand.reported_at_ms > REPORT_TIMEOUT_MS:
                del self._demand_by_entry[entry_id]
                continue
            for name, in_flight in entry_demand.offered_by_name.items():
                total_by_name[name] = total_by_name.get(name, 0.0) + in_flight
        return total_by_name

    def update_unserved_s(self, unplaced: set[str], now_ms: float) -> dict[str, float]:
        """Update which names are unserved; return for how many seconds each has been.

        An unserved name is in demand and has no replica.
        """
        demanded = {
            name for name in unplaced if self._estimate_by_name.get(name, 0.0) > 0
        }
        old_since_ms = self._unserved_since_ms
        self._unserved_since_ms = {
            name: old_since_ms.get(name, now_ms) for name in demanded
        }
        return {
            name: (now_ms - since_ms) / 1000
            for name, since_ms in self._unserved_since_ms.items()
        }
