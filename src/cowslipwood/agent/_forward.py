"""Forwards calls to the backend server and their answers to the caller.

An answer is forwarded as it arrives. When it ends early, the answer to the caller is
broken off as well, so that it never looks complete.
"""

import enum
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import anyio
import httpcore

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, failure
from ..kernel.event_stream import (
    EventSplitter,
    EventTooLongError,
    StatusLineError,
    is_event_stream,
)
from ..kernel.http import send_failure
from ..kernel.http_connection import (
    is_valid_status,
    names_invalid_status,
    read_body_end,
)
from ..kernel.logs import get_logger
from ..kernel.server_probe import still_accepts_connections
from ._answer_end import ends_with_connection, was_reset_after_end
from ._server_limit import ServerLimit

__all__ = ["BackendCall", "ForwardOutcome", "ForwardResult", "Forwarder"]

# Longest time to connect to the backend server, in milliseconds.
CONNECT_TIMEOUT_MS = 1_000
# Default time without a byte of the answer after which the call is given up, in
# milliseconds.
IDLE_TIMEOUT_MS = 60_000
# Largest number of connections to the backend server.
MAX_CONNECTIONS = 1_024
# Retry delay in the refusal of a call that did not run, in milliseconds.
RETRY_AFTER_MS = 500
# Answer headers that concern only the connection to the backend server.
_HOP_HEADERS = frozenset((b"connection", b"transfer-encoding", b"keep-alive"))
# Prefix of the headers that only the system's own processes may set.
_INTERNAL_HEADER_PREFIX = b"x-cowslip-"
# Errors after which it is certain that the call was not sent.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)

Headers = list[tuple[bytes, bytes]]


class ForwardOutcome(enum.StrEnum):
    """How a call ended at the backend server."""

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    CUT = "cut"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class BackendCall(NamedTuple):
    """The HTTP request of a call to the backend server."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


class ForwardResult(NamedTuple):
    """How a call ended and how long it took.

    Parameters
    ----------
    outcome : ForwardOutcome
    status : int
        HTTP status of the answer; 0 when there was no answer.
    first_byte_ms : float
        Time to the first byte of the answer's body.
    remaining_ms : float
        Time from the first byte to the end of the answer.
    """

    outcome: ForwardOutcome
    status: int = 0
    first_byte_ms: float = 0.0
    remaining_ms: float = 0.0


class Forwarder:
    """Forwards calls to one backend server, each over a connection of its own.

    Parameters
    ----------
    backend_url : str
        ``http://ip:port``.
    refusals : mapping of int to Code
        HTTP statuses by which the backend server refuses a call before running it.
    idle_timeout_ms : float
        Time without a byte of the answer after which the call is given up.
    limit : ServerLimit or None
        Is told of the limit that each answer names.
    """

    def __init__(
        self,
        backend_url: str,
        refusals: Mapping[int, Code],
        idle_timeout_ms: float = IDLE_TIMEOUT_MS,
        limit: ServerLimit | None = None,
    ):
        self._limit = limit or ServerLimit()
        self._backend_url = backend_url
        self._refusals = refusals
        self._idle_timeout_ms = idle_timeout_ms
        # Backend servers repeat no ids, so on a kept connection a second answer to one
        # call would be taken for the answer to the next.
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=0
        )

    async def forward(
        self,
        call: BackendCall,
        send: Any,
        make_report_headers: Callable[[], dict[str, str]],
        wait_for_disconnect: Callable[[], Awaitable[None]] | None,
    ) -> ForwardResult:
        """Forward a call and its answer until the call ends.

        After a cut answer, the code that called this method has to break off its own
        answer.

        Parameters
        ----------
        call : BackendCall
        send : callable
            ASGI send.
        make_report_headers : callable
            Returns headers to add to the answer.
        wait_for_disconnect : callable or None
            Returns when the caller has disconnected; None for a call that continues
            without its caller.
        """
        answer = _AnswerSender(send, make_report_headers)
        async with anyio.create_task_group() as tasks:
            if wait_for_disconnect is not None:
                tasks.start_soon(
                    _cancel_on_disconnect, wait_for_disconnect, tasks.cancel_scope
                )
            await self._forward_until_idle(call, answer)
            tasks.cancel_scope.cancel()
        return answer.result

    async def _forward_until_idle(
        self, call: BackendCall, answer: "_AnswerSender"
    ) -> None:
        """Forward a call unless the backend server is silent for too long."""
        idle_s = self._idle_timeout_ms / 1000
        sent_ms = monotonic_ms()
        with anyio.CancelScope(deadline=anyio.current_time() + idle_s) as idle_scope:
            try:
                async with self._pool.stream(
                    call.method,
                    self._backend_url + call.target,
                    headers=call.headers,
                    content=call.body,
                    extensions={"timeout": {"connect": CONNECT_TIMEOUT_MS / 1000}},
                ) as response:
                    self._limit.record_answer(
                        response.status, response.headers, sent_ms, monotonic_ms()
                    )
                    await self._forward_answer(call, response, answer, idle_scope)
            except _NOT_SENT_ERRORS:
                await answer.refuse(Code.BACKEND_UNREACHABLE, ForwardOutcome.NOT_SENT)
            except StatusLineError as exc:
                get_logger().info("answer_cut", reason=str(exc))
                await answer.fail(Code.ANSWER_CUT)
            except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
                is_bad_status = names_invalid_status(str(exc))
                await answer.fail(
                    Code.BAD_STATUS if is_bad_status else Code.OUTCOME_UNKNOWN
                )
        if idle_scope.cancelled_caught:
            await answer.fail(Code.BACKEND_TIMEOUT)

    async def _forward_answer(
        self,
        call: BackendCall,
        response: httpcore.Response,
        answer: "_AnswerSender",
        idle_scope: anyio.CancelScope,
    ) -> None:
        refusal = self._refusals.get(response.status)
        if refusal is not None:
            await answer.refuse(refusal, ForwardOutcome.REFUSED)
            return
        if not is_valid_status(response.status):
            await answer.fail(Code.BAD_STATUS)
            return
        await answer.send_start(response)
        stream_end = _StreamEnd(response.headers)
        async for chunk in response.aiter_stream():
            stream_end.feed(chunk)
            await answer.send_chunk(chunk)
            idle_scope.deadline = anyio.current_time() + self._idle_timeout_ms / 1000
        break_reason = stream_end.find_break()
        if not break_reason and ends_with_connection(response, call.method):
            break_reason = await self._find_break_at_end(response, call)
        if break_reason:
            get_logger().info("answer_cut", reason=break_reason)
            await answer.fail(Code.ANSWER_CUT)
            return
        await answer.finish()

    async def _find_break_at_end(
        self, response: httpcore.Response, call: BackendCall
    ) -> str:
        """Return why an answer that ended with its connection is not whole, or ""."""
        if await was_reset_after_end(response, call.method, bool(call.body)):
            return "the connection was reset after its end"
        if response.status < 300:
            # A server that is killed ends its connections like those of whole answers.
            addr = self._backend_url.removeprefix("http://")
            if not await still_accepts_connections(addr):
                return "the connection ended and its server is gone"
        return ""


class _StreamEnd:
    """Tells whether an answer that has ended is a stream that was broken off."""

    def __init__(self, headers: Headers):
        self._body_end = read_body_end(headers)
        self._splitter: EventSplitter | None = None
        if is_event_stream(headers, default=False):
            self._splitter = EventSplitter(whole_only=False)

    def feed(self, chunk: bytes) -> None:
        """Take a part of the body."""
        if self._splitter is None:
            return
        try:
            self._splitter.feed(chunk)
        except EventTooLongError as exc:
            # Services may send events of any size; their ends are then not checked.
            get_logger().info("stream_end_unchecked", reason=str(exc))
            self._splitter = None

    def find_break(self) -> str:
        """Return why the answer was broken off; empty if it was not."""
        if self._splitter is None:
            return ""
        return self._splitter.find_break(self._body_end)


class _AnswerSender:
    """Sends the answer of one call to the caller and measures its times."""

    def __init__(self, send: Any, make_report_headers: Callable[[], dict[str, str]]):
        self._send = send
        self._make_report_headers = make_report_headers
        self._started_ms = monotonic_ms()
        self._first_byte_at_ms = 0.0
        self._status = 0
        self.result = ForwardResult(ForwardOutcome.CANCELLED)

    async def send_start(self, response: httpcore.Response) -> None:
        """Send the status and the headers of the backend server's answer."""
        self._status = response.status
        headers = [
            (name.lower(), value)
            for name, value in response.headers
            if not _is_dropped_header(name.lower())
        ]
        headers += [
            (name.encode(), value.encode())
            for name, value in self._make_report_headers().items()
        ]
        await self._send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body."""
        if not self._first_byte_at_ms:
            self._first_byte_at_ms = monotonic_ms()
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self) -> None:
        """Send the end of a complete answer."""
        now_ms = monotonic_ms()
        first_byte_at_ms = self._first_byte_at_ms or now_ms
        self.result = ForwardResult(
            ForwardOutcome.WHOLE,
            self._status,
            first_byte_at_ms - self._started_ms,
            now_ms - first_byte_at_ms,
        )
        await self._send({"type": "http.response.body", "body": b""})

    async def refuse(self, code: Code, outcome: ForwardOutcome) -> None:
        """Send a refusal that says that the call did not run."""
        self.result = ForwardResult(outcome)
        await send_failure(
            self._send, failure(code, "", RETRY_AFTER_MS), self._make_report_headers()
        )

    async def fail(self, code: Code) -> None:
        """Send a failure that says that the call may have run.

        Once the answer has begun, nothing is sent and the answer counts as cut.
        """
        if self._status:
            self.result = ForwardResult(ForwardOutcome.CUT, self._status)
            return
        self.result = ForwardResult(ForwardOutcome.UNKNOWN)
        await send_failure(self._send, failure(code), self._make_report_headers())


def _is_dropped_header(name: bytes) -> bool:
    return name in _HOP_HEADERS or name.startswith(_INTERNAL_HEADER_PREFIX)


async def _cancel_on_disconnect(
    wait_for_disconnect: Callable[[], Awaitable[None]], scope: anyio.CancelScope
) -> None:
    await wait_for_disconnect()
    scope.cancel()
