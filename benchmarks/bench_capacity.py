"""Measures processor time and memory of each role at four sizes, with a linear fit.

``python -m benchmarks.bench_capacity agents`` varies the number of agents that report
to one keeper and that one entry routes to; ``calls`` varies the rate of completions;
``tokens`` varies the number of tokens of each completion; ``claims`` varies the rate of
calls with an idempotency claim. Measured values, slopes and intercepts are printed as
JSON lines. Each step is bounded in the number of requests and in time, and uses only
the loopback interface.
"""

import json
import os
import statistics
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import anyio
import defopt
import httpcore
import orjson
from tests.builders import model_value, service_value
from tests.processes import Cluster, call, free_port, wait_for

from cowslipwood.agent._load_report import extract_load, remove_load
from cowslipwood.kernel.channel import Channel, open_channel
from cowslipwood.kernel.messages import AgentReport, Hello, Resident
from cowslipwood.kernel.settings import parse_address
from cowslipwood.kernel.wire import encode_frame

# Duration of the load in each step, in seconds.
LOAD_DURATION_S = 8.0
# Time in seconds between the first answer and the start of a measurement.
SETTLE_TIME_S = 1.5
# Numbers of agents that `agents` measures.
N_AGENTS = (20, 40, 80, 160)
# Rates in calls per second that `calls` and `claims` measure.
CALL_RATES_PER_S = (10, 20, 40, 80)
# Numbers of tokens per completion that `tokens` measures.
N_TOKENS_PER_CALL = (4, 16, 64, 128)
# Rate in completions per second while `tokens` varies their tokens.
TOKENS_MEASURE_RATE_PER_S = 10
# Tokens per completion while `calls` varies the rate.
CALLS_MEASURE_N_TOKENS = 16
# Interval in seconds between two reports of an agent.
REPORT_INTERVAL_S = 0.2
# Models that each simulated agent reports as resident.
N_RESIDENTS_PER_AGENT = 15
# Idle time in milliseconds after which a connection to the keeper counts as lost.
IDLE_TIMEOUT_MS = 60_000
# Unit of the processor times in ``/proc``, in ticks per second.
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """Processor time in seconds and resident memory in MB of a process."""

    cpu_s: float
    resident_mb: float


class Row(NamedTuple):
    """The measured values of one step.

    Parameters
    ----------
    size : float
        The varied number of agents, calls per second or tokens.
    values : dict of str to float
        Cores, MB and bytes per second, by name of role and unit.
    """

    size: float
    values: dict[str, float]


def read_usage(pid: int) -> Usage:
    """Return the processor time and resident memory of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    words = Path(f"/proc/{pid}/status").read_text().split()
    resident_kb = int(words[words.index("VmRSS:") + 1])
    return Usage(ticks / TICKS_PER_S, resident_kb / 1000)


def measure_usage(
    cluster: Cluster, names: Sequence[str], work: Callable[[], None]
) -> dict:
    """Return the cores and memory that processes use while `work` runs."""
    pids = {name: cluster.processes[name].pid for name in names}
    before = {name: read_usage(pid) for name, pid in pids.items()}
    start_s = time.monotonic()
    work()
    elapsed_s = time.monotonic() - start_s
    values = {}
    for name, pid in pids.items():
        after = read_usage(pid)
        values[f"{name}_cores"] = (after.cpu_s - before[name].cpu_s) / elapsed_s
        values[f"{name}_mb"] = after.resident_mb
    return values


def print_rows(name: str, rows: Sequence[Row]) -> None:
    """Print the rows of a measure, then the linear fit of each value."""
    for row in rows:
        rounded_values = {key: round(value, 5) for key, value in row.values.items()}
        print(json.dumps({"measure": name, "size": row.size, **rounded_values}))
    sizes = [row.size for row in rows]
    for key in rows[0].values:
        fit = statistics.linear_regression(sizes, [row.values[key] for row in rows])
        print(
            json.dumps(
                {
                    "measure": name,
                    "value": key,
                    "slope": float(f"{fit.slope:.4g}"),
                    "intercept": float(f"{fit.intercept:.4g}"),
                }
            ),
            flush=True,
        )


def _make_fake_report(number: int, n_in_flight: int) -> AgentReport:
    fields = {
        "server_id": f"fake-{number}",
        "incarnation": "i",
        "zone": f"zone-{number % 3}",
        "http_addr": "127.0.0.1:9",
        "kind": "engine",
        "capacity_bytes": 16 * 10**9,
        "n_in_flight": n_in_flight,
        "knee_in_flight": 16,
        "residents": tuple(
            Resident(f"model-{(number * 7 + i) % 430}", "1", "ready", 10**9)
            for i in range(N_RESIDENTS_PER_AGENT)
        ),
    }
    blank_by_type = {str: "", int: 0, bool: False, float: 0.0}
    hints = AgentReport.__annotations__
    return AgentReport(
        *(
            fields.get(name, blank_by_type.get(hints[name], ()))
            for name in AgentReport._fields
        )
    )


class FakeAgents:
    """Simulated agents, which report to a keeper and count the bytes exchanged."""

    def __init__(self, address: str, n_agents: int):
        self._address = address
        self._n_agents = n_agents
        self.sent_bytes = 0
        self.received_bytes = 0

    def run(self) -> None:
        """Report for ``LOAD_DURATION_S`` seconds."""
        anyio.run(self._run)

    async def _run(self) -> None:
        with anyio.move_on_after(LOAD_DURATION_S):
            async with anyio.create_task_group() as tasks:
                for number in range(self._n_agents):
                    tasks.start_soon(self._run_agent, number)

    async def _run_agent(self, number: int) -> None:
        opened = await open_channel(*parse_address(self._address), IDLE_TIMEOUT_MS)
        channel: Channel = opened.unwrap()
        last_stable_fields = None
        hello = Hello("agent", f"fake-{number}", "i", "zone-1", "cluster-secret")
        await channel.send(hello)
        await channel.receive()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channel.run, self._count_received)
            report_number = 0
            while True:
                report_number += 1
                report = _make_fake_report(number, (number + report_number) % 16)
                stable_fields = remove_load(report)
                message = (
                    extract_load(report)
                    if stable_fields == last_stable_fields
                    else report
                )
                last_stable_fields = stable_fields
                self.sent_bytes += len(encode_frame(message))
                await channel.send(message)
                await anyio.sleep(REPORT_INTERVAL_S)

    async def _count_received(self, value: object) -> None:
        self.received_bytes += len(encode_frame(value))


def _measure_agents(n_agents: int) -> Row:
    with Cluster() as cluster:
        cluster.start_keeper()
        for number in range(10):
            cluster.put(model_value(f"model-{number}"))
        _start_entry(cluster)
        fake_agents = FakeAgents(cluster.keepers, n_agents)
        values = measure_usage(cluster, ("keeper", "entry"), fake_agents.run)
        values["agent_sent_bytes_per_s"] = (
            fake_agents.sent_bytes / LOAD_DURATION_S / n_agents
        )
        values["agent_received_bytes_per_s"] = (
            fake_agents.received_bytes / LOAD_DURATION_S / n_agents
        )
        return Row(n_agents, values)


def _start_entry(cluster: Cluster) -> int:
    port = free_port()
    cluster.start(
        "entry", "entry", f"--listen=127.0.0.1:{port}", f"--keepers={cluster.keepers}"
    )
    wait_for(lambda: call(port, "GET", "/v1/models")[0] == 200, "the entry")
    return port


def _start_serving_processes(cluster: Cluster, kind: str, *flags: str) -> int:
    """Start a keeper, a stand-in backend with its agent, and an entry."""
    cluster.start_keeper()
    backend, agent = free_port(), free_port()
    cluster.start(
        "standin", "standin", f"--kind={kind}", f"--listen=127.0.0.1:{backend}"
    )
    cluster.start(
        "agent",
        "agent",
        "--server-id=s1",
        f"--backend-url=http://127.0.0.1:{backend}",
        f"--listen=127.0.0.1:{agent}",
        f"--keepers={cluster.keepers}",
        *flags,
    )
    return _start_entry(cluster)


class OpenLoopGenerator:
    """Generates requests at a constant rate without waiting for answers."""

    def __init__(self, port: int, path: str, rate_per_s: float):
        self._url = f"http://127.0.0.1:{port}{path}"
        self._rate_per_s = rate_per_s
        self.n_answered = 0
        self.n_failed = 0

    def run(self, body: dict, has_key: bool = False) -> None:
        """Send requests for ``LOAD_DURATION_S`` seconds."""
        anyio.run(self._run, body, has_key)

    async def _run(self, body: dict, has_key: bool) -> None:
        start_s = time.monotonic()
        n_requests = int(LOAD_DURATION_S * self._rate_per_s)
        async with httpcore.AsyncConnectionPool(max_connections=512) as pool:
            async with anyio.create_task_group() as tasks:
                for number in range(n_requests):
                    at_s = start_s + number / self._rate_per_s
                    await anyio.sleep(max(0.0, at_s - time.monotonic()))
                    key = f"key-{number}" if has_key else ""
                    tasks.start_soon(self._send_request, pool, body, key)

    async def _send_request(
        self, pool: httpcore.AsyncConnectionPool, body: dict, key: str
    ) -> None:
        headers = {"idempotency-key": key} if key else {}
        response = await pool.request(
            "POST", self._url, headers=headers, content=orjson.dumps(body)
        )
        if response.status == 200:
            self.n_answered += 1
        else:
            self.n_failed += 1


def _measure_completions(rate_per_s: float, n_tokens: int) -> dict[str, float]:
    with Cluster() as cluster:
        port = _start_serving_processes(cluster, "engine")
        cluster.put(model_value("m1"))
        request = {"model": "m1", "prompt": "a b c", "max_tokens": n_tokens}
        wait_for(lambda: call(port, "POST", "/v1/completions", request)[0] == 200, "m1")
        time.sleep(SETTLE_TIME_S)
        generator = OpenLoopGenerator(port, "/v1/completions", rate_per_s)
        body = {**request, "stream": True}
        values = measure_usage(cluster, ("entry", "agent"), lambda: generator.run(body))
        return {
            **values,
            "failed_share": generator.n_failed / (LOAD_DURATION_S * rate_per_s),
        }


def _measure_claims(rate_per_s: float) -> Row:
    with Cluster() as cluster:
        flags = ("--dialect=service", "--service-name=deliveries")
        port = _start_serving_processes(cluster, "service", *flags)
        cluster.put(service_value("deliveries", repeatable=False))
        path = "/services/deliveries/record"
        wait_for(lambda: call(port, "POST", path, {})[0] == 200, "the service")
        time.sleep(SETTLE_TIME_S)
        keeper_mb_before = read_usage(cluster.processes["keeper"].pid).resident_mb
        generator = OpenLoopGenerator(port, path, rate_per_s)
        names = ("keeper", "entry", "agent")
        values = measure_usage(
            cluster, names, lambda: generator.run({"meal": 1}, has_key=True)
        )
        values["keeper_grown_mb"] = values["keeper_mb"] - keeper_mb_before
        values["failed_share"] = generator.n_failed / (LOAD_DURATION_S * rate_per_s)
        return Row(rate_per_s, values)


def agents() -> None:
    """Vary the number of agents that report to one keeper."""
    print_rows("agents", [_measure_agents(n) for n in N_AGENTS])


def calls() -> None:
    """Vary the rate of completions through one entry and one agent."""
    rows = [
        Row(rate, _measure_completions(rate, CALLS_MEASURE_N_TOKENS))
        for rate in CALL_RATES_PER_S
    ]
    print_rows("calls", rows)


def tokens() -> None:
    """Vary the number of tokens per completion at a constant rate."""
    rows = [
        Row(n, _measure_completions(TOKENS_MEASURE_RATE_PER_S, n))
        for n in N_TOKENS_PER_CALL
    ]
    print_rows("tokens", rows)


def claims() -> None:
    """Vary the rate of calls with a claim, through keeper, entry and agent."""
    print_rows("claims", [_measure_claims(rate) for rate in CALL_RATES_PER_S])


if __name__ == "__main__":
    defopt.run([agents, calls, tokens, claims])
