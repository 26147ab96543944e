"""The relay, which runs in place of a keeper on a host without a disk."""

import threading
import unittest
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from cowslipwood.kernel.channel import open_channel
from cowslipwood.kernel.codes import Code
from cowslipwood.kernel.keeper_addresses import KeeperAddresses
from cowslipwood.kernel.keeper_link import KeeperLink
from cowslipwood.kernel.messages import Hello, ReadDocument, Welcome
from cowslipwood.kernel.settings import parse_address
from cowslipwood.relay import run_relay
from cowslipwood.replication import Identity, IdentityQuery

from .keepers import KeeperCluster
from .processes import DEFAULT_TIMEOUT_S, free_port

CLUSTER_TOKEN = "cluster-secret"
ANSWER_TIMEOUT_MS = 5_000


def _make_keeper_link(keepers: str) -> KeeperLink:
    async def discard_message(message: object) -> None:
        """Discard the leader's heartbeats."""

    return KeeperLink(
        KeeperAddresses.parse(keepers),
        Hello("gateway", "r1", "", "", CLUSTER_TOKEN),
        discard_message,
    )


@contextmanager
def run_relay_in_thread(addr: str, keepers: str) -> Iterator[None]:
    """Run a relay in its own thread."""
    stop = threading.Event()

    async def run() -> None:
        link = _make_keeper_link(keepers)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            tasks.start_soon(run_relay, addr, "r1", CLUSTER_TOKEN, link)
            while not stop.is_set():
                await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()

    thread = threading.Thread(target=anyio.run, args=(run,))
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join(DEFAULT_TIMEOUT_S)


class TestRelay(unittest.TestCase):
    """Answers of a relay, alone and beside keepers."""

    def test_log_forms_without_diskless_member(self):
        """A log forms without an initial member that is a relay.

        The relay then tells other processes the leader's address.
        """
        with KeeperCluster() as cluster:
            addr = cluster.addresses["k3"]
            keepers = ",".join(cluster.addresses[name] for name in ("k1", "k2"))
            with run_relay_in_thread(addr, keepers):
                cluster.start_one("k1")
                cluster.start_one("k2")
                leader = cluster.leader("k3")
                self.assertEqual(cluster.voters().keys(), {"k1", "k2"})
                self.assertEqual(
                    anyio.run(self._find_leader_through, addr),
                    cluster.addresses[leader],
                )

    async def _find_leader_through(self, addr: str) -> str:
        """Return the leader's address as a process finds it that knows only a relay."""
        link = _make_keeper_link(addr)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            with anyio.fail_after(DEFAULT_TIMEOUT_S):
                while not link.leader_addr:
                    await anyio.sleep(0.02)
            leader_addr = link.leader_addr
            tasks.cancel_scope.cancel()
        return leader_addr

    def test_relay_learns_keepers_from_them(self):
        """A relay without a keeper in its settings learns their addresses from them."""
        addr = f"127.0.0.1:{free_port()}"
        unused_addr = f"127.0.0.1:{free_port()}"
        with (
            KeeperCluster(f"--join={addr}") as cluster,
            run_relay_in_thread(addr, unused_addr),
        ):
            leader = cluster.start_all()
            leader_addr = anyio.run(self._find_leader_through, addr)
            self.assertEqual(leader_addr, cluster.addresses[leader])

    def test_identity_and_refusal(self):
        """A relay answers identity queries as diskless and refuses other requests."""
        addr = f"127.0.0.1:{free_port()}"
        with run_relay_in_thread(addr, f"127.0.0.1:{free_port()}"):
            identity, refusal = anyio.run(self._query_relay, addr)
        self.assertEqual(identity, Identity("", addr, False, True))
        self.assertEqual(refusal, Code.NOT_LEADER)

    async def _query_relay(self, addr: str) -> tuple[Identity, Code]:
        with anyio.fail_after(DEFAULT_TIMEOUT_S):
            open_result = await open_channel(*parse_address(addr), ANSWER_TIMEOUT_MS)
            while not hasattr(open_result.value_or(None), "send"):
                await anyio.sleep(0.02)
                open_result = await open_channel(
                    *parse_address(addr), ANSWER_TIMEOUT_MS
                )
        channel = open_result.unwrap()
        await channel.send(Hello("keeper", "k1", "", "", CLUSTER_TOKEN))
        _, welcome = (await channel.receive()).unwrap()
        self.assertEqual(welcome, Welcome("r1", 0, ""))

        async def discard_message(message: object) -> None:
            """Discard messages that are no answers."""

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channel.run, discard_message)
            identity = await channel.request(
                IdentityQuery("k1.a", ""), ANSWER_TIMEOUT_MS
            )
            refusal = await channel.request(ReadDocument(), ANSWER_TIMEOUT_MS)
            tasks.cancel_scope.cancel()
        return identity.unwrap(), refusal.failure().code
