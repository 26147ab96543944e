"""Tests of the model of how lost replicas are replaced."""

import unittest

from minicheck import check_safety
from spec.replacement import Rules, Scenario, build_replacement_protocol

RECOVERS = "all_recover"
ENTRIES_SURVIVE = "committed_entries_survive"
# Three hosts and five, with and without a spare one.
HOSTS_IN_PLACES = Scenario(n_places=3, n_spare=0, n_losses=1, falls_silent=True)
SPARE_HOST = Scenario(n_places=3, n_spare=1, n_losses=1, falls_silent=True)
TWO_LOSSES = Scenario(n_places=5, n_spare=0, n_losses=2, falls_silent=True)
SIX_PLACES = Scenario(n_places=6, n_spare=0, n_losses=2, falls_silent=False)


class ReplacementTest(unittest.TestCase):
    """Hosts that are lost at any step, any number of times."""

    # Guards against a control plane that a host ends which is lost again as it rejoins.
    def test_all_recover(self):
        """Once nothing more fails, a leader has every entry and all places are full."""
        for scenario in (HOSTS_IN_PLACES, SPARE_HOST, TWO_LOSSES, SIX_PLACES):
            with self.subTest(scenario=scenario):
                checked = _check(Rules(), scenario)
                self.assertTrue(checked["exhaustive"])
                for name in (RECOVERS, ENTRIES_SURVIVE):
                    self.assertIs(checked["properties"][name]["holds"], True)

    def test_newcomer_before_gone_voter(self):
        """A host that is lost as it rejoins leaves no quorum, if it votes first."""
        for scenario, n_steps in ((HOSTS_IN_PLACES, 5), (TWO_LOSSES, 6)):
            with self.subTest(scenario=scenario):
                self._check_violated(Rules(removes_gone_first=False), scenario, n_steps)

    def test_newcomer_before_silent_voter(self):
        """A new host that is lost as it joins leaves no quorum, if it votes first."""
        self._check_violated(Rules(removes_silent_first=False), SPARE_HOST, n_steps=5)

    def _check_violated(self, rules: Rules, scenario: Scenario, n_steps: int) -> None:
        """Require that the shortest counterexample has `n_steps` steps."""
        verdict = _check(rules, scenario)["properties"][RECOVERS]
        self.assertIs(verdict["holds"], False)
        self.assertEqual(len(verdict["counterexample"]) - 1, n_steps)


def _check(rules: Rules, scenario: Scenario) -> dict:
    return check_safety(build_replacement_protocol(rules, scenario))
