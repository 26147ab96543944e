"""Predicts how many requests a server answers within their limits."""

import functools

__all__ = ["DEFAULT_KNEE", "attained"]

DEFAULT_KNEE = 16
_STEPS_PER_REQUEST = 20


def attained(offered: float, knee_in_flight: int) -> float:
    """Return the requests in flight that are served within their limits.

    Requests that would be served beyond the knee are refused at once by
    admission, so this is the carried load of a loss system (Erlang's B formula).

    Parameters
    ----------
    offered : float
        Mean number of requests in flight that callers offer.
    knee_in_flight : int
        Requests served at full speed at once; 0 when unknown.

    Returns
    -------
    float
        From 0 to `offered`, and under the knee.
    """
    if offered <= 0:
        return 0.0
    knee = knee_in_flight or DEFAULT_KNEE
    steps = offered * _STEPS_PER_REQUEST
    low = int(steps)
    at_low = _carried(low, knee)
    return at_low + (steps - low) * (_carried(low + 1, knee) - at_low)


@functools.lru_cache(maxsize=65_536)
def _carried(n_steps: int, knee: int) -> float:
    """Return the carried load at a multiple of the step of the table."""
    offered = n_steps / _STEPS_PER_REQUEST
    if not offered:
        return 0.0
    inverse = 1.0
    for n_servers in range(1, knee + 1):
        inverse = 1.0 + inverse * n_servers / offered
    return offered * (1.0 - 1.0 / inverse)
