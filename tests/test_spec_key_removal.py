"""Tests of the model of the removal of a customer's key."""

from spec.key_removal import Rules, build_key_removal_protocol

from .spec_checks import RulesTestCase


class TestKeyRemoval(RulesTestCase):
    """A removed key at an entry, under leaders that change and messages that wait."""

    property_name = "removed_in_time"
    rules_type = Rules
    build_protocol = build_key_removal_protocol

    def test_removed_in_time(self):
        """The entry runs nothing with the key once the bound has passed."""
        self.assert_holds(min_states=1_000)

    def test_each_rule_is_needed(self):
        """Without any one rule a request with the key can run too late."""
        self.assert_each_rule_is_needed()
