"""Permits to load from the weight store, and servers that are leaving."""

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


def make_leading_permits(loads_per_s=1.0, max_at_once=2):
    """Return the permits of a leader that may grant loads from time 0."""
    permits = Permits(loads_per_s, max_at_once, VALID_MS)
    permits.start_leadership(-VALID_MS)
    return permits


def make_loading_report(server_id, model):
    """Return the report of an agent that is loading a model."""
    resident = Resident(model, "1", "loading", 1)
    return agent_report(server_id, residents=(resident,))


def request_permit(permits, request, now_ms, *, urgent=True):
    """Return the leader's decision on a request."""
    return permits.grant_permit(request, now_ms, urgent=urgent)


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
        """Any sequence of requests and releases keeps both limits of the store."""
        permits = make_leading_permits(loads_per_s, max_at_once)
        now_ms, load_starts_ms, running = 0.0, [], {}
        for wait_ms, number, releases in events:
            now_ms += wait_ms
            permits.record_reports(make_loading_report(f"s{i}", "m") for i in running)
            if releases and running:
                server, permit_id = running.popitem()
                permits.release_permit(PermitRelease(permit_id, f"s{server}"))
            if number in running:
                continue
            asked = request_permit(permits, PermitRequest(f"s{number}", "m"), now_ms)
            if is_successful(asked):
                load_starts_ms.append(now_ms)
                running[number] = asked.unwrap().permit_id
            else:
                self.assertGreater(asked.failure().retry_after_ms, 0)
            self.assertLessEqual(len(running), max_at_once)
        for first, second in zip(load_starts_ms, load_starts_ms[1:], strict=False):
            self.assertGreaterEqual(second - first, 1000.0 / loads_per_s - 1e-6)

    def test_repeated_request_gets_the_same_permit(self):
        """A request that is repeated after a lost answer takes no second permit."""
        permits = make_leading_permits()
        asked = [
            request_permit(permits, PermitRequest("s1", "m1"), t) for t in (0.0, 10.0)
        ]
        self.assertEqual(asked[0], asked[1])
        self.assertEqual(permits.n_held, 1)

    def test_unused_permit_expires(self):
        """A permit whose load did not begin ends after its validity."""
        permits = make_leading_permits(max_at_once=1)
        request_permit(permits, PermitRequest("s1", "m1"), 0.0)
        refused = request_permit(permits, PermitRequest("s2", "m1"), VALID_MS - 1.0)
        self.assertEqual(refused.failure().code, Code.NO_PERMIT)
        granted = request_permit(permits, PermitRequest("s2", "m1"), VALID_MS + 1.0)
        self.assertTrue(is_successful(granted))

    def test_running_load_keeps_its_permit(self):
        """A load that is reported to be under way keeps its permit after validity."""
        permits = make_leading_permits(max_at_once=1)
        request_permit(permits, PermitRequest("s1", "m1"), 0.0)
        permits.record_reports([make_loading_report("s1", "m1")])
        refused = request_permit(permits, PermitRequest("s2", "m1"), 10.0 * VALID_MS)
        self.assertEqual(refused.failure().code, Code.NO_PERMIT)

    def test_new_leader_counts_loads_of_the_one_before(self):
        """A new leader waits for the validity, then counts the loads under way."""
        permits = Permits(10.0, 2, VALID_MS)
        permits.start_leadership(0.0)
        permits.record_reports(
            [make_loading_report("s1", "m1"), make_loading_report("s2", "m1")]
        )
        early = request_permit(permits, PermitRequest("s3", "m1"), VALID_MS - 1.0)
        self.assertEqual(early.failure().retry_after_ms, 50)
        late = request_permit(permits, PermitRequest("s3", "m1"), VALID_MS + 1.0)
        self.assertEqual(late.failure().code, Code.NO_PERMIT)
        own = request_permit(permits, PermitRequest("s1", "m1"), VALID_MS + 1.0)
        self.assertTrue(is_successful(own))

    def test_extra_replica_waits_for_a_model_without_any(self):
        """No extra replica is loaded while a model without a ready one is refused."""
        permits = make_leading_permits(max_at_once=5)
        request_permit(permits, PermitRequest("s1", "m1"), 0.0)
        request_permit(permits, PermitRequest("s2", "m2"), 500.0)
        extra = request_permit(
            permits, PermitRequest("s3", "m1"), 1_000.0, urgent=False
        )
        self.assertEqual(extra.failure().code, Code.NO_PERMIT)
        urgent = request_permit(permits, PermitRequest("s2", "m2"), 1_000.0)
        self.assertTrue(is_successful(urgent))
        extra = request_permit(
            permits, PermitRequest("s3", "m1"), 2_000.0, urgent=False
        )
        self.assertTrue(is_successful(extra))


class TestLeaving(unittest.TestCase):
    """A server is leaving as soon as its agent or the platform says so."""

    def test_agents_notice_holds_for_its_incarnation(self):
        """A notice stays despite a late report without it, and ends with a restart."""
        directory = ProcessDirectory()
        directory.record_agent_report(agent_report("s1", leaving=True), 0.0)
        directory.record_agent_report(agent_report("s1"), 1.0)
        self.assertTrue(directory.is_leaving("s1", 2.0))
        directory.record_agent_report(agent_report("s1", incarnation="i2"), 3.0)
        self.assertFalse(directory.is_leaving("s1", 4.0))

    def test_flapping_list_reads_as_leaving(self):
        """A server stays leaving while the list alternates between the two states."""
        directory = ProcessDirectory()
        directory.record_agent_report(agent_report("s1"), 0.0)
        for now_ms in range(0, 40_000, 500):
            state = "leaving" if now_ms % 5_000 < 500 else "live"
            directory.record_platform_hosts({"s1": state}, now_ms)
            self.assertTrue(directory.is_leaving("s1", now_ms))
        self.assertFalse(directory.is_leaving("s1", 40_000 + PLATFORM_LEAVING_HOLD_MS))

    def test_unlisted_is_known_only_while_the_list_is_fresh(self):
        """A host counts as removed only while the list can be read."""
        directory = ProcessDirectory()
        directory.record_platform_hosts({"s1": "live", "s2": "live"}, 0.0)
        directory.record_platform_hosts({"s2": "live"}, 1_000.0)
        self.assertTrue(directory.is_unlisted("s1", 1_500.0))
        self.assertFalse(directory.is_unlisted("s2", 1_500.0))
        self.assertFalse(directory.is_unlisted("s1", 60_000.0))

    def test_silent_agent_is_not_live(self):
        """An agent without a report within the timeout is not published to entries."""
        directory = ProcessDirectory()
        directory.record_agent_report(agent_report("s1"), 0.0)
        self.assertEqual(len(directory.list_live_agent_reports(REPORT_TIMEOUT_MS)), 1)
        self.assertEqual(directory.list_live_agent_reports(REPORT_TIMEOUT_MS + 1.0), [])

    def test_drained_server_serves_until_its_models_are_ready_elsewhere(self):
        """A drained server is closed once another is ready, or after the time limit."""
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
        """An agent that is stopping gets no new work, even as the only holder."""
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
        """A malformed list fails with BAD_MESSAGE."""
        parsed = parse_hosts(body)
        if is_successful(parsed):
            self.assertEqual(dict(parsed.unwrap()), {})
        else:
            self.assertEqual(parsed.failure().code, Code.BAD_MESSAGE)
