"""Answers whose connection is reset are not complete, whatever was sent before."""

import contextlib
import socket
import unittest
from typing import Any
from unittest import mock

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipwood.agent._forward import BackendCall, Forwarder, ForwardOutcome
from cowslipwood.kernel import connection_end
from cowslipwood.kernel.codes import Outcome
from cowslipwood.kernel.http_connection import open_connection
from cowslipwood.kernel.settings import parse_address
from cowslipwood.routes import Route, RouteKind

from .answer_builders import STREAM_HEADERS, Framing, build_events, frame_answer
from .direct_builders import RecordingSink, build_route
from .upload_builders import (
    EarlyAnswer,
    Ending,
    build_upload,
    forward_upload,
    run_early_server,
)

# Sizes of uploads: none, in one segment, within and above what the kernel buffers of
# a connection hold before either side is read.
UPLOAD_SIZES = (0, 2_000, 100_000, 3_000_000, 12_000_000)
# Time, in milliseconds, for which a reset is awaited in these tests. The server's
# thread may wait for a core between the end of its direction and its close.
RESET_HOLD_MS = 500.0
# Sizes of uploads that are not read, and times between the answer and the close.
UNREAD_UPLOADS = ((2_000, 0.0), (2_000, 0.05), (3_000_000, 0.0), (3_000_000, 0.3))
SHORT_BODY = b"22 bytes of an answer."
ROUTES = (
    build_route(max_attempts=1, timeout_ms=8_000.0),
    build_route(kind=RouteKind.UNSAFE, max_attempts=1, timeout_ms=8_000.0),
    build_route(kind=RouteKind.STREAMING, max_attempts=1, timeout_ms=8_000.0),
    build_route(
        kind=RouteKind.STREAMING, max_attempts=1, timeout_ms=8_000.0, is_resumable=True
    ),
)


def build_whole_answer(framing: Framing, route: Route) -> tuple[bytes, bytes]:
    """Return the bytes of a complete answer, and its body."""
    is_stream = route.kind is RouteKind.STREAMING
    body = build_events(1, 3) if is_stream else SHORT_BODY
    headers = STREAM_HEADERS if is_stream else ""
    return b"".join(frame_answer(framing, body, headers=headers)), body


def forward(
    route: Route, answer: EarlyAnswer, n_bytes: int, method: bytes = b"POST"
) -> RecordingSink:
    """Return what a caller gets for an upload, which a server that reads it gets."""

    async def main() -> RecordingSink:
        with anyio.fail_after(15):
            sink, fault = await forward_upload(route, addr, n_bytes, method)
        if fault is not None and fault.outcome is not Outcome.UNKNOWN:
            raise AssertionError(f"may have run, but: {fault}")
        return sink

    hold_ms = connection_end.RESET_HOLD_MS
    if answer.ending.has_shutdown and not answer.ending.reads_all:
        hold_ms = RESET_HOLD_MS
    with (
        mock.patch.object(connection_end, "RESET_HOLD_MS", hold_ms),
        run_early_server(answer) as (addr, uploads),
    ):
        sink = anyio.run(main)
    # An answer with a length or chunks ends the exchange before the upload's end.
    is_unframed = b"connection: close" in answer.data
    if uploads and sink.is_complete and is_unframed:
        assert uploads == [build_upload(n_bytes)], "the server read another upload"
    return sink


class ResetAnswerTest(unittest.TestCase):
    """Answers without length or chunks to uploads that are not read to their end."""

    # Callers got the first bytes of an answer whose connection was reset as complete.
    def test_answer_to_an_unread_upload_is_not_complete(self):
        """A reset that follows the end of the server's direction is no orderly end."""
        for route in ROUTES:
            data, _ = build_whole_answer(Framing.CONNECTION, route)
            for ending in (
                Ending.CLOSE,
                Ending.SHUTDOWN_CLOSE,
                Ending.RESET,
                Ending.SHUTDOWN_RESET,
            ):
                for n_bytes, pause_s in UNREAD_UPLOADS:
                    with self.subTest(
                        route=route, ending=ending, n_bytes=n_bytes, pause=pause_s
                    ):
                        answer = EarlyAnswer(data, ending, pause_s=pause_s)
                        sink = forward(route, answer, n_bytes)
                        self.assertFalse(sink.is_complete)

    # Guards against failing sound servers that answer before they have read an upload.
    def test_answer_to_an_upload_that_is_read_later_is_complete(self):
        """A server may answer first, read on and then close in order."""
        for route in ROUTES:
            data, body = build_whole_answer(Framing.CONNECTION, route)
            for ending in (Ending.READ_CLOSE, Ending.SHUTDOWN_READ_CLOSE):
                for n_bytes in UPLOAD_SIZES:
                    with self.subTest(route=route, ending=ending, n_bytes=n_bytes):
                        answer = EarlyAnswer(data, ending, pause_s=0.05)
                        sink = forward(route, answer, n_bytes)
                        self.assertEqual(sink.body, body)
                        self.assertTrue(sink.is_complete)


class AnyEndTest(unittest.TestCase):
    """All forms of an answer, ends of a connection and sizes of an upload."""

    # The rule of completeness was tested without uploads and without half-closes.
    @settings(max_examples=80, deadline=None, derandomize=True)
    @given(
        framing=st.sampled_from(Framing),
        ending=st.sampled_from(Ending),
        n_bytes=st.sampled_from(UPLOAD_SIZES),
        pause_s=st.sampled_from((0.0, 0.01, 0.05)),
        route=st.sampled_from(ROUTES),
    )
    def test_answer_is_complete_only_after_an_orderly_end(
        self, framing, ending, n_bytes, pause_s, route
    ):
        """Without length or chunks, a reset makes an answer incomplete."""
        data, body = build_whole_answer(framing, route)
        # The first read takes a request without a body whole.
        answer = EarlyAnswer(data, ending, pause_s=pause_s)
        sink = forward(route, answer, n_bytes)
        is_reset = ending in (Ending.RESET, Ending.SHUTDOWN_RESET)
        has_unread = n_bytes > 0 and not ending.reads_all
        if framing is Framing.CONNECTION and ending is Ending.SHUTDOWN_RESET:
            # Nothing shows a reset that arrives after the end has been read, unless
            # bytes of the upload are awaited.
            self.assertFalse(sink.is_complete and n_bytes)
        elif framing is Framing.CONNECTION:
            self.assertEqual(sink.is_complete, not is_reset and not has_unread)
        if sink.is_complete:
            self.assertEqual((sink.status, sink.body), (200, body))
        else:
            self.assertTrue(body.startswith(sink.body))

    # An answer without a body ends with its head, so that no end is awaited.
    def test_answer_without_a_body_is_complete_at_its_head(self):
        """A reset after the head takes nothing from an answer to HEAD or a 204."""
        for method, status in ((b"HEAD", "200 OK"), (b"POST", "204 No Content")):
            for ending in Ending:
                with self.subTest(method=method, ending=ending):
                    data = f"HTTP/1.1 {status}\r\nx-request-id: q1\r\n\r\n".encode()
                    answer = EarlyAnswer(data, ending, pause_s=0.3)
                    sink = forward(ROUTES[0], answer, 2_000, method)
                    self.assertEqual(sink.status, int(status.split()[0]))
                    self.assertTrue(sink.is_complete)

    # Guards against failing answers that state their own end for what follows it.
    def test_answer_with_length_or_chunks_is_complete_at_its_end(self):
        """Whatever comes after the last byte or chunk, the answer is whole."""
        for framing in (Framing.LENGTH, Framing.CHUNKS):
            for route in (ROUTES[0], ROUTES[2]):
                data, body = build_whole_answer(framing, route)
                for ending in Ending:
                    for n_bytes in (2_000, 3_000_000):
                        with self.subTest(
                            framing=framing, route=route, ending=ending, n=n_bytes
                        ):
                            answer = EarlyAnswer(data, ending, pause_s=0.2)
                            sink = forward(route, answer, n_bytes)
                            self.assertEqual(sink.body, body)
                            self.assertTrue(sink.is_complete)

    # The rest of an upload must not be taken for the start of the next request, nor
    # the next request for the rest of the upload.
    def test_connection_with_an_unsent_upload_is_not_reused(self):
        """After an early answer with a length, no request follows on the connection."""

        async def main(addr: str) -> bool:
            conn = await open_connection(*parse_address(addr), 1_000.0)
            body = build_upload(UPLOAD_SIZES[-1])
            length = str(len(body)).encode()
            headers = [(b"host", b"shop.example"), (b"content-length", length)]
            await conn.send(b"POST", b"/", headers, body)
            await conn.receive_head()
            async for _ in conn.receive_body():
                pass
            is_reusable = conn.prepare_for_reuse()
            await conn.close()
            return is_reusable

        data, _ = build_whole_answer(Framing.LENGTH, ROUTES[0])
        answer = EarlyAnswer(data, Ending.CLOSE, pause_s=0.3)
        with run_early_server(answer) as (addr, _):
            self.assertFalse(anyio.run(main, addr))


class SilentServerTest(unittest.TestCase):
    """Servers that end their own direction and read nothing more."""

    # An agent would have waited for such a server for as long as its system retries.
    def test_end_without_acknowledgement_is_in_doubt(self):
        """The end counts as not orderly once no byte is acknowledged for a time."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            conn = socket.create_connection(listener.getsockname())
            peer, _ = listener.accept()
        with conn, peer:
            conn.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    conn.send(bytes(1_000_000))
            peer.shutdown(socket.SHUT_WR)

            async def check() -> bool:
                with anyio.fail_after(15):
                    return await connection_end.has_ended_in_order(conn, True)

            with mock.patch.object(connection_end, "ACKNOWLEDGE_TIMEOUT_MS", 200.0):
                self.assertFalse(anyio.run(check))


class AgentTest(unittest.TestCase):
    """Answers that an agent forwards from its backend server."""

    # An agent passed on the first bytes of a reset answer as a whole one.
    def test_answer_is_whole_only_after_an_orderly_end(self):
        """With length or chunks, what follows the answer does not count."""
        for route in (ROUTES[0], ROUTES[2]):
            for framing in Framing:
                data, _ = build_whole_answer(framing, route)
                for ending in Ending:
                    for n_bytes in (2_000, 3_000_000):
                        with self.subTest(
                            framing=framing, route=route, ending=ending, n=n_bytes
                        ):
                            answer = EarlyAnswer(data, ending, pause_s=0.05)
                            outcome = self._forward(answer, n_bytes)
                            if framing is Framing.CONNECTION:
                                is_whole = outcome is ForwardOutcome.WHOLE
                                self.assertEqual(is_whole, ending.reads_all)
                            elif ending.reads_all:
                                self.assertIs(outcome, ForwardOutcome.WHOLE)

    def _forward(self, answer: EarlyAnswer, n_bytes: int) -> ForwardOutcome:
        async def send(event: dict[str, Any]) -> None:
            pass

        async def main() -> ForwardOutcome:
            headers = [("host", "shop.example"), ("content-length", str(n_bytes))]
            call = BackendCall("POST", "/", headers, build_upload(n_bytes))
            forwarder = Forwarder(f"http://{addr}", {})
            with anyio.fail_after(15):
                return (await forwarder.forward(call, send, dict, None)).outcome

        with (
            mock.patch.object(connection_end, "RESET_HOLD_MS", RESET_HOLD_MS),
            run_early_server(answer) as (addr, _),
        ):
            return anyio.run(main)
