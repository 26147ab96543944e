"""Routing policies, which choose a server for a request among the candidates."""

from . import (  # noqa: F401
    least_cost,
    least_reported_load,
    random_choice,
    sampled_cost,
    sampled_load,
)
from ._cost import expected_queue_ms
from ._policy import (
    PREFIX_CACHE_HIT_SHARE,
    TYPICAL_PROMPT_TOKENS,
    RoutingContext,
    RoutingPolicy,
    usable_candidates,
)

__all__ = [
    "PREFIX_CACHE_HIT_SHARE",
    "TYPICAL_PROMPT_TOKENS",
    "RoutingContext",
    "RoutingPolicy",
    "expected_queue_ms",
    "usable_candidates",
]
