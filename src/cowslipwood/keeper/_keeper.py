"""Runs one keeper: its replica, its connections and its planning."""

import random
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from ..kernel.channel import Channel, as_refused, serve_channels
from ..kernel.clock import monotonic_ms, wall_ms
from ..kernel.codes import Code, failure
from ..kernel.http import HttpServer, bind_socket, send_failure, with_health
from ..kernel.lifecycle import check_tokens
from ..kernel.logs import get_logger
from ..kernel.messages import (
    Ack,
    AgentReport,
    Assignment,
    ClaimAttempt,
    ClaimBegin,
    ClaimFinish,
    EntryReport,
    Hello,
    OperatorRequest,
    PermitRelease,
    PermitRequest,
    Refused,
    Welcome,
)
from ..kernel.metrics import Metrics
from ..kernel.registry import PluginKind, plugin_names
from ..kernel.settings import (
    Check,
    address,
    exit_with,
    one_of,
    parse_address,
    within,
)
from ..kernel.tokens import read_token, token_matches
from ..replication import (
    DataDamagedError,
    DataLockedError,
    LogReplica,
    ReplicaSettings,
    StateMachine,
)
from ._claims import ClaimLimits, Claims
from ._closing import Closing
from ._directory import Directory, server_view
from ._machine import KeeperMachine
from ._members import parse_peers
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
    peers : str
        The initial members as name=ip:port with commas between, this keeper
        included; empty for a keeper that stands alone. A keeper that replaces
        another is given the members that there are.
    zone : str
        Availability zone of this host.
    snapshot_entries : int
        Log entries between two snapshots.
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
    claim_keep_ms : int
        Milliseconds that the claim of an Idempotency-Key lasts.
    claims_max : int
        Claims held at once; more are refused.
    claim_answer_bytes : int
        Largest answer kept for resends, in bytes.
    claim_answers_bytes : int
        All answers kept for resends, in bytes; the oldest go first.
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
    peers: str = ""
    zone: str = "zone-1"
    snapshot_entries: int = 10_000
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
    claim_keep_ms: int = 43_200_000
    claims_max: int = 50_000
    claim_answer_bytes: int = 16_384
    claim_answers_bytes: int = 16_777_216
    cluster_token: str = ""
    operator_token: str = ""
    allow_no_token: bool = False


def _are_peers(text: str) -> bool:
    try:
        parse_peers(text)
    except ValueError:
        return False
    return True


keeper_checks = {
    "keeper_id": Check("a name", bool),
    "data": Check("a folder", bool),
    "listen": address(),
    "http_listen": address(),
    "peers": Check("name=ip:port, with commas between several", _are_peers),
    "snapshot_entries": within(10, 1_000_000),
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
    "claim_keep_ms": within(1_000, 30 * 86_400_000),
    "claims_max": within(1, 10_000_000),
    "claim_answer_bytes": within(0, 1_048_576),
    "claim_answers_bytes": within(0, 2**32),
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
        self._replica = _open_replica(
            settings, cluster_token, self._machine, self._metrics
        )
        self._directory = Directory()
        self._closing = Closing(self._directory)
        self._closed: set[str] = set()
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
        limits = ClaimLimits(
            settings.claim_keep_ms,
            settings.claims_max,
            settings.claim_answer_bytes,
            settings.claim_answers_bytes,
        )
        self._claims = Claims(self._machine, self._replica, limits, self._metrics)
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
            await self._replica.hand_over()
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
        if subscriber.role == "keeper":
            return await self._replica.handle(value, now_ms)
        if not self._replica.leads(now_ms):
            not_leader = failure(Code.NOT_LEADER)
            return self._counted(as_refused(not_leader, self._replica.leader_addr))
        match value:
            case AgentReport():
                self._directory.hear_agent(value, now_ms)
            case EntryReport():
                self._directory.hear_entry(value, now_ms)
                self._planner.hear_entry(value, now_ms)
            case PermitRequest() | PermitRelease():
                return self._planner.answer(value, now_ms)
            case OperatorRequest():
                reply = await self._operators.answer(value, subscriber.peer_id)
                return self._counted(reply)
            case ClaimBegin() | ClaimAttempt() | ClaimFinish():
                return await self._claims.answer(value, wall_ms())
            case _:
                return self._counted(as_refused(failure(Code.BAD_MESSAGE)))
        return Ack(self._machine.catalogue.revision)

    def _counted(self, reply: Any) -> Any:
        """Count a reply that is a refusal, and return it."""
        if isinstance(reply, Refused):
            self._metrics.count("refusals_total", reason=Code(reply.code).name)
        return reply

    async def _tell_loop(self) -> None:
        while True:
            now_ms = monotonic_ms()
            self._replica.measure(now_ms)
            self._metrics.gauge("revision", self._machine.catalogue.revision)
            if not self._replica.leads(now_ms):
                # Requests under way are answered in the pause, then cut off.
                await anyio.sleep(self._settings.tick_ms / 1000)
                await self._drop_subscribers()
                continue
            self._closed = self._closing.closed(self._machine.drained, now_ms)
            views = {
                report.server_id: server_view(report, report.server_id in self._closed)
                for report in self._directory.live_agents(now_ms)
            }
            entry_ids = self._directory.live_entry_ids(now_ms)
            async with anyio.create_task_group() as tasks:
                for subscriber in list(self._subscribers):
                    tasks.start_soon(self._tell, subscriber, views, entry_ids, now_ms)
            await anyio.sleep(self._settings.tick_ms / 1000)

    async def _drop_subscribers(self) -> None:
        """Close the connections that belong to the leader, once it is another."""
        if self._replica.is_leader:
            return
        for subscriber in list(self._subscribers):
            if subscriber.role != "keeper":
                await subscriber.close(failure(Code.NOT_LEADER))

    async def _tell(
        self, subscriber: Subscriber, views: dict, entry_ids: list, now_ms: float
    ) -> None:
        if subscriber.role not in ("agent", "entry"):
            return
        if not self._replica.leads(monotonic_ms()):
            return
        await subscriber.tell_heartbeat(self._machine.catalogue.revision, now_ms)
        await subscriber.tell_catalogue(self._machine.catalogue)
        if subscriber.role == "entry":
            await subscriber.tell_routing(views, entry_ids)
            return
        server_id = subscriber.peer_id
        assigned = self._machine.assignments.get(server_id)
        if assigned is not None and self._replica.leads(monotonic_ms()):
            await subscriber.tell_assignment(
                Assignment(
                    server_id,
                    self._replica.term,
                    assigned.revision,
                    assigned.desired,
                    server_id in self._closed,
                )
            )

    async def _poll_platform(self) -> None:
        await poll_platform(
            self._settings.platform_dialect,
            self._settings.platform_url,
            self._directory,
            self._metrics,
        )


def _open_replica(
    settings: KeeperSettings,
    cluster_token: str,
    machine: StateMachine,
    metrics: Metrics,
) -> LogReplica:
    """Open the data folder, or end the process with a numbered error."""
    peers = parse_peers(settings.peers) or {settings.keeper_id: settings.listen}
    replica_settings = ReplicaSettings(
        name=settings.keeper_id,
        folder=Path(settings.data),
        addr=peers.get(settings.keeper_id, settings.listen),
        peers=peers,
        zone=settings.zone,
        cluster_token=cluster_token,
        snapshot_entries=settings.snapshot_entries,
    )
    rng = random.Random()
    try:
        return LogReplica(replica_settings, machine, metrics, rng, monotonic_ms())
    except DataLockedError as exc:
        exit_with(Code.DATA_LOCKED, str(exc))
    except DataDamagedError as exc:
        exit_with(Code.DATA_DAMAGED, str(exc))
    except OSError as exc:
        exit_with(Code.DISK_FAILED, str(exc))


async def _no_route(scope: dict, receive: Any, send: Any) -> None:
    await send_failure(send, failure(Code.NO_SUCH_ROUTE))
