"""The routing policy ``least_reported_load``; a baseline."""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._policy import RoutingContext, usable_candidates

__all__ = ["LeastReportedLoad"]


@register(PluginKind.ROUTING_POLICY, "least_reported_load")
class LeastReportedLoad:
    """Picks the server whose last report shows the fewest requests."""

    def choose(
        self,
        candidates: Sequence[Backend],
        context: RoutingContext,
        rng: random.Random,
        now_ms: float,
    ) -> Backend | None:
        """Return the chosen server; None when no candidate is usable."""
        usable = usable_candidates(candidates, context, now_ms)
        return min(usable, key=_reported_load, default=None)


def _reported_load(backend: Backend) -> tuple[float, str]:
    report = backend.report
    n_held = report.n_in_flight + report.n_queued
    return n_held / backend.knee_in_flight, backend.view.server_id
