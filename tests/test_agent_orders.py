"""Orders of a real agent process, lost, late or crossing, and its engine's memory."""

import unittest
from typing import Any

import anyio

from cowslipwood.kernel.messages import DesiredModel
from cowslipwood.standins.engine import EngineConfig

from .agent_bench import AgentBench, agent_bench
from .served import until

CAPACITY = 3_000
KV_FREE = EngineConfig(
    capacity_bytes=CAPACITY, load_ms=5, kv_bytes_per_token=0, checks_fence=False
)


def model(name: str, version: str = "1", size: int = 2_000) -> DesiredModel:
    """Return a model to be assigned."""
    return DesiredModel(name, version, "model", "", size)


def run(check: Any, config: EngineConfig, *flags: str) -> None:
    """Run a check on a bench."""

    async def main() -> None:
        async with agent_bench(config, *flags) as bench:
            await check(bench)

    anyio.run(main)


class TestOrders(unittest.TestCase):
    """An engine's memory is never over its capacity."""

    def test_lost_answers(self):
        """A load whose answer is lost is seen to its end before its bytes are used."""
        for dialect, fenced in (("fenced", True), ("unfenced", False)):
            with self.subTest(dialect=dialect):

                async def check(bench: AgentBench) -> None:
                    fault = {"lose_answers": 1, "double_orders": 1, "delay_ms": 300}
                    bench.engine.faults.set(fault)
                    await bench.keeper.assign(1, 1, model("m1"))
                    await until(lambda: bench.keeper.is_ready("m1"), "m1")
                    self.assertEqual(bench.engine.faults.count_left("lose_answers"), 0)
                    await bench.keeper.assign(1, 2, model("m2"))
                    await until(lambda: bench.keeper.is_ready("m2"), "m2")
                    self.assertLessEqual(bench.engine.high_water_bytes, CAPACITY)

                run(
                    check,
                    KV_FREE._replace(checks_fence=fenced),
                    f"--dialect={dialect}",
                    "--order-timeout-ms=100",
                    "--order-life-ms=1000",
                )

    def test_late_copy_at_a_fenced_engine(self):
        """An order that arrives after its copy was run is not run again."""

        async def check(bench: AgentBench) -> None:
            await self._leave_copy_on_its_way(bench)
            await until(lambda: bench.keeper.is_ready("m2"), "m2")
            n_answers = len(bench.engine.order_answers)
            bench.engine.faults.set({"hold_orders": 0})
            await until(
                lambda: len(bench.engine.order_answers) > n_answers, "the late copy"
            )
            self.assertLessEqual(bench.engine.high_water_bytes, CAPACITY)

        config = KV_FREE._replace(checks_fence=True)
        run(check, config, "--dialect=fenced", "--order-timeout-ms=100")

    def test_late_copy_at_an_unfenced_engine(self):
        """An order that arrives after its model was unloaded finds its bytes free."""

        async def check(bench: AgentBench) -> None:
            await self._leave_copy_on_its_way(bench)
            await until(lambda: bench.keeper.report.reserved_bytes, "the reservation")
            bench.engine.faults.set({"hold_orders": 0})
            await until(lambda: bench.keeper.is_ready("m2"), "m2")
            self.assertLessEqual(bench.engine.high_water_bytes, CAPACITY)
            self.assertGreaterEqual(bench.engine.state()["n_loads"], 3)

        flags = ("--dialect=unfenced", "--order-timeout-ms=100", "--order-life-ms=4000")
        run(check, KV_FREE, *flags)

    async def _leave_copy_on_its_way(self, bench: AgentBench) -> None:
        bench.engine.faults.set({"hold_orders": 1})
        await bench.keeper.assign(1, 1, model("m1"))
        await until(
            lambda: not bench.engine.faults.count_left("hold_orders"), "the order"
        )
        await bench.keeper.assign(1, 2, model("m2"))

    def test_unwanted_uncertain_load_is_undone(self):
        """A load whose answer is lost is undone once it is no longer assigned."""

        async def check(bench: AgentBench) -> None:
            bench.engine.faults.set({"lose_orders": 1})
            await bench.keeper.assign(1, 1, model("m1"))
            await until(
                lambda: not bench.engine.faults.count_left("lose_orders"),
                "the lost order",
            )
            await bench.keeper.assign(1, 2)
            await until(
                lambda: (
                    not bench.keeper.get_model_states()
                    and not bench.engine.committed_bytes
                ),
                "an empty engine",
            )
            self.assertEqual(bench.keeper.n_released_permits, 1)

        run(check, KV_FREE._replace(checks_fence=True), "--order-timeout-ms=100")

    def test_late_order_of_a_killed_agent(self):
        """An order that arrives after its agent was killed finds its bytes free."""

        async def check(bench: AgentBench) -> None:
            await self._kill_with_order_on_its_way(bench)
            await bench.keeper.assign(1, 2, model("m2"))
            await until(lambda: bench.keeper.report.assignment_revision == 2, "it")
            self.assertEqual(bench.keeper.report.reserved_bytes, CAPACITY)
            bench.engine.faults.set({"hold_orders": 0})
            await until(lambda: bench.keeper.is_ready("m2"), "m2")
            self.assertLessEqual(bench.engine.high_water_bytes, CAPACITY)

        run(check, KV_FREE, "--dialect=unfenced", "--order-life-ms=4000")

    def test_late_order_without_the_wait(self):
        """Were an order's life taken as over too soon, the engine would overflow."""

        async def check(bench: AgentBench) -> None:
            await self._kill_with_order_on_its_way(bench)
            await bench.keeper.assign(1, 2, model("m2"))
            await until(lambda: bench.keeper.is_ready("m2"), "m2")
            bench.engine.faults.set({"hold_orders": 0})
            await until(lambda: bench.engine.high_water_bytes > CAPACITY, "overflow")

        run(check, KV_FREE, "--dialect=unfenced", "--order-life-ms=0")

    def test_late_order_is_fenced_off(self):
        """A restarted agent's fence stops the orders of the process before."""

        async def check(bench: AgentBench) -> None:
            await self._kill_with_order_on_its_way(bench)
            await bench.keeper.assign(1, 2, model("m2"))
            await until(lambda: bench.keeper.is_ready("m2"), "m2")
            bench.engine.faults.set({"hold_orders": 0})
            refused = {"state": "refused", "reason": "old fence"}
            await until(lambda: refused in bench.engine.order_answers, "the late order")
            self.assertLessEqual(bench.engine.high_water_bytes, CAPACITY)

        run(check, KV_FREE._replace(checks_fence=True), "--dialect=fenced")

    async def _kill_with_order_on_its_way(self, bench: AgentBench) -> None:
        bench.engine.faults.set({"hold_orders": 1})
        await bench.keeper.assign(1, 1, model("m1"))
        await until(
            lambda: not bench.engine.faults.count_left("hold_orders"), "the order"
        )
        await bench.kill()
        await bench.start()

    def test_crossing_assignments(self):
        """An assignment of an older term or revision changes nothing."""

        async def check(bench: AgentBench) -> None:
            await bench.keeper.assign(2, 5, model("m2"))
            await until(lambda: bench.keeper.is_ready("m2"), "m2")
            await bench.keeper.assign(1, 9, model("m1"))
            await bench.keeper.assign(2, 4, model("m1"))
            await until(lambda: _counts_refused(bench, 2), "two refusals")
            await bench.keeper.assign(2, 6, model("m2"), model("m3", size=500))
            await until(lambda: bench.keeper.is_ready("m3"), "m3")
            self.assertEqual(bench.keeper.permitted_models, ["m2", "m3"])
            self.assertLessEqual(bench.engine.high_water_bytes, CAPACITY)

        run(check, KV_FREE._replace(checks_fence=True))

    def test_version_replaced_in_place(self):
        """The old version serves until the new one is ready, where both fit."""

        async def check(bench: AgentBench) -> None:
            await bench.keeper.assign(1, 1, model("m1", "1", 1_000))
            await until(lambda: bench.keeper.is_ready("m1", "1"), "version 1")
            bench.engine.faults.set({"hold_orders": 1})
            await bench.keeper.assign(1, 2, model("m1", "2", 1_000))
            await until(
                lambda: ("m1", "2") in bench.keeper.get_model_states(), "version 2"
            )
            self.assertTrue(bench.keeper.is_ready("m1", "1"))
            bench.engine.faults.set({"hold_orders": 0})
            await until(
                lambda: bench.keeper.get_model_states() == {("m1", "2"): "ready"},
                "only it",
            )

        run(check, KV_FREE._replace(checks_fence=True))

    def test_version_replaced_without_room(self):
        """The old version is unloaded first where both do not fit."""

        async def check(bench: AgentBench) -> None:
            await bench.keeper.assign(1, 1, model("m1", "1"))
            await until(lambda: bench.keeper.is_ready("m1", "1"), "version 1")
            await bench.keeper.assign(1, 2, model("m1", "2"))
            await until(lambda: bench.keeper.is_ready("m1", "2"), "version 2")
            self.assertLessEqual(bench.engine.high_water_bytes, CAPACITY)

        run(check, KV_FREE._replace(checks_fence=True))

    def test_adapters_and_their_base(self):
        """An adapter is loaded after its base and unloaded before it."""

        async def check(bench: AgentBench) -> None:
            adapter = DesiredModel("a1", "1", "adapter", "m1", 100)
            await bench.keeper.assign(1, 1, adapter, model("m1"))
            await until(lambda: bench.keeper.is_ready("a1"), "a1")
            await bench.keeper.assign(1, 2)
            await until(lambda: not bench.keeper.get_model_states(), "an empty engine")
            refused = [a for a in bench.engine.order_answers if a["state"] == "refused"]
            self.assertEqual(refused, [])

        run(check, KV_FREE._replace(checks_fence=True))


async def _counts_refused(bench: AgentBench, count: int) -> bool:
    _, text = await bench.client.call("GET", "/metrics")
    name = b'cowslip_agent_assignments_refused_total{reason="ORDER_STALE"}'
    return name + f" {count}".encode() in text
