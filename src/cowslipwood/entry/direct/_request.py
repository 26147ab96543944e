"""A caller's request with its route, and what follows from it for servers."""

from typing import NamedTuple

from ...listing import holding_key
from ...routes import Route, RouteKind
from ..routing import PREFIX_CACHE_HIT_SHARE
from ._headers import RequestFacts

__all__ = ["RoutedRequest", "is_late", "tokens_to_read", "urgency"]

LEAST_URGENT = 9
# More than the ranks that operators use for their routes.
LATE_RANKS = 4
# Callers of a stream leave when they have waited for its next event for the longest
# of these: a time, multiples of the target and of the longest pause in time.
LEAST_PATIENCE_MS = 2_000.0
PATIENCE_TARGETS = 4.0
PATIENCE_PAUSES = 8.0


class RoutedRequest(NamedTuple):
    """A caller's request with its route.

    Parameters
    ----------
    route : Route
    service : str
    method, target : bytes
    headers : list of tuple of bytes
    body : bytes
    facts : RequestFacts
    arrived_ms, answer_by_ms : float
        On the boot-time clock.
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

    @property
    def first_by_ms(self) -> float:
        """When the caller has left unless the answer has begun."""
        if self.route.kind is not RouteKind.STREAMING:
            return self.answer_by_ms
        patience_ms = max(
            LEAST_PATIENCE_MS,
            PATIENCE_TARGETS * self.route.target_latency_ms,
            PATIENCE_PAUSES * self.route.gap_target_ms,
        )
        return min(self.answer_by_ms, self.arrived_ms + patience_ms)

    @property
    def key(self) -> str:
        """What a server has to hold."""
        return holding_key(self.service, self.facts.model, self.facts.adapter)


def urgency(route: Route, waited_ms: float) -> int:
    """Return the rank at which a server takes a request, 0 first and 9 last.

    What has missed its target already stands behind what can still meet it.
    """
    is_late = 0 < route.target_latency_ms < waited_ms
    return min(LEAST_URGENT, route.priority + (LATE_RANKS if is_late else 0))


def is_late(route: Route, first_ms: float, pause_ms: float) -> bool:
    """Return whether a stream's first event or longest pause missed its target."""
    return 0 < route.target_latency_ms < first_ms or 0 < route.gap_target_ms < pause_ms


def tokens_to_read(facts: RequestFacts) -> int:
    """Return the prompt tokens that a server is likely to have to read.

    What it holds of the shared parts costs no time, so a request behind another of
    the same parts waits for less than the whole prompt.
    """
    return facts.n_prompt_tokens - round(PREFIX_CACHE_HIT_SHARE * facts.n_shared_tokens)
