"""Forwards a server's answer to the caller, a whole one or a stream of events."""

import math
from typing import Protocol

import anyio

from ...kernel.codes import Code, Failure, failure
from ...kernel.event_stream import EventSplitter, is_event_stream
from ...kernel.http_connection import (
    AnswerHead,
    BodyEnd,
    BrokenAnswerError,
    ServerConnection,
)
from ...kernel.logs import get_logger
from ...kernel.messages import ServerView
from ...routes import RouteKind
from ..choosing._backend import Backend
from ._attempt_record import AttemptRecorder
from ._end_check import EndSign
from ._headers import filter_answer_headers
from ._progress import AnswerStage, RequestProgress
from ._request import RoutedRequest, missed_target
from ._state import DirectState

__all__ = ["AnswerForwarder", "AnswerSink"]

# Largest answer, in bytes, that is held until it is complete. A longer one is
# forwarded as it arrives.
MAX_BUFFERED_BYTES = 65_536
# Time without a whole event, as a multiple of the route's gap target, after which a
# stream is considered stalled, whatever bytes it sends. Slow engines pause for several
# times the gap target, and callers leave after about this multiple.
STALL_GAP_FACTOR = 10.0
# The same as a multiple of the route's latency target. Callers leave after four times
# that target.
STALL_TARGET_FACTOR = 5.0
# Least time, in milliseconds, without a whole event after which a stream is considered
# stalled.
MIN_STALL_MS = 4_000.0
# Status of an answer that has no body.
NO_CONTENT_STATUS = 204


class AnswerSink(Protocol):
    """Receives the parts of an answer as they arrive from a server."""

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def end(self) -> None:
        """Mark the answer as complete."""


class AnswerForwarder:
    """Forwards the answers to one request to its caller.

    Parameters
    ----------
    state : DirectState
    request : RoutedRequest
    progress : RequestProgress
    recorder : AttemptRecorder
    sink : AnswerSink
        Receives the answer for the caller.
    """

    def __init__(
        self,
        state: DirectState,
        request: RoutedRequest,
        progress: RequestProgress,
        recorder: AttemptRecorder,
        sink: AnswerSink,
    ):
        self._state = state
        self._request = request
        self._progress = progress
        self._recorder = recorder
        self._sink = sink
        self._log = get_logger()

    async def forward(
        self, backend: Backend, conn: ServerConnection, head: AnswerHead, sent_ms: float
    ) -> Failure | None:
        """Forward an answer; return the failure, or None on success.

        Raises
        ------
        BrokenAnswerError, EventOrderError, EventTooLongError, StatusLineError
            When the answer ends early or is malformed.
        TimeoutError
            When the time for the answer has passed.
        """
        if not self.is_stream(head):
            return await self._forward_whole(backend, conn, head, sent_ms)
        return await self._forward_stream(backend, conn, head, sent_ms)

    async def forward_error(self, head: AnswerHead, body: bytes) -> None:
        """Forward an error that a server answered."""
        await self._sink.start(head.status, filter_answer_headers(head.headers))
        await self._sink.write(body)
        await self._sink.end()

    def is_stream(self, head: AnswerHead) -> bool:
        """Return whether an answer is forwarded event by event."""
        return (
            self._request.route.kind is RouteKind.STREAMING
            and head.status < 300
            and is_event_stream(head.headers, default=True)
        )

    async def _forward_whole(
        self,
        backend: Backend,
        conn: ServerConnection,
        head: AnswerHead,
        sent_ms: float,
    ) -> Failure | None:
        """Forward a short answer once it is complete, so that a cut one is retried."""
        request = self._request
        buffer = bytearray()
        with anyio.fail_after(self._compute_left_s()):
            async for chunk in conn.receive_body():
                if self._progress.has_started:
                    await self._sink.write(chunk)
                    continue
                buffer += chunk
                if len(buffer) > MAX_BUFFERED_BYTES:
                    await self._start_answer(head)
                    await self._sink.write(bytes(buffer))
        if head.status >= 500 and not self._progress.has_started:
            fault = failure(Code.OUTCOME_UNKNOWN, f"server error {head.status}")
            self._progress.error_answer = (head, bytes(buffer))
            return self._recorder.record_failure(backend, fault)
        await self._check_end(backend, head, sent_ms)
        if not self._progress.has_started:
            await self._start_answer(head)
            await self._sink.write(bytes(buffer))
        await self._sink.end()
        await self._recorder.record_success(
            backend, head, sent_ms, self._state.now_ms()
        )
        self._log.info(
            "request_answered",
            request=request.facts.request_id,
            server=backend.view.server_id,
            status=head.status,
            body_end=head.body_end.value,
        )
        return None

    async def _forward_stream(
        self,
        backend: Backend,
        conn: ServerConnection,
        head: AnswerHead,
        sent_ms: float,
    ) -> Failure | None:
        """Forward events as they arrive, only whole ones if the stream is resumable."""
        splitter = EventSplitter(whole_only=self._request.route.is_resumable)
        self._progress.event_order.begin_answer()
        first_event_at_ms = last_event_at_ms = longest_gap_ms = unread_ms = 0.0
        with anyio.fail_after(self._compute_left_s()), anyio.CancelScope() as stall:
            async for chunk in conn.receive_body():
                now_ms = self._state.now_ms()
                first_event_at_ms = first_event_at_ms or now_ms
                n_chunks_with_event_end = splitter.n_chunks_with_event_end
                data = splitter.feed(chunk)
                self._progress.event_order.advance(splitter.fed_ids)
                if splitter.n_chunks_with_event_end > n_chunks_with_event_end:
                    gap_ms = now_ms - last_event_at_ms if last_event_at_ms else 0.0
                    longest_gap_ms = max(longest_gap_ms, gap_ms)
                    last_event_at_ms = now_ms
                    self._progress.answer_stage = AnswerStage.EVENTS
                    stall.deadline = anyio.current_time() + self._compute_stall_s()
                if data:
                    await self._write_unhurried(head, data, stall)
                    wrote_ms = self._state.now_ms() - now_ms
                    unread_ms += wrote_ms
                    last_event_at_ms += wrote_ms if last_event_at_ms else 0.0
                self._progress.last_event_id = (
                    splitter.last_event_id or self._progress.last_event_id
                )
        if stall.cancelled_caught:
            raise BrokenAnswerError(Code.ANSWER_CUT, "the stream stalls")
        break_reason = splitter.find_break(head.body_end)
        if break_reason:
            raise BrokenAnswerError(Code.ANSWER_CUT, break_reason, by_server=True)
        await self._check_end(backend, head, sent_ms)
        await self._start_answer(head)
        held = splitter.take_held()
        if held:
            await self._sink.write(held)
        await self._sink.end()
        now_ms = self._state.now_ms()
        if first_event_at_ms:
            backend.answer_ms.add(now_ms - first_event_at_ms)
        first_event_at_ms = first_event_at_ms or now_ms
        await self._recorder.record_success(backend, head, sent_ms, first_event_at_ms)
        first_after_ms = first_event_at_ms - self._request.arrived_ms
        was_late = missed_target(self._request.route, first_after_ms, longest_gap_ms)
        backend.record_stream(was_late, now_ms)
        if was_late:
            self._state.demand.record_late(self._request.key)
        self._log.info(
            "request_answered",
            request=self._request.facts.request_id,
            server=backend.view.server_id,
            status=head.status,
            body_end=head.body_end.value,
            key=self._request.key,
            first_ms=round(first_after_ms),
            sent_ms=round(sent_ms - self._request.arrived_ms),
            pause_ms=round(longest_gap_ms),
            events=splitter.n_chunks_with_event_end,
            last_event=self._progress.last_event_id.decode("latin-1"),
            unread_ms=round(unread_ms),
            attempts=self._progress.attempt_counts.n_sent,
            target_ms=self._request.route.target_latency_ms,
            pause_target_ms=self._request.route.gap_target_ms,
        )
        return None

    async def _write_unhurried(
        self, head: AnswerHead, data: bytes, stall: anyio.CancelScope
    ) -> None:
        """Send a part of a stream, for which the server's time does not run.

        A part that is cancelled may have been sent or not, so that no server could go
        on after it.
        """
        left_s = stall.deadline - anyio.current_time()
        stall.deadline = math.inf
        await self._start_answer(head)
        await self._sink.write(data)
        stall.deadline = anyio.current_time() + left_s

    async def _check_end(
        self, backend: Backend, head: AnswerHead, sent_ms: float
    ) -> None:
        """Check that the server outlived an answer that ended with its connection.

        Raises
        ------
        BrokenAnswerError
            If it did not, or does not answer: the answer may not be complete.
        """
        is_unframed = head.body_end is BodyEnd.CONNECTION_CLOSE
        has_body = head.status != NO_CONTENT_STATUS and self._request.method != b"HEAD"
        if not (is_unframed and has_body and head.status < 300):
            return
        server = self._progress.server or backend.view
        now_ms = self._state.now_ms()
        may_ask = not self._state.limits.has_limit(server)
        if may_ask and now_ms < backend.held_off_until_ms:
            # A server that is gone is found at once; one that accepts a connection may
            # be its successor.
            await self._require_sign(server, sent_ms, may_ask=False)
            await self._outlast_hold_off(backend)
        await self._require_sign(server, sent_ms, may_ask)

    async def _require_sign(
        self, server: ServerView, sent_ms: float, may_ask: bool
    ) -> None:
        """Raise `BrokenAnswerError` unless a server has outlived its answer."""
        now_ms = self._state.now_ms()
        sign = await self._state.end_check.check(
            server, sent_ms, may_ask, self._progress.is_incarnation_proven
        )
        self._log.info(
            "answer_end_checked",
            request=self._request.facts.request_id,
            server=server.server_id,
            sign=sign.value,
            asked=may_ask,
            took_ms=round(self._state.now_ms() - now_ms),
        )
        if sign is not EndSign.ALIVE:
            reason = f"the connection ended and its server is {sign.value}"
            raise BrokenAnswerError(Code.ANSWER_CUT, reason, by_server=True)

    async def _outlast_hold_off(self, backend: Backend) -> None:
        """Wait until a server that asked for a pause takes calls again.

        Raises
        ------
        BrokenAnswerError
            If that is later than the answer must be complete.
        """
        while True:
            left_s = (backend.held_off_until_ms - self._state.now_ms()) / 1000
            if left_s <= 0:
                return
            if left_s >= self._compute_left_s():
                reason = "the connection ended and its server takes no question"
                raise BrokenAnswerError(Code.ANSWER_CUT, reason, by_server=True)
            await anyio.sleep(left_s)

    async def _start_answer(self, head: AnswerHead) -> None:
        if not self._progress.has_started:
            self._progress.has_started = True
            headers = filter_answer_headers(head.headers)
            if self.is_stream(head) and self._request.route.is_resumable:
                self._record_stream()
                # The server that ends the stream may send another number of bytes.
                headers = [pair for pair in headers if pair[0] != b"content-length"]
            await self._sink.start(head.status, headers)

    def _record_stream(self) -> None:
        """Remember which version begins a stream that the client may resume."""
        if not self._progress.is_resumed:
            self._state.stream_versions.record_stream(
                self._request.service,
                self._request.facts.request_id,
                self._progress.software_version,
                self._state.now_ms(),
            )

    def _compute_stall_s(self) -> float:
        """Return the time without a whole event after which a stream is stalled.

        A stream with which no other server may go on is kept for longer than its caller
        waits, so that only the caller decides when it is too late.
        """
        route = self._request.route
        stall_ms = max(MIN_STALL_MS, STALL_GAP_FACTOR * route.gap_target_ms)
        n_possibly_run = self._progress.attempt_counts.n_possibly_run
        if not route.is_resumable or n_possibly_run >= route.max_attempts:
            stall_ms = max(stall_ms, STALL_TARGET_FACTOR * route.target_latency_ms)
        return stall_ms / 1000

    def _compute_left_s(self) -> float:
        """Return the time left until the answer must be complete."""
        return max(0.0, self._request.answer_by_ms - self._state.now_ms()) / 1000
