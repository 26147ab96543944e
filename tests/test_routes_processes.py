"""Routes, documents and keepers that join, on the real programs."""

import http.server
import json
import shutil
import signal
import threading
import time
import unittest
from pathlib import Path
from typing import Any

from .direct_builders import document_value, route_value
from .processes import Cluster, call, free_port, wait_for

SLOW_S = 1.5


class _Handler(http.server.BaseHTTPRequestHandler):
    """A plain service and, under /list, the list that names it."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        if self.path == "/list":
            self._answer(json.dumps({"servers": self.server.listed}).encode())
            return
        self.server.n_runs += 1
        if self.path.endswith("/slow"):
            time.sleep(SLOW_S)
        self._answer(b"ran " + self.path.encode())

    def _answer(self, body: bytes) -> None:
        self.send_response(200)
        request_id = self.headers.get("x-request-id")
        if request_id:
            self.send_header("x-request-id", request_id)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: Any) -> None:
        """Say nothing."""


class _Backend:
    """The service's server in a thread."""

    def __init__(self):
        self._server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
        addr = f"127.0.0.1:{self._server.server_address[1]}"
        self.list_url = f"http://{addr}/list"
        self._server.n_runs = 0
        self._server.listed = [
            {"server_id": "s1", "service": "desk", "zone": "zone-1", "addr": addr},
            {"server_id": 7, "service": "desk"},
        ]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def n_runs(self) -> int:
        """Requests that ran."""
        return self._server.n_runs

    def close(self) -> None:
        """Stop."""
        self._server.shutdown()
        self._server.server_close()


class RoutesProcessesTest(unittest.TestCase):
    """Three keepers, one entry, one service."""

    def setUp(self):
        self.cluster = self.enterContext(Cluster())
        self.cluster.start_keepers(3)
        self.backend = _Backend()
        self.addCleanup(self.backend.close)

    def start_entry(self) -> tuple[int, int]:
        """Start an entry; return its ports for callers and health."""
        port, side = free_port(), free_port()
        self.cluster.start(
            "entry",
            "route_entry",
            f"--keepers={self.cluster.keepers}",
            f"--listen=127.0.0.1:{port}",
            f"--metrics-listen=127.0.0.1:{side}",
            "--entry-id=e1",
            "--zone=zone-1",
            f"--list-url={self.backend.list_url}",
            "--drain-ms=300",
        )
        return port, side

    def apply(self, version: int, **changes: Any) -> int:
        """Apply a document; return the version then in force."""
        path = Path(self.cluster.folder) / f"document-{version}.json"
        path.write_text(json.dumps(document_value(**changes)))
        ended = self.cluster.ctl(
            "apply", str(path), "--version", str(version), "--json"
        )
        self.assertEqual(ended.returncode, 0, ended.stderr)
        return json.loads(ended.stdout)["version"]

    def ask(self, port: int, path: str) -> tuple[int, bytes]:
        """Call the entry as a caller of the route's host."""
        headers = {"host": "shop.example", "x-request-id": "q1"}
        status, _, body = call(port, "GET", path, headers=headers)
        return status, body

    def leader(self) -> str:
        """Return the process name of the leading keeper."""
        status = json.loads(self.cluster.ctl("status", "--json").stdout)
        addrs = self.cluster.keepers.split(",")
        return f"k{addrs.index(status['leader']) + 1}"

    def restart(self, name: str) -> None:
        """Stop a keeper as planned and start it again with its folder."""
        self.cluster.processes[name].send_signal(signal.SIGTERM)
        self.cluster.processes[name].wait()
        addr = self.cluster.keepers.split(",")[int(name[1]) - 1]
        addrs = enumerate(self.cluster.keepers.split(","), 1)
        peers = ",".join(f"k{n}={each}" for n, each in addrs)
        self.cluster.start_keeper_process(
            name, name, addr, free_port(), f"--peers={peers}"
        )
        wait_for(lambda: self._follows(name), f"{name} to follow again")

    def count(self, text: str) -> int:
        """Return how many lines of the keepers' logs hold a text."""
        return sum(self.cluster.log(f"k{n}").count(text) for n in (1, 2, 3))

    def test_before_and_after_a_document(self):
        """Without a document the entry is not ready and answers 503, never 404."""
        port, side = self.start_entry()
        wait_for(lambda: call(side, "GET", "/healthz")[0] == 200, "the entry")
        self.assertEqual(call(side, "GET", "/readyz")[0], 503)
        self.assertEqual(self.ask(port, "/orders/7")[0], 503)
        self.apply(1)
        wait_for(lambda: call(side, "GET", "/readyz")[0] == 200, "readiness")
        self.assertEqual(self.ask(port, "/orders/7"), (200, b"ran /orders/7"))
        self.assertEqual(self.ask(port, "/other/7")[0], 404)

    def test_leader_killed(self):
        """Documents stay in force and go on rising when the leader is killed."""
        port, side = self.start_entry()
        self.assertEqual(self.apply(5), 5)
        wait_for(lambda: call(side, "GET", "/readyz")[0] == 200, "readiness")
        self.cluster.processes[self.leader()].kill()
        more = [route_value(), route_value(name="r2", path_prefix="/more/")]
        self.assertEqual(self.apply(9, routes=more), 9)
        wait_for(lambda: self.ask(port, "/more/1")[0] == 200, "the newer document")
        self.assertEqual(self.apply(6), 9)
        self.assertEqual(self.ask(port, "/more/1")[0], 200)
        held = json.loads(self.cluster.ctl("document", "--json").stdout)
        self.assertEqual(held["version"], 9)

    def test_lost_disk_joins_again(self):
        """A keeper that lost its disk joins by itself, and then carries the log."""
        self.apply(3)
        addrs = self.cluster.keepers.split(",")
        victim = next(f"k{n}" for n in (1, 2, 3) if f"k{n}" != self.leader())
        self.cluster.processes[victim].kill()
        self.cluster.processes[victim].wait()
        old_ids = self._member_ids()
        shutil.rmtree(self.cluster.folder / victim)
        addr = addrs[int(victim[1]) - 1]
        join = f"--join={self.cluster.keepers}"
        self.cluster.start_keeper_process(victim, victim, addr, free_port(), join)
        wait_for(lambda: self._joined(victim, old_ids), "the new member")
        self.cluster.processes[self.leader()].kill()
        self.assertEqual(self.apply(4), 4)

    def test_planned_stop_hands_over(self):
        """A stopping leader is followed by one election, which its successor wins.

        The followers have been restarted, so none has asked for a vote before.
        """
        self.apply(1)
        leader = self.leader()
        for name in {"k1", "k2", "k3"} - {leader}:
            self.restart(name)
        n_before = self.count("event=election_started")
        self.apply(2)
        self.cluster.processes[leader].send_signal(signal.SIGTERM)
        self.assertEqual(self.cluster.processes[leader].wait(), 0)
        self.assertEqual(self.apply(3), 3)
        self.assertEqual(self.count("event=election_started"), n_before + 1)

    def test_stop_finishes_what_was_read(self):
        """SIGTERM answers the request under way, and the process ends well."""
        port, side = self.start_entry()
        self.apply(1, routes=[route_value(timeout_ms=10_000)])
        wait_for(lambda: call(side, "GET", "/readyz")[0] == 200, "readiness")
        answers: list[tuple[int, bytes]] = []
        caller = threading.Thread(
            target=lambda: answers.append(self.ask(port, "/orders/slow"))
        )
        caller.start()
        wait_for(lambda: self.backend.n_runs, "the run")
        self.cluster.processes["entry"].send_signal(signal.SIGTERM)
        caller.join()
        self.assertEqual(answers, [(200, b"ran /orders/slow")])
        self.assertEqual(self.cluster.processes["entry"].wait(), 0)

    def _follows(self, name: str) -> bool:
        """Return whether a keeper has begun to listen since its last start."""
        log = self.cluster.log(name)
        return "event=listening" in log.rpartition("event=stopped")[2]

    def _member_ids(self) -> set[str]:
        members = json.loads(self.cluster.ctl("members", "--json").stdout)
        return {each["replica_id"] for each in members["members"]}

    def _joined(self, name: str, old_ids: set[str]) -> bool:
        ids = self._member_ids()
        new = [each for each in ids - old_ids if each.startswith(f"{name}.")]
        return bool(new) and len(ids) == 3
