"""Whole answers, as the log and the agents keep them for resends."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import NamedTuple

import orjson

from ..sending._dispatcher import Answer

__all__ = ["AnswerCopy", "KeptAnswer"]

MAX_COPY_BYTES = 1_048_576
KEPT_HEADERS = ("content-type", "etag", "location")
_LAST_EVENT = b"data: [DONE]\n\n"


class KeptAnswer(NamedTuple):
    """A whole answer, or that there was one.

    Parameters
    ----------
    status : int
    headers : bytes
        JSON list of pairs.
    body : bytes
    is_kept : bool
        False when the answer was too large to keep.
    """

    status: int
    headers: bytes
    body: bytes
    is_kept: bool = True


class AnswerCopy:
    """Passes an answer's chunks on and keeps them, up to a bound.

    Parameters
    ----------
    answer : Answer
    """

    def __init__(self, answer: Answer):
        self._answer = answer
        self._body = bytearray()
        self._n_bytes = 0
        self._ended = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the answer."""
        async with aclosing(self._answer.chunks) as chunks:
            async for chunk in chunks:
                self._n_bytes += len(chunk)
                if self._n_bytes <= MAX_COPY_BYTES:
                    self._body += chunk
                yield chunk
        self._ended = True

    @property
    def is_whole(self) -> bool:
        """Whether the answer was read to its end."""
        return self._ended or self._body.endswith(_LAST_EVENT)

    def kept(self) -> KeptAnswer:
        """Return the whole answer."""
        is_kept = self._n_bytes <= MAX_COPY_BYTES
        headers = self._answer.headers
        pairs = [(name, headers[name]) for name in KEPT_HEADERS if name in headers]
        body = bytes(self._body) if is_kept else b""
        return KeptAnswer(self._answer.status, orjson.dumps(pairs), body, is_kept)
