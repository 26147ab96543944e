"""Which prompt parts and requests servers end under, by the evidence of all entries."""

from ._ledger import (
    CLEARED_LIFE_MS,
    REQUEST_MARK,
    Block,
    CrashLedger,
    EndEvidence,
    is_request,
)

__all__ = [
    "CLEARED_LIFE_MS",
    "REQUEST_MARK",
    "Block",
    "CrashLedger",
    "EndEvidence",
    "is_request",
]
