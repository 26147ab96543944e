"""Brings the engine's models to the newest assignment.

One task reads the engine's state and decides; each order runs as a child task
of it, one at a time for each model. A model's bytes are freed, and a model
counts as ready, only on a read that began after its last order had ended; until
then it is not settled and gets no other order.
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

POLL_MS = 200
MAX_UNREAD_MS = 2_000
FIRST_BACKOFF_MS = 200
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
        self._busy: set[ModelKey] = set()
        self._backoff_ms: dict[ModelKey, float] = {}
        self._not_before_ms: dict[ModelKey, float] = {}
        self._unsettled: set[ModelKey] = set()
        self._unfit: set[ModelKey] = set()
        self._read_ms = 0.0
        self._wake = anyio.Event()
        self.assignment = Assignment("", 0, 0, (), False)
        self.superseded = False
        self.on_change = lambda: None
        models.on_call_end = self.wake

    def assign(self, assignment: Assignment) -> bool:
        """Take a newer assignment; an older one is refused."""
        newest = (self.assignment.term, self.assignment.revision)
        if (assignment.term, assignment.revision) < newest:
            self._metrics.count("assignments_refused_total", reason="ORDER_STALE")
            return False
        self.assignment = assignment
        self._models.assign(assignment)
        self.wake()
        return True

    def wake(self) -> None:
        """Have the engine's state read now."""
        self._wake.set()

    async def take_over_engine(self, state: EngineState) -> None:
        """Take over an engine, with whatever a process before left on its way."""
        if self._dialect.checks_fence:
            raised = await self._orders.raise_fence(state.fence + 1)
            if isinstance(raised, Err):
                self._note_stale(raised.failure())
            return
        self._ledger.reserve_for_unknown_orders(monotonic_ms())

    async def run(self) -> None:
        """Reconcile for as long as the process runs."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._wake = anyio.Event()
                await self._step(tasks)
                with anyio.move_on_after(POLL_MS / 1000):
                    await self._wake.wait()

    async def _step(self, tasks: anyio.abc.TaskGroup) -> None:
        busy_before = set(self._busy)
        read_ms = monotonic_ms()
        read = await self._dialect.state()
        now_ms = monotonic_ms()
        if isinstance(read, Err):
            self._note_unread(now_ms)
            return
        self._read_ms = now_ms
        self._unsettled = busy_before | self._busy
        self._apply(read.unwrap(), read_ms)
        if not self.superseded:
            self._order_loads(tasks, now_ms)
            self._order_unloads(tasks, now_ms)

    def _note_unread(self, now_ms: float) -> None:
        self._metrics.count("engine_reads_failed_total")
        if self._models.is_engine_reachable and now_ms - self._read_ms > MAX_UNREAD_MS:
            get_logger().warning("engine_unreachable")
            self._models.is_engine_reachable = False
            self.on_change()

    def _apply(self, state: EngineState, read_ms: float) -> None:
        """Take what the engine shows of all settled models."""
        busy = self._unsettled
        before = (self._models.is_engine_reachable, dict(self._models.held))
        self._models.is_engine_reachable = True
        self._ledger.limit_inherited_kv(state.kv_bytes)
        shown = {ModelKey(r.model, r.version): r for r in state.residents}
        for key in [k for k in self._models.held if k not in busy and k not in shown]:
            self._ledger.release(key, read_ms)
            del self._models.held[key]
        for key, resident in shown.items():
            if key in busy:
                continue
            self._ledger.reserve_resident(key, resident.memory_bytes)
            is_ready = resident.state == ModelState.READY
            self._models.held[key] = HeldModel(
                state.bases.get(key, ""),
                resident.memory_bytes,
                ModelState.READY if is_ready else ModelState.LOADING,
            )
        self._ledger.expire_late_loads(read_ms)
        self._models.first_read_done.set()
        if before != (True, self._models.held):
            self.on_change()

    def _order_loads(self, tasks: anyio.abc.TaskGroup, now_ms: float) -> None:
        self._unfit.clear()
        self._ledger.clear_blocked_load()
        for key, model in (self._models.desired or {}).items():
            if key in self._models.held or self._is_held_up(key, now_ms):
                continue
            if model.base and not self._models.has_ready(model.base):
                continue
            reserved = self._ledger.reserve(key, model.memory_bytes)
            if isinstance(reserved, Err):
                self._metrics.count("load_waits_total", reason=Code.MEMORY_FULL.name)
                self._unfit.add(key)
                continue
            self._busy.add(key)
            held = HeldModel(model.base, model.memory_bytes, ModelState.WAITING)
            self._models.held[key] = held
            self.on_change()
            tasks.start_soon(self._load, key, held)

    def _order_unloads(self, tasks: anyio.abc.TaskGroup, now_ms: float) -> None:
        if self._models.desired is None:
            return
        for key in self._models.list_unassigned():
            if self._is_held_up(key, now_ms) or self._must_stay(key):
                continue
            self._busy.add(key)
            self._models.set_state(key, ModelState.UNLOADING)
            tasks.start_soon(self._unload, key)

    def _is_held_up(self, key: ModelKey, now_ms: float) -> bool:
        """Return whether an order is not settled or was refused a moment ago."""
        return key in self._unsettled or now_ms < self._not_before_ms.get(key, 0)

    def _must_stay(self, key: ModelKey) -> bool:
        """Return whether something still needs a model that is not assigned."""
        if self._models.n_calls(key) or self._models.is_needed_by_adapters(key):
            return True
        return self._models.awaits_replacement(key) and not self._is_in_the_way(key)

    def _is_in_the_way(self, key: ModelKey) -> bool:
        """Return whether the assigned version fits only without this one."""
        if not any(newer.name == key.name for newer in self._unfit):
            return False
        others = self._models.list_unassigned()
        return all(self._models.awaits_replacement(other) for other in others)

    async def _load(self, key: ModelKey, held: HeldModel) -> None:
        permit_id = await self._permits.acquire(key.name, lambda: self._is_wanted(key))
        if permit_id is None:
            self._end(key)
            return
        self._models.set_state(key, ModelState.LOADING)
        self.on_change()
        ended = await self._orders.load(key, held.base, held.memory_bytes)
        if isinstance(ended, Err):
            self._back_off(key, ended)
        else:
            self._metrics.count("loads_total")
            self._backoff_ms.pop(key, None)
        self._end(key)
        await self._permits.release(permit_id)

    async def _unload(self, key: ModelKey) -> None:
        self.on_change()
        ended = await self._orders.unload(key)
        if isinstance(ended, Err):
            self._back_off(key, ended)
        else:
            self._metrics.count("unloads_total")
        self._end(key)

    def _is_wanted(self, key: ModelKey) -> bool:
        return key in (self._models.desired or {}) and not self.superseded

    def _end(self, key: ModelKey) -> None:
        self._busy.discard(key)
        self.wake()
        self.on_change()

    def _back_off(self, key: ModelKey, ended: Result[None, Failure]) -> None:
        self._note_stale(ended.failure())
        wait_ms = self._backoff_ms.get(key, FIRST_BACKOFF_MS)
        self._backoff_ms[key] = min(MAX_BACKOFF_MS, 2 * wait_ms)
        self._not_before_ms[key] = monotonic_ms() + wait_ms

    def _note_stale(self, fault: Failure) -> None:
        """Stop giving orders once the engine has seen a newer fencing number."""
        if fault.code is Code.ORDER_STALE:
            get_logger().error("superseded_by_another_agent", code=fault.code.value)
            self.superseded = True
