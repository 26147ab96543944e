"""Faults that tests command in a stand-in through ``POST /standin/fault``."""

from collections.abc import Mapping
from typing import Any

import anyio

__all__ = ["BrokenAnswerError", "Faults"]

_COUNTED = (
    "lose_orders",
    "lose_answers",
    "delay_orders",
    "delay_answers",
    "double_orders",
    "hold_orders",
    "fail_streams",
    "answer_errors",
)
_VALUES = {"delay_ms": 0.0, "fail_after_tokens": 0, "slow_factor": 1.0}


class BrokenAnswerError(RuntimeError):
    """Raised in the middle of an answer, so that the connection breaks."""


class Faults:
    """The faults still to come.

    A counted fault strikes that many times; -1 strikes until it is set to 0.

    Attributes
    ----------
    delay_ms : float
        How long a delayed or doubled order or a delayed answer takes.
    fail_after_tokens : int
        Tokens that a failing stream sends first.
    slow_factor : float
        All work takes this many times longer.
    released : anyio.Event
        Held orders wait for it; ``hold_orders`` set to 0 sets it.
    """

    def __init__(self):
        self._left = dict.fromkeys(_COUNTED, 0)
        self.delay_ms = 0.0
        self.fail_after_tokens = 0
        self.slow_factor = 1.0
        self.released = anyio.Event()

    def set(self, values: Mapping[str, Any]) -> dict[str, Any]:
        """Set faults by name and return all that are set.

        Raises
        ------
        ValueError
            When a name is not known.
        """
        unknown = set(values) - set(self._left) - set(_VALUES)
        if unknown:
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        for name, value in values.items():
            if name in self._left:
                self._left[name] = int(value)
            else:
                setattr(self, name, type(_VALUES[name])(value))
        if values.get("hold_orders") == 0:
            self.released.set()
            self.released = anyio.Event()
        return {**self._left, **{name: getattr(self, name) for name in _VALUES}}

    def left(self, name: str) -> int:
        """Return how often a counted fault will still strike."""
        return self._left[name]

    def strikes(self, name: str) -> bool:
        """Return whether the fault strikes now, and use it up once."""
        left = self._left[name]
        if left > 0:
            self._left[name] = left - 1
        return left != 0
