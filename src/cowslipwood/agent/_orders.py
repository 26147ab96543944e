"""Sends orders to the engine, each under one id until its end is seen."""

import itertools
import uuid

import anyio
from returns.result import Failure as Err
from returns.result import Result

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure
from ..kernel.logs import get_logger
from ..kernel.metrics import Metrics
from ._memory_ledger import MemoryLedger, ModelKey
from .engines import EngineDialect, Order, OrderOp

__all__ = ["OrderSender"]

FIRST_RESEND_MS = 100
MAX_RESEND_MS = 2_000
_UNCERTAIN = (Code.ORDER_UNCERTAIN, Code.BACKEND_UNREACHABLE)


class OrderSender:
    """Sends orders and resends the uncertain ones.

    Parameters
    ----------
    dialect : EngineDialect
    ledger : MemoryLedger
    metrics : Metrics
    """

    def __init__(self, dialect: EngineDialect, ledger: MemoryLedger, metrics: Metrics):
        self._dialect = dialect
        self._ledger = ledger
        self._metrics = metrics
        self._run_id = uuid.uuid4().hex[:12]
        self._numbers = itertools.count(1)
        self.fence = 0

    async def load(
        self, key: ModelKey, base: str, memory_bytes: int
    ) -> Result[None, Failure]:
        """Load a model; fails with ORDER_REFUSED or ORDER_STALE."""
        return await self._run(OrderOp.LOAD, key, base, memory_bytes)

    async def unload(self, key: ModelKey) -> Result[None, Failure]:
        """Unload a model; fails with ORDER_REFUSED or ORDER_STALE."""
        return await self._run(OrderOp.UNLOAD, key, "", 0)

    async def raise_fence(self, fence: int) -> Result[None, Failure]:
        """Make the engine refuse every order sent before this one."""
        self.fence = fence
        return await self._run(OrderOp.RAISE_FENCE, ModelKey("", ""), "", 0)

    async def _run(
        self, op: OrderOp, key: ModelKey, base: str, memory_bytes: int
    ) -> Result[None, Failure]:
        order = Order(
            order_id=f"{self._run_id}-{next(self._numbers)}",
            op=op,
            model=key.name,
            version=key.version,
            base=base,
            memory_bytes=memory_bytes,
            fence=self.fence,
        )
        resend_ms = FIRST_RESEND_MS
        while True:
            ended = await self._dialect.order(order)
            if op is OrderOp.LOAD:
                self._ledger.record_load_sent(key, monotonic_ms())
            self._note(order, ended)
            if not _is_uncertain(ended):
                return ended
            await anyio.sleep(resend_ms / 1000)
            resend_ms = min(MAX_RESEND_MS, 2 * resend_ms)
            self._metrics.count("order_resends_total", op=op.value)

    def _note(self, order: Order, ended: Result[None, Failure]) -> None:
        outcome = ended.failure().code.name if isinstance(ended, Err) else "DONE"
        self._metrics.count("orders_total", op=order.op.value, outcome=outcome)
        message = ended.failure().message if isinstance(ended, Err) else ""
        get_logger().info(
            "order_ended",
            op=order.op.value,
            order_id=order.order_id,
            model=order.model,
            version=order.version,
            fence=order.fence,
            outcome=outcome,
            detail=message,
        )


def _is_uncertain(ended: Result[None, Failure]) -> bool:
    return isinstance(ended, Err) and ended.failure().code in _UNCERTAIN
