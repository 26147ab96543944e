"""Tests of the model of moving a model between backend servers."""

import unittest

from minicheck import check_safety
from spec.moves import Rules, build_moves_protocol

PROPERTY_NAME = "some_replica_is_ready"


def check_protocol(rules):
    """Return the verdict on the property and the whole report."""
    report = check_safety(build_moves_protocol(rules))
    return report["properties"][PROPERTY_NAME], report


class TestMoves(unittest.TestCase):
    """The model is loaded before it is released, with a leader change at any step."""

    def test_a_ready_replica_remains(self):
        """A model with a ready replica keeps one in every reachable state."""
        verdict, report = check_protocol(Rules())
        self.assertTrue(verdict["holds"], verdict)
        self.assertGreater(report["reachable_states"], 1_000)

    def test_each_rule_is_needed(self):
        """Without any one rule the last ready replica can be lost."""
        for rule in Rules._fields:
            with self.subTest(rule=rule):
                verdict, _ = check_protocol(Rules(**{rule: False}))
                self.assertFalse(verdict["holds"])
                self.assertTrue(verdict["counterexample"])
