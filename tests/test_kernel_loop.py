"""Delays of the event loop: how they are measured, and how long work avoids them."""

import unittest

import anyio

from cowslipwood.kernel.loop_delay import ClockReadings, LoopDelay, measure_loop_delay
from cowslipwood.kernel.pacing import WorkPacer

from .large_fleet import simulate_processor

SLEPT_MS = 50.0


class MeasureLoopDelayTest(unittest.TestCase):
    """What the process did while a task was late."""

    BEFORE = ClockReadings(1_000.0, 500.0, 40.0)

    def _measure(self, *elapsed_ms: float) -> LoopDelay:
        after = ClockReadings(*map(sum, zip(self.BEFORE, elapsed_ms, strict=True)))
        return measure_loop_delay(self.BEFORE, after, SLEPT_MS)

    def test_on_time(self):
        """A task that runs when it is due has no delay."""
        self.assertEqual(self._measure(50.0, 50.0, 1.0), LoopDelay(0.0, 0.0, 1.0))

    def test_own_work(self):
        """Work of the process itself shows as processor time."""
        self.assertEqual(self._measure(450.0, 450.0, 400.0), (400.0, 0.0, 400.0))

    def test_suspended_host(self):
        """Time for which the host was suspended is told apart."""
        self.assertEqual(self._measure(2_050.0, 50.0, 1.0), (2_000.0, 2_000.0, 1.0))


class WorkPacerTest(unittest.TestCase):
    """A computation that gives way to other tasks."""

    MAX_SLICE_MS = 10.0
    UNIT_MS = 4.0
    N_UNITS = 30

    def test_slices(self):
        """Other tasks run after each slice, whose durations are added up."""
        n_turns = 0

        async def count_turns() -> None:
            nonlocal n_turns
            while True:
                n_turns += 1
                await anyio.sleep(0)

        async def work() -> WorkPacer:
            with simulate_processor(self.UNIT_MS) as processor:
                pacer = WorkPacer(self.MAX_SLICE_MS)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(count_turns)
                    for _ in range(self.N_UNITS):
                        processor.count_evaluation()
                        await pacer.give_way()
                    tasks.cancel_scope.cancel()
            return pacer

        pacer = anyio.run(work)
        # Three units end a slice.
        self.assertGreaterEqual(n_turns, self.N_UNITS // 3)
        self.assertGreaterEqual(pacer.worked_ms, self.UNIT_MS * (self.N_UNITS - 3))
        self.assertGreaterEqual(pacer.longest_slice_ms, self.MAX_SLICE_MS)
