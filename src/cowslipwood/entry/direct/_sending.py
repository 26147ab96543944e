"""Sends one attempt of a request to a server and judges the head of the answer."""

import anyio

from ...kernel.codes import Code, Failure, failure
from ...kernel.event_stream import EventTooLongError, StatusLineError
from ...kernel.http_connection import (
    AnswerHead,
    BrokenAnswerError,
    ServerConnection,
)
from ...kernel.logs import get_logger
from ..choosing._backend import NOT_READY_EXCLUSION_MS, Backend
from ._attempt_record import AttemptRecorder
from ._event_order import EventOrderError
from ._forwarding import AnswerForwarder
from ._headers import (
    build_request_headers,
    read_answer_facts,
    read_answered_id,
)
from ._limits import Permit
from ._progress import AnswerStage, GivenUpAttempt, RequestProgress
from ._request import (
    RoutedRequest,
    compute_urgency_rank,
    estimate_tokens_to_read,
)
from ._state import DirectState

__all__ = ["AttemptSender"]

# Statuses that claim that a request did not run. The entry believes them only with the
# server's not-run header, except for `MISDIRECTED_STATUS`; without the header the
# outcome counts as unknown.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Status of a server that is not the one addressed, or that lacks the model. The
# request never ran there.
MISDIRECTED_STATUS = 421
# Largest number of late answers to other requests that are skipped before the answer to
# a request. Each earlier request on a connection may leave one.
MAX_SKIPPED_ANSWERS = 4
# Time without an answer, as a multiple of the route's latency target, after which a
# repeatable request is retried at another server if there is one. A shorter time
# would repeat requests that are merely queued.
SILENCE_TARGET_FACTOR = 2.0
# Least time, in milliseconds, without an answer after which a repeatable request is
# retried at another server. Within a shorter time a queue looks the same as a failed
# host, and the leader announces failed hosts.
MIN_SILENCE_MS = 1_200.0


class AttemptSender:
    """Sends the attempts of one request and has their answers forwarded.

    Parameters
    ----------
    state : DirectState
    request : RoutedRequest
    progress : RequestProgress
    recorder : AttemptRecorder
    forwarder : AnswerForwarder

    Attributes
    ----------
    sent_addrs : set of str
        Addresses of the servers to which the request was sent. A server that was
        replaced shares its address with the next one.
    """

    def __init__(
        self,
        state: DirectState,
        request: RoutedRequest,
        progress: RequestProgress,
        recorder: AttemptRecorder,
        forwarder: AnswerForwarder,
    ):
        self._state = state
        self._request = request
        self._progress = progress
        self._recorder = recorder
        self._forwarder = forwarder
        self._log = get_logger()
        self.sent_addrs: set[str] = set()

    async def send(
        self, backend: Backend, conn: ServerConnection, permit: Permit
    ) -> Failure | None:
        """Send the request over a connection; return the failure, or None."""
        state, request = self._state, self._request
        names = state.header_names
        now_ms = state.now_ms()
        # The list may show another incarnation of the server before it answers.
        self._progress.sent_version = backend.view.software_version
        left_ms = max(1, int(request.answer_by_ms - now_ms))
        entry_headers = [
            (names.deadline, str(left_ms).encode()),
            (names.server_id, backend.view.server_id.encode()),
        ]
        urgency_rank = compute_urgency_rank(request.route, now_ms - request.arrived_ms)
        if request.facts.model:
            entry_headers.append((names.urgency, str(urgency_rank).encode()))
        if request.customer is not None:
            entry_headers.append((names.customer, request.customer.name.encode()))
        if self._progress.last_event_id:
            entry_headers.append((names.last_event_id, self._progress.last_event_id))
        headers = build_request_headers(
            request.headers, names, entry_headers, len(request.body)
        )
        self._log.info(
            "request_sent",
            request=request.facts.request_id,
            route=request.route.name,
            customer=request.customer.name if request.customer else None,
            key=request.key,
            document=state.document_version,
            server=backend.view.server_id,
            version=backend.view.software_version,
            list_age_ms=round(now_ms - state.list_read_at_ms),
            load=round(
                backend.expected_load(
                    state.view.typical_others_load_share.value, now_ms
                ),
                1,
            ),
            left_ms=left_ms,
            limit_per_s=permit.rate_per_s,
            permit_age_ms=round(permit.age_ms),
            permit_alone=permit.is_alone,
            attempt=self._progress.attempt_counts.n_sent + 1,
        )
        self._progress.attempt_counts = self._progress.attempt_counts._replace(
            n_sent=self._progress.attempt_counts.n_sent + 1,
            n_possibly_run=self._progress.attempt_counts.n_possibly_run + 1,
        )
        self._progress.answer_stage = AnswerStage.AWAITED
        self._progress.server = backend.view
        self.sent_addrs.add(backend.view.http_addr)
        self._progress.given_up = None
        n_tokens = estimate_tokens_to_read(request.facts)
        state.get_prompt_tokens_average(request.service).add(n_tokens)
        try:
            with (
                backend.track_first_event_wait(n_tokens, urgency_rank, now_ms),
                state.waiting_demand.track_in_flight(request.key, state.now_ms),
                anyio.fail_after(self._compute_silence_limit_ms(left_ms) / 1000),
            ):
                await conn.send(request.method, request.target, headers, request.body)
                head = await self._receive_own_head(backend, conn)
                self._progress.answer_stage = AnswerStage.BEGUN
        except TimeoutError:
            await self._end_attempt(backend, conn, by_server=False)
            return self._recorder.record_failure(backend, failure(Code.BACKEND_TIMEOUT))
        except BrokenAnswerError as exc:
            await self._end_attempt(backend, conn, exc.by_server)
            if exc.code is Code.BAD_STATUS:
                # The server has answered, so that it did not end under the request.
                return self._recorder.record_failure(
                    backend, failure(Code.BAD_STATUS, str(exc))
                )
            await self._recorder.record_break(backend)
            return self._recorder.record_failure(
                backend, failure(Code.OUTCOME_UNKNOWN, str(exc))
            )
        except BaseException:
            await conn.close()
            raise
        return await self._handle_answer(backend, conn, head, now_ms)

    async def _receive_own_head(
        self, backend: Backend, conn: ServerConnection
    ) -> AnswerHead:
        """Return the head of the next answer that names no earlier request.

        The answer to this request may stand behind late ones to others, which are
        skipped. One that cannot be skipped is returned.
        """
        head = await conn.receive_head()
        for _ in range(MAX_SKIPPED_ANSWERS):
            answered_id = read_answered_id(head.headers, self._state.header_names)
            is_late = answered_id not in ("", self._request.facts.request_id)
            if not is_late or conn.n_requests == 1 or not await conn.skip_answer(head):
                break
            self._state.metrics.count("late_answers_skipped_total")
            self._log.info(
                "late_answer_skipped",
                request=self._request.facts.request_id,
                server=backend.view.server_id,
                answers=answered_id,
                status=head.status,
            )
            head = await conn.receive_head()
        return head

    def _compute_silence_limit_ms(self, left_ms: float) -> float:
        """Return how long to wait for the head of an answer."""
        route = self._request.route
        can_retry = (
            route.is_repeatable
            and self._progress.attempt_counts.n_possibly_run < route.max_attempts
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
        # An answer without an id on a connection that carried other requests may be one
        # to them.
        is_foreign = (
            facts.request_id != request.facts.request_id
            if facts.request_id
            else conn.n_requests > 1
        )
        if is_foreign:
            await self._end_attempt(backend, conn, by_server=False)
            reason = f"an answer to request {facts.request_id or 'unknown'} came"
            return self._recorder.record_failure(
                backend, failure(Code.OUTCOME_UNKNOWN, reason)
            )
        if not facts.request_id:
            conn.forbid_reuse()
        self._recorder.record_load(backend, facts, now_ms)
        state.apply_notice(backend, facts.notice, now_ms)
        state.limits.record_answer(backend, facts.notice.rate_limit, sent_ms, now_ms)
        if facts.not_run or head.status == MISDIRECTED_STATUS:
            return await self._handle_not_run(backend, conn, head)
        if head.status in NOT_RUN_STATUSES:
            await self._end_attempt(backend, conn, by_server=True)
            fault = failure(Code.OUTCOME_UNKNOWN, f"status {head.status} unexplained")
            return self._recorder.record_failure(backend, fault)
        if self._progress.has_started and not self._forwarder.is_stream(head):
            await self._end_attempt(backend, conn, by_server=head.status >= 300)
            fault = failure(
                Code.OUTCOME_UNKNOWN,
                f"status {head.status} to a resume",
            )
            return self._recorder.record_failure(backend, fault)
        if not self._progress.must_keep_version:
            self._progress.software_version = self._progress.sent_version
        try:
            return await self._forwarder.forward(backend, conn, head, sent_ms)
        except (
            BrokenAnswerError,
            EventOrderError,
            EventTooLongError,
            StatusLineError,
        ) as exc:
            by_server = isinstance(exc, BrokenAnswerError) and exc.by_server
            await self._end_attempt(backend, conn, by_server)
            await self._recorder.record_break(backend)
            return self._recorder.record_failure(
                backend, failure(Code.ANSWER_CUT, str(exc))
            )
        except TimeoutError:
            await self._end_attempt(backend, conn, by_server=False)
            return self._recorder.record_failure(backend, failure(Code.BACKEND_TIMEOUT))
        except BaseException:
            await conn.close()
            raise

    async def _end_attempt(
        self, backend: Backend, conn: ServerConnection, by_server: bool
    ) -> None:
        """Close a failed attempt's connection; record whether the entry gave it up.

        Parameters
        ----------
        backend : Backend
        conn : ServerConnection
        by_server : bool
            Whether the server ended its work: it closed the connection, or sent what
            ends its answer.
        """
        await conn.close()
        if not by_server:
            self._progress.given_up = GivenUpAttempt(
                backend.view.server_id, backend.view.http_addr, self._state.now_ms()
            )

    async def _handle_not_run(
        self, backend: Backend, conn: ServerConnection, head: AnswerHead
    ) -> Failure:
        """Record a server's statement that the request did not run there."""
        self._progress.attempt_counts = self._progress.attempt_counts._replace(
            n_possibly_run=self._progress.attempt_counts.n_possibly_run - 1
        )
        with anyio.move_on_after(NOT_READY_EXCLUSION_MS / 1000):
            await _discard_body(conn)
        now_ms = self._state.now_ms()
        if head.status == MISDIRECTED_STATUS:
            backend.exclude(self._request.key, now_ms + NOT_READY_EXCLUSION_MS)
            return failure(Code.MODEL_NOT_READY, backend.view.server_id)
        return failure(Code.AGENT_OVERLOADED, f"{backend.view.server_id} {head.status}")


async def _discard_body(conn: ServerConnection) -> None:
    """Read and drop a refusal's body, so that the connection can be reused."""
    try:
        async for _ in conn.receive_body():
            pass
    except BrokenAnswerError:
        await conn.close()
