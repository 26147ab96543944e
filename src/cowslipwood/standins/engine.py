"""Simulates a model engine.

The engine batches requests continuously and slows down when more run than it serves at
full speed. It holds models and KV cache in limited memory, caches prompt prefixes,
serves requests by priority, resumes and cancels streams, and runs orders to load and
unload models. Its tokens repeat the words of the prompt, so that a test can check that
an answer belongs to its request.
"""

import random
from collections import deque
from typing import Any, NamedTuple

import anyio
import orjson

from ..kernel.clock import monotonic_ms
from ..kernel.http import Request, read_request, send_json
from ._batch import Batch
from ._faults import Faults, InjectedFaultError
from ._memory import EngineMemory, PrefixCache
from ._orders import OrderRunner

__all__ = ["EngineConfig", "StandinEngine", "make_expected_text"]

# Largest request body, in bytes.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Priority of a request that gives none.
DEFAULT_PRIORITY = 1
# Number of recently used adapters that need no time to be attached again.
N_ATTACHED_ADAPTERS = 8
# Number of answers to orders that are kept for tests.
MAX_ORDER_ANSWERS = 1_000


class EngineConfig(NamedTuple):
    """Settings of a stand-in engine.

    Parameters
    ----------
    capacity_bytes : int
        Accelerator memory.
    knee_in_flight : int
        Number of requests served at full speed at the same time.
    first_token_ms, between_tokens_ms : float
        Time to the first token and between tokens at full speed.
    load_ms : float
        Time that a load takes after the weights are fetched.
    checks_fence : bool
        Whether orders with an old fencing number are refused.
    max_running : int
        Largest number of requests that run at the same time; others wait by priority.
    prefill_ms_per_token : float
        Time added to the first token for each prompt token that is not cached.
    prefix_cache_blocks : int
        Blocks of 16 tokens in the prefix cache.
    kv_bytes_per_token : int
        KV cache that a request takes for each token of its prompt and its answer.
    adapter_low_ms, adapter_high_ms : float
        Shortest and longest time that an adapter takes at full speed.
    adapter_time : str
        Which calls of an adapter take that time: ``call`` for each, to its first
        token, or ``attach`` for one whose adapter is not among the last few used.
    report_lag_ms : float
        Age of the reported load.
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


def make_expected_text(prompt: str, max_tokens: int) -> str:
    """Return the complete answer that the engine gives to a prompt."""
    return "".join(_make_tokens(prompt, max_tokens))


def _make_tokens(prompt: str, max_tokens: int) -> list[str]:
    words = prompt.split() or ["-"]
    return [f"{words[index % len(words)]} " for index in range(max_tokens)]


class StandinEngine:
    """A simulated engine with its HTTP interface, an ASGI application.

    Parameters
    ----------
    config : EngineConfig
    seed : int
        Seed of the times that adapters take.

    Attributes
    ----------
    faults : Faults
        Faults that tests inject.
    order_answers : deque of dict
        The latest answers to orders, including those that were lost.
    """

    def __init__(self, config: EngineConfig, seed: int = 0):
        self._config = config
        self._random = random.Random(seed)
        self._memory = EngineMemory(config.capacity_bytes)
        self._batch = Batch(
            config.knee_in_flight, config.max_running, config.report_lag_ms
        )
        self._prefixes = PrefixCache(config.prefix_cache_blocks)
        self._orders = OrderRunner(
            self._memory, config.load_ms, config.checks_fence, config.store_url
        )
        self._attached_adapters: list[str] = []
        self._scope_by_request_id: dict[str, anyio.CancelScope] = {}
        self._counts = dict.fromkeys(
            ("n_started", "n_finished", "n_cancelled", "n_failed", "n_refused"), 0
        )
        self.faults = Faults()
        self.order_answers: deque[dict[str, Any]] = deque(maxlen=MAX_ORDER_ANSWERS)

    @property
    def committed_bytes(self) -> int:
        """Bytes taken by models, whether loading or ready, and by KV cache."""
        return self._memory.committed_bytes

    @property
    def counts(self) -> dict[str, int]:
        """Number of completion requests that started, and by how they ended."""
        return dict(self._counts)

    @property
    def high_water_bytes(self) -> int:
        """Largest amount of memory ever requested, whether it fitted or not."""
        return self._memory.high_water_bytes

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        received = await read_request(scope, receive, MAX_BODY_BYTES)
        request = received.value_or(None)
        if request is None:
            return
        match request.method, request.path:
            case "GET", "/engine/state":
                await send_json(send, 200, self.state())
            case "GET", "/standin/state":
                await send_json(send, 200, {**self.state(), **self._counts})
            case "POST", "/standin/fault":
                await send_json(
                    send, 200, self.faults.set_faults(orjson.loads(request.body))
                )
            case "POST", "/engine/orders":
                await self._handle_order(orjson.loads(request.body), receive, send)
            case "POST", "/engine/cancel":
                await self._handle_cancel(orjson.loads(request.body), send)
            case "POST", "/v1/completions":
                await self._handle_completion(request, receive, send)
            case _:
                await send_json(send, 404, {"error": "no such path"})

    def state(self) -> dict[str, Any]:
        """Return the state that the engine reports; its load lags."""
        n_running, n_waiting = self._batch.lagging_load(monotonic_ms())
        return {
            "capacity_bytes": self._config.capacity_bytes,
            "committed_bytes": self._memory.committed_bytes,
            "high_water_bytes": self._memory.high_water_bytes,
            "kv_bytes": self._memory.kv_bytes,
            "kv_bytes_per_token": self._config.kv_bytes_per_token,
            "fence": self._orders.highest_fence,
            "role": self._orders.role,
            "n_in_flight": n_running + n_waiting,
            "n_queued": n_waiting,
            "n_loads": self._orders.n_loads,
            "n_unloads": self._orders.n_unloads,
            "knee_in_flight": self._config.knee_in_flight,
            "models": [model._asdict() for model in self._memory.models.values()],
            "orders": self._orders.states,
        }

    async def _handle_order(
        self, order: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Run an order and answer, subject to the injected faults."""
        faults = self.faults
        if faults.take_one("lose_orders"):
            await _wait_for_disconnect(receive)
            return
        if faults.take_one("hold_orders"):
            await faults.orders_released.wait()
        if faults.take_one("delay_orders"):
            await anyio.sleep(faults.delay_ms / 1000)
        is_answer_lost = faults.take_one("lose_answers")
        is_answer_delayed = faults.take_one("delay_answers")
        is_doubled = faults.take_one("double_orders")
        answer = await self._orders.run(order)
        self.order_answers.append(answer)
        if is_answer_delayed:
            await anyio.sleep(faults.delay_ms / 1000)
        if is_answer_lost:
            await _wait_for_disconnect(receive)
        else:
            await send_json(send, 409 if answer["state"] == "refused" else 200, answer)
        if is_doubled:
            await anyio.sleep(faults.delay_ms / 1000)
            await self._orders.run(order)

    async def _handle_cancel(self, body: dict[str, Any], send: Any) -> None:
        """Cancel a request and answer once it has ended."""
        request_id = body["request_id"]
        scope = self._scope_by_request_id.get(request_id)
        if scope is not None:
            scope.cancel()
        while request_id in self._scope_by_request_id:
            await anyio.sleep(0.001)
        await send_json(send, 200, {"cancelled": scope is not None})

    async def _handle_completion(
        self, request: Request, receive: Any, send: Any
    ) -> None:
        """Answer a completion request; it ends when its caller disconnects."""
        body = orjson.loads(request.body)
        if self.faults.take_one("answer_errors"):
            self._counts["n_failed"] += 1
            await send_json(send, 500, {"error": "commanded"})
            return
        model = self._memory.models.get((body["model"], body.get("version", "")))
        if model is None or model.state != "ready":
            self._counts["n_refused"] += 1
            await send_json(send, 404, {"error": "model not loaded"})
            return
        request_id = request.headers.get("x-request-id", str(id(request)))
        async with anyio.create_task_group() as tasks:
            self._scope_by_request_id[request_id] = tasks.cancel_scope
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            try:
                await self._generate(body, model.base, send)
            finally:
                del self._scope_by_request_id[request_id]
            tasks.cancel_scope.cancel()

    async def _generate(self, body: dict[str, Any], base: str, send: Any) -> None:
        """Reserve KV cache, wait for a slot in the batch and stream the answer."""
        prompt = body["prompt"].split()
        n_tokens = len(prompt) + body["max_tokens"]
        kv_bytes = n_tokens * self._config.kv_bytes_per_token
        if not self._memory.check_room(kv_bytes):
            self._counts["n_refused"] += 1
            await send_json(send, 503, {"error": "out of memory"})
            return
        self._memory.kv_bytes += kv_bytes
        counter = "n_cancelled"
        try:
            async with self._batch.hold_slot(body.get("priority", DEFAULT_PRIORITY)):
                self._counts["n_started"] += 1
                await self._stream_tokens(body, base, prompt, send)
            counter = "n_finished"
        except InjectedFaultError:
            counter = "n_failed"
            raise
        finally:
            self._counts[counter] += 1
            self._memory.kv_bytes -= kv_bytes

    async def _stream_tokens(
        self, body: dict[str, Any], base: str, prompt: list[str], send: Any
    ) -> None:
        must_fail = self.faults.take_one("fail_streams")
        await self._simulate_work(self._first_token_ms(body["model"], base, prompt))
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        tokens = _make_tokens(body["prompt"], body["max_tokens"])
        n_delivered = body.get("resume_tokens", 0)
        for index in range(n_delivered, len(tokens)):
            if must_fail and index - n_delivered >= self.faults.fail_after_tokens:
                raise InjectedFaultError("injected fault: stream ended early")
            if (body["model"], body.get("version", "")) not in self._memory.models:
                raise InjectedFaultError("model was unloaded during the answer")
            chunk = {"index": index, "text": tokens[index]}
            data = b"data: " + orjson.dumps(chunk) + b"\n\n"
            await send({"type": "http.response.body", "body": data, "more_body": True})
            if index + 1 < len(tokens):
                await self._simulate_work(self._config.between_tokens_ms)
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})

    def _first_token_ms(self, model: str, base: str, prompt: list[str]) -> float:
        """Return the time to the first token at full speed, and cache the prompt."""
        n_uncached = len(prompt) - self._prefixes.look_up_and_add(model, prompt)
        prefill_ms = n_uncached * self._config.prefill_ms_per_token
        if not base:
            return self._config.first_token_ms + prefill_ms
        adapter_ms = self._random.uniform(
            self._config.adapter_low_ms, self._config.adapter_high_ms
        )
        if self._config.adapter_time == "call":
            return adapter_ms + prefill_ms
        attach_ms = 0.0 if self._attach_adapter(model) else adapter_ms
        return self._config.first_token_ms + attach_ms + prefill_ms

    def _attach_adapter(self, adapter: str) -> bool:
        """Attach an adapter and return whether it was already attached."""
        was_attached = adapter in self._attached_adapters
        if was_attached:
            self._attached_adapters.remove(adapter)
        self._attached_adapters = [*self._attached_adapters, adapter][
            -N_ATTACHED_ADAPTERS:
        ]
        return was_attached

    async def _simulate_work(self, full_speed_ms: float) -> None:
        """Wait for the time that work takes under the present load."""
        factor = self._batch.slowdown_factor() * self.faults.slow_factor
        await anyio.sleep(full_speed_ms * factor / 1000)


async def _wait_for_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _cancel_on_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    await _wait_for_disconnect(receive)
    scope.cancel()
