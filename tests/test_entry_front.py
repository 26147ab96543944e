"""The callers' interface, over a scripted dispatcher."""

import json
import unittest

import anyio
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipwood.entry.taking._caller_app import RequestLimits
from cowslipwood.entry.taking._reason_counters import REASON_COUNTERS
from cowslipwood.kernel.codes import CODE_INFO, Code
from cowslipwood.kernel.metrics import Metrics

from .builders import model_value, service_value
from .entry_builders import (
    Caller,
    make_app,
    refuse,
    service_answer,
    stream_answer,
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = st.fixed_dictionaries(
    {},
    optional={
        "model": st.sampled_from(["m1", "nope", "rosters"]) | JSON,
        "prompt": st.text(max_size=20) | JSON,
        "messages": JSON,
        "max_tokens": st.integers() | JSON,
        "stream": st.booleans() | JSON,
        "stream_options": JSON,
        "n": JSON,
        "unknown": JSON,
    },
)
BODIES = (
    st.binary(max_size=64)
    | JSON.map(lambda value: json.dumps(value).encode())
    | FIELDS.map(lambda value: json.dumps(value).encode())
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


def _event(index: int, text: str) -> bytes:
    return b"data: " + orjson.dumps({"index": index, "text": text}) + b"\n\n"


DONE = b"data: [DONE]\n\n"


def _engine(server, attempt):
    """Answer as an engine or service that is well."""
    if server.kind == "service":
        return service_answer(200, b"{}")
    return stream_answer(_event(0, "a "), _event(1, "b "), DONE)


def _ask(**fields):
    return orjson.dumps({"model": "m1", "prompt": "p", **fields})


class TestBadInput(unittest.TestCase):
    """Whatever a caller sends, it gets an answer or a numbered error."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(
        method=st.sampled_from(["GET", "POST", "PUT", "X"]),
        path=PATHS,
        body=BODIES,
        headers=HEADERS,
    )
    def test_rubbish(self, method, path, body, headers):
        """Generated rubbish gets a whole answer or a numbered error, never a crash."""
        app = make_app(_engine)
        caller = Caller()
        anyio.run(caller.call, app, method, path, body, headers)
        self.assertTrue(caller.ended)
        self.assertIn("x-request-id", caller.headers)
        if caller.status == 200:
            return
        code = Code(caller.error["code"])
        self.assertNotEqual(code, Code.INTERNAL_ERROR)
        self.assertEqual(caller.status, CODE_INFO[code].http_status)
        self.assertEqual(caller.headers["x-cowslip-outcome"], caller.error["outcome"])

    def test_field_is_named(self):
        """A field of the wrong type is refused by its name."""
        wrong = {
            "prompt": [1],
            "max_tokens": True,
            "stream": "yes",
            "model": 7,
            "n": 2,
            "stream_options": [],
        }
        for field, value in wrong.items():
            with self.subTest(field):
                body = _ask(**{field: value})
                caller = self._call("POST", "/v1/completions", body)
                self.assertEqual(caller.error["code"], Code.BAD_FIELD)
                self.assertTrue(caller.error["message"].startswith(field))

    def test_headers(self):
        """A request id is echoed, a bad one or a bad deadline is refused."""
        good = self._call("GET", "/v1/models", b"", [(b"x-request-id", b"a.b-1")])
        self.assertEqual(good.headers["x-request-id"], "a.b-1")
        bad = self._call("GET", "/v1/models", b"", [(b"x-request-id", b"a\r\nb")])
        self.assertEqual(bad.error["code"], Code.BAD_HEADER)
        headers = [(b"x-deadline-ms", b"soon")]
        late = self._call("POST", "/v1/completions", _ask(), headers)
        self.assertEqual(late.error["code"], Code.BAD_HEADER)
        headers = [(b"x-deadline-ms", b"0")]
        passed = self._call("POST", "/v1/completions", _ask(), headers)
        self.assertEqual(passed.error["code"], Code.DEADLINE_PASSED)

    def _call(self, method, path, body, headers=None):
        caller = Caller()
        anyio.run(caller.call, make_app(_engine), method, path, body, headers)
        return caller


class TestShapes(unittest.TestCase):
    """Answers have the shapes that client libraries expect."""

    def _call(self, path, body):
        caller = Caller()
        anyio.run(caller.call, make_app(_engine), "POST", path, body)
        self.assertEqual(caller.status, 200)
        return caller

    def test_chat_stream(self):
        """A chat stream has a role, its text, a finish reason, usage and an end."""
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

    def test_whole(self):
        """A whole completion has its text, finish reason and usage."""
        body = _ask(prompt=["one string"], max_tokens=2)
        value = orjson.loads(self._call("/v1/completions", body).body)
        self.assertEqual(value["object"], "text_completion")
        self.assertEqual(value["choices"][0]["text"], "a b ")
        self.assertEqual(value["choices"][0]["finish_reason"], "length")
        self.assertEqual(value["usage"]["total_tokens"], 4)


class TestGuards(unittest.TestCase):
    """A caller takes no more than its bounds, and loses only its own connection."""

    def test_refused_while_leaving(self):
        """A leaving entry refuses as not run and says when to come back."""
        app = make_app(_engine)
        app.leaving = True
        caller = Caller()
        anyio.run(caller.call, app, "POST", "/v1/completions", _ask())
        self.assertEqual(caller.error["code"], Code.ENTRY_LEAVING)
        self.assertEqual(caller.headers["x-cowslip-outcome"], "not-run")
        self.assertIn("retry-after", caller.headers)
        self.assertEqual(caller.headers["connection"], "close")

    def test_open_requests_are_bounded(self):
        """One request over the bound is refused, and the others go on."""

        async def run() -> tuple[Caller, Caller]:
            app = make_app(
                lambda *_: stream_answer(_event(0, "a "), forever=True),
                limits=RequestLimits(max_open_requests=1),
            )
            first, second = Caller(), Caller()
            async with anyio.create_task_group() as tasks:
                body = _ask(stream=True)
                tasks.start_soon(first.call, app, "POST", "/v1/completions", body)
                while not first.body:
                    await anyio.sleep(0)
                await second.call(app, "GET", "/v1/models")
                first.hang_up.set()
            return first, second

        first, second = anyio.run(run)
        self.assertEqual(second.error["code"], Code.TOO_MANY_CONNECTIONS)
        self.assertEqual(first.status, 200)

    def test_hang_up_ends_the_attempt(self):
        """A caller that hangs up has its attempt closed, and is counted."""

        async def run() -> None:
            app = make_app(lambda *_: stream_answer(_event(0, "a "), forever=True))
            caller = Caller()
            async with anyio.create_task_group() as tasks:
                body = _ask(stream=True)
                tasks.start_soon(caller.call, app, "POST", "/v1/completions", body)
                while not caller.body:
                    await anyio.sleep(0)
                self.assertEqual(app._components.dispatcher.n_open, 1)
                caller.hang_up.set()
            self.assertEqual(app._components.dispatcher.n_open, 0)
            self.assertFalse(caller.ended)
            metrics = app._components.metrics
            self.assertEqual(metrics.value("callers_lost_total", reason="PEER_GONE"), 1)

        anyio.run(run)

    def test_stalled_caller_is_cut_off(self):
        """A caller that stops reading ends its attempt, and is counted."""

        async def run() -> None:
            app = make_app(_engine, limits=RequestLimits(send_timeout_ms=1))
            scope = {
                "type": "http",
                "method": "POST",
                "path": "/v1/completions",
                "query_string": b"",
                "headers": [],
            }
            events = [{"type": "http.request", "body": _ask(stream=True)}]

            async def receive():
                return events.pop() if events else await anyio.sleep_forever()

            async def send(message):
                if message["type"] == "http.response.body":
                    await anyio.sleep_forever()

            await app(scope, receive, send)
            self.assertEqual(app._components.dispatcher.n_open, 0)
            lost = app._components.metrics.value(
                "callers_lost_total", reason="SEND_TIMEOUT"
            )
            self.assertEqual(lost, 1)

        anyio.run(run)


class TestServices(unittest.TestCase):
    """Plain services are answered whole, or with what is known of their run."""

    def _call(self, script, **fields):
        values = [service_value("rosters", **fields), model_value("m1")]
        app = make_app(script, values=values)
        caller = Caller()
        anyio.run(caller.call, app, "POST", "/services/rosters/x/y", b"{}")
        return caller, app._components.dispatcher.sent

    def test_cut_answer(self):
        """An answer cut in its body is ANSWER_CUT with outcome unknown."""
        caller, sent = self._call(
            lambda *_: service_answer(200, b"half", cut=True), repeatable=False
        )
        self.assertEqual(caller.status, 502)
        self.assertEqual(caller.error["name"], "ANSWER_CUT")
        self.assertEqual(caller.error["outcome"], "unknown")
        self.assertEqual(len(sent), 1)

    def test_large_cut_answer_has_no_end(self):
        """An answer too large to hold that is cut ends without its end."""
        piece = b"x" * 700_000
        caller, _ = self._call(lambda *_: service_answer(200, piece, piece, cut=True))
        self.assertEqual(caller.status, 200)
        self.assertFalse(caller.ended)

    def test_not_run_goes_elsewhere(self):
        """A refusal as not run goes to another server, whatever the service."""
        answers = [service_answer(201, b"ok"), refuse(Code.AGENT_OVERLOADED)]
        caller, sent = self._call(lambda *_: answers.pop(), repeatable=False)
        self.assertEqual((caller.status, caller.body), (201, b"ok"))
        self.assertEqual(len({server_id for server_id, _ in sent}), 2)
        self.assertEqual(sent[0][1].target, "/x/y")

    def test_unknown_stays_unknown(self):
        """A request that may have run is not told as not run by a later refusal."""
        answers = [refuse(Code.AGENT_OVERLOADED), refuse(Code.OUTCOME_UNKNOWN)]
        caller, sent = self._call(lambda *_: answers.pop(), repeatable=True)
        self.assertEqual(len(sent), 2)
        self.assertEqual(caller.error["outcome"], "unknown")
        self.assertEqual(caller.status, 504)


class TestNoCatalogue(unittest.TestCase):
    """Before a keeper has told the catalogue."""

    def test_refused_as_not_ready(self):
        """An entry that knows no catalogue answers 503, never that there is none."""
        for path in ("/services/rosters/x", "/v1/models", "/v1/completions"):
            app = make_app(_engine)
            app._components.view.knows_catalogue = False
            caller = Caller()
            anyio.run(caller.call, app, "GET", path)
            self.assertEqual(caller.status, 503)
            self.assertEqual(caller.error["name"], "NO_CATALOGUE")


class TestDotSegments(unittest.TestCase):
    """Paths that could step out of the named service."""

    def test_refused(self):
        """A dot segment is refused by number, however it was written."""
        for path in ("/services/rosters/../../x", "/services/rosters/./x"):
            caller = Caller()
            anyio.run(caller.call, make_app(_engine), "GET", path)
            self.assertEqual(caller.status, 400)
            self.assertEqual(caller.error["name"], "BAD_PATH")

    def test_dots_in_names(self):
        """Dots inside a segment are no dot segment."""
        caller = Caller()
        path = "/services/rosters/..a/b..c"
        anyio.run(caller.call, make_app(_engine), "GET", path)
        self.assertEqual(caller.status, 200)


class TestCounters(unittest.TestCase):
    """The counters of refusals."""

    def test_shown_at_zero(self):
        """Each reason is shown at 0 before it was ever counted."""
        metrics = Metrics("entry")
        metrics.expose(REASON_COUNTERS, [code.name for code in Code])
        text = metrics.text()[0].decode()
        self.assertIn('cowslip_entry_refusals_total{reason="BAD_JSON"} 0', text)
        self.assertIn('cowslip_entry_retries_total{reason="OUTCOME_UNKNOWN"} 0', text)

    def test_bad_input_is_counted(self):
        """A refused body is counted under its reason."""
        app = make_app(_engine)
        caller = Caller()
        anyio.run(caller.call, app, "POST", "/v1/completions", b"{")
        counted = app._components.metrics.value("refusals_total", reason="BAD_JSON")
        self.assertEqual(counted, 1)
