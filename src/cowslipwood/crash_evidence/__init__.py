"""Which prompt parts servers end under, by the evidence of all entries."""

from ._ledger import Block, CrashLedger, EndEvidence

__all__ = ["Block", "CrashLedger", "EndEvidence"]
