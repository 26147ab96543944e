"""Controls which engines hold which models and adapters, while its keeper leads."""

import math
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from ...kernel.channel import to_refused
from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code, failure
from ...kernel.logs import get_logger
from ...kernel.messages import (
    EntryReport,
    FleetLoad,
    HolderReply,
    HolderRequest,
    ServerView,
)
from ...kernel.metrics import Metrics
from ...listing import ServerListSource
from ...routes import ModelSpec, RouteDocument
from .._server_limits import ServerLimitTable
from ._adapters import choose_adapter_step
from ._demand import DemandTracker
from ._engine_record import EngineRecord
from ._failures import FailureBarrier
from ._fleet import Fleet
from ._order_sender import OrderParameters, OrderSender
from ._orders import EngineClient
from ._placement import (
    count_copies,
    estimate_prior_waiting,
)
from ._planning import PlanningLoop
from ._ready_time import ReadyTimeEstimator
from ._turns import OrderTurns

__all__ = ["EngineController", "OrderParameters"]

# Pause between two rounds of control: short, so that an order follows soon after the
# order before it has ended.
CONTROL_INTERVAL_MS = 50.0
# Pause after which a lookup tries again when no step was possible.
LOOKUP_RETRY_MS = 20.0
# Time within which a lookup is answered; after it the entry refuses its request.
LOOKUP_TIMEOUT_MS = 4_000.0
# Searches for adapters that are remembered before old ones are removed: many times the
# models and adapters of the largest document.
MAX_ADAPTER_SEARCHES_KEPT = 10_000
# Shortest time after which callers are told to retry; callers that retry sooner find
# nothing new.
MIN_RETRY_AFTER_MS = 500
# Time that the reports of entries take to show the demand, to a new leader or after the
# first requests. Until then the layout is the only evidence of the demand.
PRIOR_DEMAND_MS = 4_000.0


class _HolderSearch:
    """A search for an engine, for which lookups wait.

    Parameters
    ----------
    request : HolderRequest
        The first of these lookups.
    spec : ModelSpec

    Attributes
    ----------
    holder : EngineRecord or None
        The engine that was found.
    n_waiting : int
        Lookups that wait.
    ended : anyio.Event
    """

    def __init__(self, request: HolderRequest, spec: ModelSpec):
        self.request = request
        self.spec = spec
        self.holder: EngineRecord | None = None
        self.n_waiting = 0
        self.ended = anyio.Event()


class EngineController:
    """Gives orders to engines while its keeper leads.

    Parameters
    ----------
    parameters : OrderParameters
    source : ServerListSource
    client : EngineClient
    can_act_as_leader : callable
        Returns whether this keeper may act now, given the present time.
    term : callable
        Returns the term of the leadership.
    preceding_term : callable
        Returns the term of the log's last entry before this leadership.
    document : callable
        Returns the document in force, or None.
    metrics : Metrics
    limits : ServerLimitTable
        The limits that servers have named.
    """

    def __init__(
        self,
        parameters: OrderParameters,
        source: ServerListSource,
        client: EngineClient,
        can_act_as_leader: Callable[[float], bool],
        term: Callable[[], int],
        preceding_term: Callable[[], int],
        document: Callable[[], RouteDocument | None],
        metrics: Metrics,
        limits: ServerLimitTable | None = None,
    ):
        self._can_act_as_leader = can_act_as_leader
        self._term = term
        self._preceding_term = preceding_term
        self._turns = OrderTurns(parameters.order_turn_ms)
        self._fleet = Fleet(
            source, client, self._turns, limits or ServerLimitTable(), document
        )
        self._demand = DemandTracker()
        self._barrier = FailureBarrier(metrics)
        # Time of the last search for an adapter, by model and adapter.
        self._adapter_searched_ms: dict[tuple[str, str], float] = {}
        # Searches for engines by service, model and adapter.
        self._searches: dict[tuple[str, str, str], _HolderSearch] = {}
        # Service and model of each load whose callers were told to retry later.
        self._background_loads: set[tuple[str, str]] = set()
        self._known_term = 0
        self._term_start_ms = 0.0
        # Time up to which no entry had reported a request.
        self._first_request_after_ms = 0.0
        self._sender = OrderSender(
            parameters,
            client,
            can_act_as_leader,
            term,
            self._fleet,
            self._demand,
            self._turns,
            metrics,
        )
        self._planning = PlanningLoop(
            self._fleet,
            self._demand,
            self._sender,
            can_act_as_leader,
            term,
            metrics,
            self._barrier,
        )
        self._ready_time = ReadyTimeEstimator(self._fleet, self._demand, self._planning)
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Give orders whenever the keeper leads, until the task is cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._planning.run)
            for search in self._searches.values():
                tasks.start_soon(self._run_search, search)
            while True:
                now_ms = monotonic_ms()
                if self._can_act_as_leader(now_ms):
                    with self._barrier.confine("control", "", now_ms):
                        await self._run_round(now_ms)
                await anyio.sleep(CONTROL_INTERVAL_MS / 1000)

    def build_fleet_load(self, now_ms: float) -> FleetLoad | None:
        """Return the engines' load; None before a list was read in this term."""
        return self._fleet.build_load(now_ms) if self._is_term_started() else None

    def build_server_views(self) -> dict[str, ServerView]:
        """Return the listed servers with their models by the latest orders.

        Empty before a list was read in this term.
        """
        return self._fleet.build_views() if self._is_term_started() else {}

    def list_versions(self) -> dict[str, frozenset[str]] | None:
        """Return the listed servers' software versions by service.

        None before a list was read in this term.
        """
        return self._fleet.list_versions() if self._is_term_started() else None

    def _is_term_started(self) -> bool:
        """Return whether the fleet is of this term and not of an earlier one."""
        return self._known_term == self._term()

    def record_entry_report(self, report: EntryReport, now_ms: float) -> None:
        """Record an entry's demand and the servers that asked it to pause."""
        self._demand.record_report(report, now_ms)
        for server_id, for_ms in report.held_off:
            record = self._fleet.records.get(server_id)
            if record is not None:
                record.hold_off(now_ms + for_ms)

    async def find_holder(self, request: HolderRequest) -> Any:
        """Return a server that holds the requested model, after a load if needed."""
        spec = self._find_model(request)
        if spec is None:
            return _refuse_unknown_model(request)
        now_ms = monotonic_ms()
        self._demand.record_use(request.model, request.adapter, now_ms)
        patience_ms = min(request.patience_ms or LOOKUP_TIMEOUT_MS, LOOKUP_TIMEOUT_MS)
        estimate_ready_ms = self._ready_time.estimate_ready_ms
        if await estimate_ready_ms(request.service, spec, now_ms) <= patience_ms:
            with anyio.move_on_after(patience_ms / 1000):
                holder = await self._wait_for_holder(request, spec)
                if holder is not None:
                    return HolderReply(
                        holder.server.server_id, holder.list_ready_keys()
                    )
        now_ms = monotonic_ms()
        if not self._can_act_as_leader(now_ms):
            return to_refused(failure(Code.NOT_LEADER))
        spec = self._find_model(request)
        if spec is None:
            return _refuse_unknown_model(request)
        self._start_background_load(request.service, spec)
        ready_ms = await estimate_ready_ms(request.service, spec, now_ms)
        reason = self._describe_wait(request, ready_ms)
        message = f"{request.model}/{request.adapter}: {reason}"
        retry_after_ms = max(MIN_RETRY_AFTER_MS, round(ready_ms))
        return to_refused(failure(Code.NO_REPLICA, message, retry_after_ms))

    def _describe_wait(self, request: HolderRequest, ready_ms: float) -> str:
        """Return why a lookup ended without a holder."""
        if not self._fleet.is_known:
            return "the engines are not known yet"
        if request.adapter and not ready_ms:
            return "no slot for the adapter"
        return f"ready in {ready_ms:.0f} ms"

    def _start_background_load(self, service: str, spec: ModelSpec) -> None:
        """Go on with a load after its callers were told to retry later."""
        key = (service, spec.name)
        if key not in self._background_loads:
            self._background_loads.add(key)
            self._tasks.start_soon(self._load_in_background, key, spec)

    async def _load_in_background(self, key: tuple[str, str], spec: ModelSpec) -> None:
        request = HolderRequest(key[0], spec.name, "", "")
        limit_ms = 1000 * spec.load_time_s + LOOKUP_TIMEOUT_MS
        try:
            with anyio.move_on_after(limit_ms / 1000):
                await self._wait_for_holder(request, spec)
        finally:
            self._background_loads.discard(key)

    async def _wait_for_holder(
        self, request: HolderRequest, spec: ModelSpec
    ) -> EngineRecord | None:
        """Return an engine once it holds the model; None on loss of leadership.

        Lookups of one model or adapter wait for the same search.
        """
        key = (request.service, spec.name, request.adapter)
        search = self._searches.get(key)
        if search is None:
            search = self._searches[key] = _HolderSearch(request, spec)
            if self._tasks is not None:
                self._tasks.start_soon(self._run_search, search)
        search.n_waiting += 1
        try:
            with self._demand.count_pending_lookup(spec.name):
                await search.ended.wait()
        finally:
            search.n_waiting -= 1
        return search.holder

    async def _run_search(self, search: "_HolderSearch") -> None:
        """Search for an engine while lookups wait and the document has the model."""
        request, spec = search.request, search.spec
        try:
            while search.n_waiting and self._can_act_as_leader(monotonic_ms()):
                if self._find_model(request) is None:
                    return
                search.holder = await self._find_or_load_holder(request, spec)
                if search.holder is not None:
                    return
                await anyio.sleep(LOOKUP_RETRY_MS / 1000)
        except Exception:
            # The lookups are refused; the other tasks of the controller go on.
            get_logger().exception("search_failed", model=spec.name)
        finally:
            del self._searches[request.service, spec.name, request.adapter]
            search.ended.set()

    async def _find_or_load_holder(
        self, request: HolderRequest, spec: ModelSpec
    ) -> EngineRecord | None:
        """Return an engine that holds what is requested, or None.

        If no engine does, takes one step towards a load: marks the model as missing, or
        orders the adapter.
        """
        if not self._is_term_started():
            return None
        records = self._fleet.list_engines(request.service)
        available = [record for record in records if record.is_available]
        for record in available:
            if record.can_serve(spec.name, request.adapter):
                return record
        holders = [record for record in available if record.can_serve(spec.name)]
        now_ms = monotonic_ms()
        if not holders:
            self._planning.record_missing(request.service, spec.name, now_ms)
            return None
        if not self._is_adapter_search_due((request.model, request.adapter), now_ms):
            return None
        if any(
            (spec.name, request.adapter) in record.loading_adapters
            for record in holders
        ):
            return None
        step = choose_adapter_step(
            available, spec, self._demand.adapter_last_used_ms, now_ms
        )
        if step is None:
            return None
        return await self._sender.execute_adapter_step(
            request.model, request.adapter, step
        )

    def _is_adapter_search_due(self, key: tuple[str, str], now_ms: float) -> bool:
        """Return whether an engine for an adapter is to be searched for again.

        Many entries may request one adapter, and a search evaluates every engine.
        """
        if now_ms < self._adapter_searched_ms.get(key, -math.inf) + LOOKUP_RETRY_MS:
            return False
        self._adapter_searched_ms[key] = now_ms
        if len(self._adapter_searched_ms) > MAX_ADAPTER_SEARCHES_KEPT:
            # Callers choose adapter names freely, so old searches are removed.
            oldest_ms = now_ms - LOOKUP_RETRY_MS
            self._adapter_searched_ms = {
                key: at_ms
                for key, at_ms in self._adapter_searched_ms.items()
                if at_ms >= oldest_ms
            }
        return True

    async def _run_round(self, now_ms: float) -> None:
        """Read list and reports, and update the demand."""
        if self._term() != self._known_term:
            self._known_term = self._term()
            self._term_start_ms = now_ms
            self._fleet.clear()
            self._ready_time.clear()
            self._demand.reset_smoothed_demand()
            self._turns.start_term(self._known_term, self._preceding_term(), now_ms)
            self._sender.start_term(self._known_term, now_ms)
            self._planning.start_term(self._known_term, now_ms)
        await self._fleet.read_list(now_ms)
        self._fleet.apply_limits(now_ms)
        prior_waiting = {}
        if not self._demand.has_reported_requests:
            self._first_request_after_ms = now_ms
        is_new = (
            now_ms - max(self._term_start_ms, self._first_request_after_ms)
            < PRIOR_DEMAND_MS
        )
        if is_new:
            prior_waiting = estimate_prior_waiting(
                count_copies(self._fleet.records.values())
            )
        unserved = self._fleet.list_unserved(self._demand.by_model)
        known_models = self._fleet.follow_document().list_model_names()
        self._demand.update(
            prior_waiting, CONTROL_INTERVAL_MS, now_ms, is_new, unserved, known_models
        )
        for record in self._fleet.list_engines_to_read(now_ms):
            # Read in separate tasks, as an engine that is down must not delay the rest.
            self._tasks.start_soon(self._read_report, record, now_ms)

    async def _read_report(self, record: EngineRecord, now_ms: float) -> None:
        with self._barrier.confine("report", record.server.server_id, now_ms):
            await self._fleet.read_report(record)

    def _find_model(self, request: HolderRequest) -> ModelSpec | None:
        """Return the model of a lookup in the document in force."""
        return self._fleet.follow_document().find_model(request.service, request.model)


def _refuse_unknown_model(request: HolderRequest) -> Any:
    message = f"no model {request.model!r:.60} in {request.service}"
    return to_refused(failure(Code.NO_SUCH_MODEL, message))
