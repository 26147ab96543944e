"""How much longer than usual work takes at a server, as the server reported it."""

import math
import statistics
from collections import deque

__all__ = ["Slowdown"]

# Percentage that stands for the usual time.
USUAL_PERCENT = 100.0
# Age, in milliseconds, at which half of the difference between the last report and the
# server's own level is expected to be left. Other work on a shared machine slowed
# servers down for 100 to 300 ms at a time in a trial.
SLOWDOWN_HALF_LIFE_MS = 150.0
# Limits of the percentage that is used. Beyond them a report says no more about the
# work of the next moments, and one report must not rule a server out for long.
MIN_USED_PERCENT = 25.0
MAX_USED_PERCENT = 400.0
# Number of reports whose median is the server's level, and the least time between two
# of them, in milliseconds. They cover more than one slowdown, so that slowdowns that
# take a small part of the time do not change the median.
N_LEVEL_REPORTS = 9
LEVEL_INTERVAL_MS = 200.0
# Number of reports of the usual time that a server is assumed to have sent before its
# first one, which may come during a slowdown.
N_ASSUMED_REPORTS = 2
# Time, in milliseconds, in which a slowdown adds its present share once if it decays
# to nothing.
_DECAY_MS = SLOWDOWN_HALF_LIFE_MS / math.log(2.0)


class Slowdown:
    """The speed of one server: its lasting level, and the last report with its age.

    Machines differ in speed for good, and other work slows them down for moments.
    Servers that report no slowdown always take the usual time.

    Attributes
    ----------
    is_reported : bool
        Whether the server's last answer with a load report contained a slowdown.
    level_percent : float
        Time that work takes there apart from momentary slowdowns, in percent of the
        usual time.
    """

    __slots__ = (
        "_level_reports",
        "_percent",
        "_reported_at_ms",
        "_sampled_at_ms",
        "is_reported",
        "level_percent",
    )

    def __init__(self):
        self.is_reported = False
        self.level_percent = USUAL_PERCENT
        self._percent = USUAL_PERCENT
        self._level_reports = deque([USUAL_PERCENT] * N_ASSUMED_REPORTS)
        self._reported_at_ms = 0.0
        self._sampled_at_ms = -math.inf

    def record(self, percent: float | None, now_ms: float) -> None:
        """Record the slowdown of a report; None if the report contained none."""
        self.is_reported = percent is not None
        if percent is None:
            return
        self._percent = min(MAX_USED_PERCENT, max(MIN_USED_PERCENT, percent))
        self._reported_at_ms = now_ms
        if now_ms - self._sampled_at_ms >= LEVEL_INTERVAL_MS:
            self._sampled_at_ms = now_ms
            self._level_reports.append(self._percent)
            if len(self._level_reports) > N_LEVEL_REPORTS:
                self._level_reports.popleft()
            self.level_percent = statistics.median_low(self._level_reports)

    def compute_percent(self, now_ms: float) -> float:
        """Return the time that work is expected to take now, in percent of the usual.

        It approaches the server's level as the report ages.
        """
        if not self.is_reported:
            return USUAL_PERCENT
        age_ms = max(0.0, now_ms - self._reported_at_ms)
        weight = 0.5 ** (age_ms / SLOWDOWN_HALF_LIFE_MS)
        return self.level_percent + weight * (self._percent - self.level_percent)

    def compute_extra_ms(self, work_ms: float, now_ms: float) -> float:
        """Return by how much longer than usual work takes that is begun now.

        A difference from the server's level goes on to decay while the work lasts, so
        that a momentary slowdown delays long work by a bounded time.

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
        level_ms = (self.level_percent / USUAL_PERCENT - 1.0) * work_ms
        excess = (self.compute_percent(now_ms) - self.level_percent) / USUAL_PERCENT
        return level_ms + excess * _DECAY_MS * -math.expm1(-work_ms / _DECAY_MS)
