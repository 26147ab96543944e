"""Tests of the model of membership changes."""

import unittest

from minicheck import check_safety
from spec.membership import (
    Rules,
    Scenario,
    build_membership_protocol,
    make_growth_scenario,
    make_replacement_scenario,
    make_two_leaders_scenario,
)

ONE_LEADER = "one_leader_per_term"
ENTRIES_SURVIVE = "committed_entries_survive"
# States to search at most for the counterexample of a weakened protocol.
MAX_WEAKENED_STATES = 20_000


class TestMembership(unittest.TestCase):
    """Changes of one voter at a time keep every committed entry."""

    def test_replacement_holds(self):
        """Replacing a voter step by step keeps both properties in every state."""
        self._check_holds(make_replacement_scenario())

    def test_two_leaders_hold(self):
        """Changes by two leaders in turn keep both properties in every state."""
        self._check_holds(make_two_leaders_scenario())

    def test_growth_holds(self):
        """Growing from three voters to five keeps both properties in every state."""
        self._check_holds(make_growth_scenario())

    def test_replacement_in_one_change(self):
        """A committed entry is lost if one change both adds and removes a voter."""
        self._check_violated(
            Rules(changes_one_voter=False), make_replacement_scenario(), n_steps=10
        )

    def test_change_before_previous_is_committed(self):
        """A committed entry is lost if a change does not await the previous one."""
        self._check_violated(
            Rules(changes_after_commit=False), make_replacement_scenario(), n_steps=11
        )

    def test_change_in_new_term(self):
        """A committed entry is lost if a new leader makes changes before it commits."""
        scenario = make_two_leaders_scenario(max_log=1)
        self._check_violated(Rules(commits_own_term_first=False), scenario, n_steps=14)

    def _check_holds(self, scenario: Scenario) -> None:
        checked = check_safety(build_membership_protocol(Rules(), scenario))
        self.assertTrue(checked["exhaustive"])
        for property_name in (ONE_LEADER, ENTRIES_SURVIVE):
            self.assertIs(checked["properties"][property_name]["holds"], True)

    def _check_violated(self, rules: Rules, scenario: Scenario, n_steps: int) -> None:
        """Require that the shortest counterexample has `n_steps` steps."""
        protocol = build_membership_protocol(rules, scenario)
        checked = check_safety(protocol, max_states=MAX_WEAKENED_STATES)
        verdict = checked["properties"][ENTRIES_SURVIVE]
        self.assertIs(verdict["holds"], False)
        self.assertEqual(len(verdict["counterexample"]) - 1, n_steps)
