"""Sends the attempts of one claimed request.

The claim and the agent that may run it are recorded before an attempt is sent.
An attempt that surely did not begin makes way for the next one; an attempt that
may have run is never followed by another. A caller is told "not run" only once
the log says that no attempt is open, except when the keepers could not take the
claim at all: then nothing was sent for this request.
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
from ._kept_answer import AnswerCopy, KeptAnswer

__all__ = ["ClaimRefusedError", "ClaimedDispatcher", "in_doubt"]

# An agent refuses a dispatch that arrives later, so a frozen entry cannot send
# an attempt that has been given up meanwhile.
DISPATCH_WITHIN_MS = 5_000
# Longer than a dispatch takes to reach its agent; an attempt voided sooner could
# be one that another entry has just recorded and is about to send.
VOID_AFTER_MS = 300
# One question to an agent waits no longer, so that a lost agent is noticed.
WAIT_MS = 10_000
RETRY_AFTER_MS = 1_000
# Each step needs another process to have acted in between; more than a few mean
# that callers resend one key faster than it can be settled.
MAX_STEPS = 16


class ClaimRefusedError(Exception):
    """A claimed request has its final refusal; no server is to blame for it."""

    def __init__(self, fault: Failure):
        super().__init__(fault.message)
        self.fault = fault


def in_doubt(message: str) -> Failure:
    """Return the refusal of a request whose claim is still open."""
    return failure(Code.CLAIM_IN_PROGRESS, message, RETRY_AFTER_MS)


class ClaimedDispatcher:
    """Sends attempts as `Dispatcher` does, each under the request's claim.

    Parameters
    ----------
    claims : Claims
    inner : Dispatcher
    key : ClaimKey
    """

    def __init__(self, claims: Any, inner: Dispatcher, key: ClaimKey):
        self._claims = claims
        self._inner = inner
        self._key = key
        self._holder = uuid.uuid4().hex
        self._state: ClaimState | None = None
        self._epoch = 0
        self._asked_at_ms = 0.0
        self._dispatched = 0

    @asynccontextmanager
    async def send(
        self, server: ServerView, attempt: Attempt
    ) -> AsyncIterator[Result[Answer, Failure]]:
        """Send an attempt and yield its answer, one kept earlier, or a failure.

        A failure is always one after which another server may be tried.

        Raises
        ------
        ClaimRefusedError
            When the request must not be sent, or not again.
        """
        kept = await self._claim(server)
        if kept is not None:
            yield Success(kept)
            return
        state = self._state
        async with self._inner.send(server, _with_claim(attempt, state)) as sent:
            if isinstance(sent, Err):
                yield await self._not_answered(state, sent.failure())
                return
            answer = sent.unwrap()
            copy = AnswerCopy(answer)
            try:
                yield Success(answer._replace(chunks=copy.chunks()))
            finally:
                self._claims.later(self._end, state, copy)

    async def give_up(self) -> Answer | None:
        """Record that no attempt is open, so that "not run" may be told.

        Returns
        -------
        answer : Answer or None
            The answer of the same request in another submission, if it has one.

        Raises
        ------
        ClaimRefusedError
            When it cannot be said that the request did not run.
        """
        return await self._claim(None)

    async def _claim(self, server: ServerView | None) -> Answer | None:
        """Open an attempt at a server, or release the claim without one.

        Returns the answer of an earlier attempt if there is one; otherwise
        ``self._state`` holds the open attempt or says that there is none.
        """
        self._asked_at_ms = monotonic_ms()
        if self._state is None:
            self._state = await self._claims.begin(self._begin(server))
            self._epoch = self._state.epoch
        for _ in range(MAX_STEPS):
            state = self._state
            match state.status:
                case "open" if server is not None and self._is_mine(state):
                    if monotonic_ms() - self._asked_at_ms <= DISPATCH_WITHIN_MS:
                        self._dispatched = state.attempt
                        return None
                    # After a long pause the claim itself may have expired.
                    self._state = await self._finish(state, "void")
                case "open":
                    kept = await self._settle(state)
                    if kept is not None:
                        return kept
                case "free":
                    self._state = await self._leave_free(state, server)
                case "answered":
                    return _as_answer(
                        KeptAnswer(
                            state.answer_status,
                            state.answer_headers,
                            state.answer_body,
                            state.answer_kept,
                        )
                    )
                case "new" | "released" if server is None and not self._expired(state):
                    return None
                case "released":
                    raise ClaimRefusedError(
                        failure(Code.RETRIES_EXHAUSTED, "", RETRY_AFTER_MS)
                    )
                case "unknown":
                    raise ClaimRefusedError(failure(Code.OUTCOME_UNKNOWN))
                case _:
                    raise ClaimRefusedError(in_doubt("the claim has expired"))
        raise ClaimRefusedError(in_doubt("the claim changed too often"))

    def _is_mine(self, state: ClaimState) -> bool:
        """Return whether this request may dispatch the open attempt."""
        return state.holder == self._holder and state.attempt > self._dispatched

    def _expired(self, state: ClaimState) -> bool:
        return state.status == "new" and self._dispatched > 0

    def _begin(self, server: ServerView | None) -> ClaimBegin:
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

    async def _leave_free(
        self, state: ClaimState, server: ServerView | None
    ) -> ClaimState:
        """Open the next attempt of a free claim, or release the claim."""
        if state.epoch != self._epoch:
            raise ClaimRefusedError(in_doubt("a newer request holds the key"))
        if server is None:
            return await self._finish(state, "released")
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

    async def _not_answered(
        self, state: ClaimState, fault: Failure
    ) -> Result[Answer, Failure]:
        """Return what becomes of an attempt whose dispatch had no answer."""
        if fault.outcome is Outcome.NOT_RUN:
            self._state = await self._finish(state, "void")
            return Err(fault)
        kept = await self._settle(state)
        if kept is not None:
            return Success(kept)
        return Err(fault._replace(outcome=Outcome.NOT_RUN))

    async def _settle(self, state: ClaimState) -> Answer | None:
        """Learn from its agent how an attempt ended that may have begun.

        Returns its answer, or None once the log says that it is void.
        """
        end = await self._ask_agent(state)
        match end.state:
            case "void":
                self._state = await self._finish(state, "void")
                return None
            case "answered":
                kept = KeptAnswer(end.status, end.headers, end.body, end.kept)
                self._claims.later(self._finish_answered, state, kept)
                return _as_answer(kept)
            case "running":
                raise ClaimRefusedError(in_doubt(""))
            case "cut" | "other-incarnation":
                self._state = await self._finish(state, "unknown")
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

    async def _end(self, state: ClaimState, copy: "AnswerCopy") -> None:
        """Record how an attempt ended that had begun to answer."""
        if copy.is_whole:
            await self._finish_answered(state, copy.kept())
            return
        end = await self._ask_agent(state)
        if end.state in ("cut", "other-incarnation"):
            await self._finish(state, "unknown")
        elif end.state == "answered":
            kept = KeptAnswer(end.status, end.headers, end.body, end.kept)
            await self._finish_answered(state, kept)

    async def _ask_agent(self, state: ClaimState) -> AttemptEnd:
        is_mine = state.holder == self._holder
        query = AttemptQuery(
            attempt_id=_attempt_id(state),
            server_id=state.server_id,
            incarnation=state.incarnation,
            expires_ms=state.expires_ms,
            # Another entry may be about to dispatch; this one has done so.
            void_after_ms=0 if is_mine else VOID_AFTER_MS,
            wait_ms=WAIT_MS,
        )
        return await self._claims.ask_agent(state.agent_addr, query)

    async def _finish(self, state: ClaimState, outcome: str) -> ClaimState:
        """Record an end without an answer."""
        return await self._claims.record(
            ClaimFinish(state.key, state.attempt, outcome, 0, b"", b"", state.epoch)
        )

    async def _finish_answered(self, state: ClaimState, kept: KeptAnswer) -> None:
        await self._claims.record(
            ClaimFinish(
                state.key,
                state.attempt,
                "answered",
                kept.status,
                kept.headers,
                kept.body,
                state.epoch,
                kept.is_kept,
            )
        )


def _with_claim(attempt: Attempt, state: ClaimState) -> Attempt:
    claim = {
        "x-cowslip-attempt": _attempt_id(state),
        "x-cowslip-incarnation": state.incarnation,
        "x-cowslip-claim-expires-ms": str(state.expires_ms),
    }
    return attempt._replace(headers={**attempt.headers, **claim})


def _attempt_id(state: ClaimState) -> str:
    """Return the name of an attempt, unique also after a claim has expired."""
    return f"{state.key}-{state.epoch}-{state.attempt}"


def _as_answer(kept: KeptAnswer) -> Answer:
    if not kept.is_kept:
        raise ClaimRefusedError(failure(Code.ANSWER_NOT_KEPT))
    headers = dict(orjson.loads(kept.headers or b"[]"))
    return Answer(kept.status, headers, _once(kept.body))


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body
