"""The memory of a stand-in engine: models, KV cache and prompt prefixes."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

__all__ = ["EngineMemory", "Held", "PrefixCache"]

PREFIX_BLOCK_TOKENS = 16


class Held(NamedTuple):
    """A model or adapter in memory."""

    name: str
    version: str
    base: str
    memory_bytes: int
    state: str


class EngineMemory:
    """Counts what the engine holds, and the most that it was ever asked to hold.

    Parameters
    ----------
    capacity_bytes : int
    """

    def __init__(self, capacity_bytes: int):
        self.capacity_bytes = capacity_bytes
        self.held: dict[tuple[str, str], Held] = {}
        self.kv_bytes = 0
        self.high_water_bytes = 0

    @property
    def committed_bytes(self) -> int:
        """Bytes taken by models, loaded or loading, and by KV cache."""
        models_bytes = sum(held.memory_bytes for held in self.held.values())
        return models_bytes + self.kv_bytes

    def fits(self, n_bytes: int) -> bool:
        """Return whether bytes fit; they count in the high-water mark if not, too."""
        asked_bytes = self.committed_bytes + n_bytes
        self.high_water_bytes = max(self.high_water_bytes, asked_bytes)
        return asked_bytes <= self.capacity_bytes

    def has_base(self, name: str) -> bool:
        """Return whether a model of that name is ready."""
        return any(
            held.name == name and held.state == "ready" for held in self.held.values()
        )


class PrefixCache:
    """Prompt prefixes in limited memory, the least recently used dropped first.

    Parameters
    ----------
    max_blocks : int
        Blocks of ``PREFIX_BLOCK_TOKENS`` tokens that fit.
    """

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def use(self, model: str, tokens: Sequence[str]) -> int:
        """Return how many leading tokens were cached, and cache the prompt."""
        n_cached = 0
        hashed = xxhash.xxh64(model.encode())
        unbroken = True
        for start in range(0, len(tokens), PREFIX_BLOCK_TOKENS):
            block = tokens[start : start + PREFIX_BLOCK_TOKENS]
            hashed.update(" ".join(block).encode())
            digest = hashed.intdigest()
            unbroken = unbroken and digest in self._blocks
            n_cached += len(block) if unbroken else 0
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return n_cached
