"""How much longer than usual work takes at a server, as the server reported it."""

import math

__all__ = ["Slowdown"]

# Percentage that stands for the usual time.
USUAL_PERCENT = 100.0
# Age, in milliseconds, at which half of a reported slowdown is expected to be left.
# Servers share their machines, and the value changes many times per second. The figure
# is assumed, not measured.
SLOWDOWN_HALF_LIFE_MS = 300.0
# Limits of the percentage that is used. Beyond them a report says no more about the
# work of the next moments, and one report must not rule a server out for long.
MIN_USED_PERCENT = 50.0
MAX_USED_PERCENT = 400.0
# Time, in milliseconds, in which a slowdown adds its present share once if it decays
# to nothing.
_DECAY_MS = SLOWDOWN_HALF_LIFE_MS / math.log(2.0)


class Slowdown:
    """The last reported slowdown of one server, and its age.

    Servers that report none always take the usual time.

    Attributes
    ----------
    is_reported : bool
        Whether the server's last answer with a load report contained a slowdown.
    """

    __slots__ = ("_percent", "_reported_at_ms", "is_reported")

    def __init__(self):
        self.is_reported = False
        self._percent = USUAL_PERCENT
        self._reported_at_ms = 0.0

    def record(self, percent: float | None, now_ms: float) -> None:
        """Record the slowdown of a report; None if the report contained none."""
        self.is_reported = percent is not None
        self._percent = USUAL_PERCENT if percent is None else percent
        self._reported_at_ms = now_ms

    def compute_percent(self, now_ms: float) -> float:
        """Return the time that work is expected to take now, in percent of the usual.

        It approaches 100 as the report ages.
        """
        if not self.is_reported:
            return USUAL_PERCENT
        used_percent = min(MAX_USED_PERCENT, max(MIN_USED_PERCENT, self._percent))
        age_ms = max(0.0, now_ms - self._reported_at_ms)
        weight = 0.5 ** (age_ms / SLOWDOWN_HALF_LIFE_MS)
        return USUAL_PERCENT + weight * (used_percent - USUAL_PERCENT)

    def compute_extra_ms(self, work_ms: float, now_ms: float) -> float:
        """Return by how much longer work takes that is begun now.

        The slowdown goes on to decay while the work lasts, so that long work is delayed
        by a bounded time.

        Parameters
        ----------
        work_ms : float
            Time that the work usually takes.
        now_ms : float

        Returns
        -------
        float
            Below 0 if the server is faster than usual.
        """
        if not self.is_reported:
            return 0.0
        excess = self.compute_percent(now_ms) / USUAL_PERCENT - 1.0
        return excess * _DECAY_MS * -math.expm1(-work_ms / _DECAY_MS)
