"""Builders for routes, documents and servers that entries reach directly."""

import random
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.abc
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from cowslipwood.entry.choosing._view import View
from cowslipwood.entry.direct._headers import HeaderNames, read_request_facts
from cowslipwood.entry.direct._request import RoutedRequest
from cowslipwood.entry.direct._retries import RetryBudgetLimits
from cowslipwood.entry.direct._servers import KnownServers
from cowslipwood.entry.direct._state import DirectState
from cowslipwood.entry.routing.least_cost import LeastCost
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, Failure, failure
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.listing import ListedModel, ListedServer
from cowslipwood.routes import Route, RouteKind, WeightedService, parse_document

NAMES = HeaderNames()

Serve = Callable[[anyio.abc.SocketStream, bytes], Awaitable[None]]


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
    """Return a document as JSON."""
    value = {"version": 1, "routes": [route_value()], "services": [{"name": "desk"}]}
    return {**value, **changes}


def document_bytes(**changes: Any) -> bytes:
    """Return a document as an operator sends it."""
    return orjson.dumps(document_value(**changes))


def document(**changes: Any) -> Any:
    """Return a parsed document."""
    return parse_document(document_bytes(**changes)).unwrap()


def route(**changes: Any) -> Route:
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


def listed(
    server_id: str, addr: str, models: tuple[ListedModel, ...] = (), **changes: Any
) -> ListedServer:
    """Return a server as the list names it."""
    fields: dict[str, Any] = {"n_slots": 8, "born_ms": 1, "models": models}
    return ListedServer(server_id, "desk", "zone-1", addr, **{**fields, **changes})


def request(used: Route, **headers: str) -> RoutedRequest:
    """Return a request on a route."""
    given = {"x_request_id": "q1", "host": "shop.example", **headers}
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in given.items()
    ]
    now_ms = monotonic_ms()
    return RoutedRequest(
        route=used,
        service="desk",
        method=b"GET",
        target=b"/orders/7",
        headers=pairs,
        body=b"",
        facts=read_request_facts(pairs, NAMES),
        arrived_ms=now_ms,
        answer_by_ms=now_ms + used.timeout_ms,
    )


class NoHolders:
    """HolderFinder that find nobody; counts the questions."""

    def __init__(self):
        self.n_asked = 0

    async def find_holder(
        self, request: RoutedRequest, now_ms: float
    ) -> Result[str, Failure]:
        """Refuse."""
        self.n_asked += 1
        return Err(failure(Code.NO_REPLICA))


class SameHolder:
    """HolderFinder that always name one server."""

    def __init__(self, server_id: str):
        self._server_id = server_id

    async def find_holder(
        self, request: RoutedRequest, now_ms: float
    ) -> Result[str, Failure]:
        """Name the server."""
        return Success(self._server_id)


class Sink:
    """Takes an answer in memory."""

    def __init__(self):
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_whole = False

    async def start(self, status: int, headers: list) -> None:
        """Take the head."""
        self.status = status
        self.headers = dict(headers)

    async def write(self, data: bytes) -> None:
        """Take a part."""
        self.body += data

    async def end(self) -> None:
        """Take the end."""
        self.is_whole = True


def direct_state(servers: list[ListedServer], holders: Any = None) -> DirectState:
    """Return the state of an entry that knows these servers."""
    view = View()
    known = KnownServers(view)
    known.apply_list(servers, monotonic_ms())
    return DirectState(
        "zone-1",
        NAMES,
        LeastCost(),
        view,
        known,
        holders or NoHolders(),
        RetryBudgetLimits(),
        Metrics("entry"),
    )


def seeded() -> random.Random:
    """Return a random generator whose draws repeat."""
    return random.Random(7)


async def read_head(stream: anyio.abc.SocketStream) -> bytes:
    """Read one request without a body; empty at the end of the connection."""
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


def reply(
    body: bytes = b"ok", status: str = "200 OK", request_id: str = "q1", more: str = ""
) -> bytes:
    """Return a whole answer."""
    head = f"HTTP/1.1 {status}\r\nx-request-id: {request_id}\r\n{more}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


@asynccontextmanager
async def scripted_server(serve: Serve):
    """Run a server that answers each request as told; yield its address and log."""
    seen: list[bytes] = []

    async def handle(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            while True:
                head = await read_head(stream)
                if not head:
                    return
                seen.append(head)
                try:
                    await serve(stream, head)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    return

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield f"127.0.0.1:{port}", seen
        tasks.cancel_scope.cancel()
    await listener.aclose()


def always(data: bytes) -> Serve:
    """Return a server's script that gives one answer to each request."""

    async def serve(stream: anyio.abc.SocketStream, head: bytes) -> None:
        await stream.send(data)

    return serve


def success(value: Any) -> Result[Any, Failure]:
    """Return a success."""
    return Success(value)
