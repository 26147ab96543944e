"""Serves text and chat completions, as a stream of events or as one JSON object."""

import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from .._components import AdmittedCall, CallerRequest, EntryComponents, run_with_claim
from ..receiving._answer_writer import AnswerWriter
from ..sending._dispatcher import Answer, AnswerCutError
from ..sending._generation import Generation, GenerationResult, deliver_answer, generate
from ..sending._token_stream import GeneratedToken
from ._completion_fields import (
    BadFieldError,
    CompletionFields,
    hash_prompt_prefix,
    parse_json_object,
    parse_shared_fields,
)

__all__ = ["CompletionShape", "serve_completion"]


class CompletionShape(Protocol):
    """The JSON form of the choices of one kind of completion."""

    def make_first_choice(self) -> dict[str, Any] | None:
        """Return the choice of an event sent before the first token, or None."""

    def make_event_choice(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the choice of one event of a stream."""

    def make_whole_choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice of an answer that is not streamed."""


class CompletionKind(NamedTuple):
    """What differs between text completions and chat completions.

    Parameters
    ----------
    shape : CompletionShape
    whole_object, event_object : str
        Value of the field ``object`` in a whole answer and in a stream's event.
    id_prefix : str
        Start of the field ``id``; the request's id follows.
    read_prompt : callable
        Returns the prompt of a request body; raises `BadFieldError`.
    """

    shape: CompletionShape
    whole_object: str
    event_object: str
    id_prefix: str
    read_prompt: Callable[[dict[str, Any]], str]


class _CompletionWriter:
    """Writes the answer of one completion to its caller."""

    def __init__(
        self,
        kind: CompletionKind,
        fields: CompletionFields,
        prompt: str,
        request_id: str,
        writer: AnswerWriter,
    ):
        self._kind = kind
        self._fields = fields
        self._n_prompt_tokens = len(prompt.split())
        self.writer = writer
        self._id = kind.id_prefix + request_id
        self._created_s = int(time.time())
        self._token_texts: list[str] = []

    async def write_tokens(self, tokens: list[GeneratedToken]) -> None:
        """Send tokens as events, or collect them for an answer that is not streamed."""
        if not self._fields.stream:
            self._token_texts += [token.text for token in tokens]
            return
        shape = self._kind.shape
        choices = [shape.make_event_choice(token.text, None) for token in tokens]
        if not self.writer.started:
            await self.writer.start_events()
            first_choice = shape.make_first_choice()
            if first_choice is not None:
                choices.insert(0, first_choice)
        events = [
            self._make_object(self._kind.event_object, [choice]) for choice in choices
        ]
        await self.writer.write_events(events)

    async def write_end(self, result: GenerationResult) -> None:
        """Send the whole answer, or the last events of a stream."""
        shape, usage = self._kind.shape, self._count_usage(result)
        if not self._fields.stream:
            choice = shape.make_whole_choice(
                "".join(self._token_texts), result.finish_reason
            )
            value = self._make_object(self._kind.whole_object, [choice])
            await self.writer.send_json({**value, "usage": usage})
            return
        if not self.writer.started:
            await self.writer.start_events()
        last_choice = shape.make_event_choice("", result.finish_reason)
        events = [self._make_object(self._kind.event_object, [last_choice])]
        if self._fields.include_usage:
            usage_event = self._make_object(self._kind.event_object, [])
            events.append({**usage_event, "usage": usage})
        await self.writer.end_events(events)

    async def write_failure(self, fault: Failure) -> None:
        """Send a refusal, or an error event if the stream has begun."""
        if self.writer.started:
            await self.writer.abort_events(fault)
        else:
            await self.writer.send_failure(fault)

    def _make_object(self, name: str, choices: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            "id": self._id,
            "object": name,
            "created": self._created_s,
            "model": self._fields.entry.name,
            "choices": choices,
        }

    def _count_usage(self, result: GenerationResult) -> dict[str, int]:
        return {
            "prompt_tokens": self._n_prompt_tokens,
            "completion_tokens": result.n_tokens,
            "total_tokens": self._n_prompt_tokens + result.n_tokens,
        }


async def serve_completion(
    kind: CompletionKind,
    request: CallerRequest,
    writer: AnswerWriter,
    components: EntryComponents,
) -> None:
    """Check a request for a completion, run it and write its answer."""
    fields_and_prompt = parse_json_object(request.http.body).bind(
        lambda body: _parse_body(kind, body, components)
    )
    if isinstance(fields_and_prompt, Err):
        await writer.send_failure(fields_and_prompt.failure())
        return
    fields, prompt = fields_and_prompt.unwrap()
    prefix_hash = hash_prompt_prefix(fields.entry, prompt)
    with components.admit_call(request, fields.entry, prefix_hash) as admitted:
        if isinstance(admitted, Err):
            await writer.send_failure(admitted.failure())
            return
        completion_writer = _CompletionWriter(
            kind, fields, prompt, request.request_id, writer
        )
        await _run_and_write(
            request, admitted.unwrap(), fields, prompt, completion_writer, components
        )


def _parse_body(
    kind: CompletionKind, body: dict[str, Any], components: EntryComponents
) -> Result[tuple[CompletionFields, str], Failure]:
    try:
        fields = parse_shared_fields(body, components.view)
        prompt = kind.read_prompt(body)
    except BadFieldError as exc:
        return Err(failure(Code.BAD_FIELD, str(exc)))
    return fields.map(lambda checked_fields: (checked_fields, prompt))


async def _run_and_write(
    request: CallerRequest,
    admitted: AdmittedCall,
    fields: CompletionFields,
    prompt: str,
    completion_writer: _CompletionWriter,
    components: EntryComponents,
) -> None:
    timing = admitted.timing

    async def deliver(tokens: list[GeneratedToken]) -> None:
        timing.count_tokens(len(tokens), components.now_ms())
        await completion_writer.write_tokens(tokens)

    async def run_request(
        components: EntryComponents, admitted: AdmittedCall
    ) -> Result[GenerationResult, Failure]:
        generation = Generation(admitted.call, prompt, fields.max_tokens)
        return await generate(components, generation, deliver)

    async def replay_answer(
        admitted: AdmittedCall, answer: Answer
    ) -> Result[GenerationResult, Failure]:
        generation = Generation(admitted.call, prompt, fields.max_tokens)
        try:
            return Success(await deliver_answer(generation, answer, deliver))
        except AnswerCutError as exc:
            return Err(exc.fault)

    result = await run_with_claim(
        components,
        request,
        admitted,
        completion_writer.writer,
        run_request,
        replay_answer,
    )
    if isinstance(result, Err):
        timing.has_failed = True
        await completion_writer.write_failure(result.failure())
        return
    await completion_writer.write_end(result.unwrap())
    timing.mark_complete(components.now_ms())
