"""The table of claims, the keys and the agents' marks of attempts."""

import random
import unittest
from typing import Any

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err

from cowslipwood.agent._attempts import (
    ATTEMPT_HEADER,
    EXPIRES_HEADER,
    INCARNATION_HEADER,
    MAX_ANSWER_BYTES,
    AttemptTable,
)
from cowslipwood.catalogue import parse_entry
from cowslipwood.entry.claims._claim_keys import make_claim_key
from cowslipwood.keeper._claim_table import ClaimTable
from cowslipwood.keeper._commands import (
    ClaimAttemptCommand,
    ClaimBeginCommand,
    ClaimFinishCommand,
)
from cowslipwood.kernel.codes import Code, failure
from cowslipwood.kernel.http import Request
from cowslipwood.kernel.messages import (
    AttemptQuery,
    ClaimAttempt,
    ClaimBegin,
    ClaimFinish,
)
from cowslipwood.kernel.metrics import Metrics

from .builders import service_value

KEEP_MS = 100
MAX_CLAIMS = 3
MAX_ANSWER = 20
MAX_ANSWERS = 30
# The key's number is its date; the first one carries none.
KEYS = (0, 40, 80, 120)
LAW = settings(derandomize=True, deadline=None, max_examples=300)

STEP = st.tuples(
    st.sampled_from(
        ("begin", "attempt", "void", "released", "unknown", "answered", "answered")
    ),
    st.sampled_from(KEYS),
    st.integers(0, 2),
    st.integers(0, 30),
)


class History:
    """A table, the commands that it took, and what it has let run."""

    def __init__(self):
        self.table = ClaimTable()
        self.now_ms = 0
        self.commands: list[tuple[int, Any]] = []
        self.opened: set[tuple] = set()
        self.may_have_run: set[str] = set()

    def take(self, step: tuple) -> Any:
        """Apply a step and check what must hold of any table."""
        what, dated_ms, variant, elapsed_ms = step
        self.now_ms += elapsed_ms
        key = f"k{dated_ms}"
        before = self.table.state(key)
        command = self._command(what, key, dated_ms, variant, before)
        self.commands.append((len(self.commands) + 1, command))
        result = self.table.apply(*self.commands[-1])
        self._check(key, before)
        return result

    def _command(
        self, what: str, key: str, dated_ms: int, variant: int, state: Any
    ) -> Any:
        holder = f"h{len(self.commands)}"
        place = ("s1", "i1", "a1")
        match what:
            case "begin":
                # The last variant asks for the state without an attempt.
                place = place if variant < 2 else ("", "", "")
                begin = ClaimBegin(key, f"d{variant % 2}", "e", dated_ms, holder)
                begin = begin._replace(
                    server_id=place[0], incarnation=place[1], agent_addr=place[2]
                )
                return ClaimBeginCommand(begin, self.now_ms, KEEP_MS, MAX_CLAIMS)
            case "attempt":
                number = state.attempt + variant
                wanted = ClaimAttempt(key, number, *place, state.epoch, holder)
                return ClaimAttemptCommand(wanted, self.now_ms)
        number = state.attempt - (variant == 2)
        body = b"x" * (variant * 15)
        finish = ClaimFinish(key, number, what, 200, b"[]", body, state.epoch)
        return ClaimFinishCommand(finish, self.now_ms, MAX_ANSWER, MAX_ANSWERS)

    def _check(self, key: str, before: Any) -> None:
        after = self.table.state(key)
        attempt = (key, after.epoch, after.attempt)
        held = (before.epoch, before.attempt) == (after.epoch, after.attempt)
        if after.status == "open" and not (before.status == "open" and held):
            assert attempt not in self.opened, "an attempt is opened once"
            assert key not in self.may_have_run, "a run key is not opened again"
            self.opened.add(attempt)
        if after.status in ("answered", "unknown") and key != "k0":
            self.may_have_run.add(key)
        states = [self.table.state(f"k{dated_ms}") for dated_ms in KEYS]
        assert self.table.n_open == sum(s.status == "open" for s in states)
        assert len(self.table) == sum(s.status != "new" for s in states) <= MAX_CLAIMS
        n_bytes = sum(len(s.answer_headers + s.answer_body) for s in states)
        assert self.table.answers_bytes == n_bytes <= MAX_ANSWERS


class TestClaimTable(unittest.TestCase):
    """The replicated table of claims."""

    @LAW
    @given(st.lists(STEP, max_size=40))
    def test_attempts_open_once(self, steps):
        """An attempt opens once, and a dated key that may have run never again."""
        history = History()
        for step in steps:
            history.take(step)

    @LAW
    @given(st.lists(STEP, max_size=40), st.integers(0, 40))
    def test_snapshot_round_trip(self, steps, cut):
        """A table restored from a snapshot goes on as the one it was taken of."""
        history = History()
        for step in steps:
            history.take(step)
        restored = ClaimTable()
        for index, command in history.commands[:cut]:
            restored.apply(index, command)
        restored = ClaimTable.from_json(restored.to_json())
        for index, command in history.commands[cut:]:
            restored.apply(index, command)
        self.assertEqual(restored.to_json(), history.table.to_json())
        self.assertEqual(restored.n_open, history.table.n_open)
        self.assertEqual(restored.answers_bytes, history.table.answers_bytes)

    def test_a_claim_runs_its_course(self):
        """A voided claim opens anew, and its answer is kept and given."""
        history = History()
        for what in ("begin", "void", "attempt", "answered"):
            taken = history.take((what, 0, 1 if what != "begin" else 0, 1)).unwrap()
        self.assertEqual((taken.status, taken.attempt), ("answered", 2))
        self.assertEqual((taken.answer_status, taken.answer_body), (200, b"x" * 15))

    def test_released_claim_refuses_attempts_of_its_epoch(self):
        """Once a claim is told not-run, no submission from before may run it."""
        history = History()
        begun = history.take(("begin", 0, 0, 1)).unwrap()
        released = history.take(("released", 0, 0, 1)).unwrap()
        late = ClaimAttempt("k0", 2, "s1", "i1", "a1", begun.epoch, "h")
        refused = history.table.apply(9, ClaimAttemptCommand(late, 3)).unwrap()
        self.assertEqual((released.status, refused.status), ("released",) * 2)
        history.take(("begin", 0, 0, 1))
        again = history.table.apply(11, ClaimAttemptCommand(late, 4)).unwrap()
        self.assertEqual((again.attempt, again.holder), (2, "h2"))

    def test_full_table_refuses(self):
        """A full table refuses new keys and drops no claim early."""
        history = History()
        for dated_ms in KEYS[:3]:
            history.take(("begin", dated_ms, 0, 0))
        refused = history.take(("begin", KEYS[3], 0, 0)).failure()
        self.assertEqual(refused.code, Code.CLAIMS_UNAVAILABLE)
        self.assertEqual(len(history.table), 3)

    def test_key_dated_far_ahead(self):
        """A key dated far ahead, which would outlive its claim, is refused."""
        begin = ClaimBegin("k", "d", "e", 10**12, "h", "s1", "i1", "a1")
        command = ClaimBeginCommand(begin, 1, KEEP_MS, MAX_CLAIMS)
        self.assertEqual(ClaimTable().apply(1, command).failure().code, Code.BAD_HEADER)


class TestClaimKey(unittest.TestCase):
    """Which requests are claimed and under which key."""

    def key_of(self, repeatable: bool, *key: str, **fields: Any) -> Any:
        """Return the result for a request with at most one key."""
        entry = parse_entry(service_value("deliveries", repeatable=repeatable)).unwrap()
        headers = {"idempotency-key": key[0]} if key else {}
        request = Request("POST", "/x", "/x", headers, b"{}")._replace(**fields)
        return make_claim_key(entry, request, 1_750_000_000_000, random.Random(1))

    def test_who_is_claimed(self):
        """Only a repeatable request without a key needs no claim."""
        self.assertIsNone(self.key_of(True).unwrap())
        self.assertEqual(self.key_of(True, "k").unwrap().idempotency_key, "k")
        made = self.key_of(False).unwrap()
        self.assertEqual(made.key_time_ms, 1_750_000_000_000)

    def test_digest_covers_the_request(self):
        """Method, target and body each change the digest but not the claim's id."""
        first = self.key_of(True, "k").unwrap()
        for fields in ({"method": "PUT"}, {"target": "/y"}, {"body": b"[]"}):
            other = self.key_of(True, "k", **fields).unwrap()
            self.assertEqual(other.claim_id, first.claim_id)
            self.assertNotEqual(other.digest, first.digest)

    def test_bad_keys(self):
        """A key that is empty, too long or not visible ASCII is refused."""
        for text in ("", "k" * 256, "a b", "é"):
            self.assertEqual(self.key_of(True, text).failure().code, Code.BAD_HEADER)


class TestAttemptTable(unittest.TestCase):
    """Attempts of claimed requests at one agent."""

    def setUp(self):
        self.table = AttemptTable("s1", "i1", Metrics("test"))

    def make_headers(self, incarnation: str = "i1", expires_ms: int = 1_000) -> dict:
        """Return the headers of the dispatch of an attempt."""
        return {
            ATTEMPT_HEADER: "a",
            INCARNATION_HEADER: incarnation,
            EXPIRES_HEADER: str(expires_ms),
        }

    def begin_attempt(self, wall_ms: int = 1, **fields: Any) -> Any:
        """Begin the attempt and return it, or the code of the refusal."""
        begun = self.table.begin(self.make_headers(**fields), wall_ms)
        return begun.failure().code if isinstance(begun, Err) else begun.unwrap()

    def query_attempt(self, incarnation: str = "i1") -> Any:
        """Return how the attempt ended, without waiting for its end."""
        query = AttemptQuery("a", "s1", incarnation, 1_000, 0, 0)

        async def send_query() -> Any:
            return (await self.table.query(query, 1)).unwrap()

        return anyio.run(send_query)

    def send_answer(
        self, attempt: Any, status: int, headers: list, body: bytes
    ) -> None:
        """Send an answer that the attempt records."""

        async def send(event: dict) -> None:
            pass

        async def send_events() -> None:
            record = attempt.make_recording_send(send)
            start = {"type": "http.response.start", "status": status}
            await record({**start, "headers": headers})
            await record({"type": "http.response.body", "body": body})

        anyio.run(send_events)

    def test_dispatch_for_another_incarnation_or_expired_claim(self):
        """A dispatch for another incarnation, or for an expired claim, is refused."""
        self.assertEqual(self.begin_attempt(incarnation="i0"), Code.WRONG_INCARNATION)
        self.assertEqual(
            self.query_attempt(incarnation="i0").state, "other-incarnation"
        )
        self.assertEqual(self.begin_attempt(wall_ms=1_000), Code.ATTEMPT_VOIDED)

    def test_voided_attempt_never_begins(self):
        """A voided attempt stays recorded, so that a delayed dispatch is refused."""
        self.assertEqual(self.query_attempt().state, "void")
        self.assertEqual(self.begin_attempt(), Code.ATTEMPT_VOIDED)

    def test_attempt_begins_once(self):
        """A second dispatch is refused, however the first one ended."""
        attempt = self.begin_attempt()
        self.assertEqual(self.begin_attempt(), Code.ATTEMPT_REPEATED)
        self.assertEqual(self.query_attempt().state, "running")
        leaving = failure(Code.AGENT_LEAVING)
        refusal = self.table.refuse(self.make_headers(), leaving, 1)
        self.assertEqual(refusal.code, Code.ATTEMPT_REPEATED)
        self.send_answer(attempt, 200, [(b"content-type", b"text/plain")], b"yes")
        self.assertEqual(self.begin_attempt(), Code.ATTEMPT_REPEATED)
        end = self.query_attempt()
        self.assertEqual((end.state, end.status, end.body), ("answered", 200, b"yes"))

    def test_refused_attempt_never_begins(self):
        """An attempt that the agent refused stays void."""
        leaving = failure(Code.AGENT_LEAVING)
        self.assertEqual(self.table.refuse(self.make_headers(), leaving, 1), leaving)
        self.assertEqual(self.begin_attempt(), Code.ATTEMPT_VOIDED)

    def test_attempt_state_after_a_refusal_by_the_agent(self):
        """An attempt that did not run is void, one that may have run is cut."""
        outcome = b"x-cowslip-outcome"
        self.send_answer(self.begin_attempt(), 503, [(outcome, b"not-run")], b"")
        self.assertEqual(self.query_attempt().state, "void")
        self.setUp()
        self.send_answer(self.begin_attempt(), 504, [(outcome, b"unknown")], b"")
        self.assertEqual(self.query_attempt().state, "cut")
        self.setUp()
        with self.begin_attempt():
            pass
        self.assertEqual(self.query_attempt().state, "cut")

    def test_large_answer_is_not_kept(self):
        """An answer above the size limit counts as answered but is not kept."""
        self.send_answer(self.begin_attempt(), 200, [], b"x" * (MAX_ANSWER_BYTES + 1))
        end = self.query_attempt()
        self.assertEqual((end.state, end.kept, end.body), ("answered", False, b""))
