"""Keepers run the replicated log, the catalogue, placement and claims."""

from ._keeper import DirectEngines, run_keeper
from ._settings import KEEPER_SETTING_CHECKS, KeeperSettings

__all__ = ["KEEPER_SETTING_CHECKS", "DirectEngines", "KeeperSettings", "run_keeper"]
