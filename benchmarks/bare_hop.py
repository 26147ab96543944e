"""A minimal HTTP proxy of uvicorn and httpcore, as the baseline of benchmarks.

``python benchmarks/bare_hop.py LISTEN_PORT NEXT_PORT`` forwards each request to the
next port without any other logic.
"""

import sys
from typing import Any

import anyio
import httpcore

from cowslipwood.kernel.http import HttpServer, bind_socket


class BareHop:
    """ASGI application that forwards each request and streams the response back."""

    def __init__(self, next_port: int):
        self._url = f"http://127.0.0.1:{next_port}"
        self._pool = httpcore.AsyncConnectionPool(max_connections=1_024)

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Forward one request and stream its response."""
        body = b""
        while True:
            event = await receive()
            body += event.get("body", b"")
            if not event.get("more_body"):
                break
        async with self._pool.stream(
            scope["method"],
            self._url + scope["path"],
            headers=[("host", "x"), ("content-type", "application/json")],
            content=body,
        ) as response:
            headers = [(name.lower(), value) for name, value in response.headers]
            status = response.status
            await send(
                {"type": "http.response.start", "status": status, "headers": headers}
            )
            async for chunk in response.aiter_stream():
                body_event = {"type": "http.response.body", "body": chunk}
                await send({**body_event, "more_body": True})
            await send({"type": "http.response.body", "body": b""})


async def _serve(listen_port: int, next_port: int) -> None:
    sock = bind_socket(f"127.0.0.1:{listen_port}")
    await HttpServer(BareHop(next_port), sock).run()


if __name__ == "__main__":
    anyio.run(_serve, int(sys.argv[1]), int(sys.argv[2]))
