"""Draws the faults of a run from its seed."""

import enum
import random
from typing import NamedTuple

__all__ = ["DEFAULT_KINDS", "FaultKind", "ScheduledFault", "draw_schedule"]

# Mean time between two draws, in seconds.
MEAN_INTERVAL_S = 2.0
# Share of the draws that repeat a fault in quick succession.
SERIES_SHARE = 0.3
# Time between two faults of a series, in seconds.
SERIES_INTERVAL_S = (0.2, 3.5)
# Time without new faults at the end of a run, in seconds.
CALM_END_S = 4.0


class FaultKind(enum.StrEnum):
    """What is done to the processes from outside."""

    KILL_ENTRIES = "kill_entries"
    FREEZE_ENTRIES = "freeze_entries"
    STOP_ENTRY = "stop_entry"
    KILL_LEADER = "kill_leader"
    FREEZE_LEADER = "freeze_leader"
    KILL_ALL = "kill_all"
    KILL_SERVER = "kill_server"
    FREEZE_SERVER = "freeze_server"
    LEAVE_SERVER = "leave_server"
    SWAP_SERVER = "swap_server"
    CHANGE_CONFIG = "change_config"
    LOAD_CORES = "load_cores"
    RELEASE = "release"
    RENEW_SERVER = "renew_server"
    LOSE_DISK = "lose_disk"


# Releases need more engines than a run has by default. Disks are lost in runs of their
# own, which leave the draws of all others as they are.
DEFAULT_KINDS = tuple(
    kind
    for kind in FaultKind
    if kind not in (FaultKind.RELEASE, FaultKind.RENEW_SERVER, FaultKind.LOSE_DISK)
)


class ScheduledFault(NamedTuple):
    """A fault of a run.

    Parameters
    ----------
    at_s : float
        Time since the begin of the faults.
    kind : FaultKind
    for_s : float
    seed : int
        Draws the processes that it strikes.
    """

    at_s: float
    kind: FaultKind
    for_s: float
    seed: int


def draw_schedule(
    seed: int, length_s: float, kinds: tuple[FaultKind, ...] = DEFAULT_KINDS
) -> list[ScheduledFault]:
    """Return the faults of a run, which may overlap, in the order of time."""
    rng = random.Random(seed)
    faults = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1 / MEAN_INTERVAL_S)
        if at_s >= length_s - CALM_END_S:
            return sorted(faults)
        kind = rng.choice(kinds)
        n_repeats = rng.randint(2, 4) if rng.random() < SERIES_SHARE else 1
        next_s = at_s
        for _ in range(n_repeats):
            fault = ScheduledFault(
                next_s, kind, rng.uniform(0.1, 3.0), rng.getrandbits(32)
            )
            if next_s < length_s - CALM_END_S:
                faults.append(fault)
            next_s += rng.uniform(*SERIES_INTERVAL_S)
