"""What one more request at a server costs, as a time to wait."""

from ...kernel.messages import LOST_QUEUE
from ..choosing._backend import Backend
from ._policy import KEPT_SHARE, RoutingContext, zone_distance

__all__ = ["expected_wait_ms", "kept_ms", "queued_ms"]

# Prompt tokens that an engine reads in a millisecond. Engines do not tell it; a
# wrong figure only shifts how queue, distance and kept prompts are weighed.
PREFILL_TOKENS_PER_MS = 30.0
# In milliseconds, for a server that is as full as it may be at full speed: a
# fuller batch gives every token later.
FULL_BATCH_MS = 150.0
# In milliseconds, for each request that runs already, at least: long prompts are
# read between the tokens of the others, and all streams of the batch last longer.
RUNNING_MS = 12.0
# In milliseconds of wait: what a zone's distance is worth, and each kilobyte that
# is sent there; bytes between zones are dear, and a short wait costs nothing.
ZONE_MS = 20.0
ZONE_MS_PER_KB = 4.0
# Of the memory for tokens: up to this share a few long prompts still fit, and kept
# parts of prompts yield; beyond it engines put requests back and read them again.
SPARE_SHARE = 0.6
# In milliseconds, for a server whose memory for tokens is full: a request that is put
# back waits for others to end.
MEMORY_MS = 1_500.0
# In milliseconds, for a server all of whose streams are late: engines differ in speed,
# and the slower ones pause at loads that the others carry.
LATE_MS = 250.0
ERROR_FACTOR = 6.0
# In milliseconds of wait, so that errors weigh on an idle server too.
ERROR_BASE_MS = 40.0


def expected_wait_ms(backend: Backend, context: RoutingContext, now_ms: float) -> float:
    """Return the cost of one more request at a server, as a time."""
    load = backend.expected_load(context.typical_load, now_ms)
    wait_ms = backend.queue_wait_ms(load, now_ms)
    wait_ms += max(RUNNING_MS, FULL_BATCH_MS / backend.knee_in_flight) * (load + 1)
    if context.n_shared_tokens or backend.n_pending_tokens:
        wait_ms += tokens_ahead(backend, context.typical_tokens, now_ms) / (
            PREFILL_TOKENS_PER_MS
        )
    wait_ms += memory_ms(backend)
    wait_ms += LATE_MS * backend.late_share(now_ms)
    zone_ms = ZONE_MS + ZONE_MS_PER_KB * context.n_bytes / 1000
    wait_ms += zone_ms * zone_distance(context.zone, backend.view.zone)
    error_share = backend.health.error_share(now_ms)
    return wait_ms + ERROR_FACTOR * error_share * (wait_ms + ERROR_BASE_MS)


def kept_ms(context: RoutingContext) -> float:
    """Return the time that a server saves which keeps the prompt's shared parts."""
    return KEPT_SHARE * context.n_shared_tokens / PREFILL_TOKENS_PER_MS


def memory_ms(backend: Backend) -> float:
    """Return what requests wait for at a server whose memory for tokens runs full."""
    return MEMORY_MS * max(0.0, backend.kv_share - SPARE_SHARE) / (1.0 - SPARE_SHARE)


def tokens_ahead(backend: Backend, typical_tokens: float, now_ms: float) -> float:
    """Return the prompt tokens that a server is likely to read before others."""
    own_tokens = backend.n_pending_tokens
    reported = backend.expected_queued(now_ms) * typical_tokens
    return own_tokens + max(0.0, reported - own_tokens)


def queued_ms(
    backend: Backend, rank: int, context: RoutingContext, now_ms: float
) -> float:
    """Return the time that a request is likely to queue at a server.

    It waits for prompts to be read before its own, and for a place where all are
    taken. Requests of this entry that are as urgent and still wait there show the
    least that one more will; the queue that was reported shows the rest.

    Parameters
    ----------
    backend : Backend
    rank : int
        How urgent the request is, 0 first.
    context : RoutingContext
    now_ms : float
    """
    n_tokens = tokens_ahead(backend, context.typical_tokens, now_ms)
    load = backend.expected_load(context.typical_load, now_ms)
    ahead_ms = max(
        n_tokens / PREFILL_TOKENS_PER_MS, backend.queue_wait_ms(load, now_ms)
    )
    if backend.report.n_queued >= LOST_QUEUE:
        ahead_ms = 0.0  # it may be down; sending to it shows whether it is
    return max(
        ahead_ms + memory_ms(backend), backend.oldest_pending_age_ms(rank, now_ms)
    )
