"""One HTTP/1.1 connection to a backend server, used for one request at a time.

httpcore keeps bytes that follow a complete answer and would read them as the start
of the next answer. These connections use h11 instead, which reports such bytes.
"""

import contextlib
import enum
import re
import select
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import NamedTuple, TypeVar

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from .codes import Code
from .connection_end import has_ended_in_order
from .counts import parse_count

__all__ = [
    "AnswerHead",
    "BodyEnd",
    "BrokenAnswerError",
    "ServerConnection",
    "is_valid_status",
    "names_invalid_status",
    "open_connection",
    "read_body_end",
]

# Largest number of bytes that one read or one write transfers.
MAX_TRANSFER_BYTES = 65_536
# Largest number of interim answers (status 1xx) before the final one; servers send
# one or two.
MAX_INTERIM_ANSWERS = 8
# Largest number of bytes of the answers to earlier requests that are skipped before the
# answer to the current one. Larger answers hardly come late.
MAX_SKIPPED_BYTES = 65_536
# Number of bytes of a request that are sent before the answer is read. This many
# fit into the smallest TCP window, so sending them never blocks on a server that
# answers before it reads the request.
FIRST_SEND_BYTES = 4_096
# Time in milliseconds after which the operating system closes a connection whose
# sent data the peer has not acknowledged; a host that lost power or network sends
# no reset.
UNACKNOWLEDGED_TIMEOUT_MS = 1_500
# Value of SO_LINGER with which closing discards unsent data and resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)
# Time without traffic, in seconds, after which the operating system sends the first
# keepalive probe on a connection.
KEEPALIVE_IDLE_S = 1
# Time in seconds between two keepalive probes.
KEEPALIVE_INTERVAL_S = 1
# Number of unanswered keepalive probes after which the operating system closes a
# connection.
N_KEEPALIVE_PROBES = 2

# Statuses that an answer may have.
VALID_STATUSES = range(100, 600)
# How h11 names a line that it takes for no status line, and a status below 100.
H11_BAD_STATUS_LINE = re.compile(
    r"illegal status line: bytearray\(b['\"]HTTP/\d\.\d(?: +([^ ]*).*)?['\"]\)"
)
H11_LOW_STATUS = re.compile(r"InformationalResponse status_code should be in range")

T = TypeVar("T")


class BrokenAnswerError(Exception):
    """The connection ended or carried invalid data before a complete answer.

    Attributes
    ----------
    code : Code
        The result code of the failed exchange.
    by_server : bool
        Whether the server ended the exchange, or the connection was reset. Otherwise
        the server may still work on the request until it notices the close.
    """

    def __init__(self, code: Code, reason: str, by_server: bool = False):
        super().__init__(reason)
        self.code = code
        self.by_server = by_server


class BodyEnd(enum.StrEnum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CONNECTION_CLOSE = "connection_close"


class AnswerHead(NamedTuple):
    """Status and headers of an answer; header names are lower-case."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]

    @property
    def body_end(self) -> BodyEnd:
        """What marks the end of the body."""
        return read_body_end(self.headers)


class ServerConnection:
    """A connection and the state of its current exchange.

    Parameters
    ----------
    stream : anyio.abc.ByteStream

    Attributes
    ----------
    opened_at_ms : float
        Time at which the connection was open, on `monotonic_ms`.
    idle_since_ms : float
        Time at which the pool got the connection back, on `monotonic_ms`.
    n_requests : int
        Number of requests sent on the connection so far.
    idle_limit_ms : float or None
        Idle time after which the server closes the connection, as its last
        ``Keep-Alive`` header states; None when there was none.
    """

    def __init__(self, stream: anyio.abc.ByteStream):
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        self._unsent: bytes = b""
        # Whether a part of the request is still in the transport's buffer.
        self._is_undrained = False
        self._has_request_body = False
        # Whether only the end of the connection marks the end of the current answer.
        self._is_answer_unframed = False
        self._n_skipped_bytes = 0
        self._has_sent_head_method = False
        self._is_broken = False
        self._server_closes = False
        # Whether the server or its operating system has ended the connection, and
        # whether its end was read; a write that fails tells the first only.
        self._has_ended = False
        self._has_read_end = False
        self.opened_at_ms = 0.0
        self.idle_since_ms = 0.0
        self.n_requests = 0
        self.idle_limit_ms: float | None = None
        self._is_reuse_forbidden = False

    async def send(
        self, method: bytes, target: bytes, headers: Sequence, body: bytes
    ) -> None:
        """Send the start of a request; `receive_head` sends the remainder.

        Raises
        ------
        BrokenAnswerError
            When the connection has ended or the request is not valid HTTP.
        """
        self.n_requests += 1
        self._has_sent_head_method |= method == b"HEAD"
        try:
            head = self._http.send(
                h11.Request(method=method, target=target, headers=headers)
            )
            data = self._http.send(h11.Data(data=body)) if body else b""
            end = self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise BrokenAnswerError(Code.BAD_HEADER, str(exc)) from exc
        request_bytes = b"".join((head, data or b"", end or b""))
        self._has_request_body = bool(body)
        self._is_answer_unframed = False
        self._unsent = request_bytes[FIRST_SEND_BYTES:]
        await self._write(request_bytes[:FIRST_SEND_BYTES])

    async def receive_head(self) -> AnswerHead:
        """Return the answer's status and headers.

        The remainder of the request is sent while the answer is awaited.

        Raises
        ------
        BrokenAnswerError
            When the connection ends, or carries no valid answer, before that.
        """
        return await self._send_during(self._read_head)

    async def skip_answer(self, head: AnswerHead) -> bool:
        """Skip an answer to an earlier request; return whether that was possible.

        The next answer can then be received; the connection carries no further request.
        It is impossible if the answer's end cannot be known, if it is too long, or if a
        part of the request was not sent.

        Raises
        ------
        BrokenAnswerError
            When the connection ends, or carries invalid data, before the answer's end.
        """
        # An answer to HEAD has no body, whatever its headers state.
        if (
            self._has_unsent()
            or self._has_sent_head_method
            or head.body_end is BodyEnd.CONNECTION_CLOSE
        ):
            return False
        self.forbid_reuse()
        async for part in self.receive_body():
            self._n_skipped_bytes += len(part)
            if self._n_skipped_bytes > MAX_SKIPPED_BYTES:
                return False
        # h11 reads one answer for each request.
        received, has_ended = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(h11.Request(method="GET", target="/", headers=[("host", "")]))
        self._http.send(h11.EndOfMessage())
        if received:
            self._http.receive_data(received)
        if has_ended:
            self._http.receive_data(b"")
        return True

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the body in parts.

        Without length or chunks, the remainder of the request is sent meanwhile: the
        server may read it before it ends its answer, and if the server has closed, its
        operating system resets the connection.

        Raises
        ------
        BrokenAnswerError
            When the connection ends, or carries invalid data, before the body's end, or
            is reset after an end that alone marks the body's.
        """
        while True:
            event = await self._next_event()
            match event:
                case h11.Data():
                    yield bytes(event.data)
                case h11.EndOfMessage():
                    # A body with a length or chunks ends before its connection.
                    if self._has_read_end:
                        await self._check_orderly_end()
                    return
                case _:
                    raise self._mark_broken(f"unexpected {type(event).__name__}")

    def prepare_for_reuse(self) -> bool:
        """Prepare for another request; return whether there may be one."""
        http = self._http
        is_reusable = (
            not self._is_broken
            and not self._is_reuse_forbidden
            and not self._has_unsent()
            and not self._server_closes
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
        )
        if is_reusable:
            http.start_next_cycle()
        return is_reusable

    def forbid_reuse(self) -> None:
        """Have the connection carry no further request after this one.

        For exchanges after which a late answer could not be told from the next one.
        """
        self._is_reuse_forbidden = True

    def has_unexpected_data(self) -> bool:
        """Return whether an idle connection received bytes or was closed."""
        poll = select.poll()
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def close(self) -> None:
        """Close at once, which also makes the server cancel an open request.

        An exchange that is not complete is reset. A server may take an ordinary close
        for the end of the request alone and go on with its answer, and the operating
        system would go on to deliver what the server has not read yet.
        """
        http = self._http
        if http.our_state is not h11.IDLE and http.their_state is not h11.DONE:
            self._reset_when_closed()
        self._is_broken = True
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    def _reset_when_closed(self) -> None:
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        with contextlib.suppress(OSError):  # The server has reset the connection.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)

    async def _check_orderly_end(self) -> None:
        """Check that the connection was not reset after its end."""
        await self._send_unsent()
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        is_in_order = not self._has_unsent() and await has_ended_in_order(
            sock, self._has_request_body
        )
        if not is_in_order:
            raise self._mark_broken("the connection was reset after its end")

    def _has_unsent(self) -> bool:
        """Return whether the operating system has not taken the whole request yet."""
        return bool(self._unsent) or self._is_undrained

    async def _send_during(self, receive: Callable[[], Awaitable[T]]) -> T:
        """Receive a part of the answer, and send the request on until it arrives."""
        if not self._has_unsent():
            return await receive()
        broken: BrokenAnswerError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_unsent)
            try:
                received = await receive()
            except BrokenAnswerError as exc:
                # A task group would raise it inside an exception group.
                broken = exc
            tasks.cancel_scope.cancel()
        if broken is not None:
            raise broken
        return received

    async def _send_unsent(self) -> None:
        """Send the remainder of the request; may be cancelled and called again."""
        while self._has_unsent():
            try:
                # An empty write waits until the transport has sent the last part.
                await self._write(b"")
                self._is_undrained = False
                if not self._unsent:
                    return
                # A write to an empty transport takes the whole part before it waits, so
                # a part that is cancelled from here on has been taken.
                await anyio.lowlevel.checkpoint_if_cancelled()
                part = self._unsent[:MAX_TRANSFER_BYTES]
                self._unsent = self._unsent[len(part) :]
                self._is_undrained = True
                await self._write(part)
                self._is_undrained = False
            except BrokenAnswerError:
                # The server may have answered before it stopped reading, so the
                # answer is still awaited.
                return

    async def _read_head(self) -> AnswerHead:
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            match event:
                case h11.Response():
                    if not is_valid_status(event.status_code):
                        reason = f"the status {event.status_code}"
                        raise self._mark_broken(reason, Code.BAD_STATUS)
                    self._record_connection_headers(event)
                    head = AnswerHead(event.status_code, list(event.headers))
                    self._is_answer_unframed = head.body_end is BodyEnd.CONNECTION_CLOSE
                    return head
                case h11.InformationalResponse():
                    continue
                case _:
                    raise self._mark_broken(f"unexpected {type(event).__name__}")
        raise self._mark_broken(f"more than {MAX_INTERIM_ANSWERS} interim answers")

    def _record_connection_headers(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name == b"connection" and b"close" in value.lower():
                self._server_closes = True
            elif name == b"keep-alive":
                self.idle_limit_ms = _parse_keep_alive_ms(value)

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                code = Code.ANSWER_CUT
                if names_invalid_status(str(exc)):
                    code = Code.BAD_STATUS
                raise self._mark_broken(str(exc), code) from exc
            if event is h11.NEED_DATA:
                if self._is_answer_unframed:
                    self._http.receive_data(await self._send_during(self._read))
                else:
                    self._http.receive_data(await self._read())
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise self._mark_broken("the connection ended")
            return event

    async def _read(self) -> bytes:
        try:
            return await self._stream.receive(MAX_TRANSFER_BYTES)
        except anyio.EndOfStream:
            self._has_ended = True
            self._has_read_end = True
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise self._mark_lost(exc) from exc

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise self._mark_lost(exc) from exc

    def _mark_lost(self, exc: Exception) -> BrokenAnswerError:
        cause = exc.__cause__ or exc
        # A connection that timed out, or whose host is out of reach, was not ended.
        self._has_ended |= isinstance(cause, ConnectionError)
        return self._mark_broken(f"lost: {type(cause).__name__}")

    def _mark_broken(
        self, reason: str, code: Code = Code.ANSWER_CUT
    ) -> BrokenAnswerError:
        self._is_broken = True
        return BrokenAnswerError(code, reason, self._has_ended)


def is_valid_status(status: int) -> bool:
    """Return whether an answer may have this status."""
    return status in VALID_STATUSES


def names_invalid_status(h11_reason: str) -> bool:
    """Return whether h11 has found an answer malformed because of its status.

    h11 states the reason in the message of its error only. Lines that are not HTTP, or
    have a valid status and another fault, are malformed in another way.
    """
    if H11_LOW_STATUS.match(h11_reason):
        return True
    line = H11_BAD_STATUS_LINE.match(h11_reason)
    if line is None:
        return False
    status = line.group(1) or ""
    is_number = len(status) == 3 and status.isascii() and status.isdigit()
    return not (is_number and is_valid_status(int(status)))


def read_body_end(headers: Sequence[tuple[bytes, bytes]]) -> BodyEnd:
    """Return what marks the end of the body of an answer with these headers."""
    names = {name.lower() for name, _ in headers}
    if b"transfer-encoding" in names:
        return BodyEnd.LAST_CHUNK
    if b"content-length" in names:
        return BodyEnd.LENGTH
    return BodyEnd.CONNECTION_CLOSE


async def open_connection(
    host: str, port: int, timeout_ms: float
) -> ServerConnection | None:
    """Open a connection; None when it failed or timed out, so nothing was sent."""
    try:
        with anyio.fail_after(timeout_ms / 1000):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError):
        return None
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return ServerConnection(stream)


def _parse_keep_alive_ms(value: bytes) -> float | None:
    """Return the idle time that a ``Keep-Alive`` header states; None without one."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            timeout_s = parse_count(seconds.decode("latin-1"))
            return None if timeout_s is None else timeout_s * 1000.0
    return None
