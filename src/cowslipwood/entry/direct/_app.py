"""The callers' HTTP interface of an entry with direct routes."""

import math
import random
from typing import Any

import anyio
import orjson

from ...kernel.codes import CODE_INFO, Code, Failure, failure
from ...kernel.http import error_body
from ...kernel.logs import get_logger
from ...routes import pick_service
from ._exchange import Exchange
from ._headers import read_request_facts
from ._request import RoutedRequest
from ._state import DirectState

__all__ = ["RouteApp"]

# Until a document says what bodies are allowed.
DEFAULT_BODY_BYTES = 8_388_608
NO_CATALOGUE_RETRY_MS = 500
# Another entry takes it at once; 0 would not be told to the caller.
LEAVING_RETRY_MS = 10
# Of the caller's time: enough of it is left to come back to another entry.
DOCUMENT_WAIT_SHARE = 0.25
NO_REPLY_STATUS = 499  # what the log gives for a caller that left


class AnswerBrokenError(Exception):
    """An answer that has begun cannot be completed; its connection must end."""


class RouteApp:
    """An ASGI application that forwards requests by their routes.

    Parameters
    ----------
    state : DirectState
    rng : random.Random
    """

    def __init__(self, state: DirectState, rng: random.Random):
        self._state = state
        self._rng = rng
        self.n_in_flight = 0
        self.is_leaving = False
        self._ends_ms = math.inf

    def leave(self, ends_ms: float) -> None:
        """Begin to stop: the process is killed at this time.

        Requests are still taken, but only those that are over by then.
        """
        self.is_leaving = True
        self._ends_ms = ends_ms

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        self.n_in_flight += 1
        self._state.metrics.gauge("in_flight", self.n_in_flight)
        try:
            await self._serve(scope, receive, send)
        finally:
            self.n_in_flight -= 1
            self._state.metrics.gauge("in_flight", self.n_in_flight)

    async def _serve(self, scope: dict, receive: Any, send: Any) -> None:
        arrived_ms = self._state.now_ms()
        answer = _Answer(send, self)
        body = await self._read_body(receive)
        if body is None:
            return
        await self._await_document(scope)
        routed = self._route(scope, body, arrived_ms)
        if not isinstance(routed, Failure) and routed.answer_by_ms > self._ends_ms:
            # It could be cut by the kill, and its caller can still go elsewhere.
            routed = failure(Code.ENTRY_LEAVING, "", LEAVING_RETRY_MS)
        if isinstance(routed, Failure):
            await self._refuse(answer, _request_id(scope, self._state), routed)
            return
        fault: Failure | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch, receive, answer, routed, tasks.cancel_scope)
            fault = await self._exchange(routed, answer)
            answer.is_over = True
            tasks.cancel_scope.cancel()
        if answer.is_over:
            self._observe(routed, fault)
            if fault is not None:
                await self._refuse(answer, routed.facts.request_id, fault)

    async def _exchange(self, routed: RoutedRequest, answer: "_Answer"):
        left_ms = routed.answer_by_ms - self._state.now_ms()
        with anyio.move_on_after(max(0.0, left_ms) / 1000):
            return await Exchange(self._state, routed, answer, self._rng).run()
        return failure(Code.BACKEND_TIMEOUT, "the route's timeout has passed")

    async def _read_body(self, receive: Any) -> bytes | None:
        """Return the whole body; None when the caller left before its end."""
        parts = bytearray()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                return None
            parts += event.get("body", b"")
            if not event.get("more_body"):
                return bytes(parts)

    async def _await_document(self, scope: dict) -> None:
        """Wait for a document after a start, for a part of the caller's time."""
        if self._state.document is not None:
            return
        headers = [(bytes(name), bytes(value)) for name, value in scope["headers"]]
        left_ms = read_request_facts(headers, self._state.names).left_ms or 0.0
        with anyio.move_on_after(left_ms * DOCUMENT_WAIT_SHARE / 1000):
            await self._state.has_document.wait()

    def _route(
        self, scope: dict, body: bytes, arrived_ms: float
    ) -> RoutedRequest | Failure:
        state = self._state
        if state.document is None:
            return failure(Code.NO_CATALOGUE, "", NO_CATALOGUE_RETRY_MS)
        headers = [(bytes(name), bytes(value)) for name, value in scope["headers"]]
        if len(body) > state.document.limits.max_body_bytes:
            return failure(Code.BODY_TOO_LARGE)
        host = next((value for name, value in headers if name == b"host"), b"")
        path = scope["raw_path"]
        route = state.table.match(host.decode("latin-1"), path.decode("latin-1"))
        if route is None:
            return failure(Code.NO_SUCH_ROUTE)
        query = scope["query_string"]
        facts = read_request_facts(headers, state.names)
        limit_ms = route.timeout_ms
        if facts.left_ms is not None:
            limit_ms = min(limit_ms, facts.left_ms)
        return RoutedRequest(
            route=route,
            service=pick_service(route, self._rng),
            method=scope["method"].encode(),
            target=path + b"?" + query if query else path,
            headers=headers,
            body=body,
            facts=facts,
            arrived_ms=arrived_ms,
            answer_by_ms=arrived_ms + limit_ms,
        )

    async def _watch(
        self, receive: Any, answer: "_Answer", routed: RoutedRequest, scope: Any
    ) -> None:
        """Cancel the request, and so the server's work, when its caller leaves."""
        while (await receive())["type"] != "http.disconnect":
            pass
        if answer.is_over:
            return
        self._state.metrics.count("callers_lost_total", reason=Code.PEER_GONE.name)
        get_logger().info(
            "caller_left",
            request=routed.facts.request_id,
            after_ms=round(self._state.now_ms() - routed.arrived_ms),
            status=NO_REPLY_STATUS,
        )
        scope.cancel()

    def _observe(self, routed: RoutedRequest, fault: Failure | None) -> None:
        result = fault.code.name if fault is not None else Code.OK.name
        took_ms = self._state.now_ms() - routed.arrived_ms
        self._state.metrics.count("requests_total", result=result)
        self._state.metrics.observe("request_ms", took_ms, kind=routed.route.kind.value)

    async def _refuse(self, answer: "_Answer", request_id: str, fault: Failure) -> None:
        """Send a numbered refusal, or break off an answer that has begun."""
        self._state.metrics.count("refusals_total", reason=fault.code.name)
        get_logger().info(
            "request_refused",
            request=request_id,
            code=fault.code.value,
            reason=fault.message,
            outcome=fault.outcome.value,
            retry_after_ms=fault.retry_after_ms,
            document=self._state.version,
            begun=answer.has_begun,
        )
        if answer.has_begun:
            raise AnswerBrokenError(fault.message)
        body = orjson.dumps(error_body(fault))
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (self._state.names.request_id, request_id.encode("latin-1")),
        ]
        if fault.retry_after_ms:
            seconds = f"{fault.retry_after_ms / 1000:.3f}"
            headers.append((b"retry-after", seconds.encode()))
        await answer.start(CODE_INFO[fault.code].http_status, headers)
        await answer.write(body)
        await answer.end()


class _Answer:
    """Sends one answer to the caller, an `AnswerSink`."""

    def __init__(self, send: Any, app: RouteApp):
        self._send = send
        self._app = app
        self.has_begun = False
        self.is_over = False

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.has_begun = True
        if self._app.is_leaving:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self) -> None:
        self.is_over = True
        await self._send({"type": "http.response.body", "body": b""})


def _request_id(scope: dict, state: DirectState) -> str:
    wanted = state.names.request_id
    found = next((value for name, value in scope["headers"] if name == wanted), b"")
    return found.decode("latin-1")
