"""A keeper's host without a disk."""

import threading
import unittest
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from cowslipwood.kernel.channel import open_channel
from cowslipwood.kernel.codes import Code
from cowslipwood.kernel.keeper_link import KeeperLink
from cowslipwood.kernel.messages import Hello, ReadDocument, Welcome
from cowslipwood.kernel.settings import parse_address
from cowslipwood.relay import run_relay
from cowslipwood.replication import Identity, IdentityQuery

from .keepers import KeeperCluster
from .processes import WAIT_S, free_port

TOKEN = "cluster-secret"
ANSWER_TIMEOUT_MS = 5_000


def _link(keepers: str) -> KeeperLink:
    async def ignore(value: object) -> None:
        """Drop heartbeats."""

    return KeeperLink(keepers, Hello("gateway", "r1", "", "", TOKEN), ignore)


@contextmanager
def relaying(addr: str, keepers: str) -> Iterator[None]:
    """Run a relay in a thread of its own."""
    stop = threading.Event()

    async def run() -> None:
        link = _link(keepers)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            tasks.start_soon(run_relay, addr, "r1", TOKEN, link)
            while not stop.is_set():
                await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()

    thread = threading.Thread(target=anyio.run, args=(run,))
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join(WAIT_S)


class RelayTest(unittest.TestCase):
    """What a host without a disk answers."""

    def test_not_a_founder(self):
        """A log forms without an initial member that has no disk, and it relays."""
        with KeeperCluster() as cluster:
            addr = cluster.addresses["k3"]
            keepers = ",".join(cluster.addresses[n] for n in ("k1", "k2"))
            with relaying(addr, keepers):
                cluster.start_one("k1")
                cluster.start_one("k2")
                leader = cluster.leader("k3")
                self.assertEqual(cluster.voters().keys(), {"k1", "k2"})
                self.assertEqual(
                    anyio.run(self._leader_by, addr), cluster.addresses[leader]
                )

    async def _leader_by(self, addr: str) -> str:
        """Return the leader that a process finds that knows only the relay."""
        link = _link(addr)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            with anyio.fail_after(WAIT_S):
                while not link.leader_addr:
                    await anyio.sleep(0.02)
            found = link.leader_addr
            tasks.cancel_scope.cancel()
        return found

    def test_told_by_keepers(self):
        """One that was told of no keeper learns of them from their own calls."""
        addr = f"127.0.0.1:{free_port()}"
        nobody = f"127.0.0.1:{free_port()}"
        with (
            KeeperCluster(f"--join={addr}") as cluster,
            relaying(addr, nobody),
        ):
            leader = cluster.start_all()
            found = anyio.run(self._leader_by, addr)
            self.assertEqual(found, cluster.addresses[leader])

    def test_answers(self):
        """It says that it has no disk, and refuses everything else."""
        addr = f"127.0.0.1:{free_port()}"
        with relaying(addr, f"127.0.0.1:{free_port()}"):
            identity, refused = anyio.run(self._ask, addr)
        self.assertEqual(identity, Identity("", addr, False, True))
        self.assertEqual(refused, Code.NOT_LEADER)

    async def _ask(self, addr: str) -> tuple[Identity, Code]:
        with anyio.fail_after(WAIT_S):
            opened = await open_channel(*parse_address(addr), ANSWER_TIMEOUT_MS)
            while not hasattr(opened.value_or(None), "send"):
                await anyio.sleep(0.02)
                opened = await open_channel(*parse_address(addr), ANSWER_TIMEOUT_MS)
        channel = opened.unwrap()
        await channel.send(Hello("keeper", "k1", "", "", TOKEN))
        _, welcome = (await channel.receive()).unwrap()
        self.assertEqual(welcome, Welcome("r1", 0, ""))

        async def ignore(value: object) -> None:
            """Drop what comes unasked."""

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channel.run, ignore)
            identity = await channel.request(
                IdentityQuery("k1.a", ""), ANSWER_TIMEOUT_MS
            )
            refused = await channel.request(ReadDocument(), ANSWER_TIMEOUT_MS)
            tasks.cancel_scope.cancel()
        return identity.unwrap(), refused.failure().code
