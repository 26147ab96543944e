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
# Pause, in milliseconds, between two looks at a connection.
POLL_PAUSE_MS = 2.0


async def has_ended_in_order(sock: socket.socket, has_body: bool) -> bool:
    """Return whether a connection was not reset, once its end has been read.

    A server may answer before it has read the whole request, so bytes of the request
    that the peer has not acknowledged are awaited. They are acknowledged, or the
    connection is lost: at a server that is gone by a reset, at a silent one by the
    operating system's time-out.

    Parameters
    ----------
    sock : socket.socket
        A connection on which everything was sent and the end of the answer was read.
    has_body : bool
        Whether the request had a body. A server that answers has read the remainder of
        the request, and without a body there is nothing else to leave unread.
    """
    acknowledged_at_ms: float | None = None
    while not _is_lost(sock):
        if not has_body:
            return True
        now_ms = monotonic_ms()
        if acknowledged_at_ms is None:
            acknowledged_at_ms = None if _count_unacknowledged(sock) else now_ms
        elif now_ms >= acknowledged_at_ms + RESET_HOLD_MS:
            return True
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
    buffer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", buffer)[0]
