"""Claimed requests over real processes that are killed, frozen and restarted."""

import json
import signal
import threading
import unittest
from typing import Any

from .builders import service_value
from .processes import Cluster, call, free_port, wait_for

BODY = {"family": 12, "meals": 3}
SLOW_MS = 1_500


class ClaimsCluster(Cluster):
    """A keeper, two entries, and agents beside stand-ins of ``deliveries``."""

    def __init__(self, n_agents: int = 1, answer_ms: int = 5, **keeper_flags: int):
        super().__init__()
        self.keeper_port = free_port()
        self.keepers = f"127.0.0.1:{self.keeper_port}"
        self.entry_ports = [free_port(), free_port()]
        self.agent_ports = [free_port() for _ in range(n_agents)]
        self.service_ports = [free_port() for _ in range(n_agents)]
        self._answer_ms = answer_ms
        self._keeper_flags = [
            f"--{name.replace('_', '-')}={value}"
            for name, value in keeper_flags.items()
        ]

    def __enter__(self) -> "ClaimsCluster":
        """Start every process and wait until the entries can serve."""
        self.start_keeper()
        for n, port in enumerate(self.service_ports):
            self.start(
                f"service-{n}",
                "standin",
                "--kind=service",
                f"--listen=127.0.0.1:{port}",
                f"--first-token-ms={self._answer_ms}",
            )
            self.start_agent(n)
        for n in range(2):
            self.start_entry(n)
        wait_for(
            lambda: self.put(service_value("deliveries", repeatable=False)), "keeper"
        )
        for n in range(2):
            self.wait_routed(n, len(self.agent_ports))
        return self

    def start_keeper(self) -> None:
        """Start the keeper on its data folder."""
        self.start(
            "keeper",
            "keeper",
            "--keeper-id=k1",
            f"--data={self.folder}/k1",
            f"--listen={self.keepers}",
            f"--http-listen=127.0.0.1:{free_port()}",
            *self._keeper_flags,
            COWSLIP_OPERATOR_TOKEN="operator-secret",
        )

    def start_agent(self, n: int) -> None:
        """Start an agent beside its service."""
        self.start(
            f"agent-{n}",
            "agent",
            f"--server-id=s{n}",
            f"--backend-url=http://127.0.0.1:{self.service_ports[n]}",
            "--dialect=service",
            "--service-name=deliveries",
            f"--listen=127.0.0.1:{self.agent_ports[n]}",
            f"--keepers={self.keepers}",
        )

    def start_entry(self, n: int) -> None:
        """Start an entry."""
        self.start(
            f"entry-{n}",
            "entry",
            f"--listen=127.0.0.1:{self.entry_ports[n]}",
            f"--keepers={self.keepers}",
        )

    def wait_routed(self, n: int, n_servers: int) -> None:
        """Wait until an entry serves the service and the keeper has its agents."""

        def routed() -> bool:
            status = json.loads(self.ctl("status", "--json").stdout or "{}")
            return len(status.get("servers", ())) >= n_servers

        wait_for(routed, "agents")
        port = self.entry_ports[n]
        wait_for(
            lambda: call(port, "GET", "/services/deliveries/warm")[0] == 200, "entry"
        )

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def pause(self, name: str) -> None:
        """Freeze a process until `resume`."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def deliver(self, n: int, key: str | None, body: Any = BODY) -> tuple:
        """Post a delivery through an entry."""
        headers = {"idempotency-key": key} if key else {}
        path = "/services/deliveries/log"
        status, names, data = call(self.entry_ports[n], "POST", path, body, headers)
        return status, names, json.loads(data)

    def n_runs(self) -> int:
        """Return how many calls the services have run, without this one."""
        return sum(
            json.loads(call(port, "GET", "/")[2])["run_count"] - 1
            for port in self.service_ports
        )


class TestKeys(unittest.TestCase):
    """What a key stands for, in one cluster without failures."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = ClaimsCluster(n_agents=2, claim_answer_bytes=200)
        cls.cluster.__enter__()
        cls.addClassCleanup(cls.cluster.__exit__, None, None, None)

    def runs_of(self, *calls: Any) -> tuple[int, list]:
        """Make calls one after another; return executions and answers."""
        before = self.cluster.n_runs()
        answers = [make() for make in calls]
        # Each reading of the counters is itself one call to each service.
        n_probes = len(self.cluster.service_ports)
        return self.cluster.n_runs() - before - n_probes, answers

    def test_resend_is_answered_without_a_run(self):
        """A resend through another entry gets the first answer and runs nothing."""
        n_runs, (first, second) = self.runs_of(
            lambda: self.cluster.deliver(0, "a"), lambda: self.cluster.deliver(1, "a")
        )
        self.assertEqual((n_runs, first[0], second[0]), (1, 200, 200))
        self.assertEqual(first[2], second[2])

    def test_other_body_is_refused(self):
        """The same key with another body is refused as KEY_REUSED and not run."""
        n_runs, (_, other) = self.runs_of(
            lambda: self.cluster.deliver(0, "b"),
            lambda: self.cluster.deliver(1, "b", {"family": 13}),
        )
        self.assertEqual((n_runs, other[2]["error"]["name"]), (1, "KEY_REUSED"))
        self.assertEqual(other[1]["x-cowslip-outcome"], "not-run")

    def test_large_answer_is_not_kept(self):
        """A resend of a request with a large answer is told that it ran."""
        body = {"note": "x" * 300}
        n_runs, (first, second) = self.runs_of(
            lambda: self.cluster.deliver(0, "c", body),
            lambda: self.cluster.deliver(0, "c", body),
        )
        self.assertEqual((n_runs, first[0]), (1, 200))
        self.assertEqual(second[2]["error"]["name"], "ANSWER_NOT_KEPT")

    def test_made_key_is_told(self):
        """A request without a key runs once and may be asked for by its made key."""
        n_runs, (first,) = self.runs_of(lambda: self.cluster.deliver(0, None))
        key = first[1]["idempotency-key"]
        again, (second,) = self.runs_of(lambda: self.cluster.deliver(1, key))
        self.assertEqual((n_runs, again, second[2]), (1, 0, first[2]))

    def test_old_date_is_refused(self):
        """A key dated before claims are kept is refused as KEY_EXPIRED."""
        n_runs, (answer,) = self.runs_of(
            lambda: self.cluster.deliver(0, "d@1000000000000")
        )
        self.assertEqual((n_runs, answer[2]["error"]["name"]), (0, "KEY_EXPIRED"))
        self.assertEqual(answer[1]["x-cowslip-outcome"], "unknown")

    def test_same_key_at_once(self):
        """Of many submissions of one key at once through two entries, one runs."""
        answers: list[tuple] = []
        before = self.cluster.n_runs()
        threads = [
            threading.Thread(
                target=lambda n=n: answers.append(self.cluster.deliver(n % 2, "e"))
            )
            for n in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.cluster.n_runs() - before - 2, 1)
        self.assertEqual({answer[0] for answer in answers}, {200})
        self.assertEqual(len({json.dumps(answer[2]) for answer in answers}), 1)
