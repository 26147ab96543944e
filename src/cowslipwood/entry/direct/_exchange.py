"""Sends one request to servers until one answers it or no further retry is allowed."""

from __future__ import annotations

import enum
import math
import random
from typing import Protocol

import anyio
from returns.result import Failure as Err

from ...kernel.codes import Code, Failure, failure
from ...kernel.event_stream import (
    EventSplitter,
    EventTooLongError,
    StatusLineError,
    is_event_stream,
)
from ...kernel.http_connection import (
    AnswerHead,
    BrokenAnswerError,
    ServerConnection,
)
from ...kernel.logs import get_logger
from ...routes import RouteKind
from ..choosing._backend import (
    NOT_READY_EXCLUSION_MS,
    UNREACHABLE_EXCLUSION_MS,
    Backend,
    LoadReport,
)
from ..routing import TYPICAL_PROMPT_TOKENS, RoutingContext, usable_candidates
from ._admission import decide_admission
from ._headers import (
    AnswerFacts,
    build_request_headers,
    filter_answer_headers,
    read_answer_facts,
)
from ._request import (
    RoutedRequest,
    compute_urgency_rank,
    estimate_tokens_to_read,
    missed_target,
)
from ._retries import AttemptCounts, SharedRetryBudget, build_final_failure, may_retry
from ._state import DirectState

__all__ = ["AnswerSink", "RequestForwarder"]

# Statuses that claim that a request did not run. The entry believes them only with the
# server's not-run header, except for `MISDIRECTED_STATUS`; without the header the
# outcome counts as unknown.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Status of a server that is not the one addressed, or that lacks the model. The
# request never ran there.
MISDIRECTED_STATUS = 421
# Time without an answer, as a multiple of the route's latency target, after which a
# repeatable request is retried at another server if there is one. A shorter time
# would repeat requests that are merely queued.
SILENCE_TARGET_FACTOR = 2.0
# Least time, in milliseconds, without an answer after which a repeatable request is
# retried at another server. Within a shorter time a queue looks the same as a failed
# host, and the leader announces failed hosts.
MIN_SILENCE_MS = 1_200.0
# Mean time, in milliseconds, after which a refused caller is told to come back when
# the failure does not name one.
DEFAULT_RETRY_AFTER_MS = 250.0
# Largest factor by which a retry-after time is lengthened, chosen at random for each
# caller. Without it all callers that were told of the same load would come back at
# once, and all to the engine that has room then.
RETRY_AFTER_SPREAD_FACTOR = 1.25
# Largest answer, in bytes, that is held until it is complete. A longer one is
# forwarded as it arrives.
MAX_BUFFERED_BYTES = 65_536
# Pause, in milliseconds, before a request is sent again to a server that refused it.
# It is as long as the load of an adapter.
FIRST_RETRY_PAUSE_MS = 15.0
# Factor by which each pause before a request is sent again to the server that refused
# it is longer than the one before, because a load or a run there may have to end first.
RETRY_PAUSE_FACTOR = 4.0
# Longest pause, in milliseconds, before a request is sent again to a server that
# refused it. All pauses together are longer than a crash stays undetected; after them
# the caller does better to come back later.
MAX_RETRY_PAUSE_MS = 1_000.0
# Time without a whole event, as a multiple of the route's gap target, after which a
# stream is considered stalled, whatever bytes it sends. Slow engines pause for several
# times the gap target, and callers leave after about this multiple.
STALL_GAP_FACTOR = 10.0
# Least time, in milliseconds, without a whole event after which a stream is considered
# stalled.
MIN_STALL_MS = 4_000.0
# Failures after which no retry is made: nothing was sent, and an immediate retry would
# fail in the same way.
NON_RETRYABLE_CODES = frozenset(
    (
        Code.NO_REPLICA,
        Code.DEADLINE_PASSED,
        Code.OVERLOADED,
        Code.PROMPT_BLOCKED,
    )
)
# Failures for lack of engines: another copy of the model would have served the
# request. They count as missed demand.
NO_CAPACITY_CODES = frozenset((Code.NO_REPLICA, Code.OVERLOADED))


class AnswerStage(enum.StrEnum):
    """How far the answer to an attempt has come."""

    AWAITED = "awaited"
    BEGUN = "begun"
    EVENTS = "events"


class AnswerSink(Protocol):
    """Receives the parts of an answer as they arrive from a server."""

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def end(self) -> None:
        """Mark the answer as complete."""


class RequestForwarder:
    """Forwards one request, with its retries, and its answer.

    Parameters
    ----------
    state : DirectState
    request : RoutedRequest
    sink : AnswerSink
        Receives the answer for the caller.
    rng : random.Random
        Source of the random choice of servers and spread of retry-after times.
    """

    def __init__(
        self,
        state: DirectState,
        request: RoutedRequest,
        sink: AnswerSink,
        rng: random.Random,
    ):
        self._state = state
        self._request = request
        self._sink = sink
        self._rng = rng
        self._attempt_counts = AttemptCounts()
        self._tried_server_ids: set[str] = set()
        self._refusing_server_ids: set[str] = set()
        self._retry_pause_ms = FIRST_RETRY_PAUSE_MS
        self._log = get_logger()
        self._has_started = False
        self._answer_stage = AnswerStage.AWAITED
        self._may_have_ended_server = False
        self._last_event_id = b""
        self._error_answer: tuple[AnswerHead, bytes] | None = None

    async def run(self) -> Failure | None:
        """Answer the request; return a failure if no complete answer was sent."""
        refusal = self._check_parts()
        if refusal is not None:
            return refusal
        budget = self._state.get_retry_budget(self._request.service)
        budget.count_request(self._state.now_ms())
        key = self._request.key
        self._state.demand.record_arrival(key, self._request.route.target_latency_ms)
        self._state.demand.record_start(key, self._state.now_ms())
        try:
            fault = await self._run_attempts(budget)
        finally:
            self._state.demand.record_end(key, self._state.now_ms())
        if fault is not None and fault.code in NO_CAPACITY_CODES:
            self._state.demand.record_miss(key)
        else:
            self._state.demand.record_met(key)
        return fault

    async def _run_attempts(self, budget: SharedRetryBudget) -> Failure | None:
        while True:
            fault = await self._run_attempt()
            if fault is None:
                return None
            now_ms = self._state.now_ms()
            left_ms = self._request.answer_by_ms - now_ms
            will_retry = may_retry(
                self._request.route, self._attempt_counts, fault, left_ms
            )
            will_retry = will_retry and fault.code not in NON_RETRYABLE_CODES
            will_retry = will_retry and not self._may_have_ended_server
            will_retry = will_retry and (
                not self._has_started or self._request.route.is_resumable
            )
            if will_retry and self._attempt_counts.n_sent:
                will_retry = budget.spend_retry(
                    self._state.live_entries.n_entries, now_ms
                )
                counter = "retries_total" if will_retry else "retries_denied_total"
                self._state.metrics.count(counter, reason=fault.code.name)
            if not will_retry:
                return await self._give_up(fault)
            self._log.info(
                "request_retried",
                request=self._request.facts.request_id,
                code=fault.code.value,
                reason=fault.message,
                left_ms=round(left_ms),
            )

    async def _give_up(self, fault: Failure) -> Failure | None:
        """Return the final failure, or forward the last error answer of a server."""
        if self._error_answer is not None and not self._has_started:
            head, body = self._error_answer
            await self._sink.start(head.status, filter_answer_headers(head.headers))
            await self._sink.write(body)
            await self._sink.end()
            return None
        if fault.retry_after_ms:
            spread_ms = fault.retry_after_ms * self._rng.uniform(
                1.0, RETRY_AFTER_SPREAD_FACTOR
            )
            fault = fault._replace(retry_after_ms=round(spread_ms))
        retry_after_ms = round(DEFAULT_RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))
        return build_final_failure(self._attempt_counts, fault, retry_after_ms)

    def _check_parts(self) -> Failure | None:
        parts = self._request.facts.shared_parts
        return self._state.part_guard.check(parts, self._state.now_ms())

    async def _run_attempt(self) -> Failure | None:
        """Send the request to one server; return the failure, or None on success."""
        backend = await self._choose_backend()
        if not isinstance(backend, Backend):
            return backend
        refusal = self._check_parts()
        if refusal is not None:
            return refusal
        self._tried_server_ids.add(backend.view.server_id)
        now_ms = self._state.now_ms()
        left_ms = self._request.answer_by_ms - now_ms
        if left_ms <= 0:
            return failure(Code.DEADLINE_PASSED)
        # A server may repeat its refusal of the last attempt, which bears the same id,
        # so another attempt there goes over another connection.
        conn = await self._state.pool.acquire(
            backend.view.http_addr,
            now_ms,
            left_ms,
            is_kept_allowed=backend.view.server_id not in self._refusing_server_ids,
        )
        if conn is None:
            backend.exclude("", self._state.now_ms() + UNREACHABLE_EXCLUSION_MS)
            return failure(Code.BACKEND_UNREACHABLE, backend.view.server_id)
        try:
            with backend.track_request():
                return await self._send_request(backend, conn)
        finally:
            await self._state.pool.release(
                backend.view.http_addr, conn, self._state.now_ms()
            )

    async def _choose_backend(self) -> Backend | Failure:
        state, request = self._state, self._request
        now_ms = state.now_ms()
        typical_tokens = state.get_prompt_tokens_average(request.service)
        context = RoutingContext(
            request.key,
            request.facts.prefix_hash,
            state.zone,
            state.view.typical_others_load_share.value,
            False,
            self._tried_server_ids,
            request.facts.n_shared_tokens,
            len(request.body),
            typical_tokens.value or TYPICAL_PROMPT_TOKENS,
        )
        chosen = state.choose_backend(context, self._rng, now_ms)
        hold_off_left_ms = (
            state.compute_hold_off_left_ms(request.key, now_ms)
            if chosen is None
            else 0.0
        )
        if hold_off_left_ms:
            message = f"{request.key}: all servers want a pause"
            return failure(Code.OVERLOADED, message, math.ceil(hold_off_left_ms))
        while chosen is None and request.facts.model:
            holder = await state.holder_finder.find_holder(request, state.now_ms())
            if isinstance(holder, Err):
                return holder.failure()
            if holder.unwrap() not in self._tried_server_ids:
                chosen = state.choose_backend(context, self._rng, state.now_ms())
                if chosen is not None:
                    break
            if self._retry_pause_ms > MAX_RETRY_PAUSE_MS:
                break
            # The holder refused this request or could not be reached. Either an order
            # there is about to end, or the leader is about to detect the loss.
            self._tried_server_ids.discard(holder.unwrap())
            await anyio.sleep(self._retry_pause_ms / 1000)
            self._retry_pause_ms *= RETRY_PAUSE_FACTOR
            chosen = state.choose_backend(context, self._rng, state.now_ms())
        if chosen is None:
            return failure(Code.NO_REPLICA, f"no server for {request.key}")
        return self._apply_admission(chosen, context)

    def _apply_admission(
        self, chosen: Backend, context: RoutingContext
    ) -> Backend | Failure:
        """Return the server for a stream, or a refusal if every queue is too long."""
        state, request = self._state, self._request
        if request.route.kind is not RouteKind.STREAMING or self._has_started:
            return chosen
        now_ms = state.now_ms()
        decision = decide_admission(
            request,
            chosen,
            usable_candidates(state.view.candidates(request.key), context, now_ms),
            self._compute_urgency_rank(now_ms),
            context,
            now_ms,
        )
        if decision.backend is None:
            message = f"{request.key}: {decision.wait_ms:.0f} ms queue at every server"
            return failure(Code.OVERLOADED, message, round(decision.retry_after_ms))
        return decision.backend

    def _compute_urgency_rank(self, now_ms: float) -> int:
        request = self._request
        return compute_urgency_rank(request.route, now_ms - request.arrived_ms)

    async def _send_request(
        self, backend: Backend, conn: ServerConnection
    ) -> Failure | None:
        state, request = self._state, self._request
        names = state.header_names
        now_ms = state.now_ms()
        left_ms = max(1, int(request.answer_by_ms - now_ms))
        entry_headers = [
            (names.deadline, str(left_ms).encode()),
            (names.server_id, backend.view.server_id.encode()),
        ]
        urgency_rank = self._compute_urgency_rank(now_ms)
        if request.facts.model:
            entry_headers.append((names.urgency, str(urgency_rank).encode()))
        if self._last_event_id:
            entry_headers.append((names.last_event_id, self._last_event_id))
        headers = build_request_headers(
            request.headers, names, entry_headers, len(request.body)
        )
        self._log.info(
            "request_sent",
            request=request.facts.request_id,
            route=request.route.name,
            key=request.key,
            document=state.document_version,
            server=backend.view.server_id,
            list_age_ms=round(now_ms - state.list_read_at_ms),
            load=round(
                backend.expected_load(
                    state.view.typical_others_load_share.value, now_ms
                ),
                1,
            ),
            left_ms=left_ms,
            attempt=self._attempt_counts.n_sent + 1,
        )
        self._attempt_counts = self._attempt_counts._replace(
            n_sent=self._attempt_counts.n_sent + 1,
            n_possibly_run=self._attempt_counts.n_possibly_run + 1,
        )
        self._answer_stage = AnswerStage.AWAITED
        n_tokens = estimate_tokens_to_read(request.facts)
        state.get_prompt_tokens_average(request.service).add(n_tokens)
        try:
            with (
                backend.track_first_event_wait(n_tokens, urgency_rank, now_ms),
                state.waiting_demand.track_in_flight(request.key, state.now_ms),
                anyio.fail_after(self._compute_silence_limit_ms(left_ms) / 1000),
            ):
                await conn.send(request.method, request.target, headers, request.body)
                head = await conn.receive_head()
                self._answer_stage = AnswerStage.BEGUN
        except TimeoutError:
            await conn.close()
            return self._record_failure(backend, failure(Code.BACKEND_TIMEOUT))
        except BrokenAnswerError as exc:
            await conn.close()
            await self._record_break(backend)
            return self._record_failure(
                backend, failure(Code.OUTCOME_UNKNOWN, str(exc))
            )
        except BaseException:
            await conn.close()
            raise
        return await self._handle_answer(backend, conn, head, now_ms)

    def _compute_silence_limit_ms(self, left_ms: float) -> float:
        """Return how long to wait for the head of an answer."""
        route = self._request.route
        can_retry = (
            route.is_repeatable
            and self._attempt_counts.n_possibly_run < route.max_attempts
        )
        if not can_retry or not route.target_latency_ms:
            return left_ms
        silence_ms = max(
            MIN_SILENCE_MS, SILENCE_TARGET_FACTOR * route.target_latency_ms
        )
        return min(left_ms, silence_ms)

    async def _handle_answer(
        self,
        backend: Backend,
        conn: ServerConnection,
        head: AnswerHead,
        sent_ms: float,
    ) -> Failure | None:
        state, request = self._state, self._request
        facts = read_answer_facts(head.status, head.headers, state.header_names)
        now_ms = state.now_ms()
        is_foreign = facts.request_id != request.facts.request_id
        if is_foreign and (facts.request_id or conn.peer_repeats_ids):
            await conn.close()
            reason = f"an answer to request {facts.request_id or 'unknown'} came"
            return self._record_failure(backend, failure(Code.OUTCOME_UNKNOWN, reason))
        conn.peer_repeats_ids = bool(facts.request_id)
        self._record_load(backend, facts, now_ms)
        state.apply_notice(backend, facts.notice, now_ms)
        if facts.not_run or head.status == MISDIRECTED_STATUS:
            return await self._handle_not_run(backend, conn, head)
        if head.status in NOT_RUN_STATUSES:
            await conn.close()
            fault = failure(Code.OUTCOME_UNKNOWN, f"status {head.status} unexplained")
            return self._record_failure(backend, fault)
        if self._has_started and not self._is_stream(head):
            await conn.close()
            fault = failure(
                Code.OUTCOME_UNKNOWN,
                f"status {head.status} to a resume",
            )
            return self._record_failure(backend, fault)
        try:
            if not self._is_stream(head):
                return await self._forward_whole(backend, conn, head, sent_ms)
            return await self._forward_stream(backend, conn, head, sent_ms)
        except (BrokenAnswerError, EventTooLongError, StatusLineError) as exc:
            await conn.close()
            await self._record_break(backend)
            return self._record_failure(backend, failure(Code.ANSWER_CUT, str(exc)))
        except TimeoutError:
            await conn.close()
            return self._record_failure(backend, failure(Code.BACKEND_TIMEOUT))
        except BaseException:
            await conn.close()
            raise

    def _is_stream(self, head: AnswerHead) -> bool:
        return (
            self._request.route.kind is RouteKind.STREAMING
            and head.status < 300
            and is_event_stream(head.headers, default=True)
        )

    async def _handle_not_run(
        self, backend: Backend, conn: ServerConnection, head: AnswerHead
    ) -> Failure:
        """Record a server's statement that the request did not run there."""
        self._refusing_server_ids.add(backend.view.server_id)
        self._attempt_counts = self._attempt_counts._replace(
            n_possibly_run=self._attempt_counts.n_possibly_run - 1
        )
        with anyio.move_on_after(NOT_READY_EXCLUSION_MS / 1000):
            await _discard_body(conn)
        now_ms = self._state.now_ms()
        if head.status == MISDIRECTED_STATUS:
            backend.exclude(self._request.key, now_ms + NOT_READY_EXCLUSION_MS)
            return failure(Code.MODEL_NOT_READY, backend.view.server_id)
        return failure(Code.AGENT_OVERLOADED, f"{backend.view.server_id} {head.status}")

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
                if self._has_started:
                    await self._sink.write(chunk)
                    continue
                buffer += chunk
                if len(buffer) > MAX_BUFFERED_BYTES:
                    await self._start_answer(head)
                    await self._sink.write(bytes(buffer))
        if head.status >= 500 and not self._has_started:
            fault = failure(Code.OUTCOME_UNKNOWN, f"server error {head.status}")
            self._error_answer = (head, bytes(buffer))
            return self._record_failure(backend, fault)
        if not self._has_started:
            await self._start_answer(head)
            await self._sink.write(bytes(buffer))
        await self._sink.end()
        self._record_success(backend, head, sent_ms, self._state.now_ms())
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
        first_event_at_ms = last_event_at_ms = longest_gap_ms = 0.0
        with anyio.fail_after(self._compute_left_s()), anyio.CancelScope() as stall:
            async for chunk in conn.receive_body():
                now_ms = self._state.now_ms()
                first_event_at_ms = first_event_at_ms or now_ms
                n_chunks_with_event_end = splitter.n_chunks_with_event_end
                data = splitter.feed(chunk)
                self._last_event_id = splitter.last_event_id or self._last_event_id
                if splitter.n_chunks_with_event_end > n_chunks_with_event_end:
                    gap_ms = now_ms - last_event_at_ms if last_event_at_ms else 0.0
                    longest_gap_ms = max(longest_gap_ms, gap_ms)
                    last_event_at_ms = now_ms
                    self._answer_stage = AnswerStage.EVENTS
                    stall.deadline = anyio.current_time() + self._compute_stall_s()
                if data:
                    await self._start_answer(head)
                    await self._sink.write(data)
        if stall.cancelled_caught:
            raise BrokenAnswerError(Code.ANSWER_CUT, "the stream stalls")
        break_reason = splitter.find_break(head.body_end)
        if break_reason:
            raise BrokenAnswerError(Code.ANSWER_CUT, break_reason)
        await self._start_answer(head)
        held = splitter.take_held()
        if held:
            await self._sink.write(held)
        await self._sink.end()
        now_ms = self._state.now_ms()
        if first_event_at_ms:
            backend.answer_ms.add(now_ms - first_event_at_ms)
        first_event_at_ms = first_event_at_ms or now_ms
        self._record_success(backend, head, sent_ms, first_event_at_ms)
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
            attempts=self._attempt_counts.n_sent,
            target_ms=self._request.route.target_latency_ms,
            pause_target_ms=self._request.route.gap_target_ms,
        )
        return None

    async def _start_answer(self, head: AnswerHead) -> None:
        if not self._has_started:
            self._has_started = True
            headers = filter_answer_headers(head.headers)
            if self._is_stream(head) and self._request.route.is_resumable:
                # The server that ends the stream may send another number of bytes.
                headers = [pair for pair in headers if pair[0] != b"content-length"]
            await self._sink.start(head.status, headers)

    def _compute_stall_s(self) -> float:
        """Return the time without a whole event after which a stream is stalled."""
        route = self._request.route
        return max(MIN_STALL_MS, STALL_GAP_FACTOR * route.gap_target_ms) / 1000

    def _compute_left_s(self) -> float:
        """Return the time left until the answer must be complete."""
        return max(0.0, self._request.answer_by_ms - self._state.now_ms()) / 1000

    def _record_load(self, backend: Backend, facts: AnswerFacts, now_ms: float) -> None:
        report = None
        if facts.load is not None:
            n_running, n_waiting, n_slots = facts.load
            report = LoadReport(n_running, n_waiting, 0.0, n_slots)
        self._state.apply_load_report(backend, report, now_ms)

    async def _record_break(self, backend: Backend) -> None:
        """Record that the server broke off the answer to this request."""
        if self._answer_stage is AnswerStage.EVENTS:
            return
        has_begun = self._answer_stage is AnswerStage.BEGUN
        is_suspect = await self._state.part_guard.record_break(
            backend.view,
            self._request.facts.shared_parts,
            has_begun,
            self._state.now_ms(),
        )
        # A request that waited when its server ended has most likely not ended it.
        self._may_have_ended_server = is_suspect and has_begun

    def _record_failure(self, backend: Backend, fault: Failure) -> Failure:
        backend.health.record_error(self._state.now_ms())
        self._log.info(
            "attempt_failed",
            request=self._request.facts.request_id,
            server=backend.view.server_id,
            code=fault.code.value,
            reason=fault.message,
            stage=self._answer_stage.value,
            shared_parts=",".join(self._request.facts.shared_parts),
        )
        return fault

    def _record_success(
        self,
        backend: Backend,
        head: AnswerHead,
        sent_ms: float,
        first_event_at_ms: float,
    ) -> None:
        backend.health.record_answer(1.0, first_event_at_ms)
        if head.status < 300:
            self._state.part_guard.record_complete(
                self._request.facts.shared_parts, self._state.now_ms()
            )
        backend.first_event_ms.add(first_event_at_ms - sent_ms)


async def _discard_body(conn: ServerConnection) -> None:
    """Read and drop a refusal's body, so that the connection can be reused."""
    try:
        async for _ in conn.receive_body():
            pass
    except BrokenAnswerError:
        await conn.close()
