"""The program ``cowslip-entry``: runs one entry."""

from ..entry.through_agents import ENTRY_SETTING_CHECKS, EntrySettings, run_entry
from ..kernel.lifecycle import run_program

__all__ = ["main"]


def main() -> None:
    """Run an entry until SIGTERM or SIGINT."""
    run_program("cowslip-entry", EntrySettings, ENTRY_SETTING_CHECKS, run_entry)
