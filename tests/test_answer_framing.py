"""An answer reaches its caller as complete only if the server completed it."""

import unittest
from typing import Any, ClassVar

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipwood.agent._forward import BackendCall, Forwarder, ForwardOutcome
from cowslipwood.kernel.codes import Code

from .answer_builders import (
    STREAM_HEADERS,
    CallerAnswer,
    End,
    Framing,
    build_events,
    call_entry,
    frame_answer,
    send_and_end,
)
from .direct_builders import build_answer, run_scripted_server

STREAM = {"kind": "streaming", "max_attempts": 1}
RESUMABLE = {"kind": "streaming", "max_attempts": 2, "is_resumable": True}
LINE_ENDS = (b"\n", b"\r\n")


def call(scripts: list, **route: Any) -> CallerAnswer:
    """Return the answer of an entry whose servers have these scripts."""

    async def main() -> CallerAnswer:
        with anyio.fail_after(20):
            answer, _ = await call_entry(scripts, **route)
        return answer

    return anyio.run(main)


def send_stream(body: bytes, end: End = End.CLOSED) -> Any:
    """Return a script that sends a stream that ends with its connection."""
    head, framed = frame_answer(Framing.CONNECTION, body, headers=STREAM_HEADERS)
    return send_and_end(head + framed, end)


class BrokenStreamTest(unittest.TestCase):
    """Streams without length or chunks, whose server ends the connection."""

    # An answer that broke off inside an event reached its caller as complete.
    def test_stream_that_ends_inside_an_event_is_not_complete(self):
        """A stream that ends inside an event is never marked as complete."""
        for line_end in LINE_ENDS:
            whole = build_events(1, 2, line_end)
            for n_missing in range(1, len(build_events(2, 2, line_end))):
                for route in (STREAM, RESUMABLE):
                    body = whole[:-n_missing]
                    with self.subTest(body=body, route=route):
                        answer = call([send_stream(body)], **route)
                        self.assertFalse(answer.is_complete and answer.status == 200)


class OldCallerTest(unittest.TestCase):
    """Callers of HTTP/1.0, to whom the end of the connection ends an answer."""

    # An answer that broke off reached a caller of HTTP/1.0 as complete.
    def test_answer_that_breaks_off_is_not_complete(self):
        """The connection of an answer that breaks off is reset."""
        events = build_events(1, 3)
        head, framed = frame_answer(Framing.CHUNKS, events, headers=STREAM_HEADERS)
        for route in (STREAM, RESUMABLE):
            for n_missing in (0, len(b"0\r\n\r\n"), len(b"0\r\n\r\n") + 4):
                with self.subTest(route=route, n_missing=n_missing):
                    data = (head + framed)[: len(head + framed) - n_missing]
                    script = send_and_end(data, End.CLOSED)
                    answer = call([script], http_version=b"HTTP/1.0", **route)
                    self.assertEqual(answer.is_complete, not n_missing)
                    if not n_missing:
                        self.assertEqual(answer.body, events)


class AnyAnswerTest(unittest.TestCase):
    """Answers of each framing that a server may break off at any byte."""

    # A broken-off answer reached its caller as complete; a whole one must still do.
    @settings(max_examples=120, deadline=None, derandomize=True)
    @given(
        framing=st.sampled_from(Framing),
        end=st.sampled_from(End),
        line_end=st.sampled_from(LINE_ENDS),
        n_events=st.integers(0, 4),
        cut_share=st.one_of(st.just(1.0), st.floats(0, 1)),
        route=st.sampled_from((STREAM, RESUMABLE, {"kind": "safe", "max_attempts": 1})),
    )
    def test_caller_has_complete_answer_only_if_server_completed_it(
        self, framing, end, line_end, n_events, cut_share, route
    ):
        """The caller's answer is complete exactly if the server's is."""
        is_stream = route["kind"] == "streaming"
        body = build_events(1, n_events, line_end)
        headers = STREAM_HEADERS if is_stream else ""
        head, framed = frame_answer(framing, body, headers=headers)
        sent = framed[: round(cut_share * len(framed))]
        is_whole = sent == framed
        if framing is Framing.CONNECTION:
            is_whole = end is End.CLOSED and not is_stream
            if is_stream and end is End.CLOSED:
                is_whole = sent.endswith(2 * line_end)
        answer = call([send_and_end(head + sent, end)], **route)
        if is_whole:
            self.assertEqual((answer.status, answer.is_complete), (200, True))
            self.assertEqual(
                answer.body, sent if framing is Framing.CONNECTION else body
            )
        else:
            self.assertFalse(answer.is_complete and answer.status == 200)


class LongAnswerTest(unittest.TestCase):
    """Answers of a plain service that are forwarded while they arrive."""

    BODY = b"0123456789abcdef" * 16_384
    ROUTE: ClassVar = {"kind": "safe", "max_attempts": 1, "timeout_ms": 20_000}

    # A long answer that breaks off after it has begun must not look complete.
    def test_long_answer_is_complete_only_if_the_server_completed_it(self):
        """Whatever marks the answer's end, a cut shows in the caller's answer."""
        for framing in Framing:
            head, framed = frame_answer(framing, self.BODY)
            for end in End:
                is_whole = framing is Framing.CONNECTION and end is End.CLOSED
                with self.subTest(framing=framing, end=end):
                    cut = framed[: len(framed) * 3 // 4]
                    answer = call([send_and_end(head + cut, end)], **self.ROUTE)
                    self.assertEqual(answer.is_complete, is_whole)
            with self.subTest(framing=framing):
                whole = call([send_and_end(head + framed, End.CLOSED)], **self.ROUTE)
                self.assertTrue(whole.is_complete)
                self.assertEqual(whole.body, self.BODY)


class ResumedStreamTest(unittest.TestCase):
    """Streams that another server continues."""

    # Events of a resumable stream with CRLF line ends were held until its end.
    def test_stream_with_carriage_returns_is_resumed_after_its_last_event(self):
        """A stream whose lines end with CR and LF is resumed like any other."""
        for line_end in LINE_ENDS:
            with self.subTest(line_end=line_end):
                self._check_resumed(Framing.CHUNKS, Framing.CHUNKS, line_end)

    # A resumed stream broke off when its first server had stated a length.
    def test_resumed_stream_is_complete_whatever_marks_the_two_answers_ends(self):
        """The caller gets each event once, and the end of a complete answer."""
        for first in Framing:
            for second in Framing:
                with self.subTest(first=first, second=second):
                    self._check_resumed(first, second)

    def _check_resumed(
        self, first: Framing, second: Framing, line_end: bytes = b"\n"
    ) -> None:
        answer = self._resume(first, second, line_end)
        self.assertEqual(answer.body, build_events(1, 5, line_end))
        self.assertTrue(answer.is_complete)

    # An error of the next server reached callers in the middle of their stream.
    def test_error_answer_to_a_resume_never_reaches_the_caller(self):
        """A stream that has begun holds events only, and ends without its end."""
        head, framed = frame_answer(
            Framing.CHUNKS, build_events(1, 3), headers=STREAM_HEADERS
        )
        begun = head + framed[:-8]
        json_body = b'{"error":"none"}'
        stream_head, stream_body = frame_answer(
            Framing.CONNECTION, build_events(3, 4), headers=STREAM_HEADERS
        )
        answers = {
            "server error": build_answer(json_body, "500 Internal Server Error"),
            "no such path": build_answer(json_body, "404 Not Found"),
            "refusal": build_answer(
                json_body, "503 Busy", extra_headers="x-cowslip-not-run: 1\r\n"
            ),
            "no stream": build_answer(
                json_body, extra_headers="content-type: application/json\r\n"
            ),
            "no answer": b"",
            "head in the stream": stream_head
            + stream_body
            + build_answer(json_body, "500 Internal Server Error"),
        }
        for name, answer_bytes in answers.items():
            with self.subTest(name=name):
                answer = self._answer_resume(begun, answer_bytes)
                self.assertFalse(answer.is_complete)
                self.assertTrue(build_events(1, 4).startswith(answer.body))

    def _resume(self, first: Framing, second: Framing, line_end: bytes) -> CallerAnswer:
        head, framed = frame_answer(
            first, build_events(1, 3, line_end), headers=STREAM_HEADERS
        )
        rest = build_events(3, 5, line_end)
        return self._answer_resume(
            head + framed[:-8],
            b"".join(frame_answer(second, rest, headers=STREAM_HEADERS)),
        )

    def _answer_resume(self, begun: bytes, answer_to_resume: bytes) -> CallerAnswer:
        """Break off a stream after these bytes, and answer its resume with others."""
        return answer_resume(
            send_and_end(begun, End.CLOSED), send_and_end(answer_to_resume, End.CLOSED)
        )


class CutHeadTest(unittest.TestCase):
    """Answers whose server stops inside their head and ends the connection."""

    INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"

    # Callers got 200 with an empty or short body when a server stopped in its head.
    def test_answer_cut_inside_its_head_is_no_success(self):
        """Cut anywhere, with or without a length or an interim answer before."""
        routes = (STREAM, RESUMABLE, {"kind": "safe", "max_attempts": 1})
        for framing in Framing:
            for interim in (b"", self.INTERIM):
                head, _ = frame_answer(framing, build_events(1, 2))
                for n_bytes in range(0, len(head), 2):
                    route = routes[n_bytes // 2 % len(routes)]
                    end = End.RESET if n_bytes % 4 else End.CLOSED
                    sent = interim + head[:n_bytes]
                    with self.subTest(sent=sent, route=route):
                        answer = call([send_and_end(sent, end)], **route)
                        self.assertFalse(answer.is_complete and answer.status == 200)

    # A stream must not end as complete because the server that continues it stops.
    def test_resume_cut_inside_its_head_breaks_the_stream(self):
        """A stream that has begun stays incomplete, and holds its events only."""
        head, framed = frame_answer(
            Framing.CHUNKS, build_events(1, 3), headers=STREAM_HEADERS
        )
        second, _ = frame_answer(
            Framing.CONNECTION, build_events(3, 5), headers=STREAM_HEADERS
        )
        for n_bytes in range(0, len(second), 3):
            with self.subTest(n_bytes=n_bytes):
                broken = send_and_end(head + framed[:-8], End.CLOSED)
                resumed = send_and_end(self.INTERIM + second[:n_bytes], End.CLOSED)
                answer = answer_resume(broken, resumed)
                self.assertFalse(answer.is_complete)
                self.assertTrue(build_events(1, 3).startswith(answer.body))


def answer_resume(broken: Any, resumed: Any) -> CallerAnswer:
    """Return the answer of servers with one script for resumes and one for others."""

    async def serve(stream: Any, request_head: bytes) -> None:
        is_resume = b"last-event-id" in request_head.lower()
        await (resumed if is_resume else broken)(stream, request_head)

    return call([serve, serve], **RESUMABLE)


class ForwardedByAgentTest(unittest.TestCase):
    """Streams of a plain service that an agent forwards."""

    async def _forward(self, script: Any) -> ForwardOutcome:
        async def send(event: dict[str, Any]) -> None:
            pass

        async with run_scripted_server(script) as (addr, _):
            forwarder = Forwarder(f"http://{addr}", {})
            call_to_server = BackendCall("GET", "/", [("host", "shop.example")], b"")
            result = await forwarder.forward(call_to_server, send, dict, None)
        return result.outcome

    # An agent passed a stream that broke off inside an event on as complete.
    def test_agent_breaks_off_a_stream_that_ends_inside_an_event(self):
        """An agent states that a stream was cut if it ended inside an event."""
        whole = build_events(1, 2)
        for body, outcome in (
            (whole, ForwardOutcome.WHOLE),
            (whole[:-1], ForwardOutcome.CUT),
            (whole[:-4], ForwardOutcome.CUT),
            (b"", ForwardOutcome.CUT),
            (whole + build_answer(b"", "503 Busy"), ForwardOutcome.CUT),
        ):
            with self.subTest(body=body):
                script = send_stream(body)
                self.assertEqual(anyio.run(self._forward, script), outcome)

    # Callers got 200 with an empty body when a server stopped in its answer's head.
    def test_agent_never_takes_a_cut_head_for_an_answer(self):
        """An answer cut at every other byte of its head is not whole at the agent."""
        for framing in Framing:
            head, _ = frame_answer(framing, build_events(1, 2))
            for n_bytes in range(0, len(head), 2):
                with self.subTest(sent=head[:n_bytes]):
                    script = send_and_end(head[:n_bytes], End.CLOSED)
                    outcome = anyio.run(self._forward, script)
                    self.assertIsNot(outcome, ForwardOutcome.WHOLE)

    # A call that ran was refused as not run, by what followed the answer before.
    def test_agent_takes_no_second_answer_for_the_next_one(self):
        """Bytes behind an answer, sent at once or late, never answer the next call."""
        for pause_s in (None, 0.0, 0.01):
            with self.subTest(pause_s=pause_s):
                outcomes = anyio.run(self._forward_two, pause_s)
                self.assertEqual(outcomes, 2 * [ForwardOutcome.WHOLE])

    async def _forward_two(self, pause_s: float | None) -> list[ForwardOutcome]:
        """Return how two calls ended, the first with a second answer, a refusal."""
        answers = [build_answer(), build_answer()]

        async def serve(stream: Any, head: bytes) -> None:
            answer = answers.pop()
            refusal = build_answer(b"", "503 Full") if answers else b""
            if pause_s is None:
                await stream.send(answer + refusal)
                return
            # The next call's answer comes after the second one to this call.
            await anyio.sleep(2 * pause_s)
            await stream.send(answer)
            await anyio.sleep(pause_s)
            await stream.send(refusal)

        async def send(event: dict[str, Any]) -> None:
            pass

        async with run_scripted_server(serve) as (addr, _):
            forwarder = Forwarder(f"http://{addr}", {503: Code.AGENT_OVERLOADED})
            call_to_server = BackendCall("POST", "/", [("host", "shop.example")], b"")
            return [
                (await forwarder.forward(call_to_server, send, dict, None)).outcome
                for _ in range(2)
            ]
