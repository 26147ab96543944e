"""Predicts how many requests a server answers within their latency limits."""

import functools

__all__ = ["DEFAULT_KNEE_IN_FLIGHT", "attained_in_flight"]

# Requests that a server is assumed to serve at full speed at once (its knee) when its
# knee is unknown.
DEFAULT_KNEE_IN_FLIGHT = 16
# Points per request of offered load at which the carried load is computed; between two
# points the carried load is interpolated.
N_STEPS_PER_REQUEST = 20


def attained_in_flight(offered_in_flight: float, knee_in_flight: int) -> float:
    """Return the requests in flight that are served within their limits.

    Admission control refuses the requests that would exceed the knee at once, so the
    result is the carried load of a loss system (Erlang B formula).

    Parameters
    ----------
    offered_in_flight : float
        Mean number of requests in flight that callers offer.
    knee_in_flight : int
        Requests served at full speed at once; 0 when unknown.

    Returns
    -------
    float
        From 0 to `offered_in_flight`, and below the knee.
    """
    if offered_in_flight <= 0:
        return 0.0
    knee = knee_in_flight or DEFAULT_KNEE_IN_FLIGHT
    n_steps = offered_in_flight * N_STEPS_PER_REQUEST
    n_low_steps = int(n_steps)
    carried_at_low = _carried_load(n_low_steps, knee)
    return carried_at_low + (n_steps - n_low_steps) * (
        _carried_load(n_low_steps + 1, knee) - carried_at_low
    )


@functools.lru_cache(maxsize=65_536)
def _carried_load(n_steps: int, knee: int) -> float:
    """Return the carried load, in requests, for an offered load in table steps."""
    offered_in_flight = n_steps / N_STEPS_PER_REQUEST
    if not offered_in_flight:
        return 0.0
    inverse_blocking = 1.0
    for n_places in range(1, knee + 1):
        inverse_blocking = 1.0 + inverse_blocking * n_places / offered_in_flight
    return offered_in_flight * (1.0 - 1.0 / inverse_blocking)
