"""Records what the leader knows of one engine, up to its last accepted order."""

import math
from collections.abc import Sequence
from typing import NamedTuple

import anyio

from ...listing import ListedServer, make_holding_key
from ...routes import EngineSpec, ModelSpec
from ...server_limits import count_rate
from ._late_orders import find_late_loads
from ._orders import EngineOrder, EngineReport, OrderOp

__all__ = ["N_FAILED_READS_LOST", "TYPICAL_UNLOAD_MS", "EngineRecord"]

# An unload ends when the model's running requests end; most streams have ended after
# this time.
TYPICAL_UNLOAD_MS = 1_000.0
# Assumed remaining time of a load that takes longer than estimated; the actual
# remaining time is unknown.
OVERDUE_LOAD_MS = 300.0
# Time for which the next load of an engine is reserved for a model: longer than the
# usual interval between two rounds of planning, each of which reserves it again.
NEXT_LOAD_RESERVATION_MS = 150.0
# Part of a limited server's rate that the calls of the leader may take.
OWN_CALL_SHARE = 0.5
# Longest time between two calls of the leader to a limited server, which must notice
# that the server is lost or idle.
MAX_CALL_INTERVAL_MS = 5_000.0
# Ratio of the load priority of one model to that of the model for which an engine was
# reserved first, from which the engine is taken over. Models with similar priorities
# would take the engine from each other.
RESERVATION_OVERRIDE_RATIO = 2.0
# Failed reads of a report in a row from which an engine counts as lost. One report may
# be lost on its way; an engine that is down gives none.
N_FAILED_READS_LOST = 2
# Time after an order answered DONE for which older reports are ignored: several times
# the age of reports. A later report that seems older shows that the engine did not
# count the order.
UNCOUNTED_ORDER_MS = 1_000.0
# The same time if the next order had no answer. Its number may be too high, and the
# engine would still carry it out if further orders raised the engine's number. Much
# longer than an order stays on its way.
LOST_ORDER_MS = 60_000.0


class _Reservation(NamedTuple):
    """A model for which an engine is reserved until some time.

    Parameters
    ----------
    model : str
    load_priority : float
        Waiting requests that the model's load is worth.
    until_ms : float
    """

    model: str
    load_priority: float
    until_ms: float

    def allows(self, model: str, load_priority: float, now_ms: float) -> bool:
        """Return whether a model with this load priority may use the engine."""
        is_free = model == self.model or now_ms >= self.until_ms
        return (
            is_free
            or load_priority > RESERVATION_OVERRIDE_RATIO * self.load_priority + 1
        )


_NO_RESERVATION = _Reservation("", 0.0, 0.0)


class EngineRecord:
    """What the leader knows about one run of an engine, from its start to its end.

    Each order carries the record's `sequence`, and the engine refuses the order if its
    own sequence number differs. The memory use in the record is therefore exact at the
    moment at which the engine carries out an order.

    Parameters
    ----------
    server : ListedServer
    spec : EngineSpec
    next_order_ms : float

    Attributes
    ----------
    sequence : int or None
        Orders that the engine has accepted; None while the record is out of date.
    held : dict of str to set of str
        Adapters by model, including those being loaded or unloaded.
    cached_models : frozenset of str
        Models whose weights the host keeps in memory or on disk.
    loading_model, unloading_model : str
        Model of the order in progress; empty for none.
    load_started_ms : dict of str to float
        When each model's last load was accepted.
    loading_adapters, unloading_adapters : set of tuple of str
        Model and name of adapters that are being loaded or unloaded.
    held_off_until_ms : float
        Until when the engine gets neither orders nor report requests, as it asked to
        pause.
    next_order_ms : float
        Earliest time of the next order, where another keeper has led in between.
    next_call_ms : float
        Earliest time of the next order or report request, by the engine's limit.
    is_short : bool
        Whether the engine has named a limit and entries ask for more than that.
    late_orders : sequence of EngineOrder
        Orders to this run or an earlier one that the engine may still carry out.
    lock : anyio.Lock
        Held while an order or a report is on its way.
    """

    def __init__(
        self,
        server: ListedServer,
        spec: EngineSpec,
        next_order_ms: float = -math.inf,
    ):
        self.server = server
        self.next_order_ms = next_order_ms
        self.next_call_ms = -math.inf
        self.is_short = False
        self._call_interval_ms = 0.0
        self.set_spec(spec)
        self.sequence: int | None = None
        self._min_sequence = 0  # delayed reports may show an older state
        # Orders that the engine is known to have counted, and from when older reports
        # are compared with these only.
        self._counted_sequence = 0
        self._counted_only_from_ms = 0.0
        self.held: dict[str, set[str]] = {}
        self.cached_models: frozenset[str] = frozenset()
        self.is_busy = False
        self.busy_until_ms = 0.0
        self.loading_model = ""
        self.unloading_model = ""
        self.load_started_ms: dict[str, float] = {}
        self.report_read_ms = 0.0
        self.n_failed_reads = 0
        self.loading_adapters: set[tuple[str, str]] = set()
        self.unloading_adapters: set[tuple[str, str]] = set()
        self._next_load_reservation = _NO_RESERVATION
        self._room_reservation = _NO_RESERVATION
        self.n_running = 0
        self.n_queued = 0
        self.kv_share = 0.0
        self._reports_leaving = False
        self.held_off_until_ms = 0.0
        self.late_orders: Sequence[EngineOrder] = ()
        self.lock = anyio.Lock()

    def set_spec(self, spec: EngineSpec) -> None:
        """Use the engine's specification in the document in force."""
        self.spec = spec
        self._specs = {model.name: model for model in spec.models}

    def find_model(self, name: str) -> ModelSpec | None:
        """Return a model that the engine may load; None for any other name."""
        return self._specs.get(name)

    @property
    def is_synced(self) -> bool:
        """Whether the record is up to date, so that orders can rely on it."""
        return self.sequence is not None

    @property
    def is_leaving(self) -> bool:
        """Whether the engine is about to stop, by the list or by its own report."""
        return self.server.is_leaving or self._reports_leaving

    @property
    def is_lost(self) -> bool:
        """Whether the engine seems to be down though it is still listed."""
        return self.n_failed_reads >= N_FAILED_READS_LOST

    @property
    def is_available(self) -> bool:
        """Whether requests may rely on the engine.

        It is neither leaving nor lost, and its limit, if any, suffices.
        """
        return not self.is_leaving and not self.is_lost and not self.is_short

    @property
    def is_usable(self) -> bool:
        """Whether the record is up to date and the engine idle, staying and not lost.

        Does not check whether the engine has asked to pause; see `may_be_ordered`.
        """
        return self.is_synced and not self.is_busy and self.is_available

    def may_be_ordered(self, now_ms: float) -> bool:
        """Return whether the engine wants orders now and this keeper may give any."""
        return now_ms >= max(
            self.held_off_until_ms, self.next_order_ms, self.next_call_ms
        )

    def set_limit(self, rate_per_s: float | None, is_short: bool) -> None:
        """Apply the limit of requests per second that the engine has named."""
        self.is_short = is_short
        self._call_interval_ms = 0.0
        if rate_per_s is not None:
            self._call_interval_ms = min(
                MAX_CALL_INTERVAL_MS, 1000 / (OWN_CALL_SHARE * count_rate(rate_per_s))
            )

    @property
    def is_limited(self) -> bool:
        """Whether the engine has named a limit."""
        return self._call_interval_ms > 0

    def record_call(self, now_ms: float) -> None:
        """Record an order or a report request, which a limit counts too."""
        if self.is_limited:
            self.next_call_ms = now_ms + self._call_interval_ms

    def get_report_interval_ms(self, interval_ms: float) -> float:
        """Return the interval between two reads of the report.

        A limited engine is read less often, so that orders come to it in between.
        """
        return max(interval_ms, 2 * self._call_interval_ms)

    def estimate_busy_ms(self, now_ms: float) -> float:
        """Return the estimated remaining time of the engine's present order."""
        if not self.is_busy:
            return 0.0
        min_ms = OVERDUE_LOAD_MS if self.loading_model else TYPICAL_UNLOAD_MS
        return max(self.busy_until_ms - now_ms, min_ms)

    def estimate_load_ms(self, model: ModelSpec) -> float:
        """Return the estimated time of a model's load on this engine."""
        is_cached = model.name in self.cached_models
        return 1000 * (model.disk_load_s if is_cached else model.load_time_s)

    def hold_off(self, until_ms: float) -> None:
        """Record until when the engine wants neither orders nor report requests.

        The engine asked this host or another one to pause.
        """
        self.held_off_until_ms = max(self.held_off_until_ms, until_ms)

    def estimate_reload_ms(self, name: str) -> float:
        """Return the time of loading a held model again after an unload."""
        spec = self._specs.get(name)
        return 1000 * spec.disk_load_s if spec is not None else 0.0

    def reserve_next_load(
        self, model: str, load_priority: float, now_ms: float
    ) -> None:
        """Reserve the engine's next load for a model that waits for the present order.

        Only one model can be loaded next, so other models use other engines meanwhile,
        unless their loads are worth much more.
        """
        self._next_load_reservation = _Reservation(
            model, load_priority, now_ms + NEXT_LOAD_RESERVATION_MS
        )

    def reserve_room(self, model: str, load_priority: float, until_ms: float) -> None:
        """Reserve the room that is being made for a model."""
        self._room_reservation = _Reservation(model, load_priority, until_ms)

    def is_reserved_for(self, model: str, now_ms: float) -> bool:
        """Return whether room is being made on this engine for a model."""
        return (
            self._room_reservation.model == model
            and now_ms < self._room_reservation.until_ms
        )

    def get_reserved_model(self, now_ms: float) -> str:
        """Return the model that room is being made for; empty for none."""
        return (
            self._room_reservation.model
            if now_ms < self._room_reservation.until_ms
            else ""
        )

    def can_load_now(self, model: str, load_priority: float, now_ms: float) -> bool:
        """Return whether the engine may be ordered to load a model now."""
        return self.is_usable and self.may_load_next(model, load_priority, now_ms)

    def may_load_next(self, model: str, load_priority: float, now_ms: float) -> bool:
        """Return whether the engine may load a model after its present order.

        Room that was made for one model is not given to another model meanwhile, unless
        the load of the other model is worth much more.

        Parameters
        ----------
        model : str
        load_priority : float
            Waiting requests that the load is worth.
        now_ms : float
        """
        if (
            not self.is_synced
            or not self.is_available
            or not self.may_be_ordered(now_ms)
        ):
            return False
        if model in self.held:
            return False
        return all(
            reservation.allows(model, load_priority, now_ms)
            for reservation in (self._next_load_reservation, self._room_reservation)
        )

    @property
    def is_batch_full(self) -> bool:
        """Whether all slots of the batch were taken at the last report."""
        return self.n_queued > 0 or self.n_running >= self.spec.n_slots

    @property
    def n_adapters(self) -> int:
        """Adapters that are held or being loaded."""
        return sum(len(adapters) for adapters in self.held.values())

    @property
    def free_mb(self) -> float:
        """Free memory for further weights and adapters, after the next order.

        If the engine then has the number that a late order expects, it keeps room for
        that.
        """
        return self.spec.weights_mb - self.compute_used_mb() - self.compute_late_mb()

    def compute_late_mb(self) -> float:
        """Return the memory that a late order may take right after the next order."""
        late_mb = (
            self._compute_part_mb(order.model, bool(order.adapter))
            for order in self._list_late_loads()
        )
        return max(late_mb, default=0.0)

    def _list_late_loads(self) -> list[EngineOrder]:
        next_sequence = None if self.sequence is None else self.sequence + 1
        return [
            order
            for order in find_late_loads(self.late_orders, next_sequence)
            if order.adapter not in self.held.get(order.model, ())
            and (order.adapter or order.model not in self.held)
        ]

    def _compute_part_mb(self, model: str, is_adapter: bool) -> float:
        """Return the memory of weights or of an adapter; all of it if unknown."""
        spec = self._specs.get(model)
        if spec is None:
            return self.spec.weights_mb
        return spec.adapter_size_mb if is_adapter else spec.weights_mb

    def may_unload(self, model: str, adapter: str = "") -> bool:
        """Return whether a late order has enough memory after an unload."""
        if not self._list_late_loads():
            return True
        if adapter:
            return self.free_mb + self._compute_part_mb(model, is_adapter=True) >= 0
        return self.free_mb + self.compute_model_mb(model) >= 0

    def compute_used_mb(self) -> float:
        """Return the memory of models and adapters, including those being loaded."""
        return sum(map(self.compute_model_mb, self.held))

    def compute_model_mb(self, name: str) -> float:
        """Return the memory of a held model with its adapters."""
        spec = self._specs.get(name)
        if spec is None:
            return self.spec.weights_mb
        return spec.weights_mb + len(self.held[name]) * spec.adapter_size_mb

    def has_adapter_slot(self, model: str) -> bool:
        """Return whether one more adapter of a model fits, by number and by memory."""
        size_mb = self._compute_part_mb(model, is_adapter=True)
        has_late_load = any(order.adapter for order in self._list_late_loads())
        is_free = self.n_adapters + has_late_load < self.spec.max_adapters
        return is_free and self.free_mb >= size_mb

    def has_adapter(self, model: str, adapter: str) -> bool:
        """Return whether an adapter takes one of the slots, ready or not."""
        return adapter in self.held.get(model, ())

    def list_adapter_keys(self) -> list[tuple[str, str]]:
        """Return model and adapter of each slot that is taken, in a fixed order."""
        return [
            (name, adapter)
            for name, held in self.held.items()
            for adapter in sorted(held)
        ]

    def can_serve(self, model: str, adapter: str = "") -> bool:
        """Return whether a request for a model or an adapter can be served."""
        if model not in self.held or model in (
            self.loading_model,
            self.unloading_model,
        ):
            return False
        if not adapter:
            return True
        key = (model, adapter)
        is_changing = key in self.loading_adapters or key in self.unloading_adapters
        return adapter in self.held[model] and not is_changing

    def list_ready_keys(self) -> tuple[str, ...]:
        """Return the sorted keys of the models and adapters that can be served."""
        service = self.server.service
        return tuple(
            sorted(
                make_holding_key(service, model, adapter)
                for model, adapters in self.held.items()
                if self.can_serve(model)
                for adapter in ("", *adapters)
                if self.can_serve(model, adapter)
            )
        )

    def apply_report(self, report: EngineReport, now_ms: float) -> bool:
        """Apply a report unless it is older than the last accepted order.

        An order answered DONE that the engine did not count makes reports seem older
        only for a time.
        """
        self.n_failed_reads = 0
        self.n_running = report.n_running
        self.n_queued = report.n_queued
        self.kv_share = report.kv_share
        self._reports_leaving = self._reports_leaving or report.is_leaving
        min_sequence = (
            self._min_sequence
            if now_ms < self._counted_only_from_ms
            else self._counted_sequence
        )
        if report.sequence < min_sequence:
            return False
        self.sequence = self._min_sequence = report.sequence
        self._counted_sequence = report.sequence
        self.is_busy = report.is_busy
        held = {model.name: set(model.adapters) for model in report.models}
        for model, adapter in report.pending:
            held.setdefault(model, set()).add(adapter)
        if self.loading_model and report.is_busy:
            held.setdefault(self.loading_model, set())
        if not report.is_busy:
            self.loading_model = ""
            self.unloading_model = ""
            self.unloading_adapters.clear()
        self.held = held
        self.cached_models = report.cached
        self.report_read_ms = now_ms
        return True

    def apply_accepted_order(
        self,
        op: OrderOp,
        model: str,
        adapter: str,
        duration_ms: float,
        now_ms: float,
        is_done: bool = False,
    ) -> None:
        """Apply an order that the engine has accepted or carried out.

        An adapter in use is unloaded when its running requests have ended. Until then
        the adapter keeps its slot and gets no further request, and the engine takes no
        further order.
        """
        self.sequence = self._min_sequence = (self.sequence or 0) + 1
        if is_done:
            self._counted_only_from_ms = now_ms + UNCOUNTED_ORDER_MS
        else:
            self._counted_sequence = self.sequence
        if adapter:
            adapters = self.held.setdefault(model, set())
            if op is OrderOp.LOAD:
                adapters.add(adapter)
            elif is_done:
                adapters.discard(adapter)
            else:
                self.unloading_adapters.add((model, adapter))
                self.is_busy = True
                self.busy_until_ms = now_ms
            return
        self.is_busy = True
        self.busy_until_ms = now_ms + duration_ms
        if op is OrderOp.LOAD:
            self.held.setdefault(model, set())
            self.loading_model = model
            self._room_reservation = _NO_RESERVATION
            self.load_started_ms[model] = now_ms
        else:
            self.unloading_model = model

    def record_lost_order(self, now_ms: float) -> None:
        """Record that an order may still be carried out, or may have been refused."""
        self.sequence = None
        if self._counted_sequence < self._min_sequence:
            self._counted_only_from_ms = now_ms + LOST_ORDER_MS
