"""Placement after the loss of servers, zones or the leading keeper."""

import json
import unittest

from .builders import adapter_value, model_value
from .keepers import KeeperCluster
from .processes import call, free_port, wait_for

FLAGS = ("--dead-after-ms=2500", "--loads-per-s=20", "--max-loads-at-once=4")
# Longer than the next leader takes to start.
SLOW_LOAD_MS = 6_000


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

    def read_states(self, name):
        """Return the state of a model on each engine that holds it."""
        states = {}
        for server_id, port in self.engine_ports.items():
            _, _, body = call(port, "GET", "/engine/state")
            for model in json.loads(body)["models"]:
                if model["name"] == name:
                    states[server_id] = model["state"]
        return states


class TestLostServers(unittest.TestCase):
    """Engines and agents are killed together."""

    def test_zone_lost_with_one_spare(self):
        """The one remaining server answers for every model of a lost zone again."""
        with KeeperCluster(*FLAGS) as cluster:
            cluster.start_all()
            servers = Servers(cluster)
            servers.start("s1", "capital")
            servers.start("s2", "capital")
            entry_port = free_port()
            cluster.start(
                "entry",
                "entry",
                f"--listen=127.0.0.1:{entry_port}",
                "--keepers",
                cluster.keepers,
            )
            for value in (model_value("m1"), model_value("m2"), adapter_value("a1")):
                cluster.put(value)
            for name in ("m1", "m2", "a1"):
                wait_for(lambda name=name: is_answered(entry_port, name), name)
            servers.start("s3", "banda")
            servers.kill("s1")
            servers.kill("s2")
            for name in ("m1", "m2", "a1"):
                wait_for(
                    lambda name=name: is_answered(entry_port, name), f"{name} again"
                )


class TestLeaderLost(unittest.TestCase):
    """The leading keeper is killed during a move."""

    def test_move_continues_and_a_copy_stays_ready(self):
        """The old copy stays ready until the new one is, under any leader."""
        with KeeperCluster(*FLAGS) as cluster:
            cluster.start_all()
            servers = Servers(cluster)
            servers.start("s1", "capital")
            cluster.put(model_value("m1"))
            wait_for(lambda: servers.read_states("m1") == {"s1": "ready"}, "m1")
            servers.start("s2", "capital", f"--load-ms={SLOW_LOAD_MS}")
            self.assertEqual(cluster.ctl("drain", "s1").returncode, 0)
            wait_for(lambda: "s2" in servers.read_states("m1"), "a load on s2")
            self.assertEqual(servers.read_states("m1")["s1"], "ready")
            cluster.kill(cluster.leader())
            states_seen = []

            def is_moved():
                states_seen.append(servers.read_states("m1"))
                return states_seen[-1] == {"s2": "ready"}

            wait_for(is_moved, "the end of the move")
            for states in states_seen:
                self.assertIn("ready", states.values())


def is_answered(port, name):
    """Return whether a completion request for a model succeeds."""
    body = {"model": name, "prompt": "bread for 9", "max_tokens": 3}
    return call(port, "POST", "/v1/completions", body)[0] == 200
