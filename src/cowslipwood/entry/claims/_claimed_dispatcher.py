"""Sends the attempts of one claimed request.

The keepers record the claim and the agent of an attempt before the attempt is
sent. Another attempt follows only if the previous one certainly did not begin; an
attempt that may have run is the last one. A caller gets the outcome "not run" only
after the keepers' log records that no attempt is open, or if the keepers could not
record the claim at all, as then nothing was sent for this request.
"""

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code, Failure, Outcome, failure
from ...kernel.messages import (
    AttemptEnd,
    AttemptQuery,
    ClaimAttempt,
    ClaimBegin,
    ClaimFinish,
    ClaimState,
    ServerView,
)
from ..sending._dispatcher import Answer, Attempt, Dispatcher
from ._claim_keys import ClaimKey
from ._kept_answer import AnswerRecorder, KeptAnswer

__all__ = ["ClaimRefusedError", "ClaimedDispatcher", "make_claim_open_failure"]

# Longest time from the claim request to the dispatch of its attempt, in milliseconds.
# After it this entry voids the attempt instead of sending it: the entry may have been
# suspended, and another entry may have voided the attempt meanwhile.
MAX_DISPATCH_DELAY_MS = 5_000
# Milliseconds that an agent waits for another entry's attempt before it voids the
# attempt. This is longer than a dispatch takes to reach its agent; an attempt
# voided sooner could be one that the other entry has just recorded and is sending.
VOID_AFTER_MS = 300
# Milliseconds that one query may wait at an agent for a running attempt to end. The
# wait is bounded so that a lost agent is noticed.
MAX_QUERY_WAIT_MS = 10_000
# Milliseconds after which a caller may resend a request whose claim is still open.
RETRY_AFTER_MS = 1_000
# Changes of a claim that one attempt may follow before it is refused. Each change
# needs an action of another process; more than a few mean that callers resend one
# key faster than its claim can be resolved.
MAX_CLAIM_CHANGES = 16


class ClaimRefusedError(Exception):
    """A claimed request is refused for good; the refusal is no server's failure."""

    def __init__(self, fault: Failure):
        super().__init__(fault.message)
        self.fault = fault


def make_claim_open_failure(message: str) -> Failure:
    """Return the failure for a request whose claim is still open."""
    return failure(Code.CLAIM_IN_PROGRESS, message, RETRY_AFTER_MS)


class ClaimedDispatcher:
    """Sends a request's attempts through a `Dispatcher`, each under its claim.

    Parameters
    ----------
    claims : Claims
    dispatcher : Dispatcher
    key : ClaimKey
    """

    def __init__(self, claims: Any, dispatcher: Dispatcher, key: ClaimKey):
        self._claims = claims
        self._dispatcher = dispatcher
        self._key = key
        self._holder = uuid.uuid4().hex
        self._state: ClaimState | None = None
        self._epoch = 0
        self._claim_requested_at_ms = 0.0
        self._dispatched_attempt = 0

    @asynccontextmanager
    async def send(
        self, server: ServerView, attempt: Attempt
    ) -> AsyncIterator[Result[Answer, Failure]]:
        """Send an attempt and yield its answer, a kept answer, or a failure.

        After a failure that is yielded, another server may be tried.

        Raises
        ------
        ClaimRefusedError
            When the request must not be sent, or must not be sent again.
        """
        kept_answer = await self._open_attempt_or_release(server)
        if kept_answer is not None:
            yield Success(kept_answer)
            return
        state = self._state
        async with self._dispatcher.send(
            server, _add_claim_headers(attempt, state)
        ) as sent:
            if isinstance(sent, Err):
                yield await self._handle_missing_answer(state, sent.failure())
                return
            answer = sent.unwrap()
            recorder = AnswerRecorder(answer)
            try:
                yield Success(answer._replace(chunks=recorder.chunks()))
            finally:
                self._claims.run_in_background(self._record_end, state, recorder)

    async def release_claim(self) -> Answer | None:
        """Record that no attempt is open, so that the outcome is "not run".

        Returns
        -------
        answer : Answer or None
            The answer that another submission of the same request got, if any.

        Raises
        ------
        ClaimRefusedError
            When the request may have run.
        """
        return await self._open_attempt_or_release(None)

    async def _open_attempt_or_release(
        self, server: ServerView | None
    ) -> Answer | None:
        """Open an attempt at a server; without a server, release the claim.

        Returns the answer of an earlier attempt if there is one. Otherwise
        ``self._state`` is the claim with the open attempt, or the released claim.
        """
        self._claim_requested_at_ms = monotonic_ms()
        if self._state is None:
            self._state = await self._claims.begin(self._make_begin(server))
            self._epoch = self._state.epoch
        for _ in range(MAX_CLAIM_CHANGES):
            state = self._state
            match state.status:
                case "open" if server is not None and self._may_dispatch(state):
                    if (
                        monotonic_ms() - self._claim_requested_at_ms
                        <= MAX_DISPATCH_DELAY_MS
                    ):
                        self._dispatched_attempt = state.attempt
                        return None
                    # After a long pause of this process the claim may have expired.
                    self._state = await self._record_outcome(state, "void")
                case "open":
                    kept_answer = await self._resolve_attempt(state)
                    if kept_answer is not None:
                        return kept_answer
                case "free":
                    self._state = await self._advance_free_claim(state, server)
                case "answered":
                    return _to_answer(
                        KeptAnswer(
                            state.answer_status,
                            state.answer_headers,
                            state.answer_body,
                            state.answer_kept,
                        )
                    )
                case "new" | "released" if server is None and not self._is_expired(
                    state
                ):
                    return None
                case "released":
                    raise ClaimRefusedError(
                        failure(Code.RETRIES_EXHAUSTED, "", RETRY_AFTER_MS)
                    )
                case "unknown":
                    raise ClaimRefusedError(failure(Code.OUTCOME_UNKNOWN))
                case _:
                    raise ClaimRefusedError(
                        make_claim_open_failure("the claim has expired")
                    )
        raise ClaimRefusedError(make_claim_open_failure("the claim changed too often"))

    def _may_dispatch(self, state: ClaimState) -> bool:
        """Return whether this request may dispatch the open attempt."""
        return state.holder == self._holder and state.attempt > self._dispatched_attempt

    def _is_expired(self, state: ClaimState) -> bool:
        return state.status == "new" and self._dispatched_attempt > 0

    def _make_begin(self, server: ServerView | None) -> ClaimBegin:
        begin = ClaimBegin(
            self._key.claim_id,
            self._key.digest,
            self._claims.entry_id,
            self._key.key_time_ms,
            self._holder,
        )
        if server is None:
            return begin
        return begin._replace(
            server_id=server.server_id,
            incarnation=server.incarnation,
            agent_addr=server.http_addr,
        )

    async def _advance_free_claim(
        self, state: ClaimState, server: ServerView | None
    ) -> ClaimState:
        """Open the next attempt of a free claim, or release the claim."""
        if state.epoch != self._epoch:
            raise ClaimRefusedError(
                make_claim_open_failure("a newer request holds the key")
            )
        if server is None:
            return await self._record_outcome(state, "released")
        return await self._claims.record(
            ClaimAttempt(
                state.key,
                state.attempt + 1,
                server.server_id,
                server.incarnation,
                server.http_addr,
                state.epoch,
                self._holder,
            )
        )

    async def _handle_missing_answer(
        self, state: ClaimState, fault: Failure
    ) -> Result[Answer, Failure]:
        """Return the kept answer, or the failure, of a dispatch without answer."""
        if fault.outcome is Outcome.NOT_RUN:
            self._state = await self._record_outcome(state, "void")
            return Err(fault)
        kept_answer = await self._resolve_attempt(state)
        if kept_answer is not None:
            return Success(kept_answer)
        return Err(fault._replace(outcome=Outcome.NOT_RUN))

    async def _resolve_attempt(self, state: ClaimState) -> Answer | None:
        """Ask the agent how an attempt ended that may have begun.

        Returns the attempt's answer, or None after the attempt is recorded as void.
        """
        end = await self._query_agent(state)
        match end.state:
            case "void":
                self._state = await self._record_outcome(state, "void")
                return None
            case "answered":
                kept_answer = KeptAnswer(end.status, end.headers, end.body, end.kept)
                self._claims.run_in_background(self._record_answer, state, kept_answer)
                return _to_answer(kept_answer)
            case "running":
                raise ClaimRefusedError(make_claim_open_failure(""))
            case "cut" | "other-incarnation":
                self._state = await self._record_outcome(state, "unknown")
                raise ClaimRefusedError(failure(Code.OUTCOME_UNKNOWN))
            case _:
                raise ClaimRefusedError(
                    failure(
                        Code.OUTCOME_UNKNOWN,
                        "the agent that may have run the request cannot be asked; "
                        "resend the same request later",
                        RETRY_AFTER_MS,
                    )
                )

    async def _record_end(self, state: ClaimState, recorder: "AnswerRecorder") -> None:
        """Record the end of an attempt whose answer had begun."""
        if recorder.is_complete:
            await self._record_answer(state, recorder.to_kept_answer())
            return
        end = await self._query_agent(state)
        if end.state in ("cut", "other-incarnation"):
            await self._record_outcome(state, "unknown")
        elif end.state == "answered":
            kept_answer = KeptAnswer(end.status, end.headers, end.body, end.kept)
            await self._record_answer(state, kept_answer)

    async def _query_agent(self, state: ClaimState) -> AttemptEnd:
        is_own = state.holder == self._holder
        query = AttemptQuery(
            attempt_id=_make_attempt_id(state),
            server_id=state.server_id,
            incarnation=state.incarnation,
            expires_ms=state.expires_ms,
            # This entry's dispatch has been sent; another entry's may be on its way.
            void_after_ms=0 if is_own else VOID_AFTER_MS,
            wait_ms=MAX_QUERY_WAIT_MS,
        )
        return await self._claims.query_agent(state.agent_addr, query)

    async def _record_outcome(self, state: ClaimState, outcome: str) -> ClaimState:
        """Record that an attempt ended without an answer."""
        return await self._claims.record(
            ClaimFinish(state.key, state.attempt, outcome, 0, b"", b"", state.epoch)
        )

    async def _record_answer(self, state: ClaimState, kept_answer: KeptAnswer) -> None:
        await self._claims.record(
            ClaimFinish(
                state.key,
                state.attempt,
                "answered",
                kept_answer.status,
                kept_answer.headers,
                kept_answer.body,
                state.epoch,
                kept_answer.is_body_kept,
            )
        )


def _add_claim_headers(attempt: Attempt, state: ClaimState) -> Attempt:
    claim_headers = {
        "x-cowslip-attempt": _make_attempt_id(state),
        "x-cowslip-incarnation": state.incarnation,
        "x-cowslip-claim-expires-ms": str(state.expires_ms),
    }
    return attempt._replace(headers={**attempt.headers, **claim_headers})


def _make_attempt_id(state: ClaimState) -> str:
    """Return the id of an attempt; ids are not reused after a claim has expired."""
    return f"{state.key}-{state.epoch}-{state.attempt}"


def _to_answer(kept_answer: KeptAnswer) -> Answer:
    if not kept_answer.is_body_kept:
        raise ClaimRefusedError(failure(Code.ANSWER_NOT_KEPT))
    headers = dict(orjson.loads(kept_answer.headers or b"[]"))
    return Answer(kept_answer.status, headers, _iterate_body(kept_answer.body))


async def _iterate_body(body: bytes) -> AsyncIterator[bytes]:
    yield body
