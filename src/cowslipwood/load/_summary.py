"""Computes the summary of a run from the results of its requests."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any, TypedDict

from hdrh.histogram import HdrHistogram

from ._client import Ending, Sample

__all__ = ["Latency", "Summary", "summarize"]

# Smallest latency that a histogram records, in microseconds.
LOWEST_US = 1
# Largest latency that a histogram records, in microseconds.
HIGHEST_US = 120_000_000
# Significant decimal digits to which a histogram records a latency.
SIGNIFICANT_DIGITS = 3
# Microseconds in a millisecond.
US_PER_MS = 1_000
# Percentiles of each latency in a summary.
PERCENTILES = (50, 95, 99)


class Latency(TypedDict):
    """Number of measurements of a latency and its percentiles in milliseconds."""

    n: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class Summary(TypedDict):
    """The result of a run.

    Parameters
    ----------
    options : dict
        Options of the run.
    n_requests : int
        Number of results, with one more for each request that ran twice.
    attainment : dict of str to float
        Share of requests with a complete answer within the limits of their catalogue
        entry, by service class and over ``all``.
    per_accelerator, goodput_per_s : float
        Number of such requests per second, for each accelerator and in total.
    first_token, between_tokens, answers : dict of str to Latency
        Time to the first token, mean time between tokens and time to the end of the
        answer, by service class and over ``all``.
    endings : dict of str to int
        Number of results by how they ended.
    refusals : dict of str to int
        Number of requests without a complete answer, by reason.
    counters : dict of str to float
        By how much the daemons' counters grew.
    moves : dict of str to float
        Number of loads and unloads by agents, and of both.
    faults_found : list of str
        Wrong answers and repeated executions, which must not occur.
    timeline : list of (int, int, int)
        Second of the run, requests sent in it, and those among them with a complete
        answer within the limits.
    """

    options: dict[str, Any]
    n_requests: int
    attainment: dict[str, float]
    per_accelerator: float
    goodput_per_s: float
    first_token: dict[str, Latency]
    between_tokens: dict[str, Latency]
    answers: dict[str, Latency]
    endings: dict[str, int]
    refusals: dict[str, int]
    counters: dict[str, float]
    moves: dict[str, float]
    faults_found: list[str]
    timeline: list[tuple[int, int, int]]


def summarize(
    options: dict[str, Any],
    samples: Sequence[Sample],
    limits: Mapping[str, Mapping[str, int]],
    n_engines: int,
    growth: Mapping[str, float],
) -> Summary:
    """Return the summary of a run.

    Parameters
    ----------
    options : dict
        Options of the run.
    samples : sequence of Sample
        Results of the requests.
    limits : mapping of str to mapping
        Limits of each catalogue entry, by name.
    n_engines : int
        Number of engines, each with one accelerator.
    growth : mapping of str to float
        By how much the daemons' counters grew.
    """
    within_limits = [
        _is_within_limits(sample, limits[sample.request.target]) for sample in samples
    ]
    counters = dict(sorted(growth.items()))
    duration_s = options["duration_s"]
    return Summary(
        options={**options, "faults": [list(fault) for fault in options["faults"]]},
        n_requests=len(samples),
        attainment=_compute_attainment(samples, within_limits),
        per_accelerator=sum(within_limits) / duration_s / n_engines,
        goodput_per_s=sum(within_limits) / duration_s,
        first_token=_compute_latencies(samples, "first_ms"),
        between_tokens=_compute_latencies(samples, "between_ms"),
        answers=_compute_latencies(samples, "total_ms"),
        endings=dict(Counter(sample.ending.value for sample in samples)),
        refusals=dict(Counter(sample.reason for sample in samples if sample.reason)),
        counters=counters,
        moves=_count_moves(counters),
        faults_found=_describe_faults(samples),
        timeline=_count_by_second(samples, within_limits),
    )


def _is_within_limits(sample: Sample, limits: Mapping[str, int]) -> bool:
    """Return whether a request got a complete answer within the limits that are set."""
    if sample.ending is not Ending.ANSWERED:
        return False
    return (
        sample.first_ms <= limits.get("first_token_ms", HIGHEST_US)
        and sample.between_ms <= limits.get("between_tokens_ms", HIGHEST_US)
        and sample.total_ms <= limits.get("answer_ms", HIGHEST_US)
    )


def _compute_attainment(
    samples: Sequence[Sample], within_limits: Sequence[bool]
) -> dict[str, float]:
    n_sent: Counter[str] = Counter()
    n_within_limits: Counter[str] = Counter()
    for sample, is_within in zip(samples, within_limits, strict=True):
        for name in (sample.request.service_class, "all"):
            n_sent[name] += 1
            n_within_limits[name] += is_within
    return {name: n_within_limits[name] / n_sent[name] for name in sorted(n_sent)}


def _compute_latencies(samples: Sequence[Sample], field: str) -> dict[str, Latency]:
    histograms: dict[str, HdrHistogram] = {}
    for sample in samples:
        if sample.ending is not Ending.ANSWERED:
            continue
        value_us = max(LOWEST_US, round(getattr(sample, field) * US_PER_MS))
        for name in (sample.request.service_class, "all"):
            if name not in histograms:
                histograms[name] = HdrHistogram(
                    LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
                )
            histograms[name].record_value(value_us)
    return {
        name: _summarize_latency(histogram)
        for name, histogram in sorted(histograms.items())
    }


def _summarize_latency(histogram: HdrHistogram) -> Latency:
    p50_ms, p95_ms, p99_ms = (
        histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    )
    return Latency(
        n=histogram.get_total_count(), p50_ms=p50_ms, p95_ms=p95_ms, p99_ms=p99_ms
    )


def _count_moves(counters: Mapping[str, float]) -> dict[str, float]:
    moves = {
        "loads": _sum_counter(counters, "cowslip_agent_loads_total"),
        "unloads": _sum_counter(counters, "cowslip_agent_unloads_total"),
    }
    return {**moves, "all": sum(moves.values())}


def _sum_counter(counters: Mapping[str, float], name: str) -> float:
    """Return the sum of a counter over its labels."""
    return sum(
        value for key, value in counters.items() if key.partition("{")[0] == name
    )


def _describe_faults(samples: Sequence[Sample]) -> list[str]:
    """Return a text for each wrong answer and each repeated execution."""
    return [
        f"{sample.reason} request {sample.request.number} to {sample.request.target}"
        for sample in samples
        if sample.ending is Ending.WRONG
    ]


def _count_by_second(
    samples: Sequence[Sample], within_limits: Sequence[bool]
) -> list[tuple[int, int, int]]:
    """Return each second, the requests sent in it and those within their limits."""
    n_sent: Counter[int] = Counter()
    n_within_limits: Counter[int] = Counter()
    for sample, is_within in zip(samples, within_limits, strict=True):
        second = int(sample.request.send_at_s)
        n_sent[second] += 1
        n_within_limits[second] += is_within
    return [
        (second, n_sent[second], n_within_limits[second]) for second in sorted(n_sent)
    ]
