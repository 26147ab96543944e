"""Runs an entry that sends requests to backend servers through their agents.

It receives the catalogue and the list of servers over its link to the keepers, and
serves callers over HTTP.
"""

import random
import socket
import uuid
from typing import Any, NamedTuple

import anyio

from ...kernel.bounded_protocol import (
    BoundedProtocol,
    compute_max_connections,
)
from ...kernel.byte_budget import ByteBudget, compute_budget_bytes
from ...kernel.channel import Channel
from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code
from ...kernel.http import (
    DEFAULT_MEMORY_MB,
    HttpServer,
    add_health_endpoints,
    bind_socket,
)
from ...kernel.keeper_addresses import KeeperAddresses
from ...kernel.keeper_link import KeeperLink
from ...kernel.lifecycle import require_tokens
from ...kernel.logs import get_logger
from ...kernel.messages import (
    CatalogueUpdate,
    EntryPlace,
    EntryReport,
    Hello,
    RoutingUpdate,
)
from ...kernel.metrics import Metrics
from ...kernel.registry import PluginKind, lookup, plugin_names
from ...kernel.settings import address, one_of, peer_list, within
from ...kernel.tokens import read_token
from .. import front_ends  # noqa: F401
from .._components import EntryComponents
from ..choosing._backend import LoadReport
from ..choosing._router import Router
from ..choosing._view import FleetView
from ..claims._claims import Claims
from ..metering._meters import RequestMeters
from ..receiving._caller_app import CallerApp, RequestLimits
from ..receiving._caller_protocol import make_caller_protocol
from ..receiving._limit_shares import LimitShares
from ..receiving._reason_counters import REASON_COUNTERS
from ..sending._attempt_client import AttemptClient
from ..sending._dispatcher import Dispatcher

__all__ = ["ENTRY_SETTING_CHECKS", "EntrySettings", "run_entry"]

# Milliseconds between two removals of servers and models that are no longer listed.
CLEANUP_INTERVAL_MS = 1_000
# Removals between two publications of the latency percentiles, 10 s apart.
N_CLEANUPS_PER_WINDOW = 10
# Milliseconds between two checks whether a stopping entry has open requests.
DRAIN_POLL_MS = 20
# Milliseconds by which the operating system's timeout for unacknowledged data exceeds
# the send timeout, so that the send timeout ends a request first.
TCP_TIMEOUT_MARGIN_MS = 5_000
# Part of the descriptors for callers' connections; the remainder is for connections to
# agents.
CALLERS_SHARE = 0.5
# Largest bodies that fit into the byte budget at once, at least.
N_LARGEST_BODIES = 3


class EntrySettings(NamedTuple):
    """Run an entry that sends requests to backend servers through their agents.

    Parameters
    ----------
    keepers : str
        ip:port of each keeper, separated by commas.
    listen : str
        ip:port for callers and for /metrics.
    entry_id : str
        Name of this entry; made from `listen` when empty.
    zone : str
        Availability zone of this host.
    routing : str
        Routing policy: sampled_load, sampled_cost, least_cost, least_reported_load
        or random.
    max_open_requests : int
        Requests that may be open at once.
    max_body_bytes : int
        Largest request body in bytes.
    head_timeout_ms : int
        Milliseconds in which a request's first line and headers must arrive.
    body_timeout_ms : int
        Milliseconds in which a request's body must arrive.
    send_timeout_ms : int
        Milliseconds after which a caller that does not read is cut off.
    report_ms : int
        Milliseconds between two reports to the keepers.
    drain_ms : int
        Least time, in milliseconds, for which a stopping entry still accepts
        connections and refuses requests, so that the load balancer detects the
        stop.
    memory_mb : int
        Memory of the host in megabytes, which limits what is held for callers.
    max_fds : int
        Descriptors of the host, which limit the connections; 0 if only the operating
        system's limit holds.
    cluster_token : str
        Token for connections between the system's processes, or @file.
    allow_no_token : bool
        Run without a token; only allowed on loopback.
    """

    keepers: str
    listen: str = "127.0.0.1:8080"
    entry_id: str = ""
    zone: str = "zone-1"
    routing: str = "sampled_load"
    max_open_requests: int = 2_048
    max_body_bytes: int = 8 * 1024 * 1024
    head_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    send_timeout_ms: int = 10_000
    report_ms: int = 500
    drain_ms: int = 500
    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int = 0
    cluster_token: str = ""
    allow_no_token: bool = False


ENTRY_SETTING_CHECKS = {
    "keepers": peer_list(),
    "listen": address(),
    "routing": one_of(*plugin_names(PluginKind.ROUTING_POLICY)),
    "max_open_requests": within(1, 100_000),
    "max_body_bytes": within(1_024, 2**30),
    "head_timeout_ms": within(10, 600_000),
    "body_timeout_ms": within(10, 600_000),
    "send_timeout_ms": within(10, 600_000),
    "report_ms": within(10, 10_000),
    "drain_ms": within(0, 600_000),
    "memory_mb": within(64, 10_000_000),
    "max_fds": within(0, 10_000_000),
}


async def run_entry(settings: EntrySettings, stop: anyio.Event) -> None:
    """Run an entry until `stop` is set, then finish the open requests."""
    token = read_token(settings.cluster_token)
    require_tokens(settings.listen, settings.allow_no_token, token)
    process = _EntryProcess(settings, token)
    await process.run(stop)


class _EntryProcess:
    """One running entry: its components, its keeper link and its HTTP server."""

    def __init__(self, settings: EntrySettings, token: str):
        self._settings = settings
        self._metrics = Metrics("entry")
        self._metrics.expose(REASON_COUNTERS, [code.name for code in Code])
        self._view = FleetView()
        self._entry_id = settings.entry_id or f"entry-{settings.listen}"
        self._incarnation = uuid.uuid4().hex
        hello = Hello("entry", self._entry_id, self._incarnation, settings.zone, token)
        self._link = KeeperLink(
            KeeperAddresses.parse(settings.keepers),
            hello,
            self._on_message,
            self._report_loop,
        )
        self._claims = Claims(
            self._entry_id, self._link, AttemptClient(token), self._metrics
        )
        self._components = _make_components(
            settings, token, self._view, self._claims, self._metrics
        )
        self._caller_app = CallerApp(
            self._components, _make_front_ends(), _make_request_limits(settings)
        )
        self._report_requested = anyio.Event()

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set, then refuse new requests and finish open ones."""
        sock = bind_socket(self._settings.listen)
        _set_tcp_user_timeout(sock, self._settings.send_timeout_ms)
        app = add_health_endpoints(
            self._caller_app, self._metrics, lambda: self._is_ready
        )
        protocol = self._make_protocol()
        server = HttpServer(app, sock, protocol)
        get_logger().info("listening", addr=self._settings.listen)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            tasks.start_soon(self._link.run)
            tasks.start_soon(self._claims.run_background_steps)
            tasks.start_soon(self._cleanup_loop)
            await stop.wait()
            await self._drain()
            server.stop()
            tasks.cancel_scope.cancel()

    def _make_protocol(self) -> type[BoundedProtocol]:
        """Return the class that handles callers' connections."""
        settings = self._settings
        max_bytes = max(
            compute_budget_bytes(settings.memory_mb),
            N_LARGEST_BODIES * settings.max_body_bytes,
        )
        return make_caller_protocol(
            self._metrics,
            settings.head_timeout_ms,
            compute_max_connections(CALLERS_SHARE, settings.max_fds),
            # The send timeout ends a request first.
            settings.send_timeout_ms + TCP_TIMEOUT_MARGIN_MS,
            ByteBudget(max_bytes, self._metrics),
        )

    @property
    def _is_ready(self) -> bool:
        """Whether a load balancer may send callers to this entry."""
        return self._view.knows_catalogue and not self._caller_app.leaving

    async def _drain(self) -> None:
        self._caller_app.leaving = True
        self._report_requested.set()
        await anyio.sleep(self._settings.drain_ms / 1000)
        while self._caller_app.n_in_flight or self._claims.n_pending_records:
            await anyio.sleep(DRAIN_POLL_MS / 1000)

    async def _on_message(self, value: Any) -> None:
        now_ms = monotonic_ms()
        self._view.keeper_message_at_ms = now_ms
        match value:
            case CatalogueUpdate():
                self._view.update_catalogue(value)
                self._metrics.gauge("revision", self._view.revision)
            case RoutingUpdate():
                self._view.update_routing(value, now_ms)
            case EntryPlace():
                limit_shares = self._components.limit_shares
                limit_shares.n_entries = max(1, value.n_entries)
                limit_shares.rank = value.rank

    async def _report_loop(self, channel: Channel) -> None:
        while True:
            self._report_requested = anyio.Event()
            await channel.send(self._make_report(monotonic_ms()))
            with anyio.move_on_after(self._settings.report_ms / 1000):
                await self._report_requested.wait()

    async def _cleanup_loop(self) -> None:
        """Remove what is no longer listed, and publish the latency percentiles."""
        n_cleanups = 0
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_MS / 1000)
            self._view.drop_unlisted(monotonic_ms())
            self._components.limit_shares.drop_unlisted(set(self._view.entries))
            backends = self._view.backends.values()
            listed_addrs = {backend.view.http_addr for backend in backends}
            await self._components.dispatcher.close_unlisted_pools(listed_addrs)
            n_cleanups += 1
            if n_cleanups % N_CLEANUPS_PER_WINDOW == 0:
                self._components.meters.publish()

    def _make_report(self, now_ms: float) -> EntryReport:
        return EntryReport(
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            http_addr=self._settings.listen,
            leaving=self._caller_app.leaving,
            catalogue_revision=self._view.revision,
            demand=self._components.meters.collect_demand_samples(now_ms),
        )


def _make_components(
    settings: EntrySettings,
    token: str,
    view: FleetView,
    claims: Claims,
    metrics: Metrics,
) -> EntryComponents:
    now_ms = monotonic_ms()
    rng = random.Random()
    policy = lookup(PluginKind.ROUTING_POLICY, settings.routing)()
    router = Router(view, policy, settings.zone, metrics, rng, now_ms)

    def on_refusal_report(server_id: str, report: LoadReport) -> None:
        router.apply_refusal_report(server_id, report, monotonic_ms())

    return EntryComponents(
        view=view,
        router=router,
        dispatcher=Dispatcher(token, on_refusal_report),
        limit_shares=LimitShares(),
        meters=RequestMeters(metrics, now_ms),
        metrics=metrics,
        rng=random.SystemRandom(),
        now_ms=monotonic_ms,
        claims=claims,
    )


def _make_front_ends() -> list[Any]:
    names = plugin_names(PluginKind.FRONT_END)
    return [lookup(PluginKind.FRONT_END, name)() for name in names]


def _make_request_limits(settings: EntrySettings) -> RequestLimits:
    return RequestLimits(
        settings.max_body_bytes,
        settings.max_open_requests,
        settings.body_timeout_ms,
        settings.send_timeout_ms,
    )


def _set_tcp_user_timeout(sock: socket.socket, send_timeout_ms: int) -> None:
    """Have the operating system close connections whose peer stops acknowledging.

    Accepted connections inherit the option from the listening socket.
    """
    timeout_ms = send_timeout_ms + TCP_TIMEOUT_MARGIN_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
