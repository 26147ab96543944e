"""Rendezvous hashing of prompt prefixes onto servers, for prefix cache affinity."""

import bisect
from collections.abc import Sequence

from ..choosing._backend import Backend

__all__ = ["preferred_backend"]

# Candidates whose hashes are compared; bounds the work of one choice.
N_HASH_CANDIDATES = 16
_MASK_64_BITS = (1 << 64) - 1
# Multiplier that mixes the bits of a hash: 2**64 divided by the golden ratio, which is
# odd after rounding, so that different values keep different products.
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15


def preferred_backend(candidates: Sequence[Backend], prefix_hash: int) -> Backend:
    """Return the server that most likely caches a prompt prefix.

    It is the one with the highest rendezvous hash among the `N_HASH_CANDIDATES`
    candidates whose id hashes follow the prefix hash. Comparing only these bounds the
    work, and a server that is added or removed changes the choice for few prefixes.

    Parameters
    ----------
    candidates : sequence of Backend
        In the order of their id hashes; not empty.
    prefix_hash : int
        64-bit hash of the beginning of the prompt.
    """
    if len(candidates) <= N_HASH_CANDIDATES:
        window = candidates
    else:
        start = bisect.bisect(
            candidates, prefix_hash, key=lambda candidate: candidate.id_hash
        )
        wrapped = [*candidates[start : start + N_HASH_CANDIDATES]]
        wrapped += candidates[: N_HASH_CANDIDATES - len(wrapped)]
        window = wrapped
    return max(window, key=lambda candidate: _mix_bits(candidate.id_hash ^ prefix_hash))


def _mix_bits(value: int) -> int:
    value = (value ^ (value >> 29)) * _HASH_MULTIPLIER & _MASK_64_BITS
    return value ^ (value >> 32)
