"""The callers' HTTP interface: finds the front end and guards the connection."""

import uuid
from collections.abc import Sequence
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from ...kernel.http import Request, read_request
from ...kernel.logs import get_logger
from .._serving import CallerRequest, FrontEnd, Serving
from ._call import parse_request_id
from ._caller import Caller, CallerStalledError

__all__ = ["Bounds", "Front"]

RETRY_AFTER_MS = 1_000


class Bounds(NamedTuple):
    """What one caller, and all of them together, may take.

    Parameters
    ----------
    max_body_bytes : int
    max_open_requests : int
    body_timeout_ms : float
        Longest time that a request's body may take to arrive.
    send_timeout_ms : float
        Longest time that a part of an answer may wait for the caller.
    """

    max_body_bytes: int = 8 * 1024 * 1024
    max_open_requests: int = 2_048
    body_timeout_ms: float = 30_000.0
    send_timeout_ms: float = 10_000.0


class Front:
    """Serves callers, an ASGI application.

    Parameters
    ----------
    serving : Serving
    front_ends : sequence of FrontEnd
        Asked in order.
    bounds : Bounds
    """

    def __init__(
        self,
        serving: Serving,
        front_ends: Sequence[FrontEnd],
        bounds: Bounds | None = None,
    ):
        self._serving = serving
        self._front_ends = front_ends
        self._bounds = bounds or Bounds()
        self.n_in_flight = 0
        self.leaving = False

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        metrics = self._serving.metrics
        caller = Caller(send, metrics, self._bounds.send_timeout_ms)
        self.n_in_flight += 1
        metrics.gauge("in_flight", self.n_in_flight)
        try:
            await self._serve(scope, receive, caller)
        except CallerStalledError:
            metrics.count("callers_lost_total", reason=Code.SEND_TIMEOUT.name)
        finally:
            self.n_in_flight -= 1
            metrics.gauge("in_flight", self.n_in_flight)

    async def _serve(self, scope: dict, receive: Any, caller: Caller) -> None:
        arrived_ms = self._serving.now_ms()
        identified = _identify(scope, caller)
        admitted = identified.bind(lambda _: self._admit(caller))
        if isinstance(admitted, Err):
            await caller.refuse(admitted.failure())
            return
        read = await self._read(scope, receive)
        if isinstance(read, Err):
            await self._refuse_unread(caller, read.failure())
            return
        request = CallerRequest(read.unwrap(), identified.unwrap(), arrived_ms)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch, receive, caller, tasks.cancel_scope)
            await self._serve_guarded(request, caller)
            tasks.cancel_scope.cancel()

    def _admit(self, caller: Caller) -> Result[None, Failure]:
        if self.leaving:
            caller.headers["connection"] = "close"
            return Err(failure(Code.ENTRY_LEAVING, "", RETRY_AFTER_MS))
        if not self._serving.view.knows_catalogue:
            return Err(failure(Code.NO_CATALOGUE, "", RETRY_AFTER_MS))
        if self.n_in_flight > self._bounds.max_open_requests:
            return Err(failure(Code.TOO_MANY_CONNECTIONS, "", RETRY_AFTER_MS))
        return Success(None)

    async def _read(self, scope: dict, receive: Any) -> Result[Request, Failure]:
        with anyio.move_on_after(self._bounds.body_timeout_ms / 1000):
            return await read_request(scope, receive, self._bounds.max_body_bytes)
        return Err(failure(Code.BODY_TIMEOUT))

    async def _refuse_unread(self, caller: Caller, fault: Failure) -> None:
        if fault.code is Code.PEER_GONE:
            self._count_lost(fault)
            return
        caller.headers["connection"] = "close"
        await caller.refuse(fault)

    async def _watch(
        self, receive: Any, caller: Caller, scope: anyio.CancelScope
    ) -> None:
        """Cancel the request as soon as its caller hangs up."""
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                break
        if not caller.ended:
            self._count_lost(failure(Code.PEER_GONE))
            scope.cancel()

    async def _serve_guarded(self, request: CallerRequest, caller: Caller) -> None:
        """Serve a request; an unforeseen error ends this request only."""
        try:
            await self._dispatch(request, caller)
        except CallerStalledError:
            self._count_lost(failure(Code.SEND_TIMEOUT))
        except Exception:
            get_logger().exception("request_failed", request_id=request.request_id)
            await caller.refuse(failure(Code.INTERNAL_ERROR))

    async def _dispatch(self, request: CallerRequest, caller: Caller) -> None:
        for front_end in self._front_ends:
            if front_end.matches(request.http.method, request.http.path):
                await front_end.serve(request, caller, self._serving)
                return
        await caller.refuse(failure(Code.NO_SUCH_ROUTE))

    def _count_lost(self, fault: Failure) -> None:
        self._serving.metrics.count("callers_lost_total", reason=fault.code.name)


def _identify(scope: dict, caller: Caller) -> Result[str, Failure]:
    """Return the request's id, which each answer carries."""
    given = next((v for k, v in scope["headers"] if k == b"x-request-id"), None)
    made = uuid.uuid4().hex
    if given is None:
        parsed: Result[str, Failure] = Success(made)
    else:
        parsed = parse_request_id(given.decode("latin-1"))
    caller.headers["x-request-id"] = parsed.value_or(made)
    return parsed
