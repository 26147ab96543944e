"""Claimed requests over real processes that are killed, suspended and restarted."""

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
from .processes import DEFAULT_TIMEOUT_S, call, free_port, wait_for

DELIVERY = {"family": 12, "meals": 3}
# Milliseconds of an answer that is slow enough to kill a process during the run.
SLOW_ANSWER_MS = 1_500
# Requests that are tried until a process was stopped at the intended step.
MAX_TRIES = 20
# Seconds after which a suspended entry is taken not to have sent its claim.
CLAIM_TIMEOUT_S = 2.0


class ClaimsCluster(KeeperCluster):
    """Keepers, two entries, and agents beside stand-ins for ``deliveries``."""

    def __init__(
        self,
        n_agents: int = 1,
        answer_ms: int = 5,
        has_one_keeper: bool = True,
        **keeper_flags: int,
    ):
        super().__init__()
        self.has_one_keeper = has_one_keeper
        self.keeper_port = free_port()
        if has_one_keeper:
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
        """Start all processes and wait until the entries can serve requests."""
        with contextlib.ExitStack() as stack:
            stack.push(super().__exit__)
            self._start()
            stack.pop_all()
        return self

    def _start(self) -> None:
        if self.has_one_keeper:
            self.start_keeper()
        else:
            self.start_all()
        for index, port in enumerate(self.service_ports):
            self.start(
                f"service-{index}",
                "standin",
                "--kind=service",
                f"--listen=127.0.0.1:{port}",
                f"--first-token-ms={self._answer_ms}",
            )
            self.start_agent(index)
        for index in range(2):
            self.start_entry(index)
        wait_for(
            lambda: self.put(service_value("deliveries", repeatable=False)), "keeper"
        )
        for index in range(2):
            self.wait_until_routed(index, len(self.agent_ports))

    def start_keeper(self) -> None:
        """Start the only keeper with its data folder."""
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

    def start_agent(self, index: int) -> None:
        """Start an agent beside its service."""
        self.start(
            f"agent-{index}",
            "agent",
            f"--server-id=s{index}",
            f"--backend-url=http://127.0.0.1:{self.service_ports[index]}",
            "--dialect=service",
            "--service-name=deliveries",
            f"--listen=127.0.0.1:{self.agent_ports[index]}",
            f"--keepers={self.keepers}",
        )

    def start_entry(self, index: int) -> None:
        """Start an entry."""
        self.start(
            f"entry-{index}",
            "entry",
            f"--listen=127.0.0.1:{self.entry_ports[index]}",
            f"--keepers={self.keepers}",
        )

    def wait_until_routed(self, index: int, n_servers: int) -> None:
        """Wait until the keeper lists the agents and an entry serves the service."""

        def routed() -> bool:
            status = json.loads(self.ctl("status", "--json").stdout or "{}")
            return len(status.get("servers", ())) >= n_servers

        wait_for(routed, "agents")
        port = self.entry_ports[index]
        wait_for(
            lambda: call(port, "GET", "/services/deliveries/warm")[0] == 200, "entry"
        )

    def suspend(self, name: str) -> None:
        """Suspend a process until `resume`."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def deliver(self, index: int, key: str | None, body: Any = DELIVERY) -> tuple:
        """Post a delivery to an entry."""
        headers = {"idempotency-key": key} if key else {}
        path = "/services/deliveries/log"
        status, names, data = call(self.entry_ports[index], "POST", path, body, headers)
        return status, names, json.loads(data)

    def deliver_in_background(self, index: int, key: str) -> "BackgroundCall":
        """Post a delivery to an entry from a thread."""
        return BackgroundCall(lambda: self.deliver(index, key))

    def read_metric(self, port: int, name: str) -> float:
        """Return the value of a process's metric; 0 when it does not export it."""
        for line in call(port, "GET", "/metrics")[2].decode().splitlines():
            if line.startswith(f"{name} "):
                return float(line.split()[-1])
        return 0

    def n_runs(self) -> int:
        """Return the number of calls that the services have begun."""
        return sum(
            json.loads(call(port, "GET", "/standin/state")[2])["run_count"]
            for port in self.service_ports
        )


class BackgroundCall(threading.Thread):
    """A call made from a thread."""

    def __init__(self, make_call: Any):
        super().__init__(daemon=True)
        self._make_call = make_call
        self._answer: Any = None
        self.start()

    def run(self) -> None:
        """Make the call; it has no answer if its entry is killed."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            self._answer = self._make_call()

    def answer(self) -> Any:
        """Wait for the answer and return it; None if there was none."""
        self.join(DEFAULT_TIMEOUT_S)
        return self._answer


class TestIdempotencyKeys(unittest.TestCase):
    """Requests with idempotency keys, in one cluster without failures."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = ClaimsCluster(n_agents=2, claim_answer_bytes=200)
        cls.cluster.__enter__()
        cls.addClassCleanup(cls.cluster.__exit__, None, None, None)

    def count_runs(self, *calls: Any) -> tuple[int, list]:
        """Make calls one after another; return the number of runs and the answers."""
        n_runs_before = self.cluster.n_runs()
        answers = [make_call() for make_call in calls]
        return self.cluster.n_runs() - n_runs_before, answers

    def test_resend_is_answered_without_a_run(self):
        """A resend to another entry gets the first answer without a second run."""
        n_runs, (first, second) = self.count_runs(
            lambda: self.cluster.deliver(0, "a"), lambda: self.cluster.deliver(1, "a")
        )
        self.assertEqual((n_runs, first[0], second[0]), (1, 200, 200))
        self.assertEqual(first[2], second[2])

    def test_other_body_is_refused(self):
        """The same key with another body is refused as KEY_REUSED and does not run."""
        n_runs, (_, other) = self.count_runs(
            lambda: self.cluster.deliver(0, "b"),
            lambda: self.cluster.deliver(1, "b", {"family": 13}),
        )
        self.assertEqual((n_runs, other[2]["error"]["name"]), (1, "KEY_REUSED"))
        self.assertEqual(other[1]["x-cowslip-outcome"], "not-run")

    def test_large_answer_is_not_kept(self):
        """A resend of a request with a large answer gets ANSWER_NOT_KEPT."""
        body = {"note": "x" * 300}
        n_runs, (first, second) = self.count_runs(
            lambda: self.cluster.deliver(0, "c", body),
            lambda: self.cluster.deliver(0, "c", body),
        )
        self.assertEqual((n_runs, first[0]), (1, 200))
        self.assertEqual(second[2]["error"]["name"], "ANSWER_NOT_KEPT")

    def test_generated_key_is_returned(self):
        """A request without a key runs once; its generated key returns the answer."""
        n_runs, (first,) = self.count_runs(lambda: self.cluster.deliver(0, None))
        key = first[1]["idempotency-key"]
        n_second_runs, (second,) = self.count_runs(lambda: self.cluster.deliver(1, key))
        self.assertEqual((n_runs, n_second_runs, second[2]), (1, 0, first[2]))

    def test_old_key_is_refused(self):
        """A key whose time is older than stored claims is refused as KEY_EXPIRED."""
        n_runs, (answer,) = self.count_runs(
            lambda: self.cluster.deliver(0, "d@1000000000000")
        )
        self.assertEqual((n_runs, answer[2]["error"]["name"]), (0, "KEY_EXPIRED"))
        self.assertEqual(answer[1]["x-cowslip-outcome"], "unknown")

    def test_concurrent_requests_with_one_key(self):
        """Of concurrent requests with one key to two entries, only one runs."""
        answers: list[tuple] = []
        n_runs_before = self.cluster.n_runs()
        threads = [
            threading.Thread(
                target=lambda index=index: answers.append(
                    self.cluster.deliver(index % 2, "e")
                )
            )
            for index in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.cluster.n_runs() - n_runs_before, 1)
        self.assertEqual({answer[0] for answer in answers}, {200})
        self.assertEqual(len({json.dumps(answer[2]) for answer in answers}), 1)


class TestProcessFailures(unittest.TestCase):
    """Entries, agents and keepers killed or suspended at each step of a claim."""

    def setUp(self):
        self._stack = contextlib.ExitStack()
        self.addCleanup(self._stack.close)

    def start(self, **options: Any) -> ClaimsCluster:
        """Start a cluster; runs and attempts are counted from its start."""
        cluster = self._stack.enter_context(ClaimsCluster(**options))
        self._cluster = cluster
        self._n_earlier_runs = cluster.n_runs()
        self._n_earlier_attempts = self.n_attempts()
        return cluster

    def n_attempts(self) -> float:
        """Return the number of attempts that the first agent has recorded."""
        return self._cluster.read_metric(
            self._cluster.agent_ports[0], "cowslip_agent_attempts"
        )

    def n_runs(self) -> int:
        """Return how often a delivery ran since counting began."""
        return self._cluster.n_runs() - self._n_earlier_runs

    def wait_until_dispatched(self) -> None:
        """Wait until the first agent has recorded a new attempt."""
        wait_for(lambda: self.n_attempts() > self._n_earlier_attempts, "dispatch")

    def resolve_claim(self, key: str) -> None:
        """Resend a request until it is answered and no claim is open.

        The first entry is then connected to its keeper. Runs are counted from here.
        """
        cluster = self._cluster
        wait_for(lambda: cluster.deliver(0, key)[0] == 200, "a resend")
        self.wait_for_open_claims(n_claims=0)
        self._n_earlier_runs = cluster.n_runs()

    def suspend_entry_after_claim(self) -> tuple[str, "BackgroundCall"]:
        """Suspend the first entry between its claim and the dispatch.

        An entry that was suspended before it had sent the claim is resumed, and
        another request is tried after its claim is closed.
        """
        cluster = self._cluster
        port = cluster.entry_ports[0]
        for key in map(str, range(MAX_TRIES)):
            cluster.suspend("keeper")
            suspended_call = cluster.deliver_in_background(0, key)
            wait_for(
                lambda: cluster.read_metric(port, "cowslip_entry_claims_open") == 1,
                "request",
            )
            cluster.suspend("entry-0")
            cluster.resume("keeper")
            with contextlib.suppress(AssertionError):
                self.wait_for_open_claims(CLAIM_TIMEOUT_S)
                return key, suspended_call
            cluster.resume("entry-0")
            suspended_call.answer()
            self.resolve_claim(key)
        raise AssertionError("the entry was suspended too early each time")

    def kill_keeper_before_answer(self) -> tuple[str, tuple]:
        """Kill the keeper between a claim and its answer; return key and answer.

        A keeper that was killed before its reply had reached the entry is
        restarted, and another request is tried. The first must not have run.
        """
        cluster = self._cluster
        for key in map(str, range(MAX_TRIES)):
            cluster.suspend("agent-0")
            first = cluster.deliver_in_background(0, key)
            self.wait_for_open_claims()
            cluster.kill("keeper")
            cluster.resume("agent-0")
            status, headers, value = first.answer()
            if status == 200:
                return key, value
            self.assertEqual(value["error"]["name"], "CLAIMS_UNAVAILABLE")
            self.assertEqual(headers["x-cowslip-outcome"], "not-run")
            self.assertEqual(self.n_runs(), 0)
            cluster.start_keeper()
            self.resolve_claim(key)
        raise AssertionError("the keeper was killed too early each time")

    def wait_for_open_claims(
        self, timeout_s: float = DEFAULT_TIMEOUT_S, n_claims: int = 1
    ) -> None:
        """Wait until the leading keeper has the given number of open claims."""
        port = self._cluster.keeper_http_port
        if not self._cluster.has_one_keeper:
            port = self._cluster.http_ports[self._cluster.leader()]
        wait_for(
            lambda: (
                self._cluster.read_metric(port, "cowslip_keeper_claims_open")
                == n_claims
            ),
            "claim",
            timeout_s,
        )

    def test_entry_killed_after_dispatch(self):
        """A resend after its entry was killed gets the answer of the only run."""
        cluster = self.start(answer_ms=SLOW_ANSWER_MS)
        lost_call = cluster.deliver_in_background(0, "k")
        self.wait_until_dispatched()
        cluster.kill("entry-0")
        self.assertIsNone(lost_call.answer())
        status, _, value = cluster.deliver(1, "k")
        self.assertEqual((status, value["request"]), (200, DELIVERY))
        self.assertEqual(self.n_runs(), 1)

    def test_entry_killed_after_claim(self):
        """A claim whose entry was killed before dispatch is voided and runs once."""
        cluster = self.start()
        key, _ = self.suspend_entry_after_claim()
        cluster.kill("entry-0")
        self.assertEqual(cluster.deliver(1, key)[0], 200)
        self.assertEqual(self.n_runs(), 1)

    def test_resumed_entry_finds_its_attempt_voided(self):
        """An entry suspended before dispatch finds its attempt voided on resuming."""
        cluster = self.start()
        key, suspended_call = self.suspend_entry_after_claim()
        _, _, first = cluster.deliver(1, key)
        cluster.resume("entry-0")
        self.assertEqual(suspended_call.answer()[2], first)
        self.assertEqual(self.n_runs(), 1)

    def test_late_dispatch_of_a_dead_entry(self):
        """A dispatch to a suspended agent runs at most once after it is resumed."""
        cluster = self.start()
        cluster.suspend("agent-0")
        cluster.deliver_in_background(0, "k")
        self.wait_for_open_claims()
        cluster.kill("entry-0")
        second = cluster.deliver_in_background(1, "k")
        port = cluster.entry_ports[1]
        wait_for(
            lambda: cluster.read_metric(port, "cowslip_entry_claims_open") == 1,
            "resend",
        )
        cluster.resume("agent-0")
        self.assertEqual(second.answer()[0], 200)
        self.assertEqual(self.n_runs(), 1)

    def test_agent_killed_after_dispatch(self):
        """A request whose agent was killed during the run is unknown and not rerun."""
        cluster = self.start(answer_ms=SLOW_ANSWER_MS)
        first = cluster.deliver_in_background(0, "k")
        # The agent records the attempt before the call, but must be killed after it.
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
        """A request is sent to another agent when the claimed one is unreachable."""
        cluster = self.start(n_agents=2)
        cluster.kill("agent-0")
        self.assertEqual(cluster.deliver(0, "k")[0], 200)
        self.assertEqual(cluster.deliver(1, "k")[0], 200)
        self.assertEqual(self.n_runs(), 1)

    def test_not_run_request_can_be_resent(self):
        """A request that is not-run, as no agent was reachable, runs when resent."""
        cluster = self.start()
        cluster.kill("agent-0")
        _, headers, value = cluster.deliver(0, "k")
        self.assertEqual(headers["x-cowslip-outcome"], "not-run", value)
        self.assertEqual(self.n_runs(), 0)
        cluster.start_agent(0)
        wait_for(lambda: cluster.deliver(1, "k")[0] == 200, "agent")
        self.assertEqual(self.n_runs(), 1)

    def test_keeper_killed_between_claim_and_answer(self):
        """A resend gets the answer that the keeper could not record."""
        cluster = self.start()
        key, first = self.kill_keeper_before_answer()
        cluster.start_keeper()
        resent = wait_for(
            lambda: (a := cluster.deliver(1, key))[0] == 200 and a, "keeper"
        )
        self.assertEqual(resent[2], first)
        self.assertEqual(self.n_runs(), 1)

    def test_leader_killed_between_claim_and_answer(self):
        """A claim survives its leader; without a quorum a new key is not-run."""
        cluster = self.start(has_one_keeper=False)
        cluster.suspend("agent-0")
        first = cluster.deliver_in_background(0, "k")
        self.wait_for_open_claims()
        killed = cluster.leader()
        cluster.kill(killed)
        second = cluster.deliver_in_background(1, "k")
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
        """Without keepers new keys are refused as not-run; other requests run."""
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
        """A resend of a key with a time is refused after its claim has expired."""
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
