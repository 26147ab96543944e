"""Starts a profile's processes for experiments."""

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import anyio
import orjson
from returns.result import Failure as Err
from tests.processes import Cluster, free_port, wait_for

from cowslipwood.load import Profile, draw_catalogue
from cowslipwood.programs._ctl_client import KeeperAccess, OperatorCommand, run_command

__all__ = ["Installation", "Policies", "keeper_flags"]

ENGINE_FIRST_TOKEN_MS = 80
ENGINE_BETWEEN_TOKENS_MS = 60
ENGINE_LOAD_MS = 500
READY_LIMIT_S = 240.0
FAULT_SHARE = 0.4
KEEPER_NAMES = ("keeper", "k1", "k2", "k3")


class Policies(NamedTuple):
    """The policies of one run; empty takes the program's default."""

    routing: str
    placement: str
    move_weight: str


def keeper_flags(profile: Profile, policies: Policies) -> list[str]:
    """Return the flags of the keepers."""
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
    """A profile's processes around running keepers: stand-ins, agents, entries.

    Parameters
    ----------
    cluster : Cluster
        With its keepers started.
    profile : Profile
    policies : Policies
    """

    def __init__(self, cluster: Cluster, profile: Profile, policies: Policies):
        self.cluster = cluster
        self.profile = profile
        self._policies = policies
        self._store = f"127.0.0.1:{free_port()}"
        self.entries: list[str] = []
        self.daemons: list[str] = []

    def start(self, n_entries: int) -> None:
        """Start every process but the keepers."""
        self._start_store()
        for place in range(self.profile.n_engines):
            self._start_engine(place)
        for place in range(self.profile.n_services):
            self._start_service(place)
        for place in range(n_entries):
            self._start_entry(place)

    def _start_store(self) -> None:
        self.cluster.start(
            "store",
            "standin",
            "--kind=store",
            f"--listen={self._store}",
            f"--loads-per-s={self.profile.store_loads_per_s}",
            f"--full-speed-loads={self.profile.store_full_speed_loads}",
        )

    def _zone(self, place: int) -> str:
        return self.profile.zones[place % len(self.profile.zones)]

    def _start_engine(self, place: int) -> None:
        port = free_port()
        self.cluster.start(
            f"engine-{place}",
            "standin",
            "--kind=engine",
            f"--listen=127.0.0.1:{port}",
            f"--capacity-bytes={self.profile.capacity_bytes}",
            f"--knee-in-flight={self.profile.knee_in_flight}",
            f"--first-token-ms={ENGINE_FIRST_TOKEN_MS}",
            f"--between-tokens-ms={ENGINE_BETWEEN_TOKENS_MS}",
            f"--load-ms={ENGINE_LOAD_MS}",
            f"--store-url=http://{self._store}",
        )
        self._start_agent(f"engine-{place}", port, self._zone(place))

    def _start_service(self, place: int) -> None:
        name = self.profile.services[place % len(self.profile.services)][0]
        port = free_port()
        server_id = f"service-{place}"
        listen = f"--listen=127.0.0.1:{port}"
        self.cluster.start(server_id, "standin", "--kind=service", listen)
        flags = ("--dialect=service", f"--service-name={name}")
        self._start_agent(server_id, port, self._zone(place), flags)

    def _start_agent(
        self, server_id: str, backend: int, zone: str, flags: Sequence[str] = ()
    ) -> None:
        listen = f"127.0.0.1:{free_port()}"
        self.cluster.start(
            f"agent-{server_id}",
            "agent",
            f"--server-id={server_id}",
            f"--backend-url=http://127.0.0.1:{backend}",
            f"--listen={listen}",
            f"--zone={zone}",
            f"--keepers={self.cluster.keepers}",
            *flags,
        )
        self.daemons.append(listen)

    def _start_entry(self, place: int) -> None:
        listen = f"127.0.0.1:{free_port()}"
        flags = []
        if self._policies.routing:
            flags.append(f"--routing={self._policies.routing}")
        self.cluster.start(
            f"entry-{place}",
            "entry",
            f"--listen={listen}",
            f"--zone={self._zone(place)}",
            f"--keepers={self.cluster.keepers}",
            *flags,
        )
        self.entries.append(listen)
        self.daemons.append(listen)

    def put_catalogue(self, seed: int) -> None:
        """Put the profile's catalogue and wait until all of it is ready."""
        values = draw_catalogue(self.profile, seed)
        anyio.run(self._put_all, values)
        wanted = {item["name"] for item in values if item["kind"] != "service"}
        wait_for(
            lambda: wanted <= anyio.run(self._ready), "the catalogue", READY_LIMIT_S
        )

    def _access(self) -> KeeperAccess:
        return KeeperAccess(
            self.cluster.keepers, "experiment", "cluster-secret", "operator-secret"
        )

    async def _put_all(self, values: list[dict]) -> None:
        for value in values:
            command = OperatorCommand(
                "put", "", orjson.dumps(value), f"put-{value['name']}"
            )
            put = await run_command(self._access(), command)
            if isinstance(put, Err):
                raise SystemExit(f"{value['name']}: {put.failure()}")

    async def _ready(self) -> set[str]:
        status = await run_command(self._access(), OperatorCommand("status"))
        if isinstance(status, Err):
            return set()
        return {
            model["name"]
            for server in status.unwrap()["servers"]
            for model in server["models"]
            if model["state"] == "ready"
        }

    def fault_flags(self, fault: str, duration_s: float) -> list[str]:
        """Return the load tool's flags for a named fault."""
        at_s = duration_s * FAULT_SHARE
        pids = [self.cluster.processes[name].pid for name in self._victims(fault)]
        if not pids:
            return []
        return ["--faults", ",".join(f"{at_s:g}:KILL:{pid}" for pid in pids)]

    def _victims(self, fault: str) -> list[str]:
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
                return self._zone_processes(self.profile.zones[0])
            case _:
                return []

    def _zone_processes(self, zone: str) -> list[str]:
        names = []
        for place in range(self.profile.n_engines):
            if self._zone(place) == zone:
                names += [f"agent-engine-{place}", f"engine-{place}"]
        return names

    def resident_mb(self) -> dict[str, float]:
        """Return the largest resident memory of each role, in MB."""
        found: dict[str, float] = {}
        for name, process in self.cluster.processes.items():
            role = "keeper" if name in KEEPER_NAMES else name.split("-")[0]
            status = Path(f"/proc/{process.pid}/status").read_text().split()
            if "VmRSS:" in status:
                held_mb = int(status[status.index("VmRSS:") + 1]) / 1000
                found[role] = max(found.get(role, 0.0), held_mb)
        return found
