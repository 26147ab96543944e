"""What the leader knows of one engine, exact up to its last accepted order."""

from typing import NamedTuple

import anyio

from ...listing import ListedServer, holding_key
from ...routes import EngineSpec, ModelSpec
from ._orders import EngineReport, OrderOp

__all__ = ["N_FAILED_READS_LOST", "TYPICAL_UNLOAD_MS", "EngineRecord"]

# An unload ends with its model's runs; most streams have ended after this time.
TYPICAL_UNLOAD_MS = 1_000.0
# A load that takes longer than it should is over after an unknown time.
OVERDUE_LOAD_MS = 300.0
# Longer than the pause between two looks of a question that waits for the engine.
CLAIM_MS = 150.0
# How many times the callers of one model those of another must be to take an engine
# that the first awaits: models of about as many would take it from each other.
CLAIM_OVERRIDE_RATIO = 2.0
# One report may be lost on its way; an engine that is down gives none.
N_FAILED_READS_LOST = 2


class _Claim(NamedTuple):
    """A model for which an engine is kept until some time."""

    model: str
    n_callers: float
    until_ms: float

    def allows(self, model: str, n_callers: float, now_ms: float) -> bool:
        """Return whether another model with so many callers may have the engine."""
        is_over = model == self.model or now_ms >= self.until_ms
        return is_over or n_callers > CLAIM_OVERRIDE_RATIO * self.n_callers + 1


_NO_CLAIM = _Claim("", 0.0, 0.0)


class EngineRecord:
    """One life of one engine.

    Orders name the sequence that this record stands for, so what it says of
    memory holds at the moment at which an order is carried out.

    Parameters
    ----------
    server : ListedServer
    spec : EngineSpec
    """

    def __init__(self, server: ListedServer, spec: EngineSpec):
        self.server = server
        self.set_spec(spec)
        self.sequence: int | None = None
        self._least_sequence = 0  # reports that lag may tell of a state before it
        self.held: dict[str, set[str]] = {}
        self.cached: frozenset[str] = frozenset()
        self.is_busy = False
        self.busy_until_ms = 0.0
        self.loading = ""
        self.unloading = ""
        self.load_started_ms: dict[str, float] = {}
        self.report_read_ms = 0.0
        self.n_failed_reads = 0
        self.loading_adapters: set[tuple[str, str]] = set()
        self.unloading_adapters: set[tuple[str, str]] = set()
        self._claim = _NO_CLAIM
        self._reservation = _NO_CLAIM
        self.n_running = 0
        self.n_queued = 0
        self.kv_share = 0.0
        self._reports_leaving = False
        self.held_off_until_ms = 0.0
        self.lock = anyio.Lock()

    def set_spec(self, spec: EngineSpec) -> None:
        """Take in what the document in force says of the engine."""
        self.spec = spec
        self._specs = {model.name: model for model in spec.models}

    @property
    def is_synced(self) -> bool:
        """Whether the record may be ordered by."""
        return self.sequence is not None

    @property
    def is_leaving(self) -> bool:
        """Whether the engine is about to stop, by the list or by its own word."""
        return self.server.is_leaving or self._reports_leaving

    @property
    def is_lost(self) -> bool:
        """Whether the engine seems to be down though it is still listed."""
        return self.n_failed_reads >= N_FAILED_READS_LOST

    @property
    def is_available(self) -> bool:
        """Whether requests may go on to count on the engine."""
        return not self.is_leaving and not self.is_lost

    @property
    def is_usable(self) -> bool:
        """Whether the engine may be given an order now."""
        return self.is_synced and not self.is_busy and self.is_available

    def estimate_busy_ms(self, now_ms: float) -> float:
        """Return for how long the engine is likely to carry out its order yet."""
        if not self.is_busy:
            return 0.0
        least_ms = OVERDUE_LOAD_MS if self.loading else TYPICAL_UNLOAD_MS
        return max(self.busy_until_ms - now_ms, least_ms)

    def estimate_load_ms(self, model: ModelSpec) -> float:
        """Return how long a load of a model takes here."""
        is_near = model.name in self.cached
        return 1000 * (model.disk_load_s if is_near else model.load_time_s)

    def hold_off(self, until_ms: float) -> None:
        """Ask it nothing until then, as it has told this host or another."""
        self.held_off_until_ms = max(self.held_off_until_ms, until_ms)

    def estimate_reload_ms(self, name: str) -> float:
        """Return how long a held model's load takes here once it has been dropped."""
        spec = self._specs.get(name)
        return 1000 * spec.disk_load_s if spec is not None else 0.0

    def claim(self, model: str, n_callers: float, now_ms: float) -> None:
        """Keep the engine for a model that waits for the end of its order.

        Others look elsewhere meanwhile, unless many more callers wait for them;
        only one of them could be the next.
        """
        self._claim = _Claim(model, n_callers, now_ms + CLAIM_MS)

    def reserve_room(self, model: str, n_callers: float, until_ms: float) -> None:
        """Keep the room that is being made for a model."""
        self._reservation = _Claim(model, n_callers, until_ms)

    def is_reserved_for(self, model: str, now_ms: float) -> bool:
        """Return whether room is being made here for a model."""
        return self._reservation.model == model and now_ms < self._reservation.until_ms

    def reserved_model(self, now_ms: float) -> str:
        """Return the model that room is being made for here; empty for none."""
        return self._reservation.model if now_ms < self._reservation.until_ms else ""

    def can_load(self, model: str, n_callers: float, now_ms: float) -> bool:
        """Return whether the engine may be ordered to load a model now."""
        return self.is_usable and self.may_load(model, n_callers, now_ms)

    def may_load(self, model: str, n_callers: float, now_ms: float) -> bool:
        """Return whether it may be, once it has carried out its present order.

        Room that was made for one model is not given to another meanwhile, unless
        many more callers wait for that.

        Parameters
        ----------
        model : str
        n_callers : float
            That wait for the model.
        now_ms : float
        """
        if (
            not self.is_synced
            or not self.is_available
            or now_ms < self.held_off_until_ms
        ):
            return False
        if model in self.held:
            return False
        return all(
            kept.allows(model, n_callers, now_ms)
            for kept in (self._claim, self._reservation)
        )

    @property
    def is_batch_full(self) -> bool:
        """Whether all places of its batch were taken at the last report."""
        return self.n_queued > 0 or self.n_running >= self.spec.n_slots

    @property
    def n_adapters(self) -> int:
        """Adapters held or on their way."""
        return sum(len(adapters) for adapters in self.held.values())

    @property
    def free_mb(self) -> float:
        """Room for further weights and adapters."""
        return self.spec.weights_mb - self.compute_used_mb()

    def compute_used_mb(self) -> float:
        """Return what models and adapters take, those on their way included."""
        return sum(map(self.compute_model_mb, self.held))

    def compute_model_mb(self, name: str) -> float:
        """Return what a held model takes with its adapters."""
        spec = self._specs.get(name)
        if spec is None:
            return self.spec.weights_mb
        return spec.weights_mb + len(self.held[name]) * spec.adapter_size_mb

    def has_adapter_slot(self, model: str) -> bool:
        """Return whether one more adapter of a model fits, by number and by room."""
        sizes = {spec.name: spec.adapter_size_mb for spec in self.spec.models}
        is_free = self.n_adapters < self.spec.max_adapters
        return is_free and self.free_mb >= sizes.get(model, self.spec.weights_mb)

    def has_adapter(self, model: str, adapter: str) -> bool:
        """Return whether an adapter takes one of the places, ready or not."""
        return adapter in self.held.get(model, ())

    def list_adapter_keys(self) -> list[tuple[str, str]]:
        """Return model and adapter of each place that is taken, in a fixed order."""
        return [
            (name, adapter)
            for name, held in self.held.items()
            for adapter in sorted(held)
        ]

    def can_serve(self, model: str, adapter: str = "") -> bool:
        """Return whether a request for it can be served."""
        if model not in self.held or model in (self.loading, self.unloading):
            return False
        if not adapter:
            return True
        key = (model, adapter)
        is_moving = key in self.loading_adapters or key in self.unloading_adapters
        return adapter in self.held[model] and not is_moving

    def list_ready_keys(self) -> tuple[str, ...]:
        """Return the keys of all that requests can be sent here for, sorted."""
        service = self.server.service
        return tuple(
            sorted(
                holding_key(service, model, adapter)
                for model, adapters in self.held.items()
                if self.can_serve(model)
                for adapter in ("", *adapters)
                if self.can_serve(model, adapter)
            )
        )

    def apply_report(self, report: EngineReport, now_ms: float) -> bool:
        """Adopt a report unless it is older than the last accepted order."""
        self.n_failed_reads = 0
        self.n_running = report.n_running
        self.n_queued = report.n_queued
        self.kv_share = report.kv_share
        self._reports_leaving = self._reports_leaving or report.is_leaving
        if report.sequence < self._least_sequence:
            return False
        self.sequence = self._least_sequence = report.sequence
        self.is_busy = report.is_busy
        held = {model.name: set(model.adapters) for model in report.models}
        for model, adapter in report.pending:
            held.setdefault(model, set()).add(adapter)
        if self.loading and report.is_busy:
            held.setdefault(self.loading, set())
        if not report.is_busy:
            self.loading = ""
            self.unloading = ""
            self.unloading_adapters.clear()
        self.held = held
        self.cached = report.cached
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
        """Take in that the engine accepted an order, or that it is carried out.

        An adapter in use goes when its runs have ended. Until then it takes its
        place, gets no request, and the engine takes no further order.
        """
        self.sequence = self._least_sequence = (self.sequence or 0) + 1
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
            self.loading = model
            self._reservation = _NO_CLAIM
            self.load_started_ms[model] = now_ms
        else:
            self.unloading = model
