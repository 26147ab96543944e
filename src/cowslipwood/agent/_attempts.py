"""The attempts of claimed requests at one agent.

Each attempt begins at most once: it is marked before the call to the backend
server, and one that was voided or refused is marked as well, so that a late
duplicate of its dispatch is refused. The whole answer of an attempt is kept, up
to a bound, for an entry that takes over from one that died.

A mark lasts as long as its claim; after that time a dispatch is refused as
expired. Nothing is written to disk: a restarted agent has another incarnation,
refuses dispatches made for the earlier one and says so when asked about them.
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
from ..kernel.messages import AttemptEnd, AttemptQuery
from ..kernel.metrics import Metrics

__all__ = ["Attempt", "AttemptState", "AttemptTable"]

ATTEMPT_HEADER = "x-cowslip-attempt"
INCARNATION_HEADER = "x-cowslip-incarnation"
EXPIRES_HEADER = "x-cowslip-claim-expires-ms"
OUTCOME_HEADER = b"x-cowslip-outcome"
KEPT_HEADERS = frozenset((b"content-type", b"location", b"etag"))

MAX_ATTEMPTS = 50_000
MAX_ANSWER_BYTES = 65_536
MAX_ANSWERS_BYTES = 8 * 1024 * 1024
MAX_WAIT_MS = 60_000
RETRY_AFTER_MS = 1_000


class AttemptState(enum.StrEnum):
    """How far an attempt is."""

    AWAITED = "awaited"
    RUNNING = "running"
    ANSWERED = "answered"
    CUT = "cut"
    VOID = "void"


class Attempt:
    """One attempt; a context manager around its call to the backend server.

    Leaving the context before the answer is whole marks the attempt as cut.
    """

    # Marks are held as long as claims last, and there may be many.
    __slots__ = (
        "_changed",
        "_table",
        "attempt_id",
        "body",
        "headers",
        "kept",
        "state",
        "status",
    )

    def __init__(self, table: "AttemptTable", attempt_id: str):
        self._table = table
        self.attempt_id = attempt_id
        self.state = AttemptState.AWAITED
        self._changed: anyio.Event | None = None
        self.status = 0
        self.headers = b"[]"
        self.body = b""
        self.kept = False

    def __enter__(self) -> "Attempt":
        """Return the attempt."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Mark the attempt as cut unless its answer was whole."""
        if self.state is AttemptState.RUNNING:
            self.move(AttemptState.CUT)

    def move(self, state: AttemptState) -> None:
        """Change the state and wake those who wait for a change."""
        self.state = state
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def wait_while(self, state: AttemptState, limit_ms: int) -> None:
        """Wait until the attempt has left a state, up to a time."""
        with anyio.move_on_after(min(limit_ms, MAX_WAIT_MS) / 1000):
            while self.state is state:
                if self._changed is None:
                    self._changed = anyio.Event()
                await self._changed.wait()

    def make_recording_send(self, send: Any) -> Any:
        """Return an ASGI send that passes the answer on and keeps it.

        A refusal of the agent's own, which carries an outcome, is no answer: it
        marks the attempt as void or cut. Backend servers must not set that
        header.
        """
        chunks: list[bytes] = []
        n_bytes = 0

        async def record(event: dict) -> None:
            nonlocal n_bytes
            if self.state is AttemptState.RUNNING:
                if event["type"] == "http.response.start":
                    self._start(event)
                else:
                    n_bytes += len(event.get("body", b""))
                    if n_bytes <= MAX_ANSWER_BYTES:
                        chunks.append(event.get("body", b""))
                    if not event.get("more_body"):
                        self._end(chunks, n_bytes)
            await send(event)

        return record

    def _start(self, event: dict) -> None:
        headers = [(bytes(name).lower(), bytes(v)) for name, v in event["headers"]]
        outcome = dict(headers).get(OUTCOME_HEADER)
        if outcome == Outcome.NOT_RUN.value.encode():
            self.move(AttemptState.VOID)
        elif outcome is not None:
            self.move(AttemptState.CUT)
        self.status = event["status"]
        self.headers = orjson.dumps(
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in headers
                if name in KEPT_HEADERS
            ]
        )

    def _end(self, chunks: list[bytes], n_bytes: int) -> None:
        if n_bytes <= MAX_ANSWER_BYTES:
            self.body = b"".join(chunks)
            self.kept = True
            self._table.keep(self)
        self.move(AttemptState.ANSWERED)

    def drop_answer(self) -> None:
        """Forget the kept answer, but not that there was one."""
        self.body = b""
        self.kept = False

    def end(self) -> AttemptEnd:
        """Return the message that tells of this attempt."""
        if self.state is not AttemptState.ANSWERED:
            return AttemptEnd(self.state.value)
        return AttemptEnd(
            self.state.value, self.status, self.headers, self.body, self.kept
        )


class AttemptTable:
    """The table of attempts, bounded in attempts and bytes of answers.

    Parameters
    ----------
    server_id : str
    incarnation : str
        Of this agent; another one for each start.
    metrics : Metrics
    """

    def __init__(self, server_id: str, incarnation: str, metrics: Metrics):
        self._server_id = server_id
        self._incarnation = incarnation
        self._metrics = metrics
        self._attempts: dict[str, Attempt] = {}
        self._expiries: list[tuple[int, str]] = []
        self._kept: dict[str, Attempt] = {}
        self._kept_bytes = 0

    def begin(
        self, headers: Mapping[str, str], wall_ms: int
    ) -> Result[Attempt | None, Failure]:
        """Mark the attempt of a call as begun, right before it is forwarded.

        Returns None for a call without an attempt. Fails with BAD_HEADER,
        WRONG_INCARNATION, ATTEMPT_VOIDED, ATTEMPT_REPEATED or AGENT_OVERLOADED.
        """
        checked = self._check(headers, wall_ms)
        if isinstance(checked, Err) or ATTEMPT_HEADER not in headers:
            return checked.map(lambda _: None)
        found = self._find(headers[ATTEMPT_HEADER], checked.unwrap(), wall_ms)
        return found.bind(_begin)

    def refuse(
        self, headers: Mapping[str, str], fault: Failure, wall_ms: int
    ) -> Failure:
        """Mark the attempt of a call that is refused before it began.

        Returns what the caller is told: ATTEMPT_REPEATED in place of `fault`
        when the same attempt has begun already.
        """
        checked = self._check(headers, wall_ms)
        if isinstance(checked, Err) or ATTEMPT_HEADER not in headers:
            return fault
        found = self._find(headers[ATTEMPT_HEADER], checked.unwrap(), wall_ms)
        attempt = found.value_or(None)
        if attempt is None or attempt.state is AttemptState.VOID:
            return fault
        if attempt.state is not AttemptState.AWAITED:
            return failure(Code.ATTEMPT_REPEATED)
        attempt.move(AttemptState.VOID)
        return fault

    async def query(
        self, query: AttemptQuery, wall_ms: int
    ) -> Result[AttemptEnd, Failure]:
        """Tell how an attempt ended; one not begun in time is voided first.

        Fails with WRONG_SERVER or AGENT_OVERLOADED, after which the attempt
        is as it was.
        """
        if query.server_id != self._server_id:
            return Err(failure(Code.WRONG_SERVER))
        if query.incarnation != self._incarnation:
            return Success(AttemptEnd("other-incarnation"))
        found = self._find(query.attempt_id, query.expires_ms, wall_ms)
        if isinstance(found, Err):
            return found
        attempt = found.unwrap()
        await attempt.wait_while(AttemptState.AWAITED, query.void_after_ms)
        if attempt.state is AttemptState.AWAITED:
            attempt.move(AttemptState.VOID)
        await attempt.wait_while(AttemptState.RUNNING, query.wait_ms)
        self._metrics.count("attempt_queries_total", state=attempt.state.value)
        return Success(attempt.end())

    def keep(self, attempt: Attempt) -> None:
        """Count a kept answer and drop the oldest beyond the bound."""
        self._kept[attempt.attempt_id] = attempt
        self._kept_bytes += len(attempt.body)
        while self._kept_bytes > MAX_ANSWERS_BYTES:
            self._drop(next(iter(self._kept)))

    def _drop(self, attempt_id: str) -> None:
        attempt = self._kept.pop(attempt_id, None)
        if attempt is not None:
            self._kept_bytes -= len(attempt.body)
            attempt.drop_answer()

    def _check(self, headers: Mapping[str, str], wall_ms: int) -> Result[int, Failure]:
        """Return when the claim ends; 0 for a call without a claim."""
        incarnation = headers.get(INCARNATION_HEADER, self._incarnation)
        if incarnation != self._incarnation:
            return Err(failure(Code.WRONG_INCARNATION))
        if ATTEMPT_HEADER not in headers:
            return Success(0)
        expires = headers.get(EXPIRES_HEADER, "")
        if INCARNATION_HEADER not in headers or not expires.isdecimal():
            return Err(failure(Code.BAD_HEADER, "an attempt needs all its headers"))
        if int(expires) <= wall_ms:
            return Err(failure(Code.ATTEMPT_VOIDED, "the claim has expired"))
        return Success(int(expires))

    def _find(
        self, attempt_id: str, expires_ms: int, wall_ms: int
    ) -> Result[Attempt, Failure]:
        """Return the attempt of that id, adding it when it is not known."""
        self._expire(wall_ms)
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

    def _expire(self, wall_ms: int) -> None:
        while self._expiries and self._expiries[0][0] <= wall_ms:
            _, attempt_id = heapq.heappop(self._expiries)
            self._drop(attempt_id)
            self._attempts.pop(attempt_id)


def _begin(attempt: Attempt) -> Result[Attempt, Failure]:
    match attempt.state:
        case AttemptState.AWAITED:
            attempt.move(AttemptState.RUNNING)
            return Success(attempt)
        case AttemptState.VOID:
            return Err(failure(Code.ATTEMPT_VOIDED))
        case _:
            return Err(failure(Code.ATTEMPT_REPEATED))
