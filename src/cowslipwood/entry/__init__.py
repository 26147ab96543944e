"""The process that callers reach: limits, admission, routing, retries."""

from ._entry import EntrySettings, entry_checks, run_entry

__all__ = ["EntrySettings", "entry_checks", "run_entry"]
