"""Streams: resumed where they broke, and never ended short."""

import unittest

import anyio
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from cowslipwood.entry.sending._generation import Generation, generate
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code
from cowslipwood.standins.engine import expected_text

from .builders import model_value
from .entry_builders import (
    Caller,
    FakeDispatcher,
    engine_view,
    entry_of,
    make_app,
    make_components,
    make_entry_call,
    make_view,
    refuse,
    stream_answer,
)

PROMPT = "bread and soup"
N_TOKENS = 7
DONE = b"data: [DONE]\n\n"


def _event(index, text, **fields):
    value = {"index": index, "text": text, **fields}
    return b"data: " + orjson.dumps(value) + b"\n\n"


def _events(first, last):
    words = expected_text(PROMPT, N_TOKENS).split()
    return [_event(i, words[i] + " ") for i in range(first, last)]


def _ask(**fields):
    body = {"model": "m1", "prompt": PROMPT, "max_tokens": N_TOKENS, **fields}
    return orjson.dumps(body)


def _scripted(lengths):
    """Return a script whose attempts break after so many tokens each."""
    left = list(lengths)

    def script(server, attempt):
        first = orjson.loads(attempt.body)["resume_tokens"]
        if not left:
            return stream_answer(*_events(first, N_TOKENS), DONE)
        last = min(N_TOKENS, first + left.pop(0))
        return stream_answer(*_events(first, last), cut=True)

    return script


class TestResume(unittest.TestCase):
    """A broken stream goes on elsewhere with the tokens already delivered."""

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, N_TOKENS), max_size=3))
    def test_text_is_whole(self, lengths):
        """However attempts break, each token is delivered once and in order."""
        text, ended, dispatcher = self._generate(_scripted(lengths), n_servers=4)
        self.assertIsInstance(ended, Success)
        self.assertEqual(text, expected_text(PROMPT, N_TOKENS))
        servers = [server_id for server_id, _ in dispatcher.sent]
        self.assertEqual(len(set(servers)), len(servers))

    def test_split_events(self):
        """Events split anywhere between reads give the same text."""
        data = b"".join(_events(0, N_TOKENS)) + DONE
        for at in range(1, len(data)):
            script = lambda *_, at=at: stream_answer(data[:at], data[at:])  # noqa: E731
            text, ended, _ = self._generate(script)
            self.assertIsInstance(ended, Success)
            self.assertEqual(text, expected_text(PROMPT, N_TOKENS))

    def test_foreign_chunks(self):
        """A chunk of another request, or out of its place, is never delivered."""
        bad = {
            "another request": _event(0, "x ", request_id="other"),
            "skipped": _event(1, "x "),
            "repeated": _events(0, 1)[0] + _event(0, "x "),
            "no text": b'data: {"index": 0}\n\n',
            "no JSON": b"data: x\n\n",
            "no end": b"",
        }
        for name, data in bad.items():
            with self.subTest(name):
                script = lambda *_, data=data: stream_answer(data)  # noqa: E731
                text, ended, _ = self._generate(script)
                self.assertEqual(ended.failure().code, Code.ANSWER_CUT)
                self.assertNotIn("x", text)

    def test_too_many_tokens(self):
        """An engine that writes more than was asked is not believed."""
        extra = _event(N_TOKENS, "x ")
        script = lambda *_: stream_answer(*_events(0, N_TOKENS), extra, DONE)  # noqa: E731
        _, ended, _ = self._generate(script)
        self.assertEqual(ended.failure().code, Code.ANSWER_CUT)

    def test_resumes_after_the_first_token_limit(self):
        """A stream that breaks long after it began goes on, without that limit."""
        text, ended, dispatcher = self._generate(_scripted([3]), late_ms=60_000.0)
        self.assertIsInstance(ended, Success)
        self.assertEqual(text, expected_text(PROMPT, N_TOKENS))
        _, resumed = dispatcher.sent[1]
        self.assertNotIn("x-deadline-ms", resumed.headers)

    def _generate(self, script, n_servers=2, late_ms=0.0):
        """Generate; `late_ms` pass when the first tokens are delivered."""
        dispatcher = FakeDispatcher(script)
        servers = [engine_view(f"s{i}", "m1") for i in range(n_servers)]
        value = model_value("m1")
        components = make_components(
            make_view([value], servers, monotonic_ms()), dispatcher
        )
        call = make_entry_call(entry_of(value), monotonic_ms())
        texts = []
        clock = {"ahead_ms": 0.0}
        components = components._replace(
            now_ms=lambda: monotonic_ms() + clock["ahead_ms"]
        )

        async def deliver(chunks):
            texts.extend(chunk.text for chunk in chunks)
            clock["ahead_ms"] = late_ms

        async def run():
            return await generate(
                components, Generation(call, PROMPT, N_TOKENS), deliver
            )

        ended = anyio.run(run)
        return "".join(texts), ended, dispatcher


class TestBrokenEnd(unittest.TestCase):
    """A stream that cannot be finished does not look finished."""

    def test_error_event(self):
        """After the last try, the stream has an error event and no end."""

        def script(server, attempt):
            first = orjson.loads(attempt.body)["resume_tokens"]
            if first:
                return refuse(Code.AGENT_OVERLOADED)
            return stream_answer(*_events(0, 2), cut=True)

        caller = Caller()
        app = make_app(script)
        body = _ask(stream=True)
        anyio.run(caller.call, app, "POST", "/v1/completions", body)
        self.assertEqual(caller.status, 200)
        self.assertFalse(caller.ended)
        self.assertNotIn(b"[DONE]", caller.body)
        error = orjson.loads(caller.events()[-1])["error"]
        self.assertEqual(error["outcome"], "unknown")
        self.assertIn(b"event: error\n", caller.body)

    def test_whole_answer(self):
        """Without a stream, a cut answer is a numbered error and no part of it."""
        caller = Caller()
        app = make_app(lambda *_: stream_answer(*_events(0, 0), cut=True))
        anyio.run(caller.call, app, "POST", "/v1/completions", _ask())
        self.assertEqual((caller.status, caller.error["code"]), (502, Code.ANSWER_CUT))

    def test_deadline(self):
        """When the caller's deadline passes, it gets its final answer at once."""
        caller = Caller()
        app = make_app(lambda *_: stream_answer(*_events(0, 1), forever=True))
        headers = [(b"x-deadline-ms", b"30")]
        anyio.run(caller.call, app, "POST", "/v1/completions", _ask(), headers)
        self.assertEqual(caller.error["code"], Code.BACKEND_TIMEOUT)
        self.assertEqual(app._components.dispatcher.n_open, 0)
