"""Chooses the models that get further copies, and the engines for these copies."""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence

from ...routes import ModelSpec
from ._adapters import COPY_MIN_ADAPTER_IDLE_MS
from ._engine_record import EngineRecord
from ._expected_load import ExpectedLoad
from ._placement import (
    MIN_WAITING_PER_COPY,
    NEVER_USED,
    NO_DEMAND,
    EngineLayout,
    ModelDemand,
    add_wait_cost,
    compute_expected_load,
    compute_second_copy_value,
    evaluate_load,
)
from ._step import Step

__all__ = ["choose_copy", "plan_copies"]

# Ratio of a copy's gain to its cost from which the copy is loaded. Below this ratio the
# load's use of the store, and reading the displaced model's prompts again elsewhere,
# cost more than the copy gains.
MIN_GAIN_COST_RATIO = 1.5
# Value, in waiting requests, of a slot for a requested adapter that no engine holds:
# its callers wait for a slot and are told to retry later.
UNPLACED_ADAPTER_VALUE_REQUESTS = 0.5
# Age up to which a request for an adapter counts as recent. Callers that were told to
# retry for the adapter have done so within this time.
RECENT_REQUEST_MS = 2_000.0


def choose_copy(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    adapter_last_used_ms: Mapping[tuple[str, str], float] = NEVER_USED,
) -> tuple[ModelSpec, Step] | None:
    """Return the copy that gains most above its cost; None if none gains enough."""
    return next(
        plan_copies(records, models, demand, now_ms, adapter_last_used_ms), None
    )


def plan_copies(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    adapter_last_used_ms: Mapping[tuple[str, str], float] = NEVER_USED,
    expected_load: ExpectedLoad | None = None,
) -> Iterator[tuple[ModelSpec, Step]]:
    """Yield the copies that gain enough, the best first, one per engine.

    Each copy takes the earlier copies into account. A copy also offers slots for
    adapters that have no slot on engines that hold the model. Room that has been made
    for a copy is used first.

    Parameters
    ----------
    records : sequence of EngineRecord
    models : sequence of ModelSpec
    demand : mapping of str to ModelDemand
    now_ms : float
    adapter_last_used_ms : mapping of tuple of str to float
        When each model's adapter was last requested.
    expected_load : ExpectedLoad, optional
        Expected load of these engines under this demand, computed if not given; the
        copies that are yielded are added to it.
    """
    expected_load = expected_load or compute_expected_load(records, demand)
    plan = _CopyPlan(records, demand, expected_load, adapter_last_used_ms, now_ms)
    by_name = {model.name: model for model in models}
    taken = set()
    for record in records:
        spec = by_name.get(record.get_reserved_model(now_ms))
        if spec is None or spec.name not in plan.layout.n_copies:
            continue
        taken.add(record.server.server_id)
        plan.add_copy(spec.name, record)
        if record.is_usable and record.free_mb >= spec.weights_mb:
            yield (
                spec,
                Step(record, load_priority=demand.get(spec.name, NO_DEMAND).n_callers),
            )
    while True:
        free = [record for record in records if record.server.server_id not in taken]
        best = plan.choose_best_copy(free, models)
        if best is None:
            return
        spec, step = best
        taken.add(step.record.server.server_id)
        plan.add_copy(spec.name, step.record)
        yield best


class _CopyPlan:
    """The copies that have been decided on, and the gain of one more."""

    def __init__(
        self,
        records: Sequence[EngineRecord],
        demand: Mapping[str, ModelDemand],
        expected_load: ExpectedLoad,
        adapter_last_used_ms: Mapping[tuple[str, str], float],
        now_ms: float,
    ):
        self.layout = EngineLayout.from_records(records, expected_load)
        self._demand = demand
        self._adapter_last_used_ms = adapter_last_used_ms
        self._n_unplaced = _count_unplaced_adapters(
            records, adapter_last_used_ms, now_ms
        )
        self._now_ms = now_ms

    def add_copy(self, model: str, record: EngineRecord) -> None:
        """Include a copy that has been decided on."""
        self.layout.n_copies[model] = self.layout.n_copies.get(model, 0) + 1
        self.layout.expected_load.add_copy(model, record.server.server_id)

    def get_n_copies(self, model: str) -> int:
        """Return the number of engines that hold a model or are about to."""
        is_planned = self.layout.expected_load.has_holder(model)
        return max(self.layout.n_copies.get(model, 0), int(is_planned))

    def choose_best_copy(
        self, records: Sequence[EngineRecord], models: Sequence[ModelSpec]
    ) -> tuple[ModelSpec, Step] | None:
        """Return the copy with the highest gain above its cost, or None."""
        found: tuple[float, ModelSpec, Step] | None = None
        for model in models:
            # A model that no engine holds is loaded when the model is requested.
            if not self.get_n_copies(model.name) or not self._is_model_requested(model):
                continue
            for record in records:
                surplus, step = self._evaluate_copy(model, record)
                if step is not None and (found is None or surplus > found[0]):
                    found = surplus, model, step
        return found[1:] if found is not None else None

    def _is_model_requested(self, model: ModelSpec) -> bool:
        model_demand = self._demand.get(model.name, NO_DEMAND)
        has_demand = (
            model_demand.n_waiting
            or model_demand.n_in_flight
            or model_demand.offered_load
        )
        return bool(has_demand or self._n_unplaced[model.name])

    def _evaluate_copy(
        self, model: ModelSpec, record: EngineRecord
    ) -> tuple[float, Step | None]:
        """Return what a copy on one engine gains beyond its cost, and its step."""
        model_demand = self._demand.get(model.name, NO_DEMAND)
        n_copies = self.get_n_copies(model.name)
        gain = self.layout.expected_load.compute_gain(
            model.name, record.server.server_id
        )
        if model_demand.n_waiting / n_copies >= MIN_WAITING_PER_COPY:
            # With one more copy, the waiting requests per copy fall from n_waiting /
            # n_copies to n_waiting / (n_copies + 1).
            gain = max(gain, model_demand.n_waiting / (n_copies * (n_copies + 1)))
        gain += compute_second_copy_value(model_demand) if n_copies == 1 else 0.0
        n_unplaced = self._n_unplaced[model.name]
        if n_unplaced:
            gain += UNPLACED_ADAPTER_VALUE_REQUESTS * min(
                n_unplaced, self._count_idle_slots(record)
            )
        if not gain or not record.may_load_next(model.name, gain, self._now_ms):
            return 0.0, None
        step = evaluate_load(record, model, self.layout, self._demand, self._now_ms)
        if step is None:
            return 0.0, None
        step = add_wait_cost(step, 1.0, gain, self._now_ms)
        is_enough = step.cost * MIN_GAIN_COST_RATIO <= gain
        return gain - step.cost, step if is_enough else None

    def _count_idle_slots(self, record: EngineRecord) -> int:
        """Return the adapter slots of an engine that are free or long unused."""
        oldest_ms = self._now_ms - COPY_MIN_ADAPTER_IDLE_MS
        n_used = sum(
            self._adapter_last_used_ms.get(key, 0.0) >= oldest_ms
            for key in record.list_adapter_keys()
        )
        return record.spec.max_adapters - n_used


def _count_unplaced_adapters(
    records: Sequence[EngineRecord],
    adapter_last_used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
) -> Counter[str]:
    """Return how many recently requested adapters no engine holds, by model."""
    placed = {
        key
        for record in records
        if record.is_available
        for key in record.list_adapter_keys()
    }
    return Counter(
        name
        for (name, adapter), at_ms in adapter_last_used_ms.items()
        if at_ms >= now_ms - RECENT_REQUEST_MS and (name, adapter) not in placed
    )
