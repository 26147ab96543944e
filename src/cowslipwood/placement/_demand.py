"""Estimates the demand for each model from what the entries report.

The estimate rises fast, so that a burst is met, and falls slowly, so that a
pause costs no moves.
"""

import math
from typing import NamedTuple

from ..kernel.messages import DemandSample, EntryReport

__all__ = ["DemandEstimator", "offered_in_flight"]

RISE_MS = 1_000.0
FALL_MS = 120_000.0
REPORT_TIMEOUT_MS = 3_000.0
NOMINAL_SERVICE_S = 1.0
MIN_SERVED_SHARE = 0.5
NEGLIGIBLE = 1e-4


def offered_in_flight(sample: DemandSample) -> float:
    """Return the requests that would be in flight if none were turned away.

    Requests that were missed because no replica was ready or in time count at
    the time that the served ones took, or at a nominal time if none was served.
    """
    missed = min(max(sample.missed_share, 0.0), 1.0)
    if missed >= 1.0 or sample.in_flight <= 0.0:
        return max(sample.arrivals_per_s, 0.0) * NOMINAL_SERVICE_S
    return sample.in_flight / max(1.0 - missed, MIN_SERVED_SHARE)


class _Reported(NamedTuple):
    at_ms: float
    offered: dict[str, float]


class DemandEstimator:
    """Smooths the sum of all entries' demand for each model."""

    def __init__(self):
        self._reported: dict[str, _Reported] = {}
        self._estimate: dict[str, float] = {}
        self._waiting_since_ms: dict[str, float] = {}
        self._updated_at_ms: float | None = None

    def take_report(self, report: EntryReport, now_ms: float) -> None:
        """Keep the demand in an entry's report."""
        offered = {s.model: offered_in_flight(s) for s in report.demand}
        self._reported[report.entry_id] = _Reported(now_ms, offered)

    def update(self, now_ms: float) -> dict[str, float]:
        """Return the estimate, brought up to the present."""
        last_ms = self._updated_at_ms
        elapsed_ms = 0.0 if last_ms is None else max(now_ms - last_ms, 0.0)
        self._updated_at_ms = now_ms
        observed = self._observed(now_ms)
        rise = 1.0 if last_ms is None else 1.0 - math.exp(-elapsed_ms / RISE_MS)
        fall = 1.0 - math.exp(-elapsed_ms / FALL_MS)
        for name in observed.keys() | self._estimate.keys():
            held = self._estimate.get(name, 0.0)
            seen = observed.get(name, 0.0)
            held += (seen - held) * (rise if seen > held else fall)
            if held < NEGLIGIBLE:
                self._estimate.pop(name, None)
            else:
                self._estimate[name] = held
        return dict(self._estimate)

    def _observed(self, now_ms: float) -> dict[str, float]:
        total: dict[str, float] = {}
        for entry_id, reported in list(self._reported.items()):
            if now_ms - reported.at_ms > REPORT_TIMEOUT_MS:
                del self._reported[entry_id]
                continue
            for name, offered in reported.offered.items():
                total[name] = total.get(name, 0.0) + offered
        return total

    def waiting_s(self, unplaced: set[str], now_ms: float) -> dict[str, float]:
        """Return for how long each unplaced name has been in demand, in seconds."""
        wanted = {name for name in unplaced if self._estimate.get(name, 0.0) > 0}
        since = self._waiting_since_ms
        self._waiting_since_ms = {name: since.get(name, now_ms) for name in wanted}
        return {
            name: (now_ms - at_ms) / 1000
            for name, at_ms in self._waiting_since_ms.items()
        }
