"""Errors of the data folder, and ending the process because of them."""

import os
import sys
from typing import NoReturn

from ..kernel.codes import CODE_INFO, Code
from ..kernel.logs import get_logger

__all__ = [
    "DataDamagedError",
    "DataLockedError",
    "exit_on_data_damage",
    "exit_on_disk_failure",
]


class DataDamagedError(ValueError):
    """Raised when a synced part of the data folder is damaged."""


class DataLockedError(RuntimeError):
    """Raised at the start when another process has locked the data folder."""


def exit_on_disk_failure(exc: OSError) -> NoReturn:
    """End the process at once with the exit status of DISK_FAILED.

    After a failed write or sync the content of the disk is unknown, so no other task
    may send any further answer.
    """
    _exit_with_code(Code.DISK_FAILED, f"{exc.strerror} {exc.filename or ''}".strip())


def exit_on_data_damage(reason: str) -> NoReturn:
    """End the process at once with the exit status of DATA_DAMAGED."""
    _exit_with_code(Code.DATA_DAMAGED, reason)


def _exit_with_code(code: Code, reason: str) -> NoReturn:
    get_logger().error(code.name.lower(), code=code.value, reason=reason)
    sys.stderr.flush()
    os._exit(CODE_INFO[code].exit_status)
