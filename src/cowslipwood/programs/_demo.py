"""The demonstration: sends a few requests and prints the answers."""

import sys
from typing import Any

import anyio
import httpcore
import orjson
from returns.result import Failure as Err

from ..standins.engine import make_expected_text
from ._ctl_client import KeeperAccess, OperatorCommand, run_command

__all__ = ["run_demo"]

# Time in seconds to wait until a replica is ready.
READY_TIMEOUT_S = 30.0
PROMPT = "Plan the evening round through La Banda"
MODEL = "route-banda"
DELIVERY = {"family": 17, "meal": "stew", "round": "evening"}


class _UnexpectedAnswerError(Exception):
    """An answer differs from the expected one."""


async def run_demo(entry: str, keepers: str) -> bool:
    """Send the requests and print the answers.

    Parameters
    ----------
    entry : str
        ``ip:port`` of the entry.
    keepers : str
        Comma-separated ``ip:port`` of the keepers.

    Returns
    -------
    bool
        Whether every answer was the expected one.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        client = _EntryClient(pool, entry)
        try:
            await _show_stream(client)
            await _show_delivery(client)
            await _show_edit(client, keepers)
        except (_UnexpectedAnswerError, TimeoutError) as exc:
            print(f"demonstration failed: {exc!r}", file=sys.stderr)
            return False
    print("demonstration complete")
    return True


class _EntryClient:
    """Sends requests to the entry."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, entry: str):
        self._pool = pool
        self._entry = entry

    async def request(
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

    async def request_until_ok(self, method: str, path: str, value: Any) -> bytes:
        """Repeat a request until a replica is ready, and return the body."""
        with anyio.fail_after(READY_TIMEOUT_S):
            while True:
                response = await self.request(method, path, value)
                if response.status == 200:
                    return response.content
                await anyio.sleep(0.1)


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise _UnexpectedAnswerError(message)


async def _show_stream(client: _EntryClient) -> None:
    request = {"model": MODEL, "prompt": PROMPT, "max_tokens": 7, "stream": True}
    body = await client.request_until_ok("POST", "/v1/completions", request)
    events = body.decode().strip().split("\n\n")
    print(f"streamed completion from {MODEL}: {len(events) - 1} events")
    chunks = [orjson.loads(event.removeprefix("data: ")) for event in events[:-1]]
    text = "".join(chunk["choices"][0]["text"] for chunk in chunks if chunk["choices"])
    print(f"  {text.strip()}")
    _require(
        text == make_expected_text(PROMPT, 7), "the stream is not the whole answer"
    )
    _require(events[-1] == "data: [DONE]", "the stream has no end")


async def _show_delivery(client: _EntryClient) -> None:
    headers = {"idempotency-key": "demo-delivery-17"}
    counts = []
    for sending in ("first", "resent"):
        response = await client.request(
            "POST", "/services/deliveries/record", DELIVERY, headers
        )
        _require(response.status == 200, f"delivery: status {response.status}")
        answer = orjson.loads(response.content)
        counts.append(answer["run_count"])
        print(f"delivery record, {sending}: run_count {answer['run_count']}")
    _require(counts[0] == counts[1], "the resent delivery record ran again")


async def _show_edit(client: _EntryClient, keepers: str) -> None:
    value = {
        "name": "route-termas",
        "kind": "adapter",
        "base": "route-planner",
        "owner": "rounds",
        "version": "1",
        "memory_bytes": 100_000_000,
    }
    access = KeeperAccess(keepers, "demo", "", "")
    command = OperatorCommand("put", "", orjson.dumps(value), "demo-edit", -1, True)
    result = await run_command(access, command)
    _require(not isinstance(result, Err), f"catalogue edit: {result}")
    print(f"catalogue edit: in force at revision {result.unwrap()['revision']}")
    request = {"model": "route-termas", "prompt": PROMPT, "max_tokens": 3}
    body = await client.request_until_ok("POST", "/v1/completions", request)
    text = orjson.loads(body)["choices"][0]["text"]
    print(f"completion from the new adapter: {text.strip()}")
