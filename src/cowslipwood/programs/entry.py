"""The program ``cowslip-entry``."""

from ..entry.through_agents import EntrySettings, entry_checks, run_entry
from ..kernel.lifecycle import run_program

__all__ = ["main"]


def main() -> None:
    """Run an entry until SIGTERM."""
    run_program("cowslip-entry", EntrySettings, entry_checks, run_entry)
