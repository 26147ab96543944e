"""Load patterns of engines that many streams share, and what copies answer them.

No network: each class is named for the pattern.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cowslipwood.keeper.engines._copies import choose_copy, plan_copies
from cowslipwood.keeper.engines._demand import DemandTracker
from cowslipwood.keeper.engines._engine_record import EngineRecord
from cowslipwood.keeper.engines._expected_load import MIN_SPREAD_REQUESTS, ExpectedLoad
from cowslipwood.keeper.engines._offered_load import OfferedLoadEstimator
from cowslipwood.keeper.engines._placement import (
    ModelDemand,
    choose_load_step,
    compute_expected_load,
)
from cowslipwood.keeper.engines._plan import plan_loads
from cowslipwood.keeper.engines._store import LoadNeed, StoreBudget
from cowslipwood.kernel.messages import DemandSample
from cowslipwood.routes import EngineSpec, ModelSpec

from .engine_builders import record
from .test_load_patterns import NOW_MS, demand_report

N_SLOTS = 48
MODELS = tuple(ModelSpec(f"m{i}", 72.7, 6.4, 0.6, 1.3) for i in range(12))
SPEC = EngineSpec(N_SLOTS, 230.0, 8, 1.6, 133_911, MODELS)


def engines(*held: str) -> list[EngineRecord]:
    """Return engines that hold these models, as ``"m0 m1 m2"``."""
    return [
        record(f"s{i}", {name: set() for name in names.split()}, spec=SPEC)
        for i, names in enumerate(held)
    ]


def offered(**by_model: float) -> dict[str, ModelDemand]:
    """Return demand of requests at once that nothing makes wait yet."""
    return {
        name: ModelDemand(n_in_flight=n, recency=1.0, offered_load=n)
        for name, n in by_model.items()
    }


class TwoHotModelsOnOneEngineTest(unittest.TestCase):
    """Two models with most of the requests share their only engine."""

    HELD = ("m0 m1 m2", "m3 m4 m5", "m6 m7 m8", "m9 m10 m11")

    def test_both_get_copies_at_once(self):
        """One look decides on copies of both, on engines of their own."""
        records = engines(*self.HELD)
        demand = offered(m0=40.0, m1=40.0)
        steps = list(plan_copies(records, MODELS, demand, NOW_MS))
        self.assertEqual({spec.name for spec, _ in steps}, {"m0", "m1"})
        servers = [step.record.server.server_id for _, step in steps]
        self.assertEqual(len(servers), len(set(servers)))
        self.assertNotIn("s0", servers)

    def test_nothing_waits_yet(self):
        """Requests in flight alone lead to copies, before any of them waits."""
        found = choose_copy(engines(*self.HELD), MODELS, offered(m0=40.0), NOW_MS)
        self.assertEqual(found[0].name, "m0")

    def test_calm(self):
        """The same layout at a small load gets no copies."""
        demand = offered(m0=2.0, m1=2.0, m2=1.0)
        self.assertIsNone(choose_copy(engines(*self.HELD), MODELS, demand, NOW_MS))


class HotCopyForRareModelTest(unittest.TestCase):
    """Rare models are asked for while a hot one has copies that nothing waits for."""

    def test_needed_copy_stays(self):
        """A copy whose requests would crowd the others does not make way."""
        records = engines("m0 m1 m2", "m0 m3 m4", "m0 m5 m6")
        demand = offered(m0=90.0, **{f"m{i}": 0.2 for i in range(1, 7)})
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertNotEqual(step.unload_model, "m0")

    def test_spare_copy_goes(self):
        """A copy that its requests do not need still makes way first."""
        records = engines("m0 m1 m2", "m0 m3 m4", "m0 m5 m6")
        demand = offered(m0=1.0, **{f"m{i}": 0.9 for i in range(1, 7)})
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m0")


class RefusedCallersTest(unittest.TestCase):
    """Callers who are refused at full engines show no requests in flight."""

    def _track_offered_load(self, arrivals_per_s: float, missed_share: float) -> float:
        tracker = DemandTracker()
        sample = DemandSample("llm|m0", arrivals_per_s, 30.0, missed_share)
        for step in range(60):
            now_ms = NOW_MS + step * 50
            tracker.record_report(
                demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms)
        return tracker.get("m0").offered_load

    def test_count_as_demand(self):
        """Half refused stand for as many requests at once as half served."""
        self.assertGreater(
            self._track_offered_load(60.0, 0.5),
            1.9 * self._track_offered_load(30.0, 0.0),
        )

    def test_all_refused(self):
        """Where none is served, the arrivals alone tell."""
        tracker = DemandTracker()
        sample = DemandSample("llm|m0", 60.0, 0.0, 1.0)
        tracker.record_report(demand_report("e1")._replace(demand=(sample,)), NOW_MS)
        tracker.update({}, 50.0, NOW_MS, is_new=True)
        self.assertGreater(tracker.get("m0").offered_load, 30.0)


class LateStreamsTest(unittest.TestCase):
    """Streams pause on engines whose places are far from taken."""

    HELD = ("m0 m1 m2", "m0 m3 m4", "m5 m6 m7", "m8 m9 m10")

    def _copy(self, late_share: float):
        records = engines(*self.HELD)
        demand = offered(m0=30.0)
        expected_load = compute_expected_load(records, demand, late_share)
        steps = plan_copies(records, MODELS, demand, NOW_MS, {}, expected_load)
        return next(steps, None)

    def test_late_streams_spread(self):
        """A third of the streams late makes a copy worth its load."""
        self.assertEqual(self._copy(0.33)[0].name, "m0")

    def test_in_time(self):
        """The same batches without late streams do not."""
        self.assertIsNone(self._copy(0.0))

    def test_entries_tell(self):
        """The share is that of all entries, and outlasts a calm."""
        tracker = DemandTracker()
        sample = DemandSample("llm|m0", 20.0, 20.0, 0.0, late_share=0.4)
        for step in range(120):
            now_ms = NOW_MS + step * 50
            tracker.record_report(
                demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms)
        self.assertGreater(tracker.late_share, 0.35)
        calm = sample._replace(late_share=0.0)
        for step in range(120, 220):
            now_ms = NOW_MS + step * 50
            tracker.record_report(demand_report("e1")._replace(demand=(calm,)), now_ms)
            tracker.update({}, 50.0, now_ms)
        self.assertGreater(tracker.late_share, 0.25)


class InventedModelsTest(unittest.TestCase):
    """Callers name models that there are none of."""

    def test_forgotten(self):
        """What is no longer asked for takes no room."""
        estimator = OfferedLoadEstimator()
        samples = [DemandSample(f"llm|x{i}", 2.0, 0.0, 1.0) for i in range(50)]
        estimator.update(samples, 50.0, False)
        self.assertGreater(estimator.get_forecast("x7"), 0.0)
        for _ in range(1_000):
            estimator.update((), 50.0, False)
        self.assertEqual(len(estimator._trends), 0)


class QueuedRequestsTest(unittest.TestCase):
    """Requests queue at full engines, so that each takes longer than it needs."""

    def test_queue_is_no_demand(self):
        """Requests at once that double with their queue count about once."""
        tracker = DemandTracker()
        for step in range(100):
            now_ms = NOW_MS + step * 50
            n_at_once = 60.0 if step < 40 else 120.0
            sample = DemandSample("llm|m0", 60.0, n_at_once, 0.0)
            tracker.record_report(
                demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms, is_new=step == 0)
        self.assertLess(tracker.get("m0").offered_load, 75.0)


class MissingHotModelTest(unittest.TestCase):
    """Demand moves to a model that no engine holds, and its callers are refused."""

    def test_refused_callers_hurry_its_load(self):
        """The load goes where it is over first, over a rare model's claim."""
        records = engines("m0 m1 m2", "m0 m1 m3")
        records[1].cached = frozenset(("m9",))
        records[1].claim("m7", 2.0, NOW_MS)
        demand = {**offered(m0=10.0, m1=10.0), "m9": ModelDemand(offered_load=40.0)}
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertEqual(step.record.server.server_id, "s1")

    def test_rare_loads_leave_engines(self):
        """Rare models' loads from the store never occupy most of the engines."""
        budget = StoreBudget(5_000.0)
        n_begun = 0
        while budget.allows_load(SPEC, LoadNeed.RARE, NOW_MS, 6):
            budget.record_load(6_400.0, NOW_MS)
            n_begun += 1
        self.assertEqual(n_begun, 2)
        self.assertTrue(budget.allows_load(SPEC, LoadNeed.MISSING, NOW_MS, 6))


class RisingDemandTest(unittest.TestCase):
    """Demand moves to another model over seconds, about as long as a load takes."""

    def _after(self, n_per_s: float, n_steps: int = 30) -> ModelDemand:
        tracker = DemandTracker()
        for step in range(n_steps):
            now_ms = NOW_MS + step * 50
            n = 10.0 + n_per_s * step * 0.05
            sample = DemandSample("llm|m0", n, n, 0.0)
            tracker.record_report(
                demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms, is_new=step == 0)
        return tracker.get("m0")

    def test_load_begins_ahead(self):
        """Two seconds into a rise, what is expected is well above what is there."""
        self.assertGreater(self._after(6.0, 41).offered_load, 1.3 * 22.0)

    def test_single_callers(self):
        """Single requests of a rare model, each a rise from nothing, are none."""
        tracker = DemandTracker()
        highest = 0.0
        for step in range(200):
            now_ms = NOW_MS + step * 50
            n = 2.0 if step % 60 < 10 else 0.0
            sample = DemandSample("llm|m0", n, n, 0.0)
            tracker.record_report(
                demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms)
            highest = max(highest, tracker.get("m0").offered_load)
        self.assertLess(highest, 3.0)

    def test_steady(self):
        """Demand that does not move is what it is."""
        self.assertAlmostEqual(self._after(0.0).offered_load, 10.0, delta=0.5)


class ExpectedLoadTest(unittest.TestCase):
    """The spread of requests over engines."""

    def test_even(self):
        """Requests for two models are spread so that no engine stands out."""
        records = engines("m0", "m0 m1", "m1")
        expected_load = ExpectedLoad(records, {"m0": 30.0, "m1": 30.0})
        for engine in records:
            self.assertAlmostEqual(
                expected_load.get_n_requests(engine.server.server_id), 20.0, 0
            )

    def test_leaving_engine(self):
        """An engine that does not stay carries nothing."""
        records = engines("m0", "m0")
        records[1].server = records[1].server._replace(is_leaving=True)
        expected_load = ExpectedLoad(records, {"m0": 30.0})
        self.assertEqual(
            [expected_load.get_n_requests("s0"), expected_load.get_n_requests("s1")],
            [30.0, 0.0],
        )

    @given(
        st.lists(st.sets(st.integers(0, 5), max_size=3), min_size=1, max_size=6),
        st.lists(st.floats(0.0, 200.0), min_size=6, max_size=6),
    )
    def test_laws(self, held: list[set[int]], demand: list[float]):
        """All that is held is carried, and neither gain nor loss is below 0."""
        records = engines(
            *(" ".join(f"m{i}" for i in model_numbers) for model_numbers in held)
        )
        wanted = {f"m{i}": n for i, n in enumerate(demand)}
        expected_load = ExpectedLoad(records, wanted)
        names = {f"m{i}" for model_numbers in held for i in model_numbers}
        carried = sum(
            n
            for name, n in wanted.items()
            if name in names and n >= MIN_SPREAD_REQUESTS
        )
        levels = [
            expected_load.get_n_requests(engine.server.server_id) for engine in records
        ]
        self.assertAlmostEqual(sum(levels), carried, delta=1e-6 * (1.0 + carried))
        for engine in records:
            for name in wanted:
                server_id = engine.server.server_id
                self.assertGreaterEqual(
                    expected_load.compute_gain(name, server_id), 0.0
                )
                self.assertGreaterEqual(
                    expected_load.compute_loss(name, server_id), 0.0
                )


class PatientCallersTest(unittest.TestCase):
    """Models of callers who wait for seconds share engines with others' models."""

    PATIENT = ModelDemand(recency=1.0, target_ms=5_000.0)

    def test_patient_callers_model_goes_first(self):
        """It makes way before one whose callers nobody knows."""
        records = engines("m0 m1 m2")
        demand = {**offered(m0=20.0), "m1": self.PATIENT}
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m1")

    def test_hasty_callers_model_stays(self):
        """One whose callers want an answer sooner than a load takes stays loaded."""
        records = engines("m0 m1 m2")
        hasty = ModelDemand(recency=0.2, target_ms=250.0)
        demand = {**offered(m0=20.0), "m1": self.PATIENT, "m2": hasty}
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m1")

    def test_target_of_the_hastiest(self):
        """The least target of all that ask for a model counts."""
        tracker = DemandTracker()
        for target_ms in (5_000.0, 250.0, 5_000.0):
            sample = DemandSample("llm|m0", 1.0, 1.0, 0.0, target_ms=target_ms)
            tracker.record_report(
                demand_report("e1")._replace(demand=(sample,)), NOW_MS
            )
        tracker.update({}, 50.0, NOW_MS)
        self.assertEqual(tracker.get("m0").target_ms, 250.0)


class FreedEngineTest(unittest.TestCase):
    """An engine comes free while a hot model is crowded and rare ones wait."""

    HELD = ("m0 m1 m2", "m3 m4", "m0 m5 m6")

    def plan(self, demand: dict[str, ModelDemand], *missing: str) -> dict[str, str]:
        """Return the engine that each model's step goes to."""
        records = engines(*self.HELD)
        for engine in records[::2]:
            engine.is_busy, engine.busy_until_ms = True, NOW_MS + 9_000.0
        steps = plan_loads(
            records,
            MODELS,
            missing,
            demand,
            compute_expected_load(records, demand),
            {},
            NOW_MS,
        )
        return {spec.name: step.record.server.server_id for spec, step in steps}

    def test_copy_before_rare_model(self):
        """The crowded model's copy gets the engine, the rare one waits."""
        demand = {
            **offered(m0=80.0),
            "m9": ModelDemand(n_in_flight=1.0, n_pending_lookups=1),
        }
        steps = self.plan(demand, "m9")
        self.assertEqual(steps.get("m0"), "s1")
        self.assertNotEqual(steps.get("m9"), "s1")

    def test_missing_hot_model_before_copy(self):
        """A missing model with more callers gets it before the copy."""
        demand = {**offered(m0=60.0), "m9": ModelDemand(offered_load=60.0)}
        self.assertEqual(self.plan(demand, "m9").get("m9"), "s1")

    def test_calm(self):
        """Where no copy gains, the rare model gets it."""
        demand = {
            **offered(m0=4.0),
            "m9": ModelDemand(n_in_flight=1.0, n_pending_lookups=1),
        }
        self.assertEqual(self.plan(demand, "m9"), {"m9": "s1"})


class FullBatchTest(unittest.TestCase):
    """All places of an engine are taken, so its least urgent runs do not end."""

    def test_no_unload_that_hangs(self):
        """Room is made where the model's runs end soon."""
        full, calm = records = engines("m0 m1 m2", "m3 m4 m5")
        full.n_running, full.n_queued, calm.n_running = N_SLOTS, 9, 9
        demand = offered(m0=30.0, m3=30.0, m1=1.0, m2=1.0, m4=1.5, m5=1.5)
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertIs(step.record, calm)


class NewLeaderTest(unittest.TestCase):
    """A leader was just elected and rare models are asked for."""

    HELD = ("m0 m1 m2", "m0 m3 m4")

    def test_nothing_makes_way(self):
        """Before the entries have reported, no model makes way for another."""
        records = engines(*self.HELD)
        for may_unload, n_steps in ((False, 0), (True, 1)):
            steps = plan_loads(
                records,
                MODELS,
                ("m9",),
                {},
                compute_expected_load(records, {}),
                {},
                NOW_MS,
                may_unload,
            )
            self.assertEqual(len(steps), n_steps)

    def test_room_is_used(self):
        """What needs no room is loaded all the same."""
        records = engines("m0 m1 m2", "m3")
        expected_load = compute_expected_load(records, {})
        steps = plan_loads(
            records, MODELS, ("m9",), {}, expected_load, {}, NOW_MS, False
        )
        self.assertEqual(steps[0][1].record.server.server_id, "s1")

    def test_copies_are_expected_in_use(self):
        """What the layout lets expect counts from the first step on."""
        tracker = DemandTracker()
        tracker.update({"m0": 6.0}, 50.0, NOW_MS, is_new=True)
        self.assertEqual(tracker.get("m0").n_waiting, 6.0)


class MissingHotModelCopiesTest(unittest.TestCase):
    """A model that no engine holds is asked for by more than one engine carries."""

    def test_copies_beside_the_first_load(self):
        """Its first load and its copies begin in one round."""
        records = engines("m1 m2", "m3 m4", "m5 m6")
        demand = offered(m0=60.0)
        expected_load = compute_expected_load(records, demand)
        steps = plan_loads(records, MODELS, ("m0",), demand, expected_load, {}, NOW_MS)
        self.assertGreaterEqual([spec.name for spec, _ in steps].count("m0"), 2)
