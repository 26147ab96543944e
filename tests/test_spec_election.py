"""The checked model of election and log."""

import unittest

from minicheck import check_safety
from spec.election import Bounds, Rules, election

ONE_LEADER = "one_leader_a_term"
SURVIVES = "committed_survives"


class TestElection(unittest.TestCase):
    """One leader a term, and committed entries survive."""

    def test_holds(self):
        """Every state within the bounds has both properties."""
        for bounds in (
            Bounds(max_term=2, max_log=1, max_restarts=0, max_losses=2),
            Bounds(max_term=2, max_log=1, max_restarts=1, max_losses=1),
            Bounds(max_term=3, max_log=1, max_restarts=0, max_losses=0),
        ):
            with self.subTest(bounds=bounds):
                checked = check_safety(election(Rules(), bounds))
                self.assertTrue(checked["exhaustive"])
                for name in (ONE_LEADER, SURVIVES):
                    self.assertIs(checked["properties"][name]["holds"], True)

    def test_forgotten_vote(self):
        """Two leaders share a term where a restart forgets the vote."""
        self._check_broken(
            Rules(vote_is_synced=False), Bounds(2, 1, 1, 0), ONE_LEADER, n_steps=5
        )

    def test_unsynced_log(self):
        """A committed entry is lost where a replica answers before it syncs."""
        self._check_broken(
            Rules(log_is_synced=False), Bounds(2, 1, 1, 0), SURVIVES, n_steps=8
        )

    def test_older_log(self):
        """A committed entry is lost where votes go to older logs."""
        self._check_broken(
            Rules(newer_log_needed=False), Bounds(2, 1, 0, 0), SURVIVES, n_steps=7
        )

    def test_older_term(self):
        """A committed entry is lost where older terms' entries are counted."""
        self._check_broken(
            Rules(own_term_commits=False),
            Bounds(4, 1, 0, 0, candidates=(0, 1)),
            SURVIVES,
            n_steps=14,
        )

    def test_same_identity(self):
        """A committed entry is lost where an empty disk keeps its vote."""
        self._check_broken(
            Rules(new_identity=False), Bounds(2, 1, 0, 1), SURVIVES, n_steps=8
        )

    def test_repair_without_catching_up(self):
        """A second lost disk takes an entry where the first repair held none."""
        self._check_broken(
            Rules(catch_up_first=False), Bounds(2, 1, 0, 2), SURVIVES, n_steps=9
        )

    def _check_broken(
        self, rules: Rules, bounds: Bounds, name: str, n_steps: int
    ) -> None:
        """Demand a counterexample of that many steps, the fewest there are."""
        checked = check_safety(election(rules, bounds))["properties"][name]
        self.assertIs(checked["holds"], False)
        self.assertEqual(len(checked["counterexample"]) - 1, n_steps)
