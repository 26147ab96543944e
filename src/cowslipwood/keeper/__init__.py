"""The process that keeps the catalogue, membership, placement and claims."""

from ._keeper import run_keeper
from ._settings import KeeperSettings, keeper_checks

__all__ = ["KeeperSettings", "keeper_checks", "run_keeper"]
