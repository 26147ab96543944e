"""The account of an accelerator's memory.

Bytes are reserved before an order is sent and freed only when the engine shows
that the model is gone. With an engine that checks no fencing number, a copy of
a load order may arrive until the order's life is over; the bytes that it would
take stay reserved until then, although the model is gone.
"""

from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure

__all__ = ["MemoryLedger", "ModelKey"]


class ModelKey(NamedTuple):
    """A model or adapter in one version."""

    name: str
    version: str


class _Doubt(NamedTuple):
    """Bytes that a late load order may still take."""

    memory_bytes: int
    until_ms: float


class MemoryLedger:
    """Reserves memory for models and for the KV cache of calls.

    Parameters
    ----------
    capacity_bytes : int
    kv_reserve_bytes : int
        Kept free of models, for KV cache.
    order_life_ms : float
        How long after it was sent a load order may still arrive; 0 with an
        engine that checks fencing numbers.
    """

    def __init__(
        self, capacity_bytes: int, kv_reserve_bytes: int = 0, order_life_ms: float = 0
    ):
        self.capacity_bytes = capacity_bytes
        self.kv_reserve_bytes = kv_reserve_bytes
        self._order_life_ms = order_life_ms
        self._reserved: dict[ModelKey, int] = {}
        self._sent_ms: dict[ModelKey, float] = {}
        self._doubts: dict[ModelKey, _Doubt] = {}
        self._unknown_until_ms: float | None = None
        self._waiting_load_bytes = 0
        self._foreign_kv_bytes = 0
        self.kv_in_use_bytes = 0

    @property
    def usable_bytes(self) -> int:
        """Bytes that models may take."""
        return max(0, self.capacity_bytes - self.kv_reserve_bytes)

    @property
    def committed_bytes(self) -> int:
        """Bytes reserved for models that are, or are to be, in memory."""
        return sum(self._reserved.values())

    @property
    def late_load_bytes(self) -> int:
        """Bytes reserved for orders that may still arrive."""
        if self._unknown_until_ms is not None:
            return max(0, self.usable_bytes - self.committed_bytes)
        return sum(doubt.memory_bytes for doubt in self._doubts.values())

    def reserve(self, key: ModelKey, memory_bytes: int) -> Result[None, Failure]:
        """Reserve bytes for a model before it is ordered; fails with MEMORY_FULL.

        KV cache already in use may be in the way; no more of it is admitted
        until the reservation succeeds or `clear_blocked_load` is called.
        """
        if key in self._reserved:
            return Success(None)
        taken_bytes = self.committed_bytes + self.late_load_bytes
        if self._unknown_until_ms is None and key in self._doubts:
            taken_bytes -= self._doubts[key].memory_bytes
        free_bytes = self.usable_bytes - taken_bytes
        if memory_bytes > free_bytes:
            return Err(_memory_full(key, memory_bytes, free_bytes))
        free_bytes = self.capacity_bytes - taken_bytes - self._all_kv_bytes
        if memory_bytes > free_bytes:
            self._waiting_load_bytes = memory_bytes
            return Err(_memory_full(key, memory_bytes, free_bytes))
        self._waiting_load_bytes = 0
        self.reserve_resident(key, memory_bytes)
        return Success(None)

    def record_load_sent(self, key: ModelKey, now_ms: float) -> None:
        """Note that a copy of a load order leaves now."""
        self._sent_ms[key] = now_ms

    def reserve_resident(self, key: ModelKey, memory_bytes: int) -> None:
        """Reserve what the engine shows to be in memory, whatever is free."""
        doubt = self._doubts.pop(key, None)
        if doubt is not None:
            self._sent_ms[key] = doubt.until_ms - self._order_life_ms
            memory_bytes = max(memory_bytes, doubt.memory_bytes)
        self._reserved[key] = max(self._reserved.get(key, 0), memory_bytes)

    def release(self, key: ModelKey, read_ms: float) -> None:
        """Free a model's bytes once the engine shows that it is gone.

        Bytes that a copy of its load order may still take become a doubt.

        Parameters
        ----------
        key : ModelKey
        read_ms : float
            When the read of the engine's state began.
        """
        memory_bytes = self._reserved.pop(key, 0)
        sent_ms = self._sent_ms.pop(key, None)
        if sent_ms is None or not memory_bytes:
            return
        until_ms = sent_ms + self._order_life_ms
        if read_ms < until_ms:
            self._doubts[key] = _Doubt(memory_bytes, until_ms)

    def expire_late_loads(self, read_ms: float) -> None:
        """Free the bytes of orders whose life was over before a read began.

        What the read shows has to be adopted first: an order may have arrived
        at the end of its life.
        """
        for key in [k for k, doubt in self._doubts.items() if doubt.until_ms < read_ms]:
            del self._doubts[key]
        if self._unknown_until_ms is not None and self._unknown_until_ms < read_ms:
            self._unknown_until_ms = None

    def reserve_for_unknown_orders(self, now_ms: float) -> None:
        """Reserve all that models may take, as after a restart.

        Orders of the process before are not known. That process kept all its
        models and orders within `usable_bytes`, so nothing beyond is in doubt.
        """
        self._unknown_until_ms = now_ms + self._order_life_ms

    def clear_blocked_load(self) -> None:
        """Admit KV cache again: no load waits for its bytes."""
        self._waiting_load_bytes = 0

    def set_inherited_kv(self, kv_bytes: int) -> None:
        """Count KV cache of calls that another process made; it only shrinks."""
        self._foreign_kv_bytes = kv_bytes

    def limit_inherited_kv(self, kv_bytes: int) -> None:
        """Shrink the foreign KV cache to what the engine shows in all."""
        self._foreign_kv_bytes = min(self._foreign_kv_bytes, kv_bytes)

    @property
    def kv_budget_bytes(self) -> int:
        """KV cache that all calls together may take now, in bytes."""
        budget = (
            self.capacity_bytes
            - self.committed_bytes
            - self.late_load_bytes
            - self._waiting_load_bytes
        )
        return max(0, budget)

    def has_room_for_kv(self, kv_bytes: int) -> bool:
        """Return whether a call with that much KV cache may begin now."""
        return self._all_kv_bytes + kv_bytes <= self.kv_budget_bytes

    def reserve_kv(self, kv_bytes: int) -> None:
        """Count the KV cache of a call that begins."""
        self.kv_in_use_bytes += kv_bytes

    def release_kv(self, kv_bytes: int) -> None:
        """Uncount the KV cache of a call that the engine has ended."""
        self.kv_in_use_bytes -= kv_bytes

    @property
    def _all_kv_bytes(self) -> int:
        return self.kv_in_use_bytes + self._foreign_kv_bytes


def _memory_full(key: ModelKey, memory_bytes: int, free_bytes: int) -> Failure:
    message = f"{key.name} needs {memory_bytes} bytes, {free_bytes} are free"
    return failure(Code.MEMORY_FULL, message)
