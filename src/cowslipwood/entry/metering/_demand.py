"""Measures the demand for each model, or for another name such as a routing key."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ...kernel.messages import DemandSample

__all__ = ["DemandMeter"]


class _NameDemand:
    """Demand for one name since the last report.

    `in_flight_time_ms` is the time in flight, summed over requests, up to
    `updated_at_ms`.
    """

    __slots__ = (
        "in_flight_time_ms",
        "n_arrived",
        "n_in_flight",
        "n_late",
        "n_met",
        "n_missed",
        "target_ms",
        "updated_at_ms",
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
        self.in_flight_time_ms = 0.0
        self.updated_at_ms = now_ms

    @property
    def late_share(self) -> float:
        """Share of late requests among the requests that were met.

        A request may be recorded as late just before it is recorded as met.
        """
        return min(1.0, self.n_late / self.n_met) if self.n_met else 0.0

    def add_in_flight(self, n_added: int, now_ms: float) -> None:
        self.in_flight_time_ms += self.n_in_flight * (now_ms - self.updated_at_ms)
        self.updated_at_ms = now_ms
        self.n_in_flight += n_added


class DemandMeter:
    """Counts arrivals, requests in flight and misses by name between two reports.

    Parameters
    ----------
    now_ms : float
        Start of the first span for which demand is counted.
    """

    def __init__(self, now_ms: float):
        self._demand_by_name: dict[str, _NameDemand] = {}
        self._reported_at_ms = now_ms

    def record_arrival(self, name: str, target_ms: float = 0.0) -> None:
        """Count a new request and note its latency target, if it has one.

        The shortest target since the last report is reported.
        """
        demand = self._get_demand(name)
        demand.n_arrived += 1
        if target_ms:
            demand.target_ms = min(target_ms, demand.target_ms or target_ms)

    def record_start(self, name: str, now_ms: float) -> None:
        """Count an admitted request as in flight."""
        self._get_demand(name).add_in_flight(1, now_ms)

    def record_end(self, name: str, now_ms: float) -> None:
        """Count an admitted request as no longer in flight."""
        self._get_demand(name).add_in_flight(-1, now_ms)

    @contextmanager
    def track_in_flight(
        self, name: str, clock_ms: Callable[[], float]
    ) -> Iterator[None]:
        """Count one request as in flight while the block runs."""
        self.record_start(name, clock_ms())
        try:
            yield
        finally:
            self.record_end(name, clock_ms())

    def record_met(self, name: str) -> None:
        """Count a request that counts as met.

        Behind agents this is a request that was answered within its limits. A direct
        entry records every request as met that did not fail for lack of engines, also
        one that failed for another reason.
        """
        self._get_demand(name).n_met += 1

    def record_late(self, name: str) -> None:
        """Count a late request, which is also counted as met."""
        self._get_demand(name).n_late += 1

    def record_miss(self, name: str) -> None:
        """Count a request that was answered outside its limits, or refused."""
        self._get_demand(name).n_missed += 1

    def collect_samples(self, now_ms: float) -> tuple[DemandSample, ...]:
        """Return the demand since the last call and start to count again."""
        span_ms = max(1.0, now_ms - self._reported_at_ms)
        self._reported_at_ms = now_ms
        samples = []
        for name, demand in list(self._demand_by_name.items()):
            demand.add_in_flight(0, now_ms)
            if not (demand.n_arrived or demand.in_flight_time_ms or demand.n_missed):
                if not demand.n_in_flight:
                    del self._demand_by_name[name]
                continue
            n_ended = demand.n_met + demand.n_missed
            samples.append(
                DemandSample(
                    name,
                    demand.n_arrived / span_ms * 1000,
                    demand.in_flight_time_ms / span_ms,
                    demand.n_missed / n_ended if n_ended else 0.0,
                    target_ms=demand.target_ms,
                    late_share=demand.late_share,
                )
            )
            demand.clear(now_ms)
        return tuple(samples)

    def _get_demand(self, name: str) -> _NameDemand:
        demand = self._demand_by_name.get(name)
        if demand is None:
            demand = self._demand_by_name[name] = _NameDemand(self._reported_at_ms)
        return demand
