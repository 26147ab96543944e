"""Tests the HTTP interface of an entry with direct routes."""

import unittest
from typing import Any

import anyio

from cowslipwood.entry.direct._app import RouteApp
from cowslipwood.kernel.clock import monotonic_ms

from .direct_builders import (
    always_send,
    build_answer,
    build_direct_state,
    build_document,
    build_listed_server,
    create_rng,
    route_value,
    run_scripted_server,
)

# Time, in milliseconds, from the start of the stop until the process would be killed.
GRACE_MS = 8_000.0


async def call(app: RouteApp, path: str) -> tuple[int, dict[bytes, bytes]]:
    """Return status and headers of the answer to one request."""
    scope = {
        "type": "http",
        "method": "GET",
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [(b"host", b"shop.example"), (b"x-request-id", b"q1")],
    }
    events = [{"type": "http.request", "body": b""}]
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        if events:
            return events.pop(0)
        await anyio.sleep_forever()
        raise AssertionError

    async def send(event: dict[str, Any]) -> None:
        sent.append(event)

    await app(scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"])


class LeavingTest(unittest.TestCase):
    """Requests that arrive while the entry stops."""

    def test_long_requests_refused(self):
        """A request that may outlast the process is refused with a retry-after time."""
        routes = [
            route_value(path_prefix="/short/", timeout_ms=1_000),
            route_value(name="r2", path_prefix="/long/", timeout_ms=15_000),
        ]

        async def main() -> list:
            async with run_scripted_server(always_send(build_answer())) as (
                addr,
                received_heads,
            ):
                state = build_direct_state([build_listed_server("s0", addr)])
                state.apply_document(build_document(routes=routes))
                app = RouteApp(state, create_rng())
                before = await call(app, "/long/1")
                app.start_leaving(monotonic_ms() + GRACE_MS)
                answers = [await call(app, path) for path in ("/short/1", "/long/1")]
                return [before, *answers, len(received_heads)]

        before, short, long, n_sent = anyio.run(main)
        self.assertEqual((before[0], short[0], long[0], n_sent), (200, 200, 503, 2))
        self.assertIn(b"retry-after", long[1])
        self.assertEqual(long[1][b"connection"], b"close")
