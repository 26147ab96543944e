"""Runs an entry that reaches its backend servers directly."""

import random
import uuid
import zlib
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.channel import Channel
from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code, Failure, failure
from ...kernel.http import HttpServer, bind_socket, send_failure, with_health
from ...kernel.keeper_link import KeeperLink
from ...kernel.logs import get_logger
from ...kernel.messages import (
    DocumentUpdate,
    EntryPlace,
    EntryReport,
    FleetLoad,
    Hello,
    RoutingUpdate,
)
from ...kernel.metrics import Metrics
from ...kernel.registry import PluginKind, lookup, plugin_names
from ...kernel.settings import (
    Check,
    address,
    one_of,
    optional_address,
    peer_list,
    within,
)
from ...kernel.tokens import read_token
from ...listing import ListSource
from ...routes import parse_document
from .. import routing  # noqa: F401  registers the routing policies
from ..choosing._view import View
from ..taking._caller_protocol import make_caller_protocol
from ..taking._reason_counters import REASON_COUNTERS
from ._app import RouteApp
from ._headers import HeaderNames
from ._holders import Holders
from ._retries import BudgetTerms
from ._servers import KnownServers
from ._state import DirectState

__all__ = ["DirectEntry", "DirectSettings", "direct_checks"]

# Idle connections are kept for seconds; they may outlive that by this much.
SWEEP_MS = 500.0
# An own reading of the list begins at most this late.
LIST_CHECK_MS = 100.0
# Of the grace: a request that is read later may not end before the process is
# killed, and its caller could still have gone elsewhere.
SERVING_SHARE = 0.3
# Adds at most this to the length of a stop.
DRAIN_POLL_MS = 20.0
# Between two reports, however much there is to tell.
LEAST_REPORT_MS = 100.0
# A caller that takes longer over a request's head holds a connection for nothing.
HEAD_TIMEOUT_MS = 10_000.0


class DirectSettings(NamedTuple):
    """An entry host that reaches its backend servers directly.

    Parameters
    ----------
    keepers : str
        ip:port of each keeper, with commas between.
    listen : str
        ip:port for callers.
    ready_listen : str
        ip:port of the readiness answer; empty to give it beside the metrics.
    ready_path : str
        Path of the readiness answer beside /readyz.
    metrics_listen : str
        ip:port for /healthz, /readyz and /metrics.
    entry_id : str
        Name of this entry.
    zone : str
        Availability zone of this host.
    list_url : str
        http://ip:port/path of the list of backend servers; empty where the
        program is given another source.
    routing : str
        Routing policy.
    list_ms : int
        Milliseconds between two readings of the list of backend servers.
    report_ms : int
        Milliseconds between two reports to the keepers.
    retry_share : float
        Repeats allowed for each fresh request, over all entries.
    retry_extra : float
        Repeats allowed beyond that in one window, over all entries.
    retry_window_ms : int
        Length of that window in milliseconds.
    drain_ms : int
        Milliseconds for which a stopping entry goes on serving, so that the
        balancer before it notices.
    grace_ms : int
        Milliseconds after which a stopping process is killed.
    cluster_token : str
        Token of the system's own connections, or @file.
    """

    keepers: str
    listen: str
    metrics_listen: str
    entry_id: str
    zone: str
    ready_listen: str = ""
    ready_path: str = ""
    list_url: str = ""
    routing: str = "sampled_cost"
    list_ms: int = 900
    report_ms: int = 500
    retry_share: float = 0.2
    retry_extra: float = 64.0
    retry_window_ms: int = 10_000
    drain_ms: int = 3_000
    grace_ms: int = 8_000
    cluster_token: str = ""


direct_checks = {
    "keepers": peer_list(),
    "listen": address(),
    "metrics_listen": address(),
    "ready_listen": optional_address(),
    "list_url": Check(
        "http://ip:port/path, or empty",
        lambda url: not url or url.startswith("http://"),
    ),
    "routing": one_of(*plugin_names(PluginKind.ROUTING_POLICY)),
    "list_ms": within(50, 60_000),
    "report_ms": within(10, 10_000),
    "retry_share": within(0, 10),
    "retry_extra": within(0, 1e6),
    "retry_window_ms": within(100, 600_000),
    "drain_ms": within(0, 600_000),
    "grace_ms": within(0, 600_000),
}


class DirectEntry:
    """One entry process.

    Parameters
    ----------
    settings : DirectSettings
    names : HeaderNames
    source : ListSource
    """

    def __init__(
        self, settings: DirectSettings, names: HeaderNames, source: ListSource
    ):
        self._settings = settings
        self._source = source
        self._metrics = Metrics("entry")
        self._metrics.expose(REASON_COUNTERS, [code.name for code in Code])
        self._view = View()
        self._servers = KnownServers(self._view)
        self._incarnation = uuid.uuid4().hex
        hello = Hello(
            "entry",
            settings.entry_id,
            self._incarnation,
            settings.zone,
            read_token(settings.cluster_token),
        )
        self.link = KeeperLink(
            settings.keepers, hello, self._on_message, self._report_loop
        )
        self._holders = Holders(self.link, self._servers, monotonic_ms)
        terms = BudgetTerms(
            settings.retry_share, settings.retry_extra, settings.retry_window_ms
        )
        policy = lookup(PluginKind.ROUTING_POLICY, settings.routing)()
        self._state = DirectState(
            settings.zone,
            names,
            policy,
            self._view,
            self._servers,
            self._holders,
            terms,
            self._metrics,
        )
        self._app = RouteApp(self._state, random.Random())

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            not self._app.is_leaving
            and self._state.document is not None
            and bool(self._servers.listed_ms)
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop`, then finish what was read."""
        settings = self._settings
        protocol = make_caller_protocol(self._metrics, HEAD_TIMEOUT_MS)
        server = HttpServer(self._app, bind_socket(settings.listen), protocol)
        side = with_health(
            _nothing, self._metrics, lambda: self.is_ready, settings.ready_path
        )
        sides = [
            HttpServer(side, bind_socket(listen))
            for listen in (settings.metrics_listen, settings.ready_listen)
            if listen
        ]
        get_logger().info("started", listen=settings.listen, zone=settings.zone)
        async with anyio.create_task_group() as tasks:
            for each in (server, *sides):
                tasks.start_soon(each.run)
            tasks.start_soon(self.link.run)
            tasks.start_soon(self._holders.run)
            tasks.start_soon(self._list_loop)
            tasks.start_soon(self._sweep_loop)
            await stop.wait()
            await self._drain(server)
            tasks.cancel_scope.cancel()
        get_logger().info("drained")

    async def _drain(self, server: HttpServer) -> None:
        """Go on serving until the balancer has noticed, then end what is open."""
        self._app.leave(monotonic_ms() + self._settings.grace_ms)
        with anyio.move_on_after(self._settings.grace_ms / 1000):
            settings = self._settings
            await anyio.sleep(serving_ms(settings.drain_ms, settings.grace_ms) / 1000)
            server.stop()
            while self._app.n_in_flight:
                await anyio.sleep(DRAIN_POLL_MS / 1000)

    async def _on_message(self, value: Any) -> None:
        match value:
            case DocumentUpdate():
                self._use(value)
            case RoutingUpdate():
                self._servers.take_update(value, monotonic_ms())
            case EntryPlace():
                self._state.entries.told(value.n_entries, monotonic_ms())
            case FleetLoad():
                self._servers.take_load(value, monotonic_ms())

    def _use(self, update: DocumentUpdate) -> None:
        parsed = _unpacked(update.document).bind(parse_document)
        log = get_logger()
        if isinstance(parsed, Err):
            reason = parsed.failure().message
            log.error("document_unreadable", version=update.version, reason=reason)
            return
        if self._state.use(parsed.unwrap()):
            self._metrics.gauge("document_version", update.version)
            log.info(
                "document_in_force",
                version=update.version,
                routes=len(parsed.unwrap().routes),
                term=self.link.term,
            )

    async def _list_loop(self) -> None:
        """Read the list again and again; a reading that fails leaves the last one."""
        was_lost = False
        while True:
            began_ms = monotonic_ms()
            if not self._servers.needs_reading(began_ms):
                await anyio.sleep(LIST_CHECK_MS / 1000)
                continue
            listed = await self._source.read()
            if isinstance(listed, Err):
                fault = listed.failure()
                self._metrics.count("list_failures_total", reason=fault.code.name)
                if not was_lost:
                    get_logger().warning("list_lost", reason=fault.message)
                was_lost = True
            else:
                if was_lost:
                    get_logger().info("list_regained")
                was_lost = False
                self._servers.take_list(listed.unwrap(), began_ms)
            took_ms = monotonic_ms() - began_ms
            await anyio.sleep(max(0.05, (self._settings.list_ms - took_ms) / 1000))

    async def _sweep_loop(self) -> None:
        while True:
            await anyio.sleep(SWEEP_MS / 1000)
            addrs = {each.view.http_addr for each in self._state.view.backends.values()}
            await self._state.pool.close_expired(addrs, monotonic_ms())

    async def _report_loop(self, channel: Channel) -> None:
        self._servers.leader_lost()
        while True:
            state = self._state
            state.has_held_off = anyio.Event()
            report = EntryReport(
                entry_id=self._settings.entry_id,
                incarnation=self._incarnation,
                zone=self._settings.zone,
                http_addr=self._settings.listen,
                leaving=self._app.is_leaving,
                catalogue_revision=state.version,
                demand=state.demand_samples(monotonic_ms()),
                held_off=state.held_off(monotonic_ms()),
            )
            await channel.send(report)
            await anyio.sleep(LEAST_REPORT_MS / 1000)
            rest_ms = max(0.0, self._settings.report_ms - LEAST_REPORT_MS)
            with anyio.move_on_after(rest_ms / 1000):
                # A keeper on this host must not ask such a server either.
                await state.has_held_off.wait()


def serving_ms(drain_ms: float, grace_ms: float) -> float:
    """Return for how long a stopping entry takes requests.

    Parameters
    ----------
    drain_ms : float
        Time that the balancer may need to notice.
    grace_ms : float
        Time from the signal to the kill.
    """
    return min(drain_ms, SERVING_SHARE * grace_ms)


def _unpacked(document: bytes) -> Result[bytes, Failure]:
    try:
        return Success(zlib.decompress(document))
    except zlib.error as exc:
        return Err(failure(Code.BAD_MESSAGE, f"document: {exc}"))


async def _nothing(scope: dict, receive: Any, send: Any) -> None:
    """Answer what is no health question."""
    await send_failure(send, failure(Code.NO_SUCH_ROUTE))
