"""Placement under load patterns of engines that many streams share.

No network: each class is named after a load pattern.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cowslipwood.keeper.engines._copies import choose_copy, plan_copies
from cowslipwood.keeper.engines._demand import MAX_ADAPTERS_KEPT, DemandTracker
from cowslipwood.keeper.engines._engine_record import EngineRecord
from cowslipwood.keeper.engines._expected_load import (
    MIN_SPREAD_REQUESTS,
    ExpectedLoad,
    _Holder,
    _Spread,
)
from cowslipwood.keeper.engines._offered_load import OfferedLoadEstimator
from cowslipwood.keeper.engines._placement import (
    LAST_COPY_VALUE_REQUESTS,
    ModelDemand,
    choose_load_step,
    compute_expected_load,
    count_copies,
)
from cowslipwood.keeper.engines._plan import plan_loads
from cowslipwood.keeper.engines._step import skip_pauses
from cowslipwood.keeper.engines._store import LoadNeed, StoreBudget
from cowslipwood.kernel.messages import DemandSample
from cowslipwood.routes import EngineSpec, ModelSpec

from .engine_builders import make_record
from .test_load_patterns import NOW_MS, make_demand_report

N_SLOTS = 48
MODELS = tuple(ModelSpec(f"m{number}", 72.7, 6.4, 0.6, 1.3) for number in range(12))
SPEC = EngineSpec(N_SLOTS, 230.0, 8, 1.6, 133_911, MODELS)


def make_records(*held: str) -> list[EngineRecord]:
    """Return records of engines that hold these models, given as ``"m0 m1 m2"``."""
    return [
        make_record(f"s{number}", {name: set() for name in names.split()}, spec=SPEC)
        for number, names in enumerate(held)
    ]


def make_offered_demand(**by_model: float) -> dict[str, ModelDemand]:
    """Return demand of concurrent requests of which none waits yet."""
    return {
        name: ModelDemand(n_in_flight=n, recency=1.0, offered_load=n)
        for name, n in by_model.items()
    }


class TwoPopularModelsOnOneEngineTest(unittest.TestCase):
    """Two models with most of the requests share their only engine."""

    HELD = ("m0 m1 m2", "m3 m4 m5", "m6 m7 m8", "m9 m10 m11")

    def test_both_get_copies_in_one_round(self):
        """One round plans copies of both models, on engines of their own."""
        records = make_records(*self.HELD)
        demand = make_offered_demand(m0=40.0, m1=40.0)
        steps = list(skip_pauses(plan_copies(records, MODELS, demand, NOW_MS)))
        self.assertEqual({spec.name for spec, _ in steps}, {"m0", "m1"})
        servers = [step.record.server.server_id for _, step in steps]
        self.assertEqual(len(servers), len(set(servers)))
        self.assertNotIn("s0", servers)

    def test_copy_before_requests_wait(self):
        """Requests in flight lead to a copy before any of them waits."""
        found = choose_copy(
            make_records(*self.HELD), MODELS, make_offered_demand(m0=40.0), NOW_MS
        )
        self.assertEqual(found[0].name, "m0")

    def test_low_load(self):
        """The same layout under a low load leads to no copy."""
        demand = make_offered_demand(m0=2.0, m1=2.0, m2=1.0)
        self.assertIsNone(choose_copy(make_records(*self.HELD), MODELS, demand, NOW_MS))


class PopularCopyForRareModelTest(unittest.TestCase):
    """Rare models are requested while copies of a popular model have no queues."""

    def test_needed_copy_is_kept(self):
        """A copy is kept if its requests would overload the other copies."""
        records = make_records("m0 m1 m2", "m0 m3 m4", "m0 m5 m6")
        demand = make_offered_demand(
            m0=90.0, **{f"m{number}": 0.2 for number in range(1, 7)}
        )
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertNotEqual(step.unload_model, "m0")

    def test_spare_copy_is_unloaded(self):
        """A copy that its model's requests do not need is unloaded first."""
        records = make_records("m0 m1 m2", "m0 m3 m4", "m0 m5 m6")
        demand = make_offered_demand(
            m0=1.0, **{f"m{number}": 0.9 for number in range(1, 7)}
        )
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m0")


class RefusedCallersTest(unittest.TestCase):
    """Callers that are refused at full engines do not count as requests in flight."""

    def _track_offered_load(self, arrivals_per_s: float, missed_share: float) -> float:
        tracker = DemandTracker()
        sample = DemandSample("llm|m0", arrivals_per_s, 30.0, missed_share)
        for step in range(60):
            now_ms = NOW_MS + step * 50
            tracker.record_report(
                make_demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms)
        return tracker.get("m0").offered_load

    def test_count_as_demand(self):
        """With half of them refused, twice the arrivals mean twice the demand."""
        self.assertGreater(
            self._track_offered_load(60.0, 0.5),
            1.9 * self._track_offered_load(30.0, 0.0),
        )

    def test_all_refused(self):
        """If no request is served, the arrivals alone show the demand."""
        tracker = DemandTracker()
        sample = DemandSample("llm|m0", 60.0, 0.0, 1.0)
        tracker.record_report(
            make_demand_report("e1")._replace(demand=(sample,)), NOW_MS
        )
        tracker.update({}, 50.0, NOW_MS, is_new=True)
        self.assertGreater(tracker.get("m0").offered_load, 30.0)


class LateStreamsTest(unittest.TestCase):
    """Streams pause on engines with many free batch slots."""

    HELD = ("m0 m1 m2", "m0 m3 m4", "m5 m6 m7", "m8 m9 m10")

    def _choose_copy(self, late_share: float):
        records = make_records(*self.HELD)
        demand = make_offered_demand(m0=30.0)
        expected_load = compute_expected_load(records, demand, late_share)
        steps = plan_copies(records, MODELS, demand, NOW_MS, {}, expected_load)
        return next(skip_pauses(steps), None)

    def test_late_streams_lead_to_copy(self):
        """A copy is worth its load if a third of the streams are late."""
        self.assertEqual(self._choose_copy(0.33)[0].name, "m0")

    def test_no_late_streams(self):
        """The same load without late streams leads to no copy."""
        self.assertIsNone(self._choose_copy(0.0))

    def test_late_share_of_all_entries(self):
        """The late share covers all entries and falls slowly in a calm period."""
        tracker = DemandTracker()
        sample = DemandSample("llm|m0", 20.0, 20.0, 0.0, late_share=0.4)
        for step in range(120):
            now_ms = NOW_MS + step * 50
            tracker.record_report(
                make_demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms)
        self.assertGreater(tracker.late_share, 0.35)
        calm = sample._replace(late_share=0.0)
        for step in range(120, 220):
            now_ms = NOW_MS + step * 50
            tracker.record_report(
                make_demand_report("e1")._replace(demand=(calm,)), now_ms
            )
            tracker.update({}, 50.0, now_ms)
        self.assertGreater(tracker.late_share, 0.25)


class UnknownAdaptersTest(unittest.TestCase):
    """Callers request adapters by ever new names."""

    def test_oldest_names_are_removed(self):
        """A bounded number of names is kept, the latest ones."""
        # None was removed within 20 s, and each further use looked at all of them.
        tracker = DemandTracker()
        for number in range(3 * MAX_ADAPTERS_KEPT):
            tracker.record_use("m0", f"a{number}", NOW_MS + number / 1000)
        self.assertLessEqual(len(tracker.adapter_last_used_ms), MAX_ADAPTERS_KEPT)
        newest = f"a{3 * MAX_ADAPTERS_KEPT - 1}"
        self.assertIn(("m0", newest), tracker.adapter_last_used_ms)


class UnknownModelsTest(unittest.TestCase):
    """Callers request models that do not exist."""

    def test_unused_models_are_removed(self):
        """Models that are no longer requested take no memory."""
        estimator = OfferedLoadEstimator()
        samples = [
            DemandSample(f"llm|x{number}", 2.0, 0.0, 1.0) for number in range(50)
        ]
        estimator.update(samples, 50.0, False)
        self.assertGreater(estimator.get_forecast("x7"), 0.0)
        for _ in range(1_000):
            estimator.update((), 50.0, False)
        self.assertEqual(len(estimator._trends), 0)

    def test_unused_models_have_no_demand(self):
        """The demand of names that no document contains ends with their requests."""
        tracker = DemandTracker()
        samples = tuple(
            DemandSample(f"llm|{name}", 2.0, 1.0, 1.0, target_ms=9_000.0)
            for name in ("m0", *(f"x{number}" for number in range(50)))
        )
        tracker.record_report(make_demand_report("e1")._replace(demand=samples), NOW_MS)
        with tracker.count_pending_lookup("x7"):
            tracker.update({}, 50.0, NOW_MS, known_models={"m0"})
        self.assertGreater(tracker.get("x7").n_in_flight, 0.0)
        tracker.update({}, 50.0, NOW_MS + 10_000.0, known_models={"m0"})
        self.assertGreater(tracker.get("x7").recency, 0.0)
        for step in range(60):
            now_ms = NOW_MS + 20_000.0 + step * 1_000.0
            tracker.update({}, 1_000.0, now_ms, known_models={"m0"})
        # Fails if each round of control goes through all names ever requested.
        self.assertEqual(set(tracker.by_model), {"m0"})
        self.assertEqual(set(tracker._last_use_ms), {"m0"})
        self.assertEqual(set(tracker._target_ms), {"m0"})
        self.assertEqual(set(tracker._n_pending_lookups), set())
        self.assertEqual(tracker.get("m0").target_ms, 9_000.0)


class QueuedRequestsTest(unittest.TestCase):
    """Requests queue at full engines, so that each takes longer than at an idle one."""

    def test_queue_does_not_count_as_demand(self):
        """A queue that doubles the concurrent requests hardly raises offered load."""
        tracker = DemandTracker()
        for step in range(100):
            now_ms = NOW_MS + step * 50
            n_at_once = 60.0 if step < 40 else 120.0
            sample = DemandSample("llm|m0", 60.0, n_at_once, 0.0)
            tracker.record_report(
                make_demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms, is_new=step == 0)
        self.assertLess(tracker.get("m0").offered_load, 75.0)


class MissingPopularModelTest(unittest.TestCase):
    """Demand moves to a model that no engine holds, and its callers are refused."""

    def test_refused_callers_speed_up_load(self):
        """The load goes to the fastest engine, despite a rare model's reservation."""
        records = make_records("m0 m1 m2", "m0 m1 m3")
        records[1].cached_models = frozenset(("m9",))
        records[1].reserve_next_load("m7", 2.0, NOW_MS)
        demand = {
            **make_offered_demand(m0=10.0, m1=10.0),
            "m9": ModelDemand(offered_load=40.0),
        }
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertEqual(step.record.server.server_id, "s1")

    def test_rare_loads_leave_engines_free(self):
        """Loads of rare models from the store never occupy most of the engines."""
        budget = StoreBudget(5_000.0)
        n_begun = 0
        while budget.allows_load(SPEC, LoadNeed.RARE, NOW_MS, 6):
            budget.record_load(6_400.0, NOW_MS)
            n_begun += 1
        self.assertEqual(n_begun, 2)
        self.assertTrue(budget.allows_load(SPEC, LoadNeed.MISSING, NOW_MS, 6))


class RisingDemandTest(unittest.TestCase):
    """Demand moves to another model over seconds, about as long as a load takes."""

    def _track_rise(self, n_per_s: float, n_steps: int = 30) -> ModelDemand:
        tracker = DemandTracker()
        for step in range(n_steps):
            now_ms = NOW_MS + step * 50
            n = 10.0 + n_per_s * step * 0.05
            sample = DemandSample("llm|m0", n, n, 0.0)
            tracker.record_report(
                make_demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms, is_new=step == 0)
        return tracker.get("m0")

    def test_rise_is_forecast(self):
        """Two seconds into a rise, the offered load is well above the present load."""
        self.assertGreater(self._track_rise(6.0, 41).offered_load, 1.3 * 22.0)

    def test_single_requests_are_no_rise(self):
        """Single requests of a rare model do not count as a rise."""
        tracker = DemandTracker()
        highest = 0.0
        for step in range(200):
            now_ms = NOW_MS + step * 50
            n = 2.0 if step % 60 < 10 else 0.0
            sample = DemandSample("llm|m0", n, n, 0.0)
            tracker.record_report(
                make_demand_report("e1")._replace(demand=(sample,)), now_ms
            )
            tracker.update({}, 50.0, now_ms)
            highest = max(highest, tracker.get("m0").offered_load)
        self.assertLess(highest, 3.0)

    def test_steady_demand(self):
        """The offered load of steady demand is the present load."""
        self.assertAlmostEqual(self._track_rise(0.0).offered_load, 10.0, delta=0.5)


class ExpectedLoadTest(unittest.TestCase):
    """Distribution of requests over engines."""

    def test_even_distribution(self):
        """Requests for two models are distributed evenly over all engines."""
        records = make_records("m0", "m0 m1", "m1")
        expected_load = ExpectedLoad(records, {"m0": 30.0, "m1": 30.0})
        for engine in records:
            self.assertAlmostEqual(
                expected_load.get_n_requests(engine.server.server_id), 20.0, 0
            )

    def test_leaving_engine(self):
        """An engine that is not available carries nothing."""
        records = make_records("m0", "m0")
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
    def test_invariants(self, held: list[set[int]], demand: list[float]):
        """All requests for held models are carried; gain and loss are never below 0."""
        records = make_records(
            *(
                " ".join(f"m{number}" for number in model_numbers)
                for model_numbers in held
            )
        )
        wanted = {f"m{number}": n for number, n in enumerate(demand)}
        expected_load = ExpectedLoad(records, wanted)
        names = {f"m{number}" for model_numbers in held for number in model_numbers}
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


class SpreadTest(unittest.TestCase):
    """The cost of one engine more or less, against its definition."""

    HOLDERS = st.lists(
        st.tuples(st.floats(0.0, 60.0), st.integers(1, 48)), min_size=2, max_size=8
    )

    def _compute_cost(
        self, holders: list[tuple[float, int]], n_requests: float
    ) -> float:
        """Return the cost after filling the engines, found by bisection."""
        low, high = 0.0, 100.0 + n_requests
        for _ in range(100):
            middle = (low + high) / 2
            n_filled = sum(max(0.0, middle - load) for load, _ in holders)
            low, high = (middle, high) if n_filled < n_requests else (low, middle)
        return sum(max(load, low) ** 2 / n_slots for load, n_slots in holders)

    @given(HOLDERS, st.floats(4.0, 300.0), st.floats(0.0, 60.0))
    def test_costs(self, holders, n_requests: float, added_load: float):
        """Costs with and without an engine are those of filling the engines anew."""
        spread = _Spread(
            [_Holder("", load, n_slots) for load, n_slots in holders], n_requests
        )
        added = (added_load, 12)
        left, (removed_load, removed_slots) = holders[1:], holders[0]
        freed_cost = removed_load**2 / removed_slots
        for cost, expected_cost in (
            (spread.cost, self._compute_cost(holders, n_requests)),
            (
                spread.compute_cost_with(*added),
                self._compute_cost([*holders, added], n_requests),
            ),
            (
                spread.compute_cost_without(*holders[0]),
                self._compute_cost(left, n_requests) + freed_cost,
            ),
        ):
            self.assertAlmostEqual(cost, expected_cost, delta=1e-6 * (1 + cost))


class PatientCallersTest(unittest.TestCase):
    """Models of callers who can wait for seconds share engines with other models."""

    PATIENT = ModelDemand(recency=1.0, target_ms=5_000.0)

    def test_model_of_patient_callers_is_unloaded_first(self):
        """Such a model is unloaded before one without a known target."""
        records = make_records("m0 m1 m2")
        demand = {**make_offered_demand(m0=20.0), "m1": self.PATIENT}
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m1")

    def test_model_of_impatient_callers_is_kept(self):
        """A model is kept if its callers want an answer sooner than a load takes."""
        records = make_records("m0 m1 m2")
        impatient = ModelDemand(recency=0.2, target_ms=250.0)
        demand = {**make_offered_demand(m0=20.0), "m1": self.PATIENT, "m2": impatient}
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertEqual(step.unload_model, "m1")

    def test_lowest_target_counts(self):
        """The lowest target of all requests for a model counts."""
        tracker = DemandTracker()
        for target_ms in (5_000.0, 250.0, 5_000.0):
            sample = DemandSample("llm|m0", 1.0, 1.0, 0.0, target_ms=target_ms)
            tracker.record_report(
                make_demand_report("e1")._replace(demand=(sample,)), NOW_MS
            )
        tracker.update({}, 50.0, NOW_MS)
        self.assertEqual(tracker.get("m0").target_ms, 250.0)


class FreedEngineTest(unittest.TestCase):
    """An engine is free while a popular model is overloaded and a rare model waits."""

    HELD = ("m0 m1 m2", "m3 m4", "m0 m5 m6")

    def _plan_loads(
        self, demand: dict[str, ModelDemand], *missing: str
    ) -> dict[str, str]:
        """Return the engine of each model's step."""
        records = make_records(*self.HELD)
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
        return {
            spec.name: step.record.server.server_id for spec, step in skip_pauses(steps)
        }

    def test_copy_before_rare_model(self):
        """The copy of the overloaded model gets the engine; the rare model waits."""
        demand = {
            **make_offered_demand(m0=80.0),
            "m9": ModelDemand(n_in_flight=1.0, n_pending_lookups=1),
        }
        steps = self._plan_loads(demand, "m9")
        self.assertEqual(steps.get("m0"), "s1")
        self.assertNotEqual(steps.get("m9"), "s1")

    def test_missing_busy_model_before_copy(self):
        """A missing model with more callers gets the engine before the copy."""
        demand = {**make_offered_demand(m0=60.0), "m9": ModelDemand(offered_load=60.0)}
        self.assertEqual(self._plan_loads(demand, "m9").get("m9"), "s1")

    def test_low_load(self):
        """If no copy gains enough, the rare model gets the engine."""
        demand = {
            **make_offered_demand(m0=4.0),
            "m9": ModelDemand(n_in_flight=1.0, n_pending_lookups=1),
        }
        self.assertEqual(self._plan_loads(demand, "m9"), {"m9": "s1"})


class SpareCopiesTest(unittest.TestCase):
    """Two models need copies, and two engines hold a third that nobody requests."""

    def test_last_copy_is_no_spare(self):
        """Of two copies of an unused model, a round unloads one as a spare at most."""
        # Both were unloaded at the price of a spare copy, and no engine held the model.
        records = make_records("m0 m1 m3", "m0 m2 m4")
        demand = make_offered_demand(m1=90.0, m2=90.0, m3=30.0, m4=30.0)
        steps = list(skip_pauses(plan_copies(records, MODELS, demand, NOW_MS)))
        costs = [step.cost for _, step in steps if step.unload_model == "m0"]
        self.assertEqual(len(costs), 2)
        self.assertAlmostEqual(costs[1] - costs[0], LAST_COPY_VALUE_REQUESTS)

    def test_copy_that_is_being_unloaded(self):
        """A copy that is being unloaded does not make another one a spare."""
        records = make_records("m0", "m0")
        records[0].unloading_model = "m0"
        self.assertEqual(count_copies(records), {"m0": 1})


class FullBatchTest(unittest.TestCase):
    """All batch slots of an engine are taken, so less urgent requests don't end."""

    def test_no_unload_on_full_batch(self):
        """Room is made where the running requests of the unloaded model end soon."""
        full, calm = records = make_records("m0 m1 m2", "m3 m4 m5")
        full.n_running, full.n_queued, calm.n_running = N_SLOTS, 9, 9
        demand = make_offered_demand(m0=30.0, m3=30.0, m1=1.0, m2=1.0, m4=1.5, m5=1.5)
        step = choose_load_step(records, MODELS[9], demand, NOW_MS)
        self.assertIs(step.record, calm)


class NewLeaderTest(unittest.TestCase):
    """A leader has just been elected, and rare models are requested."""

    HELD = ("m0 m1 m2", "m0 m3 m4")

    def test_no_unload_before_reports(self):
        """No model is unloaded for another before the entries have reported."""
        records = make_records(*self.HELD)
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
            self.assertEqual(len(list(skip_pauses(steps))), n_steps)

    def test_free_room_is_used(self):
        """A model is loaded without reports where no unload is needed."""
        records = make_records("m0 m1 m2", "m3")
        expected_load = compute_expected_load(records, {})
        steps = plan_loads(
            records, MODELS, ("m9",), {}, expected_load, {}, NOW_MS, False
        )
        _, step = next(skip_pauses(steps))
        self.assertEqual(step.record.server.server_id, "s1")

    def test_prior_demand_counts_at_once(self):
        """The demand that the layout suggests counts from the first step."""
        tracker = DemandTracker()
        tracker.update({"m0": 6.0}, 50.0, NOW_MS, is_new=True)
        self.assertEqual(tracker.get("m0").n_waiting, 6.0)


class MissingPopularModelCopiesTest(unittest.TestCase):
    """A model that no engine holds has more callers than one engine can carry."""

    def test_copies_beside_the_first_load(self):
        """The model's first load and its copies start in one round."""
        records = make_records("m1 m2", "m3 m4", "m5 m6")
        demand = make_offered_demand(m0=60.0)
        expected_load = compute_expected_load(records, demand)
        steps = plan_loads(records, MODELS, ("m0",), demand, expected_load, {}, NOW_MS)
        names = [spec.name for spec, _ in skip_pauses(steps)]
        self.assertGreaterEqual(names.count("m0"), 2)
