"""Runs one keeper: its replica, its connections and its planning."""

from typing import Any, NamedTuple

import anyio

from ..kernel.channel import Channel, as_refused, serve_channels
from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, failure
from ..kernel.http import HttpServer, bind_socket, send_failure, with_health
from ..kernel.lifecycle import check_tokens
from ..kernel.logs import get_logger
from ..kernel.messages import (
    Ack,
    AgentReport,
    Assignment,
    EntryReport,
    Hello,
    OperatorRequest,
    PermitRelease,
    PermitRequest,
    Welcome,
)
from ..kernel.metrics import Metrics
from ..kernel.registry import PluginKind, plugin_names
from ..kernel.settings import Check, address, one_of, parse_address, within
from ..kernel.tokens import read_token, token_matches
from ..replication import LocalReplica
from ._directory import Directory, server_view
from ._machine import KeeperMachine
from ._operators import Operators
from ._planner import Planner, PlannerSettings
from ._platform import poll_platform
from ._subscribers import Subscriber

__all__ = ["KeeperSettings", "keeper_checks", "run_keeper"]

IDLE_TIMEOUT_MS = 10_000
HELLO_TIMEOUT_MS = 2_000


class KeeperSettings(NamedTuple):
    """A host with a disk: the replicated log, the catalogue and placement.

    Parameters
    ----------
    keeper_id : str
        Name of this keeper.
    data : str
        Folder for the log and snapshots.
    listen : str
        ip:port for the system's own connections and for operators.
    http_listen : str
        ip:port for /healthz, /readyz and /metrics.
    zone : str
        Availability zone of this host.
    tick_ms : int
        Milliseconds between two rounds of telling agents and entries.
    plan_ms : int
        Milliseconds between two placement rounds.
    placement : str
        Placement policy: marginal_gain, static or on_demand_lru.
    move_weight : float
        Requests in flight that one move must bring within their limits; higher
        spends fewer moves.
    max_pending_loads : int
        Loads that may be under way at once.
    dead_after_ms : int
        Milliseconds of silence after which a server's models go elsewhere.
    min_residence_ms : int
        Milliseconds for which a placed model is not released for another.
    loads_per_s : float
        Loads that the weight store allows per second.
    max_loads_at_once : int
        Loads that the weight store allows at once.
    permit_valid_ms : int
        Milliseconds within which a permitted load has to begin.
    platform_dialect : str
        Dialect of the platform's list of hosts.
    platform_url : str
        http://ip:port of the platform's list; empty for none.
    cluster_token : str
        Token of the system's own connections, or @file.
    operator_token : str
        Token that operators' edits need, or @file.
    allow_no_token : bool
        Run without tokens; on loopback only.
    """

    keeper_id: str
    data: str
    listen: str = "127.0.0.1:8100"
    http_listen: str = "127.0.0.1:8101"
    zone: str = "zone-1"
    tick_ms: int = 50
    plan_ms: int = 200
    placement: str = "marginal_gain"
    move_weight: float = 0.5
    max_pending_loads: int = 16
    dead_after_ms: int = 5_000
    min_residence_ms: int = 10_000
    loads_per_s: float = 1.0
    max_loads_at_once: int = 2
    permit_valid_ms: int = 2_000
    platform_dialect: str = "http_hosts"
    platform_url: str = ""
    cluster_token: str = ""
    operator_token: str = ""
    allow_no_token: bool = False


keeper_checks = {
    "keeper_id": Check("a name", bool),
    "data": Check("a folder", bool),
    "listen": address(),
    "http_listen": address(),
    "tick_ms": within(5, 5_000),
    "plan_ms": within(10, 60_000),
    "placement": one_of(*plugin_names(PluginKind.PLACEMENT_POLICY)),
    "move_weight": within(0, 1_000),
    "max_pending_loads": within(1, 10_000),
    "dead_after_ms": within(2_000, 3_600_000),
    "min_residence_ms": within(0, 3_600_000),
    "loads_per_s": within(0.01, 10_000),
    "max_loads_at_once": within(1, 10_000),
    "permit_valid_ms": within(100, 600_000),
    "platform_dialect": one_of(*plugin_names(PluginKind.PLATFORM_DIALECT)),
    "platform_url": Check(
        "http://ip:port, or empty", lambda url: not url or url.startswith("http://")
    ),
}


async def run_keeper(settings: KeeperSettings, stop: anyio.Event) -> None:
    """Run a keeper until `stop` is set."""
    cluster_token = read_token(settings.cluster_token)
    operator_token = read_token(settings.operator_token)
    check_tokens(
        settings.listen, settings.allow_no_token, cluster_token, operator_token
    )
    keeper = _Keeper(settings, cluster_token, operator_token)
    await keeper.run(stop)


class _Keeper:
    def __init__(self, settings: KeeperSettings, cluster_token: str, op_token: str):
        self._settings = settings
        self._cluster_token = cluster_token
        self._metrics = Metrics("keeper")
        self._machine = KeeperMachine()
        self._replica = LocalReplica(settings.data, self._machine, settings.listen)
        self._directory = Directory()
        self._operators = Operators(
            self._machine, self._replica, self._directory, op_token
        )
        planning = {name: getattr(settings, name) for name in PlannerSettings._fields}
        self._planner = Planner(
            PlannerSettings(**planning),
            self._machine,
            self._directory,
            self._replica,
            self._metrics,
        )
        self._subscribers: set[Subscriber] = set()

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop`."""
        http_sock = bind_socket(self._settings.http_listen)
        app = with_health(_no_route, self._metrics, lambda: not stop.is_set())
        http = HttpServer(app, http_sock)
        host, port = parse_address(self._settings.listen)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        get_logger().info("listening", addr=self._settings.listen)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(http.run)
            tasks.start_soon(self._replica.run)
            tasks.start_soon(
                serve_channels, listener, IDLE_TIMEOUT_MS, self._serve_connection
            )
            tasks.start_soon(self._tell_loop)
            tasks.start_soon(self._planner.run)
            tasks.start_soon(self._poll_platform)
            await stop.wait()
            http.stop()
            tasks.cancel_scope.cancel()

    async def _serve_connection(self, channel: Channel) -> None:
        hello = None
        with anyio.move_on_after(HELLO_TIMEOUT_MS / 1000):
            received = await channel.receive()
            hello = received.map(lambda pair: pair[1]).value_or(None)
        if await self._greet(channel, hello):
            await self._serve_peer(channel, hello)

    async def _greet(self, channel: Channel, hello: Any) -> bool:
        """Answer the first message; return whether the peer may go on."""
        if not isinstance(hello, Hello):
            self._metrics.count("refusals_total", reason=Code.BAD_MESSAGE.name)
            return False
        if not token_matches(self._cluster_token, hello.token):
            self._metrics.count("refusals_total", reason=Code.BAD_TOKEN.name)
            await channel.send(as_refused(failure(Code.BAD_TOKEN)))
            return False
        welcome = Welcome(
            self._settings.keeper_id, self._replica.term, self._replica.leader_addr
        )
        await channel.send(welcome)
        return True

    async def _serve_peer(self, channel: Channel, hello: Hello) -> None:
        subscriber = Subscriber(channel, hello.role, hello.peer_id)

        async def handle(value: Any) -> Any:
            return await self._on_message(value, subscriber)

        self._subscribers.add(subscriber)
        try:
            why = await channel.run(handle)
        finally:
            self._subscribers.discard(subscriber)
        self._metrics.count("connections_ended_total", reason=why.code.name)

    async def _on_message(self, value: Any, subscriber: Subscriber) -> Any:
        now_ms = monotonic_ms()
        match value:
            case AgentReport():
                self._directory.hear_agent(value, now_ms)
            case EntryReport():
                self._directory.hear_entry(value, now_ms)
                self._planner.hear_entry(value, now_ms)
            case PermitRequest() | PermitRelease():
                return self._planner.answer(value, now_ms)
            case OperatorRequest():
                return await self._operators.answer(value, subscriber.peer_id)
            case _:
                return as_refused(failure(Code.BAD_MESSAGE))
        return Ack(self._machine.catalogue.revision)

    async def _tell_loop(self) -> None:
        while True:
            now_ms = monotonic_ms()
            views = {
                report.server_id: server_view(
                    report,
                    report.server_id in self._machine.drained
                    or self._directory.is_leaving(report.server_id, now_ms),
                )
                for report in self._directory.live_agents(now_ms)
            }
            async with anyio.create_task_group() as tasks:
                for subscriber in list(self._subscribers):
                    tasks.start_soon(self._tell, subscriber, views, now_ms)
            await anyio.sleep(self._settings.tick_ms / 1000)

    async def _tell(self, subscriber: Subscriber, views: dict, now_ms: float) -> None:
        if subscriber.role not in ("agent", "entry"):
            return
        await subscriber.tell_heartbeat(self._machine.catalogue.revision, now_ms)
        await subscriber.tell_catalogue(self._machine.catalogue)
        if subscriber.role == "entry":
            await subscriber.tell_routing(views)
            return
        server_id = subscriber.peer_id
        assigned = self._machine.assignments.get(server_id)
        if assigned is not None:
            await subscriber.tell_assignment(
                Assignment(
                    server_id,
                    self._replica.term,
                    assigned.revision,
                    assigned.desired,
                    server_id in self._machine.drained,
                )
            )

    async def _poll_platform(self) -> None:
        await poll_platform(
            self._settings.platform_dialect,
            self._settings.platform_url,
            self._directory,
            self._metrics,
        )


async def _no_route(scope: dict, receive: Any, send: Any) -> None:
    await send_failure(send, failure(Code.NO_SUCH_ROUTE))
