"""The checked model of membership changes."""

import unittest

from minicheck import check_safety
from spec.membership import (
    Rules,
    Scenario,
    growth,
    membership,
    replacement,
    two_changes,
)

ONE_LEADER = "one_leader_a_term"
SURVIVES = "committed_survives"
TWIN_STATES = 20_000


class TestMembership(unittest.TestCase):
    """Changes of one voter at a time keep every committed entry."""

    def test_replacement_holds(self):
        """Replacing a voter step by step keeps both properties in every state."""
        self._check_holds(replacement())

    def test_two_leaders_hold(self):
        """Changes by two leaders in turn keep both properties in every state."""
        self._check_holds(two_changes())

    def test_growth_holds(self):
        """Growing from three voters to five keeps both properties in every state."""
        self._check_holds(growth())

    def test_swap_at_once(self):
        """A committed entry is lost where one step adds and removes a voter."""
        self._check_broken(Rules(one_voter=False), replacement(), n_steps=10)

    def test_open_change(self):
        """A committed entry is lost where a change doesn't await the last one."""
        self._check_broken(Rules(one_change=False), replacement(), n_steps=11)

    def test_change_in_new_term(self):
        """A committed entry is lost where a new leader changes before it commits."""
        scenario = two_changes(max_log=1)
        self._check_broken(Rules(own_term_first=False), scenario, n_steps=14)

    def _check_holds(self, scenario: Scenario) -> None:
        checked = check_safety(membership(Rules(), scenario))
        self.assertTrue(checked["exhaustive"])
        for name in (ONE_LEADER, SURVIVES):
            self.assertIs(checked["properties"][name]["holds"], True)

    def _check_broken(self, rules: Rules, scenario: Scenario, n_steps: int) -> None:
        """Demand a counterexample of that many steps, the fewest there are."""
        protocol = membership(rules, scenario)
        checked = check_safety(protocol, max_states=TWIN_STATES)
        broken = checked["properties"][SURVIVES]
        self.assertIs(broken["holds"], False)
        self.assertEqual(len(broken["counterexample"]) - 1, n_steps)
