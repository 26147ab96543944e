"""Measures commits per second and their latency by number of concurrent proposers.

Three keepers run as separate processes on the loopback interface. The proposers are
tasks of this process, which write catalogue entries through one connection to the
leader.

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
from cowslipwood.kernel.keeper_link import KeeperLink
from cowslipwood.kernel.messages import Hello, OperatorRequest

__all__ = ["main"]

# Time limit in milliseconds for the answer to an edit.
ANSWER_TIMEOUT_MS = 30_000
# Largest latency that is recorded, in microseconds.
MAX_LATENCY_US = 60_000_000
# Number of catalogue entries that the edits write in turn.
N_NAMES = 64
_HELLO = Hello("operator", "bench", "", "", "cluster-secret")


class _Row(NamedTuple):
    n_proposers: int
    n_commits: int
    commits_per_s: float
    p50_ms: float
    p99_ms: float


async def _ignore(value: Any) -> None:
    """Ignore the heartbeats of the leader."""


async def _measure(link: KeeperLink, n_proposers: int, n_edits: int) -> _Row:
    latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
    turns = iter(range(n_edits))

    async def propose() -> None:
        for turn in turns:
            name = f"m{turn % N_NAMES}"
            body = orjson.dumps(model_value(name, version=str(turn)))
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
    spent_s = (monotonic_ms() - started_ms) / 1000
    return _Row(
        n_proposers,
        n_edits,
        n_edits / spent_s,
        latencies_us.get_value_at_percentile(50) / 1000,
        latencies_us.get_value_at_percentile(99) / 1000,
    )


async def _run(keepers: str, proposers: list[int], n_edits: int) -> list[_Row]:
    link = KeeperLink(keepers, _HELLO, _ignore)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        while not link.connected:
            await anyio.sleep(0.01)
        rows = [await _measure(link, n, n_edits) for n in proposers]
        tasks.cancel_scope.cancel()
    return rows


def bench(
    *, proposers: list[int] = (1, 8, 64, 256), edits: int = 2_000, kills: int = 0
) -> None:
    """Print a row for each number of proposers, and the durations of failovers.

    Parameters
    ----------
    proposers : list[int]
        Numbers of edits that are in flight at once; each gives a row.
    edits : int
        Number of edits for each row.
    kills : int
        Number of times that the leader is killed. It is restarted after the first
        commit of its successor.
    """
    with KeeperCluster() as cluster:
        cluster.start_all()
        rows = anyio.run(_run, cluster.keepers, list(proposers), edits)
        failovers_ms = [_failover_ms(cluster) for _ in range(kills)]
    print("proposers  commits  commits/s  p50 ms  p99 ms")
    for row in rows:
        print(
            f"{row.n_proposers:9}  {row.n_commits:7}  {row.commits_per_s:9.0f}"
            f"  {row.p50_ms:6.2f}  {row.p99_ms:6.2f}"
        )

    if failovers_ms:
        shown = " ".join(f"{ms:.0f}" for ms in sorted(failovers_ms))
        print(f"ms from kill to the next commit: {shown}")


def _failover_ms(cluster: KeeperCluster) -> float:
    """Kill the leader; return the time in ms until the next edit was answered."""
    wait_for(lambda: _is_whole(cluster), "three keepers with one log")
    first = cluster.leader()
    killed_ms = monotonic_ms()
    cluster.kill(first)
    cluster.put_many([f"f{killed_ms:.0f}"])
    spent_ms = monotonic_ms() - killed_ms
    cluster.start_one(first)
    return spent_ms


def _is_whole(cluster: KeeperCluster) -> bool:
    return len({cluster.metric(name, "revision") for name in cluster.addresses}) == 1


def main() -> None:
    """Run the benchmark."""
    defopt.run(bench)


if __name__ == "__main__":
    main()
