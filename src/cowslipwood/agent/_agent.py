"""Runs one agent: its link to the keepers, its reconciler and its calls."""

import uuid
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err

from ..kernel.channel import Channel
from ..kernel.http import HttpServer, bind_socket, with_health
from ..kernel.keeper_link import KeeperLink
from ..kernel.lifecycle import check_tokens
from ..kernel.logs import get_logger
from ..kernel.messages import (
    AgentReport,
    Assignment,
    CatalogueUpdate,
    Hello,
)
from ..kernel.metrics import Metrics
from ..kernel.registry import PluginKind, lookup
from ..kernel.settings import Check, address, one_of, peer_list, within
from ..kernel.tokens import read_token
from ._attempts import Attempts
from ._calls import Calls
from ._ledger import Ledger
from ._reconcile import Reconciler
from .engines import http_engine  # noqa: F401

__all__ = ["AgentSettings", "agent_checks", "run_agent"]

ENGINE_POLL_MS = 500


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


agent_checks = {
    "server_id": Check("a name", bool),
    "keepers": peer_list(),
    "backend_url": Check("http://ip:port", lambda url: url.startswith("http://")),
    "listen": address(),
    "dialect": one_of("fenced", "unfenced", "service"),
    "report_ms": within(10, 10_000),
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
        self._is_engine = settings.dialect != "service"
        self._ledger = Ledger(0)
        self._knee = 0
        self._revision = 0
        self._reconciler = None
        self._dialect = None
        if self._is_engine:
            make = lookup(PluginKind.ENGINE_DIALECT, settings.dialect)
            self._dialect = make(settings.backend_url)
            self._reconciler = Reconciler(self._dialect, self._ledger, self._metrics)
        self._calls = Calls(
            settings.backend_url,
            settings.server_id,
            token,
            self._reconciler,
            Attempts(settings.server_id, self._incarnation, self._metrics),
            self._metrics,
        )
        hello = Hello(
            "agent", settings.server_id, self._incarnation, settings.zone, token
        )
        self._link = KeeperLink(
            settings.keepers, hello, self._on_message, self._report_loop
        )
        self._report_now = anyio.Event()

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop`, then refuse new calls and finish the open ones."""
        app = with_health(self._calls, self._metrics, lambda: not self._calls.leaving)
        server = HttpServer(app, self._sock)
        get_logger().info("listening", addr=self._http_addr)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            if self._reconciler is not None:
                await self._read_engine()
                self._reconciler.on_change = self._wake_report
                tasks.start_soon(self._reconciler.run)
            tasks.start_soon(self._link.run)
            await stop.wait()
            self._calls.leaving = True
            self._wake_report()
            while self._calls.n_in_flight:
                await anyio.sleep(0.02)
            server.stop()
            tasks.cancel_scope.cancel()

    async def _read_engine(self) -> None:
        while True:
            read = await self._dialect.state()
            if not isinstance(read, Err):
                state = read.unwrap()
                self._ledger.capacity_bytes = state.capacity_bytes
                self._knee = state.knee_in_flight
                return
            await anyio.sleep(ENGINE_POLL_MS / 1000)

    def _wake_report(self) -> None:
        self._report_now.set()

    async def _on_message(self, value: Any) -> None:
        match value:
            case Assignment() if self._reconciler is not None:
                self._reconciler.assign(value)
            case CatalogueUpdate():
                self._revision = value.revision

    async def _report_loop(self, channel: Channel) -> None:
        while True:
            self._report_now = anyio.Event()
            await channel.send(self._report())
            with anyio.move_on_after(self._settings.report_ms / 1000):
                await self._report_now.wait()

    def _report(self) -> AgentReport:
        assignment = self._reconciler.assignment if self._reconciler else None
        return AgentReport(
            server_id=self._settings.server_id,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            http_addr=self._http_addr,
            kind="engine" if self._is_engine else "service",
            service_name=self._settings.service_name,
            capacity_bytes=self._ledger.capacity_bytes,
            committed_bytes=self._ledger.committed_bytes,
            leaving=self._calls.leaving,
            catalogue_revision=self._revision,
            assignment_term=assignment.term if assignment else 0,
            assignment_revision=assignment.revision if assignment else 0,
            residents=self._reconciler.residents() if self._reconciler else (),
            n_in_flight=self._calls.n_in_flight,
            n_queued=0,
            wait_ms=0.0,
            knee_in_flight=self._knee,
        )
