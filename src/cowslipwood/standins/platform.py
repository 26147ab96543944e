"""A stand-in platform: a lagging list of live and leaving hosts."""

from collections import deque
from typing import Any

import orjson

from ..kernel.clock import monotonic_ms
from ..kernel.http import read_request, send_json

__all__ = ["StandinPlatform"]

MAX_BODY_BYTES = 1024 * 1024


class StandinPlatform:
    """Answers ``GET /hosts`` with the list as it was a while ago.

    ``POST /standin/hosts`` sets the list: ``[{"server_id", "state"}]``.

    Parameters
    ----------
    lag_ms : float
        How long a change takes to show.
    """

    def __init__(self, lag_ms: float = 0.0):
        self._lag_ms = lag_ms
        self._history: deque[tuple[float, list[Any]]] = deque([(0.0, [])])

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        request = read.value_or(None)
        if request is None:
            return
        now_ms = monotonic_ms()
        match request.method, request.path:
            case "GET", "/hosts":
                await send_json(send, 200, self._listed(now_ms))
            case "POST", "/standin/hosts":
                self._history.append((now_ms, orjson.loads(request.body)))
                await send_json(send, 200, {})
            case _:
                await send_json(send, 404, {"error": "no such path"})

    def _listed(self, now_ms: float) -> list[Any]:
        while len(self._history) > 1 and self._history[1][0] <= now_ms - self._lag_ms:
            self._history.popleft()
        return self._history[0][1]
