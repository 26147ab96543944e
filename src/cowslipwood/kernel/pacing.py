"""Splits long computations, so that the other tasks of a process run in between."""

import anyio

from .clock import monotonic_ms

__all__ = ["WorkPacer"]

# Ratio of a pause to the slice before it: other tasks get a third of the processor at
# least.
PAUSE_RATIO = 0.5


class WorkPacer:
    """Lets other tasks run after each slice of a long computation.

    A computation on the event loop delays all other tasks of the process, among them
    those that keep a leader's lease. The computation calls `give_way` between two
    short units of work; after a slice it pauses for a part of the slice's duration.

    Parameters
    ----------
    max_slice_ms : float
        Duration from which a slice ends at the next call.

    Attributes
    ----------
    worked_ms : float
        Duration of all slices so far, without the pauses.
    longest_slice_ms : float
    """

    def __init__(self, max_slice_ms: float):
        self._max_slice_ms = max_slice_ms
        self._slice_start_ms = monotonic_ms()
        self.worked_ms = 0.0
        self.longest_slice_ms = 0.0

    def end_slice(self) -> float:
        """Count the present slice, start the next one and return the duration."""
        now_ms = monotonic_ms()
        slice_ms = now_ms - self._slice_start_ms
        self._slice_start_ms = now_ms
        self.worked_ms += slice_ms
        self.longest_slice_ms = max(self.longest_slice_ms, slice_ms)
        return slice_ms

    async def give_way(self) -> None:
        """Let other tasks run if the present slice is over."""
        if monotonic_ms() - self._slice_start_ms < self._max_slice_ms:
            return
        await anyio.sleep(PAUSE_RATIO * self.end_slice() / 1000)
        self._slice_start_ms = monotonic_ms()
