"""The interface of routing policies."""

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple, Protocol

from ..choosing._backend import Backend

__all__ = [
    "KEPT_SHARE",
    "TYPICAL_PROMPT_TOKENS",
    "RoutingContext",
    "RoutingPolicy",
    "reachable_candidates",
    "usable_candidates",
    "zone_distance",
]

# The share of cases in which the server that is preferred for a prompt's shared
# parts still holds them.
KEPT_SHARE = 0.8
# Until requests have shown how many tokens of a prompt are read.
TYPICAL_PROMPT_TOKENS = 2_500.0


class RoutingContext(NamedTuple):
    """What a choice depends on besides the candidates.

    Parameters
    ----------
    key : str
        What is to be served.
    prefix_hash : int
        Hash of the head of the prompt; 0 when there is none.
    zone : str
        Availability zone of the entry.
    typical_load : float
        Other entries' requests on a server, as a share of its knee.
    view_is_stale : bool
        Whether the keepers have been silent for too long.
    tried : collection of str
        Ids of the servers that this request was sent to before.
    n_shared_tokens : int
        Prompt tokens in parts that other requests share.
    n_bytes : int
        Length of the request's body, which goes to the server.
    typical_tokens : float
        Prompt tokens that a server reads for a request of which only the count is
        known.
    """

    key: str
    prefix_hash: int = 0
    zone: str = ""
    typical_load: float = 0.0
    is_view_stale: bool = False
    tried: Collection[str] = ()
    n_shared_tokens: int = 0
    n_bytes: int = 0
    typical_tokens: float = TYPICAL_PROMPT_TOKENS


class RoutingPolicy(Protocol):
    """Chooses a backend server."""

    def choose(
        self,
        candidates: Sequence[Backend],
        context: RoutingContext,
        rng: random.Random,
        now_ms: float,
    ) -> Backend | None:
        """Return the chosen server; None when no candidate is usable."""


def usable_candidates(
    candidates: Sequence[Backend], context: RoutingContext, now_ms: float
) -> list[Backend]:
    """Return the candidates that may get the request now."""
    return [
        backend
        for backend in candidates
        if backend.view.server_id not in context.tried
        and backend.is_usable(context.key, now_ms)
    ]


def reachable_candidates(
    candidates: Sequence[Backend], context: RoutingContext, now_ms: float
) -> list[Backend]:
    """Return the usable candidates, or without any those that are reachable.

    When every server has been ejected for its errors, they all count again: what
    they have in common is the service's own fault, and one of them could not take
    the load of all.
    """
    usable = usable_candidates(candidates, context, now_ms)
    if usable:
        return usable
    return [
        backend
        for backend in candidates
        if backend.view.server_id not in context.tried
        and backend.is_eligible(context.key, now_ms)
    ]


def zone_distance(zone: str, other: str) -> int:
    """Return 0 in one zone, 1 within a region (``region/zone``), otherwise 2."""
    if zone == other:
        return 0
    region, slash, _ = zone.partition("/")
    other_region, other_slash, _ = other.partition("/")
    same_region = not slash or not other_slash or region == other_region
    return 1 if same_region else 2
