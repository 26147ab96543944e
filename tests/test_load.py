"""The load tool: drawing of requests, summary of results and detection of faults."""

import unittest
from collections import Counter

from cowslipwood.load import PROFILES, Scenario, draw_catalogue, draw_requests
from cowslipwood.load._client import Ending, Sample
from cowslipwood.load._profile import draw_targets
from cowslipwood.load._scrape import compute_growth
from cowslipwood.load._summary import summarize

# Installation whose load the tests draw.
PROFILE = PROFILES["direccion"]
CATALOGUE = draw_catalogue(PROFILE, 1)
# Options of a run that its summary reads.
OPTIONS = {"duration_s": 10.0, "faults": ()}


def _draw_requests(seed=1, scenario=Scenario.BURST):
    """Return 10 s of requests at 30 a second outside bursts."""
    targets = draw_targets(CATALOGUE, 1)
    return draw_requests(PROFILE, targets, scenario, 30.0, 10.0, seed)


class TestDrawRequests(unittest.TestCase):
    """Requests depend on the seed alone."""

    def test_seed(self):
        """Equal seeds give equal requests, sorted by time; other seeds give others."""
        requests = _draw_requests()
        self.assertEqual(requests, _draw_requests())
        self.assertNotEqual(requests, _draw_requests(seed=2))
        times_s = [request.send_at_s for request in requests]
        self.assertEqual(times_s, sorted(times_s))

    def test_keys(self):
        """A call has its own key exactly if it must not run twice."""
        unrepeatable = {
            entry["name"] for entry in CATALOGUE if not entry.get("repeatable", True)
        }
        requests = _draw_requests()
        keys = [
            request.idempotency_key for request in requests if request.idempotency_key
        ]
        self.assertEqual(len(keys), len(set(keys)))
        for request in requests:
            self.assertEqual(
                bool(request.idempotency_key), request.target in unrepeatable
            )


class TestSummary(unittest.TestCase):
    """Summary of a run."""

    def test_counter_growth(self):
        """A daemon that ended reduces nothing; a restarted one counts from 0."""
        before = {"a": Counter(n=5.0), "b": Counter(n=9.0), "c": Counter(n=7.0)}
        after = {"a": Counter(n=8.0), "b": Counter(), "c": Counter(n=2.0)}
        self.assertEqual(compute_growth(before, after), Counter(n=5.0))

    def test_attainment(self):
        """Only complete answers within limits count, and wrong answers are listed."""
        requests = [
            request for request in _draw_requests() if request.kind == "completion"
        ][:4]
        limits = {request.target: {"first_token_ms": 100} for request in requests}
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
