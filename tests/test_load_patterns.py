"""Decisions under load patterns that were seen on days with high load.

No network: each test calls a deciding function with the input that the function
would get under the pattern that its class is named after.
"""

import math
import random
import unittest
from collections import Counter

from cowslipwood.entry.choosing._backend import Backend, LoadReport
from cowslipwood.entry.direct._admission import decide_admission
from cowslipwood.entry.direct._entry import compute_serving_ms
from cowslipwood.entry.direct._headers import RequestFacts
from cowslipwood.entry.direct._request import estimate_tokens_to_read
from cowslipwood.entry.direct._retries import (
    LiveEntryCount,
    RetryBudgetLimits,
    SharedRetryBudget,
)
from cowslipwood.entry.routing import RoutingContext
from cowslipwood.entry.routing.least_cost import LeastCost
from cowslipwood.entry.routing.sampled_cost import SampledCost
from cowslipwood.keeper.engines._adapters import (
    choose_adapter_copy,
    choose_adapter_step,
)
from cowslipwood.keeper.engines._copies import choose_copy
from cowslipwood.keeper.engines._demand import DemandTracker
from cowslipwood.keeper.engines._placement import (
    NO_DEMAND,
    ModelDemand,
    choose_load_step,
)
from cowslipwood.keeper.engines._store import LoadNeed, StoreBudget
from cowslipwood.kernel.messages import N_QUEUED_WHEN_DOWN, DemandSample, EntryReport
from cowslipwood.listing import to_server_view
from cowslipwood.routes import RouteKind

from .direct_builders import build_listed_server, build_route, create_rng
from .direct_builders import build_request as routed
from .engine_builders import MODELS, SPEC, make_record

NOW_MS = 60_000.0
N_SERVERS = 4


def make_backends(
    n_slots: int = 64,
    zones: tuple[str, ...] = ("zone-1",),
    n_servers: int = N_SERVERS,
) -> list[Backend]:
    """Return idle servers, distributed over the zones in turn."""
    views = [
        to_server_view(
            build_listed_server(
                f"s{number}", f"127.0.0.1:{number + 1}", n_slots=n_slots
            )._replace(zone=zones[number % len(zones)]),
            ("k",),
        )
        for number in range(n_servers)
    ]
    return [Backend(view, NOW_MS) for view in views]


def choose_backend(servers: list[Backend], **changes) -> Backend | None:
    """Return the server that the policy chooses."""
    context = RoutingContext("k", zone="zone-1")._replace(**changes)
    return LeastCost().choose(servers, context, create_rng(), NOW_MS)


def make_demand_report(entry_id: str, **waiting: float) -> EntryReport:
    """Return an entry's report of requests that wait for models."""
    samples = tuple(
        DemandSample(f"llm|{name}", value, value, 0.0, value)
        for name, value in waiting.items()
    )
    return EntryReport(entry_id, "i", "zone-1", "127.0.0.1:1", False, 1, samples)


class LongPromptsTest(unittest.TestCase):
    """Long prompts that share their prefixes."""

    def test_shared_prefix_stays_on_one_server(self):
        """Requests with the same prefix use one server while its queue is short."""
        servers = make_backends()
        chosen = {
            choose_backend(
                servers, prefix_hash=99, n_shared_tokens=6_300
            ).view.server_id
            for _ in range(20)
        }
        self.assertEqual(len(chosen), 1)

    def test_queue_outweighs_cached_prefix(self):
        """A queue longer than the prefix takes to read sends a request elsewhere."""
        servers = make_backends()
        first = choose_backend(servers, prefix_hash=99, n_shared_tokens=6_300)
        first.n_pending_tokens = 60_000
        second = choose_backend(servers, prefix_hash=99, n_shared_tokens=6_300)
        self.assertIsNot(first, second)

    def test_second_request_follows_the_prefix(self):
        """One request in progress does not send the next with its prefix elsewhere."""
        servers = make_backends()
        first = choose_backend(servers, prefix_hash=99, n_shared_tokens=6_300)
        facts = RequestFacts("q1", None, n_prompt_tokens=9_190, n_shared_tokens=6_300)
        with (
            first.track_first_event_wait(estimate_tokens_to_read(facts), 5, NOW_MS),
            first.track_request(),
        ):
            second = choose_backend(servers, prefix_hash=99, n_shared_tokens=6_300)
        self.assertIs(first, second)

    def test_full_batch_outweighs_cached_prefix(self):
        """Many running streams send a request elsewhere though nothing waits."""
        servers = make_backends()
        first = choose_backend(servers, prefix_hash=99, n_shared_tokens=6_300)
        first.record_load_report(LoadReport(40, 0, 0.0, 64), NOW_MS)
        second = choose_backend(servers, prefix_hash=99, n_shared_tokens=6_300)
        self.assertIsNot(first, second)

    def test_prefix_is_cached_in_each_zone(self):
        """Long prompts stay in the zone, even if another zone has their prefix."""
        servers = make_backends(zones=("zone-1", "zone-2"))
        for prefix_hash in range(1, 40):
            chosen = choose_backend(
                servers,
                prefix_hash=prefix_hash,
                n_shared_tokens=6_300,
                body_bytes=18_000,
            )
            self.assertEqual(chosen.view.zone, "zone-1")

    def test_queue_outweighs_the_zone(self):
        """A prompt leaves the zone if it would wait there."""
        servers = make_backends(zones=("zone-1", "zone-2"))
        for server in servers:
            if server.view.zone == "zone-1":
                server.n_pending_tokens = 30_000
        chosen = choose_backend(
            servers, prefix_hash=5, n_shared_tokens=6_300, body_bytes=18_000
        )
        self.assertEqual(chosen.view.zone, "zone-2")


class BurstTest(unittest.TestCase):
    """Many requests arrive before the next report."""

    def test_own_requests_are_distributed(self):
        """One entry's burst is distributed over servers that all look idle."""
        servers = make_backends()
        counts: Counter[str] = Counter()
        for _ in range(40):
            chosen = choose_backend(servers)
            chosen.n_in_flight += 1
            chosen.n_pending_tokens += 800
            counts[chosen.view.server_id] += 1
        self.assertEqual(sorted(counts.values()), [10] * N_SERVERS)

    def test_reported_queue(self):
        """A server with a reported queue gets nothing while others are idle."""
        servers = make_backends()
        servers[0].record_load_report(LoadReport(8, 12, 0.0, 64), NOW_MS)
        chosen = {
            choose_backend(servers, n_shared_tokens=100).view.server_id
            for _ in range(20)
        }
        self.assertNotIn("s0", chosen)


class FailingServiceTest(unittest.TestCase):
    """All servers of a service fail a part of their requests."""

    def test_load_stays_distributed(self):
        """With every server ejected, requests still go to all of them."""
        servers = make_backends(n_slots=6)
        for server in servers:
            for _ in range(10):
                server.health.record_error(NOW_MS - 10)
        counts: Counter[str] = Counter()
        for _ in range(20):
            chosen = choose_backend(servers)
            chosen.n_in_flight += 1
            counts[chosen.view.server_id] += 1
        self.assertEqual(sorted(counts.values()), [5] * N_SERVERS)


class DistanceTest(unittest.TestCase):
    """Idle servers in several availability zones."""

    def test_own_zone_first(self):
        """An idle server of the own zone is preferred to those of other zones."""
        servers = make_backends(zones=("zone-2", "zone-1"))
        self.assertEqual(choose_backend(servers).view.zone, "zone-1")

    def test_load_outweighs_distance(self):
        """A queue in the own zone sends requests to the next zone."""
        servers = make_backends(zones=("zone-2", "zone-1"))
        for server in servers:
            if server.view.zone == "zone-1":
                server.n_pending_tokens = 9_000
        self.assertEqual(choose_backend(servers).view.zone, "zone-2")


class ShiftingDemandTest(unittest.TestCase):
    """Demand moves to a model that one engine holds."""

    def test_copy_follows_within_seconds(self):
        """Requests that wait at the only holder lead to a copy within two seconds."""
        tracker = DemandTracker()
        records = [
            make_record("s0", {"m0": set(), "m1": set()}),
            make_record("s1", {"m2": set(), "m3": set()}),
        ]
        for step in range(40):
            now_ms = NOW_MS + step * 50
            tracker.record_report(make_demand_report("e1", m0=6.0), now_ms)
            tracker.update({}, 50.0, now_ms)
            if choose_copy(records, MODELS, tracker.by_model, now_ms) is not None:
                break
        self.assertLess(step, 39)

    def test_first_reports_count_at_once(self):
        """The first reports to a new leader count in full, not only after a second."""
        tracker = DemandTracker()
        tracker.record_report(make_demand_report("e1", m0=6.0), NOW_MS)
        tracker.reset_smoothed_demand()
        tracker.update({}, 50.0, NOW_MS + 50.0, is_new=True)
        self.assertEqual(tracker.by_model["m0"].n_in_flight, 6.0)
        self.assertLess(tracker.by_model["m0"].n_waiting, 1.0)

    def test_pause_keeps_demand(self):
        """A pause of one second in the demand lowers the value of a copy little."""
        tracker = DemandTracker()
        for step in range(100):
            tracker.record_report(make_demand_report("e1", m0=6.0), NOW_MS + step * 50)
            tracker.update({}, 50.0, NOW_MS + step * 50)
        before = tracker.by_model["m0"].n_waiting
        for step in range(100, 120):
            tracker.record_report(make_demand_report("e1"), NOW_MS + step * 50)
            tracker.update({}, 50.0, NOW_MS + step * 50)
        self.assertGreater(tracker.by_model["m0"].n_waiting, 0.7 * before)


class ConcurrentRareModelsTest(unittest.TestCase):
    """Rare models are requested together while a popular model needs its copies."""

    def test_spare_copies_go_first(self):
        """A rare model displaces a spare copy without queue, not another rare model."""
        records = [
            make_record("s0", {"m0": set(), "m1": set()}),
            make_record("s1", {"m0": set(), "m2": set()}),
        ]
        demand = {
            "m0": ModelDemand(n_waiting=0.1, recency=1.0),
            "m1": ModelDemand(recency=1.0),
            "m2": ModelDemand(recency=1.0),
        }
        step = choose_load_step(records, MODELS[5], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m0")

    def test_least_recent_goes_first(self):
        """Among single copies, the model not requested for longest is unloaded."""
        records = [make_record("s0", {"m1": set(), "m2": set()})]
        demand = {"m1": ModelDemand(recency=0.9), "m2": ModelDemand(recency=0.1)}
        step = choose_load_step(records, MODELS[5], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m2")


class OldReportTest(unittest.TestCase):
    """Seventy entries choose by one report that is some hundred milliseconds old."""

    N_ENTRIES = 70
    N_ENGINES = 12

    def _count_most_chosen(self, policy, prefixes: list[int]) -> int:
        """Return how many entries choose the engine that most of them choose."""
        rng = create_rng()
        chosen: Counter[str] = Counter()
        for entry in range(self.N_ENTRIES):
            engines = make_backends(n_slots=48, n_servers=self.N_ENGINES)
            for number, engine in enumerate(engines):
                engine.record_load_report(
                    LoadReport(20 + number % 5, 0, 0.0, 48), NOW_MS
                )
            engines[0].record_load_report(LoadReport(18, 0, 0.0, 48), NOW_MS)
            prefix = prefixes[entry % len(prefixes)]
            context = RoutingContext("k", prefix, "zone-1", n_shared_tokens=6_300)
            found = policy.choose(engines, context, rng, NOW_MS)
            chosen[found.view.server_id] += 1
        return max(chosen.values())

    def test_no_shared_prefix(self):
        """The engine that looks best gets less than three times its share."""
        self.assertEqual(self._count_most_chosen(LeastCost(), [0]), self.N_ENTRIES)
        most = 3 * self.N_ENTRIES / self.N_ENGINES
        self.assertLess(self._count_most_chosen(SampledCost(), [0]), most)

    def test_shared_prefix_keeps_its_engine(self):
        """All entries send requests with one prefix to the same engine."""
        self.assertEqual(
            self._count_most_chosen(SampledCost(), [0x9E3779B97F4A7C15]), self.N_ENTRIES
        )

    def test_busy_preferred_engine(self):
        """Requests avoid their preferred engine if many requests wait there."""
        engines = make_backends(n_slots=48)
        context = RoutingContext("k", 0x1234567, "zone-1", n_shared_tokens=6_300)
        preferred = SampledCost().choose(engines, context, create_rng(), NOW_MS)
        preferred.record_load_report(LoadReport(40, 8, 0.0, 48), NOW_MS)
        other = SampledCost().choose(engines, context, create_rng(), NOW_MS)
        self.assertIsNot(other, preferred)


class SlowEngineTest(unittest.TestCase):
    """One engine pauses its streams at a load that the others carry."""

    CONTEXT = RoutingContext("k", zone="zone-1")

    def test_slow_engine_is_avoided(self):
        """A slow engine with as many requests as the others gets no more."""
        slow, *others = engines = make_backends(n_slots=48)
        for engine in engines:
            engine.record_answer(LoadReport(12, 0, 0.0, 48), NOW_MS)
            for _ in range(20):
                engine.record_stream(engine is slow, NOW_MS)
        rng = create_rng()
        for _ in range(50):
            chosen = SampledCost().choose(engines, self.CONTEXT, rng, NOW_MS)
            self.assertIn(chosen, others)

    def test_slow_engine_is_not_starved(self):
        """A slow engine still gets requests if it has far fewer than the others.

        Its late streams stop counting after some time.
        """
        slow, *others = engines = make_backends(n_slots=48, n_servers=2)
        for _ in range(20):
            slow.record_stream(True, NOW_MS)
        for engine in others:
            engine.record_answer(LoadReport(30, 0, 0.0, 48), NOW_MS)
        chosen = SampledCost().choose(engines, self.CONTEXT, create_rng(), NOW_MS)
        self.assertIs(chosen, slow)
        self.assertLess(slow.late_share(NOW_MS + 10_000.0), 0.05)


class RepeatingCallersTest(unittest.TestCase):
    """Callers retry immediately and often while servers fail."""

    def test_window_bound(self):
        """In any window, the retries of all entries together stay within the budget."""
        terms = RetryBudgetLimits(0.2, 64.0, 10_000.0)
        budgets = [SharedRetryBudget(terms, -math.inf) for _ in range(8)]
        taken_ms: list[float] = []
        for step in range(4_000):
            now_ms = step * 10.0
            budget = budgets[step % 8]
            if step % 4 == 0:
                budget.count_request(now_ms)
            if budget.spend_retry(8, now_ms):
                taken_ms.append(now_ms)
        for start_ms in range(0, 30_000, 500):
            n_repeats = sum(start_ms <= at_ms < start_ms + 10_000 for at_ms in taken_ms)
            self.assertLessEqual(n_repeats, 0.2 * 250 + 64)

    def test_busy_window_bound(self):
        """Retries that come all together stay within the budget of one window."""
        terms = RetryBudgetLimits(0.2, 64.0, 10_000.0)
        budgets = [SharedRetryBudget(terms, -math.inf) for _ in range(8)]
        taken_ms: list[float] = []
        n_per_window = 2_000
        for step in range(3 * n_per_window):
            now_ms = step * 10_000.0 / n_per_window
            budgets[step % 8].count_request(now_ms)
            if now_ms < 15_000.0:
                continue
            while budgets[step % 8].spend_retry(8, now_ms):
                taken_ms.append(now_ms)
        for start_ms in range(0, 20_000, 250):
            n_repeats = sum(start_ms <= at_ms < start_ms + 10_000 for at_ms in taken_ms)
            self.assertLessEqual(n_repeats, 0.2 * n_per_window + 64)

    def test_new_leader_knows_few_entries(self):
        """A leader that knows few entries yet does not raise each entry's share."""
        count = LiveEntryCount(10_000.0)
        count.update(8, 0.0)
        count.update(1, 500.0)
        self.assertEqual(count.get(500.0), 8)
        count.update(3, 10_600.0)
        self.assertEqual(count.get(10_600.0), 3)

    # Guards against each entry taking the whole budget after a change of the leader.
    def test_new_leader_after_calm(self):
        """A count that has not changed for long is kept when a leader knows few."""
        count = LiveEntryCount(10_000.0)
        count.update(8, 0.0)
        count.update(1, 60_000.0)
        self.assertEqual(count.get(60_000.0), 8)
        self.assertEqual(count.get(70_100.0), 1)

    # Guards against each entry taking the whole budget before it knows a leader.
    def test_no_leader_known(self):
        """An entry that knows no leader takes the share of one among many."""
        self.assertGreaterEqual(LiveEntryCount(10_000.0).get(0.0), 70)

    # Guards against entries that spend the budget anew after each restart.
    def test_restarts_share_one_window(self):
        """Entries that restart in series stay within the budget of any window."""
        terms = RetryBudgetLimits(0.2, 64.0, 10_000.0)
        rng = create_rng()
        for _ in range(20):
            self.check_window(terms, rng)

    def check_window(self, terms: RetryBudgetLimits, rng: random.Random) -> None:
        """Repeat all that is allowed, at eight entries that restart at random."""
        budgets = [SharedRetryBudget(terms, -math.inf) for _ in range(8)]
        restart_share = rng.choice((0.0002, 0.001, 0.005))
        taken_ms: list[float] = []
        for step in range(4_000):
            now_ms = step * 10.0
            if rng.random() < restart_share:
                budgets = [SharedRetryBudget(terms, now_ms) for _ in range(8)]
            for budget in budgets:
                while budget.spend_retry(8, now_ms):
                    taken_ms.append(now_ms)
        for start_ms in range(0, 30_000, 500):
            n_repeats = sum(start_ms <= at_ms < start_ms + 10_000 for at_ms in taken_ms)
            self.assertLessEqual(n_repeats, 64)

    def test_calm_service_may_repeat(self):
        """A service with few requests may still retry some."""
        budget = SharedRetryBudget(RetryBudgetLimits(0.2, 64.0, 10_000.0), -math.inf)
        self.assertTrue(budget.spend_retry(8, 0.0))


class PlannedStopTest(unittest.TestCase):
    """Entries are stopped one after another while long streams run."""

    def test_time_left_for_long_streams(self):
        """Requests are admitted only while most of the grace period is left."""
        self.assertLessEqual(compute_serving_ms(3_000.0, 8_000.0), 2_400.0)
        self.assertEqual(compute_serving_ms(300.0, 8_000.0), 300.0)


class CrowdedAdapterTest(unittest.TestCase):
    """Many requests for adapters of which one engine holds most."""

    def setUp(self):
        self.loaded_engine = make_record("s1", {"m0": {"a1", "a2"}})
        self.idle_engine = make_record("s2", {"m0": set()})
        self.loaded_engine.n_running = 20
        self.n_in_flight = {("m0", "a1"): 9.0, ("m0", "a2"): 0.1}

    def _choose_adapter_copy(self, used_ms: dict | None = None):
        used_ms = used_ms or {}
        records = [self.loaded_engine, self.idle_engine]
        return choose_adapter_copy(records, MODELS, self.n_in_flight, used_ms, NOW_MS)

    def test_new_adapter_goes_where_little_runs(self):
        """Fewer adapters do not outweigh a long queue."""
        self.loaded_engine.held["m0"].clear()
        self.idle_engine.held["m0"].add("a3")
        step = choose_adapter_step(
            [self.loaded_engine, self.idle_engine], MODELS[0], {}, NOW_MS
        )
        self.assertIs(step.record, self.idle_engine)

    def test_busy_adapter_is_copied(self):
        """The adapter with most requests is copied to the less loaded engine."""
        spec, adapter, step = self._choose_adapter_copy()
        self.assertEqual((spec.name, adapter), ("m0", "a1"))
        self.assertIs(step.record, self.idle_engine)

    def test_no_copy_without_a_gap(self):
        """Engines with about the same load get no copy."""
        self.idle_engine.n_running = 18
        self.assertIsNone(self._choose_adapter_copy())

    def test_copy_displaces_nothing_in_use(self):
        """A copy displaces only an adapter that has long been unused."""
        self.idle_engine.held["m0"] = {"a7", "a8", "a9"}
        used_ms = {("m0", name): NOW_MS - 1_000.0 for name in ("a7", "a8", "a9")}
        self.assertIsNone(self._choose_adapter_copy(used_ms))
        used_ms["m0", "a8"] = 0.0
        _, _, step = self._choose_adapter_copy(used_ms)
        self.assertEqual(step.unload_adapter, ("m0", "a8"))

    def test_copies_are_unloaded_first(self):
        """An adapter that another engine holds is unloaded before a sole copy."""
        self.idle_engine.held["m0"] = {"a1", "a8", "a9"}
        self.loaded_engine.held["m0"] = {"a1", "a2", "a3"}
        used_ms = {("m0", "a1"): NOW_MS - 1_000.0}
        step = choose_adapter_step(
            [self.idle_engine, self.loaded_engine], MODELS[0], used_ms, NOW_MS
        )
        self.assertEqual(step.unload_adapter, ("m0", "a1"))


class SoleCopyTest(unittest.TestCase):
    """A popular model is held by one engine only, which may be lost at any time."""

    def _choose_copy(self, in_flight: float, held: dict | None = None):
        records = [
            make_record("s0", {"m0": set()}),
            make_record("s1", held or {"m1": set()}),
        ]
        demand = {"m0": ModelDemand(n_in_flight=in_flight)}
        return choose_copy(records, MODELS, demand, NOW_MS)

    def test_busy_model_gets_a_second_copy(self):
        """A second copy is made though nothing waits, as one engine has all callers."""
        spec, step = self._choose_copy(20.0)
        self.assertEqual((spec.name, step.record.server.server_id), ("m0", "s1"))

    def test_quiet_model_does_not(self):
        """A few concurrent requests are not worth a load."""
        self.assertIsNone(self._choose_copy(0.1))

    def test_second_copy_is_kept(self):
        """The second copy of a popular model is kept, and another model is unloaded."""
        held = make_record("s0", {"m0": set(), "m1": set()})
        other = make_record("s1", {"m0": set()})
        other.is_busy, other.busy_until_ms = True, NOW_MS + 20_000.0
        demand = {"m0": ModelDemand(n_in_flight=20.0), "m1": ModelDemand(recency=1.0)}
        step = choose_load_step([held, other], MODELS[5], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m1")


class LostHolderTest(unittest.TestCase):
    """The only engine of a popular model is lost."""

    def _track_demand(self, in_flight: float) -> DemandTracker:
        tracker = DemandTracker()
        sample = DemandSample("llm|m0", in_flight, in_flight, 0.0, 0.0)
        for step in range(20):
            now_ms = NOW_MS + step * 50
            tracker.record_report(
                make_demand_report("e1", m0=0.0)._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms, unserved=("m0",))
        return tracker

    def _choose_copy(self, in_flight: float):
        loading = make_record("s0", {"m0": set()})
        loading.is_busy, loading.loading_model = True, "m0"
        in_use = make_record("s1", {"m1": set(), "m2": set()})
        in_use.n_running = 10
        demand = self._track_demand(in_flight).by_model
        demand["m1"] = demand["m2"] = ModelDemand(n_in_flight=2.0)
        return choose_copy([loading, in_use], MODELS, demand, NOW_MS)

    def test_second_load_does_not_wait_for_the_first(self):
        """A second load starts, as the waiting callers would fill one engine."""
        spec, step = self._choose_copy(30.0)
        self.assertEqual((spec.name, step.record.server.server_id), ("m0", "s1"))

    def test_few_callers_need_one_engine(self):
        """A rare model is loaded once, though its few callers wait for the load."""
        self.assertIsNone(self._choose_copy(2.0))

    def test_copies_leave_a_load_of_the_store(self):
        """Copies of other models leave the store capacity for the missing model."""
        spec = SPEC._replace(
            loads_per_s=2.0, models=(MODELS[0]._replace(load_time_s=2.0),)
        )
        budget = StoreBudget(5_000.0)
        while budget.allows_load(spec, LoadNeed.COPY, NOW_MS):
            budget.record_load(2_000.0, NOW_MS)
        self.assertTrue(budget.allows_load(spec, LoadNeed.MISSING, NOW_MS))

    def test_copies_leave_a_claimed_engine(self):
        """A copy uses no engine whose next load is reserved for the missing model."""
        records = [make_record("s0", {"m1": set()}), make_record("s1", {"m2": set()})]
        demand = {"m1": ModelDemand(8.0, 8.0, 1.0)}
        self.assertIsNotNone(choose_copy(records, MODELS, demand, NOW_MS))
        records[1].reserve_next_load("m0", 11.0, NOW_MS)
        self.assertIsNone(choose_copy(records, MODELS, demand, NOW_MS))

    def test_demand_that_went_elsewhere(self):
        """A model that was unloaded when its demand ended delays no copies."""
        records = [make_record("s0", {"m1": set()}), make_record("s1", {"m2": set()})]
        demand = {"m1": ModelDemand(8.0, 8.0, 1.0), "m0": ModelDemand(n_in_flight=8.0)}
        self.assertIsNotNone(choose_copy(records, MODELS, demand, NOW_MS))


class RareModelTest(unittest.TestCase):
    """A rare model is requested while engines load other models."""

    def test_waits_for_an_engine_with_room(self):
        """A load in progress is waited for, rather than displacing a popular model."""
        in_use = make_record("s0", {"m0": set(), "m1": set()})
        in_use.n_running = 18
        loading = make_record("s1", {"m2": set()})
        loading.is_busy, loading.loading_model = True, "m2"
        loading.busy_until_ms = NOW_MS + 500.0
        demand = {name: ModelDemand(n_in_flight=9.0) for name in ("m0", "m1")}
        records = [in_use, loading]
        step = choose_load_step(records, MODELS[5], demand, NOW_MS)
        self.assertEqual((step.record, step.unload_model), (loading, ""))
        loading.is_busy, loading.loading_model = False, ""
        step = choose_load_step(records, MODELS[5], demand, NOW_MS)
        self.assertIs(step.record, loading)
        self.assertEqual(step.unload_model, "")

    def test_only_one_waits_for_an_engine(self):
        """While one model waits for a busy engine, another model uses a free one."""
        idle = make_record("s0", {"m0": set(), "m1": set()})
        loading = make_record("s1", {"m2": set()})
        loading.is_busy, loading.loading_model = True, "m2"
        loading.busy_until_ms = NOW_MS + 100.0
        records = [idle, loading]
        demand = {name: ModelDemand(recency=1.0) for name in ("m0", "m1")}
        first = choose_load_step(records, MODELS[4], demand, NOW_MS)
        self.assertIs(first.record, loading)
        first.record.reserve_next_load("m4", first.load_priority, NOW_MS)
        second = choose_load_step(records, MODELS[5], demand, NOW_MS)
        self.assertIs(second.record, idle)

    def test_one_large_model_rather_than_two(self):
        """Of two ways to make room, the cheaper unload is chosen."""
        sizes = {"m0": 10.0, "m1": 40.0, "m2": 30.0}
        models = [
            model._replace(weights_mb=sizes.get(model.name, 30.0)) for model in MODELS
        ]
        spec = SPEC._replace(models=tuple(models))
        held = make_record("s0", {"m0": set(), "m1": set(), "m2": set()}, spec=spec)
        demand = {"m0": NO_DEMAND, "m1": ModelDemand(recency=0.3)}
        demand["m2"] = ModelDemand(n_in_flight=9.0)
        held.n_running = 9
        step = choose_load_step([held], spec.models[5], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m1")

    def test_copies_elsewhere_count_where_room_is_made(self):
        """On a given engine, a spare copy is unloaded before a last copy."""
        chosen = make_record("s0", {"m0": set(), "m1": set()})
        records = [
            chosen,
            make_record("s1", {"m0": set()}),
            make_record("s2", {"m0": set()}),
        ]
        demand = {"m0": ModelDemand(n_waiting=0.1, recency=1.0)}
        demand["m1"] = ModelDemand(recency=0.1)
        step = choose_load_step(
            records, MODELS[5], demand, NOW_MS, reserved_record=chosen
        )
        self.assertEqual((step.record, step.unload_model), (chosen, "m0"))

    def test_does_not_wait_for_a_long_load(self):
        """An idle model is unloaded at once if the other load takes seconds."""
        idle = make_record("s0", {"m0": set(), "m1": set()})
        loading = make_record("s1", {"m2": set()})
        loading.is_busy, loading.loading_model = True, "m2"
        loading.busy_until_ms = NOW_MS + 5_000.0
        step = choose_load_step([idle, loading], MODELS[5], {}, NOW_MS)
        self.assertIs(step.record, idle)


class StoreLimitTest(unittest.TestCase):
    """Many rare models are requested together while a popular model must be loaded."""

    def setUp(self):
        self.spec = SPEC._replace(
            loads_per_s=1.0, models=(MODELS[0]._replace(load_time_s=2.0),)
        )
        self.budget = StoreBudget(5_000.0)

    def test_load_left_for_the_busy_model(self):
        """Rare models leave one of the concurrent loads to the popular model."""
        self.budget.record_load(2_000.0, NOW_MS)
        self.assertFalse(self.budget.allows_load(self.spec, LoadNeed.RARE, NOW_MS))
        self.assertTrue(self.budget.allows_load(self.spec, LoadNeed.MISSING, NOW_MS))

    def test_half_of_many_loads(self):
        """Rare models leave half of many concurrent loads to other loads."""
        spec = self.spec._replace(loads_per_s=8.0)
        n_taken = 0
        while self.budget.allows_load(spec, LoadNeed.RARE, NOW_MS):
            self.budget.record_load(2_000.0, NOW_MS)
            n_taken += 1
        self.assertEqual(n_taken, 8)
        self.assertTrue(self.budget.allows_load(spec, LoadNeed.COPY, NOW_MS))

    def test_next_load_follows_at_once(self):
        """The store is free when a load's time is over, before reports show its end."""
        self.budget.record_load(2_000.0, NOW_MS)
        need = LoadNeed.RARE
        self.assertFalse(self.budget.allows_load(self.spec, need, NOW_MS + 1_999.0))
        self.assertTrue(self.budget.allows_load(self.spec, need, NOW_MS + 2_000.0))

    def test_rate(self):
        """No window contains more loads than the store allows."""
        for number in range(5):
            now_ms = NOW_MS + number * 100
            self.assertTrue(
                self.budget.allows_load(self.spec, LoadNeed.MISSING, now_ms)
            )
            self.budget.record_load(50.0, now_ms)
        self.assertFalse(
            self.budget.allows_load(self.spec, LoadNeed.MISSING, NOW_MS + 5_000.0)
        )
        self.assertTrue(
            self.budget.allows_load(self.spec, LoadNeed.MISSING, NOW_MS + 5_001.0)
        )


class MovedDemandTest(unittest.TestCase):
    """Half of all requests move at once to a model that at most one engine holds."""

    def setUp(self):
        big = tuple(model._replace(load_time_s=1.7) for model in MODELS)
        self.spec = SPEC._replace(models=big, loads_per_s=8.0)

    def _make_records(self, *held: str) -> list:
        return [
            make_record(f"s{number}", {name: set()}, spec=self.spec)
            for number, name in enumerate(held)
        ]

    def test_waiting_requests_lead_to_copy(self):
        """Fifteen requests wait at one engine while four are idle: a copy is made."""
        records = self._make_records("m0", "m1", "m2", "m3", "m4")
        demand = {"m0": ModelDemand(15.0, 40.0, 1.0)}
        for name in ("m1", "m2", "m3", "m4"):
            demand[name] = ModelDemand(0.0, 0.5, 1.0)
        spec, _ = choose_copy(records, self.spec.models, demand, NOW_MS)
        self.assertEqual(spec.name, "m0")

    def test_engine_claimed_for_a_rare_model(self):
        """Many callers override the reservation for a rare model with one caller."""
        records = self._make_records("m0", "m1")
        records[1].reserve_next_load("m5", 1.0, NOW_MS)
        demand = {"m0": ModelDemand(15.0, 40.0, 1.0)}
        found = choose_copy(records, self.spec.models, demand, NOW_MS)
        self.assertIs(found[1].record, records[1])

    def test_room_reserved_for_a_rare_model(self):
        """Many callers override the reservation of a rare model with one caller."""
        records = self._make_records("m1")
        records[0].reserve_room("m5", 1.0, NOW_MS + 1_000.0)
        demand = {"m0": ModelDemand(n_in_flight=30.0)}
        step = choose_load_step(records, self.spec.models[0], demand, NOW_MS)
        self.assertIs(step.record, records[0])
        demand = {"m0": ModelDemand(n_in_flight=2.0)}
        self.assertIsNone(
            choose_load_step(records, self.spec.models[0], demand, NOW_MS)
        )

    def test_no_unload_that_waits(self):
        """An idle model is unloaded rather than one with a long running request."""
        records = self._make_records("m1", "m2")
        for engine in records:
            engine.held["m3"] = {"a1", "a2", "a3"}
        records[0].n_running = 1
        demand = {"m0": ModelDemand(n_in_flight=30.0)}
        demand["m1"] = demand["m3"] = ModelDemand(n_in_flight=1.0)
        demand["m2"] = ModelDemand(0.5, 0.0, 1.0)
        step = choose_load_step(records, self.spec.models[0], demand, NOW_MS)
        self.assertIs(step.record, records[1])

    def test_chooses_the_next_free_engine(self):
        """While every engine carries out an order, the first to be free is chosen."""
        records = self._make_records("m0", "m1", "m2")
        for number, engine in enumerate(records[1:]):
            engine.is_busy, engine.loading_model = True, "m5"
            engine.busy_until_ms = NOW_MS + 2_000.0 - 1_500.0 * number
        demand = {"m0": ModelDemand(15.0, 40.0, 1.0)}
        _, step = choose_copy(records, self.spec.models, demand, NOW_MS)
        self.assertIs(step.record, records[2])


class FullQueueTest(unittest.TestCase):
    """More streams arrive for a model than its engines can start in time."""

    N_TYPICAL_TOKENS = 3_000.0
    URGENCY_RANK = 2

    def setUp(self):
        self.engines = make_backends(n_slots=48)
        used = build_route(
            kind=RouteKind.STREAMING,
            target_latency_ms=800.0,
            gap_target_ms=400.0,
            timeout_ms=6_000.0,
        )
        self.request = routed(used)._replace(
            arrived_ms=NOW_MS, answer_by_ms=NOW_MS + 6_000.0
        )

    def _report_queues(self, *queued: int) -> None:
        for engine, n_queued in zip(self.engines, queued, strict=True):
            engine.record_load_report(LoadReport(48, n_queued, 0.0, 48), NOW_MS)

    def _admit(self, now_ms: float = NOW_MS):
        return decide_admission(
            self.request,
            self.engines[0],
            self.engines,
            self.URGENCY_RANK,
            RoutingContext("k", typical_prompt_tokens=self.N_TYPICAL_TOKENS),
            now_ms,
        )

    def test_short_queue(self):
        """A request joins a queue that leaves enough time for its target."""
        self._report_queues(5, 0, 0, 0)
        self.assertIs(self._admit().backend, self.engines[0])

    def test_shorter_queue_elsewhere(self):
        """If the chosen engine's queue is too long, the request joins the shortest."""
        self._report_queues(60, 30, 2, 40)
        self.assertIs(self._admit().backend, self.engines[2])

    def test_all_are_full(self):
        """If every queue is too long, the caller is told when to retry."""
        self._report_queues(60, 30, 45, 40)
        refused = self._admit()
        self.assertIsNone(refused.backend)
        self.assertEqual(refused.retry_after_ms, 3_000.0)
        self._report_queues(60, 20, 45, 40)
        self.assertEqual(self._admit().retry_after_ms, 2_000.0)

    def test_target_already_missed(self):
        """A request that has missed its target waits as long as its caller does."""
        self._report_queues(60, 20, 45, 40)
        self.request = self.request._replace(arrived_ms=NOW_MS - 900.0)
        self.assertIsNone(self._admit().backend)
        self._report_queues(60, 17, 45, 40)
        self.assertIs(self._admit().backend, self.engines[1])

    def test_own_requests_show_the_queue(self):
        """A request that has waited long shows a queue before a report does."""
        self._report_queues(0, 0, 0, 0)
        first = self.engines[0]
        with first.track_first_event_wait(0, self.URGENCY_RANK, NOW_MS - 2_000.0):
            self.assertIsNot(self._admit().backend, first)
        with first.track_first_event_wait(0, self.URGENCY_RANK + 1, NOW_MS - 2_000.0):
            self.assertIs(self._admit().backend, first)

    def test_no_slot_in_time(self):
        """Short prompts wait for batch slots, which become free as streams end."""
        self._report_queues(8, 8, 8, 8)
        self.N_TYPICAL_TOKENS = 100.0
        self.assertIs(self._admit().backend, self.engines[0])
        for engine in self.engines:
            engine.answer_ms.add(16_000.0)
        refused = self._admit()
        self.assertIsNone(refused.backend)
        self.assertGreater(refused.wait_ms, 2_500.0)

    def test_silent_engine(self):
        """A request is sent to an engine that seems down, to find out whether it is."""
        self._report_queues(
            N_QUEUED_WHEN_DOWN,
            N_QUEUED_WHEN_DOWN,
            N_QUEUED_WHEN_DOWN,
            N_QUEUED_WHEN_DOWN,
        )
        self.assertIs(self._admit().backend, self.engines[0])


class ManyAdaptersTest(unittest.TestCase):
    """More adapters of a model are in use than its engine has slots for."""

    def setUp(self):
        self.records = [
            make_record("s0", {"m0": {"a1", "a2", "a3"}}),
            make_record("s1", {}),
        ]
        self.used_ms = {("m0", f"a{number}"): NOW_MS - 100.0 for number in range(1, 9)}

    def _choose_copy(self):
        demand = {"m0": ModelDemand(0.1, 0.5, 1.0)}
        return choose_copy(self.records, MODELS, demand, NOW_MS, self.used_ms)

    def test_copy_offers_slots(self):
        """If adapters have no slot, another engine loads the model."""
        spec, step = self._choose_copy()
        self.assertEqual((spec.name, step.record.server.server_id), ("m0", "s1"))

    def test_all_adapters_have_slots(self):
        """Adapters that are loaded lead to no copy."""
        self.used_ms = {("m0", f"a{number}"): NOW_MS - 100.0 for number in range(1, 4)}
        self.assertIsNone(self._choose_copy())

    def test_no_idle_slots(self):
        """An engine whose slots are all in use gains nothing by a copy."""
        self.records[1] = make_record("s1", {"m1": {"a1", "a2", "a3"}})
        self.used_ms |= {("m1", f"a{number}"): NOW_MS - 100.0 for number in range(1, 4)}
        self.assertIsNone(self._choose_copy())

    def test_requested_long_ago(self):
        """Adapters that are no longer requested lead to no copy."""
        self.used_ms = dict.fromkeys(self.used_ms, NOW_MS - 3000.0)
        self.assertIsNone(self._choose_copy())


class FullMemoryTest(unittest.TestCase):
    """Long prompts fill an engine's memory for tokens before its batch."""

    def test_full_memory(self):
        """An engine with few requests but no memory for their tokens gets none."""
        engines = make_backends(n_slots=48)
        context = RoutingContext("k", 0x1234567, "zone-1", n_shared_tokens=6_300)
        for engine in engines:
            engine.record_load_report(LoadReport(20, 0, 0.0, 48, 0.5), NOW_MS)
        preferred = SampledCost().choose(engines, context, create_rng(), NOW_MS)
        preferred.record_load_report(LoadReport(12, 0, 0.0, 48, 0.98), NOW_MS)
        for _ in range(10):
            other = SampledCost().choose(engines, context, create_rng(), NOW_MS)
            self.assertIsNot(other, preferred)

    def test_answers_do_not_change_memory(self):
        """The load in an answer does not change the known memory use."""
        engine = make_backends()[0]
        engine.record_load_report(LoadReport(12, 0, 0.0, 48, 0.98), NOW_MS)
        engine.record_answer(LoadReport(10, 0, 0.0, 48), NOW_MS + 5.0)
        self.assertEqual(engine.kv_share, 0.98)
