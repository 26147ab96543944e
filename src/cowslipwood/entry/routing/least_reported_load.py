"""The routing policy ``least_reported_load``, a baseline for comparison."""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._policy import RoutingContext, usable_candidates

__all__ = ["LeastReportedLoad"]


@register(PluginKind.ROUTING_POLICY, "least_reported_load")
class LeastReportedLoad:
    """Chooses the server whose last report has the least load for its knee."""

    def choose(
        self,
        candidates: Sequence[Backend],
        context: RoutingContext,
        rng: random.Random,
        now_ms: float,
    ) -> Backend | None:
        """Return the chosen server; None when no candidate is usable."""
        usable = usable_candidates(candidates, context, now_ms)
        return min(usable, key=_load_by_report, default=None)


def _load_by_report(backend: Backend) -> tuple[float, str]:
    report = backend.report
    n_requests = report.n_in_flight + report.n_queued
    return n_requests / backend.knee_in_flight, backend.view.server_id
