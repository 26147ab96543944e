"""Measures the latency that an agent adds to a call, and the agent's memory.

The same calls are sent to a stand-in engine in turns: directly, through a bare proxy
of uvicorn and httpcore without any logic, and through an agent. Engine, proxy and
agent are separate processes. Run from the root of the repository::

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
from tests.served import wait_until

from cowslipwood.kernel.messages import DesiredModel

__all__ = ["main"]

# Program of the bare proxy.
BARE_PROXY_FILE = Path(__file__).with_name("bare_hop.py")
# Number of times that each path is measured.
N_ROUNDS = 6
# Calls per path and round.
N_CALLS = 300
# Calls per path before the first round, which are not counted.
N_WARM_UP_CALLS = 50
# Number of callers that send calls at the same time.
N_CALLERS = 4
# Tokens of each answer.
MAX_TOKENS = 8
# Target for the latency that the agent adds, as a share of the bare proxy's latency.
TARGET_ADDED_SHARE = 0.25
# Target for the resident memory of the agent's process, in bytes.
TARGET_RESIDENT_BYTES = 64 * 1024 * 1024
# Fields of the body of each call, without the number of tokens.
BODY = {"model": "m1", "version": "1", "prompt": "bread for 9"}


class EnginePath(NamedTuple):
    """A path by which calls reach the engine.

    Parameters
    ----------
    name : str
        Label in the printed figures.
    port : int
        Port on loopback to which calls are sent.
    headers : list of (str, str)
        Headers that calls need on this path.
    """

    name: str
    port: int
    headers: list[tuple[str, str]]


@contextlib.contextmanager
def _run_processes(keeper_addr: str) -> Iterator[tuple[Cluster, list[EnginePath]]]:
    """Run engine, proxy and agent, and yield them with the paths to the engine."""
    engine_port, agent_port, proxy_port = free_port(), free_port(), free_port()
    engine_url = f"http://127.0.0.1:{engine_port}"
    with Cluster() as cluster:
        cluster.start(
            "engine",
            "standin",
            "--kind=engine",
            f"--listen=127.0.0.1:{engine_port}",
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
            f"--backend-url={engine_url}",
            f"--listen=127.0.0.1:{agent_port}",
        )
        proxy_command = [
            sys.executable,
            str(BARE_PROXY_FILE),
            str(proxy_port),
            str(engine_port),
        ]
        cluster.processes["bare"] = subprocess.Popen(proxy_command)
        token_headers = [("authorization", "Bearer cluster-secret")]
        yield (
            cluster,
            [
                EnginePath("direct", engine_port, []),
                EnginePath("bare hop", proxy_port, []),
                EnginePath(
                    "agent", agent_port, [*token_headers, ("x-cowslip-server", "s1")]
                ),
            ],
        )


async def _send_call(pool: Any, path: EnginePath, body: bytes) -> None:
    """Send a call and check that its answer is complete."""
    response = await pool.request(
        "POST",
        f"http://127.0.0.1:{path.port}/v1/completions",
        headers=[("host", "x"), *path.headers],
        content=body,
    )
    if response.status != 200 or not response.content.endswith(b"[DONE]\n\n"):
        raise RuntimeError(f"{path.name}: {response.status} {response.content[:200]}")


async def _measure_path(
    path: EnginePath, body: bytes, n_calls: int, latencies_us: HdrHistogram
) -> None:
    """Send calls by one path and record the latency of each in microseconds."""
    async with httpcore.AsyncConnectionPool(max_connections=N_CALLERS) as pool:

        async def send_calls() -> None:
            for _ in range(n_calls // N_CALLERS):
                started_s = time.perf_counter()
                await _send_call(pool, path, body)
                latencies_us.record_value(int((time.perf_counter() - started_s) * 1e6))

        async with anyio.create_task_group() as tasks:
            for _ in range(N_CALLERS):
                tasks.start_soon(send_calls)


def _read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


async def _run_benchmark() -> None:
    async with fake_keeper() as keeper:
        with _run_processes(keeper.addr) as (cluster, paths):
            await wait_until(
                lambda: keeper.report is not None, "the agent's first report"
            )
            model = DesiredModel("m1", "1", "model", "", 1_000)
            await keeper.assign(1, 1, model)
            await wait_until(lambda: keeper.is_ready("m1"), "the model")
            body = orjson.dumps({**BODY, "max_tokens": MAX_TOKENS})
            await _compare_paths(paths, body)
            resident_bytes = _read_resident_bytes(cluster.processes["agent"].pid)
            print(
                f"agent resident bytes {resident_bytes} target {TARGET_RESIDENT_BYTES}"
            )


async def _compare_paths(paths: list[EnginePath], body: bytes) -> None:
    """Measure all paths in turns and print their latencies."""
    latencies_us = {path.name: HdrHistogram(1, 60_000_000, 3) for path in paths}
    for path in paths:
        await _measure_path(path, body, N_WARM_UP_CALLS, HdrHistogram(1, 60_000_000, 3))
    for _ in range(N_ROUNDS):
        for path in paths:
            await _measure_path(path, body, N_CALLS, latencies_us[path.name])
    for name, histogram in latencies_us.items():
        p50_us, p95_us, p99_us = (
            histogram.get_value_at_percentile(percent) for percent in (50, 95, 99)
        )
        print(f"{name:9} p50 {p50_us} us  p95 {p95_us} us  p99 {p99_us} us")
    for percent in (50, 95):
        proxy_us = latencies_us["bare hop"].get_value_at_percentile(percent)
        agent_us = latencies_us["agent"].get_value_at_percentile(percent)
        added_share = agent_us / proxy_us - 1
        print(f"added at p{percent}: {added_share:.1%} target {TARGET_ADDED_SHARE:.0%}")


def main() -> None:
    """Run the benchmark and print its figures."""
    anyio.run(_run_benchmark)


if __name__ == "__main__":
    main()
