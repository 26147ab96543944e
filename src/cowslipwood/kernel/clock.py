"""The two clocks that the programs read.

Functions that make decisions take the current time as an argument; only the tasks
that call them read a clock.
"""

import time

__all__ = ["MODULE_LOADED_MS", "monotonic_ms", "wall_ms"]


def monotonic_ms() -> float:
    """Return milliseconds on the boot-time clock; for leases and timeouts.

    Unlike ``time.monotonic``, this clock keeps running while the host is suspended.
    A lease that ends during the suspension has therefore ended when the process
    resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def wall_ms() -> int:
    """Return milliseconds since the Unix epoch.

    Only for the times in the edit history and in idempotency keys.
    """
    return int(time.time() * 1000)


# Time on `monotonic_ms` at which this module was loaded. In a program that imports
# this module before all others, it is the time at which the program started.
MODULE_LOADED_MS = monotonic_ms()
