"""The program ``cowslip-load``: seeded open-loop load and its report."""

import os
import sys
from pathlib import Path
from typing import NamedTuple

import anyio
import orjson

from ..kernel.codes import Code
from ..kernel.settings import (
    Check,
    exit_with,
    load_settings,
    one_of,
    peer_list,
    within,
)
from ..load import (
    PROFILES,
    LoadOptions,
    Scenario,
    format_report,
    render_comparison,
    run_load,
)
from ..load._run import ScheduledSignal

__all__ = ["LoadSettings", "main"]

BROKEN_PROMISE_STATUS = 3
SIGNALS = ("KILL", "TERM", "STOP", "CONT")


class LoadSettings(NamedTuple):
    """Send a seeded open-loop load to entries on loopback and report.

    Parameters
    ----------
    entries : str
        ip:port of each entry, with commas between.
    profile : str
        direccion or brazos.
    scenario : str
        calm or burst.
    rate_per_s : float
        Requests a second at calm demand; 0 takes the profile's.
    duration_s : float
        Seconds of arrivals.
    seed : int
        The same seed sends the same requests at the same times.
    daemons : str
        ip:port of the HTTP interface of each daemon whose counters are read.
    faults : str
        Signals to processes, as second:KILL:pid, with commas between.
    out : str
        File for the run's JSON.
    report : str
        HTML file that sets this run beside those in `compare`.
    compare : str
        JSON files of earlier runs, with commas between.
    """

    entries: str = "127.0.0.1:8080"
    profile: str = "direccion"
    scenario: str = "calm"
    rate_per_s: float = 0.0
    duration_s: float = 30.0
    seed: int = 1
    daemons: str = ""
    faults: str = ""
    out: str = ""
    report: str = ""
    compare: str = ""


def _parse_faults(text: str) -> tuple[ScheduledSignal, ...]:
    faults = []
    for part in filter(None, text.split(",")):
        at_s, name, pid = part.split(":")
        if name not in SIGNALS or int(pid) <= 1:
            raise ValueError(part)
        faults.append(ScheduledSignal(float(at_s), name, int(pid)))
    return tuple(faults)


def _are_faults(text: str) -> bool:
    try:
        _parse_faults(text)
    except ValueError:
        return False
    return True


def _on_loopback(text: str) -> bool:
    return all(part.startswith("127.") for part in filter(None, text.split(",")))


CHECKS = {
    "entries": Check(
        "ip:port on loopback, with commas between several",
        lambda text: peer_list().holds(text) and _on_loopback(text),
    ),
    "daemons": Check("ip:port on loopback, with commas between", _on_loopback),
    "profile": one_of(*PROFILES),
    "scenario": one_of(*Scenario),
    "rate_per_s": within(0, 2_000),
    "duration_s": within(1, 3_600),
    "faults": Check("second:KILL|TERM|STOP|CONT:pid", _are_faults),
}


def main() -> None:
    """Run one load and print its report; exit 3 when a promise was broken."""
    settings = load_settings(LoadSettings, CHECKS, os.environ, sys.argv[1:])
    options = LoadOptions(
        profile=settings.profile,
        scenario=Scenario(settings.scenario),
        entries=tuple(settings.entries.split(",")),
        daemons=tuple(filter(None, settings.daemons.split(","))),
        rate_per_s=settings.rate_per_s,
        duration_s=settings.duration_s,
        seed=settings.seed,
        faults=_parse_faults(settings.faults),
    )
    summary = anyio.run(run_load, options)
    print(format_report(summary))
    if settings.out:
        Path(settings.out).write_bytes(orjson.dumps(summary))
    if settings.report:
        runs = {
            Path(name).stem: _read_run(name)
            for name in filter(None, settings.compare.split(","))
        }
        page = render_comparison({**runs, "this run": summary})
        Path(settings.report).write_text(page)
    if summary["faults_found"]:
        sys.exit(BROKEN_PROMISE_STATUS)


def _read_run(name: str) -> dict:
    try:
        return orjson.loads(Path(name).read_bytes())
    except (OSError, orjson.JSONDecodeError) as exc:
        exit_with(Code.BAD_SETTING, f"--compare: cannot read {name}: {exc}")
