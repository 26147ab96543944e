"""Connections to backend servers: whose bytes are whose, and what is whole."""

import unittest

import anyio

from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code
from cowslipwood.kernel.http_connection import BrokenAnswerError, open_connection
from cowslipwood.kernel.http_pool import ConnectionPool
from cowslipwood.kernel.settings import parse_address

from .direct_builders import always, reply, scripted_server

HEADERS = [(b"host", b"shop.example"), (b"x-request-id", b"q1")]


async def fetch(conn) -> bytes:
    """Send a request and return the whole body."""
    await conn.send(b"GET", b"/", HEADERS, b"")
    await conn.receive_head()
    return b"".join([chunk async for chunk in conn.receive_body()])


async def open_to(addr: str):
    """Connect."""
    return await open_connection(*parse_address(addr), 1_000.0)


class ServerConnectionTest(unittest.TestCase):
    """One exchange after the other on one connection."""

    def test_reuse(self):
        """A connection whose answer was whole carries the next request."""

        async def run():
            async with scripted_server(always(reply())) as (addr, _):
                conn = await open_to(addr)
                self.assertEqual(await fetch(conn), b"ok")
                self.assertTrue(conn.prepare_for_reuse())
                self.assertEqual(await fetch(conn), b"ok")
                await conn.close()

        anyio.run(run)

    def test_surplus_bytes(self):
        """Bytes after a complete answer make the connection unusable."""

        async def run():
            async with scripted_server(always(reply() + reply(b"late"))) as (addr, _):
                conn = await open_to(addr)
                self.assertEqual(await fetch(conn), b"ok")
                self.assertFalse(conn.prepare_for_reuse())
                await conn.close()

        anyio.run(run)

    def test_late_surplus(self):
        """An answer that comes while none is due is seen before the next request."""

        async def serve(stream, head):
            await stream.send(reply())
            await anyio.sleep(0.05)
            await stream.send(reply(b"late"))

        async def run():
            async with scripted_server(serve) as (addr, _):
                conn = await open_to(addr)
                await fetch(conn)
                self.assertTrue(conn.prepare_for_reuse())
                await anyio.sleep(0.2)
                self.assertTrue(conn.has_unexpected_data())
                await conn.close()

        anyio.run(run)

    def check_broken(self, data: bytes) -> None:
        async def serve(stream, head):
            await stream.send(data)
            await stream.aclose()

        async def run():
            async with scripted_server(serve) as (addr, _):
                conn = await open_to(addr)
                with self.assertRaises(BrokenAnswerError):
                    await fetch(conn)
                await conn.close()

        anyio.run(run)

    def test_cut_answer(self):
        """An answer shorter than its length is not whole."""
        self.check_broken(reply(b"whole body")[:-3])

    def test_no_http(self):
        """Bytes that are no answer are told as such."""
        self.check_broken(b"\x00\x01 garbage\r\n\r\n")

    def check_endless(self, start: bytes, again: bytes) -> None:
        """Check that an answer that never ends is given up by its form alone."""

        async def serve(stream, head):
            await stream.send(start)
            while True:
                await stream.send(again)

        async def run():
            async with scripted_server(serve) as (addr, _):
                conn = await open_to(addr)
                with self.assertRaises(BrokenAnswerError), anyio.fail_after(20):
                    await fetch(conn)
                await conn.close()

        anyio.run(run)

    def test_endless_head(self):
        """Bytes without end in place of a head are given up, with or without lines."""
        self.check_endless(b"", b"x" * 4_096)
        self.check_endless(b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n" * 400)

    def test_endless_interim(self):
        """Interim answers without end are given up."""
        self.check_endless(b"", b"HTTP/1.1 102 Processing\r\n\r\n")

    def test_endless_chunk_head(self):
        """A chunk whose length never ends is given up."""
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        self.check_endless(head, b"0" * 4_096)

    def test_early_answer(self):
        """An answer before a long body was read spoils the connection only."""

        async def serve(stream, head):
            await stream.send(reply(b"no", status="413 Too Large"))
            await anyio.sleep(1)

        async def run():
            async with scripted_server(serve) as (addr, _):
                conn = await open_to(addr)
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


class ConnectionPoolTest(unittest.TestCase):
    """Kept connections."""

    def test_kept_connection_is_used(self):
        """The second request to an address goes over the first one's connection."""

        async def run():
            async with scripted_server(always(reply())) as (addr, _):
                pool = ConnectionPool()
                first = await pool.acquire(addr, monotonic_ms(), 1000)
                await fetch(first)
                await pool.release(addr, first, monotonic_ms())
                second = await pool.acquire(addr, monotonic_ms(), 1000)
                self.assertIs(first, second)
                await second.close()

        anyio.run(run)

    def test_idle_limit(self):
        """A connection idle for half the server's own limit is not used again."""

        async def run():
            script = always(reply(more="Keep-Alive: timeout=2\r\n"))
            async with scripted_server(script) as (addr, _):
                pool = ConnectionPool()
                now_ms = monotonic_ms()
                first = await pool.acquire(addr, now_ms, 1000)
                await fetch(first)
                await pool.release(addr, first, now_ms)
                second = await pool.acquire(addr, now_ms + 1_001, 1000)
                self.assertIsNot(first, second)
                await second.close()

        anyio.run(run)

    def test_endless_body(self):
        """An answer that is read whole ends at a bound, and its connection too."""

        async def serve(stream, head):
            await stream.send(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                await stream.send(b"x" * 65_536)

        async def run():
            async with scripted_server(serve) as (addr, _):
                pool = ConnectionPool()
                return await pool.exchange(
                    addr, "GET", "/", [], b"", monotonic_ms(), 20_000.0
                )

        self.assertEqual(anyio.run(run).failure().code, Code.ANSWER_CUT)

    def test_nobody_listens(self):
        """No connection means that nothing was sent."""

        async def run():
            pool = ConnectionPool()
            conn = await pool.acquire("127.0.0.1:1", monotonic_ms(), 1000)
            self.assertIsNone(conn)

        anyio.run(run)
