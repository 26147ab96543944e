"""What the regression run says of a play."""

import json
import unittest

from benchmarks.regression import LIST, Figures, Play, read_figures, verdict


class VerdictTest(unittest.TestCase):
    """A play beside the figure that was kept."""

    def test_verdicts(self):
        """A fall counts beyond the noise, and by the mean of repeated plays."""
        self.assertEqual(verdict(None, [0.5], 0.05), "new")
        self.assertEqual(verdict(0.5, [0.46], 0.05), "same")
        self.assertEqual(verdict(0.5, [0.44], 0.05), "FELL")
        self.assertEqual(verdict(0.5, [0.44, 0.48], 0.05), "same")
        self.assertEqual(verdict(0.5, [0.56], 0.05), "rose")

    def test_broken_rules(self):
        """Rules that broke and faults are told, whatever the figure."""
        report = {"G": 0.9, "served": 0.95, "breaks": {"ONE": 2}, "fault": "exits"}
        self.assertEqual(read_figures(report), Figures(0.9, 0.95, ("ONE", "exits")))

    def test_list(self):
        """Each play of the list has a name of its own and a seed."""
        plays = [Play(**each) for each in json.loads(LIST.read_text())["plays"]]
        self.assertEqual(len({play.name for play in plays}), len(plays))
