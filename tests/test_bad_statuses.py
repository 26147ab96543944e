"""Answers whose status is no HTTP status."""

import unittest
from typing import Any

import anyio
import orjson

from cowslipwood.agent._forward import BackendCall, Forwarder, ForwardOutcome
from cowslipwood.entry.direct._exchange import RequestForwarder
from cowslipwood.kernel.codes import Code, Outcome, failure

from .answer_builders import CallerAnswer, call_entry
from .builders import model_value
from .direct_builders import (
    RecordingSink,
    always_send,
    build_answer,
    build_direct_state,
    build_listed_server,
    build_request,
    build_route,
    create_rng,
    run_scripted_server,
)
from .entry_builders import (
    make_engine_view,
    make_entry,
    make_entry_call,
    make_router,
    make_view,
)

BAD_STATUSES = ("000", "099", "600", "999", "20", "2000", "abc", "-20", "1e2", "")
REASONS = (" OK", "")
# Time, in seconds, within which a caller must have its answer. The routes' own time is
# longer, so that an answer at its end is none.
ANSWER_TIMEOUT_S = 10.0
ROUTES = (
    {"kind": "safe"},
    {"kind": "unsafe"},
    {"kind": "streaming"},
    {"kind": "streaming", "is_resumable": True},
)


def call(scripts: list, **route: Any) -> tuple[CallerAnswer, list[bytes]]:
    """Return the answer of an entry whose servers have these scripts."""

    async def main() -> tuple[CallerAnswer, list[bytes]]:
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            return await call_entry(scripts, timeout_ms=60_000, **route)

    return anyio.run(main)


class BadStatusTest(unittest.TestCase):
    """Statuses outside 100 to 599, or of other than three digits."""

    # Callers got 504 with the code of a timeout; after 600 and 999 they got no answer.
    def test_caller_gets_one_answer_with_its_own_code(self):
        """It is 502 with BAD_STATUS, and does not say that the request did not run."""
        for status in BAD_STATUSES:
            for reason in REASONS:
                for route in ROUTES:
                    with self.subTest(status=status, reason=reason, route=route):
                        script = always_send(build_answer(status=status + reason))
                        answer, _ = call([script], max_attempts=1, **route)
                        self.assertTrue(answer.is_complete)
                        self.assertEqual(answer.status, 502)
                        error = orjson.loads(answer.body)["error"]
                        self.assertEqual(error["code"], Code.BAD_STATUS)
                        self.assertEqual(error["outcome"], Outcome.UNKNOWN)

    # A request that may run once must not run twice because of an odd status.
    def test_retried_only_if_its_kind_allows(self):
        """Another server gets a repeatable request, and no other."""
        for status in ("099", "600", "abc"):
            for kind in ("safe", "unsafe"):
                with self.subTest(status=status, kind=kind):
                    bad = always_send(build_answer(status=f"{status} X"))
                    answer, heads = call([bad, bad], max_attempts=2, kind=kind)
                    self.assertEqual(answer.status, 502)
                    self.assertEqual(len(heads), 2 if kind == "safe" else 1)

    # A server with odd statuses must not stay as attractive as a sound one.
    def test_counts_as_an_error_of_the_server(self):
        """The server's health has an error, as after no other answer."""
        for status in ("099 X", "600 X", "abc X", "200 OK"):
            with self.subTest(status=status):
                error_share = anyio.run(self._read_error_share, status)
                self.assertEqual(error_share > 0, status != "200 OK")

    async def _read_error_share(self, status: str) -> float:
        script = always_send(build_answer(status=status))
        async with run_scripted_server(script) as (addr, _):
            state = build_direct_state([build_listed_server("s0", addr)])
            request = build_request(build_route(max_attempts=1))
            await RequestForwarder(state, request, RecordingSink(), create_rng()).run()
            (backend,) = state.view.backends.values()
            return backend.health.error_share(state.now_ms())

    # Guards against taking other faults of a head, or sound statuses, for bad ones.
    def test_other_heads_have_other_codes(self):
        """A status within the range is forwarded; what is not HTTP has another code."""
        for status in ("200 OK", "418", "599 Odd"):
            with self.subTest(status=status):
                script = always_send(build_answer(status=status))
                answer, _ = call([script], max_attempts=1)
                self.assertEqual(answer.status, int(status[:3]))
        for data in (
            b"SSH-2.0-x\r\n\r\n",
            b"HTTP/1.1 200 O\x00K\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nbad header\r\n\r\n",
        ):
            with self.subTest(data=data):
                answer, _ = call([always_send(data)], max_attempts=1)
                code = orjson.loads(answer.body)["error"]["code"]
                self.assertEqual(code, Code.OUTCOME_UNKNOWN)


class AgentTest(unittest.TestCase):
    """Answers with such statuses that an agent forwards from its backend server."""

    # Through an agent callers got 504, and after 600 and 999 no answer at all.
    def test_agent_answers_with_the_code(self):
        """The agent's answer is valid, and says that the call may have run."""
        for status in BAD_STATUSES:
            for reason in REASONS:
                with self.subTest(status=status, reason=reason):
                    events = anyio.run(self._forward, status + reason)
                    start, body = events
                    self.assertEqual(start["status"], 502)
                    error = orjson.loads(body["body"])["error"]
                    self.assertEqual(error["code"], Code.BAD_STATUS)
                    self.assertEqual(error["outcome"], Outcome.UNKNOWN)

    async def _forward(self, status: str) -> list[dict[str, Any]]:
        """Return what the agent sends."""
        events: list[dict[str, Any]] = []

        async def send(event: dict[str, Any]) -> None:
            events.append(event)

        async with run_scripted_server(always_send(build_answer(status=status))) as (
            addr,
            _,
        ):
            forwarder = Forwarder(f"http://{addr}", {})
            call_to_server = BackendCall("GET", "/", [("host", "shop.example")], b"")
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                result = await forwarder.forward(call_to_server, send, dict, None)
        self.assertIs(result.outcome, ForwardOutcome.UNKNOWN)
        return events

    # An entry must not keep a server attractive of whose status its agent tells.
    def test_entry_counts_the_code_as_an_error(self):
        """The health of the server behind the agent has an error."""
        view = make_view([model_value("m1")], [make_engine_view("s0", "m1")])
        call = make_entry_call(make_entry(model_value("m1")))
        attempts = make_router(view).start_attempts(call)
        backend = attempts.next_server(0.0).unwrap()
        attempts.record_failure(backend, failure(Code.BAD_STATUS), 1.0)
        self.assertGreater(backend.health.error_share(1.0), 0)
