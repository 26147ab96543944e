"""What one more request at a server costs, as a time to wait."""

from ..choosing._backend import Backend
from ._policy import KEPT_SHARE, RoutingContext, zone_distance

__all__ = ["expected_wait_ms", "kept_ms"]

# Prompt tokens that an engine reads in a millisecond. Engines do not tell it; a
# wrong figure only shifts how queue, distance and kept prompts are weighed.
PREFILL_TOKENS_PER_MS = 30.0
# Tokens of a prompt that another entry sent, of which only the count is known.
TYPICAL_PROMPT_TOKENS = 2_500.0
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
ERROR_FACTOR = 6.0
# In milliseconds of wait, so that errors weigh on an idle server too.
ERROR_BASE_MS = 40.0


def expected_wait_ms(backend: Backend, context: RoutingContext, now_ms: float) -> float:
    """Return the cost of one more request at a server, as a time."""
    load = backend.load(context.typical_load, now_ms)
    wait_ms = backend.wait_ms(load, now_ms)
    wait_ms += max(RUNNING_MS, FULL_BATCH_MS / backend.knee) * (load + 1)
    own_tokens = backend.n_pending_tokens
    others_tokens = max(
        0.0, backend.queued(now_ms) * TYPICAL_PROMPT_TOKENS - own_tokens
    )
    if context.n_shared_tokens or own_tokens:
        wait_ms += (own_tokens + others_tokens) / PREFILL_TOKENS_PER_MS
    zone_ms = ZONE_MS + ZONE_MS_PER_KB * context.n_bytes / 1000
    wait_ms += zone_ms * zone_distance(context.zone, backend.view.zone)
    error_share = backend.health.error_share(now_ms)
    return wait_ms + ERROR_FACTOR * error_share * (wait_ms + ERROR_BASE_MS)


def kept_ms(context: RoutingContext) -> float:
    """Return the time that a server saves which keeps the prompt's shared parts."""
    return KEPT_SHARE * context.n_shared_tokens / PREFILL_TOKENS_PER_MS
