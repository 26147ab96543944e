"""Tests of the model of how keepers are found after the seeds have changed."""

from spec.rejoining import Rules, build_rejoining_protocol

from .spec_checks import RulesTestCase


class TestRejoining(RulesTestCase):
    """Relays lead to keepers, and keepers that lost their disks vote again."""

    property_name = "all_recover"
    rules_type = Rules
    build_protocol = build_rejoining_protocol

    def test_all_recover(self):
        """Whatever fails, one disk at a time, all is as before once nothing fails."""
        self.assert_holds(min_states=20)

    def test_each_rule_is_needed(self):
        """Without any one rule a relay or a keeper stays without the others."""
        self.assert_each_rule_is_needed()
