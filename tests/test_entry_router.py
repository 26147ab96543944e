"""Tests of the choice of servers for attempts: balance, health, retries and limits."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err
from returns.result import Success

from cowslipwood.entry.choosing._backend import LoadReport
from cowslipwood.entry.receiving._limit_shares import LimitShares, compute_share
from cowslipwood.kernel.codes import Code, Outcome, failure
from cowslipwood.kernel.messages import RoutingUpdate
from cowslipwood.kernel.metrics import Metrics

from .builders import model_value
from .entry_builders import (
    make_engine_view,
    make_entry,
    make_entry_call,
    make_router,
    make_view,
)

ENTRY = make_entry(model_value("m1"))
CALL = make_entry_call(ENTRY)


def _view_with_servers(n_servers, **fields):
    servers = [make_engine_view(f"s{i}", "m1", **fields) for i in range(n_servers)]
    return make_view([model_value("m1")], servers)


def _count_choices(router, n_choices, now_ms=0.0):
    """Return how often each server is chosen while no attempt ends."""
    counts = {}
    for _ in range(n_choices):
        call = make_entry_call(ENTRY, now_ms)
        server_id = (
            router.start_attempts(call).next_server(now_ms).unwrap().view.server_id
        )
        counts[server_id] = counts.get(server_id, 0) + 1
    return counts


class TestHerding(unittest.TestCase):
    """Entries that have the same old reports do not all choose the same server."""

    N_SERVERS = 12
    N_CHOICES = 3_000

    def test_old_reports_do_not_attract_all_entries(self):
        """Two entries together give no server more than about twice its even share.

        Each entry compares two sampled servers. A server that looks idle to both
        entries is sampled in 2 of `N_SERVERS` choices on average.
        """
        n_choices_by_id = {}
        for seed in (1, 2):
            view = _view_with_servers(self.N_SERVERS, n_in_flight=8)
            idle_server = make_engine_view("s0", "m1", n_in_flight=0)
            view.update_routing(RoutingUpdate(False, (idle_server,), ()), 1_000.0)
            router = make_router(view, seed=seed)
            for server_id, n_choices in _count_choices(
                router, self.N_CHOICES, 1_000.0
            ).items():
                n_choices_by_id[server_id] = (
                    n_choices_by_id.get(server_id, 0) + n_choices
                )
        even_share = 2 * self.N_CHOICES / self.N_SERVERS
        self.assertLessEqual(max(n_choices_by_id.values()), 2.1 * even_share)
        self.assertEqual(len(n_choices_by_id), self.N_SERVERS)

    @settings(max_examples=25, derandomize=True, deadline=None)
    @given(n_servers=st.integers(2, 20), seed=st.integers(0, 2**32))
    def test_own_requests_even_out(self, n_servers, seed):
        """The entry's open requests count at once, so a burst uses all servers."""
        router = make_router(_view_with_servers(n_servers), seed=seed)
        chosen = []
        for _ in range(8 * n_servers):
            backend = router.start_attempts(CALL).next_server(0.0).unwrap()
            backend.n_in_flight += 1
            chosen.append(backend)
        loads = {each.view.server_id: each.n_in_flight for each in chosen}
        self.assertEqual(len(loads), n_servers)
        self.assertLessEqual(max(loads.values()), 2 * 8)

    def test_prefix_affinity_yields_to_load(self):
        """Requests with the same prefix use one server until that one is loaded."""
        router = make_router(_view_with_servers(10))
        call = CALL._replace(prefix_hash=12345)
        preferred = router.start_attempts(call).next_server(0.0).unwrap()
        repeated = [
            router.start_attempts(call).next_server(0.0).unwrap() for _ in range(50)
        ]
        self.assertTrue(all(backend is preferred for backend in repeated))
        preferred.n_in_flight = 12
        after_load = [
            router.start_attempts(call).next_server(0.0).unwrap() for _ in range(50)
        ]
        self.assertNotIn(preferred, after_load)

    def test_own_zone_is_preferred_at_equal_load(self):
        """At equal load the entry's own zone is preferred, but not at a higher load."""
        servers = [
            make_engine_view("near", "m1"),
            make_engine_view("far", "m1", zone="zone-2"),
        ]
        view = make_view([model_value("m1")], servers)
        router = make_router(view)
        self.assertEqual(_count_choices(router, 20), {"near": 20})
        view.backends["near"].n_in_flight = 8
        self.assertEqual(_count_choices(router, 20), {"far": 20})


class TestHealth(unittest.TestCase):
    """Servers that answer errors or slowly are ejected, probed and used again."""

    def _run_requests(self, router, view, n_requests, answer_ms_of, start_ms=0.0):
        """Run requests one after another, 1 ms apart; return the ids of the servers.

        `answer_ms_of` returns the time of a server's answer, or None for an error.
        """
        chosen_ids = []
        now_ms = start_ms
        for _ in range(n_requests):
            attempts = router.start_attempts(make_entry_call(ENTRY, now_ms))
            backend = attempts.next_server(now_ms).unwrap()
            chosen_ids.append(backend.view.server_id)
            now_ms += 1.0
            took_ms = answer_ms_of(backend.view.server_id)
            if took_ms is None:
                attempts.record_failure(backend, failure(Code.OUTCOME_UNKNOWN), now_ms)
            else:
                attempts.record_success(backend, took_ms, took_ms, now_ms)
        return chosen_ids

    def test_fast_errors_attract_no_load(self):
        """A server that answers errors immediately gets few requests."""
        view = _view_with_servers(4)
        router = make_router(view)
        answer_ms_of = lambda name: None if name == "s0" else 10.0  # noqa: E731
        chosen_ids = self._run_requests(router, view, 900, answer_ms_of)
        self.assertLess(chosen_ids.count("s0"), 900 * 0.02)

    def test_ejected_server_is_probed_and_used_again(self):
        """After its ejection a server gets single requests until probes succeed."""
        view = _view_with_servers(4)
        router = make_router(view, policy="random")
        answer_ms_of = lambda name: None if name == "s0" else 10.0  # noqa: E731
        self._run_requests(router, view, 400, answer_ms_of)
        backend = view.backends["s0"]
        self.assertFalse(backend.is_usable("m1@1", 400.0))
        after_ejection_ms = backend.health.ejected_until_ms + 1.0
        self.assertTrue(backend.is_usable("m1@1", after_ejection_ms))
        with backend.track_request():
            self.assertFalse(backend.is_usable("m1@1", after_ejection_ms))
        chosen_ids = self._run_requests(
            router, view, 400, lambda _: 10.0, after_ejection_ms
        )
        self.assertGreater(chosen_ids.count("s0"), 400 * 0.1)
        self.assertFalse(backend.health.is_probing)

    def test_slow_server_is_ejected(self):
        """A server that is many times slower than the others is ejected."""
        view = _view_with_servers(4)
        metrics = Metrics("entry")
        router = make_router(view, metrics=metrics)
        answer_ms_of = lambda name: 200.0 if name == "s0" else 10.0  # noqa: E731
        chosen_ids = self._run_requests(router, view, 900, answer_ms_of)
        self.assertEqual(metrics.value("ejections_total", reason="slow"), 1)
        self.assertLess(chosen_ids.count("s0"), 900 / 4 / 2)

    def test_only_server_is_used_while_ejected(self):
        """The only server of a model gets requests even while it is ejected."""
        view = _view_with_servers(1)
        router = make_router(view)
        chosen_ids = self._run_requests(router, view, 50, lambda _: None)
        self.assertGreater(view.backends["s0"].health.ejected_until_ms, 0.0)
        self.assertEqual(chosen_ids, ["s0"] * 50)

    def test_one_late_answer_does_not_eject(self):
        """A single very late answer does not eject a server."""
        view = _view_with_servers(2)
        router = make_router(view)
        self._run_requests(router, view, 100, lambda _: 10.0)
        late_attempts = router.start_attempts(make_entry_call(ENTRY, 100.0))
        backend = late_attempts.next_server(100.0).unwrap()
        late_attempts.record_success(backend, 60_000.0, 60_000.0, 100.0)
        self.assertEqual(backend.health.ejected_until_ms, 0.0)

    def test_equally_slow_servers_are_not_ejected(self):
        """Servers that all become slower together are not ejected."""
        view = _view_with_servers(4)
        metrics = Metrics("entry")
        router = make_router(view, metrics=metrics)
        self._run_requests(router, view, 200, lambda _: 10.0)
        self._run_requests(router, view, 400, lambda _: 25.0, 200.0)
        self.assertEqual(metrics.value("ejections_total", reason="slow"), 0)

    def test_unreachable_server_is_excluded(self):
        """An unreachable server gets no requests for a while, without the keepers."""
        view = _view_with_servers(3)
        router = make_router(view)
        attempts = router.start_attempts(CALL)
        unreachable = attempts.next_server(0.0).unwrap()
        attempts.record_failure(unreachable, failure(Code.BACKEND_UNREACHABLE), 0.0)
        self.assertNotIn(unreachable.view.server_id, _count_choices(router, 200, 10.0))
        self.assertIn(unreachable.view.server_id, _count_choices(router, 200, 1_500.0))

    def test_leaving_server_is_never_chosen(self):
        """A server that is listed as leaving is never chosen."""
        view = _view_with_servers(3)
        leaving = make_engine_view("s1", "m1", leaving=True)
        view.update_routing(RoutingUpdate(False, (leaving,), ()), 0.0)
        self.assertNotIn("s1", _count_choices(make_router(view), 200))


class TestRetries(unittest.TestCase):
    """Retries are bounded, and failures say whether an attempt may have run."""

    def test_retries_stay_within_the_budget(self):
        """When every attempt is refused, retries are a bounded share of requests."""
        metrics = Metrics("entry")
        router = make_router(_view_with_servers(8), metrics=metrics)
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
    def test_not_run_only_when_no_attempt_can_have_run(self, faults, repeatable):
        """The outcome is not-run only when no attempt can have run.

        After an attempt that may have run, a request that is not repeatable gets no
        further attempt.
        """
        router = make_router(_view_with_servers(8))
        entry = ENTRY._replace(repeatable=repeatable)
        attempts = router.start_attempts(make_entry_call(entry))
        n_unknown_outcomes = 0
        for code in faults:
            chosen = attempts.next_server(0.0)
            if isinstance(chosen, Err):
                break
            self.assertTrue(repeatable or not n_unknown_outcomes)
            fault = failure(code)
            n_unknown_outcomes += fault.outcome is Outcome.UNKNOWN
            attempts.record_failure(chosen.unwrap(), fault, 0.0)
        while isinstance(chosen := attempts.next_server(0.0), Success):
            attempts.record_failure(
                chosen.unwrap(), failure(Code.AGENT_OVERLOADED), 0.0
            )
        outcome = chosen.failure().outcome
        self.assertEqual(outcome is Outcome.UNKNOWN, n_unknown_outcomes > 0)

    def test_passed_deadline_is_refused(self):
        """A request whose deadline has passed is not sent."""
        call = make_entry_call(ENTRY, 0.0, 50.0)
        refused = (
            make_router(_view_with_servers(2)).start_attempts(call).next_server(50.0)
        )
        self.assertEqual(refused.failure().code, Code.DEADLINE_PASSED)


class TestAdmission(unittest.TestCase):
    """Requests that cannot begin in time are refused immediately."""

    def _choose_on_full_servers(self, **fields):
        view = _view_with_servers(3)
        for backend in view.backends.values():
            backend.answer_ms.add(100.0)
            backend.record_answer(LoadReport(16, 48, 300.0, 16), 0.0)
        entry = make_entry(model_value("m1", **fields))
        router = make_router(view)
        call = make_entry_call(entry)
        return [router.start_attempts(call).next_server(0.0) for _ in range(50)]

    def test_full_servers_refuse_a_strict_limit(self):
        """Full servers refuse a strict limit and accept a lenient one."""
        strict = self._choose_on_full_servers(limits={"first_token_ms": 200})
        self.assertTrue(all(isinstance(each, Err) for each in strict))
        self.assertTrue(all(e.failure().code is Code.OVERLOADED for e in strict))
        retry_times_ms = {each.failure().retry_after_ms for each in strict}
        self.assertGreater(len(retry_times_ms), 25)
        lenient = self._choose_on_full_servers(limits={"first_token_ms": 1_000})
        self.assertTrue(all(isinstance(each, Success) for each in lenient))

    def test_batch_class_is_refused_first(self):
        """At the same limit, the batch class is refused before the urgent class."""
        limits = {"first_token_ms": 350}
        urgent = self._choose_on_full_servers(limits=limits, **{"class": "urgent"})
        batch = self._choose_on_full_servers(limits=limits, **{"class": "batch"})
        self.assertTrue(all(isinstance(each, Success) for each in urgent))
        self.assertTrue(all(isinstance(each, Err) for each in batch))

    def test_refusals_end(self):
        """An old load report stops counting, so that refusals end."""
        view = _view_with_servers(1)
        backend = view.backends["s0"]
        backend.record_answer(LoadReport(16, 48, 9_000.0, 16), 0.0)
        call = make_entry_call(ENTRY._replace(limits=ENTRY.limits), 0.0)
        strict_call = call._replace(first_token_due_ms=500.0)
        router = make_router(view)
        self.assertIsInstance(router.start_attempts(strict_call).next_server(0.0), Err)
        later_call = strict_call._replace(first_token_due_ms=20_500.0)
        self.assertIsInstance(
            router.start_attempts(later_call).next_server(20_000.0), Success
        )


class TestShares(unittest.TestCase):
    """Limits apply to all entry hosts together."""

    @given(limit=st.integers(0, 1_000), n_entries=st.integers(1, 50))
    @settings(max_examples=100, derandomize=True, deadline=None)
    def test_shares_add_up(self, limit, n_entries):
        """The shares of all hosts add up to the limit and differ by at most one."""
        shares = [compute_share(limit, n_entries, rank) for rank in range(n_entries)]
        self.assertEqual(sum(shares), limit)
        self.assertLessEqual(max(shares) - min(shares), 1)

    def _hosts(self, n_entries):
        hosts = [LimitShares() for _ in range(n_entries)]
        for rank, host in enumerate(hosts):
            host.n_entries, host.rank = n_entries, rank
        return hosts

    def test_in_flight_limit_of_all_hosts(self):
        """Three hosts together have no more requests in flight than the limit."""
        entry = make_entry(model_value("m1", limits={"max_in_flight": 10}))
        results = [host.admit(entry, 0.0) for host in self._hosts(3) for _ in range(20)]
        n_taken = sum(isinstance(each, Success) for each in results)
        self.assertEqual(n_taken, 10)
        refused = next(each for each in results if isinstance(each, Err))
        self.assertEqual(refused.failure().code, Code.OWNER_LIMIT)
        self.assertGreater(refused.failure().retry_after_ms, 0)

    @settings(max_examples=50, derandomize=True, deadline=None)
    @given(seed=st.integers(0, 2**32), n_entries=st.integers(1, 5))
    def test_rate_limit_of_all_hosts(self, seed, n_entries):
        """In 10 s the hosts accept no more requests than the rate and one burst."""
        rng = random.Random(seed)
        entry = make_entry(model_value("m1", limits={"rate_per_s": 20}))
        hosts = self._hosts(n_entries)
        arrival_times_ms = sorted(rng.uniform(0.0, 10_000.0) for _ in range(1_000))
        n_taken = 0
        for now_ms in arrival_times_ms:
            host = rng.choice(hosts)
            if isinstance(host.admit(entry, now_ms), Success):
                n_taken += 1
                host.release(entry)
        self.assertLessEqual(n_taken, 20 * 10 + 20)
        self.assertGreater(n_taken, 20 * 10 * 0.5)


class TestView(unittest.TestCase):
    """The view's index of servers follows the keepers' updates."""

    def test_index_follows_updates(self):
        """A server is found under exactly the models that its newest update lists."""
        view = _view_with_servers(3)
        view.update_routing(
            RoutingUpdate(False, (make_engine_view("s1", "m2"),), ("s2",)), 0.0
        )
        found = [each.view.server_id for each in view.candidates("m1@1")]
        self.assertEqual(found, ["s0"])
        found = [each.view.server_id for each in view.candidates("m2@1")]
        self.assertEqual(found, ["s1"])

    def test_unlisted_server_is_kept_for_a_grace_period(self):
        """A server that a full list omits is removed only after a grace period."""
        view = _view_with_servers(2)
        update = RoutingUpdate(True, (make_engine_view("s0", "m1"),), ())
        view.update_routing(update, 1_000.0)
        view.drop_unlisted(2_000.0)
        self.assertEqual(len(view.candidates("m1@1")), 2)
        view.drop_unlisted(4_500.0)
        self.assertEqual(len(view.candidates("m1@1")), 1)

    def test_stale_view_prefers_recent_answers(self):
        """While keepers are silent, servers that answered recently are preferred."""
        view = _view_with_servers(2)
        view.backends["s1"].record_answer(None, 60_000.0)
        router = make_router(view)
        self.assertEqual(_count_choices(router, 30, 60_100.0), {"s1": 30})
