"""Brings the engine's models to the newest assignment."""

import itertools
import uuid

import anyio
from returns.result import Failure as Err

from ..kernel.logs import get_logger
from ..kernel.messages import Assignment, DesiredModel, Resident
from ..kernel.metrics import Metrics
from ._ledger import Ledger, ModelKey
from .engines import EngineDialect, Order, OrderOp

__all__ = ["Reconciler"]

RETRY_MS = 200


class Reconciler:
    """Loads and unloads models until the engine holds what is assigned.

    Parameters
    ----------
    dialect : EngineDialect
    ledger : Ledger
    metrics : Metrics
    """

    def __init__(self, dialect: EngineDialect, ledger: Ledger, metrics: Metrics):
        self._dialect = dialect
        self._ledger = ledger
        self._metrics = metrics
        self._residents: dict[ModelKey, Resident] = {}
        self._changed = anyio.Event()
        self._order_numbers = itertools.count(1)
        self._run_id = uuid.uuid4().hex[:8]
        self.assignment = Assignment("", 0, 0, (), False)
        self.on_change = lambda: None

    def residents(self) -> tuple[Resident, ...]:
        """Return the models that take memory now."""
        return tuple(self._residents.values())

    def is_ready(self, key: ModelKey) -> bool:
        """Return whether a model can serve now."""
        held = self._residents.get(key)
        return held is not None and held.state == "ready"

    def assign(self, assignment: Assignment) -> bool:
        """Take a newer assignment; an older one is refused."""
        newest = (self.assignment.term, self.assignment.revision)
        if (assignment.term, assignment.revision) < newest:
            self._metrics.count("assignments_refused_total")
            return False
        self.assignment = assignment
        self._changed.set()
        return True

    async def run(self) -> None:
        """Reconcile for as long as the process runs."""
        while True:
            self._changed = anyio.Event()
            done = await self._reconcile()
            if not done:
                await anyio.sleep(RETRY_MS / 1000)
                continue
            await self._changed.wait()

    async def _reconcile(self) -> bool:
        desired = {ModelKey(m.name, m.version): m for m in self.assignment.desired}
        for key in [key for key in self._residents if key not in desired]:
            if not await self._unload(key):
                return False
        for key, model in desired.items():
            if not self.is_ready(key) and not await self._load(key, model):
                return False
        return True

    async def _load(self, key: ModelKey, model: DesiredModel) -> bool:
        reserved = self._ledger.reserve(key, model.memory_bytes)
        if isinstance(reserved, Err):
            get_logger().warning("load_refused", model=key.name, code=2101)
            return False
        self._set_state(key, "loading", model.memory_bytes)
        self._metrics.count("loads_total")
        return await self._order(OrderOp.LOAD, key, model.memory_bytes, model.base)

    async def _unload(self, key: ModelKey) -> bool:
        memory_bytes = self._residents[key].memory_bytes
        self._set_state(key, "unloading", memory_bytes)
        self._metrics.count("unloads_total")
        return await self._order(OrderOp.UNLOAD, key, memory_bytes, "")

    async def _order(
        self, op: OrderOp, key: ModelKey, memory_bytes: int, base: str
    ) -> bool:
        order = Order(
            order_id=f"{self._run_id}-{next(self._order_numbers)}",
            op=op,
            model=key.name,
            version=key.version,
            base=base,
            memory_bytes=memory_bytes,
            fence=self.assignment.term,
        )
        ended = await self._dialect.order(order)
        if isinstance(ended, Err):
            fault = ended.failure()
            get_logger().warning(
                "order_failed", op=op.value, model=key.name, code=fault.code.value
            )
            return False
        if op is OrderOp.LOAD:
            self._set_state(key, "ready", memory_bytes)
        else:
            del self._residents[key]
            self._ledger.release(key)
        self.on_change()
        get_logger().info("order_done", op=op.value, model=key.name)
        return True

    def _set_state(self, key: ModelKey, state: str, memory_bytes: int) -> None:
        self._residents[key] = Resident(key.name, key.version, state, memory_bytes)
        self.on_change()
