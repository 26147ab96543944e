"""The two clocks that the programs read.

Functions that decide take the present time as an argument; only the tasks that
call them read a clock.
"""

import time

__all__ = ["LOADED_MS", "monotonic_ms", "wall_ms"]


def monotonic_ms() -> float:
    """Return milliseconds on the boot-time clock; for leases and timeouts.

    Unlike the plain monotonic clock it goes on while the host is suspended, so
    that a lease held by a suspended process has ended when the process wakes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def wall_ms() -> int:
    """Return milliseconds since the epoch; for history and key dates only."""
    return int(time.time() * 1000)


# When this module was loaded: for a program that loads it first, when it began.
LOADED_MS = monotonic_ms()
