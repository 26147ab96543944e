"""HTTP/1.1 over asyncio streams, byte by byte, for stand-ins and clients."""

import asyncio
from typing import NamedTuple

MAX_HEAD_BYTES = 65_536


class Head(NamedTuple):
    """First line and headers of a message; header names are lower-case."""

    line: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.line.split()[1])


class Answer(NamedTuple):
    """What a client got for one request.

    Parameters
    ----------
    status : int or None
        None without a readable head.
    headers : dict of str to str
    body : bytes
    is_complete : bool
        Whether the framing says that the body is whole.
    """

    status: int | None
    headers: dict[str, str]
    body: bytes
    is_complete: bool


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Return the next first line and headers; raises IncompleteReadError at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    line, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (text.partition(":") for text in lines)
    return Head(line, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return the body of a request, with a length or in chunks."""
    if "transfer-encoding" in head.headers:
        return b"".join([chunk async for chunk in iterate_chunks(reader)])
    return await reader.readexactly(int(head.headers.get("content-length", 0)))


async def iterate_chunks(reader: asyncio.StreamReader):
    """Yield chunks up to the last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def encode_head(line: str, headers: dict[str, object]) -> bytes:
    """Return first line and headers as bytes."""
    lines = [line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


END_OF_CHUNKS = b"0\r\n\r\n"


async def request(
    ip: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, object],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection and read its answer to the end."""
    parts: list[bytes] = []
    head: Head | None = None
    is_complete = False
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            if body or method in ("POST", "PUT"):
                headers = {**headers, "Content-Length": len(body)}
            writer.write(encode_head(f"{method} {target} HTTP/1.1", headers) + body)
            head = await read_head(reader)
            if "transfer-encoding" in head.headers:
                async for chunk in iterate_chunks(reader):
                    parts.append(chunk)
                is_complete = True
            elif "content-length" in head.headers:
                size = int(head.headers["content-length"])
                while size > 0 and (part := await reader.read(size)):
                    parts.append(part)
                    size -= len(part)
                is_complete = size == 0
            else:
                while part := await reader.read(65_536):
                    parts.append(part)
                is_complete = True
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        is_complete = False
    finally:
        if writer is not None:
            writer.close()
    if head is None:
        return Answer(None, {}, b"", False)
    return Answer(head.status, head.headers, b"".join(parts), is_complete)
