"""Reads and writes HTTP/1.1 messages byte by byte, also incomplete ones."""

from collections.abc import AsyncIterator, Mapping
from typing import NamedTuple

import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

__all__ = ["Head", "MessageReader", "encode_chunk", "encode_head"]

MAX_HEAD_BYTES = 65_536
END_OF_CHUNKS = b"0\r\n\r\n"


class Head(NamedTuple):
    """First line and headers of a message; names are lower-case."""

    line: str
    headers: Mapping[str, str]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.line.split()[1])


class MessageReader:
    """Reads messages from a connection.

    All methods raise `anyio.EndOfStream`, `anyio.IncompleteRead` or `ValueError` when
    the connection ends or carries something else, and what the connection raises.

    Parameters
    ----------
    stream : anyio.abc.ByteReceiveStream
    """

    def __init__(self, stream: anyio.abc.ByteReceiveStream):
        self._buffered = BufferedByteReceiveStream(stream)

    async def read_head(self) -> Head:
        """Return the next message's first line and headers."""
        data = await self._buffered.receive_until(b"\r\n\r\n", MAX_HEAD_BYTES)
        line, *lines = data.decode("latin-1").split("\r\n")
        pairs = (text.partition(":") for text in lines)
        return Head(line, {name.lower(): value.strip() for name, _, value in pairs})

    async def read_body(self, head: Head) -> bytes:
        """Return the whole body of a message."""
        if "transfer-encoding" in head.headers:
            return b"".join([part async for part in self.iterate_chunks()])
        n_bytes = int(head.headers.get("content-length", 0))
        return await self._buffered.receive_exactly(n_bytes) if n_bytes else b""

    async def iterate_chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of a body up to the last one."""
        while True:
            size = await self._buffered.receive_until(b"\r\n", MAX_HEAD_BYTES)
            n_bytes = int(size.split(b";")[0], 16)
            data = await self._buffered.receive_exactly(n_bytes + 2)
            if not n_bytes:
                return
            yield data[:-2]


def encode_head(line: str, headers: Mapping[str, object]) -> bytes:
    """Return a message's first line and headers as bytes."""
    lines = [line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body as bytes."""
    return b"%x\r\n%b\r\n" % (len(data), data)
