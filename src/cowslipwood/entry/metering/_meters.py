"""Times answers against their limits and measures demand."""

import math
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from ...catalogue import Entry
from ...kernel.messages import DemandSample
from ...kernel.metrics import Metrics
from ..taking._call import Call
from ._demand import DemandMeter

__all__ = ["Meters", "Timing", "within_limits"]

MAX_TIME_MS = 3_600_000
N_DIGITS = 2
PERCENTILES = (50, 95, 99)


class Timing:
    """When one call's answer began and ended.

    Parameters
    ----------
    call : Call
    """

    __slots__ = ("call", "ended_ms", "first_ms", "n_tokens", "refused")

    def __init__(self, call: Call):
        self.call = call
        self.first_ms = 0.0
        self.ended_ms = 0.0
        self.n_tokens = 0
        self.refused = False

    def tokens(self, n_tokens: int, now_ms: float) -> None:
        """Count tokens, or the beginning of a service's answer."""
        if not self.n_tokens:
            self.first_ms = now_ms
        self.n_tokens += n_tokens

    def whole(self, now_ms: float) -> None:
        """Note that the caller was sent its whole answer."""
        self.first_ms = self.first_ms or now_ms
        self.ended_ms = now_ms


def within_limits(timing: Timing) -> bool:
    """Return whether a whole answer kept its entry's limits and the deadline."""
    call = timing.call
    limits = call.entry.limits
    first_ms = timing.first_ms - call.arrived_ms
    answer_ms = timing.ended_ms - call.arrived_ms
    between_ms = (answer_ms - first_ms) / max(1, timing.n_tokens - 1)
    if timing.ended_ms > call.deadline_ms:
        return False
    return (
        first_ms <= (limits.first_token_ms or math.inf)
        and answer_ms <= (limits.answer_ms or math.inf)
        and between_ms <= (limits.between_tokens_ms or math.inf)
    )


class _Window(NamedTuple):
    first: HdrHistogram
    answer: HdrHistogram


class Meters:
    """Counters, latency percentiles by class, and demand by model.

    Parameters
    ----------
    metrics : Metrics
    now_ms : float
    """

    def __init__(self, metrics: Metrics, now_ms: float):
        self._metrics = metrics
        self._windows: dict[str, _Window] = {}
        self._demand = DemandMeter(now_ms)

    def arrived(self, entry: Entry) -> None:
        """Count a fresh request."""
        self._demand.arrived(entry.name)

    def began(self, entry: Entry, now_ms: float) -> None:
        """Count a request that was let in."""
        self._demand.began(entry.name, now_ms)

    def missed(self, entry: Entry) -> None:
        """Count a request outside its limits, or refused."""
        self._demand.missed(entry.name)
        class_name = entry.service_class.value
        self._metrics.count(
            "attainment_total", service_class=class_name, result="missed"
        )

    def ended(self, timing: Timing, now_ms: float) -> None:
        """Take in the end of a request that was let in."""
        entry = timing.call.entry
        self._demand.ended(entry.name, now_ms)
        if timing.ended_ms:
            self._record(timing)
        if timing.ended_ms and within_limits(timing):
            self._demand.met(entry.name)
            class_name = entry.service_class.value
            self._metrics.count(
                "attainment_total", service_class=class_name, result="met"
            )
        elif timing.ended_ms or timing.refused:
            self.missed(entry)

    def demand_samples(self, now_ms: float) -> tuple[DemandSample, ...]:
        """Return the demand since the last call and begin anew."""
        return self._demand.samples(now_ms)

    def publish(self) -> None:
        """Set the percentile gauges from the window and begin a new one."""
        for class_name, window in self._windows.items():
            for name, histogram in zip(window._fields, window, strict=True):
                self._publish(class_name, name, histogram)

    def _publish(self, class_name: str, name: str, histogram: HdrHistogram) -> None:
        if not histogram.total_count:
            return
        for percentile in PERCENTILES:
            self._metrics.gauge(
                f"{name}_latency_ms",
                histogram.get_value_at_percentile(percentile),
                service_class=class_name,
                quantile=f"p{percentile}",
            )
        histogram.reset()

    def _record(self, timing: Timing) -> None:
        class_name = timing.call.entry.service_class.value
        window = self._windows.get(class_name)
        if window is None:
            window = _Window(_new_histogram(), _new_histogram())
            self._windows[class_name] = window
        arrived_ms = timing.call.arrived_ms
        window.first.record_value(_bounded(timing.first_ms - arrived_ms))
        window.answer.record_value(_bounded(timing.ended_ms - arrived_ms))


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TIME_MS, N_DIGITS)


def _bounded(time_ms: float) -> int:
    return max(1, min(MAX_TIME_MS, round(time_ms)))
