"""Runs rounds of planning and starts the orders that they decide on."""

import math
from collections.abc import Callable, Sequence

import anyio
import anyio.abc

from ...kernel.clock import monotonic_ms
from ...kernel.logs import get_logger
from ...kernel.metrics import Metrics
from ...kernel.pacing import WorkPacer
from ...routes import EngineSpec, ModelSpec
from ._adapters import choose_adapter_copy
from ._demand import DemandTracker
from ._engine_record import EngineRecord
from ._expected_load import ExpectedLoad
from ._failures import FailureBarrier
from ._fleet import Fleet
from ._layout_log import log_layout
from ._order_sender import OrderSender
from ._placement import compute_expected_load
from ._plan import plan_loads
from ._specs import EngineSpecs
from ._step import Step

__all__ = ["MIN_PLAN_INTERVAL_MS", "PlanningLoop"]

# Interval between two logs of the layout: short enough to follow a load, which takes
# seconds, and long enough to write few lines per engine.
LAYOUT_LOG_MS = 2_000.0
# Duration from which every round of planning is logged: a part of a leader's lease.
MIN_LOGGED_PLANNING_MS = 50.0
# Shortest interval between two rounds of planning. Planning more often gains nothing:
# what a plan waits for, the end of an order or of a running request, takes hundreds of
# milliseconds.
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
# Time after the start of a term or the first request during which no model is unloaded:
# two reports of an entry. The demand is not reported until then, and a leader that made
# room earlier would unload the models with most requests.
DEMAND_UNKNOWN_MS = 1_100.0


class PlanningLoop:
    """Plans at intervals while the keeper leads.

    Between two full rounds of planning there are brief ones, so that missing models
    with many callers, and room that was made for a load, do not wait for long.

    Parameters
    ----------
    fleet : Fleet
    demand : DemandTracker
    sender : OrderSender
    can_act_as_leader : callable
        Returns whether this keeper may act now, given the present time.
    term : callable
        Returns the term of the leadership.
    metrics : Metrics
    barrier : FailureBarrier
    """

    def __init__(
        self,
        fleet: Fleet,
        demand: DemandTracker,
        sender: OrderSender,
        can_act_as_leader: Callable[[float], bool],
        term: Callable[[], int],
        metrics: Metrics,
        barrier: FailureBarrier,
    ):
        self._fleet = fleet
        self._demand = demand
        self._sender = sender
        self._can_act_as_leader = can_act_as_leader
        self._term = term
        self._metrics = metrics
        self._barrier = barrier
        self._active_term = 0
        self._term_start_ms = 0.0
        # Expected load by service at the last round, and the document it rests on.
        self._expected_load: dict[str, ExpectedLoad] = {}
        self._expected_load_version = 0
        # Time of the last lookup of a missing model, by service and model.
        self._missing_lookup_ms: dict[tuple[str, str], float] = {}
        # Time of the last log of the layout, by service.
        self._layout_logged_ms: dict[str, float] = {}
        self._round_logged_ms = -math.inf
        self._tasks: anyio.abc.TaskGroup | None = None

    def start_term(self, term: int, now_ms: float) -> None:
        """Start to plan in a new term of leadership."""
        self._active_term = term
        self._term_start_ms = now_ms
        self._expected_load.clear()

    def record_missing(self, service: str, model: str, now_ms: float) -> None:
        """Record that a caller looks up a model that no engine holds."""
        self._missing_lookup_ms[service, model] = now_ms

    def get_expected_load(self, service: str) -> ExpectedLoad | None:
        """Return the expected load of a service's engines at the last round."""
        return self._expected_load.get(service)

    async def run(self) -> None:
        """Plan whenever the keeper leads, until the task is cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            full_round_due_ms = -math.inf
            while True:
                pause_ms = 0.0
                now_ms = monotonic_ms()
                if self._leads_in(self._active_term, now_ms):
                    is_brief = now_ms < full_round_due_ms
                    pacer = WorkPacer(MAX_PLANNING_SLICE_MS)
                    await self._run_round(pacer, now_ms, is_brief)
                    pacer.end_slice()
                    pause_ms = min(
                        PLAN_PAUSE_FACTOR * pacer.worked_ms, MAX_PLAN_PAUSE_MS
                    )
                    if not is_brief:
                        self._record_round(pacer, now_ms)
                        full_round_due_ms = monotonic_ms() + pause_ms
                        pause_ms = 0.0
                await anyio.sleep(max(MIN_PLAN_INTERVAL_MS, pause_ms) / 1000)

    def _leads_in(self, term: int, now_ms: float) -> bool:
        """Return whether this keeper leads in a term that it has started."""
        is_present = term == self._active_term == self._term()
        return term != 0 and is_present and self._can_act_as_leader(now_ms)

    async def _run_round(self, pacer: WorkPacer, now_ms: float, is_brief: bool) -> None:
        """Plan loads and copies of adapters, and start the orders possible now.

        Ends early when another document comes into force, as the plan rests on one
        version; the next round plans with the new one.
        """
        oldest_ms = now_ms - MISSING_VALID_MS
        self._missing_lookup_ms = {
            key: lookup_ms
            for key, lookup_ms in self._missing_lookup_ms.items()
            if lookup_ms >= oldest_ms
        }
        specs = self._fleet.follow_document()
        if specs.version != self._expected_load_version:
            self._expected_load_version = specs.version
            self._expected_load.clear()
        for service, spec in specs.by_service.items():
            with self._barrier.confine("planning", service, now_ms):
                await self._plan_service(service, spec, specs, pacer, now_ms, is_brief)
            if not self._may_go_on(self._active_term, specs):
                return

    def _may_go_on(self, term: int, specs: EngineSpecs) -> bool:
        """Return whether the term lasts and the document is still in force."""
        is_leading = self._leads_in(term, monotonic_ms())
        return is_leading and self._fleet.follow_document() is specs

    async def _plan_service(
        self,
        service: str,
        spec: EngineSpec,
        specs: EngineSpecs,
        pacer: WorkPacer,
        now_ms: float,
        is_brief: bool,
    ) -> None:
        """Plan for the engines of one service, while the round may go on."""
        term = self._active_term
        records = self._fleet.list_engines(service)
        models = spec.models
        missing = {model for name, model in self._missing_lookup_ms if name == service}
        has_reservation = any(record.get_reserved_model(now_ms) for record in records)
        if is_brief and not missing and not has_reservation:
            return
        expected_load = compute_expected_load(
            records, self._demand.by_model, self._demand.late_share
        )
        self._expected_load[service] = expected_load
        layout_logged_ms = self._layout_logged_ms.get(service, -math.inf)
        if now_ms >= layout_logged_ms + LAYOUT_LOG_MS:
            self._layout_logged_ms[service] = now_ms
            log_layout(records, expected_load, self._demand, now_ms)
        planned_loads = plan_loads(
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
        for planned in planned_loads:
            if planned is not None and planned[1].record.is_usable:
                self._tasks.start_soon(self._execute_model_step, *planned)
            await pacer.give_way()
            if not self._may_go_on(term, specs):
                return
        if not is_brief:
            self._start_adapter_copy(records, models, now_ms)

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
            self._tasks.start_soon(self._execute_adapter_step, spec.name, adapter, step)

    async def _execute_model_step(self, spec: ModelSpec, step: Step) -> None:
        server_id = step.record.server.server_id
        with self._barrier.confine("order", server_id, monotonic_ms()):
            await self._sender.execute_model_step(spec, step)

    async def _execute_adapter_step(self, model: str, adapter: str, step: Step) -> None:
        server_id = step.record.server.server_id
        with self._barrier.confine("order", server_id, monotonic_ms()):
            await self._sender.execute_adapter_step(model, adapter, step)

    def _is_demand_known(self, now_ms: float) -> bool:
        """Return whether entries have had time to report the demand to this leader."""
        start_ms = max(self._term_start_ms, self._demand.first_use_ms)
        return now_ms - start_ms >= DEMAND_UNKNOWN_MS

    def _record_round(self, pacer: WorkPacer, now_ms: float) -> None:
        """Measure a round of planning, and log it if it was long or at intervals."""
        took_ms = pacer.worked_ms
        self._metrics.observe("planning_ms", took_ms)
        is_log_due = now_ms >= self._round_logged_ms + LAYOUT_LOG_MS
        if not is_log_due and took_ms < MIN_LOGGED_PLANNING_MS:
            return
        self._round_logged_ms = now_ms
        get_logger().info(
            "planning_ended",
            took_ms=round(took_ms, 1),
            longest_slice_ms=round(pacer.longest_slice_ms, 1),
            engines=len(self._fleet.records),
            missing=len(self._missing_lookup_ms),
            lookups=self._demand.n_pending_lookups,
            term=self._active_term,
            term_age_ms=round(now_ms - self._term_start_ms),
        )
