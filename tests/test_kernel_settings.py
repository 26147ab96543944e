"""Settings from flags and the environment."""

import contextlib
import io
import unittest
from typing import NamedTuple

from cowslipwood.kernel.settings import (
    address,
    load_settings,
    one_of,
    within,
)


class _Settings(NamedTuple):
    """Settings of a test.

    Parameters
    ----------
    listen : str
        ip:port.
    queue_ms : int
        Queue bound in milliseconds.
    mode : str
        fast or safe.
    verbose : bool
        Say more.
    token : str
        Secret.
    """

    listen: str
    queue_ms: int = 50
    mode: str = "safe"
    verbose: bool = False
    token: str = ""


CHECKS = {
    "listen": address(),
    "queue_ms": within(1, 1000),
    "mode": one_of("fast", "safe"),
    "token": one_of("", "right"),
}


class TestLoadSettings(unittest.TestCase):
    """Flags go before variables, variables before defaults."""

    def _refused(self, environ, argv) -> tuple[int, str]:
        written = io.StringIO()
        with contextlib.redirect_stderr(written), self.assertRaises(SystemExit) as end:
            load_settings(_Settings, CHECKS, environ, argv)
        return end.exception.code, written.getvalue()

    def test_order(self):
        """A flag overrides its variable, which overrides the default."""
        environ = {
            "COWSLIP_LISTEN": "127.0.0.1:1",
            "COWSLIP_QUEUE_MS": "7",
            "COWSLIP_VERBOSE": "true",
        }
        loaded = load_settings(_Settings, CHECKS, environ, ["--queue-ms", "9"])
        self.assertEqual(loaded, _Settings("127.0.0.1:1", 9, "safe", True))

    def test_wrong_value(self):
        """A wrong value ends the start with its name, value and what is allowed."""
        for argv, words in (
            (["--listen=x"], ("--listen", "COWSLIP_LISTEN", "'x'", "ip:port")),
            (["--listen=1.1.1.1:1", "--queue-ms=0"], ("--queue-ms", "0", "1 to 1000")),
            (["--listen=1.1.1.1:1", "--mode=odd"], ("--mode", "odd", "fast, safe")),
            (["--listen=1.1.1.1:1", "--queue-ms=x"], ("queue-ms", "x")),
            ([], ("--listen",)),
        ):
            status, text = self._refused({}, argv)
            self.assertEqual(status, 40)
            self.assertIn("5001", text)
            for word in words:
                self.assertIn(word, text)

    def test_unknown_variable(self):
        """An unknown variable ends the start; a shared one does not."""
        status, text = self._refused({"COWSLIP_COLOUR": "red"}, ["--listen=1.1.1.1:1"])
        self.assertEqual(status, 41)
        self.assertIn("COWSLIP_COLOUR", text)
        shared = {"COWSLIP_ZONE": "banda"}
        load_settings(_Settings, CHECKS, shared, ["--listen=1.1.1.1:1"])

    def test_secret_is_hidden(self):
        """A wrong token is not printed."""
        _, text = self._refused({}, ["--listen=1.1.1.1:1", "--token=hunter2"])
        self.assertNotIn("hunter2", text)
