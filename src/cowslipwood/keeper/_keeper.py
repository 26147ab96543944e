"""Runs one keeper: its replica, its connections and its planning."""

import math
import random
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from ..kernel.channel import Channel, as_refused, serve_channels
from ..kernel.clock import monotonic_ms, wall_ms
from ..kernel.codes import Code, failure
from ..kernel.http import HttpServer, bind_socket, send_failure, with_health
from ..kernel.keeper_link import KeeperLink
from ..kernel.lifecycle import check_tokens
from ..kernel.logs import get_logger
from ..kernel.messages import (
    Ack,
    AgentLoad,
    AgentReport,
    Announce,
    ApplyDocument,
    Assignment,
    ClaimAttempt,
    ClaimBegin,
    ClaimFinish,
    EntryReport,
    Hello,
    HolderRequest,
    KeepersUpdate,
    OperatorRequest,
    PermitRelease,
    PermitRequest,
    ReadDocument,
    Refused,
    Welcome,
)
from ..kernel.metrics import Metrics
from ..kernel.settings import exit_with, parse_address
from ..kernel.signal import Signal
from ..kernel.tokens import read_token, token_matches
from ..listing import ListSource
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
from ._documents import Documents
from ._feed import Feed
from ._machine import AssignedModels, KeeperMachine
from ._members import parse_peers
from ._operators import Operators
from ._planner import Planner, PlannerSettings
from ._platform import poll_platform
from ._recruiting import Recruiter
from ._settings import KeeperSettings
from ._subscribers import DocumentFrame, News, Subscriber
from .engines import EngineClient, EngineController, EngineTerms

__all__ = ["DirectEngines", "run_keeper"]

IDLE_TIMEOUT_MS = 10_000
HELLO_TIMEOUT_MS = 2_000
# Several rounds fit into the time after which an announcement counts as old.
RECRUIT_MS = 300
# An entry that needs news sooner asks for it; each round goes to all entries.
VIEWS_MS = 100.0
# After a loss of power relays know nobody; entries wait for them meanwhile.
TELL_RELAYS_MS = 500.0


class DirectEngines(NamedTuple):
    """The list of engines without an agent, and the dialect that they speak."""

    source: ListSource
    client: EngineClient
    store_window_ms: float = 5_000.0
    quiet_ms: float = 0.0


async def run_keeper(
    settings: KeeperSettings,
    stop: anyio.Event,
    engines: DirectEngines | None = None,
    started_ms: float | None = None,
) -> None:
    """Run a keeper until `stop` is set.

    Parameters
    ----------
    settings : KeeperSettings
    stop : anyio.Event
    engines : DirectEngines, optional
        How to reach engines that have no agent beside them.
    started_ms : float, optional
        A time after which no earlier process of this keeper ran; by default when
        the folder was locked. Until an election's shortest timeout after it, the
        keeper votes for nobody, as it may have answered a leader just before.
    """
    cluster_token = read_token(settings.cluster_token)
    operator_token = read_token(settings.operator_token)
    check_tokens(
        settings.listen, settings.allow_no_token, cluster_token, operator_token
    )
    keeper = _Keeper(settings, cluster_token, operator_token, engines, started_ms)
    await keeper.run(stop)


class _Keeper:
    def __init__(
        self,
        settings: KeeperSettings,
        cluster_token: str,
        op_token: str,
        engines: DirectEngines | None,
        started_ms: float | None,
    ):
        self._settings = settings
        self._cluster_token = cluster_token
        self._metrics = Metrics("keeper")
        self._machine = KeeperMachine()
        self._replica = _open_replica(
            settings, cluster_token, self._machine, self._metrics, started_ms
        )
        self._directory = Directory()
        self._closing = Closing(self._directory)
        self._closed: set[str] = set()
        self._operators = Operators(
            self._machine, self._replica, self._directory, op_token
        )
        planning = {name: getattr(settings, name) for name in PlannerSettings._fields}
        self._documents = Documents(self._machine, self._replica, op_token)
        self._recruiter = Recruiter(self._replica, 2 * settings.n_losses + 1)
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
        self._feed = Feed()
        self._document_frame = DocumentFrame()
        self._news = Signal()  # for entries and gateways
        self._ticked = Signal()  # for agents
        self._told_key: tuple = ()
        self._fed_term = -1
        self._viewed_ms = -math.inf
        self._engines = self._make_controller(engines)

    def _make_controller(
        self, engines: DirectEngines | None
    ) -> EngineController | None:
        if engines is None:
            return None
        return EngineController(
            EngineTerms(
                self._settings.keeper_id, engines.store_window_ms, engines.quiet_ms
            ),
            engines.source,
            engines.client,
            self._replica.leads,
            lambda: self._replica.term,
            self._machine.document,
            self._metrics,
        )

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
            tasks.start_soon(self._recruit_loop)
            if self._engines is not None:
                tasks.start_soon(self._engines.run)
            if self._settings.join:
                tasks.start_soon(self._join)
                tasks.start_soon(self._tell_relays)
            await stop.wait()
            await self._replica.hand_over_leadership()
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
            async with anyio.create_task_group() as tasks:
                if subscriber.role != "keeper":
                    tasks.start_soon(self._keep_told, subscriber)
                why = await channel.run(handle)
                tasks.cancel_scope.cancel()
        finally:
            self._subscribers.discard(subscriber)
        self._metrics.count("connections_ended_total", reason=why.code.name)

    async def _on_message(self, value: Any, subscriber: Subscriber) -> Any:
        now_ms = monotonic_ms()
        if subscriber.role == "keeper":
            return await self._replica.handle_message(value, now_ms)
        if not self._replica.leads(now_ms):
            not_leader = failure(Code.NOT_LEADER)
            return self._counted(as_refused(not_leader, self._replica.leader_addr))
        match value:
            case AgentReport():
                self._directory.take_agent_report(value, now_ms)
            case AgentLoad():
                self._directory.take_agent_load(value, now_ms)
            case EntryReport():
                self._directory.take_entry_report(value, now_ms)
                self._planner.take_entry_report(value, now_ms)
                if self._engines is not None:
                    self._engines.take_demand(value, now_ms)
            case HolderRequest() if self._engines is not None:
                return self._counted(await self._engines.find(value))
            case PermitRequest() | PermitRelease():
                return self._planner.answer(value, now_ms)
            case OperatorRequest():
                reply = await self._operators.answer(value, subscriber.peer_id)
                return self._counted(reply)
            case ApplyDocument() | ReadDocument():
                return self._counted(await self._documents.answer(value))
            case Announce():
                self._recruiter.announced(value, now_ms)
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
        was_leader = False
        while True:
            now_ms = monotonic_ms()
            self._replica.set_gauges(now_ms)
            self._metrics.gauge("revision", self._machine.catalogue.revision)
            if not self._replica.leads(now_ms):
                is_lost = was_leader and not self._replica.is_leader
                stale = list(self._subscribers) if is_lost else []
                # Requests under way are answered in the pause, then cut off.
                await anyio.sleep(self._settings.tick_ms / 1000)
                await self._drop(stale)
                was_leader = was_leader and not is_lost
                continue
            was_leader = True
            self._refresh(now_ms)
            await anyio.sleep(self._settings.tick_ms / 1000)

    def _refresh(self, now_ms: float) -> None:
        """Take in what has changed, and wake the tasks that tell it."""
        self._closed = self._closing.closed(self._machine.drained, now_ms)
        feed = self._feed
        if self._fed_term != self._replica.term:
            self._fed_term = self._replica.term
            self._viewed_ms = -math.inf
            feed.begin()
        key = (
            self._machine.catalogue.revision,
            self._machine.applied.version,
            self._replica.members,
            self._fed_term,
        )
        has_news = key != self._told_key
        self._told_key = key
        has_news |= feed.take_entries(self._directory.live_entry_ids(now_ms))
        if now_ms >= self._viewed_ms + VIEWS_MS:
            self._viewed_ms = now_ms
            views = {
                report.server_id: server_view(report, report.server_id in self._closed)
                for report in self._directory.live_agents(now_ms)
            }
            if self._engines is not None:
                views.update(self._engines.views())
            has_news |= feed.take_views(views)
        if self._engines is not None and feed.is_fleet_due(now_ms):
            feed.take_fleet(self._engines.load(now_ms), now_ms)
            has_news = True
        if has_news:
            self._news.notify()
        self._ticked.notify()

    async def _keep_told(self, subscriber: Subscriber) -> None:
        """Tell one subscriber what is new for as long as it is connected."""
        woken = self._ticked if subscriber.role == "agent" else self._news
        while True:
            now_ms = monotonic_ms()
            is_fed = self._fed_term == self._replica.term
            if is_fed and self._replica.leads(now_ms):
                await subscriber.tell(self._news_now(), now_ms)
                await self._tell_assignment(subscriber, now_ms)
            # Without the lead, a connection is dropped or tells of the next leader.
            quiet_ms = subscriber.quiet_ms(now_ms) or self._settings.tick_ms
            await woken.wait_for(quiet_ms)

    def _news_now(self) -> News:
        applied = self._machine.applied
        frame = b""
        if applied.version:
            frame = self._document_frame.of(applied.version, applied.document)
        keepers = tuple(member.addr for member in self._replica.members)
        return News(
            self._machine.catalogue, applied.version, frame, keepers, self._feed
        )

    async def _recruit_loop(self) -> None:
        while True:
            now_ms = monotonic_ms()
            if self._replica.leads(now_ms):
                await self._recruiter.step(now_ms)
            await anyio.sleep(RECRUIT_MS / 1000)

    async def _join(self) -> None:
        """Announce this keeper to the others until it votes in their log."""
        hello = Hello("operator", self._settings.keeper_id, "", "", self._cluster_token)
        link = KeeperLink(self._settings.join, hello, _ignore)
        settings = self._settings
        announce = Announce(self._replica.replica_id, settings.listen, settings.grows)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            while not self._replica.is_voter:
                await link.send(announce)
                await anyio.sleep(RECRUIT_MS / 1000)
            tasks.cancel_scope.cancel()

    async def _tell_relays(self) -> None:
        """Tell the configured addresses that are no members who the members are."""
        while True:
            await anyio.sleep(TELL_RELAYS_MS / 1000)
            if not self._replica.is_voter:
                continue
            members = tuple(member.addr for member in self._replica.members)
            for addr in self._settings.join.split(","):
                if addr not in (*members, self._settings.listen):
                    news = KeepersUpdate(members)
                    await self._replica.send_message(addr, news, TELL_RELAYS_MS)

    async def _drop(self, stale: list[Subscriber]) -> None:
        """Close the connections that were made to the leader that this one was."""
        for subscriber in stale:
            if subscriber.role != "keeper":
                await subscriber.close(failure(Code.NOT_LEADER))

    async def _tell_assignment(self, subscriber: Subscriber, now_ms: float) -> None:
        if subscriber.role != "agent":
            return
        server_id = subscriber.peer_id
        assigned = self._machine.assignments.get(server_id)
        if assigned is None and self._directory.is_service(server_id):
            assigned = AssignedModels(0, ())
        if assigned is not None and self._replica.leads(monotonic_ms()):
            await subscriber.tell_assignment(
                Assignment(
                    server_id,
                    self._replica.term,
                    assigned.revision,
                    assigned.desired,
                    server_id in self._closed,
                ),
                now_ms,
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
    started_ms: float | None,
) -> LogReplica:
    """Open the data folder, or end the process with a numbered error."""
    peers = parse_peers(settings.peers)
    if not peers and not settings.join:
        peers = {settings.keeper_id: settings.listen}
    replica_settings = ReplicaSettings(
        name=settings.keeper_id,
        folder=Path(settings.data),
        addr=peers.get(settings.keeper_id, settings.listen),
        peers=peers,
        zone=settings.zone,
        cluster_token=cluster_token,
        snapshot_entries=settings.snapshot_entries,
        n_losses=settings.n_losses,
    )
    rng = random.Random()
    began_ms = monotonic_ms() if started_ms is None else started_ms
    try:
        return LogReplica(replica_settings, machine, metrics, rng, began_ms)
    except DataLockedError as exc:
        exit_with(Code.DATA_LOCKED, str(exc))
    except DataDamagedError as exc:
        exit_with(Code.DATA_DAMAGED, str(exc))
    except OSError as exc:
        exit_with(Code.DISK_FAILED, str(exc))


async def _ignore(value: Any) -> None:
    """Drop what the leader tells a keeper that only announces itself."""


async def _no_route(scope: dict, receive: Any, send: Any) -> None:
    await send_failure(send, failure(Code.NO_SUCH_ROUTE))
