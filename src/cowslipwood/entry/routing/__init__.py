"""Routing policies: which of the servers that can answer gets a request."""

from . import (  # noqa: F401
    least_cost,
    least_reported_load,
    random_choice,
    sampled_cost,
    sampled_load,
)
from ._policy import KEPT_SHARE, RoutingContext, RoutingPolicy, usable_candidates

__all__ = ["KEPT_SHARE", "RoutingContext", "RoutingPolicy", "usable_candidates"]
