"""Serves a completion of either kind, as a stream or as one answer."""

import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from .._serving import CallerRequest, OpenCall, Serving, run_claimed
from ..sending._dispatch import Answer, AnswerCutError
from ..sending._events import Chunk
from ..sending._generation import Finish, Generation, deliver_answer, generate
from ..taking._caller import Caller
from ._fields import (
    BadFieldError,
    CompletionFields,
    prefix_hash,
    read_object,
    shared,
)

__all__ = ["Shape", "serve_completion"]


class Shape(Protocol):
    """The JSON shape of one kind of completion."""

    def opening(self) -> dict[str, Any] | None:
        """Return the choice of a stream's first event, if it has its own."""

    def chunk(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the choice of one event of a stream."""

    def whole(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice of a whole answer."""


class Kind(NamedTuple):
    """One kind of completion.

    Parameters
    ----------
    shape : Shape
    whole_object, chunk_object : str
        Names of the JSON objects.
    id_prefix : str
    prompt_of : callable
        Returns the prompt of a body; raises `BadFieldError`.
    """

    shape: Shape
    whole_object: str
    chunk_object: str
    id_prefix: str
    prompt_of: Callable[[dict[str, Any]], str]


class _Writer:
    """Writes the answer of one completion."""

    def __init__(
        self,
        kind: Kind,
        fields: CompletionFields,
        prompt: str,
        request_id: str,
        caller: Caller,
    ):
        self._kind = kind
        self._fields = fields
        self._n_prompt_tokens = len(prompt.split())
        self.caller = caller
        self._id = kind.id_prefix + request_id
        self._created_s = int(time.time())
        self._texts: list[str] = []

    async def tokens(self, chunks: list[Chunk]) -> None:
        """Pass tokens on, or keep them for the whole answer."""
        if not self._fields.stream:
            self._texts += [chunk.text for chunk in chunks]
            return
        shape = self._kind.shape
        choices = [shape.chunk(chunk.text, None) for chunk in chunks]
        if not self.caller.started:
            await self.caller.start_events()
            opening = shape.opening()
            if opening is not None:
                choices.insert(0, opening)
        events = [self._object(self._kind.chunk_object, [each]) for each in choices]
        await self.caller.events(events)

    async def finish(self, finish: Finish) -> None:
        """End a whole answer."""
        shape, usage = self._kind.shape, self._usage(finish)
        if not self._fields.stream:
            choice = shape.whole("".join(self._texts), finish.reason)
            value = self._object(self._kind.whole_object, [choice])
            await self.caller.answer_json({**value, "usage": usage})
            return
        if not self.caller.started:
            await self.caller.start_events()
        last = shape.chunk("", finish.reason)
        events = [self._object(self._kind.chunk_object, [last])]
        if self._fields.include_usage:
            counted = self._object(self._kind.chunk_object, [])
            events.append({**counted, "usage": usage})
        await self.caller.end_events(events)

    async def fail(self, fault: Failure) -> None:
        """Refuse, or break off a stream that has begun."""
        if self.caller.started:
            await self.caller.break_events(fault)
        else:
            await self.caller.refuse(fault)

    def _object(self, name: str, choices: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            "id": self._id,
            "object": name,
            "created": self._created_s,
            "model": self._fields.entry.name,
            "choices": choices,
        }

    def _usage(self, finish: Finish) -> dict[str, int]:
        return {
            "prompt_tokens": self._n_prompt_tokens,
            "completion_tokens": finish.n_tokens,
            "total_tokens": self._n_prompt_tokens + finish.n_tokens,
        }


async def serve_completion(
    kind: Kind, request: CallerRequest, caller: Caller, serving: Serving
) -> None:
    """Check a request, run it and write its answer."""
    checked = read_object(request.http.body).bind(
        lambda body: _check(kind, body, serving)
    )
    if isinstance(checked, Err):
        await caller.refuse(checked.failure())
        return
    fields, prompt = checked.unwrap()
    hashed = prefix_hash(fields.entry, prompt)
    with serving.open_call(request, fields.entry, hashed) as opened:
        if isinstance(opened, Err):
            await caller.refuse(opened.failure())
            return
        writer = _Writer(kind, fields, prompt, request.request_id, caller)
        await _run(request, opened.unwrap(), fields, prompt, writer, serving)


def _check(
    kind: Kind, body: dict[str, Any], serving: Serving
) -> Result[tuple[CompletionFields, str], Failure]:
    try:
        fields = shared(body, serving.view)
        prompt = kind.prompt_of(body)
    except BadFieldError as exc:
        return Err(failure(Code.BAD_FIELD, str(exc)))
    return fields.map(lambda checked: (checked, prompt))


async def _run(
    request: CallerRequest,
    opened: OpenCall,
    fields: CompletionFields,
    prompt: str,
    writer: _Writer,
    serving: Serving,
) -> None:
    timing = opened.timing

    async def deliver(chunks: list[Chunk]) -> None:
        timing.count_tokens(len(chunks), serving.now_ms())
        await writer.tokens(chunks)

    async def work(serving: Serving, opened: OpenCall) -> Result[Finish, Failure]:
        generation = Generation(opened.call, prompt, fields.max_tokens)
        return await generate(serving, generation, deliver)

    async def replay(opened: OpenCall, answer: Answer) -> Result[Finish, Failure]:
        generation = Generation(opened.call, prompt, fields.max_tokens)
        try:
            return Success(await deliver_answer(generation, answer, deliver))
        except AnswerCutError as exc:
            return Err(exc.fault)

    ended = await run_claimed(serving, request, opened, writer.caller, work, replay)
    if isinstance(ended, Err):
        timing.was_refused = True
        await writer.fail(ended.failure())
        return
    await writer.finish(ended.unwrap())
    timing.mark_complete(serving.now_ms())
