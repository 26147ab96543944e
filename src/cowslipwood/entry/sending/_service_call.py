"""Runs a call of a plain service: attempts until one returns a complete answer."""

from contextlib import aclosing
from typing import NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from .._components import AdmittedCall, EntryComponents
from ..choosing._backend import Backend
from ..choosing._router import AttemptSequence
from ..metering._meters import AnswerTiming
from ..receiving._answer_writer import AnswerWriter
from ._dispatcher import Answer, AnswerCutError, Attempt
from ._generation import make_attempt_headers

__all__ = ["CompleteAnswer", "call_service", "read_complete_answer", "run_attempt"]

# Answers up to this size are read to their end before any of it is sent to the
# caller, so that an incomplete one can still be retried or refused.
MAX_BUFFERED_BYTES = 1024 * 1024
# Headers that belong to one connection or that the entry sets itself.
_UNFORWARDED_HEADERS = frozenset(
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


class CompleteAnswer(NamedTuple):
    """An answer whose body has been read to its end.

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
    components: EntryComponents,
    admitted: AdmittedCall,
    attempt: Attempt,
    writer: AnswerWriter,
) -> Result[CompleteAnswer | None, Failure]:
    """Return a service's complete answer, or the request's final refusal.

    An answer over `MAX_BUFFERED_BYTES` is sent to the caller while it arrives; the
    result is then None.
    """
    call = admitted.call
    attempts = components.router.start_attempts(call)
    while True:
        choice = attempts.next_server(components.now_ms())
        if isinstance(choice, Err):
            return choice
        backend = choice.unwrap()
        result = await run_attempt(
            components, admitted, attempt, backend, attempts, writer
        )
        if isinstance(result, Success) or writer.started:
            return result


async def run_attempt(
    components: EntryComponents,
    admitted: AdmittedCall,
    attempt: Attempt,
    backend: Backend,
    attempts: AttemptSequence,
    writer: AnswerWriter | None,
) -> Result[CompleteAnswer | None, Failure]:
    """Run one attempt at one server and tell `attempts` how it ended.

    Parameters
    ----------
    components : EntryComponents
    admitted : AdmittedCall
    attempt : Attempt
    backend : Backend
        From `AttemptSequence.next_server`.
    attempts : AttemptSequence
    writer : AnswerWriter or None
        Sends an answer that is too large to buffer; if None, an answer of any
        size is buffered.
    """
    call = admitted.call
    started_ms = components.now_ms()
    headers = {**attempt.headers, **make_attempt_headers(call, started_ms)}
    result: Result = Err(failure(Code.BACKEND_TIMEOUT, "the caller's deadline passed"))
    with anyio.move_on_after((call.deadline_ms - started_ms) / 1000):
        with backend.track_request():
            result = await _send_and_read(
                components,
                backend,
                attempt._replace(headers=headers),
                writer,
                admitted.timing,
            )
    now_ms = components.now_ms()
    if isinstance(result, Err):
        attempts.record_failure(backend, result.failure(), now_ms)
        return result
    answer = result.unwrap()
    if answer is not None and answer.status >= 500:
        attempts.record_error_answer(backend, now_ms)
    else:
        attempts.record_success(
            backend, now_ms - started_ms, now_ms - started_ms, now_ms
        )
    return result


async def _send_and_read(
    components: EntryComponents,
    backend: Backend,
    attempt: Attempt,
    writer: AnswerWriter | None,
    timing: AnswerTiming,
) -> Result[CompleteAnswer | None, Failure]:
    async with components.dispatcher.send(backend.view, attempt) as sent:
        if isinstance(sent, Err):
            return sent
        answer = sent.unwrap()
        components.router.apply_load_report(
            backend, answer.load_report, components.now_ms()
        )
        timing.count_tokens(1, components.now_ms())
        if not 200 <= answer.status <= 599:
            message = f"the service answered status {answer.status}"
            return Err(failure(Code.ANSWER_CUT, message))
        try:
            return await read_complete_answer(answer, writer)
        except AnswerCutError as exc:
            return Err(exc.fault)


async def read_complete_answer(
    answer: Answer, writer: AnswerWriter | None
) -> Result[CompleteAnswer | None, Failure]:
    """Read an answer to its end.

    An answer over `MAX_BUFFERED_BYTES` is sent to `writer`, if there is one, while
    it arrives; the result is then None.

    Raises
    ------
    AnswerCutError
        When the body is incomplete.
    """
    headers = {k: v for k, v in answer.headers.items() if k not in _UNFORWARDED_HEADERS}
    buffer = bytearray()
    async with aclosing(answer.chunks) as chunks:
        async for chunk in chunks:
            if writer is not None and writer.started:
                await writer.write(chunk)
                continue
            buffer += chunk
            if writer is not None and len(buffer) > MAX_BUFFERED_BYTES:
                await writer.start(answer.status, headers)
                await writer.write(bytes(buffer))
    if writer is not None and writer.started:
        await writer.end()
        return Success(None)
    return Success(CompleteAnswer(answer.status, headers, bytes(buffer)))
