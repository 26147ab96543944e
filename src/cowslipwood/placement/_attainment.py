"""Predicts how many requests a server answers within their limits."""

import math

__all__ = ["DEFAULT_KNEE", "attained"]

DEFAULT_KNEE = 16


def attained(offered: float, knee_in_flight: int) -> float:
    """Return the requests in flight that are served at full speed.

    The number in flight is taken as Poisson with the offered mean; the share at
    full speed is the chance that it stays within the knee.

    Parameters
    ----------
    offered : float
        Mean number of requests in flight.
    knee_in_flight : int
        Requests served at full speed at once; 0 when unknown.

    Returns
    -------
    float
        From 0 to `offered`.
    """
    if offered <= 0:
        return 0.0
    knee = knee_in_flight or DEFAULT_KNEE
    spread = math.sqrt(2.0 * offered)
    return offered * 0.5 * (1.0 + math.erf((knee + 0.5 - offered) / spread))
