"""Sends orders to the engine, each under one identifier until its result is known."""

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

# Delay before an order with an unknown result is sent again for the first time, in
# milliseconds; the delay doubles each time.
FIRST_RESEND_DELAY_MS = 100
# Longest delay before an order is sent again, in milliseconds.
MAX_RESEND_DELAY_MS = 2_000
# Result codes after which an order is sent again.
_RESEND_CODES = (Code.ORDER_UNCERTAIN, Code.BACKEND_UNREACHABLE)


class OrderSender:
    """Sends orders and resends those whose result is unknown.

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
        self._order_id_prefix = uuid.uuid4().hex[:12]
        self._sequence_numbers = itertools.count(1)
        self.fence = 0

    async def load(
        self, key: ModelKey, base: str, memory_bytes: int
    ) -> Result[None, Failure]:
        """Load a model; fails with ORDER_REFUSED or ORDER_STALE."""
        return await self._send_until_ended(OrderOp.LOAD, key, base, memory_bytes)

    async def unload(self, key: ModelKey) -> Result[None, Failure]:
        """Unload a model; fails with ORDER_REFUSED or ORDER_STALE."""
        return await self._send_until_ended(OrderOp.UNLOAD, key, "", 0)

    async def raise_fence(self, fence: int) -> Result[None, Failure]:
        """Make the engine refuse every earlier order.

        Earlier orders carry lower fencing numbers than `fence`.
        """
        self.fence = fence
        return await self._send_until_ended(
            OrderOp.RAISE_FENCE, ModelKey("", ""), "", 0
        )

    async def _send_until_ended(
        self, op: OrderOp, key: ModelKey, base: str, memory_bytes: int
    ) -> Result[None, Failure]:
        order = Order(
            order_id=f"{self._order_id_prefix}-{next(self._sequence_numbers)}",
            op=op,
            model=key.name,
            version=key.version,
            base=base,
            memory_bytes=memory_bytes,
            fence=self.fence,
        )
        resend_delay_ms = FIRST_RESEND_DELAY_MS
        while True:
            result = await self._dialect.order(order)
            if op is OrderOp.LOAD:
                self._ledger.record_load_sent(key, monotonic_ms())
            self._record_result(order, result)
            if not _must_resend(result):
                return result
            await anyio.sleep(resend_delay_ms / 1000)
            resend_delay_ms = min(MAX_RESEND_DELAY_MS, 2 * resend_delay_ms)
            self._metrics.count("order_resends_total", op=op.value)

    def _record_result(self, order: Order, result: Result[None, Failure]) -> None:
        """Count and log the result of one sending of an order."""
        outcome = result.failure().code.name if isinstance(result, Err) else "DONE"
        self._metrics.count("orders_total", op=order.op.value, outcome=outcome)
        message = result.failure().message if isinstance(result, Err) else ""
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


def _must_resend(result: Result[None, Failure]) -> bool:
    return isinstance(result, Err) and result.failure().code in _RESEND_CODES
