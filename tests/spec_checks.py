"""Checks of a protocol with rules, each of which can be left out."""

import unittest
from collections.abc import Callable
from typing import Any

from minicheck import Protocol, check_safety

__all__ = ["RulesTestCase"]


class RulesTestCase(unittest.TestCase):
    """A test case of one property of a protocol.

    Attributes
    ----------
    property_name : str
    rules_type : type
        ``NamedTuple`` class whose fields are all True in the whole protocol.
    build_protocol : callable
        Returns the protocol under some rules.
    """

    property_name: str
    rules_type: type
    build_protocol: Callable[[Any], Protocol]

    def check_property(self, **rules: bool) -> tuple[dict[str, Any], dict[str, Any]]:
        """Return the verdict on the property and the whole report."""
        build_protocol = type(self).build_protocol
        report = check_safety(build_protocol(self.rules_type(**rules)))
        return report["properties"][self.property_name], report

    def assert_holds(self, min_states: int) -> None:
        """Check that the property holds in all of at least this many states."""
        verdict, report = self.check_property()
        self.assertTrue(verdict["holds"], verdict)
        self.assertGreater(report["reachable_states"], min_states)
        self.assertTrue(report["exhaustive"])

    def assert_each_rule_is_needed(self) -> None:
        """Check that there is a counterexample without any one rule."""
        for rule in self.rules_type._fields:
            with self.subTest(rule=rule):
                verdict, _ = self.check_property(**{rule: False})
                self.assertFalse(verdict["holds"])
                self.assertTrue(verdict["counterexample"])
