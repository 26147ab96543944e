"""A pool of HTTP connections to backend servers."""

from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from .clock import monotonic_ms
from .codes import Code, Failure, failure
from .http_connection import BrokenAnswerError, ServerConnection, open_connection
from .settings import parse_address

__all__ = ["ConnectionPool", "WholeAnswer", "exchange_on"]

# Share of the server's own idle timeout after which an idle connection is not used
# again. If the server closes a connection while a request is sent on it, the
# outcome of the request is unknown; so the connection is closed well before that.
IDLE_LIMIT_SHARE = 0.5
# Time in milliseconds after which an idle connection is not used again if the
# server states no idle timeout.
DEFAULT_MAX_IDLE_MS = 2_000.0
# Time in milliseconds for opening a connection. Within a zone it takes about one
# millisecond; a host that has not answered for this long is unreachable, and the
# request can still go to another server.
CONNECT_TIMEOUT_MS = 250.0
# Largest body that `ConnectionPool.exchange` reads by default; lists of thousands of
# servers are smaller.
MAX_BODY_BYTES = 4 * 1024 * 1024


class WholeAnswer(NamedTuple):
    """An answer with its complete body."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


class ConnectionPool:
    """Idle connections by address; the most recently used one is used first."""

    def __init__(self):
        self._idle_by_addr: dict[str, list[ServerConnection]] = defaultdict(list)

    async def acquire(
        self, addr: str, now_ms: float, timeout_ms: float, is_kept_allowed: bool = True
    ) -> ServerConnection | None:
        """Return an idle or new connection; None when no connection can be opened.

        Parameters
        ----------
        addr : str
        now_ms : float
        timeout_ms : float
            Longest time for opening a connection.
        is_kept_allowed : bool
            Whether a connection that has carried other requests will do.
        """
        if is_kept_allowed:
            conn = await self._take_idle(addr, now_ms)
            if conn is not None:
                return conn
        host, port = parse_address(addr)
        conn = await open_connection(host, port, min(CONNECT_TIMEOUT_MS, timeout_ms))
        if conn is not None:
            conn.opened_at_ms = monotonic_ms()
        return conn

    async def exchange(
        self,
        addr: str,
        method: str,
        target: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        now_ms: float,
        timeout_ms: float,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> Result[WholeAnswer, Failure]:
        """Send a small request and read the complete answer.

        Fails with BACKEND_UNREACHABLE when nothing was sent. Fails otherwise with
        BACKEND_TIMEOUT or ANSWER_CUT; the server may then have carried out the
        request.
        """
        conn = await self.acquire(addr, now_ms, timeout_ms)
        if conn is None:
            return Err(failure(Code.BACKEND_UNREACHABLE, addr))
        raw_headers = [(b"host", addr.encode()), *headers]
        if body:
            raw_headers.append((b"content-length", str(len(body)).encode()))
        answer = await exchange_on(
            conn, method, target, raw_headers, body, timeout_ms, max_body_bytes
        )
        if not isinstance(answer, Err):
            await self.release(addr, conn, now_ms)
        return answer

    async def release(self, addr: str, conn: ServerConnection, now_ms: float) -> None:
        """Take back a connection whose exchange has ended, or close it.

        It is closed when it cannot carry another request.
        """
        if not conn.prepare_for_reuse():
            await conn.close()
            return
        conn.idle_since_ms = now_ms
        self._idle_by_addr[addr].append(conn)

    async def close_expired(self, listed_addrs: set[str], now_ms: float) -> None:
        """Close connections that were idle too long or lead to unlisted servers."""
        expired = []
        for addr, idle in list(self._idle_by_addr.items()):
            kept = []
            for conn in idle:
                is_kept = addr in listed_addrs and now_ms < _idle_until_ms(conn)
                (kept if is_kept else expired).append(conn)
            if kept:
                self._idle_by_addr[addr] = kept
            else:
                del self._idle_by_addr[addr]
        await _close_all(expired)

    async def _take_idle(self, addr: str, now_ms: float) -> ServerConnection | None:
        """Remove and return a usable idle connection; None when there is none.

        The lists change only between two awaits, so that no other task finds a
        connection that this one has taken.
        """
        unusable = []
        taken = None
        idle = self._idle_by_addr[addr]
        while idle and taken is None:
            conn = idle.pop()
            if now_ms < _idle_until_ms(conn) and not conn.has_unexpected_data():
                taken = conn
            else:
                unusable.append(conn)
        await _close_all(unusable)
        return taken

    async def close(self) -> None:
        """Close every idle connection."""
        await self.close_expired(set(), 0.0)


async def exchange_on(
    conn: ServerConnection,
    method: str,
    target: str,
    headers: Sequence[tuple[bytes, bytes]],
    body: bytes,
    timeout_ms: float,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Result[WholeAnswer, Failure]:
    """Send a small request on a connection and read the complete answer.

    Fails with BACKEND_TIMEOUT or ANSWER_CUT, and then closes the connection.
    """
    try:
        with anyio.fail_after(timeout_ms / 1000):
            await conn.send(method.encode(), target.encode(), headers, body)
            head = await conn.receive_head()
            data = await _read_body(conn, max_body_bytes)
    except TimeoutError:
        await conn.close()
        return Err(failure(Code.BACKEND_TIMEOUT, target))
    except BrokenAnswerError as exc:
        await conn.close()
        return Err(failure(Code.ANSWER_CUT, f"{target}: {exc}"))
    except BaseException:
        await conn.close()
        raise
    return Success(WholeAnswer(head.status, head.headers, data))


async def _close_all(conns: Sequence[ServerConnection]) -> None:
    for conn in conns:
        await conn.close()


async def _read_body(conn: ServerConnection, max_bytes: int) -> bytes:
    data = bytearray()
    async for chunk in conn.receive_body():
        data += chunk
        if len(data) > max_bytes:
            reason = f"an answer of over {max_bytes} bytes"
            raise BrokenAnswerError(Code.ANSWER_CUT, reason)
    return bytes(data)


def _idle_until_ms(conn: ServerConnection) -> float:
    server_limit_ms = conn.idle_limit_ms
    max_idle_ms = (
        DEFAULT_MAX_IDLE_MS
        if server_limit_ms is None
        else server_limit_ms * IDLE_LIMIT_SHARE
    )
    return conn.idle_since_ms + max_idle_ms
