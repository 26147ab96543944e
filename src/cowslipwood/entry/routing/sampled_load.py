"""The routing policy ``sampled_load``: the best of few sampled servers.

Sampling keeps several entries with the same old reports from all choosing the
same server; own requests in flight are counted at once.
"""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._affinity import preferred_backend
from ._policy import RoutingContext, usable_candidates, zone_distance

__all__ = ["SampledLoad"]

N_SAMPLES = 2
N_TRIES = 8
ERROR_FACTOR = 10.0
ZONE_COST = 0.15
AFFINITY_CREDIT = 0.25
UNSEEN_COST = 0.5
RECENT_ANSWER_MS = 5_000.0


@register(PluginKind.ROUTING_POLICY, "sampled_load")
class SampledLoad:
    """Compares few candidates by load, errors, zone and prefix affinity."""

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
            if preferred not in sampled and _may_use(preferred, context, now_ms):
                sampled.append(preferred)
        best = None
        best_cost = 0.0
        for backend in sampled:
            cost = _cost(backend, context, now_ms)
            if backend is preferred:
                cost -= AFFINITY_CREDIT
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

    Draws before it filters, so that the work does not grow with the number of
    candidates; only when the draws find none are all of them looked at.
    """
    n_candidates = len(candidates)
    if n_candidates > N_SAMPLES:
        sampled: list[Backend] = []
        for _ in range(N_TRIES):
            backend = candidates[int(rng.random() * n_candidates)]
            if backend in sampled or not _may_use(backend, context, now_ms):
                continue
            sampled.append(backend)
            if len(sampled) == N_SAMPLES:
                return sampled
        if sampled:
            return sampled
    usable = usable_candidates(candidates, context, now_ms)
    return rng.sample(usable, min(N_SAMPLES, len(usable)))


def _may_use(backend: Backend, context: RoutingContext, now_ms: float) -> bool:
    if backend.view.server_id in context.tried:
        return False
    return backend.is_usable(context.key, now_ms)


def _cost(backend: Backend, context: RoutingContext, now_ms: float) -> float:
    load = backend.expected_load(context.typical_load, now_ms)
    cost = (load + 1.0) / backend.knee_in_flight
    cost *= 1.0 + ERROR_FACTOR * backend.health.error_share(now_ms)
    cost += ZONE_COST * zone_distance(context.zone, backend.view.zone)
    if context.is_view_stale and now_ms - backend.answered_at_ms > RECENT_ANSWER_MS:
        cost += UNSEEN_COST
    return cost
