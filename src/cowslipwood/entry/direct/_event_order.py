"""Checks the ids of a stream's events, also where another server goes on with it."""

from collections.abc import Sequence
from itertools import pairwise

__all__ = ["EventOrder", "EventOrderError"]

# Longest id that is compared as a number, in digits.
MAX_ID_DIGITS = 18


class EventOrderError(Exception):
    """The id of an event does not continue the stream."""


class EventOrder:
    """Compares the ids of the events that one caller gets.

    Ids increase. Where they did so by one, a server that goes on with the stream has
    to begin with the next one. Ids that are not all numbers are not compared.

    Parameters
    ----------
    last_id : bytes
        Id of the last event that the client has; empty for none.
    """

    def __init__(self, last_id: bytes = b""):
        self._is_numeric = not last_id or _is_number(last_id)
        self._last = int(last_id) if last_id and self._is_numeric else None
        self._n_steps = 0
        self._has_only_steps_of_one = True
        self._must_continue = False

    def begin_answer(self) -> None:
        """Record that the next event comes from another answer."""
        self._must_continue = self._last is not None

    def advance(self, ids: Sequence[bytes]) -> None:
        """Check the ids of the next events, and keep them if all are in order.

        Raises
        ------
        EventOrderError
            If an id does not continue the stream; none of these is then kept.
        """
        if not ids or not self._is_numeric:
            return
        if not all(_is_number(event_id) for event_id in ids):
            self._is_numeric = False
            return
        numbers = [int(event_id) for event_id in ids]
        if self._must_continue:
            self._check_joint(numbers[0])
        known = [] if self._last is None else [self._last]
        steps = [after - before for before, after in pairwise([*known, *numbers])]
        if any(step <= 0 for step in steps):
            raise EventOrderError(f"event ids {numbers} after {self._last}")
        self._n_steps += len(steps)
        self._has_only_steps_of_one &= all(step == 1 for step in steps)
        self._last = numbers[-1]
        self._must_continue = False

    def _check_joint(self, number: int) -> None:
        is_next_known = self._n_steps > 0 and self._has_only_steps_of_one
        if is_next_known and self._last is not None and number != self._last + 1:
            raise EventOrderError(f"event {number} after event {self._last}")


def _is_number(event_id: bytes) -> bool:
    return event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS
