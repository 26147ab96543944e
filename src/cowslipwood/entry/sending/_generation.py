"""Runs a completion; when an engine fails, another one resumes it."""

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
from .._components import EntryComponents
from ..choosing._backend import Backend
from ..receiving._call import Call, lift_first_token_deadline
from ._dispatcher import Answer, AnswerCutError, Attempt
from ._token_stream import GeneratedToken, read_tokens

__all__ = [
    "GenerationResult",
    "Generation",
    "make_attempt_headers",
    "deliver_answer",
    "generate",
]

# Shortest read timeout of an attempt at an engine, in milliseconds.
MIN_READ_TIMEOUT_MS = 10_000.0
# Read timeout of an attempt, as a multiple of the entry's first-token limit.
READ_TIMEOUT_FACTOR = 4.0
# Priority that the engine is given for a request, by class; 0 is served first.
_ENGINE_PRIORITY = {
    ServiceClass.URGENT: 0,
    ServiceClass.STANDARD: 1,
    ServiceClass.BATCH: 2,
}

DeliverTokens = Callable[[list[GeneratedToken]], Awaitable[None]]


class Generation(NamedTuple):
    """The completion that an engine is asked for.

    Parameters
    ----------
    call : Call
    prompt : str
    max_tokens : int
    """

    call: Call
    prompt: str
    max_tokens: int


class GenerationResult(NamedTuple):
    """How a complete answer ended.

    Parameters
    ----------
    n_tokens : int
    finish_reason : str
        The engine's reason; without one, ``length`` at the token limit and
        ``stop`` below it.
    """

    n_tokens: int
    finish_reason: str


class _Progress:
    """The tokens that have been delivered to the caller so far."""

    def __init__(self):
        self.n_tokens = 0
        self.finish_reason = ""


async def generate(
    components: EntryComponents, generation: Generation, deliver: DeliverTokens
) -> Result[GenerationResult, Failure]:
    """Deliver each token of a completion once and in order.

    Tokens that arrive together are delivered in one call. When an attempt fails,
    the next one resumes after the tokens already delivered. A failure that is
    returned is the caller's final answer.
    """
    call = generation.call
    attempts = components.router.start_attempts(call)
    progress = _Progress()
    while True:
        choice = attempts.next_server(components.now_ms())
        if isinstance(choice, Err):
            return choice
        backend = choice.unwrap()
        if progress.n_tokens:
            components.metrics.count("resumes_total")
        started_ms = components.now_ms()
        attempt_result = await _attempt_within_deadline(
            components, generation, backend, progress, deliver
        )
        now_ms = components.now_ms()
        if isinstance(attempt_result, Err):
            attempts.record_failure(backend, attempt_result.failure(), now_ms)
            if progress.n_tokens:
                attempts.continue_answer()
                generation = generation._replace(call=lift_first_token_deadline(call))
            continue
        attempts.record_success(
            backend, attempt_result.unwrap() - started_ms, now_ms - started_ms, now_ms
        )
        return Success(_make_result(generation, progress))


def make_attempt_headers(call: Call, now_ms: float) -> dict[str, str]:
    """Return the headers that give an agent the request's id, class and deadline.

    The deadline is sent as the milliseconds left until the answer has to begin.
    """
    headers = {
        "x-request-id": call.request_id,
        "x-cowslip-class": call.entry.service_class.value,
    }
    if math.isfinite(call.first_token_due_ms):
        remaining_ms = max(1, math.ceil(call.first_token_due_ms - now_ms))
        headers["x-deadline-ms"] = str(remaining_ms)
    return headers


async def _attempt_within_deadline(
    components: EntryComponents,
    generation: Generation,
    backend: Backend,
    progress: _Progress,
    deliver: DeliverTokens,
) -> Result[float, Failure]:
    remaining_ms = generation.call.deadline_ms - components.now_ms()
    with anyio.move_on_after(remaining_ms / 1000):
        with backend.track_request():
            return await _run_attempt(
                components, generation, backend, progress, deliver
            )
    return Err(failure(Code.BACKEND_TIMEOUT, "the caller's deadline passed"))


async def _run_attempt(
    components: EntryComponents,
    generation: Generation,
    backend: Backend,
    progress: _Progress,
    deliver: DeliverTokens,
) -> Result[float, Failure]:
    """Run one attempt to its end; return the time of its first token."""
    attempt = _make_attempt(generation, progress.n_tokens, components.now_ms())
    first_token_at_ms = 0.0

    async def deliver_timed(tokens: list[GeneratedToken]) -> None:
        nonlocal first_token_at_ms
        first_token_at_ms = first_token_at_ms or components.now_ms()
        await deliver(tokens)

    async with components.dispatcher.send(backend.view, attempt) as sent:
        if isinstance(sent, Err):
            return sent
        answer = sent.unwrap()
        components.router.apply_load_report(
            backend, answer.load_report, components.now_ms()
        )
        if answer.status != 200:
            message = f"the engine answered status {answer.status}"
            return Err(failure(Code.OUTCOME_UNKNOWN, message))
        try:
            await _deliver_remaining(generation, answer, progress, deliver_timed)
        except AnswerCutError as exc:
            return Err(exc.fault)
    return Success(first_token_at_ms or components.now_ms())


async def deliver_answer(
    generation: Generation, answer: Answer, deliver: DeliverTokens
) -> GenerationResult:
    """Deliver all tokens of one answer.

    Raises
    ------
    AnswerCutError
        When the answer is incomplete.
    """
    progress = _Progress()
    await _deliver_remaining(generation, answer, progress, deliver)
    return _make_result(generation, progress)


async def _deliver_remaining(
    generation: Generation, answer: Answer, progress: _Progress, deliver: DeliverTokens
) -> None:
    token_batches = read_tokens(
        answer,
        generation.call.request_id,
        progress.n_tokens,
        generation.max_tokens,
    )
    async with aclosing(token_batches):
        async for tokens in token_batches:
            progress.n_tokens += len(tokens)
            progress.finish_reason = tokens[-1].finish_reason
            await deliver(tokens)


def _make_attempt(generation: Generation, n_delivered: int, now_ms: float) -> Attempt:
    """Return an attempt that resumes after the first `n_delivered` tokens."""
    call = generation.call
    body = {
        "request_id": call.request_id,
        "model": call.entry.name,
        "version": call.entry.version,
        "prompt": generation.prompt,
        "max_tokens": generation.max_tokens,
        "priority": _ENGINE_PRIORITY[call.entry.service_class],
        "resume_tokens": n_delivered,
    }
    headers = make_attempt_headers(call, now_ms)
    headers["content-type"] = "application/json"
    first_token_timeout_ms = READ_TIMEOUT_FACTOR * call.entry.limits.first_token_ms
    read_timeout_ms = max(MIN_READ_TIMEOUT_MS, first_token_timeout_ms)
    return Attempt(
        "POST", "/v1/completions", headers, orjson.dumps(body), read_timeout_ms
    )


def _make_result(generation: Generation, progress: _Progress) -> GenerationResult:
    is_at_limit = progress.n_tokens >= generation.max_tokens
    finish_reason = progress.finish_reason or ("length" if is_at_limit else "stop")
    return GenerationResult(progress.n_tokens, finish_reason)
