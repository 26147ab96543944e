"""Connections between processes, against a keeper process."""

import json
import random
import socket
import unittest

from cowslipwood.kernel.messages import Hello
from cowslipwood.kernel.wire import encode_frame

from .builders import model_value
from .processes import Cluster, wait_for

N_CONNECTIONS = 20


class TestBadPeers(unittest.TestCase):
    """A bad peer loses only its own connection."""

    @classmethod
    def setUpClass(cls):
        """Start one keeper for all tests."""
        cls.cluster = cls.enterClassContext(Cluster())
        cls.cluster.start_keeper()
        cls.cluster.put(model_value("m1"))

    def _connect(self) -> socket.socket:
        host, port = self.cluster.keepers.split(":")
        return self.enterContext(socket.create_connection((host, int(port)), 30))

    def _assert_serves(self) -> None:
        listed = self.cluster.ctl("list", "--json")
        self.assertEqual([item["name"] for item in json.loads(listed.stdout)], ["m1"])

    def _assert_closed(self, sock: socket.socket) -> None:
        def closed() -> bool:
            try:
                return sock.recv(4096) == b""
            except ConnectionResetError:
                return True

        wait_for(closed, "the keeper to close the connection")

    def test_garbage(self):
        """Random bytes end the connection and nothing else."""
        source = random.Random(7)
        for _ in range(N_CONNECTIONS):
            sock = self._connect()
            sock.sendall(source.randbytes(200))
            self._assert_closed(sock)
        self._assert_serves()

    def test_damaged_frame_after_hello(self):
        """A flipped bit in a later frame ends that connection."""
        hello = Hello("agent", "s1", "i1", "z", "cluster-secret")
        frame = bytearray(encode_frame(hello))
        sock = self._connect()
        sock.sendall(frame)
        frame[-1] ^= 1
        sock.sendall(frame)
        self._assert_closed(sock)
        self._assert_serves()

    def test_half_a_hello(self):
        """A peer that goes silent in its first message is dropped."""
        sock = self._connect()
        sock.sendall(encode_frame(Hello("agent", "s1", "i1", "z", "t"))[:20])
        self._assert_closed(sock)
        self._assert_serves()

    def test_wrong_token(self):
        """A wrong cluster token is refused and the connection closed."""
        sock = self._connect()
        sock.sendall(encode_frame(Hello("agent", "s1", "i1", "z", "wrong")))
        self._assert_closed(sock)
        self._assert_serves()
