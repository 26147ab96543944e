"""Acquires permits for loads from the weight store; the leading keeper grants them."""

from collections.abc import Callable

import anyio
from returns.result import Failure as Err

from ..kernel.clock import monotonic_ms
from ..kernel.keeper_link import KeeperLink
from ..kernel.messages import PermitGrant, PermitRelease, PermitRequest
from ..kernel.metrics import Metrics

__all__ = ["PermitClient"]

# Longest time to wait for the answer to a request, or for a release to be sent, in
# milliseconds.
REQUEST_TIMEOUT_MS = 2_000
# Shortest delay before a refused request is repeated, in milliseconds.
MIN_RETRY_DELAY_MS = 50
# Longest delay before a refused request is repeated, in milliseconds.
MAX_RETRY_DELAY_MS = 2_000


class PermitClient:
    """Gets one permit before each load; no permit is granted without a keeper.

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

    async def acquire(self, model: str, is_wanted: Callable[[], bool]) -> int | None:
        """Wait for a valid permit and return its identifier.

        Parameters
        ----------
        model : str
        is_wanted : callable
            Returns whether the load is still wanted.

        Returns
        -------
        int or None
            None when the load was no longer wanted before a permit was granted.
        """
        while is_wanted():
            requested_ms = monotonic_ms()
            answer = await self._link.request(
                PermitRequest(self._server_id, model), REQUEST_TIMEOUT_MS
            )
            if isinstance(answer, Err):
                fault = answer.failure()
                self._metrics.count("permit_waits_total", reason=fault.code.name)
                retry_delay_ms = max(
                    MIN_RETRY_DELAY_MS, min(MAX_RETRY_DELAY_MS, fault.retry_after_ms)
                )
                await anyio.sleep(retry_delay_ms / 1000)
                continue
            grant: PermitGrant = answer.unwrap()
            if is_wanted() and monotonic_ms() < requested_ms + grant.valid_ms:
                return grant.permit_id
            await self.release(grant.permit_id)
        return None

    async def release(self, permit_id: int) -> None:
        """Report the end of a load to the keeper.

        When the message is lost, the permit is free only after its validity ends.
        """
        with anyio.move_on_after(REQUEST_TIMEOUT_MS / 1000):
            await self._link.send(PermitRelease(permit_id, self._server_id))
