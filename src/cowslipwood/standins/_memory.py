"""Simulates the memory of an engine: models, KV cache and prompt prefixes."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

__all__ = ["EngineMemory", "Held", "PrefixCache"]

# Number of prompt tokens in a block of the prefix cache.
PREFIX_BLOCK_TOKENS = 16


class Held(NamedTuple):
    """A model or adapter in memory, loading or ready; the engine reports its fields.

    Parameters
    ----------
    name, version : str
    base : str
        Model that an adapter belongs to; empty for a model.
    memory_bytes : int
    state : str
        loading or ready.
    """

    name: str
    version: str
    base: str
    memory_bytes: int
    state: str


class EngineMemory:
    """Accounts for the engine's memory and for the most that was ever requested of it.

    Parameters
    ----------
    capacity_bytes : int
        Memory of the accelerator.

    Attributes
    ----------
    models : dict of (str, str) to Held
        Models and adapters in memory by name and version.
    kv_bytes : int
        KV cache that running and waiting requests take.
    high_water_bytes : int
        Largest amount of memory ever requested, whether it fitted or not.
    """

    def __init__(self, capacity_bytes: int):
        self.capacity_bytes = capacity_bytes
        self.models: dict[tuple[str, str], Held] = {}
        self.kv_bytes = 0
        self.high_water_bytes = 0

    @property
    def committed_bytes(self) -> int:
        """Bytes taken by models, whether loading or ready, and by KV cache."""
        models_bytes = sum(model.memory_bytes for model in self.models.values())
        return models_bytes + self.kv_bytes

    def check_room(self, added_bytes: int) -> bool:
        """Return whether bytes fit, and include them in the high-water mark."""
        requested_bytes = self.committed_bytes + added_bytes
        self.high_water_bytes = max(self.high_water_bytes, requested_bytes)
        return requested_bytes <= self.capacity_bytes

    def has_ready_model(self, name: str) -> bool:
        """Return whether any version of a model is ready."""
        return any(
            model.name == name and model.state == "ready"
            for model in self.models.values()
        )


class PrefixCache:
    """Cache of prompt prefixes that evicts the least recently used block.

    Parameters
    ----------
    max_blocks : int
        Largest number of blocks of ``PREFIX_BLOCK_TOKENS`` tokens.
    """

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def look_up_and_add(self, model: str, tokens: Sequence[str]) -> int:
        """Return how many leading tokens were cached, and cache the whole prompt."""
        n_cached = 0
        hasher = xxhash.xxh64(model.encode())
        is_prefix_cached = True
        for start in range(0, len(tokens), PREFIX_BLOCK_TOKENS):
            block = tokens[start : start + PREFIX_BLOCK_TOKENS]
            hasher.update(" ".join(block).encode())
            digest = hasher.intdigest()
            is_prefix_cached = is_prefix_cached and digest in self._blocks
            n_cached += len(block) if is_prefix_cached else 0
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return n_cached
