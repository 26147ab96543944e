"""HTTP/1.1 connections of clients, with bounds on what is held for each.

uvicorn's connection goes on reading while a response is in progress, and starts the
next response while the previous one is unread. These connections do neither.
"""

import asyncio
import fcntl
import resource
import select
import socket
import struct
import termios
from typing import Any, NamedTuple

import h11
import orjson
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from .byte_budget import ByteBudget, HeldBytes
from .clock import monotonic_ms
from .codes import CODE_INFO, Code, Failure, failure
from .error_body import make_error_body

__all__ = [
    "MAX_CONNECTIONS",
    "ON_BODY_DROPPED",
    "BoundedProtocol",
    "ConnectionBounds",
    "compute_max_connections",
    "encode_refusal",
    "limit_kernel_buffers",
    "make_bounded_protocol",
]

# Largest number of connections of one port, however many descriptors there are.
MAX_CONNECTIONS = 4_000
# Least number of connections of one port.
MIN_CONNECTIONS = 16
# Size of each of the operating system's two buffers of a connection, in bytes. Without
# it they grow to several megabytes, which no budget of this process would prevent.
KERNEL_BUFFER_BYTES = 131_072
# Time, in milliseconds, for which a connection whose request has begun may make no
# progress: twice the idle timeout of usual configs.
STALL_MS = 30_000.0
# Time, in milliseconds, without progress from which a connection may be closed for a
# new one: the header timeout of usual configs.
REPLACEABLE_MS = 3_000.0
# Time, in milliseconds, after which an idle connection may be closed for a new one.
# Clients reuse connections that were idle for up to 12 s.
IDLE_REPLACEABLE_MS = 12_500.0
# Key in the state of a request's scope under which an application finds a function
# without parameters, to be called when it holds the body no more and discards the rest.
ON_BODY_DROPPED = "on_body_dropped"
# Value of SO_LINGER with which a close resets the connection.
RESET = struct.pack("ii", 1, 0)
# Time, in milliseconds, after which a client whose connection was refused may try
# again.
RETRY_AFTER_MS = 1_000


class ConnectionBounds(NamedTuple):
    """Bounds on the connections of one port.

    Parameters
    ----------
    max_connections : int
    unread_ms : float
        Time for which a client may read nothing of a response while more of it waits.
    """

    max_connections: int = MAX_CONNECTIONS
    unread_ms: float = 15_000.0


def compute_max_connections(share: float, max_fds: int = 0) -> int:
    """Return the connections of a port that gets a share of the descriptors.

    Parameters
    ----------
    share : float
        The remainder is for other ports and for the process's own descriptors.
    max_fds : int
        Descriptors of the host; 0 if only the operating system's limit holds.
    """
    n_fds = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if max_fds:
        n_fds = min(n_fds, max_fds)
    return min(MAX_CONNECTIONS, max(MIN_CONNECTIONS, round(share * n_fds)))


def limit_kernel_buffers(sock: socket.socket) -> None:
    """Bound the operating system's buffers of the connections that a socket accepts."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)


class _CountedTransport:
    """A transport that counts what is written to it.

    Attributes
    ----------
    n_written_bytes : int
    """

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        self.n_written_bytes = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self.n_written_bytes += len(data)
        self._transport.write(data)


class _Flow(FlowControl):
    """Reads nothing while bytes of the next request are held."""

    def __init__(self, transport: asyncio.Transport, protocol: "BoundedProtocol"):
        super().__init__(transport)
        self._protocol = protocol

    def pause_reading(self) -> None:
        # uvicorn also resumes the transport itself, which `read_paused` does not show.
        self.read_paused = True
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        if not self._protocol.holds_next_request():
            self.read_paused = False
            self._transport.resume_reading()


class BoundedProtocol(H11Protocol):
    """One client's connection.

    Attributes
    ----------
    budget : ByteBudget
    bounds : ConnectionBounds
    active : set of BoundedProtocol
        The connections of the port for which something is held or in progress.
    """

    budget: ByteBudget
    bounds: ConnectionBounds
    active: set["BoundedProtocol"]

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self._held = HeldBytes(self._abort, monotonic_ms())
        # Bytes of the current request that have been read.
        self._n_request_bytes = 0
        # Bytes that were read while a response was in progress.
        self._ahead = b""
        self._completes_later = False
        self._n_unread_bytes = 0
        # Bytes of responses that the client has read, as last determined.
        self._n_read_bytes = 0
        self._read_at_ms = monotonic_ms()
        # Whether the client has to send more of a request or to read a response.
        self._has_to_act = False
        self._is_refused = False
        self._watched_cycle: Any = None
        self._drops_body = False
        self._is_new = True

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept a connection, in place of a stalled one if there are too many."""
        super().connection_made(_CountedTransport(transport))
        self.flow = _Flow(transport, self)
        self.active.add(self)
        if len(self.connections) > self.bounds.max_connections:
            now_ms = monotonic_ms()
            replaced = self._find_replaceable(now_ms)
            if replaced is None:
                fault = failure(Code.TOO_MANY_CONNECTIONS, "", RETRY_AFTER_MS)
                self.refuse_and_close(fault)
            else:
                self.budget.close(replaced._held, "descriptors", now_ms)
                # The event loop reports the end of the connection only later.
                self.connections.discard(replaced)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what was held."""
        self.active.discard(self)
        self.budget.update(self._held, 0, False)
        self._ahead = b""
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take what the client sent; the next request waits for this response."""
        now_ms = monotonic_ms()
        self.active.add(self)
        self._is_new = False
        self._held.record_moved(len(data), now_ms)
        if self._is_refused:
            return  # The remainder of a refused request.
        if self._is_responding() or self._ahead:
            self._ahead += data
            self.flow.pause_reading()
        else:
            self._feed(data)
        self._update_held()
        self.budget.make_room(now_ms)
        may_refuse = (
            self._is_receiving()
            and self._may_answer()
            and not self.transport.is_closing()
        )
        if self.budget.is_exhausted and may_refuse:
            fault = failure(Code.OVERLOADED, "memory", RETRY_AFTER_MS)
            self.refuse_and_close(fault, reads_on=True)

    def on_response_complete(self) -> None:
        """Go on to the next request, once the client has read this response."""
        if self.flow.write_paused and not self.transport.is_closing():
            self._completes_later = True
            return
        self._complete_response()

    def resume_writing(self) -> None:
        """Go on to the next request if it waited for the client to read."""
        super().resume_writing()
        if self._completes_later:
            self._completes_later = False
            self._complete_response()

    def holds_next_request(self) -> bool:
        """Return whether bytes that follow the current request are held."""
        if self._ahead or self._completes_later:
            return True
        return self.conn.their_state is h11.DONE and bool(self.conn.trailing_data[0])

    def is_between_requests(self) -> bool:
        """Return whether nothing of a next request has arrived."""
        return self.conn.their_state is h11.IDLE and not self.conn.trailing_data[0]

    def sweep(self, now_ms: float) -> None:
        """Account for what is held, and close a connection that has stalled.

        Parameters
        ----------
        now_ms : float
        """
        if self.transport.is_closing() and not self.transport.get_write_buffer_size():
            return
        self._update_held()
        is_idle = not self._is_in_request()
        if not self._held.n_bytes and is_idle:
            self.active.discard(self)
            return
        if self._has_left():
            self._abort()
            return
        is_unread = self.flow.write_paused
        if is_unread and now_ms - self._read_at_ms > self.bounds.unread_ms:
            self.budget.close(self._held, "unread", now_ms)
        elif self._has_to_act and self._held.compute_stalled_ms(now_ms) > STALL_MS:
            self.budget.close(self._held, "stalled", now_ms)

    def refuse_and_close(self, fault: Failure, reads_on: bool = False) -> None:
        """Answer a request that has not been served, and close the connection.

        Parameters
        ----------
        fault : Failure
        reads_on : bool
            Discard what the client still sends, until it closes. A close with unread
            bytes resets the connection, and the client may then not read the answer.
        """
        self._is_refused = True
        if self._has_open_cycle():
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        if self._may_answer():
            self.transport.write(encode_refusal(self.conn, fault))
            if reads_on:
                self._n_request_bytes = 0
                self._ahead = b""
                self._update_held()
                self.transport.write_eof()
                self.flow.resume_reading()
                return
        self.transport.close()

    def _complete_response(self) -> None:
        self._n_request_bytes = 0
        self._held.record_progress(monotonic_ms())
        n_next_bytes = 0
        if self.conn.their_state is h11.DONE:
            n_next_bytes = len(self.conn.trailing_data[0])
        super().on_response_complete()
        self._watch_request()
        if self._is_in_request():
            self._n_request_bytes = n_next_bytes
        if (
            self._ahead
            and not self._is_responding()
            and not self.transport.is_closing()
        ):
            data, self._ahead = self._ahead, b""
            self.flow.resume_reading()
            self.data_received(data)
        elif not self._has_open_cycle() and not self.transport.is_closing():
            # Only a part of the next head has arrived, so that no application reads on.
            self.flow.resume_reading()

    def _feed(self, data: bytes) -> None:
        super().data_received(data)
        self._watch_request()
        if self.is_between_requests() and not self.transport.is_closing():
            # The end of a body that came after its response; uvicorn sets no timeout.
            self._n_request_bytes = 0
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )
        elif self.conn.our_state is h11.DONE or self._drops_body:
            # What follows of a request that has its response is discarded.
            self._n_request_bytes = 0
        else:
            self._n_request_bytes += len(data)

    def _watch_request(self) -> None:
        """Let the application of a new request say that it drops the body."""
        if self.cycle is not None and self.cycle is not self._watched_cycle:
            self._watched_cycle = self.cycle
            self._drops_body = False
            self.cycle.scope["state"][ON_BODY_DROPPED] = self._on_body_dropped

    def _on_body_dropped(self) -> None:
        self._drops_body = True
        self._n_request_bytes = 0
        self._update_held()

    def _is_in_request(self) -> bool:
        return self._has_open_cycle() or self._is_receiving()

    def _is_receiving(self) -> bool:
        """Return whether the client has to send more of a request."""
        has_begun = self._is_new or self._n_request_bytes > 0
        is_in_body = self.conn.their_state is h11.SEND_BODY
        return (has_begun or is_in_body) and not self._is_responding()

    def _has_open_cycle(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _may_answer(self) -> bool:
        """Return whether no response to the current request has begun."""
        return self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def _is_responding(self) -> bool:
        """Return whether a whole request has arrived and has no complete response."""
        if self._completes_later:
            return True
        has_ended = self.conn.their_state in (h11.DONE, h11.MUST_CLOSE)
        return self._has_open_cycle() and has_ended

    def _update_held(self) -> None:
        sock = self.transport.get_extra_info("socket")
        n_queued_bytes = 0
        n_unread_bytes = self.transport.get_write_buffer_size()
        if sock is not None and sock.fileno() >= 0:
            n_unread_bytes += _read_count(sock, termios.TIOCOUTQ)
            if self.flow.read_paused:
                n_queued_bytes = _read_count(sock, termios.FIONREAD)
        now_ms = monotonic_ms()
        # More may have been written than was read since the last time.
        n_all_read_bytes = self.transport.n_written_bytes - n_unread_bytes
        n_read_bytes = n_all_read_bytes - self._n_read_bytes
        if n_read_bytes > 0 or not n_unread_bytes or not self._n_unread_bytes:
            self._read_at_ms = now_ms
            self._held.record_moved(max(0, n_read_bytes), now_ms)
        if self._n_unread_bytes and n_read_bytes >= self._n_unread_bytes:
            # The client has read all that waited for it, however little.
            self._held.record_progress(now_ms)
        self._n_unread_bytes = n_unread_bytes
        self._n_read_bytes = n_all_read_bytes
        n_ahead_bytes = len(self._ahead) + n_queued_bytes
        is_receiving = self._is_receiving()
        # A client that sends the next request early has to wait; it is closed before
        # those that wait for their response.
        is_client_awaited = bool(is_receiving or n_unread_bytes or n_ahead_bytes)
        has_to_act = bool(is_receiving or n_unread_bytes)
        if has_to_act and not self._has_to_act:
            # The time for which the client was idle, or waited, is no stall.
            self._held.record_progress(now_ms)
        self._has_to_act = has_to_act
        n_bytes = self._n_request_bytes + n_ahead_bytes + n_unread_bytes
        self.budget.update(self._held, n_bytes, is_client_awaited)

    def _find_replaceable(self, now_ms: float) -> "BoundedProtocol | None":
        """Return the connection that has waited longest for its client, if any."""
        replaceable = [
            protocol
            for protocol in self.connections
            if protocol is not self and protocol._is_replaceable(now_ms)
        ]
        return max(
            replaceable,
            key=lambda one: one._held.compute_stalled_ms(now_ms),
            default=None,
        )

    def _is_replaceable(self, now_ms: float) -> bool:
        stalled_ms = self._held.compute_stalled_ms(now_ms)
        if self._held.is_client_awaited or self._is_new:
            return stalled_ms > REPLACEABLE_MS
        return not self._is_in_request() and stalled_ms > IDLE_REPLACEABLE_MS

    def _has_left(self) -> bool:
        """Return whether the client has closed a connection that is not read."""
        sock = self.transport.get_extra_info("socket")
        is_unread = self.flow.read_paused and self._is_responding()
        if not is_unread or sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def _abort(self) -> None:
        # Otherwise the operating system keeps what the client has not read.
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()


def make_bounded_protocol(
    budget: ByteBudget, bounds: ConnectionBounds
) -> type[BoundedProtocol]:
    """Return a connection class for one listening port."""
    fields = {"budget": budget, "bounds": bounds, "active": set()}
    return type("PortProtocol", (BoundedProtocol,), fields)


def encode_refusal(conn: h11.Connection, fault: Failure) -> bytes:
    """Return the bytes of a response that refuses a request and closes."""
    body = orjson.dumps(make_error_body(fault))
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
        (b"x-cowslip-outcome", fault.outcome.value.encode()),
    ]
    if fault.retry_after_ms:
        retry_after_s = -(-fault.retry_after_ms // 1000)
        headers.append((b"retry-after", str(retry_after_s).encode()))
    status = CODE_INFO[fault.code].http_status
    response = h11.Response(status_code=status, headers=headers, reason=b"")
    parts = [response, h11.Data(data=body), h11.EndOfMessage()]
    return b"".join(conn.send(part) for part in parts)


def _read_count(sock: socket.socket, request: int) -> int:
    """Return the bytes in one of the operating system's queues of a connection."""
    try:
        return struct.unpack("i", fcntl.ioctl(sock.fileno(), request, b"\0" * 4))[0]
    except OSError:  # The connection has ended.
        return 0
