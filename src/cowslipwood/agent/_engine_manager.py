"""Groups the agent's components for its engine: memory, models and orders."""

import anyio
from returns.result import Failure as Err

from ..kernel.metrics import Metrics
from ._memory_ledger import MemoryLedger
from ._models import ModelTable
from ._orders import OrderSender
from ._permits import PermitClient
from ._reconciler import Reconciler
from .engines import EngineDialect, EngineState

__all__ = ["EngineManager"]

# Delay before the first read of the engine's state is repeated, in milliseconds.
FIRST_READ_RETRY_DELAY_MS = 200


class EngineManager:
    """Ledger, models and reconciler of one engine.

    Parameters
    ----------
    dialect : EngineDialect
    permits : PermitClient
    metrics : Metrics
    order_life_ms : float
        Lifetime of a load order, see `MemoryLedger`; ignored when the engine checks
        fencing numbers.
    """

    def __init__(
        self,
        dialect: EngineDialect,
        permits: PermitClient,
        metrics: Metrics,
        order_life_ms: float,
    ):
        self.dialect = dialect
        effective_life_ms = 0 if dialect.checks_fence else order_life_ms
        self.ledger = MemoryLedger(0, 0, effective_life_ms)
        self.models = ModelTable()
        self.kv_bytes_per_token = 0
        orders = OrderSender(dialect, self.ledger, metrics)
        self.reconciler = Reconciler(
            dialect, self.ledger, self.models, orders, permits, metrics
        )

    async def take_over(self, kv_reserve_share: float) -> EngineState:
        """Read the engine's state and exclude orders of a previous process.

        Waits until the engine answers.

        Parameters
        ----------
        kv_reserve_share : float
            Share of the accelerator's memory that is reserved for KV cache; only
            applied when the engine has a KV cache.

        Returns
        -------
        EngineState
            The engine's state before any order of this process.
        """
        state = await self._read_until_answered()
        self.kv_bytes_per_token = state.kv_bytes_per_token
        self.ledger.capacity_bytes = state.capacity_bytes
        if state.kv_bytes_per_token:
            reserve_bytes = round(state.capacity_bytes * kv_reserve_share)
            self.ledger.kv_reserve_bytes = reserve_bytes
        self.ledger.set_inherited_kv(state.kv_bytes)
        await self.reconciler.take_over_engine(state)
        return state

    async def _read_until_answered(self) -> EngineState:
        while True:
            read = await self.dialect.state()
            if not isinstance(read, Err):
                return read.unwrap()
            await anyio.sleep(FIRST_READ_RETRY_DELAY_MS / 1000)
