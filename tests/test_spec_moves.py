"""Tests of the model of moving a model between backend servers."""

from spec.moves import Rules, build_moves_protocol

from .spec_checks import RulesTestCase


class TestMoves(RulesTestCase):
    """The model is loaded before it is released, with a leader change at any step."""

    property_name = "some_replica_is_ready"
    rules_type = Rules
    build_protocol = build_moves_protocol

    def test_a_ready_replica_remains(self):
        """A model with a ready replica keeps one in every reachable state."""
        self.assert_holds(min_states=1_000)

    def test_each_rule_is_needed(self):
        """Without any one rule the last ready replica can be lost."""
        self.assert_each_rule_is_needed()
