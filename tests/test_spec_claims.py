"""The checked model of idempotency claims."""

import unittest

from minicheck import check_safety
from spec.claims import Bounds, Rules, claims

# Each rule with the property that fails without it, and the bounds that it takes.
NEEDED = {
    "checks_incarnation": ("at_most_once", Bounds(max_doubles=0)),
    "leaves_tombstone": ("at_most_once", Bounds(max_doubles=0, max_restarts=0)),
    "marks_begun": ("at_most_once", Bounds(max_restarts=0)),
    "restart_is_unknown": ("at_most_once", Bounds(max_doubles=0)),
    "checks_attempt": ("told_the_truth", Bounds(max_doubles=0)),
    "own_answer": ("at_most_once", Bounds()),
    "records_not_run": ("told_the_truth", Bounds(max_doubles=0, max_restarts=0)),
    "closes_epoch": ("told_the_truth", Bounds(max_doubles=0, max_restarts=0)),
}


class TestClaims(unittest.TestCase):
    """Dead entries, lost and late answers, late copies, restarts, voids, retries."""

    def test_at_most_once_and_true(self):
        """No reachable state has two runs, or a caller told what is not so."""
        for bounds, n_states in (
            (Bounds(), 20_000),
            (Bounds(n_submissions=3, max_doubles=0, max_restarts=0), 5_000),
        ):
            with self.subTest(bounds=bounds):
                report = check_safety(claims(Rules(), bounds))
                for name in ("at_most_once", "told_the_truth"):
                    verdict = report["properties"][name]
                    self.assertTrue(verdict["holds"], verdict)
                self.assertGreater(report["reachable_states"], n_states)

    def test_a_later_attempt_can_answer(self):
        """The protocol is not safe for want of any run: a later attempt answers."""
        report = check_safety(claims(Rules(), Bounds()))
        self.assertFalse(report["properties"]["never_runs_at_the_last"]["holds"])

    def test_each_rule_is_needed(self):
        """Without any one rule there is a way to run twice or to tell a lie."""
        self.assertEqual(set(NEEDED), set(Rules._fields))
        for rule, (name, bounds) in NEEDED.items():
            with self.subTest(rule=rule):
                report = check_safety(claims(Rules(**{rule: False}), bounds))
                verdict = report["properties"][name]
                self.assertIs(verdict["holds"], False)
                self.assertTrue(verdict["counterexample"])
