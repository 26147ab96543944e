"""Chooses the models that get further copies, and the engines for these copies."""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from heapq import heappop, heappush
from typing import NamedTuple

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
    compute_held_values,
    compute_second_copy_value,
    evaluate_load,
)
from ._step import PlannedLoad, Step, skip_pauses

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
) -> PlannedLoad | None:
    """Return the copy that gains most above its cost; None if none gains enough."""
    copies = plan_copies(records, models, demand, now_ms, adapter_last_used_ms)
    return next(skip_pauses(copies), None)


def plan_copies(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    adapter_last_used_ms: Mapping[tuple[str, str], float] = NEVER_USED,
    expected_load: ExpectedLoad | None = None,
) -> Iterator[PlannedLoad | None]:
    """Yield the copies that gain enough, the best first, one per engine.

    Each copy takes the earlier copies into account. A copy also offers slots for
    adapters that have no slot on engines that hold the model. Room that has been made
    for a copy is used first. Yields None after each other short unit of work; see
    `plan_loads`.

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
    free = [record for record in records if record.server.server_id not in taken]
    yield from plan.iterate_best(free, models)


class _Candidate(NamedTuple):
    """The best copy of one model, ordered by what it gains above its cost.

    Parameters
    ----------
    shortfall : float
        The gain above the cost, negated.
    rank : int
        Position of the model in the document.
    n_decided : int
        Number of copies that had been decided on when this one was evaluated.
    step : Step
    """

    shortfall: float
    rank: int
    n_decided: int
    step: Step


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
        # Values of the models that each engine holds, by server, until the next copy
        # has been decided on.
        self._held_values: dict[str, dict[str, float]] = {}
        self._now_ms = now_ms

    def add_copy(
        self, model: str, record: EngineRecord, unload_model: str = ""
    ) -> None:
        """Include a copy that has been decided on, and the unload that it needs."""
        n_copies = self.layout.n_copies
        n_copies[model] = n_copies.get(model, 0) + 1
        if unload_model in n_copies:
            n_copies[unload_model] -= 1
        self.layout.expected_load.add_copy(model, record.server.server_id)
        self._held_values.clear()

    def get_n_copies(self, model: str) -> int:
        """Return the number of engines that hold a model or are about to."""
        is_planned = self.layout.expected_load.has_holder(model)
        return max(self.layout.n_copies.get(model, 0), int(is_planned))

    def iterate_best(
        self, records: Sequence[EngineRecord], models: Sequence[ModelSpec]
    ) -> Iterator[PlannedLoad | None]:
        """Yield the copies with the highest gain above their cost, one per engine.

        Yields None after each evaluation of a model on all engines. A copy that has
        been decided on takes load from other engines and so lowers what further copies
        gain there. Only the model that was best before is therefore evaluated again,
        and it is decided on unless another one was better before.
        """
        free = list(records)
        queue: list[_Candidate] = []
        n_decided = 0

        def add_candidate(rank: int) -> None:
            # A model that no engine holds is loaded when the model is requested.
            if not self.get_n_copies(models[rank].name):
                return
            candidate = self._choose_engine(models[rank], free, rank, n_decided)
            if candidate is not None:
                heappush(queue, candidate)

        for rank, model in enumerate(models):
            if self._is_model_requested(model):
                add_candidate(rank)
                yield None
        while queue:
            candidate = heappop(queue)
            model = models[candidate.rank]
            if candidate.n_decided == n_decided:
                n_decided += 1
                free.remove(candidate.step.record)
                step = candidate.step
                self.add_copy(model.name, step.record, step.unload_model)
                yield model, step
            add_candidate(candidate.rank)
            yield None

    def _is_model_requested(self, model: ModelSpec) -> bool:
        model_demand = self._demand.get(model.name, NO_DEMAND)
        has_demand = (
            model_demand.n_waiting
            or model_demand.n_in_flight
            or model_demand.offered_load
        )
        return bool(has_demand or self._n_unplaced[model.name])

    def _choose_engine(
        self,
        model: ModelSpec,
        records: Sequence[EngineRecord],
        rank: int,
        n_decided: int,
    ) -> _Candidate | None:
        """Return the best copy of one model, or None if none gains enough."""
        compute_gain = self.layout.expected_load.compute_gain
        min_gain, added_gain = self._compute_model_gains(model.name)
        n_unplaced = self._n_unplaced[model.name]
        best_surplus, best_step = 0.0, None
        for record in records:
            gain = max(compute_gain(model.name, record.server.server_id), min_gain)
            gain += added_gain
            if n_unplaced:
                gain += UNPLACED_ADAPTER_VALUE_REQUESTS * min(
                    n_unplaced, self._count_idle_slots(record)
                )
            # A copy gains no more above its cost than it gains in all.
            if gain > best_surplus:
                step = self._evaluate_copy(model, record, gain)
                if step is not None and gain - step.cost > best_surplus:
                    best_surplus, best_step = gain - step.cost, step
        if best_step is None:
            return None
        return _Candidate(-best_surplus, rank, n_decided, best_step)

    def _compute_model_gains(self, model: str) -> tuple[float, float]:
        """Return a copy's least gain on any engine, and what is added to its gain."""
        model_demand = self._demand.get(model, NO_DEMAND)
        n_copies = self.get_n_copies(model)
        min_gain = 0.0
        if model_demand.n_waiting / n_copies >= MIN_WAITING_PER_COPY:
            # With one more copy, the waiting requests per copy fall from n_waiting /
            # n_copies to n_waiting / (n_copies + 1).
            min_gain = model_demand.n_waiting / (n_copies * (n_copies + 1))
        return min_gain, (
            compute_second_copy_value(model_demand) if n_copies == 1 else 0.0
        )

    def _evaluate_copy(
        self, model: ModelSpec, record: EngineRecord, gain: float
    ) -> Step | None:
        """Return the step towards a copy on one engine; None if it costs too much."""
        if not record.may_load_next(model.name, gain, self._now_ms):
            return None
        step = evaluate_load(
            record, model, self.layout, self._now_ms, self._get_held_values(record)
        )
        if step is None:
            return None
        step = add_wait_cost(step, 1.0, gain, self._now_ms)
        return step if step.cost * MIN_GAIN_COST_RATIO <= gain else None

    def _get_held_values(self, record: EngineRecord) -> dict[str, float]:
        server_id = record.server.server_id
        values = self._held_values.get(server_id)
        # The engine may have reported other models since the last unit of work.
        if values is None or values.keys() != record.held.keys():
            values = compute_held_values(
                record, self.layout, self._demand, self._now_ms
            )
            self._held_values[server_id] = values
        return values

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
