"""Starts the programs of the deploy file as processes on loopback addresses.

Each host has an address of its own in one loopback network, so the programs listen on
the ports that they have on separate hosts.
"""

import contextlib
import http.client
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

__all__ = [
    "CALLERS_PORT",
    "LIST_PORT",
    "OPERATORS_PORT",
    "SERVERS_PORT",
    "Deployment",
    "Host",
    "Program",
]

ROOT = Path(__file__).resolve().parent.parent
CALLERS_PORT = 8149
READY_PORT = 8141
OPERATORS_PORT = 8144
LIST_PORT = 8142
SERVERS_PORT = 8080
INTERNAL_PORTS = (7380, 7395)
ZONES = ("z1", "z2", "z3")
# Number of loopback networks that are tried before the start fails.
N_NETWORK_TRIALS = 50
# Time limit of one call of the operator, in seconds.
CALL_TIMEOUT_S = 2.0
# Characters of each log that `print_logs` prints.
LOG_TAIL_CHARS = 3_000
# Time within which a removed key of a customer stops working, in milliseconds.
REVOKE_MS = 5_000
# Limits that the platform states in each settings file.
BOUNDS = {
    "drainMs": 3_000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetExtra": 64,
    "fencingEnforced": True,
    "leaseMs": 3_000,
    "ceilingWindowS": 5,
    "revokeStrict": True,
    "revokeMs": REVOKE_MS,
}


class Host(NamedTuple):
    """A host of the deployment.

    Parameters
    ----------
    number : int
        Last byte of its address.
    has_disk : bool
    """

    number: int
    has_disk: bool = False

    @property
    def zone(self) -> str:
        """Availability zone of the host."""
        return ZONES[self.number % len(ZONES)]


class Program(NamedTuple):
    """A running program of a host.

    Parameters
    ----------
    host : Host
    role : str
        Its role in the deploy file: entry or keeper.
    process : subprocess.Popen
    """

    host: Host
    role: str
    process: subprocess.Popen


class Deployment:
    """Processes, their settings files, disks and logs; a context manager.

    Parameters
    ----------
    n_losses : int
        Number of disks that may be lost at the same time.
    limits : dict or None
        Memory and descriptors of every host, as the platform states them; the
        descriptors are also set as a limit of each process.
    """

    def __init__(self, n_losses: int = 1, limits: dict[str, int] | None = None):
        self.folder = Path(tempfile.mkdtemp(prefix="cowslip-soak-"))
        self.programs: dict[tuple[str, Host], Program] = {}
        self.seeds: tuple[Host, ...] = ()
        self._n_losses = n_losses
        self._limits = limits or {}
        self._network = _choose_network()
        deploy_file = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy_file["roles"]

    def __enter__(self) -> "Deployment":
        """Return the deployment."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill every process; print the ends of the logs after a failure."""
        for program in self.programs.values():
            self._kill(program)
        if exc_info[0] is not None:
            self.print_logs()
        shutil.rmtree(self.folder, ignore_errors=True)

    def get_ip(self, number: int) -> str:
        """Return an address of this deployment's network."""
        return f"{self._network}.{number}"

    @property
    def list_addr(self) -> str:
        """``ip:port`` at which the programs expect the list of backend servers."""
        return f"{self.get_ip(1)}:{LIST_PORT}"

    def start(self, role: str, host: Host, is_first_start: bool = False) -> None:
        """Start a program with the settings of this moment."""
        self.write_settings(role, host, is_first_start)
        # The interpreter that runs the tests has the libraries.
        arguments = self._roles[role]["run"].split()
        arguments = arguments[arguments.index("platform/run.py") :]
        environ = {
            **os.environ,
            **self._roles[role].get("env", {}),
            "COWSLIPWOOD_NODE_FILE": str(self._get_settings_path(role, host)),
        }
        with self.get_log_path(role, host).open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        if "maxFds" in self._limits:
            n_files = (self._limits["maxFds"],) * 2
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, n_files)
        self.programs[role, host] = Program(host, role, process)

    def write_settings(
        self, role: str, host: Host, is_first_start: bool = False
    ) -> None:
        """Write the settings file of a program, which may be running."""
        ip = self.get_ip(host.number)
        settings: dict[str, Any] = {
            "nodeName": f"host-{host.number}",
            "role": role,
            "ip": ip,
            "zone": host.zone,
            "listenAddrs": {
                "front": f"{ip}:{CALLERS_PORT}",
                "ready": f"{ip}:{READY_PORT}",
            }
            if role == "entry"
            else {"control": f"{ip}:{OPERATORS_PORT}"},
            "internalPorts": INTERNAL_PORTS,
            "seeds": [
                f"{self.get_ip(seed.number)}:{OPERATORS_PORT}" for seed in self.seeds
            ],
            "bootstrap": is_first_start,
            "faultTolerance": {"machines": self._n_losses},
            "bounds": BOUNDS,
            "limits": self._limits,
            "cloudApi": {"address": self.list_addr, "ratePerS": 47.0},
        }
        if host.has_disk and role == "keeper":
            disk = self.get_disk_path(host)
            disk.mkdir(exist_ok=True)
            settings["dataDir"] = str(disk)
        path = self._get_settings_path(role, host)
        # A running program may read the file at any time.
        unfinished = path.with_suffix(".new")
        unfinished.write_text(json.dumps(settings))
        unfinished.rename(path)

    def change_seeds(self, seeds: Sequence[Host]) -> None:
        """Name other seeds in all settings files, without a signal."""
        self.seeds = tuple(seeds)
        for program in self.programs.values():
            self.write_settings(program.role, program.host)

    def signal(self, role: str, host: Host, signum: signal.Signals) -> None:
        """Send a signal to a program unless it has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.programs[role, host].process.send_signal(signum)

    def kill(self, role: str, host: Host) -> None:
        """Kill a program and wait for its end."""
        self._kill(self.programs[role, host])

    def wipe_disk(self, host: Host) -> None:
        """Delete the files of a keeper that does not run."""
        shutil.rmtree(self.get_disk_path(host))

    def put_config(self, host: Host, config: dict[str, Any]) -> int | None:
        """Send a config to one host; return the status, None without an answer."""
        return self._call_operators_api(host, "PUT", json.dumps(config))[0]

    def read_config(self, host: Host) -> dict[str, Any] | None:
        """Return the config that one host answers; None if it answers none."""
        status, body = self._call_operators_api(host, "GET")
        return json.loads(body) if status == 200 else None

    def is_ready(self, host: Host) -> bool:
        """Return whether the entry of a host says that it is ready."""
        path = "/cowslipwood/readiness"
        return self._call(host, READY_PORT, "GET", path)[0] == 200

    def get_log_path(self, role: str, host: Host) -> Path:
        """Return the file with the output of a program and of its predecessors."""
        return self.folder / f"{role}-{host.number}.log"

    def get_disk_path(self, host: Host) -> Path:
        """Return the folder that a host's keeper uses as its disk."""
        return self.folder / f"disk-{host.number}"

    def print_logs(self) -> None:
        """Print the end of the log of each program."""
        for program in self.programs.values():
            path = self.get_log_path(program.role, program.host)
            print(f"--- {path.name}\n{path.read_text()[-LOG_TAIL_CHARS:]}")

    def _call_operators_api(
        self, host: Host, method: str, body: str | None = None
    ) -> tuple[int | None, bytes]:
        return self._call(host, OPERATORS_PORT, method, "/cowslipwood/config", body)

    def _call(
        self, host: Host, port: int, method: str, path: str, body: str | None = None
    ) -> tuple[int | None, bytes]:
        conn = http.client.HTTPConnection(
            self.get_ip(host.number), port, timeout=CALL_TIMEOUT_S
        )
        try:
            conn.request(method, path, body, {"content-type": "application/json"})
            response = conn.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return None, b""
        finally:
            conn.close()

    def _kill(self, program: Program) -> None:
        program.process.kill()
        program.process.wait()

    def _get_settings_path(self, role: str, host: Host) -> Path:
        return self.folder / f"{role}-{host.number}.json"


def _choose_network() -> str:
    """Return the first three bytes of a loopback network whose ports are free."""
    rng = random.SystemRandom()
    ports = (*INTERNAL_PORTS, CALLERS_PORT, READY_PORT, OPERATORS_PORT)
    for _ in range(N_NETWORK_TRIALS):
        network = f"127.{rng.randint(2, 250)}.{rng.randint(2, 250)}"
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in ports:
                sock = stack.enter_context(socket.socket())
                sock.bind((f"{network}.11", port))
            return network
    raise OSError("no loopback network with free ports")
