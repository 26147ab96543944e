"""Delays the start of a program until another program of the host listens.

Importing a program's modules takes most of its start time and occupies one core. When
two programs of a host start at the same moment, for example after a power failure, the
one that other processes depend on is ready sooner if the other one starts after it.
This module imports only a small part of the standard library, so it delays neither.
"""

import socket
import time

__all__ = ["wait_for_listener"]

# Longest time to wait for the other program, in milliseconds. Importing a program's
# modules takes about this time on the slowest hosts; a program that does not start must
# not delay the other one for longer.
LISTENER_TIMEOUT_MS = 700.0
# Time between two attempts to connect, in milliseconds. An attempt costs little, as the
# host refuses it at once while nothing listens.
POLL_INTERVAL_MS = 25.0


def wait_for_listener(
    host: str, port: int, timeout_ms: float = LISTENER_TIMEOUT_MS
) -> bool:
    """Wait until a program of this host listens on a port; return whether it does.

    Parameters
    ----------
    host : str
        This host's address.
    port : int
    timeout_ms : float
        Longest time to wait, in milliseconds.

    Returns
    -------
    bool
        False when the time passed without a listener.
    """
    deadline_s = time.monotonic() + timeout_ms / 1000
    while True:
        with socket.socket() as sock:
            sock.settimeout(POLL_INTERVAL_MS / 1000)
            if sock.connect_ex((host, port)) == 0:
                return True
        if time.monotonic() + POLL_INTERVAL_MS / 1000 > deadline_s:
            return False
        time.sleep(POLL_INTERVAL_MS / 1000)
