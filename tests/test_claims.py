"""The table of claims, the keys of claims and the agents' records of attempts."""

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

# Limits of the table, small so that random steps can reach them.
KEEP_MS = 100
MAX_CLAIMS = 3
MAX_CLAIM_ANSWER_BYTES = 20
MAX_CLAIM_ANSWERS_BYTES = 30
# Dates of the keys in milliseconds; 0 stands for a key without a date.
KEY_TIMES_MS = (0, 40, 80, 120)
PROPERTY_SETTINGS = settings(derandomize=True, deadline=None, max_examples=300)

# One step: the action, the date of its key, a variant and the time since the last step.
STEP_STRATEGY = st.tuples(
    st.sampled_from(
        ("begin", "attempt", "void", "released", "unknown", "answered", "answered")
    ),
    st.sampled_from(KEY_TIMES_MS),
    st.integers(0, 2),
    st.integers(0, 30),
)


class ClaimHistory:
    """A table, the commands applied to it, and the attempts that it has opened."""

    def __init__(self):
        self.table = ClaimTable()
        self.now_ms = 0
        self.commands: list[tuple[int, Any]] = []
        self.opened: set[tuple] = set()
        self.may_have_run: set[str] = set()

    def apply_step(self, step: tuple) -> Any:
        """Apply a step and check the conditions that hold for any table."""
        action, key_time_ms, variant, elapsed_ms = step
        self.now_ms += elapsed_ms
        key = f"k{key_time_ms}"
        before = self.table.get_state(key)
        command = self._make_command(action, key, key_time_ms, variant, before)
        self.commands.append((len(self.commands) + 1, command))
        result = self.table.apply(*self.commands[-1])
        self._check_conditions(key, before)
        return result

    def _make_command(
        self, action: str, key: str, key_time_ms: int, variant: int, state: Any
    ) -> Any:
        holder = f"h{len(self.commands)}"
        server_fields = ("s1", "i1", "a1")
        match action:
            case "begin":
                # The last variant reads the state without opening an attempt.
                server_fields = server_fields if variant < 2 else ("", "", "")
                begin = ClaimBegin(key, f"d{variant % 2}", "e", key_time_ms, holder)
                begin = begin._replace(
                    server_id=server_fields[0],
                    incarnation=server_fields[1],
                    agent_addr=server_fields[2],
                )
                return ClaimBeginCommand(begin, self.now_ms, KEEP_MS, MAX_CLAIMS)
            case "attempt":
                attempt_number = state.attempt + variant
                attempt = ClaimAttempt(
                    key, attempt_number, *server_fields, state.epoch, holder
                )
                return ClaimAttemptCommand(attempt, self.now_ms)
        attempt_number = state.attempt - (variant == 2)
        body = b"x" * (variant * 15)
        finish = ClaimFinish(key, attempt_number, action, 200, b"[]", body, state.epoch)
        return ClaimFinishCommand(
            finish, self.now_ms, MAX_CLAIM_ANSWER_BYTES, MAX_CLAIM_ANSWERS_BYTES
        )

    def _check_conditions(self, key: str, before: Any) -> None:
        after = self.table.get_state(key)
        attempt = (key, after.epoch, after.attempt)
        is_same_attempt = (before.epoch, before.attempt) == (after.epoch, after.attempt)
        if after.status == "open" and not (before.status == "open" and is_same_attempt):
            assert attempt not in self.opened, "the attempt was opened before"
            assert key not in self.may_have_run, "the request of the key may have run"
            self.opened.add(attempt)
        if after.status in ("answered", "unknown") and key != "k0":
            self.may_have_run.add(key)
        states = [
            self.table.get_state(f"k{key_time_ms}") for key_time_ms in KEY_TIMES_MS
        ]
        assert self.table.n_open == sum(s.status == "open" for s in states)
        assert len(self.table) == sum(s.status != "new" for s in states) <= MAX_CLAIMS
        n_bytes = sum(len(s.answer_headers + s.answer_body) for s in states)
        assert self.table.answers_bytes == n_bytes <= MAX_CLAIM_ANSWERS_BYTES


class TestClaimTable(unittest.TestCase):
    """The replicated table of claims."""

    @PROPERTY_SETTINGS
    @given(st.lists(STEP_STRATEGY, max_size=40))
    def test_attempts_open_once(self, steps):
        """An attempt is opened once, and none after one that may have run.

        Keys without a date are exempt from the second condition, because such a key
        can be used anew once its claim has expired.
        """
        history = ClaimHistory()
        for step in steps:
            history.apply_step(step)

    @PROPERTY_SETTINGS
    @given(st.lists(STEP_STRATEGY, max_size=40), st.integers(0, 40))
    def test_snapshot_round_trip(self, steps, cut):
        """A table restored from a snapshot applies commands as the original does."""
        history = ClaimHistory()
        for step in steps:
            history.apply_step(step)
        restored = ClaimTable()
        for index, command in history.commands[:cut]:
            restored.apply(index, command)
        restored = ClaimTable.from_json(restored.to_json())
        for index, command in history.commands[cut:]:
            restored.apply(index, command)
        self.assertEqual(restored.to_json(), history.table.to_json())
        self.assertEqual(restored.n_open, history.table.n_open)
        self.assertEqual(restored.answers_bytes, history.table.answers_bytes)

    def test_void_then_answer(self):
        """A claim opens another attempt after a void, and returns its answer."""
        history = ClaimHistory()
        for action in ("begin", "void", "attempt", "answered"):
            state = history.apply_step(
                (action, 0, 1 if action != "begin" else 0, 1)
            ).unwrap()
        self.assertEqual((state.status, state.attempt), ("answered", 2))
        self.assertEqual((state.answer_status, state.answer_body), (200, b"x" * 15))

    def test_released_claim_refuses_attempts_of_its_epoch(self):
        """No attempt of an earlier epoch opens after a claim was released.

        The caller of a released claim has been told that its request did not run.
        """
        history = ClaimHistory()
        begun = history.apply_step(("begin", 0, 0, 1)).unwrap()
        released = history.apply_step(("released", 0, 0, 1)).unwrap()
        late = ClaimAttempt("k0", 2, "s1", "i1", "a1", begun.epoch, "h")
        refused = history.table.apply(9, ClaimAttemptCommand(late, 3)).unwrap()
        self.assertEqual((released.status, refused.status), ("released",) * 2)
        history.apply_step(("begin", 0, 0, 1))
        again = history.table.apply(11, ClaimAttemptCommand(late, 4)).unwrap()
        self.assertEqual((again.attempt, again.holder), (2, "h2"))

    def test_full_table_refuses(self):
        """A full table refuses new keys and drops no claim before it expires."""
        history = ClaimHistory()
        for key_time_ms in KEY_TIMES_MS[:3]:
            history.apply_step(("begin", key_time_ms, 0, 0))
        refused = history.apply_step(("begin", KEY_TIMES_MS[3], 0, 0)).failure()
        self.assertEqual(refused.code, Code.CLAIMS_UNAVAILABLE)
        self.assertEqual(len(history.table), 3)

    def test_key_dated_far_ahead(self):
        """A key that is dated far ahead of the table's time is refused."""
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
