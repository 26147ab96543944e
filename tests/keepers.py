"""Starts three keepers as separate processes for tests."""

import json
import shutil
import signal
from typing import Any

from .processes import Cluster, call, free_port, wait_for

__all__ = ["KeeperCluster"]

N_KEEPERS = 3


class KeeperCluster(Cluster):
    """Three keepers named k1 to k3; a context manager."""

    def __init__(self, *flags: str):
        super().__init__()
        self._flags = flags
        names = [f"k{place + 1}" for place in range(N_KEEPERS)]
        self.addresses = {name: f"127.0.0.1:{free_port()}" for name in names}
        self.http_ports = {name: free_port() for name in names}
        self.keepers = ",".join(self.addresses.values())
        self.peers = ",".join(f"{n}={a}" for n, a in self.addresses.items())

    def start_all(self) -> str:
        """Start every keeper and return the leader's name."""
        for name in self.addresses:
            self.start_one(name)
        return self.leader()

    def start_one(self, name: str) -> None:
        """Start one keeper, again after it ended or for the first time."""
        self.start(
            name,
            "keeper",
            f"--keeper-id={name}",
            f"--data={self.folder}/{name}",
            f"--listen={self.addresses[name]}",
            f"--http-listen=127.0.0.1:{self.http_ports[name]}",
            f"--peers={self.peers}",
            *self._flags,
            COWSLIP_OPERATOR_TOKEN="operator-secret",
        )

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to one keeper."""
        self.processes[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill one keeper and wait for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def wipe(self, name: str) -> None:
        """Lose the disk of a keeper that has ended."""
        shutil.rmtree(self.folder / name)

    def metric(self, name: str, metric: str) -> float:
        """Return a metric of a keeper; 0 when it was never set."""
        _, _, body = call(self.http_ports[name], "GET", "/metrics")
        for line in body.decode().splitlines():
            if line.startswith(f"cowslip_keeper_{metric}{{") or line.startswith(
                f"cowslip_keeper_{metric} "
            ):
                return float(line.rpartition(" ")[2])
        return 0.0

    def leaders(self, *without: str) -> list[str]:
        """Return the live keepers that say they lead."""
        live = [
            name
            for name, process in self.processes.items()
            if name in self.addresses and name not in without and process.poll() is None
        ]
        return [name for name in live if self.metric(name, "leader") == 1]

    def leader(self, *without: str) -> str:
        """Wait for a leader among the keepers and return its name."""
        return wait_for(lambda: self.leaders(*without), "a leader")[0]

    def followers(self) -> list[str]:
        """Return the names of the others."""
        leader = self.leader()
        return [name for name in self.addresses if name != leader]

    def names(self) -> set[str]:
        """Return the names of the catalogue's entries."""
        ended = self.ctl("list", "--json")
        if ended.returncode:
            raise AssertionError(ended.stderr)
        return {entry["name"] for entry in json.loads(ended.stdout)}

    def voters(self) -> dict[str, str]:
        """Return the identities of the voting keepers by name."""
        ended = self.ctl("members", "--json")
        if ended.returncode:
            raise AssertionError(ended.stderr)
        members: list[dict[str, Any]] = json.loads(ended.stdout)["members"]
        return {m["name"]: m["replica_id"] for m in members if m["voter"]}
