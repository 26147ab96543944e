"""The checked model of moves."""

import unittest

from minicheck import check_safety
from spec.moves import Rules, moves

PROPERTY = "some_replica_is_ready"


def checked(rules):
    """Return the verdict on a protocol and the whole report."""
    report = check_safety(moves(rules))
    return report["properties"][PROPERTY], report


class TestMoves(unittest.TestCase):
    """Make before break, with a leader change at any step."""

    def test_a_ready_replica_remains(self):
        """A model with a ready replica keeps one in every reachable state."""
        verdict, report = checked(Rules())
        self.assertTrue(verdict["holds"], verdict)
        self.assertGreater(report["reachable_states"], 1_000)

    def test_each_rule_is_needed(self):
        """Without any one rule there is a way to lose the last ready replica."""
        for rule in Rules._fields:
            with self.subTest(rule=rule):
                verdict, _ = checked(Rules(**{rule: False}))
                self.assertFalse(verdict["holds"])
                self.assertTrue(verdict["counterexample"])
