"""Requests that end each server that begins to run them, at whatever entry."""

import random
import unittest

import anyio.lowlevel

from cowslipwood.crash_evidence import REQUEST_MARK, CrashLedger, EndEvidence
from cowslipwood.entry.direct._identity import RequestIdentity
from cowslipwood.entry.direct._part_guard import PartGuard
from cowslipwood.kernel.codes import CODE_INFO, Outcome
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.listing import to_server_view
from cowslipwood.routes import RouteKind

from .crash_builders import BAD_TARGET, CrashingFleet, send_target, share_evidence
from .crash_model import BAD_REQUEST, CrashModel, ModelSettings
from .direct_builders import NAMES, build_listed_server, build_request, build_route

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


class ManyEntriesTest(unittest.TestCase):
    """Entries that exchange their evidence through a leader, in model time."""

    # Every entry started from nothing, and cut requests are sent again beside it.
    def test_request_is_refused_everywhere(self):
        """A request is sent nowhere 3 s after its third end; sound ones go on."""
        for model_settings in (
            ModelSettings(n_bad_parts=0, bad_request_per_s=1.5),
            ModelSettings(n_bad_parts=0, bad_request_per_s=10.0),
            ModelSettings(
                n_entries=24,
                n_servers=20,
                n_bad_parts=0,
                bad_request_per_s=4.0,
                n_subjects=2_000,
                duration_s=40.0,
            ),
        ):
            for seed in range(3):
                with self.subTest(settings=model_settings, seed=seed):
                    result = anyio.run(CrashModel(model_settings, seed).run)
                    self.assertEqual(result.n_sent_late[BAD_REQUEST], 0)
                    self.assertLess(result.n_sound_refused, result.n_sound / 100)

    def test_few_servers_end(self):
        """At one such request a second and a half, five servers at most end."""
        played = ModelSettings(n_bad_parts=0, bad_request_per_s=1.5)
        for seed in range(6):
            result = anyio.run(CrashModel(played, seed).run)
            self.assertLessEqual(result.n_ended[BAD_REQUEST], 5)

    def test_parts_and_a_request(self):
        """A part that ends servers is found beside a request that does."""
        played = ModelSettings(n_bad_parts=1, bad_request_per_s=1.5)
        for seed in range(3):
            result = anyio.run(CrashModel(played, seed).run)
            self.assertEqual(set(result.n_sent_late.values()), {0})


def end(
    server_id: str, at_ms: float, awaited: str = "", begun: str = ""
) -> EndEvidence:
    """Return the end of a server; capital letters are requests, others parts."""
    begun_parts, awaited_parts = (
        frozenset(REQUEST_MARK + each if each.isupper() else each for each in letters)
        for letters in (begun, awaited)
    )
    return EndEvidence(server_id, at_ms, begun_parts, awaited_parts)


def find_blocked(ends: list[EndEvidence]) -> set[str]:
    """Return the letters that are refused after this evidence."""
    ledger = CrashLedger()
    for each in ends:
        ledger.record_end(each, ends[-1].at_ms)
    return {part.removeprefix(REQUEST_MARK) for part in ledger.blocks}


class RequestEvidenceTest(unittest.TestCase):
    """Which requests are refused after which evidence."""

    def test_three_ends(self):
        """A request that waited at three servers is refused, at two it is not."""
        ends = [end(str(i), 900.0 * i, f"X{'ABC'[i]}") for i in range(3)]
        self.assertEqual(find_blocked(ends[:2]), set())
        self.assertEqual(find_blocked(ends), {"X"})

    def test_servers_of_one_rack(self):
        """A request that is everywhere is not refused as servers end together."""
        ends = [end(str(i), float(i), "X") for i in range(6)]
        self.assertEqual(find_blocked(ends), set())

    def test_request_before_its_parts(self):
        """If a request was at every end, the parts of its prompt are not refused."""
        ends = [end(str(i), 900.0 * i, begun="Xpq") for i in range(3)]
        self.assertEqual(find_blocked(ends), {"X"})

    def test_part_of_many_requests(self):
        """A part is refused rather than the different requests that it is in."""
        ends = [end(str(i), 900.0 * i, begun=f"{'ABC'[i]}p") for i in range(3)]
        self.assertEqual(find_blocked(ends), {"p"})

    def test_completed_request(self):
        """An answer completed anywhere clears the request, also a refused one."""
        ledger = CrashLedger()
        for i in range(3):
            ledger.record_end(end(str(i), 900.0 * i, "X"), 1_800.0)
        self.assertTrue(ledger.blocks)
        ledger.record_cleared([REQUEST_MARK + "X"], 1_900.0)
        self.assertFalse(ledger.blocks)

    # Requests that many callers send alike were there at every end.
    def test_request_of_many_callers(self):
        """A request that is answered between the ends is not refused."""

        async def main() -> None:
            guard = PartGuard(Metrics("entry"), _always_gone)
            mark = REQUEST_MARK + "popular"
            for i in range(8):
                now_ms = 1_000.0 * i
                view = to_server_view(build_listed_server(f"s{i}", "127.0.0.1:9"), ())
                await guard.record_break(view, (), False, now_ms, mark)
                self.assertTrue(guard.accuses_requests or i)
                guard.record_complete((mark,), now_ms + 300.0)
                self.assertIsNone(guard.check((mark,), now_ms + 400.0))

        anyio.run(main)


async def _always_gone(addr: str) -> bool:
    return True


class RequestIdentityTest(unittest.TestCase):
    """By what a request is recognised."""

    def _identify(self, key: bytes = b"k", body: bytes = b"", **headers: str) -> str:
        request = build_request(build_route(), **headers)._replace(body=body)
        return anyio.run(RequestIdentity(request, NAMES, key).compute)

    def test_same_request(self):
        """Its id and its time limit change nothing."""
        first = self._identify(x_request_id="q1", x_deadline_ms="100")
        self.assertEqual(first, self._identify(x_request_id="q2", x_deadline_ms="90"))

    def test_other_requests(self):
        """Another body, caller or key of the system gives another digest."""
        base = self._identify(body=b"x" * 200_000)
        others = [
            self._identify(body=b"x" * 199_999 + b"y"),
            self._identify(body=b"x" * 200_000, authorization="a"),
            self._identify(key=b"other", body=b"x" * 200_000),
        ]
        self.assertNotIn(base, others)

    def test_long_body_lets_others_run(self):
        """A body of 4 MB is hashed in slices between which other tasks run."""

        async def main() -> int:
            request = build_request(build_route())._replace(body=b"x" * 4_000_000)
            n_turns = 0

            async def count() -> None:
                nonlocal n_turns
                while True:
                    n_turns += 1
                    await anyio.lowlevel.checkpoint()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(count)
                await RequestIdentity(request, NAMES, b"k").compute()
                tasks.cancel_scope.cancel()
            return n_turns

        self.assertGreater(anyio.run(main), 50)
