"""Prometheus metrics of a daemon."""

from collections.abc import Iterable
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["Metrics"]

# Upper bounds of the latency histogram's buckets in milliseconds, from a short call
# within one host to the longest streams.
LATENCY_BUCKETS_MS = (
    5.0,
    10.0,
    20.0,
    50.0,
    100.0,
    200.0,
    500.0,
    1_000.0,
    2_000.0,
    5_000.0,
    15_000.0,
)

# Characters that end a label's value or line in the text format.
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class Metrics:
    """Counters, gauges and histograms of one daemon, in a registry of their own.

    Parameters
    ----------
    role : str
        Prefix of each metric's name, as in ``cowslip_entry_refusals_total``.
    """

    def __init__(self, role: str):
        self._prefix = f"cowslip_{role}_"
        self._registry = Registry()
        self._metrics_by_name: dict[str, Counter | Gauge | Histogram] = {}

    def expose(self, names: Iterable[str], reasons: Iterable[str]) -> None:
        """Create counters at 0 for each reason.

        Without this, Prometheus would first see a counter at 1 and not count that
        as an increase.
        """
        reasons = list(reasons)
        for name in names:
            for reason in reasons:
                self.count(name, 0, reason=reason)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to the counter `name`."""
        self._get_or_create(Counter, name).add(_escape_values(labels), amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge `name`."""
        self._get_or_create(Gauge, name).set(_escape_values(labels), value)

    def remove(self, name: str, **labels: str) -> None:
        """Remove the value with these labels of the metric `name`, if there is one."""
        metric = self._metrics_by_name.get(name)
        if metric is not None:
            metric.values.pop(_escape_values(labels), None)

    def observe(self, name: str, value_ms: float, **labels: str) -> None:
        """Add a time in milliseconds to the histogram `name`."""
        self._get_or_create(Histogram, name, buckets=LATENCY_BUCKETS_MS).observe(
            _escape_values(labels), value_ms
        )

    def value(self, name: str, **labels: str) -> float:
        """Return the current value of a metric; 0 when it was never set."""
        metric = self._metrics_by_name.get(name)
        if metric is None:
            return 0
        labels = _escape_values(labels)
        return metric.values.get(labels) if labels in metric.values else 0

    def render_text(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in Prometheus text format, and the HTTP headers."""
        return render(self._registry, [])

    def _get_or_create(
        self, metric_type: type, name: str, **options: Any
    ) -> Counter | Gauge | Histogram:
        metric = self._metrics_by_name.get(name)
        if metric is None:
            metric = metric_type(
                self._prefix + name,
                name.replace("_", " "),
                registry=self._registry,
                **options,
            )
            self._metrics_by_name[name] = metric
        return metric


def _escape_values(labels: dict[str, str]) -> dict[str, str]:
    """Return labels as the text format requires, which the library does not do."""
    return {name: str(value).translate(_ESCAPES) for name, value in labels.items()}
