"""One run of the soak: starts all processes, injects the faults, checks the history."""

import contextlib
import json
import random
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import anyio.abc
import anyio.to_thread

from .checks import Violation, check_history
from .clients import ClientSettings, RequestKind
from .customers import make_tenants
from .deployment import CALLERS_PORT, ROOT, SERVERS_PORT, Deployment, Host
from .history import HistoryWriter, read_history
from .schedule import DEFAULT_KINDS, FaultKind, ScheduledFault, draw_schedule
from .server import Fault, ServerSettings, make_instance
from .wire import MessageReader, encode_head

__all__ = ["SoakSettings", "has_failed", "run_soak"]

KINDS = (
    RequestKind("ask", "assistant", "m1", True, True, 12_000, 500),
    RequestKind("digest", "assistant", "m1", False, True, 12_000, 2_000),
    RequestKind("swap", "ledger", "", False, False, 3_000, 400),
    RequestKind("view", "ledger", "", True, False, 3_000, 400),
)
# Number of the first host of each group in the deployment's network.
FIRST_ENTRY, FIRST_PLAIN, FIRST_ENGINE = 11, 101, 151
N_KEEPERS = 3
# Time from SIGTERM to SIGKILL, in seconds, as the settings files state it.
GRACE_S = 8.0
# Time between the end of a killed process and its restart, in seconds.
RESTART_DELAY_S = 0.2
START_TIMEOUT_S = 60.0
# Time after which a killed server leaves the list, in seconds.
LIST_LAG_S = 0.8
# Software versions of servers; all begin with the first.
VERSIONS = ("v1", "v2")
# Time between two servers of a release, in seconds.
RELEASE_GAP_S = 0.4
# Largest number of losses of one disk in a row, and times between the return of its
# host and the next loss, in seconds: a keeper starts and rejoins in about these.
MAX_LOSSES_IN_A_ROW = 8
REJOINING_S = (0.2, 0.8)
# Time for which a host that lost its disk is down, in seconds.
DISK_DOWN_S = (0.1, 1.0)
# Time after its return for which a host that lost its disk counts as lost, in seconds.
CATCH_UP_S = 4.0
# Time in which all keepers must answer the newest config at the end, in seconds.
READ_TIMEOUT_S = 20.0
# Time from the notice that a server leaves until its end, in seconds.
DRAIN_S = 5.0


class SoakSettings(NamedTuple):
    """Size and length of a run.

    Parameters
    ----------
    seed : int
    length_s : float
    n_entries, n_plain, n_engines : int
        Numbers of entries, plain servers and model engines.
    n_callers : int
    pause_ms : float
        Mean time between two requests of one caller.
    fault_share : float
        Share of the requests that meet a fault at their server.
    server_faults : tuple of Fault
        What servers do wrong.
    n_load_processes : int
        Number of busy processes while the cores are loaded.
    work_ms : float
        Mean time of a run, and between two events of a stream.
    kinds : tuple of FaultKind
        Faults that are drawn.
    unframed_share : float
        Share of the streams that end with their connection.
    notice_ms : float
        Longest time after which a server notices that a connection was closed.
    """

    seed: int
    length_s: float
    n_entries: int = 6
    n_plain: int = 3
    n_engines: int = 3
    n_callers: int = 60
    pause_ms: float = 200.0
    fault_share: float = 0.1
    server_faults: tuple[Fault, ...] = tuple(Fault)
    n_load_processes: int = 12
    work_ms: float = 30.0
    kinds: tuple[FaultKind, ...] = DEFAULT_KINDS
    unframed_share: float = 0.3
    notice_ms: float = 0.0


class SoakResult(NamedTuple):
    """Result of a run.

    Parameters
    ----------
    violations : list of Violation
    n_by_event : dict of str to int
        Number of records by event.
    """

    violations: list[Violation]
    n_by_event: dict[str, int]


def run_soak(settings: SoakSettings, keep: Path | None = None) -> SoakResult:
    """Run the soak and check its history; copy schedule, history and logs to `keep`."""
    schedule = draw_schedule(settings.seed, settings.length_s, settings.kinds)
    with Deployment() as deployment:
        run = _Run(settings, deployment, schedule)
        try:
            anyio.run(run.execute)
        finally:
            run.end_children()
        history = read_history(sorted(deployment.folder.glob("history-*.jsonl")))
        violations = check_history(history)
        if keep is not None:
            _keep_files(deployment, schedule, keep)
    n_by_event: dict[str, int] = {}
    for record in history:
        n_by_event[record["event"]] = n_by_event.get(record["event"], 0) + 1
    return SoakResult(violations, n_by_event)


def _keep_files(
    deployment: Deployment, schedule: Sequence[ScheduledFault], keep: Path
) -> None:
    keep.mkdir(parents=True, exist_ok=True)
    lines = [json.dumps(fault._asdict()) for fault in schedule]
    (keep / "schedule.jsonl").write_text("\n".join(lines))
    for path in deployment.folder.iterdir():
        if path.suffix in (".jsonl", ".log"):
            (keep / path.name).write_bytes(path.read_bytes())


class _Server:
    """A backend server's process, which may be replaced by one with another id.

    Attributes
    ----------
    listed : ServerSettings
        Settings of the process that the list names.
    former : ServerSettings or None
        Settings of the process before, while the list still names it.
    """

    def __init__(self, settings: ServerSettings):
        self.settings = self.listed = settings
        self.former: ServerSettings | None = None
        self.process: subprocess.Popen | None = None
        self.state = "ready"
        self.is_listed = True


class _LostDisk(NamedTuple):
    """A keeper that lost its disk.

    Parameters
    ----------
    host : Host
    back_at_s : float
        When it started again.
    n_log_chars : int
        Length of its log before that.
    """

    host: Host
    back_at_s: float
    n_log_chars: int


class _Run:
    def __init__(
        self,
        settings: SoakSettings,
        deployment: Deployment,
        schedule: Sequence[ScheduledFault],
    ):
        self._settings = settings
        self._deployment = deployment
        self._schedule = schedule
        self._history = HistoryWriter(deployment.folder / "history-faults.jsonl")
        numbers = range(FIRST_ENTRY, FIRST_ENTRY + settings.n_entries)
        self._hosts = [
            Host(number, has_disk=number < FIRST_ENTRY + N_KEEPERS)
            for number in numbers
        ]
        self._keepers = self._hosts[:N_KEEPERS]
        self._servers = [
            *(self._make_server(FIRST_PLAIN + n, "") for n in range(settings.n_plain)),
            *(
                self._make_server(FIRST_ENGINE + n, "m1")
                for n in range(settings.n_engines)
            ),
        ]
        self._children: list[subprocess.Popen] = []
        self._version = 1
        self._n_released = 0
        self._acknowledged_version = 0
        self._disk_lock = anyio.Lock()
        self._lost_disk: _LostDisk | None = None

    async def execute(self) -> None:
        """Start everything, inject the faults and end the clients."""
        deployment = self._deployment
        deployment.seeds = tuple(self._keepers)
        async with anyio.create_task_group() as tasks:
            host, _, port = deployment.list_addr.partition(":")
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=int(port)
            )
            tasks.start_soon(listener.serve, self._serve_list)
            for server in self._servers:
                self._start_server(server)
            for host_ in self._keepers:
                deployment.start("keeper", host_, is_first_start=True)
            for host_ in self._hosts:
                deployment.start("entry", host_, is_first_start=True)
            with anyio.fail_after(START_TIMEOUT_S):
                await self._put_config()
                for host_ in self._hosts:
                    while not await anyio.to_thread.run_sync(
                        deployment.is_ready, host_
                    ):
                        await anyio.sleep(0.05)
            self._start_clients()
            begun_s = time.monotonic()
            for fault in self._schedule:
                await anyio.sleep(max(0.0, begun_s + fault.at_s - time.monotonic()))
                tasks.start_soon(self._inject, fault)
            await anyio.sleep(
                max(0.0, begun_s + self._settings.length_s - time.monotonic())
            )
            tasks.cancel_scope.cancel()
        for host_ in self._keepers:
            # A fault may have been cancelled before its end.
            deployment.signal("keeper", host_, signal.SIGCONT)
            if not self._is_running(("keeper", host_)):
                deployment.start("keeper", host_)
        for host_ in self._keepers:
            await self._read_config(host_)

    def end_children(self) -> None:
        """Kill the servers, clients and busy processes of this run."""
        for process in self._children:
            if has_failed(process):
                # The argument before the settings is the module.
                self._history.write("process_failed", process=process.args[-2])
        for process in self._children:
            process.kill()
        for process in self._children:
            process.wait()

    def _make_server(
        self, number: int, model: str, generation: int = 0, version: str = VERSIONS[0]
    ) -> "_Server":
        folder = self._deployment.folder
        return _Server(
            ServerSettings(
                host=self._deployment.get_ip(number),
                port=SERVERS_PORT,
                server_id=f"i-{number:04x}{generation:04x}",
                service="assistant" if model else "ledger",
                zone=f"z{number % 3 + 1}",
                model=model,
                version=version,
                history=str(folder / f"history-server-{number}.jsonl"),
                seed=self._settings.seed * 1_000 + number + 7 * generation,
                fault_share=self._settings.fault_share,
                faults=self._settings.server_faults,
                work_ms=self._settings.work_ms,
                unframed_share=self._settings.unframed_share,
                notice_ms=self._settings.notice_ms,
            )
        )

    def _start_server(self, server: "_Server") -> None:
        settings = server.settings._replace(born_ms=int(time.time() * 1000))
        server.settings = server.listed = settings
        server.process = self._start_module("soak.server", settings)
        server.state, server.is_listed = "ready", True

    def _announce_end(self, server: "_Server") -> None:
        """Have the list show that a server leaves."""
        server.state = "draining"
        self._history.write("server_leaving", server=server.settings.server_id)

    def _end_server(self, server: "_Server") -> None:
        _end(server.process)
        self._history.write("server_ended", server=server.settings.server_id)

    def _start_clients(self) -> None:
        entries = [
            f"{self._deployment.get_ip(host.number)}:{CALLERS_PORT}"
            for host in self._hosts
        ]
        self._start_module(
            "soak.clients",
            ClientSettings(
                entries,
                list(KINDS),
                str(self._deployment.folder / "history-clients.jsonl"),
                self._settings.seed,
                self._settings.n_callers,
                self._settings.pause_ms,
            ),
        )

    def _start_module(self, module: str, settings: NamedTuple) -> subprocess.Popen:
        log = self._deployment.folder / f"{module}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, json.dumps(settings._asdict())],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._children.append(process)
        return process

    async def _serve_list(self, stream: anyio.abc.SocketStream) -> None:
        reader = MessageReader(stream)
        errors = (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError)
        with contextlib.suppress(*errors):
            async with stream:
                while True:
                    await reader.read_head()
                    instances = [
                        make_instance(server.listed, server.state)
                        for server in self._servers
                        if server.is_listed
                    ]
                    instances += [
                        make_instance(server.former)
                        for server in self._servers
                        if server.former is not None
                    ]
                    body = json.dumps({"instances": instances, "next": None}).encode()
                    headers = {
                        "content-type": "application/json",
                        "content-length": len(body),
                    }
                    await stream.send(encode_head("HTTP/1.1 200 OK", headers) + body)

    async def _put_config(self) -> None:
        """Send the next config to one keeper after the other until acknowledged."""
        version, self._version = self._version, self._version + 1
        config = _make_config(version)
        n_calls = 0
        while True:
            host = self._keepers[n_calls % N_KEEPERS]
            n_calls += 1
            status = await anyio.to_thread.run_sync(
                self._deployment.put_config, host, config
            )
            if status == 200:
                self._acknowledged_version = max(self._acknowledged_version, version)
                self._history.write("config_acknowledged", version=version)
                return
            await anyio.sleep(0.1)

    async def _read_config(self, host: Host) -> None:
        """Record the config that a keeper answers once nothing more fails."""
        newest_version = 0
        with anyio.move_on_after(READ_TIMEOUT_S):
            while newest_version < self._acknowledged_version:
                config = await anyio.to_thread.run_sync(
                    self._deployment.read_config, host
                )
                newest_version = max(newest_version, (config or {}).get("version", 0))
                await anyio.sleep(0.1)
        self._history.write("config_read", host=host.number, version=newest_version)

    async def _inject(self, fault: ScheduledFault) -> None:
        rng = random.Random(fault.seed)
        some = rng.sample(self._hosts, rng.randint(1, len(self._hosts)))
        server = rng.choice(self._servers)
        match fault.kind:
            case FaultKind.KILL_ENTRIES:
                await self._kill(fault, [("entry", host) for host in some])
            case FaultKind.KILL_ALL:
                programs = [("entry", host) for host in self._hosts]
                programs += [("keeper", host) for host in self._keepers]
                await self._kill(fault, programs)
            case FaultKind.FREEZE_ENTRIES:
                await self._freeze(fault, [("entry", host) for host in some])
            case FaultKind.STOP_ENTRY:
                await self._stop(fault, some[0])
            case FaultKind.KILL_LEADER:
                await self._kill(fault, [("keeper", self._find_leader(rng))])
            case FaultKind.FREEZE_LEADER:
                await self._freeze(fault, [("keeper", self._find_leader(rng))])
            case FaultKind.KILL_SERVER:
                await self._kill_server(fault, server)
            case FaultKind.FREEZE_SERVER:
                await self._freeze_server(fault, server)
            case FaultKind.LEAVE_SERVER:
                await self._drain_server(fault, server)
            case FaultKind.SWAP_SERVER:
                await self._swap_server(fault, server)
            case FaultKind.CHANGE_CONFIG:
                self._record(fault, [], 0.0)
                await self._put_config()
            case FaultKind.LOAD_CORES:
                await self._load_cores(fault)
            case FaultKind.RELEASE:
                await self._release(fault, rng)
            case FaultKind.RENEW_SERVER:
                await self._renew_server(fault, rng.choice(self._list_engines()))
            case FaultKind.LOSE_DISK:
                await self._lose_disk(fault, rng)

    def _find_leader(self, rng: random.Random) -> Host:
        """Return the keeper whose log tells of the newest term that it won."""
        newest_term, leader = -1, rng.choice(self._keepers)
        for host in self._keepers:
            text = self._deployment.get_log_path("keeper", host).read_text()
            for line in text.splitlines():
                if "event=leadership_won" in line:
                    term = int(line.partition("term=")[2].split()[0])
                    if term > newest_term:
                        newest_term, leader = term, host
        return leader

    def _record(
        self, fault: ScheduledFault, targets: Sequence[str], for_s: float
    ) -> None:
        self._history.write(
            "fault",
            kind=fault.kind,
            targets=list(targets),
            until_ms=(time.monotonic() + for_s) * 1000,
        )

    def _get_addr(self, program: tuple[str, Host]) -> str:
        """Return the address by which clients' records name the host of a program."""
        return f"{self._deployment.get_ip(program[1].number)}:{CALLERS_PORT}"

    def _is_running(self, program: tuple[str, Host]) -> bool:
        return self._deployment.programs[program].process.poll() is None

    async def _kill(
        self, fault: ScheduledFault, programs: list[tuple[str, Host]]
    ) -> None:
        programs = [program for program in programs if self._is_running(program)]
        targets = [self._get_addr(program) for program in programs]
        self._record(fault, targets, RESTART_DELAY_S)
        for program in programs:
            self._deployment.kill(*program)
        await anyio.sleep(RESTART_DELAY_S)
        for program in programs:
            if not self._is_running(program):
                self._deployment.start(*program)

    async def _freeze(
        self, fault: ScheduledFault, programs: list[tuple[str, Host]]
    ) -> None:
        targets = [self._get_addr(program) for program in programs]
        self._record(fault, targets, fault.for_s)
        for program in programs:
            self._deployment.signal(*program, signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        for program in programs:
            self._deployment.signal(*program, signal.SIGCONT)

    async def _stop(self, fault: ScheduledFault, host: Host) -> None:
        program = ("entry", host)
        self._record(fault, [self._get_addr(program)], GRACE_S + RESTART_DELAY_S)
        self._deployment.signal(*program, signal.SIGTERM)
        with anyio.move_on_after(GRACE_S):
            while self._is_running(program):
                await anyio.sleep(0.05)
        self._deployment.kill(*program)
        await anyio.sleep(RESTART_DELAY_S)
        if not self._is_running(program):
            self._deployment.start(*program)

    async def _kill_server(self, fault: ScheduledFault, server: "_Server") -> None:
        self._record(fault, [server.settings.server_id], fault.for_s + LIST_LAG_S)
        self._end_server(server)
        await anyio.sleep(LIST_LAG_S)
        server.is_listed = False
        await anyio.sleep(fault.for_s)
        self._replace_server(server, keeps_id=bool(fault.seed % 2))

    def _replace_server(self, server: "_Server", keeps_id: bool = False) -> None:
        """Start a server at the address of one that has ended, unless it was retired.

        The address of one that a release has retired may be another's now.
        """
        if server not in self._servers:
            return
        if server.process is not None and server.process.poll() is None:
            return
        if keeps_id:
            self._start_server(server)
            return
        number = int(server.settings.host.rpartition(".")[2])
        generation = int(server.settings.server_id[-4:], 16) + 1
        model, version = server.settings.model, server.settings.version
        server.settings = self._make_server(number, model, generation, version).settings
        self._start_server(server)

    async def _swap_server(self, fault: ScheduledFault, server: "_Server") -> None:
        """Replace a process at its address; for a time, the list names both ids."""
        former = server.settings
        _end(server.process)
        self._replace_server(server)
        server.former = former
        targets = [former.server_id, server.settings.server_id]
        self._record(fault, targets, LIST_LAG_S)
        await anyio.sleep(LIST_LAG_S)
        server.former = None

    async def _freeze_server(self, fault: ScheduledFault, server: "_Server") -> None:
        self._record(fault, [server.settings.server_id], fault.for_s)
        process = server.process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(fault.for_s)
            process.send_signal(signal.SIGCONT)

    async def _drain_server(self, fault: ScheduledFault, server: "_Server") -> None:
        self._record(fault, [server.settings.server_id], 0.0)
        self._announce_end(server)
        await anyio.sleep(DRAIN_S)
        self._record(fault, [server.settings.server_id], 0.0)
        self._end_server(server)
        server.is_listed = False
        await anyio.sleep(2.0)
        self._replace_server(server)

    def _list_engines(self) -> list["_Server"]:
        return [server for server in self._servers if server.settings.model]

    async def _release(self, fault: ScheduledFault, rng: random.Random) -> None:
        """Replace some engines, one by one, by ones of another version."""
        version = rng.choice(VERSIONS)
        old = [
            server
            for server in self._list_engines()
            if server.settings.version != version and server.state == "ready"
        ]
        self._record(fault, [], 0.0)
        async with anyio.create_task_group() as tasks:
            for server in rng.sample(old, rng.randint(0, len(old))):
                self._announce_end(server)
                used = {each.settings.host for each in self._servers}
                number = next(
                    number
                    for number in range(FIRST_ENGINE, 255)
                    if self._deployment.get_ip(number) not in used
                )
                self._n_released += 1
                model = server.settings.model
                new = self._make_server(number, model, self._n_released << 8, version)
                self._servers.append(new)
                self._start_server(new)
                tasks.start_soon(self._retire_server, fault, server)
                await anyio.sleep(RELEASE_GAP_S)

    async def _retire_server(self, fault: ScheduledFault, server: "_Server") -> None:
        """Let a server of an earlier version finish its requests, then end it."""
        await anyio.sleep(DRAIN_S)
        self._record(fault, [server.settings.server_id], 0.0)
        if server in self._servers:
            self._servers.remove(server)
        self._end_server(server)

    async def _renew_server(self, fault: ScheduledFault, server: "_Server") -> None:
        """Start a server again with another version under its id.

        The list shows it later.
        """
        listed = server.listed
        (version,) = set(VERSIONS) - {server.settings.version}
        self._record(fault, [server.settings.server_id], LIST_LAG_S)
        self._end_server(server)
        server.settings = server.settings._replace(version=version)
        self._start_server(server)
        server.listed = listed
        await anyio.sleep(LIST_LAG_S)
        server.listed = server.settings

    async def _lose_disk(self, fault: ScheduledFault, rng: random.Random) -> None:
        """Delete the files of one keeper, which may be that of the last such fault.

        It may lose them again after it has come back, some times in a row. Another
        keeper loses its disk only once the last one has caught up.
        """
        async with self._disk_lock:
            lost = self._lost_disk
            host = rng.choice(self._keepers)
            if lost is not None and not self._has_caught_up(lost):
                host = lost.host
            for number in range(rng.randint(1, MAX_LOSSES_IN_A_ROW)):
                if number:
                    await anyio.sleep(rng.uniform(*REJOINING_S))
                await self._lose_disk_once(fault, host, rng.uniform(*DISK_DOWN_S))

    async def _lose_disk_once(
        self, fault: ScheduledFault, host: Host, down_s: float
    ) -> None:
        program = ("keeper", host)
        self._record(fault, [self._get_addr(program)], down_s)
        self._deployment.kill(*program)
        self._deployment.wipe_disk(host)
        await anyio.sleep(down_s)
        n_chars = len(self._read_keeper_log(host))
        if not self._is_running(program):
            self._deployment.start(*program)
        self._lost_disk = _LostDisk(host, time.monotonic(), n_chars)

    def _has_caught_up(self, lost: "_LostDisk") -> bool:
        has_voted = (
            "event=keeper_votes" in self._read_keeper_log(lost.host)[lost.n_log_chars :]
        )
        return has_voted and time.monotonic() >= lost.back_at_s + CATCH_UP_S

    def _read_keeper_log(self, host: Host) -> str:
        return self._deployment.get_log_path("keeper", host).read_text()

    async def _load_cores(self, fault: ScheduledFault) -> None:
        self._record(fault, [], fault.for_s)
        processes = [
            subprocess.Popen([sys.executable, "-c", "while True: pass"])
            for _ in range(self._settings.n_load_processes)
        ]
        self._children += processes
        await anyio.sleep(fault.for_s)
        for process in processes:
            _end(process)


def has_failed(process: subprocess.Popen) -> bool:
    """Return whether a process has ended though the soak did not kill it."""
    return process.poll() not in (None, -signal.SIGKILL)


def _end(process: subprocess.Popen | None) -> None:
    if process is not None:
        process.kill()
        process.wait()


def _make_config(version: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{kind.name}",
                "host": "soak.example",
                "pathPrefix": f"/{kind.name}/",
                "kind": _get_route_kind(kind),
                "timeoutMs": kind.time_limit_ms + version % 3,
                "targetLatencyMs": kind.target_ms,
                "priority": 1,
                "service": kind.service,
                "maxAttempts": 2 if kind.is_repeatable else 1,
                "resumable": kind.is_stream and kind.is_repeatable,
                "sticky": kind.is_stream,
                "gapTargetMs": kind.gap_target_ms,
            }
            for kind in KINDS
        ],
        "services": [
            {
                "name": "assistant",
                "maxConnections": 390,
                "engine": {
                    "slots": 48,
                    "weightsMb": 200_000.0,
                    "maxAdapters": 5,
                    "loadsPerS": 2.0,
                    "kvCacheTokens": 200_000,
                    "models": [{"name": "m1", "weightsMb": 65_000.0, "adapters": 0}],
                },
            },
            {"name": "ledger", "healthPath": "/health", "maxConnections": 390},
        ],
        "tenants": make_tenants(version),
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def _get_route_kind(kind: RequestKind) -> str:
    if kind.is_stream:
        return "streaming"
    return "safe" if kind.is_repeatable else "unsafe"
