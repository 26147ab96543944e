"""The demonstration: a few requests, printed with what came back."""

import sys
from typing import Any

import anyio
import httpcore
import orjson
from returns.result import Failure as Err

from ..standins.engine import expected_text
from ._ctl_client import Access, Command, run_command

__all__ = ["run_demo"]

READY_WAIT_S = 30.0
PROMPT = "Plan the evening round through La Banda"
MODEL = "route-banda"
DELIVERY = {"family": 17, "meal": "stew", "round": "evening"}


class _UnexpectedAnswerError(Exception):
    """An answer is not the expected one."""


async def run_demo(entry: str, keepers: str) -> bool:
    """Send the requests and print the answers.

    Returns
    -------
    bool
        Whether every answer was the expected one.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        caller = _Caller(pool, entry)
        try:
            await _stream(caller)
            await _deliver(caller)
            await _edit(caller, keepers)
        except (_UnexpectedAnswerError, TimeoutError) as exc:
            print(f"demonstration failed: {exc!r}", file=sys.stderr)
            return False
    print("demonstration complete")
    return True


class _Caller:
    """Sends requests to an entry."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, entry: str):
        self._pool = pool
        self._entry = entry

    async def ask(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
    ) -> httpcore.Response:
        """Return the answer to one request."""
        return await self._pool.request(
            method,
            f"http://{self._entry}{path}",
            headers={"content-type": "application/json", **(headers or {})},
            content=b"" if value is None else orjson.dumps(value),
        )

    async def ask_until_ok(self, method: str, path: str, value: Any) -> bytes:
        """Repeat a request until a replica is ready, and return the body."""
        with anyio.fail_after(READY_WAIT_S):
            while True:
                response = await self.ask(method, path, value)
                if response.status == 200:
                    return response.content
                await anyio.sleep(0.1)


def _check(holds: bool, what: str) -> None:
    if not holds:
        raise _UnexpectedAnswerError(what)


async def _stream(caller: _Caller) -> None:
    ask = {"model": MODEL, "prompt": PROMPT, "max_tokens": 7, "stream": True}
    body = await caller.ask_until_ok("POST", "/v1/completions", ask)
    events = body.decode().strip().split("\n\n")
    print(f"streamed completion from {MODEL}: {len(events) - 1} events")
    chunks = [orjson.loads(event.removeprefix("data: ")) for event in events[:-1]]
    text = "".join(chunk["choices"][0]["text"] for chunk in chunks if chunk["choices"])
    print(f"  {text.strip()}")
    _check(text == expected_text(PROMPT, 7), "the stream is not the whole answer")
    _check(events[-1] == "data: [DONE]", "the stream has no end")


async def _deliver(caller: _Caller) -> None:
    headers = {"idempotency-key": "demo-delivery-17"}
    counts = []
    for sending in ("first", "resent"):
        response = await caller.ask(
            "POST", "/services/deliveries/record", DELIVERY, headers
        )
        _check(response.status == 200, f"delivery: status {response.status}")
        answer = orjson.loads(response.content)
        counts.append(answer["run_count"])
        print(f"delivery record, {sending}: run_count {answer['run_count']}")
    _check(counts[0] == counts[1], "the resent delivery record ran again")


async def _edit(caller: _Caller, keepers: str) -> None:
    value = {
        "name": "route-termas",
        "kind": "adapter",
        "base": "route-planner",
        "owner": "rounds",
        "version": "1",
        "memory_bytes": 100_000_000,
    }
    access = Access(keepers, "demo", "", "")
    command = Command("put", "", orjson.dumps(value), "demo-edit", -1, True)
    put = await run_command(access, command)
    _check(not isinstance(put, Err), f"catalogue edit: {put}")
    print(f"catalogue edit: in force at revision {put.unwrap()['revision']}")
    ask = {"model": "route-termas", "prompt": PROMPT, "max_tokens": 3}
    body = await caller.ask_until_ok("POST", "/v1/completions", ask)
    text = orjson.loads(body)["choices"][0]["text"]
    print(f"completion from the new adapter: {text.strip()}")
