"""What the parts of an entry with direct routes share."""

import random
from collections.abc import Callable

import anyio

from ...kernel.clock import monotonic_ms
from ...kernel.http_pool import ConnectionPool
from ...kernel.logs import get_logger
from ...kernel.messages import DemandSample, HeldOff
from ...kernel.metrics import Metrics
from ...listing import ServerNotice
from ...routes import RouteDocument, RouteTable
from ..choosing._backend import Backend, LoadReport
from ..choosing._ewma import Ewma
from ..choosing._view import View
from ..metering._demand import DemandMeter
from ..routing import RoutingContext, RoutingPolicy
from ._headers import HeaderNames
from ._holders import Holders
from ._retries import BudgetTerms, EntryCount, SharedBudget
from ._servers import KnownServers

__all__ = ["DirectState"]

# The mix of requests changes within some tens of them.
TYPICAL_WEIGHT = 0.03


class DirectState:
    """The routes in force, the servers, and how requests reach them.

    Parameters
    ----------
    zone : str
    names : HeaderNames
    policy : RoutingPolicy
    view : View
    servers : KnownServers
    holders : Holders
    terms : BudgetTerms
    metrics : Metrics
    now_ms : callable
        Returns the present time.
    """

    def __init__(
        self,
        zone: str,
        names: HeaderNames,
        policy: RoutingPolicy,
        view: View,
        servers: KnownServers,
        holders: Holders,
        terms: BudgetTerms,
        metrics: Metrics,
        now_ms: Callable[[], float] = monotonic_ms,
    ):
        self.zone = zone
        self.names = names
        self.holders = holders
        self.metrics = metrics
        self.now_ms = now_ms
        self.view = view
        self._servers = servers
        self.demand = DemandMeter(now_ms())
        self.waiting = DemandMeter(now_ms())  # at a server, before the first event
        self.pool = ConnectionPool()
        self.document: RouteDocument | None = None
        self.has_document = anyio.Event()
        self.table = RouteTable()
        self.has_held_off = anyio.Event()  # set for each news, then replaced
        self.entries = EntryCount(terms.window_ms)
        self._policy = policy
        self._terms = terms
        self._budgets: dict[str, SharedBudget] = {}
        self._typical_tokens: dict[str, Ewma] = {}

    @property
    def listed_ms(self) -> float:
        """When the list was read by which servers are chosen."""
        return self._servers.listed_ms

    @property
    def version(self) -> int:
        """Version of the document in force; 0 while there is none."""
        return self.document.version if self.document is not None else 0

    def use(self, document: RouteDocument) -> bool:
        """Put a document in force unless a newer one is; return whether it is."""
        if document.version <= self.version:
            return False
        self.document = document
        self.table = RouteTable(document.routes)
        self.has_document.set()
        return True

    def budget(self, service: str) -> SharedBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SharedBudget(self._terms)
        return budget

    def typical_tokens(self, service: str) -> Ewma:
        """Return the tokens that servers of a service read for one request."""
        held = self._typical_tokens.get(service)
        if held is None:
            held = self._typical_tokens[service] = Ewma(TYPICAL_WEIGHT)
        return held

    def choose(
        self, context: RoutingContext, rng: random.Random, now_ms: float
    ) -> Backend | None:
        """Return the server for a request; None when there is none."""
        candidates = self.view.candidates(context.key)
        return self._policy.choose(candidates, context, rng, now_ms)

    def demand_samples(self, now_ms: float) -> tuple[DemandSample, ...]:
        """Return the demand since the last call, with what waited at servers."""
        waiting = {each.model: each for each in self.waiting.samples(now_ms)}
        return tuple(
            sample._replace(waiting=waiting[sample.model].in_flight)
            if sample.model in waiting
            else sample
            for sample in self.demand.samples(now_ms)
        )

    def take_notice(
        self, backend: Backend, notice: ServerNotice, now_ms: float
    ) -> None:
        """Take in what an answer says of its server."""
        server_id = backend.view.server_id
        for name in notice.unreadable:
            self.metrics.count("notices_ignored_total", header=name)
            get_logger().info("notice_ignored", server=server_id, header=name)
        if notice.is_leaving and self._servers.said_leaving(server_id, now_ms):
            self.metrics.count("servers_left_total")
            get_logger().info("server_said_leaving", server=server_id)
        if notice.hold_off_ms:
            backend.hold_off(now_ms + notice.hold_off_ms)
            self.metrics.count("servers_held_off_total")
            get_logger().info(
                "server_held_off", server=server_id, for_ms=notice.hold_off_ms
            )
            self.has_held_off.set()

    def held_off(self, now_ms: float) -> tuple[HeldOff, ...]:
        """Return the servers that want nothing from this host, and for how long."""
        return tuple(
            HeldOff(server_id, each.held_off_until_ms - now_ms)
            for server_id, each in self.view.backends.items()
            if each.held_off_until_ms > now_ms
        )

    def free_in_ms(self, key: str, now_ms: float) -> float:
        """Return when the first server of a key takes requests again.

        0 where one that stays has not asked for a pause, or none has the key.
        """
        staying = [each for each in self.view.candidates(key) if not each.view.leaving]
        return max(
            0.0, min((e.held_off_until_ms for e in staying), default=now_ms) - now_ms
        )

    def take_load_report(
        self, backend: Backend, report: LoadReport | None, now_ms: float
    ) -> None:
        """Take in the load that came with an answer."""
        backend.answered(report, now_ms)
        if report is not None:
            self.view.typical_load.add(backend.others_load_share)
