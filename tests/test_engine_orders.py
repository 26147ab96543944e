"""Orders to engines, and the placement of models and adapters.

Engines must never hold more than fits, whichever orders or answers are lost or late.
"""

import random
import unittest
from unittest import mock

import anyio
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from cowslipwood.keeper.engines import _controller, _engine_record, _plan
from cowslipwood.keeper.engines._adapters import choose_adapter_step
from cowslipwood.keeper.engines._copies import choose_copy
from cowslipwood.keeper.engines._demand import DemandTracker
from cowslipwood.keeper.engines._late_orders import LateOrders
from cowslipwood.keeper.engines._orders import EngineOrder, EngineReport, OrderOp
from cowslipwood.keeper.engines._placement import (
    ModelDemand,
    choose_load_step,
    count_copies,
    estimate_prior_waiting,
)
from cowslipwood.keeper.engines._planning import LAYOUT_LOG_MS, MIN_PLAN_INTERVAL_MS
from cowslipwood.kernel.messages import HolderReply, HolderRequest, Refused
from cowslipwood.listing import ListedModel
from cowslipwood.routes import RouteDocument, ServiceSpec

from .engine_builders import (
    MODELS,
    SPEC,
    FakeEngine,
    FakeFleet,
    make_listed_server,
    make_record,
)

LOOKUP_TIMEOUT_S = 3.0


async def look_up(controller, model: str, adapter: str = ""):
    """Look up a holder of a model or adapter; None if no answer comes in time."""
    with anyio.move_on_after(LOOKUP_TIMEOUT_S):
        return await controller.find_holder(HolderRequest("llm", model, adapter, ""))
    return None


def run_controller(fleet: FakeFleet, scenario, order_quiet_ms: float = 0.0) -> None:
    """Run a controller while a scenario runs."""

    async def main():
        controller = fleet.make_controller(order_quiet_ms=order_quiet_ms)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controller.run)
            await anyio.sleep(0.05)
            await scenario(controller)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def make_waiting_demand(**by_model: float) -> dict[str, ModelDemand]:
    """Return demand that differs only in waiting requests."""
    return {name: ModelDemand(n_waiting=value) for name, value in by_model.items()}


class HolderTest(unittest.TestCase):
    """Lookups of an engine that holds a model or an adapter."""

    def test_adapter_is_loaded(self):
        """An adapter that no engine holds is loaded on an engine with its model."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])

        async def scenario(controller):
            reply = await look_up(controller, "m0", "a1")
            self.assertEqual(reply.server_id, "s0")
            self.assertIn("llm|m0/a1", reply.ready)

        run_controller(fleet, scenario)
        self.assertIn("a1", fleet.engines["s0"].held["m0"])

    def test_model_is_loaded(self):
        """A model that no engine holds is loaded where there is room."""
        full = FakeEngine("s0", {"m0": set(), "m1": set()})
        fleet = FakeFleet([full, FakeEngine("s1", {"m2": set()})])

        async def scenario(controller):
            self.assertEqual((await look_up(controller, "m5")).server_id, "s1")

        run_controller(fleet, scenario)

    def test_long_load_refuses_at_once(self):
        """A caller less patient than a load is refused at once, and the load goes on.

        The refusal says when to retry.
        """
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])
        models = tuple(model._replace(load_time_s=1.0) for model in MODELS)
        fleet.spec = SPEC._replace(models=models)

        async def scenario(controller):
            request = HolderRequest("llm", "m5", "", "", 500.0)
            with anyio.fail_after(0.4):
                refused = await controller.find_holder(request)
            self.assertGreaterEqual(refused.retry_after_ms, 1_000)
            await anyio.sleep(0.3)
            self.assertIn("m5", [order.model for order in fleet.orders])
            again = await controller.find_holder(request._replace(patience_ms=2_000.0))
            self.assertIsInstance(again, HolderReply)

        run_controller(fleet, scenario)

    def test_new_leader_refuses_nobody(self):
        """A leader that does not know yet what engines hold names no retry time."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])
        models = tuple(model._replace(load_time_s=9.0) for model in MODELS)
        fleet.spec = SPEC._replace(models=models)

        async def main():
            controller = fleet.make_controller()
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

    def test_copies_survive_late_first_request(self):
        """Copies are kept for the demand that the layout suggests.

        The first request may come long after the start of the leadership.
        """
        engines = [
            FakeEngine("s0", {"m0": set(), "m1": set()}),
            FakeEngine("s1", {"m0": set(), "m2": set()}),
        ]
        fleet = FakeFleet(engines)

        async def scenario(controller):
            await anyio.sleep(2.5)
            await look_up(controller, "m5")
            self.assertIn(fleet.orders[0].model, ("m1", "m2"))

        with mock.patch.object(_controller, "PRIOR_DEMAND_MS", 50.0):
            run_controller(fleet, scenario)

    def test_unknown_model(self):
        """A model that is not in the document is refused at once."""
        fleet = FakeFleet([FakeEngine("s0", {})])

        async def scenario(controller):
            self.assertIsInstance(await look_up(controller, "m99"), Refused)

        run_controller(fleet, scenario)

    def test_least_recent_adapter_is_unloaded(self):
        """With all slots taken, the adapter unused for longest is unloaded."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2", "a3"}})
        fleet = FakeFleet([engine])

        async def scenario(controller):
            await look_up(controller, "m0", "a2")
            await look_up(controller, "m0", "a3")
            await anyio.sleep(0.4)
            reply = await look_up(controller, "m0", "a9")
            self.assertIsInstance(reply, HolderReply)

        run_controller(fleet, scenario)
        self.assertEqual(engine.held["m0"], {"a2", "a3", "a9"})
        self.assertEqual(engine.n_overflows, 0)

    def test_adapter_in_use_keeps_its_slot(self):
        """An unload frees no slot until the adapter's running requests have ended."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2", "a3"}})
        engine.adapters_in_use = {("m0", "a1"), ("m0", "a2"), ("m0", "a3")}
        fleet = FakeFleet([engine])

        async def scenario(controller):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(look_up, controller, "m0", "a9")
                await anyio.sleep(0.3)
                self.assertEqual(len(fleet.orders), 1)
                offered = controller.build_server_views()["s0"].ready
                self.assertNotIn(f"llm|m0/{fleet.orders[0].adapter}", offered)
                engine.end_running_requests()
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()

        run_controller(fleet, scenario)
        self.assertIn("a9", engine.held["m0"])
        self.assertEqual(engine.n_overflows, 0)

    def test_leaving_by_own_report(self):
        """An engine that reports that it stops counts as leaving.

        The list of servers shows this only later.
        """
        leaving = FakeEngine("s0", {"m0": set()})
        leaving.is_leaving = True
        staying = FakeEngine("s1", {})
        fleet = FakeFleet([leaving, staying])

        async def scenario(controller):
            reply = await look_up(controller, "m0")
            self.assertEqual(reply.server_id, "s1")
            views = controller.build_server_views()
            self.assertTrue(views["s0"].leaving)
            self.assertFalse(views["s1"].leaving)

        run_controller(fleet, scenario)

    def test_report_from_before_an_order(self):
        """A report older than an accepted order does not update the record."""
        held = make_record("s0", {"m0": set()})
        held.apply_accepted_order(OrderOp.LOAD, "m0", "a1", 0.0, 1_000.0)
        held.sequence = None
        old = EngineReport(0, False, (ListedModel("m0"),))
        self.assertFalse(held.apply_report(old, 1_100.0))
        self.assertFalse(held.is_synced)
        self.assertTrue(held.apply_report(old._replace(sequence=1), 1_300.0))

    def test_report_from_before_a_done_order(self):
        """A report older than a counted order answered DONE does not undo the order."""
        held = make_record("s0", {"m0": {"a1"}})
        held.apply_accepted_order(OrderOp.UNLOAD, "m0", "a1", 0.0, 1_000.0, True)
        old = EngineReport(0, False, (ListedModel("m0", 1, ("a1",)),))
        # Fails if a number that may not count lets older reports in at once.
        self.assertFalse(held.apply_report(old, 1_300.0))
        self.assertFalse(held.has_adapter("m0", "a1"))
        self.assertEqual(held.sequence, 1)
        counted = EngineReport(1, False, (ListedModel("m0"),))
        self.assertTrue(held.apply_report(counted, 1_400.0))
        # Fails if a report of the counted order leaves its number uncertain.
        self.assertFalse(held.apply_report(old, 60_000.0))

    def test_report_from_before_an_order_after_a_done_one(self):
        """An accepted order confirms the number of the DONE order before it."""
        held = make_record("s0", {"m0": {"a1"}})
        held.apply_accepted_order(OrderOp.UNLOAD, "m0", "a1", 0.0, 1_000.0, True)
        held.apply_accepted_order(OrderOp.LOAD, "m0", "a2", 0.0, 1_010.0)
        old = EngineReport(1, False, (ListedModel("m0"),))
        # Fails if a DONE order makes reports from before an accepted one valid later.
        self.assertFalse(held.apply_report(old, 60_000.0))
        self.assertTrue(held.has_adapter("m0", "a2"))

    def test_orders_after_an_uncounted_adapter_order(self):
        """An engine that did not count a DONE adapter order takes further orders."""
        engine = FakeEngine("s0", {"m0": set()})
        engine.counts_orders_in_effect = False
        fleet = FakeFleet([engine])

        async def scenario(controller):
            fleet.before_orders.append(lambda: engine.held["m0"].add("a1"))
            self.assertIsInstance(await look_up(controller, "m0", "a1"), HolderReply)
            # Fails if the record stays out of date: no order is given any more.
            self.assertIsInstance(await look_up(controller, "m0", "a2"), HolderReply)

        run_controller(fleet, scenario)
        self.assertEqual(engine.held["m0"], {"a1", "a2"})
        self.assertEqual(engine.sequence, 1)

    def test_orders_after_an_uncounted_model_order(self):
        """An engine that did not count a DONE model order takes further orders."""
        engine = FakeEngine("s0", {"m0": set()})
        engine.counts_orders_in_effect = False
        fleet = FakeFleet([engine])

        async def scenario(controller):
            fleet.before_orders.append(lambda: engine.held.update(m1=set()))
            self.assertIsInstance(await look_up(controller, "m1"), HolderReply)
            # Fails if the record stays out of date: no order is given any more.
            self.assertIsInstance(await look_up(controller, "m1", "a1"), HolderReply)

        run_controller(fleet, scenario)
        self.assertEqual(engine.held["m1"], {"a1"})
        self.assertEqual(engine.sequence, 1)
        self.assertEqual(engine.n_overflows, 0)

    def test_orders_after_an_uncounted_unload(self):
        """A swap whose unload was in effect already and not counted ends later."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2", "a3"}})
        engine.counts_orders_in_effect = False
        fleet = FakeFleet([engine])

        async def scenario(controller):
            await look_up(controller, "m0", "a2")
            await look_up(controller, "m0", "a3")
            fleet.before_orders.append(lambda: engine.held["m0"].discard("a1"))
            # Fails if the record stays out of date after the refused load.
            self.assertIsInstance(await look_up(controller, "m0", "a9"), HolderReply)

        run_controller(fleet, scenario)
        self.assertEqual(engine.held["m0"], {"a2", "a3", "a9"})
        self.assertEqual(engine.sequence, 1)

    def test_swap_of_adapters_takes_two_orders(self):
        """The load of a swap follows an unload answered DONE without a report."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2", "a3"}})
        fleet = FakeFleet([engine])

        async def scenario(controller):
            self.assertIsInstance(await look_up(controller, "m0", "a9"), HolderReply)

        run_controller(fleet, scenario)
        # Fails if a swap waits for a report or has an order refused in between.
        self.assertEqual([order.expected_sequence for order in fleet.orders], [0, 1])

    def test_late_order_after_an_uncounted_one(self):
        """An order with a number too high that arrives late overfills no engine."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2", "a3"}})
        engine.counts_orders_in_effect = False
        fleet = FakeFleet([engine])

        def defer_orders():
            engine.defers_orders = True

        async def scenario(controller):
            fleet.before_orders += [
                lambda: engine.held["m0"].discard("a1"),
                defer_orders,
            ]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(look_up, controller, "m0", "a9")
                while not engine.deferred_orders:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()
            engine.defers_orders = False
            with anyio.move_on_after(0.5):
                await look_up(controller, "m0", "a8")
            self.assertEqual(engine.deferred_orders[0].expected_sequence, 1)
            engine.run_deferred_orders()

        with mock.patch.object(_engine_record, "UNCOUNTED_ORDER_MS", 0.0):
            run_controller(fleet, scenario)
        # Fails if further orders raise the engine's number to that of the late order.
        self.assertEqual(engine.n_overflows, 0)
        self.assertLessEqual(engine.count_adapters(), SPEC.max_adapters)

    def test_cancelled_order_after_an_uncounted_one(self):
        """An order whose lookup ended before its answer counts as lost."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2", "a3"}})
        engine.counts_orders_in_effect = False
        fleet = FakeFleet([engine])
        send_order = fleet.order

        async def order_without_answer(listed, order):
            engine.defers_orders = len(fleet.orders) == 1
            answer = await send_order(listed, order)
            if engine.deferred_orders and len(fleet.orders) == 2:
                await anyio.sleep_forever()
            return answer

        async def scenario(controller):
            fleet.before_orders.append(lambda: engine.held["m0"].discard("a1"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(look_up, controller, "m0", "a9")
                while not engine.deferred_orders:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()
            with anyio.move_on_after(0.5):
                await look_up(controller, "m0", "a8")
            self.assertEqual(engine.deferred_orders[0].expected_sequence, 1)
            engine.run_deferred_orders()

        with (
            mock.patch.object(_engine_record, "UNCOUNTED_ORDER_MS", 0.0),
            mock.patch.object(fleet, "order", order_without_answer),
        ):
            run_controller(fleet, scenario)
        # Fails if further orders raise the engine's number to that of the late order.
        self.assertEqual(engine.n_overflows, 0)

    def test_lost_order_after_an_uncounted_one(self):
        """An engine takes orders again when the lost order can't arrive any more."""
        held = make_record("s0", {"m0": {"a1"}})
        held.apply_accepted_order(OrderOp.UNLOAD, "m0", "a1", 0.0, 1_000.0, True)
        held.record_lost_order(1_100.0)
        uncounted = EngineReport(0, False, (ListedModel("m0"),))
        self.assertFalse(held.apply_report(uncounted, 5_000.0))
        # Fails if the record stays out of date for good.
        self.assertTrue(held.apply_report(uncounted, 61_200.0))

    def test_concurrent_lookups(self):
        """Concurrent lookups never order more adapters than there are slots."""
        engines = [FakeEngine(f"s{number}", {"m0": set()}) for number in range(2)]
        fleet = FakeFleet(engines)

        async def scenario(controller):
            async with anyio.create_task_group() as tasks:
                for number in range(12):
                    tasks.start_soon(look_up, controller, "m0", f"a{number}")

        run_controller(fleet, scenario)
        self.assertEqual([engine.n_overflows for engine in engines], [0, 0])

    def test_lookups_of_seventy_entries(self):
        """Lookups of many entries for one model share the search for an engine."""
        full = FakeEngine("s0", {"m0": set(), "m1": set()})
        full.is_busy = True
        fleet = FakeFleet([full])
        searches = []

        def record_search(*args, **kwargs):
            searches.append(args)

        async def scenario(controller):
            async with anyio.create_task_group() as tasks:
                for _ in range(70):
                    request = HolderRequest("llm", "m5", "", "", 300.0)
                    tasks.start_soon(controller._wait_for_holder, request, MODELS[5])
                await anyio.sleep(0.3)
                tasks.cancel_scope.cancel()

        with mock.patch.object(_plan, "choose_load_step", record_search):
            run_controller(fleet, scenario)
        self.assertLessEqual(len(searches), 0.3 / (MIN_PLAN_INTERVAL_MS / 1000) + 1)

    def test_answer_lost(self):
        """An engine's report shows the effect of an order whose answer was lost."""
        engine = FakeEngine("s0", {"m0": set()})
        engine.loses_answers = True
        fleet = FakeFleet([engine])

        async def scenario(controller):
            reply = await look_up(controller, "m0", "a1")
            self.assertIsInstance(reply, HolderReply)

        run_controller(fleet, scenario)
        self.assertEqual(len(fleet.orders), 1)

    def test_late_order(self):
        """An order that arrives after newer orders has no effect."""
        engine = FakeEngine("s0", {"m0": {"a1", "a2"}})
        engine.defers_orders = True
        fleet = FakeFleet([engine])

        async def scenario(controller):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(look_up, controller, "m0", "a3")
                await anyio.sleep(0.05)
                engine.defers_orders = False
                tasks.start_soon(look_up, controller, "m0", "a4")
                await anyio.sleep(0.5)
                engine.run_deferred_orders()
                tasks.cancel_scope.cancel()

        run_controller(fleet, scenario)
        self.assertEqual(engine.n_overflows, 0)
        self.assertLessEqual(engine.count_adapters(), SPEC.max_adapters)

    # Guards against an order to an earlier run of an engine that overfills the next.
    def test_late_order_to_an_earlier_run(self):
        """An order that arrives after its engine started again overfills nothing."""
        engine = FakeEngine("s0", {"m0": set()})
        fleet = FakeFleet([engine])

        async def scenario(controller):
            await look_up(controller, "m1")
            self.assertEqual(engine.held.keys(), {"m0", "m1"})
            engine.defers_orders = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(look_up, controller, "m2")
                while not engine.deferred_orders:
                    engine.defers_orders = len(engine.held) == 1
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()
            engine.defers_orders = False
            engine.restart()
            (late,) = engine.deferred_orders
            self.assertEqual((late.op, late.model), (OrderOp.LOAD, "m2"))

            def deliver_late_order() -> None:
                if engine.sequence == late.expected_sequence:
                    engine.run_deferred_orders()

            fleet.before_orders += [deliver_late_order] * 9
            await anyio.sleep(1.2)
            for model in ("m0", "m1"):
                await look_up(controller, model)
            self.assertGreaterEqual(engine.sequence, late.expected_sequence)
            engine.run_deferred_orders()

        run_controller(fleet, scenario)
        self.assertEqual(engine.n_overflows, 0)

    def test_room_for_a_late_order(self):
        """An order that leads to the number of a late load leaves room for that."""
        late = EngineOrder(OrderOp.LOAD, "m2", "", 5, "k1", 1)
        held = make_record("s0", {"m0": set(), "m1": {"a1"}})
        held.late_orders = [late]
        held.sequence = 3
        self.assertEqual(held.free_mb, 19.0)
        self.assertTrue(held.may_unload("m1", "a1"))
        held.sequence = 4
        self.assertEqual(held.free_mb, -11.0)
        self.assertTrue(held.may_unload("m0"))
        self.assertFalse(held.may_unload("m1", "a1"))
        self.assertFalse(held.has_adapter_slot("m0"))
        held.held["m2"] = held.held.pop("m0")
        self.assertEqual(held.free_mb, 19.0)

    def test_slot_for_a_late_order(self):
        """An order that leads to the number of a late adapter leaves a slot for it."""
        held = make_record("s0", {"m0": {"a1", "a2"}})
        held.late_orders = [EngineOrder(OrderOp.LOAD, "m0", "a9", 1, "k1", 1)]
        self.assertFalse(held.has_adapter_slot("m0"))
        held.sequence = 1
        self.assertTrue(held.has_adapter_slot("m0"))

    def test_expired_late_orders(self):
        """An order is no longer expected after the time that it may be on its way."""
        late_orders = LateOrders()
        order = EngineOrder(OrderOp.LOAD, "m0", "", 1, "k1", 1)
        late_orders.record("s0", order, 1_000.0)
        self.assertEqual(late_orders.list_orders("s0", 13_000.0), (order,))
        self.assertEqual(late_orders.list_orders("s1", 13_000.0), ())
        self.assertEqual(late_orders.list_orders("s0", 61_001.0), ())

    def test_not_leading(self):
        """A keeper that does not lead gives no order."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()})])

        async def scenario(controller):
            fleet.can_act_as_leader = False
            self.assertIsInstance(await look_up(controller, "m0", "a1"), Refused)

        run_controller(fleet, scenario)
        self.assertEqual(fleet.orders, [])

    def test_new_leader_reads_first(self):
        """A new leader's first order names the sequence number that it read."""
        engine = FakeEngine("s0", {"m0": set()})
        engine.sequence = 5
        engine.fencing_token = 1
        fleet = FakeFleet([engine])
        fleet.term = 2

        async def scenario(controller):
            await look_up(controller, "m0", "a1")

        run_controller(fleet, scenario)
        self.assertEqual(fleet.orders[0].expected_sequence, 5)
        self.assertEqual(fleet.orders[0].fencing_token, 2)

    def test_quiet_time_of_new_leader(self):
        """A new leader gives no order for its quiet time.

        Engines that don't check fencing tokens may still get an order of the previous
        leader.
        """
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()})])

        async def scenario(controller):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(look_up, controller, "m0", "a1")
                await anyio.sleep(0.3)
                self.assertEqual(fleet.orders, [])
                await anyio.sleep(0.6)
                self.assertEqual(len(fleet.orders), 1)

        run_controller(fleet, scenario, order_quiet_ms=600.0)

    @settings(max_examples=15, derandomize=True, deadline=None)
    @given(st.integers(0, 2**32))
    def test_never_overfilled(self, seed):
        """Lost answers and late orders in any order never overfill an engine."""
        rng = random.Random(seed)
        engines = [
            FakeEngine(f"s{number}", {"m0": set(), "m1": set()}) for number in range(2)
        ]
        fleet = FakeFleet(engines)

        async def scenario(controller):
            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    model = f"m{rng.randrange(4)}"
                    adapter = rng.choice(["", "a1", "a2", "a3", "a4", "a5"])
                    tasks.start_soon(look_up, controller, model, adapter)
                    for engine in engines:
                        engine.loses_answers = rng.random() < 0.3
                        engine.defers_orders = rng.random() < 0.3
                        if rng.random() < 0.5:
                            engine.run_deferred_orders()
                    await anyio.sleep(0.03)
                tasks.cancel_scope.cancel()

        run_controller(fleet, scenario)
        self.assertEqual([engine.n_overflows for engine in engines], [0, 0])


class KnownModelsTest(unittest.TestCase):
    """Demand for models of the document is kept while nobody requests them."""

    def test_models_of_the_document(self):
        """The demand is updated with the models of the document in force."""

        async def scenario(controller):
            await anyio.sleep(0.2)

        with mock.patch.object(DemandTracker, "update", autospec=True) as update:
            run_controller(FakeFleet([FakeEngine("s0", {})]), scenario)
        # Fails if idle models lose the target that decides whether they are unloaded.
        self.assertEqual(update.call_args.args[-1], {model.name for model in MODELS})


class LayoutLogTest(unittest.TestCase):
    """Logs of the engines' models and load."""

    def test_each_service_is_logged(self):
        """With several engine services, the engines of each one are logged."""
        services = {"s0": "llm", "s1": "chat"}
        fleet = FakeFleet([FakeEngine(server_id, {}) for server_id in services])
        fleet.document = RouteDocument(
            1, (), tuple(ServiceSpec(name, engine=SPEC) for name in services.values())
        )

        async def read():
            return Success(
                [
                    make_listed_server(server_id)._replace(service=name)
                    for server_id, name in services.items()
                ]
            )

        async def scenario(controller):
            await anyio.sleep((LAYOUT_LOG_MS + 300) / 1000)

        with (
            mock.patch.object(fleet, "read", read),
            structlog.testing.capture_logs() as log_lines,
        ):
            run_controller(fleet, scenario)
        logged = {
            line["server"] for line in log_lines if line["event"] == "engine_seen"
        }
        # Fails if the log of one service keeps the next ones from being logged.
        self.assertEqual(logged, {"s0", "s1"})


class LostEngineTest(unittest.TestCase):
    """Engines that are listed but give no report."""

    def test_unreachable_holder(self):
        """A model whose only holder is unreachable is loaded on another engine."""
        unreachable = FakeEngine("s0", {"m0": set()})
        fleet = FakeFleet([unreachable, FakeEngine("s1", {})])

        async def scenario(controller):
            unreachable.is_unreachable = True
            await anyio.sleep(1.2)
            reply = await look_up(controller, "m0")
            self.assertEqual(reply.server_id, "s1")

        run_controller(fleet, scenario)

    def test_lost_during_load(self):
        """Lookups don't wait for an engine that is lost while it loads the model."""
        fleet = FakeFleet([FakeEngine("s0", {}), FakeEngine("s1", {})])

        async def lose_first_ordered_engine():
            while not fleet.orders:
                await anyio.sleep(0)
            for engine in fleet.engines.values():
                engine.is_unreachable = bool(engine.sequence)

        async def scenario(controller):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lose_first_ordered_engine)
                reply = await look_up(controller, "m5")
            self.assertIsInstance(reply, HolderReply)
            self.assertFalse(fleet.engines[reply.server_id].is_unreachable)

        run_controller(fleet, scenario)


class PlacementTest(unittest.TestCase):
    """Choice of engines for models and adapters."""

    def test_copy_of_a_busy_model(self):
        """A model on one engine gets a second copy when demand moves to it."""
        records = [
            make_record("s0", {"m0": set(), "m1": set()}),
            make_record("s1", {"m2": set(), "m3": set()}),
            make_record("s2", {"m2": set(), "m4": set()}),
        ]
        found = choose_copy(
            records, MODELS, make_waiting_demand(m0=20.0, m2=0.1), 60_000.0
        )
        self.assertIsNotNone(found)
        model, step = found
        self.assertEqual(model.name, "m0")
        self.assertEqual(step.unload_model, "m2")

    def test_no_copy_without_demand(self):
        """Low demand leads to no copy."""
        records = [make_record("s0", {"m0": set()}), make_record("s1", {"m1": set()})]
        self.assertIsNone(
            choose_copy(records, MODELS, make_waiting_demand(m0=0.5, m1=0.5), 60_000.0)
        )

    def test_hot_model_over_rare_ones(self):
        """A model that overloads its only engine displaces an unused last copy."""
        records = [
            make_record("s0", {"m0": set(), "m1": set()}),
            make_record("s1", {"m2": set(), "m3": set()}),
        ]
        demand = make_waiting_demand(m0=40.0, m2=0.02, m3=0.01)
        model, step = choose_copy(records, MODELS, demand, 60_000.0)
        self.assertEqual((model.name, step.unload_model), ("m0", "m3"))

    def test_last_copy_in_demand_is_kept(self):
        """A copy does not displace the last copy of a model in demand."""
        records = [
            make_record("s0", {"m0": set(), "m1": set()}),
            make_record("s1", {"m2": set(), "m3": set()}),
        ]
        demand = make_waiting_demand(m0=2.0, m1=1.0, m2=1.0, m3=1.0)
        self.assertIsNone(choose_copy(records, MODELS, demand, 60_000.0))

    def test_rare_model_requested(self):
        """A missing model displaces a spare copy rather than a last copy."""
        records = [
            make_record("s0", {"m0": set(), "m1": set()}),
            make_record("s1", {"m0": set(), "m2": set()}),
        ]
        step = choose_load_step(
            records, MODELS[5], make_waiting_demand(m0=1.0), 60_000.0
        )
        self.assertIn(step.unload_model, ("m1", "m2", "m0"))
        demand = make_waiting_demand(m0=0.5, m1=3.0, m2=3.0)
        step = choose_load_step(records, MODELS[5], demand, 60_000.0)
        self.assertEqual(step.unload_model, "m0")

    def test_new_leader_keeps_copies(self):
        """Before any demand is reported, models with one copy are displaced first."""
        records = [
            make_record("s0", {"m0": set(), "m1": set()}),
            make_record("s1", {"m0": set(), "m2": set()}),
        ]
        expected = estimate_prior_waiting(count_copies(records))
        demand = {
            name: ModelDemand(n_waiting=n_waiting)
            for name, n_waiting in expected.items()
        }
        step = choose_load_step(records, MODELS[5], demand, 60_000.0)
        self.assertIn(step.unload_model, ("m1", "m2"))

    def test_adapter_needs_room(self):
        """A free slot does not count where the adapter's weights do not fit."""
        tight = SPEC._replace(weights_mb=61.5)
        held = make_record("s0", {"m0": {"a1"}, "m1": set()}, spec=tight)
        self.assertFalse(held.has_adapter_slot("m0"))
        self.assertTrue(
            make_record("s1", {"m0": {"a1"}}, spec=tight).has_adapter_slot("m0")
        )

    def test_reserved_room(self):
        """Room that was made for one model is not used for another one."""
        held = make_record("s0", {"m1": set()})
        held.reserve_room("m5", 1.0, 61_000.0)
        self.assertIsNone(choose_load_step([held], MODELS[4], {}, 60_000.0))
        self.assertIsNotNone(choose_load_step([held], MODELS[5], {}, 60_000.0))
        self.assertIsNotNone(choose_load_step([held], MODELS[4], {}, 62_000.0))

    def test_recent_load_is_kept(self):
        """A model that was loaded a moment ago is not displaced."""
        held = make_record("s0", {"m1": set(), "m2": set()})
        held.load_started_ms["m1"] = 59_500.0
        demand = {"m2": ModelDemand(recency=1.0)}
        step = choose_load_step([held], MODELS[5], demand, 60_000.0)
        self.assertEqual(step.unload_model, "m2")

    def test_adapters_spread(self):
        """An adapter is loaded on the engine with the fewest adapters."""
        records = [
            make_record("s0", {"m0": {"a1", "a2"}}),
            make_record("s1", {"m0": {"a1"}}),
        ]
        step = choose_adapter_step(records, MODELS[0], {}, 60_000.0)
        self.assertEqual(step.record.server.server_id, "s1")
        self.assertIsNone(step.unload_adapter)
