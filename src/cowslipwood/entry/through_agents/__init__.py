"""An entry that reaches its backend servers through the agents beside them."""

from ._entry import ENTRY_SETTING_CHECKS, EntrySettings, run_entry

__all__ = ["ENTRY_SETTING_CHECKS", "EntrySettings", "run_entry"]
