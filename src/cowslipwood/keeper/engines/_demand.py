"""What the entries ask of each model, smoothed over their reports."""

import math
from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from contextlib import contextmanager

from ...kernel.messages import DemandSample, EntryReport
from ._decide import NO_DEMAND, ModelDemand
from ._offered import RISE_MS, OfferedView, model_of, smoothed

__all__ = ["DemandView"]

# A model asked for within this time is likelier to be asked for again.
RECENT_MS = 20_000.0
# Many times the adapters of the largest document.
MAX_ADAPTERS_KEPT = 10_000
# Many times the models of the largest document; callers name models as they like.
MAX_MODELS_KEPT = 10_000
# Of the requests in flight at a model that no engine can serve yet: they queue at
# once when its load ends. Counted whole, a rare model would be loaded twice for a
# few callers.
BACKLOG_SHARE = 0.3
# Engines that a model leaves are room for the one that demand moves to, whose load
# takes as long as the move.
OFFERED_FALL_MS = 1_500.0
# Several of an entry's reports; an older one is of an entry that has stopped.
SAMPLE_VALID_MS = 2_500.0


class DemandView:
    """Demand by model, and when each adapter was last asked for.

    Attributes
    ----------
    by_model : dict of str to ModelDemand
    adapter_used_ms : dict of tuple of str to float
        By model and adapter.
    adapters_in_flight : dict of tuple of str to float
        Requests by model and adapter in the last reports.
    has_requests : bool
        Whether any entry has reported a request.
    first_asked_ms : float
        When anything was asked for first.
    """

    def __init__(self):
        self.by_model: dict[str, ModelDemand] = {}
        self.adapter_used_ms: dict[tuple[str, str], float] = {}
        self.adapters_in_flight: dict[tuple[str, str], float] = {}
        self.has_requests = False
        self.first_asked_ms = math.inf
        self._held_up: Counter[str] = Counter()
        self._asked_ms: dict[str, float] = {}
        self._offered = OfferedView()
        self._target_ms: dict[str, float] = {}
        self._samples: dict[str, tuple[float, tuple[DemandSample, ...]]] = {}

    @property
    def late_share(self) -> float:
        """Of the streams answered lately, those outside their targets."""
        return self._offered.late_share

    def of(self, model: str) -> ModelDemand:
        """Return what is asked of one model."""
        return self.by_model.get(model, NO_DEMAND)

    def begin(self) -> None:
        """Forget what an earlier leadership saw; the last reports still hold."""
        self.by_model.clear()

    def asked(self, model: str, adapter: str, now_ms: float) -> None:
        """Note a question for a model, or for an adapter of it."""
        self._asked_ms[model] = now_ms
        self.first_asked_ms = min(self.first_asked_ms, now_ms)
        if adapter:
            self.adapter_used_ms[model, adapter] = now_ms
        if len(self.adapter_used_ms) > MAX_ADAPTERS_KEPT:
            # Callers name adapters as they like.
            for key, used_ms in list(self.adapter_used_ms.items()):
                if used_ms < now_ms - RECENT_MS:
                    del self.adapter_used_ms[key]

    @contextmanager
    def held_up(self, model: str) -> Iterator[None]:
        """Count a question that nothing could be done for, for a while.

        Where an engine has the model, it waits as a request there does, and
        another copy helps it too.
        """
        self._held_up[model] += 1
        try:
            yield
        finally:
            self._held_up[model] -= 1

    def take_report(self, report: EntryReport, now_ms: float) -> None:
        """Take in what an entry says of demand."""
        self._samples[report.entry_id] = (now_ms, report.demand)
        for sample in report.demand:
            if sample.in_flight or sample.arrivals_per_s:
                self.has_requests = True
                self.asked(*model_of(sample), now_ms)
            model, _ = model_of(sample)
            if sample.target_ms and len(self._target_ms) < MAX_MODELS_KEPT:
                least_ms = self._target_ms.get(model, sample.target_ms)
                self._target_ms[model] = min(least_ms, sample.target_ms)

    def update(
        self,
        expected: Mapping[str, float],
        step_ms: float,
        now_ms: float,
        is_new: bool = False,
        unserved: Collection[str] = (),
    ) -> None:
        """Move the smoothed values on by one step.

        Parameters
        ----------
        expected : mapping of str to float
            Waiting requests by model to assume at least; empty once the reports
            tell of demand.
        step_ms : float
            Time since the last step.
        now_ms : float
        is_new : bool
            Whether a leadership has just begun: requests in flight are then known
            at once, since whatever was smoothed before is unknown.
        unserved : collection of str
            Models that no engine can serve yet.
        """
        rise_ms = step_ms if is_new else RISE_MS
        waiting, in_flight = self._sums(now_ms)
        for model, n_held_up in self._held_up.items():
            if model not in unserved:
                waiting[model] = waiting.get(model, 0.0) + n_held_up
        for model in unserved:
            backlog = BACKLOG_SHARE * in_flight.get(model, 0.0)
            waiting[model] = waiting.get(model, 0.0) + backlog
        samples = (each for _, held in self._samples.values() for each in held)
        self._offered.update(samples, step_ms, is_new)
        for model in expected:
            self._asked_ms.setdefault(model, now_ms)
        for model, asked_ms in self._asked_ms.items():
            held = self.by_model.get(model, NO_DEMAND)
            n_in_flight = smoothed(
                held.in_flight, in_flight.get(model, 0.0), step_ms, rise_ms
            )
            self.by_model[model] = ModelDemand(
                max(
                    expected.get(model, 0.0),
                    smoothed(held.waiting, waiting.get(model, 0.0), step_ms),
                ),
                n_in_flight,
                max(0.0, 1.0 - (now_ms - asked_ms) / RECENT_MS),
                self._held_up[model],
                smoothed(
                    held.offered,
                    self._offered.ahead(model),
                    step_ms,
                    step_ms,
                    OFFERED_FALL_MS,
                ),
                self._target_ms.get(model, 0.0),
            )

    def _sums(self, now_ms: float) -> tuple[dict[str, float], dict[str, float]]:
        """Return waiting requests and those in flight by model, over all entries."""
        waiting: dict[str, float] = {}
        in_flight: dict[str, float] = {}
        adapters: dict[tuple[str, str], float] = {}
        for entry_id, (at_ms, samples) in list(self._samples.items()):
            if now_ms - at_ms > SAMPLE_VALID_MS:
                del self._samples[entry_id]
                continue
            for sample in samples:
                model, adapter = model_of(sample)
                if adapter:
                    n_before = adapters.get((model, adapter), 0.0)
                    adapters[model, adapter] = n_before + sample.in_flight
                waiting[model] = waiting.get(model, 0.0) + sample.waiting
                in_flight[model] = in_flight.get(model, 0.0) + sample.in_flight
        self.adapters_in_flight = adapters
        return waiting, in_flight
