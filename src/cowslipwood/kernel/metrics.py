"""Prometheus metrics of one daemon, kept in a registry of its own."""

from collections.abc import Iterable
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["Metrics"]

# From a plain call within one host up to the longest streams.
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


class Metrics:
    """Counters and gauges of one daemon.

    Parameters
    ----------
    role : str
        Prefix of each metric's name, as in ``cowslip_entry_refusals_total``.
    """

    def __init__(self, role: str):
        self._prefix = f"cowslip_{role}_"
        self._registry = Registry()
        self._held: dict[str, Counter | Gauge | Histogram] = {}

    def expose(self, names: Iterable[str], reasons: Iterable[str]) -> None:
        """Show counters at 0 for each reason, so that none is first seen at 1."""
        reasons = list(reasons)
        for name in names:
            for reason in reasons:
                self.count(name, 0, reason=reason)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to the counter `name`."""
        self._metric(Counter, name).add(labels, amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge `name`."""
        self._metric(Gauge, name).set(labels, value)

    def observe(self, name: str, value_ms: float, **labels: str) -> None:
        """Add a time to the histogram `name`."""
        self._metric(Histogram, name, buckets=LATENCY_BUCKETS_MS).observe(
            labels, value_ms
        )

    def value(self, name: str, **labels: str) -> float:
        """Return the present value of a metric; 0 when it was never set."""
        held = self._held.get(name)
        if held is None:
            return 0
        return held.values.get(labels) if labels in held.values else 0

    def text(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and its HTTP headers."""
        return render(self._registry, [])

    def _metric(
        self, cls: type, name: str, **options: Any
    ) -> Counter | Gauge | Histogram:
        held = self._held.get(name)
        if held is None:
            held = cls(
                self._prefix + name,
                name.replace("_", " "),
                registry=self._registry,
                **options,
            )
            self._held[name] = held
        return held
