"""Measures commits per second and their latency by number of concurrent proposers.

Three keepers run as separate processes on the loopback interface. The proposers are
tasks of this process and put catalogue entries over one connection to the leader.

    python -m benchmarks.bench_log --proposers 1 8 64 --edits 2000
"""

import sys
import uuid
from typing import Any, NamedTuple

import anyio
import defopt
import orjson
from hdrh.histogram import HdrHistogram
from returns.result import Failure as Err
from tests.builders import model_value
from tests.keepers import KeeperCluster
from tests.processes import wait_for

from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.keeper_addresses import KeeperAddresses
from cowslipwood.kernel.keeper_link import KeeperLink
from cowslipwood.kernel.messages import Hello, OperatorRequest

__all__ = ["main"]

# Time limit for the answer to one edit, in ms.
ANSWER_TIMEOUT_MS = 30_000
# Longest latency that the histogram can record, in microseconds.
MAX_RECORDED_LATENCY_US = 60_000_000
# Number of catalogue entries that the edits change in turn.
N_ENTRY_NAMES = 64
_HELLO = Hello("operator", "bench", "", "", "cluster-secret")


class _Measurement(NamedTuple):
    n_proposers: int
    n_commits: int
    commits_per_s: float
    p50_ms: float
    p99_ms: float


async def _discard_heartbeat(value: Any) -> None:
    """Discard the leader's heartbeats."""


async def _measure_commits(
    link: KeeperLink, n_proposers: int, n_edits: int
) -> _Measurement:
    latencies_us = HdrHistogram(1, MAX_RECORDED_LATENCY_US, 3)
    edit_numbers = iter(range(n_edits))

    async def propose() -> None:
        for edit_number in edit_numbers:
            name = f"m{edit_number % N_ENTRY_NAMES}"
            body = orjson.dumps(model_value(name, version=str(edit_number)))
            request = OperatorRequest(
                "put", name, body, uuid.uuid4().hex, -1, "operator-secret"
            )
            sent_ms = monotonic_ms()
            answer = await link.request(request, ANSWER_TIMEOUT_MS)
            if isinstance(answer, Err):
                sys.exit(f"refused: {answer.failure()}")
            latencies_us.record_value(int((monotonic_ms() - sent_ms) * 1000))

    started_ms = monotonic_ms()
    async with anyio.create_task_group() as tasks:
        for _ in range(n_proposers):
            tasks.start_soon(propose)
    elapsed_s = (monotonic_ms() - started_ms) / 1000
    return _Measurement(
        n_proposers,
        n_edits,
        n_edits / elapsed_s,
        latencies_us.get_value_at_percentile(50) / 1000,
        latencies_us.get_value_at_percentile(99) / 1000,
    )


async def _run_measurements(
    keepers: str, proposers: list[int], n_edits: int
) -> list[_Measurement]:
    link = KeeperLink(KeeperAddresses.parse(keepers), _HELLO, _discard_heartbeat)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        while not link.is_connected:
            await anyio.sleep(0.01)
        measurements = [
            await _measure_commits(link, n_proposers, n_edits)
            for n_proposers in proposers
        ]
        tasks.cancel_scope.cancel()
    return measurements


def bench(
    *, proposers: list[int] = (1, 8, 64, 256), edits: int = 2_000, kills: int = 0
) -> None:
    """Print one row per number of proposers, and the duration of failovers.

    Parameters
    ----------
    proposers : list[int]
        Numbers of concurrent edits to measure with.
    edits : int
        Number of edits in each measurement.
    kills : int
        How often the leader is killed. Each time it is restarted after the first
        commit of the next leader.
    """
    with KeeperCluster() as cluster:
        cluster.start_all()
        measurements = anyio.run(
            _run_measurements, cluster.keepers, list(proposers), edits
        )
        failovers_ms = [_measure_failover_ms(cluster) for _ in range(kills)]
    print("proposers  commits  commits/s  p50 ms  p99 ms")
    for row in measurements:
        print(
            f"{row.n_proposers:9}  {row.n_commits:7}  {row.commits_per_s:9.0f}"
            f"  {row.p50_ms:6.2f}  {row.p99_ms:6.2f}"
        )

    if failovers_ms:
        failovers_text = " ".join(f"{ms:.0f}" for ms in sorted(failovers_ms))
        print(f"ms from kill to the next commit: {failovers_text}")


def _measure_failover_ms(cluster: KeeperCluster) -> float:
    """Kill the leader and return the time until the next edit is committed."""
    wait_for(lambda: _do_revisions_match(cluster), "three keepers with one log")
    leader = cluster.leader()
    killed_ms = monotonic_ms()
    cluster.kill(leader)
    cluster.put_many([f"f{killed_ms:.0f}"])
    failover_ms = monotonic_ms() - killed_ms
    cluster.start_one(leader)
    return failover_ms


def _do_revisions_match(cluster: KeeperCluster) -> bool:
    return len({cluster.metric(name, "revision") for name in cluster.addresses}) == 1


def main() -> None:
    """Run the benchmark."""
    defopt.run(bench)


if __name__ == "__main__":
    main()
