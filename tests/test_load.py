"""The load tool: its arrivals, its sums and its checks."""

import unittest
from collections import Counter

from cowslipwood.load import PROFILES, Scenario, arrivals, catalogue_values
from cowslipwood.load._client import Ending, Sample
from cowslipwood.load._profile import targets
from cowslipwood.load._scrape import growth
from cowslipwood.load._summary import summarize

PROFILE = PROFILES["direccion"]
CATALOGUE = catalogue_values(PROFILE, 1)
OPTIONS = {"duration_s": 10.0, "faults": ()}


def _requests(seed=1, scenario=Scenario.BURST):
    called = targets(CATALOGUE, 1)
    return arrivals(PROFILE, called, scenario, 30.0, 10.0, seed)


class TestArrivals(unittest.TestCase):
    """What is sent depends on the seed alone."""

    def test_seed(self):
        """The same seed gives the same requests in order, another one others."""
        first = _requests()
        self.assertEqual(first, _requests())
        self.assertNotEqual(first, _requests(seed=2))
        times = [request.at_s for request in first]
        self.assertEqual(times, sorted(times))

    def test_keys(self):
        """Calls that may not be repeated have keys, each its own; others none."""
        once = {t["name"] for t in CATALOGUE if not t.get("repeatable", True)}
        requests = _requests()
        keys = [request.key for request in requests if request.key]
        self.assertEqual(len(keys), len(set(keys)))
        for request in requests:
            self.assertEqual(bool(request.key), request.target in once)


class TestSums(unittest.TestCase):
    """What a run's summary counts."""

    def test_growth(self):
        """A daemon that ended takes nothing off; one started again counts anew."""
        before = {"a": Counter(n=5.0), "b": Counter(n=9.0), "c": Counter(n=7.0)}
        after = {"a": Counter(n=8.0), "b": Counter(), "c": Counter(n=2.0)}
        self.assertEqual(growth(before, after), Counter(n=5.0))

    def test_attainment(self):
        """Only whole answers within limits count, and wrong ones are named."""
        requests = [r for r in _requests() if r.kind == "completion"][:4]
        limits = {r.target: {"first_token_ms": 100} for r in requests}
        samples = [
            Sample(requests[0], Ending.ANSWERED, first_ms=99.0),
            Sample(requests[1], Ending.ANSWERED, first_ms=101.0),
            Sample(requests[2], Ending.REFUSED, "OVERLOADED"),
            Sample(requests[3], Ending.WRONG, "RAN_TWICE"),
        ]
        summary = summarize(OPTIONS, samples, limits, 5, Counter())
        self.assertEqual(summary["attainment"]["all"], 0.25)
        self.assertEqual(summary["refusals"], {"OVERLOADED": 1, "RAN_TWICE": 1})
        self.assertEqual(len(summary["faults_found"]), 1)
