"""What servers say of themselves in any answer: leaving, and wanting a pause."""

import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure as Err

from cowslipwood.entry.direct import _exchange
from cowslipwood.entry.direct._exchange import Exchange
from cowslipwood.entry.direct._servers import KnownServers
from cowslipwood.entry.direct._state import DirectState
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, Outcome, failure
from cowslipwood.kernel.messages import EntryReport, HeldOff
from cowslipwood.listing import ListedModel, ServerNotice, read_notice
from cowslipwood.routes import RouteKind

from .direct_builders import (
    Sink,
    always,
    direct_state,
    listed,
    reply,
    request,
    route,
    scripted_server,
    seeded,
)
from .engine_builders import FakeEngine, FakeFleet, record
from .test_engine_orders import run as run_controller
from .test_platform_adapter import adapter_module

LEAVING = "x-cowslip-leaving: 1\r\n"
PAUSE = "x-cowslip-not-run: 1\r\nretry-after: 1.5\r\n"
FULL = "503 Service Unavailable"
STREAM = {"kind": RouteKind.STREAMING, "max_attempts": 1, "target_latency_ms": 250.0}
LEAVE = b"server-leaving"


def with_servers(scripts: list, act, models: tuple[ListedModel, ...] = ()):
    """Run `act` with an entry's state before servers with these scripts."""

    async def main():
        async with anyio.create_task_group() as tasks:
            addrs: list[str] = []
            logs: list[list[bytes]] = []

            async def host(script) -> None:
                async with scripted_server(script) as (addr, seen):
                    addrs.append(addr)
                    logs.append(seen)
                    await anyio.sleep_forever()

            for i, script in enumerate(scripts):
                tasks.start_soon(host, script)
                while len(addrs) <= i:
                    await anyio.sleep(0.005)
            servers = [listed(f"s{i}", addr, models) for i, addr in enumerate(addrs)]
            await act(direct_state(servers), servers, logs)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def first_only(first: bytes, later: bytes) -> list:
    """Return two servers' scripts; the first request at either gets `first`."""
    left = [first]

    async def serve(stream, head: bytes) -> None:
        await stream.send(left.pop() if left else later)

    return [serve, serve]


def n_sent(logs: list) -> list[int]:
    """Return the requests that each server got, fewest first."""
    return sorted(len(seen) for seen in logs)


async def send(state: DirectState, used=None, **headers: str):
    """Send one request; return its failure and what its caller got."""
    sink = Sink()
    asked = request(used or route(), **headers)
    return await Exchange(state, asked, sink, seeded()).run(), sink


class NoticeTest(unittest.TestCase):
    """How the headers are read."""

    def test_legal(self):
        """Leaving is told by 1, a pause in seconds, whole or not."""
        cases = [
            (200, [(LEAVE, b"1")], ServerNotice(is_leaving=True)),
            (503, [(LEAVE, b" 1 ")], ServerNotice(is_leaving=True)),
            (503, [(b"retry-after", b"2")], ServerNotice(hold_off_ms=2_000.0)),
            (503, [(b"retry-after", b"0.25")], ServerNotice(hold_off_ms=250.0)),
            (503, [(b"retry-after", b"0")], ServerNotice()),
            (200, [(b"retry-after", b"2")], ServerNotice()),
            (500, [(b"retry-after", b"soon")], ServerNotice()),
            (200, [], ServerNotice()),
        ]
        for status, headers, expected in cases:
            with self.subTest(status=status, headers=headers):
                self.assertEqual(read_notice(status, headers, LEAVE), expected)

    def test_illegal(self):
        """Another value counts as absent, and its header is named."""
        for value in (b"", b"true", b"0", b"11", b"\xff"):
            with self.subTest(value=value):
                found = read_notice(200, [(LEAVE, value)], LEAVE)
                self.assertEqual(found, ServerNotice(unreadable=("server-leaving",)))
        for value in (b"", b"-1", b"1e3", b"inf", b"nan", b"1,2", b"Thu, 01 Jan"):
            with self.subTest(value=value):
                found = read_notice(503, [(b"retry-after", value)], LEAVE)
                self.assertEqual(found, ServerNotice(unreadable=("retry-after",)))

    @given(
        st.integers(100, 599),
        st.lists(st.tuples(st.sampled_from([LEAVE, b"retry-after"]), st.binary())),
    )
    def test_any_bytes(self, status: int, headers: list[tuple[bytes, bytes]]):
        """Whatever stands there is read without an error, and no pause is endless."""
        found = read_notice(status, headers, LEAVE)
        self.assertTrue(0.0 <= found.hold_off_ms < 1e14)


class LeavingTest(unittest.TestCase):
    """A server that says that it leaves."""

    def test_nothing_new(self):
        """After such an answer the server gets nothing, whatever the list says."""

        async def act(state, servers, logs):
            await send(state)
            state._servers.take_list(servers, monotonic_ms())
            for _ in range(20):
                fault, _ = await send(state)
                self.assertIsNone(fault)
            self.assertEqual(n_sent(logs), [1, 20])

        with_servers(first_only(reply(more=LEAVING), reply()), act)

    def test_answer_is_delivered(self):
        """The answer that says so reaches its caller whole."""

        async def act(state, servers, logs):
            fault, sink = await send(state)
            self.assertIsNone(fault)
            self.assertEqual((sink.status, sink.body), (200, b"ok"))

        with_servers([always(reply(more=LEAVING))], act)

    def test_refusal_says_so_too(self):
        """A refusal that says so ends the server's work as well."""
        refused = reply(b"", FULL, more=LEAVING + "x-cowslip-not-run: 1\r\n")

        async def act(state, servers, logs):
            for _ in range(20):
                fault, _ = await send(state)
                self.assertIsNone(fault)
            self.assertEqual(n_sent(logs), [1, 20])
            left = next(i for i, seen in enumerate(logs) if len(seen) == 1)
            state.view.backends[f"s{1 - left}"].hold_off(monotonic_ms() + 1_000.0)
            fault, _ = await send(state)
            self.assertIsNotNone(fault)
            self.assertEqual(n_sent(logs), [1, 20])

        with_servers(first_only(refused, reply()), act)

    def test_only_server(self):
        """When all have said so, callers are refused at once as not run."""

        async def act(state, servers, logs):
            await send(state)
            fault, _ = await send(state)
            self.assertIs(fault.outcome, Outcome.NOT_RUN)
            self.assertEqual(len(logs[0]), 1)

        with_servers([always(reply(more=LEAVING))], act)

    def test_next_life(self):
        """Another life under the same id gets requests again."""
        state = direct_state([listed("s0", "127.0.0.1:1")])
        known: KnownServers = state._servers
        self.assertTrue(known.said_leaving("s0", 1.0))
        self.assertFalse(known.said_leaving("s0", 2.0))
        known.take_list([listed("s0", "127.0.0.1:1")], monotonic_ms())
        self.assertTrue(state.view.backends["s0"].view.leaving)
        known.take_list([listed("s0", "127.0.0.1:1", born_ms=2)], monotonic_ms())
        self.assertFalse(state.view.backends["s0"].view.leaving)

    def test_unlisted_meanwhile(self):
        """A server that drops off the list and comes back has still left."""
        state = direct_state([listed("s0", "127.0.0.1:1")])
        known: KnownServers = state._servers
        known.said_leaving("s0", 1.0)
        known.take_list([], monotonic_ms())
        known.take_list([listed("s0", "127.0.0.1:1")], monotonic_ms())
        self.assertTrue(state.view.backends["s0"].view.leaving)

    def test_illegal_value(self):
        """A value that is not legal is counted, and the server goes on."""

        async def act(state, servers, logs):
            await send(state)
            await send(state)
            self.assertEqual(len(logs[0]), 2)
            text, _ = state.metrics.render_text()
            self.assertIn(b"notices_ignored_total", text)

        script = always(reply(more="x-cowslip-leaving: maybe\r\n"))
        with_servers([script], act)


class PauseTest(unittest.TestCase):
    """A server that asks for a pause."""

    def test_nothing_until_it_is_over(self):
        """It gets no request for the time, others do, and then it does again."""
        refused = reply(b"", FULL, more="x-cowslip-not-run: 1\r\nretry-after: 0.3\r\n")

        async def act(state, servers, logs):
            await send(state)
            for _ in range(10):
                fault, _ = await send(state)
                self.assertIsNone(fault)
            self.assertEqual(n_sent(logs), [1, 11])
            paused = next(i for i, seen in enumerate(logs) if len(seen) == 1)
            state.view.backends[f"s{1 - paused}"].hold_off(monotonic_ms() + 60_000.0)
            fault, _ = await send(state)
            self.assertEqual(fault.code, Code.OVERLOADED)
            self.assertEqual(n_sent(logs), [1, 11])
            await anyio.sleep(0.35)
            fault, _ = await send(state)
            self.assertIsNone(fault)
            self.assertEqual(n_sent(logs), [2, 11])

        with_servers(first_only(refused, reply()), act)

    def test_all_want_a_pause(self):
        """Callers are refused at once, with the shortest of the times."""
        scripts = [
            always(reply(b"", FULL, more=PAUSE)),
            always(reply(b"", FULL, more=PAUSE.replace("1.5", "0.9"))),
        ]

        async def act(state, servers, logs):
            await send(state)
            with anyio.fail_after(0.2):
                fault, _ = await send(state)
            self.assertEqual(fault.code, Code.OVERLOADED)
            self.assertIs(fault.outcome, Outcome.NOT_RUN)
            least_ms, most_ms = 700, 900 * _exchange.RETURN_SPREAD
            self.assertTrue(least_ms <= fault.retry_after_ms <= most_ms)
            self.assertEqual([len(seen) for seen in logs], [1, 1])

        with_servers(scripts, act)

    def test_holds_for_every_model(self):
        """A pause that one model's request met holds for the others too."""
        models = (ListedModel("m1"), ListedModel("m2"))

        async def act(state, servers, logs):
            streaming = route(**STREAM)
            await send(state, streaming, x_cowslip_model="m1")
            with anyio.fail_after(0.2):
                fault, _ = await send(state, streaming, x_cowslip_model="m2")
            self.assertEqual(fault.code, Code.OVERLOADED)
            self.assertEqual(len(logs[0]), 1)

        with_servers([always(reply(b"", FULL, more=PAUSE))], act, models)

    def test_shorter_word_later(self):
        """A later, shorter word does not end a longer pause."""
        state = direct_state([listed("s0", "127.0.0.1:1")])
        backend = state.view.backends["s0"]
        state.take_notice(backend, ServerNotice(hold_off_ms=900.0), 1_000.0)
        state.take_notice(backend, ServerNotice(hold_off_ms=100.0), 1_100.0)
        self.assertFalse(backend.is_eligible("", 1_850.0))
        self.assertTrue(backend.is_eligible("", 1_900.0))
        self.assertEqual(state.held_off(1_500.0), (HeldOff("s0", 400.0),))


class LeaderTest(unittest.TestCase):
    """What the leading keeper asks of such servers."""

    def test_entry_tells(self):
        """Neither report nor order goes to a server that an entry has told of."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])
        reads = []
        report = fleet.report

        async def noted(server):
            reads.append(server.server_id)
            return await report(server)

        fleet.report = noted

        async def act(controller):
            told = EntryReport(
                "e1", "i", "z", "", False, 1, (), (HeldOff("s1", 60_000.0),)
            )
            controller.take_demand(told, monotonic_ms())
            await anyio.sleep(0.02)
            reads.clear()
            await anyio.sleep(0.8)
            self.assertNotIn("s1", reads)
            self.assertIn("s0", reads)

        run_controller(fleet, act)

    def test_engine_tells(self):
        """A report refused with a pause is not asked again, nor is it a loss."""
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
            self.assertTrue(all(e.stays for e in controller._fleet.records.values()))

        run_controller(fleet, act)

    def test_no_order(self):
        """An engine that wants a pause is not chosen for a load."""
        kept = record("s0", {})
        kept.hold_off(5_000.0)
        self.assertFalse(kept.takes("m1", 1.0, 4_999.0))
        self.assertTrue(kept.takes("m1", 1.0, 5_000.0))


class AdapterTest(unittest.TestCase):
    """The platform's names for both."""

    def report(self, status: str, more: str):
        """Read a report that is answered with these headers."""
        engines = adapter_module("_engines")
        body = b'{"sequence": 3, "busy": false, "models": []}'

        async def main():
            script = always(reply(body, status, more=more))
            async with scripted_server(script) as (addr, _):
                return await engines.PlatformEngines().report(listed("s0", addr))

        return anyio.run(main)

    def test_leaving(self):
        """A report's own header says that the engine leaves."""
        self.assertTrue(
            self.report("200 OK", "server-leaving: 1\r\n").unwrap().is_leaving
        )
        self.assertFalse(self.report("200 OK", "").unwrap().is_leaving)

    def test_pause(self):
        """A refused report names the pause."""
        fault = self.report(FULL, "retry-after: 2\r\n").failure()
        self.assertEqual((fault.code, fault.retry_after_ms), (Code.OVERLOADED, 2_000))

    def test_header_name(self):
        """The entry reads the platform's header."""
        names = adapter_module("_headers").HEADER_NAMES
        self.assertEqual(names.leaving, LEAVE)
