"""Serves ASGI applications on loopback within the process of a test."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpcore
import orjson

from cowslipwood.kernel.http import HttpServer, bind_socket

__all__ = ["Client", "run_http_server", "wait_until"]

# Longest time for which `wait_until` waits for a condition, in seconds.
WAIT_S = 60.0


class Client:
    """HTTP client of one address.

    Parameters
    ----------
    addr : str
        ``ip:port``.
    """

    def __init__(self, addr: str):
        self.addr = addr
        self.url = f"http://{addr}"
        self._pool = httpcore.AsyncConnectionPool(max_connections=512)

    async def call(
        self, method: str, path: str, value: Any = None, **headers: str
    ) -> tuple[int, Any]:
        """Send a request and return the status and the body of the answer.

        A body of JSON is decoded. A value is sent as JSON, except for bytes, which are
        sent unchanged. Underscores in the names of headers stand for hyphens.
        """
        content = b"" if value is None else value
        response = await self._pool.request(
            method,
            self.url + path,
            headers=self._make_headers(headers),
            content=content if isinstance(content, bytes) else orjson.dumps(value),
        )
        body = response.content
        is_json = dict(response.headers).get(b"content-type") == b"application/json"
        return response.status, orjson.loads(body) if is_json else body

    def stream(self, path: str, value: Any, **headers: str) -> Any:
        """Return an async context manager for a POST with a streamed answer."""
        return self._pool.stream(
            "POST",
            self.url + path,
            headers=self._make_headers(headers),
            content=orjson.dumps(value),
        )

    def _make_headers(self, headers: dict[str, str]) -> list[tuple[str, str]]:
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return [("host", self.addr), *names.items()]


@asynccontextmanager
async def run_http_server(app: Any) -> AsyncIterator[Client]:
    """Serve an application on a free port and yield a client for it."""
    sock = bind_socket("127.0.0.1:0")
    server = HttpServer(app, sock)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        try:
            yield Client(f"127.0.0.1:{sock.getsockname()[1]}")
        finally:
            tasks.cancel_scope.cancel()


async def wait_until(condition: Any, what: str) -> None:
    """Wait until a condition holds; fail after `WAIT_S`.

    Parameters
    ----------
    condition : callable
        Function or coroutine function that returns whether the condition holds.
    what : str
        What the condition stands for, for the message of the failure.
    """
    with anyio.move_on_after(WAIT_S):
        while True:
            value = condition()
            if hasattr(value, "__await__"):
                value = await value
            if value:
                return
            await anyio.sleep(0.005)
    raise AssertionError(f"waited {WAIT_S} s for {what}")
