"""The routing policy ``least_cost``: the cheapest of all candidates.

For services with few servers, where looking at each costs less than the load
that a sample of two would miss.
"""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from .._backend import Backend
from ._affinity import preferred_backend
from ._policy import RoutingContext, usable_candidates, zone_distance

__all__ = ["LeastCost"]

# Cost of one zone's distance, as a share of a server's slots: crossing costs a
# millisecond, which a nearly idle server elsewhere does not make up for.
ZONE_COST = 0.04
# What a kept prompt part is worth, as a share of slots; above it, load decides.
AFFINITY_CREDIT = 0.12
ERROR_FACTOR = 6.0


@register(PluginKind.ROUTING_POLICY, "least_cost")
class LeastCost:
    """Weighs load, errors, distance and kept prompt parts of each candidate."""

    def choose(
        self,
        candidates: Sequence[Backend],
        context: RoutingContext,
        rng: random.Random,
        now_ms: float,
    ) -> Backend | None:
        """Return the server of least cost; None when no candidate is usable."""
        usable = usable_candidates(candidates, context, now_ms)
        if not usable:
            return None
        preferred = None
        if context.prefix_hash:
            preferred = preferred_backend(usable, context.prefix_hash)

        def cost(backend: Backend) -> tuple[float, float]:
            credit = AFFINITY_CREDIT if backend is preferred else 0.0
            return _cost(backend, context, now_ms) - credit, rng.random()

        return min(usable, key=cost)


def _cost(backend: Backend, context: RoutingContext, now_ms: float) -> float:
    load = (backend.load(context.typical_load, now_ms) + 1.0) / backend.knee
    load *= 1.0 + ERROR_FACTOR * backend.health.error_share(now_ms)
    return load + ZONE_COST * zone_distance(context.zone, backend.view.zone)
