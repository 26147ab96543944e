"""Routing policies: which of the servers that can answer gets a request."""

from . import (  # noqa: F401
    least_cost,
    least_reported_load,
    random_choice,
    sampled_cost,
    sampled_load,
)
from ._cost import queued_ms
from ._policy import (
    KEPT_SHARE,
    TYPICAL_PROMPT_TOKENS,
    RoutingContext,
    RoutingPolicy,
    usable_candidates,
)

__all__ = [
    "KEPT_SHARE",
    "TYPICAL_PROMPT_TOKENS",
    "RoutingContext",
    "RoutingPolicy",
    "queued_ms",
    "usable_candidates",
]
