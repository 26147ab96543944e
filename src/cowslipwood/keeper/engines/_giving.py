"""Gives orders to engines, and keeps the leader's records in step with them."""

from collections.abc import Callable
from typing import NamedTuple

import anyio
from returns.result import Failure as Err

from ...kernel.clock import monotonic_ms
from ...kernel.logs import get_logger
from ...kernel.metrics import Metrics
from ...routes import ModelSpec
from ._decide import BUSY_IN_FLIGHT
from ._demand import DemandTracker
from ._fleet import Fleet
from ._orders import EngineClient, EngineOrder, OrderOp, OrderOutcome
from ._record import EngineRecord
from ._step import Step
from ._store import LoadNeed, StoreBudget

__all__ = ["EngineTerms", "OrderGiver"]

# An adapter is on the engine this long after the order was accepted.
ADAPTER_LOAD_MS = 9.0
# Adapters on their way from the store at once; with more, each takes longer.
MAX_FAST_ADAPTERS = 16
# An unload waits for its runs; after this long another engine is looked for.
MAKE_ROOM_MS = 3_000.0


class EngineTerms(NamedTuple):
    """What orders have to keep to.

    Parameters
    ----------
    holder : str
        Name under which this keeper gives orders.
    store_window_ms : float
        Window in which loads from the weight store are counted.
    quiet_ms : float
        How long a new leader gives no order, where engines do not check fencing
        tokens: an order of the leader before may still be on its way.
    """

    holder: str
    store_window_ms: float = 5_000.0
    quiet_ms: float = 0.0


class OrderGiver:
    """Takes the steps that were decided on.

    Parameters
    ----------
    terms : EngineTerms
    client : EngineClient
    leads : callable
        Returns whether this keeper may act now, given the present time.
    term : callable
        Returns the term of the leadership.
    fleet : Fleet
    demand : DemandTracker
    metrics : Metrics
    """

    def __init__(
        self,
        terms: EngineTerms,
        client: EngineClient,
        leads: Callable[[float], bool],
        term: Callable[[], int],
        fleet: Fleet,
        demand: DemandTracker,
        metrics: Metrics,
    ):
        self._terms = terms
        self._client = client
        self._leads = leads
        self._term = term
        self._fleet = fleet
        self._demand = demand
        self._metrics = metrics
        self._store = StoreBudget(terms.store_window_ms)
        self._begun_term = 0
        self._begun_ms = 0.0

    def begin(self, term: int, now_ms: float) -> None:
        """Begin to give orders for a leadership."""
        self._begun_term = term
        self._begun_ms = now_ms
        self._store.clear()

    async def take_adapter_step(
        self, model: str, adapter: str, step: Step
    ) -> EngineRecord | None:
        """Order an adapter and wait until it is there; None when it is not."""
        record = step.record
        key = (model, adapter)
        async with record.lock:
            if not record.is_usable or record.has(*key):
                return None
            if step.drop_adapter is not None and not await self._drop_adapter(
                record, *step.drop_adapter
            ):
                return None
            if not record.has_place(model):
                return None
            record.in_transit.add(key)
            if not await self._order(record, OrderOp.LOAD, *key):
                record.in_transit.discard(key)
                return None
        try:
            n_in_transit = sum(len(e.in_transit) for e in self._fleet.records.values())
            slowed = max(1.0, n_in_transit / MAX_FAST_ADAPTERS)
            await anyio.sleep(ADAPTER_LOAD_MS * slowed / 1000)
        finally:
            record.in_transit.discard(key)
        return record

    async def _drop_adapter(
        self, record: EngineRecord, model: str, adapter: str
    ) -> bool:
        """Order an adapter away; return whether its place is free."""
        if not record.has(model, adapter):
            return False
        await self._order(record, OrderOp.UNLOAD, model, adapter)
        return not record.has(model, adapter)

    async def take_model_step(self, spec: ModelSpec, step: Step) -> None:
        record = step.record
        async with record.lock:
            now_ms = monotonic_ms()
            if not record.takes(spec.name, step.n_callers, now_ms):
                return
            if step.drop_model:
                until_ms = now_ms + MAKE_ROOM_MS
                record.reserve_for(spec.name, step.n_callers, until_ms)
                self._log_placement(spec, step, now_ms)
                await self._order(record, OrderOp.UNLOAD, step.drop_model, "")
                return
            if record.free_mb < spec.weights_mb:
                return
            from_store = spec.name not in record.cached
            if from_store and not self._store_allows(record, spec):
                return
            load_ms = record.load_ms(spec)
            if from_store:
                # Counted before the order: one without an answer may load too.
                self._store.take(load_ms, now_ms)
            self._log_placement(spec, step, now_ms)
            await self._order(record, OrderOp.LOAD, spec.name, "", load_ms)

    def _log_placement(self, spec: ModelSpec, step: Step, now_ms: float) -> None:
        wanted = self._demand.get(spec.name)
        get_logger().info(
            "placement_decided",
            model=spec.name,
            server=step.record.server.server_id,
            drops=step.drop_model,
            cost=round(step.cost, 2),
            waiting=round(wanted.n_waiting, 2),
            in_flight=round(wanted.n_in_flight, 1),
            held_up=wanted.n_pending_lookups,
            report_age_ms=round(now_ms - step.record.read_at_ms),
        )

    def _may_order(self, now_ms: float) -> bool:
        """Return whether this keeper leads and the leader before has gone quiet."""
        is_quiet_over = now_ms - self._begun_ms >= self._terms.quiet_ms
        return (
            self._leads(now_ms) and self._begun_term == self._term() and is_quiet_over
        )

    def _store_allows(self, record: EngineRecord, model: ModelSpec) -> bool:
        """Return whether the weight store may be asked for one more load now."""
        is_held = any(
            each.stays and model.name in each.held
            for each in self._fleet.of(record.server.service)
        )
        if is_held:
            need = LoadNeed.COPY
        elif self._demand.get(model.name).n_callers >= BUSY_IN_FLIGHT:
            need = LoadNeed.MISSING
        else:
            need = LoadNeed.RARE
        staying = [e for e in self._fleet.of(record.server.service) if e.stays]
        return self._store.allows(record.spec, need, monotonic_ms(), len(staying))

    async def _order(
        self,
        record: EngineRecord,
        op: OrderOp,
        model: str,
        adapter: str,
        takes_ms: float = 0.0,
    ) -> bool:
        """Give one order under the record's lock; return whether it was accepted."""
        now_ms = monotonic_ms()
        if not self._may_order(now_ms) or record.sequence is None:
            return False
        if now_ms < record.held_off_until_ms:
            return False
        order = EngineOrder(
            op, model, adapter, record.sequence, self._terms.holder, self._term()
        )
        ended = await self._client.order(record.server, order)
        log = get_logger()
        outcome = "no-answer" if isinstance(ended, Err) else ended.unwrap().value
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
            cached=not adapter and model in record.cached,
            reason=ended.failure().message if isinstance(ended, Err) else "",
        )
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.DONE):
            is_over = outcome == OrderOutcome.DONE
            record.accepted(op, model, adapter, takes_ms, monotonic_ms(), is_over)
            if is_over and not adapter:
                record.sequence = None  # whether it counted is for the report to say
            return True
        if isinstance(ended, Err) and ended.failure().retry_after_ms:
            record.hold_off(monotonic_ms() + ended.failure().retry_after_ms)
        # What the engine holds now is unknown until its next report.
        record.sequence = None
        return False
