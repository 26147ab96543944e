"""Tests of how the regression run judges the result of a simulated day."""

import json
import unittest

from benchmarks.regression import (
    LIST_PATH,
    DayRun,
    Result,
    compare_with_kept,
    read_result,
)


class VerdictTest(unittest.TestCase):
    """Comparison of a run's value with the kept one."""

    def test_verdicts(self):
        """A value fell if the mean of the runs is lower by more than the noise."""
        self.assertEqual(compare_with_kept(None, [0.5], 0.05), "new")
        self.assertEqual(compare_with_kept(0.5, [0.46], 0.05), "same")
        self.assertEqual(compare_with_kept(0.5, [0.44], 0.05), "FELL")
        self.assertEqual(compare_with_kept(0.5, [0.44, 0.48], 0.05), "same")
        self.assertEqual(compare_with_kept(0.5, [0.56], 0.05), "rose")

    def test_broken_rules(self):
        """Broken rules and faults are reported, whatever the value."""
        report = {"G": 0.9, "served": 0.95, "breaks": {"ONE": 2}, "fault": "exits"}
        self.assertEqual(read_result(report), Result(0.9, 0.95, ("ONE", "exits")))

    def test_list(self):
        """Each run of the list has all fields and a unique name."""
        day_runs = [
            DayRun(**fields) for fields in json.loads(LIST_PATH.read_text())["plays"]
        ]
        self.assertEqual(len({day_run.name for day_run in day_runs}), len(day_runs))
