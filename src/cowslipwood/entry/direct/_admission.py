"""Decides whether a streaming request is sent to a server that has a queue."""

from collections.abc import Iterable
from typing import NamedTuple

from ..choosing._backend import Backend
from ..routing import RoutingContext, expected_queue_ms
from ._request import RoutedRequest

__all__ = ["AdmissionDecision", "compute_max_wait_ms", "decide_admission"]

# Longest expected wait, as a multiple of the route's latency target. The estimate of
# the wait is accurate to about this factor. A request admitted beyond it would miss
# its target and delay the requests queued behind it.
MAX_WAIT_TARGET_FACTOR = 2.0
# Longest expected wait, as a share of the time for which the caller still waits. It
# is the only limit on a request that has already missed its latency target, because
# servers queue such a request behind those that can still meet theirs.
MAX_WAIT_PATIENCE_SHARE = 0.8
# Shortest time, in milliseconds, after which a refused caller is told to come back.
# A queue takes about this long to change; a caller that comes back sooner finds the
# same queue.
MIN_RETRY_AFTER_MS = 300.0
# Longest time, in milliseconds, after which a refused caller is told to come back.
MAX_RETRY_AFTER_MS = 3_000.0


class AdmissionDecision(NamedTuple):
    """The server that gets a request, or when the caller should come back.

    Parameters
    ----------
    backend : Backend or None
        None when the queue of every server is too long.
    wait_ms : float
        Expected wait at `backend`, or at the server with the shortest queue when
        `backend` is None.
    retry_after_ms : float
        Time until a server is likely to have room; 0 when `backend` is given.
    """

    backend: Backend | None
    wait_ms: float
    retry_after_ms: float = 0.0


def compute_max_wait_ms(request: RoutedRequest, now_ms: float) -> float:
    """Return how long a request may wait at a server for its first event."""
    left_ms = MAX_WAIT_PATIENCE_SHARE * (request.first_event_by_ms - now_ms)
    target_ms = request.route.target_latency_ms
    if not target_ms or now_ms - request.arrived_ms > target_ms:
        return left_ms
    return min(left_ms, MAX_WAIT_TARGET_FACTOR * target_ms)


def decide_admission(
    request: RoutedRequest,
    chosen: Backend,
    candidates: Iterable[Backend],
    urgency_rank: int,
    context: RoutingContext,
    now_ms: float,
) -> AdmissionDecision:
    """Return the chosen server or another one whose queue is short enough.

    Parameters
    ----------
    request : RoutedRequest
    chosen : Backend
        Server chosen by the routing policy.
    candidates : iterable of Backend
        All servers that can serve the request.
    urgency_rank : int
        Urgency of the request, 0 first.
    context : RoutingContext
    now_ms : float

    Returns
    -------
    AdmissionDecision
        Names the chosen server if its expected wait is short enough, else the
        candidate with the shortest queue if that one's is, else no server.
    """
    max_wait_ms = compute_max_wait_ms(request, now_ms)
    wait_ms = expected_queue_ms(chosen, urgency_rank, context, now_ms)
    if wait_ms <= max_wait_ms:
        return AdmissionDecision(chosen, wait_ms)
    waits = [
        (expected_queue_ms(candidate, urgency_rank, context, now_ms), candidate)
        for candidate in candidates
    ]
    wait_ms, shortest = min(waits, key=lambda pair: pair[0], default=(wait_ms, chosen))
    if wait_ms <= max_wait_ms:
        return AdmissionDecision(shortest, wait_ms)
    retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
    return AdmissionDecision(None, wait_ms, retry_after_ms)
