"""Programs of one host that start at the same moment."""

import importlib.util
import socket
import threading
import time
import unittest

from cowslipwood.kernel.start_order import wait_for_listener

from .test_platform_adapter import ADAPTER

HOST = "127.0.0.1"


def runner():
    """Import the adapter's starter."""
    spec = importlib.util.spec_from_file_location("starter", ADAPTER / "run.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class AwaitListenerTest(unittest.TestCase):
    """Waiting for the other program."""

    def setUp(self):
        self.sock = socket.socket()
        self.sock.bind((HOST, 0))
        self.port = self.sock.getsockname()[1]
        self.addCleanup(self.sock.close)

    def test_runs_already(self):
        """A program whose neighbour runs does not wait."""
        self.sock.listen()
        self.assertTrue(wait_for_listener(HOST, self.port, 0.0))

    def test_comes_up(self):
        """It goes on once the other listens."""
        timer = threading.Timer(0.1, self.sock.listen)
        timer.start()
        self.addCleanup(timer.cancel)
        self.assertTrue(wait_for_listener(HOST, self.port, 60_000.0))

    def test_does_not_come_up(self):
        """It goes on without one that never does, not before its time."""
        began_s = time.monotonic()
        self.assertFalse(wait_for_listener(HOST, self.port, 120.0))
        self.assertGreater(time.monotonic() - began_s, 0.05)


class OrderTest(unittest.TestCase):
    """Which of the two goes first."""

    def test_one_goes_first(self):
        """On each kind of host exactly one of the two waits."""
        starts_second = runner().starts_second
        for has_disk in (True, False):
            waiting = [starts_second(each, has_disk) for each in ("entry", "keeper")]
            self.assertEqual(waiting.count(True), 1)

    def test_voters_first(self):
        """A keeper that may lead goes before the entry, a relay after it."""
        starts_second = runner().starts_second
        self.assertFalse(starts_second("keeper", True))
        self.assertFalse(starts_second("entry", False))
