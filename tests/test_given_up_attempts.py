"""Streams go on elsewhere only when the server that was given up has stopped."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import anyio
import anyio.abc
from structlog.testing import capture_logs

from cowslipwood.entry.direct import _forwarding, _sending, _stopping
from cowslipwood.entry.direct._attempt_record import AttemptRecorder
from cowslipwood.entry.direct._exchange import RequestForwarder
from cowslipwood.entry.direct._progress import GivenUpAttempt
from cowslipwood.entry.direct._retries import STOP_PAUSE_MS, compute_stop_pause_ms
from cowslipwood.entry.direct._server_reports import NoReports, ServerReports
from cowslipwood.entry.direct._stopping import STOP_LIMIT_MS, StopWaiter
from cowslipwood.kernel.codes import Code
from cowslipwood.kernel.event_stream import MAX_EVENT_BYTES
from cowslipwood.kernel.http_pool import ConnectionPool
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.routes import RouteKind

from .answer_builders import (
    STREAM_HEADERS,
    End,
    Framing,
    build_events,
    frame_answer,
    send_and_end,
)
from .direct_builders import (
    RecordingSink,
    ServerScript,
    build_answer,
    build_direct_state,
    build_listed_server,
    build_request,
    build_route,
    create_rng,
    read_head,
    run_scripted_server,
)

HEAD, BODY = frame_answer(Framing.CHUNKS, build_events(1, 4), headers=STREAM_HEADERS)
RESUMED = frame_answer(Framing.CHUNKS, build_events(3, 4), headers=STREAM_HEADERS)
EVENT_1_AND_2 = b"%x\r\n%b\r\n" % (len(build_events(1, 2)), build_events(1, 2))
HUGE_EVENT = b"%x\r\n" % (2 * MAX_EVENT_BYTES) + b"x" * (2 * MAX_EVENT_BYTES)
# What a server sends before it goes on working in silence.
LEFT_AT_WORK = {
    "silence": b"",
    "stall": HEAD + EVENT_1_AND_2,
    "foreign": build_answer(request_id="q0"),
    "malformed": b"no answer\r\n\r\n",
    "huge event": HEAD + HUGE_EVENT,
}
# What a server sends before it ends its connection or its answer.
ENDED_BY_SERVER = {
    "reset": send_and_end(b"", End.RESET),
    "closed": send_and_end(b"", End.CLOSED),
    "cut head": send_and_end(HEAD[:-9], End.CLOSED),
    "cut stream": send_and_end(HEAD + EVENT_1_AND_2, End.CLOSED),
    "reset stream": send_and_end(HEAD + EVENT_1_AND_2, End.RESET),
    "part of an event": send_and_end(
        HEAD + EVENT_1_AND_2 + b"5\r\nid: 3\r\n0\r\n\r\n", End.CLOSED
    ),
    "unexplained refusal": send_and_end(
        build_answer(status="503 Service Unavailable"), End.CLOSED
    ),
    "error": send_and_end(build_answer(status="500 Error"), End.CLOSED),
}
STREAM: dict[str, Any] = {
    "kind": RouteKind.STREAMING,
    "is_resumable": True,
    "timeout_ms": 20_000.0,
    "target_latency_ms": 1.0,
}
# Time, in seconds, that a server takes to notice a closed connection.
NOTICE_S = 0.1


class Servers:
    """Two servers with one script; only the second that is asked answers at once.

    Parameters
    ----------
    script : callable
        What the first one does.
    """

    def __init__(self, script: ServerScript):
        self._script = script
        self.n_requests = 0
        self.was_at_work = False
        self.is_first_at_work = False

    async def serve(self, stream: anyio.abc.SocketStream, head: bytes) -> None:
        """Answer a request."""
        self.n_requests += 1
        if self.n_requests > 1:
            self.was_at_work = self.is_first_at_work
            is_resume = b"last-event-id" in head.lower()
            await stream.send(b"".join(RESUMED) if is_resume else HEAD + BODY)
            return
        self.is_first_at_work = True
        try:
            await self._script(stream, head)
        finally:
            self.is_first_at_work = False


def work_until_closed(data: bytes) -> ServerScript:
    """Return a script that sends bytes and works until it notices the close."""

    async def serve(stream: anyio.abc.SocketStream, head: bytes) -> None:
        if data:
            await stream.send(data)
        await read_head(stream)
        await anyio.sleep(NOTICE_S)

    return serve


def run_request(
    script: ServerScript,
    during: Callable | None = None,
    runs: ServerReports | None = None,
    **route: Any,
) -> tuple[Any, RecordingSink, Servers, list]:
    """Send one request to an entry with two servers; return what came of it.

    `runs` tells what the servers run; by default, they do not tell.

    Returns
    -------
    tuple
        The failure or None, the answer, the servers, and the lines of the log.
    """
    servers, sink = Servers(script), RecordingSink()
    faults: list[Any] = []

    async def main() -> None:
        async with (
            run_scripted_server(servers.serve) as (first, _),
            run_scripted_server(servers.serve) as (second, _),
            anyio.create_task_group() as tasks,
        ):
            state = build_direct_state(
                [build_listed_server("s0", first), build_listed_server("s1", second)]
            )
            state.stop_waiter = StopWaiter(
                state.pool, runs or NoReports(), state.metrics, state.now_ms
            )
            request = build_request(build_route(**{**STREAM, **route}))
            if during is not None:
                tasks.start_soon(during, servers, tasks.cancel_scope)
            forwarder = RequestForwarder(state, request, sink, create_rng())
            faults.append(await forwarder.run())
            tasks.cancel_scope.cancel()

    with (
        mock.patch.object(_sending, "MIN_SILENCE_MS", 200.0),
        mock.patch.object(_forwarding, "MIN_STALL_MS", 200.0),
        capture_logs() as logs,
    ):
        anyio.run(main)
    return faults[0] if faults else None, sink, servers, logs


def get_lines(logs: list, event: str) -> list:
    """Return the lines of the log for an event."""
    return [line for line in logs if line["event"] == event]


class GivenUpAttemptTest(unittest.TestCase):
    """The entry ended an attempt, at which its server may still work."""

    # Guards against streams that went on elsewhere while their first server worked.
    def test_goes_on_when_the_server_has_stopped(self):
        """The next server gets the stream after the first has noticed the close."""
        for name, data in LEFT_AT_WORK.items():
            with self.subTest(name):
                fault, sink, servers, logs = run_request(work_until_closed(data))
                self.assertIsNone(fault)
                self.assertEqual(sink.body, build_events(1, 4))
                self.assertEqual(servers.n_requests, 2)
                self.assertFalse(servers.was_at_work)
                failed = get_lines(logs, "attempt_failed")
                self.assertEqual([line["ended_by"] for line in failed], ["entry"])

    # Guards against a pause that costs callers time after the server has stopped.
    def test_goes_on_at_once_after_the_servers_own_end(self):
        """A server that ended its connection or answer has stopped."""
        for name, script in ENDED_BY_SERVER.items():
            with self.subTest(name):
                fault, sink, servers, logs = run_request(script)
                self.assertIsNone(fault)
                self.assertEqual(sink.body, build_events(1, 4))
                failed = get_lines(logs, "attempt_failed")
                self.assertEqual([line["ended_by"] for line in failed], ["server"])
                retried = get_lines(logs, "request_retried")
                self.assertEqual([line["paused_ms"] for line in retried], [0])

    def test_plain_request(self):
        """A plain request that may run more than once goes on without a pause."""
        script = work_until_closed(build_answer(request_id="q0"))
        fault, _, servers, logs = run_request(script, kind=RouteKind.SAFE)
        self.assertIsNone(fault)
        self.assertTrue(servers.was_at_work)
        self.assertEqual(get_lines(logs, "request_retried")[0]["paused_ms"], 0)

    def test_little_time_left(self):
        """The request fails at once when the pause would take its time."""
        script = work_until_closed(build_answer(request_id="q0"))
        fault, _, servers, logs = run_request(script, timeout_ms=STOP_PAUSE_MS)
        self.assertEqual(fault.code, Code.OUTCOME_UNKNOWN)
        self.assertEqual(servers.n_requests, 1)
        self.assertEqual(get_lines(logs, "request_retried"), [])

    def test_caller_leaves_in_the_pause(self):
        """A request whose caller leaves during the pause is not sent again."""

        async def leave(servers: Servers, scope: anyio.CancelScope) -> None:
            while not servers.n_requests or servers.is_first_at_work:
                await anyio.sleep(0.01)
            scope.cancel()

        script = work_until_closed(build_answer(request_id="q0"))
        _, _, servers, logs = run_request(script, leave)
        self.assertEqual(servers.n_requests, 1)
        self.assertEqual(len(get_lines(logs, "attempt_failed")), 1)


class SingleRunTest(unittest.TestCase):
    """Requests that may run once."""

    # Guards against a second run after any failure without a proof that it did not run.
    def test_not_sent_again(self):
        """No way in which an attempt fails sends the request a second time."""
        scripts = {name: work_until_closed(data) for name, data in LEFT_AT_WORK.items()}
        routes = (
            {"kind": RouteKind.UNSAFE, "is_resumable": False},
            {"kind": RouteKind.UNSAFE, "is_resumable": True},
            {"kind": RouteKind.STREAMING, "is_resumable": False},
        )
        for route in routes:
            for name, script in {**scripts, **ENDED_BY_SERVER}.items():
                with self.subTest(name, **route):
                    _, sink, servers, _ = run_request(
                        script, timeout_ms=600.0, max_attempts=2, **route
                    )
                    self.assertEqual(servers.n_requests, 1)


class ScriptedRuns:
    """`ServerReports` that give these answers in order, then the last one again."""

    def __init__(self, answers: list[bool | None]):
        self._answers = answers
        self.n_calls = 0

    async def find_run(self, *args: Any) -> bool | None:
        """Return the next answer."""
        answer = self._answers[min(self.n_calls, len(self._answers) - 1)]
        self.n_calls += 1
        return answer


class ReportedRunTest(unittest.TestCase):
    """What a server says that it runs decides whether a stream goes on elsewhere."""

    def wait(self, answers: list[bool | None]) -> tuple[bool, int, float]:
        """Return whether the stream goes on, the number of questions and the time."""
        runs = ScriptedRuns(answers)
        now_ms = 0.0

        async def pass_time(time_s: float) -> None:
            nonlocal now_ms
            now_ms += time_s * 1000

        async def main() -> bool:
            waiter = StopWaiter(
                ConnectionPool(), runs, Metrics("entry"), lambda: now_ms
            )
            attempt = GivenUpAttempt("s0", "127.0.0.1:1", 0.0)
            return await waiter.wait("q1", attempt, STOP_PAUSE_MS)

        with mock.patch.object(_stopping.anyio, "sleep", pass_time):
            goes_on = asyncio.run(main())
        return goes_on, runs.n_calls, now_ms

    # Guards against streams that went on while a server that ignores a close worked.
    def test_run_goes_on(self):
        """A run that the server still reports after the limit ends the request."""
        self.assertEqual(self.wait([True]), (False, 5, STOP_LIMIT_MS))

    def test_run_ends(self):
        """The stream goes on once the server no longer reports the run."""
        self.assertEqual(self.wait([False]), (True, 1, STOP_PAUSE_MS))
        self.assertEqual(self.wait([True, False]), (True, 2, 600.0))

    def test_no_word(self):
        """A silent server has stopped, unless it said before that it works."""
        self.assertEqual(self.wait([None]), (True, 1, STOP_PAUSE_MS))
        self.assertEqual(self.wait([True, None, False]), (True, 3, 800.0))
        self.assertEqual(self.wait([True, None]), (False, 5, STOP_LIMIT_MS))


class SlowEntryTest(unittest.TestCase):
    """An entry that is slower than the pause."""

    # A stream went on elsewhere without a question after a probe or a busy time.
    def test_server_is_asked_after_the_pause(self):
        """A server that reports the run keeps it, even if the pause has passed."""

        async def record_break(*args: Any) -> None:
            await anyio.sleep((STOP_PAUSE_MS + 50.0) / 1000)

        script = work_until_closed(LEFT_AT_WORK["malformed"])
        with mock.patch.object(AttemptRecorder, "record_break", record_break):
            for answers, n_requests in (([True], 1), ([True, False], 2), ([None], 2)):
                with self.subTest(answers=answers):
                    runs = ScriptedRuns(answers)
                    _, _, servers, _ = run_request(script, runs=runs)
                    self.assertEqual(servers.n_requests, n_requests)
                    self.assertGreater(runs.n_calls, 0)


class PauseTest(unittest.TestCase):
    """How long a request waits after an attempt was given up."""

    def test_pause_ends_after_the_close(self):
        """The pause is counted from the close; plain requests have none."""
        stream = build_route(kind=RouteKind.STREAMING, is_resumable=True)
        plain = build_route()
        for route, model, since_ms, expected_ms in (
            (stream, "", 0.0, STOP_PAUSE_MS),
            (stream, "", 100.0, STOP_PAUSE_MS - 100.0),
            (stream, "", STOP_PAUSE_MS + 1.0, 0.0),
            (stream, "", float("inf"), 0.0),
            (plain, "", 0.0, 0.0),
            (plain, "m1", 0.0, STOP_PAUSE_MS),
        ):
            pause_ms = compute_stop_pause_ms(route, model, 5_000.0 - since_ms, 5_000.0)
            self.assertEqual(pause_ms, expected_ms)
