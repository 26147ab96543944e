"""Measures the latency that entry and agent add, compared with two bare HTTP proxies.

Run with ``python benchmarks/bench_entry.py``; it starts its own processes on
the loopback interface and prints JSON. Both chains end at the same stand-in backends.
Their requests alternate, so that other load on the machine affects both equally. The
targets are at most 25 % added latency and at most 64 MB resident memory of the entry.
"""

import http.client
import json
import random
import subprocess
import sys
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.builders import model_value, service_value  # noqa: E402
from tests.processes import Cluster, call, free_port, wait_for  # noqa: E402

# Seed of the order in which the two chains get their requests.
SEED = 7
# Requests through each chain before those that are measured.
N_WARM_UP = 100
# Measured requests through each chain.
N_REQUESTS = 1_000
# Tokens of each streamed completion.
N_TOKENS = 8
# Largest latency that is recorded, in microseconds.
MAX_US = 60_000_000
PERCENTILES = (50, 95, 99)


def _make_listen_flag(port: int) -> str:
    return f"--listen=127.0.0.1:{port}"


class BenchmarkChains:
    """The chain of entry and agent, and the bare chain, to the same stand-ins."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        self.engine_port, self.service_port = free_port(), free_port()
        self.entry_port = free_port()
        self.bare_engine_port, self.bare_service_port = free_port(), free_port()
        self._hop_processes: list[subprocess.Popen] = []

    def start(self) -> None:
        """Start every process and wait until both chains answer."""
        cluster = self._cluster
        cluster.start_keeper()
        times = ("--first-token-ms=0", "--between-tokens-ms=0")
        for kind, port in (
            ("engine", self.engine_port),
            ("service", self.service_port),
        ):
            flags = (f"--kind={kind}", _make_listen_flag(port), *times)
            cluster.start(kind, "standin", *flags)
        keepers = ("--keepers", cluster.keepers)
        for server_id, port, flags in (
            ("s1", self.engine_port, ()),
            ("s2", self.service_port, ("--dialect=service", "--service-name=rosters")),
        ):
            cluster.start(
                f"agent-{server_id}",
                "agent",
                f"--server-id={server_id}",
                f"--backend-url=http://127.0.0.1:{port}",
                _make_listen_flag(free_port()),
                *flags,
                *keepers,
            )
        cluster.start("entry", "entry", _make_listen_flag(self.entry_port), *keepers)
        cluster.put(model_value("m1"))
        cluster.put(service_value("rosters"))
        self._start_bare_chain(self.bare_engine_port, self.engine_port)
        self._start_bare_chain(self.bare_service_port, self.service_port)
        completion = {"model": "m1", "prompt": "p", "max_tokens": 1}
        entry_port = self.entry_port
        wait_for(
            lambda: self._answers_ok(entry_port, "/v1/completions", completion),
            "the engine",
        )
        wait_for(
            lambda: self._answers_ok(entry_port, "/services/rosters/x", {}),
            "the service",
        )
        wait_for(
            lambda: self._answers_ok(self.bare_service_port, "/x", {}), "the bare chain"
        )

    def stop(self) -> None:
        """Stop the processes of the bare chain."""
        for hop in self._hop_processes:
            hop.kill()
            hop.wait()

    def entry_resident_mb(self) -> float:
        """Return the resident memory of the entry."""
        pid = self._cluster.processes["entry"].pid
        status = Path(f"/proc/{pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    def _answers_ok(self, port: int, path: str, body: object) -> bool:
        return call(port, "POST", path, body)[0] == 200

    def _start_bare_chain(self, first_port: int, last_port: int) -> None:
        middle_port = free_port()
        for listen_port, next_port in (
            (middle_port, last_port),
            (first_port, middle_port),
        ):
            arguments = [
                ROOT / "benchmarks" / "bare_hop.py",
                str(listen_port),
                str(next_port),
            ]
            self._hop_processes.append(subprocess.Popen([sys.executable, *arguments]))


class ChainProbe:
    """Sends one kind of request through one chain, over one connection.

    Records the latencies of the first byte and of the whole response in microseconds.
    """

    def __init__(self, port: int, path: str, body: dict):
        self._connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
        self._path = path
        self._body = json.dumps(body)
        self.first = HdrHistogram(1, MAX_US, 3)
        self.whole = HdrHistogram(1, MAX_US, 3)

    def run(self, is_recorded: bool) -> None:
        """Send a request, read the whole response, and record its latency if asked."""
        start_s = time.perf_counter()
        headers = {"content-type": "application/json"}
        self._connection.request("POST", self._path, self._body, headers)
        response = self._connection.getresponse()
        response.read1(1)
        first_byte_s = time.perf_counter()
        rest = response.read()
        end_s = time.perf_counter()
        if response.status != 200:
            raise AssertionError(f"status {response.status}: {rest[:300]!r}")
        if is_recorded:
            self.first.record_value(round((first_byte_s - start_s) * 1e6))
            self.whole.record_value(round((end_s - start_s) * 1e6))


def _percentiles(histogram: HdrHistogram) -> dict[str, int]:
    return {f"p{p}": histogram.get_value_at_percentile(p) for p in PERCENTILES}


def _compare_chains(product: ChainProbe, bare: ChainProbe) -> dict[str, object]:
    rng = random.Random(SEED)
    for number in range(N_WARM_UP + N_REQUESTS):
        pair = [product, bare]
        rng.shuffle(pair)
        for probe in pair:
            probe.run(number >= N_WARM_UP)
    result: dict[str, object] = {}
    for name in ("first", "whole"):
        product_us = _percentiles(getattr(product, name))
        bare_us = _percentiles(getattr(bare, name))
        added_share = {p: round(product_us[p] / bare_us[p] - 1, 3) for p in product_us}
        result[name] = {
            "ours_us": product_us,
            "bare_us": bare_us,
            "added_share": added_share,
        }
    return result


def main() -> None:
    """Compare the chains for a service and for streams, and print the results."""
    with Cluster() as cluster:
        chains = BenchmarkChains(cluster)
        try:
            chains.start()
            before_mb = chains.entry_resident_mb()
            body = {"family": 17}
            service = _compare_chains(
                ChainProbe(chains.entry_port, "/services/rosters/x", body),
                ChainProbe(chains.bare_service_port, "/x", body),
            )
            completion = {"model": "m1", "prompt": "bread", "max_tokens": N_TOKENS}
            engine_completion = {**completion, "version": "1"}
            stream = _compare_chains(
                ChainProbe(
                    chains.entry_port, "/v1/completions", {**completion, "stream": True}
                ),
                ChainProbe(
                    chains.bare_engine_port, "/v1/completions", engine_completion
                ),
            )
            after_mb = chains.entry_resident_mb()
        finally:
            chains.stop()
    results = {
        "seed": SEED,
        "n_requests": N_REQUESTS,
        "service": service,
        "stream_of_8_tokens": stream,
        "entry_resident_mb": {"start": before_mb, "end": after_mb},
    }
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
