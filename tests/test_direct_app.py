"""The callers' interface of an entry with direct routes."""

import unittest
from typing import Any

import anyio

from cowslipwood.entry.direct._app import RouteApp
from cowslipwood.kernel.clock import monotonic_ms

from .direct_builders import (
    always,
    direct_state,
    document,
    listed,
    reply,
    route_value,
    scripted_server,
    seeded,
)

GRACE_MS = 8_000.0


async def answer(app: RouteApp, path: str) -> tuple[int, dict[bytes, bytes]]:
    """Return status and headers of one call."""
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
    """Requests that come while the entry stops."""

    def test_only_what_ends_in_time(self):
        """What may last beyond the kill is refused as not run, and told to return."""
        routes = [
            route_value(path_prefix="/short/", timeout_ms=1_000),
            route_value(name="r2", path_prefix="/long/", timeout_ms=15_000),
        ]

        async def main() -> list:
            async with scripted_server(always(reply())) as (addr, seen):
                state = direct_state([listed("s0", addr)])
                state.apply_document(document(routes=routes))
                app = RouteApp(state, seeded())
                before = await answer(app, "/long/1")
                app.start_leaving(monotonic_ms() + GRACE_MS)
                answers = [await answer(app, path) for path in ("/short/1", "/long/1")]
                return [before, *answers, len(seen)]

        before, short, long, n_sent = anyio.run(main)
        self.assertEqual((before[0], short[0], long[0], n_sent), (200, 200, 503, 2))
        self.assertIn(b"retry-after", long[1])
        self.assertEqual(long[1][b"connection"], b"close")
