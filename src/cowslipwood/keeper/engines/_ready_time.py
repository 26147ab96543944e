"""Estimates when an engine will hold a model that is looked up."""

import math
from typing import NamedTuple

import anyio

from ...routes import ModelSpec
from ._demand import DemandTracker
from ._engine_record import TYPICAL_UNLOAD_MS
from ._fleet import Fleet
from ._plan import plan_missing_model
from ._planning import PlanningLoop

__all__ = ["ReadyTimeEstimator"]

# Time for which an estimate is used again: a small part of a load's duration.
ESTIMATE_VALID_MS = 200.0


class _Estimate(NamedTuple):
    """When an engine will hold a model, and until when that estimate is used."""

    ready_at_ms: float
    valid_until_ms: float


_NO_ESTIMATE = _Estimate(0.0, -math.inf)


class ReadyTimeEstimator:
    """Estimates how long the callers of a model would wait for it.

    Lookups for one model share an estimate for a while. An estimate is a search over
    all engines; searches run one at a time, and other tasks run in between.

    Parameters
    ----------
    fleet : Fleet
    demand : DemandTracker
    planning : PlanningLoop
    """

    def __init__(self, fleet: Fleet, demand: DemandTracker, planning: PlanningLoop):
        self._fleet = fleet
        self._demand = demand
        self._planning = planning
        self._estimates: dict[tuple[str, str], _Estimate] = {}
        self._search_lock = anyio.Lock()

    def clear(self) -> None:
        """Discard all estimates, at the start of a leadership."""
        self._estimates.clear()

    async def estimate_ready_ms(
        self, service: str, spec: ModelSpec, now_ms: float
    ) -> float:
        """Return the estimated time until an engine holds a model.

        0 also while a new leader does not know yet what the engines hold.
        """
        key = (service, spec.name)
        estimate = self._estimates.get(key, _NO_ESTIMATE)
        if now_ms >= estimate.valid_until_ms:
            async with self._search_lock:
                estimate = self._estimates.get(key, _NO_ESTIMATE)
                if now_ms >= estimate.valid_until_ms:
                    ready_ms = self._search_ready_ms(service, spec, now_ms)
                    valid_until_ms = now_ms + ESTIMATE_VALID_MS
                    estimate = _Estimate(now_ms + ready_ms, valid_until_ms)
                    self._estimates[key] = estimate
                    await anyio.sleep(0)
        return max(0.0, estimate.ready_at_ms - now_ms)

    def _search_ready_ms(self, service: str, spec: ModelSpec, now_ms: float) -> float:
        """Search for the engine that would hold a model first."""
        if not self._fleet.is_known:
            return 0.0
        available = [
            record
            for record in self._fleet.list_engines(service)
            if record.is_available
        ]
        if any(record.can_serve(spec.name) for record in available):
            return 0.0
        for record in available:
            if record.loading_model == spec.name:
                return record.estimate_busy_ms(now_ms)
        expected_load = self._planning.get_expected_load(service)
        step = plan_missing_model(
            available, spec, self._demand.by_model, expected_load, now_ms
        )
        if step is None:
            return 1000 * spec.load_time_s + TYPICAL_UNLOAD_MS
        unload_ms = TYPICAL_UNLOAD_MS if step.unload_model else 0.0
        return (
            step.record.estimate_busy_ms(now_ms)
            + unload_ms
            + step.record.estimate_load_ms(spec)
        )
