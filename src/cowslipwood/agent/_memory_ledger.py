"""Account of an accelerator's memory: bytes of models and of KV cache.

Bytes are reserved before a load order is sent, and are freed only when the engine's
state shows that the model is gone. An engine that does not check fencing numbers
may receive a delayed copy of a load order until the order's lifetime is over. The
bytes that such a copy would take stay reserved until then, even though the model is
gone.
"""

from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure

__all__ = ["MemoryLedger", "ModelKey"]


class ModelKey(NamedTuple):
    """Name and version of a model or adapter."""

    name: str
    version: str


class _DelayedLoad(NamedTuple):
    """Bytes that a delayed copy of a load order may still take."""

    memory_bytes: int
    expires_ms: float


class MemoryLedger:
    """Reserves memory for models and for the KV cache of calls.

    Parameters
    ----------
    capacity_bytes : int
        Memory of the accelerator.
    kv_reserve_bytes : int
        Part of the memory that models may not take, as it is reserved for KV cache.
    order_life_ms : float
        Time after which a load order that was sent can no longer arrive; 0 for an
        engine that checks fencing numbers.
    """

    def __init__(
        self, capacity_bytes: int, kv_reserve_bytes: int = 0, order_life_ms: float = 0
    ):
        self.capacity_bytes = capacity_bytes
        self.kv_reserve_bytes = kv_reserve_bytes
        self._order_life_ms = order_life_ms
        self._reserved: dict[ModelKey, int] = {}
        self._load_sent_ms: dict[ModelKey, float] = {}
        self._delayed_loads: dict[ModelKey, _DelayedLoad] = {}
        self._unknown_orders_until_ms: float | None = None
        self._blocked_load_bytes = 0
        self._inherited_kv_bytes = 0
        self.kv_in_use_bytes = 0

    @property
    def usable_bytes(self) -> int:
        """Bytes that models may take."""
        return max(0, self.capacity_bytes - self.kv_reserve_bytes)

    @property
    def committed_bytes(self) -> int:
        """Bytes reserved for models that are in memory or about to be loaded."""
        return sum(self._reserved.values())

    @property
    def delayed_load_bytes(self) -> int:
        """Bytes reserved for load orders that may still arrive at the engine."""
        if self._unknown_orders_until_ms is not None:
            return max(0, self.usable_bytes - self.committed_bytes)
        return sum(
            delayed_load.memory_bytes for delayed_load in self._delayed_loads.values()
        )

    def reserve(self, key: ModelKey, memory_bytes: int) -> Result[None, Failure]:
        """Reserve bytes for a model before its load order; fails with MEMORY_FULL.

        When only KV cache in use prevents the reservation, no further KV cache is
        admitted until the reservation succeeds or `clear_blocked_load` is called.
        """
        if key in self._reserved:
            return Success(None)
        taken_bytes = self.committed_bytes + self.delayed_load_bytes
        if self._unknown_orders_until_ms is None and key in self._delayed_loads:
            taken_bytes -= self._delayed_loads[key].memory_bytes
        free_bytes = self.usable_bytes - taken_bytes
        if memory_bytes > free_bytes:
            return Err(_make_memory_full_failure(key, memory_bytes, free_bytes))
        free_bytes = self.capacity_bytes - taken_bytes - self._total_kv_bytes
        if memory_bytes > free_bytes:
            self._blocked_load_bytes = memory_bytes
            return Err(_make_memory_full_failure(key, memory_bytes, free_bytes))
        self._blocked_load_bytes = 0
        self.reserve_resident(key, memory_bytes)
        return Success(None)

    def record_load_sent(self, key: ModelKey, now_ms: float) -> None:
        """Record that a copy of a load order was sent, at `now_ms` at the latest."""
        self._load_sent_ms[key] = now_ms

    def reserve_resident(self, key: ModelKey, memory_bytes: int) -> None:
        """Reserve bytes for a model in the engine's memory, however much is free."""
        delayed_load = self._delayed_loads.pop(key, None)
        if delayed_load is not None:
            self._load_sent_ms[key] = delayed_load.expires_ms - self._order_life_ms
            memory_bytes = max(memory_bytes, delayed_load.memory_bytes)
        self._reserved[key] = max(self._reserved.get(key, 0), memory_bytes)

    def release(self, key: ModelKey, read_started_ms: float) -> None:
        """Free a model's bytes once the engine's state shows that it is gone.

        Bytes that a copy of its load order may still take stay reserved until the
        order's lifetime is over.

        Parameters
        ----------
        key : ModelKey
        read_started_ms : float
            When the read of the engine's state began.
        """
        memory_bytes = self._reserved.pop(key, 0)
        sent_ms = self._load_sent_ms.pop(key, None)
        if sent_ms is None or not memory_bytes:
            return
        expires_ms = sent_ms + self._order_life_ms
        if read_started_ms < expires_ms:
            self._delayed_loads[key] = _DelayedLoad(memory_bytes, expires_ms)

    def expire_delayed_loads(self, read_started_ms: float) -> None:
        """Free the bytes of orders whose lifetime ended before a read began.

        The models that the read shows have to be reserved first, by
        `reserve_resident`: an order may have arrived at the end of its lifetime.
        """
        for expired_key in [
            key
            for key, delayed_load in self._delayed_loads.items()
            if delayed_load.expires_ms < read_started_ms
        ]:
            del self._delayed_loads[expired_key]
        if (
            self._unknown_orders_until_ms is not None
            and self._unknown_orders_until_ms < read_started_ms
        ):
            self._unknown_orders_until_ms = None

    def reserve_for_unknown_orders(self, now_ms: float) -> None:
        """Reserve all bytes that models may take, after a restart of the agent.

        The orders of the previous process are not known. That process kept all its
        models and orders within `usable_bytes`, so its orders cannot take more.
        """
        self._unknown_orders_until_ms = now_ms + self._order_life_ms

    def clear_blocked_load(self) -> None:
        """Admit KV cache again, as no load waits for its bytes."""
        self._blocked_load_bytes = 0

    def set_inherited_kv(self, kv_bytes: int) -> None:
        """Count the KV cache of calls that a previous process of the agent sent.

        This part of the KV cache can only shrink.
        """
        self._inherited_kv_bytes = kv_bytes

    def limit_inherited_kv(self, kv_bytes: int) -> None:
        """Reduce the inherited KV cache to at most the engine's total KV cache."""
        self._inherited_kv_bytes = min(self._inherited_kv_bytes, kv_bytes)

    @property
    def kv_limit_bytes(self) -> int:
        """Bytes of KV cache that all calls together may take now."""
        limit_bytes = (
            self.capacity_bytes
            - self.committed_bytes
            - self.delayed_load_bytes
            - self._blocked_load_bytes
        )
        return max(0, limit_bytes)

    def has_room_for_kv(self, kv_bytes: int) -> bool:
        """Return whether a call with that many bytes of KV cache may start now."""
        return self._total_kv_bytes + kv_bytes <= self.kv_limit_bytes

    def reserve_kv(self, kv_bytes: int) -> None:
        """Add the KV cache of a call that starts."""
        self.kv_in_use_bytes += kv_bytes

    def release_kv(self, kv_bytes: int) -> None:
        """Subtract the KV cache of a call that the engine has ended."""
        self.kv_in_use_bytes -= kv_bytes

    @property
    def _total_kv_bytes(self) -> int:
        return self.kv_in_use_bytes + self._inherited_kv_bytes


def _make_memory_full_failure(
    key: ModelKey, memory_bytes: int, free_bytes: int
) -> Failure:
    message = f"{key.name} needs {memory_bytes} bytes, {free_bytes} are free"
    return failure(Code.MEMORY_FULL, message)
