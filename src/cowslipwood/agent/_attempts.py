"""Table of the attempts of claimed requests at one agent.

An attempt begins at most once. It is recorded before the call to the backend server,
and an attempt that was voided or refused is recorded as well, so that a delayed
duplicate of its dispatch is refused. The whole answer of an attempt is kept, up to a
size limit, for an entry that takes over the claim after another entry has died.

A record of an attempt is kept as long as its claim; after that time a dispatch is
refused as expired. Nothing is written to disk: an agent that restarts has another
incarnation, refuses dispatches that were made for the earlier one, and reports the
other incarnation when it is asked about them.
"""

import enum
import heapq
from collections.abc import Mapping
from typing import Any

import anyio
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, Outcome, failure
from ..kernel.counts import parse_count
from ..kernel.messages import AttemptEnd, AttemptQuery
from ..kernel.metrics import Metrics

__all__ = ["Attempt", "AttemptState", "AttemptTable"]

# Request header with the identifier of the attempt.
ATTEMPT_HEADER = "x-cowslip-attempt"
# Request header with the incarnation of the agent that the dispatch was made for.
INCARNATION_HEADER = "x-cowslip-incarnation"
# Request header with the wall-clock time at which the claim expires, in milliseconds.
EXPIRES_HEADER = "x-cowslip-claim-expires-ms"
# Answer header that marks a refusal by the agent and says whether the call ran.
OUTCOME_HEADER = b"x-cowslip-outcome"
# Answer headers that are kept with the answer of an attempt.
KEPT_HEADERS = frozenset((b"content-type", b"location", b"etag"))

# Largest number of attempts in the table.
MAX_ATTEMPTS = 50_000
# Largest body of an answer that is kept, in bytes.
MAX_ANSWER_BYTES = 65_536
# Largest total size of the bodies that are kept, in bytes.
MAX_ANSWERS_BYTES = 8 * 1024 * 1024
# Longest time for which a query about an attempt waits for one change of its state,
# in milliseconds.
MAX_QUERY_WAIT_MS = 60_000
# Retry delay in the refusal that is sent while the table is full, in milliseconds.
RETRY_AFTER_MS = 1_000


class AttemptState(enum.StrEnum):
    """Progress of an attempt.

    AWAITED: its identifier is known, but its call has not begun. RUNNING: its call has
    begun and has not ended. ANSWERED: its answer is complete. CUT: its call ended
    without a complete answer and may have run. VOID: it did not run, and a call that
    still arrives for it is refused.
    """

    AWAITED = "awaited"
    RUNNING = "running"
    ANSWERED = "answered"
    CUT = "cut"
    VOID = "void"


class Attempt:
    """One attempt; a context manager around its call to the backend server.

    An attempt that is still running when the context is left is marked as cut.
    """

    # Slots save memory: the table keeps an attempt as long as its claim and may hold
    # many of them.
    __slots__ = (
        "_state_changed",
        "_table",
        "attempt_id",
        "body",
        "headers",
        "is_answer_kept",
        "state",
        "status",
    )

    def __init__(self, table: "AttemptTable", attempt_id: str):
        self._table = table
        self.attempt_id = attempt_id
        self.state = AttemptState.AWAITED
        self._state_changed: anyio.Event | None = None
        self.status = 0
        self.headers = b"[]"
        self.body = b""
        self.is_answer_kept = False

    def __enter__(self) -> "Attempt":
        """Return the attempt."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Mark the attempt as cut unless its answer was complete."""
        if self.state is AttemptState.RUNNING:
            self.set_state(AttemptState.CUT)

    def set_state(self, state: AttemptState) -> None:
        """Change the state and wake the tasks that wait for a change."""
        self.state = state
        if self._state_changed is not None:
            self._state_changed.set()
            self._state_changed = None

    async def wait_while(self, state: AttemptState, timeout_ms: int) -> None:
        """Wait until the attempt has left a state, for at most `timeout_ms`."""
        with anyio.move_on_after(min(timeout_ms, MAX_QUERY_WAIT_MS) / 1000):
            while self.state is state:
                if self._state_changed is None:
                    self._state_changed = anyio.Event()
                await self._state_changed.wait()

    def make_recording_send(self, send: Any) -> Any:
        """Return an ASGI send that forwards the answer and records it.

        A refusal by the agent itself carries an outcome header and is not an answer:
        it marks the attempt as void or cut. Backend servers must not set that
        header.
        """
        chunks: list[bytes] = []
        n_bytes = 0

        async def record(event: dict) -> None:
            nonlocal n_bytes
            if self.state is AttemptState.RUNNING:
                if event["type"] == "http.response.start":
                    self._record_start(event)
                else:
                    n_bytes += len(event.get("body", b""))
                    if n_bytes <= MAX_ANSWER_BYTES:
                        chunks.append(event.get("body", b""))
                    if not event.get("more_body"):
                        self._record_end(chunks, n_bytes)
            await send(event)

        return record

    def _record_start(self, event: dict) -> None:
        headers = [
            (bytes(name).lower(), bytes(value)) for name, value in event["headers"]
        ]
        outcome = dict(headers).get(OUTCOME_HEADER)
        if outcome == Outcome.NOT_RUN.value.encode():
            self.set_state(AttemptState.VOID)
        elif outcome is not None:
            self.set_state(AttemptState.CUT)
        self.status = event["status"]
        self.headers = orjson.dumps(
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in headers
                if name in KEPT_HEADERS
            ]
        )

    def _record_end(self, chunks: list[bytes], n_bytes: int) -> None:
        if n_bytes <= MAX_ANSWER_BYTES:
            self.body = b"".join(chunks)
            self.is_answer_kept = True
            self._table.keep_answer(self)
        self.set_state(AttemptState.ANSWERED)

    def discard_answer(self) -> None:
        """Discard the kept answer; the attempt stays marked as answered."""
        self.body = b""
        self.is_answer_kept = False

    def make_end_message(self) -> AttemptEnd:
        """Return the message that reports the state and the answer."""
        if self.state is not AttemptState.ANSWERED:
            return AttemptEnd(self.state.value)
        return AttemptEnd(
            self.state.value, self.status, self.headers, self.body, self.is_answer_kept
        )


class AttemptTable:
    """Attempts by identifier, limited in number and in bytes of kept answers.

    Parameters
    ----------
    server_id : str
        Identifier of the backend server.
    incarnation : str
        Incarnation of this agent, which differs for each start of the process.
    metrics : Metrics
    """

    def __init__(self, server_id: str, incarnation: str, metrics: Metrics):
        self._server_id = server_id
        self._incarnation = incarnation
        self._metrics = metrics
        self._attempts: dict[str, Attempt] = {}
        self._expiries: list[tuple[int, str]] = []
        self._kept_answers: dict[str, Attempt] = {}
        self._kept_bytes = 0

    def begin(
        self, headers: Mapping[str, str], wall_ms: int
    ) -> Result[Attempt | None, Failure]:
        """Mark a call's attempt as running, immediately before it is forwarded.

        Returns None for a call without an attempt. Fails with BAD_HEADER,
        WRONG_INCARNATION, ATTEMPT_VOIDED, ATTEMPT_REPEATED or AGENT_OVERLOADED.
        """
        checked = self._check_headers(headers, wall_ms)
        if isinstance(checked, Err) or ATTEMPT_HEADER not in headers:
            return checked.map(lambda _: None)
        found = self._find_or_add(headers[ATTEMPT_HEADER], checked.unwrap(), wall_ms)
        return found.bind(_begin_attempt)

    def refuse(
        self, headers: Mapping[str, str], fault: Failure, wall_ms: int
    ) -> Failure:
        """Mark the attempt of a refused call as void, unless the attempt has begun.

        Returns the failure to send to the caller: ATTEMPT_REPEATED in place of
        `fault` when the same attempt has already begun.
        """
        checked = self._check_headers(headers, wall_ms)
        if isinstance(checked, Err) or ATTEMPT_HEADER not in headers:
            return fault
        found = self._find_or_add(headers[ATTEMPT_HEADER], checked.unwrap(), wall_ms)
        attempt = found.value_or(None)
        if attempt is None or attempt.state is AttemptState.VOID:
            return fault
        if attempt.state is not AttemptState.AWAITED:
            return failure(Code.ATTEMPT_REPEATED)
        attempt.set_state(AttemptState.VOID)
        return fault

    async def query(
        self, query: AttemptQuery, wall_ms: int
    ) -> Result[AttemptEnd, Failure]:
        """Return how an attempt ended; one that does not begin in time is voided.

        Fails with WRONG_SERVER or AGENT_OVERLOADED, which leave the attempt
        unchanged.
        """
        if query.server_id != self._server_id:
            return Err(failure(Code.WRONG_SERVER))
        if query.incarnation != self._incarnation:
            return Success(AttemptEnd("other-incarnation"))
        found = self._find_or_add(query.attempt_id, query.expires_ms, wall_ms)
        if isinstance(found, Err):
            return found
        attempt = found.unwrap()
        await attempt.wait_while(AttemptState.AWAITED, query.void_after_ms)
        if attempt.state is AttemptState.AWAITED:
            attempt.set_state(AttemptState.VOID)
        await attempt.wait_while(AttemptState.RUNNING, query.wait_ms)
        self._metrics.count("attempt_queries_total", state=attempt.state.value)
        return Success(attempt.make_end_message())

    def keep_answer(self, attempt: Attempt) -> None:
        """Count a kept answer and discard the oldest ones above the size limit."""
        self._kept_answers[attempt.attempt_id] = attempt
        self._kept_bytes += len(attempt.body)
        while self._kept_bytes > MAX_ANSWERS_BYTES:
            self._discard_answer(next(iter(self._kept_answers)))

    def _discard_answer(self, attempt_id: str) -> None:
        attempt = self._kept_answers.pop(attempt_id, None)
        if attempt is not None:
            self._kept_bytes -= len(attempt.body)
            attempt.discard_answer()

    def _check_headers(
        self, headers: Mapping[str, str], wall_ms: int
    ) -> Result[int, Failure]:
        """Return when the claim expires; 0 for a call without a claim."""
        incarnation = headers.get(INCARNATION_HEADER, self._incarnation)
        if incarnation != self._incarnation:
            return Err(failure(Code.WRONG_INCARNATION))
        if ATTEMPT_HEADER not in headers:
            return Success(0)
        expires = headers.get(EXPIRES_HEADER, "")
        expires_ms = parse_count(expires)
        if INCARNATION_HEADER not in headers or expires_ms is None:
            return Err(failure(Code.BAD_HEADER, "an attempt needs all its headers"))
        if expires_ms <= wall_ms:
            return Err(failure(Code.ATTEMPT_VOIDED, "the claim has expired"))
        return Success(expires_ms)

    def _find_or_add(
        self, attempt_id: str, expires_ms: int, wall_ms: int
    ) -> Result[Attempt, Failure]:
        """Return the attempt of an identifier; an unknown one is added."""
        self._remove_expired(wall_ms)
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            return Success(attempt)
        if len(self._attempts) >= MAX_ATTEMPTS:
            return Err(failure(Code.AGENT_OVERLOADED, "", RETRY_AFTER_MS))
        attempt = Attempt(self, attempt_id)
        self._attempts[attempt_id] = attempt
        heapq.heappush(self._expiries, (expires_ms, attempt_id))
        self._metrics.gauge("attempts", len(self._attempts))
        return Success(attempt)

    def _remove_expired(self, wall_ms: int) -> None:
        while self._expiries and self._expiries[0][0] <= wall_ms:
            _, attempt_id = heapq.heappop(self._expiries)
            self._discard_answer(attempt_id)
            self._attempts.pop(attempt_id)


def _begin_attempt(attempt: Attempt) -> Result[Attempt, Failure]:
    """Mark an attempt as running, or return why it may not begin."""
    match attempt.state:
        case AttemptState.AWAITED:
            attempt.set_state(AttemptState.RUNNING)
            return Success(attempt)
        case AttemptState.VOID:
            return Err(failure(Code.ATTEMPT_VOIDED))
        case _:
            return Err(failure(Code.ATTEMPT_REPEATED))
