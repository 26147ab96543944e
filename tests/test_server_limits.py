"""Tests that servers get no more requests than the limits that they name."""

import math
import random
import unittest
from collections.abc import Callable
from typing import Any

import anyio
from returns.result import Failure as Err

from cowslipwood.agent._admission import AdmissionController, CallClass, CallSpec
from cowslipwood.agent._forward import BackendCall, Forwarder
from cowslipwood.agent._server_limit import ServerLimit as AgentServerLimit
from cowslipwood.entry.direct._limits import Permit, PermitRefusal, ServerLimitKeeper
from cowslipwood.keeper._server_limits import ServerLimitTable
from cowslipwood.keeper.engines import EngineController
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, Failure, Outcome, failure
from cowslipwood.kernel.messages import SendPermitRequest, ServerLimit, ServerLimits
from cowslipwood.listing import ListedServer
from cowslipwood.server_limits import SHORT_MS, PermitBucket

from .direct_builders import build_direct_state, build_listed_server
from .engine_builders import FakeEngine, FakeFleet
from .limit_builders import (
    CONTACT_MS,
    LimitingServer,
    build_entries,
    count_allowed,
    count_most,
    run_servers,
    send_requests,
)
from .limit_leader import LimitLeader
from .test_engine_orders import look_up, run_controller


def count_after_contact(server: LimitingServer) -> int:
    """Return the most arrivals in one window since the limit binds."""
    counted_from_ms = server.arrivals_ms[0] + CONTACT_MS
    return count_most([ms for ms in server.arrivals_ms if ms > counted_from_ms])


class LimitedServerTest(unittest.TestCase):
    """Entries that send requests to a server that names a limit."""

    # Each entry by itself kept sending, so a server that named 1 a second got many.
    def test_entries_together_keep_to_a_named_limit(self):
        """Beside two other servers, one gets no more than its limit allows."""
        for n_entries, limit_per_s in ((8, 1.0), (8, 6.0), (24, 0.2)):
            with self.subTest(n_entries=n_entries, limit_per_s=limit_per_s):
                limited = LimitingServer(limit_per_s)
                anyio.run(self._run_alone, limited, n_entries)
                n_most = count_after_contact(limited)
                self.assertLessEqual(n_most, count_allowed(limit_per_s))

    async def _run_alone(self, limited: LimitingServer, n_entries: int) -> None:
        servers = [limited, LimitingServer(), LimitingServer()]
        async with run_servers(servers) as listed:
            states = build_entries(n_entries, listed)
            results = await send_requests(states, 40.0, 8.0, random.Random(3))
        self.assertEqual([fault for fault in results if fault is not None], [])

    # The limit holds for all entries together, and a limited server must be used.
    def test_connected_entries_use_the_limit_and_keep_to_it(self):
        """Entries with a leader together send what the limit allows, not more."""
        for n_entries, limit_per_s in ((8, 1.0), (8, 6.0), (24, 2.5)):
            with self.subTest(n_entries=n_entries, limit_per_s=limit_per_s):
                limited, leader = LimitingServer(limit_per_s), LimitLeader(2.0)
                results = anyio.run(self._run, [limited], leader, n_entries)
                n_window = limit_per_s * 4
                n_most = count_after_contact(limited)
                self.assertLessEqual(n_most, n_window + max(2.0, limit_per_s))
                self.assertGreaterEqual(n_most, 0.6 * n_window)
                self.assertEqual([fault for fault in results if fault], [])

    # A second leader does not know what the first one granted.
    def test_limit_across_leaders(self):
        """Through changes and absences of the leader the limit is kept."""

        async def disturb(leader: LimitLeader) -> None:
            while True:
                await anyio.sleep(0.7)
                leader.is_up = False
                await anyio.sleep(0.4)
                leader.is_up = True
                leader.change()

        limited, leader = LimitingServer(2.0), LimitLeader(20.0)
        anyio.run(self._run, [limited], leader, 8, disturb)
        self.assertLessEqual(count_after_contact(limited), count_allowed(2.0))

    # Where no other copy is, callers were kept waiting or hit the server anyway.
    def test_only_server_limited(self):
        """Requests beyond the limit are refused as not run, with when to come back."""
        limited, leader = LimitingServer(2.0), LimitLeader()
        results = anyio.run(self._run, [limited], leader, 4, None, 0)
        refused = [fault for fault in results if fault is not None]
        self.assertLessEqual(count_after_contact(limited), count_allowed(2.0))
        self.assertTrue(refused)
        for fault in refused:
            self.assertEqual(fault.code, Code.SERVER_LIMITED)
            self.assertEqual(fault.outcome, Outcome.NOT_RUN)
            self.assertGreater(fault.retry_after_ms, 0)

    async def _run(
        self,
        servers: list[LimitingServer],
        leader: LimitLeader,
        n_entries: int,
        disturb: Callable | None = None,
        n_others: int = 2,
    ) -> list:
        others = [LimitingServer() for _ in range(n_others)]
        async with run_servers([*servers, *others]) as listed:
            states = [leader.add_entry(listed) for _ in range(n_entries)]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(leader.exchange_reports)
                if disturb is not None:
                    tasks.start_soon(disturb, leader)
                results = await send_requests(states, 40.0, 8.0, random.Random(5))
                tasks.cancel_scope.cancel()
        return results


class NamedLimitTest(unittest.TestCase):
    """What an entry knows of a limit after answers that overtake each other."""

    def setUp(self):
        self.state = build_direct_state([build_listed_server("s0", "127.0.0.1:9")])
        self.limits = self.state.limits
        self.backend = self.state.view.backends["s0"]

    def _name(self, rate_per_s: float | None, sent_ms: float, now_ms: float) -> None:
        self.limits.record_answer(self.backend, rate_per_s, sent_ms, now_ms)

    def _get_rate(self) -> float | None:
        fact = self.limits._ledger.find_limit("s0", self.backend.view.incarnation)
        return None if fact is None else fact.rate_per_s

    def test_late_answer_does_not_end_limit(self):
        """An answer to a request sent before neither ends nor raises a limit.

        It may lower it, as the order of the two is not known.
        """
        self._name(2.0, 100.0, 150.0)
        self._name(None, 120.0, 160.0)
        self._name(9.0, 120.0, 170.0)
        self.assertEqual(self._get_rate(), 2.0)
        self._name(1.0, 120.0, 180.0)
        self.assertEqual(self._get_rate(), 1.0)

    def test_later_answers_change_limit(self):
        """An answer to a later request raises, lowers or ends the limit."""
        for rate_per_s in (5.0, 0.0, 0.2, None):
            self._name(3.0, 100.0, 150.0)
            self._name(rate_per_s, 200.0, 250.0)
            self.assertEqual(self._get_rate(), rate_per_s)
            self._name(3.0, 300.0, 350.0)

    # A server whose limit had ended got nothing until its old permit was due.
    def test_ended_limit_ends_the_pause(self):
        """Once the limit has ended, the server is eligible at once."""
        self._name(0.2, 100.0, 150.0)
        self.backend.limited_until_ms = 5_000.0
        self._name(None, 200.0, 250.0)
        self.assertTrue(self.backend.is_eligible("service:desk", 251.0))

    def test_next_incarnation_begins_without(self):
        """A server that has started again has no limit until it names one."""
        self._name(3.0, 100.0, 150.0)
        view = self.backend.view._replace(incarnation="2")
        self.backend.update_view(view, 200.0)
        self.assertIsNone(self._get_rate())

    def test_silence_keeps_limit(self):
        """A limit holds until the server says otherwise, however long that takes."""
        self._name(3.0, 100.0, 150.0)
        self.limits.forget_unlisted({"s0"})
        self.assertEqual(self._get_rate(), 3.0)
        self.limits.forget_unlisted(set())
        self.assertIsNone(self._get_rate())


class PermitBucketTest(unittest.TestCase):
    """The permits of one limited server."""

    def test_rate(self):
        """In any window no more are granted than the rate and a small burst."""
        for rate_per_s in (0.2, 1.0, 7.0, 200.0):
            bucket = PermitBucket(rate_per_s, 0.0)
            granted_ms = []
            for now_ms in range(0, 30_000, 3):
                granted_ms += [now_ms] * bucket.take(3, 5, float(now_ms))
            burst = max(1.0, rate_per_s / 4)
            self.assertLessEqual(count_most(granted_ms), 4 * rate_per_s + burst + 1)
            self.assertGreaterEqual(len(granted_ms), 28 * rate_per_s - 1)

    def test_urgent_first(self):
        """A refused urgent question gets the next permit before less urgent ones."""
        bucket = PermitBucket(1.0, 0.0)
        self.assertEqual(bucket.take(1, 2, 10.0), 0)
        bucket.refuse(2, 10.0)
        self.assertEqual(bucket.take(1, 7, 1_005.0), 0)
        self.assertEqual(bucket.take(1, 2, 1_006.0), 1)

    # With each permit the engine counted as a copy again, until the next refusal.
    def test_short_for_a_time(self):
        """A server that was short of permits stays so while some are granted."""
        bucket = PermitBucket(1.0, 0.0)
        bucket.refuse(5, 10.0)
        self.assertEqual(bucket.take(1, 5, 1_100.0), 1)
        self.assertTrue(bucket.was_short(1_200.0))
        self.assertFalse(bucket.was_short(10.0 + SHORT_MS))

    def test_retry_after_grows_with_the_queue(self):
        """Each refused caller is told a later time, by the rate, up to a bound."""
        bucket = PermitBucket(2.0, 0.0)
        told = [bucket.refuse(5, 1.0)[1] for _ in range(5)]
        self.assertEqual([round(ms, -2) for ms in told], [500, 1000, 1500, 2000, 2500])


class ServerLimitTableTest(unittest.TestCase):
    """What the leader grants."""

    def _request(self, incarnation: str = "1") -> SendPermitRequest:
        return SendPermitRequest(ServerLimit("s0", incarnation, 10.0, 0.0), 1, 5)

    def test_new_leader_begins_with_nothing(self):
        """However often the leader changes, no more is granted than by one."""
        table, granted_ms = ServerLimitTable(), []
        for at_ms in range(0, 20_000, 10):
            request = self._request()
            term = at_ms // 70
            granted_ms += [at_ms] * table.grant(request, term, float(at_ms)).n_granted
        self.assertEqual(granted_ms, [])
        for at_ms in range(20_000, 40_000, 10):
            term = 1_000 + at_ms // 900
            granted_ms += [at_ms] * table.grant(
                self._request(), term, float(at_ms)
            ).n_granted
        self.assertLessEqual(count_most(granted_ms), 4 * 10 + 3)
        self.assertGreater(len(granted_ms), 100)

    def test_ended_limit(self):
        """Once a limit has ended, an entry that does not know yet is let through."""
        table = ServerLimitTable()
        table.grant(self._request(), 1, 0.0)
        ended = ServerLimit("s0", "1", math.inf, 0.0)
        self.assertTrue(table.add(ServerLimits((ended,)), 1, 1_000.0))
        late = self._request()._replace(limit=ServerLimit("s0", "1", 10.0, 900.0))
        self.assertEqual(table.grant(late, 1, 1_010.0).n_granted, 1)
        self.assertIsNone(table.find_rate("s0", "1"))

    def test_end_that_came_too_soon(self):
        """An ignored end is not forgotten: entries hear of the limit that stands.

        The only entry that uses the server would not report the end again, and the
        leader would keep to the limit for ever.
        """
        table = ServerLimitTable()
        limit = ServerLimit("s1", "1", 10.0, 0.0)
        table.add(ServerLimits((limit,)), 1, 1_000.0)
        sent = table.revision
        ended = limit._replace(rate_per_s=math.inf)
        self.assertTrue(table.add(ServerLimits((ended,)), 1, 1_100.0))
        (told,) = table.build_update(sent, 1_100.0).limits
        self.assertEqual(told.rate_per_s, 10.0)
        table.add(ServerLimits((ended,)), 1, 1_500.0)
        self.assertEqual(table.list_limits(), [])

    def test_own_calls_count(self):
        """Orders and report requests of the leader take permits from the entries."""
        table = ServerLimitTable()
        table.grant(self._request(), 1, 0.0)
        table.take_own("s0", "1", 100.0)
        self.assertEqual(table.grant(self._request(), 1, 101.0).n_granted, 0)


class AloneTest(unittest.TestCase):
    """An entry that hears no leader."""

    def test_share(self):
        """Entries that all lose the leader send at a part of the rate, spread out."""

        async def main() -> list[float]:
            now = [0.0]
            entries = []
            for i in range(70):
                state = build_direct_state([build_listed_server("s0", "127.0.0.1:9")])
                state.live_entries.update(70, 0.0)
                limits = ServerLimitKeeper(
                    _ask_nobody,
                    state.live_entries,
                    state.metrics,
                    random.Random(i),
                    lambda: now[0],
                )
                backend = state.view.backends["s0"]
                limits.record_answer(backend, 4.0, 0.0, 1.0)
                entries.append((backend, limits))
            sent_ms = []
            while now[0] < 60_000.0:
                now[0] += 50.0
                for backend, limits in entries:
                    permit = await limits.take_permit(backend, 5)
                    if isinstance(permit, Permit):
                        self.assertTrue(permit.is_alone)
                        sent_ms.append(now[0])
                    else:
                        self.assertIsInstance(permit, PermitRefusal)
            return sent_ms

        sent_ms = anyio.run(main)
        self.assertLessEqual(count_most(sent_ms), 4 * 4.0)
        self.assertGreater(len(sent_ms), 60)


async def _ask_nobody(request: SendPermitRequest, timeout_ms: float):
    return Err(failure(Code.NO_QUORUM))


class LimitedEngineTest(unittest.TestCase):
    """What the leading keeper does about engines that name a limit."""

    LIMIT = ServerLimit("s0", "1", 1.0, 0.0)

    # A model whose only copy was on a limited engine was served at its limit for good.
    def test_model_gets_another_copy(self):
        """A model of a limited engine is loaded elsewhere if entries want more."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])

        async def act(controller: EngineController) -> None:
            now_ms = monotonic_ms()
            fleet.limits.add(ServerLimits((self.LIMIT,)), 1, now_ms)
            await anyio.sleep(0.1)
            self.assertEqual((await look_up(controller, "m0")).server_id, "s0")
            request = SendPermitRequest(self.LIMIT, 1, 5)
            self.assertEqual(fleet.limits.grant(request, 1, now_ms).n_granted, 0)
            await anyio.sleep(0.1)
            self.assertEqual((await look_up(controller, "m0")).server_id, "s1")

        run_controller(fleet, act)
        self.assertIn("m0", fleet.engines["s1"].held)

    # The leader read the reports of a limited engine twice a second.
    def test_report_requests_are_fewer(self):
        """A limited engine is asked for its report less often than its limit."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])
        read_ids: list[str] = []
        report = fleet.report

        async def report_and_record(server: ListedServer) -> Any:
            read_ids.append(server.server_id)
            return await report(server)

        fleet.report = report_and_record

        async def act(controller: EngineController) -> None:
            fleet.limits.add(ServerLimits((self.LIMIT,)), 1, monotonic_ms())
            await anyio.sleep(0.6)
            read_ids.clear()
            await anyio.sleep(2.0)
            self.assertLessEqual(read_ids.count("s0"), 1)
            self.assertGreater(read_ids.count("s1"), 1)

        run_controller(fleet, act)


class AgentTest(unittest.TestCase):
    """An agent whose server names a limit."""

    LIMIT_HEADERS = ((b"X-Cowslip-Limit", b"2"),)

    def _call(self, admission: AdmissionController, now_ms: float) -> Failure | None:
        spec = CallSpec(CallClass.STANDARD, now_ms + 9e9, 0, 0, lambda: True)
        ticket = admission.submit(spec, now_ms).unwrap()
        checked = admission.recheck(ticket, now_ms)
        if isinstance(checked, Err):
            return checked.failure()
        admission.release_all(ticket)
        return None

    # An agent passed every call on, whatever limit its server named.
    def test_calls_keep_to_the_limit(self):
        """Calls beyond the limit are refused as not run, with when to come back."""
        admission = AdmissionController(8, None)
        now_ms = monotonic_ms()
        admission.limit.record_answer(200, self.LIMIT_HEADERS, now_ms - 1, now_ms)
        sent_ms = []
        for i in range(400):
            at_ms = now_ms + 50.0 * i
            fault = self._call(admission, at_ms)
            if fault is None:
                sent_ms.append(at_ms)
            else:
                self.assertEqual(fault.code, Code.SERVER_LIMITED)
                self.assertGreater(fault.retry_after_ms, 0)
        self.assertLessEqual(count_most(sent_ms), 4 * 2 + 2)
        self.assertGreater(len(sent_ms), 30)
        self.assertEqual(admission.n_in_flight, 0)

    def test_end_of_the_limit(self):
        """A later answer without a limit ends it; one to an earlier call does not."""
        limit = AgentServerLimit()
        limit.record_answer(200, self.LIMIT_HEADERS, 100.0, 150.0)
        limit.record_answer(200, (), 120.0, 160.0)
        self.assertEqual(limit.rate_per_s, 2.0)
        limit.record_answer(200, (), 200.0, 250.0)
        self.assertIsNone(limit.rate_per_s)
        self.assertIsNone(limit.refuse_call(1, 251.0))

    def test_named_in_an_answer(self):
        """The forwarder reads the limit from the server's answers."""

        async def main() -> float | None:
            limit = AgentServerLimit()
            async with run_servers([LimitingServer(3.5)]) as listed:
                forwarder = Forwarder(f"http://{listed[0].addr}", {}, limit=limit)
                call = BackendCall("GET", "/", [("host", "shop.example")], b"")
                await forwarder.forward(call, _ignore, dict, None)
            return limit.rate_per_s

        self.assertEqual(anyio.run(main), 3.5)


async def _ignore(event: dict) -> None:
    pass


class UnlimitedTest(unittest.TestCase):
    """Servers that name no limit."""

    def test_no_question(self):
        """An entry asks for no permit where no limit is known."""

        async def main() -> int:
            leader = LimitLeader()
            async with run_servers([LimitingServer()]) as listed:
                state = leader.add_entry(listed)
                await send_requests([state], 50.0, 0.5, random.Random(1))
            return leader.n_asked

        self.assertEqual(anyio.run(main), 0)
