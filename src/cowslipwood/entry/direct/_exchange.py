"""Sends one request to servers until one gives a whole answer, or none may."""

from __future__ import annotations

import math
import random
from typing import Protocol

import anyio
from returns.result import Failure as Err

from ...kernel.codes import Code, Failure, failure
from ...kernel.http_connection import AnswerHead, BrokenAnswerError, ServerConnection
from ...kernel.logs import get_logger
from ...routes import RouteKind
from ..choosing._backend import (
    NOT_READY_EXCLUSION_MS,
    UNREACHABLE_EXCLUSION_MS,
    Backend,
    LoadReport,
)
from ..routing import TYPICAL_PROMPT_TOKENS, RoutingContext, usable_candidates
from ._admission import admission
from ._events import EventSplitter, EventTooLongError
from ._headers import (
    AnswerFacts,
    read_answer,
    request_headers,
    response_headers,
)
from ._request import RoutedRequest, is_late, tokens_to_read, urgency
from ._retries import Attempted, SharedBudget, final_failure, may_try_again
from ._state import DirectState

__all__ = ["AnswerSink", "Exchange"]

# Statuses by which a server promises that a request did not run; without the
# header that says so, the promise is not passed on.
PROMISES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421  # another server, or one that lacks the model; never run
# A repeatable request that is silent this many times its target is taken to
# another server, if there is one; shorter would repeat what is merely queued.
PATIENCE_TARGETS = 2.0
# Under this a queue looks the same as a host that went dark, which the leader tells.
LEAST_SILENCE_MS = 1_200.0
RETRY_AFTER_MS = 250.0
# Callers that are told of the same load come back within this factor of its time, so
# that the engine that then has it is not met by all of them at once.
RETURN_SPREAD = 1.25
MAX_HELD_BYTES = 65_536
# Before a request goes again to a server that refused it: an adapter's load. Each
# further pause is longer by the factor, as a place or a run there may have to end.
SAME_SERVER_PAUSE_MS = 15.0
PAUSE_FACTOR = 4.0
# With the pauses before it, longer than a crash goes unnoticed; after it the caller
# does better to come back.
MAX_PAUSE_MS = 1_000.0
# A stream without a whole event for this many of the longest pauses that are in
# time, and for no less than the time, has stalled, whatever bytes it sends: slow
# engines pause for several, and callers leave after about as long.
STALL_PAUSES = 10.0
MIN_STALL_MS = 4_000.0
# Nothing was sent, and asking again at once would find the same.
FINAL_CODES = frozenset((Code.NO_REPLICA, Code.DEADLINE_PASSED, Code.OVERLOADED))
# Refused for want of engines: another copy would have served it.
CROWDED_CODES = frozenset((Code.NO_REPLICA, Code.OVERLOADED))


class AnswerSink(Protocol):
    """Where an answer goes as it arrives."""

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def end(self) -> None:
        """Mark the answer as whole."""


class Exchange:
    """The attempts of one request.

    Parameters
    ----------
    state : DirectState
    request : RoutedRequest
    sink : AnswerSink
    rng : random.Random
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
        self._attempted = Attempted()
        self._tried: set[str] = set()
        self._pause_ms = SAME_SERVER_PAUSE_MS
        self._log = get_logger()
        self._started = False
        self._last_event_id = b""
        self._kept: tuple[AnswerHead, bytes] | None = None

    async def run(self) -> Failure | None:
        """Answer the request; return the failure when no server's answer was sent."""
        budget = self._state.budget(self._request.service)
        budget.fresh(self._state.now_ms())
        key = self._request.key
        self._state.demand.arrived(key, self._request.route.target_latency_ms)
        self._state.demand.began(key, self._state.now_ms())
        try:
            fault = await self._run(budget)
        finally:
            self._state.demand.ended(key, self._state.now_ms())
        if fault is not None and fault.code in CROWDED_CODES:
            self._state.demand.missed(key)
        else:
            self._state.demand.met(key)
        return fault

    async def _run(self, budget: SharedBudget) -> Failure | None:
        while True:
            fault = await self._attempt()
            if fault is None:
                return None
            now_ms = self._state.now_ms()
            left_ms = self._request.answer_by_ms - now_ms
            again = may_try_again(self._request.route, self._attempted, fault, left_ms)
            again = again and fault.code not in FINAL_CODES
            again = again and (not self._started or self._request.route.is_resumable)
            if again and self._attempted.n_sent:
                again = budget.take(self._state.entries.n_entries, now_ms)
                outcome = "retries_total" if again else "retries_denied_total"
                self._state.metrics.count(outcome, reason=fault.code.name)
            if not again:
                return await self._give_up(fault)
            self._log.info(
                "request_retried",
                request=self._request.facts.request_id,
                code=fault.code.value,
                reason=fault.message,
                left_ms=round(left_ms),
            )

    async def _give_up(self, fault: Failure) -> Failure | None:
        """Return the final failure, or pass on a server's own error kept so far."""
        if self._kept is not None and not self._started:
            head, body = self._kept
            await self._sink.start(head.status, response_headers(head.headers))
            await self._sink.write(body)
            await self._sink.end()
            return None
        if fault.retry_after_ms:
            told_ms = fault.retry_after_ms * self._rng.uniform(1.0, RETURN_SPREAD)
            fault = fault._replace(retry_after_ms=round(told_ms))
        retry_after_ms = round(RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))
        return final_failure(self._attempted, fault, retry_after_ms)

    async def _attempt(self) -> Failure | None:
        """Choose a server and send; return how it failed, or None when answered."""
        backend = await self._choose()
        if not isinstance(backend, Backend):
            return backend
        self._tried.add(backend.view.server_id)
        now_ms = self._state.now_ms()
        left_ms = self._request.answer_by_ms - now_ms
        if left_ms <= 0:
            return failure(Code.DEADLINE_PASSED)
        conn = await self._state.pool.acquire(backend.view.http_addr, now_ms, left_ms)
        if conn is None:
            backend.exclude("", self._state.now_ms() + UNREACHABLE_EXCLUSION_MS)
            return failure(Code.BACKEND_UNREACHABLE, backend.view.server_id)
        try:
            with backend.in_flight():
                return await self._send(backend, conn)
        finally:
            await self._state.pool.release(
                backend.view.http_addr, conn, self._state.now_ms()
            )

    async def _choose(self) -> Backend | Failure:
        state, request = self._state, self._request
        now_ms = state.now_ms()
        typical = state.typical_tokens(request.service)
        context = RoutingContext(
            request.key,
            request.facts.prefix_hash,
            state.zone,
            state.view.typical_load.value,
            False,
            self._tried,
            request.facts.n_shared_tokens,
            len(request.body),
            typical.value or TYPICAL_PROMPT_TOKENS,
        )
        chosen = state.choose(context, self._rng, now_ms)
        free_in_ms = state.free_in_ms(request.key, now_ms) if chosen is None else 0.0
        if free_in_ms:
            message = f"{request.key}: all servers want a pause"
            return failure(Code.OVERLOADED, message, math.ceil(free_in_ms))
        while chosen is None and request.facts.model:
            held = await state.holders.find(request, state.now_ms())
            if isinstance(held, Err):
                return held.failure()
            if held.unwrap() not in self._tried:
                chosen = state.choose(context, self._rng, state.now_ms())
                if chosen is not None:
                    break
            if self._pause_ms > MAX_PAUSE_MS:
                break
            # It refused, or was out of reach: an order there is about to end, or
            # the leader is about to notice.
            self._tried.discard(held.unwrap())
            await anyio.sleep(self._pause_ms / 1000)
            self._pause_ms *= PAUSE_FACTOR
            chosen = state.choose(context, self._rng, state.now_ms())
        if chosen is None:
            return failure(Code.NO_REPLICA, f"no server for {request.key}")
        return self._admit(chosen, context)

    def _admit(self, chosen: Backend, context: RoutingContext) -> Backend | Failure:
        """Return the server to send a stream to, or refuse it where all queue."""
        state, request = self._state, self._request
        if request.route.kind is not RouteKind.STREAMING or self._started:
            return chosen
        now_ms = state.now_ms()
        found = admission(
            request,
            chosen,
            usable_candidates(state.view.candidates(request.key), context, now_ms),
            self._rank(now_ms),
            context,
            now_ms,
        )
        if found.backend is None:
            message = f"{request.key}: {found.wait_ms:.0f} ms queue at every server"
            return failure(Code.OVERLOADED, message, round(found.retry_after_ms))
        return found.backend

    def _rank(self, now_ms: float) -> int:
        request = self._request
        return urgency(request.route, now_ms - request.arrived_ms)

    async def _send(self, backend: Backend, conn: ServerConnection) -> Failure | None:
        state, request = self._state, self._request
        names = state.names
        now_ms = state.now_ms()
        left_ms = max(1, int(request.answer_by_ms - now_ms))
        own = [
            (names.deadline, str(left_ms).encode()),
            (names.server_id, backend.view.server_id.encode()),
        ]
        rank = self._rank(now_ms)
        if request.facts.model:
            own.append((names.urgency, str(rank).encode()))
        if self._last_event_id:
            own.append((names.last_event_id, self._last_event_id))
        headers = request_headers(request.headers, names, own, len(request.body))
        self._log.info(
            "request_sent",
            request=request.facts.request_id,
            route=request.route.name,
            key=request.key,
            document=state.version,
            server=backend.view.server_id,
            list_age_ms=round(now_ms - state.listed_ms),
            load=round(backend.expected_load(state.view.typical_load.value, now_ms), 1),
            left_ms=left_ms,
            attempt=self._attempted.n_sent + 1,
        )
        self._attempted = self._attempted._replace(
            n_sent=self._attempted.n_sent + 1,
            n_maybe_run=self._attempted.n_maybe_run + 1,
        )
        n_tokens = tokens_to_read(request.facts)
        state.typical_tokens(request.service).add(n_tokens)
        try:
            with (
                backend.pending(n_tokens, rank, now_ms),
                state.waiting.counted(request.key, state.now_ms),
                anyio.fail_after(self._patience_ms(left_ms) / 1000),
            ):
                await conn.send(request.method, request.target, headers, request.body)
                head = await conn.receive_head()
        except TimeoutError:
            await conn.close()
            return self._failed(backend, failure(Code.BACKEND_TIMEOUT))
        except BrokenAnswerError as exc:
            await conn.close()
            return self._failed(backend, failure(Code.OUTCOME_UNKNOWN, str(exc)))
        except BaseException:
            await conn.close()
            raise
        return await self._answer(backend, conn, head, now_ms)

    def _patience_ms(self, left_ms: float) -> float:
        route = self._request.route
        may_go_on = (
            route.may_repeat and self._attempted.n_maybe_run < route.max_attempts
        )
        if not may_go_on or not route.target_latency_ms:
            return left_ms
        silence_ms = max(LEAST_SILENCE_MS, PATIENCE_TARGETS * route.target_latency_ms)
        return min(left_ms, silence_ms)

    async def _answer(
        self,
        backend: Backend,
        conn: ServerConnection,
        head: AnswerHead,
        sent_ms: float,
    ) -> Failure | None:
        state, request = self._state, self._request
        facts = read_answer(head.status, head.headers, state.names)
        now_ms = state.now_ms()
        if facts.request_id and facts.request_id != request.facts.request_id:
            await conn.close()
            fault = failure(Code.OUTCOME_UNKNOWN, "an answer to another request came")
            return self._failed(backend, fault)
        self._note_load(backend, facts, now_ms)
        state.take_notice(backend, facts.notice, now_ms)
        if facts.not_run or head.status == MISDIRECTED:
            return await self._not_run(backend, conn, head)
        if head.status in PROMISES:
            await conn.close()
            fault = failure(Code.OUTCOME_UNKNOWN, f"status {head.status} unexplained")
            return self._failed(backend, fault)
        if self._started and not self._is_stream(head):
            await conn.close()
            fault = failure(Code.OUTCOME_UNKNOWN, f"status {head.status} to a resume")
            return self._failed(backend, fault)
        try:
            if not self._is_stream(head):
                return await self._pass_whole(backend, conn, head, sent_ms)
            return await self._pass_stream(backend, conn, head, sent_ms)
        except (BrokenAnswerError, EventTooLongError) as exc:
            await conn.close()
            return self._failed(backend, failure(Code.ANSWER_CUT, str(exc)))
        except TimeoutError:
            await conn.close()
            return self._failed(backend, failure(Code.BACKEND_TIMEOUT))
        except BaseException:
            await conn.close()
            raise

    def _is_stream(self, head: AnswerHead) -> bool:
        return self._request.route.kind is RouteKind.STREAMING and head.status < 300

    async def _not_run(
        self, backend: Backend, conn: ServerConnection, head: AnswerHead
    ) -> Failure:
        """Take in a server's word that the request did not run there."""
        self._attempted = self._attempted._replace(
            n_maybe_run=self._attempted.n_maybe_run - 1
        )
        with anyio.move_on_after(NOT_READY_EXCLUSION_MS / 1000):
            await _drain(conn)
        now_ms = self._state.now_ms()
        if head.status == MISDIRECTED:
            backend.exclude(self._request.key, now_ms + NOT_READY_EXCLUSION_MS)
            return failure(Code.MODEL_NOT_READY, backend.view.server_id)
        return failure(Code.AGENT_OVERLOADED, f"{backend.view.server_id} {head.status}")

    async def _pass_whole(
        self,
        backend: Backend,
        conn: ServerConnection,
        head: AnswerHead,
        sent_ms: float,
    ) -> Failure | None:
        """Hold a short answer until it is whole, so that a cut one can be repeated."""
        request = self._request
        held = bytearray()
        with anyio.fail_after(self._left_s()):
            async for chunk in conn.receive_body():
                if self._started:
                    await self._sink.write(chunk)
                    continue
                held += chunk
                if len(held) > MAX_HELD_BYTES:
                    await self._start(head)
                    await self._sink.write(bytes(held))
        if head.status >= 500 and not self._started:
            fault = failure(Code.OUTCOME_UNKNOWN, f"server error {head.status}")
            self._kept = (head, bytes(held))
            return self._failed(backend, fault)
        if not self._started:
            await self._start(head)
            await self._sink.write(bytes(held))
        await self._sink.end()
        self._succeeded(backend, sent_ms, self._state.now_ms())
        self._log.info(
            "request_answered",
            request=request.facts.request_id,
            server=backend.view.server_id,
            status=head.status,
        )
        return None

    async def _pass_stream(
        self,
        backend: Backend,
        conn: ServerConnection,
        head: AnswerHead,
        sent_ms: float,
    ) -> Failure | None:
        """Pass events on as they arrive; only whole ones where it may resume."""
        splitter = EventSplitter(whole_only=self._request.route.is_resumable)
        first_ms = event_ms = longest_pause_ms = 0.0
        with anyio.fail_after(self._left_s()), anyio.CancelScope() as stall:
            async for chunk in conn.receive_body():
                now_ms = self._state.now_ms()
                first_ms = first_ms or now_ms
                n_ends = splitter.n_ends
                data = splitter.feed(chunk)
                self._last_event_id = splitter.last_id or self._last_event_id
                if splitter.n_ends > n_ends:
                    pause_ms = now_ms - event_ms if event_ms else 0.0
                    longest_pause_ms = max(longest_pause_ms, pause_ms)
                    event_ms = now_ms
                    stall.deadline = anyio.current_time() + self._stall_s()
                if data:
                    await self._start(head)
                    await self._sink.write(data)
        if stall.cancelled_caught:
            raise BrokenAnswerError(Code.ANSWER_CUT, "the stream stalls")
        await self._start(head)
        rest = splitter.rest()
        if rest:
            await self._sink.write(rest)
        await self._sink.end()
        now_ms = self._state.now_ms()
        self._succeeded(backend, sent_ms, first_ms or now_ms)
        if first_ms:
            backend.answer_ms.add(now_ms - first_ms)
        first_after_ms = first_ms - self._request.arrived_ms
        was_late = is_late(self._request.route, first_after_ms, longest_pause_ms)
        backend.record_stream(was_late, now_ms)
        if was_late:
            self._state.demand.late(self._request.key)
        self._log.info(
            "request_answered",
            request=self._request.facts.request_id,
            server=backend.view.server_id,
            status=head.status,
            key=self._request.key,
            first_ms=round(first_after_ms),
            sent_ms=round(sent_ms - self._request.arrived_ms),
            pause_ms=round(longest_pause_ms),
            events=splitter.n_ends,
            attempts=self._attempted.n_sent,
            target_ms=self._request.route.target_latency_ms,
            pause_target_ms=self._request.route.gap_target_ms,
        )
        return None

    async def _start(self, head: AnswerHead) -> None:
        if not self._started:
            self._started = True
            await self._sink.start(head.status, response_headers(head.headers))

    def _stall_s(self) -> float:
        """Return after which time without a whole event a stream has stalled."""
        route = self._request.route
        return max(MIN_STALL_MS, STALL_PAUSES * route.gap_target_ms) / 1000

    def _left_s(self) -> float:
        return max(0.0, self._request.answer_by_ms - self._state.now_ms()) / 1000

    def _note_load(self, backend: Backend, facts: AnswerFacts, now_ms: float) -> None:
        report = None
        if facts.load is not None:
            running, waiting, slots = facts.load
            report = LoadReport(running, waiting, 0.0, slots)
        self._state.take_load_report(backend, report, now_ms)

    def _failed(self, backend: Backend, fault: Failure) -> Failure:
        backend.health.record_error(self._state.now_ms())
        self._log.info(
            "attempt_failed",
            request=self._request.facts.request_id,
            server=backend.view.server_id,
            code=fault.code.value,
            reason=fault.message,
        )
        return fault

    def _succeeded(self, backend: Backend, sent_ms: float, first_ms: float) -> None:
        backend.health.record_answer(1.0, first_ms)
        backend.first_event_ms.add(first_ms - sent_ms)


async def _drain(conn: ServerConnection) -> None:
    """Read a refusal's body, so that the connection can be used again."""
    try:
        async for _ in conn.receive_body():
            pass
    except BrokenAnswerError:
        await conn.close()
