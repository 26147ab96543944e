"""The program ``cowslip-entry``: runs one entry."""

from ..entry.through_agents import EntrySettings, entry_checks, run_entry
from ..kernel.lifecycle import run_program

__all__ = ["main"]


def main() -> None:
    """Run an entry until SIGTERM or SIGINT."""
    run_program("cowslip-entry", EntrySettings, entry_checks, run_entry)
