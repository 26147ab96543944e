"""Prompts with a part that ends each server that begins to answer them."""

import random
import unittest

import anyio

from cowslipwood.kernel.codes import CODE_INFO, Outcome

from .crash_builders import CrashingFleet, send_prompt

# Number of servers that may end under one part.
MAX_ENDED = 5


class OneEntryTest(unittest.TestCase):
    """One entry before six servers."""

    # Requests of one kind ended server after server, without end.
    def test_part_that_ends_servers_is_refused(self):
        """No more than five servers end, and sound requests are all answered."""

        async def main() -> tuple[CrashingFleet, list, list]:
            rng = random.Random(3)
            bad, sound = [], []
            async with anyio.create_task_group() as tasks:
                fleet = CrashingFleet(tasks, 6)
                await fleet.start()
                state = fleet.add_entry()
                for number in range(60):
                    is_bad = number % 3 == 2
                    answer = await send_prompt(state, rng, is_bad)
                    (bad if is_bad else sound).append(answer)
                tasks.cancel_scope.cancel()
            return fleet, bad, sound

        fleet, bad, sound = anyio.run(main)
        self.assertLessEqual(fleet.n_ended, MAX_ENDED)
        self.assertLessEqual(fleet.n_bad_arrivals, MAX_ENDED)
        self.assertTrue(all(sink.is_complete for _, sink in sound))
        fault, _ = bad[-1]
        self.assertIs(fault.outcome, Outcome.NOT_RUN)
        self.assertEqual(CODE_INFO[fault.code].http_status, 503)
