"""Permits of the weight store, and who counts as leaving."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from cowslipwood.keeper._directory import (
    PLATFORM_LEAVING_HOLD_MS,
    REPORT_TIMEOUT_MS,
    ProcessDirectory,
)
from cowslipwood.keeper._leaving import MAX_SOLE_HOLDER_MS, LeavingServers
from cowslipwood.keeper._permits import Permits
from cowslipwood.keeper._platform import parse_hosts
from cowslipwood.kernel.codes import Code
from cowslipwood.kernel.messages import PermitRelease, PermitRequest, Resident

from .builders import agent_report

VALID_MS = 2_000


def leading(loads_per_s=1.0, max_at_once=2):
    """Return the permits of a leader that may grant from time 0."""
    permits = Permits(loads_per_s, max_at_once, VALID_MS)
    permits.start_leadership(-VALID_MS)
    return permits


def loading(server_id, model):
    """Return the report of an agent that is loading a model."""
    resident = Resident(model, "1", "loading", 1)
    return agent_report(server_id, residents=(resident,))


def ask(permits, request, now_ms, *, urgent=True):
    """Return the answer to a request."""
    return permits.request_permit(request, now_ms, urgent=urgent)


class TestPermits(unittest.TestCase):
    """The leader's permits."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.floats(0.5, 4.0),
        st.integers(1, 3),
        st.lists(
            st.tuples(st.integers(0, 800), st.integers(0, 5), st.booleans()),
            max_size=60,
        ),
    )
    def test_rate_and_concurrency_are_kept(self, loads_per_s, max_at_once, events):
        """Over any requests and releases, both limits of the store hold."""
        permits = leading(loads_per_s, max_at_once)
        now_ms, begun, running = 0.0, [], {}
        for wait_ms, number, releases in events:
            now_ms += wait_ms
            permits.record_reports(loading(f"s{i}", "m") for i in running)
            if releases and running:
                server, permit_id = running.popitem()
                permits.release_permit(PermitRelease(permit_id, f"s{server}"))
            if number in running:
                continue
            asked = ask(permits, PermitRequest(f"s{number}", "m"), now_ms)
            if is_successful(asked):
                begun.append(now_ms)
                running[number] = asked.unwrap().permit_id
            else:
                self.assertGreater(asked.failure().retry_after_ms, 0)
            self.assertLessEqual(len(running), max_at_once)
        for first, second in zip(begun, begun[1:], strict=False):
            self.assertGreaterEqual(second - first, 1000.0 / loads_per_s - 1e-6)

    def test_repeated_request_gets_the_same_permit(self):
        """A request resent after its answer was lost takes no second place."""
        permits = leading()
        asked = [ask(permits, PermitRequest("s1", "m1"), t) for t in (0.0, 10.0)]
        self.assertEqual(asked[0], asked[1])
        self.assertEqual(permits.n_held, 1)

    def test_unused_permit_expires(self):
        """A permit whose load never began is free again after its validity."""
        permits = leading(max_at_once=1)
        ask(permits, PermitRequest("s1", "m1"), 0.0)
        refused = ask(permits, PermitRequest("s2", "m1"), VALID_MS - 1.0)
        self.assertEqual(refused.failure().code, Code.NO_PERMIT)
        granted = ask(permits, PermitRequest("s2", "m1"), VALID_MS + 1.0)
        self.assertTrue(is_successful(granted))

    def test_running_load_keeps_its_permit(self):
        """A load that the agent reports under way holds its place beyond validity."""
        permits = leading(max_at_once=1)
        ask(permits, PermitRequest("s1", "m1"), 0.0)
        permits.record_reports([loading("s1", "m1")])
        refused = ask(permits, PermitRequest("s2", "m1"), 10.0 * VALID_MS)
        self.assertEqual(refused.failure().code, Code.NO_PERMIT)

    def test_new_leader_counts_loads_of_the_one_before(self):
        """A new leader waits one validity, then counts the loads under way."""
        permits = Permits(10.0, 2, VALID_MS)
        permits.start_leadership(0.0)
        permits.record_reports([loading("s1", "m1"), loading("s2", "m1")])
        early = ask(permits, PermitRequest("s3", "m1"), VALID_MS - 1.0)
        self.assertEqual(early.failure().retry_after_ms, 50)
        late = ask(permits, PermitRequest("s3", "m1"), VALID_MS + 1.0)
        self.assertEqual(late.failure().code, Code.NO_PERMIT)
        own = ask(permits, PermitRequest("s1", "m1"), VALID_MS + 1.0)
        self.assertTrue(is_successful(own))

    def test_extra_replica_waits_for_a_model_without_any(self):
        """While a model without a ready replica is refused, no other is granted."""
        permits = leading(max_at_once=5)
        ask(permits, PermitRequest("s1", "m1"), 0.0)
        ask(permits, PermitRequest("s2", "m2"), 500.0)
        extra = ask(permits, PermitRequest("s3", "m1"), 1_000.0, urgent=False)
        self.assertEqual(extra.failure().code, Code.NO_PERMIT)
        urgent = ask(permits, PermitRequest("s2", "m2"), 1_000.0)
        self.assertTrue(is_successful(urgent))
        extra = ask(permits, PermitRequest("s3", "m1"), 2_000.0, urgent=False)
        self.assertTrue(is_successful(extra))


class TestLeaving(unittest.TestCase):
    """Any sign of leaving wins."""

    def test_agents_notice_holds_for_its_incarnation(self):
        """A late report without the notice does not take it back; a restart does."""
        directory = ProcessDirectory()
        directory.record_agent_report(agent_report("s1", leaving=True), 0.0)
        directory.record_agent_report(agent_report("s1"), 1.0)
        self.assertTrue(directory.is_leaving("s1", 2.0))
        directory.record_agent_report(agent_report("s1", incarnation="i2"), 3.0)
        self.assertFalse(directory.is_leaving("s1", 4.0))

    def test_flapping_list_reads_as_leaving(self):
        """A list that turns to live and back leaves the server leaving throughout."""
        directory = ProcessDirectory()
        directory.record_agent_report(agent_report("s1"), 0.0)
        for now_ms in range(0, 40_000, 500):
            state = "leaving" if now_ms % 5_000 < 500 else "live"
            directory.record_platform_hosts({"s1": state}, now_ms)
            self.assertTrue(directory.is_leaving("s1", now_ms))
        self.assertFalse(directory.is_leaving("s1", 40_000 + PLATFORM_LEAVING_HOLD_MS))

    def test_unlisted_is_known_only_while_the_list_is_fresh(self):
        """A host taken off the list is told from a list that cannot be read."""
        directory = ProcessDirectory()
        directory.record_platform_hosts({"s1": "live", "s2": "live"}, 0.0)
        directory.record_platform_hosts({"s2": "live"}, 1_000.0)
        self.assertTrue(directory.is_unlisted("s1", 1_500.0))
        self.assertFalse(directory.is_unlisted("s2", 1_500.0))
        self.assertFalse(directory.is_unlisted("s1", 60_000.0))

    def test_silent_agent_is_not_live(self):
        """An agent that was not heard in time is told to no entry."""
        directory = ProcessDirectory()
        directory.record_agent_report(agent_report("s1"), 0.0)
        self.assertEqual(len(directory.list_live_agent_reports(REPORT_TIMEOUT_MS)), 1)
        self.assertEqual(directory.list_live_agent_reports(REPORT_TIMEOUT_MS + 1.0), [])

    def test_drained_server_serves_until_its_models_are_ready_elsewhere(self):
        """A drain closes a server once another is ready, or after the bound."""
        ready = (Resident("m1", "1", "ready", 1),)
        directory = ProcessDirectory()
        leaving_servers = LeavingServers(directory)
        directory.record_agent_report(agent_report("s1", residents=ready), 0.0)
        directory.record_agent_report(agent_report("s2"), 0.0)
        self.assertEqual(leaving_servers.find_closed_servers({"s1"}, 0.0), set())
        directory.record_agent_report(agent_report("s2", residents=ready), 1_000.0)
        self.assertEqual(leaving_servers.find_closed_servers({"s1"}, 1_000.0), {"s1"})
        directory.record_agent_report(agent_report("s2"), 1_500.0)
        directory.record_agent_report(agent_report("s1", residents=ready), 1_500.0)
        self.assertEqual(leaving_servers.find_closed_servers({"s1"}, 1_500.0), set())
        directory.record_agent_report(
            agent_report("s1", residents=ready), MAX_SOLE_HOLDER_MS
        )
        self.assertEqual(
            leaving_servers.find_closed_servers({"s1"}, MAX_SOLE_HOLDER_MS), {"s1"}
        )
        self.assertEqual(
            leaving_servers.find_closed_servers(set(), MAX_SOLE_HOLDER_MS), set()
        )

    def test_agents_notice_closes_at_once(self):
        """An agent that is stopping gets no new work, whatever it alone holds."""
        ready = (Resident("m1", "1", "ready", 1),)
        directory = ProcessDirectory()
        directory.record_agent_report(
            agent_report("s1", residents=ready, leaving=True), 0.0
        )
        self.assertEqual(
            LeavingServers(directory).find_closed_servers(set(), 0.0), {"s1"}
        )

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=60) | st.sampled_from([b"[1]", b'[{"server_id":1}]']))
    def test_malformed_list_is_refused(self, body):
        """A list that is not one is a numbered failure and changes nothing."""
        parsed = parse_hosts(body)
        if is_successful(parsed):
            self.assertEqual(dict(parsed.unwrap()), {})
        else:
            self.assertEqual(parsed.failure().code, Code.BAD_MESSAGE)
