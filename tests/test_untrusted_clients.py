"""Clients that occupy memory and descriptors, against real processes.

The bounds are the limits that the settings of the test state for the host: a process
stays within its memory and its descriptors, and an ordinary request is answered while
the clients are still there.
"""

import contextlib
import unittest

from soak.deployment import CALLERS_PORT, OPERATORS_PORT, Deployment, Host

from .processes import Cluster, free_port, wait_for
from .untrusted_clients import (
    ClientSwarm,
    HeldWatch,
    PlatformStandin,
    encode_request,
    make_config,
    send_ordinary,
)

# Memory of the smallest host, in megabytes, and its descriptors.
MEMORY_MB = 160
MAX_FDS = 1_638
# Descriptors of the host of the test in which connections occupy descriptors.
FEW_FDS = 200
# Clients in the tests of the entry's uploads, and their bodies in bytes.
N_CLIENTS = 100
BODY_BYTES = 500_000
# Requests that each client sends ahead.
N_AHEAD = 40
# Clients of a port that reads a whole body or message, each near its largest size.
N_LARGE = 40
# Callers that leave a large answer unread.
N_SLOW_READERS = 30
# Bytes of the body of an ordinary upload.
UPLOAD_BYTES = 300_000
KEEPER_PORT = 7380
KEEPER_METRICS_PORT = 7391


class _HostTest(unittest.TestCase):
    """One host with the programs of the deployment, and the platform's stand-in."""

    max_fds = MAX_FDS
    has_disk = True

    def setUp(self):
        limits = {"memoryMb": MEMORY_MB, "maxFds": self.max_fds}
        self.deployment = self.enterContext(Deployment(0, limits))
        self.keeper_host = Host(11, True)
        self.deployment.seeds = (self.keeper_host,)
        self.ip = self.deployment.get_ip(self.keeper_host.number)
        self.standin = PlatformStandin(self.deployment.list_addr)
        self.addCleanup(self.standin.close)
        self.deployment.start("keeper", self.keeper_host, True)
        wait_for(
            lambda: self.deployment.put_config(self.keeper_host, make_config()) == 200,
            "the config",
        )

    def start_entry(self) -> None:
        self.deployment.start("entry", self.keeper_host)
        wait_for(lambda: self.deployment.is_ready(self.keeper_host), "readiness")

    def watch(self, role: str, host: Host, *ports: int) -> HeldWatch:
        """Return a watch of a program that listens on the ports."""
        pid = self.deployment.programs[role, host].process.pid
        ip = self.deployment.get_ip(host.number)
        return HeldWatch(pid, *((ip, port) for port in ports))

    def check_held(self, watch: HeldWatch, role: str, host: Host) -> None:
        """Check that a program runs and stayed within the limits of its host."""
        process = self.deployment.programs[role, host].process
        self.assertIsNone(process.poll())
        peak = watch.peak
        self.assertLess(peak.n_bytes / 1e6, MEMORY_MB)
        self.assertLess(peak.n_files, self.max_fds)

    def check_entry(self, n_clients: int, data: bytes, **pieces: float) -> None:
        """Check the entry under clients that send the same bytes."""
        host = self.keeper_host
        with self.watch("entry", host, CALLERS_PORT) as watch:
            with ClientSwarm((self.ip, CALLERS_PORT), n_clients, data, **pieces) as s:
                s.wait_until_quiet()
                for n_bytes in (10, UPLOAD_BYTES):
                    wait_for(lambda n=n_bytes: self.send(n) == 200, "an answer")
        self.check_held(watch, "entry", host)

    def send(self, n_bytes: int) -> int:
        """Send an ordinary request; return the status."""
        return send_ordinary(self.ip, CALLERS_PORT, n_bytes)

    def check_operators_port(self, role: str, host: Host) -> None:
        """Check a program under configs that stop one byte short of their end."""
        data = encode_request("/cowslipwood/config", 4_000_000, "PUT")[:-1]
        addr = (self.deployment.get_ip(host.number), OPERATORS_PORT)
        with self.watch(role, host, OPERATORS_PORT) as watch:
            with ClientSwarm(addr, N_LARGE, data) as swarm:
                swarm.wait_until_quiet()
                wait_for(lambda: self.deployment.read_config(host), "the config")
        self.check_held(watch, role, host)

    def check_peer_port(self, host: Host) -> None:
        """Check a program under messages that stop one byte short of their end."""
        # Length, version and checksum of a frame of 16 MB.
        head = (16 * 1024 * 1024).to_bytes(4) + (1).to_bytes(2) + bytes(4)
        data = head + bytes(16 * 1024 * 1024 - 1)
        addr = (self.deployment.get_ip(host.number), KEEPER_PORT)
        with self.watch("keeper", host, KEEPER_PORT) as watch:
            with ClientSwarm(addr, N_LARGE, data) as swarm:
                swarm.wait_until_quiet(limit_s=8.0)
                wait_for(lambda: self.deployment.read_config(host), "the config")
        self.check_held(watch, "keeper", host)


class DirectEntryTest(_HostTest):
    """The callers' port of an entry with direct routes."""

    def setUp(self):
        super().setUp()
        self.start_entry()

    def test_whole_bodies(self):
        """Many whole uploads at once take no more memory than the host has."""
        self.check_entry(N_CLIENTS, encode_request("/orders/1", BODY_BYTES))

    def test_bodies_in_pieces(self):
        """Uploads in small pieces occupy no space that ordinary uploads then lack."""
        data = encode_request("/orders/1", BODY_BYTES)
        self.check_entry(N_CLIENTS, data, piece_bytes=16_384, pause_s=0.05)

    def test_bodies_without_end(self):
        """Uploads one byte short of their end do not keep ordinary uploads out."""
        self.check_entry(N_CLIENTS, encode_request("/orders/1", BODY_BYTES)[:-1])

    def test_requests_ahead(self):
        """Requests sent ahead whose answers stay unread exceed no memory."""
        self.check_entry(N_CLIENTS, encode_request("/orders/1", BODY_BYTES) * N_AHEAD)

    def test_unread_answers(self):
        """Answers that callers do not read keep no server until the route's timeout."""
        host = self.keeper_host
        data = encode_request("/large/1", 10)
        with self.watch("entry", host, CALLERS_PORT) as watch:
            with ClientSwarm((self.ip, CALLERS_PORT), N_SLOW_READERS, data):
                for count, what in (
                    (lambda: self.standin.n_large_begun, "begin"),
                    (lambda: self.standin.n_large_ended, "end"),
                ):
                    wait_for(lambda n=count: n() == N_SLOW_READERS, f"the {what}")
                wait_for(lambda: self.send(10) == 200, "an answer")
        self.check_held(watch, "entry", host)


class FewDescriptorsTest(_HostTest):
    """An entry on a host with few descriptors."""

    max_fds = FEW_FDS

    def test_connections(self):
        """Open uploads on more connections than descriptors stop no other caller."""
        self.start_entry()
        self.check_entry(2 * FEW_FDS, encode_request("/orders/1", 1_000)[:-1])


class KeeperTest(_HostTest):
    """The ports of a keeper."""

    def test_operators_port(self):
        """Unfinished configs exceed no memory, and the config can still be read."""
        self.check_operators_port("keeper", self.keeper_host)

    def test_peer_port(self):
        """Messages of senders without a token are not held at their full size."""
        self.check_peer_port(self.keeper_host)

    def test_metrics_port(self):
        """Requests for metrics sent ahead and left unread exceed no memory."""
        host = self.keeper_host
        data = encode_request("/metrics", BODY_BYTES, "GET") * N_AHEAD
        addr = (self.ip, KEEPER_METRICS_PORT)
        with self.watch("keeper", host, KEEPER_METRICS_PORT) as watch:
            with ClientSwarm(addr, N_CLIENTS, data) as swarm:
                swarm.wait_until_quiet()
                wait_for(lambda: self.deployment.read_config(host), "the config")
        self.check_held(watch, "keeper", host)


class RelayTest(_HostTest):
    """The ports of a relay."""

    def setUp(self):
        super().setUp()
        self.relay_host = Host(12)
        self.deployment.start("keeper", self.relay_host)
        wait_for(lambda: self.deployment.read_config(self.relay_host), "the relay")

    def test_operators_port(self):
        """Unfinished configs exceed no memory, and the config can still be read."""
        self.check_operators_port("keeper", self.relay_host)

    def test_peer_port(self):
        """Messages of senders without a token are not held at their full size."""
        self.check_peer_port(self.relay_host)


class AgentsEntryTest(unittest.TestCase):
    """The callers' port of an entry that sends through agents."""

    def test_bodies_without_end(self):
        """Uploads one byte short of their end exceed no memory."""
        cluster = self.enterContext(Cluster())
        cluster.start_keeper()
        port = free_port()
        cluster.start(
            "entry",
            "entry",
            f"--keepers={cluster.keepers}",
            f"--listen=127.0.0.1:{port}",
        )
        process = cluster.processes["entry"]
        wait_for(lambda: send_ordinary("127.0.0.1", port, 10) == 404, "an answer")
        data = encode_request("/v1/completions", 8_000_000)[:-1]
        addr = ("127.0.0.1", port)
        with contextlib.ExitStack() as stack:
            watch = stack.enter_context(HeldWatch(process.pid, addr))
            swarm = stack.enter_context(ClientSwarm(addr, N_LARGE, data))
            swarm.wait_until_quiet()
            wait_for(lambda: send_ordinary(*addr, UPLOAD_BYTES) == 404, "an answer")
        self.assertIsNone(process.poll())
        self.assertLess(watch.peak.n_bytes / 1e6, MEMORY_MB)
