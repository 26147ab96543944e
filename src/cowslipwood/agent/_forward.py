"""Passes one call to the backend server and its answer back, as it comes.

An answer that ends early breaks the caller's answer, too: it never looks whole.
"""

import enum
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import anyio
import httpcore

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, failure
from ..kernel.http import send_failure

__all__ = ["BackendCall", "ForwardResult", "Forwarder", "ForwardOutcome"]

CONNECT_TIMEOUT_MS = 1_000
IDLE_TIMEOUT_MS = 60_000
KEEP_ALIVE_MS = 5_000
MAX_CONNECTIONS = 1_024
RETRY_AFTER_MS = 500
_HOP_HEADERS = frozenset((b"connection", b"transfer-encoding", b"keep-alive"))
_OWN_PREFIX = b"x-cowslip-"
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)

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
    """One call as the backend server gets it."""

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
        0 when there was no answer.
    first_ms : float
        Time to the first byte of the body.
    rest_ms : float
        Time from there to the end.
    """

    outcome: ForwardOutcome
    status: int = 0
    first_ms: float = 0.0
    rest_ms: float = 0.0


class Forwarder:
    """Keeps connections to one backend server.

    Parameters
    ----------
    backend_url : str
        ``http://ip:port``.
    refusals : mapping of int to Code
        Statuses by which the backend server refuses before it runs a call.
    idle_timeout_ms : float
        Silence after which an answer is given up.
    """

    def __init__(
        self,
        backend_url: str,
        refusals: Mapping[int, Code],
        idle_timeout_ms: float = IDLE_TIMEOUT_MS,
    ):
        self._backend_url = backend_url
        self._refusals = refusals
        self._idle_timeout_ms = idle_timeout_ms
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEP_ALIVE_MS / 1000
        )

    async def forward(
        self,
        call: BackendCall,
        send: Any,
        report: Callable[[], dict[str, str]],
        until_gone: Callable[[], Awaitable[None]] | None,
    ) -> ForwardResult:
        """Forward a call to its end.

        When that is a cut answer, the caller of this has to break its own.

        Parameters
        ----------
        call : BackendCall
        send : callable
            ASGI send.
        report : callable
            Returns headers for the answer.
        until_gone : callable or None
            Returns when the caller is gone; None for a call that runs on
            without its caller.
        """
        answer = _Answer(send, report)
        async with anyio.create_task_group() as tasks:
            if until_gone is not None:
                tasks.start_soon(_cancel_when, until_gone, tasks.cancel_scope)
            await self._pass(call, answer)
            tasks.cancel_scope.cancel()
        return answer.end

    async def _pass(self, call: BackendCall, answer: "_Answer") -> None:
        idle_s = self._idle_timeout_ms / 1000
        with anyio.CancelScope(deadline=anyio.current_time() + idle_s) as idle:
            try:
                async with self._pool.stream(
                    call.method,
                    self._backend_url + call.target,
                    headers=call.headers,
                    content=call.body,
                    extensions={"timeout": {"connect": CONNECT_TIMEOUT_MS / 1000}},
                ) as response:
                    await self._pass_answer(response, answer, idle)
            except _NOT_SENT:
                await answer.refuse(Code.BACKEND_UNREACHABLE, ForwardOutcome.NOT_SENT)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                await answer.fail(Code.OUTCOME_UNKNOWN)
        if idle.cancelled_caught:
            await answer.fail(Code.BACKEND_TIMEOUT)

    async def _pass_answer(
        self, response: httpcore.Response, answer: "_Answer", idle: anyio.CancelScope
    ) -> None:
        refusal = self._refusals.get(response.status)
        if refusal is not None:
            await answer.refuse(refusal, ForwardOutcome.REFUSED)
            return
        await answer.begin(response)
        async for chunk in response.aiter_stream():
            await answer.add(chunk)
            idle.deadline = anyio.current_time() + self._idle_timeout_ms / 1000
        await answer.finish()


class _Answer:
    """The answer to one call, as far as it has come."""

    def __init__(self, send: Any, report: Callable[[], dict[str, str]]):
        self._send = send
        self._report = report
        self._began_ms = monotonic_ms()
        self._first_ms = 0.0
        self._status = 0
        self.end = ForwardResult(ForwardOutcome.CANCELLED)

    async def begin(self, response: httpcore.Response) -> None:
        self._status = response.status
        headers = [
            (name.lower(), value)
            for name, value in response.headers
            if not _is_own(name.lower())
        ]
        headers += [(k.encode(), v.encode()) for k, v in self._report().items()]
        await self._send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )

    async def add(self, chunk: bytes) -> None:
        if not self._first_ms:
            self._first_ms = monotonic_ms()
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self) -> None:
        now_ms = monotonic_ms()
        first_ms = self._first_ms or now_ms
        self.end = ForwardResult(
            ForwardOutcome.WHOLE,
            self._status,
            first_ms - self._began_ms,
            now_ms - first_ms,
        )
        await self._send({"type": "http.response.body", "body": b""})

    async def refuse(self, code: Code, outcome: ForwardOutcome) -> None:
        """Tell the caller that the call did not run."""
        self.end = ForwardResult(outcome)
        await send_failure(
            self._send, failure(code, "", RETRY_AFTER_MS), self._report()
        )

    async def fail(self, code: Code) -> None:
        """Tell the caller that the call may have run, unless its answer has begun."""
        if self._status:
            self.end = ForwardResult(ForwardOutcome.CUT, self._status)
            return
        self.end = ForwardResult(ForwardOutcome.UNKNOWN)
        await send_failure(self._send, failure(code), self._report())


def _is_own(name: bytes) -> bool:
    return name in _HOP_HEADERS or name.startswith(_OWN_PREFIX)


async def _cancel_when(
    until_gone: Callable[[], Awaitable[None]], scope: anyio.CancelScope
) -> None:
    await until_gone()
    scope.cancel()
