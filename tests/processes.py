"""Starts the programs as separate processes for tests."""

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

__all__ = ["Cluster", "free_port", "wait_for"]

WAIT_S = 60.0
FIRST_PORT = 10_000
N_PORTS = 20_000
_START = os.getpid() * 500 % N_PORTS
_PORTS = iter([FIRST_PORT + (_START + i) % N_PORTS for i in range(N_PORTS)])
LOG_TAIL_CHARS = 4_000


def free_port() -> int:
    """Return a TCP port on loopback that no process listens on.

    Ports come from below the range that outgoing connections take theirs from,
    and none is given twice by this process.
    """
    for port in _PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                return port
    raise AssertionError("no free port is left")


def wait_for(condition: Any, what: str, limit_s: float = WAIT_S) -> Any:
    """Poll until `condition` returns something true, and return it."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            value = condition()
            if value:
                return value
        time.sleep(0.02)
    raise AssertionError(f"waited {limit_s} s for {what}")


class Cluster:
    """Separate processes with their logs in one folder; a context manager."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory(prefix="cowslip-test-")
        self.folder = Path(self._folder.name)
        self.processes: dict[str, subprocess.Popen] = {}
        self.environ = {
            **os.environ,
            "COWSLIP_CLUSTER_TOKEN": "cluster-secret",
        }
        self.keepers = ""

    def __enter__(self) -> "Cluster":
        """Return the cluster."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End every process that was started; on a failure, print the logs."""
        if exc_info[0] is not None:
            for name in self.processes:
                print(f"--- {name}\n{self.log(name)[-LOG_TAIL_CHARS:]}")
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._folder.cleanup()

    def start(self, name: str, program: str, *flags: str, **environ: str) -> None:
        """Start a program; its log goes to ``name.log``."""
        code = f"from cowslipwood.programs.{program} import main; main()"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-c", code, *flags],
                stdout=log,
                stderr=log,
                env={**self.environ, **environ},
            )

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.folder / f"{name}.log").read_text()

    def start_keeper(self, *flags: str) -> None:
        """Start one keeper that stands alone."""
        self.keepers = f"127.0.0.1:{free_port()}"
        self.start_member("keeper", "k1", self.keepers, free_port(), *flags)

    def start_keepers(self, n_keepers: int, *flags: str) -> None:
        """Start keepers k1, k2, ... that share a log."""
        addrs = [f"127.0.0.1:{free_port()}" for _ in range(n_keepers)]
        self.keepers = ",".join(addrs)
        peers = ",".join(f"k{n}={addr}" for n, addr in enumerate(addrs, 1))
        for n, addr in enumerate(addrs, 1):
            name = f"k{n}"
            self.start_member(name, name, addr, free_port(), f"--peers={peers}", *flags)

    def start_member(
        self, process: str, keeper_id: str, addr: str, http_port: int, *flags: str
    ) -> None:
        """Start one keeper under a process name."""
        self.start(
            process,
            "keeper",
            f"--keeper-id={keeper_id}",
            f"--data={self.folder}/{keeper_id}",
            f"--listen={addr}",
            f"--http-listen=127.0.0.1:{http_port}",
            *flags,
            COWSLIP_OPERATOR_TOKEN="operator-secret",
        )

    def ctl(self, *arguments: str, **environ: str) -> subprocess.CompletedProcess:
        """Run ``cowslipctl`` and return how it ended."""
        code = "from cowslipwood.programs.ctl import main; main()"
        return subprocess.run(
            [sys.executable, "-c", code, "--keepers", self.keepers, *arguments],
            capture_output=True,
            text=True,
            env={
                **self.environ,
                "COWSLIP_OPERATOR_TOKEN": "operator-secret",
                **environ,
            },
            timeout=WAIT_S,
        )

    def put(self, value: dict[str, Any]) -> dict[str, Any]:
        """Put a catalogue entry with ``cowslipctl`` and return its answer."""
        path = self.folder / f"{value['name']}.json"
        path.write_text(json.dumps(value))
        ended = self.ctl("put", str(path), "--json")
        if ended.returncode:
            raise AssertionError(ended.stderr)
        return json.loads(ended.stdout)


def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Make one HTTP call and return status, headers and body."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    try:
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data, headers or {})
        response = conn.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return response.status, names, response.read()
    finally:
        conn.close()


__all__ += ["call"]
