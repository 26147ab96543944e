"""Waits until a server that was given up has stopped its work on a request."""

from collections.abc import Callable

import anyio

from ...kernel.http_pool import ConnectionPool
from ...kernel.logs import get_logger
from ...kernel.metrics import Metrics
from ._progress import GivenUpAttempt
from ._server_reports import ServerReports

__all__ = ["StopWaiter"]

# Time, in milliseconds, to wait for a server's word on what it runs. The network takes
# about one; a server that does not answer in this time is held to the pause alone.
ASK_TIMEOUT_MS = 100.0
# Interval, in milliseconds, at which a server is asked again. What it says is some
# hundred milliseconds old.
ASK_INTERVAL_MS = 200.0
# Time after the close of its connection, in milliseconds, by which a server must have
# stopped. Callers wait for events for two seconds.
STOP_LIMIT_MS = 1_200.0


class StopWaiter:
    """Holds a request until the server that was given up has stopped.

    Parameters
    ----------
    pool : ConnectionPool
    reports : ServerReports
    metrics : Metrics
    now_ms : callable
    """

    def __init__(
        self,
        pool: ConnectionPool,
        reports: ServerReports,
        metrics: Metrics,
        now_ms: Callable[[], float],
    ):
        self._pool = pool
        self._reports = reports
        self._metrics = metrics
        self._now_ms = now_ms

    async def wait(
        self, request_id: str, attempt: GivenUpAttempt, pause_ms: float
    ) -> bool:
        """Wait for the pause; return False if the server goes on for much longer.

        A server that has said that it works on the request must say that it does not;
        one that says nothing is taken to have stopped.
        """
        await anyio.sleep(pause_ms / 1000)
        is_known = False
        while True:
            is_running = await self._ask(request_id, attempt)
            if is_running is False or (is_running is None and not is_known):
                return True
            is_known = True
            since_ms = self._now_ms() - attempt.closed_at_ms
            if since_ms >= STOP_LIMIT_MS:
                self._metrics.count("runs_not_stopped_total")
                get_logger().info(
                    "run_not_stopped",
                    request=request_id,
                    server=attempt.server_id,
                    after_ms=round(since_ms),
                )
                return False
            await anyio.sleep(ASK_INTERVAL_MS / 1000)

    async def _ask(self, request_id: str, attempt: GivenUpAttempt) -> bool | None:
        return await self._reports.find_run(
            self._pool, attempt.addr, attempt.server_id, request_id, ASK_TIMEOUT_MS
        )
