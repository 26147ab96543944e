"""One HTTP/1.1 connection to a backend server, used for one request at a time.

httpcore keeps bytes that follow a complete answer and would take them for the
next one, so these connections use h11, which tells of them.
"""

import select
import socket
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

import anyio
import anyio.abc
import h11

from .codes import Code

__all__ = ["AnswerHead", "BrokenAnswerError", "ServerConnection", "connect"]

READ_BYTES = 65_536
# Interim answers before the real one; servers send one or two.
MAX_INTERIM = 8
# A request up to this size fits into the smallest window, so that sending it
# cannot wait for a server that answers before it reads.
INLINE_BODY_BYTES = 4_096
# The kernel gives up a connection whose peer acknowledges nothing for this
# long, and probes an idle one: a host that went dark sends no reset.
SILENT_PEER_MS = 1_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class BrokenAnswerError(Exception):
    """The connection ended, or carried no valid answer, before a whole one came.

    Attributes
    ----------
    code : Code
    """

    def __init__(self, code: Code, reason: str):
        super().__init__(reason)
        self.code = code


class AnswerHead(NamedTuple):
    """Status and headers of an answer; names are lower-case."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]


class ServerConnection:
    """A connection and the state of its one exchange.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
    """

    def __init__(self, stream: anyio.abc.ByteStream):
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        self._unsent: bytes = b""
        self._is_broken = False
        self._closes = False
        self.idle_since_ms = 0.0
        self.n_requests = 0
        self.idle_limit_ms: float | None = None

    async def send(
        self, method: bytes, target: bytes, headers: Sequence, body: bytes
    ) -> None:
        """Send a request; raises BrokenAnswerError when the peer is gone."""
        self.n_requests += 1
        try:
            head = self._http.send(
                h11.Request(method=method, target=target, headers=headers)
            )
            data = self._http.send(h11.Data(data=body)) if body else b""
            end = self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise BrokenAnswerError(Code.BAD_HEADER, str(exc)) from exc
        whole = b"".join((head, data or b"", end or b""))
        self._unsent = whole[INLINE_BODY_BYTES:]
        await self._write(whole[:INLINE_BODY_BYTES])

    async def head(self) -> AnswerHead:
        """Return the answer's status and headers, sending what is left meanwhile."""
        if not self._unsent:
            return await self._head()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_rest)
            head = await self._head()
            tasks.cancel_scope.cancel()
        return head

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises BrokenAnswerError when it is not whole."""
        while True:
            event = await self._event()
            match event:
                case h11.Data():
                    yield bytes(event.data)
                case h11.EndOfMessage():
                    return
                case _:
                    raise self._broken(f"unexpected {type(event).__name__}")

    def reusable(self) -> bool:
        """Return whether the connection may carry another request; readies it."""
        http = self._http
        is_clean = (
            not self._is_broken
            and not self._unsent
            and not self._closes
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
        )
        if is_clean:
            http.start_next_cycle()
        return is_clean

    def has_surplus(self) -> bool:
        """Return whether bytes or an end have come while no answer was due."""
        poll = select.poll()
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def close(self) -> None:
        """Close at once, which also cancels the server's work."""
        self._is_broken = True
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _send_rest(self) -> None:
        while self._unsent:
            part = self._unsent[:READ_BYTES]
            try:
                await self._write(part)
            except BrokenAnswerError:
                return  # the server may have answered before it stopped reading
            self._unsent = self._unsent[len(part) :]

    async def _head(self) -> AnswerHead:
        for _ in range(MAX_INTERIM + 1):
            event = await self._event()
            match event:
                case h11.Response():
                    self._note(event)
                    return AnswerHead(event.status_code, list(event.headers))
                case h11.InformationalResponse():
                    continue
                case _:
                    raise self._broken(f"unexpected {type(event).__name__}")
        raise self._broken(f"more than {MAX_INTERIM} interim answers")

    def _note(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name == b"connection" and b"close" in value.lower():
                self._closes = True
            elif name == b"keep-alive":
                self.idle_limit_ms = _keep_alive_ms(value)

    async def _event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._broken(str(exc)) from exc
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._read())
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise self._broken("the connection ended")
            return event

    async def _read(self) -> bytes:
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise self._broken(f"reset: {type(exc).__name__}") from exc

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise self._broken(f"reset: {type(exc).__name__}") from exc

    def _broken(self, reason: str) -> BrokenAnswerError:
        self._is_broken = True
        return BrokenAnswerError(Code.ANSWER_CUT, reason)


async def connect(host: str, port: int, timeout_ms: float) -> ServerConnection | None:
    """Open a connection; None when it is not made in time, so nothing was sent."""
    try:
        with anyio.fail_after(timeout_ms / 1000):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError):
        return None
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, SILENT_PEER_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return ServerConnection(stream)


def _keep_alive_ms(value: bytes) -> float | None:
    """Return the idle time that a ``Keep-Alive`` header states."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return int(seconds) * 1000.0
    return None
