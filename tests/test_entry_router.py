"""Which server gets which attempt: fairness, health, retries, limits."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err
from returns.result import Success

from cowslipwood.entry.choosing._backend import LoadReport
from cowslipwood.entry.taking._shares import Shares, share_of
from cowslipwood.kernel.codes import Code, Outcome, failure
from cowslipwood.kernel.messages import RoutingUpdate
from cowslipwood.kernel.metrics import Metrics

from .builders import model_value
from .entry_builders import (
    engine_view,
    entry_of,
    make_entry_call,
    make_router,
    make_view,
)

ENTRY = entry_of(model_value("m1"))
CALL = make_entry_call(ENTRY)


def _fleet(n_servers, **fields):
    servers = [engine_view(f"s{i}", "m1", **fields) for i in range(n_servers)]
    return make_view([model_value("m1")], servers)


def _picks(router, n_picks, now_ms=0.0):
    """Return how often each server is chosen while nothing is answered."""
    counts = {}
    for _ in range(n_picks):
        call = make_entry_call(ENTRY, now_ms)
        server_id = (
            router.start_attempts(call).next_server(now_ms).unwrap().view.server_id
        )
        counts[server_id] = counts.get(server_id, 0) + 1
    return counts


class TestHerding(unittest.TestCase):
    """Entries with the same old reports do not all choose the same server."""

    N_SERVERS = 12
    N_PICKS = 3_000

    def test_old_reports(self):
        """No server gets over twice its even share from two entries together.

        Each entry compares two sampled servers, so one that looks idle to both
        is compared in at most 2 of `N_SERVERS` choices.
        """
        total = {}
        for seed in (1, 2):
            view = _fleet(self.N_SERVERS, n_in_flight=8)
            idle = engine_view("s0", "m1", n_in_flight=0)
            view.update_routing(RoutingUpdate(False, (idle,), ()), 1_000.0)
            router = make_router(view, seed=seed)
            for server_id, n_picks in _picks(router, self.N_PICKS, 1_000.0).items():
                total[server_id] = total.get(server_id, 0) + n_picks
        even = 2 * self.N_PICKS / self.N_SERVERS
        self.assertLessEqual(max(total.values()), 2.1 * even)
        self.assertEqual(len(total), self.N_SERVERS)

    @settings(max_examples=25, derandomize=True, deadline=None)
    @given(n_servers=st.integers(2, 20), seed=st.integers(0, 2**32))
    def test_own_requests_even_out(self, n_servers, seed):
        """Own open requests count at once, so a burst spreads over all servers."""
        router = make_router(_fleet(n_servers), seed=seed)
        held = []
        for _ in range(8 * n_servers):
            backend = router.start_attempts(CALL).next_server(0.0).unwrap()
            backend.n_in_flight += 1
            held.append(backend)
        loads = {each.view.server_id: each.n_in_flight for each in held}
        self.assertEqual(len(loads), n_servers)
        self.assertLessEqual(max(loads.values()), 2 * 8)

    def test_prefix_affinity_yields_to_load(self):
        """One prompt's requests stay on one server until it is loaded."""
        router = make_router(_fleet(10))
        call = CALL._replace(prefix_hash=12345)
        first = router.start_attempts(call).next_server(0.0).unwrap()
        again = [
            router.start_attempts(call).next_server(0.0).unwrap() for _ in range(50)
        ]
        self.assertTrue(all(backend is first for backend in again))
        first.n_in_flight = 12
        later = [
            router.start_attempts(call).next_server(0.0).unwrap() for _ in range(50)
        ]
        self.assertNotIn(first, later)

    def test_zone(self):
        """At equal load the entry's own zone is preferred, and yields to load."""
        servers = [engine_view("near", "m1"), engine_view("far", "m1", zone="zone-2")]
        view = make_view([model_value("m1")], servers)
        router = make_router(view)
        self.assertEqual(_picks(router, 20), {"near": 20})
        view.backends["near"].n_in_flight = 8
        self.assertEqual(_picks(router, 20), {"far": 20})


class TestHealth(unittest.TestCase):
    """Servers that answer errors or slowly are ejected, probed and taken back."""

    def _run(self, router, view, n_requests, answer, start_ms=0.0):
        """Run requests one after another, 1 ms apart; return the picks."""
        picks = []
        now_ms = start_ms
        for _ in range(n_requests):
            attempts = router.start_attempts(make_entry_call(ENTRY, now_ms))
            backend = attempts.next_server(now_ms).unwrap()
            picks.append(backend.view.server_id)
            now_ms += 1.0
            took_ms = answer(backend.view.server_id)
            if took_ms is None:
                attempts.record_failure(backend, failure(Code.OUTCOME_UNKNOWN), now_ms)
            else:
                attempts.record_success(backend, took_ms, took_ms, now_ms)
        return picks

    def test_fast_errors_attract_no_load(self):
        """A server that answers errors at once gets few requests."""
        view = _fleet(4)
        router = make_router(view)
        answer = lambda server_id: None if server_id == "s0" else 10.0  # noqa: E731
        picks = self._run(router, view, 900, answer)
        self.assertLess(picks.count("s0"), 900 * 0.02)

    def test_probed_and_taken_back(self):
        """After its ejection one request probes it; good ones take it back."""
        view = _fleet(4)
        router = make_router(view, policy="random")
        answer = lambda server_id: None if server_id == "s0" else 10.0  # noqa: E731
        self._run(router, view, 400, answer)
        backend = view.backends["s0"]
        self.assertFalse(backend.is_usable("m1@1", 400.0))
        late_ms = backend.health.ejected_until_ms + 1.0
        self.assertTrue(backend.is_usable("m1@1", late_ms))
        with backend.in_flight():
            self.assertFalse(backend.is_usable("m1@1", late_ms))
        picks = self._run(router, view, 400, lambda _: 10.0, late_ms)
        self.assertGreater(picks.count("s0"), 400 * 0.1)
        self.assertFalse(backend.health.is_probing)

    def test_slow_outlier(self):
        """A server many times slower than its peers is ejected."""
        view = _fleet(4)
        metrics = Metrics("entry")
        router = make_router(view, metrics=metrics)
        answer = lambda server_id: 200.0 if server_id == "s0" else 10.0  # noqa: E731
        picks = self._run(router, view, 900, answer)
        self.assertEqual(metrics.value("ejections_total", reason="slow"), 1)
        self.assertLess(picks.count("s0"), 900 / 4 / 2)

    def test_last_server_stays(self):
        """The only server of a model is still tried when it was ejected."""
        view = _fleet(1)
        router = make_router(view)
        picks = self._run(router, view, 50, lambda _: None)
        self.assertGreater(view.backends["s0"].health.ejected_until_ms, 0.0)
        self.assertEqual(picks, ["s0"] * 50)

    def test_one_late_answer(self):
        """A single very late answer ejects nobody."""
        view = _fleet(2)
        router = make_router(view)
        self._run(router, view, 100, lambda _: 10.0)
        late = router.start_attempts(make_entry_call(ENTRY, 100.0))
        backend = late.next_server(100.0).unwrap()
        late.record_success(backend, 60_000.0, 60_000.0, 100.0)
        self.assertEqual(backend.health.ejected_until_ms, 0.0)

    def test_all_slow_together(self):
        """Servers that all slow down together are not ejected."""
        view = _fleet(4)
        metrics = Metrics("entry")
        router = make_router(view, metrics=metrics)
        self._run(router, view, 200, lambda _: 10.0)
        self._run(router, view, 400, lambda _: 25.0, 200.0)
        self.assertEqual(metrics.value("ejections_total", reason="slow"), 0)

    def test_unreachable_is_passed_over(self):
        """A server seen unreachable gets nothing for a while, before keepers say so."""
        view = _fleet(3)
        router = make_router(view)
        attempts = router.start_attempts(CALL)
        lost = attempts.next_server(0.0).unwrap()
        attempts.record_failure(lost, failure(Code.BACKEND_UNREACHABLE), 0.0)
        self.assertNotIn(lost.view.server_id, _picks(router, 200, 10.0))
        self.assertIn(lost.view.server_id, _picks(router, 200, 1_500.0))

    def test_leaving_gets_nothing(self):
        """A server listed as leaving is never chosen."""
        view = _fleet(3)
        leaving = engine_view("s1", "m1", leaving=True)
        view.update_routing(RoutingUpdate(False, (leaving,), ()), 0.0)
        self.assertNotIn("s1", _picks(make_router(view), 200))


class TestRetries(unittest.TestCase):
    """Retries never multiply, and tell what may have run."""

    def test_budget(self):
        """When every attempt is refused, retries are a bounded share of requests."""
        metrics = Metrics("entry")
        router = make_router(_fleet(8), metrics=metrics)
        n_requests = 2_000
        for i in range(n_requests):
            attempts = router.start_attempts(make_entry_call(ENTRY, float(i)))
            while isinstance(chosen := attempts.next_server(float(i)), Success):
                fault = failure(Code.AGENT_OVERLOADED, "", 100)
                attempts.record_failure(chosen.unwrap(), fault, float(i))
            last = chosen.failure()
            self.assertEqual(last.code, Code.RETRIES_EXHAUSTED)
            self.assertIn("AGENT_OVERLOADED", last.message)
            self.assertGreater(last.retry_after_ms, 0)
        n_retries = metrics.value("retries_total", reason="AGENT_OVERLOADED")
        self.assertGreater(n_retries, 0)
        self.assertLessEqual(n_retries, 0.25 * n_requests)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        faults=st.lists(
            st.sampled_from(
                [
                    Code.AGENT_OVERLOADED,
                    Code.BACKEND_UNREACHABLE,
                    Code.OUTCOME_UNKNOWN,
                    Code.ANSWER_CUT,
                    Code.BACKEND_TIMEOUT,
                ]
            ),
            min_size=1,
            max_size=6,
        ),
        repeatable=st.booleans(),
    )
    def test_not_run_is_proof(self, faults, repeatable):
        """Not-run is told only where no attempt may have run, which none follows."""
        router = make_router(_fleet(8))
        entry = ENTRY._replace(repeatable=repeatable)
        attempts = router.start_attempts(make_entry_call(entry))
        n_unknown = 0
        for code in faults:
            chosen = attempts.next_server(0.0)
            if isinstance(chosen, Err):
                break
            self.assertTrue(repeatable or not n_unknown)
            fault = failure(code)
            n_unknown += fault.outcome is Outcome.UNKNOWN
            attempts.record_failure(chosen.unwrap(), fault, 0.0)
        while isinstance(chosen := attempts.next_server(0.0), Success):
            attempts.record_failure(
                chosen.unwrap(), failure(Code.AGENT_OVERLOADED), 0.0
            )
        told = chosen.failure().outcome
        self.assertEqual(told is Outcome.UNKNOWN, n_unknown > 0)

    def test_deadline(self):
        """A request whose deadline has passed is not sent."""
        call = make_entry_call(ENTRY, 0.0, 50.0)
        refused = make_router(_fleet(2)).start_attempts(call).next_server(50.0)
        self.assertEqual(refused.failure().code, Code.DEADLINE_PASSED)


class TestAdmission(unittest.TestCase):
    """What cannot begin in time is refused at once."""

    def _refusals(self, **fields):
        view = _fleet(3)
        for backend in view.backends.values():
            backend.answer_ms.add(100.0)
            backend.answered(LoadReport(16, 48, 300.0, 16), 0.0)
        entry = entry_of(model_value("m1", **fields))
        router = make_router(view)
        call = make_entry_call(entry)
        return [router.start_attempts(call).next_server(0.0) for _ in range(50)]

    def test_overloaded(self):
        """A full fleet refuses a tight limit and takes a loose one."""
        tight = self._refusals(limits={"first_token_ms": 200})
        self.assertTrue(all(isinstance(each, Err) for each in tight))
        self.assertTrue(all(e.failure().code is Code.OVERLOADED for e in tight))
        returns = {each.failure().retry_after_ms for each in tight}
        self.assertGreater(len(returns), 25)
        loose = self._refusals(limits={"first_token_ms": 1_000})
        self.assertTrue(all(isinstance(each, Success) for each in loose))

    def test_batch_gives_way(self):
        """At the same limit a batch class is refused before an urgent one."""
        limits = {"first_token_ms": 350}
        urgent = self._refusals(limits=limits, **{"class": "urgent"})
        batch = self._refusals(limits=limits, **{"class": "batch"})
        self.assertTrue(all(isinstance(each, Success) for each in urgent))
        self.assertTrue(all(isinstance(each, Err) for each in batch))

    def test_refusals_end(self):
        """An old report stops counting, so refusing does not go on for ever."""
        view = _fleet(1)
        backend = view.backends["s0"]
        backend.answered(LoadReport(16, 48, 9_000.0, 16), 0.0)
        call = make_entry_call(ENTRY._replace(limits=ENTRY.limits), 0.0)
        tight = call._replace(first_by_ms=500.0)
        router = make_router(view)
        self.assertIsInstance(router.start_attempts(tight).next_server(0.0), Err)
        later = tight._replace(first_by_ms=20_500.0)
        self.assertIsInstance(
            router.start_attempts(later).next_server(20_000.0), Success
        )


class TestShares(unittest.TestCase):
    """Limits hold over all entry hosts together."""

    @given(limit=st.integers(0, 1_000), n_entries=st.integers(1, 50))
    @settings(max_examples=100, derandomize=True, deadline=None)
    def test_shares_add_up(self, limit, n_entries):
        """The shares of all hosts add up to the limit and differ by one at most."""
        shares = [share_of(limit, n_entries, rank) for rank in range(n_entries)]
        self.assertEqual(sum(shares), limit)
        self.assertLessEqual(max(shares) - min(shares), 1)

    def _hosts(self, n_entries):
        hosts = [Shares() for _ in range(n_entries)]
        for rank, host in enumerate(hosts):
            host.n_entries, host.rank = n_entries, rank
        return hosts

    def test_in_flight(self):
        """Three hosts together hold no more than the limit in flight."""
        entry = entry_of(model_value("m1", limits={"max_in_flight": 10}))
        taken = [host.take(entry, 0.0) for host in self._hosts(3) for _ in range(20)]
        n_taken = sum(isinstance(each, Success) for each in taken)
        self.assertEqual(n_taken, 10)
        refused = next(each for each in taken if isinstance(each, Err))
        self.assertEqual(refused.failure().code, Code.OWNER_LIMIT)
        self.assertGreater(refused.failure().retry_after_ms, 0)

    @settings(max_examples=50, derandomize=True, deadline=None)
    @given(seed=st.integers(0, 2**32), n_entries=st.integers(1, 5))
    def test_rate(self, seed, n_entries):
        """In any 10 s the hosts take no more than the rate and one burst."""
        rng = random.Random(seed)
        entry = entry_of(model_value("m1", limits={"rate_per_s": 20}))
        hosts = self._hosts(n_entries)
        times = sorted(rng.uniform(0.0, 10_000.0) for _ in range(1_000))
        n_taken = 0
        for now_ms in times:
            host = rng.choice(hosts)
            if isinstance(host.take(entry, now_ms), Success):
                n_taken += 1
                host.release(entry)
        self.assertLessEqual(n_taken, 20 * 10 + 20)
        self.assertGreater(n_taken, 20 * 10 * 0.5)


class TestView(unittest.TestCase):
    """The index of servers follows the keepers' updates."""

    def test_index(self):
        """A server is found under exactly the models that its newest view lists."""
        view = _fleet(3)
        view.update_routing(
            RoutingUpdate(False, (engine_view("s1", "m2"),), ("s2",)), 0.0
        )
        found = [each.view.server_id for each in view.candidates("m1@1")]
        self.assertEqual(found, ["s0"])
        found = [each.view.server_id for each in view.candidates("m2@1")]
        self.assertEqual(found, ["s1"])

    def test_unlisted_is_kept_for_a_while(self):
        """A full list without a server drops it only after a grace time."""
        view = _fleet(2)
        update = RoutingUpdate(True, (engine_view("s0", "m1"),), ())
        view.update_routing(update, 1_000.0)
        view.drop_unlisted(2_000.0)
        self.assertEqual(len(view.candidates("m1@1")), 2)
        view.drop_unlisted(4_500.0)
        self.assertEqual(len(view.candidates("m1@1")), 1)

    def test_old_view(self):
        """With silent keepers, servers that answered lately are preferred."""
        view = _fleet(2)
        view.backends["s1"].answered(None, 60_000.0)
        router = make_router(view)
        self.assertEqual(_picks(router, 30, 60_100.0), {"s1": 30})
