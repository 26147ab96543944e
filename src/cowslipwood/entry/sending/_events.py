"""Reads an engine's server-sent events and checks them against the request."""

import contextlib
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import anyio
import orjson

from ...kernel.codes import Code, failure
from ._dispatch import Answer, AnswerCutError

__all__ = ["Chunk", "read_chunks"]

MAX_EVENT_BYTES = 1024 * 1024
READ_OUT_MS = 50.0
_DONE = b"[DONE]"


class Chunk(NamedTuple):
    """One token of an answer.

    Parameters
    ----------
    index : int
        Place in the whole answer, from 0.
    text : str
    finish_reason : str
        Why the answer ends here; empty when the engine did not say.
    """

    index: int
    text: str
    finish_reason: str


async def read_chunks(
    answer: Answer, request_id: str, first_index: int, max_tokens: int
) -> AsyncIterator[list[Chunk]]:
    """Yield the chunks of one attempt as they come, several where they come at once.

    Each chunk is the next one of this request.

    Raises
    ------
    AnswerCutError
        ANSWER_CUT when a chunk is foreign, repeated, missing or not readable,
        or the events end without the closing one.
    """
    expected = first_index
    async for events in _events(answer):
        done = _DONE in events
        if done and events[-1] != _DONE:
            raise _cut("an event came after the closing one")
        chunks = [_parse(data, request_id) for data in events if data != _DONE]
        for chunk in chunks:
            if chunk.index != expected or expected >= max_tokens:
                raise _cut(f"got chunk {chunk.index} where {expected} was due")
            expected += 1
        if chunks:
            yield chunks
        if done:
            await _read_out(answer)
            return
    raise _cut("the events ended without the closing one")


async def _events(answer: Answer) -> AsyncIterator[list[bytes]]:
    """Yield the data of the server-sent events that each read completes."""
    buffer = b""
    async for received in answer.chunks:
        buffer += received
        *events, buffer = buffer.split(b"\n\n")
        if events:
            yield [event[5:].strip() for event in events if event.startswith(b"data:")]
        if len(buffer) > MAX_EVENT_BYTES:
            raise _cut(f"an event is over {MAX_EVENT_BYTES} bytes")


async def _read_out(answer: Answer) -> None:
    """Read the end of a whole answer, so that its connection can be used again."""
    with anyio.move_on_after(READ_OUT_MS / 1000):
        with contextlib.suppress(AnswerCutError):
            async for _ in answer.chunks:
                pass


def _parse(data: bytes, request_id: str) -> Chunk:
    try:
        value: Any = orjson.loads(data)
        index = value["index"]
        text = value["text"]
    except (orjson.JSONDecodeError, TypeError, KeyError):
        raise _cut("an event could not be read") from None
    if type(index) is not int or not isinstance(text, str):
        raise _cut("an event has a field of the wrong type")
    if value.get("request_id", request_id) != request_id:
        raise _cut("an event belongs to another request")
    return Chunk(index, text, str(value.get("finish_reason") or ""))


def _cut(message: str) -> AnswerCutError:
    return AnswerCutError(failure(Code.ANSWER_CUT, message))
