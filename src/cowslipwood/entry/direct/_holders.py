"""Asks the leading keeper for a server that holds a model or an adapter."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.abc
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from ...kernel.keeper_link import KeeperLink
from ...kernel.logs import get_logger
from ...kernel.messages import HolderReply, HolderRequest
from ._request import RoutedRequest
from ._servers import KnownServers

__all__ = ["NO_LEADER_CODES", "HolderFinder"]

# Time, in milliseconds, that a request must have left for its run after the model or
# adapter has been loaded.
RESERVED_RUN_MS = 100.0
# Time, in milliseconds, after which a refused caller is told to come back when the
# leader does not name one.
DEFAULT_RETRY_AFTER_MS = 500
# Longest time, in milliseconds, for one lookup. A load from the store takes seconds;
# a leader that has not answered by then is considered lost.
LOOKUP_TIMEOUT_MS = 4_500.0
# Pause, in milliseconds, before a lookup that no leader answered is sent again. An
# election takes several such pauses.
LOOKUP_RETRY_PAUSE_MS = 50.0
# Failures which show that no leader answered, so that the lookup is sent again.
NO_LEADER_CODES = frozenset(
    (Code.PEER_GONE, Code.PEER_SILENT, Code.NOT_LEADER, Code.NO_QUORUM)
)


class HolderFinder:
    """Looks up servers that hold a model or an adapter, one lookup per key at a time.

    Parameters
    ----------
    link : KeeperLink
    servers : KnownServers
        Updated with the leader's answers.
    now_ms : callable
        Returns the current time.
    """

    def __init__(self, link: KeeperLink, servers: KnownServers, now_ms: Any):
        self._link = link
        self._servers = servers
        self._now_ms = now_ms
        self._pending_lookups: dict[str, _PendingLookup] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def find_holder(
        self, request: RoutedRequest, now_ms: float
    ) -> Result[str, Failure]:
        """Return the id of a server that holds the request's model or adapter.

        Fails with NO_REPLICA when no server can hold it in time, or no keeper leads.
        """
        left_ms = request.first_event_by_ms - now_ms - RESERVED_RUN_MS
        if left_ms <= 0:
            return Err(failure(Code.NO_REPLICA, "no time left for a load"))
        lookup = self._pending_lookups.get(request.key)
        if lookup is None:
            lookup = self._pending_lookups[request.key] = _PendingLookup()
            # The lookup runs in a separate task, because other requests may wait for
            # it after the caller that started it has left.
            self._tasks.start_soon(self._look_up, request, left_ms, lookup)
        with anyio.move_on_after(left_ms / 1000):
            await lookup.done.wait()
            return lookup.result
        return Err(failure(Code.NO_REPLICA, f"{request.key} is not ready yet"))

    async def run(self) -> None:
        """Run the lookup tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def _look_up(
        self, request: RoutedRequest, patience_ms: float, lookup: _PendingLookup
    ) -> None:
        facts = request.facts
        holder_request = HolderRequest(
            request.service, facts.model, facts.adapter, "", patience_ms
        )
        try:
            lookup.result = self._handle_reply(
                request, await self._query_leader(holder_request)
            )
        finally:
            del self._pending_lookups[request.key]
            lookup.done.set()

    async def _query_leader(
        self, holder_request: HolderRequest
    ) -> Result[Any, Failure]:
        """Ask the leader; ask again, across an election, until a leader answers."""
        until_ms = self._now_ms() + LOOKUP_TIMEOUT_MS
        while True:
            left_ms = until_ms - self._now_ms()
            reply_result = await self._link.request(holder_request, max(1.0, left_ms))
            if (
                not isinstance(reply_result, Err)
                or reply_result.failure().code not in NO_LEADER_CODES
            ):
                return reply_result
            if self._now_ms() + LOOKUP_RETRY_PAUSE_MS >= until_ms:
                return reply_result
            await anyio.sleep(LOOKUP_RETRY_PAUSE_MS / 1000)

    def _handle_reply(
        self, request: RoutedRequest, reply_result: Result[Any, Failure]
    ) -> Result[str, Failure]:
        log = get_logger()
        if isinstance(reply_result, Err):
            fault = reply_result.failure()
            log.info(
                "holder_not_found",
                request=request.facts.request_id,
                key=request.key,
                code=fault.code.value,
                reason=fault.message,
            )
            retry_after_ms = fault.retry_after_ms or DEFAULT_RETRY_AFTER_MS
            return Err(failure(Code.NO_REPLICA, fault.message, retry_after_ms))
        reply: HolderReply = reply_result.unwrap()
        self._servers.apply_holder(reply.server_id, reply.ready, self._now_ms())
        log.info(
            "holder_found",
            request=request.facts.request_id,
            key=request.key,
            server=reply.server_id,
        )
        return Success(reply.server_id)


class _PendingLookup:
    """A lookup in progress, and its result for the requests that wait for it."""

    def __init__(self):
        self.done = anyio.Event()
        self.result: Result[str, Failure] = Err(
            failure(Code.NO_REPLICA, "the question was given up")
        )
