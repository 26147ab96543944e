"""Runs one agent: its keeper connection, its reconciler and its HTTP interface."""

import math
import uuid
from typing import Any, NamedTuple

import anyio
import anyio.abc

from ..kernel.byte_budget import ByteBudget, compute_budget_bytes
from ..kernel.channel import Channel
from ..kernel.clock import monotonic_ms
from ..kernel.http import HttpServer, add_health_endpoints, bind_socket
from ..kernel.keeper_addresses import KeeperAddresses
from ..kernel.keeper_link import KeeperLink
from ..kernel.lifecycle import require_tokens
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

__all__ = ["AGENT_SETTING_CHECKS", "AgentSettings", "run_agent"]

# Time without a refused call after which a stopping agent assumes that entries no
# longer send calls to it, in milliseconds.
DRAIN_QUIET_MS = 500
# Longest time that a stopping agent waits for entries to stop sending calls, in
# milliseconds; open calls are waited for beyond it.
MAX_DRAIN_QUIET_MS = 5_000


# Part of the descriptors for the connections of entries; the remainder is for those to
# the backend server.
CONNECTIONS_SHARE = 0.6


class AgentSettings(NamedTuple):
    """Run the agent of one backend server; all calls reach the server through it.

    Parameters
    ----------
    server_id : str
        Identifier of the backend server, unique in the system.
    keepers : str
        ip:port of each keeper, separated by commas.
    backend_url : str
        http://ip:port of the engine or plain service.
    listen : str
        ip:port to listen on for calls from entries and for /metrics.
    zone : str
        Availability zone of this host.
    dialect : str
        fenced or unfenced for an engine; service for a plain service.
    service_name : str
        Catalogue name of the plain service; empty for an engine.
    report_ms : int
        Milliseconds between two reports to the keepers.
    cluster_token : str
        Token for connections between the system's processes, or @file.
    allow_no_token : bool
        Run without a token; only allowed on loopback.
    order_timeout_ms : int
        Milliseconds after which the result of an order counts as unknown and the
        order is sent again.
    order_life_ms : int
        Milliseconds after which an order can no longer arrive at an engine that
        does not check fencing numbers.
    kv_reserve_share : float
        Share of an accelerator's memory that models leave free for KV cache; it
        must not grow while an order to an unfenced engine may still arrive.
    prompt_bytes_per_token : float
        Smallest average number of bytes per token in a prompt.
    service_knee : int
        Largest number of concurrent calls at which a plain service still answers
        each at full speed.
    memory_mb : int
        Memory in megabytes that the agent may take, which limits what it holds for
        entries.
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
    memory_mb: int = 1_000


AGENT_SETTING_CHECKS = {
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
    "memory_mb": within(64, 10_000_000),
}


async def run_agent(settings: AgentSettings, stop: anyio.Event) -> None:
    """Run an agent until `stop` is set, then finish its open calls and return."""
    token = read_token(settings.cluster_token)
    require_tokens(settings.listen, settings.allow_no_token, token)
    agent = _Agent(settings, token)
    await agent.run(stop)


class _Agent:
    """Components of one agent, and the tasks that run them.

    Parameters
    ----------
    settings : AgentSettings
    token : str
        Token for connections between the system's processes.
    """

    def __init__(self, settings: AgentSettings, token: str):
        self._settings = settings
        self._metrics = Metrics("agent")
        self._listener = bind_socket(settings.listen)
        host, port = self._listener.getsockname()[:2]
        self._http_addr = f"{host}:{port}"
        self._incarnation = uuid.uuid4().hex
        self._catalogue_revision = 0
        self._report_requested = anyio.Event()
        hello = Hello(
            "agent", settings.server_id, self._incarnation, settings.zone, token
        )
        self._link = KeeperLink(
            KeeperAddresses.parse(settings.keepers),
            hello,
            self._handle_message,
            self._send_reports,
        )
        self._engine = self._make_engine_manager()
        self._admission = AdmissionController(
            settings.service_knee, self._engine.ledger if self._engine else None
        )
        self._call_app = self._make_call_app(token)

    def _make_engine_manager(self) -> EngineManager | None:
        settings = self._settings
        if settings.dialect == "service":
            return None
        make_dialect = lookup(PluginKind.ENGINE_DIALECT, settings.dialect)
        dialect = make_dialect(settings.backend_url, settings.order_timeout_ms)
        permits = PermitClient(self._link, settings.server_id, self._metrics)
        return EngineManager(dialect, permits, self._metrics, settings.order_life_ms)

    def _make_call_app(self, token: str) -> CallApp:
        settings = self._settings
        engine = self._engine
        refusals = engine.dialect.refusals if engine else {}
        return CallApp(
            Forwarder(settings.backend_url, refusals, limit=self._admission.limit),
            settings.server_id,
            token,
            EngineContext(engine.dialect, engine.models, self._compute_max_kv_bytes)
            if engine
            else None,
            self._admission,
            AttemptTable(settings.server_id, self._incarnation, self._metrics),
            self._metrics,
        )

    def _compute_max_kv_bytes(self, n_prompt_bytes: int, n_tokens: int) -> int:
        """Return the upper bound of the KV cache of a call."""
        bytes_per_token = self._settings.prompt_bytes_per_token
        n_prompt_tokens = math.ceil(n_prompt_bytes / bytes_per_token) + 1
        return (n_prompt_tokens + n_tokens) * self._engine.kv_bytes_per_token

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop`, then refuse new calls and finish the open ones."""
        app = add_health_endpoints(self._call_app, self._metrics, self._is_ready)
        server = HttpServer(
            app,
            self._listener,
            budget=ByteBudget(
                compute_budget_bytes(self._settings.memory_mb), self._metrics
            ),
            connections_share=CONNECTIONS_SHARE,
        )
        get_logger().info("listening", addr=self._http_addr)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            tasks.start_soon(self._run_ticks)
            tasks.start_soon(self._take_over_engine, tasks)
            await stop.wait()
            self._call_app.is_leaving = True
            self._request_report()
            await self._wait_until_idle()
            server.stop()
            tasks.cancel_scope.cancel()

    async def _take_over_engine(self, tasks: anyio.abc.TaskGroup) -> None:
        """Take over the engine, if any, and then connect to the keepers.

        The first report to a keeper needs the models that the engine holds.
        """
        engine = self._engine
        if engine is not None:
            state = await engine.take_over(self._settings.kv_reserve_share)
            self._admission.knee_in_flight = state.knee_in_flight
            engine.reconciler.on_change = self._request_report
            tasks.start_soon(engine.reconciler.run)
            tasks.start_soon(self._call_app.cancel_cut_calls)
            await engine.models.first_read_done.wait()
        tasks.start_soon(self._link.run)

    async def _wait_until_idle(self) -> None:
        """Wait until no call is open and entries have stopped sending calls."""
        leaving_since_ms = monotonic_ms()
        while True:
            now_ms = monotonic_ms()
            quiet_ms = now_ms - max(leaving_since_ms, self._call_app.last_refusal_ms)
            is_quiet = (
                quiet_ms >= DRAIN_QUIET_MS
                or now_ms - leaving_since_ms >= MAX_DRAIN_QUIET_MS
            )
            if is_quiet and not self._call_app.n_open:
                return
            await anyio.sleep(0.02)

    async def _run_ticks(self) -> None:
        while True:
            self._call_app.tick(monotonic_ms())
            await anyio.sleep(TICK_INTERVAL_MS / 1000)

    def _is_ready(self) -> bool:
        return not (self._call_app.is_leaving or self._call_app.is_drained)

    def _request_report(self) -> None:
        self._report_requested.set()

    async def _handle_message(self, value: Any) -> None:
        match value:
            case Assignment():
                self._apply_assignment(value)
            case CatalogueUpdate():
                self._catalogue_revision = value.revision

    def _apply_assignment(self, assignment: Assignment) -> None:
        """Apply an assignment for this backend server unless it is outdated."""
        if assignment.server_id != self._settings.server_id:
            return
        if self._engine and not self._engine.reconciler.assign(assignment):
            return
        self._call_app.is_drained = assignment.drained

    async def _send_reports(self, channel: Channel) -> None:
        """Send reports to a keeper; only the load while nothing else has changed."""
        last_stable_report = None
        while True:
            self._report_requested = anyio.Event()
            report = self._make_report()
            stable_report = remove_load(report)
            await channel.send(
                extract_load(report) if stable_report == last_stable_report else report
            )
            last_stable_report = stable_report
            with anyio.move_on_after(self._settings.report_ms / 1000):
                await self._report_requested.wait()

    def _make_report(self) -> AgentReport:
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
            leaving=self._call_app.is_leaving,
            catalogue_revision=self._catalogue_revision,
            assignment_term=assignment.term if assignment else 0,
            assignment_revision=assignment.revision if assignment else 0,
            residents=engine.models.list_residents() if engine else (),
            n_in_flight=admission.n_in_flight,
            n_queued=admission.n_queued,
            wait_ms=admission.predict_wait_ms(now_ms, CallClass.STANDARD),
            knee_in_flight=admission.knee_in_flight,
            reserved_bytes=engine.ledger.delayed_load_bytes if engine else 0,
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
