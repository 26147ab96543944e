"""Keeps loads from the weight store within its rate."""

import enum
import math
from collections import deque

from ...routes import EngineSpec

__all__ = ["LoadNeed", "StoreBudget"]

# Of the engines: an engine carries out one order at a time, and a load from the store
# takes seconds for which a model that many ask for would wait.
RARE_ENGINE_SHARE = 0.3


class LoadNeed(enum.Enum):
    """What a load from the store is for; each leaves room for those before it."""

    MISSING = enum.auto()  # a model that many ask for and no engine has
    COPY = enum.auto()  # a further copy
    RARE = enum.auto()  # a model that few ask for and no engine has


class StoreBudget:
    """Loads from the weight store in the last window, over all engines.

    Parameters
    ----------
    window_ms : float
        Window in which they are counted.
    """

    def __init__(self, window_ms: float):
        self._window_ms = window_ms
        self._started_ms: deque[float] = deque()
        self._ends_ms: list[float] = []

    def clear(self) -> None:
        """Forget all loads, at the start of a leadership."""
        self._started_ms.clear()
        self._ends_ms.clear()

    def record_load(self, load_ms: float, now_ms: float) -> None:
        """Count a load that takes the store this long."""
        self._started_ms.append(now_ms)
        self._ends_ms.append(now_ms + load_ms)

    def allows_load(
        self,
        spec: EngineSpec,
        need: LoadNeed,
        now_ms: float,
        n_engines: int | None = None,
    ) -> bool:
        """Return whether one more load may begin now.

        A load is over for the store when its time is; that the engine has the model
        is known only some reports later.

        Parameters
        ----------
        spec : EngineSpec
        need : LoadNeed
        now_ms : float
        n_engines : int, optional
            Engines that could load; no bound by them where it is not given.
        """
        while self._started_ms and self._started_ms[0] < now_ms - self._window_ms:
            self._started_ms.popleft()
        max_in_window = max(1, int(spec.loads_per_s * self._window_ms / 1000))
        # More at once than the rate allows would only slow each other down.
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
        self._ends_ms = [end_ms for end_ms in self._ends_ms if end_ms > now_ms]
        n_loading = len(self._ends_ms)
        return len(self._started_ms) < max_in_window and n_loading < max(
            1, max_concurrent
        )
