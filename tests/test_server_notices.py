"""Tests what servers state about themselves in any answer: leaving and hold-off."""

import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure as Err

from cowslipwood.entry.choosing._view import FleetView
from cowslipwood.entry.direct import _exchange
from cowslipwood.entry.direct._exchange import RequestForwarder
from cowslipwood.entry.direct._servers import KnownServers
from cowslipwood.entry.direct._state import DirectState
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, Outcome, failure
from cowslipwood.kernel.messages import EntryReport, HeldOff
from cowslipwood.listing import ListedModel, ServerNotice, read_notice
from cowslipwood.routes import RouteKind

from .direct_builders import (
    RecordingSink,
    always_send,
    build_answer,
    build_direct_state,
    build_listed_server,
    build_request,
    build_route,
    create_rng,
    run_scripted_server,
)
from .engine_builders import FakeEngine, FakeFleet, make_record
from .test_engine_orders import run_controller
from .test_platform_adapter import adapter_module

# Header line by which a server states that it is leaving.
LEAVING_LINE = "x-cowslip-leaving: 1\r\n"
# Header lines of a refusal that asks for no requests for 1.5 s.
HOLD_OFF_LINES = "x-cowslip-not-run: 1\r\nretry-after: 1.5\r\n"
STATUS_FULL = "503 Service Unavailable"
STREAM = {"kind": RouteKind.STREAMING, "max_attempts": 1, "target_latency_ms": 250.0}
# Name of the header by which servers of the platform state that they are leaving.
LEAVING_HEADER = b"server-leaving"
# Name of the header in which servers of the platform name their limit.
LIMIT_HEADER = b"server-limit"


def run_with_servers(scripts: list, act, models: tuple[ListedModel, ...] = ()):
    """Run `act` with the state of an entry whose servers have these scripts."""

    async def main():
        async with anyio.create_task_group() as tasks:
            addrs: list[str] = []
            heads_by_server: list[list[bytes]] = []

            async def run_server(script) -> None:
                async with run_scripted_server(script) as (addr, received_heads):
                    addrs.append(addr)
                    heads_by_server.append(received_heads)
                    await anyio.sleep_forever()

            for i, script in enumerate(scripts):
                tasks.start_soon(run_server, script)
                while len(addrs) <= i:
                    await anyio.sleep(0.005)
            servers = [
                build_listed_server(f"s{i}", addr, models)
                for i, addr in enumerate(addrs)
            ]
            await act(build_direct_state(servers), servers, heads_by_server)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def build_first_only_scripts(first: bytes, later: bytes) -> list:
    """Return scripts of two servers; the first request at either gets `first`."""
    first_answers = [first]

    async def serve(stream, head: bytes) -> None:
        await stream.send(first_answers.pop() if first_answers else later)

    return [serve, serve]


def count_received(heads_by_server: list) -> list[int]:
    """Return the number of requests that each server received, in rising order."""
    return sorted(len(received_heads) for received_heads in heads_by_server)


async def send_request(state: DirectState, route=None, **headers: str):
    """Send one request; return its failure or None, and the sink with the answer."""
    sink = RecordingSink()
    request = build_request(route or build_route(), **headers)
    return await RequestForwarder(state, request, sink, create_rng()).run(), sink


class NoticeTest(unittest.TestCase):
    """How the notices in headers are read."""

    def test_well_formed(self):
        """Leaving is stated by 1, a hold-off in seconds, whole or fractional."""
        cases = [
            (200, [(LEAVING_HEADER, b"1")], ServerNotice(is_leaving=True)),
            (503, [(LEAVING_HEADER, b" 1 ")], ServerNotice(is_leaving=True)),
            (503, [(b"retry-after", b"2")], ServerNotice(hold_off_ms=2_000.0)),
            (503, [(b"retry-after", b"0.25")], ServerNotice(hold_off_ms=250.0)),
            (503, [(b"retry-after", b"0")], ServerNotice()),
            (200, [(b"retry-after", b"2")], ServerNotice()),
            (500, [(b"retry-after", b"soon")], ServerNotice()),
            (200, [], ServerNotice()),
            (200, [(LIMIT_HEADER, b"0.2")], ServerNotice(rate_limit=0.2)),
            (503, [(LIMIT_HEADER, b" 0 ")], ServerNotice(rate_limit=0.0)),
            (
                200,
                [(LIMIT_HEADER, b"7"), (LIMIT_HEADER, b"2.5")],
                ServerNotice(rate_limit=2.5),
            ),
        ]
        for status, headers, expected in cases:
            with self.subTest(status=status, headers=headers):
                self.assertEqual(
                    read_notice(status, headers, LEAVING_HEADER, LIMIT_HEADER), expected
                )

    def test_malformed(self):
        """A malformed value counts as absent, and its header is reported."""
        for value in (b"", b"true", b"0", b"11", b"\xff"):
            with self.subTest(value=value):
                found = read_notice(
                    200, [(LEAVING_HEADER, value)], LEAVING_HEADER, LIMIT_HEADER
                )
                self.assertEqual(found, ServerNotice(unreadable=("server-leaving",)))
        for value in (b"", b"-1", b"1e3", b"inf", b"nan", b"1,2", b"Thu, 01 Jan"):
            with self.subTest(value=value):
                found = read_notice(
                    503, [(b"retry-after", value)], LEAVING_HEADER, LIMIT_HEADER
                )
                self.assertEqual(found, ServerNotice(unreadable=("retry-after",)))
        malformed = (b"", b"-1", b"1e3", b"nan", b"inf", b"1,2", b"\xb2", b"9" * 400)
        for value in malformed:
            with self.subTest(limit=value):
                found = read_notice(
                    200, [(LIMIT_HEADER, value)], LEAVING_HEADER, LIMIT_HEADER
                )
                self.assertEqual(found, ServerNotice(unreadable=("server-limit",)))

    @given(
        st.integers(100, 599),
        st.lists(
            st.tuples(
                st.sampled_from([LEAVING_HEADER, LIMIT_HEADER, b"retry-after"]),
                st.binary(),
            )
        ),
    )
    def test_any_bytes(self, status: int, headers: list[tuple[bytes, bytes]]):
        """Any bytes are read without an error, and every hold-off is finite."""
        found = read_notice(status, headers, LEAVING_HEADER, LIMIT_HEADER)
        self.assertTrue(0.0 <= found.hold_off_ms < 1e14)
        self.assertTrue(0.0 <= (found.rate_limit or 0.0) < 1e10)


class LeavingTest(unittest.TestCase):
    """A server that states that it is leaving."""

    def test_no_new_requests(self):
        """After such an answer the server gets no requests, whatever the list says."""

        async def act(state, servers, heads_by_server):
            await send_request(state)
            state.servers.apply_list(servers, monotonic_ms())
            for _ in range(20):
                fault, _ = await send_request(state)
                self.assertIsNone(fault)
            self.assertEqual(count_received(heads_by_server), [1, 20])

        run_with_servers(
            build_first_only_scripts(
                build_answer(extra_headers=LEAVING_LINE), build_answer()
            ),
            act,
        )

    def test_answer_is_delivered(self):
        """The answer with the notice reaches its caller completely."""

        async def act(state, servers, heads_by_server):
            fault, sink = await send_request(state)
            self.assertIsNone(fault)
            self.assertEqual((sink.status, sink.body), (200, b"ok"))

        run_with_servers([always_send(build_answer(extra_headers=LEAVING_LINE))], act)

    def test_notice_in_refusal(self):
        """After a refusal with the notice the server gets no requests either."""
        refused = build_answer(
            b"", STATUS_FULL, extra_headers=LEAVING_LINE + "x-cowslip-not-run: 1\r\n"
        )

        async def act(state, servers, heads_by_server):
            for _ in range(20):
                fault, _ = await send_request(state)
                self.assertIsNone(fault)
            self.assertEqual(count_received(heads_by_server), [1, 20])
            left_index = next(
                i
                for i, received_heads in enumerate(heads_by_server)
                if len(received_heads) == 1
            )
            state.view.backends[f"s{1 - left_index}"].hold_off(monotonic_ms() + 1_000.0)
            fault, _ = await send_request(state)
            self.assertIsNotNone(fault)
            self.assertEqual(count_received(heads_by_server), [1, 20])

        run_with_servers(build_first_only_scripts(refused, build_answer()), act)

    def test_only_server(self):
        """If every server is leaving, callers are refused at once as not run."""

        async def act(state, servers, heads_by_server):
            await send_request(state)
            fault, _ = await send_request(state)
            self.assertIs(fault.outcome, Outcome.NOT_RUN)
            self.assertEqual(len(heads_by_server[0]), 1)

        run_with_servers([always_send(build_answer(extra_headers=LEAVING_LINE))], act)

    def test_next_incarnation(self):
        """Another incarnation under the same id gets requests again."""
        state = build_direct_state([build_listed_server("s0", "127.0.0.1:1")])
        known_servers: KnownServers = state.servers
        self.assertTrue(known_servers.record_leaving("s0", 1.0))
        self.assertFalse(known_servers.record_leaving("s0", 2.0))
        known_servers.apply_list(
            [build_listed_server("s0", "127.0.0.1:1")], monotonic_ms()
        )
        self.assertTrue(state.view.backends["s0"].view.leaving)
        known_servers.apply_list(
            [build_listed_server("s0", "127.0.0.1:1", born_ms=2)], monotonic_ms()
        )
        self.assertFalse(state.view.backends["s0"].view.leaving)

    def test_unlisted_meanwhile(self):
        """A server that is unlisted and listed again is still leaving."""
        state = build_direct_state([build_listed_server("s0", "127.0.0.1:1")])
        known_servers: KnownServers = state.servers
        known_servers.record_leaving("s0", 1.0)
        known_servers.apply_list([], monotonic_ms())
        known_servers.apply_list(
            [build_listed_server("s0", "127.0.0.1:1")], monotonic_ms()
        )
        self.assertTrue(state.view.backends["s0"].view.leaving)

    def test_malformed_value(self):
        """A malformed value is counted, and the server gets further requests."""

        async def act(state, servers, heads_by_server):
            await send_request(state)
            await send_request(state)
            self.assertEqual(len(heads_by_server[0]), 2)
            text, _ = state.metrics.render_text()
            self.assertIn(b"notices_ignored_total", text)

        script = always_send(build_answer(extra_headers="x-cowslip-leaving: maybe\r\n"))
        run_with_servers([script], act)


class HoldOffTest(unittest.TestCase):
    """A server that asks to be held off."""

    def test_no_requests_until_the_end(self):
        """The server gets no requests for the time; other servers do."""
        refused = build_answer(
            b"",
            STATUS_FULL,
            extra_headers="x-cowslip-not-run: 1\r\nretry-after: 0.3\r\n",
        )

        async def act(state, servers, heads_by_server):
            await send_request(state)
            for _ in range(10):
                fault, _ = await send_request(state)
                self.assertIsNone(fault)
            self.assertEqual(count_received(heads_by_server), [1, 11])
            held_off_index = next(
                i
                for i, received_heads in enumerate(heads_by_server)
                if len(received_heads) == 1
            )
            state.view.backends[f"s{1 - held_off_index}"].hold_off(
                monotonic_ms() + 60_000.0
            )
            fault, _ = await send_request(state)
            self.assertEqual(fault.code, Code.OVERLOADED)
            self.assertEqual(count_received(heads_by_server), [1, 11])
            await anyio.sleep(0.35)
            fault, _ = await send_request(state)
            self.assertIsNone(fault)
            self.assertEqual(count_received(heads_by_server), [2, 11])

        run_with_servers(build_first_only_scripts(refused, build_answer()), act)

    def test_all_held_off(self):
        """If all servers are held off, callers are told the shortest time at once."""
        scripts = [
            always_send(build_answer(b"", STATUS_FULL, extra_headers=HOLD_OFF_LINES)),
            always_send(
                build_answer(
                    b"", STATUS_FULL, extra_headers=HOLD_OFF_LINES.replace("1.5", "0.9")
                )
            ),
        ]

        async def act(state, servers, heads_by_server):
            await send_request(state)
            with anyio.fail_after(0.2):
                fault, _ = await send_request(state)
            self.assertEqual(fault.code, Code.OVERLOADED)
            self.assertIs(fault.outcome, Outcome.NOT_RUN)
            least_ms, most_ms = 700, 900 * _exchange.RETRY_AFTER_SPREAD_FACTOR
            self.assertTrue(least_ms <= fault.retry_after_ms <= most_ms)
            self.assertEqual(
                [len(received_heads) for received_heads in heads_by_server], [1, 1]
            )

        run_with_servers(scripts, act)

    def test_holds_for_every_model(self):
        """A hold-off in answer to a request for one model holds for all models."""
        models = (ListedModel("m1"), ListedModel("m2"))

        async def act(state, servers, heads_by_server):
            streaming = build_route(**STREAM)
            await send_request(state, streaming, x_cowslip_model="m1")
            with anyio.fail_after(0.2):
                fault, _ = await send_request(state, streaming, x_cowslip_model="m2")
            self.assertEqual(fault.code, Code.OVERLOADED)
            self.assertEqual(len(heads_by_server[0]), 1)

        run_with_servers(
            [always_send(build_answer(b"", STATUS_FULL, extra_headers=HOLD_OFF_LINES))],
            act,
            models,
        )

    def test_shorter_hold_off_later(self):
        """A later, shorter hold-off does not end a longer one."""
        state = build_direct_state([build_listed_server("s0", "127.0.0.1:1")])
        backend = state.view.backends["s0"]
        state.apply_notice(backend, ServerNotice(hold_off_ms=900.0), 1_000.0)
        state.apply_notice(backend, ServerNotice(hold_off_ms=100.0), 1_100.0)
        self.assertFalse(backend.is_eligible("", 1_850.0))
        self.assertTrue(backend.is_eligible("", 1_900.0))
        self.assertEqual(state.list_held_off(1_500.0), (HeldOff("s0", 400.0),))

    # A renewed server got requests in a pause for which it had asked.
    def test_pause_before_the_list_shows_a_new_start(self):
        """A pause asked for just before a new start is listed is that start's."""
        server = build_listed_server("s0", "10.0.0.1:80")
        for listed_at_ms, expected_ms in ((1_500.0, 5_000.0), (3_500.0, 0.0)):
            with self.subTest(listed_at_ms=listed_at_ms):
                state = build_direct_state([server])
                backend = state.view.backends["s0"]
                state.apply_notice(backend, ServerNotice(hold_off_ms=4_000.0), 1_000.0)
                renewed = server._replace(born_ms=2)
                state.servers.apply_list([renewed], listed_at_ms)
                self.assertEqual(backend.held_off_until_ms, expected_ms)

    # A server got requests in a pause for which it had asked.
    def test_unlisted_meanwhile(self):
        """The pause holds if the server is unlisted in it, for the same start only."""
        server = build_listed_server("s0", "10.0.0.1:80")
        for next_server, expected_ms in (
            (server, 5_000.0),
            (server._replace(born_ms=2), 0.0),
        ):
            with self.subTest(born_ms=next_server.born_ms):
                view = FleetView()
                servers = KnownServers(view)
                servers.apply_list([server], 1_000.0)
                view.backends["s0"].hold_off(5_000.0)
                servers.apply_list([], 2_000.0)
                servers.apply_list([next_server], 3_000.0)
                paused_ms = view.backends["s0"].held_off_until_ms
                self.assertEqual(paused_ms, expected_ms)


class LeaderTest(unittest.TestCase):
    """What the leading keeper sends to servers that are held off."""

    def test_reported_by_entry(self):
        """A server that an entry reported gets no report request and no order."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])
        read_server_ids = []
        report = fleet.report

        async def report_and_record(server):
            read_server_ids.append(server.server_id)
            return await report(server)

        fleet.report = report_and_record

        async def act(controller):
            entry_report = EntryReport(
                "e1", "i", "z", "", False, 1, (), (HeldOff("s1", 60_000.0),)
            )
            controller.record_entry_report(entry_report, monotonic_ms())
            await anyio.sleep(0.02)
            read_server_ids.clear()
            await anyio.sleep(0.8)
            self.assertNotIn("s1", read_server_ids)
            self.assertIn("s0", read_server_ids)

        run_controller(fleet, act)

    def test_reported_by_engine(self):
        """A report refused with a hold-off is not requested again; the engine stays."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()})])
        n_reads = 0

        async def refused(server):
            nonlocal n_reads
            n_reads += 1
            return Err(failure(Code.OVERLOADED, "busy", 60_000))

        async def act(controller):
            fleet.report = refused
            await anyio.sleep(1.0)
            self.assertEqual(n_reads, 1)
            self.assertTrue(
                all(
                    engine_record.is_available
                    for engine_record in controller._fleet.records.values()
                )
            )

        run_controller(fleet, act)

    def test_no_order(self):
        """An engine that is held off is not chosen for a load."""
        engine_record = make_record("s0", {})
        engine_record.hold_off(5_000.0)
        self.assertFalse(engine_record.can_load_now("m1", 1.0, 4_999.0))
        self.assertTrue(engine_record.can_load_now("m1", 1.0, 5_000.0))


class AdapterTest(unittest.TestCase):
    """How the platform adapter reads both notices."""

    def read_report(self, status: str, extra_headers: str):
        """Return the result of reading a report that has these headers."""
        engines = adapter_module("_engines")
        body = b'{"sequence": 3, "busy": false, "models": []}'

        async def main():
            script = always_send(
                build_answer(body, status, extra_headers=extra_headers)
            )
            async with run_scripted_server(script) as (addr, _):
                return await engines.PlatformEngines().report(
                    build_listed_server("s0", addr)
                )

        return anyio.run(main)

    def test_leaving(self):
        """A report's header states that the engine is leaving."""
        self.assertTrue(
            self.read_report("200 OK", "server-leaving: 1\r\n").unwrap().is_leaving
        )
        self.assertFalse(self.read_report("200 OK", "").unwrap().is_leaving)

    def test_hold_off(self):
        """A refused report has the length of the hold-off."""
        fault = self.read_report(STATUS_FULL, "retry-after: 2\r\n").failure()
        self.assertEqual((fault.code, fault.retry_after_ms), (Code.OVERLOADED, 2_000))

    def test_header_name(self):
        """The entry reads the platform's leaving header."""
        names = adapter_module("_headers").HEADER_NAMES
        self.assertEqual(names.leaving, LEAVING_HEADER)
