"""Loads and unloads models until the engine holds the newest assignment.

One task reads the engine's state and decides. Each order runs as a child task of it,
and there is at most one order at a time for each model. A model's bytes are freed,
and a model counts as ready, only after a read of the engine's state that began when
the model's last order had ended. Until then the model is unsettled and gets no other
order.
"""

import anyio
import anyio.abc
from returns.result import Failure as Err
from returns.result import Result

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure
from ..kernel.logs import get_logger
from ..kernel.messages import Assignment
from ..kernel.metrics import Metrics
from ._memory_ledger import MemoryLedger, ModelKey
from ._models import HeldModel, ModelState, ModelTable
from ._orders import OrderSender
from ._permits import PermitClient
from .engines import EngineDialect, EngineState

__all__ = ["Reconciler"]

# Longest pause between two reads of the engine's state, in milliseconds.
POLL_INTERVAL_MS = 200
# Time without a successful read of the engine's state after which the engine counts
# as unreachable, in milliseconds.
UNREACHABLE_AFTER_MS = 2_000
# Delay after the first failed order of a model, in milliseconds; the delay doubles
# with each further failure.
FIRST_BACKOFF_MS = 200
# Longest delay after a failed order, in milliseconds.
MAX_BACKOFF_MS = 5_000


class Reconciler:
    """Loads and unloads models until the engine holds what is assigned.

    Parameters
    ----------
    dialect : EngineDialect
    ledger : MemoryLedger
    models : ModelTable
    orders : OrderSender
    permits : PermitClient
    metrics : Metrics
    """

    def __init__(
        self,
        dialect: EngineDialect,
        ledger: MemoryLedger,
        models: ModelTable,
        orders: OrderSender,
        permits: PermitClient,
        metrics: Metrics,
    ):
        self._dialect = dialect
        self._ledger = ledger
        self._models = models
        self._orders = orders
        self._permits = permits
        self._metrics = metrics
        self._keys_with_running_order: set[ModelKey] = set()
        self._backoff_ms: dict[ModelKey, float] = {}
        self._next_order_ms: dict[ModelKey, float] = {}
        self._unsettled_keys: set[ModelKey] = set()
        self._keys_lacking_memory: set[ModelKey] = set()
        self._last_read_ms = 0.0
        self._read_requested = anyio.Event()
        self.assignment = Assignment("", 0, 0, (), False)
        self.is_fenced_out = False
        self.on_change = lambda: None
        models.on_call_end = self.request_read

    def assign(self, assignment: Assignment) -> bool:
        """Replace the assignment unless the given one is older than it.

        Returns whether the given assignment was accepted.
        """
        newest = (self.assignment.term, self.assignment.revision)
        if (assignment.term, assignment.revision) < newest:
            self._metrics.count("assignments_refused_total", reason="ORDER_STALE")
            return False
        self.assignment = assignment
        self._models.assign(assignment)
        self.request_read()
        return True

    def request_read(self) -> None:
        """Make the reconciler read the engine's state without waiting further."""
        self._read_requested.set()

    async def take_over_engine(self, state: EngineState) -> None:
        """Exclude orders of a previous process that may still reach the engine.

        An engine that checks fencing numbers gets a higher one, so that it refuses
        those orders. For any other engine, the memory that those orders may take is
        reserved.
        """
        if self._dialect.checks_fence:
            raised = await self._orders.raise_fence(state.fence + 1)
            if isinstance(raised, Err):
                self._stop_if_order_stale(raised.failure())
            return
        self._ledger.reserve_for_unknown_orders(monotonic_ms())

    async def run(self) -> None:
        """Reconcile until the task is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._read_requested = anyio.Event()
                await self._reconcile_once(tasks)
                with anyio.move_on_after(POLL_INTERVAL_MS / 1000):
                    await self._read_requested.wait()

    async def _reconcile_once(self, tasks: anyio.abc.TaskGroup) -> None:
        ordered_before = set(self._keys_with_running_order)
        read_started_ms = monotonic_ms()
        read = await self._dialect.state()
        now_ms = monotonic_ms()
        if isinstance(read, Err):
            self._handle_failed_read(now_ms)
            return
        self._last_read_ms = now_ms
        self._unsettled_keys = ordered_before | self._keys_with_running_order
        self._apply_engine_state(read.unwrap(), read_started_ms)
        if not self.is_fenced_out:
            self._start_loads(tasks, now_ms)
            self._start_unloads(tasks, now_ms)

    def _handle_failed_read(self, now_ms: float) -> None:
        self._metrics.count("engine_reads_failed_total")
        if (
            self._models.is_engine_reachable
            and now_ms - self._last_read_ms > UNREACHABLE_AFTER_MS
        ):
            get_logger().warning("engine_unreachable")
            self._models.is_engine_reachable = False
            self.on_change()

    def _apply_engine_state(self, state: EngineState, read_started_ms: float) -> None:
        """Update the models that are settled to what the engine holds."""
        unsettled = self._unsettled_keys
        before = (self._models.is_engine_reachable, dict(self._models.held))
        self._models.is_engine_reachable = True
        self._ledger.limit_inherited_kv(state.kv_bytes)
        residents = {
            ModelKey(resident.model, resident.version): resident
            for resident in state.residents
        }
        for key in [
            held_key
            for held_key in self._models.held
            if held_key not in unsettled and held_key not in residents
        ]:
            self._ledger.release(key, read_started_ms)
            del self._models.held[key]
        for key, resident in residents.items():
            if key in unsettled:
                continue
            self._ledger.reserve_resident(key, resident.memory_bytes)
            is_ready = resident.state == ModelState.READY
            self._models.held[key] = HeldModel(
                state.bases.get(key, ""),
                resident.memory_bytes,
                ModelState.READY if is_ready else ModelState.LOADING,
            )
        self._ledger.expire_delayed_loads(read_started_ms)
        self._models.first_read_done.set()
        if before != (True, self._models.held):
            self.on_change()

    def _start_loads(self, tasks: anyio.abc.TaskGroup, now_ms: float) -> None:
        """Start loads of assigned models for which memory can be reserved."""
        self._keys_lacking_memory.clear()
        self._ledger.clear_blocked_load()
        for key, model in (self._models.desired or {}).items():
            if key in self._models.held or self._must_wait(key, now_ms):
                continue
            if model.base and not self._models.has_ready_version(model.base):
                continue
            reserved = self._ledger.reserve(key, model.memory_bytes)
            if isinstance(reserved, Err):
                self._metrics.count("load_waits_total", reason=Code.MEMORY_FULL.name)
                self._keys_lacking_memory.add(key)
                continue
            self._keys_with_running_order.add(key)
            held = HeldModel(model.base, model.memory_bytes, ModelState.WAITING)
            self._models.held[key] = held
            self.on_change()
            tasks.start_soon(self._load_model, key, held)

    def _start_unloads(self, tasks: anyio.abc.TaskGroup, now_ms: float) -> None:
        """Start unloads of models that are neither assigned nor still needed."""
        if self._models.desired is None:
            return
        for key in self._models.list_unassigned():
            if self._must_wait(key, now_ms) or self._is_still_needed(key):
                continue
            self._keys_with_running_order.add(key)
            self._models.set_state(key, ModelState.UNLOADING)
            tasks.start_soon(self._unload_model, key)

    def _must_wait(self, key: ModelKey, now_ms: float) -> bool:
        """Return whether a model is unsettled or its last order failed recently."""
        return key in self._unsettled_keys or now_ms < self._next_order_ms.get(key, 0)

    def _is_still_needed(self, key: ModelKey) -> bool:
        """Return whether a model that is not assigned has to stay in memory.

        A model stays while calls or adapters use it. A version whose replacement is
        not ready yet stays as well, unless the replacement needs its memory.
        """
        if self._models.n_calls(key) or self._models.is_needed_by_adapters(key):
            return True
        return self._models.awaits_replacement(
            key
        ) and not self._takes_memory_of_replacement(key)

    def _takes_memory_of_replacement(self, key: ModelKey) -> bool:
        """Return whether the assigned version fits only once this one is unloaded."""
        if not any(newer.name == key.name for newer in self._keys_lacking_memory):
            return False
        unassigned = self._models.list_unassigned()
        return all(self._models.awaits_replacement(other) for other in unassigned)

    async def _load_model(self, key: ModelKey, held: HeldModel) -> None:
        permit_id = await self._permits.acquire(
            key.name, lambda: self._is_still_wanted(key)
        )
        if permit_id is None:
            self._finish_order(key)
            return
        self._models.set_state(key, ModelState.LOADING)
        self.on_change()
        result = await self._orders.load(key, held.base, held.memory_bytes)
        if isinstance(result, Err):
            self._back_off(key, result)
        else:
            self._metrics.count("loads_total")
            self._backoff_ms.pop(key, None)
        self._finish_order(key)
        await self._permits.release(permit_id)

    async def _unload_model(self, key: ModelKey) -> None:
        self.on_change()
        result = await self._orders.unload(key)
        if isinstance(result, Err):
            self._back_off(key, result)
        else:
            self._metrics.count("unloads_total")
        self._finish_order(key)

    def _is_still_wanted(self, key: ModelKey) -> bool:
        return key in (self._models.desired or {}) and not self.is_fenced_out

    def _finish_order(self, key: ModelKey) -> None:
        self._keys_with_running_order.discard(key)
        self.request_read()
        self.on_change()

    def _back_off(self, key: ModelKey, result: Result[None, Failure]) -> None:
        """Delay the next order of a model whose order failed."""
        self._stop_if_order_stale(result.failure())
        backoff_ms = self._backoff_ms.get(key, FIRST_BACKOFF_MS)
        self._backoff_ms[key] = min(MAX_BACKOFF_MS, 2 * backoff_ms)
        self._next_order_ms[key] = monotonic_ms() + backoff_ms

    def _stop_if_order_stale(self, fault: Failure) -> None:
        """Stop sending orders once the engine has seen a newer fencing number."""
        if fault.code is Code.ORDER_STALE:
            get_logger().error("superseded_by_another_agent", code=fault.code.value)
            self.is_fenced_out = True
