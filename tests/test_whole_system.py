"""Three keepers, two entries, two engines and a service, restarted and cut."""

import json
import re
import signal
import threading
import unittest
from typing import Any

from cowslipwood.standins.engine import expected_text

from .builders import model_value, service_value
from .keepers import KeeperCluster
from .processes import call, free_port, wait_for

N_TOKENS = 60
TOKEN_MS = 10
N_BEFORE_BREAK = 50
FIRST_TOKEN_MS = 300
N_CALLERS = 4
N_EDITS = 500
PROMPT = "the evening round to the north"


class WholeCluster(KeeperCluster):
    """Every process of a small installation; a context manager."""

    def __init__(self, *keeper_flags: str):
        super().__init__(*keeper_flags)
        self.ports = {
            name: free_port() for name in (*self.back_ends, *self.agents, *self.entries)
        }

    back_ends = ("engine-1", "engine-2", "service-1")
    agents = ("agent-1", "agent-2", "agent-3")
    entries = ("entry-1", "entry-2")

    def start_whole(self) -> None:
        """Start everything with one model and one service, and wait for both."""
        self.start_all()
        for name in (*self.back_ends, *self.agents, *self.entries):
            self.start_named(name)
        self.put(model_value("m1"))
        self.put(service_value("rosters"))
        for entry in self.entries:
            wait_for(lambda e=entry: self.complete(e)[0] == 200, "a replica")
            wait_for(lambda e=entry: self.roster(e)[0] == 200, "the service")

    def start_named(self, name: str) -> None:
        """Start one process, again after it ended or for the first time."""
        kind, _, number = name.partition("-")
        listen = f"--listen=127.0.0.1:{self.ports[name]}"
        match kind:
            case "engine" | "service":
                speed = ("--first-token-ms=5", f"--between-tokens-ms={TOKEN_MS}")
                self.start(name, "standin", f"--kind={kind}", listen, *speed)
            case "agent":
                back_end = self.back_ends[int(number) - 1]
                flags = [f"--backend-url=http://127.0.0.1:{self.ports[back_end]}"]
                if back_end.startswith("service"):
                    flags += ["--dialect=service", "--service-name=rosters"]
                flags += [f"--zone=zone-{number}", f"--keepers={self.keepers}"]
                self.start(name, "agent", f"--server-id=s{number}", listen, *flags)
            case "entry":
                self.start(name, "entry", listen, f"--keepers={self.keepers}")

    def complete(self, entry: str, n_tokens: int = 2) -> tuple:
        """Ask an entry for a stream."""
        ask = {"model": "m1", "prompt": PROMPT, "max_tokens": n_tokens, "stream": True}
        return call(self.ports[entry], "POST", "/v1/completions", ask)

    def roster(self, entry: str) -> tuple:
        """Call the service through an entry."""
        return call(self.ports[entry], "POST", "/services/rosters/x", {"day": 3})

    def restart(self, name: str) -> int:
        """Stop a process by SIGTERM, start it again and return its exit status."""
        self.signal(name, signal.SIGTERM)
        status = self.processes[name].wait(timeout=60)
        if name in self.addresses:
            self.start_one(name)
        else:
            self.start_named(name)
        return status


def _text(body: bytes) -> str:
    events = body.decode().strip().split("\n\n")
    if events[-1] != "data: [DONE]":
        return f"no end: {events[-1]}"
    values = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
    return "".join(c.get("text") or "" for v in values for c in v["choices"])


class TestRollingRestart(unittest.TestCase):
    """A planned stop of each process in turn, under streams."""

    def test_nothing_is_cut(self):
        """While every process is restarted once, each stream ends whole."""
        with WholeCluster() as cluster:
            cluster.start_whole()
            endings: list[str] = []
            stop = threading.Event()
            callers = [
                threading.Thread(target=self._call, args=(cluster, n, stop, endings))
                for n in range(N_CALLERS)
            ]
            for caller in callers:
                caller.start()
            try:
                for name in (*cluster.entries, *cluster.agents, *cluster.addresses):
                    self._restart(cluster, name)
            finally:
                stop.set()
                for caller in callers:
                    caller.join()
            self.assertEqual(set(endings), {"whole"})

    def _restart(self, cluster: WholeCluster, name: str) -> None:
        self.assertEqual(cluster.restart(name), 0, name)
        for entry in cluster.entries:
            wait_for(lambda e=entry: cluster.complete(e)[0] == 200, f"{name} back")
        if name in cluster.agents:
            wait_for(lambda: self._n_ready(cluster, name), f"{name} to report")
        if name in cluster.addresses:
            cluster.leader()
            wait_for(lambda: len(cluster.voters()) == 3, "three voters")

    def _n_ready(self, cluster: WholeCluster, agent: str) -> bool:
        status = json.loads(cluster.ctl("status", "--json").stdout or "{}")
        server_id = "s" + agent.partition("-")[2]
        servers = [s["server_id"] for s in status.get("servers", ())]
        return server_id in servers and len(servers) == len(cluster.agents)

    def _call(
        self,
        cluster: WholeCluster,
        number: int,
        stop: threading.Event,
        endings: list[str],
    ) -> None:
        """Ask for streams; a caller refused as not run goes to the other entry."""
        turn = number
        while not stop.is_set():
            entry = cluster.entries[turn % len(cluster.entries)]
            turn += 1
            try:
                status, headers, body = cluster.complete(entry, N_TOKENS)
            except ConnectionRefusedError:
                continue
            if headers.get("x-cowslip-outcome") == "not-run":
                stop.wait(0.05)
                continue
            whole = _text(body) == expected_text(PROMPT, N_TOKENS)
            endings.append("whole" if status == 200 and whole else f"{status} {body}")


class TestDrainedService(unittest.TestCase):
    """An operator's drain of a plain service's server."""

    def test_its_own_agent_refuses(self):
        """A drained service's agent refuses calls, also from an entry that lags."""
        with WholeCluster() as cluster:
            cluster.start_whole()
            self.assertEqual(cluster.ctl("drain", "s3").returncode, 0)
            headers = {
                "authorization": "Bearer cluster-secret",
                "x-cowslip-server": "s3",
            }
            port = cluster.ports["agent-3"]

            def is_refused() -> bool:
                _, _, body = call(port, "POST", "/x", {}, headers)
                return json.loads(body).get("error", {}).get("name") == "AGENT_LEAVING"

            wait_for(is_refused, "the refusal")
            self.assertEqual(cluster.roster("entry-1")[0], 503)


class TestBrokenStreams(unittest.TestCase):
    """An engine that breaks off in the middle of streams."""

    def test_goes_on_elsewhere(self):
        """A stream broken after its first-token limit goes on at the other engine."""
        with WholeCluster("--move-weight=0") as cluster:
            cluster.start_whole()
            limits = {"first_token_ms": FIRST_TOKEN_MS}
            cluster.put(model_value("m1", limits=limits))
            wait_for(lambda: self._n_ready(cluster) == 2, "two replicas")
            fault = {"fail_streams": 1, "fail_after_tokens": N_BEFORE_BREAK}
            call(cluster.ports["engine-1"], "POST", "/standin/fault", fault)
            wait_for(lambda: self._resumed(cluster), "a resumed stream")

    def _resumed(self, cluster: WholeCluster) -> bool:
        """Ask for a whole stream; return whether any stream was resumed so far."""
        _, _, body = cluster.complete("entry-1", N_TOKENS)
        self.assertEqual(_text(body), expected_text(PROMPT, N_TOKENS))
        return self._n_resumed(cluster) > 0

    def _n_ready(self, cluster: WholeCluster) -> int:
        status = json.loads(cluster.ctl("status", "--json").stdout)
        models = [m for s in status["servers"] for m in s["models"]]
        return sum(m["name"] == "m1" and m["state"] == "ready" for m in models)

    def _n_resumed(self, cluster: WholeCluster) -> float:
        text = call(cluster.ports["entry-1"], "GET", "/metrics")[2].decode()
        found = re.search(r"^cowslip_entry_resumes_total ([0-9.]+)$", text, re.M)
        return float(found.group(1)) if found else 0.0


class TestWithoutKeepers(unittest.TestCase):
    """Entries and agents while no keeper runs."""

    def test_goes_on_and_catches_up(self):
        """Calls are served without keepers; edits made in absence reach everyone."""
        with WholeCluster() as cluster:
            cluster.start_whole()
            cluster.stop_all()
            for entry in cluster.entries:
                self.assertEqual(cluster.complete(entry)[0], 200)
                self.assertEqual(cluster.roster(entry)[0], 200)
            for name in cluster.addresses:
                cluster.start_one(name)
            cluster.leader()
            for name in ("agent-1", "entry-1"):
                cluster.kill(name)
            cluster.put_many([f"n{place}" for place in range(N_EDITS)])
            for name in ("agent-1", "entry-1"):
                cluster.start_named(name)
            last = cluster.put(model_value("last"))["revision"]
            wait_for(lambda: self._in_force(cluster, last), "the edits everywhere")

    def _in_force(self, cluster: WholeCluster, revision: int) -> Any:
        status = json.loads(cluster.ctl("status", "--json").stdout or "{}")
        held = [
            item["revision"] for kind in ("servers", "entries") for item in status[kind]
        ]
        n_processes = len(cluster.agents) + len(cluster.entries)
        return len(held) == n_processes and set(held) == {revision}
