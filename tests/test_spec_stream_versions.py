"""Tests of the model of streams and the versions that began them."""

from spec.stream_versions import Rules, build_stream_versions_protocol

from .spec_checks import RulesTestCase


class TestStreamVersions(RulesTestCase):
    """A stream that a client resumes at another entry."""

    property_name = "not_joined"
    rules_type = Rules
    build_protocol = build_stream_versions_protocol

    def test_not_joined(self):
        """The rest of a stream never comes from another version."""
        self.assert_holds(min_states=150)

    def test_each_rule_is_needed(self):
        """Without any one rule a stream can be joined from two versions."""
        self.assert_each_rule_is_needed()
