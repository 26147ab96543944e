"""The order in which two programs of one host start."""

import importlib.util
import socket
import threading
import time
import unittest

from cowslipwood.kernel.start_order import wait_for_listener

from .test_platform_adapter import ADAPTER

HOST = "127.0.0.1"


def import_starter():
    """Return the adapter's ``run.py``, which starts the programs, as a module."""
    spec = importlib.util.spec_from_file_location("starter", ADAPTER / "run.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class WaitForListenerTest(unittest.TestCase):
    """Waiting until another program of the host listens."""

    def setUp(self):
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.port = self.listener.getsockname()[1]
        self.addCleanup(self.listener.close)

    def test_other_program_listens(self):
        """The wait ends at once when the other program already listens."""
        self.listener.listen()
        self.assertTrue(wait_for_listener(HOST, self.port, 0.0))

    def test_other_program_starts(self):
        """The wait ends when the other program begins to listen."""
        timer = threading.Timer(0.1, self.listener.listen)
        timer.start()
        self.addCleanup(timer.cancel)
        self.assertTrue(wait_for_listener(HOST, self.port, 60_000.0))

    def test_other_program_does_not_start(self):
        """The wait ends at the timeout when the other program does not listen."""
        started_s = time.monotonic()
        self.assertFalse(wait_for_listener(HOST, self.port, 120.0))
        self.assertGreater(time.monotonic() - started_s, 0.05)


class StartOrderTest(unittest.TestCase):
    """Which of a host's two programs starts first."""

    def test_one_program_waits(self):
        """Exactly one of the two programs waits, on hosts with and without a disk."""
        starts_second = import_starter().starts_second
        for has_disk in (True, False):
            waits = [
                starts_second(program, has_disk) for program in ("entry", "keeper")
            ]
            self.assertEqual(waits.count(True), 1)

    def test_keeper_with_disk_starts_first(self):
        """On a host with a disk the keeper starts first, on others the entry.

        A keeper with a disk can become leader, for which every entry waits; one
        without a disk only relays.
        """
        starts_second = import_starter().starts_second
        self.assertFalse(starts_second("keeper", True))
        self.assertFalse(starts_second("entry", False))
