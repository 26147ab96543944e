"""Keepers run the replicated log, the catalogue, placement and claims."""

from ._keeper import DirectEngines, run_keeper
from ._settings import KeeperSettings, keeper_checks

__all__ = ["DirectEngines", "KeeperSettings", "keeper_checks", "run_keeper"]
