"""Kept connections to backend servers."""

from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from .codes import Code, Failure, failure
from .http_connection import BrokenAnswerError, ServerConnection, connect
from .settings import parse_address

__all__ = ["ConnectionPool", "WholeAnswer"]

# A reset of a kept connection leaves the outcome of a request unknown, so one
# is dropped well before the server's own idle timeout could end it.
IDLE_SHARE = 0.5
DEFAULT_IDLE_MS = 2_000.0
# Within a zone a connection takes about a millisecond; a host that has not
# answered for this long is dark, and the request can still go elsewhere.
CONNECT_TIMEOUT_MS = 250.0
# Of an answer that is read whole: lists and reports of thousands of servers fit.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class WholeAnswer(NamedTuple):
    """An answer that was read to its end."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


class ConnectionPool:
    """Idle connections by address; the one used last is used first."""

    def __init__(self):
        self._idle: dict[str, list[ServerConnection]] = defaultdict(list)

    async def take(
        self, addr: str, now_ms: float, timeout_ms: float
    ) -> ServerConnection | None:
        """Return an idle or new connection; None when none can be made."""
        idle = self._idle[addr]
        while idle:
            conn = idle.pop()
            if now_ms < _idle_until_ms(conn) and not conn.has_surplus():
                return conn
            await conn.close()
        host, port = parse_address(addr)
        return await connect(host, port, min(CONNECT_TIMEOUT_MS, timeout_ms))

    async def exchange(
        self,
        addr: str,
        method: str,
        target: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        now_ms: float,
        timeout_ms: float,
    ) -> Result[WholeAnswer, Failure]:
        """Send one small request and read its whole answer.

        Fails with BACKEND_UNREACHABLE when nothing was sent, else with
        BACKEND_TIMEOUT or ANSWER_CUT, after which it may have been carried out.
        """
        conn = await self.take(addr, now_ms, timeout_ms)
        if conn is None:
            return Err(failure(Code.BACKEND_UNREACHABLE, addr))
        pairs = [(b"host", addr.encode()), *headers]
        if body:
            pairs.append((b"content-length", str(len(body)).encode()))
        try:
            with anyio.fail_after(timeout_ms / 1000):
                await conn.send(method.encode(), target.encode(), pairs, body)
                head = await conn.head()
                data = await _read_whole(conn)
        except TimeoutError:
            await conn.close()
            return Err(failure(Code.BACKEND_TIMEOUT, addr))
        except BrokenAnswerError as exc:
            await conn.close()
            return Err(failure(Code.ANSWER_CUT, f"{addr}: {exc}"))
        except BaseException:
            await conn.close()
            raise
        await self.put(addr, conn, now_ms)
        return Success(WholeAnswer(head.status, head.headers, data))

    async def put(self, addr: str, conn: ServerConnection, now_ms: float) -> None:
        """Keep a connection whose exchange is over, or close it."""
        if not conn.reusable():
            await conn.close()
            return
        conn.idle_since_ms = now_ms
        self._idle[addr].append(conn)

    async def sweep(self, listed: set[str], now_ms: float) -> None:
        """Close what has been idle too long and what leads to unlisted servers."""
        for addr, idle in list(self._idle.items()):
            kept = []
            for conn in idle:
                if addr in listed and now_ms < _idle_until_ms(conn):
                    kept.append(conn)
                else:
                    await conn.close()
            if kept:
                self._idle[addr] = kept
            else:
                del self._idle[addr]

    async def close(self) -> None:
        """Close every idle connection."""
        await self.sweep(set(), 0.0)


async def _read_whole(conn: ServerConnection) -> bytes:
    data = bytearray()
    async for chunk in conn.chunks():
        data += chunk
        if len(data) > MAX_ANSWER_BYTES:
            reason = f"an answer of over {MAX_ANSWER_BYTES} bytes"
            raise BrokenAnswerError(Code.ANSWER_CUT, reason)
    return bytes(data)


def _idle_until_ms(conn: ServerConnection) -> float:
    limit_ms = conn.idle_limit_ms
    share_ms = DEFAULT_IDLE_MS if limit_ms is None else limit_ms * IDLE_SHARE
    return conn.idle_since_ms + share_ms
