"""HTTP helpers: a uvicorn server as a task, and small ASGI functions."""

import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import anyio
import orjson
import uvicorn
from returns.result import Failure as Err
from returns.result import Result, Success

from .codes import CODE_INFO, Code, Failure, failure
from .metrics import Metrics
from .settings import exit_with, parse_address

__all__ = [
    "App",
    "HttpServer",
    "Request",
    "bind_socket",
    "error_body",
    "read_request",
    "send_failure",
    "send_json",
    "send_response",
    "with_health",
]

MAX_HEADER_BYTES = 32 * 1024
MAX_CONNECTIONS = 4_096
BACKLOG = 1_024
# A body over its bound is read to its end, within this, and dropped: closing a
# connection with unread bytes resets it, and the caller never reads the refusal.
MAX_DISCARDED_BYTES = 128 * 1024 * 1024

App = Callable[[dict, Any, Any], Awaitable[None]]


class Request(NamedTuple):
    """One HTTP request with its body.

    Parameters
    ----------
    method : str
    path : str
        Decoded path, without the query.
    target : str
        Path and query as they came.
    headers : dict of str to str
        By lower-case name; the last value of a repeated header.
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
    # With the protocol named, accepted connections get TCP_NODELAY from asyncio.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as exc:
        exit_with(Code.PORT_IN_USE, f"cannot listen on {listen}: {exc.strerror}")
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the program.

    uvicorn's own loop looks ten times a second for its end; this one is told.
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
    protocol : str or type
        The connection class; uvicorn's own for h11 by default.
    """

    def __init__(self, app: App, sock: socket.socket, protocol: str | type = "h11"):
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
            backlog=BACKLOG,
            limit_concurrency=MAX_CONNECTIONS,
            h11_max_incomplete_event_size=MAX_HEADER_BYTES,
            timeout_keep_alive=30,
        )
        self._server = _Server(config)
        self._sock = sock

    async def run(self) -> None:
        """Serve until `stop`; open requests are finished first."""
        if not self._server.config.loaded:
            self._server.config.load()
        self._server.lifespan = self._server.config.lifespan_class(self._server.config)
        await self._server.startup(sockets=[self._sock])
        try:
            await self._server.main_loop()
        finally:
            with anyio.CancelScope(shield=True):
                await self._server.shutdown(sockets=[self._sock])

    def stop(self) -> None:
        """Stop accepting and let open requests finish."""
        self._server.should_exit = True
        self._server.stopping.set()


async def read_request(
    scope: dict, receive: Any, max_body_bytes: int
) -> Result[Request, Failure]:
    """Read a whole request; fails with BODY_TOO_LARGE or PEER_GONE."""
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
        elif n_bytes > max_body_bytes + MAX_DISCARDED_BYTES:
            break
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


async def send_response(
    send: Any, status: int, headers: Mapping[str, str], body: bytes
) -> None:
    """Send one whole answer."""
    pairs = [(k.lower().encode(), v.encode("latin-1")) for k, v in headers.items()]
    pairs.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": pairs})
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Any, status: int, value: Any, headers: Mapping[str, str] | None = None
) -> None:
    """Send one whole JSON answer."""
    merged = {"content-type": "application/json", **(headers or {})}
    await send_response(send, status, merged, orjson.dumps(value))


def error_body(fault: Failure) -> dict[str, Any]:
    """Return the JSON value that tells a caller of a failure."""
    return {
        "error": {
            "code": fault.code.value,
            "name": fault.code.name,
            "message": fault.message,
            "outcome": fault.outcome.value,
            "retry_after_ms": round(fault.retry_after_ms),
        }
    }


async def send_failure(
    send: Any, fault: Failure, headers: Mapping[str, str] | None = None
) -> None:
    """Send a numbered refusal with its outcome and when to come back."""
    merged = {"x-cowslip-outcome": fault.outcome.value, **(headers or {})}
    if fault.retry_after_ms:
        merged["retry-after"] = str(max(1, -(-round(fault.retry_after_ms) // 1000)))
    status = CODE_INFO[fault.code].http_status
    await send_json(send, status, error_body(fault), merged)


def with_health(
    app: App, metrics: Metrics, is_ready: Callable[[], bool], ready_path: str = ""
) -> App:
    """Return the application with ``/healthz``, ``/readyz`` and ``/metrics``.

    `ready_path` is answered as ``/readyz`` is, for a balancer that asks there.
    """

    async def outer(scope: dict, receive: Any, send: Any) -> None:
        path = scope["path"]
        match "/readyz" if ready_path and path == ready_path else path:
            case "/healthz":
                await send_response(send, 200, {"content-type": "text/plain"}, b"ok\n")
            case "/readyz" if is_ready():
                await send_response(send, 200, {"content-type": "text/plain"}, b"ok\n")
            case "/readyz":
                await send_response(send, 503, {"content-type": "text/plain"}, b"no\n")
            case "/metrics":
                text, headers = metrics.text()
                await send_response(send, 200, headers, text)
            case _:
                await app(scope, receive, send)

    return outer
