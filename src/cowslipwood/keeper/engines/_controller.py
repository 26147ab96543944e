"""Controls which engines hold which models and adapters, while its keeper leads."""

import math
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

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
from ...kernel.pacing import WorkPacer
from ...listing import ServerListSource
from ...routes import ModelSpec, RouteDocument, ServiceSpec
from ._adapters import choose_adapter_copy, choose_adapter_step
from ._demand import DemandTracker
from ._engine_record import TYPICAL_UNLOAD_MS, EngineRecord
from ._expected_load import ExpectedLoad
from ._fleet import Fleet
from ._layout_log import log_layout
from ._order_sender import OrderParameters, OrderSender
from ._orders import EngineClient
from ._placement import (
    compute_expected_load,
    count_copies,
    estimate_prior_waiting,
)
from ._plan import iterate_loads, plan_missing_model
from ._turns import OrderTurns

__all__ = ["EngineController", "OrderParameters"]

# Interval between two logs of the layout: short enough to follow a load, which takes
# seconds, and long enough to write few lines per engine.
LAYOUT_LOG_MS = 2_000.0
# Duration from which every round of planning is logged: a part of a leader's lease.
MIN_LOGGED_PLANNING_MS = 50.0
# Pause between two rounds of control: short, so that an order follows soon after the
# order before it has ended.
CONTROL_INTERVAL_MS = 50.0
# Pause after which a lookup tries again when no step was possible.
LOOKUP_RETRY_MS = 20.0
# Shortest interval between two rounds of planning. Each round evaluates all models on
# all engines, and planning more often gains nothing: what a plan waits for, the end of
# an order or of a running request, takes hundreds of milliseconds.
MIN_PLAN_INTERVAL_MS = 60.0
# Factor from the processor time of a round of planning to the pause until the next one
# of its kind, so that each kind takes at most a tenth of a core.
PLAN_PAUSE_FACTOR = 10.0
# Longest pause between two rounds of planning of one kind: the callers of a model that
# few request wait for a full round, and give up after seconds.
MAX_PLAN_PAUSE_MS = 400.0
# Duration after which a round of planning lets other tasks run: a small part of the
# interval between two heartbeats.
MAX_PLANNING_SLICE_MS = 10.0
# Age up to which a lookup for a missing model counts; pending lookups are repeated much
# sooner.
MISSING_VALID_MS = 200.0
# Time within which a lookup is answered; after it the entry refuses its request.
LOOKUP_TIMEOUT_MS = 4_000.0
# Time for which an estimate of when a model will be ready is used again: a small part
# of a load's duration.
ESTIMATE_VALID_MS = 200.0
# Searches for adapters that are remembered before old ones are removed: many times the
# models and adapters of the largest document.
MAX_ADAPTER_SEARCHES_KEPT = 10_000
# Shortest time after which callers are told to retry; callers that retry sooner find
# nothing new.
MIN_RETRY_AFTER_MS = 500
# Time that the reports of entries take to show the demand, to a new leader or after the
# first requests. Until then the layout is the only evidence of the demand.
PRIOR_DEMAND_MS = 4_000.0
# Time after the start of a term or the first request during which no model is unloaded:
# two reports of an entry. The demand is not reported until then, and a leader that made
# room earlier would unload the models with most requests.
DEMAND_UNKNOWN_MS = 1_100.0


class _ReadyEstimate(NamedTuple):
    """When an engine will hold a model, and until when that estimate is used."""

    ready_at_ms: float
    valid_until_ms: float


_NO_ESTIMATE = _ReadyEstimate(0.0, -math.inf)


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
    ):
        self._metrics = metrics
        self._can_act_as_leader = can_act_as_leader
        self._term = term
        self._preceding_term = preceding_term
        self._turns = OrderTurns(parameters.order_turn_ms)
        self._document = document
        self._fleet = Fleet(source, client, self._turns)
        self._demand = DemandTracker()
        # Time of the last search for an adapter, by model and adapter.
        self._adapter_searched_ms: dict[tuple[str, str], float] = {}
        # Estimates by service and model, one search at a time.
        self._ready_estimates: dict[tuple[str, str], _ReadyEstimate] = {}
        self._estimate_lock = anyio.Lock()
        # Service and model of each load whose callers were told to retry later.
        self._background_loads: set[tuple[str, str]] = set()
        # Expected load by service, at the last round of planning.
        self._expected_load: dict[str, ExpectedLoad] = {}
        # Time of the last lookup of a missing model, by service and model.
        self._missing_lookup_ms: dict[tuple[str, str], float] = {}
        # Time of the last log of the layout, by service.
        self._logged_ms: dict[str, float] = {}
        self._planning_logged_ms = -math.inf
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
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Give orders whenever the keeper leads, until the task is cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._run_planning)
            while True:
                now_ms = monotonic_ms()
                if self._can_act_as_leader(now_ms):
                    await self._run_round(now_ms)
                await anyio.sleep(CONTROL_INTERVAL_MS / 1000)

    def build_fleet_load(self, now_ms: float) -> FleetLoad | None:
        """Return the engines' load; None before a list was read in this term."""
        return (
            self._fleet.build_load(now_ms) if self._known_term == self._term() else None
        )

    def build_server_views(self) -> dict[str, ServerView]:
        """Return the listed servers with their models by the latest orders."""
        return self._fleet.build_views()

    def record_entry_report(self, report: EntryReport, now_ms: float) -> None:
        """Record an entry's demand and the servers that asked it to pause."""
        self._demand.record_report(report, now_ms)
        for server_id, for_ms in report.held_off:
            record = self._fleet.records.get(server_id)
            if record is not None:
                record.hold_off(now_ms + for_ms)

    async def find_holder(self, request: HolderRequest) -> Any:
        """Return a server that holds the requested model, after a load if needed."""
        service = self._get_service(request.service)
        spec = _get_model_spec(service, request.model)
        if spec is None:
            message = f"no model {request.model!r:.60} in {request.service}"
            return to_refused(failure(Code.NO_SUCH_MODEL, message))
        now_ms = monotonic_ms()
        self._demand.record_use(request.model, request.adapter, now_ms)
        patience_ms = min(request.patience_ms or LOOKUP_TIMEOUT_MS, LOOKUP_TIMEOUT_MS)
        if await self._estimate_ready_ms(request.service, spec, now_ms) <= patience_ms:
            with anyio.move_on_after(patience_ms / 1000):
                holder = await self._wait_for_holder(request, spec)
                if holder is not None:
                    return HolderReply(
                        holder.server.server_id, holder.list_ready_keys()
                    )
        now_ms = monotonic_ms()
        if not self._can_act_as_leader(now_ms):
            return to_refused(failure(Code.NOT_LEADER))
        self._start_background_load(request.service, spec)
        ready_ms = await self._estimate_ready_ms(request.service, spec, now_ms)
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

    async def _estimate_ready_ms(
        self, service: str, spec: ModelSpec, now_ms: float
    ) -> float:
        """Return the estimated time until an engine holds a model.

        Lookups for one model share an estimate for a while, and other tasks run
        between two searches.
        """
        key = (service, spec.name)
        if now_ms >= self._ready_estimates.get(key, _NO_ESTIMATE).valid_until_ms:
            async with self._estimate_lock:
                if (
                    now_ms
                    >= self._ready_estimates.get(key, _NO_ESTIMATE).valid_until_ms
                ):
                    ready_ms = self._search_ready_ms(service, spec, now_ms)
                    self._ready_estimates[key] = _ReadyEstimate(
                        now_ms + ready_ms, now_ms + ESTIMATE_VALID_MS
                    )
                    await anyio.sleep(0)
        return max(0.0, self._ready_estimates[key].ready_at_ms - now_ms)

    def _search_ready_ms(self, service: str, spec: ModelSpec, now_ms: float) -> float:
        """Search for the engine that would hold a model first.

        Returns 0 also while a new leader does not know yet what the engines hold.
        """
        if not self._fleet.is_known:
            return 0.0
        available = [
            record
            for record in self._fleet.list_engines(service)
            if record.is_available
        ]
        if any(record.can_serve(spec.name) for record in available):
            return 0.0
        for record in available:
            if record.loading_model == spec.name:
                return record.estimate_busy_ms(now_ms)
        demand, expected_load = self._demand.by_model, self._expected_load.get(service)
        step = plan_missing_model(available, spec, demand, expected_load, now_ms)
        if step is None:
            return 1000 * spec.load_time_s + TYPICAL_UNLOAD_MS
        unload_ms = TYPICAL_UNLOAD_MS if step.unload_model else 0.0
        return (
            step.record.estimate_busy_ms(now_ms)
            + unload_ms
            + step.record.estimate_load_ms(spec)
        )

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
        """Return an engine once it holds the model; None on loss of leadership."""
        while self._can_act_as_leader(monotonic_ms()):
            holder = await self._find_or_load_holder(request, spec)
            if holder is not None:
                return holder
            with self._demand.count_pending_lookup(spec.name):
                await anyio.sleep(LOOKUP_RETRY_MS / 1000)
        return None

    async def _find_or_load_holder(
        self, request: HolderRequest, spec: ModelSpec
    ) -> EngineRecord | None:
        """Return an engine that holds what is requested, or None.

        If no engine does, takes one step towards a load: marks the model as missing, or
        orders the adapter.
        """
        records = self._fleet.list_engines(request.service)
        available = [record for record in records if record.is_available]
        for record in available:
            if record.can_serve(spec.name, request.adapter):
                return record
        holders = [record for record in available if record.can_serve(spec.name)]
        now_ms = monotonic_ms()
        if not holders:
            self._missing_lookup_ms[request.service, spec.name] = now_ms
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
            oldest_ms = now_ms - MIN_PLAN_INTERVAL_MS
            self._adapter_searched_ms = {
                key: at_ms
                for key, at_ms in self._adapter_searched_ms.items()
                if at_ms >= oldest_ms
            }
        return True

    async def _run_round(self, now_ms: float) -> None:
        """Read list and reports, update the demand, and plan when planning is due."""
        if self._term() != self._known_term:
            self._known_term = self._term()
            self._term_start_ms = now_ms
            self._fleet.clear()
            self._expected_load.clear()
            self._ready_estimates.clear()
            self._demand.reset_smoothed_demand()
            self._turns.start_term(self._known_term, self._preceding_term(), now_ms)
            self._sender.start_term(self._known_term, now_ms)
        await self._fleet.read_list(self._document(), now_ms)
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
        known_models = _list_model_names(self._document())
        self._demand.update(
            prior_waiting, CONTROL_INTERVAL_MS, now_ms, is_new, unserved, known_models
        )
        for record in self._fleet.list_engines_to_read(now_ms):
            # Read in separate tasks, as an engine that is down must not delay the rest.
            self._tasks.start_soon(self._fleet.read_report, record)

    async def _run_planning(self) -> None:
        """Plan at intervals while the keeper leads.

        Between two full rounds of planning there are brief ones, so that missing models
        with many callers, and room that was made for a load, do not wait for long.
        """
        full_round_due_ms = -math.inf
        while True:
            pause_ms = 0.0
            now_ms = monotonic_ms()
            if self._is_acting(self._known_term, now_ms):
                is_brief = now_ms < full_round_due_ms
                pacer = WorkPacer(MAX_PLANNING_SLICE_MS)
                await self._plan(pacer, now_ms, is_brief)
                pacer.end_slice()
                pause_ms = min(PLAN_PAUSE_FACTOR * pacer.worked_ms, MAX_PLAN_PAUSE_MS)
                if not is_brief:
                    self._record_planning(pacer, now_ms)
                    full_round_due_ms = monotonic_ms() + pause_ms
                    pause_ms = 0.0
            await anyio.sleep(max(MIN_PLAN_INTERVAL_MS, pause_ms) / 1000)

    def _is_acting(self, term: int, now_ms: float) -> bool:
        """Return whether this keeper leads in a term, whose first round has begun."""
        return (
            self._can_act_as_leader(now_ms)
            and term == self._known_term == self._term()
            and term != 0
        )

    def _record_planning(self, pacer: WorkPacer, now_ms: float) -> None:
        """Measure a round of planning, and log it if it was long or at intervals."""
        took_ms = pacer.worked_ms
        self._metrics.observe("planning_ms", took_ms)
        is_log_due = now_ms >= self._planning_logged_ms + LAYOUT_LOG_MS
        if not is_log_due and took_ms < MIN_LOGGED_PLANNING_MS:
            return
        self._planning_logged_ms = now_ms
        get_logger().info(
            "planning_ended",
            took_ms=round(took_ms, 1),
            longest_slice_ms=round(pacer.longest_slice_ms, 1),
            engines=len(self._fleet.records),
            missing=len(self._missing_lookup_ms),
            lookups=self._demand.n_pending_lookups,
            term=self._known_term,
            term_age_ms=round(now_ms - self._term_start_ms),
        )

    async def _plan(self, pacer: WorkPacer, now_ms: float, is_brief: bool) -> None:
        """Plan loads and copies of adapters, and start the orders possible now."""
        oldest_ms = now_ms - MISSING_VALID_MS
        self._missing_lookup_ms = {
            key: lookup_ms
            for key, lookup_ms in self._missing_lookup_ms.items()
            if lookup_ms >= oldest_ms
        }
        document = self._document()
        for service in document.services if document else ():
            if service.engine is not None:
                await self._plan_service(service, pacer, now_ms, is_brief)

    async def _plan_service(
        self, service: ServiceSpec, pacer: WorkPacer, now_ms: float, is_brief: bool
    ) -> None:
        """Plan for the engines of one service; stop where the leadership ends."""
        term = self._known_term
        records = self._fleet.list_engines(service.name)
        models = service.engine.models
        missing = {
            model for name, model in self._missing_lookup_ms if name == service.name
        }
        has_reservation = any(record.get_reserved_model(now_ms) for record in records)
        if is_brief and not missing and not has_reservation:
            return
        expected_load = compute_expected_load(
            records, self._demand.by_model, self._demand.late_share
        )
        self._expected_load[service.name] = expected_load
        if now_ms >= self._logged_ms.get(service.name, -math.inf) + LAYOUT_LOG_MS:
            self._logged_ms[service.name] = now_ms
            log_layout(records, expected_load, self._demand, now_ms)
        loads = iterate_loads(
            records,
            models,
            missing,
            self._demand.by_model,
            expected_load,
            self._demand.adapter_last_used_ms,
            now_ms,
            may_unload=self._is_demand_known(now_ms),
            is_brief=is_brief,
        )
        for planned in loads:
            if planned is not None and planned[1].record.is_usable:
                self._tasks.start_soon(self._sender.execute_model_step, *planned)
            await pacer.give_way()
            if not self._is_acting(term, monotonic_ms()):
                return
        if not is_brief:
            self._start_adapter_copy(records, models, now_ms)

    def _is_demand_known(self, now_ms: float) -> bool:
        """Return whether entries have had time to report the demand to this leader."""
        start_ms = max(self._term_start_ms, self._demand.first_use_ms)
        return now_ms - start_ms >= DEMAND_UNKNOWN_MS

    def _start_adapter_copy(
        self, records: list[EngineRecord], models: Sequence[ModelSpec], now_ms: float
    ) -> None:
        """Start the copy of an adapter to an engine with less load, if there is any."""
        available = [record for record in records if record.is_available]
        adapter_copy = choose_adapter_copy(
            available,
            models,
            self._demand.n_in_flight_by_adapter,
            self._demand.adapter_last_used_ms,
            now_ms,
        )
        if adapter_copy is not None:
            spec, adapter, step = adapter_copy
            self._tasks.start_soon(
                self._sender.execute_adapter_step, spec.name, adapter, step
            )

    def _get_service(self, name: str) -> ServiceSpec | None:
        document = self._document()
        return document.service(name) if document else None


def _get_model_spec(service: ServiceSpec | None, model: str) -> ModelSpec | None:
    if service is None or service.engine is None:
        return None
    return next((spec for spec in service.engine.models if spec.name == model), None)


def _list_model_names(document: RouteDocument | None) -> set[str]:
    """Return the names of the models of all services."""
    return {
        model.name
        for service in (document.services if document else ())
        if service.engine is not None
        for model in service.engine.models
    }
