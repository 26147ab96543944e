"""Route documents, restarts and lost disks with real keeper and entry processes."""

import json
import shutil
import signal
import threading
import unittest
from pathlib import Path
from typing import Any

from .direct_builders import document_value, route_value
from .processes import Cluster, call, free_port, wait_for
from .service_server import ServiceServer


class TestRoutesProcesses(unittest.TestCase):
    """Three keepers, one entry daemon and one service."""

    def setUp(self):
        self.cluster = self.enterContext(Cluster())
        self.cluster.start_keepers(3)
        self.backend = ServiceServer()
        self.addCleanup(self.backend.close)

    def start_entry(self) -> tuple[int, int]:
        """Start an entry daemon; return its ports for callers and for health."""
        port, health_port = free_port(), free_port()
        self.cluster.start(
            "entry",
            "route_entry",
            f"--keepers={self.cluster.keepers}",
            f"--listen=127.0.0.1:{port}",
            f"--metrics-listen=127.0.0.1:{health_port}",
            "--entry-id=e1",
            "--zone=zone-1",
            f"--list-url={self.backend.list_url}",
            "--drain-ms=300",
        )
        return port, health_port

    def apply_document(self, version: int, **changes: Any) -> int:
        """Apply a route document; return the version that applies after that."""
        path = Path(self.cluster.folder) / f"document-{version}.json"
        path.write_text(json.dumps(document_value(**changes)))
        completed = self.cluster.ctl(
            "apply", str(path), "--version", str(version), "--json"
        )
        self.assertEqual(completed.returncode, 0, completed.stderr)
        return json.loads(completed.stdout)["version"]

    def send_request(self, port: int, path: str) -> tuple[int, bytes]:
        """Send a request for the route's host; return status and body."""
        headers = {"host": "shop.example", "x-request-id": "q1"}
        status, _, body = call(port, "GET", path, headers=headers)
        return status, body

    def find_leader(self) -> str:
        """Return the process name of the leading keeper."""
        status = json.loads(self.cluster.ctl("status", "--json").stdout)
        addrs = self.cluster.keepers.split(",")
        return f"k{addrs.index(status['leader']) + 1}"

    def restart_keeper(self, name: str) -> None:
        """Stop a keeper with SIGTERM and start it again with its data folder."""
        self.cluster.processes[name].send_signal(signal.SIGTERM)
        self.cluster.processes[name].wait()
        addr = self.cluster.keepers.split(",")[int(name[1]) - 1]
        numbered_addrs = enumerate(self.cluster.keepers.split(","), 1)
        peers = ",".join(
            f"k{number}={peer_addr}" for number, peer_addr in numbered_addrs
        )
        self.cluster.start_keeper_process(
            name, name, addr, free_port(), f"--peers={peers}"
        )
        wait_for(lambda: self._is_listening(name), f"{name} to listen again")

    def count_log_lines(self, text: str) -> int:
        """Return how often a text occurs in the keepers' logs."""
        return sum(self.cluster.log(f"k{number}").count(text) for number in (1, 2, 3))

    def test_entry_without_and_with_document(self):
        """Without a document an entry is not ready and answers 503, not 404."""
        port, health_port = self.start_entry()
        wait_for(lambda: call(health_port, "GET", "/healthz")[0] == 200, "the entry")
        self.assertEqual(call(health_port, "GET", "/readyz")[0], 503)
        self.assertEqual(self.send_request(port, "/orders/7")[0], 503)
        self.apply_document(1)
        wait_for(lambda: call(health_port, "GET", "/readyz")[0] == 200, "readiness")
        self.assertEqual(self.send_request(port, "/orders/7"), (200, b"ran /orders/7"))
        self.assertEqual(self.send_request(port, "/other/7")[0], 404)

    def test_document_after_leader_is_killed(self):
        """After the leader is killed, documents still apply and versions increase."""
        port, health_port = self.start_entry()
        self.assertEqual(self.apply_document(5), 5)
        wait_for(lambda: call(health_port, "GET", "/readyz")[0] == 200, "readiness")
        self.cluster.processes[self.find_leader()].kill()
        routes = [route_value(), route_value(name="r2", path_prefix="/more/")]
        self.assertEqual(self.apply_document(9, routes=routes), 9)
        wait_for(
            lambda: self.send_request(port, "/more/1")[0] == 200, "the newer document"
        )
        self.assertEqual(self.apply_document(6), 9)
        self.assertEqual(self.send_request(port, "/more/1")[0], 200)
        stored_document = json.loads(self.cluster.ctl("document", "--json").stdout)
        self.assertEqual(stored_document["version"], 9)

    def test_keeper_with_lost_disk_joins_again(self):
        """A keeper that lost its disk joins again and counts towards the quorum."""
        self.apply_document(3)
        addrs = self.cluster.keepers.split(",")
        replaced_name = next(
            f"k{number}" for number in (1, 2, 3) if f"k{number}" != self.find_leader()
        )
        self.cluster.processes[replaced_name].kill()
        self.cluster.processes[replaced_name].wait()
        old_ids = self._read_member_ids()
        shutil.rmtree(self.cluster.folder / replaced_name)
        addr = addrs[int(replaced_name[1]) - 1]
        join = f"--join={self.cluster.keepers}"
        self.cluster.start_keeper_process(
            replaced_name, replaced_name, addr, free_port(), join
        )
        wait_for(lambda: self._has_joined(replaced_name, old_ids), "the new member")
        self.cluster.processes[self.find_leader()].kill()
        self.assertEqual(self.apply_document(4), 4)

    def test_planned_stop_causes_one_election(self):
        """A planned stop of the leader causes exactly one election.

        The followers are restarted before, so that none of them has requested votes
        since its start.
        """
        self.apply_document(1)
        leader = self.find_leader()
        for name in {"k1", "k2", "k3"} - {leader}:
            self.restart_keeper(name)
        n_elections_before = self.count_log_lines("event=election_started")
        self.apply_document(2)
        self.cluster.processes[leader].send_signal(signal.SIGTERM)
        self.assertEqual(self.cluster.processes[leader].wait(), 0)
        self.assertEqual(self.apply_document(3), 3)
        self.assertEqual(
            self.count_log_lines("event=election_started"), n_elections_before + 1
        )

    def test_stop_completes_open_request(self):
        """An entry that gets SIGTERM answers its open request and exits with 0."""
        port, health_port = self.start_entry()
        self.apply_document(1, routes=[route_value(timeout_ms=10_000)])
        wait_for(lambda: call(health_port, "GET", "/readyz")[0] == 200, "readiness")
        answers: list[tuple[int, bytes]] = []
        caller = threading.Thread(
            target=lambda: answers.append(self.send_request(port, "/orders/slow"))
        )
        caller.start()
        wait_for(lambda: self.backend.n_runs, "the run")
        self.cluster.processes["entry"].send_signal(signal.SIGTERM)
        caller.join()
        self.assertEqual(answers, [(200, b"ran /orders/slow")])
        self.assertEqual(self.cluster.processes["entry"].wait(), 0)

    def _is_listening(self, name: str) -> bool:
        """Return whether a keeper has logged that it listens since its last stop."""
        log = self.cluster.log(name)
        return "event=listening" in log.rpartition("event=stopped")[2]

    def _read_member_ids(self) -> set[str]:
        members = json.loads(self.cluster.ctl("members", "--json").stdout)
        return {member["replica_id"] for member in members["members"]}

    def _has_joined(self, name: str, old_ids: set[str]) -> bool:
        ids = self._read_member_ids()
        new_ids = [
            member_id for member_id in ids - old_ids if member_id.startswith(f"{name}.")
        ]
        return bool(new_ids) and len(ids) == 3
