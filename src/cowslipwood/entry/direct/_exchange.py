"""Sends one request to servers until one answers it or no further retry is allowed."""

import math
import random

from ...kernel.codes import Code, Failure, failure
from ...kernel.logs import get_logger
from ...software_versions import MAX_STREAM_ID_LENGTH
from ..choosing._backend import UNREACHABLE_EXCLUSION_MS, Backend
from ._attempt_record import AttemptRecorder
from ._choice import ServerChoice
from ._event_order import EventOrder
from ._forwarding import AnswerForwarder, AnswerSink
from ._headers import read_resumed_event_id
from ._identity import RequestIdentity
from ._incarnations import check_incarnation
from ._limits import Permit
from ._progress import RequestProgress
from ._request import RoutedRequest, compute_urgency_rank
from ._retries import (
    SharedRetryBudget,
    build_final_failure,
    compute_stop_pause_ms,
    may_retry,
    must_stop_first,
)
from ._sending import AttemptSender
from ._state import DirectState

__all__ = ["RequestForwarder"]

# Mean time, in milliseconds, after which a refused caller is told to come back when
# the failure does not name one.
DEFAULT_RETRY_AFTER_MS = 250.0
# Largest factor by which a retry-after time is lengthened, chosen at random for each
# caller. Without it all callers that were told of the same load would come back at
# once, and all to the engine that has room then.
RETRY_AFTER_SPREAD_FACTOR = 1.25
# Failures after which no retry is made: nothing was sent, and an immediate retry would
# fail in the same way.
NON_RETRYABLE_CODES = frozenset(
    (
        Code.NO_REPLICA,
        Code.DEADLINE_PASSED,
        Code.OVERLOADED,
        Code.PROMPT_BLOCKED,
        Code.REQUEST_BLOCKED,
        Code.CUSTOMER_LIMIT,
    )
)
# Failures for lack of engines: another copy of the model would have served the
# request. They count as missed demand.
NO_CAPACITY_CODES = frozenset((Code.NO_REPLICA, Code.OVERLOADED, Code.SERVER_LIMITED))


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
    progress : RequestProgress or None
        Is told how far the request has come; None if nobody else reads it.
    """

    def __init__(
        self,
        state: DirectState,
        request: RoutedRequest,
        sink: AnswerSink,
        rng: random.Random,
        progress: RequestProgress | None = None,
    ):
        self._state = state
        self._request = request
        self._rng = rng
        self._log = get_logger()
        self._progress = progress or RequestProgress()
        if request.route.is_resumable:
            resumed_id = read_resumed_event_id(request.headers, state.header_names)
            self._progress.event_order = EventOrder(resumed_id)
        self._identity = RequestIdentity(
            request, state.header_names, state.identity_key
        )
        recorder = AttemptRecorder(state, request, self._progress, self._identity)
        self._forwarder = AnswerForwarder(
            state, request, self._progress, recorder, sink
        )
        self._sender = AttemptSender(
            state, request, self._progress, recorder, self._forwarder
        )
        self._choice = ServerChoice(state, request, self._progress, rng)

    async def run(self) -> Failure | None:
        """Answer the request; return a failure if no complete answer was sent."""
        refusal = await self._check_evidence()
        if refusal is not None:
            return refusal
        refusal = await self._find_resumed_version()
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
            pause_ms = self._compute_pause_ms(now_ms)
            will_retry = may_retry(
                self._request.route,
                self._progress.attempt_counts,
                fault,
                left_ms - pause_ms,
            )
            will_retry = will_retry and fault.code not in NON_RETRYABLE_CODES
            will_retry = will_retry and not self._progress.may_have_ended_server
            will_retry = will_retry and (
                not self._progress.has_started or self._request.route.is_resumable
            )
            if will_retry and self._progress.attempt_counts.n_sent:
                will_retry = budget.spend_retry(
                    self._state.live_entries.get(now_ms), now_ms
                )
                counter = "retries_total" if will_retry else "retries_denied_total"
                self._state.metrics.count(counter, reason=fault.code.name)
            if not will_retry:
                return await self._give_up(fault)
            must_stop = self._must_stop_first()
            if must_stop and not await self._wait_until_stopped(pause_ms):
                return await self._give_up(fault)
            self._log.info(
                "request_retried",
                request=self._request.facts.request_id,
                code=fault.code.value,
                reason=fault.message,
                left_ms=round(self._request.answer_by_ms - self._state.now_ms()),
                paused_ms=round(self._state.now_ms() - now_ms) if must_stop else 0,
            )

    def _compute_pause_ms(self, now_ms: float) -> float:
        """Return how long to hold the request for a server that was given up."""
        if self._progress.given_up is None:
            return 0.0
        return compute_stop_pause_ms(
            self._request.route,
            self._request.facts.model,
            self._progress.given_up.closed_at_ms,
            now_ms,
        )

    def _must_stop_first(self) -> bool:
        """Return whether a server that was given up must have stopped before a retry.

        It is asked also if the pause has passed, as in a slow entry.
        """
        return self._progress.given_up is not None and must_stop_first(
            self._request.route, self._request.facts.model
        )

    async def _wait_until_stopped(self, pause_ms: float) -> bool:
        """Hold the request for a server that was given up; return whether to go on."""
        given_up, self._progress.given_up = self._progress.given_up, None
        return given_up is None or await self._state.stop_waiter.wait(
            self._request.facts.request_id, given_up, pause_ms
        )

    async def _give_up(self, fault: Failure) -> Failure | None:
        """Return the final failure, or forward the last error answer of a server."""
        if self._progress.error_answer is not None and not self._progress.has_started:
            await self._forwarder.forward_error(*self._progress.error_answer)
            return None
        if fault.retry_after_ms:
            spread_ms = fault.retry_after_ms * self._rng.uniform(
                1.0, RETRY_AFTER_SPREAD_FACTOR
            )
            fault = fault._replace(retry_after_ms=round(spread_ms))
        retry_after_ms = round(DEFAULT_RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))
        return build_final_failure(self._progress.attempt_counts, fault, retry_after_ms)

    async def _find_resumed_version(self) -> Failure | None:
        """Find which version began the stream that the client resumes, if it does.

        Fails with STREAM_UNKNOWN.
        """
        request, facts = self._request, self._request.facts
        if not (facts.is_resume and request.route.is_resumable):
            return None
        version = await self._state.stream_versions.find_version(
            request.service, facts.resumed_id
        )
        self._log.info(
            "stream_resumed",
            request=facts.request_id,
            resumes=facts.resumed_id[:MAX_STREAM_ID_LENGTH],
            version=version,
        )
        if version is None:
            message = f"resumes {facts.resumed_id[:MAX_STREAM_ID_LENGTH]!r}"
            return failure(Code.STREAM_UNKNOWN, message, round(DEFAULT_RETRY_AFTER_MS))
        self._progress.software_version = version
        self._progress.is_resumed = True
        return None

    async def _check_evidence(self) -> Failure | None:
        """Return the refusal of a request under which servers have ended."""
        guard = self._state.part_guard
        parts = self._request.facts.shared_parts
        if guard.accuses_requests:
            parts = (*parts, await self._identity.compute())
        return guard.check(parts, self._state.now_ms())

    async def _run_attempt(self) -> Failure | None:
        """Send the request to one server; return the failure, or None on success."""
        backend = await self._choice.choose()
        if not isinstance(backend, Backend):
            return backend
        refusal = await self._check_evidence()
        if refusal is not None:
            return refusal
        self._choice.tried_server_ids.add(backend.view.server_id)
        now_ms = self._state.now_ms()
        left_ms = self._request.answer_by_ms - now_ms
        if left_ms <= 0:
            return failure(Code.DEADLINE_PASSED)
        refusal = await self._renew_allowance()
        if refusal is not None:
            return refusal
        permit = await self._take_permit(backend)
        if isinstance(permit, Failure):
            return permit
        # A server may repeat its answer to the last attempt, which bears the same id,
        # so another attempt at its address goes over another connection.
        conn = await self._state.pool.acquire(
            backend.view.http_addr,
            self._state.now_ms(),
            left_ms,
            is_kept_allowed=backend.view.http_addr not in self._sender.sent_addrs,
        )
        if conn is None:
            backend.exclude("", self._state.now_ms() + UNREACHABLE_EXCLUSION_MS)
            return failure(Code.BACKEND_UNREACHABLE, backend.view.server_id)
        try:
            if permit.rate_per_s is None:
                # The server may have named a limit while the connection was opened.
                permit = await self._take_permit(backend)
                if isinstance(permit, Failure):
                    return permit
            self._progress.is_incarnation_proven = False
            if self._must_prove_incarnation(backend):
                fault = await check_incarnation(self._state, backend, conn)
                if fault is not None:
                    return fault
                self._progress.is_incarnation_proven = True
            if not self._progress.may_continue_at(backend.view.software_version):
                # The list has changed since the choice.
                message = f"{backend.view.server_id} has another version now"
                return failure(Code.BACKEND_UNREACHABLE, message)
            with backend.track_request():
                return await self._sender.send(backend, conn, permit)
        finally:
            await self._state.pool.release(
                backend.view.http_addr, conn, self._state.now_ms()
            )

    def _must_prove_incarnation(self, backend: Backend) -> bool:
        """Return whether a server's start is asked for before it gets the request.

        Also while one version is known: the first server that starts again with another
        one does so before any list shows that version. A limit counts each question.
        """
        is_resumable = self._request.route.is_resumable
        return is_resumable and not self._state.limits.has_limit(backend.view)

    async def _renew_allowance(self) -> Failure | None:
        """Count an attempt in the customer's limit; fails with CUSTOMER_LIMIT."""
        if self._progress.allowance is None:
            return None
        n_possibly_run = self._progress.attempt_counts.n_possibly_run
        return await self._progress.allowance.renew(n_possibly_run)

    async def _take_permit(self, backend: Backend) -> Permit | Failure:
        """Return leave to send to a server; fails with SERVER_LIMITED."""
        state, request = self._state, self._request
        waited_ms = state.now_ms() - request.arrived_ms
        rank = compute_urgency_rank(request.route, waited_ms)
        permit = await state.limits.take_permit(backend, rank)
        if isinstance(permit, Permit):
            return permit
        self._log.info(
            "permit_refused",
            request=request.facts.request_id,
            server=backend.view.server_id,
            next_ms=round(permit.next_ms),
            retry_after_ms=round(permit.retry_after_ms),
        )
        message = f"{backend.view.server_id} has had as many requests as it takes"
        refusal = failure(
            Code.SERVER_LIMITED, message, math.ceil(permit.retry_after_ms)
        )
        self._choice.limit_refusal = refusal
        return refusal
