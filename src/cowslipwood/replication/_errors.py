"""Faults of the data folder."""

import os
import sys
from typing import NoReturn

from ..kernel.codes import CODE_INFO, Code
from ..kernel.logs import get_logger

__all__ = [
    "DataDamagedError",
    "DataLockedError",
    "stop_on_damage",
    "stop_on_disk_failure",
]


class DataDamagedError(ValueError):
    """Raised at the start when a synced part of the data folder is damaged."""


class DataLockedError(RuntimeError):
    """Raised at the start when another process holds the data folder."""


def stop_on_disk_failure(exc: OSError) -> NoReturn:
    """End the process at once with the exit status of DISK_FAILED.

    After a failed write or sync nobody knows what the disk holds, so no other
    task may get to answer anything.
    """
    _stop(Code.DISK_FAILED, f"{exc.strerror} {exc.filename or ''}".strip())


def stop_on_damage(reason: str) -> NoReturn:
    """End the process at once with the exit status of DATA_DAMAGED."""
    _stop(Code.DATA_DAMAGED, reason)


def _stop(code: Code, reason: str) -> NoReturn:
    get_logger().error(code.name.lower(), code=code.value, reason=reason)
    sys.stderr.flush()
    os._exit(CODE_INFO[code].exit_status)
