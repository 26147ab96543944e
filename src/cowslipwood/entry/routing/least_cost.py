"""The routing policy ``least_cost``: the shortest expected wait of all candidates.

For services with few servers, where looking at each costs less than the load
that a sample of two would miss.
"""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._affinity import preferred_backend
from ._policy import (
    KEPT_SHARE,
    RoutingContext,
    usable_candidates,
    zone_distance,
)

__all__ = ["LeastCost"]

# Prompt tokens that an engine reads in a millisecond. Engines do not tell it; a
# wrong figure only shifts how queue, distance and kept prompts are weighed.
PREFILL_TOKENS_PER_MS = 30.0
# Tokens of a prompt that another entry sent, of which only the count is known.
TYPICAL_PROMPT_TOKENS = 2_500.0
# In milliseconds, for a server that is as full as it may be at full speed: a
# fuller batch gives every token later.
FULL_BATCH_MS = 150.0
# In milliseconds, for each request that runs already, at least: long prompts are
# read between the tokens of the others, and all streams of the batch last longer.
RUNNING_MS = 12.0
# In milliseconds of wait: what a zone's distance is worth, and each kilobyte that
# is sent there; bytes between zones are dear, and a short wait costs nothing.
ZONE_MS = 20.0
ZONE_MS_PER_KB = 4.0
ERROR_FACTOR = 6.0
# In milliseconds of wait, so that errors weigh on an idle server too.
ERROR_BASE_MS = 40.0


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
        """Return the server of least cost; None when no candidate is reachable.

        When every server has been ejected for its errors, they all count again:
        what they have in common is the service's own fault, and one of them
        could not take the load of all.
        """
        usable = usable_candidates(candidates, context, now_ms)
        if not usable:
            usable = [
                backend
                for backend in candidates
                if backend.view.server_id not in context.tried
                and backend.reachable(context.key, now_ms)
            ]
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
        kept_ms = KEPT_SHARE * context.n_shared_tokens / PREFILL_TOKENS_PER_MS

        def cost(backend: Backend) -> tuple[float, float]:
            credit_ms = kept_ms if backend is preferred else 0.0
            return expected_wait_ms(backend, context, now_ms) - credit_ms, rng.random()

        return min(usable, key=cost)


def expected_wait_ms(backend: Backend, context: RoutingContext, now_ms: float) -> float:
    """Return the cost of one more request at a server, as a time."""
    load = backend.load(context.typical_load, now_ms)
    wait_ms = backend.wait_ms(load, now_ms)
    wait_ms += max(RUNNING_MS, FULL_BATCH_MS / backend.knee) * (load + 1)
    own_tokens = backend.n_pending_tokens
    others_tokens = max(
        0.0, backend.queued(now_ms) * TYPICAL_PROMPT_TOKENS - own_tokens
    )
    if context.n_shared_tokens or own_tokens:
        wait_ms += (own_tokens + others_tokens) / PREFILL_TOKENS_PER_MS
    zone_ms = ZONE_MS + ZONE_MS_PER_KB * context.n_bytes / 1000
    wait_ms += zone_ms * zone_distance(context.zone, backend.view.zone)
    error_share = backend.health.error_share(now_ms)
    return wait_ms + ERROR_FACTOR * error_share * (wait_ms + ERROR_BASE_MS)
