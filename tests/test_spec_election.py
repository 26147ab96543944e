"""Tests of the model of leader election and log replication."""

import unittest

from minicheck import check_safety
from spec.election import Bounds, Rules, build_election_protocol

ONE_LEADER = "one_leader_per_term"
ENTRIES_SURVIVE = "committed_entries_survive"


class TestElection(unittest.TestCase):
    """A term has one leader at most, and committed entries survive."""

    def test_holds(self):
        """Every state within the bounds has both properties."""
        for bounds in (
            Bounds(max_term=2, max_log=1, max_restarts=0, max_losses=2),
            Bounds(max_term=2, max_log=1, max_restarts=1, max_losses=1),
            Bounds(max_term=3, max_log=1, max_restarts=0, max_losses=0),
        ):
            with self.subTest(bounds=bounds):
                checked = check_safety(build_election_protocol(Rules(), bounds))
                self.assertTrue(checked["exhaustive"])
                for property_name in (ONE_LEADER, ENTRIES_SURVIVE):
                    self.assertIs(checked["properties"][property_name]["holds"], True)

    def test_forgotten_vote(self):
        """A term gets two leaders if a restarted replica forgets its vote."""
        self._check_violated(
            Rules(vote_is_synced=False), Bounds(2, 1, 1, 0), ONE_LEADER, n_steps=5
        )

    def test_unsynced_log(self):
        """A committed entry is lost if a replica answers before it syncs."""
        self._check_violated(
            Rules(log_is_synced=False), Bounds(2, 1, 1, 0), ENTRIES_SURVIVE, n_steps=8
        )

    def test_older_log(self):
        """A committed entry is lost if a candidate with an older log gets votes."""
        self._check_violated(
            Rules(requires_log_as_new=False),
            Bounds(2, 1, 0, 0),
            ENTRIES_SURVIVE,
            n_steps=7,
        )

    def test_older_term(self):
        """A committed entry is lost if entries of older terms are committed."""
        self._check_violated(
            Rules(commits_own_term_only=False),
            Bounds(4, 1, 0, 0, candidates=(0, 1)),
            ENTRIES_SURVIVE,
            n_steps=14,
        )

    def test_reused_identity(self):
        """A committed entry is lost if a replica votes again after losing its disk."""
        self._check_violated(
            Rules(new_identity_per_disk=False),
            Bounds(2, 1, 0, 1),
            ENTRIES_SURVIVE,
            n_steps=8,
        )

    def test_replacement_without_catching_up(self):
        """A second lost disk loses an entry that the first replacement lacked."""
        self._check_violated(
            Rules(catches_up_first=False),
            Bounds(2, 1, 0, 2),
            ENTRIES_SURVIVE,
            n_steps=9,
        )

    def _check_violated(
        self, rules: Rules, bounds: Bounds, property_name: str, n_steps: int
    ) -> None:
        """Require that the shortest counterexample has `n_steps` steps."""
        checked = check_safety(build_election_protocol(rules, bounds))["properties"][
            property_name
        ]
        self.assertIs(checked["holds"], False)
        self.assertEqual(len(checked["counterexample"]) - 1, n_steps)
