"""The entry's connections: real sockets to callers and to a fake agent."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import orjson

from cowslipwood.entry.choosing._backend import LoadReport
from cowslipwood.entry.receiving._caller_protocol import make_caller_protocol
from cowslipwood.entry.sending._dispatcher import Dispatcher
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, failure
from cowslipwood.kernel.http import HttpServer, bind_socket, make_error_body

from .builders import model_value, service_value
from .entry_builders import (
    make_app,
    make_components,
    make_engine_view,
    make_service_view,
)

TEST_TIMEOUT_S = 60.0
MAX_TOKENS = 30_000
MAX_CONNECTIONS = 20
HEAD_TIMEOUT_MS = 100.0
TOKEN_EVENT = b'data: {"index": 0, "text": "a "}\n\n'
STREAM_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

AgentHandler = Callable[[anyio.abc.SocketStream, bytes], Awaitable[None]]


def _encode_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class _EntryWithAgent:
    """An entry's application on a socket, with one fake agent."""

    def __init__(self, agent: AgentHandler, head_timeout_ms: float = HEAD_TIMEOUT_MS):
        self._agent = agent
        self._head_timeout_ms = head_timeout_ms
        self.n_agent_calls = 0
        self.n_agent_connections = 0
        self.agent_disconnected = anyio.Event()

    async def run(self, test: Callable[["_EntryWithAgent"], Awaitable[None]]) -> None:
        """Start the entry and the agent, and run a test against them."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        addr = f"127.0.0.1:{port}"
        values = [model_value("m1"), service_value("rosters", repeatable=False)]
        servers = [
            make_engine_view("s0", "m1", http_addr=addr),
            make_service_view("s1", "rosters", http_addr=addr),
        ]
        self.app = make_app(None, values, servers)
        self.load_reports: list[tuple[str, LoadReport]] = []
        dispatcher = Dispatcher(
            "token", lambda *report: self.load_reports.append(report)
        )
        components = make_components(self.app._components.view, dispatcher)
        components.view.keeper_message_at_ms = monotonic_ms()
        self.app._components = components
        self.metrics = components.metrics
        sock = bind_socket("127.0.0.1:0")
        self.port = sock.getsockname()[1]
        protocol = make_caller_protocol(
            self.metrics, self._head_timeout_ms, MAX_CONNECTIONS
        )
        server = HttpServer(self.app, sock, protocol)
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, self._serve_agent)
                tasks.start_soon(server.run)
                await test(self)
                server.stop()
                tasks.cancel_scope.cancel()

    async def _serve_agent(self, stream: anyio.abc.SocketStream) -> None:
        self.n_agent_connections += 1
        try:
            while True:
                request = await _read_request(stream)
                self.n_agent_calls += 1
                await self._agent(stream, request)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            self.agent_disconnected.set()
        except anyio.ClosedResourceError:
            pass

    async def connect(self) -> anyio.abc.SocketStream:
        """Open a caller's connection."""
        return await anyio.connect_tcp("127.0.0.1", self.port)

    async def call(self, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        """Send one request and return its status and JSON body."""
        stream = await self.connect()
        await stream.send(_encode_post(path, body))
        data = await _read_to_end(stream)
        head, _, answer = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), orjson.loads(answer)

    async def wait_until_counted(self, name: str, reason: str) -> None:
        """Wait until a counter is no longer 0."""
        while not self.metrics.value(name, reason=reason):
            await anyio.sleep(0.005)


def _encode_post(path: str, body: bytes) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
    return head.encode() + f"content-length: {len(body)}\r\n\r\n".encode() + body


async def _read_request(stream: anyio.abc.SocketStream) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    length = next(
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    while len(body) < length:
        body += await stream.receive()
    return body


async def _read_to_end(stream: anyio.abc.SocketStream) -> bytes:
    data = b""
    try:
        while True:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return data


async def _answer_with_request(stream: anyio.abc.SocketStream, request: bytes) -> None:
    length = str(len(request)).encode()
    await stream.send(
        b"HTTP/1.1 200 OK\r\ncontent-length: " + length + b"\r\n\r\n" + request
    )


class TestDisconnect(unittest.TestCase):
    """A caller's disconnect is passed on to the agent."""

    def test_caller_of_a_stream(self):
        """When a caller disconnects from a stream, the agent's connection closes."""

        async def agent(stream, request):
            await stream.send(STREAM_RESPONSE_HEAD)
            for index in range(MAX_TOKENS):
                event = TOKEN_EVENT.replace(b"0", str(index).encode())
                await stream.send(_encode_chunk(event))
                await anyio.sleep(0.005)

        async def test(entry):
            caller = await entry.connect()
            value = {"model": "m1", "prompt": "p", "stream": True}
            body = orjson.dumps({**value, "max_tokens": MAX_TOKENS})
            await caller.send(_encode_post("/v1/completions", body))
            await caller.receive()
            await caller.aclose()
            await entry.agent_disconnected.wait()
            await entry.wait_until_counted("callers_lost_total", "PEER_GONE")

        anyio.run(_EntryWithAgent(agent).run, test)


class TestConnectionReuse(unittest.TestCase):
    """Connections to agents are reused."""

    def test_after_complete_stream(self):
        """The connection of a complete stream is reused for the next request."""

        async def agent(stream, request):
            parts = (TOKEN_EVENT, b"data: [DONE]\n\n")
            await stream.send(
                STREAM_RESPONSE_HEAD + b"".join(map(_encode_chunk, parts))
            )
            await stream.send(b"0\r\n\r\n")

        async def test(entry):
            body = b'{"model": "m1", "prompt": "p", "max_tokens": 1}'
            for _ in range(5):
                status, _ = await entry.call("/v1/completions", body)
                self.assertEqual(status, 200)
            self.assertEqual(entry.n_agent_connections, 1)

        anyio.run(_EntryWithAgent(agent).run, test)


class TestMisbehavingCallers(unittest.TestCase):
    """A misbehaving caller loses only its own connection."""

    def _run(self, test):
        anyio.run(_EntryWithAgent(_answer_with_request).run, test)

    async def _assert_still_serves(self, entry):
        status, value = await entry.call("/services/rosters/x", b'{"a": 1}')
        self.assertEqual((status, value), (200, {"a": 1}))

    def test_incomplete_head(self):
        """An incomplete request head is refused after the timeout and counted."""

        async def test(entry):
            caller = await entry.connect()
            await caller.send(b"POST /v1/completions HTTP/1.1\r\nhost:")
            data = await _read_to_end(caller)
            self.assertIn(b" 408 ", data)
            self.assertIn(b'"HEAD_TIMEOUT"', data)
            await entry.wait_until_counted("refusals_total", "HEAD_TIMEOUT")
            await self._assert_still_serves(entry)

        self._run(test)

    def test_endless_head(self):
        """Headers that do not end are refused at the size limit and counted."""

        async def test(entry):
            caller = await entry.connect()
            await caller.send(b"GET / HTTP/1.1\r\n")
            with self.assertRaises((anyio.BrokenResourceError, anyio.EndOfStream)):
                while True:
                    await caller.send(b"x: " + b"y" * 4_096 + b"\r\n")
            await entry.wait_until_counted("refusals_total", "BAD_HEADER")
            await self._assert_still_serves(entry)

        self._run(test)

    def test_too_many_connections(self):
        """One connection over the limit is refused by its code; the others stay."""

        async def test(entry):
            open_callers = [await entry.connect() for _ in range(MAX_CONNECTIONS)]
            data = await _read_to_end(await entry.connect())
            self.assertIn(b" 503 ", data)
            self.assertIn(b'"TOO_MANY_CONNECTIONS"', data)
            self.assertIn(b"retry-after: 1", data)
            for caller in open_callers:
                await caller.aclose()
            await entry.wait_until_counted("refusals_total", "TOO_MANY_CONNECTIONS")
            await self._assert_still_serves(entry)

        # A long head timeout keeps the open connections alive until the test ends.
        anyio.run(
            _EntryWithAgent(_answer_with_request, TEST_TIMEOUT_S * 1_000).run, test
        )

    def test_bytes_that_are_not_http(self):
        """Bytes that are not HTTP are refused with a result code."""

        async def test(entry):
            caller = await entry.connect()
            await caller.send(b"\x00\x01\x02 rubbish\r\n\r\n")
            self.assertIn(b'"BAD_HEADER"', await _read_to_end(caller))
            await self._assert_still_serves(entry)

        self._run(test)


class TestOutcomes(unittest.TestCase):
    """The outcome that a caller gets follows from what may have reached the agent."""

    def _call(self, agent, n_calls=1):
        entry = _EntryWithAgent(agent)

        async def test(entry):
            status, value = await entry.call("/services/rosters/x", b"{}")
            self.assertEqual(entry.n_agent_calls, n_calls)
            self.status, self.error = status, value["error"]

        anyio.run(entry.run, test)
        return self.status, self.error["name"], self.error["outcome"]

    def test_cut_body(self):
        """A body shorter than its content-length is ANSWER_CUT, not a 200."""

        async def agent(stream, request):
            await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf")
            await stream.aclose()

        self.assertEqual(self._call(agent), (502, "ANSWER_CUT", "unknown"))

    def test_no_answer(self):
        """A connection lost after the request was sent leaves the outcome unknown."""

        async def agent(stream, request):
            await stream.aclose()

        self.assertEqual(self._call(agent), (504, "OUTCOME_UNKNOWN", "unknown"))

    def test_unreadable_refusal(self):
        """A refusal that cannot be parsed does not prove the outcome not-run."""

        async def agent(stream, request):
            await stream.send(
                b"HTTP/1.1 503 No\r\nx-cowslip-outcome: not-run\r\n"
                b"content-length: 3\r\n\r\n{}x"
            )

        self.assertEqual(self._call(agent), (504, "OUTCOME_UNKNOWN", "unknown"))

    def test_load_report_of_a_refusal(self):
        """The load report that comes with a refusal is passed on."""
        fault = make_error_body(failure(Code.AGENT_OVERLOADED, "", 100))
        report = {"n_in_flight": 3, "n_queued": 2, "wait_ms": 7.5, "knee_in_flight": 4}
        body = orjson.dumps(fault)

        async def agent(stream, request):
            await stream.send(
                b"HTTP/1.1 503 No\r\nx-cowslip-outcome: not-run\r\n"
                + b"x-cowslip-report: "
                + orjson.dumps(report)
                + f"\r\ncontent-length: {len(body)}\r\n\r\n".encode()
                + body
            )

        entry = _EntryWithAgent(agent)

        async def test(entry):
            body = b'{"model": "m1", "prompt": "p"}'
            status, value = await entry.call("/v1/completions", body)
            self.assertEqual((status, value["error"]["outcome"]), (503, "not-run"))
            self.assertEqual(entry.load_reports, [("s0", LoadReport(3, 2, 7.5, 4))])

        anyio.run(entry.run, test)

    def test_no_connection(self):
        """A failure to connect has outcome not-run and names the cause."""
        entry = _EntryWithAgent(_answer_with_request)

        async def test(entry):
            view = entry.app._components.view
            for backend in view.backends.values():
                unreachable = backend.view._replace(http_addr="127.0.0.1:1")
                backend.update_view(unreachable, monotonic_ms())
            status, value = await entry.call("/services/rosters/x", b"{}")
            self.assertEqual((status, value["error"]["outcome"]), (503, "not-run"))
            self.assertEqual(value["error"]["code"], Code.RETRIES_EXHAUSTED)
            self.assertIn("BACKEND_UNREACHABLE", value["error"]["message"])

        anyio.run(entry.run, test)

    def test_callers_get_their_own_answers(self):
        """Callers that share reused connections each get their own answer."""
        entry = _EntryWithAgent(_answer_with_request)

        async def test(entry):
            async def send_numbered_request(number):
                body = orjson.dumps({"caller": number})
                _, value = await entry.call("/services/rosters/x", body)
                self.assertEqual(value, {"caller": number})

            for batch in range(10):
                async with anyio.create_task_group() as tasks:
                    for number in range(10):
                        tasks.start_soon(send_numbered_request, 10 * batch + number)

        anyio.run(entry.run, test)


class TestLargeBody(unittest.TestCase):
    """A body far larger than the limit."""

    def test_refusal_is_read(self):
        """A caller that sends 64 MiB can read a 413 with its result code."""

        async def test(entry: _EntryWithAgent) -> None:
            stream = await entry.connect()
            n_bytes = 64 * 1024 * 1024
            head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
            await stream.send(f"{head}content-length: {n_bytes}\r\n\r\n".encode())
            part = b"x" * (1024 * 1024)
            for _ in range(n_bytes // len(part)):
                await stream.send(part)
            data = await _read_to_end(stream)
            self.assertTrue(data.startswith(b"HTTP/1.1 413"))
            answer = orjson.loads(data.partition(b"\r\n\r\n")[2])
            self.assertEqual(answer["error"]["code"], Code.BODY_TOO_LARGE)

        anyio.run(_EntryWithAgent(_never_answer).run, test)


async def _never_answer(stream: anyio.abc.SocketStream, request: bytes) -> None:
    """Send no answer."""
