"""Tests of the model of how a keeper cluster is formed."""

import unittest

from minicheck import check_safety
from spec.formation import Rules, build_formation_protocol

PROPERTY_NAME = "one_log"


def check_protocol(rules):
    """Return the verdict on the property and the whole report."""
    report = check_safety(build_formation_protocol(rules))
    return report["properties"][PROPERTY_NAME], report


class TestFormation(unittest.TestCase):
    """One log from three empty disks, one of which may be lost at any step."""

    def test_one_log(self):
        """No second log is ever committed."""
        verdict, report = check_protocol(Rules())
        self.assertTrue(verdict["holds"], verdict)
        self.assertGreater(report["reachable_states"], 100)
        self.assertTrue(report["exhaustive"])

    def test_each_rule_is_needed(self):
        """Without any one rule two logs can be committed."""
        for rule in Rules._fields:
            with self.subTest(rule=rule):
                verdict, _ = check_protocol(Rules(**{rule: False}))
                self.assertFalse(verdict["holds"])
                self.assertTrue(verdict["counterexample"])
