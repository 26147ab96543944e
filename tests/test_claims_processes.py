"""Claimed requests over real processes that are killed, frozen and restarted."""

import contextlib
import http.client
import json
import signal
import threading
import time
import unittest
from typing import Any

from .builders import service_value
from .keepers import KeeperCluster
from .processes import WAIT_S, call, free_port, wait_for

BODY = {"family": 12, "meals": 3}
SLOW_MS = 1_500
MAX_TRIES = 20
CLAIM_WAIT_S = 2.0


class ClaimsCluster(KeeperCluster):
    """Keepers, two entries, and agents beside stand-ins of ``deliveries``."""

    def __init__(
        self,
        n_agents: int = 1,
        answer_ms: int = 5,
        one_keeper: bool = True,
        **keeper_flags: int,
    ):
        super().__init__()
        self.is_alone = one_keeper
        self.keeper_port = free_port()
        if one_keeper:
            self.keepers = f"127.0.0.1:{self.keeper_port}"
        self.keeper_http_port = free_port()
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
        with contextlib.ExitStack() as stack:
            stack.push(super().__exit__)
            self._start()
            stack.pop_all()
        return self

    def _start(self) -> None:
        if self.is_alone:
            self.start_keeper()
        else:
            self.start_all()
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

    def start_keeper(self) -> None:
        """Start the keeper on its data folder."""
        self.start(
            "keeper",
            "keeper",
            "--keeper-id=k1",
            f"--data={self.folder}/k1",
            f"--listen={self.keepers}",
            f"--http-listen=127.0.0.1:{self.keeper_http_port}",
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

    def deliver_later(self, n: int, key: str) -> "Later":
        """Post a delivery from a thread."""
        return Later(lambda: self.deliver(n, key))

    def value(self, port: int, name: str) -> float:
        """Return the value of one metric of a process; 0 when it has none."""
        for line in call(port, "GET", "/metrics")[2].decode().splitlines():
            if line.startswith(f"{name} "):
                return float(line.split()[-1])
        return 0

    def n_runs(self) -> int:
        """Return how many calls the services have begun."""
        return sum(
            json.loads(call(port, "GET", "/standin/state")[2])["run_count"]
            for port in self.service_ports
        )


class Later(threading.Thread):
    """A call made from a thread."""

    def __init__(self, make: Any):
        super().__init__(daemon=True)
        self._make = make
        self._answer: Any = None
        self.start()

    def run(self) -> None:
        """Make the call; one whose entry dies has no answer."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            self._answer = self._make()

    def answer(self) -> Any:
        """Wait for the answer; None when there was none."""
        self.join(WAIT_S)
        return self._answer


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
        return self.cluster.n_runs() - before, answers

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
        self.assertEqual(self.cluster.n_runs() - before, 1)
        self.assertEqual({answer[0] for answer in answers}, {200})
        self.assertEqual(len({json.dumps(answer[2]) for answer in answers}), 1)


class TestProcessesDie(unittest.TestCase):
    """Entries, agents and the keeper killed or frozen at each step of a claim."""

    def setUp(self):
        self._stack = contextlib.ExitStack()
        self.addCleanup(self._stack.close)

    def start(self, **options: Any) -> ClaimsCluster:
        """Start a cluster and count from now on."""
        cluster = self._stack.enter_context(ClaimsCluster(**options))
        self._cluster = cluster
        self._before = cluster.n_runs()
        self._n_attempts = self.n_attempts()
        return cluster

    def n_attempts(self) -> float:
        """Return how many attempts the first agent has marked."""
        return self._cluster.value(
            self._cluster.agent_ports[0], "cowslip_agent_attempts"
        )

    def n_runs(self) -> int:
        """Return how often a delivery ran since the start."""
        return self._cluster.n_runs() - self._before

    def wait_dispatched(self) -> None:
        """Wait until the first agent has marked a new attempt."""
        wait_for(lambda: self.n_attempts() > self._n_attempts, "dispatch")

    def settle(self, key: str) -> None:
        """Resend a request until it has its answer and no claim is open.

        The first entry reaches its keeper then. Runs are counted from here on.
        """
        cluster = self._cluster
        wait_for(lambda: cluster.deliver(0, key)[0] == 200, "a resend")
        self.wait_claimed(n_open=0)
        self._before = cluster.n_runs()

    def freeze_after_claim(self) -> tuple[str, "Later"]:
        """Freeze the first entry between its claim and the dispatch.

        An entry that was frozen before it had asked for the claim is let go on,
        and another request tried once its claim is closed.
        """
        cluster = self._cluster
        port = cluster.entry_ports[0]
        for key in map(str, range(MAX_TRIES)):
            cluster.pause("keeper")
            late = cluster.deliver_later(0, key)
            wait_for(
                lambda: cluster.value(port, "cowslip_entry_claims_open") == 1,
                "request",
            )
            cluster.pause("entry-0")
            cluster.resume("keeper")
            with contextlib.suppress(AssertionError):
                self.wait_claimed(CLAIM_WAIT_S)
                return key, late
            cluster.resume("entry-0")
            late.answer()
            self.settle(key)
        raise AssertionError("the entry was frozen too early each time")

    def answer_after_keeper(self) -> tuple[str, tuple]:
        """Kill the keeper between a claim and its answer; return key and answer.

        A keeper that was killed before its reply had reached the entry is
        started again, and another request tried: the first must not have run.
        """
        cluster = self._cluster
        for key in map(str, range(MAX_TRIES)):
            cluster.pause("agent-0")
            first = cluster.deliver_later(0, key)
            self.wait_claimed()
            cluster.kill("keeper")
            cluster.resume("agent-0")
            status, headers, value = first.answer()
            if status == 200:
                return key, value
            self.assertEqual(value["error"]["name"], "CLAIMS_UNAVAILABLE")
            self.assertEqual(headers["x-cowslip-outcome"], "not-run")
            self.assertEqual(self.n_runs(), 0)
            cluster.start_keeper()
            self.settle(key)
        raise AssertionError("the keeper was killed too early each time")

    def wait_claimed(self, limit_s: float = WAIT_S, n_open: int = 1) -> None:
        """Wait until the leading keeper holds this many open claims."""
        port = self._cluster.keeper_http_port
        if not self._cluster.is_alone:
            port = self._cluster.http_ports[self._cluster.leader()]
        wait_for(
            lambda: self._cluster.value(port, "cowslip_keeper_claims_open") == n_open,
            "claim",
            limit_s,
        )

    def test_entry_killed_after_dispatch(self):
        """A resend after its entry died gets the answer of the one run."""
        cluster = self.start(answer_ms=SLOW_MS)
        lost = cluster.deliver_later(0, "k")
        self.wait_dispatched()
        cluster.kill("entry-0")
        self.assertIsNone(lost.answer())
        status, _, value = cluster.deliver(1, "k")
        self.assertEqual((status, value["request"]), (200, BODY))
        self.assertEqual(self.n_runs(), 1)

    def test_entry_killed_after_claim(self):
        """A claim whose entry died before dispatch is voided and runs once."""
        cluster = self.start()
        key, _ = self.freeze_after_claim()
        cluster.kill("entry-0")
        self.assertEqual(cluster.deliver(1, key)[0], 200)
        self.assertEqual(self.n_runs(), 1)

    def test_frozen_entry_wakes_with_a_voided_attempt(self):
        """An entry frozen before dispatch finds its attempt voided, not run twice."""
        cluster = self.start()
        key, late = self.freeze_after_claim()
        _, _, first = cluster.deliver(1, key)
        cluster.resume("entry-0")
        self.assertEqual(late.answer()[2], first)
        self.assertEqual(self.n_runs(), 1)

    def test_late_dispatch_of_a_dead_entry(self):
        """A dispatch that reaches a frozen agent late runs once or not at all."""
        cluster = self.start()
        cluster.pause("agent-0")
        cluster.deliver_later(0, "k")
        self.wait_claimed()
        cluster.kill("entry-0")
        second = cluster.deliver_later(1, "k")
        port = cluster.entry_ports[1]
        wait_for(
            lambda: cluster.value(port, "cowslip_entry_claims_open") == 1, "resend"
        )
        cluster.resume("agent-0")
        self.assertEqual(second.answer()[0], 200)
        self.assertEqual(self.n_runs(), 1)

    def test_agent_killed_after_dispatch(self):
        """A request whose agent died in its run is unknown and never runs again."""
        cluster = self.start(answer_ms=SLOW_MS)
        first = cluster.deliver_later(0, "k")
        # The agent's mark comes before the call; the kill has to come after it.
        wait_for(lambda: self.n_runs() == 1, "the run")
        cluster.kill("agent-0")
        self.assertEqual(first.answer()[1]["x-cowslip-outcome"], "unknown")
        cluster.start_agent(0)
        resent = wait_for(
            lambda: (
                (a := cluster.deliver(1, "k"))[2]["error"]["retry_after_ms"] == 0 and a
            ),
            "the new incarnation",
        )
        self.assertEqual(resent[2]["error"]["name"], "OUTCOME_UNKNOWN")
        self.assertEqual(self.n_runs(), 1)

    def test_agent_killed_before_dispatch(self):
        """A request goes to another agent when the claimed one cannot be reached."""
        cluster = self.start(n_agents=2)
        cluster.kill("agent-0")
        self.assertEqual(cluster.deliver(0, "k")[0], 200)
        self.assertEqual(cluster.deliver(1, "k")[0], 200)
        self.assertEqual(self.n_runs(), 1)

    def test_not_run_is_recorded_before_it_is_told(self):
        """A request told not-run, since no agent could be reached, runs when resent."""
        cluster = self.start()
        cluster.kill("agent-0")
        _, headers, value = cluster.deliver(0, "k")
        self.assertEqual(headers["x-cowslip-outcome"], "not-run", value)
        self.assertEqual(self.n_runs(), 0)
        cluster.start_agent(0)
        wait_for(lambda: cluster.deliver(1, "k")[0] == 200, "agent")
        self.assertEqual(self.n_runs(), 1)

    def test_keeper_killed_between_claim_and_answer(self):
        """An answer that the keeper could not record is given to a resend."""
        cluster = self.start()
        key, first = self.answer_after_keeper()
        cluster.start_keeper()
        resent = wait_for(
            lambda: (a := cluster.deliver(1, key))[0] == 200 and a, "keeper"
        )
        self.assertEqual(resent[2], first)
        self.assertEqual(self.n_runs(), 1)

    def test_leader_killed_between_claim_and_answer(self):
        """A claim outlives its leader; without a quorum a new key is not run."""
        cluster = self.start(one_keeper=False)
        cluster.pause("agent-0")
        first = cluster.deliver_later(0, "k")
        self.wait_claimed()
        killed = cluster.leader()
        cluster.kill(killed)
        second = cluster.deliver_later(1, "k")
        cluster.resume("agent-0")
        self.assertEqual(first.answer()[0], 200)
        second.answer()
        resent = wait_for(
            lambda: (a := cluster.deliver(1, "k"))[0] == 200 and a, "a new leader"
        )
        self.assertEqual(resent[2], first.answer()[2])
        cluster.kill(cluster.leader(killed))
        _, headers, _ = cluster.deliver(0, "new")
        self.assertEqual(headers["x-cowslip-outcome"], "not-run")
        self.assertEqual(self.n_runs(), 1)
        cluster.start_one(killed)
        wait_for(lambda: cluster.deliver(1, "new")[0] == 200, "a quorum")
        self.assertEqual(self.n_runs(), 2)

    def test_without_keepers(self):
        """Without keepers a new key is refused as not run, and all else is served."""
        cluster = self.start()
        cluster.put(service_value("deliveries", repeatable=True))
        self.assertEqual(cluster.deliver(0, "old")[0], 200)
        cluster.kill("keeper")
        _, headers, value = cluster.deliver(0, "new")
        self.assertEqual(value["error"]["name"], "CLAIMS_UNAVAILABLE")
        self.assertEqual(headers["x-cowslip-outcome"], "not-run")
        _, headers, _ = cluster.deliver(0, "old")
        self.assertEqual(headers["x-cowslip-outcome"], "unknown")
        self.assertEqual(self.n_runs(), 1)
        wait_for(lambda: cluster.deliver(0, None)[0] == 200, "unclaimed request")

    def test_resend_after_the_claims_time(self):
        """A resend of a dated key after its claim's time is refused, not run."""
        cluster = self.start(claim_keep_ms=1_000)
        key = f"k@{int(time.time() * 1000)}"
        self.assertEqual(cluster.deliver(0, key)[0], 200)
        wait_for(
            lambda: (
                cluster.deliver(1, key)[2].get("error", {}).get("name") == "KEY_EXPIRED"
            ),
            "expiry",
        )
        self.assertEqual(self.n_runs(), 1)
