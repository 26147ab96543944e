"""An entry that reaches its backend servers through the agents beside them."""

from ._entry import EntrySettings, entry_checks, run_entry

__all__ = ["EntrySettings", "entry_checks", "run_entry"]
