"""What is offered to each model, refused requests and queues left out of account."""

import functools
import math
from collections.abc import Iterable
from typing import NamedTuple

from ...kernel.messages import DemandSample

__all__ = [
    "FALL_TIME_MS",
    "RISE_TIME_MS",
    "OfferedLoadEstimator",
    "parse_model",
    "smooth",
]

# A burst shorter than a load is over before a copy could serve it; demand that
# pauses comes back more often than not, and a dropped copy takes seconds to load.
RISE_TIME_MS = 1_000.0
FALL_TIME_MS = 5_000.0
# Until reports have shown how long a model's requests take.
DEFAULT_HOLDING_TIME_S = 1.0
# Of one model's requests against all: one whose callers wait for a load shows more.
MAX_HOLDING_TIME_RATIO = 1.5
# Of the deviation by which arrivals at random move the fast average.
NOISE_FACTOR = 0.5
# Requests at once over seconds, below which a few that come together look like a rise.
MIN_RISING_REQUESTS = 2.0
# Fewer requests do not show how long they take.
MIN_SERVED_PER_S = 2.0
# A queue, which lasts seconds, must not count as the time that requests take; a fall as
# fast_average as the noise of the reports would take the least that was seen for it.
HOLDING_TIME_RISE_MS = 30_000.0
HOLDING_TIME_FALL_MS = 6_000.0
# Requests at once that are none.
NEGLIGIBLE_REQUESTS = 1e-3
# Of the two averages whose distance tells how demand moves: the first covers one of
# each entry's reports, the second tells a trend from their noise.
FAST_AVERAGE_MS = 500.0
SLOW_AVERAGE_MS = 1_700.0
# How far ahead a rise is carried on: about a load from the store.
FORECAST_MS = 6_000.0
# A few of the entries' reports tell that streams are late; how full engines may get is
# a property of engines and prompts, which outlasts a calm.
LATE_SHARE_RISE_MS = 2_000.0
LATE_SHARE_FALL_MS = 30_000.0


class _Arrivals(NamedTuple):
    """What has come for one model lately, over all entries.

    Parameters
    ----------
    per_s, served_per_s : float
        Requests, and those that were not refused for want of engines.
    n_in_flight : float
        Requests at once.
    late_per_s : float
        Of the served ones, those outside their targets.
    """

    per_s: float = 0.0
    served_per_s: float = 0.0
    n_in_flight: float = 0.0
    late_per_s: float = 0.0

    @classmethod
    def of(cls, sample: DemandSample) -> "_Arrivals":
        """Return what one entry's sample tells."""
        served_per_s = sample.arrivals_per_s * (1.0 - sample.missed_share)
        late_per_s = served_per_s * sample.late_share
        return cls(sample.arrivals_per_s, served_per_s, sample.in_flight, late_per_s)

    def add(self, other: "_Arrivals") -> "_Arrivals":
        """Return the sum of both."""
        return _Arrivals(*map(sum, zip(self, other, strict=True)))


_NO_ARRIVALS = _Arrivals()


class _Trend(NamedTuple):
    """What is offered to one model, followed by two averages and the time it takes.

    Parameters
    ----------
    fast_average, slow_average : float
        Requests at once; the first follows them sooner.
    holding_time_s : float
        Time for which an engine with room holds a request: what is seen, but for the
        queues that make it longer; 0 before the first step.
    """

    fast_average: float = 0.0
    slow_average: float = 0.0
    holding_time_s: float = 0.0

    def advance(
        self,
        seen: "_Arrivals",
        step_ms: float,
        is_new: bool,
        typical_holding_time_s: float = DEFAULT_HOLDING_TIME_S,
    ) -> "_Trend":
        """Return the averages one step on; a first value counts at once.

        `typical_holding_time_s` is the time that requests of all models take together.
        """
        holding_time_s = self.holding_time_s or typical_holding_time_s
        if seen.served_per_s >= MIN_SERVED_PER_S:
            seen_s = seen.n_in_flight / seen.served_per_s
            holding_time_s = smooth(
                holding_time_s,
                seen_s,
                step_ms,
                HOLDING_TIME_RISE_MS,
                HOLDING_TIME_FALL_MS,
            )
        holding_time_s = min(
            holding_time_s, MAX_HOLDING_TIME_RATIO * typical_holding_time_s
        )
        offered_load = seen.per_s * holding_time_s
        if is_new:
            return _Trend(offered_load, offered_load, holding_time_s)
        fast_average = self.fast_average + min(1.0, step_ms / FAST_AVERAGE_MS) * (
            offered_load - self.fast_average
        )
        slow_average = self.slow_average + min(1.0, step_ms / SLOW_AVERAGE_MS) * (
            offered_load - self.slow_average
        )
        return _Trend(fast_average, slow_average, holding_time_s)

    @property
    def forecast(self) -> float:
        """The value in `FORECAST_MS`, if a rise beyond chance goes on as it is."""
        if self.slow_average < MIN_RISING_REQUESTS:
            return self.fast_average
        # Arrivals at random move the fast average by about the root of this.
        chance = NOISE_FACTOR * math.sqrt(self.fast_average * self.holding_time_s)
        rise = max(0.0, self.fast_average - self.slow_average - chance)
        return self.fast_average + FORECAST_MS * rise / (
            SLOW_AVERAGE_MS - FAST_AVERAGE_MS
        )


_NO_TREND = _Trend()


class OfferedLoadEstimator:
    """What is offered to each model, and whether streams are late.

    Attributes
    ----------
    late_share : float
        Of the streams answered lately, those outside their targets.
    """

    def __init__(self):
        self.late_share = 0.0
        self._trends: dict[str, _Trend] = {}
        self._total = _NO_TREND

    def get_forecast(self, model: str) -> float:
        """Return the requests at once that engines will have to carry."""
        return self._trends.get(model, _NO_TREND).forecast

    def update(
        self, samples: Iterable[DemandSample], step_ms: float, is_new: bool
    ) -> None:
        """Move on by one step, given the entries' last samples.

        Parameters
        ----------
        samples : iterable of DemandSample
        step_ms : float
        is_new : bool
            Whether what is seen counts at once.
        """
        arrivals = _by_model(samples)
        total = functools.reduce(_Arrivals.add, arrivals.values(), _NO_ARRIVALS)
        if total.served_per_s:
            late_share = total.late_per_s / total.served_per_s
            self.late_share = smooth(
                self.late_share,
                late_share,
                step_ms,
                LATE_SHARE_RISE_MS,
                LATE_SHARE_FALL_MS,
            )
        typical_holding_time_s = self._total.holding_time_s or DEFAULT_HOLDING_TIME_S
        self._total = self._total.advance(
            total, step_ms, is_new, typical_holding_time_s
        )
        for model in self._trends.keys() | arrivals.keys():
            trend = self._trends.get(model, _NO_TREND)
            seen = arrivals.get(model, _NO_ARRIVALS)
            advanced = trend.advance(seen, step_ms, is_new, self._total.holding_time_s)
            if advanced.slow_average >= NEGLIGIBLE_REQUESTS or seen.per_s:
                self._trends[model] = advanced
            else:
                # Callers name models as they like.
                self._trends.pop(model, None)


def _by_model(samples: Iterable[DemandSample]) -> dict[str, _Arrivals]:
    """Return what has come for each model; plain services have none."""
    found: dict[str, _Arrivals] = {}
    for sample in samples:
        model, _ = parse_model(sample)
        if model:
            held = found.get(model, _NO_ARRIVALS)
            found[model] = held.add(_Arrivals.of(sample))
    return found


def smooth(
    held: float,
    seen: float,
    step_ms: float,
    rise_ms: float = RISE_TIME_MS,
    fall_ms: float = FALL_TIME_MS,
) -> float:
    """Return a value that follows what is seen, at its own pace up and down."""
    time_ms = rise_ms if seen > held else fall_ms
    return held + min(1.0, step_ms / time_ms) * (seen - held)


def parse_model(sample: DemandSample) -> tuple[str, str]:
    """Return the model and adapter of a sample; empty for a plain service."""
    model, _, adapter = sample.model.partition("|")[2].partition("/")
    return model, adapter
