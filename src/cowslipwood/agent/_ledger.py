"""The account of an accelerator's memory."""

from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure

__all__ = ["Ledger", "ModelKey"]


class ModelKey(NamedTuple):
    """A model or adapter in one version."""

    name: str
    version: str


class Ledger:
    """Reserves memory before an order is sent.

    Bytes are freed only when the engine shows that the model is gone.

    Parameters
    ----------
    capacity_bytes : int
    """

    def __init__(self, capacity_bytes: int):
        self.capacity_bytes = capacity_bytes
        self._reserved: dict[ModelKey, int] = {}

    @property
    def committed_bytes(self) -> int:
        """Bytes reserved for all models."""
        return sum(self._reserved.values())

    def reserve(self, key: ModelKey, memory_bytes: int) -> Result[None, Failure]:
        """Reserve bytes for a model; fails with MEMORY_FULL."""
        if key in self._reserved:
            return Success(None)
        free_bytes = self.capacity_bytes - self.committed_bytes
        if memory_bytes > free_bytes:
            return Err(
                failure(
                    Code.MEMORY_FULL,
                    f"{key.name} needs {memory_bytes} bytes, {free_bytes} are free",
                )
            )
        self._reserved[key] = memory_bytes
        return Success(None)

    def release(self, key: ModelKey) -> None:
        """Free a model's bytes once the engine shows that it is gone."""
        self._reserved.pop(key, None)
