"""A stand-in model engine.

Batches continuously up to a knee of requests in flight and slows beyond it,
holds models in limited memory, takes orders to load and unload, and streams
tokens that repeat the prompt's words, so that an answer can be told to be the
caller's own.
"""

from typing import Any, NamedTuple

import anyio
import orjson

from ..kernel.clock import monotonic_ms
from ..kernel.http import Request, read_request, send_json

__all__ = ["EngineConfig", "StandinEngine", "expected_text"]

MAX_BODY_BYTES = 8 * 1024 * 1024


class EngineConfig(NamedTuple):
    """How a stand-in engine behaves.

    Parameters
    ----------
    capacity_bytes : int
        Accelerator memory.
    knee_in_flight : int
        Requests served at full speed at once.
    first_token_ms, between_tokens_ms : float
        Speed below the knee.
    load_ms : float
        Time that a load order takes.
    checks_fence : bool
        Whether orders with an old fencing number are refused.
    """

    capacity_bytes: int = 16_000_000_000
    knee_in_flight: int = 16
    first_token_ms: float = 5.0
    between_tokens_ms: float = 1.0
    load_ms: float = 50.0
    checks_fence: bool = True


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer that the stand-in gives to a prompt."""
    return "".join(_tokens(prompt, max_tokens))


def _tokens(prompt: str, max_tokens: int) -> list[str]:
    words = prompt.split() or ["-"]
    return [f"{words[i % len(words)]} " for i in range(max_tokens)]


class _Held(NamedTuple):
    name: str
    version: str
    memory_bytes: int
    state: str


class StandinEngine:
    """The engine's state and its HTTP interface, an ASGI application."""

    def __init__(self, config: EngineConfig):
        self._config = config
        self._held: dict[tuple[str, str], _Held] = {}
        self._orders: dict[str, dict[str, Any]] = {}
        self._fence = 0
        self._n_in_flight = 0

    @property
    def committed_bytes(self) -> int:
        """Memory taken by models that are loaded or loading, in bytes."""
        return sum(held.memory_bytes for held in self._held.values())

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        request = read.value_or(None)
        if request is None:
            return
        match request.method, request.path:
            case "GET", "/engine/state":
                await send_json(send, 200, self._state())
            case "POST", "/engine/orders":
                status, answer = await self._order(orjson.loads(request.body))
                await send_json(send, status, answer)
            case "POST", "/v1/completions":
                await self._complete(request, send)
            case _:
                await send_json(send, 404, {"error": "no such path"})

    def _state(self) -> dict[str, Any]:
        return {
            "capacity_bytes": self._config.capacity_bytes,
            "fence": self._fence,
            "at_ms": monotonic_ms(),
            "n_in_flight": self._n_in_flight,
            "knee_in_flight": self._config.knee_in_flight,
            "models": [held._asdict() for held in self._held.values()],
            "orders": self._orders,
        }

    async def _order(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        order_id = order["order_id"]
        if order_id in self._orders:
            return 200, self._orders[order_id]
        if self._config.checks_fence and order["fence"] < self._fence:
            return 409, {"state": "refused", "reason": "old fence"}
        self._fence = max(self._fence, order["fence"])
        key = (order["model"], order["version"])
        if order["op"] == "unload":
            self._held.pop(key, None)
        elif key not in self._held:
            free_bytes = self._config.capacity_bytes - self.committed_bytes
            if order["memory_bytes"] > free_bytes:
                return 409, {"state": "refused", "reason": "memory"}
            await self._load(key, order)
        self._orders[order_id] = {"state": "done"}
        return 200, self._orders[order_id]

    async def _load(self, key: tuple[str, str], order: dict[str, Any]) -> None:
        held = _Held(*key, order["memory_bytes"], "loading")
        self._held[key] = held
        self._orders[order["order_id"]] = {"state": "running"}
        await anyio.sleep(self._config.load_ms / 1000)
        self._held[key] = held._replace(state="ready")

    async def _complete(self, request: Request, send: Any) -> None:
        body = orjson.loads(request.body)
        key = (body["model"], body.get("version", ""))
        if key not in self._held or self._held[key].state != "ready":
            await send_json(send, 404, {"error": "model not loaded"})
            return
        self._n_in_flight += 1
        try:
            await self._stream(body, send)
        finally:
            self._n_in_flight -= 1

    async def _stream(self, body: dict[str, Any], send: Any) -> None:
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await anyio.sleep(self._config.first_token_ms * self._slowdown() / 1000)
        done = body.get("resume_tokens", 0)
        tokens = _tokens(body["prompt"], body["max_tokens"])
        for index in range(done, len(tokens)):
            chunk = {"index": index, "text": tokens[index]}
            data = b"data: " + orjson.dumps(chunk) + b"\n\n"
            await send({"type": "http.response.body", "body": data, "more_body": True})
            await anyio.sleep(self._config.between_tokens_ms * self._slowdown() / 1000)
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})

    def _slowdown(self) -> float:
        return max(1.0, self._n_in_flight / self._config.knee_in_flight)
