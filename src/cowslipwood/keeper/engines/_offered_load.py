"""Estimates the offered load of each model, without refusals and queues."""

import functools
import math
from collections.abc import Iterable
from typing import NamedTuple

from ...kernel.messages import DemandSample

__all__ = [
    "FALL_TIME_MS",
    "NEGLIGIBLE_REQUESTS",
    "RISE_TIME_MS",
    "OfferedLoadEstimator",
    "parse_model",
    "smooth",
]

# Names whose model and adapter are remembered: many times those of the largest
# document.
# All samples are read again in each round of control.
MAX_NAMES_CACHED = 10_000
# Time constant with which a smoothed value follows a rise. A burst shorter than a load
# is over before a copy could serve the burst.
RISE_TIME_MS = 1_000.0
# Time constant with which a smoothed value follows a fall. Demand that pauses comes
# back more often than not, and a model that was unloaded takes seconds to load.
FALL_TIME_MS = 5_000.0
# Time for which an engine holds a request, until reports have shown the service time of
# a model's requests.
DEFAULT_SERVICE_TIME_S = 1.0
# Highest ratio of one model's service time to that of all models. A model whose callers
# wait for a load shows a higher ratio.
MAX_SERVICE_TIME_RATIO = 1.5
# Factor on the standard deviation with which random arrivals move the fast average; a
# rise below this deviation counts as noise.
NOISE_FACTOR = 0.5
# Concurrent requests, averaged over seconds, below which a few requests that arrive
# together look like a rise.
MIN_RISING_REQUESTS = 2.0
# Served requests per second below which reports do not show the service time.
MIN_SERVED_PER_S = 2.0
# Time constant with which the service time follows a rise. A queue lasts seconds and
# must not count as part of the service time.
SERVICE_TIME_RISE_MS = 30_000.0
# Time constant with which the service time follows a fall. With a time constant as
# short as the noise of the reports, the average would adopt the lowest observed value.
SERVICE_TIME_FALL_MS = 6_000.0
# Concurrent requests that count as none.
NEGLIGIBLE_REQUESTS = 1e-3
# Time constant of the fast average of the offered load: covers one report of each
# entry. The distance between the fast and the slow average shows how demand moves.
FAST_AVERAGE_MS = 500.0
# Time constant of the slow average of the offered load: long enough to tell a trend
# from the noise of the entries' reports.
SLOW_AVERAGE_MS = 1_700.0
# Time over which a rise is extrapolated: about the duration of a load from the store.
FORECAST_MS = 6_000.0
# Time constant with which the share of late streams follows a rise: a few reports of
# the entries are enough to show that streams are late.
LATE_SHARE_RISE_MS = 2_000.0
# Time constant with which the share of late streams follows a fall. How many requests
# an engine can carry in time depends on engines and prompts, which stay the same after
# a calm period.
LATE_SHARE_FALL_MS = 30_000.0


class _Arrivals(NamedTuple):
    """Recent requests for one model, over all entries.

    Parameters
    ----------
    per_s, served_per_s : float
        Requests, and requests that were not refused for lack of engines.
    n_in_flight : float
        Concurrent requests.
    late_per_s : float
        Served requests that missed their targets.
    """

    per_s: float = 0.0
    served_per_s: float = 0.0
    n_in_flight: float = 0.0
    late_per_s: float = 0.0

    def add(self, other: "_Arrivals") -> "_Arrivals":
        """Return the sum of both."""
        return _Arrivals(*map(sum, zip(self, other, strict=True)))


_NO_ARRIVALS = _Arrivals()


class _Trend(NamedTuple):
    """Two averages of one model's offered load, and its service time.

    Parameters
    ----------
    fast_average, slow_average : float
        Concurrent requests; the fast average follows a change sooner.
    service_time_s : float
        Time for which an engine with room holds a request: the observed time without
        the queues that prolong it; 0 before the first step.
    """

    fast_average: float = 0.0
    slow_average: float = 0.0
    service_time_s: float = 0.0

    def advance(
        self,
        observed: "_Arrivals",
        interval_ms: float,
        is_new: bool,
        typical_service_time_s: float = DEFAULT_SERVICE_TIME_S,
    ) -> "_Trend":
        """Return the trend one step later; a first value counts at once.

        `typical_service_time_s` is the service time over the requests of all models.
        """
        service_time_s = self.service_time_s or typical_service_time_s
        if observed.served_per_s >= MIN_SERVED_PER_S:
            observed_service_time_s = observed.n_in_flight / observed.served_per_s
            service_time_s = smooth(
                service_time_s,
                observed_service_time_s,
                interval_ms,
                SERVICE_TIME_RISE_MS,
                SERVICE_TIME_FALL_MS,
            )
        service_time_s = min(
            service_time_s, MAX_SERVICE_TIME_RATIO * typical_service_time_s
        )
        offered_load = observed.per_s * service_time_s
        if is_new:
            return _Trend(offered_load, offered_load, service_time_s)
        fast_average = self.fast_average + min(1.0, interval_ms / FAST_AVERAGE_MS) * (
            offered_load - self.fast_average
        )
        slow_average = self.slow_average + min(1.0, interval_ms / SLOW_AVERAGE_MS) * (
            offered_load - self.slow_average
        )
        return _Trend(fast_average, slow_average, service_time_s)

    @property
    def forecast(self) -> float:
        """The offered load in `FORECAST_MS`, if a rise beyond noise goes on."""
        if self.slow_average < MIN_RISING_REQUESTS:
            return self.fast_average
        # Random arrivals move the fast average with a standard deviation of about the
        # square root of this product over twice FAST_AVERAGE_MS, which is 1 s.
        noise = NOISE_FACTOR * math.sqrt(self.fast_average * self.service_time_s)
        rise = max(0.0, self.fast_average - self.slow_average - noise)
        return self.fast_average + FORECAST_MS * rise / (
            SLOW_AVERAGE_MS - FAST_AVERAGE_MS
        )


_NO_TREND = _Trend()


class OfferedLoadEstimator:
    """Estimates the offered load of each model, and the share of late streams.

    Attributes
    ----------
    late_share : float
        Share of the recently answered streams that missed their targets.
    """

    def __init__(self):
        self.late_share = 0.0
        self._trends: dict[str, _Trend] = {}
        self._total = _NO_TREND

    def get_forecast(self, model: str) -> float:
        """Return the concurrent requests that a model's engines will have to carry."""
        return self._trends.get(model, _NO_TREND).forecast

    def update(
        self, samples: Iterable[DemandSample], interval_ms: float, is_new: bool
    ) -> None:
        """Advance by one interval, given the last samples of the entries.

        Parameters
        ----------
        samples : iterable of DemandSample
        interval_ms : float
        is_new : bool
            Whether observed values count at once.
        """
        arrivals = _sum_by_model(samples)
        total = functools.reduce(_Arrivals.add, arrivals.values(), _NO_ARRIVALS)
        if total.served_per_s:
            late_share = total.late_per_s / total.served_per_s
            self.late_share = smooth(
                self.late_share,
                late_share,
                interval_ms,
                LATE_SHARE_RISE_MS,
                LATE_SHARE_FALL_MS,
            )
        typical_service_time_s = self._total.service_time_s or DEFAULT_SERVICE_TIME_S
        self._total = self._total.advance(
            total, interval_ms, is_new, typical_service_time_s
        )
        for model in self._trends.keys() | arrivals.keys():
            trend = self._trends.get(model, _NO_TREND)
            observed = arrivals.get(model, _NO_ARRIVALS)
            advanced = trend.advance(
                observed, interval_ms, is_new, self._total.service_time_s
            )
            if advanced.slow_average >= NEGLIGIBLE_REQUESTS or observed.per_s:
                self._trends[model] = advanced
            else:
                # Callers choose model names freely, so unused names are removed.
                self._trends.pop(model, None)


def _sum_by_model(samples: Iterable[DemandSample]) -> dict[str, _Arrivals]:
    """Return the arrivals of each model; services without models are left out."""
    sums: dict[str, list[float]] = {}
    for sample in samples:
        model, _ = parse_model(sample)
        if not model:
            continue
        total = sums.get(model)
        if total is None:
            total = sums[model] = [0.0] * len(_Arrivals._fields)
        served_per_s = sample.arrivals_per_s * (1.0 - sample.missed_share)
        total[0] += sample.arrivals_per_s
        total[1] += served_per_s
        total[2] += sample.in_flight
        total[3] += served_per_s * sample.late_share
    return {model: _Arrivals(*total) for model, total in sums.items()}


def smooth(
    previous: float,
    observed: float,
    interval_ms: float,
    rise_ms: float = RISE_TIME_MS,
    fall_ms: float = FALL_TIME_MS,
) -> float:
    """Return a value that follows an observed one, at different rates up and down."""
    time_constant_ms = rise_ms if observed > previous else fall_ms
    return previous + min(1.0, interval_ms / time_constant_ms) * (observed - previous)


def parse_model(sample: DemandSample) -> tuple[str, str]:
    """Return the model and adapter of a sample; empty for a service without models."""
    return _parse_name(sample.model)


@functools.lru_cache(MAX_NAMES_CACHED)
def _parse_name(name: str) -> tuple[str, str]:
    model, _, adapter = name.partition("|")[2].partition("/")
    return model, adapter
