"""Simulates a platform: serves a lagging list of live and leaving hosts."""

from collections import deque
from typing import Any

import orjson

from ..kernel.clock import monotonic_ms
from ..kernel.http import read_request, send_json

__all__ = ["StandinPlatform"]

# Largest request body, in bytes.
MAX_BODY_BYTES = 1024 * 1024


class StandinPlatform:
    """Answers ``GET /hosts`` with the list of hosts as it was before the lag.

    ``POST /standin/hosts`` sets the list: ``[{"server_id", "state"}]``.

    Parameters
    ----------
    lag_ms : float
        Time after which a change of the list becomes visible.
    """

    def __init__(self, lag_ms: float = 0.0):
        self._lag_ms = lag_ms
        # Time of each change and the list from then on.
        self._past_lists: deque[tuple[float, list[Any]]] = deque([(0.0, [])])

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        received = await read_request(scope, receive, MAX_BODY_BYTES)
        request = received.value_or(None)
        if request is None:
            return
        now_ms = monotonic_ms()
        match request.method, request.path:
            case "GET", "/hosts":
                await send_json(send, 200, self._lagging_list(now_ms))
            case "POST", "/standin/hosts":
                self._past_lists.append((now_ms, orjson.loads(request.body)))
                await send_json(send, 200, {})
            case _:
                await send_json(send, 404, {"error": "no such path"})

    def _lagging_list(self, now_ms: float) -> list[Any]:
        while (
            len(self._past_lists) > 1
            and self._past_lists[1][0] <= now_ms - self._lag_ms
        ):
            self._past_lists.popleft()
        return self._past_lists[0][1]
