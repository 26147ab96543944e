"""The caller's side of one request: what is sent to it, and how."""

from collections.abc import Iterable, Mapping
from typing import Any

import anyio
import orjson

from ...kernel.codes import CODE_INFO, Failure
from ...kernel.http import error_body
from ...kernel.metrics import Metrics

__all__ = ["Caller", "CallerStalledError"]

_JSON = {"content-type": "application/json"}
_EVENTS = {"content-type": "text/event-stream", "cache-control": "no-cache"}
_NO_BODY = (204, 304)


class CallerStalledError(Exception):
    """The caller has stopped reading its answer."""


class Caller:
    """Sends one answer; a caller that stops reading loses its connection.

    Parameters
    ----------
    send : callable
        ASGI send.
    metrics : Metrics
    send_timeout_ms : float
        Longest time that one send may wait for the caller.
    """

    def __init__(self, send: Any, metrics: Metrics, send_timeout_ms: float):
        self._send = send
        self._metrics = metrics
        self._send_timeout_s = send_timeout_ms / 1000
        self.headers: dict[str, str] = {}
        self.started = False
        self.ended = False
        self.refused: Failure | None = None

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status and headers."""
        merged = {**headers, **self.headers}
        pairs = [(k.encode(), v.encode("latin-1")) for k, v in merged.items()]
        self.started = True
        await self._put(
            {"type": "http.response.start", "status": status, "headers": pairs}
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._put({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        self.ended = True
        await self._put({"type": "http.response.body", "body": data})

    async def answer(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send one whole answer."""
        length = {} if status in _NO_BODY else {"content-length": str(len(body))}
        await self.start(status, {**headers, **length})
        await self.end(body)

    async def answer_json(self, value: Any, status: int = 200) -> None:
        """Send one whole JSON answer."""
        await self.answer(status, _JSON, orjson.dumps(value))

    async def refuse(self, fault: Failure) -> None:
        """Send a numbered refusal, or break off an answer that has begun."""
        self.refused = fault
        self._metrics.count("refusals_total", reason=fault.code.name)
        if self.started:
            return
        headers = {**_JSON, "x-cowslip-outcome": fault.outcome.value}
        if fault.retry_after_ms:
            seconds = max(1, -(-round(fault.retry_after_ms) // 1000))
            headers["retry-after"] = str(seconds)
        status = CODE_INFO[fault.code].http_status
        await self.answer(status, headers, orjson.dumps(error_body(fault)))

    async def start_events(self) -> None:
        """Begin a stream of server-sent events."""
        await self.start(200, _EVENTS)

    async def events(self, values: Iterable[Any]) -> None:
        """Send events in one write."""
        await self.write(_event_bytes(values))

    async def end_events(self, values: Iterable[Any]) -> None:
        """Send the last events and the closing one of a whole answer."""
        await self.end(_event_bytes(values) + b"data: [DONE]\n\n")

    async def break_events(self, fault: Failure) -> None:
        """Send an error event and leave the stream without its end."""
        data = b"event: error\ndata: " + orjson.dumps(error_body(fault)) + b"\n\n"
        await self.write(data)
        await self.refuse(fault)

    async def _put(self, message: dict[str, Any]) -> None:
        try:
            with anyio.fail_after(self._send_timeout_s):
                await self._send(message)
        except TimeoutError:
            raise CallerStalledError from None


def _event_bytes(values: Iterable[Any]) -> bytes:
    return b"".join(b"data: " + orjson.dumps(value) + b"\n\n" for value in values)
