"""Answers entries which software version began a stream."""

from collections import OrderedDict
from collections.abc import Set

from ..kernel.logs import get_logger
from ..kernel.messages import StreamsBegun, StreamVersion, StreamVersionRequest

__all__ = ["StreamVersionTable"]

# Largest number of streams that are remembered, the newest ones. Entries report them
# only while servers of several versions serve, or did lately.
MAX_STREAMS = 200_000


class StreamVersionTable:
    """The streams that entries have reported, by service and attempt of the client.

    It is kept in memory only: entries tell a new leader what they know.
    """

    def __init__(self):
        self._versions: OrderedDict[tuple[str, str], str] = OrderedDict()

    def add(self, report: StreamsBegun) -> None:
        """Add an entry's report."""
        for stream in report.streams:
            key = stream.service, stream.request_id
            self._versions[key] = stream.version
            self._versions.move_to_end(key)
        while len(self._versions) > MAX_STREAMS:
            self._versions.popitem(last=False)

    def answer(
        self, request: StreamVersionRequest, possible: Set[str] | None
    ) -> StreamVersion:
        """Return the version that began a stream, as far as it is certain.

        Parameters
        ----------
        request : StreamVersionRequest
        possible : set of str or None
            Versions that may have begun a stream that is resumed now; None while the
            leader does not know the listed servers.
        """
        version = self._versions.get((request.service, request.request_id))
        if version is None and possible is not None and len(possible) == 1:
            version = next(iter(possible))
        get_logger().info(
            "stream_version_asked",
            service=request.service,
            request=request.request_id,
            version=version,
            possible=None if possible is None else ",".join(sorted(possible)),
        )
        return StreamVersion(version or "", version is not None)
