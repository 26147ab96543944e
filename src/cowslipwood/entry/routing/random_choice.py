"""The routing policy ``random``, a baseline that chooses any usable server."""

import random
from collections.abc import Sequence

from ...kernel.registry import PluginKind, register
from ..choosing._backend import Backend
from ._policy import RoutingContext, usable_candidates

__all__ = ["RandomChoice"]


@register(PluginKind.ROUTING_POLICY, "random")
class RandomChoice:
    """Chooses each usable server with the same probability."""

    def choose(
        self,
        candidates: Sequence[Backend],
        context: RoutingContext,
        rng: random.Random,
        now_ms: float,
    ) -> Backend | None:
        """Return the chosen server; None when no candidate is usable."""
        usable = usable_candidates(candidates, context, now_ms)
        return rng.choice(usable) if usable else None
