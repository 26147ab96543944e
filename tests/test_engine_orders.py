"""Orders to engines: never over their room, whatever becomes of an order."""

import random
import unittest
from unittest import mock

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipwood.keeper.engines import _controller, _plan
from cowslipwood.keeper.engines._adapters import choose_adapter_step
from cowslipwood.keeper.engines._controller import MIN_PLAN_INTERVAL_MS
from cowslipwood.keeper.engines._copies import choose_copy
from cowslipwood.keeper.engines._orders import EngineReport, OrderOp
from cowslipwood.keeper.engines._placement import (
    ModelDemand,
    choose_load_step,
    count_copies,
    estimate_prior_waiting,
)
from cowslipwood.kernel.messages import HolderReply, HolderRequest, Refused
from cowslipwood.listing import ListedModel

from .engine_builders import MODELS, SPEC, FakeEngine, FakeFleet, record

ASK_S = 3.0


async def ask(controller, model: str, adapter: str = ""):
    """Ask for a holder."""
    with anyio.move_on_after(ASK_S):
        return await controller.find_holder(HolderRequest("llm", model, adapter, ""))
    return None


def run(fleet: FakeFleet, act, quiet_ms: float = 0.0) -> None:
    """Run a controller beside an action."""

    async def main():
        controller = fleet.controller(quiet_ms)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controller.run)
            await anyio.sleep(0.05)
            await act(controller)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def waiting(**by_model: float) -> dict[str, ModelDemand]:
    """Return demand of which only the waiting requests differ."""
    return {name: ModelDemand(n_waiting=value) for name, value in by_model.items()}


class HolderTest(unittest.TestCase):
    """Questions for a holder."""

    def test_adapter_is_loaded(self):
        """An adapter that nobody holds is loaded where its model is."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])

        async def act(controller):
            reply = await ask(controller, "m0", "a1")
            self.assertEqual(reply.server_id, "s0")
            self.assertIn("llm|m0/a1", reply.ready)

        run(fleet, act)
        self.assertIn("a1", fleet.engines["s0"].held["m0"])

    def test_model_is_loaded(self):
        """A model that nobody holds is loaded where there is room."""
        full = FakeEngine("s0", {"m0": set(), "m1": set()})
        fleet = FakeFleet([full, FakeEngine("s1", {"m2": set()})])

        async def act(controller):
            self.assertEqual((await ask(controller, "m5")).server_id, "s1")

        run(fleet, act)

    def test_long_load_is_told_at_once(self):
        """A caller that leaves before a load ends is told when, and it goes on."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])
        models = tuple(model._replace(load_time_s=1.0) for model in MODELS)
        fleet.spec = SPEC._replace(models=models)

        async def act(controller):
            request = HolderRequest("llm", "m5", "", "", 500.0)
            with anyio.fail_after(0.4):
                refused = await controller.find_holder(request)
            self.assertGreaterEqual(refused.retry_after_ms, 1_000)
            await anyio.sleep(0.3)
            self.assertIn("m5", [order.model for order in fleet.orders])
            again = await controller.find_holder(request._replace(patience_ms=2_000.0))
            self.assertIsInstance(again, HolderReply)

        run(fleet, act)

    def test_new_leader_sends_nobody_away(self):
        """A leader that does not know yet what engines hold tells no time."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])
        models = tuple(model._replace(load_time_s=9.0) for model in MODELS)
        fleet.spec = SPEC._replace(models=models)

        async def main():
            controller = fleet.controller()
            async with anyio.create_task_group() as tasks:
                request = HolderRequest("llm", "m0", "", "", 1_000.0)
                replies = []

                async def find():
                    replies.append(await controller.find_holder(request))

                tasks.start_soon(find)
                await anyio.sleep(0.05)
                tasks.start_soon(controller.run)
                await anyio.sleep(0.4)
                tasks.cancel_scope.cancel()
            return replies

        self.assertEqual(anyio.run(main)[0].server_id, "s0")

    def test_copies_outlive_a_quiet_start(self):
        """Copies stay for the requests that the layout lets expect, however late."""
        engines = [
            FakeEngine("s0", {"m0": set(), "m1": set()}),
            FakeEngine("s1", {"m0": set(), "m2": set()}),
        ]
        fleet = FakeFleet(engines)

        async def act(controller):
            await anyio.sleep(2.5)
            await ask(controller, "m5")
            self.assertIn(fleet.orders[0].model, ("m1", "m2"))

        with mock.patch.object(_controller, "PRIOR_DEMAND_MS", 50.0):
            run(fleet, act)

    def test_unknown_model(self):
        """A model that the document does not name is refused at once."""
        fleet = FakeFleet([FakeEngine("s0", {})])

        async def act(controller):
            self.assertIsInstance(await ask(controller, "m99"), Refused)

        run(fleet, act)

    def test_least_recent_adapter_yields(self):
        """With all places taken, the adapter unused for longest makes way."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2", "a3"}})
        fleet = FakeFleet([engine])

        async def act(controller):
            await ask(controller, "m0", "a2")
            await ask(controller, "m0", "a3")
            await anyio.sleep(0.4)
            reply = await ask(controller, "m0", "a9")
            self.assertIsInstance(reply, HolderReply)

        run(fleet, act)
        self.assertEqual(engine.held["m0"], {"a2", "a3", "a9"})
        self.assertEqual(engine.overflows, 0)

    def test_adapter_in_use_keeps_its_place(self):
        """An unload that waits for runs frees no place until they have ended."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2", "a3"}})
        engine.in_use = {("m0", "a1"), ("m0", "a2"), ("m0", "a3")}
        fleet = FakeFleet([engine])

        async def act(controller):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, controller, "m0", "a9")
                await anyio.sleep(0.3)
                self.assertEqual(len(fleet.orders), 1)
                offered = controller.build_server_views()["s0"].ready
                self.assertNotIn(f"llm|m0/{fleet.orders[0].adapter}", offered)
                engine.end_runs()
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()

        run(fleet, act)
        self.assertIn("a9", engine.held["m0"])
        self.assertEqual(engine.overflows, 0)

    def test_leaving_by_its_own_word(self):
        """An engine that says that it stops is left before the list tells so."""
        leaving = FakeEngine("s0", {"m0": set()})
        leaving.is_leaving = True
        staying = FakeEngine("s1", {})
        fleet = FakeFleet([leaving, staying])

        async def act(controller):
            reply = await ask(controller, "m0")
            self.assertEqual(reply.server_id, "s1")
            views = controller.build_server_views()
            self.assertTrue(views["s0"].leaving)
            self.assertFalse(views["s1"].leaving)

        run(fleet, act)

    def test_report_from_before_an_order(self):
        """After doubt, a report that lags behind an accepted order is not adopted."""
        held = record("s0", {"m0": set()})
        held.apply_accepted_order(OrderOp.LOAD, "m0", "a1", 0.0, 1_000.0)
        held.sequence = None
        old = EngineReport(0, False, (ListedModel("m0"),))
        self.assertFalse(held.apply_report(old, 1_100.0))
        self.assertFalse(held.is_synced)
        self.assertTrue(held.apply_report(old._replace(sequence=1), 1_300.0))

    def test_many_questions_at_once(self):
        """Questions that meet never order more than the places hold."""
        engines = [FakeEngine(f"s{i}", {"m0": set()}) for i in range(2)]
        fleet = FakeFleet(engines)

        async def act(controller):
            async with anyio.create_task_group() as tasks:
                for i in range(12):
                    tasks.start_soon(ask, controller, "m0", f"a{i}")

        run(fleet, act)
        self.assertEqual([engine.overflows for engine in engines], [0, 0])

    def test_seventy_entries_ask(self):
        """Questions of many entries for one model look for an engine together."""
        full = FakeEngine("s0", {"m0": set(), "m1": set()})
        full.is_busy = True
        fleet = FakeFleet([full])
        looks = []

        def look(*args, **kwargs):
            looks.append(args)

        async def act(controller):
            async with anyio.create_task_group() as tasks:
                for _ in range(70):
                    request = HolderRequest("llm", "m5", "", "", 300.0)
                    tasks.start_soon(controller._wait_for_holder, request, MODELS[5])
                await anyio.sleep(0.3)
                tasks.cancel_scope.cancel()

        with mock.patch.object(_plan, "choose_load_step", look):
            run(fleet, act)
        self.assertLessEqual(len(looks), 0.3 / (MIN_PLAN_INTERVAL_MS / 1000) + 1)

    def test_answer_lost(self):
        """An order whose answer was lost is found out by the engine's report."""
        engine = FakeEngine("s0", {"m0": set()})
        engine.loses_answers = True
        fleet = FakeFleet([engine])

        async def act(controller):
            reply = await ask(controller, "m0", "a1")
            self.assertIsInstance(reply, HolderReply)

        run(fleet, act)
        self.assertEqual(len(fleet.orders), 1)

    def test_late_order(self):
        """An order that arrives after newer ones has no effect."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2"}})
        engine.defers = True
        fleet = FakeFleet([engine])

        async def act(controller):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, controller, "m0", "a3")
                await anyio.sleep(0.05)
                engine.defers = False
                tasks.start_soon(ask, controller, "m0", "a4")
                await anyio.sleep(0.5)
                engine.run_late()
                tasks.cancel_scope.cancel()

        run(fleet, act)
        self.assertEqual(engine.overflows, 0)
        self.assertLessEqual(engine.n_adapters(), SPEC.max_adapters)

    def test_not_leading(self):
        """A keeper that does not lead gives no order."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()})])

        async def act(controller):
            fleet.leads = False
            self.assertIsInstance(await ask(controller, "m0", "a1"), Refused)

        run(fleet, act)
        self.assertEqual(fleet.orders, [])

    def test_new_leader_reads_first(self):
        """A new leader's first order names the state that it read."""
        engine = FakeEngine("s0", {"m0": set()})
        engine.sequence = 5
        engine.token = 1
        fleet = FakeFleet([engine])
        fleet.term = 2

        async def act(controller):
            await ask(controller, "m0", "a1")

        run(fleet, act)
        self.assertEqual(fleet.orders[0].expected_sequence, 5)
        self.assertEqual(fleet.orders[0].fencing_token, 2)

    def test_quiet_new_leader(self):
        """Where tokens are not checked, a new leader orders nothing for a while."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()})])

        async def act(controller):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, controller, "m0", "a1")
                await anyio.sleep(0.3)
                self.assertEqual(fleet.orders, [])
                await anyio.sleep(0.6)
                self.assertEqual(len(fleet.orders), 1)

        run(fleet, act, quiet_ms=600.0)

    @settings(max_examples=15, derandomize=True, deadline=None)
    @given(st.integers(0, 2**32))
    def test_never_over_room(self, seed):
        """Lost answers and late orders in any order never overfill an engine."""
        rng = random.Random(seed)
        engines = [FakeEngine(f"s{i}", {"m0": set(), "m1": set()}) for i in range(2)]
        fleet = FakeFleet(engines)

        async def act(controller):
            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    model = f"m{rng.randrange(4)}"
                    adapter = rng.choice(["", "a1", "a2", "a3", "a4", "a5"])
                    tasks.start_soon(ask, controller, model, adapter)
                    for engine in engines:
                        engine.loses_answers = rng.random() < 0.3
                        engine.defers = rng.random() < 0.3
                        if rng.random() < 0.5:
                            engine.run_late()
                    await anyio.sleep(0.03)
                tasks.cancel_scope.cancel()

        run(fleet, act)
        self.assertEqual([engine.overflows for engine in engines], [0, 0])


class LostEngineTest(unittest.TestCase):
    """Engines that are listed but give no report."""

    def test_dark_holder(self):
        """A model whose only holder went dark is loaded on another engine."""
        dark = FakeEngine("s0", {"m0": set()})
        fleet = FakeFleet([dark, FakeEngine("s1", {})])

        async def act(controller):
            dark.is_dark = True
            await anyio.sleep(1.2)
            reply = await ask(controller, "m0")
            self.assertEqual(reply.server_id, "s1")

        run(fleet, act)

    def test_lost_in_its_load(self):
        """An engine lost while it loads a model is not waited for."""
        fleet = FakeFleet([FakeEngine("s0", {}), FakeEngine("s1", {})])

        async def lose_the_first_ordered():
            while not fleet.orders:
                await anyio.sleep(0)
            for engine in fleet.engines.values():
                engine.is_dark = bool(engine.sequence)

        async def act(controller):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lose_the_first_ordered)
                reply = await ask(controller, "m5")
            self.assertIsInstance(reply, HolderReply)
            self.assertFalse(fleet.engines[reply.server_id].is_dark)

        run(fleet, act)


class DecideTest(unittest.TestCase):
    """Where models and adapters go."""

    def test_copy_of_a_busy_model(self):
        """Demand that moves to a model on one engine gets it a second one."""
        records = [
            record("s0", {"m0": set(), "m1": set()}),
            record("s1", {"m2": set(), "m3": set()}),
            record("s2", {"m2": set(), "m4": set()}),
        ]
        found = choose_copy(records, MODELS, waiting(m0=20.0, m2=0.1), 60_000.0)
        self.assertIsNotNone(found)
        model, step = found
        self.assertEqual(model.name, "m0")
        self.assertEqual(step.unload_model, "m2")

    def test_no_copy_without_demand(self):
        """Calm demand moves nothing."""
        records = [record("s0", {"m0": set()}), record("s1", {"m1": set()})]
        self.assertIsNone(
            choose_copy(records, MODELS, waiting(m0=0.5, m1=0.5), 60_000.0)
        )

    def test_hot_model_over_rare_ones(self):
        """A model that overloads its one engine displaces a last copy nobody wants."""
        records = [
            record("s0", {"m0": set(), "m1": set()}),
            record("s1", {"m2": set(), "m3": set()}),
        ]
        demand = waiting(m0=40.0, m2=0.02, m3=0.01)
        model, step = choose_copy(records, MODELS, demand, 60_000.0)
        self.assertEqual((model.name, step.unload_model), ("m0", "m3"))

    def test_last_copy_in_demand_stays(self):
        """The only copy of a model in demand is not displaced by a mere copy."""
        records = [
            record("s0", {"m0": set(), "m1": set()}),
            record("s1", {"m2": set(), "m3": set()}),
        ]
        demand = waiting(m0=2.0, m1=1.0, m2=1.0, m3=1.0)
        self.assertIsNone(choose_copy(records, MODELS, demand, 60_000.0))

    def test_rare_model_asked_for(self):
        """A model that nobody holds displaces a spare copy before a last one."""
        records = [
            record("s0", {"m0": set(), "m1": set()}),
            record("s1", {"m0": set(), "m2": set()}),
        ]
        step = choose_load_step(records, MODELS[5], waiting(m0=1.0), 60_000.0)
        self.assertIn(step.unload_model, ("m1", "m2", "m0"))
        demand = waiting(m0=0.5, m1=3.0, m2=3.0)
        step = choose_load_step(records, MODELS[5], demand, 60_000.0)
        self.assertEqual(step.unload_model, "m0")

    def test_new_leader_keeps_copies(self):
        """Before any demand is reported, copies stay and single models make way."""
        records = [
            record("s0", {"m0": set(), "m1": set()}),
            record("s1", {"m0": set(), "m2": set()}),
        ]
        expected = estimate_prior_waiting(count_copies(records))
        demand = {
            name: ModelDemand(n_waiting=n_waiting)
            for name, n_waiting in expected.items()
        }
        step = choose_load_step(records, MODELS[5], demand, 60_000.0)
        self.assertIn(step.unload_model, ("m1", "m2"))

    def test_adapter_needs_room(self):
        """A free place is none where the adapter's weights do not fit."""
        tight = SPEC._replace(weights_mb=61.5)
        held = record("s0", {"m0": {"a1"}, "m1": set()}, spec=tight)
        self.assertFalse(held.has_adapter_slot("m0"))
        self.assertTrue(record("s1", {"m0": {"a1"}}, spec=tight).has_adapter_slot("m0"))

    def test_reserved_room(self):
        """Room that was made for one model is not taken by another."""
        held = record("s0", {"m1": set()})
        held.reserve_room("m5", 1.0, 61_000.0)
        self.assertIsNone(choose_load_step([held], MODELS[4], {}, 60_000.0))
        self.assertIsNotNone(choose_load_step([held], MODELS[5], {}, 60_000.0))
        self.assertIsNotNone(choose_load_step([held], MODELS[4], {}, 62_000.0))

    def test_fresh_load_stays(self):
        """A model that was loaded a moment ago is not the one that makes way."""
        held = record("s0", {"m1": set(), "m2": set()})
        held.load_started_ms["m1"] = 59_500.0
        demand = {"m2": ModelDemand(recency=1.0)}
        step = choose_load_step([held], MODELS[5], demand, 60_000.0)
        self.assertEqual(step.unload_model, "m2")

    def test_adapters_spread(self):
        """A free place on the engine with fewest adapters goes first."""
        records = [record("s0", {"m0": {"a1", "a2"}}), record("s1", {"m0": {"a1"}})]
        step = choose_adapter_step(records, MODELS[0], {}, 60_000.0)
        self.assertEqual(step.record.server.server_id, "s1")
        self.assertIsNone(step.unload_adapter)
