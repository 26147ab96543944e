"""Runs a load: sends each request at its time and summarizes the results."""

import os
import signal
from collections.abc import Sequence
from typing import NamedTuple

import anyio

from ..kernel.clock import monotonic_ms
from ._arrivals import Request, draw_requests
from ._client import Ending, EntryClient, Sample
from ._profile import PROFILES, Scenario, draw_catalogue, draw_targets
from ._scrape import compute_growth, scrape_counters
from ._summary import Summary, summarize

__all__ = ["LoadOptions", "ScheduledSignal", "run_load"]


class ScheduledSignal(NamedTuple):
    """A signal to send to a process during the run, to provoke a failure.

    Parameters
    ----------
    at_s : float
        Time at which to send it, in seconds from the start of the run.
    signal_name : str
        KILL, TERM, STOP or CONT.
    pid : int
    """

    at_s: float
    signal_name: str
    pid: int


class LoadOptions(NamedTuple):
    """Options of a run.

    Parameters
    ----------
    profile : str
        Name of the profile.
    scenario : Scenario
    entries : tuple of str
        ``ip:port`` of each entry.
    daemons : tuple of str
        ``ip:port`` of the HTTP interface of each daemon whose counters are read
        before and after the run.
    rate_per_s : float
        Mean rate of requests outside bursts; 0 for the rate of the profile.
    duration_s : float
        Time in which requests are sent.
    seed : int
    faults : tuple of ScheduledSignal
        Signals to send to processes during the run.
    """

    profile: str
    scenario: Scenario
    entries: tuple[str, ...]
    daemons: tuple[str, ...]
    rate_per_s: float
    duration_s: float
    seed: int
    faults: tuple[ScheduledSignal, ...]


async def run_load(options: LoadOptions) -> Summary:
    """Send the run's requests and return its summary."""
    profile = PROFILES[options.profile]
    catalogue = draw_catalogue(profile, options.seed)
    requests = draw_requests(
        profile,
        draw_targets(catalogue, options.seed),
        options.scenario,
        options.rate_per_s or profile.rate_per_s,
        options.duration_s,
        options.seed,
    )
    counters_before = await scrape_counters(options.daemons)
    samples = await _send_all(options, requests, profile.max_tokens)
    counters_after = await scrape_counters(options.daemons)
    limits = {entry["name"]: entry["limits"] for entry in catalogue}
    growth = compute_growth(counters_before, counters_after)
    return summarize(options._asdict(), samples, limits, profile.n_engines, growth)


async def _send_all(
    options: LoadOptions, requests: Sequence[Request], max_tokens: int
) -> list[Sample]:
    """Send the requests and return the results in the order in which they ended."""
    client = EntryClient(list(options.entries), max_tokens)
    samples: list[Sample] = []
    start_ms = monotonic_ms()
    async with anyio.create_task_group() as tasks:
        for scheduled in options.faults:
            tasks.start_soon(_send_signal, scheduled, start_ms)
        for request in requests:
            intended_ms = start_ms + request.send_at_s * 1000
            await anyio.sleep(max(0.0, intended_ms - monotonic_ms()) / 1000)
            tasks.start_soon(_send_request, client, request, intended_ms, samples)
    return samples


async def _send_request(
    client: EntryClient, request: Request, intended_ms: float, samples: list[Sample]
) -> None:
    """Send a request, and once more if it is one that is resent.

    A service that ran the same idempotency key twice counts as a wrong answer.
    """
    sample = await client.send(request, intended_ms)
    samples.append(sample)
    if not request.is_resent:
        return
    second = await client.send(request, monotonic_ms(), entry_offset=1)
    have_run_numbers = sample.run_number and second.run_number
    if have_run_numbers and sample.run_number != second.run_number:
        samples.append(Sample(request, Ending.WRONG, "RAN_TWICE"))


async def _send_signal(scheduled: ScheduledSignal, start_ms: float) -> None:
    await anyio.sleep(
        max(0.0, start_ms + scheduled.at_s * 1000 - monotonic_ms()) / 1000
    )
    os.kill(scheduled.pid, getattr(signal, f"SIG{scheduled.signal_name}"))
