"""Loading settings from flags and environment variables."""

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


class _ExampleSettings(NamedTuple):
    """The settings that the tests load.

    Parameters
    ----------
    listen : str
        ip:port.
    queue_ms : int
        Longest time in the queue, in milliseconds.
    mode : str
        fast or safe.
    verbose : bool
        Log more events.
    token : str
        A secret.
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
    """Precedence of flags and variables, and refusal of invalid values."""

    def _load_invalid(self, environ, argv) -> tuple[int, str]:
        stderr = io.StringIO()
        with (
            contextlib.redirect_stderr(stderr),
            self.assertRaises(SystemExit) as raised,
        ):
            load_settings(_ExampleSettings, CHECKS, environ, argv)
        return raised.exception.code, stderr.getvalue()

    def test_flag_overrides_variable_overrides_default(self):
        """A flag overrides its variable, which overrides the default."""
        environ = {
            "COWSLIP_LISTEN": "127.0.0.1:1",
            "COWSLIP_QUEUE_MS": "7",
            "COWSLIP_VERBOSE": "true",
        }
        loaded = load_settings(_ExampleSettings, CHECKS, environ, ["--queue-ms", "9"])
        self.assertEqual(loaded, _ExampleSettings("127.0.0.1:1", 9, "safe", True))

    def test_wrong_value(self):
        """An invalid value ends the process; its error names setting and values."""
        for argv, expected_texts in (
            (["--listen=x"], ("--listen", "COWSLIP_LISTEN", "'x'", "ip:port")),
            (["--listen=1.1.1.1:1", "--queue-ms=0"], ("--queue-ms", "0", "1 to 1000")),
            (["--listen=1.1.1.1:1", "--mode=odd"], ("--mode", "odd", "fast, safe")),
            (["--listen=1.1.1.1:1", "--queue-ms=x"], ("queue-ms", "x")),
            ([], ("--listen",)),
        ):
            status, text = self._load_invalid({}, argv)
            self.assertEqual(status, 40)
            self.assertIn("5001", text)
            for expected in expected_texts:
                self.assertIn(expected, text)

    def test_unknown_variable(self):
        """An unknown variable ends the process; an unused shared one does not."""
        status, text = self._load_invalid(
            {"COWSLIP_COLOUR": "red"}, ["--listen=1.1.1.1:1"]
        )
        self.assertEqual(status, 41)
        self.assertIn("COWSLIP_COLOUR", text)
        shared = {"COWSLIP_ZONE": "banda"}
        load_settings(_ExampleSettings, CHECKS, shared, ["--listen=1.1.1.1:1"])

    def test_secret_is_hidden(self):
        """The value of an invalid token is not printed."""
        _, text = self._load_invalid({}, ["--listen=1.1.1.1:1", "--token=hunter2"])
        self.assertNotIn("hunter2", text)
