"""The routing policy ``sampled_load``: the least loaded server of a random sample.

Sampling prevents several entries that have the same old reports from all choosing
the same server. The entry's own requests in flight count immediately.
"""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._affinity import preferred_backend
from ._policy import RoutingContext, usable_candidates, zone_distance

__all__ = ["SampledLoad"]

# Servers sampled for one request.
N_SAMPLES = 2
# Random draws for the sample before all candidates are examined.
N_DRAWS = 8
# Factor by which the share of errors increases the load of a server.
ERROR_COST_FACTOR = 10.0
# Cost for each unit of zone distance, as a share of a server's knee.
ZONE_COST_SHARE = 0.15
# Credit for the preferred server of a prompt prefix, as a share of its knee.
PREFERRED_CREDIT_SHARE = 0.25
# Cost of a server without a recent answer while the view is stale, as a share of its
# knee.
NO_RECENT_ANSWER_COST_SHARE = 0.5
# Age in milliseconds up to which an answer is recent.
RECENT_ANSWER_MS = 5_000.0


@register(PluginKind.ROUTING_POLICY, "sampled_load")
class SampledLoad:
    """Compares a sample by load, errors, zone and prefix affinity."""

    def choose(
        self,
        candidates: Sequence[Backend],
        context: RoutingContext,
        rng: random.Random,
        now_ms: float,
    ) -> Backend | None:
        """Return the chosen server; None when no candidate is usable."""
        sampled = _sample(candidates, context, rng, now_ms)
        preferred = None
        if context.prefix_hash and candidates:
            preferred = preferred_backend(candidates, context.prefix_hash)
            if preferred not in sampled and _can_use(preferred, context, now_ms):
                sampled.append(preferred)
        best = None
        best_cost = 0.0
        for backend in sampled:
            cost = _cost(backend, context, now_ms)
            if backend is preferred:
                cost -= PREFERRED_CREDIT_SHARE
            if best is None or cost < best_cost:
                best, best_cost = backend, cost
        return best


def _sample(
    candidates: Sequence[Backend],
    context: RoutingContext,
    rng: random.Random,
    now_ms: float,
) -> list[Backend]:
    """Return up to `N_SAMPLES` usable candidates.

    Candidates are drawn before they are filtered, so that the work does not grow with
    their number. All of them are examined only when the draws find no usable one.
    """
    n_candidates = len(candidates)
    if n_candidates > N_SAMPLES:
        sampled: list[Backend] = []
        for _ in range(N_DRAWS):
            backend = candidates[int(rng.random() * n_candidates)]
            if backend in sampled or not _can_use(backend, context, now_ms):
                continue
            sampled.append(backend)
            if len(sampled) == N_SAMPLES:
                return sampled
        if sampled:
            return sampled
    usable = usable_candidates(candidates, context, now_ms)
    return rng.sample(usable, min(N_SAMPLES, len(usable)))


def _can_use(backend: Backend, context: RoutingContext, now_ms: float) -> bool:
    if backend.view.server_id in context.tried_ids:
        return False
    return backend.is_usable(context.key, now_ms)


def _cost(backend: Backend, context: RoutingContext, now_ms: float) -> float:
    load = backend.expected_load(context.typical_others_load_share, now_ms)
    cost = (load + 1.0) / backend.knee_in_flight
    cost *= 1.0 + ERROR_COST_FACTOR * backend.health.error_share(now_ms)
    cost += ZONE_COST_SHARE * zone_distance(context.zone, backend.view.zone)
    if context.is_view_stale and now_ms - backend.answered_at_ms > RECENT_ANSWER_MS:
        cost += NO_RECENT_ANSWER_COST_SHARE
    return cost
