"""A stream goes on only at the software version that began it."""

import random
import unittest
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any
from unittest import mock

import anyio
import anyio.abc
import orjson
from returns.result import Failure as Err
from returns.result import Success

from cowslipwood.entry.direct import _admission
from cowslipwood.entry.direct._exchange import RequestForwarder
from cowslipwood.entry.direct._headers import RequestFacts, read_request_facts
from cowslipwood.entry.direct._server_reports import NoReports
from cowslipwood.entry.direct._state import DirectState
from cowslipwood.entry.direct._stream_versions import StreamVersions
from cowslipwood.keeper._commands import VersionsCommand, encode_command
from cowslipwood.keeper._machine import KeeperStateMachine
from cowslipwood.keeper._stream_versions import StreamVersionTable
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, Failure, Outcome, failure
from cowslipwood.kernel.messages import (
    RoutingUpdate,
    StreamVersion,
    StreamVersionRequest,
)
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.kernel.wire import decode_record, encode_record
from cowslipwood.listing import ListedServer, to_server_view
from cowslipwood.routes import Route, RouteKind, WeightedService
from cowslipwood.software_versions import STREAM_LIFE_MS

from .answer_builders import STREAM_HEADERS, Framing, build_events, frame_answer
from .direct_builders import (
    NAMES,
    RecordingSink,
    ServerScript,
    build_direct_state,
    build_listed_server,
    build_request,
    build_route,
    run_scripted_server,
)

ROUTE = build_route(
    kind=RouteKind.STREAMING, is_resumable=True, max_attempts=2, timeout_ms=3_000.0
)


def read_request_id(head: bytes) -> str:
    """Return the id of the client's attempt."""
    lines = head.decode().splitlines()
    return next(line.split()[1] for line in lines if line.startswith("x-request-id:"))


async def break_or_resume(stream: anyio.abc.SocketStream, head: bytes) -> None:
    """Break off a new stream after two events; complete one that is resumed."""
    request_id = read_request_id(head)
    is_resumed = b"last-event-id:" in head.lower()
    body = build_events(3, 4) if is_resumed else build_events(1, 2) + b"id: 3\nda"
    answer_head, framed = frame_answer(Framing.CHUNKS, body, request_id, STREAM_HEADERS)
    await stream.send(answer_head + (framed if is_resumed else framed[:-5]))
    if not is_resumed:
        await stream.aclose()


@asynccontextmanager
async def run_versions(
    versions: str,
) -> AsyncIterator[tuple[list[ListedServer], list[str]]]:
    """Run servers of these versions, a letter each.

    Yields the servers, and the versions that got an attempt so far, in order.
    """
    tried: list[str] = []

    def build_script(version: str) -> ServerScript:
        async def serve(stream: anyio.abc.SocketStream, head: bytes) -> None:
            tried.append(version)
            await break_or_resume(stream, head)

        return serve

    async with AsyncExitStack() as stack:
        servers = []
        for i, version in enumerate(versions):
            addr, _ = await stack.enter_async_context(
                run_scripted_server(build_script(version))
            )
            servers.append(build_listed_server(f"s{i}", addr, software_version=version))
        random.Random(versions).shuffle(servers)
        yield servers, tried


async def play(versions: str) -> tuple[Failure | None, RecordingSink, list[str]]:
    """Send one stream to servers of these versions, of which the tried are returned."""
    async with run_versions(versions) as (servers, tried):
        sink = RecordingSink()
        request = build_request(ROUTE)
        state = build_direct_state(servers)
        fault = await RequestForwarder(state, request, sink, random.Random(1)).run()
        return fault, sink, tried


class ResumedWithinAnswerTest(unittest.TestCase):
    """Streams that break off while two software versions serve."""

    # A stream was joined from two versions, with nothing in the answer to show it.
    def test_other_version_does_not_continue(self):
        """If only servers of another version are left, the stream breaks off."""
        for versions in ("ab", "ba", "abb", "abbbb"):
            with self.subTest(versions=versions):
                fault, sink, tried = anyio.run(play, versions)
                if len(tried) == 2:
                    self.assertEqual(tried[0], tried[1])
                    self.assertIsNone(fault)
                else:
                    self.assertIsNotNone(fault)
                    self.assertFalse(sink.is_complete)
                    self.assertEqual(sink.body, build_events(1, 2))

    def test_same_version_continues(self):
        """Where another server of the version serves, the stream is completed there."""
        for versions in ("aabb", "abab", "baba", "aa", "aaabbb"):
            with self.subTest(versions=versions):
                fault, sink, tried = anyio.run(play, versions)
                self.assertIsNone(fault)
                self.assertEqual(tried[0], tried[1])
                self.assertEqual(sink.body, build_events(1, 4))


class PausedServerTest(unittest.TestCase):
    """Streams whose servers are paused or join while a request waits for one."""

    async def _continue(
        self, versions: str, limited: str, joining: str = ""
    ) -> tuple[Failure | None, list[str]]:
        """Resume a stream of version "a"; some servers are limited for a short time.

        While the request waits, a server of another version joins.
        """
        async with run_versions(versions + joining) as (servers, tried):
            servers.sort(key=lambda server: server.server_id)
            state = build_direct_state(servers[: len(versions)])
            for backend in state.view.backends.values():
                if backend.view.software_version in limited:
                    backend.limited_until_ms = monotonic_ms() + 100.0
            now_ms = monotonic_ms()
            state.stream_versions.record_stream("desk", "a1", "a", now_ms)
            headers = {"last_event_id": "2", "x_cowslip_resumes": "a1"}
            request = build_request(ROUTE, x_request_id="a2", **headers)
            forwarder = RequestForwarder(
                state, request, RecordingSink(), random.Random(1)
            )
            async with anyio.create_task_group() as tasks:

                async def join() -> None:
                    await anyio.sleep(0.03)
                    # The list shows the limited servers as leaving.
                    left = [server._replace(is_leaving=True) for server in servers]
                    left[len(versions) :] = servers[len(versions) :]
                    state.servers.apply_list(left, monotonic_ms())

                if joining:
                    tasks.start_soon(join)
                fault = await forwarder.run()
            return fault, tried

    # A stream went on at a paused server of another version.
    def test_paused_server_of_another_version(self):
        """A wait for a paused server does not let its version continue the stream."""
        for versions in ("b", "bb"):
            with self.subTest(versions=versions):
                fault, tried = anyio.run(self._continue, versions, "b")
                self.assertIsNotNone(fault)
                self.assertEqual(tried, [])

    # A stream went on at a server of another version that joined during a wait.
    def test_server_that_joins_during_the_wait(self):
        """Servers that are listed while the request waits are judged as well."""
        fault, tried = anyio.run(self._continue, "a", "a", "bb")
        self.assertNotIn("b", tried)

    def test_paused_server_of_the_version(self):
        """A paused server of the version continues the stream after the wait."""
        for versions in ("ab", "ba", "a"):
            with self.subTest(versions=versions):
                fault, tried = anyio.run(self._continue, versions, "ab")
                self.assertIsNone(fault)
                self.assertEqual(tried, ["a"])


class FakeLeader:
    """A leader that answers for the streams that entries report to it."""

    def __init__(self, possible: str):
        self.possible: frozenset[str] | None = frozenset(possible)
        self.table = StreamVersionTable()
        self.states: list[DirectState] = []

    async def ask(self, request: StreamVersionRequest, timeout_ms: float) -> Any:
        """Answer an entry's question."""
        return Success(self.table.answer(request, self.possible))

    def add_entry(self, servers: list[ListedServer]) -> DirectState:
        """Return the state of an entry that is connected to this leader."""
        state = build_direct_state(servers)
        state.stream_versions = StreamVersions(self.ask, state.metrics)
        views = [backend.view for backend in state.view.backends.values()]
        state.stream_versions.record_servers(views, monotonic_ms())
        self.states.append(state)
        return state

    def receive_reports(self) -> None:
        """Receive what the entries have to report."""
        for state in self.states:
            news = state.stream_versions.take_news(monotonic_ms())
            if news is not None:
                self.table.add(news)


class RenewedServerTest(unittest.TestCase):
    """Servers that started again under their id before the list shows it."""

    async def _begin(
        self,
        born_ms: dict[str, int | None],
        n_requests: int = 1,
        list_age_ms: float = 0,
        seen: str = "ab",
    ) -> tuple[list[Failure | None], list[str], list[str]]:
        """Send streams to servers of version "a" that are listed as born at 1 ms.

        The entry has seen servers of the versions `seen` in the last minute.

        Returns the failures, the versions that got a stream, and the servers that were
        asked when they started.
        """
        asked: list[str] = []

        class Reports(NoReports):
            async def read_born_ms(self, conn: Any, server: Any) -> Any:
                asked.append(server.server_id)
                born = born_ms[server.server_id]
                if born is None:
                    return Err(failure(Code.BACKEND_TIMEOUT))
                return Success(born)

        async with run_versions("a" * len(born_ms)) as (servers, tried):
            state = build_direct_state(servers)
            state.reports = Reports()
            view = to_server_view(servers[0], ())
            state.stream_versions.record_servers(
                [view._replace(software_version=version) for version in seen],
                monotonic_ms(),
            )
            state.servers.list_read_at_ms += list_age_ms
            faults = []
            for number in range(n_requests):
                request = build_request(
                    ROUTE._replace(max_attempts=1), x_request_id=f"a{number}"
                )
                forwarder = RequestForwarder(
                    state, request, RecordingSink(), random.Random(1)
                )
                faults.append(await forwarder.run())
            return faults, tried, asked

    # A stream of a renewed server was taken for one of the version that it had before.
    def test_renewed_server_begins_no_stream(self):
        """A server that tells another start, or does not answer, gets no stream."""
        for born_ms, n_tried in (
            ({"s0": 1}, 1),
            ({"s0": 0}, 1),
            ({"s0": 2}, 0),
            ({"s0": None}, 0),
            ({"s0": 2, "s1": 2}, 0),
            ({"s0": 2, "s1": 1}, 1),
            ({"s0": 1, "s1": None}, 1),
        ):
            with self.subTest(born_ms=born_ms):
                _, tried, _ = anyio.run(self._begin, born_ms)
                self.assertEqual(len(tried), n_tried)

    # A stream went on at the other version that its server had got meanwhile.
    def test_server_that_is_renewed_while_its_connection_opens(self):
        """The list shows the new version after the choice and before the request."""

        async def main() -> tuple[Failure | None, list[str]]:
            async with run_versions("a") as (servers, tried):
                state = build_direct_state(servers)
                acquire = state.pool.acquire

                async def renew(*args: Any, **options: Any) -> Any:
                    conn = await acquire(*args, **options)
                    renewed = [
                        server._replace(software_version="b", born_ms=2)
                        for server in servers
                    ]
                    state.servers.apply_list(renewed, monotonic_ms())
                    return conn

                class Reports(NoReports):
                    async def read_born_ms(self, conn: Any, server: Any) -> Any:
                        return Success(2)

                state.reports = Reports()
                state.stream_versions.record_stream("desk", "a1", "a", monotonic_ms())
                headers = {"last_event_id": "2", "x_cowslip_resumes": "a1"}
                request = build_request(ROUTE, x_request_id="a2", **headers)
                sink = RecordingSink()
                with mock.patch.object(state.pool, "acquire", renew):
                    forwarder = RequestForwarder(state, request, sink, random.Random(1))
                    return await forwarder.run(), tried

        fault, tried = anyio.run(main)
        self.assertEqual(tried, [])
        self.assertIs(fault.outcome, Outcome.NOT_RUN)

    def test_one_proof_for_earlier_connections(self):
        """A connection that is older than the list in use needs no question."""
        _, tried, asked = anyio.run(self._begin, {"s0": 1}, 2, 60_000.0)
        self.assertEqual((len(tried), asked), (2, []))
        _, tried, asked = anyio.run(self._begin, {"s0": 1}, 2)
        self.assertEqual((len(tried), asked), (2, ["s0", "s0"]))

    # The first server that got another version began a stream as its former version,
    # and servers of that version completed it.
    def test_first_renewed_server(self):
        """A server that has started again is found also while one version is known."""
        for born_ms, n_tried in (
            ({"s0": 1}, 1),
            ({"s0": 2}, 0),
            ({"s0": None}, 0),
            ({"s0": 2, "s1": 1}, 1),
        ):
            with self.subTest(born_ms=born_ms):
                _, tried, _ = anyio.run(self._begin, born_ms, 1, 0, "a")
                self.assertEqual(len(tried), n_tried)


class UntoldVersionTest(unittest.TestCase):
    """Entries that read the list themselves, which shows versions before the log."""

    async def _begin(
        self, told: str, listed: str, route: Route, n_requests: int = 8
    ) -> list[str]:
        """Return the versions that get streams of an entry that lost its leader."""
        async with run_versions(told + listed) as (servers, tried):
            servers.sort(key=lambda server: server.server_id)
            state = build_direct_state([])
            views = [to_server_view(server, ("service:desk",)) for server in servers]
            update = RoutingUpdate(True, tuple(views[: len(told)]), ())
            state.servers.apply_update(update, monotonic_ms())
            state.servers.forget_leader()
            # A leader that has not read the list yet.
            state.servers.apply_update(RoutingUpdate(True, (), ()), monotonic_ms())
            state.servers.forget_leader()
            state.servers.apply_list(servers[len(told) :], monotonic_ms())
            for number in range(n_requests):
                request = build_request(route, x_request_id=f"a{number}")
                forwarder = RequestForwarder(
                    state, request, RecordingSink(), random.Random(number)
                )
                await forwarder.run()
            return tried

    # A stream that nobody else knew was taken for one of the only recorded version.
    def test_told_versions_first(self):
        """A version of which no leader told begins a stream only if no other can."""
        route = ROUTE._replace(max_attempts=1)
        for told, listed, expected in (
            ("a", "ab", {"a"}),
            ("a", "abbb", {"a"}),
            ("a", "bb", {"b"}),
            ("", "ab", {"a", "b"}),
            ("ab", "ab", {"a", "b"}),
        ):
            with self.subTest(told=told, listed=listed):
                tried = anyio.run(self._begin, told, listed, route)
                self.assertEqual(set(tried), expected)

    def test_busy_servers_of_the_told_version(self):
        """A queue at the told version does not move a stream to another one."""

        async def main() -> tuple[list[str], Failure | None]:
            async with run_versions("ab") as (servers, tried):
                servers.sort(key=lambda server: server.software_version)
                state = build_direct_state([])
                view = to_server_view(servers[0], ("service:desk",))
                update = RoutingUpdate(True, (view,), ())
                state.servers.apply_update(update, monotonic_ms())
                state.servers.forget_leader()
                state.servers.apply_list(servers, monotonic_ms())
                with mock.patch.object(
                    _admission, "expected_queue_ms", self._compute_queue_ms
                ):
                    request = build_request(ROUTE, x_request_id="a1")
                    forwarder = RequestForwarder(
                        state, request, RecordingSink(), random.Random(1)
                    )
                    return tried, await forwarder.run()

        tried, fault = anyio.run(main)
        self.assertEqual((tried, fault.code), ([], Code.OVERLOADED))

    def _compute_queue_ms(self, backend: Any, *_: Any) -> float:
        return 60_000.0 if backend.view.software_version == "a" else 0.0

    def test_streams_that_no_client_resumes(self):
        """Other streams go to all servers."""
        route = ROUTE._replace(is_resumable=False)
        self.assertEqual(set(anyio.run(self._begin, "a", "ab", route)), {"a", "b"})

    def test_retry(self):
        """After the told version has failed, another one is tried."""

        async def main() -> list[str]:
            return await self._begin("a", "ab", ROUTE, 1)

        # The stream has begun, so no other version may continue it.
        self.assertEqual(anyio.run(main), ["a"])


class LostLeader:
    """A leader to which the connection is lost for the first questions."""

    def __init__(self, n_refusals: int):
        self.n_refusals = n_refusals
        self.n_asked = 0

    async def ask(self, request: StreamVersionRequest, timeout_ms: float) -> Any:
        """Answer an entry's question."""
        self.n_asked += 1
        if self.n_asked <= self.n_refusals:
            codes = (Code.NO_QUORUM, Code.PEER_GONE, Code.NOT_LEADER)
            return Err(failure(codes[self.n_asked % len(codes)]))
        return Success(StreamVersion("a", True))


class TakenUpByClientTest(unittest.TestCase):
    """Streams that broke off and that their clients resume, at any entry."""

    ROUTE = ROUTE._replace(max_attempts=1)

    async def _begin_and_resume(
        self, versions: str, leader: FakeLeader, at_same_entry: bool, **headers: str
    ) -> tuple[Failure | None, list[str]]:
        """Return the failure of the resume, and the versions that got an attempt."""
        async with run_versions(versions) as (servers, tried):
            first, second = (leader.add_entry(servers) for _ in range(2))
            await self._send(first, "a1", {})
            leader.receive_reports()
            resume = {"last_event_id": "2", "x_cowslip_resumes": "a1", **headers}
            state = first if at_same_entry else second
            return await self._send(state, "a2", resume), tried

    async def _send(
        self, state: DirectState, request_id: str, headers: dict[str, str]
    ) -> Failure | None:
        headers = {name: value for name, value in headers.items() if value}
        request = build_request(self.ROUTE, x_request_id=request_id, **headers)
        sink = RecordingSink()
        return await RequestForwarder(state, request, sink, random.Random(1)).run()

    def _play(self, *args: Any, **headers: str) -> tuple[Failure | None, list[str]]:
        return anyio.run(lambda: self._begin_and_resume(*args, **headers))

    # Clients that resumed a stream at another entry got the rest from another version.
    def test_known_stream_goes_on_at_its_version(self):
        """At the same entry or another, the version that began it continues it."""
        for at_same_entry in (True, False):
            for versions in ("aabb", "abab", "baab", "bbbaaa"):
                with self.subTest(same=at_same_entry, versions=versions):
                    leader = FakeLeader("ab")
                    fault, tried = self._play(versions, leader, at_same_entry)
                    self.assertIsNone(fault)
                    self.assertEqual(tried[0], tried[1])

    def test_unknown_stream_is_not_joined(self):
        """With two possible versions, a stream that nobody knows is to begin anew."""
        for resumes in ("other", "", "x" * 4_000):
            with self.subTest(resumes=resumes[:9]):
                leader = FakeLeader("ab")
                fault, tried = self._play(
                    "aabb", leader, False, x_cowslip_resumes=resumes
                )
                self.assertEqual(fault.code, Code.STREAM_UNKNOWN)
                self.assertIs(fault.outcome, Outcome.NOT_RUN)
                self.assertEqual(len(tried), 1)

    def test_one_possible_version(self):
        """If only one version can have begun it, an unknown stream goes on there."""
        fault, tried = self._play(
            "aaa", FakeLeader("a"), False, x_cowslip_resumes="other"
        )
        self.assertIsNone(fault)
        self.assertEqual(tried, ["a", "a"])

    def test_leader_that_does_not_know_the_servers(self):
        """Until the leader has read the list, an unknown stream is to begin anew."""
        leader = FakeLeader("a")
        leader.possible = None
        fault, _ = self._play("aaa", leader, False)
        self.assertEqual(fault.code, Code.STREAM_UNKNOWN)

    def test_no_leader(self):
        """An entry without a leader resumes no stream that it does not know."""

        async def main() -> Failure | None:
            state = build_direct_state([build_listed_server("s0", "127.0.0.1:9")])
            headers = {"last_event_id": "2", "x_cowslip_resumes": "a1"}
            return await self._send(state, "a2", headers)

        self.assertEqual(anyio.run(main).code, Code.STREAM_UNKNOWN)

    # Most streams whose callers came back right after a reset were refused.
    def test_leader_that_is_found_again(self):
        """A resume waits for the connection to the leader, but not for long."""
        for n_refusals, version in ((0, "a"), (2, "a"), (1_000, None)):
            with self.subTest(n_refusals=n_refusals):
                leader = LostLeader(n_refusals)
                streams = StreamVersions(leader.ask, Metrics("entry"))
                found = anyio.run(streams.find_version, "desk", "a1")
                self.assertEqual(found, version)
                self.assertGreater(leader.n_asked, min(n_refusals, 3))
                self.assertLess(leader.n_asked, 20)

    def test_two_ids(self):
        """Two different ids of the attempt count as none."""
        headers = [
            (NAMES.last_event_id, b"2"),
            (NAMES.resumes, b"a1"),
            (NAMES.resumes, b"a3"),
        ]
        facts = read_request_facts(headers, NAMES)
        self.assertEqual((facts.is_resume, facts.resumed_id), (True, ""))


class ReportedStreamsTest(unittest.TestCase):
    """Which streams an entry reports to the leader."""

    def _build(self) -> StreamVersions:
        return StreamVersions(FakeLeader("").ask, Metrics("entry"))

    def _view(self, version: str) -> Any:
        server = build_listed_server("s0", "10.0.0.1:80", software_version=version)
        return to_server_view(server, ())

    def test_nothing_while_one_version_serves(self):
        """With one version there is nothing to report."""
        streams = self._build()
        streams.record_servers([self._view("a")], 0.0)
        streams.record_stream("desk", "q1", "a", 1.0)
        self.assertIsNone(streams.take_news(2.0))
        self.assertIsNone(streams.build_all(2.0))

    # Streams of entries that started after a release were refused elsewhere.
    def test_entry_that_started_after_a_release(self):
        """An entry reports its streams until it would have seen a departed version."""
        late_ms = STREAM_LIFE_MS + 10_000.0
        for now_ms, expected in (
            (1.0, ["q1"]),
            (STREAM_LIFE_MS, ["q1"]),
            (late_ms, []),
        ):
            with self.subTest(now_ms=now_ms):
                streams = StreamVersions(FakeLeader("").ask, Metrics("entry"), 0.0)
                streams.record_servers([self._view("b")], now_ms)
                streams.record_stream("desk", "q1", "b", now_ms)
                for report in (streams.take_news(now_ms), streams.build_all(now_ms)):
                    reported = report.streams if report else ()
                    self.assertEqual([each.request_id for each in reported], expected)

    def test_version_that_has_just_left(self):
        """Entries count a version that has left for longer than the leader."""
        streams = self._build()
        streams.record_servers([self._view("a"), self._view("b")], 0.0)
        now_ms = STREAM_LIFE_MS + 1_000.0
        streams.forget_old(now_ms)
        streams.record_stream("desk", "q1", "b", now_ms)
        self.assertEqual(len(streams.take_news(now_ms).streams), 1)

    def test_earlier_streams_once_another_version_joins(self):
        """Once another version joins, the streams that began before are reported."""
        streams = self._build()
        streams.record_servers([self._view("a")], 0.0)
        streams.record_stream("desk", "q1", "a", 1.0)
        streams.record_servers([self._view("b")], 2.0)
        streams.record_stream("desk", "q2", "b", 3.0)
        reported = [each.request_id for each in streams.take_news(4.0).streams]
        self.assertEqual(reported, ["q1", "q2"])
        self.assertEqual(len(streams.build_all(5.0).streams), 2)

    # A resumed stream went on at another service of a split route.
    def test_service_of_a_split_route(self):
        """A resumed stream stays at the service that began it, if that is known."""
        streams = self._build()
        streams.record_stream("desk", "a1", "a", 1.0)
        services = tuple(WeightedService(name, 50) for name in ("bar", "desk"))
        closed = WeightedService("desk", 0)
        split = ROUTE._replace(services=services)
        resume = RequestFacts("a2", None, is_resume=True, resumed_id="a1")
        for route, facts, expected in (
            (split, resume, "desk"),
            (split, resume._replace(resumed_id="a9"), ""),
            (split, resume._replace(is_resume=False), ""),
            (split._replace(is_resumable=False), resume, ""),
            (split._replace(services=(services[0], closed)), resume, ""),
            (ROUTE, resume, ""),
        ):
            with self.subTest(route=route.services, facts=facts):
                self.assertEqual(streams.find_service(route, facts), expected)

    def test_forgotten(self):
        """Old streams and versions are forgotten."""
        streams = self._build()
        streams.record_servers([self._view("a"), self._view("b")], 0.0)
        streams.record_stream("desk", "q1", "a", 1.0)
        streams.forget_old(STREAM_LIFE_MS + 10.0)
        self.assertIsNone(streams.build_all(STREAM_LIFE_MS + 10.0))


class RecordedVersionsTest(unittest.TestCase):
    """The versions that the replicated log keeps for a keeper without memory."""

    def _apply(self, machine: KeeperStateMachine, versions: str, wall_ms: int) -> None:
        command = VersionsCommand("desk", tuple(versions), wall_ms)
        machine.apply(1, encode_command(command))

    # After a loss of all memory, a version that had just left was not known.
    def test_version_that_has_left(self):
        """A version that has left counts for a time, also after a restart."""
        machine = KeeperStateMachine()
        self._apply(machine, "a", 1_000)
        self._apply(machine, "ab", 2_000)
        self._apply(machine, "b", 3_000)
        restored = KeeperStateMachine()
        restored.restore(machine.snapshot())
        for each in (machine, restored):
            recorded = each.versions["desk"]
            self.assertEqual(recorded.list_possible(4_000), {"a", "b"})
            later_ms = 3_001 + int(STREAM_LIFE_MS)
            self.assertEqual(recorded.list_possible(later_ms), {"b"})

    def test_version_that_comes_back(self):
        """A version that comes back is listed once."""
        machine = KeeperStateMachine()
        for i, versions in enumerate(("a", "b", "a", "ab")):
            self._apply(machine, versions, 1_000 * i)
        self.assertEqual(machine.versions["desk"].departed, ())
        self.assertEqual(machine.versions["desk"].current, ("a", "b"))

    def test_old_snapshot(self):
        """A snapshot of an earlier release has no versions."""
        value = orjson.loads(KeeperStateMachine().snapshot())
        del value["versions"]
        machine = KeeperStateMachine()
        machine.restore(orjson.dumps(value))
        self.assertEqual(machine.versions, {})


class KnownVersionTest(unittest.TestCase):
    """How an entry learns a server's software version."""

    def test_passed_on_by_the_leader(self):
        """The version is part of what the leader sends of a server."""
        server = build_listed_server("s0", "10.0.0.1:80", software_version="v7")
        view = to_server_view(server, ())
        received = decode_record(type(view), encode_record(view)).unwrap()
        self.assertEqual(received.software_version, "v7")
