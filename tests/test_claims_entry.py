"""Claimed requests at an entry whose keepers are a table of claims."""

import unittest
from typing import Any

import anyio
import orjson
from returns.result import Failure as Err

from cowslipwood.kernel.codes import Code, failure

from .builders import model_value, service_value
from .entry_builders import (
    Caller,
    engine_view,
    make_app,
    refuse,
    service_answer,
    service_view,
    stream_answer,
)

KEY = [(b"idempotency-key", b"k")]
SERVICE = "/services/deliveries/log"


def _tokens(server: Any, attempt: Any) -> Any:
    """Answer as an engine does, each token with its request's id."""
    request_id = orjson.loads(attempt.body)["request_id"]
    chunks = [
        {"index": index, "text": text, "request_id": request_id}
        for index, text in enumerate(("a ", "b "))
    ]
    events = [b"data: " + orjson.dumps(chunk) + b"\n\n" for chunk in chunks]
    return stream_answer(*events, b"data: [DONE]\n\n")


def _text(caller: Caller, stream: bool) -> str:
    values = caller.events()[:-1] if stream else [caller.body]
    choices = [orjson.loads(value)["choices"][0] for value in values]
    return "".join(choice["text"] for choice in choices)


class TestClaimedRequests(unittest.TestCase):
    """What a claimed request's caller is told, and what is sent for it."""

    def app(self, script: Any, n_servers: int = 2) -> Any:
        """Return an entry's front over a script."""
        values = [model_value("m1"), service_value("deliveries", repeatable=False)]
        servers = [
            each
            for n in range(n_servers)
            for each in (
                engine_view(f"e{n}", "m1"),
                service_view(f"s{n}", "deliveries"),
            )
        ]
        self._caller_app = make_app(script, values, servers)
        return self._caller_app

    def call(self, path: str = SERVICE, body: bytes = b"{}") -> Caller:
        """Make one call under the key."""
        caller = Caller()
        anyio.run(caller.call, self._caller_app, "POST", path, body, KEY)
        return caller

    def n_sent(self) -> int:
        """Return how many attempts were sent."""
        return len(self._caller_app._components.dispatcher.sent)

    def test_resent_completion(self):
        """A resent completion gets the same tokens, streamed or not, from one run."""
        for stream in (True, False):
            self.app(_tokens)
            body = orjson.dumps(
                {"model": "m1", "prompt": "p", "max_tokens": 2, "stream": stream}
            )
            first, second = (self.call("/v1/completions", body) for _ in range(2))
            self.assertEqual(_text(first, stream), "a b ")
            self.assertEqual(_text(second, stream), "a b ")
            self.assertEqual(self.n_sent(), 1)

    def test_completion_that_breaks_off(self):
        """A claimed completion that breaks off is neither resumed nor run again."""
        self.app(lambda *_: stream_answer(b"data: {}", cut=True))
        body = orjson.dumps({"model": "m1", "prompt": "p"})
        for _ in range(2):
            caller = self.call("/v1/completions", body)
            self.assertEqual(caller.error["outcome"], "unknown")
        self.assertEqual(self.n_sent(), 1)

    def test_answer_without_servers(self):
        """A resend gets its answer also when no server is left."""
        self.app(lambda *_: service_answer(201, b"done"))
        self.assertEqual(self.call().status, 201)
        self._caller_app._components.view.backends.clear()
        again = self.call()
        self.assertEqual((again.status, again.body), (201, b"done"))

    def test_refused_everywhere(self):
        """A request that every server refused is told not-run and runs when resent."""
        answers = [service_answer(200, b"ok")] + [refuse(Code.AGENT_OVERLOADED)] * 2
        self.app(lambda *_: answers.pop())
        refused = self.call()
        self.assertEqual(refused.error["outcome"], "not-run")
        statuses = self._caller_app._components.claims._keepers.statuses
        self.assertEqual(statuses, ["open", "free", "open", "free", "released"])
        self.assertEqual(self.call().status, 200)

    def test_not_run_that_cannot_be_recorded(self):
        """Without the keepers' record a refused request is told as unknown."""
        self.app(lambda *_: refuse(Code.AGENT_LEAVING))
        keepers = self._caller_app._components.claims._keepers
        begin = keepers.request

        async def lose_all_but_the_first(value: Any, timeout_ms: float) -> Any:
            if keepers.n_commands:
                return Err(failure(Code.BAD_MESSAGE))
            return await begin(value, timeout_ms)

        keepers.request = lose_all_but_the_first
        caller = self.call()
        self.assertEqual(caller.error["name"], "CLAIM_IN_PROGRESS")
        self.assertEqual(caller.error["outcome"], "unknown")

    def test_lost_dispatch_stays_open(self):
        """A dispatch that may have arrived is not sent again, here or elsewhere."""
        self.app(lambda *_: refuse(Code.OUTCOME_UNKNOWN))
        for _ in range(2):
            self.assertEqual(self.call().error["outcome"], "unknown")
        self.assertEqual(self.n_sent(), 1)
