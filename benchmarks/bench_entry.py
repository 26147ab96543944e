"""Measures what the logic of entry and agent adds to two bare HTTP hops.

Run with ``python benchmarks/bench_entry.py``; it starts its own processes on
loopback and prints JSON. Both chains end at the same stand-ins, and their
requests alternate, so that the machine's load falls on both alike. The targets
are at most 25 % added latency and at most 64 MB resident for the entry.
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

SEED = 7
N_WARM = 100
N_REQUESTS = 1_000
N_TOKENS = 8
MAX_US = 60_000_000
PERCENTILES = (50, 95, 99)


def _listen(port: int) -> str:
    return f"--listen=127.0.0.1:{port}"


class Chains:
    """The system and the bare chain, before the same stand-ins."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        self.engine, self.service = free_port(), free_port()
        self.entry = free_port()
        self.bare_engine, self.bare_service = free_port(), free_port()
        self._hops: list[subprocess.Popen] = []

    def start(self) -> None:
        """Start every process and wait until both chains answer."""
        cluster = self._cluster
        cluster.start_keeper()
        times = ("--first-token-ms=0", "--between-tokens-ms=0")
        for kind, port in (("engine", self.engine), ("service", self.service)):
            flags = (f"--kind={kind}", _listen(port), *times)
            cluster.start(kind, "standin", *flags)
        keepers = ("--keepers", cluster.keepers)
        for server_id, port, flags in (
            ("s1", self.engine, ()),
            ("s2", self.service, ("--dialect=service", "--service-name=rosters")),
        ):
            cluster.start(
                f"agent-{server_id}",
                "agent",
                f"--server-id={server_id}",
                f"--backend-url=http://127.0.0.1:{port}",
                _listen(free_port()),
                *flags,
                *keepers,
            )
        cluster.start("entry", "entry", _listen(self.entry), *keepers)
        cluster.put(model_value("m1"))
        cluster.put(service_value("rosters"))
        self._start_hops(self.bare_engine, self.engine)
        self._start_hops(self.bare_service, self.service)
        ask = {"model": "m1", "prompt": "p", "max_tokens": 1}
        entry = self.entry
        wait_for(lambda: self._ok(entry, "/v1/completions", ask), "the engine")
        wait_for(lambda: self._ok(entry, "/services/rosters/x", {}), "the service")
        wait_for(lambda: self._ok(self.bare_service, "/x", {}), "the bare chain")

    def stop(self) -> None:
        """End the bare hops."""
        for hop in self._hops:
            hop.kill()
            hop.wait()

    def entry_resident_mb(self) -> float:
        """Return the entry's resident memory."""
        pid = self._cluster.processes["entry"].pid
        status = Path(f"/proc/{pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    def _ok(self, port: int, path: str, body: object) -> bool:
        return call(port, "POST", path, body)[0] == 200

    def _start_hops(self, first: int, last: int) -> None:
        middle = free_port()
        for listen, onward in ((middle, last), (first, middle)):
            arguments = [ROOT / "benchmarks" / "bare_hop.py", str(listen), str(onward)]
            self._hops.append(subprocess.Popen([sys.executable, *arguments]))


class Probe:
    """One kind of request through one chain, over one connection."""

    def __init__(self, port: int, path: str, body: dict):
        self._conn = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
        self._path = path
        self._body = json.dumps(body)
        self.first = HdrHistogram(1, MAX_US, 3)
        self.whole = HdrHistogram(1, MAX_US, 3)

    def run(self, record: bool) -> None:
        """Send one request and read its answer."""
        began = time.perf_counter()
        headers = {"content-type": "application/json"}
        self._conn.request("POST", self._path, self._body, headers)
        response = self._conn.getresponse()
        response.read1(1)
        first = time.perf_counter()
        rest = response.read()
        ended = time.perf_counter()
        if response.status != 200:
            raise AssertionError(f"status {response.status}: {rest[:300]!r}")
        if record:
            self.first.record_value(round((first - began) * 1e6))
            self.whole.record_value(round((ended - began) * 1e6))


def _percentiles(histogram: HdrHistogram) -> dict[str, int]:
    return {f"p{p}": histogram.get_value_at_percentile(p) for p in PERCENTILES}


def _compare(ours: Probe, bare: Probe) -> dict[str, object]:
    rng = random.Random(SEED)
    for i in range(N_WARM + N_REQUESTS):
        pair = [ours, bare]
        rng.shuffle(pair)
        for probe in pair:
            probe.run(i >= N_WARM)
    result: dict[str, object] = {}
    for name in ("first", "whole"):
        mine = _percentiles(getattr(ours, name))
        base = _percentiles(getattr(bare, name))
        added = {p: round(mine[p] / base[p] - 1, 3) for p in mine}
        result[name] = {"ours_us": mine, "bare_us": base, "added_share": added}
    return result


def main() -> None:
    """Run both comparisons and print the results."""
    with Cluster() as cluster:
        chains = Chains(cluster)
        try:
            chains.start()
            before_mb = chains.entry_resident_mb()
            body = {"family": 17}
            service = _compare(
                Probe(chains.entry, "/services/rosters/x", body),
                Probe(chains.bare_service, "/x", body),
            )
            ask = {"model": "m1", "prompt": "bread", "max_tokens": N_TOKENS}
            engine_ask = {**ask, "version": "1"}
            stream = _compare(
                Probe(chains.entry, "/v1/completions", {**ask, "stream": True}),
                Probe(chains.bare_engine, "/v1/completions", engine_ask),
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
