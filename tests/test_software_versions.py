"""A stream goes on only at the software version that began it."""

import random
import unittest
from contextlib import AsyncExitStack

import anyio
import anyio.abc

from cowslipwood.entry.direct._exchange import RequestForwarder
from cowslipwood.kernel.codes import Failure
from cowslipwood.kernel.wire import decode_record, encode_record
from cowslipwood.listing import to_server_view
from cowslipwood.routes import RouteKind

from .answer_builders import STREAM_HEADERS, Framing, build_events, frame_answer
from .direct_builders import (
    RecordingSink,
    build_direct_state,
    build_listed_server,
    build_request,
    build_route,
    run_scripted_server,
)

ROUTE = build_route(
    kind=RouteKind.STREAMING, is_resumable=True, max_attempts=2, timeout_ms=3_000.0
)


async def break_or_resume(stream: anyio.abc.SocketStream, head: bytes) -> None:
    """Break off a new stream after two events; complete one that is resumed."""
    is_resumed = b"last-event-id:" in head.lower()
    body = build_events(3, 4) if is_resumed else build_events(1, 2) + b"id: 3\nda"
    answer_head, framed = frame_answer(Framing.CHUNKS, body, headers=STREAM_HEADERS)
    await stream.send(answer_head + (framed if is_resumed else framed[:-5]))
    if not is_resumed:
        await stream.aclose()


async def play(versions: str) -> tuple[Failure | None, RecordingSink, str]:
    """Send one stream to servers of these versions, a letter each.

    The third result holds the versions that got an attempt, in order.
    """
    async with AsyncExitStack() as stack:
        tried = ""

        def build_script(version: str):
            async def serve(stream: anyio.abc.SocketStream, head: bytes) -> None:
                nonlocal tried
                tried += version
                await break_or_resume(stream, head)

            return serve

        servers = []
        for i, version in enumerate(versions):
            addr, _ = await stack.enter_async_context(
                run_scripted_server(build_script(version))
            )
            servers.append(build_listed_server(f"s{i}", addr, software_version=version))
        random.Random(versions).shuffle(servers)
        sink = RecordingSink()
        request = build_request(ROUTE)
        state = build_direct_state(servers)
        fault = await RequestForwarder(state, request, sink, random.Random(1)).run()
        return fault, sink, tried


class ResumedWithinAnswerTest(unittest.TestCase):
    """Streams that break off while two software versions serve."""

    # A stream was joined from two versions, with nothing in the answer to show it.
    def test_other_version_does_not_continue(self):
        """If only servers of another version are left, the stream breaks off."""
        for versions in ("ab", "ba", "abb", "abbbb"):
            with self.subTest(versions=versions):
                fault, sink, tried = anyio.run(play, versions)
                if len(tried) == 2:
                    self.assertEqual(tried[0], tried[1])
                    self.assertIsNone(fault)
                else:
                    self.assertIsNotNone(fault)
                    self.assertFalse(sink.is_complete)
                    self.assertEqual(sink.body, build_events(1, 2))

    def test_same_version_continues(self):
        """Where another server of the version serves, the stream is completed there."""
        for versions in ("aabb", "abab", "baba", "aa", "aaabbb"):
            with self.subTest(versions=versions):
                fault, sink, tried = anyio.run(play, versions)
                self.assertIsNone(fault)
                self.assertEqual(tried[0], tried[1])
                self.assertEqual(sink.body, build_events(1, 4))


class KnownVersionTest(unittest.TestCase):
    """How an entry learns a server's software version."""

    def test_passed_on_by_the_leader(self):
        """The version is part of what the leader sends of a server."""
        server = build_listed_server("s0", "10.0.0.1:80", software_version="v7")
        view = to_server_view(server, ())
        received = decode_record(type(view), encode_record(view)).unwrap()
        self.assertEqual(received.software_version, "v7")
