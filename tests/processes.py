"""Starts the project's programs as separate processes for tests."""

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

# Longest time in seconds that a test waits for a condition, a program or an answer.
DEFAULT_TIMEOUT_S = 60.0
# First of the ports that `free_port` returns. They are below the range from which the
# operating system takes the ports of outgoing connections.
FIRST_PORT = 10_000
# Number of ports from which `free_port` chooses.
N_PORTS = 20_000
# Index of the first port that this process tries; it depends on the process id so that
# test processes that run at the same time try different ports.
_FIRST_INDEX = os.getpid() * 500 % N_PORTS
_PORTS = iter([FIRST_PORT + (_FIRST_INDEX + i) % N_PORTS for i in range(N_PORTS)])
# Number of characters of each process's log that are printed when a test fails.
LOG_TAIL_CHARS = 4_000


def free_port() -> int:
    """Return a TCP port on loopback on which no process listens.

    No port is returned twice by this process, and none is in the range from which the
    operating system takes the ports of outgoing connections.
    """
    for port in _PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                return port
    raise AssertionError("no free port is left")


def wait_for(
    condition: Any,
    what: str,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    poll_s: float = 0.02,
) -> Any:
    """Call `condition` until it returns a true value, and return that value.

    Parameters
    ----------
    condition : callable
        Function without parameters; an HTTP or operating system error that it raises
        counts as a false value.
    what : str
        What is awaited, for the message of the failure.
    timeout_s : float
        Time in seconds after which the test fails.
    poll_s : float
        Pause between two calls, in seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError, http.client.HTTPException):
            result = condition()
            if result:
                return result
        time.sleep(poll_s)
    raise AssertionError(f"waited {timeout_s} s for {what}")


class Cluster:
    """Starts processes and kills them at the end; a context manager.

    Attributes
    ----------
    folder : Path
        Contains the logs and data of the processes; deleted at the end.
    processes : dict of str to subprocess.Popen
        The started processes by name.
    environ : dict of str to str
        Environment variables of every process.
    keepers : str
        Comma-separated ``ip:port`` of the keepers; empty until they are started.
    """

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
        """Kill every process that was started; after a failure, print the logs."""
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
        """Start a program that writes its log to ``name.log``."""
        code = f"from cowslipwood.programs.{program} import main; main()"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-c", code, *flags],
                stdout=log,
                stderr=log,
                env={**self.environ, **environ},
            )

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text()

    def start_keeper(self, *flags: str) -> None:
        """Start a keeper that is the only member of its log."""
        self.keepers = f"127.0.0.1:{free_port()}"
        self.start_keeper_process("keeper", "k1", self.keepers, free_port(), *flags)

    def start_keepers(self, n_keepers: int, *flags: str) -> None:
        """Start keepers k1, k2, ... that share a log."""
        addrs = [f"127.0.0.1:{free_port()}" for _ in range(n_keepers)]
        self.keepers = ",".join(addrs)
        self.restart_keepers(*flags)

    def restart_keepers(self, *flags: str) -> None:
        """Start the keepers of a shared log at their addresses, with their data."""
        addrs = self.keepers.split(",")
        peers = ",".join(f"k{number}={addr}" for number, addr in enumerate(addrs, 1))
        for number, addr in enumerate(addrs, 1):
            name = f"k{number}"
            self.start_keeper_process(
                name, name, addr, free_port(), f"--peers={peers}", *flags
            )

    def start_keeper_process(
        self, process: str, keeper_id: str, addr: str, http_port: int, *flags: str
    ) -> None:
        """Start a keeper.

        Parameters
        ----------
        process : str
            Name of the process.
        keeper_id : str
        addr : str
            ``ip:port`` at which it accepts processes and other keepers.
        http_port : int
            Port of its HTTP interface.
        *flags : str
            Further flags.
        """
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
        """Run ``cowslipctl`` to its end; return its exit status and output."""
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
            timeout=DEFAULT_TIMEOUT_S,
        )

    def put(self, value: dict[str, Any]) -> dict[str, Any]:
        """Put a catalogue entry with ``cowslipctl`` and return the answer as JSON."""
        path = self.folder / f"{value['name']}.json"
        path.write_text(json.dumps(value))
        completed = self.ctl("put", str(path), "--json")
        if completed.returncode:
            raise AssertionError(completed.stderr)
        return json.loads(completed.stdout)


def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Make one HTTP call; return status, headers by lower-case name, and body."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=DEFAULT_TIMEOUT_S)
    try:
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data, headers or {})
        response = conn.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return response.status, names, response.read()
    finally:
        conn.close()


__all__ += ["call"]
