"""Asks the leading keeper for a server that holds a model or an adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from ...kernel.keeper_link import KeeperLink
from ...kernel.logs import get_logger
from ...kernel.messages import HolderReply, HolderRequest
from ...listing import holding_key
from ._servers import Holdings

if TYPE_CHECKING:
    from ._exchange import RoutedRequest

__all__ = ["Holders"]

# A request keeps this much of its time for its run after a load.
RUN_RESERVE_MS = 100.0
RETRY_AFTER_MS = 500


class Holders:
    """Requests for models and adapters, one at a time for each.

    Parameters
    ----------
    link : KeeperLink
    holdings : Holdings
        Takes in what the leader answers.
    refresh : callable
        Called after an answer, so that routing sees it.
    now_ms : callable
    """

    def __init__(self, link: KeeperLink, holdings: Holdings, refresh: Any, now_ms: Any):
        self._link = link
        self._holdings = holdings
        self._refresh = refresh
        self._now_ms = now_ms
        self._asking: dict[str, _Asked] = {}

    async def find(self, request: RoutedRequest, now_ms: float) -> Result[str, Failure]:
        """Return the id of a server that holds what the request needs.

        Fails with NO_REPLICA when the leader knows no way in time, or none leads.
        """
        left_ms = request.answer_by_ms - now_ms - RUN_RESERVE_MS
        if left_ms <= 0:
            return Err(failure(Code.NO_REPLICA, "no time left for a load"))
        asked = self._asking.get(request.key)
        if asked is None:
            return await self._ask(request, left_ms)
        with anyio.move_on_after(left_ms / 1000):
            await asked.done.wait()
            return asked.result
        return Err(failure(Code.NO_REPLICA, f"{request.key} is not ready yet"))

    async def _ask(
        self, request: RoutedRequest, left_ms: float
    ) -> Result[str, Failure]:
        asked = self._asking[request.key] = _Asked()
        facts = request.facts
        wanted = HolderRequest(request.service, facts.model, facts.adapter, "")
        try:
            replied = await self._link.request(wanted, left_ms)
            asked.result = self._take(request, replied)
        finally:
            del self._asking[request.key]
            asked.done.set()
        return asked.result

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
        facts = request.facts
        keys = [request.key, holding_key(request.service, facts.model)]
        self._holdings.told(reply.server_id, keys, self._now_ms())
        self._refresh()
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
