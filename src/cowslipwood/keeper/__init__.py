"""The process that keeps the catalogue, membership, placement and claims."""

from ._keeper import KeeperSettings, keeper_checks, run_keeper

__all__ = ["KeeperSettings", "keeper_checks", "run_keeper"]
