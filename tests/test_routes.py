"""Route documents, the lookup of a request's route and the choice of a service."""

import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err

from cowslipwood.kernel.codes import Code
from cowslipwood.routes import (
    RouteTable,
    WeightedService,
    parse_document,
    pick_service,
    record_to_json,
)

from .direct_builders import build_document, build_route, document_bytes, route_value


class TestParseDocument(unittest.TestCase):
    """Route documents that are accepted, or refused with a code."""

    def assert_refused(self, data: bytes, code: Code) -> None:
        parse_result = parse_document(data)
        self.assertIsInstance(parse_result, Err)
        self.assertEqual(parse_result.failure().code, code)

    def test_truncated_json(self):
        """A truncated document is not valid JSON."""
        self.assert_refused(document_bytes()[:-5], Code.BAD_JSON)

    def test_unknown_service(self):
        """A route may only name services that the document contains."""
        routes = [route_value(services=[{"service": "gone", "weight": 1}])]
        self.assert_refused(document_bytes(routes=routes), Code.BAD_VALUE)

    def test_same_host_and_prefix(self):
        """Two routes may not have the same host and prefix; case is ignored."""
        routes = [route_value(), route_value(name="r2", host="SHOP.example")]
        self.assert_refused(document_bytes(routes=routes), Code.BAD_VALUE)

    def test_zero_weights(self):
        """Weights whose sum is 0 are refused, as no service could be drawn."""
        routes = [route_value(services=[{"service": "desk", "weight": 0}])]
        self.assert_refused(document_bytes(routes=routes), Code.BAD_VALUE)

    def test_zero_timeout(self):
        """A time-out of 0 is refused."""
        self.assert_refused(
            document_bytes(routes=[route_value(timeout_ms=0)]), Code.BAD_VALUE
        )

    # A readable config was refused because its writer gives counts a decimal point.
    def test_whole_numbers(self):
        """A count may be written as a float if it is whole and exact."""
        document = build_document(routes=[route_value(max_attempts=3.0)])
        self.assertEqual(document.routes[0].max_attempts, 3)
        self.assertIs(type(document.routes[0].max_attempts), int)
        for value in (2.5, 1e300, True, "3"):
            with self.subTest(value=value):
                routes = [route_value(max_attempts=value)]
                self.assert_refused(document_bytes(routes=routes), Code.BAD_VALUE)

    def test_missing_field(self):
        """The refusal names the missing field."""
        value = route_value()
        del value["host"]
        refusal = parse_document(document_bytes(routes=[value])).failure()
        self.assertIn("routes[0].host", refusal.message)

    def test_unknown_field_is_ignored(self):
        """Fields that a newer writer added are ignored."""
        routes = [route_value(colour="red")]
        self.assertEqual(len(build_document(routes=routes).routes), 1)

    def test_round_trip(self):
        """An encoded document is decoded to an equal document."""
        import orjson

        original = build_document()
        decoded = parse_document(orjson.dumps(record_to_json(original))).unwrap()
        self.assertEqual(original, decoded)

    @settings(max_examples=200, derandomize=True)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        """Any bytes give a document or a refusal with a code, never an exception."""
        parse_result = parse_document(data)
        if isinstance(parse_result, Err):
            self.assertIn(parse_result.failure().code, (Code.BAD_JSON, Code.BAD_VALUE))


class TestRouteTable(unittest.TestCase):
    """Lookup of a route by host and longest path prefix."""

    def test_longest_prefix(self):
        """The route with the longest prefix of the path is found."""
        table = RouteTable(
            [
                build_route(path_prefix="/a/"),
                build_route(name="r2", path_prefix="/a/b/"),
            ]
        )
        self.assertEqual(table.match("shop.example", "/a/b/c").name, "r2")
        self.assertEqual(table.match("shop.example", "/a/bc").name, "r1")

    def test_no_match(self):
        """Another host, or a path without the prefix's slash, has no route."""
        table = RouteTable([build_route(path_prefix="/a/")])
        self.assertIsNone(table.match("other.example", "/a/"))
        self.assertIsNone(table.match("shop.example", "/a"))

    def test_host_with_port(self):
        """A host is found also if the Host header contains a port."""
        table = RouteTable([build_route(path_prefix="/a/")])
        self.assertIsNotNone(table.match("Shop.Example:8080", "/a/x"))

    @settings(max_examples=200, derandomize=True)
    @given(
        st.lists(st.text("ab/", max_size=6).map(lambda text: f"/{text}/"), unique=True),
        st.text("ab/", max_size=10).map(lambda text: "/" + text),
    )
    def test_match_is_longest_prefix(self, prefixes, path):
        """The found route has the longest of all prefixes that the path starts with."""
        table = RouteTable(
            [build_route(name=prefix, path_prefix=prefix) for prefix in prefixes]
        )
        matching_prefixes = [prefix for prefix in prefixes if path.startswith(prefix)]
        matched_route = table.match("shop.example", path)
        expected = max(matching_prefixes, key=len) if matching_prefixes else None
        self.assertEqual(matched_route.name if matched_route else None, expected)


class TestPickService(unittest.TestCase):
    """Random choice among the services of a route."""

    def test_weights(self):
        """Services are drawn in proportion to their weights, with weight 0 never."""
        services = (
            WeightedService("a", 9),
            WeightedService("b", 1),
            WeightedService("c", 0),
        )
        rng = random.Random(3)
        counts = Counter(
            pick_service(build_route(services=services), rng) for _ in range(2000)
        )
        self.assertEqual(counts["c"], 0)
        self.assertAlmostEqual(counts["b"] / 2000, 0.1, delta=0.03)
