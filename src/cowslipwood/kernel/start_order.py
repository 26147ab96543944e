"""Lets the programs of one host start one after the other.

Loading a program takes most of its start and a whole core. Where two start at the same
moment, as after a loss of power, the one that others wait for comes up sooner when the
other one begins after it. Loads the standard library's sockets only.
"""

import socket
import time

__all__ = ["await_listener"]

# A program that does not come up must not hold up the other one for long; loading takes
# about this time on the slowest hosts.
MOST_WAIT_MS = 700.0
# Each look is a connection that is refused at once.
LOOK_MS = 25.0


def await_listener(host: str, port: int, most_ms: float = MOST_WAIT_MS) -> bool:
    """Wait until a program of this host listens; return whether it does.

    Parameters
    ----------
    host : str
        This host's address.
    port : int
    most_ms : float
        Longest time to wait.
    """
    until_s = time.monotonic() + most_ms / 1000
    while True:
        with socket.socket() as sock:
            sock.settimeout(LOOK_MS / 1000)
            if sock.connect_ex((host, port)) == 0:
                return True
        if time.monotonic() + LOOK_MS / 1000 > until_s:
            return False
        time.sleep(LOOK_MS / 1000)
