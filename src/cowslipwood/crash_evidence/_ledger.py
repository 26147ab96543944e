"""Finds the prompt parts and requests under which servers end, from what all saw.

A request is accused by a mark of its own, beside the parts of its prompt. What is said
of parts here holds for these marks too, unless it names requests.

Requests share most parts of their prompts, so the end of one server accuses all shared
parts of the requests whose answers had begun on it without an event. What tells them
apart are other ends, and answers that were completed in spite of a part.

Entries exchange their evidence, and each applies the same rules to all of it.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

__all__ = ["REQUEST_MARK", "Block", "CrashLedger", "EndEvidence", "is_request"]

# Time, in milliseconds, within which ends count together. Servers end within seconds of
# each other under a part in use; ends over hours have other causes.
EVIDENCE_SPAN_MS = 120_000.0
# Time, in milliseconds, for which a completed answer clears its parts.
CLEARED_LIFE_MS = 600_000.0
# Time, in milliseconds, after the last end for which a part is refused. Requests that
# are sent when it has passed may end another server.
BLOCK_LIFE_MS = 600_000.0
# Factor by which each block of a part lasts longer than the one before.
REPEATED_BLOCK_FACTOR = 4.0
# Largest number of times that a block is lengthened by that factor.
MAX_LENGTHENINGS = 4
# Ends this close to each other, in milliseconds, count as one unless an answer had just
# begun: servers that share a rack or a cause of failure end at the same moment.
SAME_MOMENT_MS = 150.0
# Number of moments at which servers have ended while answers to prompts with a part had
# just begun that make it refused, if no other part was there as often.
N_MOMENTS_ALONE = 2
# Number of such moments that make parts refused that were all there equally often.
N_MOMENTS = 3
# Number of moments that make a part refused if the requests with it may only have
# waited at the servers that ended.
N_UNCERTAIN_MOMENTS = 5
# Number of ends, at `N_MOMENTS_ALONE` moments or more, that make a request refused that
# may only have waited there. One that is cut is sent again and may so be there at a
# second end, seldom at a third; a prompt part is in many requests.
N_UNCERTAIN_REQUEST_ENDS = 3
# Number of ends under one request after which an entry does not repeat it by itself.
N_ENDS_NOT_REPEATED = 2
# Prefix that distinguishes the mark of a request from the ids of prompt parts, which
# cannot contain a colon.
REQUEST_MARK = "request:"
# Largest number of parts that are refused for the same ends. If more were there equally
# often, the evidence does not tell them apart.
MAX_EQUAL_PARTS = 3
# Largest number of ends that are kept, the newest ones and those of blocked parts.
MAX_ENDS = 256
# Largest number of parts that are remembered as cleared, or as blocked earlier.
MAX_REMEMBERED_PARTS = 4_096


def is_request(part: str) -> bool:
    """Return whether a part is the mark of a request."""
    return part.startswith(REQUEST_MARK)


class EndEvidence(NamedTuple):
    """The end of one server, with the shared parts of the requests that it cut.

    Parameters
    ----------
    server_id : str
        The server, with its incarnation.
    at_ms : float
        When it was first seen to have ended.
    begun_parts : frozenset of str
        Parts of requests whose answers had begun, without an event.
    awaited_parts : frozenset of str
        Parts of requests whose answers had not begun.
    """

    server_id: str
    at_ms: float
    begun_parts: frozenset[str]
    awaited_parts: frozenset[str]


class Block(NamedTuple):
    """A part that is refused.

    Parameters
    ----------
    part : str
    until_ms : float
    server_ids : tuple of str
        The servers that ended under it.
    """

    part: str
    until_ms: float
    server_ids: tuple[str, ...]


class _Moment(NamedTuple):
    """Ends at one moment and the parts that they accuse."""

    at_ms: float
    server_ids: tuple[str, ...]
    parts: frozenset[str]
    is_certain: bool


class CrashLedger:
    """The ends of servers, the cleared parts, and the parts to refuse.

    Attributes
    ----------
    blocks : dict of str to Block
        Parts that are refused, as of the last call.
    accused_parts : frozenset of str
        Parts that some end accuses and no completed answer has cleared.
    accuses_requests : bool
        Whether some of them are requests.
    """

    def __init__(self):
        self._ends: OrderedDict[str, EndEvidence] = OrderedDict()
        self._cleared_at_ms: OrderedDict[str, float] = OrderedDict()
        self._n_blocks_ended: OrderedDict[str, int] = OrderedDict()
        self.blocks: dict[str, Block] = {}
        self.accused_parts: frozenset[str] = frozenset()
        self.accuses_requests = False

    def list_ends(self) -> list[EndEvidence]:
        """Return all ends that count."""
        return list(self._ends.values())

    def list_cleared(self) -> frozenset[str]:
        """Return the parts that some end would accuse if no answer had cleared them."""
        return frozenset(
            part
            for end in self._ends.values()
            for part in end.begun_parts | end.awaited_parts
            if part in self._cleared_at_ms
        )

    def record_end(self, end: EndEvidence, now_ms: float) -> bool:
        """Add what one entry saw of an end; return whether it was new."""
        known = self._ends.get(end.server_id)
        merged = end
        if known is not None:
            merged = EndEvidence(
                end.server_id,
                min(known.at_ms, end.at_ms),
                known.begun_parts | end.begun_parts,
                known.awaited_parts | end.awaited_parts,
            )
            if merged._replace(at_ms=known.at_ms) == known:
                return False
        self._ends[end.server_id] = merged
        self._update_blocks(now_ms)
        return True

    def record_cleared(self, parts: Iterable[str], now_ms: float) -> bool:
        """Record that answers with these parts were completed; return if one is new."""
        parts = list(parts)
        new_parts = [part for part in parts if part not in self._cleared_at_ms]
        for part in parts:
            self._cleared_at_ms[part] = now_ms
            self._cleared_at_ms.move_to_end(part)
        while len(self._cleared_at_ms) > MAX_REMEMBERED_PARTS:
            self._cleared_at_ms.popitem(last=False)
        if new_parts:
            self._update_blocks(now_ms)
        return bool(new_parts)

    def was_there_repeatedly(self, part: str) -> bool:
        """Return whether a part was there at `N_ENDS_NOT_REPEATED` ends, uncleared."""
        if part not in self.accused_parts:
            return False
        n_ends = sum(
            part in end.begun_parts or part in end.awaited_parts
            for end in self._ends.values()
        )
        return n_ends >= N_ENDS_NOT_REPEATED

    def find_block(self, parts: Sequence[str], now_ms: float) -> Block | None:
        """Return the block that concerns a prompt with these shared parts."""
        for part in parts:
            block = self.blocks.get(part)
            if block is not None and now_ms >= block.until_ms:
                self._update_blocks(now_ms)
                block = self.blocks.get(part)
            if block is not None:
                return block
        return None

    def _update_blocks(self, now_ms: float) -> None:
        """Choose the parts to refuse anew, from all evidence that counts."""
        self._end_expired_blocks(now_ms)
        self._forget_old(now_ms)
        self.accused_parts = frozenset().union(
            *(
                self._list_uncleared(end.begun_parts | end.awaited_parts)
                for end in self._ends.values()
            )
        )
        self.accuses_requests = any(map(is_request, self.accused_parts))
        moments = self._list_moments()
        blocks: dict[str, Block] = {}
        while found := self._choose_parts(moments):
            for part in found:
                with_part = [moment for moment in moments if part in moment.parts]
                blocks[part] = self._build_block(part, with_part)
            moments = [moment for moment in moments if not moment.parts & found]
        self.blocks = blocks

    def _choose_parts(self, moments: Sequence[_Moment]) -> frozenset[str]:
        """Return the parts that explain most of the moments; empty if none does."""
        n_moments, found = _find_most_frequent(m for m in moments if m.is_certain)
        if known := found & self._n_blocks_ended.keys():
            return known
        if n_moments >= N_MOMENTS_ALONE and len(found) == 1:
            return found
        if n_moments >= N_MOMENTS:
            found = _prefer_requests(found)
            if len(found) <= MAX_EQUAL_PARTS:
                return found
        n_moments, found = _find_most_frequent(moments)
        requests = frozenset(
            part
            for part in found
            if is_request(part)
            and _count_ends(part, moments) >= N_UNCERTAIN_REQUEST_ENDS
        )
        if n_moments >= N_MOMENTS_ALONE and 0 < len(requests) <= MAX_EQUAL_PARTS:
            return requests
        if n_moments >= N_UNCERTAIN_MOMENTS and len(found) <= MAX_EQUAL_PARTS:
            return found
        return frozenset()

    def _build_block(self, part: str, moments: Sequence[_Moment]) -> Block:
        n_lengthenings = min(self._n_blocks_ended.get(part, 0), MAX_LENGTHENINGS)
        life_ms = BLOCK_LIFE_MS * REPEATED_BLOCK_FACTOR**n_lengthenings
        server_ids = itertools.chain.from_iterable(m.server_ids for m in moments)
        return Block(
            part, max(m.at_ms for m in moments) + life_ms, tuple(sorted(server_ids))
        )

    def _list_moments(self) -> list[_Moment]:
        """Return the ends, with those at one moment put together."""
        moments: list[_Moment] = []
        for end in sorted(self._ends.values(), key=lambda end: end.at_ms):
            parts = self._list_uncleared(end.begun_parts)
            is_certain = bool(parts)
            moment = _Moment(
                end.at_ms,
                (end.server_id,),
                parts or self._list_uncleared(end.awaited_parts),
                is_certain,
            )
            last = moments[-1] if moments else None
            if (
                last is not None
                and not (is_certain or last.is_certain)
                and end.at_ms - last.at_ms < SAME_MOMENT_MS
            ):
                moments[-1] = _Moment(
                    last.at_ms,
                    last.server_ids + moment.server_ids,
                    last.parts | moment.parts,
                    False,
                )
                continue
            moments.append(moment)
        return moments

    def _list_uncleared(self, parts: frozenset[str]) -> frozenset[str]:
        return frozenset(part for part in parts if part not in self._cleared_at_ms)

    def _end_expired_blocks(self, now_ms: float) -> None:
        """End blocks whose time is over; one more end brings such a part back."""
        for block in self.blocks.values():
            if now_ms < block.until_ms:
                continue
            part = block.part
            self._n_blocks_ended[part] = self._n_blocks_ended.pop(part, 0) + 1
            for server_id in block.server_ids:
                self._ends.pop(server_id, None)
        while len(self._n_blocks_ended) > MAX_REMEMBERED_PARTS:
            self._n_blocks_ended.popitem(last=False)

    def _forget_old(self, now_ms: float) -> None:
        kept = {
            server_id
            for block in self.blocks.values()
            for server_id in block.server_ids
        }
        n_over = len(self._ends) - MAX_ENDS
        for server_id, end in list(self._ends.items()):
            is_old = now_ms - end.at_ms > BLOCK_LIFE_MS
            if server_id not in kept and (is_old or n_over > 0):
                del self._ends[server_id]
                n_over -= 1
        for part, at_ms in list(self._cleared_at_ms.items()):
            if now_ms - at_ms > CLEARED_LIFE_MS:
                del self._cleared_at_ms[part]


def _count_ends(part: str, moments: Iterable[_Moment]) -> int:
    """Return the number of servers that ended at the moments that accuse a part."""
    return sum(len(moment.server_ids) for moment in moments if part in moment.parts)


def _prefer_requests(parts: frozenset[str]) -> frozenset[str]:
    """Return the requests among equally frequent parts, or all if there is none.

    A request that was at each of the ends explains them without the parts of its
    prompt, which other requests have too.
    """
    requests = frozenset(part for part in parts if is_request(part))
    return requests or parts


def _find_most_frequent(moments: Iterable[_Moment]) -> tuple[int, frozenset[str]]:
    """Return the parts accused at most moments within one span, and their number."""
    times_by_part: dict[str, list[float]] = {}
    for moment in moments:
        for part in moment.parts:
            times_by_part.setdefault(part, []).append(moment.at_ms)
    counts = {part: _count_in_span(times) for part, times in times_by_part.items()}
    n_most = max(counts.values(), default=0)
    return n_most, frozenset(part for part, n in counts.items() if n == n_most)


def _count_in_span(times_ms: Sequence[float]) -> int:
    """Return the most moments, of those given in order, that lie within one span."""
    first = n_most = 0
    for last, at_ms in enumerate(times_ms):
        while at_ms - times_ms[first] > EVIDENCE_SPAN_MS:
            first += 1
        n_most = max(n_most, last - first + 1)
    return n_most
