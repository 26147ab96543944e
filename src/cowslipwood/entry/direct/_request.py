"""Holds a caller's request with its route; computes its urgency and limits."""

from typing import NamedTuple

from ...listing import make_holding_key
from ...routes import Customer, Route, RouteKind
from ..routing import PREFIX_CACHE_HIT_SHARE
from ._headers import RequestFacts

__all__ = [
    "RoutedRequest",
    "compute_urgency_rank",
    "estimate_tokens_to_read",
    "missed_target",
]

# Rank of the requests that servers take last; ranks are 0 to 9.
LEAST_URGENT_RANK = 9
# Number of ranks by which a request that has missed its target is moved back. It is
# larger than the number of ranks that operators use for their routes.
LATE_RANK_PENALTY = 4
# Least time, in milliseconds, for which the caller of a stream waits for the first
# event. Callers leave after the longest of this time, `PATIENCE_TARGET_FACTOR` latency
# targets and `PATIENCE_GAP_FACTOR` gap targets without an event.
MIN_PATIENCE_MS = 2_000.0
# Time for which the caller of a stream waits for the first event, as a multiple of the
# route's latency target.
PATIENCE_TARGET_FACTOR = 4.0
# Time for which the caller of a stream waits for the first event, as a multiple of the
# route's gap target.
PATIENCE_GAP_FACTOR = 8.0


class RoutedRequest(NamedTuple):
    """A caller's request with its route.

    Parameters
    ----------
    route : Route
        With the priority of the customer, if it has one.
    service : str
        Service of the route that was picked for this request.
    method, target : bytes
    headers : list of tuple of bytes
    body : bytes
    facts : RequestFacts
    arrived_ms, answer_by_ms : float
        When the request arrived, and when its answer must be complete, on the
        boot-time clock.
    customer : Customer or None
        The customer whose key the request has; None without a key.
    """

    route: Route
    service: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    facts: RequestFacts
    arrived_ms: float
    answer_by_ms: float
    customer: Customer | None = None

    @property
    def first_event_by_ms(self) -> float:
        """When the caller leaves if the answer has not started."""
        if self.route.kind is not RouteKind.STREAMING:
            return self.answer_by_ms
        patience_ms = max(
            MIN_PATIENCE_MS,
            PATIENCE_TARGET_FACTOR * self.route.target_latency_ms,
            PATIENCE_GAP_FACTOR * self.route.gap_target_ms,
        )
        return min(self.answer_by_ms, self.arrived_ms + patience_ms)

    @property
    def key(self) -> str:
        """Key of the model, adapter or service that a server must hold."""
        return make_holding_key(self.service, self.facts.model, self.facts.adapter)


def compute_urgency_rank(route: Route, waited_ms: float) -> int:
    """Return the rank at which a server takes a request, 0 first and 9 last.

    Requests that have missed their target rank behind those that can still meet it.
    """
    is_late = 0 < route.target_latency_ms < waited_ms
    return min(
        LEAST_URGENT_RANK, route.priority + (LATE_RANK_PENALTY if is_late else 0)
    )


def missed_target(route: Route, first_ms: float, gap_ms: float) -> bool:
    """Return whether a stream's first event or longest gap missed its target."""
    return 0 < route.target_latency_ms < first_ms or 0 < route.gap_target_ms < gap_ms


def estimate_tokens_to_read(facts: RequestFacts) -> int:
    """Return the prompt tokens that a server is likely to have to read.

    Shared parts that the server already holds cost no time. A request queued behind
    another one with the same parts therefore waits for less than a whole prompt.
    """
    return facts.n_prompt_tokens - round(PREFIX_CACHE_HIT_SHARE * facts.n_shared_tokens)
