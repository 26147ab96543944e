"""The leader's record of live agents."""

import unittest

from cowslipwood.agent._load_report import extract_load
from cowslipwood.keeper._directory import REPORT_TIMEOUT_MS, ProcessDirectory

from .builders import agent_report, demand_report


class TestLoad(unittest.TestCase):
    """A heartbeat that holds only the load."""

    def test_keeps_the_rest(self):
        """The load replaces the previous load; the rest of the report stays."""
        directory = ProcessDirectory()
        report = agent_report("s1", n_in_flight=1)
        directory.record_agent_report(report, 0.0)
        later = report._replace(n_in_flight=7, n_queued=2, wait_ms=3.0)
        directory.record_agent_load(extract_load(later), 1_500.0)
        self.assertEqual(directory.list_live_agent_reports(3_000.0), [later])

    def test_other_incarnation(self):
        """The load of a process that sent no full report is dropped."""
        directory = ProcessDirectory()
        directory.record_agent_report(agent_report("s1"), 0.0)
        restarted = agent_report("s1", incarnation="i2", n_in_flight=7)
        directory.record_agent_load(extract_load(restarted), 10.0)
        self.assertEqual(directory.list_live_agent_reports(20.0), [agent_report("s1")])


class TestEntries(unittest.TestCase):
    """The reports of entries."""

    def test_silent_entries_are_forgotten(self):
        """The report of an entry that is no longer live is not kept."""
        directory = ProcessDirectory()
        for number in range(20):
            report = demand_report()._replace(entry_id=f"e{number}")
            directory.record_entry_report(report, 1_000.0 * number)
        self.assertEqual(directory.list_live_entry_ids(19_000.0), ["e17", "e18", "e19"])
        # Fails if the reports of entries that have stopped are kept for good.
        self.assertEqual(sorted(directory._entries), ["e17", "e18", "e19"])
        now_ms = 17_000.0 + REPORT_TIMEOUT_MS
        self.assertIn("e17", directory.list_live_entry_ids(now_ms))
