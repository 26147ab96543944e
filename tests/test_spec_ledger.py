"""The checked model of the memory ledger and the orders."""

import unittest

from minicheck import check_safety
from spec.ledger import Rules, ledger

PROPERTY = "within_capacity"
NEEDED = {
    True: ("reserves_first", "keeps_uncertain", "frees_on_state", "raises_fence"),
    False: (
        "reserves_first",
        "keeps_uncertain",
        "frees_on_state",
        "keeps_doubts",
        "doubts_after_restart",
        "reads_after_life",
    ),
}


class TestLedger(unittest.TestCase):
    """Lost, late and doubled orders, and a restart of the agent."""

    def test_memory_is_never_over_capacity(self):
        """No reachable state has the engine hold more than it can."""
        for fenced in (True, False):
            with self.subTest(fenced=fenced):
                report = check_safety(ledger(Rules(), fenced))
                verdict = report["properties"][PROPERTY]
                self.assertTrue(verdict["holds"], verdict)
                self.assertGreater(report["reachable_states"], 1_000)

    def test_one_version_can_replace_the_other(self):
        """The protocol is not safe for want of any load: a replacement ends."""
        for fenced in (True, False):
            with self.subTest(fenced=fenced):
                report = check_safety(ledger(Rules(), fenced))
                self.assertFalse(report["properties"]["never_replaced"]["holds"])

    def test_each_rule_is_needed(self):
        """Without any one rule there is a way to exceed the capacity."""
        for fenced, rules in NEEDED.items():
            for rule in rules:
                with self.subTest(fenced=fenced, rule=rule):
                    report = check_safety(ledger(Rules(**{rule: False}), fenced))
                    verdict = report["properties"][PROPERTY]
                    self.assertFalse(verdict["holds"])
                    self.assertTrue(verdict["counterexample"])
