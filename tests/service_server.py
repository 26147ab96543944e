"""A plain service that also serves the server list, in a thread of the test."""

import http.server
import json
import threading
import time
from typing import Any

__all__ = ["ServiceServer"]

SLOW_ANSWER_S = 1.5


class _ServiceHandler(http.server.BaseHTTPRequestHandler):
    """Serves a plain service and, under /list, the server list that names it."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        if self.path == "/list":
            self._send_answer(json.dumps({"servers": self.server.listed}).encode())
            return
        self.server.n_runs += 1
        if self.path.endswith("/slow"):
            time.sleep(SLOW_ANSWER_S)
        self._send_answer(b"ran " + self.path.encode())

    def _send_answer(self, body: bytes) -> None:
        self.send_response(200)
        request_id = self.headers.get("x-request-id")
        if request_id:
            self.send_header("x-request-id", request_id)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: Any) -> None:
        """Suppress the log of requests."""


class ServiceServer:
    """HTTP server of the service and of the server list, in its own thread."""

    def __init__(self):
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), _ServiceHandler
        )
        addr = f"127.0.0.1:{self._server.server_address[1]}"
        self.list_url = f"http://{addr}/list"
        self._server.n_runs = 0
        self._server.listed = [
            {"server_id": "s1", "service": "desk", "zone": "zone-1", "addr": addr},
            {"server_id": 7, "service": "desk"},
        ]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def n_runs(self) -> int:
        """Number of requests that the service ran."""
        return self._server.n_runs

    def close(self) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()
