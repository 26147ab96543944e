"""Load patterns seen on heavy days, and the decisions that answer them.

No network: each test feeds a deciding function what it would see under the
pattern that its class is named for.
"""

import unittest
from collections import Counter

from cowslipwood.entry.choosing._backend import Backend, LoadReport
from cowslipwood.entry.direct._admission import decide_admission
from cowslipwood.entry.direct._entry import compute_serving_ms
from cowslipwood.entry.direct._headers import RequestFacts
from cowslipwood.entry.direct._request import estimate_tokens_to_read
from cowslipwood.entry.direct._retries import (
    LiveEntryCount,
    RetryBudget,
    RetryBudgetLimits,
)
from cowslipwood.entry.routing import RoutingContext
from cowslipwood.entry.routing.least_cost import LeastCost
from cowslipwood.entry.routing.sampled_cost import SampledCost
from cowslipwood.keeper.engines._adapters import adapter_step, spread_step
from cowslipwood.keeper.engines._copies import copy_step
from cowslipwood.keeper.engines._decide import (
    NO_DEMAND,
    ModelDemand,
    missing_step,
)
from cowslipwood.keeper.engines._demand import DemandView
from cowslipwood.keeper.engines._store import LoadNeed, StoreBudget
from cowslipwood.kernel.messages import LOST_QUEUE, DemandSample, EntryReport
from cowslipwood.listing import to_server_view
from cowslipwood.routes import RouteKind

from .direct_builders import build_request as routed
from .direct_builders import build_route, create_rng, listed
from .engine_builders import MODELS, SPEC, record

NOW_MS = 60_000.0
N_SERVERS = 4


def backends(
    n_slots: int = 64,
    zones: tuple[str, ...] = ("zone-1",),
    n_servers: int = N_SERVERS,
) -> list[Backend]:
    """Return idle servers, in turn in the zones."""
    views = [
        to_server_view(
            listed(f"s{i}", f"127.0.0.1:{i + 1}", n_slots=n_slots)._replace(
                zone=zones[i % len(zones)]
            ),
            ("k",),
        )
        for i in range(n_servers)
    ]
    return [Backend(view, NOW_MS) for view in views]


def choose(servers: list[Backend], **changes) -> Backend | None:
    """Return the policy's choice."""
    context = RoutingContext("k", zone="zone-1")._replace(**changes)
    return LeastCost().choose(servers, context, create_rng(), NOW_MS)


def demand_report(entry_id: str, **waiting: float) -> EntryReport:
    """Return an entry's report of requests that wait for models."""
    samples = tuple(
        DemandSample(f"llm|{name}", value, value, 0.0, value)
        for name, value in waiting.items()
    )
    return EntryReport(entry_id, "i", "zone-1", "127.0.0.1:1", False, 1, samples)


class LongPromptsTest(unittest.TestCase):
    """Long prompts that share their first parts."""

    def test_shared_parts_stay_on_one_server(self):
        """Requests with the same parts go to one server while its queue is short."""
        servers = backends()
        chosen = {
            choose(servers, prefix_hash=99, n_shared_tokens=6_300).view.server_id
            for _ in range(20)
        }
        self.assertEqual(len(chosen), 1)

    def test_queue_outweighs_kept_parts(self):
        """A queue longer than the parts would take to read sends it elsewhere."""
        servers = backends()
        first = choose(servers, prefix_hash=99, n_shared_tokens=6_300)
        first.n_pending_tokens = 60_000
        second = choose(servers, prefix_hash=99, n_shared_tokens=6_300)
        self.assertIsNot(first, second)

    def test_second_request_stays_with_the_parts(self):
        """One request under way does not send the next of its parts elsewhere."""
        servers = backends()
        first = choose(servers, prefix_hash=99, n_shared_tokens=6_300)
        facts = RequestFacts("q1", None, n_prompt_tokens=9_190, n_shared_tokens=6_300)
        with (
            first.pending(estimate_tokens_to_read(facts), 5, NOW_MS),
            first.in_flight(),
        ):
            second = choose(servers, prefix_hash=99, n_shared_tokens=6_300)
        self.assertIs(first, second)

    def test_full_batch_outweighs_kept_parts(self):
        """Many running streams send it elsewhere though nothing waits."""
        servers = backends()
        first = choose(servers, prefix_hash=99, n_shared_tokens=6_300)
        first.reported(LoadReport(40, 0, 0.0, 64), NOW_MS)
        second = choose(servers, prefix_hash=99, n_shared_tokens=6_300)
        self.assertIsNot(first, second)

    def test_parts_are_kept_in_each_zone(self):
        """Long prompts stay in the zone, also when another holds their parts."""
        servers = backends(zones=("zone-1", "zone-2"))
        for prefix_hash in range(1, 40):
            chosen = choose(
                servers,
                prefix_hash=prefix_hash,
                n_shared_tokens=6_300,
                n_bytes=18_000,
            )
            self.assertEqual(chosen.view.zone, "zone-1")

    def test_queue_outweighs_the_zone(self):
        """A prompt leaves the zone when it would wait there."""
        servers = backends(zones=("zone-1", "zone-2"))
        for server in servers:
            if server.view.zone == "zone-1":
                server.n_pending_tokens = 30_000
        chosen = choose(servers, prefix_hash=5, n_shared_tokens=6_300, n_bytes=18_000)
        self.assertEqual(chosen.view.zone, "zone-2")


class BurstTest(unittest.TestCase):
    """Many requests within a report's age."""

    def test_own_requests_spread(self):
        """One entry's burst spreads over servers that all look idle."""
        servers = backends()
        counts: Counter[str] = Counter()
        for _ in range(40):
            chosen = choose(servers)
            chosen.n_in_flight += 1
            chosen.n_pending_tokens += 800
            counts[chosen.view.server_id] += 1
        self.assertEqual(sorted(counts.values()), [10] * N_SERVERS)

    def test_reported_queue(self):
        """A server with a reported queue gets nothing while others are idle."""
        servers = backends()
        servers[0].reported(LoadReport(8, 12, 0.0, 64), NOW_MS)
        chosen = {
            choose(servers, n_shared_tokens=100).view.server_id for _ in range(20)
        }
        self.assertNotIn("s0", chosen)


class FailingServiceTest(unittest.TestCase):
    """All servers of a service fail a part of their requests."""

    def test_load_stays_spread(self):
        """With every server ejected, requests still go to all of them."""
        servers = backends(n_slots=6)
        for server in servers:
            for _ in range(10):
                server.health.failed(NOW_MS - 10)
        counts: Counter[str] = Counter()
        for _ in range(20):
            chosen = choose(servers)
            chosen.n_in_flight += 1
            counts[chosen.view.server_id] += 1
        self.assertEqual(sorted(counts.values()), [5] * N_SERVERS)


class DistanceTest(unittest.TestCase):
    """Idle servers in several availability zones."""

    def test_own_zone_first(self):
        """An idle server of the own zone goes before idle ones elsewhere."""
        servers = backends(zones=("zone-2", "zone-1"))
        self.assertEqual(choose(servers).view.zone, "zone-1")

    def test_load_outweighs_distance(self):
        """A queue in the own zone sends requests to the next one."""
        servers = backends(zones=("zone-2", "zone-1"))
        for server in servers:
            if server.view.zone == "zone-1":
                server.n_pending_tokens = 9_000
        self.assertEqual(choose(servers).view.zone, "zone-2")


class ShiftingDemandTest(unittest.TestCase):
    """Demand moves to a model that one engine holds."""

    def test_copy_follows_within_seconds(self):
        """Waits at the only holder lead to a second copy within two seconds."""
        view = DemandView()
        records = [
            record("s0", {"m0": set(), "m1": set()}),
            record("s1", {"m2": set(), "m3": set()}),
        ]
        for step in range(40):
            now_ms = NOW_MS + step * 50
            view.take_report(demand_report("e1", m0=6.0), now_ms)
            view.update({}, 50.0, now_ms)
            if copy_step(records, MODELS, view.by_model, now_ms) is not None:
                break
        self.assertLess(step, 39)

    def test_new_leader_knows_traffic_at_once(self):
        """The first reports to a new leader count fully, not after a second."""
        view = DemandView()
        view.take_report(demand_report("e1", m0=6.0), NOW_MS)
        view.begin()
        view.update({}, 50.0, NOW_MS + 50.0, is_new=True)
        self.assertEqual(view.by_model["m0"].in_flight, 6.0)
        self.assertLess(view.by_model["m0"].waiting, 1.0)

    def test_pause_keeps_copies(self):
        """A pause of a second in the demand does not cost a copy its worth."""
        view = DemandView()
        for step in range(100):
            view.take_report(demand_report("e1", m0=6.0), NOW_MS + step * 50)
            view.update({}, 50.0, NOW_MS + step * 50)
        before = view.by_model["m0"].waiting
        for step in range(100, 120):
            view.take_report(demand_report("e1"), NOW_MS + step * 50)
            view.update({}, 50.0, NOW_MS + step * 50)
        self.assertGreater(view.by_model["m0"].waiting, 0.7 * before)


class RareModelsTest(unittest.TestCase):
    """Rare models are asked for at once while a busy one needs its copies."""

    def test_spare_copies_go_first(self):
        """A rare model displaces a spare copy without waits, not another rare one."""
        records = [
            record("s0", {"m0": set(), "m1": set()}),
            record("s1", {"m0": set(), "m2": set()}),
        ]
        demand = {
            "m0": ModelDemand(waiting=0.1, recent=1.0),
            "m1": ModelDemand(recent=1.0),
            "m2": ModelDemand(recent=1.0),
        }
        step = missing_step(records, MODELS[5], demand, NOW_MS)
        self.assertEqual(step.drop_model, "m0")

    def test_least_recent_goes_first(self):
        """Among single models, the one not asked for in a while makes way."""
        records = [record("s0", {"m1": set(), "m2": set()})]
        demand = {"m1": ModelDemand(recent=0.9), "m2": ModelDemand(recent=0.1)}
        step = missing_step(records, MODELS[5], demand, NOW_MS)
        self.assertEqual(step.drop_model, "m2")


class OldReportTest(unittest.TestCase):
    """Seventy entries choose by one report that is some hundred milliseconds old."""

    N_ENTRIES = 70
    N_ENGINES = 12

    def _most_chosen(self, policy, prefixes: list[int]) -> int:
        """Return how many of the entries choose the engine that most of them do."""
        rng = create_rng()
        chosen: Counter[str] = Counter()
        for entry in range(self.N_ENTRIES):
            engines = backends(n_slots=48, n_servers=self.N_ENGINES)
            for place, engine in enumerate(engines):
                engine.reported(LoadReport(20 + place % 5, 0, 0.0, 48), NOW_MS)
            engines[0].reported(LoadReport(18, 0, 0.0, 48), NOW_MS)
            prefix = prefixes[entry % len(prefixes)]
            context = RoutingContext("k", prefix, "zone-1", n_shared_tokens=6_300)
            found = policy.choose(engines, context, rng, NOW_MS)
            chosen[found.view.server_id] += 1
        return max(chosen.values())

    def test_no_prompt_parts(self):
        """The engine that looks best gets its share twice, not all requests."""
        self.assertEqual(self._most_chosen(LeastCost(), [0]), self.N_ENTRIES)
        most = 3 * self.N_ENTRIES / self.N_ENGINES
        self.assertLess(self._most_chosen(SampledCost(), [0]), most)

    def test_prompt_parts_keep_a_home(self):
        """Requests of one prompt go to one engine from every zone."""
        self.assertEqual(
            self._most_chosen(SampledCost(), [0x9E3779B97F4A7C15]), self.N_ENTRIES
        )

    def test_busy_home(self):
        """A home where many wait leaves its prompt to others."""
        engines = backends(n_slots=48)
        context = RoutingContext("k", 0x1234567, "zone-1", n_shared_tokens=6_300)
        home = SampledCost().choose(engines, context, create_rng(), NOW_MS)
        home.reported(LoadReport(40, 8, 0.0, 48), NOW_MS)
        other = SampledCost().choose(engines, context, create_rng(), NOW_MS)
        self.assertIsNot(other, home)


class SlowEngineTest(unittest.TestCase):
    """One engine pauses its streams at a load that the others carry."""

    CONTEXT = RoutingContext("k", zone="zone-1")

    def test_gets_less(self):
        """With as many requests as the others, it is passed over."""
        slow, *others = engines = backends(n_slots=48)
        for engine in engines:
            engine.answered(LoadReport(12, 0, 0.0, 48), NOW_MS)
            for _ in range(20):
                engine.streamed(engine is slow, NOW_MS)
        rng = create_rng()
        for _ in range(50):
            chosen = SampledCost().choose(engines, self.CONTEXT, rng, NOW_MS)
            self.assertIn(chosen, others)

    def test_not_starved(self):
        """It still gets requests where it has far fewer, and once that was long ago."""
        slow, *others = engines = backends(n_slots=48, n_servers=2)
        for _ in range(20):
            slow.streamed(True, NOW_MS)
        for engine in others:
            engine.answered(LoadReport(30, 0, 0.0, 48), NOW_MS)
        chosen = SampledCost().choose(engines, self.CONTEXT, create_rng(), NOW_MS)
        self.assertIs(chosen, slow)
        self.assertLess(slow.late_share(NOW_MS + 10_000.0), 0.05)


class RepeatingCallersTest(unittest.TestCase):
    """Callers repeat at once and often while servers fail."""

    def test_window_bound(self):
        """Within any window all entries together keep to the service's budget."""
        terms = RetryBudgetLimits(0.2, 64.0, 10_000.0)
        budgets = [RetryBudget(terms) for _ in range(8)]
        taken: list[float] = []
        for step in range(4_000):
            now_ms = step * 10.0
            budget = budgets[step % 8]
            if step % 4 == 0:
                budget.count_request(now_ms)
            if budget.spend_retry(8, now_ms):
                taken.append(now_ms)
        for start_ms in range(0, 30_000, 500):
            n_repeats = sum(start_ms <= at < start_ms + 10_000 for at in taken)
            self.assertLessEqual(n_repeats, 0.2 * 250 + 64)

    def test_busy_window_bound(self):
        """Repeats that come all at once keep to the requests of one window."""
        terms = RetryBudgetLimits(0.2, 64.0, 10_000.0)
        budgets = [RetryBudget(terms) for _ in range(8)]
        taken: list[float] = []
        n_per_window = 2_000
        for step in range(3 * n_per_window):
            now_ms = step * 10_000.0 / n_per_window
            budgets[step % 8].count_request(now_ms)
            if now_ms < 15_000.0:
                continue
            while budgets[step % 8].spend_retry(8, now_ms):
                taken.append(now_ms)
        for start_ms in range(0, 20_000, 250):
            n_repeats = sum(start_ms <= at < start_ms + 10_000 for at in taken)
            self.assertLessEqual(n_repeats, 0.2 * n_per_window + 64)

    def test_new_leader_counts_few(self):
        """A leader that has heard from few entries does not raise their parts."""
        count = LiveEntryCount(10_000.0)
        count.update(8, 0.0)
        count.update(1, 500.0)
        self.assertEqual(count.n_entries, 8)
        count.update(3, 10_600.0)
        self.assertEqual(count.n_entries, 3)

    def test_calm_service_may_repeat(self):
        """A service with few requests may still repeat some."""
        budget = RetryBudget(RetryBudgetLimits(0.2, 64.0, 10_000.0))
        self.assertTrue(budget.spend_retry(8, 0.0))


class PlannedStopTest(unittest.TestCase):
    """Entries are stopped in turn while long streams run."""

    def test_room_for_long_streams(self):
        """A request is taken only while most of the grace is left to finish it."""
        self.assertLessEqual(compute_serving_ms(3_000.0, 8_000.0), 2_400.0)
        self.assertEqual(compute_serving_ms(300.0, 8_000.0), 300.0)


class CrowdedAdapterTest(unittest.TestCase):
    """Many requests for adapters of which one engine holds most."""

    def setUp(self):
        self.crowded = record("s1", {"m0": {"a1", "a2"}})
        self.calm = record("s2", {"m0": set()})
        self.crowded.n_running = 20
        self.wanted = {("m0", "a1"): 9.0, ("m0", "a2"): 0.1}

    def _spread(self, used_ms: dict | None = None):
        used_ms = used_ms or {}
        records = [self.crowded, self.calm]
        return spread_step(records, MODELS, self.wanted, used_ms, NOW_MS)

    def test_new_adapter_goes_where_little_runs(self):
        """Fewer adapters do not make up for a long queue."""
        self.crowded.held["m0"].clear()
        self.calm.held["m0"].add("a3")
        step = adapter_step([self.crowded, self.calm], MODELS[0], {}, NOW_MS)
        self.assertIs(step.record, self.calm)

    def test_busy_adapter_is_copied(self):
        """The adapter asked for most goes to the engine with less to do."""
        spec, adapter, step = self._spread()
        self.assertEqual((spec.name, adapter), ("m0", "a1"))
        self.assertIs(step.record, self.calm)

    def test_no_copy_without_a_gap(self):
        """Engines about as busy as each other keep what they have."""
        self.calm.n_running = 18
        self.assertIsNone(self._spread())

    def test_copy_displaces_nothing_in_use(self):
        """A full engine takes a copy only for an adapter long unused."""
        self.calm.held["m0"] = {"a7", "a8", "a9"}
        used_ms = {("m0", name): NOW_MS - 1_000.0 for name in ("a7", "a8", "a9")}
        self.assertIsNone(self._spread(used_ms))
        used_ms["m0", "a8"] = 0.0
        _, _, step = self._spread(used_ms)
        self.assertEqual(step.drop_adapter, ("m0", "a8"))

    def test_copies_make_way_first(self):
        """An adapter that another engine holds goes before a sole one."""
        self.calm.held["m0"] = {"a1", "a8", "a9"}
        self.crowded.held["m0"] = {"a1", "a2", "a3"}
        used_ms = {("m0", "a1"): NOW_MS - 1_000.0}
        step = adapter_step([self.calm, self.crowded], MODELS[0], used_ms, NOW_MS)
        self.assertEqual(step.drop_adapter, ("m0", "a1"))


class SoleCopyTest(unittest.TestCase):
    """A model with much traffic on one engine, which may be lost at any moment."""

    def _copy(self, in_flight: float, held: dict | None = None):
        records = [record("s0", {"m0": set()}), record("s1", held or {"m1": set()})]
        demand = {"m0": ModelDemand(in_flight=in_flight)}
        return copy_step(records, MODELS, demand, NOW_MS)

    def test_busy_model_gets_a_second_copy(self):
        """Nothing waits yet, but all of its callers hang on one engine."""
        spec, step = self._copy(20.0)
        self.assertEqual((spec.name, step.record.server.server_id), ("m0", "s1"))

    def test_quiet_model_does_not(self):
        """A few requests at once are not worth a load."""
        self.assertIsNone(self._copy(0.1))

    def test_second_copy_stays(self):
        """The copy that guards a busy model is not what makes way."""
        held = record("s0", {"m0": set(), "m1": set()})
        other = record("s1", {"m0": set()})
        other.is_busy, other.busy_until_ms = True, NOW_MS + 20_000.0
        demand = {"m0": ModelDemand(in_flight=20.0), "m1": ModelDemand(recent=1.0)}
        step = missing_step([held, other], MODELS[5], demand, NOW_MS)
        self.assertEqual(step.drop_model, "m1")


class LostHolderTest(unittest.TestCase):
    """The only engine of a model with much traffic is lost."""

    def _demand(self, in_flight: float) -> DemandView:
        view = DemandView()
        sample = DemandSample("llm|m0", in_flight, in_flight, 0.0, 0.0)
        for step in range(20):
            now_ms = NOW_MS + step * 50
            view.take_report(
                demand_report("e1", m0=0.0)._replace(demand=(sample,)), now_ms
            )
            view.update({}, 50.0, now_ms, unserved=("m0",))
        return view

    def _copy(self, in_flight: float):
        loading = record("s0", {"m0": set()})
        loading.is_busy, loading.loading = True, "m0"
        in_use = record("s1", {"m1": set(), "m2": set()})
        in_use.n_running = 10
        demand = self._demand(in_flight).by_model
        demand["m1"] = demand["m2"] = ModelDemand(in_flight=2.0)
        return copy_step([loading, in_use], MODELS, demand, NOW_MS)

    def test_second_load_does_not_wait_for_the_first(self):
        """Callers held up for it would fill one engine as soon as that has it."""
        spec, step = self._copy(30.0)
        self.assertEqual((spec.name, step.record.server.server_id), ("m0", "s1"))

    def test_few_callers_need_one_engine(self):
        """A rare model is loaded once, though its few callers wait for the load."""
        self.assertIsNone(self._copy(2.0))

    def test_copies_leave_it_a_load(self):
        """Copies of other models leave the store a load for the missing one."""
        spec = SPEC._replace(
            loads_per_s=2.0, models=(MODELS[0]._replace(load_time_s=2.0),)
        )
        budget = StoreBudget(5_000.0)
        while budget.allows(spec, LoadNeed.COPY, NOW_MS):
            budget.take(2_000.0, NOW_MS)
        self.assertTrue(budget.allows(spec, LoadNeed.MISSING, NOW_MS))

    def test_copies_leave_it_its_engine(self):
        """A copy takes no engine that the missing model awaits."""
        records = [record("s0", {"m1": set()}), record("s1", {"m2": set()})]
        demand = {"m1": ModelDemand(8.0, 8.0, 1.0)}
        self.assertIsNotNone(copy_step(records, MODELS, demand, NOW_MS))
        records[1].await_for("m0", 11.0, NOW_MS)
        self.assertIsNone(copy_step(records, MODELS, demand, NOW_MS))

    def test_demand_that_went_elsewhere(self):
        """A model that was dropped when its demand ended holds up no copies."""
        records = [record("s0", {"m1": set()}), record("s1", {"m2": set()})]
        demand = {"m1": ModelDemand(8.0, 8.0, 1.0), "m0": ModelDemand(in_flight=8.0)}
        self.assertIsNotNone(copy_step(records, MODELS, demand, NOW_MS))


class RareModelTest(unittest.TestCase):
    """A rare model is asked for while engines are busy with others' loads."""

    def test_waits_for_an_engine_with_room(self):
        """A load under way is waited for before a busy copy is displaced."""
        in_use = record("s0", {"m0": set(), "m1": set()})
        in_use.n_running = 18
        loading = record("s1", {"m2": set()})
        loading.is_busy, loading.loading = True, "m2"
        loading.busy_until_ms = NOW_MS + 500.0
        demand = {name: ModelDemand(in_flight=9.0) for name in ("m0", "m1")}
        records = [in_use, loading]
        step = missing_step(records, MODELS[5], demand, NOW_MS)
        self.assertEqual((step.record, step.drop_model), (loading, ""))
        loading.is_busy, loading.loading = False, ""
        step = missing_step(records, MODELS[5], demand, NOW_MS)
        self.assertIs(step.record, loading)
        self.assertEqual(step.drop_model, "")

    def test_only_one_waits_for_an_engine(self):
        """While one model waits for a busy engine, another goes elsewhere."""
        idle = record("s0", {"m0": set(), "m1": set()})
        loading = record("s1", {"m2": set()})
        loading.is_busy, loading.loading = True, "m2"
        loading.busy_until_ms = NOW_MS + 100.0
        records = [idle, loading]
        demand = {name: ModelDemand(recent=1.0) for name in ("m0", "m1")}
        first = missing_step(records, MODELS[4], demand, NOW_MS)
        self.assertIs(first.record, loading)
        first.record.await_for("m4", first.n_callers, NOW_MS)
        second = missing_step(records, MODELS[5], demand, NOW_MS)
        self.assertIs(second.record, idle)

    def test_one_large_model_rather_than_two(self):
        """Of two ways to make room, the one that drops less is taken."""
        sizes = {"m0": 10.0, "m1": 40.0, "m2": 30.0}
        models = [
            each._replace(weights_mb=sizes.get(each.name, 30.0)) for each in MODELS
        ]
        spec = SPEC._replace(models=tuple(models))
        held = record("s0", {"m0": set(), "m1": set(), "m2": set()}, spec=spec)
        demand = {"m0": NO_DEMAND, "m1": ModelDemand(recent=0.3)}
        demand["m2"] = ModelDemand(in_flight=9.0)
        held.n_running = 9
        step = missing_step([held], spec.models[5], demand, NOW_MS)
        self.assertEqual(step.drop_model, "m1")

    def test_copies_elsewhere_count_where_room_is_made(self):
        """On the engine that was chosen, a spare copy goes before a last one."""
        chosen = record("s0", {"m0": set(), "m1": set()})
        records = [chosen, record("s1", {"m0": set()}), record("s2", {"m0": set()})]
        demand = {"m0": ModelDemand(waiting=0.1, recent=1.0)}
        demand["m1"] = ModelDemand(recent=0.1)
        step = missing_step(records, MODELS[5], demand, NOW_MS, only=chosen)
        self.assertEqual((step.record, step.drop_model), (chosen, "m0"))

    def test_does_not_wait_for_long(self):
        """An idle model makes way at once where the other load takes seconds."""
        idle = record("s0", {"m0": set(), "m1": set()})
        loading = record("s1", {"m2": set()})
        loading.is_busy, loading.loading = True, "m2"
        loading.busy_until_ms = NOW_MS + 5_000.0
        step = missing_step([idle, loading], MODELS[5], {}, NOW_MS)
        self.assertIs(step.record, idle)


class StoreRushTest(unittest.TestCase):
    """Many rare models are asked for at once while a busy one has to be loaded."""

    def setUp(self):
        self.spec = SPEC._replace(
            loads_per_s=1.0, models=(MODELS[0]._replace(load_time_s=2.0),)
        )
        self.budget = StoreBudget(5_000.0)

    def test_place_for_the_busy_model(self):
        """Rare models leave one of the loads at once to it."""
        self.budget.take(2_000.0, NOW_MS)
        self.assertFalse(self.budget.allows(self.spec, LoadNeed.RARE, NOW_MS))
        self.assertTrue(self.budget.allows(self.spec, LoadNeed.MISSING, NOW_MS))

    def test_half_of_many_loads(self):
        """Of many loads at once, rare models leave half to copies and busy ones."""
        spec = self.spec._replace(loads_per_s=8.0)
        n_taken = 0
        while self.budget.allows(spec, LoadNeed.RARE, NOW_MS):
            self.budget.take(2_000.0, NOW_MS)
            n_taken += 1
        self.assertEqual(n_taken, 8)
        self.assertTrue(self.budget.allows(spec, LoadNeed.COPY, NOW_MS))

    def test_next_load_follows_at_once(self):
        """The store is free when a load's time is over, not when that is reported."""
        self.budget.take(2_000.0, NOW_MS)
        need = LoadNeed.RARE
        self.assertFalse(self.budget.allows(self.spec, need, NOW_MS + 1_999.0))
        self.assertTrue(self.budget.allows(self.spec, need, NOW_MS + 2_000.0))

    def test_rate(self):
        """No window holds more loads than the store allows."""
        for number in range(5):
            now_ms = NOW_MS + number * 100
            self.assertTrue(self.budget.allows(self.spec, LoadNeed.MISSING, now_ms))
            self.budget.take(50.0, now_ms)
        self.assertFalse(
            self.budget.allows(self.spec, LoadNeed.MISSING, NOW_MS + 5_000.0)
        )
        self.assertTrue(
            self.budget.allows(self.spec, LoadNeed.MISSING, NOW_MS + 5_001.0)
        )


class MovedDemandTest(unittest.TestCase):
    """Half of all requests move at once to a model that one engine or none has."""

    def setUp(self):
        big = tuple(each._replace(load_time_s=1.7) for each in MODELS)
        self.spec = SPEC._replace(models=big, loads_per_s=8.0)

    def _records(self, *held: str) -> list:
        return [
            record(f"s{n}", {name: set()}, spec=self.spec)
            for n, name in enumerate(held)
        ]

    def test_waiting_callers_get_copies(self):
        """Fifteen requests wait at the one engine, four idle: a copy is added."""
        records = self._records("m0", "m1", "m2", "m3", "m4")
        demand = {"m0": ModelDemand(15.0, 40.0, 1.0)}
        for each in ("m1", "m2", "m3", "m4"):
            demand[each] = ModelDemand(0.0, 0.5, 1.0)
        spec, _ = copy_step(records, self.spec.models, demand, NOW_MS)
        self.assertEqual(spec.name, "m0")

    def test_engine_kept_for_a_rare_model(self):
        """Many callers take an engine that a rare model's one caller awaits."""
        records = self._records("m0", "m1")
        records[1].await_for("m5", 1.0, NOW_MS)
        demand = {"m0": ModelDemand(15.0, 40.0, 1.0)}
        found = copy_step(records, self.spec.models, demand, NOW_MS)
        self.assertIs(found[1].record, records[1])

    def test_room_made_for_a_rare_model(self):
        """Many callers take the room that is made for a rare model's one caller."""
        records = self._records("m1")
        records[0].reserve_for("m5", 1.0, NOW_MS + 1_000.0)
        demand = {"m0": ModelDemand(in_flight=30.0)}
        step = missing_step(records, self.spec.models[0], demand, NOW_MS)
        self.assertIs(step.record, records[0])
        demand = {"m0": ModelDemand(in_flight=2.0)}
        self.assertIsNone(missing_step(records, self.spec.models[0], demand, NOW_MS))

    def test_no_unload_that_waits(self):
        """Many callers do not wait for a long run where an idle model can go."""
        records = self._records("m1", "m2")
        for each in records:
            each.held["m3"] = {"a1", "a2", "a3"}
        records[0].n_running = 1
        demand = {"m0": ModelDemand(in_flight=30.0)}
        demand["m1"] = demand["m3"] = ModelDemand(in_flight=1.0)
        demand["m2"] = ModelDemand(0.5, 0.0, 1.0)
        step = missing_step(records, self.spec.models[0], demand, NOW_MS)
        self.assertIs(step.record, records[1])

    def test_awaits_the_next_engine(self):
        """While every engine carries out an order, the soonest is kept for it."""
        records = self._records("m0", "m1", "m2")
        for place, each in enumerate(records[1:]):
            each.is_busy, each.loading = True, "m5"
            each.busy_until_ms = NOW_MS + 2_000.0 - 1_500.0 * place
        demand = {"m0": ModelDemand(15.0, 40.0, 1.0)}
        _, step = copy_step(records, self.spec.models, demand, NOW_MS)
        self.assertIs(step.record, records[2])


class FullQueueTest(unittest.TestCase):
    """More streams come for a model than its engines can begin in time."""

    TOKENS = 3_000.0
    RANK = 2

    def setUp(self):
        self.engines = backends(n_slots=48)
        used = build_route(
            kind=RouteKind.STREAMING,
            target_latency_ms=800.0,
            gap_target_ms=400.0,
            timeout_ms=6_000.0,
        )
        self.request = routed(used)._replace(
            arrived_ms=NOW_MS, answer_by_ms=NOW_MS + 6_000.0
        )

    def _queue(self, *queued: int) -> None:
        for engine, n_queued in zip(self.engines, queued, strict=True):
            engine.reported(LoadReport(48, n_queued, 0.0, 48), NOW_MS)

    def _admit(self, now_ms: float = NOW_MS):
        return decide_admission(
            self.request,
            self.engines[0],
            self.engines,
            self.RANK,
            RoutingContext("k", typical_tokens=self.TOKENS),
            now_ms,
        )

    def test_short_queue(self):
        """A queue that leaves time for the target is joined."""
        self._queue(5, 0, 0, 0)
        self.assertIs(self._admit().backend, self.engines[0])

    def test_shorter_queue_elsewhere(self):
        """Where the chosen engine's queue is too long, the shortest is joined."""
        self._queue(60, 30, 2, 40)
        self.assertIs(self._admit().backend, self.engines[2])

    def test_all_are_full(self):
        """Where every queue is too long, the caller is told when to come back."""
        self._queue(60, 30, 45, 40)
        refused = self._admit()
        self.assertIsNone(refused.backend)
        self.assertEqual(refused.retry_after_ms, 3_000.0)
        self._queue(60, 20, 45, 40)
        self.assertEqual(self._admit().retry_after_ms, 2_000.0)

    def test_late_already(self):
        """One that has missed its target waits as long as its caller does."""
        self._queue(60, 20, 45, 40)
        self.request = self.request._replace(arrived_ms=NOW_MS - 900.0)
        self.assertIsNone(self._admit().backend)
        self._queue(60, 17, 45, 40)
        self.assertIs(self._admit().backend, self.engines[1])

    def test_own_requests_show_the_queue(self):
        """A request that has waited there for long shows what a report does not."""
        self._queue(0, 0, 0, 0)
        first = self.engines[0]
        with first.pending(0, self.RANK, NOW_MS - 2_000.0):
            self.assertIsNot(self._admit().backend, first)
        with first.pending(0, self.RANK + 1, NOW_MS - 2_000.0):
            self.assertIs(self._admit().backend, first)

    def test_no_place_in_time(self):
        """Short prompts queue for places, which come free as streams end."""
        self._queue(8, 8, 8, 8)
        self.TOKENS = 100.0
        self.assertIs(self._admit().backend, self.engines[0])
        for engine in self.engines:
            engine.answer_ms.add(16_000.0)
        refused = self._admit()
        self.assertIsNone(refused.backend)
        self.assertGreater(refused.wait_ms, 2_500.0)

    def test_silent_engine(self):
        """An engine that seems to be down is asked, which shows whether it is."""
        self._queue(LOST_QUEUE, LOST_QUEUE, LOST_QUEUE, LOST_QUEUE)
        self.assertIs(self._admit().backend, self.engines[0])


class ManyAdaptersTest(unittest.TestCase):
    """More adapters of a model are in use than its engine has places for."""

    def setUp(self):
        self.records = [record("s0", {"m0": {"a1", "a2", "a3"}}), record("s1", {})]
        self.used_ms = {("m0", f"a{n}"): NOW_MS - 100.0 for n in range(1, 9)}

    def _copy(self):
        demand = {"m0": ModelDemand(0.1, 0.5, 1.0)}
        return copy_step(self.records, MODELS, demand, NOW_MS, self.used_ms)

    def test_copy_gives_places(self):
        """Where adapters have no place, another engine gets the model."""
        spec, step = self._copy()
        self.assertEqual((spec.name, step.record.server.server_id), ("m0", "s1"))

    def test_all_have_places(self):
        """Adapters that are placed bring no copy."""
        self.used_ms = {("m0", f"a{n}"): NOW_MS - 100.0 for n in range(1, 4)}
        self.assertIsNone(self._copy())

    def test_no_places_there(self):
        """An engine whose places are all in use by others gains nothing."""
        self.records[1] = record("s1", {"m1": {"a1", "a2", "a3"}})
        self.used_ms |= {("m1", f"a{n}"): NOW_MS - 100.0 for n in range(1, 4)}
        self.assertIsNone(self._copy())

    def test_asked_for_long_ago(self):
        """Adapters that nobody asks for any more bring no copy."""
        self.used_ms = dict.fromkeys(self.used_ms, NOW_MS - 3000.0)
        self.assertIsNone(self._copy())


class FullMemoryTest(unittest.TestCase):
    """Long prompts fill an engine's memory for tokens before its batch."""

    def test_full_memory(self):
        """An engine with few requests and no room for their tokens is left alone."""
        engines = backends(n_slots=48)
        context = RoutingContext("k", 0x1234567, "zone-1", n_shared_tokens=6_300)
        for engine in engines:
            engine.reported(LoadReport(20, 0, 0.0, 48, 0.5), NOW_MS)
        home = SampledCost().choose(engines, context, create_rng(), NOW_MS)
        home.reported(LoadReport(12, 0, 0.0, 48, 0.98), NOW_MS)
        for _ in range(10):
            other = SampledCost().choose(engines, context, create_rng(), NOW_MS)
            self.assertIsNot(other, home)

    def test_answers_do_not_tell(self):
        """The load that comes with an answer leaves what is known of the memory."""
        engine = backends()[0]
        engine.reported(LoadReport(12, 0, 0.0, 48, 0.98), NOW_MS)
        engine.answered(LoadReport(10, 0, 0.0, 48), NOW_MS + 5.0)
        self.assertEqual(engine.kv_share, 0.98)
