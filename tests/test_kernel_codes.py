"""The result codes and the page that lists them."""

import unittest
from pathlib import Path

from cowslipwood.kernel.codes import CODE_INFO, Code, code_table, failure

CODES_PAGE = Path(__file__).parent.parent / "docs" / "RESULT_CODES.md"


class TestCodes(unittest.TestCase):
    """Each code has a meaning, and the page lists all codes."""

    def test_every_code_has_a_meaning(self):
        """``CODE_INFO`` has an item for each code."""
        self.assertEqual(set(CODE_INFO), set(Code))

    def test_page(self):
        """The page contains the table that `code_table` generates."""
        self.assertIn(code_table(), CODES_PAGE.read_text())

    def test_unknown_outcome_is_not_reported_as_refusal(self):
        """A code whose outcome is unknown has status 502 or 504, with few exceptions.

        A caller that gets another status may conclude that its request did not run.
        The meanings of the exceptions say what the caller can conclude or do.
        """
        allowed_codes = {Code.ANSWER_NOT_KEPT, Code.ATTEMPT_REPEATED, Code.NO_QUORUM}
        # The request of a key that is too old to be looked up may have run.
        allowed_codes.add(Code.KEY_EXPIRED)
        for code, info in CODE_INFO.items():
            if info.outcome == "unknown" and code not in allowed_codes:
                self.assertIn(info.http_status, (502, 504), code)

    def test_failure_has_outcome_of_its_code(self):
        """A failure has the outcome of its code."""
        self.assertEqual(failure(Code.OUTCOME_UNKNOWN).outcome, "unknown")
        self.assertEqual(failure(Code.OVERLOADED).outcome, "not-run")
