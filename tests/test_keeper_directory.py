"""What the leader knows of live agents."""

import unittest

from cowslipwood.agent._load_report import extract_load
from cowslipwood.keeper._directory import Directory

from .builders import agent_report


class TestLoad(unittest.TestCase):
    """A heartbeat that tells only the load."""

    def test_keeps_the_rest(self):
        """The load replaces the last one, and the rest of the report stays."""
        directory = Directory()
        report = agent_report("s1", n_in_flight=1)
        directory.take_agent_report(report, 0.0)
        later = report._replace(n_in_flight=7, n_queued=2, wait_ms=3.0)
        directory.take_agent_load(extract_load(later), 1_500.0)
        self.assertEqual(directory.live_agents(3_000.0), [later])

    def test_other_incarnation(self):
        """A load of a process whose full report is unknown is dropped."""
        directory = Directory()
        directory.take_agent_report(agent_report("s1"), 0.0)
        restarted = agent_report("s1", incarnation="i2", n_in_flight=7)
        directory.take_agent_load(extract_load(restarted), 10.0)
        self.assertEqual(directory.live_agents(20.0), [agent_report("s1")])
