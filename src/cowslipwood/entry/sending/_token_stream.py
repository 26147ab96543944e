"""Reads tokens from an engine's server-sent events and checks them."""

import contextlib
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import anyio
import orjson

from ...kernel.codes import Code, failure
from ._dispatcher import Answer, AnswerCutError

__all__ = ["GeneratedToken", "read_tokens"]

# Largest event that is buffered while its end has not arrived.
MAX_EVENT_BYTES = 1024 * 1024
# Longest wait for the end of the body after the ``[DONE]`` event, in milliseconds.
DRAIN_BODY_MS = 50.0
_DONE_DATA = b"[DONE]"


class GeneratedToken(NamedTuple):
    """One token of a completion.

    Parameters
    ----------
    index : int
        Position in the whole completion, from 0.
    text : str
    finish_reason : str
        Why the completion ends with this token; empty if the engine sent none.
    """

    index: int
    text: str
    finish_reason: str


async def read_tokens(
    answer: Answer, request_id: str, first_index: int, max_tokens: int
) -> AsyncIterator[list[GeneratedToken]]:
    """Yield the tokens of one attempt, in lists of those that arrived together.

    The tokens of one attempt have consecutive indexes from `first_index`.

    Raises
    ------
    AnswerCutError
        ANSWER_CUT when a token belongs to another request, is repeated, missing
        or malformed, or when the events end without ``[DONE]``.
    """
    expected_index = first_index
    async for payloads in _read_events(answer):
        is_done = _DONE_DATA in payloads
        if is_done and payloads[-1] != _DONE_DATA:
            raise _make_cut_error("an event came after the closing one")
        tokens = [
            _parse_token(data, request_id) for data in payloads if data != _DONE_DATA
        ]
        for token in tokens:
            if token.index != expected_index or expected_index >= max_tokens:
                raise _make_cut_error(
                    f"got chunk {token.index} where {expected_index} was due"
                )
            expected_index += 1
        if tokens:
            yield tokens
        if is_done:
            await _drain_body(answer)
            return
    raise _make_cut_error("the events ended without the closing one")


async def _read_events(answer: Answer) -> AsyncIterator[list[bytes]]:
    """Yield the data of the server-sent events that each read completed."""
    buffer = b""
    async for received in answer.chunks:
        buffer += received
        *payloads, buffer = buffer.split(b"\n\n")
        if payloads:
            yield [
                event[5:].strip() for event in payloads if event.startswith(b"data:")
            ]
        if len(buffer) > MAX_EVENT_BYTES:
            raise _make_cut_error(f"an event is over {MAX_EVENT_BYTES} bytes")


async def _drain_body(answer: Answer) -> None:
    """Read the rest of a complete answer, so that its connection can be reused."""
    with anyio.move_on_after(DRAIN_BODY_MS / 1000):
        with contextlib.suppress(AnswerCutError):
            async for _ in answer.chunks:
                pass


def _parse_token(data: bytes, request_id: str) -> GeneratedToken:
    try:
        value: Any = orjson.loads(data)
        index = value["index"]
        text = value["text"]
    except (orjson.JSONDecodeError, TypeError, KeyError):
        raise _make_cut_error("an event could not be read") from None
    if type(index) is not int or not isinstance(text, str):
        raise _make_cut_error("an event has a field of the wrong type")
    if value.get("request_id", request_id) != request_id:
        raise _make_cut_error("an event belongs to another request")
    return GeneratedToken(index, text, str(value.get("finish_reason") or ""))


def _make_cut_error(message: str) -> AnswerCutError:
    return AnswerCutError(failure(Code.ANSWER_CUT, message))
