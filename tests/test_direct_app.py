"""Tests the HTTP interface of an entry with direct routes."""

import unittest
from typing import Any
from unittest import mock

import anyio

from cowslipwood.entry.direct import _app
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


async def send_body(app: RouteApp, parts: list[bytes]) -> tuple[int, int]:
    """Send a body without an end; return the status and the number of parts read."""
    scope = {
        "type": "http",
        "method": "POST",
        "raw_path": b"/orders/1",
        "query_string": b"",
        "headers": [(b"host", b"shop.example"), (b"x-request-id", b"q1")],
    }
    n_read = 0
    statuses: list[int] = []

    async def receive() -> dict[str, Any]:
        nonlocal n_read
        if n_read == len(parts):
            await anyio.sleep_forever()
        n_read += 1
        return {"type": "http.request", "body": parts[n_read - 1], "more_body": True}

    async def send(event: dict[str, Any]) -> None:
        if event["type"] == "http.response.start":
            statuses.append(event["status"])

    with anyio.move_on_after(1.0):
        await app(scope, receive, send)
    return statuses[0] if statuses else 0, n_read


class EndlessBodyTest(unittest.TestCase):
    """Bodies of callers that are too long or too many."""

    # Guards against an entry that runs out of memory because of one caller.
    def test_body_without_end(self):
        """A body is refused once it is over the limit, not at its end."""

        async def main() -> tuple[int, int]:
            state = build_direct_state([])
            state.apply_document(build_document(limits={"max_body_bytes": 100}))
            return await send_body(RouteApp(state, create_rng()), [b"x" * 60] * 9)

        self.assertEqual(anyio.run(main), (413, 2))

    # Guards against an entry that runs out of memory because of many callers.
    def test_many_unfinished_bodies(self):
        """Bodies over the total limit are refused, and ended requests free theirs."""

        async def main() -> list[int]:
            state = build_direct_state([])
            state.apply_document(build_document(limits={"max_body_bytes": 100}))
            app = RouteApp(state, create_rng())
            statuses = []

            async def send_one() -> None:
                statuses.append((await send_body(app, [b"x" * 90]))[0])

            with mock.patch.object(_app, "MAX_HELD_BODY_BYTES", 200):
                async with anyio.create_task_group() as tasks:
                    for _ in range(3):
                        tasks.start_soon(send_one)
                await send_one()
            return sorted(statuses[:3]) + statuses[3:]

        self.assertEqual(anyio.run(main), [0, 0, 503, 0])


class LeavingTest(unittest.TestCase):
    """Requests that arrive while the entry stops."""

    def test_long_requests_refused(self):
        """A request that may outlast the process is refused with a retry-after time."""
        routes = [
            route_value(path_prefix="/short/", timeout_ms=1_000),
            route_value(name="r2", path_prefix="/long/", timeout_ms=15_000),
            # Guards against an answer at the time limit that the kill cuts.
            route_value(
                name="r3", path_prefix="/limit/", timeout_ms=round(GRACE_MS) - 100
            ),
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
                answers = [
                    await call(app, path)
                    for path in ("/short/1", "/long/1", "/limit/1")
                ]
                return [before, *answers, len(received_heads)]

        before, short, long, limit, n_sent = anyio.run(main)
        self.assertEqual((before[0], short[0], long[0], n_sent), (200, 200, 503, 2))
        self.assertEqual(limit[0], 503)
        self.assertIn(b"retry-after", long[1])
        self.assertEqual(long[1][b"connection"], b"close")
