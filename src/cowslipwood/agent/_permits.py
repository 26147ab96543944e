"""Permits for loads from the weight store, granted by the leading keeper."""

from collections.abc import Callable

import anyio
from returns.result import Failure as Err

from ..kernel.clock import monotonic_ms
from ..kernel.keeper_link import KeeperLink
from ..kernel.messages import PermitGrant, PermitRelease, PermitRequest
from ..kernel.metrics import Metrics

__all__ = ["PermitClient"]

REQUEST_TIMEOUT_MS = 2_000
MIN_RETRY_MS = 50
MAX_RETRY_MS = 2_000


class PermitClient:
    """Asks for one permit before each load; without a keeper there is none.

    Parameters
    ----------
    link : KeeperLink
    server_id : str
    metrics : Metrics
    """

    def __init__(self, link: KeeperLink, server_id: str, metrics: Metrics):
        self._link = link
        self._server_id = server_id
        self._metrics = metrics

    async def acquire(self, model: str, wanted: Callable[[], bool]) -> int | None:
        """Wait for a permit that is valid now; None once it is not wanted."""
        while wanted():
            asked_ms = monotonic_ms()
            answer = await self._link.request(
                PermitRequest(self._server_id, model), REQUEST_TIMEOUT_MS
            )
            if isinstance(answer, Err):
                fault = answer.failure()
                self._metrics.count("permit_waits_total", reason=fault.code.name)
                retry_ms = max(MIN_RETRY_MS, min(MAX_RETRY_MS, fault.retry_after_ms))
                await anyio.sleep(retry_ms / 1000)
                continue
            grant: PermitGrant = answer.unwrap()
            if wanted() and monotonic_ms() < asked_ms + grant.valid_ms:
                return grant.permit_id
            await self.release(grant.permit_id)
        return None

    async def release(self, permit_id: int) -> None:
        """Tell the keeper that the load has ended; a lost message only costs time."""
        with anyio.move_on_after(REQUEST_TIMEOUT_MS / 1000):
            await self._link.send(PermitRelease(permit_id, self._server_id))
