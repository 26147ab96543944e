"""A small system of separate processes under restarts, failures and drains.

It has three keepers, two entries, two engines and a service, each with an agent.
"""

import json
import re
import signal
import threading
import unittest
from typing import Any

from cowslipwood.standins.engine import make_expected_text

from .builders import model_value, service_value
from .keepers import KeeperCluster
from .processes import call, free_port, wait_for

# Length of the streams that run during a restart or a failure.
N_TOKENS = 60
# Time between two tokens of an engine, so that such a stream takes 600 ms.
BETWEEN_TOKENS_MS = 10
# Number of tokens after which the faulty engine ends its stream; at 10 ms each, that is
# later than `FIRST_TOKEN_MS`.
N_TOKENS_BEFORE_BREAK = 50
# The model's limit for the first token in the test of a broken stream.
FIRST_TOKEN_MS = 300
N_CALLERS = 4
# Number of edits that are made while an agent and an entry are stopped.
N_EDITS = 500
PROMPT = "the evening round to the north"


class SystemCluster(KeeperCluster):
    """Every process of the small system; a context manager."""

    def __init__(self, *keeper_flags: str):
        super().__init__(*keeper_flags)
        self.ports = {
            name: free_port() for name in (*self.backends, *self.agents, *self.entries)
        }

    backends = ("engine-1", "engine-2", "service-1")
    agents = ("agent-1", "agent-2", "agent-3")
    entries = ("entry-1", "entry-2")

    def start_system(self) -> None:
        """Start every process, put a model and a service, and wait for answers."""
        self.start_all()
        for name in (*self.backends, *self.agents, *self.entries):
            self.start_process(name)
        self.put(model_value("m1"))
        self.put(service_value("rosters"))
        for entry in self.entries:
            wait_for(lambda e=entry: self.request_stream(e)[0] == 200, "a replica")
            wait_for(lambda e=entry: self.call_service(e)[0] == 200, "the service")

    def start_process(self, name: str) -> None:
        """Start one process, for the first time or after it has ended."""
        kind, _, number = name.partition("-")
        listen = f"--listen=127.0.0.1:{self.ports[name]}"
        match kind:
            case "engine" | "service":
                speed = (
                    "--first-token-ms=5",
                    f"--between-tokens-ms={BETWEEN_TOKENS_MS}",
                )
                self.start(name, "standin", f"--kind={kind}", listen, *speed)
            case "agent":
                backend = self.backends[int(number) - 1]
                flags = [f"--backend-url=http://127.0.0.1:{self.ports[backend]}"]
                if backend.startswith("service"):
                    flags += ["--dialect=service", "--service-name=rosters"]
                flags += [f"--zone=zone-{number}", f"--keepers={self.keepers}"]
                self.start(name, "agent", f"--server-id=s{number}", listen, *flags)
            case "entry":
                self.start(name, "entry", listen, f"--keepers={self.keepers}")

    def request_stream(self, entry: str, n_tokens: int = 2) -> tuple:
        """Request a stream from an entry; return its status, headers and body."""
        body = {"model": "m1", "prompt": PROMPT, "max_tokens": n_tokens, "stream": True}
        return call(self.ports[entry], "POST", "/v1/completions", body)

    def call_service(self, entry: str) -> tuple:
        """Call the service through an entry; return its status, headers and body."""
        return call(self.ports[entry], "POST", "/services/rosters/x", {"day": 3})

    def restart_process(self, name: str) -> int:
        """Stop a process with SIGTERM, start it again and return its exit status."""
        self.signal(name, signal.SIGTERM)
        status = self.processes[name].wait(timeout=60)
        if name in self.addresses:
            self.start_one(name)
        else:
            self.start_process(name)
        return status


def _read_text(body: bytes) -> str:
    events = body.decode().strip().split("\n\n")
    if events[-1] != "data: [DONE]":
        return f"no end: {events[-1]}"
    values = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
    return "".join(
        choice.get("text") or "" for value in values for choice in value["choices"]
    )


class TestRollingRestart(unittest.TestCase):
    """A planned restart of one process after another while streams run."""

    def test_streams_stay_complete(self):
        """Each stream is complete while each entry, agent and keeper is restarted."""
        with SystemCluster() as cluster:
            cluster.start_system()
            results: list[str] = []
            stop = threading.Event()
            callers = [
                threading.Thread(
                    target=self._send_requests, args=(cluster, n, stop, results)
                )
                for n in range(N_CALLERS)
            ]
            for caller in callers:
                caller.start()
            try:
                for name in (*cluster.entries, *cluster.agents, *cluster.addresses):
                    self._restart_and_wait(cluster, name)
            finally:
                stop.set()
                for caller in callers:
                    caller.join()
            self.assertEqual(set(results), {"whole"})

    def _restart_and_wait(self, cluster: SystemCluster, name: str) -> None:
        self.assertEqual(cluster.restart_process(name), 0, name)
        for entry in cluster.entries:
            wait_for(
                lambda e=entry: cluster.request_stream(e)[0] == 200, f"{name} back"
            )
        if name in cluster.agents:
            wait_for(
                lambda: self._are_agents_listed(cluster, name), f"{name} to report"
            )
        if name in cluster.addresses:
            cluster.leader()
            wait_for(lambda: len(cluster.voters()) == 3, "three voters")

    def _are_agents_listed(self, cluster: SystemCluster, agent: str) -> bool:
        status = json.loads(cluster.ctl("status", "--json").stdout or "{}")
        server_id = "s" + agent.partition("-")[2]
        servers = [server["server_id"] for server in status.get("servers", ())]
        return server_id in servers and len(servers) == len(cluster.agents)

    def _send_requests(
        self,
        cluster: SystemCluster,
        number: int,
        stop: threading.Event,
        results: list[str],
    ) -> None:
        """Request streams until `stop` is set and record whether each is complete.

        A request that is refused with the outcome ``not-run`` goes to the other entry.
        """
        index = number
        while not stop.is_set():
            entry = cluster.entries[index % len(cluster.entries)]
            index += 1
            try:
                status, headers, body = cluster.request_stream(entry, N_TOKENS)
            except ConnectionRefusedError:
                continue
            if headers.get("x-cowslip-outcome") == "not-run":
                stop.wait(0.05)
                continue
            is_whole = _read_text(body) == make_expected_text(PROMPT, N_TOKENS)
            results.append(
                "whole" if status == 200 and is_whole else f"{status} {body}"
            )


class TestDrainedService(unittest.TestCase):
    """An operator drains the server of a plain service."""

    def test_agent_refuses_calls(self):
        """The agent of a drained server refuses calls itself.

        An entry that does not know of the drain yet could still send it calls.
        """
        with SystemCluster() as cluster:
            cluster.start_system()
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
            self.assertEqual(cluster.call_service("entry-1")[0], 503)


class TestBrokenStreams(unittest.TestCase):
    """An engine that ends its connection in the middle of a stream."""

    def test_stream_is_resumed(self):
        """A stream that breaks after its first-token limit is resumed elsewhere."""
        with SystemCluster("--move-weight=0") as cluster:
            cluster.start_system()
            limits = {"first_token_ms": FIRST_TOKEN_MS}
            cluster.put(model_value("m1", limits=limits))
            wait_for(lambda: self._count_ready(cluster) == 2, "two replicas")
            fault = {"fail_streams": 1, "fail_after_tokens": N_TOKENS_BEFORE_BREAK}
            call(cluster.ports["engine-1"], "POST", "/standin/fault", fault)
            wait_for(lambda: self._has_resumed_stream(cluster), "a resumed stream")

    def _has_resumed_stream(self, cluster: SystemCluster) -> bool:
        """Check that a stream is complete; return whether any has been resumed."""
        _, _, body = cluster.request_stream("entry-1", N_TOKENS)
        self.assertEqual(_read_text(body), make_expected_text(PROMPT, N_TOKENS))
        return self._count_resumed(cluster) > 0

    def _count_ready(self, cluster: SystemCluster) -> int:
        status = json.loads(cluster.ctl("status", "--json").stdout)
        models = [model for server in status["servers"] for model in server["models"]]
        return sum(
            model["name"] == "m1" and model["state"] == "ready" for model in models
        )

    def _count_resumed(self, cluster: SystemCluster) -> float:
        text = call(cluster.ports["entry-1"], "GET", "/metrics")[2].decode()
        found = re.search(r"^cowslip_entry_resumes_total ([0-9.]+)$", text, re.M)
        return float(found.group(1)) if found else 0.0


class TestWithoutKeepers(unittest.TestCase):
    """Entries and agents while all keepers are stopped."""

    def test_calls_are_served_and_edits_arrive(self):
        """Calls are served without keepers; restarted processes get missed edits."""
        with SystemCluster() as cluster:
            cluster.start_system()
            cluster.stop_all()
            for entry in cluster.entries:
                self.assertEqual(cluster.request_stream(entry)[0], 200)
                self.assertEqual(cluster.call_service(entry)[0], 200)
            for name in cluster.addresses:
                cluster.start_one(name)
            cluster.leader()
            for name in ("agent-1", "entry-1"):
                cluster.kill(name)
            cluster.put_many([f"n{place}" for place in range(N_EDITS)])
            for name in ("agent-1", "entry-1"):
                cluster.start_process(name)
            last_revision = cluster.put(model_value("last"))["revision"]
            wait_for(
                lambda: self._is_in_force(cluster, last_revision),
                "the edits everywhere",
            )

    def _is_in_force(self, cluster: SystemCluster, revision: int) -> Any:
        status = json.loads(cluster.ctl("status", "--json").stdout or "{}")
        revisions = [
            item["revision"] for kind in ("servers", "entries") for item in status[kind]
        ]
        n_processes = len(cluster.agents) + len(cluster.entries)
        return len(revisions) == n_processes and set(revisions) == {revision}
