"""The routing policy ``sampled_cost``: the shortest expected wait of few candidates.

Many entries that go by the same report, which is some hundred milliseconds old,
would all take the one server that looks best in it. Each looks at few servers at
random, and at the one that most likely keeps the shared parts of the prompt.
"""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._affinity import preferred_backend
from ._cost import expected_wait_ms, kept_ms
from ._policy import RoutingContext, reachable_candidates

__all__ = ["SampledCost"]

# Two samples leave most of the load to chance where a few servers are slow; with
# many, entries meet at the same server again.
N_SAMPLES = 2
# A prompt that is read again holds up those that wait behind it as well.
KEPT_WEIGHT = 2.0
# In milliseconds of wait, for the home of a prompt: homes spread requests without
# going by a report, and so more evenly than samples where reports are old.
HOME_MS = 100.0


@register(PluginKind.ROUTING_POLICY, "sampled_cost")
class SampledCost:
    """Weighs queue, batch, errors, distance and kept prompt parts of a sample."""

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
        sampled = rng.sample(usable, min(N_SAMPLES, len(usable)))
        home = None
        if context.prefix_hash:
            home = preferred_backend(usable, context.prefix_hash)
            if home not in sampled:
                sampled.append(home)
        credit_ms = KEPT_WEIGHT * kept_ms(context) + HOME_MS

        def cost(backend: Backend) -> float:
            wait_ms = expected_wait_ms(backend, context, now_ms)
            return wait_ms - credit_ms if backend is home else wait_ms

        return min(sampled, key=cost)
