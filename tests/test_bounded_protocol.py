"""Bounds on what is held for one HTTP connection, and the order of its requests."""

import asyncio
import contextlib
import socket
import time
import unittest
from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

import anyio
import uvicorn
from returns.result import Failure as Err
from uvicorn.server import ServerState

from cowslipwood.entry.receiving._caller_protocol import make_caller_protocol
from cowslipwood.kernel import bounded_protocol
from cowslipwood.kernel.bounded_protocol import (
    BoundedProtocol,
    ConnectionBounds,
    make_bounded_protocol,
)
from cowslipwood.kernel.byte_budget import ByteBudget, HeldBytes
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.http import HttpServer, bind_socket, read_request, send_response
from cowslipwood.kernel.metrics import Metrics

from .processes import DEFAULT_TIMEOUT_S

# Bytes of the answer to a request for /large; more than all buffers of a connection.
LARGE_BYTES = 8_000_000
MAX_BODY_BYTES = 4_000_000
# Bound on what one connection holds beside its request and its response: what one read
# of the transport takes, and the operating system's buffer.
MAX_AHEAD_BYTES = 600_000


class _App:
    """Answers each request with its body; holds those for /held until released."""

    def __init__(self):
        self.paths: list[str] = []
        self.n_cancelled = 0
        self.released = anyio.Event()

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        if scope["path"] == "/early":
            await receive()
            await send_response(send, 413, {}, b"early")
            return
        received = await read_request(scope, receive, MAX_BODY_BYTES)
        if isinstance(received, Err):
            return
        body = received.unwrap().body
        self.paths.append(scope["path"])
        if scope["path"] == "/held":
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch, receive, tasks.cancel_scope)
                await self.released.wait()
                tasks.cancel_scope.cancel()
        if scope["path"] == "/large":
            body = b"y" * LARGE_BYTES
        await send_response(send, 200, {}, body)

    async def _watch(self, receive: Any, scope: anyio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self.n_cancelled += 1
        scope.cancel()


class _Port:
    """A port that serves the application, and its budget."""

    def __init__(
        self,
        max_bytes: int,
        bounds: ConnectionBounds,
        protocol: type[BoundedProtocol] | None,
        keep_alive_s: int,
    ):
        self.app = _App()
        self.budget = ByteBudget(max_bytes)
        self._sock = bind_socket("127.0.0.1:0")
        base = protocol or make_bounded_protocol(self.budget, bounds)

        class PortProtocol(base):
            def __init__(self, *args: Any, **kwargs: Any):
                super().__init__(*args, **kwargs)
                self.timeout_keep_alive = keep_alive_s

        protocol = PortProtocol
        self.server = HttpServer(self.app, self._sock, protocol)

    def connect(self) -> socket.socket:
        """Return a connection that blocks; use it in a thread."""
        sock = socket.create_connection(self._sock.getsockname())
        sock.settimeout(DEFAULT_TIMEOUT_S)
        return sock


@contextlib.asynccontextmanager
async def run_port(
    max_bytes: int = 20_000_000,
    bounds: ConnectionBounds | None = None,
    protocol: type[BoundedProtocol] | None = None,
    keep_alive_s: int = 30,
) -> AsyncIterator[_Port]:
    """Run a port; connections must be closed before the end."""
    port = _Port(max_bytes, bounds or ConnectionBounds(), protocol, keep_alive_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(port.server.run)
        await anyio.sleep(0)
        yield port
        port.app.released.set()
        tasks.cancel_scope.cancel()


def encode(path: str, body: bytes = b"") -> bytes:
    """Return a request."""
    head = f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def read_response(sock: socket.socket) -> bytes:
    """Return the body of the next response; raise EOFError where it is cut."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        data += read_exactly(sock, 1)
    lines = data.lower().split(b"\r\n")
    length = next(line for line in lines if line.startswith(b"content-length"))
    return read_exactly(sock, int(length.partition(b":")[2]))


def read_exactly(sock: socket.socket, n_bytes: int) -> bytes:
    """Return the next bytes."""
    data = bytearray()
    while len(data) < n_bytes:
        part = sock.recv(n_bytes - len(data))
        if not part:
            raise EOFError
        data += part
    return bytes(data)


class PipeliningTest(unittest.IsolatedAsyncioTestCase):
    """Requests that are sent ahead."""

    async def test_order(self):
        """Guards against lost or reordered requests: all are answered in order."""
        async with run_port() as port:
            bodies = [bytes([65 + i % 26]) * (i * 7_919) for i in range(40)]

            def exchange() -> list[bytes]:
                with port.connect() as sock:
                    sock.sendall(b"".join(encode("/", body) for body in bodies[:12]))
                    first = [read_response(sock) for _ in range(12)]
                    # The connection serves further requests after that.
                    for body in bodies[12:]:
                        sock.sendall(encode("/", body))
                        first.append(read_response(sock))
                    return first

            self.assertEqual(await anyio.to_thread.run_sync(exchange), bodies)

    async def test_start_of_next_head(self):
        """Guards against a hang after a request and a part of the next one's head."""
        async with run_port() as port:
            with port.connect() as sock:
                following = encode("/", b"b")
                sock.sendall(encode("/", b"a") + following[:9])
                self.assertEqual(
                    await anyio.to_thread.run_sync(read_response, sock), b"a"
                )
                sock.sendall(following[9:])
                self.assertEqual(
                    await anyio.to_thread.run_sync(read_response, sock), b"b"
                )

    async def test_idle_after_discarded_body(self):
        """Guards against taking the end of a discarded body for the start of a head."""
        protocol = make_caller_protocol(Metrics("entry"), 300.0)
        async with run_port(protocol=protocol) as port:
            with port.connect() as sock:
                data = encode("/early", b"x" * 100)
                sock.sendall(data[:-50])
                self.assertEqual(
                    await anyio.to_thread.run_sync(read_response, sock), b"early"
                )
                sock.sendall(data[-50:])
                await anyio.sleep(0.8)
                sock.sendall(encode("/", b"a"))
                self.assertEqual(
                    await anyio.to_thread.run_sync(read_response, sock), b"a"
                )

    async def test_keep_alive_after_discarded_body(self):
        """Guards against connections that stay open without any time limit."""
        async with run_port(keep_alive_s=1) as port:
            with port.connect() as sock:
                data = encode("/early", b"x" * 100)
                sock.sendall(data[:-50])
                await anyio.to_thread.run_sync(read_response, sock)
                sock.sendall(data[-50:])
                with self.assertRaises(EOFError):
                    await anyio.to_thread.run_sync(read_exactly, sock, 1)

    async def test_unread(self):
        """Guards against further requests being served while a response is unread."""
        async with run_port() as port:
            with port.connect() as sock:
                sock.sendall(encode("/large") + encode("/next"))
                await anyio.sleep(0.5)
                self.assertEqual(port.app.paths, ["/large"])
                body = await anyio.to_thread.run_sync(read_response, sock)
                self.assertEqual(len(body), LARGE_BYTES)
                self.assertEqual(
                    await anyio.to_thread.run_sync(read_response, sock), b""
                )
                self.assertEqual(port.app.paths, ["/large", "/next"])

    async def test_upload_behind_request(self):
        """Guards against holding the start of a body that the budget doesn't count."""
        async with run_port() as port:
            with port.connect() as sock:
                # Few enough bytes for one read.
                sock.sendall(encode("/", b"a") + encode("/", b"x" * 50_000)[:-1])
                await anyio.to_thread.run_sync(read_response, sock)
                await anyio.sleep(0.5)
                self.assertGreaterEqual(port.budget.n_bytes, 49_999)

    async def test_read_ahead(self):
        """Guards against reading without bound while a response is in progress."""
        async with run_port() as port:
            with port.connect() as sock:
                sock.setblocking(False)
                data = encode("/held") + encode("/", b"x" * 100_000) * 200
                n_sent = 0
                for _ in range(50):
                    with contextlib.suppress(BlockingIOError):
                        n_sent += sock.send(data[n_sent:])
                    await anyio.sleep(0.01)
                await anyio.sleep(0.5)
                self.assertGreater(port.budget.n_bytes, 0)
                self.assertLess(port.budget.n_bytes, MAX_AHEAD_BYTES)

    async def test_client_that_leaves(self):
        """Guards against work for a client that has sent ahead and left."""
        async with run_port() as port:
            sock = port.connect()
            sock.sendall(encode("/held") + encode("/", b"x" * 100_000))
            while not port.app.paths:
                await anyio.sleep(0.01)
            await anyio.sleep(0.3)
            sock.close()
            with anyio.fail_after(DEFAULT_TIMEOUT_S):
                while not port.app.n_cancelled:
                    await anyio.sleep(0.01)


class FullBudgetTest(unittest.IsolatedAsyncioTestCase):
    """A port whose budget is full."""

    async def test_stalled_upload_is_closed(self):
        """Guards against refusing new uploads for those that have stalled."""
        async with run_port(max_bytes=500_000) as port:
            with port.connect() as stalled, port.connect() as ordinary:
                stalled.sendall(encode("/", b"x" * 400_000)[:-1])
                await anyio.sleep(1)

                def exchange() -> bytes:
                    ordinary.sendall(encode("/", b"z" * 300_000))
                    return read_response(ordinary)

                body = await anyio.to_thread.run_sync(exchange)
                self.assertEqual(len(body), 300_000)
                with self.assertRaises((EOFError, ConnectionResetError)):
                    await anyio.to_thread.run_sync(read_response, stalled)
            self.assertEqual(port.app.paths, ["/"])

    async def test_request_in_progress_is_not_closed(self):
        """Guards against ending requests that wait for a server, not their client."""
        async with run_port(max_bytes=500_000) as port:
            with port.connect() as waiting, port.connect() as stalled:
                waiting.sendall(encode("/held", b"x" * 450_000))
                while not port.app.paths:
                    await anyio.sleep(0.01)
                stalled.sendall(encode("/", b"x" * 200_000)[:-1])
                await anyio.sleep(2)
                port.app.released.set()
                body = await anyio.to_thread.run_sync(read_response, waiting)
                self.assertEqual(len(body), 450_000)
                with self.assertRaises((EOFError, ConnectionResetError)):
                    await anyio.to_thread.run_sync(read_response, stalled)

    async def test_new_upload_is_refused(self):
        """Guards against a reset where a refusal can say that nothing has run."""
        async with run_port(max_bytes=500_000) as port:
            with port.connect() as waiting, port.connect() as new:
                waiting.sendall(encode("/held", b"x" * 490_000))
                while not port.app.paths:
                    await anyio.sleep(0.01)

                def exchange() -> bytes:
                    new.sendall(encode("/", b"z" * 3_000_000))
                    return read_response(new)

                refusal = await anyio.to_thread.run_sync(exchange)
                self.assertIn(b'"OVERLOADED"', refusal)
                self.assertIn(b'"not-run"', refusal)
                port.app.released.set()
                body = await anyio.to_thread.run_sync(read_response, waiting)
                self.assertEqual(len(body), 490_000)
                self.assertEqual(port.app.paths, ["/held"])

    async def test_answered_upload_goes_on(self):
        """Guards against closing a connection that holds nothing and has its answer."""
        async with run_port(max_bytes=500_000) as port:
            with port.connect() as sock:
                data = encode("/early", b"x" * 100)
                sock.sendall(data[:-50])
                await anyio.to_thread.run_sync(read_response, sock)
                other = HeldBytes(lambda: None, monotonic_ms())
                port.budget.update(other, 800_000, is_client_awaited=False)
                self.assertTrue(port.budget.is_exhausted)
                for part in (data[-50:-20], data[-20:], encode("/", b"a")):
                    sock.sendall(part)
                    await anyio.sleep(0.1)
                body = await anyio.to_thread.run_sync(read_response, sock)
                self.assertEqual(body, b"a")


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """Clients that do not read."""

    async def test_unread_response_is_cut(self):
        """Guards against holding a response for a client that reads nothing."""
        async with run_port(bounds=ConnectionBounds(unread_ms=300.0)) as port:
            with port.connect() as sock:
                sock.sendall(encode("/large"))
                with anyio.fail_after(DEFAULT_TIMEOUT_S):
                    while not port.app.paths or port.budget.n_bytes:
                        await anyio.sleep(0.05)
                with self.assertRaises((EOFError, ConnectionResetError)):
                    await anyio.to_thread.run_sync(read_response, sock)

    async def test_slow_response_is_complete(self):
        """Guards against cutting a response that a client reads slowly."""
        async with run_port(bounds=ConnectionBounds(unread_ms=1_000.0)) as port:
            with port.connect() as sock:
                sock.sendall(encode("/large"))

                def read_slowly() -> int:
                    n_read = 0
                    while n_read < LARGE_BYTES:
                        n_read += len(sock.recv(800_000))
                        time.sleep(0.1)
                    return n_read

                n_read = await anyio.to_thread.run_sync(read_slowly)
                self.assertGreaterEqual(n_read, LARGE_BYTES)


class StallTest(unittest.IsolatedAsyncioTestCase):
    """Clients that wait for their server, or read as fast as it sends."""

    async def test_late_response(self):
        """Guards against counting the wait for a server as a stall of the client."""
        with mock.patch.object(bounded_protocol, "STALL_MS", 1_500.0):
            async with run_port() as port:
                with port.connect() as sock:
                    sock.sendall(encode("/held", b"x" * 3_000_000))
                    await anyio.sleep(2.5)
                    port.app.released.set()
                    await anyio.sleep(0.6)
                    body = await anyio.to_thread.run_sync(read_response, sock)
                    self.assertEqual(len(body), 3_000_000)

    async def test_late_response_to_first_of_two(self):
        """Guards against cutting a late response because the next request has come."""
        with mock.patch.object(bounded_protocol, "STALL_MS", 1_500.0):
            async with run_port() as port:
                with port.connect() as sock:
                    sock.sendall(encode("/held", b"x" * 3_000_000))
                    while not port.app.paths:
                        await anyio.sleep(0.01)
                    sock.sendall(encode("/", b"a"))
                    await anyio.sleep(2.5)
                    port.app.released.set()
                    await anyio.sleep(0.6)
                    body = await anyio.to_thread.run_sync(read_response, sock)
                    self.assertEqual(len(body), 3_000_000)
                    body = await anyio.to_thread.run_sync(read_response, sock)
                    self.assertEqual(body, b"a")

    async def test_upload_after_idle_time(self):
        """Guards against closing a new upload for the time before it began."""
        with mock.patch.object(bounded_protocol, "STALL_MS", 1_500.0):
            async with run_port() as port:
                with port.connect() as sock:
                    data = encode("/", b"x" * 100)
                    sock.sendall(data)
                    await anyio.to_thread.run_sync(read_response, sock)
                    await anyio.sleep(2)
                    sock.sendall(data[:-1])
                    await anyio.sleep(0.6)
                    sock.sendall(data[-1:])
                    body = await anyio.to_thread.run_sync(read_response, sock)
                    self.assertEqual(len(body), 100)


class _UnreadTransport(asyncio.Transport):
    """A transport whose buffer the test empties."""

    def __init__(self):
        super().__init__()
        self.n_unread = 0
        self.is_aborted = False

    def write(self, data: bytes) -> None:
        self.n_unread += len(data)

    def get_write_buffer_size(self) -> int:
        return self.n_unread

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True


class ReadBytesTest(unittest.IsolatedAsyncioTestCase):
    """What a client has read while more was written."""

    async def asyncSetUp(self):
        self.now_ms = 0.0
        clock = mock.patch.object(bounded_protocol, "monotonic_ms", lambda: self.now_ms)
        clock.start()
        self.addCleanup(clock.stop)
        bounds = ConnectionBounds(unread_ms=2_000.0)
        port_protocol = make_bounded_protocol(ByteBudget(1_000_000), bounds)
        self.is_over = asyncio.Event()

        async def wait(_scope: dict, _receive: Any, _send: Any) -> None:
            await self.is_over.wait()

        config = uvicorn.Config(wait, log_config=None)
        self.protocol = port_protocol(config, ServerState(), {})
        self.transport = _UnreadTransport()
        self.protocol.connection_made(self.transport)
        self.protocol.data_received(encode("/"))

    async def asyncTearDown(self):
        self.protocol.cycle.disconnected = True
        self.is_over.set()
        await asyncio.sleep(0.01)

    def exchange(self, n_bytes: int, until_ms: float) -> None:
        """Have the client read what waits, while as much is written anew."""
        while self.now_ms < until_ms:
            self.transport.n_unread = 0
            self.protocol.transport.write(b"z" * n_bytes)
            self.now_ms += 200.0
            self.protocol.sweep(self.now_ms)

    async def test_stream(self):
        """Guards against cutting a stream of which some bytes are always on the way."""
        self.exchange(50, 120_000.0)
        self.assertFalse(self.transport.is_aborted)

    async def test_full_buffer(self):
        """Guards against cutting a client that reads as fast as its server sends."""
        self.protocol.pause_writing()
        self.exchange(100_000, 10_000.0)
        self.assertFalse(self.transport.is_aborted)

    async def test_unread(self):
        """Guards against taking what is written for what is read."""
        for _ in range(170):
            self.protocol.transport.write(b"z" * 50)
            self.now_ms += 200.0
            self.protocol.sweep(self.now_ms)
        self.assertTrue(self.transport.is_aborted)


class ConnectionLimitTest(unittest.IsolatedAsyncioTestCase):
    """A port with few connections."""

    async def test_idle_connections_stay(self):
        """Guards against closing connections that clients may still reuse."""
        bounds = ConnectionBounds(max_connections=3)
        async with run_port(bounds=bounds) as port:
            with contextlib.ExitStack() as stack:
                socks = [stack.enter_context(port.connect()) for _ in range(3)]

                def exchange(sock: socket.socket) -> bytes:
                    sock.sendall(encode("/", b"z"))
                    return read_response(sock)

                for sock in socks:
                    await anyio.to_thread.run_sync(exchange, sock)
                await anyio.sleep(4)
                further = stack.enter_context(port.connect())
                answer = await anyio.to_thread.run_sync(exchange, further)
                self.assertIn(b"TOO_MANY_CONNECTIONS", answer)
                for sock in socks:
                    self.assertEqual(
                        await anyio.to_thread.run_sync(exchange, sock), b"z"
                    )

    async def test_stalled_connection_is_replaced(self):
        """Guards against stalled connections that keep new clients out."""
        bounds = ConnectionBounds(max_connections=3)
        async with run_port(bounds=bounds) as port:
            with contextlib.ExitStack() as stack:
                socks = [stack.enter_context(port.connect()) for _ in range(3)]
                for sock in socks:
                    sock.sendall(encode("/", b"x" * 100)[:-1])
                await anyio.sleep(3.5)
                further = stack.enter_context(port.connect())

                def exchange() -> bytes:
                    further.sendall(encode("/", b"z"))
                    return read_response(further)

                self.assertEqual(await anyio.to_thread.run_sync(exchange), b"z")
