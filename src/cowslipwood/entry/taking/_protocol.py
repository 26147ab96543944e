"""The callers' side of HTTP/1.1 connections: bounds on what precedes a request."""

import asyncio
import logging
from typing import Any

import h11
import orjson
from uvicorn.protocols.http.h11_impl import H11Protocol

from ...kernel.codes import CODE_INFO, Code, Failure, failure
from ...kernel.http import error_body
from ...kernel.metrics import Metrics

__all__ = ["caller_protocol"]

MAX_CONNECTIONS = 4_000
RETRY_AFTER_MS = 1_000


def caller_protocol(
    metrics: Metrics, head_timeout_ms: float, max_connections: int = MAX_CONNECTIONS
) -> type[H11Protocol]:
    """Return a connection class for uvicorn.

    A connection on which a request's head is begun but not ended in time, or
    is no HTTP, is closed with a counter.

    Parameters
    ----------
    metrics : Metrics
    head_timeout_ms : float
        Longest time that a request's first line and headers may take.
    max_connections : int
        Connections that may be open at once; one more is refused.
    """
    # A hostile caller could fill the log; the counters tell of it as well.
    quiet = logging.getLogger("cowslipwood.callers")
    quiet.setLevel(logging.CRITICAL)

    class CallerProtocol(H11Protocol):
        """One caller's connection."""

        def __init__(self, *args: Any, **options: Any):
            super().__init__(*args, **options)
            self.logger = quiet
            self._head_timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport: asyncio.Transport) -> None:
            super().connection_made(transport)
            if len(self.connections) > max_connections:
                fault = failure(Code.TOO_MANY_CONNECTIONS, "", RETRY_AFTER_MS)
                self._close_with(fault)
                return
            self._await_head()

        def connection_lost(self, exc: Exception | None) -> None:
            self._stop_timer()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            super().data_received(data)
            if self.conn.their_state is h11.IDLE:
                self._await_head()
            else:
                self._stop_timer()

        def send_400_response(self, msg: str) -> None:
            self._stop_timer()
            self._close_with(failure(Code.BAD_HEADER, msg))

        def _await_head(self) -> None:
            if self._head_timer is None:
                self._head_timer = self.loop.call_later(
                    head_timeout_ms / 1000, self._head_late
                )

        def _stop_timer(self) -> None:
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _head_late(self) -> None:
            self._head_timer = None
            if self.transport.is_closing():
                return
            self._close_with(failure(Code.HEAD_TIMEOUT))

        def _close_with(self, fault: Failure) -> None:
            metrics.count("refusals_total", reason=fault.code.name)
            if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                self.transport.write(_refusal(self.conn, fault))
            self.transport.close()

    return CallerProtocol


def _refusal(conn: h11.Connection, fault: Failure) -> bytes:
    body = orjson.dumps(error_body(fault))
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
        (b"x-cowslip-outcome", fault.outcome.value.encode()),
    ]
    if fault.retry_after_ms:
        seconds = -(-fault.retry_after_ms // 1000)
        headers.append((b"retry-after", str(seconds).encode()))
    status = CODE_INFO[fault.code].http_status
    response = h11.Response(status_code=status, headers=headers, reason=b"")
    parts = [response, h11.Data(data=body), h11.EndOfMessage()]
    return b"".join(conn.send(part) for part in parts)
