"""Finds the server that most likely caches the head of a prompt."""

import bisect
from collections.abc import Sequence

from ..choosing._backend import Backend

__all__ = ["preferred_backend"]

WINDOW = 16
_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


def preferred_backend(candidates: Sequence[Backend], prefix_hash: int) -> Backend:
    """Return the rendezvous winner among the candidates next to the hash.

    Looking at a window only keeps the work bounded; a server that comes or
    goes changes the choice for few prefixes.

    Parameters
    ----------
    candidates : sequence of Backend
        In the order of their seeds; not empty.
    prefix_hash : int
        64 bits.
    """
    if len(candidates) <= WINDOW:
        window = candidates
    else:
        start = bisect.bisect(candidates, prefix_hash, key=lambda each: each.id_hash)
        wrapped = [*candidates[start : start + WINDOW]]
        wrapped += candidates[: WINDOW - len(wrapped)]
        window = wrapped
    return max(window, key=lambda each: _mix(each.id_hash ^ prefix_hash))


def _mix(value: int) -> int:
    value = (value ^ (value >> 29)) * _MULTIPLIER & _MASK
    return value ^ (value >> 32)
