"""Compares answer times with their limits, and measures latency and demand."""

import math
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from ...catalogue import CatalogueEntry
from ...kernel.messages import DemandSample
from ...kernel.metrics import Metrics
from ..receiving._call import Call
from ._demand import DemandMeter

__all__ = ["AnswerTiming", "RequestMeters", "is_within_limits"]

# Longest time, in milliseconds, that a latency histogram records; longer times count
# as this one.
MAX_RECORDED_MS = 3_600_000
# Number of significant decimal digits to which a latency histogram keeps its values.
N_SIGNIFICANT_DIGITS = 2
# Latency percentiles that are published as gauges.
PERCENTILES = (50, 95, 99)


class AnswerTiming:
    """When the answer to one call started and ended.

    Parameters
    ----------
    call : Call

    Attributes
    ----------
    first_token_at_ms : float
        When the first token was sent; 0 before it.
    ended_ms : float
        When the complete answer had been sent; 0 unless it was.
    n_tokens : int
        Number of tokens sent so far.
    has_failed : bool
        Whether the call was refused or failed, or its answer has a status of 500 or
        above.
    """

    __slots__ = ("call", "ended_ms", "first_token_at_ms", "n_tokens", "has_failed")

    def __init__(self, call: Call):
        self.call = call
        self.first_token_at_ms = 0.0
        self.ended_ms = 0.0
        self.n_tokens = 0
        self.has_failed = False

    def count_tokens(self, n_tokens: int, now_ms: float) -> None:
        """Count tokens, or the start of a service's answer."""
        if not self.n_tokens:
            self.first_token_at_ms = now_ms
        self.n_tokens += n_tokens

    def mark_complete(self, now_ms: float) -> None:
        """Record that the complete answer was sent to the caller."""
        self.first_token_at_ms = self.first_token_at_ms or now_ms
        self.ended_ms = now_ms


def is_within_limits(timing: AnswerTiming) -> bool:
    """Return whether a complete answer met its entry's limits and its deadline."""
    call = timing.call
    limits = call.entry.limits
    first_ms = timing.first_token_at_ms - call.arrived_ms
    answer_ms = timing.ended_ms - call.arrived_ms
    between_ms = (answer_ms - first_ms) / max(1, timing.n_tokens - 1)
    if timing.ended_ms > call.deadline_ms:
        return False
    return (
        first_ms <= (limits.first_token_ms or math.inf)
        and answer_ms <= (limits.answer_ms or math.inf)
        and between_ms <= (limits.between_tokens_ms or math.inf)
    )


class _LatencyHistograms(NamedTuple):
    first: HdrHistogram
    answer: HdrHistogram


class RequestMeters:
    """Attainment counters, latency percentiles by service class, and demand by model.

    Parameters
    ----------
    metrics : Metrics
    now_ms : float
        Start of the first span for which demand is counted.
    """

    def __init__(self, metrics: Metrics, now_ms: float):
        self._metrics = metrics
        self._latencies_by_class: dict[str, _LatencyHistograms] = {}
        self._demand = DemandMeter(now_ms)

    def record_arrival(self, entry: CatalogueEntry) -> None:
        """Count a new request."""
        self._demand.record_arrival(entry.name)

    def record_start(self, entry: CatalogueEntry, now_ms: float) -> None:
        """Count an admitted request as in flight."""
        self._demand.record_start(entry.name, now_ms)

    def record_miss(self, entry: CatalogueEntry) -> None:
        """Count a request that was answered outside its limits, or refused."""
        self._demand.record_miss(entry.name)
        class_name = entry.service_class.value
        self._metrics.count(
            "attainment_total", service_class=class_name, result="missed"
        )

    def record_end(self, timing: AnswerTiming, now_ms: float) -> None:
        """Record the end of an admitted request and whether it met its limits."""
        entry = timing.call.entry
        self._demand.record_end(entry.name, now_ms)
        if timing.ended_ms:
            self._record_latencies(timing)
        if timing.ended_ms and is_within_limits(timing):
            self._demand.record_met(entry.name)
            class_name = entry.service_class.value
            self._metrics.count(
                "attainment_total", service_class=class_name, result="met"
            )
        elif timing.ended_ms or timing.has_failed:
            self.record_miss(entry)

    def collect_demand_samples(self, now_ms: float) -> tuple[DemandSample, ...]:
        """Return the demand since the last call and start to count again."""
        return self._demand.collect_samples(now_ms)

    def publish(self) -> None:
        """Set the percentile gauges from the histograms, then reset the histograms."""
        for class_name, histograms in self._latencies_by_class.items():
            for name, histogram in zip(histograms._fields, histograms, strict=True):
                self._publish_percentiles(class_name, name, histogram)

    def _publish_percentiles(
        self, class_name: str, name: str, histogram: HdrHistogram
    ) -> None:
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

    def _record_latencies(self, timing: AnswerTiming) -> None:
        class_name = timing.call.entry.service_class.value
        histograms = self._latencies_by_class.get(class_name)
        if histograms is None:
            histograms = _LatencyHistograms(_create_histogram(), _create_histogram())
            self._latencies_by_class[class_name] = histograms
        arrived_ms = timing.call.arrived_ms
        histograms.first.record_value(
            _clamp_time_ms(timing.first_token_at_ms - arrived_ms)
        )
        histograms.answer.record_value(_clamp_time_ms(timing.ended_ms - arrived_ms))


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_MS, N_SIGNIFICANT_DIGITS)


def _clamp_time_ms(time_ms: float) -> int:
    return max(1, min(MAX_RECORDED_MS, round(time_ms)))
