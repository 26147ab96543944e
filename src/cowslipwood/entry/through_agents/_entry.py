"""Runs one entry: its link to the keepers and its callers' interface."""

import random
import socket
import uuid
from typing import Any, NamedTuple

import anyio

from ...kernel.channel import Channel
from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code
from ...kernel.http import HttpServer, bind_socket, with_health
from ...kernel.keeper_link import KeeperLink
from ...kernel.lifecycle import check_tokens
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
from .. import fronts  # noqa: F401
from .._serving import Serving
from ..choosing._backend import LoadReport
from ..choosing._router import Router
from ..choosing._view import View
from ..claims._claims import Claims
from ..metering._meters import Meters
from ..sending._attempt_client import AttemptClient
from ..sending._dispatch import Dispatcher
from ..taking._counters import REASON_COUNTERS
from ..taking._front import Bounds, Front
from ..taking._protocol import caller_protocol
from ..taking._shares import Shares

__all__ = ["EntrySettings", "entry_checks", "run_entry"]

SWEEP_MS = 1_000
N_SWEEPS_PER_WINDOW = 10
DRAIN_POLL_MS = 20
UNACKED_MARGIN_MS = 5_000


class EntrySettings(NamedTuple):
    """An entry host: callers' HTTP, limits, admission, routing, retries.

    Parameters
    ----------
    keepers : str
        ip:port of each keeper, with commas between.
    listen : str
        ip:port for callers and for /metrics.
    entry_id : str
        Name of this entry; made from `listen` when empty.
    zone : str
        Availability zone of this host.
    routing : str
        Routing policy: sampled_load, least_reported_load or random.
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
        Milliseconds for which a stopping entry at least goes on refusing, so
        that the balancer before it notices.
    cluster_token : str
        Token of the system's own connections, or @file.
    allow_no_token : bool
        Run without tokens; on loopback only.
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
    cluster_token: str = ""
    allow_no_token: bool = False


entry_checks = {
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
}


async def run_entry(settings: EntrySettings, stop: anyio.Event) -> None:
    """Run an entry until `stop` is set, then finish the open requests."""
    token = read_token(settings.cluster_token)
    check_tokens(settings.listen, settings.allow_no_token, token)
    entry = _Entry(settings, token)
    await entry.run(stop)


class _Entry:
    def __init__(self, settings: EntrySettings, token: str):
        self._settings = settings
        self._metrics = Metrics("entry")
        self._metrics.expose(REASON_COUNTERS, [code.name for code in Code])
        self._view = View()
        self._entry_id = settings.entry_id or f"entry-{settings.listen}"
        self._incarnation = uuid.uuid4().hex
        hello = Hello("entry", self._entry_id, self._incarnation, settings.zone, token)
        self._link = KeeperLink(
            settings.keepers, hello, self._on_message, self._report_loop
        )
        self._claims = Claims(
            self._entry_id, self._link, AttemptClient(token), self._metrics
        )
        self._serving = _make_serving(
            settings, token, self._view, self._claims, self._metrics
        )
        self._front = Front(self._serving, _front_ends(), _bounds(settings))
        self._report_now = anyio.Event()

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop`, then refuse new requests and finish open ones."""
        sock = bind_socket(self._settings.listen)
        _drop_stalled_callers(sock, self._settings.send_timeout_ms)
        app = with_health(self._front, self._metrics, lambda: self._is_ready)
        protocol = caller_protocol(self._metrics, self._settings.head_timeout_ms)
        server = HttpServer(app, sock, protocol)
        get_logger().info("listening", addr=self._settings.listen)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            tasks.start_soon(self._link.run)
            tasks.start_soon(self._claims.serve)
            tasks.start_soon(self._sweep_loop)
            await stop.wait()
            await self._drain()
            server.stop()
            tasks.cancel_scope.cancel()

    @property
    def _is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self._view.knows_catalogue and not self._front.leaving

    async def _drain(self) -> None:
        self._front.leaving = True
        self._report_now.set()
        await anyio.sleep(self._settings.drain_ms / 1000)
        while self._front.n_in_flight or self._claims.n_recording:
            await anyio.sleep(DRAIN_POLL_MS / 1000)

    async def _on_message(self, value: Any) -> None:
        now_ms = monotonic_ms()
        self._view.reported_at_ms = now_ms
        match value:
            case CatalogueUpdate():
                self._view.update_catalogue(value)
                self._metrics.gauge("revision", self._view.revision)
            case RoutingUpdate():
                self._view.update_routing(value, now_ms)
            case EntryPlace():
                shares = self._serving.shares
                shares.n_entries = max(1, value.n_entries)
                shares.rank = value.rank

    async def _report_loop(self, channel: Channel) -> None:
        while True:
            self._report_now = anyio.Event()
            await channel.send(self._report(monotonic_ms()))
            with anyio.move_on_after(self._settings.report_ms / 1000):
                await self._report_now.wait()

    async def _sweep_loop(self) -> None:
        """Drop what is no longer listed, and publish the latency percentiles."""
        n_sweeps = 0
        while True:
            await anyio.sleep(SWEEP_MS / 1000)
            self._view.drop_unlisted(monotonic_ms())
            self._serving.shares.forget(set(self._view.entries))
            backends = self._view.backends.values()
            listed = {backend.view.http_addr for backend in backends}
            await self._serving.dispatcher.keep_only(listed)
            n_sweeps += 1
            if n_sweeps % N_SWEEPS_PER_WINDOW == 0:
                self._serving.meters.publish()

    def _report(self, now_ms: float) -> EntryReport:
        return EntryReport(
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            http_addr=self._settings.listen,
            leaving=self._front.leaving,
            catalogue_revision=self._view.revision,
            demand=self._serving.meters.collect_demand_samples(now_ms),
        )


def _make_serving(
    settings: EntrySettings, token: str, view: View, claims: Claims, metrics: Metrics
) -> Serving:
    now_ms = monotonic_ms()
    rng = random.Random()
    policy = lookup(PluginKind.ROUTING_POLICY, settings.routing)()
    router = Router(view, policy, settings.zone, metrics, rng, now_ms)

    def on_refusal(server_id: str, report: LoadReport) -> None:
        router.take_refusal_report(server_id, report, monotonic_ms())

    return Serving(
        view=view,
        router=router,
        dispatcher=Dispatcher(token, on_refusal),
        shares=Shares(),
        meters=Meters(metrics, now_ms),
        metrics=metrics,
        rng=random.SystemRandom(),
        now_ms=monotonic_ms,
        claims=claims,
    )


def _front_ends() -> list[Any]:
    names = plugin_names(PluginKind.FRONT_END)
    return [lookup(PluginKind.FRONT_END, name)() for name in names]


def _bounds(settings: EntrySettings) -> Bounds:
    return Bounds(
        settings.max_body_bytes,
        settings.max_open_requests,
        settings.body_timeout_ms,
        settings.send_timeout_ms,
    )


def _drop_stalled_callers(sock: socket.socket, send_timeout_ms: int) -> None:
    """Have the kernel drop connections whose peer reads nothing for long.

    Accepted connections inherit the option from the listening socket.
    """
    limit_ms = send_timeout_ms + UNACKED_MARGIN_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
