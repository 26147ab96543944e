"""Requests that end each server that begins to run them, at whatever entry."""

import random
import unittest

import anyio

from cowslipwood.kernel.codes import CODE_INFO, Outcome
from cowslipwood.routes import RouteKind

from .crash_builders import BAD_TARGET, CrashingFleet, send_target, share_evidence
from .direct_builders import build_route

# Number of servers that may end under one request before every entry refuses it.
MAX_ENDED = 3
SAFE_ROUTE = build_route(kind=RouteKind.SAFE, max_attempts=2)
UNSAFE_ROUTE = build_route(kind=RouteKind.UNSAFE, max_attempts=1)


class CrashingRequestTest(unittest.TestCase):
    """Entries that exchange what they see, before nine servers."""

    def _play(self, route=None, answers_first: bool = True) -> tuple:
        async def main() -> tuple:
            rng = random.Random(11)
            bad, sound = [], []
            async with anyio.create_task_group() as tasks:
                fleet = CrashingFleet(tasks, 9, answers_first)
                await fleet.start()
                states = [fleet.add_entry() for _ in range(4)]
                for number in range(80):
                    state = rng.choice(states)
                    is_bad = number % 4 == 3
                    target = BAD_TARGET if is_bad else b"/orders/%d" % number
                    answer = await send_target(state, rng, target, route)
                    (bad if is_bad else sound).append(answer)
                    # Ends at one moment count once, so the next server ends later.
                    await anyio.sleep(0.2 if is_bad and not answers_first else 0.001)
                    share_evidence(states)
                tasks.cancel_scope.cancel()
            return fleet, bad, sound

        return anyio.run(main)

    def _check(self, fleet, bad, sound) -> None:
        self.assertLessEqual(fleet.n_ended, MAX_ENDED)
        self.assertTrue(all(sink.is_complete for _, sink in sound))
        fault, _ = bad[-1]
        self.assertIs(fault.outcome, Outcome.NOT_RUN)
        self.assertEqual(CODE_INFO[fault.code].http_status, 503)

    # One request ended server after server, as its prompt's parts were sound.
    def test_prompt_of_sound_parts(self):
        """A streamed request that ends servers is refused after the third end."""
        self._check(*self._play())

    # A request without a prompt ended server after server.
    def test_plain_service(self):
        """A request of a plain service that ends servers is refused as well."""
        for route in (SAFE_ROUTE, UNSAFE_ROUTE):
            with self.subTest(kind=route.kind):
                self._check(*self._play(route, answers_first=False))
