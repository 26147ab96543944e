"""Prometheus metrics of one daemon, kept in a registry of its own."""

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ["Metrics"]


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
        self._held: dict[str, Counter | Gauge] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to the counter `name`."""
        self._metric(Counter, name).add(labels, amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge `name`."""
        self._metric(Gauge, name).set(labels, value)

    def value(self, name: str, **labels: str) -> float:
        """Return the present value of a metric; 0 when it was never set."""
        held = self._held.get(name)
        if held is None:
            return 0
        return held.values.get(labels) if labels in held.values else 0

    def text(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and its HTTP headers."""
        return render(self._registry, [])

    def _metric(self, cls: type, name: str) -> Counter | Gauge:
        held = self._held.get(name)
        if held is None:
            held = cls(
                self._prefix + name, name.replace("_", " "), registry=self._registry
            )
            self._held[name] = held
        return held
