"""Clients that occupy a server's memory and descriptors, and what the server holds."""

import contextlib
import http.client
import http.server
import json
import selectors
import socket
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

__all__ = [
    "ClientSwarm",
    "Held",
    "HeldWatch",
    "PlatformStandin",
    "encode_request",
    "make_config",
    "send_ordinary",
]

# Largest number of bytes that one client sends at once.
MAX_SEND_BYTES = 65_536
# Time in seconds between two readings of what a process holds.
WATCH_INTERVAL_S = 0.05
# Bytes of the answer of the stand-in's service to an upload, and of its large answers.
ANSWER_BYTES = 200_000
LARGE_ANSWER_BYTES = 16_000_000


def encode_request(
    target: str, n_body_bytes: int, method: str = "POST", host: str = "shop.example"
) -> bytes:
    """Return an HTTP request with nothing but the headers that HTTP requires."""
    head = f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n"
    head += f"content-length: {n_body_bytes}\r\n\r\n"
    return head.encode() + b"x" * n_body_bytes


class ClientSwarm:
    """Clients that send the same bytes, stay open and read nothing.

    A context manager; the clients connect and send in a thread of their own until it
    ends.

    Parameters
    ----------
    addr : tuple
        IP address and port.
    n_clients : int
    data : bytes
        What each client sends.
    piece_bytes, pause_s : int, float
        Most bytes of one client between two pauses of this length.
    """

    def __init__(
        self,
        addr: tuple[str, int],
        n_clients: int,
        data: bytes,
        piece_bytes: int = MAX_SEND_BYTES,
        pause_s: float = 0.0,
    ):
        self._addr = addr
        self._data = memoryview(data)
        self._piece_bytes = piece_bytes
        self._pause_s = pause_s
        self._n_clients = n_clients
        self._offsets: dict[socket.socket, int] = {}
        self._selector = selectors.DefaultSelector()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.n_sent_bytes = 0

    def __enter__(self) -> "ClientSwarm":
        """Connect and begin to send."""
        for _ in range(self._n_clients):
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.connect(self._addr)
            self._offsets[sock] = 0
            self._selector.register(sock, selectors.EVENT_WRITE)
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the connections of all clients."""
        self._stop.set()
        self._thread.join()
        for sock in self._offsets:
            sock.close()
        self._selector.close()

    def wait_until_quiet(self, quiet_s: float = 2.0, limit_s: float = 30.0) -> None:
        """Return when no client could send for a while, or after the limit."""
        ends_at_s = time.monotonic() + limit_s
        n_sent_bytes, since_s = self.n_sent_bytes, time.monotonic()
        while time.monotonic() < min(ends_at_s, since_s + quiet_s):
            time.sleep(0.1)
            if self.n_sent_bytes != n_sent_bytes:
                n_sent_bytes, since_s = self.n_sent_bytes, time.monotonic()

    def _run(self) -> None:
        while not self._stop.is_set():
            if not self._selector.get_map():
                self._stop.wait(0.1)
                continue
            for key, _ in self._selector.select(0.1):
                self._send(key.fileobj)
            if self._pause_s:
                self._stop.wait(self._pause_s)

    def _send(self, sock: Any) -> None:
        offset = self._offsets[sock]
        try:
            n_bytes = sock.send(self._data[offset : offset + self._piece_bytes])
        except BlockingIOError:
            return
        except OSError:  # The server has refused or closed the connection.
            self._selector.unregister(sock)
            return
        self.n_sent_bytes += n_bytes
        self._offsets[sock] = offset + n_bytes
        if offset + n_bytes == len(self._data):
            self._selector.unregister(sock)


class Held(NamedTuple):
    """What a process holds at one time.

    Parameters
    ----------
    n_bytes : int
        Memory of the process, and bytes in the operating system's queues of the
        connections that it has accepted.
    n_files : int
        Open descriptors.
    """

    n_bytes: int
    n_files: int


class HeldWatch:
    """Reads in a thread what a process holds; a context manager.

    Parameters
    ----------
    pid : int
    addrs : tuple of tuple
        Addresses on which the process listens.

    Attributes
    ----------
    peak : Held
        The largest of each value so far.
    """

    def __init__(self, pid: int, *addrs: tuple[str, int]):
        self._pid = pid
        self._addrs = {_encode_addr(*addr) for addr in addrs}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.peak = Held(0, 0)

    def __enter__(self) -> "HeldWatch":
        """Begin to read."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop reading."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(WATCH_INTERVAL_S):
            with contextlib.suppress(OSError, StopIteration):  # The process has ended.
                held = self._read()
                self.peak = Held(*map(max, held, self.peak))

    def _read(self) -> Held:
        proc = Path(f"/proc/{self._pid}")
        status = (proc / "status").read_text().splitlines()
        resident_kb = next(int(x.split()[1]) for x in status if x.startswith("VmRSS"))
        n_queued_bytes = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            # The receive queue of a listening socket counts connections, not bytes.
            if fields[1] in self._addrs and fields[3] != "0A":
                n_queued_bytes += sum(int(n, 16) for n in fields[4].split(":"))
        n_files = sum(1 for _ in (proc / "fd").iterdir())
        return Held(resident_kb * 1024 + n_queued_bytes, n_files)


def _encode_addr(host: str, port: int) -> str:
    """Return an address as ``/proc/net/tcp`` shows it."""
    return f"{socket.inet_aton(host)[::-1].hex().upper()}:{port:04X}"


class _Handler(http.server.BaseHTTPRequestHandler):
    """Serves the platform's list and, as a backend server, uploads."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802
        instances = [self.server.instance]
        self._send_answer(json.dumps({"instances": instances, "next": None}).encode())

    def do_POST(self) -> None:  # noqa: N802
        n_left = int(self.headers.get("content-length", 0))
        answer = b"y" * ANSWER_BYTES if n_left > MAX_SEND_BYTES else b"ran"
        while n_left:
            n_left -= len(self.rfile.read(min(n_left, MAX_SEND_BYTES)))
        if not self.path.startswith("/large/"):
            self._send_answer(answer)
            return
        self.server.n_begun += 1
        self._send_answer(b"y" * LARGE_ANSWER_BYTES)
        self.server.n_ended += 1

    def _send_answer(self, body: bytes) -> None:
        self.send_response(200)
        request_id = self.headers.get("request-id")
        if request_id:
            self.send_header("request-id", request_id)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        try:
            self.wfile.write(body)
        except OSError:  # The entry has left.
            self.close_connection = True

    def log_message(self, *args: Any) -> None:
        """Suppress the log of requests."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1_024

    def handle_error(self, *args: Any) -> None:
        """Suppress errors of connections that the entry has closed."""


class PlatformStandin:
    """The platform's list of servers and the one server that it names.

    Parameters
    ----------
    list_addr : str
        ``ip:port``.
    """

    def __init__(self, list_addr: str):
        host, port = list_addr.split(":")
        self._server = _Server((host, int(port)), _Handler)
        self._server.n_begun = self._server.n_ended = 0
        self._server.instance = {
            "id": "i-1",
            "service": "desk",
            "zone": "z1",
            "address": list_addr,
            "slots": 64,
            "state": "ready",
        }
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def n_large_begun(self) -> int:
        """Number of large answers that the server has begun."""
        return self._server.n_begun

    @property
    def n_large_ended(self) -> int:
        """Number of large answers that the server has sent or that were broken off."""
        return self._server.n_ended

    def close(self) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()


def make_config() -> dict[str, Any]:
    """Return a config with two routes to the stand-in's service."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "r1",
                "host": "shop.example",
                "pathPrefix": "/orders/",
                "kind": "safe",
                "timeoutMs": 10_000,
                "service": "desk",
                "maxAttempts": 1,
            },
            {
                "name": "r2",
                "host": "shop.example",
                "pathPrefix": "/large/",
                "kind": "safe",
                "timeoutMs": 300_000,
                "service": "desk",
                "maxAttempts": 1,
            },
        ],
        "services": [{"name": "desk", "maxConnections": 64}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def send_ordinary(host: str, port: int, n_body_bytes: int) -> int:
    """Send one request as ordinary callers do; return the status of its answer."""
    conn = http.client.HTTPConnection(host, port, timeout=15)
    headers = {"host": "shop.example", "request-id": "q1"}
    try:
        conn.request("POST", "/orders/1", b"z" * n_body_bytes, headers)
        response = conn.getresponse()
        response.read()
        return response.status
    finally:
        conn.close()
