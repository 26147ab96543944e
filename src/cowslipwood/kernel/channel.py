"""Long-lived connections that carry messages between processes.

One task reads each connection. Requests run as child tasks of it, one-way
messages run in order. A peer that sends garbage, goes silent or stops reading
loses only its own connection.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream
from returns.result import Failure as Err
from returns.result import Result, Success

from .codes import Code, Failure, failure
from .logs import get_logger
from .messages import Refused
from .wire import (
    FRAME_HEADER,
    Envelope,
    decode_frame_header,
    decode_message,
    decode_record,
    encode_frame,
    payload_intact,
)

__all__ = [
    "Channel",
    "Handler",
    "as_refused",
    "open_channel",
    "refused_failure",
    "serve_channels",
]

SEND_TIMEOUT_MS = 5_000
# A dark host must not keep a starting keeper from the others for long.
CONNECT_TIMEOUT_MS = 300
MAX_OPEN_REQUESTS = 1_024
MAX_CONNECTIONS = 16_384

Handler = Callable[[Any], Awaitable[Any]]


def as_refused(fault: Failure, leader_addr: str = "", detail: bytes = b"") -> Refused:
    """Return the message that carries a failure to the peer."""
    return Refused(
        fault.code.value, fault.message, fault.retry_after_ms, leader_addr, detail
    )


def refused_failure(refused: Refused) -> Failure:
    """Return the failure that a peer's refusal carries."""
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
        Silence after which the peer counts as gone.
    """

    def __init__(self, stream: anyio.abc.ByteStream, idle_timeout_ms: float):
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)
        self._idle_timeout_ms = idle_timeout_ms
        self._send_lock = anyio.Lock()
        self._next_id = 1
        self._waiting: dict[int, _Reply] = {}
        self._slots = anyio.CapacityLimiter(MAX_OPEN_REQUESTS)
        self.closed: Failure | None = None

    async def send(
        self, value: Any, *, request_id: int = 0, reply_to: int = 0
    ) -> Result[None, Failure]:
        """Send one message; fails with SEND_TIMEOUT or PEER_GONE."""
        return await self.send_frame(encode_frame(value, request_id, reply_to))

    async def send_frame(self, frame: bytes) -> Result[None, Failure]:
        """Send a message that is encoded already; fails as `send` does."""
        try:
            with anyio.fail_after(SEND_TIMEOUT_MS / 1000):
                async with self._send_lock:
                    await self._stream.send(frame)
        except TimeoutError:
            await self.close(failure(Code.SEND_TIMEOUT))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await self.close(failure(Code.PEER_GONE))
        return Err(self.closed) if self.closed else Success(None)

    async def request(self, value: Any, timeout_ms: float) -> Result[Any, Failure]:
        """Send a request and wait for its reply.

        Fails with the peer's own refusal, or PEER_SILENT, PEER_GONE or
        SEND_TIMEOUT, after which the outcome is unknown.
        """
        if self.closed:
            return Err(self.closed)
        request_id = self._next_id
        self._next_id += 1
        reply = _Reply()
        self._waiting[request_id] = reply
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                sent = await self.send(value, request_id=request_id)
                if isinstance(sent, Err):
                    return sent
                await reply.ready.wait()
        finally:
            del self._waiting[request_id]
        return reply.result()

    async def receive(self) -> Result[tuple[Envelope, Any], Failure]:
        """Read one message; any failure ends the connection."""
        try:
            with anyio.fail_after(self._idle_timeout_ms / 1000):
                header = await self._reader.receive_exactly(FRAME_HEADER.size)
                sized = decode_frame_header(header)
                if isinstance(sized, Err):
                    return sized
                n_bytes, checksum = sized.unwrap()
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
        if not payload_intact(payload, checksum):
            return Err(failure(Code.BAD_FRAME))
        return decode_record(Envelope, payload).bind(
            lambda envelope: decode_message(envelope).map(
                lambda value: (envelope, value)
            )
        )

    async def run(self, handle: Handler) -> Failure:
        """Read until the connection ends; return why it ended.

        Parameters
        ----------
        handle : callable
            Gets each message that is not a reply; what it returns is the reply
            to a request.
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
                    self._deliver(envelope.reply_to, value)
                elif envelope.id:
                    tasks.start_soon(self._answer, handle, envelope.id, value)
                else:
                    await self._guarded(handle, value)
        return self.closed

    async def close(self, why: Failure) -> None:
        """Close the connection and fail every open request."""
        if self.closed is None:
            self.closed = why
        for reply in list(self._waiting.values()):
            reply.ready.set()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await anyio.aclose_forcefully(self._stream)

    async def _answer(self, handle: Handler, request_id: int, value: Any) -> None:
        async with self._slots:
            reply = await self._guarded(handle, value)
        if reply is not None:
            await self.send(reply, reply_to=request_id)

    async def _guarded(self, handle: Handler, value: Any) -> Any:
        """Handle a message; an error in it ends this connection only."""
        try:
            return await handle(value)
        except Exception:
            get_logger().exception("message_failed", kind=type(value).__name__)
            await self.close(failure(Code.BAD_MESSAGE, "an error in handling it"))
            return None

    def _deliver(self, request_id: int, value: Any) -> None:
        reply = self._waiting.get(request_id)
        if reply is not None:
            reply.value = value
            reply.ready.set()


class _Reply:
    """The place where a request's reply arrives."""

    def __init__(self):
        self.ready = anyio.Event()
        self.value: Any = None

    def result(self) -> Result[Any, Failure]:
        if self.value is None:
            code = Code.PEER_GONE if self.ready.is_set() else Code.PEER_SILENT
            return Err(failure(code))
        if isinstance(self.value, Refused):
            return Err(refused_failure(self.value))
        return Success(self.value)


async def serve_channels(
    listener: anyio.abc.Listener[Any],
    idle_timeout_ms: float,
    serve: Callable[[Channel], Awaitable[None]],
) -> None:
    """Accept connections, each served by one task with its own error boundary.

    Connections beyond ``MAX_CONNECTIONS`` are closed at once.

    Parameters
    ----------
    listener : anyio.abc.Listener
    idle_timeout_ms : float
        Silence after which a peer counts as gone.
    serve : callable
        Coroutine function of the channel; the channel is closed after it.
    """
    n_open = 0

    async def accept(stream: anyio.abc.ByteStream) -> None:
        nonlocal n_open
        channel = Channel(stream, idle_timeout_ms)
        n_open += 1
        try:
            if n_open <= MAX_CONNECTIONS:
                await serve(channel)
        except Exception:
            get_logger().exception("connection_failed")
        finally:
            n_open -= 1
            await channel.close(failure(Code.PEER_GONE))

    await listener.serve(accept)


async def open_channel(
    host: str, port: int, idle_timeout_ms: float
) -> Result[Channel, Failure]:
    """Connect to a peer; fails with PEER_GONE when no connection is made."""
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_MS / 1000):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError):
        return Err(failure(Code.PEER_GONE, f"cannot connect to {host}:{port}"))
    return Success(Channel(stream, idle_timeout_ms))
