"""Keeps the engines' models and adapters where requests need them."""

import math
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
import anyio.abc
from returns.result import Failure as Err

from ...kernel.channel import as_refused
from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code, failure
from ...kernel.logs import get_logger
from ...kernel.messages import (
    DemandSample,
    EntryReport,
    FleetLoad,
    HolderReply,
    HolderRequest,
    ServerView,
)
from ...kernel.metrics import Metrics
from ...listing import ListedServer, ListSource, as_view, listed_keys
from ...routes import ModelSpec, RouteDocument, ServiceSpec
from ._decide import (
    NO_DEMAND,
    ModelDemand,
    Step,
    adapter_step,
    copies_of,
    copy_step,
    missing_step,
    prior_demand,
)
from ._orders import EngineClient, EngineOrder, OrderOp, OrderOutcome
from ._record import LOST_READS, EngineRecord

__all__ = ["EngineController", "EngineTerms"]

LIST_MS = 600.0
STEP_MS = 50.0
# Entries choose by the load that reports tell; a queue forms within this time.
LOAD_MS = 450.0
# Requests that an engine without reports is told to have waiting: entries use it
# only where there is no other.
LOST_QUEUE = 10_000
RESYNC_MS = 60.0
# An adapter is on the engine this long after the order was accepted.
ADAPTER_LOAD_MS = 9.0
# Adapters on their way from the store at once; with more, each takes longer.
MAX_FAST_ADAPTERS = 16
RETRY_MS = 20.0
# A question is answered within this time, or the entry refuses its request.
FIND_TIMEOUT_MS = 4_000.0
# An unload waits for its runs; after this long another engine is looked for.
MAKE_ROOM_MS = 3_000.0
# A burst shorter than a load is over before a copy could serve it; demand that
# pauses comes back more often than not, and a dropped copy takes seconds to load.
DEMAND_RISE_MS = 1_000.0
DEMAND_FALL_MS = 5_000.0
# Until the entries' reports have shown the demand to a new leader.
PRIOR_MS = 4_000.0
# A model asked for within this time is likelier to be asked for again.
RECENT_MS = 20_000.0
SAMPLE_VALID_MS = 2_500.0


class EngineTerms(NamedTuple):
    """What orders have to keep to.

    Parameters
    ----------
    holder : str
        Name under which this keeper gives orders.
    store_window_ms : float
        Window in which loads from the weight store are counted.
    """

    holder: str
    store_window_ms: float = 5_000.0


class EngineController:
    """Gives orders while its keeper leads.

    Parameters
    ----------
    terms : EngineTerms
    source : ListSource
    client : EngineClient
    leads : callable
        Returns whether this keeper may act now, given the present time.
    term : callable
        Returns the term of the leadership.
    document : callable
        Returns the document in force, or None.
    metrics : Metrics
    """

    def __init__(
        self,
        terms: EngineTerms,
        source: ListSource,
        client: EngineClient,
        leads: Callable[[float], bool],
        term: Callable[[], int],
        document: Callable[[], RouteDocument | None],
        metrics: Metrics,
    ):
        self._terms = terms
        self._source = source
        self._client = client
        self._leads = leads
        self._term = term
        self._document = document
        self._metrics = metrics
        self._records: dict[str, EngineRecord] = {}
        self._listed: list[ListedServer] = []
        self._led_term = 0
        self._led_since_ms = 0.0
        self._listed_ms = 0.0
        self._asked_ms = 0.0
        self._samples: dict[str, tuple[float, tuple[DemandSample, ...]]] = {}
        self._demand: dict[str, ModelDemand] = {}
        self._asked_at_ms: dict[str, float] = {}
        self._used_ms: dict[tuple[str, str], float] = {}
        self._store_loads: deque[float] = deque()
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Act for as long as the process runs, whenever the keeper leads."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                now_ms = monotonic_ms()
                if self._leads(now_ms):
                    await self._round(now_ms)
                await anyio.sleep(STEP_MS / 1000)

    def load(self, now_ms: float) -> FleetLoad | None:
        """Return the engines' load; None before a list was read in this term."""
        if self._led_term != self._term() or not self._listed_ms:
            return None
        synced = [each for each in self._records.values() if each.is_synced]
        return FleetLoad(
            now_ms - self._listed_ms,
            tuple(each.server.server_id for each in synced),
            tuple(each.n_running for each in synced),
            tuple(LOST_QUEUE if e.is_lost else e.n_queued for e in synced),
        )

    def views(self) -> dict[str, ServerView]:
        """Return the listed servers with what they hold by the latest orders."""
        views = {}
        for server in self._listed:
            record = self._records.get(server.server_id)
            is_exact = record is not None and record.server.born_ms == server.born_ms
            if is_exact and record.sequence is not None:
                keys = record.ready_keys()
            else:
                keys = tuple(sorted(listed_keys(server)))
            views[server.server_id] = as_view(server, keys)
        return views

    def take_demand(self, report: EntryReport, now_ms: float) -> None:
        """Take in what an entry says of demand."""
        self._samples[report.entry_id] = (now_ms, report.demand)
        for sample in report.demand:
            if sample.in_flight or sample.arrivals_per_s:
                model = _model_of(sample)
                self._asked_at_ms[model] = now_ms
                adapter = sample.model.partition("/")[2]
                if adapter:
                    self._used_ms[model, adapter] = now_ms

    async def find(self, request: HolderRequest) -> Any:
        """Return a server that holds what an entry needs, loading it if need be."""
        service = self._service(request.service)
        spec = _model_spec(service, request.model)
        if spec is None:
            message = f"no model {request.model!r:.60} in {request.service}"
            return as_refused(failure(Code.NO_SUCH_MODEL, message))
        if request.adapter:
            self._used_ms[request.model, request.adapter] = monotonic_ms()
        with anyio.move_on_after(FIND_TIMEOUT_MS / 1000):
            while self._leads(monotonic_ms()):
                held = await self._provide(request, spec)
                if held is not None:
                    return HolderReply(held.server.server_id, held.ready_keys())
                await anyio.sleep(RETRY_MS / 1000)
        if not self._leads(monotonic_ms()):
            return as_refused(failure(Code.NOT_LEADER))
        message = f"{request.model}/{request.adapter}: no engine can take it"
        return as_refused(failure(Code.NO_REPLICA, message, retry_after_ms=500))

    async def _provide(
        self, request: HolderRequest, spec: ModelSpec
    ) -> EngineRecord | None:
        """Take one step towards a holder; return it when there is one."""
        records = self._of(request.service)
        staying = [e for e in records if not e.server.is_leaving and not e.is_lost]
        for each in staying:
            if each.holds(spec.name, request.adapter):
                return each
        holders = [each for each in staying if each.holds(spec.name)]
        now_ms = monotonic_ms()
        if not holders:
            step = self._missing_step(records, spec, now_ms)
            if step is not None:
                await self._take_model_step(spec, step)
            return None
        if any((spec.name, request.adapter) in each.in_transit for each in holders):
            return None
        step = adapter_step(holders, spec, {}, self._used_ms, now_ms)
        if step is None:
            return None
        return await self._take_adapter_step(request, step)

    def _missing_step(
        self, records: list[EngineRecord], spec: ModelSpec, now_ms: float
    ) -> Step | None:
        """Return the next step for a model that nobody holds yet."""
        if any(each.loading == spec.name for each in records):
            return None
        for each in records:
            if each.reserved_for == spec.name and now_ms < each.reserved_until_ms:
                return missing_step([each], spec, self._demand, now_ms)
        return missing_step(records, spec, self._demand, now_ms)

    async def _take_adapter_step(
        self, request: HolderRequest, step: Step
    ) -> EngineRecord | None:
        """Order an adapter and wait until it is there; None when it is not."""
        record = step.record
        key = (request.model, request.adapter)
        async with record.lock:
            if not record.is_usable or record.has(*key):
                return None
            if step.drop_adapter is not None and not await self._drop_adapter(
                record, *step.drop_adapter
            ):
                return None
            if record.n_adapters >= record.spec.max_adapters:
                return None
            record.in_transit.add(key)
            if not await self._order(record, OrderOp.LOAD, *key):
                record.in_transit.discard(key)
                return None
        try:
            n_in_transit = sum(len(e.in_transit) for e in self._records.values())
            slowed = max(1.0, n_in_transit / MAX_FAST_ADAPTERS)
            await anyio.sleep(ADAPTER_LOAD_MS * slowed / 1000)
        finally:
            record.in_transit.discard(key)
        return record

    async def _drop_adapter(
        self, record: EngineRecord, model: str, adapter: str
    ) -> bool:
        """Order an adapter away; return whether the order was accepted."""
        if not record.has(model, adapter):
            return False
        return await self._order(record, OrderOp.UNLOAD, model, adapter)

    async def _take_model_step(self, spec: ModelSpec, step: Step) -> None:
        record = step.record
        async with record.lock:
            now_ms = monotonic_ms()
            if not record.takes(spec.name, now_ms):
                return
            if step.drop_model:
                record.reserved_for = spec.name
                record.reserved_until_ms = now_ms + MAKE_ROOM_MS
                await self._order(record, OrderOp.UNLOAD, step.drop_model, "")
                return
            if record.free_mb < spec.weights_mb:
                return
            from_store = spec.name not in record.cached
            if from_store and not self._store_allows(record, monotonic_ms()):
                return
            if from_store:
                # Counted before the order: one without an answer may load too.
                self._store_loads.append(monotonic_ms())
            load_s = spec.load_time_s if from_store else spec.disk_load_s
            await self._order(record, OrderOp.LOAD, spec.name, "", load_s * 1000)

    def _store_allows(self, record: EngineRecord, now_ms: float) -> bool:
        """Return whether the weight store's rate allows one more load now."""
        window_ms = self._terms.store_window_ms
        while self._store_loads and self._store_loads[0] < now_ms - window_ms:
            self._store_loads.popleft()
        allowed = max(1, int(record.spec.loads_per_s * window_ms / 1000))
        # More at once than the rate allows would only slow each other down.
        longest_s = max(model.load_time_s for model in record.spec.models)
        n_under_way = sum(1 for each in self._records.values() if each.loading)
        at_once = math.ceil(record.spec.loads_per_s * longest_s)
        return len(self._store_loads) < allowed and n_under_way < at_once

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
        if not self._leads(now_ms) or record.sequence is None:
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
            record.accepted(op, model, adapter, takes_ms, monotonic_ms())
            if outcome == OrderOutcome.DONE and not adapter:
                record.sequence = None  # whether it counted is for the report to say
            return True
        # What the engine holds now is unknown until its next report.
        record.sequence = None
        return False

    async def _round(self, now_ms: float) -> None:
        if self._term() != self._led_term:
            self._led_term = self._term()
            self._led_since_ms = now_ms
            self._records.clear()
            self._samples.clear()
            self._store_loads.clear()
            self._listed = []
            self._asked_ms = self._listed_ms = 0.0
        if now_ms - self._asked_ms > LIST_MS:
            self._asked_ms = now_ms
            listed = await self._source.read()
            if isinstance(listed, Err):
                reason = listed.failure().message
                get_logger().warning("list_not_read", reason=reason)
            else:
                self._listed_ms = now_ms
                self._take_list(listed.unwrap())
        self._update_demand(now_ms)
        async with anyio.create_task_group() as tasks:
            for record in list(self._records.values()):
                if self._needs_report(record, now_ms):
                    tasks.start_soon(self._sync, record)
        await self._add_copies(monotonic_ms())

    def _take_list(self, listed: list[ListedServer]) -> None:
        document = self._document()
        specs = {s.name: s.engine for s in document.services} if document else {}
        found: dict[str, EngineRecord] = {}
        for server in listed:
            spec = specs.get(server.service)
            if spec is None:
                continue
            record = self._records.get(server.server_id)
            if record is None or record.server.born_ms != server.born_ms:
                record = EngineRecord(server, spec)
            record.server = server
            record.spec = spec
            found[server.server_id] = record
        self._records = found
        self._listed = listed

    def _needs_report(self, record: EngineRecord, now_ms: float) -> bool:
        if record.lock.locked():
            return False
        if record.is_lost:
            return now_ms - record.read_at_ms > LOAD_MS
        if not record.is_synced or record.n_failed_reads:
            return now_ms - record.read_at_ms > RESYNC_MS
        if record.is_busy:
            return now_ms > record.busy_until_ms
        return now_ms - record.read_at_ms > LOAD_MS

    async def _sync(self, record: EngineRecord) -> None:
        """Read a report; an engine that gives none is left alone until it does."""
        async with record.lock:
            read = await self._client.report(record.server)
            now_ms = monotonic_ms()
            record.read_at_ms = now_ms
            if isinstance(read, Err):
                record.n_failed_reads += 1
                reason = read.failure().message
                if record.n_failed_reads <= LOST_READS:
                    get_logger().info(
                        "report_not_read",
                        server=record.server.server_id,
                        reason=reason,
                        lost=record.is_lost,
                    )
                return
            report = read.unwrap()
            born_ms = record.server.born_ms
            if report.born_ms and born_ms and report.born_ms != born_ms:
                return  # another life than the one that the list showed
            record.take_report(report, now_ms)

    def _update_demand(self, now_ms: float) -> None:
        """Smooth what the entries' reports say of each model."""
        waiting: dict[str, float] = {}
        in_flight: dict[str, float] = {}
        for entry_id, (at_ms, samples) in list(self._samples.items()):
            if now_ms - at_ms > SAMPLE_VALID_MS:
                del self._samples[entry_id]
                continue
            for sample in samples:
                model = _model_of(sample)
                waiting[model] = waiting.get(model, 0.0) + sample.waiting
                in_flight[model] = in_flight.get(model, 0.0) + sample.in_flight
        if now_ms - self._led_since_ms < PRIOR_MS:
            for model, expected in prior_demand(
                copies_of(self._records.values())
            ).items():
                self._asked_at_ms.setdefault(model, now_ms)
                waiting[model] = max(expected, waiting.get(model, 0.0))
        for model in self._asked_at_ms:
            held = self._demand.get(model, NO_DEMAND)
            seen = waiting.get(model, 0.0)
            time_ms = DEMAND_RISE_MS if seen > held.waiting else DEMAND_FALL_MS
            age_ms = now_ms - self._asked_at_ms[model]
            self._demand[model] = ModelDemand(
                held.waiting + STEP_MS / time_ms * (seen - held.waiting),
                held.in_flight
                + STEP_MS
                / DEMAND_RISE_MS
                * (in_flight.get(model, 0.0) - held.in_flight),
                max(0.0, 1.0 - age_ms / RECENT_MS),
            )

    async def _add_copies(self, now_ms: float) -> None:
        document = self._document()
        for service in document.services if document else ():
            if service.engine is None:
                continue
            records = self._of(service.name)
            found = copy_step(records, service.engine.models, self._demand, now_ms)
            if found is not None and self._tasks is not None:
                self._tasks.start_soon(self._take_model_step, *found)

    def _of(self, service: str) -> list[EngineRecord]:
        return [
            each for each in self._records.values() if each.server.service == service
        ]

    def _service(self, name: str) -> ServiceSpec | None:
        document = self._document()
        return document.service(name) if document else None


def _model_spec(service: ServiceSpec | None, model: str) -> ModelSpec | None:
    if service is None or service.engine is None:
        return None
    return next((m for m in service.engine.models if m.name == model), None)


def _model_of(sample: DemandSample) -> str:
    """Return the model that a sample is about; empty for a plain service."""
    return sample.model.partition("|")[2].partition("/")[0]
