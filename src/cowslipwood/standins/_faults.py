"""Faults that tests inject into a stand-in through ``POST /standin/fault``."""

from collections.abc import Mapping
from typing import Any

import anyio

__all__ = ["Faults", "InjectedFaultError"]

# Faults that occur a set number of times.
_COUNTED_FAULTS = (
    "lose_orders",
    "lose_answers",
    "delay_orders",
    "delay_answers",
    "double_orders",
    "hold_orders",
    "fail_streams",
    "answer_errors",
)
# Other values that can be set, with their defaults.
_DEFAULT_VALUES = {"delay_ms": 0.0, "fail_after_tokens": 0, "slow_factor": 1.0}


class InjectedFaultError(RuntimeError):
    """Raised during an answer to close the connection before its end."""


class Faults:
    """The faults that are to occur.

    A counted fault occurs as many times as it was set to; one set to -1 occurs each
    time until it is set to 0.

    Attributes
    ----------
    delay_ms : float
        Delay of a delayed order, of a delayed answer to an order, and of the second
        run of a doubled order.
    fail_after_tokens : int
        Number of tokens that a failing stream sends before it ends.
    slow_factor : float
        Factor on the duration of all work.
    orders_released : anyio.Event
        Set when ``hold_orders`` is set to 0; held orders wait for it.
    """

    def __init__(self):
        self._n_left = dict.fromkeys(_COUNTED_FAULTS, 0)
        self.delay_ms = 0.0
        self.fail_after_tokens = 0
        self.slow_factor = 1.0
        self.orders_released = anyio.Event()

    def set_faults(self, values: Mapping[str, Any]) -> dict[str, Any]:
        """Set faults by name and return the values of all faults.

        Raises
        ------
        ValueError
            When a name is not that of a fault.
        """
        unknown = set(values) - set(self._n_left) - set(_DEFAULT_VALUES)
        if unknown:
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        for name, value in values.items():
            if name in self._n_left:
                self._n_left[name] = int(value)
            else:
                setattr(self, name, type(_DEFAULT_VALUES[name])(value))
        if values.get("hold_orders") == 0:
            self.orders_released.set()
            self.orders_released = anyio.Event()
        return {
            **self._n_left,
            **{name: getattr(self, name) for name in _DEFAULT_VALUES},
        }

    def count_left(self, name: str) -> int:
        """Return how many times a counted fault will still occur."""
        return self._n_left[name]

    def take_one(self, name: str) -> bool:
        """Return whether a counted fault occurs now, and count it down if it does."""
        n_left = self._n_left[name]
        if n_left > 0:
            self._n_left[name] = n_left - 1
        return n_left != 0
