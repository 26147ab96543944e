"""The interface of routing policies and the filters that they share."""

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple, Protocol

from ..choosing._backend import Backend

__all__ = [
    "PREFIX_CACHE_HIT_SHARE",
    "TYPICAL_PROMPT_TOKENS",
    "RoutingContext",
    "RoutingPolicy",
    "usable_or_ejected_candidates",
    "usable_candidates",
    "zone_distance",
]

# Share of requests for which the preferred server still has the prompt's shared
# parts in its prefix cache.
PREFIX_CACHE_HIT_SHARE = 0.8
# Prompt tokens that a server is assumed to read for a request, until requests have
# shown the number.
TYPICAL_PROMPT_TOKENS = 2_500.0


class RoutingContext(NamedTuple):
    """The inputs of a routing decision besides the candidates.

    Parameters
    ----------
    key : str
        Key under which servers list the model or service that the request needs.
    prefix_hash : int
        Hash of the beginning of the prompt; 0 when there is none.
    zone : str
        Availability zone of the entry.
    typical_others_load_share : float
        Other entries' requests on a server, as a share of its knee.
    is_view_stale : bool
        Whether there has been no message from the keepers for too long.
    tried_ids : collection of str
        Ids of the servers that this request was sent to before.
    n_shared_tokens : int
        Prompt tokens in parts that other requests share.
    body_bytes : int
        Length of the request's body, which is sent to the server.
    typical_prompt_tokens : float
        Prompt tokens that a server is assumed to read for each queued request that
        it reports, as reports contain only the number of requests.
    n_tokens_to_read : int
        Prompt tokens of this request that a server is likely to have to read.
    """

    key: str
    prefix_hash: int = 0
    zone: str = ""
    typical_others_load_share: float = 0.0
    is_view_stale: bool = False
    tried_ids: Collection[str] = ()
    n_shared_tokens: int = 0
    body_bytes: int = 0
    typical_prompt_tokens: float = TYPICAL_PROMPT_TOKENS
    n_tokens_to_read: int = 0


class RoutingPolicy(Protocol):
    """Chooses a backend server for a request."""

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
        if backend.view.server_id not in context.tried_ids
        and backend.is_usable(context.key, now_ms)
    ]


def usable_or_ejected_candidates(
    candidates: Sequence[Backend], context: RoutingContext, now_ms: float
) -> list[Backend]:
    """Return the usable candidates, or all eligible ones when none is usable.

    When every server has been ejected for its errors, all of them are candidates
    again: errors on all servers come from the service itself, and a single server
    could not take the load of all.
    """
    usable = usable_candidates(candidates, context, now_ms)
    if usable:
        return usable
    return [
        backend
        for backend in candidates
        if backend.view.server_id not in context.tried_ids
        and backend.is_eligible(context.key, now_ms)
    ]


def zone_distance(zone: str, other: str) -> int:
    """Return the distance of two zones that are named ``region/zone`` or ``zone``.

    It is 0 for the same zone, 2 for different regions, and otherwise 1.
    """
    if zone == other:
        return 0
    region, slash, _ = zone.partition("/")
    other_region, other_slash, _ = other.partition("/")
    same_region = not slash or not other_slash or region == other_region
    return 1 if same_region else 2
