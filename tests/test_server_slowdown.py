"""Load reports with three and four values, and servers that are slow for a moment.

No network: each test calls a deciding function with the input that the function
would get under the load.
"""

import random
import unittest
from collections import Counter

from cowslipwood.entry.choosing._slowdown import SLOWDOWN_HALF_LIFE_MS, Slowdown
from cowslipwood.entry.direct._admission import decide_admission
from cowslipwood.entry.direct._attempt_record import AttemptRecorder
from cowslipwood.entry.direct._headers import ServerLoad, read_answer_facts
from cowslipwood.entry.direct._identity import RequestIdentity
from cowslipwood.entry.direct._progress import RequestProgress
from cowslipwood.entry.routing import RoutingContext, expected_queue_ms
from cowslipwood.entry.routing._cost import request_cost_ms
from cowslipwood.entry.routing.sampled_cost import SampledCost
from cowslipwood.routes import RouteKind

from .direct_builders import (
    NAMES,
    build_direct_state,
    build_listed_server,
    build_request,
    build_route,
    create_rng,
)
from .load_builders import N_SLOTS, build_backends, build_load_report

NOW_MS = 60_000.0
# An age at which nothing is left of a slowdown.
LONG_MS = 40 * SLOWDOWN_HALF_LIFE_MS


class ReportFormTest(unittest.TestCase):
    """The values of a report, as servers of either kind send them."""

    MALFORMED = (
        *("", ",", "1", "1,2", "1,2,", "1,2,3,", "1,2,3,4,5", "1,2,3,100,"),
        *("-1,2,3,100", "1,2,3,-100", "1,2,3,0", "1,2,3,0.0", "1,2,3,x", "1,2,3,1e2"),
        *("1,2,3,nan", "1,2,3,inf", "1,2,3,.5", "1,2,3,5.", "1.5,2,3,100"),
        *("1;2;3;100", "1 2 3 100", "1,2,3," + "9" * 5_000, "9" * 5_000 + ",2,3,100"),
        *("1,2,3,\u0661", "x,2,3,100"),
    )

    def _read(self, *values: str):
        headers = [(NAMES.load, value.encode()) for value in values]
        return read_answer_facts(200, headers, NAMES)

    # Reports of four values were dropped, so the entry knew no load of these servers.
    def test_three_and_four_values(self):
        """Both forms are read, and a percentage may have a fraction."""
        self.assertEqual(self._read("5,1,48").load, ServerLoad(5, 1, 48))
        self.assertEqual(self._read("5,1,48,130").load, ServerLoad(5, 1, 48, 130.0))
        self.assertEqual(
            self._read(" 5, 1 ,48, 87.5 ").load, ServerLoad(5, 1, 48, 87.5)
        )
        self.assertEqual(self._read("5,1,48,130", "5,1,48,130").load.n_running, 5)

    def test_malformed(self):
        """A malformed or contradictory report is no report; an absent one is fine."""
        for text in self.MALFORMED:
            with self.subTest(text=text[:12]):
                facts = self._read(text)
                self.assertIsNone(facts.load)
                self.assertTrue(facts.is_load_malformed)
        self.assertTrue(self._read("1,2,3,100", "1,2,3,200").is_load_malformed)
        self.assertFalse(self._read().is_load_malformed)
        self.assertFalse(self._read("1,2,3,100").is_load_malformed)

    # One malformed report must not discard what the reports before it said.
    def test_only_the_malformed_report_is_ignored(self):
        """It is counted, and the last good report stays with its age."""
        state = build_direct_state([build_listed_server("s0", "127.0.0.1:1")])
        backend = state.view.backends["s0"]
        request = build_request(build_route())
        recorder = AttemptRecorder(
            state, request, RequestProgress(), RequestIdentity(request, NAMES, b"")
        )
        recorder.record_load(backend, self._read("9,3,48,200"), NOW_MS)
        recorder.record_load(backend, self._read("1,2"), NOW_MS)
        recorder.record_load(backend, self._read(), NOW_MS)
        self.assertEqual(state.metrics.value("load_reports_ignored_total"), 1)
        self.assertEqual((backend.report.n_in_flight, backend.report.n_queued), (9, 3))
        self.assertEqual(backend.slowdown.compute_percent(NOW_MS), 200.0)
        recorder.record_load(backend, self._read("4,0,48,150"), NOW_MS)
        self.assertEqual(backend.slowdown.compute_percent(NOW_MS), 150.0)
        self.assertEqual(state.metrics.value("load_reports_ignored_total"), 1)


class SlowdownTest(unittest.TestCase):
    """The fourth value with its age."""

    def _slowdown(self, percent: float | None) -> Slowdown:
        slowdown = Slowdown()
        slowdown.record(percent, NOW_MS)
        return slowdown

    def test_decays_to_the_usual_time(self):
        """Half of it is left after the half-life, and in the end nothing."""
        for percent, half in ((200.0, 150.0), (60.0, 80.0)):
            slowdown = self._slowdown(percent)
            self.assertEqual(slowdown.compute_percent(NOW_MS), percent)
            at_ms = NOW_MS + SLOWDOWN_HALF_LIFE_MS
            self.assertAlmostEqual(slowdown.compute_percent(at_ms), half)
            late = slowdown.compute_percent(NOW_MS + LONG_MS)
            self.assertAlmostEqual(late, 100.0, places=6)

    # Some machines are slower for good. An estimate that always returns to the usual
    # time sends them as many long prompts as the others.
    def test_lasting_level(self):
        """A lasting value becomes the level; momentary slowdowns do not change it."""
        slowdown = Slowdown()
        for number in range(20):
            is_slow = number % 5 == 0
            slowdown.record(300.0 if is_slow else 120.0, NOW_MS + 250.0 * number)
        at_ms = NOW_MS + 5_000.0 + LONG_MS
        self.assertAlmostEqual(slowdown.compute_percent(at_ms), 120.0, places=6)
        self.assertAlmostEqual(slowdown.compute_extra_ms(1_000.0, at_ms), 200.0)

    # One report during a slowdown must not stand for the whole time.
    def test_level_needs_several_reports(self):
        """The first reports, and many at one moment, leave the level as it was."""
        slowdown = Slowdown()
        for number in range(50):
            slowdown.record(300.0, NOW_MS + number)
        self.assertEqual(slowdown.level_percent, 100.0)

    def test_long_work_outlasts_the_slowdown(self):
        """Short work takes twice as long at 200 percent, long work a bounded time."""
        slowdown = self._slowdown(200.0)
        self.assertAlmostEqual(slowdown.compute_extra_ms(1.0, NOW_MS), 1.0, places=2)
        extra_ms = slowdown.compute_extra_ms(60_000.0, NOW_MS)
        self.assertLess(extra_ms, 2.0 * SLOWDOWN_HALF_LIFE_MS)
        self.assertLess(self._slowdown(50.0).compute_extra_ms(100.0, NOW_MS), 0.0)

    # A report of a million percent would rule a server out for seconds.
    def test_extreme_values_are_limited(self):
        """An extreme report is soon as good as forgotten."""
        slowdown = self._slowdown(999_999_999.0)
        at_ms = NOW_MS + 4 * SLOWDOWN_HALF_LIFE_MS
        self.assertLess(slowdown.compute_percent(at_ms), 120.0)

    def test_three_values_change_nothing(self):
        """Without a fourth value, work takes exactly the usual time."""
        slowdown = self._slowdown(None)
        self.assertEqual(slowdown.compute_percent(NOW_MS), 100.0)
        self.assertEqual(slowdown.compute_extra_ms(500.0, NOW_MS), 0.0)

    def test_new_incarnation_begins_anew(self):
        """A server that has started again isn't taken for as slow as before."""
        (server,) = build_backends(1, NOW_MS)
        server.record_answer(build_load_report(slowdown_percent=300.0), NOW_MS)
        server.update_view(server.view._replace(incarnation="2"), NOW_MS)
        self.assertEqual(server.slowdown.compute_percent(NOW_MS), 100.0)


class SlowForASecondTest(unittest.TestCase):
    """Servers slow down to 200 percent for a second, one after the other."""

    CONTEXT = RoutingContext("k", zone="zone-1", n_tokens_to_read=800)
    N_CHOICES = 300

    def _count_choices(self, servers, now_ms: float) -> Counter:
        rng = random.Random(11)
        return Counter(
            SampledCost().choose(servers, self.CONTEXT, rng, now_ms).view.server_id
            for _ in range(self.N_CHOICES)
        )

    def test_slow_server_is_avoided_while_it_is_slow(self):
        """It gets next to nothing at first, and its full share a second later."""
        servers = build_backends(4, NOW_MS)
        for server in servers:
            percent = 200.0 if server is servers[0] else 100.0
            server.record_answer(build_load_report(8, 0, percent), NOW_MS)
        self.assertLess(self._count_choices(servers, NOW_MS)["s0"], 5)
        # As the cost approaches that of the others, ties are broken by the sample.
        for server in servers[1:]:
            server.record_answer(build_load_report(9), NOW_MS + 1_000.0)
        recovered = self._count_choices(servers, NOW_MS + 1_600.0)["s0"]
        self.assertGreater(recovered, self.N_CHOICES / 4)

    # A server avoided for a slowdown alone would leave the others overloaded.
    def test_load_outweighs_slowdown(self):
        """A slow server with far fewer requests still gets the next one."""
        slow, *others = servers = build_backends(2, NOW_MS)
        slow.record_answer(build_load_report(2, 0, 200.0), NOW_MS)
        for server in others:
            server.record_answer(build_load_report(30, 0, 100.0), NOW_MS)
        chosen = SampledCost().choose(servers, self.CONTEXT, create_rng(), NOW_MS)
        self.assertIs(chosen, slow)

    # A value that changes many times per second must not refuse callers for long.
    def test_slowdown_alone_refuses_nobody(self):
        """With all servers slow but no queue, a stream is admitted."""
        servers = build_backends(4, NOW_MS)
        for server in servers:
            server.record_answer(build_load_report(8, 0, 400.0), NOW_MS)
        route = build_route(
            kind=RouteKind.STREAMING, target_latency_ms=415.0, gap_target_ms=400.0
        )
        request = build_request(route)._replace(
            arrived_ms=NOW_MS, answer_by_ms=NOW_MS + 6_000.0
        )
        decision = decide_admission(
            request, servers[0], servers, 0, self.CONTEXT, NOW_MS
        )
        self.assertIs(decision.backend, servers[0])

    def test_queue_takes_longer_at_a_slow_server(self):
        """The wait behind a queue counts the slowdown, up to a bounded time."""
        usual, slow, old = build_backends(3, NOW_MS)
        usual.record_answer(build_load_report(8, 4, 100.0), NOW_MS)
        slow.record_answer(build_load_report(8, 4, 200.0), NOW_MS)
        old.record_answer(build_load_report(8, 4, 200.0), NOW_MS - LONG_MS)
        wait_ms, slow_ms = (
            expected_queue_ms(server, 0, self.CONTEXT, NOW_MS)
            for server in (usual, slow)
        )
        self.assertGreater(slow_ms, 1.4 * wait_ms)
        self.assertLess(slow_ms, wait_ms + 2.0 * SLOWDOWN_HALF_LIFE_MS)
        self.assertAlmostEqual(old.slowdown.compute_extra_ms(100.0, NOW_MS), 0.0)

    # Deployments whose servers send three values are served as before.
    def test_three_values_cost_as_before(self):
        """The cost equals that of a server whose fourth value is the usual time."""
        three, four = build_backends(2, NOW_MS)
        three.record_answer(build_load_report(20, 3, None), NOW_MS)
        four.record_answer(build_load_report(20, 3, 100.0), NOW_MS)
        self.assertEqual(three.knee_in_flight, N_SLOTS)
        self.assertEqual(
            request_cost_ms(three, self.CONTEXT, NOW_MS),
            request_cost_ms(four, self.CONTEXT, NOW_MS),
        )
        self.assertEqual(
            request_cost_ms(three, self.CONTEXT, NOW_MS),
            request_cost_ms(
                three, self.CONTEXT._replace(n_tokens_to_read=9_000), NOW_MS
            ),
        )
