"""The ASGI application for callers.

It checks each request against the limits, passes it to the first front end that
matches, and ends the request when its caller disconnects.
"""

import uuid
from collections.abc import Sequence
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from ...kernel.http import Request, read_request
from ...kernel.logs import get_logger
from .._components import CallerRequest, EntryComponents, FrontEnd
from ._answer_writer import AnswerWriter, CallerStalledError
from ._call import parse_request_id

__all__ = ["CallerApp", "RequestLimits"]

# Milliseconds after which a caller may retry when the entry itself refused it.
RETRY_AFTER_MS = 1_000


class RequestLimits(NamedTuple):
    """Limits on callers' requests.

    Parameters
    ----------
    max_body_bytes : int
        Largest body of one request.
    max_open_requests : int
        Requests of all callers that may be open at once.
    body_timeout_ms : float
        Longest time that a request's body may take to arrive.
    send_timeout_ms : float
        Longest time that a part of an answer may wait for the caller.
    """

    max_body_bytes: int = 8 * 1024 * 1024
    max_open_requests: int = 2_048
    body_timeout_ms: float = 30_000.0
    send_timeout_ms: float = 10_000.0


class CallerApp:
    """Serves callers' requests as an ASGI application.

    Parameters
    ----------
    components : EntryComponents
    front_ends : sequence of FrontEnd
        The first one that matches a request serves it.
    limits : RequestLimits or None
        None applies the defaults.
    """

    def __init__(
        self,
        components: EntryComponents,
        front_ends: Sequence[FrontEnd],
        limits: RequestLimits | None = None,
    ):
        self._components = components
        self._front_ends = front_ends
        self._limits = limits or RequestLimits()
        self.n_in_flight = 0
        self.leaving = False

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        metrics = self._components.metrics
        writer = AnswerWriter(send, metrics, self._limits.send_timeout_ms)
        self.n_in_flight += 1
        metrics.gauge("in_flight", self.n_in_flight)
        try:
            await self._serve(scope, receive, writer)
        except CallerStalledError:
            metrics.count("callers_lost_total", reason=Code.SEND_TIMEOUT.name)
        finally:
            self.n_in_flight -= 1
            metrics.gauge("in_flight", self.n_in_flight)

    async def _serve(self, scope: dict, receive: Any, writer: AnswerWriter) -> None:
        arrived_ms = self._components.now_ms()
        request_id = _read_request_id(scope, writer)
        admission = request_id.bind(lambda _: self._check_admission(writer))
        if isinstance(admission, Err):
            await writer.send_failure(admission.failure())
            return
        received = await self._read_request(scope, receive)
        if isinstance(received, Err):
            await self._refuse_unread(writer, received.failure())
            return
        request = CallerRequest(received.unwrap(), request_id.unwrap(), arrived_ms)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._cancel_on_disconnect, receive, writer, tasks.cancel_scope
            )
            await self._serve_catching_errors(request, writer)
            tasks.cancel_scope.cancel()

    def _check_admission(self, writer: AnswerWriter) -> Result[None, Failure]:
        if self.leaving:
            writer.headers["connection"] = "close"
            return Err(failure(Code.ENTRY_LEAVING, "", RETRY_AFTER_MS))
        if not self._components.view.knows_catalogue:
            return Err(failure(Code.NO_CATALOGUE, "", RETRY_AFTER_MS))
        if self.n_in_flight > self._limits.max_open_requests:
            return Err(failure(Code.TOO_MANY_CONNECTIONS, "", RETRY_AFTER_MS))
        return Success(None)

    async def _read_request(
        self, scope: dict, receive: Any
    ) -> Result[Request, Failure]:
        with anyio.move_on_after(self._limits.body_timeout_ms / 1000):
            return await read_request(scope, receive, self._limits.max_body_bytes)
        return Err(failure(Code.BODY_TIMEOUT))

    async def _refuse_unread(self, writer: AnswerWriter, fault: Failure) -> None:
        if fault.code is Code.PEER_GONE:
            self._count_lost_caller(fault)
            return
        writer.headers["connection"] = "close"
        await writer.send_failure(fault)

    async def _cancel_on_disconnect(
        self, receive: Any, writer: AnswerWriter, scope: anyio.CancelScope
    ) -> None:
        """Cancel the request as soon as its caller disconnects."""
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                break
        if not writer.ended:
            self._count_lost_caller(failure(Code.PEER_GONE))
            scope.cancel()

    async def _serve_catching_errors(
        self, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        """Serve a request; an unexpected exception ends only this request."""
        try:
            await self._serve_with_front_end(request, writer)
        except CallerStalledError:
            self._count_lost_caller(failure(Code.SEND_TIMEOUT))
        except Exception:
            get_logger().exception("request_failed", request_id=request.request_id)
            await writer.send_failure(failure(Code.INTERNAL_ERROR))

    async def _serve_with_front_end(
        self, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        for front_end in self._front_ends:
            if front_end.matches(request.http.method, request.http.path):
                await front_end.serve(request, writer, self._components)
                return
        await writer.send_failure(failure(Code.NO_SUCH_ROUTE))

    def _count_lost_caller(self, fault: Failure) -> None:
        self._components.metrics.count("callers_lost_total", reason=fault.code.name)


def _read_request_id(scope: dict, writer: AnswerWriter) -> Result[str, Failure]:
    """Return the request's id, and set it as a header of every answer.

    A request without an ``X-Request-Id`` header gets a generated id; so does the
    answer to a request whose header is not valid.
    """
    given_id = next((v for k, v in scope["headers"] if k == b"x-request-id"), None)
    generated_id = uuid.uuid4().hex
    if given_id is None:
        request_id: Result[str, Failure] = Success(generated_id)
    else:
        request_id = parse_request_id(given_id.decode("latin-1"))
    writer.headers["x-request-id"] = request_id.value_or(generated_id)
    return request_id
