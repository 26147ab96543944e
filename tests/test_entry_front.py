"""The entry's HTTP interface for callers, with a scripted dispatcher."""

import json
import unittest

import anyio
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipwood.entry.receiving._caller_app import RequestLimits
from cowslipwood.entry.receiving._reason_counters import REASON_COUNTERS
from cowslipwood.kernel.codes import CODE_INFO, Code
from cowslipwood.kernel.metrics import Metrics

from .builders import model_value, service_value
from .entry_builders import (
    FakeCaller,
    make_app,
    make_refusal,
    make_service_answer,
    make_stream_answer,
)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
COMPLETION_BODIES = st.fixed_dictionaries(
    {},
    optional={
        "model": st.sampled_from(["m1", "nope", "rosters"]) | JSON_VALUES,
        "prompt": st.text(max_size=20) | JSON_VALUES,
        "messages": JSON_VALUES,
        "max_tokens": st.integers() | JSON_VALUES,
        "stream": st.booleans() | JSON_VALUES,
        "stream_options": JSON_VALUES,
        "n": JSON_VALUES,
        "unknown": JSON_VALUES,
    },
)
BODIES = (
    st.binary(max_size=64)
    | JSON_VALUES.map(lambda value: json.dumps(value).encode())
    | COMPLETION_BODIES.map(lambda value: json.dumps(value).encode())
)
PATHS = st.sampled_from(
    ["/v1/completions", "/v1/chat/completions", "/v1/models", "/services/rosters/x"]
) | st.text(max_size=20).map(lambda text: "/" + text)
HEADERS = st.lists(
    st.tuples(
        st.sampled_from([b"x-request-id", b"x-deadline-ms", b"content-type", b"x"]),
        st.binary(max_size=20),
    ),
    max_size=3,
)


def _make_event(index: int, text: str) -> bytes:
    return b"data: " + orjson.dumps({"index": index, "text": text}) + b"\n\n"


DONE_EVENT = b"data: [DONE]\n\n"


def _answer_in_full(server, attempt):
    """Answer completely, as a working engine or service does."""
    if server.kind == "service":
        return make_service_answer(200, b"{}")
    return make_stream_answer(_make_event(0, "a "), _make_event(1, "b "), DONE_EVENT)


def _make_body(**fields):
    return orjson.dumps({"model": "m1", "prompt": "p", **fields})


class TestBadInput(unittest.TestCase):
    """Any request gets a complete answer or an error with a result code."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(
        method=st.sampled_from(["GET", "POST", "PUT", "X"]),
        path=PATHS,
        body=BODIES,
        headers=HEADERS,
    )
    def test_generated_requests(self, method, path, body, headers):
        """Generated requests get a complete answer or a result code, no crash."""
        app = make_app(_answer_in_full)
        caller = FakeCaller()
        anyio.run(caller.call, app, method, path, body, headers)
        self.assertTrue(caller.ended)
        self.assertIn("x-request-id", caller.headers)
        if caller.status == 200:
            return
        code = Code(caller.error["code"])
        self.assertNotEqual(code, Code.INTERNAL_ERROR)
        self.assertEqual(caller.status, CODE_INFO[code].http_status)
        self.assertEqual(caller.headers["x-cowslip-outcome"], caller.error["outcome"])

    def test_refusal_names_the_field(self):
        """The refusal of a field with a wrong type names the field."""
        wrong_values = {
            "prompt": [1],
            "max_tokens": True,
            "stream": "yes",
            "model": 7,
            "n": 2,
            "stream_options": [],
        }
        for field, value in wrong_values.items():
            with self.subTest(field):
                body = _make_body(**{field: value})
                caller = self._call("POST", "/v1/completions", body)
                self.assertEqual(caller.error["code"], Code.BAD_FIELD)
                self.assertTrue(caller.error["message"].startswith(field))

    def test_request_id_and_deadline_headers(self):
        """A request id is echoed; a malformed id or deadline is refused."""
        echoed = self._call("GET", "/v1/models", b"", [(b"x-request-id", b"a.b-1")])
        self.assertEqual(echoed.headers["x-request-id"], "a.b-1")
        malformed_id = self._call(
            "GET", "/v1/models", b"", [(b"x-request-id", b"a\r\nb")]
        )
        self.assertEqual(malformed_id.error["code"], Code.BAD_HEADER)
        headers = [(b"x-deadline-ms", b"soon")]
        malformed_deadline = self._call(
            "POST", "/v1/completions", _make_body(), headers
        )
        self.assertEqual(malformed_deadline.error["code"], Code.BAD_HEADER)
        headers = [(b"x-deadline-ms", b"0")]
        expired = self._call("POST", "/v1/completions", _make_body(), headers)
        self.assertEqual(expired.error["code"], Code.DEADLINE_PASSED)

    def _call(self, method, path, body, headers=None):
        caller = FakeCaller()
        anyio.run(caller.call, make_app(_answer_in_full), method, path, body, headers)
        return caller


class TestAnswerFormats(unittest.TestCase):
    """Answers have the JSON structure that client libraries expect."""

    def _call(self, path, body):
        caller = FakeCaller()
        anyio.run(caller.call, make_app(_answer_in_full), "POST", path, body)
        self.assertEqual(caller.status, 200)
        return caller

    def test_chat_stream(self):
        """A chat stream has a role, text, a finish reason, usage and ``[DONE]``."""
        body = orjson.dumps(
            {
                "model": "m1",
                "messages": [{"role": "user", "content": [{"text": "hi"}]}],
                "stream": True,
                "stream_options": {"include_usage": True},
                "temperature": 0.1,
            }
        )
        *events, last = self._call("/v1/chat/completions", body).events()
        self.assertEqual(last, b"[DONE]")
        values = [orjson.loads(event) for event in events]
        self.assertEqual({v["object"] for v in values}, {"chat.completion.chunk"})
        self.assertEqual(len({v["id"] for v in values}), 1)
        choices = [v["choices"][0] for v in values if v["choices"]]
        self.assertEqual(choices[0]["delta"]["role"], "assistant")
        text = "".join(choice["delta"].get("content", "") for choice in choices)
        self.assertEqual(text, "a b ")
        self.assertEqual(choices[-1]["finish_reason"], "stop")
        self.assertEqual(values[-1]["usage"]["completion_tokens"], 2)

    def test_unstreamed_completion(self):
        """A completion without a stream has its text, finish reason and usage."""
        body = _make_body(prompt=["one string"], max_tokens=2)
        value = orjson.loads(self._call("/v1/completions", body).body)
        self.assertEqual(value["object"], "text_completion")
        self.assertEqual(value["choices"][0]["text"], "a b ")
        self.assertEqual(value["choices"][0]["finish_reason"], "length")
        self.assertEqual(value["usage"]["total_tokens"], 4)


class TestRequestLimits(unittest.TestCase):
    """Limits on callers; exceeding them affects only the caller's own request."""

    def test_refused_while_leaving(self):
        """An entry that is stopping refuses with not-run and a retry-after header."""
        app = make_app(_answer_in_full)
        app.leaving = True
        caller = FakeCaller()
        anyio.run(caller.call, app, "POST", "/v1/completions", _make_body())
        self.assertEqual(caller.error["code"], Code.ENTRY_LEAVING)
        self.assertEqual(caller.headers["x-cowslip-outcome"], "not-run")
        self.assertIn("retry-after", caller.headers)
        self.assertEqual(caller.headers["connection"], "close")

    def test_open_requests_are_bounded(self):
        """One request over the limit is refused, and the open ones continue."""

        async def run() -> tuple[FakeCaller, FakeCaller]:
            app = make_app(
                lambda *_: make_stream_answer(_make_event(0, "a "), is_endless=True),
                limits=RequestLimits(max_open_requests=1),
            )
            first, second = FakeCaller(), FakeCaller()
            async with anyio.create_task_group() as tasks:
                body = _make_body(stream=True)
                tasks.start_soon(first.call, app, "POST", "/v1/completions", body)
                while not first.body:
                    await anyio.sleep(0)
                await second.call(app, "GET", "/v1/models")
                first.disconnected.set()
            return first, second

        first, second = anyio.run(run)
        self.assertEqual(second.error["code"], Code.TOO_MANY_CONNECTIONS)
        self.assertEqual(first.status, 200)

    def test_disconnect_ends_the_attempt(self):
        """When a caller disconnects, its attempt is closed and it is counted."""

        async def run() -> None:
            app = make_app(
                lambda *_: make_stream_answer(_make_event(0, "a "), is_endless=True)
            )
            caller = FakeCaller()
            async with anyio.create_task_group() as tasks:
                body = _make_body(stream=True)
                tasks.start_soon(caller.call, app, "POST", "/v1/completions", body)
                while not caller.body:
                    await anyio.sleep(0)
                self.assertEqual(app._components.dispatcher.n_open, 1)
                caller.disconnected.set()
            self.assertEqual(app._components.dispatcher.n_open, 0)
            self.assertFalse(caller.ended)
            metrics = app._components.metrics
            self.assertEqual(metrics.value("callers_lost_total", reason="PEER_GONE"), 1)

        anyio.run(run)

    def test_stalled_caller_ends_the_attempt(self):
        """When a caller stops reading, its attempt is closed and it is counted."""

        async def run() -> None:
            app = make_app(_answer_in_full, limits=RequestLimits(send_timeout_ms=1))
            scope = {
                "type": "http",
                "method": "POST",
                "path": "/v1/completions",
                "query_string": b"",
                "headers": [],
            }
            events = [{"type": "http.request", "body": _make_body(stream=True)}]

            async def receive():
                return events.pop() if events else await anyio.sleep_forever()

            async def send(message):
                if message["type"] == "http.response.body":
                    await anyio.sleep_forever()

            await app(scope, receive, send)
            self.assertEqual(app._components.dispatcher.n_open, 0)
            n_lost = app._components.metrics.value(
                "callers_lost_total", reason="SEND_TIMEOUT"
            )
            self.assertEqual(n_lost, 1)

        anyio.run(run)


class TestServices(unittest.TestCase):
    """Callers of plain services get a complete answer or the known outcome."""

    def _call(self, script, **fields):
        values = [service_value("rosters", **fields), model_value("m1")]
        app = make_app(script, values=values)
        caller = FakeCaller()
        anyio.run(caller.call, app, "POST", "/services/rosters/x/y", b"{}")
        return caller, app._components.dispatcher.sent

    def test_cut_answer(self):
        """An answer whose body is incomplete is ANSWER_CUT with outcome unknown."""
        caller, sent = self._call(
            lambda *_: make_service_answer(200, b"half", is_cut=True), repeatable=False
        )
        self.assertEqual(caller.status, 502)
        self.assertEqual(caller.error["name"], "ANSWER_CUT")
        self.assertEqual(caller.error["outcome"], "unknown")
        self.assertEqual(len(sent), 1)

    def test_large_cut_answer_stays_incomplete(self):
        """An answer too large to buffer that breaks off is left incomplete."""
        piece = b"x" * 700_000
        caller, _ = self._call(
            lambda *_: make_service_answer(200, piece, piece, is_cut=True)
        )
        self.assertEqual(caller.status, 200)
        self.assertFalse(caller.ended)

    def test_not_run_is_retried_at_another_server(self):
        """A not-run refusal is retried elsewhere, also for non-repeatable services."""
        answers = [make_service_answer(201, b"ok"), make_refusal(Code.AGENT_OVERLOADED)]
        caller, sent = self._call(lambda *_: answers.pop(), repeatable=False)
        self.assertEqual((caller.status, caller.body), (201, b"ok"))
        self.assertEqual(len({server_id for server_id, _ in sent}), 2)
        self.assertEqual(sent[0][1].target, "/x/y")

    def test_unknown_stays_unknown(self):
        """A request that may have run stays unknown after a later not-run refusal."""
        answers = [
            make_refusal(Code.AGENT_OVERLOADED),
            make_refusal(Code.OUTCOME_UNKNOWN),
        ]
        caller, sent = self._call(lambda *_: answers.pop(), repeatable=True)
        self.assertEqual(len(sent), 2)
        self.assertEqual(caller.error["outcome"], "unknown")
        self.assertEqual(caller.status, 504)


class TestNoCatalogue(unittest.TestCase):
    """Requests before the entry has received the catalogue."""

    def test_refused_with_503(self):
        """Without a catalogue the entry answers 503 and not that a name is unknown."""
        for path in ("/services/rosters/x", "/v1/models", "/v1/completions"):
            app = make_app(_answer_in_full)
            app._components.view.knows_catalogue = False
            caller = FakeCaller()
            anyio.run(caller.call, app, "GET", path)
            self.assertEqual(caller.status, 503)
            self.assertEqual(caller.error["name"], "NO_CATALOGUE")


class TestDotSegments(unittest.TestCase):
    """Paths that could lead outside the named service."""

    def test_dot_segments_are_refused(self):
        """A path with a dot segment is refused as BAD_PATH."""
        for path in ("/services/rosters/../../x", "/services/rosters/./x"):
            caller = FakeCaller()
            anyio.run(caller.call, make_app(_answer_in_full), "GET", path)
            self.assertEqual(caller.status, 400)
            self.assertEqual(caller.error["name"], "BAD_PATH")

    def test_other_dots_are_allowed(self):
        """Dots inside a longer segment are allowed."""
        caller = FakeCaller()
        path = "/services/rosters/..a/b..c"
        anyio.run(caller.call, make_app(_answer_in_full), "GET", path)
        self.assertEqual(caller.status, 200)


class TestCounters(unittest.TestCase):
    """The counters of refusals."""

    def test_exported_at_zero(self):
        """Each reason is exported at 0 before it was counted."""
        metrics = Metrics("entry")
        metrics.expose(REASON_COUNTERS, [code.name for code in Code])
        text = metrics.render_text()[0].decode()
        self.assertIn('cowslip_entry_refusals_total{reason="BAD_JSON"} 0', text)
        self.assertIn('cowslip_entry_retries_total{reason="OUTCOME_UNKNOWN"} 0', text)

    def test_bad_input_is_counted(self):
        """A refused body is counted under its reason."""
        app = make_app(_answer_in_full)
        caller = FakeCaller()
        anyio.run(caller.call, app, "POST", "/v1/completions", b"{")
        n_refused = app._components.metrics.value("refusals_total", reason="BAD_JSON")
        self.assertEqual(n_refused, 1)
