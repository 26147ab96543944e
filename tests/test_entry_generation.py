"""Completions: resumed where an attempt broke off, and not ended early."""

import unittest

import anyio
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from cowslipwood.entry.sending._generation import Generation, generate
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code
from cowslipwood.standins.engine import make_expected_text

from .builders import model_value
from .entry_builders import (
    FakeCaller,
    FakeDispatcher,
    make_app,
    make_components,
    make_engine_view,
    make_entry,
    make_entry_call,
    make_refusal,
    make_stream_answer,
    make_view,
)

PROMPT = "bread and soup"
N_TOKENS = 7
DONE_EVENT = b"data: [DONE]\n\n"


def _make_event(index, text, **fields):
    value = {"index": index, "text": text, **fields}
    return b"data: " + orjson.dumps(value) + b"\n\n"


def _make_events(first_index, last_index):
    words = make_expected_text(PROMPT, N_TOKENS).split()
    return [_make_event(i, words[i] + " ") for i in range(first_index, last_index)]


def _make_body(**fields):
    body = {"model": "m1", "prompt": PROMPT, "max_tokens": N_TOKENS, **fields}
    return orjson.dumps(body)


def _script_with_breaks(break_lengths):
    """Return a script whose attempts break off after the given numbers of tokens."""
    remaining_lengths = list(break_lengths)

    def script(server, attempt):
        first_index = orjson.loads(attempt.body)["resume_tokens"]
        if not remaining_lengths:
            return make_stream_answer(*_make_events(first_index, N_TOKENS), DONE_EVENT)
        last_index = min(N_TOKENS, first_index + remaining_lengths.pop(0))
        return make_stream_answer(*_make_events(first_index, last_index), is_cut=True)

    return script


class TestResume(unittest.TestCase):
    """Another server resumes a broken stream after the tokens already delivered."""

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, N_TOKENS), max_size=3))
    def test_text_is_complete(self, break_lengths):
        """Wherever attempts break off, each token is delivered once and in order."""
        text, result, dispatcher = self._generate(
            _script_with_breaks(break_lengths), n_servers=4
        )
        self.assertIsInstance(result, Success)
        self.assertEqual(text, make_expected_text(PROMPT, N_TOKENS))
        servers = [server_id for server_id, _ in dispatcher.sent]
        self.assertEqual(len(set(servers)), len(servers))

    def test_split_events(self):
        """Events that are split between two reads at any byte give the same text."""
        data = b"".join(_make_events(0, N_TOKENS)) + DONE_EVENT
        for end in range(1, len(data)):
            script = lambda *_, end=end: make_stream_answer(data[:end], data[end:])  # noqa: E731
            text, result, _ = self._generate(script)
            self.assertIsInstance(result, Success)
            self.assertEqual(text, make_expected_text(PROMPT, N_TOKENS))

    def test_unexpected_tokens(self):
        """A token of another request, or with a wrong index, is not delivered."""
        unexpected_events = {
            "another request": _make_event(0, "x ", request_id="other"),
            "skipped": _make_event(1, "x "),
            "repeated": _make_events(0, 1)[0] + _make_event(0, "x "),
            "no text": b'data: {"index": 0}\n\n',
            "no JSON": b"data: x\n\n",
            "no end": b"",
        }
        for name, data in unexpected_events.items():
            with self.subTest(name):
                script = lambda *_, data=data: make_stream_answer(data)  # noqa: E731
                text, result, _ = self._generate(script)
                self.assertEqual(result.failure().code, Code.ANSWER_CUT)
                self.assertNotIn("x", text)

    def test_too_many_tokens(self):
        """An engine that sends more tokens than requested has its answer rejected."""
        extra_event = _make_event(N_TOKENS, "x ")
        script = lambda *_: make_stream_answer(  # noqa: E731
            *_make_events(0, N_TOKENS), extra_event, DONE_EVENT
        )
        _, result, _ = self._generate(script)
        self.assertEqual(result.failure().code, Code.ANSWER_CUT)

    def test_resume_after_the_first_token_limit(self):
        """A stream that breaks off late is resumed without the first-token limit."""
        text, result, dispatcher = self._generate(
            _script_with_breaks([3]), delay_ms=60_000.0
        )
        self.assertIsInstance(result, Success)
        self.assertEqual(text, make_expected_text(PROMPT, N_TOKENS))
        _, resumed = dispatcher.sent[1]
        self.assertNotIn("x-deadline-ms", resumed.headers)

    def _generate(self, script, n_servers=2, delay_ms=0.0):
        """Run a generation; `delay_ms` pass when the first tokens are delivered."""
        dispatcher = FakeDispatcher(script)
        servers = [make_engine_view(f"s{i}", "m1") for i in range(n_servers)]
        value = model_value("m1")
        components = make_components(
            make_view([value], servers, monotonic_ms()), dispatcher
        )
        call = make_entry_call(make_entry(value), monotonic_ms())
        texts = []
        clock = {"ahead_ms": 0.0}
        components = components._replace(
            now_ms=lambda: monotonic_ms() + clock["ahead_ms"]
        )

        async def deliver(tokens):
            texts.extend(token.text for token in tokens)
            clock["ahead_ms"] = delay_ms

        async def run():
            return await generate(
                components, Generation(call, PROMPT, N_TOKENS), deliver
            )

        result = anyio.run(run)
        return "".join(texts), result, dispatcher


class TestIncompleteStream(unittest.TestCase):
    """A stream that cannot be completed is recognizable as incomplete."""

    def test_error_event(self):
        """After the last attempt, the stream has an error event and no ``[DONE]``."""

        def script(server, attempt):
            first_index = orjson.loads(attempt.body)["resume_tokens"]
            if first_index:
                return make_refusal(Code.AGENT_OVERLOADED)
            return make_stream_answer(*_make_events(0, 2), is_cut=True)

        caller = FakeCaller()
        app = make_app(script)
        body = _make_body(stream=True)
        anyio.run(caller.call, app, "POST", "/v1/completions", body)
        self.assertEqual(caller.status, 200)
        self.assertFalse(caller.ended)
        self.assertNotIn(b"[DONE]", caller.body)
        error = orjson.loads(caller.events()[-1])["error"]
        self.assertEqual(error["outcome"], "unknown")
        self.assertIn(b"event: error\n", caller.body)

    def test_unstreamed_answer(self):
        """Without a stream, an incomplete answer is an error without any token."""
        caller = FakeCaller()
        app = make_app(lambda *_: make_stream_answer(*_make_events(0, 0), is_cut=True))
        anyio.run(caller.call, app, "POST", "/v1/completions", _make_body())
        self.assertEqual((caller.status, caller.error["code"]), (502, Code.ANSWER_CUT))

    def test_deadline(self):
        """When the caller's deadline passes, it immediately gets its final answer."""
        caller = FakeCaller()
        app = make_app(
            lambda *_: make_stream_answer(*_make_events(0, 1), is_endless=True)
        )
        headers = [(b"x-deadline-ms", b"30")]
        anyio.run(caller.call, app, "POST", "/v1/completions", _make_body(), headers)
        self.assertEqual(caller.error["code"], Code.BACKEND_TIMEOUT)
        self.assertEqual(app._components.dispatcher.n_open, 0)
