"""A server that answers an upload early and ends its connection in a given way.

It uses a plain socket, because anyio's streams decide themselves how they close.
"""

import contextlib
import enum
import socket
import struct
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

from cowslipwood.entry.direct._exchange import RequestForwarder
from cowslipwood.kernel.codes import Failure
from cowslipwood.routes import Route

from .direct_builders import (
    RecordingSink,
    build_direct_state,
    build_listed_server,
    build_request,
    create_rng,
)

# Value of SO_LINGER with which a close resets the connection.
RESET = struct.pack("ii", 1, 0)
# Longest time, in seconds, for which the server waits for bytes of an upload.
READ_TIMEOUT_S = 5.0
# Largest number of bytes that one read takes.
MAX_READ_BYTES = 65_536


class Ending(enum.Enum):
    """How a server ends its connection after its answer."""

    # Closes; the operating system resets the connection if bytes were left unread.
    CLOSE = "close"
    # Ends its own direction first, as asyncio servers do, and then closes.
    SHUTDOWN_CLOSE = "shutdown_close"
    # Ends its own direction, reads the whole upload, and closes.
    SHUTDOWN_READ_CLOSE = "shutdown_read_close"
    # Reads the whole upload, and closes.
    READ_CLOSE = "read_close"
    # Resets the connection, whatever was read.
    RESET = "reset"
    # Ends its own direction, and then resets the connection.
    SHUTDOWN_RESET = "shutdown_reset"

    @property
    def has_shutdown(self) -> bool:
        """Whether the server ends its own direction before it closes."""
        return self in (
            Ending.SHUTDOWN_CLOSE,
            Ending.SHUTDOWN_READ_CLOSE,
            Ending.SHUTDOWN_RESET,
        )

    @property
    def reads_all(self) -> bool:
        """Whether the whole upload is read before an orderly close."""
        return self in (Ending.READ_CLOSE, Ending.SHUTDOWN_READ_CLOSE)


class EarlyAnswer(NamedTuple):
    """What a server does with an upload.

    Parameters
    ----------
    data : bytes
        The whole answer.
    ending : Ending
    n_first_bytes : int
        Number of bytes of the request that are read before the answer.
    pause_s : float
        Time between the answer and the end of the connection.
    """

    data: bytes
    ending: Ending
    n_first_bytes: int = 1_000
    pause_s: float = 0.0


@contextlib.contextmanager
def run_early_server(answer: EarlyAnswer) -> Iterator[tuple[str, list[bytes]]]:
    """Run a server that gives this answer on each connection.

    Yields its address and the uploads that it has read to their ends.
    """
    uploads: list[bytes] = []
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            with conn, contextlib.suppress(OSError):
                conn.settimeout(READ_TIMEOUT_S)
                _answer(conn, answer, uploads)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}", uploads
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()


def _answer(conn: socket.socket, answer: EarlyAnswer, uploads: list[bytes]) -> None:
    received = conn.recv(answer.n_first_bytes)
    if not received:  # A connection that only asks whether the server runs.
        return
    ending = answer.ending
    conn.sendall(answer.data)
    time.sleep(answer.pause_s)
    if ending.has_shutdown:
        conn.shutdown(socket.SHUT_WR)
    if ending.reads_all:
        uploads.append(_read_upload(conn, received))
    if ending in (Ending.RESET, Ending.SHUTDOWN_RESET):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def _read_upload(conn: socket.socket, received: bytes) -> bytes:
    """Read a request to the end that its length states; return its body."""
    data = bytearray(received)
    while b"\r\n\r\n" not in data:
        data += conn.recv(MAX_READ_BYTES)
    head, _, body = bytes(data).partition(b"\r\n\r\n")
    lengths = [
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    length = lengths[0] if lengths else 0
    data = bytearray(body)
    while len(data) < length:
        part = conn.recv(MAX_READ_BYTES)
        if not part:
            break
        data += part
    return bytes(data)


def build_upload(n_bytes: int) -> bytes:
    """Return an upload in which a part that is missing or repeated shows."""
    numbers = b"".join(b"%08d" % i for i in range(-(-n_bytes // 8)))
    return numbers[:n_bytes]


async def forward_upload(
    route: Route, addr: str, n_bytes: int, method: bytes = b"POST"
) -> tuple[RecordingSink, Failure | None]:
    """Send an upload through an entry that knows one server."""
    state = build_direct_state([build_listed_server("s0", addr)])
    sink = RecordingSink()
    request = build_request(route)._replace(method=method, body=build_upload(n_bytes))
    fault = await RequestForwarder(state, request, sink, create_rng()).run()
    return sink, fault
