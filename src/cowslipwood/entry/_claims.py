"""Runs a request at most once, under a claim in the keepers' log.

The claim and the agent that may run it are recorded before the request is sent.
An attempt that surely did not begin makes way for the next one; an attempt that
may have run is never followed by another. A caller is told "not run" only once
the log says that no attempt is open, except when the keepers could not take the
claim at all: then nothing was sent for this request.
"""

import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import anyio
import httpcore
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, Outcome, failure
from ..kernel.keeper_link import KeeperLink
from ..kernel.messages import (
    AttemptEnd,
    AttemptQuery,
    ClaimAttempt,
    ClaimBegin,
    ClaimFinish,
    ClaimState,
    ServerView,
)
from ..kernel.metrics import Metrics
from ._attempt_client import AttemptClient
from ._claim_keys import ClaimKey
from ._dispatch import Answer, Attempt, Dispatcher

__all__ = ["Claims", "Pick", "Respond"]

BEGIN_WITHIN_MS = 1_000
RECORD_WITHIN_MS = 3_000
ASK_TIMEOUT_MS = 3_000
ASK_PAUSE_MS = 50
DISPATCH_WITHIN_MS = 5_000
VOID_AFTER_MS = 300
WAIT_MS = 10_000
RETRY_AFTER_MS = 1_000
MAX_STEPS = 16
MAX_SENT_BYTES = 1_048_576
MAX_SEEN = 10_000

_KEEPERS_AWAY = frozenset(
    (
        Code.NOT_LEADER,
        Code.NO_QUORUM,
        Code.PEER_GONE,
        Code.PEER_SILENT,
        Code.SEND_TIMEOUT,
    )
)
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)

Pick = Callable[[frozenset[str]], Result[ServerView, Failure]]
"""Chooses a backend server; gets the incarnations that were tried already."""

Respond = Callable[[Answer], Awaitable[None]]
"""Sends an answer to the caller, reading its chunks."""

_Step = Result[ClaimState | None, Failure]
"""The claim's next state, or None once the caller has its answer."""


class _KeptAnswer(NamedTuple):
    """A whole answer, as the log and agents keep it."""

    status: int
    headers: bytes
    body: bytes
    kept: bool


class Claims:
    """The claims of one entry.

    Parameters
    ----------
    entry_id : str
    keepers : KeeperLink
    dispatcher : Dispatcher
    agents : AttemptClient
    metrics : Metrics
    """

    def __init__(
        self,
        entry_id: str,
        keepers: KeeperLink,
        dispatcher: Dispatcher,
        agents: AttemptClient,
        metrics: Metrics,
    ):
        self.entry_id = entry_id
        self.dispatcher = dispatcher
        self.agents = agents
        self.metrics = metrics
        self._keepers = keepers
        self._seen: dict[str, None] = {}
        self._n_running = 0

    async def run(
        self, key: ClaimKey, attempt: Attempt, pick: Pick, respond: Respond, live: bool
    ) -> Result[None, Failure]:
        """Run a request under its key, or give the answer that it had.

        Parameters
        ----------
        key : ClaimKey
        attempt : Attempt
            What to send; the claim's headers are added here.
        pick : callable
        respond : callable
            Called at most once.
        live : bool
            Whether the answer is passed on as it comes instead of whole.

        Returns
        -------
        result : Result
            A failure when `respond` was not called.
        """
        submission = _Submission(self, key, attempt, pick, respond, live)
        self._n_running += 1
        self.metrics.gauge("claims_open", self._n_running)
        try:
            # A caller who hangs up must not leave the claim's end unrecorded.
            with anyio.CancelScope(shield=True):
                result = await submission.run()
        finally:
            self._n_running -= 1
            self.metrics.gauge("claims_open", self._n_running)
        outcome = "answered"
        if isinstance(result, Err):
            outcome = result.failure().outcome.value
        self.metrics.count("claims_total", outcome=outcome)
        return result

    async def ask(self, message: Any, within_ms: float) -> Result[ClaimState, Failure]:
        """Send a claim message to the leader, again while there is none.

        Each claim message may be sent twice without harm.
        """
        give_up_ms = monotonic_ms() + within_ms
        while True:
            result = await self._keepers.request(message, ASK_TIMEOUT_MS)
            if isinstance(result, Success):
                self._note(result.unwrap())
                return result
            fault = result.failure()
            if fault.code not in _KEEPERS_AWAY or monotonic_ms() >= give_up_ms:
                return result
            self.metrics.count("claim_retries_total", reason=fault.code.name)
            await anyio.sleep(ASK_PAUSE_MS / 1000)

    def may_have_run(self, claim_id: str) -> bool:
        """Return whether this entry has seen an attempt that may have run."""
        return claim_id in self._seen

    def _note(self, state: ClaimState) -> None:
        if state.status in ("open", "answered", "unknown"):
            self._seen[state.key] = None
        else:
            self._seen.pop(state.key, None)
        if len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]


class _Submission:
    """One request on its way through its claim."""

    def __init__(
        self,
        claims: Claims,
        key: ClaimKey,
        attempt: Attempt,
        pick: Pick,
        respond: Respond,
        live: bool,
    ):
        self._claims = claims
        self._key = key
        self._attempt = attempt
        self._pick = pick
        self._respond = respond
        self._live = live
        self._holder = uuid.uuid4().hex
        self._epoch = 0
        self._server: ServerView | None = None
        self._asked_at_ms = 0.0
        self._tried: set[str] = set()
        self._dispatched = 0
        self._fault = failure(Code.RETRIES_EXHAUSTED, "", RETRY_AFTER_MS)

    async def run(self) -> Result[None, Failure]:
        """Take steps until the caller has an answer or a refusal."""
        may_have_run = self._claims.may_have_run(self._key.claim_id)
        begun = await self._begin()
        if isinstance(begun, Err):
            return Err(_begin_refused(begun.failure(), may_have_run))
        self._epoch = begun.unwrap().epoch
        step = begun
        for _ in range(MAX_STEPS):
            step = await self._step(step.unwrap())
            if isinstance(step, Err):
                return step
            if step.unwrap() is None:
                return Success(None)
        return Err(_in_doubt("the claim changed too often"))

    async def _step(self, state: ClaimState) -> _Step:
        match state.status:
            case "new" if self._dispatched:
                return Err(_in_doubt("the claim has expired"))
            case "new" | "released":
                return Err(self._fault)
            case "answered":
                return await self._give(_kept_in_log(state))
            case "unknown":
                return Err(failure(Code.OUTCOME_UNKNOWN))
            case "open" if self._is_mine(state):
                return await self._dispatch(state)
            case "open":
                return await self._settle(state)
            case _:
                return await self._next(state)

    def _is_mine(self, state: ClaimState) -> bool:
        """Return whether this submission may dispatch the open attempt."""
        return state.holder == self._holder and state.attempt > self._dispatched

    async def _begin(self) -> Result[ClaimState, Failure]:
        key = self._key
        server = self._choose()
        begin = ClaimBegin(
            key.claim_id,
            key.digest,
            self._claims.entry_id,
            key.key_time_ms,
            self._holder,
        )
        if server is not None:
            begin = begin._replace(
                server_id=server.server_id,
                incarnation=server.incarnation,
                agent_addr=server.http_addr,
            )
        return await self._claims.ask(begin, BEGIN_WITHIN_MS)

    def _choose(self) -> ServerView | None:
        """Choose the next backend server, or keep why there is none."""
        picked = self._pick(frozenset(self._tried))
        self._asked_at_ms = monotonic_ms()
        if isinstance(picked, Err):
            if not self._tried:
                self._fault = picked.failure()
            return None
        self._server = picked.unwrap()
        return self._server

    async def _next(self, state: ClaimState) -> _Step:
        """Open the next attempt of a free claim, or give the claim up."""
        if state.epoch != self._epoch:
            return Err(_in_doubt("a newer request holds the key"))
        server = self._choose()
        if server is None:
            return await self._finish(state, "released")
        return await self._record(
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

    async def _dispatch(self, state: ClaimState) -> _Step:
        """Send the attempt that this submission holds."""
        self._dispatched = state.attempt
        if monotonic_ms() - self._asked_at_ms > DISPATCH_WITHIN_MS:
            # After a long pause the claim itself may have expired.
            return await self._finish(state, "void")
        headers = {
            **self._attempt.headers,
            "x-cowslip-attempt": _attempt_id(state),
            "x-cowslip-incarnation": state.incarnation,
            "x-cowslip-claim-expires-ms": str(state.expires_ms),
        }
        attempt = self._attempt._replace(headers=headers)
        sending = self._claims.dispatcher.send(self._server, attempt)
        try:
            async with sending as sent:
                if isinstance(sent, Success):
                    return await self._pass(state, sent.unwrap())
                fault = sent.failure()
        except _TRANSPORT_ERRORS:
            fault = failure(Code.OUTCOME_UNKNOWN)
        self._claims.metrics.count("retries_total", reason=fault.code.name)
        if fault.outcome is Outcome.NOT_RUN:
            if fault.code is not Code.ATTEMPT_VOIDED:
                self._tried.add(state.incarnation)
                self._fault = fault
            return await self._finish(state, "void")
        return await self._settle(state)

    async def _pass(self, state: ClaimState, answer: Answer) -> _Step:
        """Give the caller an answer that comes in, and record it."""
        headers = _kept_headers(answer)
        if not self._live:
            body = b"".join([chunk async for chunk in answer.chunks])
            ended = _KeptAnswer(answer.status, headers, body, True)
            try:
                return await self._give(ended)
            finally:
                await self._finish_answered(state, ended)
        chunks: list[bytes] = []
        try:
            await self._respond(answer._replace(chunks=_tee(answer.chunks, chunks)))
        except Exception:
            await self._settle_quietly(state)
            raise
        ended = _KeptAnswer(answer.status, headers, b"".join(chunks), True)
        await self._finish_answered(state, ended)
        return Success(None)

    async def _settle(self, state: ClaimState) -> _Step:
        """Learn from the agent how an attempt ended that may have begun."""
        end = await self._ask_agent(state)
        match end.state:
            case "void":
                return await self._finish(state, "void")
            case "answered":
                answer = _KeptAnswer(end.status, end.headers, end.body, end.kept)
                try:
                    return await self._give(answer)
                finally:
                    await self._finish_answered(state, answer)
            case "running":
                return Err(_in_doubt(""))
            case "cut" | "other-incarnation":
                return await self._finish(state, "unknown")
            case _:
                return Err(
                    failure(
                        Code.OUTCOME_UNKNOWN,
                        "the agent that may have run the request cannot be asked; "
                        "resend the same request later",
                        RETRY_AFTER_MS,
                    )
                )

    async def _settle_quietly(self, state: ClaimState) -> None:
        """Record the end of an attempt whose answer broke off at the caller."""
        end = await self._ask_agent(state)
        if end.state in ("cut", "other-incarnation"):
            await self._finish(state, "unknown")
        elif end.state == "answered":
            answer = _KeptAnswer(end.status, end.headers, end.body, end.kept)
            await self._finish_answered(state, answer)

    async def _ask_agent(self, state: ClaimState) -> AttemptEnd:
        query = AttemptQuery(
            attempt_id=_attempt_id(state),
            server_id=state.server_id,
            incarnation=state.incarnation,
            expires_ms=state.expires_ms,
            # Another entry may be about to dispatch; this one has done so.
            void_after_ms=0 if state.holder == self._holder else VOID_AFTER_MS,
            wait_ms=WAIT_MS,
        )
        asked = await self._claims.agents.query(state.agent_addr, query)
        return asked.value_or(AttemptEnd("unreachable"))

    async def _give(self, answer: _KeptAnswer) -> _Step:
        """Give the caller a whole answer; fails with ANSWER_NOT_KEPT."""
        if not answer.kept:
            return Err(failure(Code.ANSWER_NOT_KEPT))
        headers = dict(orjson.loads(answer.headers or b"[]"))
        await self._respond(Answer(answer.status, headers, _once(answer.body)))
        return Success(None)

    async def _finish(self, state: ClaimState, outcome: str) -> _Step:
        """Record an end without an answer and return the claim's new state."""
        return await self._record(
            ClaimFinish(state.key, state.attempt, outcome, 0, b"", b"", state.epoch)
        )

    async def _finish_answered(self, state: ClaimState, answer: _KeptAnswer) -> None:
        """Record an answer; when that fails, the agent still has it."""
        kept = answer.kept and len(answer.body) <= MAX_SENT_BYTES
        await self._record(
            ClaimFinish(
                state.key,
                state.attempt,
                "answered",
                answer.status,
                answer.headers if kept else b"",
                answer.body if kept else b"",
                state.epoch,
                kept,
            )
        )

    async def _record(self, message: ClaimAttempt | ClaimFinish) -> _Step:
        """Record a change; without the keepers the outcome is in doubt."""
        recorded = await self._claims.ask(message, RECORD_WITHIN_MS)
        if isinstance(recorded, Err):
            return Err(_in_doubt("the keepers cannot record the outcome now"))
        return recorded


def _begin_refused(fault: Failure, may_have_run: bool) -> Failure:
    """Return what a caller is told whose claim was not taken."""
    if fault.code == Code.KEY_EXPIRED:
        # It may have run under the claim that was dropped.
        return fault._replace(outcome=Outcome.UNKNOWN)
    if fault.code not in _KEEPERS_AWAY:
        return fault
    if may_have_run:
        return _in_doubt("the keepers cannot be asked about the key now")
    return failure(Code.CLAIMS_UNAVAILABLE, "", RETRY_AFTER_MS)


def _in_doubt(message: str) -> Failure:
    return failure(Code.CLAIM_IN_PROGRESS, message, RETRY_AFTER_MS)


def _attempt_id(state: ClaimState) -> str:
    """Return the name of an attempt, unique also after a claim has expired."""
    return f"{state.key}-{state.epoch}-{state.attempt}"


def _kept_in_log(state: ClaimState) -> _KeptAnswer:
    return _KeptAnswer(
        state.answer_status,
        state.answer_headers,
        state.answer_body,
        state.answer_kept,
    )


def _kept_headers(answer: Answer) -> bytes:
    kind = answer.headers.get("content-type")
    return orjson.dumps([("content-type", kind)] if kind else [])


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body


async def _tee(chunks: AsyncIterator[bytes], copy: list[bytes]) -> AsyncIterator[bytes]:
    """Pass chunks on and keep a copy of them."""
    async for chunk in chunks:
        copy.append(chunk)
        yield chunk
