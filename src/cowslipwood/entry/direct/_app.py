"""Serves callers over HTTP in an entry with direct routes."""

import math
import random
from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ...kernel.codes import CODE_INFO, Code, Failure, failure
from ...kernel.http import ON_DISCONNECT, make_error_body
from ...kernel.logs import get_logger
from ...routes import pick_service
from ._customer_limits import RequestAllowance, count_units
from ._exchange import RequestForwarder
from ._headers import read_request_facts
from ._progress import RequestProgress
from ._request import RoutedRequest
from ._sending import NOT_RUN_STATUSES
from ._state import DirectState

__all__ = ["RouteApp"]

# Largest request body, in bytes, until a route document sets its own limit.
DEFAULT_MAX_BODY_BYTES = 8_388_608
# Total size, in bytes, of the bodies that an entry holds at once, unless its memory is
# stated. Sending a body copies it up to three times, and all copies must fit into the
# 160 MB of the smallest hosts beside the 50 MB that the entry needs otherwise.
MAX_HELD_BODY_BYTES = 25_165_824
# Time, in milliseconds, after which a caller is told to come back while the entry holds
# too many large bodies.
BODIES_RETRY_MS = 500
# Time, in milliseconds, after which a caller is told to come back while the entry has
# no route document.
NO_CATALOGUE_RETRY_MS = 500
# Time, in milliseconds, after which a caller of a leaving entry is told to come back.
# Another entry takes the request at once, but a time of 0 would not be sent.
LEAVING_RETRY_MS = 10
# Time before the kill, in milliseconds, by which the last answers must have ended. A
# busy event loop sends an answer this much later.
KILL_MARGIN_MS = 400.0
# Share of the caller's time for which a request waits for the first route document.
# The rest is enough for the caller to try another entry.
DOCUMENT_WAIT_SHARE = 0.25
# Status that is logged for a caller that disconnected; it is never sent.
CLIENT_CLOSED_STATUS = 499


class AnswerAbortedError(Exception):
    """An answer that has started cannot be completed; its connection must close."""


class UntruePromiseError(Exception):
    """An answer says that a request did not run, though a server may have run it."""


class RouteApp:
    """An ASGI application that forwards requests by their routes.

    Parameters
    ----------
    state : DirectState
    rng : random.Random
        Source of the random choice of services and servers.
    max_held_body_bytes : int or None
        Total size of the bodies that are held at once; None takes the default.

    Attributes
    ----------
    n_in_flight : int
        Number of requests that are being served.
    is_leaving : bool
        Whether the entry is about to stop.
    """

    def __init__(
        self,
        state: DirectState,
        rng: random.Random,
        max_held_body_bytes: int | None = None,
    ):
        self._state = state
        self._max_held_body_bytes = max_held_body_bytes
        self._rng = rng
        self.n_in_flight = 0
        self.is_leaving = False
        self._kill_at_ms = math.inf
        self._n_held_body_bytes = 0

    def start_leaving(self, kill_at_ms: float) -> None:
        """Mark the entry as leaving and refuse requests that may outlast the process.

        Parameters
        ----------
        kill_at_ms : float
            When the process is killed. Requests that end by then are still served.
        """
        self.is_leaving = True
        self._kill_at_ms = kill_at_ms - KILL_MARGIN_MS

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
        answer = _CallerAnswer(send, self)
        body = bytearray()
        n_whole_bytes = 0
        try:
            refusal = await self._read_body(receive, body)
            if refusal is None:
                whole_body = bytes(body)
                n_whole_bytes = len(whole_body)
                body.clear()
                await self._serve_body(scope, receive, answer, whole_body, arrived_ms)
            elif refusal.code is not Code.PEER_GONE:
                await self._refuse(
                    answer, _read_request_id(scope, self._state), refusal
                )
        except AnswerAbortedError:
            raise
        except Exception:
            await self._handle_error(scope, answer)
        finally:
            self._n_held_body_bytes -= n_whole_bytes + len(body)

    async def _handle_error(self, scope: dict, answer: "_CallerAnswer") -> None:
        """Log an unforeseen exception, and answer it or abort the answer."""
        request_id = _read_request_id(scope, self._state)
        get_logger().exception("request_failed", request=request_id)
        await self._refuse(answer, request_id, failure(Code.INTERNAL_ERROR))

    async def _serve_body(
        self,
        scope: dict,
        receive: Any,
        answer: "_CallerAnswer",
        body: bytes,
        arrived_ms: float,
    ) -> None:
        """Serve a request whose whole body has arrived."""
        await self._wait_for_document(scope)
        routed = self._route_request(scope, body, arrived_ms)
        if not isinstance(routed, Failure) and routed.answer_by_ms > self._kill_at_ms:
            # The kill could cut the answer, and the caller can still go elsewhere.
            routed = failure(Code.ENTRY_LEAVING, "", LEAVING_RETRY_MS)
        if isinstance(routed, Failure):
            await self._refuse(answer, _read_request_id(scope, self._state), routed)
            return
        fault: Failure | None = None
        async with anyio.create_task_group() as tasks:

            def cancel() -> None:
                self._cancel_request(answer, routed, tasks.cancel_scope)

            scope.setdefault("state", {})[ON_DISCONNECT] = cancel
            tasks.start_soon(_watch_disconnect, receive, cancel)
            fault = await self._forward(routed, answer)
            answer.is_finished = True
            tasks.cancel_scope.cancel()
        if answer.is_finished:
            self._record_outcome(routed, fault)
            if fault is not None:
                await self._refuse(answer, routed.facts.request_id, fault)

    async def _forward(self, routed: RoutedRequest, answer: "_CallerAnswer"):
        progress = answer.progress
        progress.allowance = self._make_allowance(routed)
        refusal: Failure | None = failure(Code.DEADLINE_PASSED)
        with self._limit_time(routed):
            refusal = await progress.allowance.take() if progress.allowance else None
        if refusal is not None:
            return refusal
        try:
            with self._limit_time(routed):
                forwarder = RequestForwarder(
                    self._state, routed, answer, self._rng, progress
                )
                return await forwarder.run()
        finally:
            if progress.allowance is not None:
                progress.allowance.settle(progress.attempt_counts.n_possibly_run)
        return failure(Code.BACKEND_TIMEOUT, "the route's timeout has passed")

    def _limit_time(self, routed: RoutedRequest) -> anyio.CancelScope:
        """Return a scope that ends when the answer to a request must be complete."""
        left_ms = routed.answer_by_ms - self._state.now_ms()
        return anyio.move_on_after(max(0.0, left_ms) / 1000)

    def _make_allowance(self, routed: RoutedRequest) -> RequestAllowance | None:
        """Return what a request takes from its customer's limit; None without one."""
        state, customer = self._state, routed.customer
        if customer is None or not customer.is_limited:
            return None
        n_units = count_units(customer, routed.headers, state.header_names)
        return RequestAllowance(state.customer_limits, customer, n_units, state.now_ms)

    async def _read_body(self, receive: Any, body: bytearray) -> Failure | None:
        """Append the parts of the body to `body`; return a failure, or None at its end.

        Fails with PEER_GONE when the caller disconnects, BODY_TOO_LARGE and OVERLOADED.
        The server discards what follows of a body that is refused.
        """
        document = self._state.document
        max_bytes = (
            document.limits.max_body_bytes if document else DEFAULT_MAX_BODY_BYTES
        )
        max_held_bytes = self._max_held_body_bytes or MAX_HELD_BODY_BYTES
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                return failure(Code.PEER_GONE)
            part = event.get("body", b"")
            if len(body) + len(part) > max_bytes:
                return failure(Code.BODY_TOO_LARGE)
            if self._n_held_body_bytes + len(part) > max_held_bytes:
                return failure(Code.OVERLOADED, "large bodies", BODIES_RETRY_MS)
            body += part
            self._n_held_body_bytes += len(part)
            if not event.get("more_body"):
                return None

    async def _wait_for_document(self, scope: dict) -> None:
        """Wait for the first route document, for a part of the caller's time.

        The wait includes the first proof that the customers' keys in it are current.
        """
        state = self._state
        if state.document is not None and state.customer_keys.is_ready:
            return
        headers = [(bytes(name), bytes(value)) for name, value in scope["headers"]]
        caller_timeout_ms = (
            read_request_facts(headers, state.header_names).caller_timeout_ms or 0.0
        )
        with anyio.move_on_after(caller_timeout_ms * DOCUMENT_WAIT_SHARE / 1000):
            await state.document_applied.wait()
            await state.customer_keys.wait_until_ready()

    def _route_request(
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
        route = state.route_table.match(host.decode("latin-1"), path.decode("latin-1"))
        if route is None:
            return failure(Code.NO_SUCH_ROUTE)
        customer = state.customer_keys.identify(headers, route, state.now_ms())
        if isinstance(customer, Failure):
            return customer
        if customer is not None and customer.priority is not None:
            route = route._replace(priority=customer.priority)
        headers = state.customer_keys.remove_headers(headers)
        query = scope["query_string"]
        facts = read_request_facts(headers, state.header_names)
        timeout_ms = route.timeout_ms
        if facts.caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, facts.caller_timeout_ms)
        service = state.stream_versions.find_service(route, facts)
        return RoutedRequest(
            route=route,
            service=service or pick_service(route, self._rng),
            method=scope["method"].encode(),
            target=path + b"?" + query if query else path,
            headers=headers,
            body=body,
            facts=facts,
            arrived_ms=arrived_ms,
            answer_by_ms=arrived_ms + timeout_ms,
            customer=customer,
        )

    def _cancel_request(
        self,
        answer: "_CallerAnswer",
        routed: RoutedRequest,
        cancel_scope: anyio.CancelScope,
    ) -> None:
        """Cancel a request, and so the server's work, after its caller has left."""
        if answer.is_finished or cancel_scope.cancel_called:
            return
        self._state.metrics.count("callers_lost_total", reason=Code.PEER_GONE.name)
        get_logger().info(
            "caller_left",
            request=routed.facts.request_id,
            after_ms=round(self._state.now_ms() - routed.arrived_ms),
            status=CLIENT_CLOSED_STATUS,
        )
        cancel_scope.cancel()

    def _record_outcome(self, routed: RoutedRequest, fault: Failure | None) -> None:
        result = fault.code.name if fault is not None else Code.OK.name
        took_ms = self._state.now_ms() - routed.arrived_ms
        self._state.metrics.count("requests_total", result=result)
        self._state.metrics.observe("request_ms", took_ms, kind=routed.route.kind.value)

    async def _refuse(
        self, answer: "_CallerAnswer", request_id: str, fault: Failure
    ) -> None:
        """Send a refusal with its code, or abort an answer that has started."""
        self._state.metrics.count("refusals_total", reason=fault.code.name)
        get_logger().info(
            "request_refused",
            request=request_id,
            code=fault.code.value,
            reason=fault.message,
            outcome=fault.outcome.value,
            retry_after_ms=fault.retry_after_ms,
            document=self._state.document_version,
            begun=answer.has_started,
        )
        if answer.has_started:
            raise AnswerAbortedError(fault.message)
        body = orjson.dumps(make_error_body(fault))
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (self._state.header_names.request_id, request_id.encode("latin-1")),
        ]
        if fault.retry_after_ms:
            seconds = f"{fault.retry_after_ms / 1000:.3f}"
            headers.append((b"retry-after", seconds.encode()))
        await answer.start(CODE_INFO[fault.code].http_status, headers)
        await answer.write(body)
        await answer.end()


class _CallerAnswer:
    """An `AnswerSink` that sends one answer to the caller.

    Attributes
    ----------
    progress : RequestProgress
        How far the request has come.
    """

    def __init__(self, send: Any, app: RouteApp):
        self._send = send
        self._app = app
        self.progress = RequestProgress()
        self.has_started = False
        self.is_finished = False

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send status and headers.

        Raises
        ------
        UntruePromiseError
            When the status promises that the request did not run, and it may have.
        """
        if status in NOT_RUN_STATUSES and self.progress.may_have_run:
            raise UntruePromiseError(f"status {status}")
        self.has_started = True
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
        self.is_finished = True
        await self._send({"type": "http.response.body", "body": b""})


async def _watch_disconnect(receive: Any, cancel: Callable[[], None]) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    cancel()


def _read_request_id(scope: dict, state: DirectState) -> str:
    wanted = state.header_names.request_id
    request_id = next(
        (value for name, value in scope["headers"] if name == wanted), b""
    )
    return request_id.decode("latin-1")
