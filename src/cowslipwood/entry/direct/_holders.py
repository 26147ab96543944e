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

__all__ = ["Holders"]

# A request keeps this much of its time for its run after a load.
RUN_RESERVE_MS = 100.0
RETRY_AFTER_MS = 500
# A load from the store takes seconds; a leader that answers no more is lost.
ASK_TIMEOUT_MS = 4_500.0
# Without an answer from a leader the question is asked again after this pause; an
# election takes several.
ASK_AGAIN_MS = 50.0
NO_LEADER = frozenset(
    (Code.PEER_GONE, Code.PEER_SILENT, Code.NOT_LEADER, Code.NO_QUORUM)
)


class Holders:
    """Requests for models and adapters, one at a time for each.

    Parameters
    ----------
    link : KeeperLink
    servers : KnownServers
        Takes in what the leader answers.
    now_ms : callable
    """

    def __init__(self, link: KeeperLink, servers: KnownServers, now_ms: Any):
        self._link = link
        self._servers = servers
        self._now_ms = now_ms
        self._asking: dict[str, _Asked] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def find(self, request: RoutedRequest, now_ms: float) -> Result[str, Failure]:
        """Return the id of a server that holds what the request needs.

        Fails with NO_REPLICA when the leader knows no way in time, or none leads.
        """
        left_ms = request.first_by_ms - now_ms - RUN_RESERVE_MS
        if left_ms <= 0:
            return Err(failure(Code.NO_REPLICA, "no time left for a load"))
        asked = self._asking.get(request.key)
        if asked is None:
            asked = self._asking[request.key] = _Asked()
            # In a task of its own: others may wait for it when its caller leaves.
            self._tasks.start_soon(self._ask, request, left_ms, asked)
        with anyio.move_on_after(left_ms / 1000):
            await asked.done.wait()
            return asked.result
        return Err(failure(Code.NO_REPLICA, f"{request.key} is not ready yet"))

    async def run(self) -> None:
        """Keep the questions that are under way until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def _ask(
        self, request: RoutedRequest, patience_ms: float, asked: _Asked
    ) -> None:
        facts = request.facts
        wanted = HolderRequest(
            request.service, facts.model, facts.adapter, "", patience_ms
        )
        try:
            asked.result = self._take(request, await self._ask_a_leader(wanted))
        finally:
            del self._asking[request.key]
            asked.done.set()

    async def _ask_a_leader(self, wanted: HolderRequest) -> Result[Any, Failure]:
        """Ask whoever leads until one answers, also across an election."""
        until_ms = self._now_ms() + ASK_TIMEOUT_MS
        while True:
            left_ms = until_ms - self._now_ms()
            replied = await self._link.request(wanted, max(1.0, left_ms))
            if not isinstance(replied, Err) or replied.failure().code not in NO_LEADER:
                return replied
            if self._now_ms() + ASK_AGAIN_MS >= until_ms:
                return replied
            await anyio.sleep(ASK_AGAIN_MS / 1000)

    def _take(
        self, request: RoutedRequest, replied: Result[Any, Failure]
    ) -> Result[str, Failure]:
        log = get_logger()
        if isinstance(replied, Err):
            fault = replied.failure()
            log.info(
                "holder_not_found",
                request=request.facts.request_id,
                key=request.key,
                code=fault.code.value,
                reason=fault.message,
            )
            retry_after_ms = fault.retry_after_ms or RETRY_AFTER_MS
            return Err(failure(Code.NO_REPLICA, fault.message, retry_after_ms))
        reply: HolderReply = replied.unwrap()
        self._servers.take_holder(reply.server_id, reply.ready, self._now_ms())
        log.info(
            "holder_found",
            request=request.facts.request_id,
            key=request.key,
            server=reply.server_id,
        )
        return Success(reply.server_id)


class _Asked:
    """One question under way and those that wait for its answer."""

    def __init__(self):
        self.done = anyio.Event()
        self.result: Result[str, Failure] = Err(
            failure(Code.NO_REPLICA, "the question was given up")
        )
