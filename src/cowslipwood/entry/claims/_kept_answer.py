"""Complete answers as they are kept for resends of the same request."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import NamedTuple

import orjson

from ...kernel.event_stream import is_event_stream
from ..sending._dispatcher import Answer

__all__ = ["AnswerRecorder", "KeptAnswer"]

# Largest answer body that is recorded (1 MiB).
MAX_KEPT_BYTES = 1_048_576
# Headers of an answer that are kept with its body.
KEPT_HEADERS = ("content-type", "etag", "location")
_DONE_EVENT = b"data: [DONE]\n\n"


class KeptAnswer(NamedTuple):
    """A complete answer, or the record that there was one.

    Parameters
    ----------
    status : int
    headers : bytes
        JSON list of pairs.
    body : bytes
    is_body_kept : bool
        False when the answer was too large to keep.
    """

    status: int
    headers: bytes
    body: bytes
    is_body_kept: bool = True


class AnswerRecorder:
    """Yields an answer's chunks and records them up to a maximum size.

    Parameters
    ----------
    answer : Answer
    """

    def __init__(self, answer: Answer):
        self._answer = answer
        self._body = bytearray()
        self._n_bytes = 0
        self._is_at_end = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the answer and record them."""
        async with aclosing(self._answer.chunks) as chunks:
            async for chunk in chunks:
                self._n_bytes += len(chunk)
                if self._n_bytes <= MAX_KEPT_BYTES:
                    self._body += chunk
                yield chunk
        self._is_at_end = True

    @property
    def is_complete(self) -> bool:
        """Whether the answer was read to its end, or a stream to ``[DONE]``."""
        headers = [
            (name.encode(), value.encode("latin-1"))
            for name, value in self._answer.headers.items()
        ]
        has_done_event = is_event_stream(
            headers, default=False
        ) and self._body.endswith(_DONE_EVENT)
        return self._is_at_end or has_done_event

    def to_kept_answer(self) -> KeptAnswer:
        """Return the complete answer, without its body if that was too large."""
        is_body_kept = self._n_bytes <= MAX_KEPT_BYTES
        headers = self._answer.headers
        header_pairs = [
            (name, headers[name]) for name in KEPT_HEADERS if name in headers
        ]
        body = bytes(self._body) if is_body_kept else b""
        return KeptAnswer(
            self._answer.status, orjson.dumps(header_pairs), body, is_body_kept
        )
