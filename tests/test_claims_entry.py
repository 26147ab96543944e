"""Claimed requests at an entry, with a claim table in place of the keepers."""

import unittest
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any

import anyio
import orjson
from returns.result import Failure as Err

from cowslipwood.entry.claims._kept_answer import AnswerRecorder
from cowslipwood.entry.sending._dispatcher import Answer, AnswerCutError
from cowslipwood.kernel.codes import Code, failure

from .builders import model_value, service_value
from .entry_builders import (
    FakeCaller,
    make_app,
    make_engine_view,
    make_refusal,
    make_service_answer,
    make_service_view,
    make_stream_answer,
)

KEY_HEADERS = [(b"idempotency-key", b"k")]
SERVICE_PATH = "/services/deliveries/log"


def _answer_with_tokens(server: Any, attempt: Any) -> Any:
    """Answer as an engine does, with the request's id in each token."""
    request_id = orjson.loads(attempt.body)["request_id"]
    chunks = [
        {"index": index, "text": text, "request_id": request_id}
        for index, text in enumerate(("a ", "b "))
    ]
    events = [b"data: " + orjson.dumps(chunk) + b"\n\n" for chunk in chunks]
    return make_stream_answer(*events, b"data: [DONE]\n\n")


def _read_text(caller: FakeCaller, stream: bool) -> str:
    values = caller.events()[:-1] if stream else [caller.body]
    choices = [orjson.loads(value)["choices"][0] for value in values]
    return "".join(choice["text"] for choice in choices)


class TestClaimedRequests(unittest.TestCase):
    """The answers to claimed requests, and the attempts that are sent for them."""

    def start_app(self, script: Any, n_servers: int = 2) -> Any:
        """Make the entry's application with a scripted dispatcher and return it."""
        values = [model_value("m1"), service_value("deliveries", repeatable=False)]
        servers = [
            each
            for n in range(n_servers)
            for each in (
                make_engine_view(f"e{n}", "m1"),
                make_service_view(f"s{n}", "deliveries"),
            )
        ]
        self._app = make_app(script, values, servers)
        return self._app

    def send_request(self, path: str = SERVICE_PATH, body: bytes = b"{}") -> FakeCaller:
        """Send one request with the key."""
        caller = FakeCaller()
        anyio.run(caller.call, self._app, "POST", path, body, KEY_HEADERS)
        return caller

    def n_sent(self) -> int:
        """Return how many attempts were sent."""
        return len(self._app._components.dispatcher.sent)

    def test_resent_completion(self):
        """A resent completion gets the same tokens, streamed or not, from one run."""
        for stream in (True, False):
            self.start_app(_answer_with_tokens)
            body = orjson.dumps(
                {"model": "m1", "prompt": "p", "max_tokens": 2, "stream": stream}
            )
            first, second = (
                self.send_request("/v1/completions", body) for _ in range(2)
            )
            self.assertEqual(_read_text(first, stream), "a b ")
            self.assertEqual(_read_text(second, stream), "a b ")
            self.assertEqual(self.n_sent(), 1)

    def test_completion_that_breaks_off(self):
        """A claimed completion that breaks off is neither resumed nor run again."""
        self.start_app(lambda *_: make_stream_answer(b"data: {}", is_cut=True))
        body = orjson.dumps({"model": "m1", "prompt": "p"})
        for _ in range(2):
            caller = self.send_request("/v1/completions", body)
            self.assertEqual(caller.error["outcome"], "unknown")
        self.assertEqual(self.n_sent(), 1)

    def test_resend_without_servers(self):
        """A resend gets the stored answer also when no server is left."""
        self.start_app(lambda *_: make_service_answer(201, b"done"))
        self.assertEqual(self.send_request().status, 201)
        self._app._components.view.backends.clear()
        second = self.send_request()
        self.assertEqual((second.status, second.body), (201, b"done"))

    def test_refused_everywhere(self):
        """A request that every server refuses is not-run, and runs when resent."""
        answers = [make_service_answer(200, b"ok")] + [
            make_refusal(Code.AGENT_OVERLOADED)
        ] * 2
        self.start_app(lambda *_: answers.pop())
        refused = self.send_request()
        self.assertEqual(refused.error["outcome"], "not-run")
        statuses = self._app._components.claims._keepers.statuses
        self.assertEqual(statuses, ["open", "free", "open", "free", "released"])
        self.assertEqual(self.send_request().status, 200)

    def test_not_run_that_cannot_be_recorded(self):
        """A refused request has outcome unknown while the keepers cannot record it."""
        self.start_app(lambda *_: make_refusal(Code.AGENT_LEAVING))
        keepers = self._app._components.claims._keepers
        request = keepers.request

        async def accept_only_the_first(value: Any, timeout_ms: float) -> Any:
            if keepers.n_commands:
                return Err(failure(Code.BAD_MESSAGE))
            return await request(value, timeout_ms)

        keepers.request = accept_only_the_first
        caller = self.send_request()
        self.assertEqual(caller.error["name"], "CLAIM_IN_PROGRESS")
        self.assertEqual(caller.error["outcome"], "unknown")

    def test_dispatch_without_answer_is_not_repeated(self):
        """A dispatch that may have arrived is not sent again to any server."""
        self.start_app(lambda *_: make_refusal(Code.OUTCOME_UNKNOWN))
        for _ in range(2):
            self.assertEqual(self.send_request().error["outcome"], "unknown")
        self.assertEqual(self.n_sent(), 1)


class AnswerRecorderTest(unittest.TestCase):
    """Which answers are kept as complete for a resend."""

    def _read_broken(self, content_type: str) -> bool:
        """Return whether an answer that breaks off after this body is complete."""

        async def break_off() -> AsyncIterator[bytes]:
            yield b"data: [DONE]\n\n"
            raise AnswerCutError(failure(Code.ANSWER_CUT))

        async def main() -> bool:
            headers = {"content-type": content_type}
            recorder = AnswerRecorder(Answer(200, headers, break_off()))
            with suppress(AnswerCutError):
                async for _ in recorder.chunks():
                    pass
            return recorder.is_complete

        return anyio.run(main)

    # A broken-off answer was kept, and came back as complete when it was asked again.
    def test_broken_answer_that_ends_like_a_stream(self):
        """Only in a stream of events does the closing event end the answer."""
        self.assertFalse(self._read_broken("text/plain"))
        self.assertTrue(self._read_broken("text/event-stream; charset=utf-8"))
