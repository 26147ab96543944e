"""Estimates the cost of sending one more request to a server, in milliseconds."""

from ...kernel.messages import N_QUEUED_WHEN_DOWN
from ..choosing._backend import Backend
from ._policy import PREFIX_CACHE_HIT_SHARE, RoutingContext, zone_distance

__all__ = ["expected_queue_ms", "prefix_cache_saving_ms", "request_cost_ms"]

# Prompt tokens that an engine reads in a millisecond. Engines do not report it. A
# wrong figure changes how queues, zone distances and cached prefixes are weighed
# against each other and, through `expected_queue_ms`, which streams are refused.
PREFILL_TOKENS_PER_MS = 30.0
# Cost in milliseconds of a batch with `knee_in_flight` requests: a larger batch
# delays every token.
FULL_BATCH_COST_MS = 150.0
# Least cost in milliseconds for each request that the server already holds: long
# prompts are read between the tokens of other requests, and all streams of the batch
# last longer.
MIN_MS_PER_RUNNING_REQUEST = 12.0
# Cost in milliseconds for each unit of zone distance.
ZONE_COST_MS = 20.0
# Cost in milliseconds for each unit of zone distance and each kilobyte of the body:
# traffic between zones is expensive, whereas a short wait costs nothing.
ZONE_COST_MS_PER_KB = 4.0
# Share of the KV cache above which a server costs more. Up to this share, a few long
# prompts still fit and cached prefixes are evicted for them. Above it, engines preempt
# requests and read their prompts again.
KV_CACHE_PRESSURE_SHARE = 0.6
# Cost in milliseconds of a server whose KV cache is full: a preempted request waits
# until other requests end.
FULL_KV_CACHE_WAIT_MS = 1_500.0
# Cost in milliseconds of a server all of whose streams are late: engines differ in
# speed, and the slower ones pause at loads that the others serve without pauses.
LATE_STREAMS_COST_MS = 250.0
# Factor by which the share of errors multiplies the cost before it is added.
ERROR_COST_FACTOR = 6.0
# Cost in milliseconds to which errors apply on an idle server as well.
ERROR_BASE_COST_MS = 40.0


def request_cost_ms(backend: Backend, context: RoutingContext, now_ms: float) -> float:
    """Return the cost of sending one more request to a server."""
    load = backend.expected_load(context.typical_others_load_share, now_ms)
    cost_ms = backend.queue_wait_ms(load, now_ms)
    cost_ms += max(
        MIN_MS_PER_RUNNING_REQUEST, FULL_BATCH_COST_MS / backend.knee_in_flight
    ) * (load + 1)
    if context.n_shared_tokens or backend.n_pending_tokens:
        cost_ms += (
            expected_tokens_ahead(backend, context.typical_prompt_tokens, now_ms)
            / PREFILL_TOKENS_PER_MS
        )
    own_read_ms = context.n_tokens_to_read / PREFILL_TOKENS_PER_MS
    cost_ms += backend.slowdown.compute_extra_ms(cost_ms + own_read_ms, now_ms)
    cost_ms += kv_cache_wait_ms(backend)
    cost_ms += LATE_STREAMS_COST_MS * backend.late_share(now_ms)
    zone_cost_ms = ZONE_COST_MS + ZONE_COST_MS_PER_KB * context.body_bytes / 1000
    cost_ms += zone_cost_ms * zone_distance(context.zone, backend.view.zone)
    error_share = backend.health.error_share(now_ms)
    return cost_ms + ERROR_COST_FACTOR * error_share * (cost_ms + ERROR_BASE_COST_MS)


def prefix_cache_saving_ms(context: RoutingContext) -> float:
    """Return the expected time that the preferred server's prefix cache saves."""
    return PREFIX_CACHE_HIT_SHARE * context.n_shared_tokens / PREFILL_TOKENS_PER_MS


def kv_cache_wait_ms(backend: Backend) -> float:
    """Return the expected wait for KV cache memory at a server."""
    return (
        FULL_KV_CACHE_WAIT_MS
        * max(0.0, backend.kv_share - KV_CACHE_PRESSURE_SHARE)
        / (1.0 - KV_CACHE_PRESSURE_SHARE)
    )


def expected_tokens_ahead(
    backend: Backend, typical_prompt_tokens: float, now_ms: float
) -> float:
    """Return the prompt tokens that a server is likely to read before a new request's.

    Tokens that this entry sent are counted. The queue that the server reported adds to
    them as far as it is longer.
    """
    n_own_tokens = backend.n_pending_tokens
    n_reported_tokens = backend.expected_queued(now_ms) * typical_prompt_tokens
    return n_own_tokens + max(0.0, n_reported_tokens - n_own_tokens)


def expected_queue_ms(
    backend: Backend, urgency_rank: int, context: RoutingContext, now_ms: float
) -> float:
    """Return the time that a request is likely to queue at a server.

    A request waits until the prompts before its own have been read, for a place when
    all are occupied, and for KV cache memory. It waits at least as long as the oldest
    request of this entry has already waited there at the same or a higher urgency.

    Parameters
    ----------
    backend : Backend
    urgency_rank : int
        Urgency of the request; 0 is the most urgent.
    context : RoutingContext
    now_ms : float
    """
    n_tokens = expected_tokens_ahead(backend, context.typical_prompt_tokens, now_ms)
    load = backend.expected_load(context.typical_others_load_share, now_ms)
    ahead_ms = max(
        n_tokens / PREFILL_TOKENS_PER_MS, backend.queue_wait_ms(load, now_ms)
    )
    ahead_ms += backend.slowdown.compute_extra_ms(ahead_ms, now_ms)
    if backend.report.n_queued >= N_QUEUED_WHEN_DOWN:
        ahead_ms = 0.0  # The server may be down; a request shows whether it is.
    return max(
        ahead_ms + kv_cache_wait_ms(backend),
        backend.oldest_pending_age_ms(urgency_rank, now_ms),
    )
