"""Connections to backend servers: answers are complete and belong to their requests."""

import errno
import unittest

import anyio

from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code
from cowslipwood.kernel.http_connection import (
    MAX_SKIPPED_BYTES,
    BrokenAnswerError,
    ServerConnection,
    open_connection,
)
from cowslipwood.kernel.http_pool import ConnectionPool
from cowslipwood.kernel.settings import parse_address

from .answer_builders import Framing, frame_answer
from .direct_builders import always_send, build_answer, run_scripted_server
from .processes import DEFAULT_TIMEOUT_S

HEADERS = [(b"host", b"shop.example"), (b"x-request-id", b"q1")]


async def fetch_body(conn) -> bytes:
    """Send a request and return the answer's body."""
    await conn.send(b"GET", b"/", HEADERS, b"")
    await conn.receive_head()
    return b"".join([chunk async for chunk in conn.receive_body()])


async def connect_to(addr: str):
    """Open a connection to an address."""
    return await open_connection(*parse_address(addr), 1_000.0)


class LostStream:
    """A connection that is lost after some writes, as anyio reports it."""

    def __init__(self, error: OSError, n_sent: int):
        self._error = error
        self._n_sent = n_sent

    async def send(self, data: bytes) -> None:
        """Send or fail."""
        self._n_sent -= 1
        if self._n_sent < 0:
            raise anyio.BrokenResourceError from self._error

    async def receive(self, max_bytes: int) -> bytes:
        """Fail."""
        raise anyio.BrokenResourceError from self._error


class AnsweredStream(LostStream):
    """A connection that is lost for writes after its answer has arrived."""

    def __init__(self, error: OSError, n_sent: int, answer: bytes):
        super().__init__(error, n_sent)
        self._answer = answer

    async def receive(self, max_bytes: int) -> bytes:
        """Return the answer once the write of the rest has failed."""
        await anyio.sleep(0.01)
        return self._answer


class ServerConnectionTest(unittest.TestCase):
    """Several exchanges, one after another, on one connection."""

    def test_connection_is_reused(self):
        """A connection can carry another request after a complete answer."""

        async def run():
            async with run_scripted_server(always_send(build_answer())) as (addr, _):
                conn = await connect_to(addr)
                self.assertEqual(await fetch_body(conn), b"ok")
                self.assertTrue(conn.prepare_for_reuse())
                self.assertEqual(await fetch_body(conn), b"ok")
                await conn.close()

        anyio.run(run)

    def test_bytes_after_answer(self):
        """A connection cannot be reused when bytes follow a complete answer."""

        async def run():
            async with run_scripted_server(
                always_send(build_answer() + build_answer(b"late"))
            ) as (addr, _):
                conn = await connect_to(addr)
                self.assertEqual(await fetch_body(conn), b"ok")
                self.assertFalse(conn.prepare_for_reuse())
                await conn.close()

        anyio.run(run)

    def test_late_bytes_after_answer(self):
        """Bytes that arrive on an idle connection are detected before the next request.

        Otherwise they would be read as the answer to that request.
        """

        async def serve(stream, head):
            await stream.send(build_answer())
            await anyio.sleep(0.05)
            await stream.send(build_answer(b"late"))

        async def run():
            async with run_scripted_server(serve) as (addr, _):
                conn = await connect_to(addr)
                await fetch_body(conn)
                self.assertTrue(conn.prepare_for_reuse())
                await anyio.sleep(0.2)
                self.assertTrue(conn.has_unexpected_data())
                await conn.close()

        anyio.run(run)

    def _check_broken(self, data: bytes) -> None:
        async def serve(stream, head):
            await stream.send(data)
            await stream.aclose()

        async def run():
            async with run_scripted_server(serve) as (addr, _):
                conn = await connect_to(addr)
                with self.assertRaises(BrokenAnswerError):
                    await fetch_body(conn)
                await conn.close()

        anyio.run(run)

    def test_cut_answer(self):
        """An answer whose body is shorter than its length is reported as broken."""
        self._check_broken(build_answer(b"whole body")[:-3])

    # An answer that states its end is whole though the upload could not be sent on.
    def test_framed_answer_before_a_failed_write(self):
        """With a length or chunks, a write that fails takes nothing from the answer."""

        async def run(answer: bytes) -> bytes:
            error = ConnectionResetError(errno.ECONNRESET, "reset")
            conn = ServerConnection(AnsweredStream(error, 1, answer))
            headers = [*HEADERS, (b"content-length", b"100000")]
            await conn.send(b"POST", b"/", headers, bytes(100_000))
            await conn.receive_head()
            return b"".join([chunk async for chunk in conn.receive_body()])

        for framing in (Framing.LENGTH, Framing.CHUNKS):
            with self.subTest(framing=framing):
                answer = b"".join(frame_answer(framing, b"whole"))
                self.assertEqual(anyio.run(run, answer), b"whole")

    # A stream went on elsewhere at once though its server was only out of reach.
    def test_who_ended_a_broken_exchange(self):
        """A connection that was lost in silence was not ended by the server."""
        for error, by_server in (
            (ConnectionResetError(errno.ECONNRESET, "reset"), True),
            (BrokenPipeError(errno.EPIPE, "pipe"), True),
            (TimeoutError(errno.ETIMEDOUT, "timed out"), False),
            (OSError(errno.EHOSTUNREACH, "no route"), False),
        ):
            for n_sent in (0, 1):
                with self.subTest(error=error, n_sent=n_sent):
                    conn = ServerConnection(LostStream(error, n_sent))
                    with self.assertRaises(BrokenAnswerError) as caught:
                        anyio.run(fetch_body, conn)
                    self.assertEqual(caught.exception.by_server, by_server)

    # Requests of over 4 KB were answered 500 and never repeated after a break.
    def test_broken_answer_to_a_long_request(self):
        """A break is reported as such, whatever the length of the request's body."""

        async def serve(stream, head):
            await stream.aclose()

        async def run():
            async with run_scripted_server(serve) as (addr, _):
                for n_body_bytes in (0, 4_096, 8_000_000):
                    conn = await connect_to(addr)
                    length = (b"content-length", str(n_body_bytes).encode())
                    body = b"x" * n_body_bytes
                    await conn.send(b"POST", b"/", [*HEADERS, length], body)
                    with self.assertRaises(BrokenAnswerError):
                        await conn.receive_head()
                    await conn.close()

        anyio.run(run)

    # The connection was closed, so the answer behind a late one was never read.
    def test_answer_behind_a_late_one(self):
        """The answer behind one that is skipped is read, however the bytes arrive."""
        own = build_answer(b"own")
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        chunked += b"4\r\nlate\r\n0\r\n\r\n"
        for late in (build_answer(b"late"), chunked, build_answer(b"", "503 Full")):
            for n_first_bytes in (0, len(late) - 1, len(late), len(late) + 9):
                sent = late + own

                async def serve(stream, head, sent=sent, n_first_bytes=n_first_bytes):
                    if n_first_bytes:
                        await stream.send(sent[:n_first_bytes])
                        await anyio.sleep(0.01)
                    await stream.send(sent[n_first_bytes:])

                async def run(serve=serve):
                    async with run_scripted_server(serve) as (addr, _):
                        conn = await connect_to(addr)
                        await conn.send(b"GET", b"/", HEADERS, b"")
                        self.assertTrue(
                            await conn.skip_answer(await conn.receive_head())
                        )
                        self.assertEqual((await conn.receive_head()).status, 200)
                        data = b"".join([part async for part in conn.receive_body()])
                        self.assertEqual(data, b"own")
                        self.assertFalse(conn.prepare_for_reuse())
                        await conn.close()

                with self.subTest(late=late, n_first_bytes=n_first_bytes):
                    anyio.run(run)

    def test_answer_that_cannot_be_skipped(self):
        """Answers of any length, of unknown length or to HEAD are not skipped."""
        without_length = b"HTTP/1.1 200 OK\r\n\r\nlate"
        cases = (
            (b"GET", without_length),
            (b"GET", build_answer(b"x" * (MAX_SKIPPED_BYTES + 1))),
            (b"HEAD", build_answer(b"")),
        )
        for method, sent in cases:

            async def run(method=method, sent=sent):
                async with run_scripted_server(always_send(sent)) as (addr, _):
                    conn = await connect_to(addr)
                    await conn.send(method, b"/", HEADERS, b"")
                    head = await conn.receive_head()
                    self.assertFalse(await conn.skip_answer(head))
                    await conn.close()

            with self.subTest(method=method, n_bytes=len(sent)):
                anyio.run(run)

    def test_invalid_http(self):
        """Bytes that are not HTTP are reported as a broken answer."""
        self._check_broken(b"\x00\x01 garbage\r\n\r\n")

    def _check_endless(self, first_bytes: bytes, repeated_bytes: bytes) -> None:
        """Check that an answer without end is reported as broken before the timeout."""

        async def serve(stream, head):
            await stream.send(first_bytes)
            while True:
                await stream.send(repeated_bytes)

        async def run():
            async with run_scripted_server(serve) as (addr, _):
                conn = await connect_to(addr)
                with self.assertRaises(BrokenAnswerError), anyio.fail_after(20):
                    await fetch_body(conn)
                await conn.close()

        anyio.run(run)

    def test_endless_head(self):
        """A head without end is reported as broken, with or without line ends."""
        self._check_endless(b"", b"x" * 4_096)
        self._check_endless(b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n" * 400)

    def test_endless_interim_answers(self):
        """Interim answers without end are reported as a broken answer."""
        self._check_endless(b"", b"HTTP/1.1 102 Processing\r\n\r\n")

    def test_endless_chunk_size(self):
        """A chunk size without end is reported as a broken answer."""
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        self._check_endless(head, b"0" * 4_096)

    def test_answer_before_body_is_read(self):
        """An answer sent before the request was read is returned.

        The connection is not reused, because part of the request was not sent.
        """

        async def serve(stream, head):
            await stream.send(build_answer(b"no", status="413 Too Large"))
            await anyio.sleep(1)

        async def run():
            async with run_scripted_server(serve) as (addr, _):
                conn = await connect_to(addr)
                body = b"x" * 8_000_000
                length = (b"content-length", str(len(body)).encode())
                await conn.send(b"POST", b"/", [*HEADERS, length], body)
                head = await conn.receive_head()
                self.assertEqual(head.status, 413)
                data = [chunk async for chunk in conn.receive_body()]
                self.assertEqual(b"".join(data), b"no")
                self.assertFalse(conn.prepare_for_reuse())
                await conn.close()

        anyio.run(run)


class EndlessAnswerTest(unittest.TestCase):
    """Servers that send bytes without end."""

    BEGINNINGS = {
        "head": (b"", b"x" * 4_096),
        "header lines": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 512),
        "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
        "chunk size": (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"0" * 4_096,
        ),
        "chunk extension": (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;",
            b"e" * 4_096,
        ),
        "trailer": (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            b"t: v\r\n" * 512,
        ),
    }
    # What the entry may read before it gives up. Some hundred connections at once must
    # fit into the memory of the smallest hosts.
    MAX_BYTES = 262_144

    # Guards against an entry that runs out of memory because of one server.
    def test_bytes_that_are_no_answer(self):
        """The connection gives up after a bounded number of bytes."""
        for name, (beginning, part) in self.BEGINNINGS.items():
            with self.subTest(name):
                self.assertLess(anyio.run(self.count_read, beginning, part), 1)

    async def count_read(self, beginning: bytes, part: bytes) -> int:
        """Return how many times `MAX_BYTES` a connection has read."""

        async def serve(stream, head):
            await stream.send(beginning)
            while True:
                await stream.send(part)

        async with run_scripted_server(serve) as (addr, _):
            conn = await connect_to(addr)
            n_read = 0
            receive = conn._stream.receive

            async def count(max_bytes: int) -> bytes:
                nonlocal n_read
                data = await receive(max_bytes)
                n_read += len(data)
                return data

            conn._stream.receive = count
            with anyio.fail_after(DEFAULT_TIMEOUT_S):
                with self.assertRaises(BrokenAnswerError):
                    await fetch_body(conn)
            await conn.close()
        return n_read // self.MAX_BYTES


class _IdleConnection:
    """Stands in for an idle connection; closing it takes until `may_close` is set."""

    def __init__(self, is_usable: bool):
        self.may_close = anyio.Event()
        self.closing = anyio.Event()
        self.idle_limit_ms = None
        self.idle_since_ms = 0.0
        self._is_usable = is_usable

    def prepare_for_reuse(self) -> bool:
        """Accept the connection into the pool."""
        return True

    def has_unexpected_data(self) -> bool:
        """Return whether the server has closed the connection."""
        return not self._is_usable

    async def close(self) -> None:
        """Wait, as for a busy event loop."""
        self.closing.set()
        await self.may_close.wait()


class ConnectionPoolTest(unittest.TestCase):
    """The pool's choice between idle and new connections, and its limits."""

    def test_idle_connection_is_used(self):
        """A second request to an address uses the connection of the first."""

        async def run():
            async with run_scripted_server(always_send(build_answer())) as (addr, _):
                pool = ConnectionPool()
                first = await pool.acquire(addr, monotonic_ms(), 1000)
                await fetch_body(first)
                await pool.release(addr, first, monotonic_ms())
                second = await pool.acquire(addr, monotonic_ms(), 1000)
                self.assertIs(first, second)
                await second.close()

        anyio.run(run)

    def test_idle_limit(self):
        """A connection is not used after being idle for half the server's limit."""

        async def run():
            serve = always_send(build_answer(extra_headers="Keep-Alive: timeout=2\r\n"))
            async with run_scripted_server(serve) as (addr, _):
                pool = ConnectionPool()
                now_ms = monotonic_ms()
                first = await pool.acquire(addr, now_ms, 1000)
                await fetch_body(first)
                await pool.release(addr, first, now_ms)
                second = await pool.acquire(addr, now_ms + 1_001, 1000)
                self.assertIsNot(first, second)
                await second.close()

        anyio.run(run)

    def test_endless_body(self):
        """`exchange` reports an answer over the size limit as broken."""

        async def serve(stream, head):
            await stream.send(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                await stream.send(b"x" * 65_536)

        async def run():
            async with run_scripted_server(serve) as (addr, _):
                pool = ConnectionPool()
                return await pool.exchange(
                    addr, "GET", "/", [], b"", monotonic_ms(), 20_000.0
                )

        self.assertEqual(anyio.run(run).failure().code, Code.ANSWER_CUT)

    # Guards against a keeper that runs out of memory because many engines send reports
    # without end.
    def test_body_over_the_callers_limit(self):
        """`exchange` reads no more than its caller asks for."""

        async def run(max_body_bytes: int):
            answer = build_answer(b"x" * 2_000)
            async with run_scripted_server(always_send(answer)) as (addr, _):
                return await ConnectionPool().exchange(
                    addr, "GET", "/", [], b"", monotonic_ms(), 20_000.0, max_body_bytes
                )

        self.assertEqual(len(anyio.run(run, 2_000).unwrap().body), 2_000)
        self.assertEqual(anyio.run(run, 1_999).failure().code, Code.ANSWER_CUT)

    def test_no_listener(self):
        """`acquire` returns None when nothing listens at the address."""

        async def run():
            pool = ConnectionPool()
            conn = await pool.acquire("127.0.0.1:1", monotonic_ms(), 1000)
            self.assertIsNone(conn)

        anyio.run(run)

    # Guards against streams that are cut because two requests share a connection.
    def test_one_connection_for_one_request(self):
        """A connection is given out once while others are being closed."""
        acquired = anyio.run(self.acquire_twice_during_sweep)
        n_idle = sum(isinstance(conn, _IdleConnection) for conn in acquired)
        self.assertEqual((len(acquired), n_idle), (2, 1))

    async def acquire_twice_during_sweep(self) -> list:
        """Acquire a connection, sweep while a dead one is closed, acquire another."""
        addr = "127.0.0.1:1"  # Nothing listens there, so no connection can be opened.
        pool = ConnectionPool()
        usable, dead = _IdleConnection(True), _IdleConnection(False)
        await pool.release(addr, usable, 0.0)
        await pool.release(addr, dead, 0.0)
        acquired = []

        async def acquire() -> None:
            acquired.append(await pool.acquire(addr, 0.0, 1_000.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(acquire)
            await dead.closing.wait()
            await pool.close_expired({addr}, 0.0)
            await acquire()
            dead.may_close.set()
        return acquired
