"""Lost, delayed and reordered orders of an agent process, and its engine's memory."""

import unittest
from typing import Any

import anyio

from cowslipwood.kernel.messages import DesiredModel
from cowslipwood.standins.engine import EngineConfig

from .agent_bench import AgentHarness, run_agent_harness
from .served import wait_until

# Memory of the engine, in bytes; it holds one model of the default size at a time.
CAPACITY_BYTES = 3_000
# Engine without KV cache that does not check fencing numbers.
UNFENCED = EngineConfig(
    capacity_bytes=CAPACITY_BYTES, load_ms=5, kv_bytes_per_token=0, checks_fence=False
)


def make_model(
    name: str, version: str = "1", memory_bytes: int = 2_000
) -> DesiredModel:
    """Return a model to assign."""
    return DesiredModel(name, version, "model", "", memory_bytes)


def run_check(check: Any, config: EngineConfig, *flags: str) -> None:
    """Run a check with an agent."""

    async def main() -> None:
        async with run_agent_harness(config, *flags) as harness:
            await check(harness)

    anyio.run(main)


class TestOrders(unittest.TestCase):
    """Models loaded by an agent never exceed the memory of its engine."""

    def test_lost_answers(self):
        """The memory of a load is not reused while the answer to its order is lost."""
        for dialect, checks_fence in (("fenced", True), ("unfenced", False)):
            with self.subTest(dialect=dialect):

                async def check(harness: AgentHarness) -> None:
                    fault = {"lose_answers": 1, "double_orders": 1, "delay_ms": 300}
                    harness.engine.faults.set_faults(fault)
                    await harness.keeper.assign(1, 1, make_model("m1"))
                    await wait_until(lambda: harness.keeper.is_ready("m1"), "m1")
                    self.assertEqual(
                        harness.engine.faults.count_left("lose_answers"), 0
                    )
                    await harness.keeper.assign(1, 2, make_model("m2"))
                    await wait_until(lambda: harness.keeper.is_ready("m2"), "m2")
                    self.assertLessEqual(
                        harness.engine.high_water_bytes, CAPACITY_BYTES
                    )

                run_check(
                    check,
                    UNFENCED._replace(checks_fence=checks_fence),
                    f"--dialect={dialect}",
                    "--order-timeout-ms=100",
                    "--order-life-ms=1000",
                )

    def test_delayed_order_at_a_fenced_engine(self):
        """An order that arrives after its resent copy was run is not run again."""

        async def check(harness: AgentHarness) -> None:
            await self._delay_order_and_reassign(harness)
            await wait_until(lambda: harness.keeper.is_ready("m2"), "m2")
            n_answers = len(harness.engine.order_answers)
            harness.engine.faults.set_faults({"hold_orders": 0})
            await wait_until(
                lambda: len(harness.engine.order_answers) > n_answers,
                "the answer to the delayed order",
            )
            self.assertLessEqual(harness.engine.high_water_bytes, CAPACITY_BYTES)

        config = UNFENCED._replace(checks_fence=True)
        run_check(check, config, "--dialect=fenced", "--order-timeout-ms=100")

    def test_delayed_order_at_an_unfenced_engine(self):
        """Memory stays free for a load order that arrives after its model's unload."""

        async def check(harness: AgentHarness) -> None:
            await self._delay_order_and_reassign(harness)
            await wait_until(
                lambda: harness.keeper.report.reserved_bytes,
                "memory reserved for the delayed order",
            )
            harness.engine.faults.set_faults({"hold_orders": 0})
            await wait_until(lambda: harness.keeper.is_ready("m2"), "m2")
            self.assertLessEqual(harness.engine.high_water_bytes, CAPACITY_BYTES)
            self.assertGreaterEqual(harness.engine.state()["n_loads"], 3)

        flags = ("--dialect=unfenced", "--order-timeout-ms=100", "--order-life-ms=4000")
        run_check(check, UNFENCED, *flags)

    async def _delay_order_and_reassign(self, harness: AgentHarness) -> None:
        """Hold back the first load order and then assign another model."""
        harness.engine.faults.set_faults({"hold_orders": 1})
        await harness.keeper.assign(1, 1, make_model("m1"))
        await wait_until(
            lambda: not harness.engine.faults.count_left("hold_orders"),
            "the order to arrive",
        )
        await harness.keeper.assign(1, 2, make_model("m2"))

    def test_lost_load_order_is_undone(self):
        """A load whose order was lost is undone once the model is not assigned."""

        async def check(harness: AgentHarness) -> None:
            harness.engine.faults.set_faults({"lose_orders": 1})
            await harness.keeper.assign(1, 1, make_model("m1"))
            await wait_until(
                lambda: not harness.engine.faults.count_left("lose_orders"),
                "the lost order",
            )
            await harness.keeper.assign(1, 2)
            await wait_until(
                lambda: (
                    not harness.keeper.get_model_states()
                    and not harness.engine.committed_bytes
                ),
                "an empty engine",
            )
            self.assertEqual(harness.keeper.n_released_permits, 1)

        run_check(check, UNFENCED._replace(checks_fence=True), "--order-timeout-ms=100")

    def test_delayed_order_of_a_killed_agent(self):
        """Memory stays free for an order that arrives after its agent was killed."""

        async def check(harness: AgentHarness) -> None:
            await self._restart_with_delayed_order(harness)
            await harness.keeper.assign(1, 2, make_model("m2"))
            await wait_until(
                lambda: harness.keeper.report.assignment_revision == 2,
                "the report of the assignment",
            )
            self.assertEqual(harness.keeper.report.reserved_bytes, CAPACITY_BYTES)
            harness.engine.faults.set_faults({"hold_orders": 0})
            await wait_until(lambda: harness.keeper.is_ready("m2"), "m2")
            self.assertLessEqual(harness.engine.high_water_bytes, CAPACITY_BYTES)

        run_check(check, UNFENCED, "--dialect=unfenced", "--order-life-ms=4000")

    def test_too_short_order_life_overflows(self):
        """The engine exceeds its memory when the order life is set too short.

        This shows that the order life is what protects the memory in the test of a
        killed agent.
        """

        async def check(harness: AgentHarness) -> None:
            await self._restart_with_delayed_order(harness)
            await harness.keeper.assign(1, 2, make_model("m2"))
            await wait_until(lambda: harness.keeper.is_ready("m2"), "m2")
            harness.engine.faults.set_faults({"hold_orders": 0})
            await wait_until(
                lambda: harness.engine.high_water_bytes > CAPACITY_BYTES,
                "more memory in use than the engine has",
            )

        run_check(check, UNFENCED, "--dialect=unfenced", "--order-life-ms=0")

    def test_delayed_order_is_refused_by_its_fence(self):
        """An engine refuses orders of the agent's process before a restart.

        The restarted agent raises the fencing number at the engine.
        """

        async def check(harness: AgentHarness) -> None:
            await self._restart_with_delayed_order(harness)
            await harness.keeper.assign(1, 2, make_model("m2"))
            await wait_until(lambda: harness.keeper.is_ready("m2"), "m2")
            harness.engine.faults.set_faults({"hold_orders": 0})
            refused = {"state": "refused", "reason": "old fence"}
            await wait_until(
                lambda: refused in harness.engine.order_answers,
                "the refusal of the delayed order",
            )
            self.assertLessEqual(harness.engine.high_water_bytes, CAPACITY_BYTES)

        run_check(check, UNFENCED._replace(checks_fence=True), "--dialect=fenced")

    async def _restart_with_delayed_order(self, harness: AgentHarness) -> None:
        """Hold back a load order, kill the agent and start it again."""
        harness.engine.faults.set_faults({"hold_orders": 1})
        await harness.keeper.assign(1, 1, make_model("m1"))
        await wait_until(
            lambda: not harness.engine.faults.count_left("hold_orders"),
            "the order to arrive",
        )
        await harness.kill()
        await harness.start()

    def test_outdated_assignments(self):
        """An assignment of an older term or revision is ignored."""

        async def check(harness: AgentHarness) -> None:
            await harness.keeper.assign(2, 5, make_model("m2"))
            await wait_until(lambda: harness.keeper.is_ready("m2"), "m2")
            await harness.keeper.assign(1, 9, make_model("m1"))
            await harness.keeper.assign(2, 4, make_model("m1"))
            await wait_until(
                lambda: _has_refused_assignments(harness, 2), "two refused assignments"
            )
            await harness.keeper.assign(
                2, 6, make_model("m2"), make_model("m3", memory_bytes=500)
            )
            await wait_until(lambda: harness.keeper.is_ready("m3"), "m3")
            self.assertEqual(harness.keeper.permitted_models, ["m2", "m3"])
            self.assertLessEqual(harness.engine.high_water_bytes, CAPACITY_BYTES)

        run_check(check, UNFENCED._replace(checks_fence=True))

    def test_replacement_beside_the_old_version(self):
        """Where both versions fit, the old one serves until the new one is ready."""

        async def check(harness: AgentHarness) -> None:
            await harness.keeper.assign(1, 1, make_model("m1", "1", 1_000))
            await wait_until(lambda: harness.keeper.is_ready("m1", "1"), "version 1")
            harness.engine.faults.set_faults({"hold_orders": 1})
            await harness.keeper.assign(1, 2, make_model("m1", "2", 1_000))
            await wait_until(
                lambda: ("m1", "2") in harness.keeper.get_model_states(), "version 2"
            )
            self.assertTrue(harness.keeper.is_ready("m1", "1"))
            harness.engine.faults.set_faults({"hold_orders": 0})
            await wait_until(
                lambda: harness.keeper.get_model_states() == {("m1", "2"): "ready"},
                "version 2 alone",
            )

        run_check(check, UNFENCED._replace(checks_fence=True))

    def test_replacement_after_the_old_version(self):
        """Where the versions do not fit together, the old one is unloaded first."""

        async def check(harness: AgentHarness) -> None:
            await harness.keeper.assign(1, 1, make_model("m1", "1"))
            await wait_until(lambda: harness.keeper.is_ready("m1", "1"), "version 1")
            await harness.keeper.assign(1, 2, make_model("m1", "2"))
            await wait_until(lambda: harness.keeper.is_ready("m1", "2"), "version 2")
            self.assertLessEqual(harness.engine.high_water_bytes, CAPACITY_BYTES)

        run_check(check, UNFENCED._replace(checks_fence=True))

    def test_adapters_and_their_base(self):
        """An adapter is loaded after its base model and unloaded before it."""

        async def check(harness: AgentHarness) -> None:
            adapter = DesiredModel("a1", "1", "adapter", "m1", 100)
            await harness.keeper.assign(1, 1, adapter, make_model("m1"))
            await wait_until(lambda: harness.keeper.is_ready("a1"), "a1")
            await harness.keeper.assign(1, 2)
            await wait_until(
                lambda: not harness.keeper.get_model_states(), "an empty engine"
            )
            refused = [
                answer
                for answer in harness.engine.order_answers
                if answer["state"] == "refused"
            ]
            self.assertEqual(refused, [])

        run_check(check, UNFENCED._replace(checks_fence=True))


async def _has_refused_assignments(harness: AgentHarness, n_refused: int) -> bool:
    _, text = await harness.client.call("GET", "/metrics")
    name = b'cowslip_agent_assignments_refused_total{reason="ORDER_STALE"}'
    return name + f" {n_refused}".encode() in text
