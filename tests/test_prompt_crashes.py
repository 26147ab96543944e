"""Prompts with a part that ends each server that begins to answer them."""

import random
import unittest
from typing import Any

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipwood.crash_evidence._ledger import (
    CLEARED_LIFE_MS,
    MAX_ENDS,
    MAX_REMEMBERED_PARTS,
    CrashLedger,
    EndEvidence,
)
from cowslipwood.entry.direct._part_guard import (
    MAX_COMPLETED_PARTS,
    PartGuard,
)
from cowslipwood.entry.direct._state import DirectState
from cowslipwood.keeper._evidence import EvidenceRelay
from cowslipwood.kernel.codes import CODE_INFO, Outcome
from cowslipwood.kernel.messages import CrashEvidence, ServerEnd
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.kernel.server_probe import is_server_gone
from cowslipwood.kernel.wire import decode_record, encode_record
from cowslipwood.listing import to_server_view

from .crash_builders import BAD_PART, WAITING_PART, CrashingFleet, send_prompt
from .crash_model import CrashModel, ModelResult, ModelSettings
from .direct_builders import (
    always_send,
    build_answer,
    build_direct_state,
    build_listed_server,
    run_scripted_server,
)

# Number of servers that may end under one part.
MAX_ENDED = 5


class OneEntryTest(unittest.TestCase):
    """One entry before six servers."""

    # Requests of one kind ended server after server, without end.
    def test_part_that_ends_servers_is_refused(self):
        """No more than five servers end, and sound requests are all answered."""

        async def main() -> tuple[CrashingFleet, list, list]:
            rng = random.Random(3)
            bad, sound = [], []
            async with anyio.create_task_group() as tasks:
                fleet = CrashingFleet(tasks, 6)
                await fleet.start()
                state = fleet.add_entry()
                for number in range(60):
                    is_bad = number % 3 == 2
                    answer = await send_prompt(state, rng, BAD_PART if is_bad else "")
                    (bad if is_bad else sound).append(answer)
                tasks.cancel_scope.cancel()
            return fleet, bad, sound

        fleet, bad, sound = anyio.run(main)
        self.assertLessEqual(fleet.n_ended, MAX_ENDED)
        self.assertLessEqual(fleet.n_bad_arrivals, MAX_ENDED)
        self.assertTrue(all(sink.is_complete for _, sink in sound))
        fault, _ = bad[-1]
        self.assertIs(fault.outcome, Outcome.NOT_RUN)
        self.assertEqual(CODE_INFO[fault.code].http_status, 503)


class RepeatTest(unittest.TestCase):
    """Whether a request whose server ended is sent to another one."""

    def _count_ended(self, odd_part: str) -> int:
        async def main() -> int:
            async with anyio.create_task_group() as tasks:
                fleet = CrashingFleet(tasks, 3)
                await fleet.start()
                await send_prompt(fleet.add_entry(), random.Random(3), odd_part)
                tasks.cancel_scope.cancel()
            return fleet.n_ended

        return anyio.run(main)

    # One request ended two servers.
    def test_request_that_may_have_ended_a_server_is_not_repeated(self):
        """A request whose answer had begun when its server ended is not sent again."""
        self.assertEqual(self._count_ended(BAD_PART), 1)

    # Sound requests that waited at a server that ended were given up.
    def test_request_that_waited_is_repeated(self):
        """A request whose answer had not begun is sent to another server."""
        self.assertEqual(self._count_ended(WAITING_PART), 2)


class ManyEntriesTest(unittest.TestCase):
    """Entries that exchange their evidence through a leader, in model time."""

    def _play(self, model_settings: ModelSettings, seeds: range) -> list[ModelResult]:
        return [anyio.run(CrashModel(model_settings, seed).run) for seed in seeds]

    # Each of many entries sent the part to servers, as none had seen enough of them.
    def test_part_is_refused_everywhere_within_three_seconds(self):
        """Nothing with the part is sent to a server 3 s after the fifth end."""
        for model_settings in (
            ModelSettings(),
            ModelSettings(n_bad_parts=3),
            ModelSettings(bad_per_s=20.0),
            ModelSettings(n_entries=24, n_servers=20, n_bad_parts=2, n_subjects=2_000),
        ):
            for result in self._play(model_settings, range(3)):
                with self.subTest(settings=model_settings):
                    self.assertEqual(set(result.n_sent_late.values()), {0})
                    self.assertLess(result.n_sound_refused, result.n_sound / 2)

    def test_model_shows_entries_that_share_nothing(self):
        """The model finds the fault if entries keep what they see to themselves."""
        alone = ModelSettings(n_entries=24, n_servers=20, shares_evidence=False)
        for result in self._play(alone, range(2)):
            self.assertGreater(min(result.n_sent_late.values()), 3)
            self.assertGreater(min(result.n_ended.values()), MAX_ENDED)

    def test_no_more_than_five_servers_end(self):
        """At the rate of the incident, five servers at most end under a part."""
        for result in self._play(ModelSettings(bad_per_s=2.0), range(8)):
            self.assertLessEqual(max(result.n_ended.values()), MAX_ENDED)

    def test_servers_that_end_for_other_causes(self):
        """Sound prompts are served while servers end without such a part."""
        many_ends = ModelSettings(n_bad_parts=0, crash_interval_s=0.7)
        for result in self._play(many_ends, range(2)):
            self.assertLess(result.n_sound_refused, result.n_sound / 2)


def end(server_id: str, at_ms: float, begun: str = "", awaited: str = "") -> Any:
    """Return the end of a server; parts are single letters."""
    return EndEvidence(server_id, at_ms, frozenset(begun), frozenset(awaited))


def find_blocked(ends: list[EndEvidence], cleared: str = "") -> set[str]:
    """Return the parts that are refused after this evidence."""
    ledger = CrashLedger()
    now_ms = max((each.at_ms for each in ends), default=0.0)
    for each in ends:
        ledger.record_end(each, now_ms)
    ledger.record_cleared(cleared, now_ms)
    return set(ledger.blocks)


class CrashLedgerTest(unittest.TestCase):
    """Which parts are refused after which evidence."""

    def test_one_part_in_common(self):
        """The only part that two ends have in common is refused."""
        self.assertEqual(find_blocked([end("1", 0, "ab"), end("2", 900, "ac")]), {"a"})

    def test_one_end(self):
        """The end of one server makes no part refused."""
        self.assertEqual(find_blocked([end("1", 0, "a")]), set())

    def test_parts_that_cannot_be_told_apart(self):
        """Two parts that two ends share are told apart by a completed answer."""
        ends = [end("1", 0, "ab"), end("2", 900, "ab")]
        self.assertEqual(find_blocked(ends), set())
        self.assertEqual(find_blocked(ends, cleared="b"), {"a"})

    def test_cleared_part(self):
        """A part of a completed answer is not refused, however many servers ended."""
        ends = [end(str(i), 900.0 * i, "a") for i in range(8)]
        self.assertEqual(find_blocked(ends), {"a"})
        self.assertEqual(find_blocked(ends, cleared="a"), set())

    def test_ends_at_one_moment(self):
        """Requests that waited at servers that ended together make no part refused."""
        ends = [end(str(i), float(i), awaited="a") for i in range(8)]
        self.assertEqual(find_blocked(ends), set())

    def test_ends_far_apart(self):
        """Ends over hours make no part refused."""
        ends = [end(str(i), 500_000.0 * i, "a") for i in range(8)]
        self.assertEqual(find_blocked(ends), set())

    def test_several_parts(self):
        """Each of several parts is refused for the ends that it explains."""
        ends = [end(str(i), 900.0 * i, "fa" if i % 2 else "fb") for i in range(6)]
        self.assertEqual(find_blocked(ends, cleared="f"), {"a", "b"})

    def test_block_ends_and_returns(self):
        """A block ends by itself; then one end is enough, for a longer time."""
        ledger = CrashLedger()
        for i in range(2):
            ledger.record_end(end(str(i), 0.0, "a"), 0.0)
        until_ms = ledger.blocks["a"].until_ms
        self.assertIsNotNone(ledger.find_block(["x", "a"], until_ms - 1))
        self.assertIsNone(ledger.find_block(["a"], until_ms))
        ledger.record_end(end("2", until_ms, "a"), until_ms)
        self.assertGreater(ledger.blocks["a"].until_ms, 3 * until_ms)

    def test_bounded(self):
        """Made-up parts and servers without end take a bounded amount of memory."""
        ledger = CrashLedger()
        for i in range(900):
            ledger.record_end(end(f"s{i}", 10.0 * i, awaited=chr(i)), 10.0 * i)
            ledger.record_cleared([f"{i}-{j}" for j in range(5)], 10.0 * i)
        self.assertLessEqual(len(ledger.list_ends()), MAX_ENDS)
        self.assertLessEqual(len(ledger._cleared_at_ms), MAX_REMEMBERED_PARTS)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.data())
    def test_order_of_evidence(self, data):
        """Entries that learn of the same evidence in any order refuse the same."""
        ends = data.draw(
            st.lists(
                st.builds(
                    end,
                    st.sampled_from("123456"),
                    st.integers(0, 9).map(lambda second: 1_000.0 * second),
                    st.text("abc", max_size=2),
                    st.text("abcd", max_size=2),
                ),
                max_size=8,
            )
        )
        cleared = data.draw(st.text("abcd", max_size=1))
        shuffled = data.draw(st.permutations(ends))
        self.assertEqual(
            find_blocked(list(ends), cleared), find_blocked(list(shuffled), cleared)
        )


class EvidenceRelayTest(unittest.TestCase):
    """What the leader passes on."""

    # A part stayed refused at other entries when it was cleared a second time.
    def test_part_that_is_cleared_again_is_passed_on_again(self):
        """Entries forget a cleared part, so a later answer with it is news."""
        relay = EvidenceRelay()
        message = CrashEvidence((), ("a",))
        relay.add(message, 0.0)
        self.assertFalse(relay.add(message, 1_000.0))
        self.assertTrue(relay.add(message, CLEARED_LIFE_MS))
        update = relay.build_update(1, CLEARED_LIFE_MS)
        self.assertEqual(update.cleared_parts, ("a",))

    def test_views_of_one_end_are_merged(self):
        """Entries get the parts that any of them saw, once, with their age."""
        relay = EvidenceRelay()
        for part in "ab":
            message = CrashEvidence((ServerEnd("s1", (part,), (), 5.0),), ("c",))
            self.assertTrue(relay.add(message, 100.0))
            self.assertFalse(relay.add(message, 100.0))
        update = relay.build_update(0, 200.0)
        self.assertEqual(update.ends, (ServerEnd("s1", ("a", "b"), (), 105.0),))
        self.assertEqual(update.cleared_parts, ("c",))
        self.assertEqual(
            decode_record(CrashEvidence, encode_record(update)).unwrap(), update
        )
        self.assertEqual(
            relay.build_update(relay.revision, 200.0), CrashEvidence((), ())
        )


async def report_gone(addr: str) -> bool:
    """Report that a server is gone."""
    return True


class PartGuardTest(unittest.TestCase):
    """What one entry records and tells the others."""

    def _build_guard(self) -> PartGuard:
        return PartGuard(Metrics("entry"), report_gone)

    def _record_break(self, guard: PartGuard, server_id: str, *parts: str) -> bool:
        view = to_server_view(build_listed_server(server_id, "10.0.0.1:80"), ())
        return anyio.run(guard.record_break, view, parts, True, 0.0)

    # A completed answer was told to a leader that ended, and never again.
    def test_new_leader_is_told_which_accused_parts_were_completed(self):
        """An entry that has the ends from a new leader does not refuse the part."""
        guard, other = self._build_guard(), self._build_guard()
        for server_id in ("s1", "s2"):
            self._record_break(guard, server_id, "a")
        guard.record_complete(["a"], 0.0)
        guard.take_news(0.0)
        other.apply_evidence(guard.build_all(0.0), 0.0)
        self.assertIsNone(other.check(["a"], 0.0))

    # A part in use would have been refused once an older completed answer was too old.
    def test_part_in_use_is_not_refused_when_its_clearing_expires(self):
        """A part whose answers go on being completed is never refused."""
        guard = self._build_guard()
        ends = tuple(ServerEnd(f"s{i}@1", ("a",), (), 0.0) for i in range(2))
        guard.record_complete(["a"], 0.0)
        for minute in range(20):
            now_ms = 60_000.0 * minute
            if minute == 8:
                guard.apply_evidence(CrashEvidence(ends, ()), now_ms)
            self.assertIsNone(guard.check(["a"], now_ms))
            guard.record_complete(["a"], now_ms)

    # An error that a server wrote whole cleared the part that ended others.
    def test_error_clears_no_part(self):
        """Only a successful answer shows that a prompt's parts end no server."""

        async def main() -> DirectState:
            not_found = build_answer(status="404 Not Found")
            async with run_scripted_server(always_send(not_found)) as (addr, _):
                state = build_direct_state([build_listed_server("s0", addr)])
                await send_prompt(state, random.Random(3), BAD_PART)
            return state

        state = anyio.run(main)
        ends = tuple(ServerEnd(f"s{i}@1", (BAD_PART,), (), 0.0) for i in range(2))
        now_ms = state.now_ms()
        state.part_guard.apply_evidence(CrashEvidence(ends, ()), now_ms)
        self.assertIsNotNone(state.part_guard.check([BAD_PART], now_ms))

    def test_running_server(self):
        """A server that broke off an answer and still runs accuses no part."""

        async def report_running(addr: str) -> bool:
            return False

        guard = PartGuard(Metrics("entry"), report_running)
        for server_id in ("s1", "s2"):
            self.assertFalse(self._record_break(guard, server_id, "a"))
        self.assertIsNone(guard.check(["a"], 0.0))

    def test_remembered_parts_are_bounded(self):
        """Made-up parts do not push out those in use, and take bounded memory."""
        guard = self._build_guard()
        for number in range(2 * MAX_COMPLETED_PARTS):
            guard.record_complete(["used", f"made-up{number}"], 0.0)
        self.assertEqual(len(guard._completed_at_ms), MAX_COMPLETED_PARTS)
        for server_id in ("s1", "s2"):
            self.assertFalse(self._record_break(guard, server_id, "used"))


class GonePortTest(unittest.TestCase):
    """How an entry tells a server that has ended from one that runs."""

    def test_servers(self):
        """A running server keeps a connection open; one that has ended has no port."""

        async def main() -> tuple[bool, bool]:
            async with run_scripted_server(always_send(b"")) as (addr, _):
                is_running_gone = await is_server_gone(addr)
            return is_running_gone, await is_server_gone(addr)

        self.assertEqual(anyio.run(main), (False, True))
