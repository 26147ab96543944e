"""The program ``cowslip-keeper``: runs one keeper."""

from ..keeper import KEEPER_SETTING_CHECKS, KeeperSettings, run_keeper
from ..kernel.lifecycle import run_program

__all__ = ["main"]


def main() -> None:
    """Run a keeper until SIGTERM or SIGINT."""
    run_program("cowslip-keeper", KeeperSettings, KEEPER_SETTING_CHECKS, run_keeper)
