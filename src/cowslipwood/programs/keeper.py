"""The program ``cowslip-keeper``: runs one keeper."""

from ..keeper import KeeperSettings, keeper_checks, run_keeper
from ..kernel.lifecycle import run_program

__all__ = ["main"]


def main() -> None:
    """Run a keeper until SIGTERM or SIGINT."""
    run_program("cowslip-keeper", KeeperSettings, keeper_checks, run_keeper)
