"""What the entries ask of each model, smoothed over their reports."""

import functools
import math
from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from contextlib import contextmanager
from typing import NamedTuple

from ...kernel.messages import DemandSample, EntryReport
from ._decide import NO_DEMAND, ModelDemand

__all__ = ["DemandView"]

# A burst shorter than a load is over before a copy could serve it; demand that
# pauses comes back more often than not, and a dropped copy takes seconds to load.
RISE_MS = 1_000.0
FALL_MS = 5_000.0
# A model asked for within this time is likelier to be asked for again.
RECENT_MS = 20_000.0
# Many times the adapters of the largest document.
MAX_ADAPTERS_KEPT = 10_000
# Of the requests in flight at a model that no engine can serve yet: they queue at
# once when its load ends. Counted whole, a rare model would be loaded twice for a
# few callers.
BACKLOG_SHARE = 0.3
# Until reports have shown how long a model's requests take.
NOMINAL_HOLD_S = 1.0
# Of one model's requests against all: one whose callers wait for a load shows more.
MOST_HOLD_RATIO = 1.5
# Of the deviation by which arrivals at random move the quick average.
CHANCE_FACTOR = 0.5
# Requests at once over seconds, below which a few that come together look like a rise.
LEAST_RISING = 2.0
# Fewer requests do not show how long they take.
LEAST_SERVED_PER_S = 2.0
# A queue, which lasts seconds, must not count as the time that requests take.
HOLD_RISE_MS = 60_000.0
HOLD_FALL_MS = 1_500.0
# Of the two averages whose distance tells how demand moves: the first covers one of
# each entry's reports, the second tells a trend from their noise.
QUICK_MS = 500.0
SLOW_MS = 1_700.0
# How far ahead a rise is carried on: about a load from the store.
AHEAD_MS = 6_000.0
# A few of the entries' reports tell that streams are late; how full engines may get is
# a property of engines and prompts, which outlasts a calm.
LATE_RISE_MS = 2_000.0
LATE_FALL_MS = 30_000.0
# Several of an entry's reports; an older one is of an entry that has stopped.
SAMPLE_VALID_MS = 2_500.0


class _Arrivals(NamedTuple):
    """What has come for one model lately, over all entries.

    Parameters
    ----------
    per_s, served_per_s : float
        Requests, and those that were not refused for want of engines.
    in_flight : float
        Requests at once.
    late_per_s : float
        Of the served ones, those outside their targets.
    """

    per_s: float = 0.0
    served_per_s: float = 0.0
    in_flight: float = 0.0
    late_per_s: float = 0.0

    @classmethod
    def of(cls, sample: DemandSample) -> "_Arrivals":
        """Return what one entry's sample tells."""
        served_per_s = sample.arrivals_per_s * (1.0 - sample.missed_share)
        late_per_s = served_per_s * sample.late_share
        return cls(sample.arrivals_per_s, served_per_s, sample.in_flight, late_per_s)

    def plus(self, other: "_Arrivals") -> "_Arrivals":
        """Return the sum of both."""
        return _Arrivals(*map(sum, zip(self, other, strict=True)))


_NO_ARRIVALS = _Arrivals()


class _Trend(NamedTuple):
    """What is offered to one model, followed by two averages and the time it takes.

    Parameters
    ----------
    quick, slow : float
        Requests at once; the first follows them sooner.
    hold_s : float
        Time for which an engine with room holds a request: what is seen, but for the
        queues that make it longer; 0 before the first step.
    """

    quick: float = 0.0
    slow: float = 0.0
    hold_s: float = 0.0

    def moved(
        self,
        seen: "_Arrivals",
        step_ms: float,
        is_new: bool,
        usual_hold_s: float = NOMINAL_HOLD_S,
    ) -> "_Trend":
        """Return the averages one step on; a first value counts at once.

        `usual_hold_s` is the time that requests of all models take together.
        """
        hold_s = self.hold_s or usual_hold_s
        if seen.served_per_s >= LEAST_SERVED_PER_S:
            seen_s = seen.in_flight / seen.served_per_s
            hold_s = _smoothed(hold_s, seen_s, step_ms, HOLD_RISE_MS, HOLD_FALL_MS)
        hold_s = min(hold_s, MOST_HOLD_RATIO * usual_hold_s)
        offered = seen.per_s * hold_s
        if is_new:
            return _Trend(offered, offered, hold_s)
        quick = self.quick + min(1.0, step_ms / QUICK_MS) * (offered - self.quick)
        slow = self.slow + min(1.0, step_ms / SLOW_MS) * (offered - self.slow)
        return _Trend(quick, slow, hold_s)

    @property
    def ahead(self) -> float:
        """The value in `AHEAD_MS`, if a rise beyond chance goes on as it is."""
        if self.slow < LEAST_RISING:
            return self.quick
        # Arrivals at random move the quick average by about the root of this.
        chance = CHANCE_FACTOR * math.sqrt(self.quick * self.hold_s)
        rise = max(0.0, self.quick - self.slow - chance)
        return self.quick + AHEAD_MS * rise / (SLOW_MS - QUICK_MS)


_NO_TREND = _Trend()


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
    late_share : float
        Of the streams answered lately, those outside their targets.
    first_asked_ms : float
        When anything was asked for first.
    """

    def __init__(self):
        self.by_model: dict[str, ModelDemand] = {}
        self.adapter_used_ms: dict[tuple[str, str], float] = {}
        self.adapters_in_flight: dict[tuple[str, str], float] = {}
        self.has_requests = False
        self.late_share = 0.0
        self.first_asked_ms = math.inf
        self._held_up: Counter[str] = Counter()
        self._asked_ms: dict[str, float] = {}
        self._trends: dict[str, _Trend] = {}
        self._total = _NO_TREND
        self._target_ms: dict[str, float] = {}
        self._samples: dict[str, tuple[float, tuple[DemandSample, ...]]] = {}

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
                self.asked(*_names(sample), now_ms)
            if sample.target_ms:
                model, _ = _names(sample)
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
        arrivals = self._arrivals()
        for model, n_held_up in self._held_up.items():
            if model not in unserved:
                waiting[model] = waiting.get(model, 0.0) + n_held_up
        for model in unserved:
            backlog = BACKLOG_SHARE * in_flight.get(model, 0.0)
            waiting[model] = waiting.get(model, 0.0) + backlog
        n_served = sum(each.served_per_s for each in arrivals.values())
        if n_served:
            late_share = sum(each.late_per_s for each in arrivals.values()) / n_served
            self.late_share = _smoothed(
                self.late_share, late_share, step_ms, LATE_RISE_MS, LATE_FALL_MS
            )
        self._total = self._total.moved(
            functools.reduce(_Arrivals.plus, arrivals.values(), _NO_ARRIVALS),
            step_ms,
            is_new,
            self._total.hold_s or NOMINAL_HOLD_S,
        )
        for model in expected:
            self._asked_ms.setdefault(model, now_ms)
        for model, asked_ms in self._asked_ms.items():
            held = self.by_model.get(model, NO_DEMAND)
            n_in_flight = _smoothed(
                held.in_flight, in_flight.get(model, 0.0), step_ms, rise_ms
            )
            trend = self._trends.get(model, _NO_TREND)
            seen = arrivals.get(model, _NO_ARRIVALS)
            trend = trend.moved(seen, step_ms, is_new, self._total.hold_s)
            self._trends[model] = trend
            self.by_model[model] = ModelDemand(
                max(
                    expected.get(model, 0.0),
                    _smoothed(held.waiting, waiting.get(model, 0.0), step_ms),
                ),
                n_in_flight,
                max(0.0, 1.0 - (now_ms - asked_ms) / RECENT_MS),
                self._held_up[model],
                _smoothed(held.offered, trend.ahead, step_ms, step_ms),
                self._target_ms.get(model, 0.0),
            )

    def _arrivals(self) -> dict[str, _Arrivals]:
        """Return what has come for each model, over all entries."""
        found: dict[str, _Arrivals] = {}
        for _, samples in self._samples.values():
            for sample in samples:
                model, _ = _names(sample)
                if model:
                    held = found.get(model, _NO_ARRIVALS)
                    found[model] = held.plus(_Arrivals.of(sample))
        return found

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
                model, adapter = _names(sample)
                if adapter:
                    n_before = adapters.get((model, adapter), 0.0)
                    adapters[model, adapter] = n_before + sample.in_flight
                waiting[model] = waiting.get(model, 0.0) + sample.waiting
                in_flight[model] = in_flight.get(model, 0.0) + sample.in_flight
        self.adapters_in_flight = adapters
        return waiting, in_flight


def _smoothed(
    held: float,
    seen: float,
    step_ms: float,
    rise_ms: float = RISE_MS,
    fall_ms: float = FALL_MS,
) -> float:
    time_ms = rise_ms if seen > held else fall_ms
    return held + min(1.0, step_ms / time_ms) * (seen - held)


def _names(sample: DemandSample) -> tuple[str, str]:
    """Return the model and adapter of a sample; empty for a plain service."""
    model, _, adapter = sample.model.partition("|")[2].partition("/")
    return model, adapter
