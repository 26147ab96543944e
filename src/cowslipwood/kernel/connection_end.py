"""Tells an orderly end of a connection from one that a reset follows.

An answer without length or chunks is complete only if its connection was closed in an
orderly way. A process that ends its own direction of a connection and closes it with
bytes of the request left unread sends both an end and, right behind it, a reset. A
reader that stops at the end never learns of the reset.
"""

import fcntl
import select
import socket
import struct
import termios

import anyio

from .clock import monotonic_ms

__all__ = ["has_ended_in_order"]

# Time, in milliseconds, for which no reset must follow the end of an answer to a
# request with a body. The end and the reset are two steps of a process that closes, and
# a process without a core of its own is interrupted between them.
RESET_HOLD_MS = 30.0
# Longest time, in milliseconds, without another acknowledged byte of the request. It is
# that after which the operating system gives up an entry's connection; those of agents
# have no such limit.
ACKNOWLEDGE_TIMEOUT_MS = 1_500.0
# Pause, in milliseconds, between two looks at a connection.
POLL_PAUSE_MS = 2.0


async def has_ended_in_order(sock: socket.socket, has_body: bool) -> bool:
    """Return whether a connection was not reset, once its end has been read.

    A server may answer before it has read the whole request, so bytes of the request
    that the peer has not acknowledged are awaited, as long as it acknowledges some. If
    the server is gone, the connection is reset.

    Parameters
    ----------
    sock : socket.socket
        A connection on which everything was sent and the end of the answer was read.
    has_body : bool
        Whether the request had a body. A server that answers has read the remainder of
        the request, and without a body there is nothing else to leave unread.
    """
    n_unacknowledged = -1
    changed_at_ms = 0.0
    while not _is_lost(sock):
        if not has_body:
            return True
        now_ms = monotonic_ms()
        # Nothing more is sent, so that the number only falls, and stays at 0.
        n_left = _count_unacknowledged(sock)
        if n_left != n_unacknowledged:
            n_unacknowledged, changed_at_ms = n_left, now_ms
        elif n_left == 0 and now_ms >= changed_at_ms + RESET_HOLD_MS:
            return True
        elif now_ms >= changed_at_ms + ACKNOWLEDGE_TIMEOUT_MS:
            return False
        await anyio.sleep(POLL_PAUSE_MS / 1000)
    return False


def _is_lost(sock: socket.socket) -> bool:
    """Return whether a connection was reset or has timed out."""
    if sock.fileno() < 0:  # The failure of a write has closed it.
        return True
    poll = select.poll()
    # Without events, only errors and the end of both directions are reported.
    poll.register(sock.fileno(), 0)
    return bool(poll.poll(0))


def _count_unacknowledged(sock: socket.socket) -> int:
    """Return how many sent bytes the peer's operating system has not acknowledged."""
    try:
        buffer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        # Not every platform tells; a reset is then noticed within `RESET_HOLD_MS` only.
        return 0
    return struct.unpack("i", buffer)[0]
