"""Passes on what each entry has seen of the ends of servers to all entries."""

from collections import OrderedDict
from typing import NamedTuple

from ..crash_evidence import CLEARED_LIFE_MS, Block, CrashLedger, EndEvidence
from ..kernel.messages import CrashEvidence, ServerEnd

__all__ = ["EvidenceRelay"]

# Largest number of ends that are kept for entries that connect later, the newest ones.
MAX_ENDS = 256
# Largest number of cleared parts that are kept, the newest ones.
MAX_CLEARED_PARTS = 4_096
# Time, in milliseconds, after which a cleared part that an entry repeats is passed on
# again; entries forget it after `CLEARED_LIFE_MS`.
REPEAT_CLEARED_MS = CLEARED_LIFE_MS / 2
# Largest number of parts of one end, of each kind, that are kept.
MAX_PARTS = 256


class _KeptEnd(NamedTuple):
    """An end as the entries reported it together, and the revision of its change."""

    end: ServerEnd
    at_ms: float
    revision: int


class _ClearedPart(NamedTuple):
    """When a part was last passed on as cleared, and the revision of that."""

    at_ms: float
    revision: int


class EvidenceRelay:
    """The evidence that the leader has received.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    """

    def __init__(self):
        self.revision = 0
        self._ends: OrderedDict[str, _KeptEnd] = OrderedDict()
        self._cleared: OrderedDict[str, _ClearedPart] = OrderedDict()

    def add(self, evidence: CrashEvidence, now_ms: float) -> bool:
        """Add an entry's evidence; return whether it held anything new."""
        revision = self.revision + 1
        for end in evidence.ends:
            if self._merge_end(end, now_ms, revision):
                self.revision = revision
        for part in evidence.cleared_parts:
            known = self._cleared.get(part)
            if known is None or now_ms - known.at_ms > REPEAT_CLEARED_MS:
                self._cleared[part] = _ClearedPart(now_ms, revision)
                self._cleared.move_to_end(part)
                self.revision = revision
        while len(self._ends) > MAX_ENDS:
            self._ends.popitem(last=False)
        while len(self._cleared) > MAX_CLEARED_PARTS:
            self._cleared.popitem(last=False)
        return self.revision == revision

    def build_update(self, sent_revision: int, now_ms: float) -> CrashEvidence:
        """Return what has changed since a revision, with the ends' age at present."""
        return CrashEvidence(
            tuple(
                kept.end._replace(age_ms=now_ms - kept.at_ms)
                for kept in self._ends.values()
                if kept.revision > sent_revision
            ),
            tuple(
                part
                for part, cleared in self._cleared.items()
                if cleared.revision > sent_revision
                and now_ms - cleared.at_ms <= CLEARED_LIFE_MS
            ),
        )

    def find_blocks(self, now_ms: float) -> list[Block]:
        """Return the parts that entries refuse by this evidence."""
        ledger = CrashLedger()
        ledger.record_cleared(self.build_update(0, now_ms).cleared_parts, now_ms)
        for kept in self._ends.values():
            begun, awaited = kept.end.begun_parts, kept.end.awaited_parts
            end = EndEvidence(
                kept.end.server_id, kept.at_ms, frozenset(begun), frozenset(awaited)
            )
            ledger.record_end(end, now_ms)
        return sorted(ledger.blocks.values())

    def _merge_end(self, end: ServerEnd, now_ms: float, revision: int) -> bool:
        """Add one entry's view of an end; return whether it held anything new."""
        known = self._ends.get(end.server_id)
        at_ms = now_ms - end.age_ms
        begun, awaited = set(end.begun_parts), set(end.awaited_parts)
        if known is not None:
            at_ms = min(at_ms, known.at_ms)
            begun.update(known.end.begun_parts)
            awaited.update(known.end.awaited_parts)
        merged = ServerEnd(
            end.server_id,
            tuple(sorted(begun)[:MAX_PARTS]),
            tuple(sorted(awaited)[:MAX_PARTS]),
            0.0,
        )
        if known is not None and merged == known.end:
            return False
        self._ends[end.server_id] = _KeptEnd(merged, at_ms, revision)
        return True
