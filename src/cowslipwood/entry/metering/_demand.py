"""Measures the demand for each model, or whatever else is named."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ...kernel.messages import DemandSample

__all__ = ["DemandMeter"]


class _Demand:
    """Demand for one entry since the last report."""

    __slots__ = (
        "at_ms",
        "held_ms",
        "n_arrived",
        "n_in_flight",
        "n_late",
        "n_met",
        "n_missed",
        "target_ms",
    )

    def __init__(self, now_ms: float):
        self.n_in_flight = 0
        self.clear(now_ms)

    def clear(self, now_ms: float) -> None:
        self.n_arrived = 0
        self.n_met = 0
        self.n_missed = 0
        self.n_late = 0
        self.target_ms = 0.0
        self.held_ms = 0.0
        self.at_ms = now_ms

    @property
    def late_share(self) -> float:
        """Late ones among those that ended; one may be told just before its end."""
        return min(1.0, self.n_late / self.n_met) if self.n_met else 0.0

    def change(self, n_more: int, now_ms: float) -> None:
        self.held_ms += self.n_in_flight * (now_ms - self.at_ms)
        self.at_ms = now_ms
        self.n_in_flight += n_more


class DemandMeter:
    """Arrivals, requests in flight and misses by name since the last report.

    Parameters
    ----------
    now_ms : float
    """

    def __init__(self, now_ms: float):
        self._demand: dict[str, _Demand] = {}
        self._reported_ms = now_ms

    def arrived(self, name: str, target_ms: float = 0.0) -> None:
        """Count a fresh request, with its route's target where that has one."""
        demand = self._of(name)
        demand.n_arrived += 1
        if target_ms:
            demand.target_ms = min(target_ms, demand.target_ms or target_ms)

    def began(self, name: str, now_ms: float) -> None:
        """Count a request that was let in."""
        self._of(name).change(1, now_ms)

    def ended(self, name: str, now_ms: float) -> None:
        """Take out a request that was let in."""
        self._of(name).change(-1, now_ms)

    @contextmanager
    def counted(self, name: str, clock_ms: Callable[[], float]) -> Iterator[None]:
        """Count one request as in flight for the length of the block."""
        self.began(name, clock_ms())
        try:
            yield
        finally:
            self.ended(name, clock_ms())

    def met(self, name: str) -> None:
        """Count a request answered within its limits."""
        self._of(name).n_met += 1

    def late(self, name: str) -> None:
        """Count one of the requests that were met as late."""
        self._of(name).n_late += 1

    def missed(self, name: str) -> None:
        """Count a request outside its limits, or refused."""
        self._of(name).n_missed += 1

    def samples(self, now_ms: float) -> tuple[DemandSample, ...]:
        """Return the demand since the last call and begin anew."""
        span_ms = max(1.0, now_ms - self._reported_ms)
        self._reported_ms = now_ms
        samples = []
        for name, demand in list(self._demand.items()):
            demand.change(0, now_ms)
            if not (demand.n_arrived or demand.held_ms or demand.n_missed):
                if not demand.n_in_flight:
                    del self._demand[name]
                continue
            n_ended = demand.n_met + demand.n_missed
            samples.append(
                DemandSample(
                    name,
                    demand.n_arrived / span_ms * 1000,
                    demand.held_ms / span_ms,
                    demand.n_missed / n_ended if n_ended else 0.0,
                    target_ms=demand.target_ms,
                    late_share=demand.late_share,
                )
            )
            demand.clear(now_ms)
        return tuple(samples)

    def _of(self, name: str) -> _Demand:
        demand = self._demand.get(name)
        if demand is None:
            demand = self._demand[name] = _Demand(self._reported_ms)
        return demand
