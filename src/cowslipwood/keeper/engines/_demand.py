"""Tracks the demand for each model, smoothed over the reports of entries."""

import math
from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from contextlib import contextmanager

from ...kernel.messages import DemandSample, EntryReport
from ._offered_load import (
    NEGLIGIBLE_REQUESTS,
    RISE_TIME_MS,
    OfferedLoadEstimator,
    parse_model,
    smooth,
)
from ._placement import NO_DEMAND, ModelDemand

__all__ = ["DemandTracker"]

# A model that was requested within this time is likelier to be requested again.
RECENT_USE_MS = 20_000.0
# Many times the adapters of the largest document.
MAX_ADAPTERS_KEPT = 10_000
# Many times the models of the largest document; callers choose model names freely.
MAX_MODELS_KEPT = 10_000
# Share of the requests in flight for a model that no engine can serve yet which counts
# as waiting: they queue all at once when the model's load ends. With a share of 1, a
# rare model would be loaded twice for a few callers.
UNSERVED_BACKLOG_SHARE = 0.3
# Time constant with which the offered load follows a fall. Engines that lose demand for
# one model are room for the model that demand moves to, whose load takes as long as the
# move.
OFFERED_LOAD_FALL_MS = 1_500.0
# Age up to which an entry's samples count: several of its reports. An older sample is
# from an entry that has stopped.
SAMPLE_VALID_MS = 2_500.0


class DemandTracker:
    """Tracks the demand by model, and when each adapter was last requested.

    Attributes
    ----------
    by_model : dict of str to ModelDemand
    adapter_last_used_ms : dict of tuple of str to float
        Last use by model and adapter.
    n_in_flight_by_adapter : dict of tuple of str to float
        Requests by model and adapter in the last reports.
    has_reported_requests : bool
        Whether any entry has reported a request.
    first_use_ms : float
        When any model was requested first.
    """

    def __init__(self):
        self.by_model: dict[str, ModelDemand] = {}
        self.adapter_last_used_ms: dict[tuple[str, str], float] = {}
        self.n_in_flight_by_adapter: dict[tuple[str, str], float] = {}
        self.has_reported_requests = False
        self.first_use_ms = math.inf
        self._n_pending_lookups: Counter[str] = Counter()
        self._last_use_ms: dict[str, float] = {}
        self._offered_load = OfferedLoadEstimator()
        self._target_ms: dict[str, float] = {}
        self._samples: dict[str, tuple[float, tuple[DemandSample, ...]]] = {}

    @property
    def late_share(self) -> float:
        """Share of the recently answered streams that missed their targets."""
        return self._offered_load.late_share

    @property
    def n_pending_lookups(self) -> int:
        """Lookups that wait until an engine can serve them."""
        return self._n_pending_lookups.total()

    def get(self, model: str) -> ModelDemand:
        """Return the demand for one model."""
        return self.by_model.get(model, NO_DEMAND)

    def reset_smoothed_demand(self) -> None:
        """Discard the smoothed values of an earlier term, but keep the last reports."""
        self.by_model.clear()

    def record_use(self, model: str, adapter: str, now_ms: float) -> None:
        """Record a request or a lookup for a model, or for an adapter of a model."""
        self._last_use_ms[model] = now_ms
        self.first_use_ms = min(self.first_use_ms, now_ms)
        if adapter:
            self.adapter_last_used_ms[model, adapter] = now_ms
        if len(self.adapter_last_used_ms) > MAX_ADAPTERS_KEPT:
            self._remove_oldest_adapters()

    def _remove_oldest_adapters(self) -> None:
        """Remove the half of the adapters that were not requested for longest.

        Callers choose adapter names freely. Half of them, so that a removal is rare.
        """
        used_ms = self.adapter_last_used_ms
        for key in sorted(used_ms, key=used_ms.__getitem__)[: len(used_ms) // 2]:
            del used_ms[key]

    @contextmanager
    def count_pending_lookup(self, model: str) -> Iterator[None]:
        """Count a lookup as pending while it waits until an engine can serve it.

        If an engine holds the model, the lookup waits as a request at that engine
        would, and another copy helps the lookup too.
        """
        self._n_pending_lookups[model] += 1
        try:
            yield
        finally:
            self._n_pending_lookups[model] -= 1
            if not self._n_pending_lookups[model]:
                del self._n_pending_lookups[model]

    def record_report(self, report: EntryReport, now_ms: float) -> None:
        """Record the demand in an entry's report."""
        self._samples[report.entry_id] = (now_ms, report.demand)
        for sample in report.demand:
            if sample.in_flight or sample.arrivals_per_s:
                self.has_reported_requests = True
                self.record_use(*parse_model(sample), now_ms)
            model, _ = parse_model(sample)
            if sample.target_ms and len(self._target_ms) < MAX_MODELS_KEPT:
                min_target_ms = self._target_ms.get(model, sample.target_ms)
                self._target_ms[model] = min(min_target_ms, sample.target_ms)

    def update(
        self,
        prior_waiting: Mapping[str, float],
        interval_ms: float,
        now_ms: float,
        is_new: bool = False,
        unserved: Collection[str] = (),
        known_models: Collection[str] = (),
    ) -> None:
        """Advance the smoothed values by one interval.

        Parameters
        ----------
        prior_waiting : mapping of str to float
            Waiting requests by model to assume at least; empty once the reports show
            the demand.
        interval_ms : float
            Nominal time between two updates.
        now_ms : float
        is_new : bool
            Whether observed values replace the smoothed ones, because a term or the
            first requests began a short time ago and the smoothed values are not
            reliable yet.
        unserved : collection of str
            Models that no engine can serve yet.
        known_models : collection of str
            Models of the document; other names are removed when they are unused.
        """
        rise_ms = interval_ms if is_new else RISE_TIME_MS
        waiting, in_flight = self._sum_samples(now_ms)
        for model, n_pending_lookups in self._n_pending_lookups.items():
            if model not in unserved:
                waiting[model] = waiting.get(model, 0.0) + n_pending_lookups
        for model in unserved:
            backlog = UNSERVED_BACKLOG_SHARE * in_flight.get(model, 0.0)
            waiting[model] = waiting.get(model, 0.0) + backlog
        samples = (
            sample
            for _, entry_samples in self._samples.values()
            for sample in entry_samples
        )
        self._offered_load.update(samples, interval_ms, is_new)
        for model in prior_waiting:
            self._last_use_ms.setdefault(model, now_ms)
        for model, last_use_ms in self._last_use_ms.items():
            previous = self.by_model.get(model, NO_DEMAND)
            n_in_flight = smooth(
                previous.n_in_flight, in_flight.get(model, 0.0), interval_ms, rise_ms
            )
            self.by_model[model] = ModelDemand(
                max(
                    prior_waiting.get(model, 0.0),
                    smooth(previous.n_waiting, waiting.get(model, 0.0), interval_ms),
                ),
                n_in_flight,
                max(0.0, 1.0 - (now_ms - last_use_ms) / RECENT_USE_MS),
                self._n_pending_lookups[model],
                smooth(
                    previous.offered_load,
                    self._offered_load.get_forecast(model),
                    interval_ms,
                    interval_ms,
                    OFFERED_LOAD_FALL_MS,
                ),
                self._target_ms.get(model, 0.0),
            )
        self._remove_unused(known_models)

    def _remove_unused(self, known_models: Collection[str]) -> None:
        """Remove the names outside the document that are no longer requested.

        Callers choose model names freely, and each round of control goes through all
        names.
        """
        for model, model_demand in list(self.by_model.items()):
            is_used = (
                model_demand.recency
                or model_demand.n_waiting >= NEGLIGIBLE_REQUESTS
                or model_demand.n_callers >= NEGLIGIBLE_REQUESTS
            )
            if model not in known_models and not is_used:
                del self.by_model[model]
                del self._last_use_ms[model]
                self._target_ms.pop(model, None)

    def _sum_samples(self, now_ms: float) -> tuple[dict[str, float], dict[str, float]]:
        """Return waiting requests and requests in flight by model, over all entries."""
        waiting: dict[str, float] = {}
        in_flight: dict[str, float] = {}
        adapters: dict[tuple[str, str], float] = {}
        for entry_id, (at_ms, samples) in list(self._samples.items()):
            if now_ms - at_ms > SAMPLE_VALID_MS:
                del self._samples[entry_id]
                continue
            for sample in samples:
                model, adapter = parse_model(sample)
                if adapter:
                    n_before = adapters.get((model, adapter), 0.0)
                    adapters[model, adapter] = n_before + sample.in_flight
                waiting[model] = waiting.get(model, 0.0) + sample.waiting
                in_flight[model] = in_flight.get(model, 0.0) + sample.in_flight
        self.n_in_flight_by_adapter = adapters
        return waiting, in_flight
