"""Limits the rate of loads from the weight store."""

import enum
import math
from collections import deque

from ...routes import EngineSpec

__all__ = ["LoadNeed", "StoreBudget"]

# Share of the engines that may load rare models at the same time. An engine carries out
# one order at a time, and a load from the store takes seconds, for which a model with
# many callers would wait.
RARE_ENGINE_SHARE = 0.3


class LoadNeed(enum.Enum):
    """Reasons for a load from the store; each leaves capacity for those before it."""

    MISSING = enum.auto()  # a model with many callers that no engine holds
    COPY = enum.auto()  # a further copy
    RARE = enum.auto()  # a model with few callers that no engine holds


class StoreBudget:
    """Counts the loads from the weight store in the last window, over all engines.

    Parameters
    ----------
    window_ms : float
        Window in which loads are counted.
    """

    def __init__(self, window_ms: float):
        self._window_ms = window_ms
        self._start_times_ms: deque[float] = deque()
        self._end_times_ms: list[float] = []

    def clear(self) -> None:
        """Discard all loads, at the start of a leadership."""
        self._start_times_ms.clear()
        self._end_times_ms.clear()

    def record_load(self, load_ms: float, now_ms: float) -> None:
        """Count a load that takes the store this long."""
        self._start_times_ms.append(now_ms)
        self._end_times_ms.append(now_ms + load_ms)

    def allows_load(
        self,
        spec: EngineSpec,
        need: LoadNeed,
        now_ms: float,
        n_engines: int | None = None,
    ) -> bool:
        """Return whether one more load may start now.

        For the store, a load ends when its estimated time is over; that the engine
        holds the model is known only some reports later.

        Parameters
        ----------
        spec : EngineSpec
        need : LoadNeed
        now_ms : float
        n_engines : int, optional
            Engines that could load; if not given, their number sets no limit.
        """
        while (
            self._start_times_ms and self._start_times_ms[0] < now_ms - self._window_ms
        ):
            self._start_times_ms.popleft()
        max_in_window = max(1, int(spec.loads_per_s * self._window_ms / 1000))
        # With more concurrent loads than the rate allows, all loads get slower.
        longest_s = max(model.load_time_s for model in spec.models)
        max_concurrent = round(spec.loads_per_s * longest_s)
        match need:
            case LoadNeed.COPY:
                max_concurrent -= 1
            case LoadNeed.RARE:
                max_concurrent = math.ceil(max_concurrent / 2)
                if n_engines is not None:
                    max_concurrent = min(
                        max_concurrent, math.ceil(RARE_ENGINE_SHARE * n_engines)
                    )
        self._end_times_ms = [
            end_ms for end_ms in self._end_times_ms if end_ms > now_ms
        ]
        n_loading = len(self._end_times_ms)
        return len(self._start_times_ms) < max_in_window and n_loading < max(
            1, max_concurrent
        )
