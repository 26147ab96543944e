"""Callers' HTTP/1.1 connections: limits that apply before a request is complete."""

import asyncio
import contextlib
import logging
import socket
import struct
from typing import Any

import h11

from ...kernel.bounded_protocol import (
    MAX_CONNECTIONS,
    BoundedProtocol,
    ConnectionBounds,
    make_bounded_protocol,
)
from ...kernel.byte_budget import ByteBudget, compute_budget_bytes
from ...kernel.codes import Code, Failure, failure
from ...kernel.http import DEFAULT_MEMORY_MB, ON_DISCONNECT
from ...kernel.metrics import Metrics

__all__ = ["make_caller_protocol"]

# Values of SO_LINGER with which a close resets the connection, and with which it does
# not.
RESET, NO_RESET = struct.pack("ii", 1, 0), struct.pack("ii", 0, 0)


def make_caller_protocol(
    metrics: Metrics,
    head_timeout_ms: float,
    max_connections: int = MAX_CONNECTIONS,
    unread_ms: float = ConnectionBounds().unread_ms,
    budget: ByteBudget | None = None,
) -> type[BoundedProtocol]:
    """Return a connection class for uvicorn.

    A connection whose next request's first line and headers do not arrive in
    time, or are not HTTP, is answered with a result code, counted and closed.

    Parameters
    ----------
    metrics : Metrics
    head_timeout_ms : float
        Longest time that a request's first line and headers may take.
    max_connections : int
        Connections that may be open at once; a further one takes the place of one that
        has stalled, or is refused.
    unread_ms : float
        Time for which a caller may read nothing of a response while more of it waits.
    budget : ByteBudget or None
        Limits what is held for callers; None takes one for the smallest hosts.
    """
    if budget is None:
        budget = ByteBudget(compute_budget_bytes(DEFAULT_MEMORY_MB), metrics)
    base = make_bounded_protocol(budget, ConnectionBounds(max_connections, unread_ms))
    # Hostile callers could fill the log, so uvicorn's messages about bad input are
    # not logged; counters record the same events.
    silent_logger = logging.getLogger("cowslipwood.callers")
    silent_logger.setLevel(logging.CRITICAL)

    class CallerProtocol(base):
        """One caller's connection."""

        def __init__(self, *args: Any, **kwargs: Any):
            super().__init__(*args, **kwargs)
            self.logger = silent_logger
            self._head_timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport: asyncio.Transport) -> None:
            super().connection_made(transport)
            if not transport.is_closing():
                self._start_head_timer()

        def connection_lost(self, exc: Exception | None) -> None:
            self._cancel_head_timer()
            super().connection_lost(exc)
            self._notify_disconnect()

        def eof_received(self) -> None:
            super().eof_received()
            self._notify_disconnect()

        def data_received(self, data: bytes) -> None:
            super().data_received(data)
            if self.conn.their_state is h11.IDLE and not self.is_between_requests():
                self._start_head_timer()
            else:
                self._cancel_head_timer()
            if self.cycle is not None and not self.cycle.response_complete:
                self._set_linger(RESET)

        def on_response_complete(self) -> None:
            self._set_linger(NO_RESET)
            super().on_response_complete()

        def _set_linger(self, value: bytes) -> None:
            """Choose how a connection ends at whose end HTTP/1.0 callers take answers.

            To them, any end but a reset is the end of a complete answer.
            """
            if self.conn.their_http_version == b"1.0":
                sock = self.transport.get_extra_info("socket")
                with contextlib.suppress(OSError):  # The caller has left.
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

        def send_400_response(self, msg: str) -> None:
            self._cancel_head_timer()
            self.refuse_and_close(failure(Code.BAD_HEADER, msg))

        def _notify_disconnect(self) -> None:
            """Call the request's disconnect callback, if it has set one.

            The application's `receive` reports a disconnect some iterations of the
            event loop later, each of which is long while the entry is busy.
            """
            if self.cycle is not None and not self.cycle.response_complete:
                callback = self.cycle.scope["state"].get(ON_DISCONNECT)
                if callback is not None:
                    callback()

        def _start_head_timer(self) -> None:
            if self._head_timer is None:
                self._head_timer = self.loop.call_later(
                    head_timeout_ms / 1000, self._on_head_timeout
                )

        def _cancel_head_timer(self) -> None:
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _on_head_timeout(self) -> None:
            self._head_timer = None
            if self.transport.is_closing():
                return
            self.refuse_and_close(failure(Code.HEAD_TIMEOUT))

        def refuse_and_close(self, fault: Failure, reads_on: bool = False) -> None:
            metrics.count("refusals_total", reason=fault.code.name)
            super().refuse_and_close(fault, reads_on)

    return CallerProtocol
