"""Sums up a run: attainment, latencies, moves, refusals, checks."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any, TypedDict

from hdrh.histogram import HdrHistogram

from ._client import Ending, Sample

__all__ = ["Latency", "Summary", "summarize"]

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1_000
PERCENTILES = (50, 95, 99)


class Latency(TypedDict):
    """Percentiles of a latency in milliseconds."""

    n: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class Summary(TypedDict):
    """The result of a run.

    `attainment` is the share of requests answered whole within their class's
    limits, by class and over all; `per_accelerator` is the number of such
    requests a second for each accelerator.
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
    grown: Mapping[str, float],
) -> Summary:
    """Return the summary of a run.

    Parameters
    ----------
    options : dict
        What was run.
    samples : sequence of Sample
    limits : mapping of str to mapping
        Limits of each catalogue entry, by name.
    n_engines : int
    grown : mapping of str to float
        By how much the daemons' counters grew.
    """
    met = [_met(sample, limits[sample.request.target]) for sample in samples]
    counters = dict(sorted(grown.items()))
    duration_s = options["duration_s"]
    return Summary(
        options={**options, "faults": [list(f) for f in options["faults"]]},
        n_requests=len(samples),
        attainment=_attainment(samples, met),
        per_accelerator=sum(met) / duration_s / n_engines,
        goodput_per_s=sum(met) / duration_s,
        first_token=_latencies(samples, "first_ms"),
        between_tokens=_latencies(samples, "between_ms"),
        answers=_latencies(samples, "total_ms"),
        endings=dict(Counter(sample.ending.value for sample in samples)),
        refusals=dict(Counter(s.reason for s in samples if s.reason)),
        counters=counters,
        moves=_moves(counters),
        faults_found=_faults_found(samples),
        timeline=_timeline(samples, met),
    )


def _met(sample: Sample, limits: Mapping[str, int]) -> bool:
    if sample.ending is not Ending.ANSWERED:
        return False
    return (
        sample.first_ms <= limits.get("first_token_ms", HIGHEST_US)
        and sample.between_ms <= limits.get("between_tokens_ms", HIGHEST_US)
        and sample.total_ms <= limits.get("answer_ms", HIGHEST_US)
    )


def _attainment(samples: Sequence[Sample], met: Sequence[bool]) -> dict[str, float]:
    sent: Counter[str] = Counter()
    kept: Counter[str] = Counter()
    for sample, is_met in zip(samples, met, strict=True):
        for name in (sample.request.service_class, "all"):
            sent[name] += 1
            kept[name] += is_met
    return {name: kept[name] / sent[name] for name in sorted(sent)}


def _latencies(samples: Sequence[Sample], field: str) -> dict[str, Latency]:
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
    return {name: _percentiles(held) for name, held in sorted(histograms.items())}


def _percentiles(held: HdrHistogram) -> Latency:
    p50, p95, p99 = (
        held.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    )
    return Latency(n=held.get_total_count(), p50_ms=p50, p95_ms=p95, p99_ms=p99)


def _moves(counters: Mapping[str, float]) -> dict[str, float]:
    moves = {
        "loads": _sum(counters, "cowslip_agent_loads_total"),
        "unloads": _sum(counters, "cowslip_agent_unloads_total"),
    }
    return {**moves, "all": sum(moves.values())}


def _sum(counters: Mapping[str, float], name: str) -> float:
    return sum(v for key, v in counters.items() if key.partition("{")[0] == name)


def _faults_found(samples: Sequence[Sample]) -> list[str]:
    """Return what broke a promise: wrong answers and repeated executions."""
    return [
        f"{sample.reason} request {sample.request.number} to {sample.request.target}"
        for sample in samples
        if sample.ending is Ending.WRONG
    ]


def _timeline(
    samples: Sequence[Sample], met: Sequence[bool]
) -> list[tuple[int, int, int]]:
    """Return second, requests sent and requests answered within limits."""
    sent: Counter[int] = Counter()
    kept: Counter[int] = Counter()
    for sample, is_met in zip(samples, met, strict=True):
        second = int(sample.request.at_s)
        sent[second] += 1
        kept[second] += is_met
    return [(second, sent[second], kept[second]) for second in sorted(sent)]
