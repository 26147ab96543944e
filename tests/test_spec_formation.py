"""Tests of the model of how a keeper cluster is formed."""

from spec.formation import Rules, build_formation_protocol

from .spec_checks import RulesTestCase


class TestFormation(RulesTestCase):
    """One log from three empty disks, one of which may be lost at any step."""

    property_name = "one_log"
    rules_type = Rules
    build_protocol = build_formation_protocol

    def test_one_log(self):
        """No second log is ever committed."""
        self.assert_holds(min_states=100)

    def test_each_rule_is_needed(self):
        """Without any one rule two logs can be committed."""
        self.assert_each_rule_is_needed()
