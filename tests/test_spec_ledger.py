"""Tests of the model of an agent's memory ledger and its orders."""

import unittest

from minicheck import check_safety
from spec.ledger import Rules, build_ledger_protocol

PROPERTY = "within_capacity"
NECESSARY_RULES = {
    True: (
        "counts_reservations",
        "keeps_unanswered",
        "frees_after_read",
        "raises_fence_first",
    ),
    False: (
        "counts_reservations",
        "keeps_unanswered",
        "frees_after_read",
        "keeps_uncertain",
        "waits_after_restart",
        "reads_after_expiry",
    ),
}


class TestLedger(unittest.TestCase):
    """Lost, late and duplicated orders, and a restart of the agent."""

    def test_memory_is_never_over_capacity(self):
        """In no reachable state does the engine hold more than its capacity."""
        for fenced in (True, False):
            with self.subTest(fenced=fenced):
                report = check_safety(build_ledger_protocol(Rules(), fenced))
                verdict = report["properties"][PROPERTY]
                self.assertTrue(verdict["holds"], verdict)
                self.assertGreater(report["reachable_states"], 1_000)

    def test_one_version_can_replace_the_other(self):
        """A replacement can complete: the model is not safe by never loading."""
        for fenced in (True, False):
            with self.subTest(fenced=fenced):
                report = check_safety(build_ledger_protocol(Rules(), fenced))
                self.assertFalse(report["properties"]["never_replaced"]["holds"])

    def test_each_rule_is_needed(self):
        """Without any one rule the capacity can be exceeded."""
        for fenced, rules in NECESSARY_RULES.items():
            for rule in rules:
                with self.subTest(fenced=fenced, rule=rule):
                    report = check_safety(
                        build_ledger_protocol(Rules(**{rule: False}), fenced)
                    )
                    verdict = report["properties"][PROPERTY]
                    self.assertFalse(verdict["holds"])
                    self.assertTrue(verdict["counterexample"])
