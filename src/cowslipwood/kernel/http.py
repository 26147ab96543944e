"""Serves ASGI applications with uvicorn; reads requests and sends answers."""

import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import anyio
import orjson
import uvicorn
from returns.result import Failure as Err
from returns.result import Result, Success

from .bounded_protocol import (
    ON_BODY_DROPPED,
    BoundedProtocol,
    ConnectionBounds,
    compute_max_connections,
    limit_kernel_buffers,
    make_bounded_protocol,
)
from .byte_budget import ByteBudget, compute_budget_bytes
from .clock import monotonic_ms
from .codes import CODE_INFO, Code, Failure, failure
from .error_body import make_error_body
from .metrics import Metrics
from .settings import exit_with, parse_address

__all__ = [
    "ON_DISCONNECT",
    "App",
    "HttpServer",
    "Request",
    "add_health_endpoints",
    "bind_socket",
    "make_error_body",
    "read_request",
    "send_failure",
    "send_json",
    "send_response",
]

# Largest size of a request's line and headers together.
MAX_HEADER_BYTES = 32 * 1024
# Number of connections or requests at which uvicorn refuses a further request with
# status 503.
MAX_CONNECTIONS = 4_096
# Number of connections that the operating system queues until they are accepted.
LISTEN_BACKLOG = 1_024
# Number of connections that asyncio accepts before any of them is checked against the
# limit on connections. All of them take descriptors meanwhile.
ACCEPT_BATCH = 16
# Time, in milliseconds, between two checks of what is held for the connections.
SWEEP_INTERVAL_MS = 200.0
# Memory, in megabytes, of the host of a program that states none: that of the smallest
# hosts.
DEFAULT_MEMORY_MB = 160
# Part of the descriptors for the connections of a port that serves only operators or
# metrics.
SIDE_PORT_SHARE = 0.1
# Largest number of bytes that are read and discarded from a body that is over its
# limit. Closing a connection with unread bytes resets it, and the caller then never
# reads the refusal; so the body is read to its end, up to this size.
MAX_DISCARDED_BODY_BYTES = 128 * 1024 * 1024

# Key in the state of a request's scope under which an application stores a function
# without parameters that is called as soon as the caller disconnects.
ON_DISCONNECT = "on_disconnect"

App = Callable[[dict, Any, Any], Awaitable[None]]


class Request(NamedTuple):
    """One HTTP request with its body.

    Parameters
    ----------
    method : str
    path : str
        Decoded path, without the query.
    target : str
        Path and query as received, not decoded.
    headers : dict of str to str
        Values by lower-case name; of a repeated header, the last value.
    body : bytes
    """

    method: str
    path: str
    target: str
    headers: dict[str, str]
    body: bytes


def bind_socket(listen: str) -> socket.socket:
    """Bind a listening socket, or end the process with PORT_IN_USE."""
    host, port = parse_address(listen)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY on accepted connections only if the listening socket
    # was created with the protocol IPPROTO_TCP.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    limit_kernel_buffers(sock)
    try:
        sock.bind((host, port))
    except OSError as exc:
        exit_with(Code.PORT_IN_USE, f"cannot listen on {listen}: {exc.strerror}")
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers and stops on an event.

    uvicorn's own main loop checks ten times a second whether it is to exit; this
    one waits for the event `stopping`.
    """

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self.stopping = anyio.Event()

    def install_signal_handlers(self) -> None:
        pass

    async def main_loop(self) -> None:
        await self.stopping.wait()


class HttpServer:
    """Serves an ASGI application on a bound socket.

    Parameters
    ----------
    app : callable
        ASGI application.
    sock : socket.socket
        From `bind_socket`.
    protocol : type or None
        The class that handles a connection; None takes one with the bounds of a port
        for operators or metrics.
    budget : ByteBudget or None
        Limits what is held for the connections of such a port; None limits it for this
        port alone.
    connections_share : float
        Part of the process's descriptors for the connections of such a port.
    """

    def __init__(
        self,
        app: App,
        sock: socket.socket,
        protocol: type[BoundedProtocol] | None = None,
        budget: ByteBudget | None = None,
        connections_share: float = SIDE_PORT_SHARE,
    ):
        if protocol is None:
            budget = budget or ByteBudget(compute_budget_bytes(DEFAULT_MEMORY_MB))
            bounds = ConnectionBounds(compute_max_connections(connections_share))
            protocol = make_bounded_protocol(budget, bounds)
        self._protocol = protocol
        config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="off",
            loop="asyncio",
            http=protocol,
            ws="none",
            server_header=False,
            date_header=False,
            backlog=ACCEPT_BATCH,
            limit_concurrency=MAX_CONNECTIONS,
            h11_max_incomplete_event_size=MAX_HEADER_BYTES,
            timeout_keep_alive=30,
        )
        self._server = _UvicornServer(config)
        self._sock = sock

    async def run(self) -> None:
        """Serve until `stop` is called, then until the open requests have ended."""
        if not self._server.config.loaded:
            self._server.config.load()
        self._server.lifespan = self._server.config.lifespan_class(self._server.config)
        await self._server.startup(sockets=[self._sock])
        self._sock.listen(LISTEN_BACKLOG)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._sweep_loop)
                await self._server.main_loop()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._server.shutdown(sockets=[self._sock])

    async def _sweep_loop(self) -> None:
        """Keep what is held for the connections within the budget."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_MS / 1000)
            now_ms = monotonic_ms()
            for connection in list(self._protocol.active):
                connection.sweep(now_ms)
            self._protocol.budget.make_room(now_ms)

    def stop(self) -> None:
        """Stop accepting connections; open requests are completed."""
        self._server.should_exit = True
        self._server.stopping.set()


async def read_request(
    scope: dict, receive: Any, max_body_bytes: int
) -> Result[Request, Failure]:
    """Read a request with its whole body; fails with BODY_TOO_LARGE or PEER_GONE."""
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    body = bytearray()
    n_bytes = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return Err(failure(Code.PEER_GONE))
        n_bytes += len(event.get("body", b""))
        if n_bytes <= max_body_bytes:
            body += event.get("body", b"")
        elif n_bytes > max_body_bytes + MAX_DISCARDED_BODY_BYTES:
            break
        else:
            body.clear()
            scope.get("state", {}).get(ON_BODY_DROPPED, _do_nothing)()
        if not event.get("more_body"):
            break
    if n_bytes > max_body_bytes:
        return Err(failure(Code.BODY_TOO_LARGE, f"over {max_body_bytes} bytes"))
    query = scope["query_string"].decode("latin-1")
    raw_path = scope.get("raw_path", scope["path"].encode()).decode("latin-1")
    target = f"{raw_path}?{query}" if query else raw_path
    return Success(
        Request(scope["method"], scope["path"], target, headers, bytes(body))
    )


def _do_nothing() -> None:
    pass


async def send_response(
    send: Any, status: int, headers: Mapping[str, str], body: bytes
) -> None:
    """Send a complete answer."""
    raw_headers = [
        (name.lower().encode(), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    raw_headers.append((b"content-length", str(len(body)).encode()))
    await send(
        {"type": "http.response.start", "status": status, "headers": raw_headers}
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Any, status: int, value: Any, headers: Mapping[str, str] | None = None
) -> None:
    """Send a complete answer with a JSON body."""
    all_headers = {"content-type": "application/json", **(headers or {})}
    await send_response(send, status, all_headers, orjson.dumps(value))


async def send_failure(
    send: Any, fault: Failure, headers: Mapping[str, str] | None = None
) -> None:
    """Send an answer that reports a failure.

    The outcome goes into the header ``x-cowslip-outcome``, and the time after which
    to retry, if any, into ``retry-after``.
    """
    all_headers = {"x-cowslip-outcome": fault.outcome.value, **(headers or {})}
    if fault.retry_after_ms:
        all_headers["retry-after"] = str(
            max(1, -(-round(fault.retry_after_ms) // 1000))
        )
    status = CODE_INFO[fault.code].http_status
    await send_json(send, status, make_error_body(fault), all_headers)


def add_health_endpoints(
    app: App, metrics: Metrics, is_ready: Callable[[], bool], ready_path: str = ""
) -> App:
    """Return the application with ``/healthz``, ``/readyz`` and ``/metrics`` added.

    A request to `ready_path` is answered like one to ``/readyz``, for load balancers
    whose health check uses that path.
    """

    async def serve_health_or_app(scope: dict, receive: Any, send: Any) -> None:
        path = scope["path"]
        match "/readyz" if ready_path and path == ready_path else path:
            case "/healthz":
                await send_response(send, 200, {"content-type": "text/plain"}, b"ok\n")
            case "/readyz" if is_ready():
                await send_response(send, 200, {"content-type": "text/plain"}, b"ok\n")
            case "/readyz":
                await send_response(send, 503, {"content-type": "text/plain"}, b"no\n")
            case "/metrics":
                text, headers = metrics.render_text()
                await send_response(send, 200, headers, text)
            case _:
                await app(scope, receive, send)

    return serve_health_or_app
