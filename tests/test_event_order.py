"""A caller gets each event of a stream once and in order, whichever server sends it."""

import unittest
from typing import Any

import anyio

from cowslipwood.entry.direct._event_order import EventOrder, EventOrderError
from cowslipwood.entry.direct._exchange import RequestForwarder
from cowslipwood.kernel.codes import Code
from cowslipwood.routes import RouteKind

from .answer_builders import (
    STREAM_HEADERS,
    End,
    Framing,
    build_events,
    frame_answer,
    send_and_end,
)
from .direct_builders import (
    RecordingSink,
    build_direct_state,
    build_listed_server,
    build_request,
    build_route,
    create_rng,
    run_scripted_server,
)
from .test_direct_exchange import run

RESUMABLE = build_route(kind=RouteKind.STREAMING, max_attempts=2, is_resumable=True)
STREAM = build_route(kind=RouteKind.STREAMING, max_attempts=1)


def build_stream(events: bytes, is_whole: bool = True) -> bytes:
    """Return the bytes of a stream in chunks, with or without its end."""
    head, body = frame_answer(Framing.CHUNKS, events, headers=STREAM_HEADERS)
    return head + (body if is_whole else body[: -len(b"0\r\n\r\n")])


def build_letter_events(letters: str) -> bytes:
    """Return events whose ids are letters."""
    return b"".join(b"id: %c\ndata: x\n\n" % ord(letter) for letter in letters)


class JointTest(unittest.TestCase):
    """Streams of which another server sends the last events."""

    def _run(self, begun: bytes, rest: bytes) -> tuple[Any, Any]:
        """Break the stream off after some events; return the failure and the answer."""
        resumed = send_and_end(build_stream(rest), End.CLOSED)
        broken = send_and_end(build_stream(begun, is_whole=False), End.CLOSED)

        async def serve(stream: Any, head: bytes) -> None:
            is_resume = b"last-event-id" in head.lower()
            await (resumed if is_resume else broken)(stream, head)

        fault, sink, _ = run([serve, serve], RESUMABLE)
        return fault, sink

    def test_stream_that_continues(self):
        """Ids that go on with the next one, or are no numbers, are accepted."""
        for begun, rest in (
            (build_events(1, 3), build_events(4, 6)),
            (build_events(1, 1), build_events(3, 4)),
            (build_events(2, 2) + build_events(5, 5), build_events(9, 9)),
            (build_letter_events("ab"), build_letter_events("az")),
        ):
            with self.subTest(begun=begun, rest=rest):
                fault, sink = self._run(begun, rest)
                self.assertIsNone(fault)
                self.assertEqual((sink.body, sink.is_complete), (begun + rest, True))

    # A server that began again, too early or too late was joined as it came.
    def test_stream_that_does_not_continue_is_not_joined(self):
        """Nothing of an answer that does not go on reaches the caller."""
        begun = build_events(1, 3)
        for rest in (
            build_events(1, 6),
            build_events(3, 6),
            build_events(5, 6),
            build_events(4, 5) + build_events(5, 6),
        ):
            with self.subTest(rest=rest):
                fault, sink = self._run(begun, rest)
                self.assertIsNotNone(fault)
                self.assertFalse(sink.is_complete)
                self.assertTrue(build_events(1, 5).startswith(sink.body))

    # A server that took a client's resume for a new request was joined to the events
    # that the client has.
    def test_resume_by_the_client(self):
        """A client that has five events never gets the fifth or an earlier one."""
        for first in (1, 5, 6):
            with self.subTest(first=first):
                rest = build_events(first, 8)
                fault, sink = anyio.run(self._resume_as_client, rest)
                if first == 6:
                    self.assertEqual((fault, sink.body), (None, rest))
                else:
                    self.assertIn(fault.code, (Code.ANSWER_CUT, Code.OUTCOME_UNKNOWN))
                    self.assertEqual(sink.body, b"")

    async def _resume_as_client(self, rest: bytes) -> tuple[Any, RecordingSink]:
        script = send_and_end(build_stream(rest), End.CLOSED)
        sink = RecordingSink()
        async with run_scripted_server(script) as (addr, _):
            state = build_direct_state([build_listed_server("s0", addr)])
            state.stream_versions.record_stream("desk", "q0", "", state.now_ms())
            request = build_request(
                RESUMABLE, last_event_id="5", x_cowslip_resumes="q0"
            )
            forwarder = RequestForwarder(state, request, sink, create_rng())
            return await forwarder.run(), sink


class OneAnswerTest(unittest.TestCase):
    """Streams of one server."""

    # A server that repeated events, or went back, was forwarded as it came.
    def test_ids_that_do_not_increase(self):
        """Such a stream is never marked as complete."""
        events = build_events(1, 3)
        for route in (STREAM, RESUMABLE):
            for again in (build_events(3, 5), build_events(2, 5)):
                with self.subTest(again=again, route=route):
                    answer = build_stream(events)[: -len(b"0\r\n\r\n")]
                    last = frame_answer(Framing.CHUNKS, again)[1]
                    script = send_and_end(answer + last, End.CLOSED)
                    _, sink, _ = run([script], route)
                    self.assertFalse(sink.is_complete)

    def test_ids_with_gaps_or_without_numbers(self):
        """Streams whose ids increase otherwise, or are no numbers, are complete."""
        for events in (
            build_events(1, 2) + build_events(7, 8),
            build_letter_events("aab"),
            build_events(1, 2) + build_letter_events("a") + build_events(1, 1),
            b"data: x\n\ndata: y\n\n",
        ):
            for route in (STREAM, RESUMABLE):
                with self.subTest(events=events, route=route):
                    script = send_and_end(build_stream(events), End.CLOSED)
                    _, sink, _ = run([script], route)
                    self.assertEqual((sink.body, sink.is_complete), (events, True))


class EventOrderTest(unittest.TestCase):
    """Which ids are kept."""

    def test_ids_that_were_refused_are_not_kept(self):
        """After a refused answer, the stream goes on after the last kept event."""
        order = EventOrder()
        order.begin_answer()
        order.advance([b"1", b"2"])
        order.begin_answer()
        with self.assertRaises(EventOrderError):
            order.advance([b"3", b"3"])
        order.begin_answer()
        order.advance([b"3", b"4"])
