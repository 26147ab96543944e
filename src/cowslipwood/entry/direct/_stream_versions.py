"""Remembers which software version began each stream that clients may resume.

A client resumes a stream at any entry. While servers of several versions serve, or did
lately, entries report their streams to the leader, which answers for all of them.
"""

import math
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result

from ...kernel.clock import monotonic_ms
from ...kernel.codes import Failure
from ...kernel.messages import (
    BegunStream,
    ServerView,
    StreamsBegun,
    StreamVersion,
    StreamVersionRequest,
)
from ...kernel.metrics import Metrics
from ...routes import Route
from ...software_versions import MAX_STREAM_ID_LENGTH, STREAM_LIFE_MS
from ._headers import RequestFacts
from ._holders import NO_LEADER_CODES

__all__ = ["StreamVersionSource", "StreamVersions"]

# Asks the leader; the second argument is the longest wait in milliseconds.
StreamVersionSource = Callable[
    [StreamVersionRequest, float], Awaitable[Result[StreamVersion, Failure]]
]

# Longest time, in milliseconds, to wait for the leader's answer. The client is better
# told soon that it has to begin anew.
ASK_TIMEOUT_MS = 400.0
# Pause, in milliseconds, before a question that no leader answered is asked again. A
# connection to the leader that was reset is open again after a few such pauses.
ASK_RETRY_PAUSE_MS = 50.0
# Time, in milliseconds, for which a version that has left counts here: longer than at
# the leader, which learns of the end of its last server later.
VERSION_LIFE_MS = STREAM_LIFE_MS + 5_000.0
# Largest number of streams that are remembered, the newest ones: those of a minute at
# 300 a second.
MAX_STREAMS = 20_000
# Largest number of streams in one message.
MAX_STREAMS_PER_MESSAGE = 2_000


class _KnownStream(NamedTuple):
    """The version of a stream, and when it began."""

    version: str
    at_ms: float


class StreamVersions:
    """The streams that one entry has begun, by service and attempt of the client.

    Parameters
    ----------
    ask_leader : StreamVersionSource
    metrics : Metrics
    started_ms : float
        When the entry started. It does not know which versions had left before.

    Attributes
    ----------
    has_news : anyio.Event
        Set when there are streams to report; replaced by `take_news`.
    """

    def __init__(
        self,
        ask_leader: StreamVersionSource,
        metrics: Metrics,
        started_ms: float = -math.inf,
    ):
        self._ask_leader = ask_leader
        self._started_ms = started_ms
        self._metrics = metrics
        self._streams: OrderedDict[tuple[str, str], _KnownStream] = OrderedDict()
        self._seen_ms: dict[str, dict[str, float]] = {}
        self._unsent: list[BegunStream] = []
        self.has_news = anyio.Event()

    def record_servers(self, servers: Iterable[ServerView], now_ms: float) -> None:
        """Record the versions of listed servers."""
        for server in servers:
            versions = self._seen_ms.setdefault(server.service_name, {})
            is_new = server.software_version not in versions
            versions[server.software_version] = now_ms
            if is_new and len(versions) == 2:
                self._queue(self._list_streams(server.service_name, now_ms))

    def has_several_versions(self, service: str) -> bool:
        """Return whether a service has servers of several versions, or had lately."""
        return len(self._seen_ms.get(service, ())) > 1

    def forget_old(self, now_ms: float) -> None:
        """Forget versions and streams that are too old to matter."""
        for versions in self._seen_ms.values():
            for version, at_ms in list(versions.items()):
                if now_ms - at_ms > VERSION_LIFE_MS:
                    del versions[version]
        while self._streams:
            key, stream = next(iter(self._streams.items()))
            if now_ms - stream.at_ms <= STREAM_LIFE_MS:
                return
            del self._streams[key]

    def record_stream(
        self, service: str, request_id: str, version: str, now_ms: float
    ) -> None:
        """Record that the first event of a stream is passed on to its client."""
        if not 0 < len(request_id) <= MAX_STREAM_ID_LENGTH:
            return
        self._streams[service, request_id] = _KnownStream(version, now_ms)
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
            self._metrics.count("stream_versions_dropped_total")
        if self._must_report(service, now_ms):
            self._queue([BegunStream(service, request_id, version)])

    def find_service(self, route: Route, facts: RequestFacts) -> str:
        """Return the service of a route that began a resumed stream; empty if unknown.

        The services of a split route run other software, whatever their versions.
        """
        if not (facts.is_resume and route.is_resumable and len(route.services) > 1):
            return ""
        for each in route.services:
            if each.weight and (each.service, facts.resumed_id) in self._streams:
                return each.service
        return ""

    async def find_version(self, service: str, request_id: str) -> str | None:
        """Return the version that began a stream; None if it is not known.

        Parameters
        ----------
        service : str
        request_id : str
            The client's attempt that brought the first event; empty if the client did
            not name it.
        """
        request_id = request_id if len(request_id) <= MAX_STREAM_ID_LENGTH else ""
        known = self._streams.get((service, request_id))
        if known is not None:
            return known.version
        reply = await self._ask(StreamVersionRequest(service, request_id))
        if isinstance(reply, Err) or not isinstance(reply.unwrap(), StreamVersion):
            return None
        answer: StreamVersion = reply.unwrap()
        return answer.version if answer.is_known else None

    async def _ask(
        self, request: StreamVersionRequest
    ) -> Result[StreamVersion, Failure]:
        """Ask the leader; ask again, for a short time, until a leader answers."""
        until_ms = monotonic_ms() + ASK_TIMEOUT_MS
        while True:
            left_ms = until_ms - monotonic_ms()
            reply = await self._ask_leader(request, max(1.0, left_ms))
            if (
                not isinstance(reply, Err)
                or reply.failure().code not in NO_LEADER_CODES
                or monotonic_ms() + ASK_RETRY_PAUSE_MS >= until_ms
            ):
                return reply
            await anyio.sleep(ASK_RETRY_PAUSE_MS / 1000)

    def take_news(self, now_ms: float) -> StreamsBegun | None:
        """Return streams that were not reported yet; None if there are none."""
        self.has_news = anyio.Event()
        news = self._unsent[:MAX_STREAMS_PER_MESSAGE]
        self._unsent = self._unsent[MAX_STREAMS_PER_MESSAGE:]
        if self._unsent:
            self.has_news.set()
        return StreamsBegun(tuple(news)) if news else None

    def build_all(self, now_ms: float) -> StreamsBegun | None:
        """Return the streams of services with several versions, for a new leader."""
        streams = [
            stream
            for service in self._seen_ms
            if self._must_report(service, now_ms)
            for stream in self._list_streams(service, now_ms)
        ]
        newest = streams[-MAX_STREAMS_PER_MESSAGE:]
        return StreamsBegun(tuple(newest)) if newest else None

    def _must_report(self, service: str, now_ms: float) -> bool:
        """Return whether the leader may know several versions of a service."""
        is_new = now_ms - self._started_ms <= VERSION_LIFE_MS
        return is_new or self.has_several_versions(service)

    def _list_streams(self, service: str, now_ms: float) -> list[BegunStream]:
        return [
            BegunStream(service, request_id, stream.version)
            for (each, request_id), stream in self._streams.items()
            if each == service and now_ms - stream.at_ms <= STREAM_LIFE_MS
        ]

    def _queue(self, streams: list[BegunStream]) -> None:
        if streams:
            self._unsent.extend(streams)
            del self._unsent[:-MAX_STREAMS]
            self.has_news.set()
