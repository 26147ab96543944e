"""Keepers that lead in turn do not take turns in giving orders to one engine.

No network: two controllers give orders to engines in memory.
"""

import unittest

import anyio

from cowslipwood.keeper.engines._step import Step
from cowslipwood.keeper.engines._turns import OrderTurns
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.messages import HolderRequest

from .engine_builders import FakeEngine, FakeFleet

# Time in which two keepers may not take turns, as platforms set it.
LEASE_MS = 3_000.0


class _Keepers:
    """Two keepers, one of which leads."""

    def __init__(self, fleet: FakeFleet):
        self.fleet = fleet
        self.controllers = {name: fleet.make_controller(name) for name in ("k1", "k2")}

    async def lead(self, keeper_id: str, adapter: str, patience_ms: float) -> object:
        """Let a keeper lead the next term, and ask it for an adapter."""
        self.fleet.start_term(keeper_id)
        request = HolderRequest("llm", "m0", adapter, "", patience_ms)
        return await self.controllers[keeper_id].find_holder(request)


def _run_keepers(fleet: FakeFleet, scenario) -> None:
    async def main() -> None:
        keepers = _Keepers(fleet)
        async with anyio.create_task_group() as tasks:
            for controller in keepers.controllers.values():
                tasks.start_soon(controller.run)
            await scenario(keepers)
            tasks.cancel_scope.cancel()

    anyio.run(main)


class OrderTurnsTest(unittest.TestCase):
    """The time of the next order to an engine."""

    def test_answer_in_a_later_term(self):
        """An order whose answer comes in a later term counts as one of its own term."""
        # The engine may have received it as late as that.
        turns = OrderTurns(LEASE_MS)
        turns.start_term(1, 0, 0.0)
        turns.record_order("s0", 1, 100.0)
        turns.start_term(3, 2, 200.0)
        self.assertEqual(turns.get_next_order_ms("s0"), 100.0 + LEASE_MS)
        turns.record_order("s0", 1, 250.0)
        self.assertEqual(turns.get_next_order_ms("s0"), 250.0 + LEASE_MS)


class EngineThatPausesTest(unittest.TestCase):
    """One of two engines with a model has asked to pause."""

    def test_adapter_goes_to_the_other(self):
        """An adapter's lookup does not wait for the engine that asked to pause."""
        # That engine was chosen again and again, as the least loaded one.
        engines = [FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {"m0": {"a1"}})]
        fleet = FakeFleet(engines)

        async def scenario(keepers):
            controller = keepers.controllers["k1"]
            await anyio.sleep(0.1)
            controller._fleet.records["s0"].hold_off(monotonic_ms() + 60_000.0)
            await controller.find_holder(HolderRequest("llm", "m0", "a2", "", 1_000.0))

        _run_keepers(fleet, scenario)
        self.assertIn("a2", engines[1].held["m0"])


class LeadershipThatReturnsTest(unittest.TestCase):
    """A keeper leads, another one does, and the first one leads again."""

    def test_no_turns_within_the_lease(self):
        """The first keeper's next order to an engine comes a lease after its last."""
        # Three leaders ordered one server in 2.1 s: the first, another, the first.
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()})])

        async def scenario(keepers):
            await keepers.lead("k1", "a1", 1_000.0)
            await keepers.lead("k2", "a2", 1_000.0)
            await keepers.lead("k1", "a3", LEASE_MS + 1_000.0)

        _run_keepers(fleet, scenario)
        self.assertEqual(
            [order.keeper_id for order in fleet.orders], ["k1", "k2", "k1"]
        )
        self.assertGreaterEqual(
            fleet.ordered_at_ms[2] - fleet.ordered_at_ms[0], LEASE_MS
        )

    def test_other_engines_are_ordered_at_once(self):
        """Engines that the keeper has not ordered before take its orders at once."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()}), FakeEngine("s1", {})])

        async def scenario(keepers):
            await keepers.lead("k1", "a1", 1_000.0)
            await keepers.lead("k2", "a2", 1_000.0)
            fleet.engines["s1"].held["m0"] = set()
            began_ms = monotonic_ms()
            await keepers.lead("k1", "a3", LEASE_MS + 1_000.0)
            self.assertLess(monotonic_ms() - began_ms, LEASE_MS / 2)

        _run_keepers(fleet, scenario)
        self.assertIn("a3", fleet.engines["s1"].held["m0"])

    def test_no_step_of_an_earlier_term(self):
        """A step that was decided in an earlier term of the keeper gives no order."""
        # The step's record has the engine's state and the turns of its own term.
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()})])

        async def scenario(keepers):
            await keepers.lead("k1", "a1", 1_000.0)
            controller = keepers.controllers["k1"]
            record = controller._fleet.records["s0"]
            await keepers.lead("k2", "a2", 1_000.0)
            fleet.start_term("k1")
            while controller._fleet.records.get("s0") in (None, record):
                await anyio.sleep(0.01)
            await controller._sender.execute_adapter_step("m0", "a3", Step(record))

        _run_keepers(fleet, scenario)
        self.assertEqual([order.keeper_id for order in fleet.orders], ["k1", "k2"])

    def test_no_answer_from_an_earlier_term(self):
        """A keeper that leads again names no engine before it has read the list."""
        # Its records of the earlier term name engines that have left meanwhile.
        engines = [FakeEngine("s0", {}), FakeEngine("s1", {"m0": set()})]
        fleet = FakeFleet(engines)

        async def scenario(keepers):
            controller = keepers.controllers["k1"]
            request = HolderRequest("llm", "m0", "", "", 200.0)
            await controller.find_holder(request)
            fleet.start_term("k2")
            del fleet.engines["s1"]
            fleet.start_term("k1")
            self.assertEqual(controller.build_server_views(), {})
            reply = await controller.find_holder(request)
            self.assertNotEqual(getattr(reply, "server_id", ""), "s1")

        _run_keepers(fleet, scenario)

    def test_same_keeper_goes_on(self):
        """A keeper that is elected twice in a row orders at once."""
        fleet = FakeFleet([FakeEngine("s0", {"m0": set()})])

        async def scenario(keepers):
            await keepers.lead("k1", "a1", 1_000.0)
            await keepers.lead("k1", "a2", 1_000.0)

        _run_keepers(fleet, scenario)
        self.assertEqual(len(fleet.orders), 2)
