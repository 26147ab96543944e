"""Builders for tests of entries with direct routes: routes, documents, servers."""

import random
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.abc
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from cowslipwood.entry.choosing._view import FleetView
from cowslipwood.entry.direct._headers import HeaderNames, read_request_facts
from cowslipwood.entry.direct._request import RoutedRequest
from cowslipwood.entry.direct._retries import ASSUMED_N_ENTRIES, RetryBudgetLimits
from cowslipwood.entry.direct._servers import KnownServers
from cowslipwood.entry.direct._state import DirectState
from cowslipwood.entry.routing.least_cost import LeastCost
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, Failure, failure
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.listing import ListedModel, ListedServer
from cowslipwood.routes import Route, RouteKind, WeightedService, parse_document

NAMES = HeaderNames()

# Answers one request, whose head is the second argument, on its connection.
ServerScript = Callable[[anyio.abc.SocketStream, bytes], Awaitable[None]]


def route_value(**changes: Any) -> dict[str, Any]:
    """Return a route as JSON."""
    value = {
        "name": "r1",
        "host": "shop.example",
        "path_prefix": "/orders/",
        "kind": "safe",
        "timeout_ms": 1000,
        "services": [{"service": "desk", "weight": 1}],
        "max_attempts": 2,
    }
    return {**value, **changes}


def document_value(**changes: Any) -> dict[str, Any]:
    """Return a route document as JSON."""
    value = {"version": 1, "routes": [route_value()], "services": [{"name": "desk"}]}
    return {**value, **changes}


def document_bytes(**changes: Any) -> bytes:
    """Return a route document as the bytes that an operator sends."""
    return orjson.dumps(document_value(**changes))


def build_document(**changes: Any) -> Any:
    """Return a parsed route document."""
    return parse_document(document_bytes(**changes)).unwrap()


def build_route(**changes: Any) -> Route:
    """Return a route."""
    fields: dict[str, Any] = {
        "name": "r1",
        "host": "shop.example",
        "path_prefix": "/orders/",
        "kind": RouteKind.SAFE,
        "timeout_ms": 1000.0,
        "services": (WeightedService("desk"),),
        "max_attempts": 2,
    }
    return Route(**{**fields, **changes})


def build_listed_server(
    server_id: str, addr: str, models: tuple[ListedModel, ...] = (), **changes: Any
) -> ListedServer:
    """Return a server as the server list describes it."""
    fields: dict[str, Any] = {"n_slots": 8, "born_ms": 1, "models": models}
    return ListedServer(server_id, "desk", "zone-1", addr, **{**fields, **changes})


def build_request(route: Route, **headers: str) -> RoutedRequest:
    """Return a request on a route; keywords are headers, with ``_`` for ``-``."""
    named_headers = {"x_request_id": "q1", "host": "shop.example", **headers}
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in named_headers.items()
    ]
    now_ms = monotonic_ms()
    return RoutedRequest(
        route=route,
        service="desk",
        method=b"GET",
        target=b"/orders/7",
        headers=pairs,
        body=b"",
        facts=read_request_facts(pairs, NAMES),
        arrived_ms=now_ms,
        answer_by_ms=now_ms + route.timeout_ms,
    )


class NoHolderFinder:
    """A `HolderFinder` that finds no server and counts the lookups."""

    def __init__(self):
        self.n_lookups = 0

    async def find_holder(
        self, request: RoutedRequest, now_ms: float
    ) -> Result[str, Failure]:
        """Fail with NO_REPLICA."""
        self.n_lookups += 1
        return Err(failure(Code.NO_REPLICA))


class FixedHolderFinder:
    """A `HolderFinder` that always finds the same server."""

    def __init__(self, server_id: str):
        self._server_id = server_id

    async def find_holder(
        self, request: RoutedRequest, now_ms: float
    ) -> Result[str, Failure]:
        """Return the id of the server."""
        return Success(self._server_id)


class RecordingSink:
    """An `AnswerSink` that keeps the answer in memory."""

    def __init__(self):
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_complete = False

    async def start(self, status: int, headers: list) -> None:
        """Keep status and headers."""
        self.status = status
        self.headers = dict(headers)

    async def write(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    async def end(self) -> None:
        """Record that the answer is complete."""
        self.is_complete = True


def build_direct_state(
    servers: list[ListedServer], holder_finder: Any = None
) -> DirectState:
    """Return the state of an entry whose server list has these servers."""
    view = FleetView()
    known_servers = KnownServers(view)
    known_servers.apply_list(servers, monotonic_ms())
    return DirectState(
        "zone-1",
        NAMES,
        LeastCost(),
        view,
        known_servers,
        holder_finder or NoHolderFinder(),
        # Without a leader an entry takes the share of one among many.
        RetryBudgetLimits(n_extra_retries=64.0 * ASSUMED_N_ENTRIES),
        Metrics("entry"),
    )


def create_rng() -> random.Random:
    """Return a random generator with a fixed seed."""
    return random.Random(7)


async def read_head(stream: anyio.abc.SocketStream) -> bytes:
    """Return the head of a request without a body; empty at the connection's end."""
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            data += await stream.receive()
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return b""
    return data


def build_answer(
    body: bytes = b"ok",
    status: str = "200 OK",
    request_id: str = "q1",
    extra_headers: str = "",
) -> bytes:
    """Return the bytes of a complete answer."""
    head = f"HTTP/1.1 {status}\r\nx-request-id: {request_id}\r\n{extra_headers}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


@asynccontextmanager
async def run_scripted_server(script: ServerScript):
    """Run a server with a script; yield its address and the request heads received."""
    received_heads: list[bytes] = []

    async def handle(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            while True:
                head = await read_head(stream)
                if not head:
                    return
                received_heads.append(head)
                try:
                    await script(stream, head)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    return

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield f"127.0.0.1:{port}", received_heads
        tasks.cancel_scope.cancel()
    await listener.aclose()


def always_send(data: bytes) -> ServerScript:
    """Return a script that sends the same bytes in answer to each request."""

    async def serve(stream: anyio.abc.SocketStream, head: bytes) -> None:
        await stream.send(data)

    return serve


def success(value: Any) -> Result[Any, Failure]:
    """Return a successful result."""
    return Success(value)
