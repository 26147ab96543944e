"""Software versions of servers, and which streams they may have begun."""

from ._record import (
    MAX_STREAM_ID_LENGTH,
    STREAM_LIFE_MS,
    DepartedVersion,
    ServiceVersions,
)

__all__ = [
    "MAX_STREAM_ID_LENGTH",
    "STREAM_LIFE_MS",
    "DepartedVersion",
    "ServiceVersions",
]
