"""A stand-in plain service that counts how often each request was run."""

from typing import Any

import anyio
import orjson

from ..kernel.http import read_request, send_json

__all__ = ["StandinService"]

MAX_BODY_BYTES = 8 * 1024 * 1024


class StandinService:
    """Answers each call with the running count and the request's body.

    Parameters
    ----------
    answer_ms : float
        Time that a call takes.
    """

    def __init__(self, answer_ms: float = 5.0):
        self._answer_ms = answer_ms
        self.run_count = 0

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        request = read.value_or(None)
        if request is None:
            return
        self.run_count += 1
        count = self.run_count
        await anyio.sleep(self._answer_ms / 1000)
        await send_json(
            send, 200, {"run_count": count, "request": _as_json(request.body)}
        )


def _as_json(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return body.decode("utf-8", "replace") or None
