"""The program ``cowslip-keeper``."""

from ..keeper import KeeperSettings, keeper_checks, run_keeper
from ..kernel.lifecycle import run_program

__all__ = ["main"]


def main() -> None:
    """Run a keeper until SIGTERM."""
    run_program("cowslip-keeper", KeeperSettings, keeper_checks, run_keeper)
