"""How soon and how surely a server's work ends after the caller has left."""

import asyncio
import contextlib
import select
import socket
import unittest
from collections.abc import AsyncIterator

import anyio

from cowslipwood.entry.direct._app import RouteApp
from cowslipwood.entry.receiving._caller_protocol import make_caller_protocol
from cowslipwood.kernel.http import HttpServer
from cowslipwood.kernel.metrics import Metrics

from .direct_builders import (
    build_direct_state,
    build_document,
    build_listed_server,
    create_rng,
)
from .processes import DEFAULT_TIMEOUT_S

REQUEST = b"GET /orders/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: q1\r\n\r\n"
# A server must have ended its work 400 ms after the caller left, and an iteration of
# the event loop may take 100 ms while the entry is busy.
MAX_ITERATIONS = 3


@contextlib.asynccontextmanager
async def forward_request() -> AsyncIterator[tuple[socket.socket, socket.socket]]:
    """Yield a caller's and a server's socket of a request that an entry forwards."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        addr = f"127.0.0.1:{listener.getsockname()[1]}"
        state = build_direct_state([build_listed_server("s0", addr)])
        state.apply_document(build_document())
        sock = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        sock.setblocking(False)
        protocol = make_caller_protocol(Metrics("entry"), 5_000.0)
        server = HttpServer(RouteApp(state, create_rng()), sock, protocol)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            caller = stack.enter_context(socket.create_connection(sock.getsockname()))
            caller.sendall(REQUEST)
            listener.settimeout(DEFAULT_TIMEOUT_S)
            accepted, _ = await anyio.to_thread.run_sync(listener.accept)
            backend = stack.enter_context(accepted)
            backend.settimeout(DEFAULT_TIMEOUT_S)
            await anyio.to_thread.run_sync(backend.recv, 65_536)
            yield caller, backend
            tasks.cancel_scope.cancel()


class CallerDisconnectsTest(unittest.TestCase):
    """The connection to the server after the caller's has been closed."""

    # Guards against streams that go on elsewhere while a server still works on them,
    # because a busy entry notices only later that the caller has left.
    def test_busy_entry(self):
        """The server's connection is closed within few iterations of a busy loop."""
        n_iterations = anyio.run(self.count_iterations)
        self.assertLessEqual(n_iterations, MAX_ITERATIONS)

    async def count_iterations(self) -> int:
        """Return the iterations from the caller's close to the server's."""
        n_iterations = 0
        loop = asyncio.get_running_loop()
        closed = anyio.Event()
        async with forward_request() as (caller, backend):
            poll = select.poll()
            poll.register(backend, select.POLLIN)

            def count() -> None:
                nonlocal n_iterations
                if poll.poll(0):
                    closed.set()
                    return
                n_iterations += 1
                loop.call_soon(count)

            caller.close()
            # The event loop polls its sockets at the begin of the next iteration.
            loop.call_soon(count)
            with anyio.fail_after(DEFAULT_TIMEOUT_S):
                await closed.wait()
        return n_iterations

    # Guards against servers that take a close for the end of the request and go on.
    def test_incomplete_exchange_is_reset(self):
        """The server's connection is reset when no whole answer has come."""

        async def close_and_read() -> None:
            async with forward_request() as (caller, backend):
                caller.close()
                await anyio.to_thread.run_sync(backend.recv, 1)

        with self.assertRaises(ExceptionGroup) as raised:
            anyio.run(close_and_read)
        self.assertIsInstance(raised.exception.exceptions[0], ConnectionResetError)
