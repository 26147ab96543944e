"""Starts the processes of a load profile for experiments."""

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import anyio
import orjson
from returns.result import Failure as Err
from tests.processes import Cluster, free_port, wait_for

from cowslipwood.load import Profile, draw_catalogue
from cowslipwood.programs._ctl_client import KeeperAccess, OperatorCommand, run_command

__all__ = ["Installation", "Policies", "make_keeper_flags"]

# Time in milliseconds until the first token of a stand-in engine.
ENGINE_FIRST_TOKEN_MS = 80
# Time in milliseconds between two tokens of a stand-in engine.
ENGINE_BETWEEN_TOKENS_MS = 60
# Time in milliseconds that a stand-in engine takes to load a model.
ENGINE_LOAD_MS = 500
# Time limit in seconds until all of the catalogue is ready.
READY_TIMEOUT_S = 240.0
# Time of the fault as a share of the run's duration.
FAULT_AT_SHARE = 0.4
# Process names of the keepers in `Cluster` and in `KeeperCluster`.
KEEPER_NAMES = ("keeper", "k1", "k2", "k3")


class Policies(NamedTuple):
    """The policies of one run; an empty value means the default of the program."""

    routing: str
    placement: str
    move_weight: str


def make_keeper_flags(profile: Profile, policies: Policies) -> list[str]:
    """Return the command-line flags of the keepers."""
    flags = [
        f"--loads-per-s={profile.store_loads_per_s}",
        f"--max-loads-at-once={profile.store_full_speed_loads}",
    ]
    if policies.placement:
        flags.append(f"--placement={policies.placement}")
    if policies.move_weight:
        flags.append(f"--move-weight={policies.move_weight}")
    return flags


class Installation:
    """The processes of a profile: stand-ins, agents and entries of running keepers.

    Parameters
    ----------
    cluster : Cluster
        Cluster whose keepers have been started.
    profile : Profile
    policies : Policies
    """

    def __init__(self, cluster: Cluster, profile: Profile, policies: Policies):
        self.cluster = cluster
        self.profile = profile
        self._policies = policies
        self._store_addr = f"127.0.0.1:{free_port()}"
        self.entry_addrs: list[str] = []
        self.daemon_addrs: list[str] = []

    def start(self, n_entries: int) -> None:
        """Start all processes except the keepers."""
        self._start_store()
        for index in range(self.profile.n_engines):
            self._start_engine(index)
        for index in range(self.profile.n_services):
            self._start_service(index)
        for index in range(n_entries):
            self._start_entry(index)

    def _start_store(self) -> None:
        self.cluster.start(
            "store",
            "standin",
            "--kind=store",
            f"--listen={self._store_addr}",
            f"--loads-per-s={self.profile.store_loads_per_s}",
            f"--full-speed-loads={self.profile.store_full_speed_loads}",
        )

    def _find_zone(self, index: int) -> str:
        return self.profile.zones[index % len(self.profile.zones)]

    def _start_engine(self, index: int) -> None:
        port = free_port()
        self.cluster.start(
            f"engine-{index}",
            "standin",
            "--kind=engine",
            f"--listen=127.0.0.1:{port}",
            f"--capacity-bytes={self.profile.capacity_bytes}",
            f"--knee-in-flight={self.profile.knee_in_flight}",
            f"--first-token-ms={ENGINE_FIRST_TOKEN_MS}",
            f"--between-tokens-ms={ENGINE_BETWEEN_TOKENS_MS}",
            f"--load-ms={ENGINE_LOAD_MS}",
            f"--store-url=http://{self._store_addr}",
        )
        self._start_agent(f"engine-{index}", port, self._find_zone(index))

    def _start_service(self, index: int) -> None:
        name = self.profile.services[index % len(self.profile.services)][0]
        port = free_port()
        server_id = f"service-{index}"
        listen = f"--listen=127.0.0.1:{port}"
        self.cluster.start(server_id, "standin", "--kind=service", listen)
        flags = ("--dialect=service", f"--service-name={name}")
        self._start_agent(server_id, port, self._find_zone(index), flags)

    def _start_agent(
        self, server_id: str, backend_port: int, zone: str, flags: Sequence[str] = ()
    ) -> None:
        listen = f"127.0.0.1:{free_port()}"
        self.cluster.start(
            f"agent-{server_id}",
            "agent",
            f"--server-id={server_id}",
            f"--backend-url=http://127.0.0.1:{backend_port}",
            f"--listen={listen}",
            f"--zone={zone}",
            f"--keepers={self.cluster.keepers}",
            *flags,
        )
        self.daemon_addrs.append(listen)

    def _start_entry(self, index: int) -> None:
        listen = f"127.0.0.1:{free_port()}"
        flags = []
        if self._policies.routing:
            flags.append(f"--routing={self._policies.routing}")
        self.cluster.start(
            f"entry-{index}",
            "entry",
            f"--listen={listen}",
            f"--zone={self._find_zone(index)}",
            f"--keepers={self.cluster.keepers}",
            *flags,
        )
        self.entry_addrs.append(listen)
        self.daemon_addrs.append(listen)

    def put_catalogue(self, seed: int) -> None:
        """Write the catalogue of the profile and wait until all models are ready."""
        entries_to_put = draw_catalogue(self.profile, seed)
        anyio.run(self._put_entries, entries_to_put)
        expected_names = {
            entry["name"] for entry in entries_to_put if entry["kind"] != "service"
        }
        wait_for(
            lambda: expected_names <= anyio.run(self._find_ready_names),
            "the catalogue",
            READY_TIMEOUT_S,
        )

    def _make_access(self) -> KeeperAccess:
        return KeeperAccess(
            self.cluster.keepers, "experiment", "cluster-secret", "operator-secret"
        )

    async def _put_entries(self, entries_to_put: list[dict]) -> None:
        for entry in entries_to_put:
            command = OperatorCommand(
                "put", "", orjson.dumps(entry), f"put-{entry['name']}"
            )
            result = await run_command(self._make_access(), command)
            if isinstance(result, Err):
                raise SystemExit(
                    f"cannot write entry {entry['name']}: {result.failure()}"
                )

    async def _find_ready_names(self) -> set[str]:
        status = await run_command(self._make_access(), OperatorCommand("status"))
        if isinstance(status, Err):
            return set()
        return {
            model["name"]
            for server in status.unwrap()["servers"]
            for model in server["models"]
            if model["state"] == "ready"
        }

    def make_fault_flags(self, fault: str, duration_s: float) -> list[str]:
        """Return the flags of the load tool for a named fault."""
        fault_at_s = duration_s * FAULT_AT_SHARE
        pids = [
            self.cluster.processes[name].pid
            for name in self._list_processes_to_kill(fault)
        ]
        if not pids:
            return []
        return ["--faults", ",".join(f"{fault_at_s:g}:KILL:{pid}" for pid in pids)]

    def _list_processes_to_kill(self, fault: str) -> list[str]:
        match fault:
            case "agent":
                return ["agent-engine-0"]
            case "server":
                return ["agent-engine-0", "engine-0"]
            case "entry":
                return ["entry-1"]
            case "keeper":
                return [self.cluster.leader()]
            case "zone":
                return self._list_zone_processes(self.profile.zones[0])
            case _:
                return []

    def _list_zone_processes(self, zone: str) -> list[str]:
        names = []
        for index in range(self.profile.n_engines):
            if self._find_zone(index) == zone:
                names += [f"agent-engine-{index}", f"engine-{index}"]
        return names

    def measure_resident_mb(self) -> dict[str, float]:
        """Return the largest resident memory of each role, in MB."""
        resident_mb_by_role: dict[str, float] = {}
        for name, process in self.cluster.processes.items():
            role = "keeper" if name in KEEPER_NAMES else name.split("-")[0]
            status = Path(f"/proc/{process.pid}/status").read_text().split()
            if "VmRSS:" in status:
                process_mb = int(status[status.index("VmRSS:") + 1]) / 1000
                resident_mb_by_role[role] = max(
                    resident_mb_by_role.get(role, 0.0), process_mb
                )
        return resident_mb_by_role
