"""The software versions that a service has had, as the replicated log keeps them."""

from typing import NamedTuple

__all__ = [
    "MAX_STREAM_ID_LENGTH",
    "STREAM_LIFE_MS",
    "DepartedVersion",
    "ServiceVersions",
]

# Time, in milliseconds, for which a stream may be resumed after it has begun: longer
# than callers wait for an answer, and come back.
STREAM_LIFE_MS = 60_000.0
# Longest id of a client's attempt by which a stream is remembered, in characters.
MAX_STREAM_ID_LENGTH = 128


class DepartedVersion(NamedTuple):
    """A version without servers, and since when, in milliseconds of Unix time."""

    version: str
    wall_ms: int


class ServiceVersions(NamedTuple):
    """The versions of one service's servers.

    Parameters
    ----------
    current : tuple of str
        Versions of the listed servers, sorted.
    departed : tuple of DepartedVersion
        Versions that have left within `STREAM_LIFE_MS` of the last change.
    """

    current: tuple[str, ...] = ()
    departed: tuple[DepartedVersion, ...] = ()

    def change(self, versions: tuple[str, ...], wall_ms: int) -> "ServiceVersions":
        """Return the record once the list shows these versions."""
        kept = [
            each
            for each in self.departed
            if each.version not in versions and wall_ms - each.wall_ms <= STREAM_LIFE_MS
        ]
        left = [
            DepartedVersion(version, wall_ms)
            for version in self.current
            if version not in versions
        ]
        return ServiceVersions(tuple(sorted(versions)), (*kept, *left))

    def list_possible(self, wall_ms: int) -> frozenset[str]:
        """Return the versions that may have begun a stream that is resumed now."""
        return frozenset(self.current).union(
            each.version
            for each in self.departed
            if wall_ms - each.wall_ms <= STREAM_LIFE_MS
        )
