"""The routing policy ``least_cost``: the shortest expected wait of all candidates.

For services with few servers, where looking at each costs less than the load
that a sample of two would miss.
"""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._affinity import preferred_backend
from ._cost import expected_wait_ms, kept_ms
from ._policy import RoutingContext, reachable_candidates, zone_distance

__all__ = ["LeastCost"]


@register(PluginKind.ROUTING_POLICY, "least_cost")
class LeastCost:
    """Weighs queue, batch, errors, distance and kept prompt parts."""

    def choose(
        self,
        candidates: Sequence[Backend],
        context: RoutingContext,
        rng: random.Random,
        now_ms: float,
    ) -> Backend | None:
        """Return the server of least cost; None when no candidate is reachable."""
        usable = reachable_candidates(candidates, context, now_ms)
        if not usable:
            return None
        preferred = None
        if context.prefix_hash:
            # Each zone keeps the parts once, so that prompts need not leave it.
            near = [
                backend
                for backend in usable
                if not zone_distance(context.zone, backend.view.zone)
            ]
            preferred = preferred_backend(near or usable, context.prefix_hash)
        credit_ms = kept_ms(context)

        def cost(backend: Backend) -> tuple[float, float]:
            wait_ms = expected_wait_ms(backend, context, now_ms)
            if backend is preferred:
                wait_ms -= credit_ms
            return wait_ms, rng.random()

        return min(usable, key=cost)
