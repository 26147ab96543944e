"""A leader with many engines, models and entries goes on to lead and to place models.

No network: processor time is simulated, at a fixed time for each evaluation.
"""

import unittest
from typing import Any
from unittest import mock

import anyio

from cowslipwood.kernel.messages import HolderReply, HolderRequest
from cowslipwood.replication._state import Timing

from .large_fleet import (
    LARGE_FLEET,
    make_entry_reports,
    make_large_fleet,
    make_moved_demand,
    simulate_processor,
)

# Time of one evaluation of a model on an engine on a slow host.
EVALUATION_MS = 0.005
# Interval between the reports of one entry.
REPORT_INTERVAL_S = 0.3
# Time for which callers wait for a model.
PATIENCE_MS = 500.0
# Time after which every entry has reported the moved demand and a plan is due.
SETTLING_S = 2.0


class _StretchWatch:
    """Measures how much processor time passes between two turns of a task."""

    def __init__(self, processor):
        self._processor = processor
        self.longest_ms = 0.0

    async def run(self) -> None:
        last_ms = self._processor.used_ms
        while True:
            await anyio.sleep(0.001)
            used_ms = self._processor.used_ms
            self.longest_ms = max(self.longest_ms, used_ms - last_ms)
            last_ms = used_ms


async def _report_demand(controller, processor) -> None:
    """Report the moved demand for all entries, again and again."""
    reports = make_entry_reports(make_moved_demand())
    while True:
        now_ms = processor.now_ms()
        for report in reports:
            controller.record_entry_report(report, now_ms)
        await anyio.sleep(REPORT_INTERVAL_S)


def _run_large_fleet(scenario) -> Any:
    """Run a scenario beside a controller of a large fleet and the entries' reports.

    Returns what the scenario returns.
    """

    async def main() -> Any:
        fleet = make_large_fleet()
        controller = fleet.make_controller()
        with simulate_processor(EVALUATION_MS) as processor:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(controller.run)
                tasks.start_soon(_report_demand, controller, processor)
                result = await scenario(fleet, controller, processor)
                tasks.cancel_scope.cancel()
        return result

    return anyio.run(main)


class MovedDemandOnManyEnginesTest(unittest.TestCase):
    """Demand has moved, so that most engines should hold other models."""

    def test_heartbeats_are_on_time(self):
        """Planning never keeps other tasks waiting for an interval of heartbeats."""

        # A planning pass over all engines ran for a second on the leader's event loop.
        async def scenario(fleet, controller, processor):
            watch = _StretchWatch(processor)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch.run)
                await anyio.sleep(SETTLING_S)
                tasks.cancel_scope.cancel()
            return watch.longest_ms, len(fleet.orders)

        longest_ms, n_orders = _run_large_fleet(scenario)
        self.assertLess(longest_ms, Timing().heartbeat_ms)
        self.assertGreater(n_orders, 0)

    def test_missing_model_is_loaded_in_time(self):
        """The load of a missing model begins before its callers come back."""

        # After a long planning pass, none followed for ten times as long.
        async def scenario(fleet, controller, processor):
            await anyio.sleep(SETTLING_S)
            held = {name for engine in fleet.engines.values() for name in engine.held}
            missing = next(
                model.name for model in fleet.spec.models if model.name not in held
            )
            asked_ms = processor.now_ms()
            request = HolderRequest("llm", missing, "", "", PATIENCE_MS)
            refused = await controller.find_holder(request)
            while missing not in {order.model for order in fleet.orders}:
                if processor.now_ms() - asked_ms > refused.retry_after_ms:
                    return False
                await anyio.sleep(0.005)
            return True

        self.assertTrue(_run_large_fleet(scenario))


class ManyLookupsTest(unittest.TestCase):
    """Every entry looks up models that no engine holds."""

    def test_heartbeats_are_on_time(self):
        """Answering the lookups never keeps other tasks waiting for a heartbeat."""

        # Each lookup searched all engines for the one that would load the model.
        async def scenario(fleet, controller, processor):
            await anyio.sleep(SETTLING_S)
            watch = _StretchWatch(processor)
            models = [model.name for model in fleet.spec.models]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch.run)
                for number in range(LARGE_FLEET.n_entries):
                    request = HolderRequest("llm", models[-1 - number % 40], "", "", 50)
                    tasks.start_soon(controller.find_holder, request)
                await anyio.sleep(0.2)
                tasks.cancel_scope.cancel()
            return watch.longest_ms

        self.assertLess(_run_large_fleet(scenario), Timing().heartbeat_ms)

    def test_lookups_of_one_model_share_a_search(self):
        """Seventy lookups for one model look at the engines as often as one does."""
        # Each of them looked at all engines every 20 ms.
        counts = []

        async def scenario(fleet, controller, processor):
            await anyio.sleep(SETTLING_S)
            spec = fleet.spec.models[-1]
            list_engines = controller._fleet.list_engines

            def count(service: str) -> list:
                counts[-1] += 1
                return list_engines(service)

            with mock.patch.object(controller._fleet, "list_engines", count):
                for n_lookups in (1, LARGE_FLEET.n_entries):
                    counts.append(0)
                    async with anyio.create_task_group() as tasks:
                        for _ in range(n_lookups):
                            request = HolderRequest("llm", spec.name, "missing", "", 0)
                            tasks.start_soon(controller._wait_for_holder, request, spec)
                        await anyio.sleep(0.2)
                        tasks.cancel_scope.cancel()

        _run_large_fleet(scenario)
        self.assertLess(counts[1], 3 * counts[0])

    def test_failed_search(self):
        """A search that fails refuses its lookups, and later ones are answered."""

        # The failure would end all tasks of the controller.
        async def scenario(fleet, controller, processor):
            await anyio.sleep(SETTLING_S / 4)
            held = next(iter(fleet.engines["s0"].held))
            request = HolderRequest("llm", held, "", "", 200)
            with mock.patch.object(
                controller, "_find_or_load_holder", side_effect=ArithmeticError
            ):
                await controller._wait_for_holder(request, fleet.spec.models[0])
            return await controller.find_holder(request)

        self.assertIsInstance(_run_large_fleet(scenario), HolderReply)

    def test_new_term_during_a_lookup(self):
        """A lookup is answered though a term begins while its search pauses."""

        # The estimates of the earlier term are discarded at that moment.
        async def scenario(fleet, controller, processor):
            await anyio.sleep(SETTLING_S / 4)
            replies = []

            async def look_up(model: str) -> None:
                request = HolderRequest("llm", model, "", "", 50)
                replies.append(await controller.find_holder(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(look_up, fleet.spec.models[-1].name)
                while not replies:
                    controller._ready_time.clear()
                    await anyio.sleep(0)
            return replies

        self.assertEqual(len(_run_large_fleet(scenario)), 1)
