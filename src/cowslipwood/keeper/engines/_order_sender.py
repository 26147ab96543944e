"""Sends orders to engines and applies accepted orders to the leader's records."""

from collections.abc import Callable
from typing import NamedTuple

import anyio
from returns.result import Failure as Err

from ...kernel.clock import monotonic_ms
from ...kernel.logs import get_logger
from ...kernel.metrics import Metrics
from ...routes import ModelSpec
from ._demand import DemandTracker
from ._engine_record import EngineRecord
from ._fleet import Fleet
from ._orders import EngineClient, EngineOrder, OrderOp, OrderOutcome
from ._placement import POPULAR_MODEL_MIN_CALLERS
from ._step import Step
from ._store import LoadNeed, StoreBudget
from ._turns import OrderTurns

__all__ = ["OrderParameters", "OrderSender"]

# Time from the acceptance of an adapter's order until the adapter is on the engine.
ADAPTER_LOAD_MS = 9.0
# Adapters that the store transfers at full speed at the same time; with more, each
# transfer takes longer.
MAX_FULL_SPEED_ADAPTERS = 16
# Time for which room is reserved while an unload waits for running requests; after this
# time another engine is looked for.
ROOM_RESERVATION_MS = 3_000.0


class OrderParameters(NamedTuple):
    """Parameters of the orders that a keeper gives.

    Parameters
    ----------
    keeper_id : str
        Name under which this keeper gives orders.
    store_window_ms : float
        Window in which loads from the weight store are counted.
    order_quiet_ms : float
        How long a new leader gives no order, where engines do not check fencing
        tokens: an order of the previous leader may still be on its way.
    order_turn_ms : float
        See `OrderTurns`.
    """

    keeper_id: str
    store_window_ms: float = 5_000.0
    order_quiet_ms: float = 0.0
    order_turn_ms: float = 3_000.0


class OrderSender:
    """Carries out the steps that were decided on.

    Parameters
    ----------
    parameters : OrderParameters
    client : EngineClient
    can_act_as_leader : callable
        Returns whether this keeper may act now, given the present time.
    term : callable
        Returns the term of the leadership.
    fleet : Fleet
    demand : DemandTracker
    turns : OrderTurns
    metrics : Metrics
    """

    def __init__(
        self,
        parameters: OrderParameters,
        client: EngineClient,
        can_act_as_leader: Callable[[float], bool],
        term: Callable[[], int],
        fleet: Fleet,
        demand: DemandTracker,
        turns: OrderTurns,
        metrics: Metrics,
    ):
        self._parameters = parameters
        self._client = client
        self._can_act_as_leader = can_act_as_leader
        self._term = term
        self._fleet = fleet
        self._demand = demand
        self._turns = turns
        self._metrics = metrics
        self._store_budget = StoreBudget(parameters.store_window_ms)
        self._active_term = 0
        self._term_start_ms = 0.0

    def start_term(self, term: int, now_ms: float) -> None:
        """Start to give orders in a new term of leadership."""
        self._active_term = term
        self._term_start_ms = now_ms
        self._store_budget.clear()

    async def execute_adapter_step(
        self, model: str, adapter: str, step: Step
    ) -> EngineRecord | None:
        """Order the load of an adapter and wait for it; None if it is not loaded.

        Gives no order if the document in force has no such model there any more.
        """
        record = step.record
        key = (model, adapter)
        async with record.lock:
            if not self._is_current(record) or record.find_model(model) is None:
                return None
            if not record.is_usable or record.has_adapter(*key):
                return None
            if step.unload_adapter is not None and not await self._unload_adapter(
                record, *step.unload_adapter
            ):
                return None
            if not record.has_adapter_slot(model):
                return None
            record.loading_adapters.add(key)
            if not await self._send_order(record, OrderOp.LOAD, *key):
                record.loading_adapters.discard(key)
                return None
        try:
            n_loading_adapters = sum(
                len(engine.loading_adapters) for engine in self._fleet.records.values()
            )
            slowdown_factor = max(1.0, n_loading_adapters / MAX_FULL_SPEED_ADAPTERS)
            await anyio.sleep(ADAPTER_LOAD_MS * slowdown_factor / 1000)
        finally:
            record.loading_adapters.discard(key)
        return record

    async def _unload_adapter(
        self, record: EngineRecord, model: str, adapter: str
    ) -> bool:
        """Order the unload of an adapter; return whether its slot is free."""
        if not record.has_adapter(model, adapter):
            return False
        if not record.may_unload(model, adapter):
            return False
        await self._send_order(record, OrderOp.UNLOAD, model, adapter)
        return not record.has_adapter(model, adapter)

    async def execute_model_step(self, spec: ModelSpec, step: Step) -> None:
        """Order the load of a model, or the unload that makes room for it.

        Gives no order if the engine or the store can't take the order any more, or if
        the document in force has no such model there.

        Parameters
        ----------
        spec : ModelSpec
            The model when the step was decided on; that of the document in force is
            what is loaded.
        step : Step
        """
        record = step.record
        async with record.lock:
            if not self._is_current(record):
                return
            spec = record.find_model(spec.name)
            if spec is None:
                return
            now_ms = monotonic_ms()
            if not record.can_load_now(spec.name, step.load_priority, now_ms):
                return
            if step.unload_model:
                if not record.may_unload(step.unload_model):
                    return
                until_ms = now_ms + ROOM_RESERVATION_MS
                record.reserve_room(spec.name, step.load_priority, until_ms)
                self._log_placement(spec, step, now_ms)
                await self._send_order(record, OrderOp.UNLOAD, step.unload_model, "")
                return
            if record.free_mb < spec.weights_mb:
                return
            from_store = spec.name not in record.cached_models
            if from_store and not self._may_load_from_store(record, spec):
                return
            load_ms = record.estimate_load_ms(spec)
            if from_store:
                # Counted before the order, as an order without an answer may load too.
                self._store_budget.record_load(load_ms, now_ms)
            self._log_placement(spec, step, now_ms)
            await self._send_order(record, OrderOp.LOAD, spec.name, "", load_ms)

    def _is_current(self, record: EngineRecord) -> bool:
        """Return whether a record is still that of an engine of the document in force.

        Afterwards the record has its specification in that document.
        """
        self._fleet.follow_document()
        return self._fleet.has_record(record)

    def _log_placement(self, spec: ModelSpec, step: Step, now_ms: float) -> None:
        model_demand = self._demand.get(spec.name)
        get_logger().info(
            "placement_decided",
            model=spec.name,
            server=step.record.server.server_id,
            drops=step.unload_model,
            cost=round(step.cost, 2),
            waiting=round(model_demand.n_waiting, 2),
            in_flight=round(model_demand.n_in_flight, 1),
            held_up=model_demand.n_pending_lookups,
            report_age_ms=round(now_ms - step.record.report_read_ms),
        )

    def _may_send_orders(self, now_ms: float) -> bool:
        """Return whether this keeper leads and the quiet time of its term is over."""
        is_quiet_over = now_ms - self._term_start_ms >= self._parameters.order_quiet_ms
        return (
            self._can_act_as_leader(now_ms)
            and self._active_term == self._term()
            and is_quiet_over
        )

    def _may_load_from_store(self, record: EngineRecord, model: ModelSpec) -> bool:
        """Return whether one more load may be requested from the weight store now."""
        is_held = any(
            engine.is_available and model.name in engine.held
            for engine in self._fleet.list_engines(record.server.service)
        )
        if is_held:
            need = LoadNeed.COPY
        elif self._demand.get(model.name).n_callers >= POPULAR_MODEL_MIN_CALLERS:
            need = LoadNeed.MISSING
        else:
            need = LoadNeed.RARE
        available = [
            engine
            for engine in self._fleet.list_engines(record.server.service)
            if engine.is_available
        ]
        return self._store_budget.allows_load(
            record.spec, need, monotonic_ms(), len(available)
        )

    async def _send_order(
        self,
        record: EngineRecord,
        op: OrderOp,
        model: str,
        adapter: str,
        duration_ms: float = 0.0,
    ) -> bool:
        """Send one order; return whether the engine accepted the order.

        The caller holds the record's lock.
        """
        now_ms = monotonic_ms()
        if not self._may_send_orders(now_ms) or record.sequence is None:
            return False
        if not self._is_current(record):
            return False
        if op is OrderOp.LOAD and record.find_model(model) is None:
            return False
        server_id = record.server.server_id
        next_order_ms = self._turns.get_next_order_ms(server_id)
        if now_ms < max(record.held_off_until_ms, record.next_call_ms, next_order_ms):
            return False
        order = EngineOrder(
            op,
            model,
            adapter,
            record.sequence,
            self._parameters.keeper_id,
            self._term(),
        )
        self._turns.record_order(server_id, order.fencing_token, now_ms)
        self._fleet.record_call(record, now_ms)
        try:
            answer = await self._client.order(record.server, order)
        except anyio.get_cancelled_exc_class():
            self._fleet.record_late_order(record, order, monotonic_ms())
            raise
        finally:
            self._turns.record_order(server_id, order.fencing_token, monotonic_ms())
        log = get_logger()
        outcome = "no-answer" if isinstance(answer, Err) else answer.unwrap().value
        self._metrics.count("orders_total", op=op.value, outcome=outcome)
        log.info(
            "order_given",
            server=record.server.server_id,
            op=op.value,
            model=model,
            adapter=adapter,
            sequence=order.expected_sequence,
            term=order.fencing_token,
            outcome=outcome,
            cached=not adapter and model in record.cached_models,
            reason=answer.failure().message if isinstance(answer, Err) else "",
        )
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.DONE):
            is_done = outcome == OrderOutcome.DONE
            record.apply_accepted_order(
                op, model, adapter, duration_ms, monotonic_ms(), is_done
            )
            if is_done and not adapter:
                record.sequence = None  # the next report tells if the order counted
            return True
        if isinstance(answer, Err) and answer.failure().retry_after_ms:
            record.hold_off(monotonic_ms() + answer.failure().retry_after_ms)
        # The state of the engine is unknown until its next report.
        record.sequence = None
        if isinstance(answer, Err):
            self._fleet.record_late_order(record, order, monotonic_ms())
        return False
