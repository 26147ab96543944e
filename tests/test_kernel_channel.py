"""A keeper process whose peers send invalid data or none."""

import json
import random
import socket
import unittest

from cowslipwood.kernel.messages import Hello
from cowslipwood.kernel.wire import encode_frame

from .builders import model_value
from .processes import Cluster, wait_for

N_BAD_CONNECTIONS = 20


class TestBadPeers(unittest.TestCase):
    """The keeper closes the connection of a faulty peer and serves all others."""

    @classmethod
    def setUpClass(cls):
        """Start one keeper for all tests."""
        cls.cluster = cls.enterClassContext(Cluster())
        cls.cluster.start_keeper()
        cls.cluster.put(model_value("m1"))

    def _connect(self) -> socket.socket:
        host, port = self.cluster.keepers.split(":")
        return self.enterContext(socket.create_connection((host, int(port)), 30))

    def _assert_keeper_serves(self) -> None:
        listed = self.cluster.ctl("list", "--json")
        self.assertEqual([item["name"] for item in json.loads(listed.stdout)], ["m1"])

    def _assert_closed(self, sock: socket.socket) -> None:
        def is_closed() -> bool:
            try:
                return sock.recv(4096) == b""
            except ConnectionResetError:
                return True

        wait_for(is_closed, "the keeper to close the connection")

    def test_random_bytes(self):
        """The keeper closes a connection on which random bytes arrive."""
        rng = random.Random(7)
        for _ in range(N_BAD_CONNECTIONS):
            sock = self._connect()
            sock.sendall(rng.randbytes(200))
            self._assert_closed(sock)
        self._assert_keeper_serves()

    def test_damaged_frame_after_hello(self):
        """The keeper closes a connection when a frame has a flipped bit."""
        hello = Hello("agent", "s1", "i1", "z", "cluster-secret")
        frame = bytearray(encode_frame(hello))
        sock = self._connect()
        sock.sendall(frame)
        frame[-1] ^= 1
        sock.sendall(frame)
        self._assert_closed(sock)
        self._assert_keeper_serves()

    def test_incomplete_hello(self):
        """The keeper closes a connection whose first message stays incomplete."""
        sock = self._connect()
        sock.sendall(encode_frame(Hello("agent", "s1", "i1", "z", "t"))[:20])
        self._assert_closed(sock)
        self._assert_keeper_serves()

    def test_wrong_token(self):
        """The keeper closes a connection with a wrong cluster token."""
        sock = self._connect()
        sock.sendall(encode_frame(Hello("agent", "s1", "i1", "z", "wrong")))
        self._assert_closed(sock)
        self._assert_keeper_serves()
