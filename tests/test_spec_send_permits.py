"""Tests of the model of permits to send to a limited server."""

from spec.send_permits import Rules, build_permits_protocol

from .spec_checks import RulesTestCase


class TestSendPermits(RulesTestCase):
    """Requests to one limited server, under leaders that change."""

    property_name = "within_limit"
    rules_type = Rules
    build_protocol = build_permits_protocol

    def test_within_limit(self):
        """The server gets no more in a window than one leader would have granted."""
        self.assert_holds(min_states=500)

    def test_each_rule_is_needed(self):
        """Without any one rule the server can get more."""
        self.assert_each_rule_is_needed()
