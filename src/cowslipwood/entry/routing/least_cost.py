"""The routing policy ``least_cost``: the candidate with the lowest expected cost.

It suits services with few servers, where comparing all of them costs less than the
uneven load that a sample of two would leave.
"""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._affinity import preferred_backend
from ._cost import prefix_cache_saving_ms, request_cost_ms
from ._policy import RoutingContext, usable_or_ejected_candidates, zone_distance

__all__ = ["LeastCost"]


@register(PluginKind.ROUTING_POLICY, "least_cost")
class LeastCost:
    """Compares all candidates by queue, batch, errors, zone and prefix cache."""

    def choose(
        self,
        candidates: Sequence[Backend],
        context: RoutingContext,
        rng: random.Random,
        now_ms: float,
    ) -> Backend | None:
        """Return the server of least cost; None when no candidate is eligible."""
        usable = usable_or_ejected_candidates(candidates, context, now_ms)
        if not usable:
            return None
        preferred = None
        if context.prefix_hash:
            # Each zone caches a prefix on one of its own servers, so that prompts
            # need not be sent to another zone.
            same_zone = [
                backend
                for backend in usable
                if not zone_distance(context.zone, backend.view.zone)
            ]
            preferred = preferred_backend(same_zone or usable, context.prefix_hash)
        saving_ms = prefix_cache_saving_ms(context)

        def cost(backend: Backend) -> tuple[float, float]:
            cost_ms = request_cost_ms(backend, context, now_ms)
            if backend is preferred:
                cost_ms -= saving_ms
            return cost_ms, rng.random()

        return min(usable, key=cost)
