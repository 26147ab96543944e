"""Runs one load: sends each request at its time and sums up the answers."""

import os
import signal
from collections.abc import Sequence
from typing import NamedTuple

import anyio

from ..kernel.clock import monotonic_ms
from ._arrivals import Request, arrivals
from ._client import Client, Ending, Sample
from ._profile import PROFILES, Scenario, catalogue_values, targets
from ._scrape import growth, scrape_counters
from ._summary import Summary, summarize

__all__ = ["Fault", "LoadOptions", "run_load"]


class Fault(NamedTuple):
    """A signal sent to a process at a time of the run.

    Parameters
    ----------
    at_s : float
        Seconds from the start.
    signal_name : str
        KILL, TERM, STOP or CONT.
    pid : int
    """

    at_s: float
    signal_name: str
    pid: int


class LoadOptions(NamedTuple):
    """What a run sends, and where.

    Parameters
    ----------
    profile : str
    scenario : Scenario
    entries : tuple of str
        ``ip:port`` of each entry.
    daemons : tuple of str
        ``ip:port`` of the HTTP interface of each daemon whose counters are
        read before and after.
    rate_per_s : float
        0 takes the profile's.
    duration_s : float
    seed : int
    faults : tuple of Fault
    """

    profile: str
    scenario: Scenario
    entries: tuple[str, ...]
    daemons: tuple[str, ...]
    rate_per_s: float
    duration_s: float
    seed: int
    faults: tuple[Fault, ...]


async def run_load(options: LoadOptions) -> Summary:
    """Send the run's requests and return its summary."""
    profile = PROFILES[options.profile]
    catalogue = catalogue_values(profile, options.seed)
    requests = arrivals(
        profile,
        targets(catalogue, options.seed),
        options.scenario,
        options.rate_per_s or profile.rate_per_s,
        options.duration_s,
        options.seed,
    )
    before = await scrape_counters(options.daemons)
    samples = await _send_all(options, requests, profile.max_tokens)
    after = await scrape_counters(options.daemons)
    limits = {item["name"]: item["limits"] for item in catalogue}
    counters = growth(before, after)
    return summarize(options._asdict(), samples, limits, profile.n_engines, counters)


async def _send_all(
    options: LoadOptions, requests: Sequence[Request], max_tokens: int
) -> list[Sample]:
    client = Client(list(options.entries), max_tokens)
    samples: list[Sample] = []
    start_ms = monotonic_ms()
    async with anyio.create_task_group() as tasks:
        for fault in options.faults:
            tasks.start_soon(_bring_about, fault, start_ms)
        for request in requests:
            intended_ms = start_ms + request.at_s * 1000
            await anyio.sleep(max(0.0, intended_ms - monotonic_ms()) / 1000)
            tasks.start_soon(_send_one, client, request, intended_ms, samples)
    return samples


async def _send_one(
    client: Client, request: Request, intended_ms: float, samples: list[Sample]
) -> None:
    sample = await client.send(request, intended_ms)
    samples.append(sample)
    if not request.resend:
        return
    again = await client.send(request, monotonic_ms(), turn=1)
    both_ran = sample.run_number and again.run_number
    if both_ran and sample.run_number != again.run_number:
        samples.append(Sample(request, Ending.WRONG, "RAN_TWICE"))


async def _bring_about(fault: Fault, start_ms: float) -> None:
    await anyio.sleep(max(0.0, start_ms + fault.at_s * 1000 - monotonic_ms()) / 1000)
    os.kill(fault.pid, getattr(signal, f"SIG{fault.signal_name}"))
