"""Long-lived connections that carry messages between processes.

One task reads each connection. Each request is handled in a child task of the
reading task; one-way messages are handled one after another, in the order in
which they arrive. A peer that sends invalid data, sends nothing for too long or
stops reading loses only its own connection.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream
from returns.result import Failure as Err
from returns.result import Result, Success

from .bounded_protocol import compute_max_connections
from .byte_budget import CloseRecorder
from .clock import monotonic_ms
from .codes import Code, Failure, failure
from .logs import get_logger
from .messages import Refused
from .wire import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    Envelope,
    decode_frame_header,
    decode_message,
    decode_record,
    encode_frame,
    matches_checksum,
)

__all__ = [
    "MAX_FIRST_FRAME_BYTES",
    "Channel",
    "Handler",
    "failure_from_refused",
    "open_channel",
    "serve_channels",
    "to_refused",
]

# Time in milliseconds for sending one message; a peer that does not read for
# longer than this loses its connection.
SEND_TIMEOUT_MS = 5_000
# Time in milliseconds for opening a connection. It is short because a starting
# keeper connects to the other keepers, and an unreachable host must not delay it
# for long.
CONNECT_TIMEOUT_MS = 300
# Largest number of a peer's requests that one connection handles at once; further
# requests wait.
MAX_OPEN_REQUESTS = 1_024
# Largest payload, in bytes, of the first message of a connection. Its sender has not
# shown a token yet; the message, a `Hello`, takes a few hundred bytes.
MAX_FIRST_FRAME_BYTES = 16_384
# Part of the descriptors for the connections that one listener serves. The remainder is
# for other ports, files and connections to other processes.
CONNECTIONS_SHARE = 0.6
# Time, in milliseconds, after which a connection without a first message is closed if
# another one needs its place. Processes send it as soon as they are connected.
FIRST_MESSAGE_MS = 1_000.0

Handler = Callable[[Any], Awaitable[Any]]


def to_refused(fault: Failure, leader_addr: str = "", detail: bytes = b"") -> Refused:
    """Return the `Refused` message that reports a failure to the peer."""
    return Refused(
        fault.code.value, fault.message, fault.retry_after_ms, leader_addr, detail
    )


def failure_from_refused(refused: Refused) -> Failure:
    """Return the failure that a peer's `Refused` message reports."""
    try:
        code = Code(refused.code)
    except ValueError:
        return failure(Code.BAD_MESSAGE, f"unknown code {refused.code}")
    return failure(code, refused.message, refused.retry_after_ms)


class Channel:
    """One connection between two processes.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
    idle_timeout_ms : float
        Time without a message from the peer, in milliseconds, after which the
        connection is closed.

    Attributes
    ----------
    close_reason : Failure or None
        Why the connection was closed; None while it is open.
    """

    def __init__(self, stream: anyio.abc.ByteStream, idle_timeout_ms: float):
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)
        self._idle_timeout_ms = idle_timeout_ms
        self._send_lock = anyio.Lock()
        self._next_id = 1
        self._pending_replies: dict[int, _PendingReply] = {}
        self._opened_at_ms = monotonic_ms()
        self._has_received = False
        self._request_limiter = anyio.CapacityLimiter(MAX_OPEN_REQUESTS)
        self.close_reason: Failure | None = None

    async def send(
        self, value: Any, *, request_id: int = 0, reply_to: int = 0
    ) -> Result[None, Failure]:
        """Send one message.

        Fails with SEND_TIMEOUT or PEER_GONE, or with the failure that closed the
        connection earlier.
        """
        return await self.send_frame(encode_frame(value, request_id, reply_to))

    async def send_frame(self, frame: bytes) -> Result[None, Failure]:
        """Send a message that is already encoded; fails as `send` does."""
        try:
            with anyio.fail_after(SEND_TIMEOUT_MS / 1000):
                async with self._send_lock:
                    await self._stream.send(frame)
        except TimeoutError:
            await self.close(failure(Code.SEND_TIMEOUT))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await self.close(failure(Code.PEER_GONE))
        return Err(self.close_reason) if self.close_reason else Success(None)

    async def request(self, value: Any, timeout_ms: float) -> Result[Any, Failure]:
        """Send a request and wait for its reply.

        Fails with the refusal that the peer sent, or with PEER_SILENT, PEER_GONE
        or SEND_TIMEOUT. After these three it is unknown whether the peer handled
        the request.
        """
        if self.close_reason:
            return Err(self.close_reason)
        request_id = self._next_id
        self._next_id += 1
        reply = _PendingReply()
        self._pending_replies[request_id] = reply
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                sent = await self.send(value, request_id=request_id)
                if isinstance(sent, Err):
                    return sent
                await reply.ready.wait()
        finally:
            del self._pending_replies[request_id]
        return reply.result()

    @property
    def has_received(self) -> bool:
        """Whether a whole message has arrived."""
        return self._has_received

    @property
    def opened_at_ms(self) -> float:
        """When the connection was opened."""
        return self._opened_at_ms

    async def receive(
        self, max_bytes: int = MAX_FRAME_BYTES
    ) -> Result[tuple[Envelope, Any], Failure]:
        """Read one message; the caller closes the connection after any failure.

        Parameters
        ----------
        max_bytes : int
            Largest payload; a larger one is not read.
        """
        try:
            with anyio.fail_after(self._idle_timeout_ms / 1000):
                header = await self._reader.receive_exactly(FRAME_HEADER.size)
                parsed_header = decode_frame_header(header)
                if isinstance(parsed_header, Err):
                    return parsed_header
                n_bytes, checksum = parsed_header.unwrap()
                if n_bytes > max_bytes:
                    return Err(failure(Code.BAD_FRAME, f"over {max_bytes} bytes"))
                payload = await self._reader.receive_exactly(n_bytes)
        except TimeoutError:
            return Err(failure(Code.PEER_SILENT))
        except (
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            OSError,
        ):
            return Err(failure(Code.PEER_GONE))
        self._has_received = True
        if not matches_checksum(payload, checksum):
            return Err(failure(Code.BAD_FRAME))
        return decode_record(Envelope, payload).bind(
            lambda envelope: decode_message(envelope).map(
                lambda value: (envelope, value)
            )
        )

    async def run(self, handle: Handler) -> Failure:
        """Read messages until the connection ends; return why it ended.

        Parameters
        ----------
        handle : callable
            Coroutine function that is called with each message that is not a
            reply. For a request, its return value is sent as the reply, unless
            it is None.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                received = await self.receive()
                if isinstance(received, Err):
                    await self.close(received.failure())
                    tasks.cancel_scope.cancel()
                    break
                envelope, value = received.unwrap()
                if envelope.reply_to:
                    self._deliver_reply(envelope.reply_to, value)
                elif envelope.id:
                    tasks.start_soon(self._answer_request, handle, envelope.id, value)
                else:
                    await self._handle_message(handle, value)
        return self.close_reason

    async def close(self, reason: Failure) -> None:
        """Close the connection and fail every open request."""
        if self.close_reason is None:
            self.close_reason = reason
        for reply in list(self._pending_replies.values()):
            reply.ready.set()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await anyio.aclose_forcefully(self._stream)

    async def _answer_request(
        self, handle: Handler, request_id: int, value: Any
    ) -> None:
        async with self._request_limiter:
            reply = await self._handle_message(handle, value)
        if reply is not None:
            await self.send(reply, reply_to=request_id)

    async def _handle_message(self, handle: Handler, value: Any) -> Any:
        """Call `handle`; an exception in it closes this connection only."""
        try:
            return await handle(value)
        except Exception:
            get_logger().exception("message_failed", kind=type(value).__name__)
            await self.close(failure(Code.BAD_MESSAGE, "an error in handling it"))
            return None

    def _deliver_reply(self, request_id: int, value: Any) -> None:
        reply = self._pending_replies.get(request_id)
        if reply is not None:
            reply.value = value
            reply.ready.set()


class _PendingReply:
    """A request's reply and the event that is set when it has arrived."""

    def __init__(self):
        self.ready = anyio.Event()
        self.value: Any = None

    def result(self) -> Result[Any, Failure]:
        if self.value is None:
            code = Code.PEER_GONE if self.ready.is_set() else Code.PEER_SILENT
            return Err(failure(code))
        if isinstance(self.value, Refused):
            return Err(failure_from_refused(self.value))
        return Success(self.value)


async def serve_channels(
    listener: anyio.abc.Listener[Any],
    idle_timeout_ms: float,
    serve: Callable[[Channel], Awaitable[None]],
    closes: CloseRecorder | None = None,
) -> None:
    """Accept connections and serve each in a task of its own.

    An exception while a connection is served is logged and closes that connection
    only. When there are as many connections as descriptors allow, a new one takes the
    place of the oldest one that has sent no whole message, or is closed at once.

    Parameters
    ----------
    listener : anyio.abc.Listener
    idle_timeout_ms : float
        Time without a message from a peer, in milliseconds, after which its
        connection is closed.
    serve : callable
        Coroutine function that takes the channel; the channel is closed after it
        returns.
    closes : CloseRecorder or None
        Records connections that are closed for others; None only logs them.
    """
    closes = closes or CloseRecorder()
    max_connections = compute_max_connections(CONNECTIONS_SHARE)
    # A dictionary keeps the order in which the connections were opened.
    channels: dict[Channel, None] = {}

    async def accept(stream: anyio.abc.ByteStream) -> None:
        channel = Channel(stream, idle_timeout_ms)
        channels[channel] = None
        try:
            if len(channels) > max_connections:
                replaced = _find_replaceable(channels, monotonic_ms())
                if replaced is None:
                    return
                channels.pop(replaced)
                now_ms = monotonic_ms()
                waited_ms = now_ms - replaced.opened_at_ms
                closes.record("descriptors", 0, waited_ms, now_ms)
                await replaced.close(failure(Code.TOO_MANY_CONNECTIONS))
            await serve(channel)
        except Exception:
            get_logger().exception("connection_failed")
        finally:
            channels.pop(channel, None)
            await channel.close(failure(Code.PEER_GONE))

    await listener.serve(accept)


def _find_replaceable(channels: Iterable[Channel], now_ms: float) -> Channel | None:
    """Return the first connection that has sent no whole message in time, if any."""
    for channel in channels:
        waited_ms = now_ms - channel.opened_at_ms
        if not channel.has_received and waited_ms > FIRST_MESSAGE_MS:
            return channel
    return None


async def open_channel(
    host: str, port: int, idle_timeout_ms: float
) -> Result[Channel, Failure]:
    """Connect to a peer; fails with PEER_GONE when the connection is not made."""
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_MS / 1000):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError):
        return Err(failure(Code.PEER_GONE, f"cannot connect to {host}:{port}"))
    return Success(Channel(stream, idle_timeout_ms))
