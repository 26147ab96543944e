"""What is offered to each model, refused requests and queues left out of account."""

import functools
import math
from collections.abc import Iterable
from typing import NamedTuple

from ...kernel.messages import DemandSample

__all__ = ["FALL_MS", "RISE_MS", "OfferedView", "model_of", "smoothed"]

# A burst shorter than a load is over before a copy could serve it; demand that
# pauses comes back more often than not, and a dropped copy takes seconds to load.
RISE_MS = 1_000.0
FALL_MS = 5_000.0
# Until reports have shown how long a model's requests take.
NOMINAL_HOLD_S = 1.0
# Of one model's requests against all: one whose callers wait for a load shows more.
MOST_HOLD_RATIO = 1.5
# Of the deviation by which arrivals at random move the quick average.
CHANCE_FACTOR = 0.5
# Requests at once over seconds, below which a few that come together look like a rise.
LEAST_RISING = 2.0
# Fewer requests do not show how long they take.
LEAST_SERVED_PER_S = 2.0
# A queue, which lasts seconds, must not count as the time that requests take; a fall as
# quick as the noise of the reports would take the least that was seen for it.
HOLD_RISE_MS = 30_000.0
HOLD_FALL_MS = 6_000.0
# Requests at once that are none.
NEGLIGIBLE = 1e-3
# Of the two averages whose distance tells how demand moves: the first covers one of
# each entry's reports, the second tells a trend from their noise.
QUICK_MS = 500.0
SLOW_MS = 1_700.0
# How far ahead a rise is carried on: about a load from the store.
AHEAD_MS = 6_000.0
# A few of the entries' reports tell that streams are late; how full engines may get is
# a property of engines and prompts, which outlasts a calm.
LATE_RISE_MS = 2_000.0
LATE_FALL_MS = 30_000.0


class _Arrivals(NamedTuple):
    """What has come for one model lately, over all entries.

    Parameters
    ----------
    per_s, served_per_s : float
        Requests, and those that were not refused for want of engines.
    in_flight : float
        Requests at once.
    late_per_s : float
        Of the served ones, those outside their targets.
    """

    per_s: float = 0.0
    served_per_s: float = 0.0
    in_flight: float = 0.0
    late_per_s: float = 0.0

    @classmethod
    def of(cls, sample: DemandSample) -> "_Arrivals":
        """Return what one entry's sample tells."""
        served_per_s = sample.arrivals_per_s * (1.0 - sample.missed_share)
        late_per_s = served_per_s * sample.late_share
        return cls(sample.arrivals_per_s, served_per_s, sample.in_flight, late_per_s)

    def plus(self, other: "_Arrivals") -> "_Arrivals":
        """Return the sum of both."""
        return _Arrivals(*map(sum, zip(self, other, strict=True)))


_NO_ARRIVALS = _Arrivals()


class _Trend(NamedTuple):
    """What is offered to one model, followed by two averages and the time it takes.

    Parameters
    ----------
    quick, slow : float
        Requests at once; the first follows them sooner.
    hold_s : float
        Time for which an engine with room holds a request: what is seen, but for the
        queues that make it longer; 0 before the first step.
    """

    quick: float = 0.0
    slow: float = 0.0
    hold_s: float = 0.0

    def moved(
        self,
        seen: "_Arrivals",
        step_ms: float,
        is_new: bool,
        usual_hold_s: float = NOMINAL_HOLD_S,
    ) -> "_Trend":
        """Return the averages one step on; a first value counts at once.

        `usual_hold_s` is the time that requests of all models take together.
        """
        hold_s = self.hold_s or usual_hold_s
        if seen.served_per_s >= LEAST_SERVED_PER_S:
            seen_s = seen.in_flight / seen.served_per_s
            hold_s = smoothed(hold_s, seen_s, step_ms, HOLD_RISE_MS, HOLD_FALL_MS)
        hold_s = min(hold_s, MOST_HOLD_RATIO * usual_hold_s)
        offered = seen.per_s * hold_s
        if is_new:
            return _Trend(offered, offered, hold_s)
        quick = self.quick + min(1.0, step_ms / QUICK_MS) * (offered - self.quick)
        slow = self.slow + min(1.0, step_ms / SLOW_MS) * (offered - self.slow)
        return _Trend(quick, slow, hold_s)

    @property
    def ahead(self) -> float:
        """The value in `AHEAD_MS`, if a rise beyond chance goes on as it is."""
        if self.slow < LEAST_RISING:
            return self.quick
        # Arrivals at random move the quick average by about the root of this.
        chance = CHANCE_FACTOR * math.sqrt(self.quick * self.hold_s)
        rise = max(0.0, self.quick - self.slow - chance)
        return self.quick + AHEAD_MS * rise / (SLOW_MS - QUICK_MS)


_NO_TREND = _Trend()


class OfferedView:
    """What is offered to each model, and whether streams are late.

    Attributes
    ----------
    late_share : float
        Of the streams answered lately, those outside their targets.
    """

    def __init__(self):
        self.late_share = 0.0
        self._trends: dict[str, _Trend] = {}
        self._total = _NO_TREND

    def ahead(self, model: str) -> float:
        """Return the requests at once that engines will have to carry."""
        return self._trends.get(model, _NO_TREND).ahead

    def update(
        self, samples: Iterable[DemandSample], step_ms: float, is_new: bool
    ) -> None:
        """Move on by one step, given the entries' last samples.

        Parameters
        ----------
        samples : iterable of DemandSample
        step_ms : float
        is_new : bool
            Whether what is seen counts at once.
        """
        arrivals = _by_model(samples)
        total = functools.reduce(_Arrivals.plus, arrivals.values(), _NO_ARRIVALS)
        if total.served_per_s:
            late_share = total.late_per_s / total.served_per_s
            self.late_share = smoothed(
                self.late_share, late_share, step_ms, LATE_RISE_MS, LATE_FALL_MS
            )
        usual_hold_s = self._total.hold_s or NOMINAL_HOLD_S
        self._total = self._total.moved(total, step_ms, is_new, usual_hold_s)
        for model in self._trends.keys() | arrivals.keys():
            trend = self._trends.get(model, _NO_TREND)
            seen = arrivals.get(model, _NO_ARRIVALS)
            moved = trend.moved(seen, step_ms, is_new, self._total.hold_s)
            if moved.slow >= NEGLIGIBLE or seen.per_s:
                self._trends[model] = moved
            else:
                # Callers name models as they like.
                self._trends.pop(model, None)


def _by_model(samples: Iterable[DemandSample]) -> dict[str, _Arrivals]:
    """Return what has come for each model; plain services have none."""
    found: dict[str, _Arrivals] = {}
    for sample in samples:
        model, _ = model_of(sample)
        if model:
            held = found.get(model, _NO_ARRIVALS)
            found[model] = held.plus(_Arrivals.of(sample))
    return found


def smoothed(
    held: float,
    seen: float,
    step_ms: float,
    rise_ms: float = RISE_MS,
    fall_ms: float = FALL_MS,
) -> float:
    """Return a value that follows what is seen, at its own pace up and down."""
    time_ms = rise_ms if seen > held else fall_ms
    return held + min(1.0, step_ms / time_ms) * (seen - held)


def model_of(sample: DemandSample) -> tuple[str, str]:
    """Return the model and adapter of a sample; empty for a plain service."""
    model, _, adapter = sample.model.partition("|")[2].partition("/")
    return model, adapter
