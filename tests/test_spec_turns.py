"""Tests of the model of keepers that lead in turn."""

from spec.turns import Rules, build_turns_protocol

from .spec_checks import RulesTestCase


class TestTurns(RulesTestCase):
    """Orders of keepers that lead in turn, to one engine."""

    property_name = "no_turns"
    rules_type = Rules
    build_protocol = build_turns_protocol

    def test_no_turns(self):
        """No keeper orders again within a lease if another one has in between."""
        self.assert_holds(min_states=1_000)

    def test_each_rule_is_needed(self):
        """Without any one rule two keepers can take turns."""
        self.assert_each_rule_is_needed()
