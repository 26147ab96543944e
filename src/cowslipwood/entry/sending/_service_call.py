"""Runs a call of a plain service: attempts until one gives its whole answer."""

from contextlib import aclosing
from typing import NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from .._serving import OpenCall, Serving
from ..choosing._backend import Backend
from ..choosing._router import Attempts
from ..metering._meters import AnswerTiming
from ..taking._caller import Caller
from ._dispatch import Answer, AnswerCutError, Attempt
from ._generation import attempt_headers

__all__ = ["WholeAnswer", "call_service", "read_whole", "run_attempt"]

MAX_HELD_BYTES = 1024 * 1024
_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-cowslip-report",
        "x-request-id",
    )
)


class WholeAnswer(NamedTuple):
    """An answer held whole, or None where it was passed on as it came.

    Parameters
    ----------
    status : int
    headers : dict of str to str
    body : bytes
    """

    status: int
    headers: dict[str, str]
    body: bytes


async def call_service(
    serving: Serving, opened: OpenCall, attempt: Attempt, caller: Caller
) -> Result[WholeAnswer | None, Failure]:
    """Return a service's whole answer, or the request's final refusal.

    An answer over `MAX_HELD_BYTES` is passed to the caller as it comes; the
    result is then None.
    """
    call = opened.call
    attempts = serving.router.begin(call)
    while True:
        chosen = attempts.next(serving.now_ms())
        if isinstance(chosen, Err):
            return chosen
        backend = chosen.unwrap()
        ended = await run_attempt(serving, opened, attempt, backend, attempts, caller)
        if isinstance(ended, Success) or caller.started:
            return ended


async def run_attempt(
    serving: Serving,
    opened: OpenCall,
    attempt: Attempt,
    backend: Backend,
    attempts: Attempts,
    caller: Caller | None,
) -> Result[WholeAnswer | None, Failure]:
    """Run one attempt at one server and record how it ended.

    Parameters
    ----------
    serving : Serving
    opened : OpenCall
    attempt : Attempt
    backend : Backend
        From `Attempts.next`.
    attempts : Attempts
    caller : Caller or None
        Gets an answer that is too large to hold; None holds it whatever its
        size.
    """
    call = opened.call
    began_ms = serving.now_ms()
    headers = {**attempt.headers, **attempt_headers(call, began_ms)}
    ended: Result = Err(failure(Code.BACKEND_TIMEOUT, "the caller's deadline passed"))
    with anyio.move_on_after((call.deadline_ms - began_ms) / 1000):
        with backend.in_flight():
            ended = await _read_answer(
                serving,
                backend,
                attempt._replace(headers=headers),
                caller,
                opened.timing,
            )
    now_ms = serving.now_ms()
    if isinstance(ended, Err):
        attempts.failed(backend, ended.failure(), now_ms)
        return ended
    answer = ended.unwrap()
    if answer is not None and answer.status >= 500:
        attempts.answered_error(backend, now_ms)
    else:
        attempts.succeeded(backend, now_ms - began_ms, now_ms - began_ms, now_ms)
    return ended


async def _read_answer(
    serving: Serving,
    backend: Backend,
    attempt: Attempt,
    caller: Caller | None,
    timing: AnswerTiming,
) -> Result[WholeAnswer | None, Failure]:
    async with serving.dispatcher.send(backend.view, attempt) as sent:
        if isinstance(sent, Err):
            return sent
        answer = sent.unwrap()
        serving.router.take_load_report(backend, answer.report, serving.now_ms())
        timing.count_tokens(1, serving.now_ms())
        if not 200 <= answer.status <= 599:
            message = f"the service answered status {answer.status}"
            return Err(failure(Code.ANSWER_CUT, message))
        try:
            return await read_whole(answer, caller)
        except AnswerCutError as exc:
            return Err(exc.fault)


async def read_whole(
    answer: Answer, caller: Caller | None
) -> Result[WholeAnswer | None, Failure]:
    """Read an answer to its end before any of it is passed on.

    Raises
    ------
    AnswerCutError
        When the body is not whole.
    """
    headers = {k: v for k, v in answer.headers.items() if k not in _HOP_HEADERS}
    held = bytearray()
    async with aclosing(answer.chunks) as chunks:
        async for chunk in chunks:
            if caller is not None and caller.started:
                await caller.write(chunk)
                continue
            held += chunk
            if caller is not None and len(held) > MAX_HELD_BYTES:
                await caller.start(answer.status, headers)
                await caller.write(bytes(held))
    if caller is not None and caller.started:
        await caller.end()
        return Success(None)
    return Success(WholeAnswer(answer.status, headers, bytes(held)))
