"""Tests of the model of keepers that lead in turn."""

import unittest

from minicheck import check_safety
from spec.turns import Rules, build_turns_protocol

PROPERTY_NAME = "no_turns"


def check_protocol(rules):
    """Return the verdict on the property and the whole report."""
    report = check_safety(build_turns_protocol(rules))
    return report["properties"][PROPERTY_NAME], report


class TestTurns(unittest.TestCase):
    """Orders of keepers that lead in turn, to one engine."""

    def test_no_turns(self):
        """No keeper orders again within a lease if another one has in between."""
        verdict, report = check_protocol(Rules())
        self.assertTrue(verdict["holds"], verdict)
        self.assertGreater(report["reachable_states"], 1_000)
        self.assertTrue(report["exhaustive"])

    def test_each_rule_is_needed(self):
        """Without any one rule two keepers can take turns."""
        for rule in Rules._fields:
            with self.subTest(rule=rule):
                verdict, _ = check_protocol(Rules(**{rule: False}))
                self.assertFalse(verdict["holds"])
                self.assertTrue(verdict["counterexample"])
