"""Decides whether a stream is sent to a server where others wait already."""

from collections.abc import Iterable
from typing import NamedTuple

from ..choosing._backend import Backend
from ..routing import RoutingContext, expected_queue_ms
from ._request import RoutedRequest

__all__ = ["Admission", "admission", "wait_limit_ms"]

# Of a route's target: the wait is known to about this factor, and what is let in
# beyond it makes those behind it late without being in time itself.
TARGETS = 2.0
# Of the time for which a caller waits, for what has missed its target already and
# stands behind what has not.
PATIENCE_SHARE = 0.8
# A queue changes within this time; callers that come back sooner find the same one.
LEAST_RETURN_MS = 300.0
MOST_RETURN_MS = 3_000.0


class Admission(NamedTuple):
    """Where a request goes, or when its caller is to come back.

    Parameters
    ----------
    backend : Backend or None
        None when every server's queue is too long.
    wait_ms : float
        Expected at the server, or at the one with the shortest queue.
    retry_after_ms : float
        When a place is likely.
    """

    backend: Backend | None
    wait_ms: float
    retry_after_ms: float = 0.0


def wait_limit_ms(request: RoutedRequest, now_ms: float) -> float:
    """Return how long a request may wait at a server for its first event."""
    left_ms = PATIENCE_SHARE * (request.first_by_ms - now_ms)
    target_ms = request.route.target_latency_ms
    if not target_ms or now_ms - request.arrived_ms > target_ms:
        return left_ms
    return min(left_ms, TARGETS * target_ms)


def admission(
    request: RoutedRequest,
    chosen: Backend,
    others: Iterable[Backend],
    rank: int,
    context: RoutingContext,
    now_ms: float,
) -> Admission:
    """Return whether the chosen server, or another, can begin in time.

    Parameters
    ----------
    request : RoutedRequest
    chosen : Backend
        By the routing policy.
    others : iterable of Backend
        All that could take the request.
    rank : int
        How urgent the request is, 0 first.
    context : RoutingContext
    now_ms : float
    """
    limit_ms = wait_limit_ms(request, now_ms)
    wait_ms = expected_queue_ms(chosen, rank, context, now_ms)
    if wait_ms <= limit_ms:
        return Admission(chosen, wait_ms)
    waits = [(expected_queue_ms(each, rank, context, now_ms), each) for each in others]
    wait_ms, least = min(waits, key=lambda pair: pair[0], default=(wait_ms, chosen))
    if wait_ms <= limit_ms:
        return Admission(least, wait_ms)
    retry_after_ms = min(MOST_RETURN_MS, max(LEAST_RETURN_MS, wait_ms))
    return Admission(None, wait_ms, retry_after_ms)
