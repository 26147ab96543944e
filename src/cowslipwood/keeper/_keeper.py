"""Runs one keeper: its replica, its connections and its placement planner."""

import math
import random
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from ..kernel.byte_budget import ByteBudget, compute_budget_bytes
from ..kernel.channel import (
    MAX_FIRST_FRAME_BYTES,
    Channel,
    serve_channels,
    to_refused,
)
from ..kernel.clock import monotonic_ms, wall_ms
from ..kernel.codes import Code, failure
from ..kernel.http import (
    DEFAULT_MEMORY_MB,
    HttpServer,
    add_health_endpoints,
    bind_socket,
    send_failure,
)
from ..kernel.keeper_addresses import KeeperAddresses
from ..kernel.keeper_link import KeeperLink
from ..kernel.lifecycle import require_tokens
from ..kernel.logs import get_logger
from ..kernel.loop_delay import watch_loop_delay
from ..kernel.messages import (
    Ack,
    AgentLoad,
    AgentReport,
    AllowanceRequest,
    Announce,
    ApplyDocument,
    Assignment,
    ClaimAttempt,
    ClaimBegin,
    ClaimFinish,
    CrashEvidence,
    DocumentVersion,
    DocumentVersionRequest,
    EntryReport,
    Hello,
    HolderRequest,
    KeepersUpdate,
    OperatorRequest,
    PermitRelease,
    PermitRequest,
    ReadDocument,
    Refused,
    SendPermitRequest,
    ServerLimits,
    ServerView,
    StreamsBegun,
    StreamVersionRequest,
    Welcome,
)
from ..kernel.metrics import Metrics
from ..kernel.notifier import ChangeNotifier
from ..kernel.settings import exit_with, parse_address
from ..kernel.tokens import read_token, token_matches
from ..listing import ServerListSource
from ..replication import (
    DataDamagedError,
    DataLockedError,
    LogReplica,
    ReplicaSettings,
    StateMachine,
)
from ..server_limits import LimitTolerance
from ..software_versions import ServiceVersions
from ._claims import ClaimLimits, ClaimService
from ._commands import VersionsCommand, encode_command
from ._customer_limits import CustomerLimitTable
from ._directory import ProcessDirectory, make_server_view
from ._documents import DocumentService
from ._evidence import EvidenceRelay
from ._feed import RoutingFeed
from ._leaving import LeavingServers
from ._machine import AssignedModels, KeeperStateMachine
from ._member_operations import parse_peers
from ._membership import MembershipManager
from ._operators import OperatorService
from ._planner import Planner, PlannerSettings
from ._platform import poll_platform
from ._server_limits import ServerLimitTable
from ._settings import KeeperSettings
from ._stream_versions import StreamVersionTable
from ._subscribers import DocumentFrame, PublishedState, Subscriber
from .engines import EngineClient, EngineController, OrderParameters

__all__ = ["DirectEngines", "run_keeper"]

# Milliseconds without a message after which a connection to a keeper is closed.
CHANNEL_IDLE_TIMEOUT_MS = 10_000
# Milliseconds within which the first message of a connection must arrive.
HELLO_TIMEOUT_MS = 2_000
# Milliseconds between two announcements of a keeper, and between two checks of the
# members by the leader. Several intervals fit into the time after which an
# announcement is ignored.
MEMBERSHIP_INTERVAL_MS = 300
# Milliseconds between two checks of the members while one of them is joining.
MEMBERSHIP_STEP_INTERVAL_MS = 50
# Shortest time in milliseconds between two updates of the published servers. Each
# update is sent to all entries, and an entry that needs a server sooner asks for it.
SERVERS_INTERVAL_MS = 100.0
# Milliseconds between two comparisons of the recorded software versions with the list,
# which is read less often.
VERSIONS_INTERVAL_MS = 50.0
# Milliseconds between two messages that tell relays the addresses of the members.
# After a power loss relays know no member, and entries wait until the relays do.
RELAYS_INTERVAL_MS = 500.0


class DirectEngines(NamedTuple):
    """Access to the engines that have no agent.

    Parameters
    ----------
    source : ServerListSource
        Reads the list of the engines.
    client : EngineClient
        Translates orders and reports to the engines' dialect.
    store_window_ms, order_quiet_ms, order_turn_ms : float
        See `OrderParameters`.
    """

    source: ServerListSource
    client: EngineClient
    store_window_ms: float = 5_000.0
    order_quiet_ms: float = 0.0
    order_turn_ms: float = 3_000.0


async def run_keeper(
    settings: KeeperSettings,
    stop: anyio.Event,
    engines: DirectEngines | None = None,
    started_ms: float | None = None,
    keepers: KeeperAddresses | None = None,
    budget: ByteBudget | None = None,
) -> None:
    """Run a keeper until `stop` is set.

    Parameters
    ----------
    settings : KeeperSettings
    stop : anyio.Event
    engines : DirectEngines, optional
        Access to engines that have no agent beside them.
    started_ms : float, optional
        A time after which no earlier process of this keeper ran; by default the
        time at which this process opens the data folder. The keeper votes for
        nobody until the shortest election timeout has passed since then, because
        its earlier process may have answered a leader shortly before.
    keepers : KeeperAddresses, optional
        Addresses of keepers and relays, whose configured ones a reload may replace; by
        default those of the setting `join`.
    budget : ByteBudget, optional
        Limits what the process holds for clients of its ports; by default that of a
        process on the smallest hosts.
    """
    cluster_token = read_token(settings.cluster_token)
    operator_token = read_token(settings.operator_token)
    require_tokens(
        settings.listen, settings.allow_no_token, cluster_token, operator_token
    )
    keeper = _Keeper(
        settings,
        cluster_token,
        operator_token,
        engines,
        started_ms,
        keepers or KeeperAddresses.parse(settings.join),
        budget or ByteBudget(compute_budget_bytes(DEFAULT_MEMORY_MB)),
    )
    await keeper.run(stop)


class _Keeper:
    """One keeper: connects the replica, the services and the subscribers."""

    def __init__(
        self,
        settings: KeeperSettings,
        cluster_token: str,
        operator_token: str,
        engines: DirectEngines | None,
        started_ms: float | None,
        keepers: KeeperAddresses,
        budget: ByteBudget,
    ):
        self._settings = settings
        self._keepers = keepers
        self._cluster_token = cluster_token
        self._metrics = Metrics("keeper")
        self._budget = budget
        budget.closes.metrics = self._metrics
        self._machine = KeeperStateMachine()
        self._replica = _open_replica(
            settings, cluster_token, self._machine, self._metrics, started_ms
        )
        self._directory = ProcessDirectory()
        self._leaving_servers = LeavingServers(self._directory)
        self._closed_server_ids: set[str] = set()
        self._evidence = EvidenceRelay()
        self._limits = ServerLimitTable()
        self._customer_limits = CustomerLimitTable(
            self._metrics,
            LimitTolerance(
                settings.limit_window_ms, settings.limit_overage, settings.limit_slack
            ),
        )
        self._streams = StreamVersionTable()
        self._operators = OperatorService(
            self._machine,
            self._replica,
            self._directory,
            self._evidence,
            self._limits,
            self._customer_limits,
            operator_token,
        )
        planner_settings = {
            name: getattr(settings, name) for name in PlannerSettings._fields
        }
        self._documents = DocumentService(self._machine, self._replica, operator_token)
        self._membership = MembershipManager(self._replica, 2 * settings.n_losses + 1)
        self._planner = Planner(
            PlannerSettings(**planner_settings),
            self._machine,
            self._directory,
            self._replica,
            self._metrics,
        )
        claim_limits = ClaimLimits(
            settings.claim_keep_ms,
            settings.claims_max,
            settings.claim_answer_bytes,
            settings.claim_answers_bytes,
        )
        self._claim_service = ClaimService(
            self._machine, self._replica, claim_limits, self._metrics
        )
        self._subscribers: set[Subscriber] = set()
        self._feed = RoutingFeed()
        self._document_frame = DocumentFrame()
        # Wakes the tasks that send updates to entries and gateways.
        self._state_changed = ChangeNotifier()
        # Wakes the tasks that send updates to agents.
        self._round_ended = ChangeNotifier()
        self._published_key: tuple = ()
        self._feed_term = -1
        self._servers_updated_at_ms = -math.inf
        self._engines = self._make_engine_controller(engines)

    def _make_engine_controller(
        self, engines: DirectEngines | None
    ) -> EngineController | None:
        if engines is None:
            return None
        return EngineController(
            OrderParameters(
                self._settings.keeper_id,
                engines.store_window_ms,
                engines.order_quiet_ms,
                engines.order_turn_ms,
            ),
            engines.source,
            engines.client,
            self._replica.can_act_as_leader,
            lambda: self._replica.term,
            lambda: self._replica.preceding_term,
            self._machine.get_route_document,
            self._metrics,
            self._limits,
        )

    async def run(self, stop: anyio.Event) -> None:
        """Run all tasks of the keeper until `stop` is set."""
        http_socket = bind_socket(self._settings.http_listen)
        http_app = add_health_endpoints(
            _answer_no_route, self._metrics, lambda: not stop.is_set()
        )
        http_server = HttpServer(http_app, http_socket, budget=self._budget)
        host, port = parse_address(self._settings.listen)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        get_logger().info("listening", addr=self._settings.listen)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(http_server.run)
            tasks.start_soon(self._replica.run)
            tasks.start_soon(watch_loop_delay, self._metrics)
            tasks.start_soon(
                serve_channels,
                listener,
                CHANNEL_IDLE_TIMEOUT_MS,
                self._serve_connection,
                self._budget.closes,
            )
            tasks.start_soon(self._run_publishing)
            tasks.start_soon(self._planner.run)
            tasks.start_soon(self._poll_platform)
            tasks.start_soon(self._run_membership)
            tasks.start_soon(self._record_versions)
            if self._engines is not None:
                tasks.start_soon(self._engines.run)
            tasks.start_soon(self._run_announcements)
            tasks.start_soon(self._send_members_to_relays)
            await stop.wait()
            await self._replica.hand_over_leadership()
            http_server.stop()
            tasks.cancel_scope.cancel()

    async def _serve_connection(self, channel: Channel) -> None:
        hello = None
        with anyio.move_on_after(HELLO_TIMEOUT_MS / 1000):
            received = await channel.receive(MAX_FIRST_FRAME_BYTES)
            hello = received.map(lambda pair: pair[1]).value_or(None)
        if await self._answer_hello(channel, hello):
            await self._serve_peer(channel, hello)

    async def _answer_hello(self, channel: Channel, hello: Any) -> bool:
        """Answer the first message; return whether the peer is accepted."""
        if not isinstance(hello, Hello):
            self._metrics.count("refusals_total", reason=Code.BAD_MESSAGE.name)
            return False
        if not token_matches(self._cluster_token, hello.token):
            self._metrics.count("refusals_total", reason=Code.BAD_TOKEN.name)
            await channel.send(to_refused(failure(Code.BAD_TOKEN)))
            return False
        welcome = Welcome(
            self._settings.keeper_id, self._replica.term, self._replica.leader_addr
        )
        await channel.send(welcome)
        return True

    async def _serve_peer(self, channel: Channel, hello: Hello) -> None:
        subscriber = Subscriber(channel, hello.role, hello.peer_id)

        async def handle(value: Any) -> Any:
            return await self._handle_message(value, subscriber)

        self._subscribers.add(subscriber)
        try:
            async with anyio.create_task_group() as tasks:
                if subscriber.role != "keeper":
                    tasks.start_soon(self._send_updates, subscriber)
                reason = await channel.run(handle)
                tasks.cancel_scope.cancel()
        finally:
            self._subscribers.discard(subscriber)
        self._metrics.count("connections_ended_total", reason=reason.code.name)

    async def _handle_message(self, value: Any, subscriber: Subscriber) -> Any:
        now_ms = monotonic_ms()
        if subscriber.role == "keeper":
            return await self._replica.handle_message(value, now_ms)
        if not self._replica.can_act_as_leader(now_ms):
            not_leader = failure(Code.NOT_LEADER)
            return self._count_refusal(
                to_refused(not_leader, self._replica.leader_addr)
            )
        match value:
            case AgentReport():
                self._directory.record_agent_report(value, now_ms)
            case AgentLoad():
                self._directory.record_agent_load(value, now_ms)
            case DocumentVersionRequest():
                # The lease was valid after the question arrived, so no other keeper
                # had confirmed a newer version by then.
                return DocumentVersion(self._machine.applied_document.version)
            case EntryReport():
                self._directory.record_entry_report(value, now_ms)
                self._planner.record_entry_report(value, now_ms)
                if self._engines is not None:
                    self._engines.record_entry_report(value, now_ms)
            case CrashEvidence():
                if self._evidence.add(value, now_ms):
                    self._state_changed.notify()
            case ServerLimits():
                if self._limits.add(value, self._replica.term, now_ms):
                    self._state_changed.notify()
            case SendPermitRequest():
                return self._limits.grant(value, self._replica.term, now_ms)
            case AllowanceRequest():
                self._follow_customers(now_ms)
                limits = self._customer_limits
                return limits.grant(value, subscriber.peer_id, now_ms)
            case StreamsBegun():
                self._streams.add(value)
            case StreamVersionRequest():
                possible = self._list_possible_versions(value.service)
                return self._streams.answer(value, possible)
            case HolderRequest() if self._engines is not None:
                return self._count_refusal(await self._engines.find_holder(value))
            case PermitRequest() | PermitRelease():
                return self._planner.answer_permit_message(value, now_ms)
            case OperatorRequest():
                reply = await self._operators.answer_request(value, subscriber.peer_id)
                return self._count_refusal(reply)
            case ApplyDocument() | ReadDocument():
                return self._count_refusal(await self._documents.answer_request(value))
            case Announce():
                self._membership.record_announcement(value, now_ms)
            case ClaimBegin() | ClaimAttempt() | ClaimFinish():
                return await self._claim_service.answer_message(value, wall_ms())
            case _:
                return self._count_refusal(to_refused(failure(Code.BAD_MESSAGE)))
        return Ack(self._machine.catalogue.revision)

    def _count_refusal(self, reply: Any) -> Any:
        """Return a reply, after counting it if it is a refusal."""
        if isinstance(reply, Refused):
            self._metrics.count("refusals_total", reason=Code(reply.code).name)
        return reply

    async def _run_publishing(self) -> None:
        """Update the published state each tick while this keeper leads."""
        was_leader = False
        while True:
            now_ms = monotonic_ms()
            self._replica.set_gauges(now_ms)
            self._metrics.gauge("revision", self._machine.catalogue.revision)
            if not self._replica.can_act_as_leader(now_ms):
                self._customer_limits.remove_gauges()
                has_lost_leadership = was_leader and not self._replica.is_leader
                stale_subscribers = (
                    list(self._subscribers) if has_lost_leadership else []
                )
                # Requests that are under way can still be answered during this tick.
                # After it the connections are closed.
                await anyio.sleep(self._settings.tick_ms / 1000)
                await self._close_connections(stale_subscribers)
                was_leader = was_leader and not has_lost_leadership
                continue
            was_leader = True
            self._update_published_state(now_ms)
            await anyio.sleep(self._settings.tick_ms / 1000)

    def _follow_customers(self, now_ms: float) -> None:
        """Apply the limits of the document in force; this keeper may act as leader."""
        document = self._machine.get_route_document()
        self._customer_limits.follow(document, self._replica.term, now_ms)

    def _update_published_state(self, now_ms: float) -> None:
        """Update what the leader publishes, and wake the tasks that send it."""
        self._follow_customers(now_ms)
        self._closed_server_ids = self._leaving_servers.find_closed_servers(
            self._machine.drained, now_ms
        )
        feed = self._feed
        if self._feed_term != self._replica.term:
            self._feed_term = self._replica.term
            self._servers_updated_at_ms = -math.inf
            feed.clear_fleet_load()
        published_key = (
            self._machine.catalogue.revision,
            self._machine.applied_document.version,
            self._replica.members,
            self._feed_term,
        )
        has_changed = published_key != self._published_key
        self._published_key = published_key
        has_changed |= feed.update_entry_ids(
            self._directory.list_live_entry_ids(now_ms)
        )
        if now_ms >= self._servers_updated_at_ms + SERVERS_INTERVAL_MS:
            self._servers_updated_at_ms = now_ms
            self._customer_limits.forget_silent(now_ms)
            self._customer_limits.set_gauges(now_ms)
            views = {
                report.server_id: make_server_view(
                    report, report.server_id in self._closed_server_ids
                )
                for report in self._directory.list_live_agent_reports(now_ms)
            }
            if self._engines is not None:
                views.update(
                    (server_id, view)
                    for server_id, view in self._engines.build_server_views().items()
                    if self._is_version_recorded(view)
                )
            if views:
                self._limits.forget_unlisted(set(views))
            has_changed |= feed.update_servers(views)
        if self._engines is not None and feed.is_fleet_load_due(now_ms):
            feed.update_fleet_load(self._engines.build_fleet_load(now_ms), now_ms)
            has_changed = True
        if has_changed:
            self._state_changed.notify()
        self._round_ended.notify()

    async def _send_updates(self, subscriber: Subscriber) -> None:
        """Send updates to one subscriber while it is connected."""
        wake_signal = (
            self._round_ended if subscriber.role == "agent" else self._state_changed
        )
        while True:
            now_ms = monotonic_ms()
            is_feed_current = self._feed_term == self._replica.term
            if is_feed_current and self._replica.can_act_as_leader(now_ms):
                await subscriber.send_updates(self._get_published_state(), now_ms)
                await self._send_assignment(subscriber, now_ms)
            # A keeper that does not lead sends no updates. It closes the connection
            # or refuses messages with the address of the leader.
            wait_ms = subscriber.get_heartbeat_wait_ms(now_ms) or self._settings.tick_ms
            await wake_signal.wait_for(wait_ms)

    def _get_published_state(self) -> PublishedState:
        document = self._machine.applied_document
        frame = b""
        if document.version:
            frame = self._document_frame.encode(
                document.version, document.document, document.needs_key
            )
        keeper_addrs = tuple(member.addr for member in self._replica.members)
        return PublishedState(
            self._machine.catalogue,
            document.version,
            frame,
            keeper_addrs,
            self._feed,
            self._evidence,
            self._limits,
        )

    def _list_possible_versions(self, service: str) -> frozenset[str] | None:
        """Return the software versions that may have begun a stream resumed now."""
        listed = None if self._engines is None else self._engines.list_versions()
        if listed is None:
            return None
        recorded = self._machine.versions.get(service, ServiceVersions())
        return listed.get(service, frozenset()) | recorded.list_possible(wall_ms())

    def _is_version_recorded(self, server: ServerView) -> bool:
        """Return whether the log names the server's software version."""
        recorded = self._machine.versions.get(server.service_name, ServiceVersions())
        return server.software_version in recorded.current

    async def _record_versions(self) -> None:
        """Record the software versions of the listed servers while this keeper leads.

        Servers of a version get work only once it is recorded, so that a keeper that
        leads after a loss of all memory knows which versions may have begun a stream.
        """
        while True:
            await anyio.sleep(VERSIONS_INTERVAL_MS / 1000)
            listed = None if self._engines is None else self._engines.list_versions()
            if listed is None or not self._replica.can_act_as_leader(monotonic_ms()):
                continue
            for service in sorted(listed.keys() | self._machine.versions.keys()):
                versions = tuple(sorted(listed.get(service, ())))
                known = self._machine.versions.get(service, ServiceVersions())
                if versions != known.current:
                    get_logger().info(
                        "versions_changed", service=service, versions=",".join(versions)
                    )
                    command = VersionsCommand(service, versions, wall_ms())
                    await self._replica.propose(encode_command(command))

    async def _run_membership(self) -> None:
        """Add or replace members while this keeper leads."""
        while True:
            pause_ms = MEMBERSHIP_INTERVAL_MS
            now_ms = monotonic_ms()
            if self._replica.can_act_as_leader(now_ms):
                await self._membership.find_lost_disks(now_ms)
                if await self._membership.change_one_member(monotonic_ms()):
                    pause_ms = MEMBERSHIP_STEP_INTERVAL_MS
            await anyio.sleep(pause_ms / 1000)

    async def _run_announcements(self) -> None:
        """Announce this keeper whenever the leader may not count it as a voter.

        A keeper that was replaced while it did not run is still a voter by its own log.
        """
        while True:
            if not self._is_counted():
                await self._announce_until_counted()
            await anyio.sleep(MEMBERSHIP_INTERVAL_MS / 1000)

    def _is_counted(self) -> bool:
        return self._replica.is_voter and self._replica.hears_leader(monotonic_ms())

    async def _announce_until_counted(self) -> None:
        """Announce this keeper to the leader until that counts it as a voter."""
        hello = Hello("operator", self._settings.keeper_id, "", "", self._cluster_token)
        link = KeeperLink(self._keepers, hello, _ignore_message)
        settings = self._settings
        grows = settings.grows and not self._replica.is_voter
        announce = Announce(self._replica.replica_id, settings.listen, grows)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            while not self._is_counted():
                await link.send(announce)
                await anyio.sleep(MEMBERSHIP_INTERVAL_MS / 1000)
            tasks.cancel_scope.cancel()
        get_logger().info("keeper_votes", replica=self._replica.replica_id)

    async def _send_members_to_relays(self) -> None:
        """Send the members' addresses to the relays.

        The relays are the configured addresses that belong to no member.
        """
        while True:
            await anyio.sleep(RELAYS_INTERVAL_MS / 1000)
            if not self._replica.is_voter:
                continue
            members = tuple(member.addr for member in self._replica.members)
            self._keepers.set_members(members)
            for addr in self._keepers.configured:
                if addr not in (*members, self._settings.listen):
                    update = KeepersUpdate(members)
                    await self._replica.send_message(addr, update, RELAYS_INTERVAL_MS)

    async def _close_connections(self, stale_subscribers: list[Subscriber]) -> None:
        """Close the connections that were opened while this keeper was the leader."""
        for subscriber in stale_subscribers:
            if subscriber.role != "keeper":
                await subscriber.close(failure(Code.NOT_LEADER))

    async def _send_assignment(self, subscriber: Subscriber, now_ms: float) -> None:
        if subscriber.role != "agent":
            return
        server_id = subscriber.peer_id
        assigned = self._machine.assignments.get(server_id)
        if assigned is None and self._directory.is_service(server_id):
            assigned = AssignedModels(0, ())
        if assigned is not None and self._replica.can_act_as_leader(monotonic_ms()):
            await subscriber.send_assignment(
                Assignment(
                    server_id,
                    self._replica.term,
                    assigned.revision,
                    assigned.desired,
                    server_id in self._closed_server_ids,
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
    """Open the data folder, or exit the process with the status of an error code."""
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
    process_started_ms = monotonic_ms() if started_ms is None else started_ms
    try:
        return LogReplica(replica_settings, machine, metrics, rng, process_started_ms)
    except DataLockedError as exc:
        exit_with(Code.DATA_LOCKED, str(exc))
    except DataDamagedError as exc:
        exit_with(Code.DATA_DAMAGED, str(exc))
    except OSError as exc:
        exit_with(Code.DISK_FAILED, str(exc))


async def _ignore_message(value: Any) -> None:
    """Ignore a message that the leader sends to a keeper that announces itself."""


async def _answer_no_route(scope: dict, receive: Any, send: Any) -> None:
    await send_failure(send, failure(Code.NO_SUCH_ROUTE))
