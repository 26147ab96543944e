"""Measures the latency that an agent adds to a call, and the memory of the agent.

The same calls go to a stand-in engine directly, through an agent, and through a minimal
proxy of uvicorn and httpcore, in turns. All of them are separate processes.
Run from the root of the repository::

    .venv/bin/python -m benchmarks.bench_agent
"""

import contextlib
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import httpcore
import orjson
from hdrh.histogram import HdrHistogram
from tests.fake_keeper import fake_keeper
from tests.processes import Cluster, free_port
from tests.served import until

from cowslipwood.kernel.messages import DesiredModel

__all__ = ["main"]

BARE_HOP = Path(__file__).with_name("bare_hop.py")
# Rounds of measured calls; each round goes through all chains.
N_ROUNDS = 6
# Measured calls through one chain in a round.
N_CALLS = 300
# Calls through each chain before those that are measured.
N_WARM_UP = 50
# Callers that send at the same time.
CONCURRENCY = 4
# Tokens of each completion.
MAX_TOKENS = 8
# Largest latency that the agent may add, as a share of the latency of the bare hop.
TARGET_ADDED_SHARE = 0.25
# Largest resident memory of the agent.
TARGET_RESIDENT_BYTES = 64 * 1024 * 1024
BODY = {"model": "m1", "version": "1", "prompt": "bread for 9"}


class Chain(NamedTuple):
    """One path to the engine: directly, or through a proxy."""

    name: str
    port: int
    headers: list[tuple[str, str]]


@contextlib.contextmanager
def _processes(keeper_addr: str) -> Iterator[tuple[Cluster, list[Chain]]]:
    engine, agent, bare = free_port(), free_port(), free_port()
    url = f"http://127.0.0.1:{engine}"
    with Cluster() as cluster:
        cluster.start(
            "engine",
            "standin",
            "--kind=engine",
            f"--listen=127.0.0.1:{engine}",
            "--first-token-ms=0",
            "--between-tokens-ms=0",
            "--prefill-ms-per-token=0",
            "--load-ms=1",
        )
        cluster.start(
            "agent",
            "agent",
            "--server-id=s1",
            f"--keepers={keeper_addr}",
            f"--backend-url={url}",
            f"--listen=127.0.0.1:{agent}",
        )
        hop = [sys.executable, str(BARE_HOP), str(bare), str(engine)]
        cluster.processes["bare"] = subprocess.Popen(hop)
        token = [("authorization", "Bearer cluster-secret")]
        yield (
            cluster,
            [
                Chain("direct", engine, []),
                Chain("bare hop", bare, []),
                Chain("agent", agent, [*token, ("x-cowslip-server", "s1")]),
            ],
        )


async def _call(pool: Any, chain: Chain, body: bytes) -> None:
    response = await pool.request(
        "POST",
        f"http://127.0.0.1:{chain.port}/v1/completions",
        headers=[("host", "x"), *chain.headers],
        content=body,
    )
    if response.status != 200 or not response.content.endswith(b"[DONE]\n\n"):
        raise RuntimeError(f"{chain.name}: {response.status} {response.content[:200]}")


async def _measure(chain: Chain, body: bytes, n_calls: int, seen: HdrHistogram) -> None:
    async with httpcore.AsyncConnectionPool(max_connections=CONCURRENCY) as pool:

        async def caller() -> None:
            for _ in range(n_calls // CONCURRENCY):
                began = time.perf_counter()
                await _call(pool, chain, body)
                seen.record_value(int((time.perf_counter() - began) * 1e6))

        async with anyio.create_task_group() as tasks:
            for _ in range(CONCURRENCY):
                tasks.start_soon(caller)


def _resident_bytes(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


async def _run() -> None:
    async with fake_keeper() as keeper:
        with _processes(keeper.addr) as (cluster, chains):
            await until(lambda: keeper.report is not None, "the agent's report")
            base = DesiredModel("m1", "1", "model", "", 1_000)
            await keeper.assign(1, 1, base)
            await until(lambda: keeper.is_ready("m1"), "the model")
            body = orjson.dumps({**BODY, "max_tokens": MAX_TOKENS})
            await _compare(chains, body)
            used = _resident_bytes(cluster.processes["agent"].pid)
            print(f"agent resident bytes {used} target {TARGET_RESIDENT_BYTES}")


async def _compare(chains: list[Chain], body: bytes) -> None:
    seen = {chain.name: HdrHistogram(1, 60_000_000, 3) for chain in chains}
    for chain in chains:
        await _measure(chain, body, N_WARM_UP, HdrHistogram(1, 60_000_000, 3))
    for _ in range(N_ROUNDS):
        for chain in chains:
            await _measure(chain, body, N_CALLS, seen[chain.name])
    for name, histogram in seen.items():
        p50, p95, p99 = (histogram.get_value_at_percentile(p) for p in (50, 95, 99))
        print(f"{name:9} p50 {p50} us  p95 {p95} us  p99 {p99} us")
    for percent in (50, 95):
        bare = seen["bare hop"].get_value_at_percentile(percent)
        agent = seen["agent"].get_value_at_percentile(percent)
        share = agent / bare - 1
        print(f"added at p{percent}: {share:.1%} target {TARGET_ADDED_SHARE:.0%}")


def main() -> None:
    """Run the benchmark and print its results."""
    anyio.run(_run)


if __name__ == "__main__":
    main()
