"""Placement when servers, zones and the leading keeper are lost."""

import json
import unittest

from .builders import adapter_value, model_value
from .keepers import KeeperCluster
from .processes import call, free_port, wait_for

FLAGS = ("--dead-after-ms=2500", "--loads-per-s=20", "--max-loads-at-once=4")
SLOW_LOAD_MS = 6_000  # longer than the next leader needs to begin


class Servers:
    """Engines with their agents, added to a cluster of keepers."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.engine_ports = {}

    def start(self, server_id, zone, *engine_flags):
        """Start one engine and its agent."""
        port = free_port()
        self.engine_ports[server_id] = port
        self.cluster.start(
            f"engine-{server_id}",
            "standin",
            "--kind=engine",
            f"--listen=127.0.0.1:{port}",
            *engine_flags,
        )
        self.cluster.start(
            f"agent-{server_id}",
            "agent",
            f"--server-id={server_id}",
            f"--zone={zone}",
            f"--backend-url=http://127.0.0.1:{port}",
            f"--listen=127.0.0.1:{free_port()}",
            "--keepers",
            self.cluster.keepers,
        )

    def kill(self, server_id):
        """Kill an engine and its agent."""
        for name in (f"engine-{server_id}", f"agent-{server_id}"):
            self.cluster.processes[name].kill()
            self.cluster.processes[name].wait()
        del self.engine_ports[server_id]

    def states(self, name):
        """Return the state of a model on each engine that holds it."""
        found = {}
        for server_id, port in self.engine_ports.items():
            _, _, body = call(port, "GET", "/engine/state")
            for held in json.loads(body)["models"]:
                if held["name"] == name:
                    found[server_id] = held["state"]
        return found


class TestLostServers(unittest.TestCase):
    """Engines and agents killed together."""

    def test_zone_lost_with_one_spare(self):
        """Every model of a lost zone is answered again by the one server left."""
        with KeeperCluster(*FLAGS) as cluster:
            cluster.start_all()
            servers = Servers(cluster)
            servers.start("s1", "capital")
            servers.start("s2", "capital")
            entry = free_port()
            cluster.start(
                "entry",
                "entry",
                f"--listen=127.0.0.1:{entry}",
                "--keepers",
                cluster.keepers,
            )
            for value in (model_value("m1"), model_value("m2"), adapter_value("a1")):
                cluster.put(value)
            for name in ("m1", "m2", "a1"):
                wait_for(lambda name=name: answered(entry, name), name)
            servers.start("s3", "banda")
            servers.kill("s1")
            servers.kill("s2")
            for name in ("m1", "m2", "a1"):
                wait_for(lambda name=name: answered(entry, name), f"{name} again")


class TestLeaderLost(unittest.TestCase):
    """The leading keeper killed in the middle of a move."""

    def test_move_goes_on_and_a_replica_stays_ready(self):
        """Until the copy is ready the old replica stays, whoever leads."""
        with KeeperCluster(*FLAGS) as cluster:
            cluster.start_all()
            servers = Servers(cluster)
            servers.start("s1", "capital")
            cluster.put(model_value("m1"))
            wait_for(lambda: servers.states("m1") == {"s1": "ready"}, "m1")
            servers.start("s2", "capital", f"--load-ms={SLOW_LOAD_MS}")
            self.assertEqual(cluster.ctl("drain", "s1").returncode, 0)
            wait_for(lambda: "s2" in servers.states("m1"), "a load on s2")
            self.assertEqual(servers.states("m1")["s1"], "ready")
            cluster.kill(cluster.leader())
            seen = []

            def moved():
                seen.append(servers.states("m1"))
                return seen[-1] == {"s2": "ready"}

            wait_for(moved, "the end of the move")
            for states in seen:
                self.assertIn("ready", states.values())


def answered(port, name):
    """Return whether a model answers a completion whole."""
    body = {"model": name, "prompt": "bread for 9", "max_tokens": 3}
    return call(port, "POST", "/v1/completions", body)[0] == 200
