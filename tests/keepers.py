"""Runs clusters of keepers as separate processes for tests."""

import json
import shutil
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import anyio
from returns.result import Failure as Err

from cowslipwood.kernel.channel import Channel, open_channel
from cowslipwood.kernel.keeper_addresses import KeeperAddresses
from cowslipwood.kernel.keeper_link import KeeperLink
from cowslipwood.kernel.messages import Hello, OperatorRequest
from cowslipwood.kernel.settings import parse_address

from .builders import model_value
from .processes import DEFAULT_TIMEOUT_S, Cluster, call, free_port, wait_for

__all__ = ["KeeperCluster", "open_operator", "make_operator_request"]

# Number of keepers that form the log; tests may start more.
N_KEEPERS = 3
# Milliseconds that a test waits for the reply to a request.
REPLY_TIMEOUT_MS = 60_000
# First message of an operator's connection.
OPERATOR_HELLO = Hello("operator", "tester", "", "", "cluster-secret")


def make_operator_request(
    op: str, name: str = "", body: bytes = b""
) -> OperatorRequest:
    """Return a request whose edit id consists of its operation and name."""
    return OperatorRequest(op, name, body, f"{op}-{name}", -1, "operator-secret")


async def open_operator(addr: str) -> Channel:
    """Return an operator's connection to one keeper, leader or follower."""
    opened = await open_channel(*parse_address(addr), REPLY_TIMEOUT_MS)
    channel = opened.unwrap()
    await channel.send(OPERATOR_HELLO)
    (await channel.receive()).unwrap()
    return channel


async def _request_until_answered(link: KeeperLink, request: OperatorRequest) -> None:
    """Repeat a request with the same edit id until a leader answers."""
    while isinstance(await link.request(request, REPLY_TIMEOUT_MS), Err):
        await anyio.sleep(0.02)


async def _put_models(keepers: str, names: Sequence[str]) -> None:
    async def ignore(value: Any) -> None:
        """Ignore heartbeats."""

    link = KeeperLink(KeeperAddresses.parse(keepers), OPERATOR_HELLO, ignore)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        for name in names:
            body = json.dumps(model_value(name)).encode()
            await _request_until_answered(
                link, make_operator_request("put", name, body)
            )
        tasks.cancel_scope.cancel()


class KeeperCluster(Cluster):
    """Three keepers named k1 to k3; a context manager."""

    def __init__(self, *flags: str):
        super().__init__()
        self._flags = flags
        names = [f"k{index + 1}" for index in range(N_KEEPERS)]
        self.listens = {name: f"127.0.0.1:{free_port()}" for name in names}
        self.http_ports = {name: free_port() for name in names}
        self.set_addresses(self.listens)

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Set the addresses under which the keepers reach each other."""
        self.addresses = dict(addresses)
        self.keepers = ",".join(addresses.values())
        self.peers = ",".join(f"{name}={addr}" for name, addr in addresses.items())

    def start_all(self) -> str:
        """Start every keeper and return the leader's name."""
        for name in self.addresses:
            self.start_one(name)
        return self.leader()

    def stop_all(self) -> None:
        """Kill every keeper."""
        for name in self.addresses:
            self.kill(name)

    def start_one(self, name: str) -> None:
        """Start one keeper for the first time or after its process has ended."""
        self.start_keeper_process(
            name,
            name,
            self.listens[name],
            self.http_ports[name],
            f"--peers={self.peers}",
            *self._flags,
        )

    def start_keeper_with_peers(self, name: str) -> str:
        """Start a keeper of another name with the initial keepers as its peers.

        Returns
        -------
        member : str
            The keeper as ``name=ip:port``.
        """
        if name not in self.listens:
            self.listens[name] = f"127.0.0.1:{free_port()}"
            self.http_ports[name] = free_port()
            self.addresses[name] = self.listens[name]
            self.keepers += f",{self.listens[name]}"
        self.start_one(name)
        return f"{name}={self.listens[name]}"

    def start_successor(self, name: str) -> None:
        """Start a keeper that replaces the next member that is lost."""
        self.start_joining_keeper(name, grows=False)

    def start_joining_keeper(self, name: str, grows: bool = True) -> None:
        """Start a keeper that announces itself to the initial keepers."""
        if name not in self.listens:
            self.listens[name] = f"127.0.0.1:{free_port()}"
            self.http_ports[name] = free_port()
            self.addresses[name] = self.listens[name]
        initial_addrs = ",".join(self.keepers.split(",")[:N_KEEPERS])
        self.start_keeper_process(
            name,
            name,
            self.listens[name],
            self.http_ports[name],
            f"--join={initial_addrs}",
            *(["--grows"] if grows else []),
            *self._flags,
        )
        if self.listens[name] not in self.keepers:
            self.keepers += f",{self.listens[name]}"

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to one keeper."""
        self.processes[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill one keeper and wait for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def delete_data(self, name: str) -> None:
        """Delete the data folder of a keeper whose process has ended."""
        shutil.rmtree(self.folder / name)

    def wait_for_exit(self, name: str) -> int:
        """Wait until a process ends by itself and return its exit status."""
        return self.processes[name].wait(timeout=60)

    def find_last_segment(self, name: str) -> Path:
        """Return the newest log file of a keeper."""
        return sorted((self.folder / name).glob("*.log"))[-1]

    def put_many(self, names: Sequence[str]) -> None:
        """Add models to the catalogue, one after another, on one connection."""

        async def put_all() -> None:
            with anyio.fail_after(DEFAULT_TIMEOUT_S):
                await _put_models(self.keepers, names)

        anyio.run(put_all)

    def metric(self, name: str, metric: str) -> float:
        """Return a metric of a keeper; 0 when it was never set."""
        _, _, body = call(self.http_ports[name], "GET", "/metrics")
        for line in body.decode().splitlines():
            if line.startswith(f"cowslip_keeper_{metric}{{") or line.startswith(
                f"cowslip_keeper_{metric} "
            ):
                return float(line.rpartition(" ")[2])
        return 0.0

    def list_leaders(self, *excluded: str) -> list[str]:
        """Return the names of running keepers whose metrics say that they lead."""
        live = [
            name
            for name, process in self.processes.items()
            if name in self.addresses
            and name not in excluded
            and process.poll() is None
        ]
        return [name for name in live if self.metric(name, "leader") == 1]

    def leader(self, *excluded: str) -> str:
        """Wait until a keeper leads and return its name."""
        return wait_for(lambda: self.list_leaders(*excluded), "a leader")[0]

    def list_followers(self) -> list[str]:
        """Return the names of the keepers that do not lead."""
        leader = self.leader()
        return [name for name in self.addresses if name != leader]

    def list_entry_names(self) -> set[str]:
        """Return the names of the catalogue's entries."""
        completed = self.ctl("list", "--json")
        if completed.returncode:
            raise AssertionError(completed.stderr)
        return {entry["name"] for entry in json.loads(completed.stdout)}

    def voters(self) -> dict[str, str]:
        """Return the identities of the voting keepers by name."""
        completed = self.ctl("members", "--json")
        if completed.returncode:
            raise AssertionError(completed.stderr)
        members: list[dict[str, Any]] = json.loads(completed.stdout)["members"]
        return {m["name"]: m["replica_id"] for m in members if m["voter"]}
