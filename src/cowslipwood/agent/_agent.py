"""Runs one agent: its link to the keepers, its reconciler and its calls."""

import math
import uuid
from typing import Any, NamedTuple

import anyio
import anyio.abc

from ..kernel.channel import Channel
from ..kernel.clock import monotonic_ms
from ..kernel.http import HttpServer, bind_socket, with_health
from ..kernel.keeper_link import KeeperLink
from ..kernel.lifecycle import check_tokens
from ..kernel.logs import get_logger
from ..kernel.messages import AgentReport, Assignment, CatalogueUpdate, Hello
from ..kernel.metrics import Metrics
from ..kernel.registry import PluginKind, lookup
from ..kernel.settings import Check, address, one_of, peer_list, within
from ..kernel.tokens import read_token
from ._admission import AdmissionController, CallClass
from ._attempts import AttemptTable
from ._call_app import CallApp, EngineContext
from ._engine_manager import EngineManager
from ._forward import Forwarder
from ._load_report import extract_load, remove_load
from ._pause_detector import TICK_INTERVAL_MS
from ._permits import PermitClient
from .engines import http_engine  # noqa: F401

__all__ = ["AgentSettings", "agent_checks", "run_agent"]

QUIET_MS = 500
MAX_QUIET_MS = 5_000


class AgentSettings(NamedTuple):
    """The process beside one backend server: the only path to it.

    Parameters
    ----------
    server_id : str
        Name of the backend server, unique in the system.
    keepers : str
        ip:port of each keeper, with commas between.
    backend_url : str
        http://ip:port of the engine or plain service.
    listen : str
        ip:port for calls from entries and for /metrics.
    zone : str
        Availability zone of this host.
    dialect : str
        fenced or unfenced for an engine; service for a plain service.
    service_name : str
        Catalogue name of the plain service; empty for an engine.
    report_ms : int
        Milliseconds between two reports to the keepers.
    cluster_token : str
        Token of the system's own connections, or @file.
    allow_no_token : bool
        Run without tokens; on loopback only.
    order_timeout_ms : int
        Milliseconds after which an order's end is unknown and it is resent.
    order_life_ms : int
        Milliseconds after which an order can no longer arrive at an engine
        that checks no fencing numbers.
    kv_reserve_share : float
        Share of an accelerator's memory that models leave to KV cache; it must
        not grow while an order to an unfenced engine may still arrive.
    prompt_bytes_per_token : float
        Fewest bytes of a prompt that make one token.
    service_knee : int
        Calls that a plain service answers at full speed at once.
    """

    server_id: str
    keepers: str
    backend_url: str
    listen: str = "127.0.0.1:8200"
    zone: str = "zone-1"
    dialect: str = "fenced"
    service_name: str = ""
    report_ms: int = 200
    cluster_token: str = ""
    allow_no_token: bool = False
    order_timeout_ms: int = 30_000
    order_life_ms: int = 10_000
    kv_reserve_share: float = 0.1
    prompt_bytes_per_token: float = 1.0
    service_knee: int = 16


agent_checks = {
    "server_id": Check("a name", bool),
    "keepers": peer_list(),
    "backend_url": Check("http://ip:port", lambda url: url.startswith("http://")),
    "listen": address(),
    "dialect": one_of("fenced", "unfenced", "service"),
    "report_ms": within(10, 10_000),
    "order_timeout_ms": within(10, 3_600_000),
    "order_life_ms": within(0, 3_600_000),
    "kv_reserve_share": within(0, 0.9),
    "prompt_bytes_per_token": within(0.1, 100),
    "service_knee": within(1, 100_000),
}


async def run_agent(settings: AgentSettings, stop: anyio.Event) -> None:
    """Run an agent until `stop` is set, then drain and return."""
    token = read_token(settings.cluster_token)
    check_tokens(settings.listen, settings.allow_no_token, token)
    agent = _Agent(settings, token)
    await agent.run(stop)


class _Agent:
    def __init__(self, settings: AgentSettings, token: str):
        self._settings = settings
        self._metrics = Metrics("agent")
        self._sock = bind_socket(settings.listen)
        host, port = self._sock.getsockname()[:2]
        self._http_addr = f"{host}:{port}"
        self._incarnation = uuid.uuid4().hex
        self._revision = 0
        self._report_now = anyio.Event()
        hello = Hello(
            "agent", settings.server_id, self._incarnation, settings.zone, token
        )
        self._link = KeeperLink(
            settings.keepers, hello, self._on_message, self._report_loop
        )
        self._engine = self._make_engine_manager()
        self._admission = AdmissionController(
            settings.service_knee, self._engine.ledger if self._engine else None
        )
        self._calls = self._make_calls(token)

    def _make_engine_manager(self) -> EngineManager | None:
        settings = self._settings
        if settings.dialect == "service":
            return None
        make = lookup(PluginKind.ENGINE_DIALECT, settings.dialect)
        dialect = make(settings.backend_url, settings.order_timeout_ms)
        permits = PermitClient(self._link, settings.server_id, self._metrics)
        return EngineManager(dialect, permits, self._metrics, settings.order_life_ms)

    def _make_calls(self, token: str) -> CallApp:
        settings = self._settings
        engine = self._engine
        refusals = engine.dialect.refusals if engine else {}
        return CallApp(
            Forwarder(settings.backend_url, refusals),
            settings.server_id,
            token,
            EngineContext(engine.dialect, engine.models, self._kv_bytes)
            if engine
            else None,
            self._admission,
            AttemptTable(settings.server_id, self._incarnation, self._metrics),
            self._metrics,
        )

    def _kv_bytes(self, n_prompt_bytes: int, n_tokens: int) -> int:
        per_token = self._settings.prompt_bytes_per_token
        n_prompt_tokens = math.ceil(n_prompt_bytes / per_token) + 1
        return (n_prompt_tokens + n_tokens) * self._engine.kv_bytes_per_token

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop`, then refuse new calls and finish the open ones."""
        app = with_health(self._calls, self._metrics, self._is_ready)
        server = HttpServer(app, self._sock)
        get_logger().info("listening", addr=self._http_addr)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            tasks.start_soon(self._tick_loop)
            tasks.start_soon(self._start, tasks)
            await stop.wait()
            self._calls.is_leaving = True
            self._wake_report()
            await self._drain()
            server.stop()
            tasks.cancel_scope.cancel()

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Learn what the engine holds before the first report tells of it."""
        engine = self._engine
        if engine is not None:
            state = await engine.take_over(self._settings.kv_reserve_share)
            self._admission.knee_in_flight = state.knee_in_flight
            engine.reconciler.on_change = self._wake_report
            tasks.start_soon(engine.reconciler.run)
            tasks.start_soon(self._calls.cancel_cut_calls)
            await engine.models.first_read_done.wait()
        tasks.start_soon(self._link.run)

    async def _drain(self) -> None:
        """Wait until no call is open and entries have stopped sending."""
        left_ms = monotonic_ms()
        while True:
            now_ms = monotonic_ms()
            quiet_ms = now_ms - max(left_ms, self._calls.last_refusal_ms)
            is_quiet = quiet_ms >= QUIET_MS or now_ms - left_ms >= MAX_QUIET_MS
            if is_quiet and not self._calls.n_open:
                return
            await anyio.sleep(0.02)

    async def _tick_loop(self) -> None:
        while True:
            self._calls.tick(monotonic_ms())
            await anyio.sleep(TICK_INTERVAL_MS / 1000)

    def _is_ready(self) -> bool:
        return not (self._calls.is_leaving or self._calls.is_drained)

    def _wake_report(self) -> None:
        self._report_now.set()

    async def _on_message(self, value: Any) -> None:
        match value:
            case Assignment():
                self._on_assignment(value)
            case CatalogueUpdate():
                self._revision = value.revision

    def _on_assignment(self, assignment: Assignment) -> None:
        if assignment.server_id != self._settings.server_id:
            return
        if self._engine and not self._engine.reconciler.assign(assignment):
            return
        self._calls.is_drained = assignment.drained

    async def _report_loop(self, channel: Channel) -> None:
        told = None
        while True:
            self._report_now = anyio.Event()
            report = self._report()
            steady = remove_load(report)
            await channel.send(extract_load(report) if steady == told else report)
            told = steady
            with anyio.move_on_after(self._settings.report_ms / 1000):
                await self._report_now.wait()

    def _report(self) -> AgentReport:
        now_ms = monotonic_ms()
        engine = self._engine
        assignment = engine.reconciler.assignment if engine else None
        admission = self._admission
        report = AgentReport(
            server_id=self._settings.server_id,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            http_addr=self._http_addr,
            kind="engine" if engine else "service",
            service_name=self._settings.service_name,
            capacity_bytes=engine.ledger.usable_bytes if engine else 0,
            committed_bytes=engine.ledger.committed_bytes if engine else 0,
            leaving=self._calls.is_leaving,
            catalogue_revision=self._revision,
            assignment_term=assignment.term if assignment else 0,
            assignment_revision=assignment.revision if assignment else 0,
            residents=engine.models.list_residents() if engine else (),
            n_in_flight=admission.n_in_flight,
            n_queued=admission.n_queued,
            wait_ms=admission.predict_wait_ms(now_ms, CallClass.STANDARD),
            knee_in_flight=admission.knee_in_flight,
            reserved_bytes=engine.ledger.late_load_bytes if engine else 0,
        )
        self._set_gauges(report)
        return report

    def _set_gauges(self, report: AgentReport) -> None:
        self._metrics.gauge("in_flight", report.n_in_flight)
        self._metrics.gauge("queued", report.n_queued)
        self._metrics.gauge("wait_ms", report.wait_ms)
        self._metrics.gauge("catalogue_revision", report.catalogue_revision)
        if self._engine is None:
            return
        self._metrics.gauge("usable_bytes", report.capacity_bytes)
        self._metrics.gauge("committed_bytes", report.committed_bytes)
        self._metrics.gauge("reserved_bytes", report.reserved_bytes)
        self._metrics.gauge("kv_bytes", self._engine.ledger.kv_in_use_bytes)
        self._metrics.gauge("assignment_term", report.assignment_term)
        self._metrics.gauge("assignment_revision", report.assignment_revision)
