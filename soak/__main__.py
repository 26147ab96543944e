"""Runs the soak: ``python -m soak --seed 1 --minutes 2``."""

import sys
from pathlib import Path

import defopt

from .run import SoakSettings, run_soak
from .schedule import DEFAULT_KINDS, FaultKind
from .server import Fault

# Number of violations that are printed in full.
N_PRINTED = 20


def soak(
    *,
    seed: int = 1,
    minutes: float = 1.0,
    n_entries: int = 6,
    n_engines: int = 3,
    n_callers: int = 60,
    pause_ms: float = 200.0,
    fault_share: float = 0.1,
    work_ms: float = 30.0,
    unframed_share: float = 0.3,
    notice_ms: float = 0.0,
    faults: list[FaultKind] | None = None,
    server_faults: list[Fault] | None = None,
    keep: Path | None = None,
) -> None:
    """Run the programs under faults and check what callers and servers saw.

    Parameters
    ----------
    seed : int
        Draws the faults, the requests and the servers' behaviour.
    minutes : float
        Length of the run after all entries are ready.
    n_entries : int
        Number of hosts with an entry; the first three have keepers.
    n_engines : int
        Number of model servers.
    n_callers : int
    pause_ms : float
        Mean time between two requests of one caller.
    fault_share : float
        Share of the requests that meet a fault at their server.
    work_ms : float
        Mean time of a run, and between two events of a stream.
    unframed_share : float
        Share of the streams that have neither length nor chunks.
    notice_ms : float
        Longest time after which a server notices that a connection was closed, unless
        it writes to it before.
    faults : list[FaultKind] | None
        Kinds of faults to draw; all but those of releases by default.
    server_faults : list[Fault] | None
        What servers do wrong; everything by default.
    keep : Path | None
        Folder for the schedule, the history and the logs.
    """
    kinds = tuple(faults or DEFAULT_KINDS)
    settings = SoakSettings(
        seed,
        minutes * 60,
        n_entries=n_entries,
        n_engines=n_engines,
        n_callers=n_callers,
        pause_ms=pause_ms,
        fault_share=fault_share,
        work_ms=work_ms,
        unframed_share=unframed_share,
        server_faults=tuple(server_faults or Fault),
        kinds=kinds,
        notice_ms=notice_ms,
    )
    result = run_soak(settings, keep)
    counts = ", ".join(f"{n} {event}" for event, n in sorted(result.n_by_event.items()))
    print(f"seed {seed}: {counts}")
    for violation in result.violations[:N_PRINTED]:
        print(f"{violation.at_ms:.0f} {violation.rule}: {violation.text}")
    print(f"seed {seed}: {len(result.violations)} violations")
    sys.exit(1 if result.violations else 0)


if __name__ == "__main__":
    defopt.run(soak)
