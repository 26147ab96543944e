"""Runs a completion: attempts, resumed where an engine failed on the way."""

import math
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from typing import NamedTuple

import anyio
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ...catalogue import ServiceClass
from ...kernel.codes import Code, Failure, failure
from .._serving import Serving
from ..choosing._backend import Backend
from ..taking._call import Call, begun_call
from ._dispatch import Answer, AnswerCutError, Attempt
from ._events import Chunk, read_chunks

__all__ = [
    "Finish",
    "Generation",
    "attempt_headers",
    "deliver_answer",
    "generate",
]

MIN_SILENCE_MS = 10_000.0
SILENCE_FACTOR = 4.0
_PRIORITY = {
    ServiceClass.URGENT: 0,
    ServiceClass.STANDARD: 1,
    ServiceClass.BATCH: 2,
}

Deliver = Callable[[list[Chunk]], Awaitable[None]]


class Generation(NamedTuple):
    """What an engine is to write.

    Parameters
    ----------
    call : Call
    prompt : str
    max_tokens : int
    """

    call: Call
    prompt: str
    max_tokens: int


class Finish(NamedTuple):
    """How a whole answer ended.

    Parameters
    ----------
    n_tokens : int
    reason : str
        stop or length.
    """

    n_tokens: int
    reason: str


class _Progress:
    """What has been delivered to the caller so far."""

    def __init__(self):
        self.n_tokens = 0
        self.finish_reason = ""


async def generate(
    serving: Serving, generation: Generation, deliver: Deliver
) -> Result[Finish, Failure]:
    """Deliver each token of a completion, in order and once.

    Tokens that come at once are delivered at once.

    When an attempt fails on the way, the next one resumes after the tokens
    that were delivered. The result's failure is the caller's final answer.
    """
    call = generation.call
    attempts = serving.router.start_attempts(call)
    progress = _Progress()
    while True:
        chosen = attempts.next_server(serving.now_ms())
        if isinstance(chosen, Err):
            return chosen
        backend = chosen.unwrap()
        if progress.n_tokens:
            serving.metrics.count("resumes_total")
        began_ms = serving.now_ms()
        ended = await _within_deadline(serving, generation, backend, progress, deliver)
        now_ms = serving.now_ms()
        if isinstance(ended, Err):
            attempts.record_failure(backend, ended.failure(), now_ms)
            if progress.n_tokens:
                attempts.continue_answer()
                generation = generation._replace(call=begun_call(call))
            continue
        attempts.record_success(
            backend, ended.unwrap() - began_ms, now_ms - began_ms, now_ms
        )
        return Success(_finish(generation, progress))


def attempt_headers(call: Call, now_ms: float) -> dict[str, str]:
    """Return the headers that tell an agent whose attempt this is and its times."""
    headers = {
        "x-request-id": call.request_id,
        "x-cowslip-class": call.entry.service_class.value,
    }
    if math.isfinite(call.first_by_ms):
        left_ms = max(1, math.ceil(call.first_by_ms - now_ms))
        headers["x-deadline-ms"] = str(left_ms)
    return headers


async def _within_deadline(
    serving: Serving,
    generation: Generation,
    backend: Backend,
    progress: _Progress,
    deliver: Deliver,
) -> Result[float, Failure]:
    left_ms = generation.call.deadline_ms - serving.now_ms()
    with anyio.move_on_after(left_ms / 1000):
        with backend.in_flight():
            return await _attempt(serving, generation, backend, progress, deliver)
    return Err(failure(Code.BACKEND_TIMEOUT, "the caller's deadline passed"))


async def _attempt(
    serving: Serving,
    generation: Generation,
    backend: Backend,
    progress: _Progress,
    deliver: Deliver,
) -> Result[float, Failure]:
    """Run one attempt to its end; return when its first token came."""
    attempt = _make_attempt(generation, progress.n_tokens, serving.now_ms())
    first_at_ms = 0.0

    async def deliver_timed(chunks: list[Chunk]) -> None:
        nonlocal first_at_ms
        first_at_ms = first_at_ms or serving.now_ms()
        await deliver(chunks)

    async with serving.dispatcher.send(backend.view, attempt) as sent:
        if isinstance(sent, Err):
            return sent
        answer = sent.unwrap()
        serving.router.take_load_report(backend, answer.report, serving.now_ms())
        if answer.status != 200:
            message = f"the engine answered status {answer.status}"
            return Err(failure(Code.OUTCOME_UNKNOWN, message))
        try:
            await _deliver_rest(generation, answer, progress, deliver_timed)
        except AnswerCutError as exc:
            return Err(exc.fault)
    return Success(first_at_ms or serving.now_ms())


async def deliver_answer(
    generation: Generation, answer: Answer, deliver: Deliver
) -> Finish:
    """Deliver one answer from its first token to its end.

    Raises
    ------
    AnswerCutError
        When the answer is not whole.
    """
    progress = _Progress()
    await _deliver_rest(generation, answer, progress, deliver)
    return _finish(generation, progress)


async def _deliver_rest(
    generation: Generation, answer: Answer, progress: _Progress, deliver: Deliver
) -> None:
    batches = read_chunks(
        answer,
        generation.call.request_id,
        progress.n_tokens,
        generation.max_tokens,
    )
    async with aclosing(batches):
        async for chunks in batches:
            progress.n_tokens += len(chunks)
            progress.finish_reason = chunks[-1].finish_reason
            await deliver(chunks)


def _make_attempt(generation: Generation, n_done: int, now_ms: float) -> Attempt:
    """Return the attempt that goes on after the first `n_done` tokens."""
    call = generation.call
    body = {
        "request_id": call.request_id,
        "model": call.entry.name,
        "version": call.entry.version,
        "prompt": generation.prompt,
        "max_tokens": generation.max_tokens,
        "priority": _PRIORITY[call.entry.service_class],
        "resume_tokens": n_done,
    }
    headers = attempt_headers(call, now_ms)
    headers["content-type"] = "application/json"
    silence_ms = SILENCE_FACTOR * call.entry.limits.first_token_ms
    read_timeout_ms = max(MIN_SILENCE_MS, silence_ms)
    return Attempt(
        "POST", "/v1/completions", headers, orjson.dumps(body), read_timeout_ms
    )


def _finish(generation: Generation, progress: _Progress) -> Finish:
    reached = progress.n_tokens >= generation.max_tokens
    reason = progress.finish_reason or ("length" if reached else "stop")
    return Finish(progress.n_tokens, reason)
