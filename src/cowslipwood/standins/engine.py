"""A stand-in model engine.

Batches continuously up to a knee of requests in flight and slows beyond it,
holds models and KV cache in limited memory, caches prompt prefixes, honours
priorities, resumes and cancels streams, and takes orders to load and unload.
It streams tokens that repeat the prompt's words, so that an answer can be told
to be the caller's own.
"""

import random
from collections import deque
from typing import Any, NamedTuple

import anyio
import orjson

from ..kernel.clock import monotonic_ms
from ..kernel.http import Request, read_request, send_json
from ._batch import Batch
from ._faults import BrokenAnswerError, Faults
from ._memory import EngineMemory, PrefixCache
from ._orders import OrderDesk

__all__ = ["EngineConfig", "StandinEngine", "expected_text"]

MAX_BODY_BYTES = 8 * 1024 * 1024
DEFAULT_PRIORITY = 1
N_ATTACHED_ADAPTERS = 8
MAX_ANSWERS = 1_000


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
    max_running : int
        Requests that run at once; more wait by priority.
    prefill_ms_per_token : float
        Added to the first token for each prompt token that is not cached.
    prefix_cache_blocks : int
        Blocks of 16 tokens in the prefix cache.
    kv_bytes_per_token : int
        KV cache that a request takes for each token of prompt and answer.
    adapter_low_ms, adapter_high_ms : float
        Time that an adapter takes below the knee.
    adapter_time : str
        What takes that time: ``call``, each call's first token, or ``attach``,
        the first call after the adapter was not among the last few used.
    report_lag_ms : float
        How far reported load lags.
    store_url : str
        ``http://ip:port`` of the weight store; empty for none.
    """

    capacity_bytes: int = 16_000_000_000
    knee_in_flight: int = 16
    first_token_ms: float = 5.0
    between_tokens_ms: float = 1.0
    load_ms: float = 50.0
    checks_fence: bool = True
    max_running: int = 256
    prefill_ms_per_token: float = 0.01
    prefix_cache_blocks: int = 4_096
    kv_bytes_per_token: int = 1_000
    adapter_low_ms: float = 5.0
    adapter_high_ms: float = 7.0
    adapter_time: str = "call"
    report_lag_ms: float = 0.0
    store_url: str = ""


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer that the stand-in gives to a prompt."""
    return "".join(_tokens(prompt, max_tokens))


def _tokens(prompt: str, max_tokens: int) -> list[str]:
    words = prompt.split() or ["-"]
    return [f"{words[i % len(words)]} " for i in range(max_tokens)]


class StandinEngine:
    """The engine's state and its HTTP interface, an ASGI application.

    Attributes
    ----------
    faults : Faults
    answers : deque of dict
        The newest answers to orders, whether they were lost or not.
    """

    def __init__(self, config: EngineConfig, seed: int = 0):
        self._config = config
        self._random = random.Random(seed)
        self._memory = EngineMemory(config.capacity_bytes)
        self._batch = Batch(
            config.knee_in_flight, config.max_running, config.report_lag_ms
        )
        self._prefixes = PrefixCache(config.prefix_cache_blocks)
        self._desk = OrderDesk(
            self._memory, config.load_ms, config.checks_fence, config.store_url
        )
        self._attached: list[str] = []
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._counts = dict.fromkeys(
            ("n_started", "n_finished", "n_cancelled", "n_failed", "n_refused"), 0
        )
        self.faults = Faults()
        self.answers: deque[dict[str, Any]] = deque(maxlen=MAX_ANSWERS)

    @property
    def committed_bytes(self) -> int:
        """Memory taken by models that are loaded or loading and by KV cache."""
        return self._memory.committed_bytes

    @property
    def counts(self) -> dict[str, int]:
        """Requests by how far they came."""
        return dict(self._counts)

    @property
    def high_water_bytes(self) -> int:
        """The most memory that the engine was ever asked to hold."""
        return self._memory.high_water_bytes

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        request = read.value_or(None)
        if request is None:
            return
        match request.method, request.path:
            case "GET", "/engine/state":
                await send_json(send, 200, self.state())
            case "GET", "/standin/state":
                await send_json(send, 200, {**self.state(), **self._counts})
            case "POST", "/standin/fault":
                await send_json(send, 200, self.faults.set(orjson.loads(request.body)))
            case "POST", "/engine/orders":
                await self._order(orjson.loads(request.body), receive, send)
            case "POST", "/engine/cancel":
                await self._cancel(orjson.loads(request.body), send)
            case "POST", "/v1/completions":
                await self._complete(request, receive, send)
            case _:
                await send_json(send, 404, {"error": "no such path"})

    def state(self) -> dict[str, Any]:
        """Return what the engine says of itself; its load lags."""
        n_running, n_waiting = self._batch.reported(monotonic_ms())
        return {
            "capacity_bytes": self._config.capacity_bytes,
            "committed_bytes": self._memory.committed_bytes,
            "high_water_bytes": self._memory.high_water_bytes,
            "kv_bytes": self._memory.kv_bytes,
            "kv_bytes_per_token": self._config.kv_bytes_per_token,
            "fence": self._desk.fence,
            "role": self._desk.role,
            "n_in_flight": n_running + n_waiting,
            "n_queued": n_waiting,
            "n_loads": self._desk.n_loads,
            "n_unloads": self._desk.n_unloads,
            "knee_in_flight": self._config.knee_in_flight,
            "models": [held._asdict() for held in self._memory.held.values()],
            "orders": self._desk.states,
        }

    async def _order(self, order: dict[str, Any], receive: Any, send: Any) -> None:
        faults = self.faults
        if faults.strikes("lose_orders"):
            await _until_disconnect(receive)
            return
        if faults.strikes("hold_orders"):
            await faults.released.wait()
        if faults.strikes("delay_orders"):
            await anyio.sleep(faults.delay_ms / 1000)
        lost = faults.strikes("lose_answers")
        late = faults.strikes("delay_answers")
        doubled = faults.strikes("double_orders")
        answer = await self._desk.run(order)
        self.answers.append(answer)
        if late:
            await anyio.sleep(faults.delay_ms / 1000)
        if lost:
            await _until_disconnect(receive)
        else:
            await send_json(send, 409 if answer["state"] == "refused" else 200, answer)
        if doubled:
            await anyio.sleep(faults.delay_ms / 1000)
            await self._desk.run(order)

    async def _cancel(self, body: dict[str, Any], send: Any) -> None:
        request_id = body["request_id"]
        scope = self._scopes.get(request_id)
        if scope is not None:
            scope.cancel()
        while request_id in self._scopes:
            await anyio.sleep(0.001)
        await send_json(send, 200, {"cancelled": scope is not None})

    async def _complete(self, request: Request, receive: Any, send: Any) -> None:
        body = orjson.loads(request.body)
        if self.faults.strikes("answer_errors"):
            self._counts["n_failed"] += 1
            await send_json(send, 500, {"error": "commanded"})
            return
        held = self._memory.held.get((body["model"], body.get("version", "")))
        if held is None or held.state != "ready":
            self._counts["n_refused"] += 1
            await send_json(send, 404, {"error": "model not loaded"})
            return
        request_id = request.headers.get("x-request-id", str(id(request)))
        async with anyio.create_task_group() as tasks:
            self._scopes[request_id] = tasks.cancel_scope
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            try:
                await self._run(body, held.base, send)
            finally:
                del self._scopes[request_id]
            tasks.cancel_scope.cancel()

    async def _run(self, body: dict[str, Any], base: str, send: Any) -> None:
        prompt = body["prompt"].split()
        n_tokens = len(prompt) + body["max_tokens"]
        kv_bytes = n_tokens * self._config.kv_bytes_per_token
        if not self._memory.fits(kv_bytes):
            self._counts["n_refused"] += 1
            await send_json(send, 503, {"error": "out of memory"})
            return
        self._memory.kv_bytes += kv_bytes
        ended = "n_cancelled"
        try:
            async with self._batch.slot(body.get("priority", DEFAULT_PRIORITY)):
                self._counts["n_started"] += 1
                await self._stream(body, base, prompt, send)
            ended = "n_finished"
        except BrokenAnswerError:
            ended = "n_failed"
            raise
        finally:
            self._counts[ended] += 1
            self._memory.kv_bytes -= kv_bytes

    async def _stream(
        self, body: dict[str, Any], base: str, prompt: list[str], send: Any
    ) -> None:
        fails = self.faults.strikes("fail_streams")
        await self._work(self._first_token_ms(body["model"], base, prompt))
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        tokens = _tokens(body["prompt"], body["max_tokens"])
        done = body.get("resume_tokens", 0)
        for index in range(done, len(tokens)):
            if fails and index - done >= self.faults.fail_after_tokens:
                raise BrokenAnswerError("stream ended on command")
            if (body["model"], body.get("version", "")) not in self._memory.held:
                raise BrokenAnswerError("the model was unloaded")
            chunk = {"index": index, "text": tokens[index]}
            data = b"data: " + orjson.dumps(chunk) + b"\n\n"
            await send({"type": "http.response.body", "body": data, "more_body": True})
            if index + 1 < len(tokens):
                await self._work(self._config.between_tokens_ms)
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})

    def _first_token_ms(self, model: str, base: str, prompt: list[str]) -> float:
        n_fresh = len(prompt) - self._prefixes.use(model, prompt)
        prefill_ms = n_fresh * self._config.prefill_ms_per_token
        if not base:
            return self._config.first_token_ms + prefill_ms
        adapter_ms = self._random.uniform(
            self._config.adapter_low_ms, self._config.adapter_high_ms
        )
        if self._config.adapter_time == "call":
            return adapter_ms + prefill_ms
        attach_ms = 0.0 if self._attach(model) else adapter_ms
        return self._config.first_token_ms + attach_ms + prefill_ms

    def _attach(self, adapter: str) -> bool:
        """Return whether the adapter was among the last few used."""
        attached = adapter in self._attached
        if attached:
            self._attached.remove(adapter)
        self._attached = [*self._attached, adapter][-N_ATTACHED_ADAPTERS:]
        return attached

    async def _work(self, work_ms: float) -> None:
        factor = self._batch.slowdown() * self.faults.slow_factor
        await anyio.sleep(work_ms * factor / 1000)


async def _until_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _cancel_on_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    await _until_disconnect(receive)
    scope.cancel()
