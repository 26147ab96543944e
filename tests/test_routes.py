"""Documents of routes and the table that finds a request's route."""

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

from .direct_builders import document, document_bytes, route, route_value


class ParseDocumentTest(unittest.TestCase):
    """What is refused, and by which number."""

    def check_refused(self, data: bytes, code: Code) -> None:
        parsed = parse_document(data)
        self.assertIsInstance(parsed, Err)
        self.assertEqual(parsed.failure().code, code)

    def test_cut_short(self):
        """A document that ends early is no JSON."""
        self.check_refused(document_bytes()[:-5], Code.BAD_JSON)

    def test_unknown_service(self):
        """A route may name only services of the document."""
        routes = [route_value(services=[{"service": "gone", "weight": 1}])]
        self.check_refused(document_bytes(routes=routes), Code.BAD_VALUE)

    def test_same_place(self):
        """Two routes may not share host and prefix, whatever the host's case."""
        routes = [route_value(), route_value(name="r2", host="SHOP.example")]
        self.check_refused(document_bytes(routes=routes), Code.BAD_VALUE)

    def test_no_weight(self):
        """Weights that add up to 0 lead nowhere."""
        routes = [route_value(services=[{"service": "desk", "weight": 0}])]
        self.check_refused(document_bytes(routes=routes), Code.BAD_VALUE)

    def test_no_timeout(self):
        """A time-out of 0 is refused."""
        self.check_refused(
            document_bytes(routes=[route_value(timeout_ms=0)]), Code.BAD_VALUE
        )

    def test_missing_field(self):
        """The refusal names the field that is missing."""
        value = route_value()
        del value["host"]
        fault = parse_document(document_bytes(routes=[value])).failure()
        self.assertIn("routes[0].host", fault.message)

    def test_unknown_field_is_ignored(self):
        """A newer writer may add fields."""
        routes = [route_value(colour="red")]
        self.assertEqual(len(document(routes=routes).routes), 1)

    def test_round_trip(self):
        """What is encoded is decoded to the same document."""
        import orjson

        held = document()
        again = parse_document(orjson.dumps(record_to_json(held))).unwrap()
        self.assertEqual(held, again)

    @settings(max_examples=200, derandomize=True)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        """Any bytes give a document or a numbered refusal, never an exception."""
        parsed = parse_document(data)
        if isinstance(parsed, Err):
            self.assertIn(parsed.failure().code, (Code.BAD_JSON, Code.BAD_VALUE))


class RouteTableTest(unittest.TestCase):
    """Longest prefix first."""

    def test_longest_prefix(self):
        """The longest prefix that begins the path wins."""
        table = RouteTable(
            [route(path_prefix="/a/"), route(name="r2", path_prefix="/a/b/")]
        )
        self.assertEqual(table.match("shop.example", "/a/b/c").name, "r2")
        self.assertEqual(table.match("shop.example", "/a/bc").name, "r1")

    def test_no_match(self):
        """Another host, or a path without the prefix's slash, has no route."""
        table = RouteTable([route(path_prefix="/a/")])
        self.assertIsNone(table.match("other.example", "/a/"))
        self.assertIsNone(table.match("shop.example", "/a"))

    def test_host_with_port(self):
        """A port in the Host header does not hide the host."""
        table = RouteTable([route(path_prefix="/a/")])
        self.assertIsNotNone(table.match("Shop.Example:8080", "/a/x"))

    @settings(max_examples=200, derandomize=True)
    @given(
        st.lists(st.text("ab/", max_size=6).map(lambda t: f"/{t}/"), unique=True),
        st.text("ab/", max_size=10).map(lambda t: "/" + t),
    )
    def test_law(self, prefixes, path):
        """The match is the longest of all prefixes that begin the path."""
        table = RouteTable([route(name=p, path_prefix=p) for p in prefixes])
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = table.match("shop.example", path)
        expected = max(fitting, key=len) if fitting else None
        self.assertEqual(found.name if found else None, expected)


class PickServiceTest(unittest.TestCase):
    """Weights over services."""

    def test_shares(self):
        """Requests go to the services by weight, and never to one of weight 0."""
        split = (
            WeightedService("a", 9),
            WeightedService("b", 1),
            WeightedService("c", 0),
        )
        rng = random.Random(3)
        counts = Counter(pick_service(route(services=split), rng) for _ in range(2000))
        self.assertEqual(counts["c"], 0)
        self.assertAlmostEqual(counts["b"] / 2000, 0.1, delta=0.03)
