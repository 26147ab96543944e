"""The checked model of how a log is begun."""

import unittest

from minicheck import check_safety
from spec.formation import Rules, formation

PROPERTY = "one_log"


def checked(rules):
    """Return the verdict on a protocol and the whole report."""
    report = check_safety(formation(rules))
    return report["properties"][PROPERTY], report


class TestFormation(unittest.TestCase):
    """One log from three empty disks, one of which may be lost at any step."""

    def test_one_log(self):
        """No second log is ever committed."""
        verdict, report = checked(Rules())
        self.assertTrue(verdict["holds"], verdict)
        self.assertGreater(report["reachable_states"], 100)
        self.assertTrue(report["exhaustive"])

    def test_each_rule_is_needed(self):
        """Without any one rule two logs can be committed."""
        for rule in Rules._fields:
            with self.subTest(rule=rule):
                verdict, _ = checked(Rules(**{rule: False}))
                self.assertFalse(verdict["holds"])
                self.assertTrue(verdict["counterexample"])
