"""Tests of the model of idempotency claims."""

import unittest

from minicheck import check_safety
from spec.claims import Bounds, Rules, build_claims_protocol

# For each rule, the property that fails without it and bounds that are wide enough
# to show the failure.
NECESSARY_RULES = {
    "checks_incarnation": ("at_most_once", Bounds(max_duplicates=0)),
    "records_void": ("at_most_once", Bounds(max_duplicates=0, max_restarts=0)),
    "records_start": ("at_most_once", Bounds(max_restarts=0)),
    "restart_means_unknown": ("at_most_once", Bounds(max_duplicates=0)),
    "checks_current_attempt": ("callers_told_truth", Bounds(max_duplicates=0)),
    "matches_answer_to_copy": ("at_most_once", Bounds()),
    "records_not_run": ("callers_told_truth", Bounds(max_duplicates=0, max_restarts=0)),
    "closes_epoch": ("callers_told_truth", Bounds(max_duplicates=0, max_restarts=0)),
}


class TestClaims(unittest.TestCase):
    """Crashed entries, lost or late answers, duplicates, restarts and retries."""

    def test_at_most_once_and_callers_told_truth(self):
        """No reachable state has two runs or a caller who was told wrongly."""
        for bounds, n_states in (
            (Bounds(), 20_000),
            (Bounds(n_submissions=3, max_duplicates=0, max_restarts=0), 5_000),
        ):
            with self.subTest(bounds=bounds):
                report = check_safety(build_claims_protocol(Rules(), bounds))
                for name in ("at_most_once", "callers_told_truth"):
                    verdict = report["properties"][name]
                    self.assertTrue(verdict["holds"], verdict)
                self.assertGreater(report["reachable_states"], n_states)

    def test_later_attempt_can_answer(self):
        """The last attempt can answer: the model is not safe by never running."""
        report = check_safety(build_claims_protocol(Rules(), Bounds()))
        self.assertFalse(report["properties"]["last_attempt_never_answers"]["holds"])

    def test_each_rule_is_needed(self):
        """Without any one rule a request runs twice or a caller is told wrongly."""
        self.assertEqual(set(NECESSARY_RULES), set(Rules._fields))
        for rule, (name, bounds) in NECESSARY_RULES.items():
            with self.subTest(rule=rule):
                report = check_safety(
                    build_claims_protocol(Rules(**{rule: False}), bounds)
                )
                verdict = report["properties"][name]
                self.assertIs(verdict["holds"], False)
                self.assertTrue(verdict["counterexample"])
