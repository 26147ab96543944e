"""Which prompt parts servers end under, by the evidence of all entries."""

from ._ledger import CLEARED_LIFE_MS, Block, CrashLedger, EndEvidence

__all__ = ["CLEARED_LIFE_MS", "Block", "CrashLedger", "EndEvidence"]
