"""Runs an entry daemon that sends requests directly to backend servers."""

import hashlib
import random
import uuid
import zlib
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.bounded_protocol import compute_max_connections
from ...kernel.byte_budget import ByteBudget, compute_budget_bytes
from ...kernel.channel import Channel
from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code, Failure, failure
from ...kernel.http import (
    DEFAULT_MEMORY_MB,
    HttpServer,
    add_health_endpoints,
    bind_socket,
    send_failure,
)
from ...kernel.keeper_addresses import KeeperAddresses
from ...kernel.keeper_link import KeeperLink
from ...kernel.logs import get_logger
from ...kernel.messages import (
    CrashEvidence,
    DocumentUpdate,
    EntryPlace,
    EntryReport,
    FleetLoad,
    Hello,
    RoutingUpdate,
    ServerLimits,
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
from ...listing import ServerListSource
from ...routes import parse_document
from .. import routing  # noqa: F401  registers the routing policies
from ..choosing._view import FleetView
from ..receiving._caller_protocol import make_caller_protocol
from ..receiving._reason_counters import REASON_COUNTERS
from ._app import RouteApp
from ._headers import HeaderNames
from ._holders import HolderFinder
from ._limits import ServerLimitKeeper
from ._part_guard import PartGuard
from ._retries import RetryBudgetLimits
from ._server_reports import ServerReports
from ._servers import KnownServers
from ._state import DirectState
from ._stream_versions import StreamVersions

__all__ = ["DIRECT_SETTING_CHECKS", "DirectEntry", "DirectSettings"]

# Interval, in milliseconds, at which idle connections are closed. Idle connections are
# kept for seconds and may exceed that time by this interval.
POOL_SWEEP_INTERVAL_MS = 500.0
# Interval, in milliseconds, at which the entry checks whether it has to read the server
# list itself. A read begins at most this much late.
LIST_CHECK_INTERVAL_MS = 100.0
# Share of the grace time for which a stopping entry still takes requests. A request
# that arrives later may not end before the process is killed, and its caller can still
# go to another entry.
MAX_SERVING_SHARE = 0.3
# Interval, in milliseconds, at which a stopping entry checks whether requests are still
# in flight. It lengthens the stop by at most this much.
DRAIN_POLL_INTERVAL_MS = 20.0
# Pause, in milliseconds, between two reports of streams that clients may resume. Others
# do not learn what is not reported when the entry fails.
STREAM_REPORT_PAUSE_MS = 50.0
# Least time, in milliseconds, between two reports to the keepers, however much there is
# to report.
MIN_REPORT_INTERVAL_MS = 100.0
# Longest time, in milliseconds, that a caller may take to send a request's head. A
# caller that takes longer occupies a connection to no purpose.
HEAD_TIMEOUT_MS = 10_000.0
# Part of the descriptors for callers' connections. The remainder is for connections to
# servers, of which every request in flight has one, and for other ports.
CALLERS_SHARE = 0.5
# Time, in milliseconds, for which a caller may read nothing of a response while more of
# it waits. Its server cannot send on meanwhile, and servers abort responses that stay
# unread for some seconds. A caller that reads less than 30 KB a second may make room
# for more less often than every two seconds.
UNREAD_MS = 5_000.0
# Part of the byte budget, above all of it, that bodies alone may take. Stalled
# connections are closed at the budget, before bodies are refused.
HELD_BODIES_FACTOR = 1.25


class DirectSettings(NamedTuple):
    """Settings of an entry that sends requests directly to backend servers.

    Parameters
    ----------
    keepers : str
        ip:port of each keeper, separated by commas.
    listen : str
        ip:port for callers.
    ready_listen : str
        ip:port of the readiness check; empty to serve it only on metrics_listen.
    ready_path : str
        Path of the readiness check in addition to /readyz.
    metrics_listen : str
        ip:port for /healthz, /readyz and /metrics.
    entry_id : str
        Name of this entry.
    zone : str
        Availability zone of this host.
    list_url : str
        http://ip:port/path of the list of backend servers; empty if the program
        has another source of the list.
    routing : str
        Name of the routing policy.
    list_ms : int
        Milliseconds between two reads of the list of backend servers.
    report_ms : int
        Milliseconds between two reports to the keepers.
    retry_share : float
        Retries allowed for each new request, over all entries.
    retry_extra : float
        Further retries allowed in one window, over all entries.
    retry_window_ms : int
        Length of that window in milliseconds.
    drain_ms : int
        Milliseconds for which a stopping entry continues to serve, so that the load
        balancer in front of it detects the stop.
    grace_ms : int
        Milliseconds after which a stopping process is killed.
    memory_mb : int
        Memory of the host in megabytes, which limits what is held for callers.
    max_fds : int
        Descriptors of the host, which limit the connections; 0 if only the operating
        system's limit holds.
    cluster_token : str
        Token for connections between daemons, or @file.
    revoke_ms : int
        Milliseconds after the confirmation of a document within which customers' keys
        that it lacks stop working at every entry; 0 for no bound.
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
    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int = 0
    cluster_token: str = ""
    revoke_ms: int = 0


DIRECT_SETTING_CHECKS = {
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
    "revoke_ms": within(0, 600_000),
    "memory_mb": within(64, 10_000_000),
    "max_fds": within(0, 10_000_000),
}


class DirectEntry:
    """An entry daemon.

    Parameters
    ----------
    settings : DirectSettings
    header_names : HeaderNames
    list_source : ServerListSource
        Where the entry reads the list of backend servers.
    keepers : KeeperAddresses, optional
        Addresses of the keepers, whose configured ones a reload may replace; by
        default those of the setting `keepers`.
    reports : ServerReports, optional
        Asks servers about themselves; by default a connection tells that they run.
    """

    def __init__(
        self,
        settings: DirectSettings,
        header_names: HeaderNames,
        list_source: ServerListSource,
        keepers: KeeperAddresses | None = None,
        reports: ServerReports | None = None,
    ):
        self._settings = settings
        self._list_source = list_source
        self._metrics = Metrics("entry")
        self._metrics.expose(REASON_COUNTERS, [code.name for code in Code])
        self._view = FleetView()
        self._servers = KnownServers(self._view)
        self._incarnation = uuid.uuid4().hex
        hello = Hello(
            "entry",
            settings.entry_id,
            self._incarnation,
            settings.zone,
            read_token(settings.cluster_token),
        )
        self._link = KeeperLink(
            keepers or KeeperAddresses.parse(settings.keepers),
            hello,
            self._on_message,
            self._report_loop,
        )
        self._holder_finder = HolderFinder(self._link, self._servers, monotonic_ms)
        retry_limits = RetryBudgetLimits(
            settings.retry_share, settings.retry_extra, settings.retry_window_ms
        )
        policy = lookup(PluginKind.ROUTING_POLICY, settings.routing)()
        self._state = DirectState(
            settings.zone,
            header_names,
            policy,
            self._view,
            self._servers,
            self._holder_finder,
            retry_limits,
            self._metrics,
            ask_leader=self._link.request,
            identity_key=_make_identity_key(settings.cluster_token),
            started_ms=monotonic_ms(),
            reports=reports,
            revoke_ms=settings.revoke_ms,
        )
        budget_bytes = compute_budget_bytes(settings.memory_mb)
        self._budget = ByteBudget(budget_bytes, self._metrics)
        self._app = RouteApp(
            self._state, random.Random(), round(HELD_BODIES_FACTOR * budget_bytes)
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this entry."""
        return (
            not self._app.is_leaving
            and self._state.document is not None
            and bool(self._servers.list_read_at_ms)
            and self._state.customer_keys.is_ready
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set, then finish the requests in flight."""
        settings = self._settings
        protocol = make_caller_protocol(
            self._metrics,
            HEAD_TIMEOUT_MS,
            compute_max_connections(CALLERS_SHARE, settings.max_fds),
            UNREAD_MS,
            self._budget,
        )
        server = HttpServer(self._app, bind_socket(settings.listen), protocol)
        health_app = add_health_endpoints(
            _refuse_request, self._metrics, lambda: self.is_ready, settings.ready_path
        )
        health_servers = [
            HttpServer(health_app, bind_socket(listen), budget=self._budget)
            for listen in (settings.metrics_listen, settings.ready_listen)
            if listen
        ]
        get_logger().info("started", listen=settings.listen, zone=settings.zone)
        async with anyio.create_task_group() as tasks:
            for http_server in (server, *health_servers):
                tasks.start_soon(http_server.run)
            tasks.start_soon(self._link.run)
            tasks.start_soon(self._holder_finder.run)
            tasks.start_soon(self._state.customer_keys.run)
            tasks.start_soon(self._list_loop)
            tasks.start_soon(self._pool_sweep_loop)
            tasks.start_soon(self._state.customer_limits.run)
            tasks.start_soon(self._send_news, self._state.part_guard, 0.0)
            tasks.start_soon(self._send_news, self._state.limits, 0.0)
            tasks.start_soon(
                self._send_news, self._state.stream_versions, STREAM_REPORT_PAUSE_MS
            )
            await stop.wait()
            await self._drain(server)
            tasks.cancel_scope.cancel()
        get_logger().info("drained")

    async def _drain(self, server: HttpServer) -> None:
        """Serve until the load balancer detects the stop, then finish open requests."""
        self._app.start_leaving(monotonic_ms() + self._settings.grace_ms)
        with anyio.move_on_after(self._settings.grace_ms / 1000):
            settings = self._settings
            await anyio.sleep(
                compute_serving_ms(settings.drain_ms, settings.grace_ms) / 1000
            )
            server.stop()
            while self._app.n_in_flight:
                await anyio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)

    async def _on_message(self, value: Any) -> None:
        self._state.customer_keys.record_contact(monotonic_ms())
        match value:
            case DocumentUpdate():
                self._apply_document(value)
            case RoutingUpdate():
                self._state.stream_versions.record_servers(
                    value.servers, monotonic_ms()
                )
                self._servers.apply_update(value, monotonic_ms())
            case EntryPlace():
                self._state.live_entries.update(value.n_entries, monotonic_ms())
            case FleetLoad():
                self._servers.apply_load(value, monotonic_ms())
            case CrashEvidence():
                self._state.part_guard.apply_evidence(value, monotonic_ms())
            case ServerLimits():
                self._state.limits.apply_update(value, monotonic_ms())

    def _apply_document(self, update: DocumentUpdate) -> None:
        parsed = _decompress_document(update.document).bind(parse_document)
        log = get_logger()
        if isinstance(parsed, Err):
            reason = parsed.failure().message
            log.error("document_unreadable", version=update.version, reason=reason)
            return
        document = parsed.unwrap().set_key_need(update.needs_key)
        if self._state.apply_document(document):
            self._metrics.gauge("document_version", update.version)
            log.info(
                "document_in_force",
                version=update.version,
                routes=len(document.routes),
                customers=len(document.list_customers()),
                needs_key=document.needs_key,
                term=self._link.term,
            )

    async def _list_loop(self) -> None:
        """Read the server list in a loop; after a failed read the last list stays."""
        has_failed = False
        while True:
            began_ms = monotonic_ms()
            if not self._servers.needs_list_read(began_ms):
                await anyio.sleep(LIST_CHECK_INTERVAL_MS / 1000)
                continue
            read_result = await self._list_source.read()
            if isinstance(read_result, Err):
                fault = read_result.failure()
                self._metrics.count("list_failures_total", reason=fault.code.name)
                if not has_failed:
                    get_logger().warning("list_lost", reason=fault.message)
                has_failed = True
            else:
                if has_failed:
                    get_logger().info("list_regained")
                has_failed = False
                document = self._state.document
                engine_services = document.list_engine_services() if document else ()
                self._servers.apply_list(
                    read_result.unwrap(), began_ms, engine_services
                )
            took_ms = monotonic_ms() - began_ms
            await anyio.sleep(max(0.05, (self._settings.list_ms - took_ms) / 1000))

    async def _pool_sweep_loop(self) -> None:
        while True:
            await anyio.sleep(POOL_SWEEP_INTERVAL_MS / 1000)
            addrs = {
                backend.view.http_addr for backend in self._state.view.backends.values()
            }
            await self._state.pool.close_expired(addrs, monotonic_ms())
            state = self._state
            state.limits.forget_unlisted(set(state.view.backends))
            views = [backend.view for backend in state.view.backends.values()]
            state.stream_versions.record_servers(views, monotonic_ms())
            state.stream_versions.forget_old(monotonic_ms())

    async def _send_news(
        self,
        observer: PartGuard | ServerLimitKeeper | StreamVersions,
        pause_ms: float,
    ) -> None:
        """Send what this entry sees of servers to the leader, at once or in batches."""
        while True:
            await observer.has_news.wait()
            news = observer.take_news(monotonic_ms())
            if news is not None:
                await self._link.send(news)
            await anyio.sleep(pause_ms / 1000)

    async def _report_loop(self, channel: Channel) -> None:
        self._servers.forget_leader()
        # A new leader may know none of this.
        state = self._state
        for observer in (state.part_guard, state.limits, state.stream_versions):
            known = observer.build_all(monotonic_ms())
            if known is not None:
                await channel.send(known)
        while True:
            state = self._state
            state.hold_off_requested = anyio.Event()
            report = EntryReport(
                entry_id=self._settings.entry_id,
                incarnation=self._incarnation,
                zone=self._settings.zone,
                http_addr=self._settings.listen,
                leaving=self._app.is_leaving,
                catalogue_revision=state.document_version,
                demand=state.collect_demand_samples(monotonic_ms()),
                held_off=state.list_held_off(monotonic_ms()),
            )
            await channel.send(report)
            await anyio.sleep(MIN_REPORT_INTERVAL_MS / 1000)
            rest_ms = max(0.0, self._settings.report_ms - MIN_REPORT_INTERVAL_MS)
            with anyio.move_on_after(rest_ms / 1000):
                # A new hold-off is reported early, because a keeper on this host must
                # not send requests to that server either.
                await state.hold_off_requested.wait()


def compute_serving_ms(drain_ms: float, grace_ms: float) -> float:
    """Return for how long a stopping entry still takes requests.

    Parameters
    ----------
    drain_ms : float
        Time that the load balancer may need to detect the stop.
    grace_ms : float
        Time from the stop signal until the process is killed.
    """
    return min(drain_ms, MAX_SERVING_SHARE * grace_ms)


def _make_identity_key(cluster_token: str) -> bytes:
    """Return a key that all entries have and no caller knows."""
    token = read_token(cluster_token)
    return hashlib.blake2b(token.encode(), person=b"identity").digest()


def _decompress_document(document: bytes) -> Result[bytes, Failure]:
    try:
        return Success(zlib.decompress(document))
    except zlib.error as exc:
        return Err(failure(Code.BAD_MESSAGE, f"document: {exc}"))


async def _refuse_request(scope: dict, receive: Any, send: Any) -> None:
    """Refuse a request that is no health check."""
    await send_failure(send, failure(Code.NO_SUCH_ROUTE))
