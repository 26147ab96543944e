"""State that the request handlers and loops of a direct-route entry share."""

import math
import random
from collections.abc import Awaitable, Callable, Set
from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Result

from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code, Failure, failure
from ...kernel.http_pool import ConnectionPool
from ...kernel.logs import get_logger
from ...kernel.messages import DemandSample, HeldOff, ServerView
from ...kernel.metrics import Metrics
from ...listing import ServerNotice
from ...routes import RouteDocument, RouteTable
from ..choosing._backend import Backend, LoadReport
from ..choosing._ewma import Ewma
from ..choosing._view import FleetView
from ..metering._demand import DemandMeter
from ..routing import RoutingContext, RoutingPolicy
from ._customer_keys import CustomerKeys
from ._customer_limits import CustomerLimits
from ._end_check import EndCheck
from ._headers import HeaderNames
from ._holders import HolderFinder
from ._limits import ServerLimitKeeper
from ._part_guard import PartGuard
from ._retries import LiveEntryCount, RetryBudgetLimits, SharedRetryBudget
from ._server_reports import NoReports, ServerReports, ServerSign
from ._servers import KnownServers
from ._stopping import StopWaiter
from ._stream_versions import StreamVersions

__all__ = ["DirectState"]

# Weight of one request in the moving average of prompt tokens, without unit. The mix
# of requests changes within some tens of requests.
TYPICAL_TOKENS_WEIGHT = 0.03


class DirectState:
    """Routes, servers, connections and meters of a direct-route entry.

    Parameters
    ----------
    zone : str
        Availability zone of the entry.
    header_names : HeaderNames
    policy : RoutingPolicy
    view : FleetView
        Servers by the keys that they serve.
    servers : KnownServers
        Keeps `view` up to date.
    holder_finder : HolderFinder
    retry_limits : RetryBudgetLimits
    metrics : Metrics
    now_ms : callable
        Returns the current time.
    ask_leader : callable
        Sends the leader a question and returns its answer; see `KeeperLink.request`.
    identity_key : bytes
        Key of the digests by which entries recognise requests; the same at all.
    started_ms : float
        When the entry started; by default more than a retry window ago.
    reports : ServerReports
        Asks servers about themselves.
    revoke_ms : float
        See `CustomerKeys`.

    Attributes
    ----------
    servers : KnownServers
    demand : DemandMeter
        Requests from their arrival to their answer, by key.
    waiting_demand : DemandMeter
        Requests that were sent to a server and wait there for the first event of the
        answer, by key.
    part_guard : PartGuard
        Refuses prompts with parts under which servers have ended.
    end_check : EndCheck
        Tells whether servers outlived the answers that ended with their connection.
    customer_keys : CustomerKeys
        Recognises customers by their keys.
    limits : ServerLimitKeeper
        The limits that servers have named, and the permits to send to them.
    customer_limits : CustomerLimits
        Reserves of the limits of customers.
    stream_versions : StreamVersions
        Which software version began each stream that clients may resume.
    stop_waiter : StopWaiter
        Holds requests until a server that was given up has stopped.
    document_applied : anyio.Event
        Set once a route document is in force.
    hold_off_requested : anyio.Event
        Set when a server asks to be held off; replaced by each report.
    """

    def __init__(
        self,
        zone: str,
        header_names: HeaderNames,
        policy: RoutingPolicy,
        view: FleetView,
        servers: KnownServers,
        holder_finder: HolderFinder,
        retry_limits: RetryBudgetLimits,
        metrics: Metrics,
        now_ms: Callable[[], float] = monotonic_ms,
        ask_leader: Callable[[Any, float], Awaitable[Result]] | None = None,
        identity_key: bytes = b"",
        started_ms: float = -math.inf,
        reports: ServerReports | None = None,
        revoke_ms: float = 0.0,
    ):
        ask = ask_leader or _find_no_leader
        self.identity_key = identity_key
        self.reports = reports or NoReports()
        self.zone = zone
        self.header_names = header_names
        self.holder_finder = holder_finder
        self.metrics = metrics
        self.now_ms = now_ms
        self.view = view
        self.servers = servers
        self.demand = DemandMeter(now_ms())
        self.waiting_demand = DemandMeter(now_ms())
        self.pool = ConnectionPool()
        self.stop_waiter = StopWaiter(self.pool, self.reports, metrics, now_ms)
        self.part_guard = PartGuard(metrics)
        self.customer_keys = CustomerKeys(header_names, metrics, revoke_ms, ask)
        self.end_check = EndCheck(metrics, self._ask_server, now_ms)
        self.stream_versions = StreamVersions(ask, metrics, started_ms)
        self.document: RouteDocument | None = None
        self.document_applied = anyio.Event()
        self.route_table = RouteTable()
        self.hold_off_requested = anyio.Event()
        self.live_entries = LiveEntryCount(retry_limits.window_ms)
        self.limits = ServerLimitKeeper(
            ask,
            self.live_entries,
            metrics,
            random.Random(),
            now_ms,
        )
        self.customer_limits = CustomerLimits(ask, self.live_entries, metrics, now_ms)
        self._policy = policy
        self._retry_limits = retry_limits
        self._started_ms = started_ms
        self._retry_budgets: dict[str, SharedRetryBudget] = {}
        self._typical_tokens: dict[str, Ewma] = {}

    @property
    def list_read_at_ms(self) -> float:
        """When the server list that the view is based on was read."""
        return self.servers.list_read_at_ms

    @property
    def document_version(self) -> int:
        """Version of the route document in force; 0 while there is none."""
        return self.document.version if self.document is not None else 0

    def apply_document(self, document: RouteDocument) -> bool:
        """Put a document in force; return False if it is not newer than the current."""
        if document.version <= self.document_version:
            return False
        self.document = document
        self.route_table = RouteTable(document.routes)
        self.customer_keys.apply_document(document)
        self.customer_limits.apply_document(document, self.now_ms())
        self.document_applied.set()
        return True

    async def _ask_server(self, server: ServerView) -> Result[ServerSign, Failure]:
        """Ask a server whether it still runs, in the way of its service."""
        document = self.document
        service = document.service(server.service_name) if document else None
        health_path = service.health_path if service is not None else ""
        return await self.reports.ask(server, health_path)

    def get_retry_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = SharedRetryBudget(
                self._retry_limits, self._started_ms
            )
        return budget

    def get_prompt_tokens_average(self, service: str) -> Ewma:
        """Return the average prompt tokens that a service reads for a request."""
        average = self._typical_tokens.get(service)
        if average is None:
            average = self._typical_tokens[service] = Ewma(TYPICAL_TOKENS_WEIGHT)
        return average

    def choose_backend(
        self, context: RoutingContext, rng: random.Random, now_ms: float
    ) -> Backend | None:
        """Return the server that the policy chooses; None when none is usable."""
        candidates = self.view.candidates(context.key)
        return self._policy.choose(candidates, context, rng, now_ms)

    def collect_demand_samples(self, now_ms: float) -> tuple[DemandSample, ...]:
        """Return the demand since the last call, with requests waiting at servers."""
        waiting = {
            sample.model: sample
            for sample in self.waiting_demand.collect_samples(now_ms)
        }
        return tuple(
            sample._replace(waiting=waiting[sample.model].in_flight)
            if sample.model in waiting
            else sample
            for sample in self.demand.collect_samples(now_ms)
        )

    def apply_notice(
        self, backend: Backend, notice: ServerNotice, now_ms: float
    ) -> None:
        """Apply what an answer's headers say about the state of its server."""
        server_id = backend.view.server_id
        for name in notice.unreadable:
            self.metrics.count("notices_ignored_total", header=name)
            get_logger().info("notice_ignored", server=server_id, header=name)
        if notice.is_leaving and self.servers.record_leaving(server_id, now_ms):
            self.metrics.count("servers_left_total")
            get_logger().info("server_said_leaving", server=server_id)
        if notice.hold_off_ms:
            backend.hold_off(now_ms + notice.hold_off_ms, now_ms)
            self.metrics.count("servers_held_off_total")
            get_logger().info(
                "server_held_off", server=server_id, for_ms=notice.hold_off_ms
            )
            self.hold_off_requested.set()

    def list_held_off(self, now_ms: float) -> tuple[HeldOff, ...]:
        """Return the servers that asked to be held off, with the time left."""
        return tuple(
            HeldOff(server_id, backend.held_off_until_ms - now_ms)
            for server_id, backend in self.view.backends.items()
            if backend.held_off_until_ms > now_ms
        )

    def find_first_pause(
        self, key: str, now_ms: float, excluded_ids: Set[str] = frozenset()
    ) -> Backend | None:
        """Return the server of a key that may get requests again first.

        None when a server of the key that is neither leaving nor excluded has neither
        asked to be held off nor used up its limit, and when no such server exists.
        """
        staying = [
            backend
            for backend in self.view.candidates(key)
            if not backend.view.leaving and backend.view.server_id not in excluded_ids
        ]
        first = min(staying, key=lambda backend: backend.paused_until_ms, default=None)
        return first if first and first.paused_until_ms > now_ms else None

    def apply_load_report(
        self, backend: Backend, report: LoadReport | None, now_ms: float
    ) -> None:
        """Record the load that a server reported with an answer; None if it did not."""
        backend.record_answer(report, now_ms)
        if report is not None:
            self.view.typical_others_load_share.add(backend.others_load_share)


async def _find_no_leader(request: Any, timeout_ms: float) -> Result[Any, Failure]:
    """Answer as a link without a leader does."""
    return Err(failure(Code.NO_QUORUM))
