"""The planner: which reports and plans it uses, and which commands it commits."""

import unittest

import anyio
from returns.result import Success

from cowslipwood.keeper._commands import AssignCommand, decode_command
from cowslipwood.keeper._directory import REPORT_TIMEOUT_MS, ProcessDirectory
from cowslipwood.keeper._machine import AssignedModels, KeeperStateMachine
from cowslipwood.keeper._planner import (
    FIRST_ROUND_DELAY_MS,
    FORGET_SERVER_AFTER_MS,
    Planner,
    PlannerSettings,
)
from cowslipwood.kernel.codes import Code
from cowslipwood.kernel.messages import DesiredModel, PermitRequest
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.placement import ServerStatus

from .builders import agent_report

DEAD_AFTER_MS = 5_000
MODEL = DesiredModel("m1", "1", "model", "", 10)


class FakeReplica:
    """A replica that leads while `is_leading` is set and records proposed commands."""

    def __init__(self):
        self.term = 1
        self.leader_addr = "127.0.0.1:1"
        self.is_leading = True
        self.commands = []

    def can_act_as_leader(self, now_ms):
        return self.is_leading

    async def propose(self, command):
        self.commands.append(decode_command(command).unwrap())
        return Success(Success(None))


class TestPlanner(unittest.TestCase):
    """The planner of one keeper, at times that the tests choose."""

    def setUp(self):
        self.machine = KeeperStateMachine()
        self.directory = ProcessDirectory()
        self.replica = FakeReplica()
        settings = PlannerSettings(dead_after_ms=DEAD_AFTER_MS)
        self.planner = Planner(
            settings, self.machine, self.directory, self.replica, Metrics("keeper")
        )

    def run_round(self, now_ms):
        """Run one placement round at the given time."""
        anyio.run(self.planner._run_round, now_ms)

    def get_status(self, server_id, now_ms):
        """Return the status of a server; None when it is gone."""
        servers = self.planner.make_request(now_ms).servers
        return {state.server_id: state.status for state in servers}.get(server_id)

    def test_silence(self):
        """A server without reports is silent at first, and gone after a timeout."""
        self.run_round(0.0)
        self.directory.record_agent_report(agent_report("s1"), 100.0)
        self.assertIs(self.get_status("s1", 100.0), ServerStatus.LIVE)
        silent_ms = 100.0 + REPORT_TIMEOUT_MS + 1.0
        self.assertIs(self.get_status("s1", silent_ms), ServerStatus.SILENT)
        self.assertIsNone(self.get_status("s1", 101.0 + DEAD_AFTER_MS))

    def test_silent_server_off_the_list_is_gone_at_once(self):
        """A silent server that the platform has removed from its list is gone."""
        self.run_round(0.0)
        self.directory.record_agent_report(agent_report("s1"), 100.0)
        self.directory.record_platform_hosts({"s1": "live"}, 100.0)
        self.directory.record_platform_hosts({}, 200.0)
        self.assertIs(self.get_status("s1", 300.0), ServerStatus.LIVE)
        self.assertIsNone(self.get_status("s1", 101.0 + REPORT_TIMEOUT_MS))

    def test_silent_server_without_assignment_is_forgotten(self):
        """A server that was never assigned a model is forgotten like the others."""
        self.run_round(0.0)
        self.directory.record_agent_report(agent_report("s1"), 100.0)
        self.run_round(FORGET_SERVER_AFTER_MS)
        self.assertIn("s1", self.directory.list_agent_reports())
        self.run_round(FORGET_SERVER_AFTER_MS + 101.0)
        # Fails if the reports of servers that were replaced are kept for good.
        self.assertNotIn("s1", self.directory.list_agent_reports())
        self.assertEqual(self.replica.commands, [])

    def test_new_leader_gives_agents_time_to_report(self):
        """In each term, silence is counted from the start of the leadership."""
        self.machine.assignments["s1"] = AssignedModels(1, (MODEL,))
        self.run_round(0.0)
        self.assertIsNone(self.get_status("s1", 1.0 + DEAD_AFTER_MS))
        self.replica.term = 2
        self.run_round(1.0 + DEAD_AFTER_MS)
        again = self.get_status("s1", 2.0 + DEAD_AFTER_MS)
        self.assertIs(again, ServerStatus.SILENT)

    def test_report_on_an_older_assignment_is_not_confirmed(self):
        """Only a report on the newest assignment confirms a server's state."""
        self.machine.assignments["s1"] = AssignedModels(7, (MODEL,))
        self.run_round(0.0)
        for revision, confirmed in ((6, False), (7, True)):
            report = agent_report("s1", assignment_revision=revision)
            self.directory.record_agent_report(report, 0.0)
            (state,) = self.planner.make_request(0.0).servers
            self.assertIs(state.is_report_current, confirmed)

    def test_plan_of_an_earlier_term_is_dropped(self):
        """A plan is committed only in the term in which it was made.

        Another leader in between may have committed other assignments.
        """
        self.machine.assignments["s1"] = AssignedModels(7, (MODEL,))
        self.directory.record_agent_report(agent_report("s1"), FIRST_ROUND_DELAY_MS)
        decide = self.planner._policy

        def decide_late(request):
            self.replica.term += 1
            return decide(request)

        self.run_round(0.0)
        self.planner._policy = decide_late
        self.run_round(FIRST_ROUND_DELAY_MS)
        self.assertEqual(self.replica.commands, [])
        self.planner._policy = decide
        self.run_round(FIRST_ROUND_DELAY_MS)
        self.run_round(2.0 * FIRST_ROUND_DELAY_MS)
        self.assertEqual(self.replica.commands, [AssignCommand("s1", ())])

    def test_permits_come_from_the_leader_only(self):
        """A keeper that does not lead refuses with the address of the leader."""
        self.replica.is_leading = False
        refused = self.planner.answer_permit_message(PermitRequest("s1", "m1"), 0.0)
        self.assertEqual(refused.code, Code.NOT_LEADER)
        self.assertEqual(refused.leader_addr, self.replica.leader_addr)
