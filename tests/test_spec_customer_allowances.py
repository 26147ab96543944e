"""Tests of the model of parts of a customer's limit."""

from spec.customer_allowances import Rules, build_allowances_protocol

from .spec_checks import RulesTestCase


class TestCustomerAllowances(RulesTestCase):
    """The use of one customer's limit, under leaders that change."""

    property_name = "within_limit"
    rules_type = Rules
    build_protocol = build_allowances_protocol

    def test_within_limit(self):
        """No window has more use than one leader alone would have granted."""
        self.assert_holds(min_states=1_000)

    def test_each_rule_is_needed(self):
        """Without any one rule the use can be more."""
        self.assert_each_rule_is_needed()
