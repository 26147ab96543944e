"""The routing policy ``sampled_cost``: the lowest expected cost in a random sample.

Load reports are some hundred milliseconds old. If all entries compared all servers
by the same reports, all of them would choose the same server. Therefore each entry
compares only a few random servers and the server that most likely has the shared parts
of the prompt in its prefix cache.
"""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._affinity import preferred_backend
from ._cost import prefix_cache_saving_ms, request_cost_ms
from ._policy import RoutingContext, usable_or_ejected_candidates

__all__ = ["SampledCost"]

# Servers sampled for one request. Two leave most of the load to chance when a few
# servers are slow; with many, the entries choose the same server again.
N_SAMPLES = 2
# Weight of the time that a cached prefix saves: reading a prompt again also delays
# the requests that wait behind it.
PREFIX_CACHE_WEIGHT = 2.0
# Credit in milliseconds for the preferred server of a prompt prefix: the hash spreads
# requests without load reports, and so more evenly than samples do when reports are
# old.
PREFERRED_CREDIT_MS = 100.0


@register(PluginKind.ROUTING_POLICY, "sampled_cost")
class SampledCost:
    """Compares a sample by queue, batch, errors, zone and prefix cache."""

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
        sampled = rng.sample(usable, min(N_SAMPLES, len(usable)))
        preferred = None
        if context.prefix_hash:
            preferred = preferred_backend(usable, context.prefix_hash)
            if preferred not in sampled:
                sampled.append(preferred)
        saving_ms = (
            PREFIX_CACHE_WEIGHT * prefix_cache_saving_ms(context) + PREFERRED_CREDIT_MS
        )

        def cost(backend: Backend) -> float:
            cost_ms = request_cost_ms(backend, context, now_ms)
            return cost_ms - saving_ms if backend is preferred else cost_ms

        return min(sampled, key=cost)
