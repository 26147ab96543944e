"""Writes the HTTP answer to one caller through ASGI."""

from collections.abc import Iterable, Mapping
from typing import Any

import anyio
import orjson

from ...kernel.codes import CODE_INFO, Failure
from ...kernel.http import make_error_body
from ...kernel.metrics import Metrics

__all__ = ["AnswerWriter", "CallerStalledError"]

_JSON_HEADERS = {"content-type": "application/json"}
_EVENT_STREAM_HEADERS = {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
}
_STATUSES_WITHOUT_BODY = (204, 304)


class CallerStalledError(Exception):
    """The caller did not read its answer within the send timeout."""


class AnswerWriter:
    """Sends one answer to a caller.

    A send that waits too long for the caller raises `CallerStalledError`, which
    ends the request.

    Parameters
    ----------
    send : callable
        ASGI send.
    metrics : Metrics
    send_timeout_ms : float
        Longest time that one send may wait for the caller.

    Attributes
    ----------
    headers : dict of str to str
        Added to the answer, in place of headers of the same name.
    started, ended : bool
        Whether the status and the last part of the body have been sent.
    failure_sent : Failure or None
        The failure with which the request ended.
    """

    def __init__(self, send: Any, metrics: Metrics, send_timeout_ms: float):
        self._send = send
        self._metrics = metrics
        self._send_timeout_s = send_timeout_ms / 1000
        self.headers: dict[str, str] = {}
        self.started = False
        self.ended = False
        self.failure_sent: Failure | None = None

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status and headers."""
        all_headers = {**headers, **self.headers}
        raw_headers = [
            (k.encode(), v.encode("latin-1")) for k, v in all_headers.items()
        ]
        self.started = True
        await self._send_message(
            {"type": "http.response.start", "status": status, "headers": raw_headers}
        )

    async def write(self, data: bytes) -> None:
        """Send the next part of the body."""
        await self._send_message(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        self.ended = True
        await self._send_message({"type": "http.response.body", "body": data})

    async def send_answer(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send an answer whose body is complete."""
        length = (
            {}
            if status in _STATUSES_WITHOUT_BODY
            else {"content-length": str(len(body))}
        )
        await self.start(status, {**headers, **length})
        await self.end(body)

    async def send_json(self, value: Any, status: int = 200) -> None:
        """Send an answer with a JSON body."""
        await self.send_answer(status, _JSON_HEADERS, orjson.dumps(value))

    async def send_failure(self, fault: Failure) -> None:
        """Answer with a result code; an answer that has begun is left unfinished."""
        self.failure_sent = fault
        self._metrics.count("refusals_total", reason=fault.code.name)
        if self.started:
            return
        headers = {**_JSON_HEADERS, "x-cowslip-outcome": fault.outcome.value}
        if fault.retry_after_ms:
            retry_after_s = max(1, -(-round(fault.retry_after_ms) // 1000))
            headers["retry-after"] = str(retry_after_s)
        status = CODE_INFO[fault.code].http_status
        await self.send_answer(status, headers, orjson.dumps(make_error_body(fault)))

    async def start_events(self) -> None:
        """Begin a stream of server-sent events."""
        await self.start(200, _EVENT_STREAM_HEADERS)

    async def write_events(self, values: Iterable[Any]) -> None:
        """Send several events in one write."""
        await self.write(_encode_events(values))

    async def end_events(self, values: Iterable[Any]) -> None:
        """Send the last events and the ``[DONE]`` event of a complete answer."""
        await self.end(_encode_events(values) + b"data: [DONE]\n\n")

    async def abort_events(self, fault: Failure) -> None:
        """Send an error event and leave the stream without its ``[DONE]`` event."""
        data = b"event: error\ndata: " + orjson.dumps(make_error_body(fault)) + b"\n\n"
        await self.write(data)
        await self.send_failure(fault)

    async def _send_message(self, message: dict[str, Any]) -> None:
        try:
            with anyio.fail_after(self._send_timeout_s):
                await self._send(message)
        except TimeoutError:
            raise CallerStalledError from None


def _encode_events(values: Iterable[Any]) -> bytes:
    return b"".join(b"data: " + orjson.dumps(value) + b"\n\n" for value in values)
