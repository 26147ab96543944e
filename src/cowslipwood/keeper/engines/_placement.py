"""Chooses the engine for a model's load, and the model to unload to make room."""

import math
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from ...routes import ModelSpec
from ._engine_record import TYPICAL_UNLOAD_MS, EngineRecord
from ._expected_load import ExpectedLoad
from ._step import Step

__all__ = [
    "POPULAR_MODEL_MIN_CALLERS",
    "MIN_WAITING_PER_COPY",
    "NEVER_USED",
    "NO_DEMAND",
    "EngineLayout",
    "ModelDemand",
    "add_wait_cost",
    "choose_load_step",
    "compute_expected_load",
    "compute_held_values",
    "compute_second_copy_value",
    "count_copies",
    "estimate_prior_waiting",
    "evaluate_load",
]

# Callers from which a missing model is loaded as a popular one. Fewer callers together
# wait no longer than one load takes.
POPULAR_MODEL_MIN_CALLERS = 3.0
# Requests per copy that wait for their first event, below which another copy gains
# little: at this value an engine reads prompts half of the time.
MIN_WAITING_PER_COPY = 0.8
# Value, in waiting requests, added to the demand of a model that was loaded a moment
# ago. Unloading the model at once would make its load useless.
RECENT_LOAD_VALUE_REQUESTS = 1.0
# Age of a load up to which RECENT_LOAD_VALUE_REQUESTS is added.
RECENT_LOAD_MS = 6_000.0
# Value, in waiting requests, of the last copy of a model without demand: its next
# request would wait for a load. Spare copies are unloaded before the last copy, and the
# last copy is unloaded before models with demand.
LAST_COPY_VALUE_REQUESTS = 0.6
# Share of the last copy's value that counts where callers can wait until the model has
# been loaded from disk again. Less patient callers would be answered late or would have
# left.
RELOADABLE_VALUE_SHARE = 0.3
# Value, in waiting requests, of each running request of a model: an unload waits until
# these requests end.
VALUE_PER_RUNNING_REQUEST = 0.1
# Cost, in waiting requests, of an unload that waits for a running request: the engine
# takes no other order meanwhile.
BLOCKED_UNLOAD_COST_REQUESTS = 4.0
# Factor on BLOCKED_UNLOAD_COST_REQUESTS where all batch slots of an engine are taken:
# requests that are less urgent than others wait there for seconds, and the unload waits
# with them.
FULL_BATCH_COST_FACTOR = 2.0
# Value, in waiting requests, of a second copy per request in flight of its model: if
# the only engine that holds a model is lost, its callers wait for a load from the
# store.
SECOND_COPY_VALUE_PER_REQUEST = 0.15
# Cost, in waiting requests, per request that is queued at the engine on which the model
# would be loaded.
COST_PER_QUEUED_REQUEST = 0.1
# Cost, in waiting requests, of a second copy in one availability zone: callers of the
# other zones would go on sending prompts across zones.
SAME_ZONE_COST_REQUESTS = 0.05
# Cost, in waiting requests, of each second that a load takes: it stands for the callers
# who wait during the load. With a lower value, rare models displace each other from
# engines without a copy on disk; with a higher value, the second copy of a popular
# model comes after its callers have left.
LOAD_COST_REQUESTS_PER_S = 0.75
# Added weight of contention on engines when all streams are late. The prompts that a
# batch reads between its tokens make streams pause long before all batch slots are
# taken.
LATE_STREAMS_WEIGHT = 12.0
# Concurrent callers waiting for a missing model up to which the time costs of its load
# are not scaled; with more callers the time costs grow in proportion.
MAX_CALLERS_UNSCALED = 2.0


class ModelDemand(NamedTuple):
    """Demand that entries report for one model, smoothed.

    Parameters
    ----------
    n_waiting : float
        Requests at engines that wait for their first event; the pending lookups of a
        model that an engine can serve; a share of the requests in flight for a model
        that no engine can serve. At least the prior demand, shortly after the start of
        a term or the first requests.
    n_in_flight : float
        Requests that were admitted and have not ended.
    recency : float
        1 for a model that was requested just now, falling to 0 with time.
    n_pending_lookups : int
        Lookups of entries that wait until an engine holds the model.
    offered_load : float
        Concurrent requests that the model's engines would have to carry when a load
        ordered now ends, including those of refused callers.
    target_ms : float
        Lowest latency target of the routes that request the model; 0 while none is
        known.
    """

    n_waiting: float = 0.0
    n_in_flight: float = 0.0
    recency: float = 0.0
    n_pending_lookups: int = 0
    offered_load: float = 0.0
    target_ms: float = 0.0

    @property
    def n_callers(self) -> float:
        """Requests and lookups that would wait if no engine held the model.

        Callers who were told to retry later appear in neither count, but in the
        offered load.
        """
        return max(self.n_in_flight + self.n_pending_lookups, self.offered_load)


NO_DEMAND = ModelDemand()
NEVER_USED: Mapping[tuple[str, str], float] = MappingProxyType({})


def estimate_prior_waiting(copies: Mapping[str, int]) -> dict[str, float]:
    """Return the waiting requests per model that the present copies suggest.

    A new leader has no reported demand yet; the layout reflects the demand that its
    predecessor knew.
    """
    # The removal of one of n copies adds n_waiting / (n * (n - 1)) waiting requests per
    # copy. With this number, each copy is worth at least MIN_WAITING_PER_COPY / 2.
    return {
        name: MIN_WAITING_PER_COPY * n * n / 2 for name, n in copies.items() if n > 1
    }


def choose_load_step(
    records: Sequence[EngineRecord],
    model: ModelSpec,
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    reserved_record: EngineRecord | None = None,
    expected_load: ExpectedLoad | None = None,
) -> Step | None:
    """Return the next step to load a model that no engine holds.

    None while no engine can load the model. An engine that carries out another
    order is a candidate too, at the cost of the time that the order takes: waiting
    for that engine can be better than unloading a model that is in use elsewhere.
    If the step names an engine that is not usable yet, the caller should reserve
    the engine's next load for the model.

    Parameters
    ----------
    records : sequence of EngineRecord
        All engines.
    model : ModelSpec
    demand : mapping of str to ModelDemand
    now_ms : float
    reserved_record : EngineRecord, optional
        The engine on which room is already being made for the model.
    expected_load : ExpectedLoad, optional
        Expected load of these engines under this demand; computed if not given.
    """
    layout = EngineLayout.from_records(
        records, expected_load or compute_expected_load(records, demand)
    )
    n_callers = demand.get(model.name, NO_DEMAND).n_callers
    # All callers that wait for the load lose the time until it ends.
    time_cost_factor = max(1.0, n_callers / MAX_CALLERS_UNSCALED)
    steps = []
    for record in [reserved_record] if reserved_record else records:
        if not record.may_load_next(model.name, n_callers, now_ms):
            continue
        held_values = compute_held_values(
            record, layout, demand, now_ms, time_cost_factor
        )
        step = evaluate_load(
            record, model, layout, now_ms, held_values, time_cost_factor
        )
        if step is not None:
            steps.append(add_wait_cost(step, time_cost_factor, n_callers, now_ms))
    return min(steps, key=_get_cost, default=None)


def add_wait_cost(
    step: Step, time_cost_factor: float, load_priority: float, now_ms: float
) -> Step:
    """Add the cost of waiting until the engine's present order ends.

    Also sets the step's `load_priority`.
    """
    wait_cost = (
        time_cost_factor
        * LOAD_COST_REQUESTS_PER_S
        * step.record.estimate_busy_ms(now_ms)
        / 1000
    )
    return step._replace(cost=step.cost + wait_cost, load_priority=load_priority)


def _get_cost(step: Step) -> float:
    return step.cost


def compute_expected_load(
    records: Sequence[EngineRecord],
    demand: Mapping[str, ModelDemand],
    late_share: float = 0.0,
) -> ExpectedLoad:
    """Return the load that engines are expected to carry under a demand.

    Late streams show that engines are slower than their free batch slots suggest, so
    distributing requests over more engines counts for more.

    Parameters
    ----------
    records : sequence of EngineRecord
    demand : mapping of str to ModelDemand
    late_share : float
        Share of the recently answered streams that were late.
    """
    offered_load = {
        name: model_demand.offered_load for name, model_demand in demand.items()
    }
    return ExpectedLoad(records, offered_load, 1.0 + LATE_STREAMS_WEIGHT * late_share)


class EngineLayout(NamedTuple):
    """The models that engines hold, and the load that engines are expected to carry.

    Parameters
    ----------
    n_copies : dict of str to int
        Available engines that hold each model.
    held_zones : set of tuple of str
        Each held model with each zone in which an engine holds the model.
    expected_load : ExpectedLoad
    """

    n_copies: dict[str, int]
    held_zones: set[tuple[str, str]]
    expected_load: ExpectedLoad

    @classmethod
    def from_records(
        cls, records: Sequence[EngineRecord], expected_load: ExpectedLoad
    ) -> "EngineLayout":
        """Return the layout of these engines."""
        zones = {
            (name, record.server.zone) for record in records for name in record.held
        }
        return cls(count_copies(records), zones, expected_load)


def evaluate_load(
    record: EngineRecord,
    model: ModelSpec,
    layout: "EngineLayout",
    now_ms: float,
    held_values: Mapping[str, float],
    time_cost_factor: float = 1.0,
) -> Step | None:
    """Return the first step of a load on one engine, with the load's cost.

    None if no unload makes enough room. `held_values` are those of
    `compute_held_values`; `time_cost_factor` scales the costs of time.
    """
    load_s = (
        model.warm_load_s if model.name in record.cached_models else model.load_time_s
    )
    cost = (
        time_cost_factor * LOAD_COST_REQUESTS_PER_S * load_s
        + COST_PER_QUEUED_REQUEST * record.n_queued
    )
    if (model.name, record.server.zone) in layout.held_zones:
        cost += SAME_ZONE_COST_REQUESTS
    needed_mb = model.weights_mb - record.free_mb
    if needed_mb <= 0:
        return Step(record, cost=cost)
    cost_and_unload = _choose_unload(record, needed_mb, held_values)
    if cost_and_unload is None:
        return None
    return Step(record, cost_and_unload[1], cost=cost + cost_and_unload[0])


def compute_held_values(
    record: EngineRecord,
    layout: "EngineLayout",
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    time_cost_factor: float = 1.0,
) -> dict[str, float]:
    """Return the value of each model that an engine holds, in waiting requests."""
    value_by_model = {}
    for name in record.held:
        value_by_model[name] = _compute_copy_value(
            name, record, layout, demand, time_cost_factor
        )
        if now_ms - record.load_started_ms.get(name, -math.inf) < RECENT_LOAD_MS:
            value_by_model[name] += RECENT_LOAD_VALUE_REQUESTS
    return value_by_model


def _choose_unload(
    record: EngineRecord, needed_mb: float, value_by_model: Mapping[str, float]
) -> tuple[float, str] | None:
    """Return the cost of making room and the model to unload first.

    Compares the unload of one large enough model with the unload of several models
    of little value.
    """
    ranked = sorted(value_by_model, key=value_by_model.__getitem__)
    for name in ranked:
        if record.compute_model_mb(name) >= needed_mb:
            single_unload = (value_by_model[name], name)
            break
    else:
        single_unload = (math.inf, "")
    total = 0.0
    for name in ranked:
        total += value_by_model[name]
        needed_mb -= record.compute_model_mb(name)
        if needed_mb <= 0:
            return min(single_unload, (total, ranked[0]))
    return None


def _compute_copy_value(
    name: str,
    record: EngineRecord,
    layout: "EngineLayout",
    demand: Mapping[str, ModelDemand],
    time_cost_factor: float,
) -> float:
    """Return the value of an engine's copy of a model, in waiting requests.

    Includes the model's running requests, as an unload waits for them, and the
    contention that its requests would add on other engines. `time_cost_factor`
    scales the cost of waiting until running requests end.
    """
    n_copies = max(1, layout.n_copies.get(name, 1))
    model_demand = demand.get(name, NO_DEMAND)
    # The engine reports how many requests run, but not for which models.
    n_running = min(model_demand.n_in_flight / n_copies, record.n_running)
    blocked_cost = BLOCKED_UNLOAD_COST_REQUESTS * (
        FULL_BATCH_COST_FACTOR if record.is_batch_full else 1.0
    )
    running_value = (
        VALUE_PER_RUNNING_REQUEST * n_running
        + time_cost_factor * blocked_cost * min(1.0, n_running)
    )
    removal_loss = layout.expected_load.compute_loss(name, record.server.server_id)
    if n_copies <= 1:
        waiting_value = max(2.0 * model_demand.n_waiting, removal_loss)
        last_copy_value = LAST_COPY_VALUE_REQUESTS * (1.0 + model_demand.recency)
        if _can_reload_in_time(name, record, model_demand):
            last_copy_value *= RELOADABLE_VALUE_SHARE
        return last_copy_value + waiting_value + running_value
    value = (
        max(model_demand.n_waiting / (n_copies * (n_copies - 1)), removal_loss)
        + running_value
    )
    return value + compute_second_copy_value(model_demand) if n_copies == 2 else value


def _can_reload_in_time(name: str, record: EngineRecord, demand: ModelDemand) -> bool:
    """Return whether callers are still answered in time if a model is loaded again.

    The host keeps a copy of the model on its disk. For a model that nobody has
    requested, no target is known.
    """
    return demand.target_ms > record.estimate_reload_ms(name) + TYPICAL_UNLOAD_MS


def compute_second_copy_value(demand: ModelDemand) -> float:
    """Return the value of a second copy as a safeguard against losing the first."""
    return SECOND_COPY_VALUE_PER_REQUEST * demand.n_in_flight


def count_copies(records: Iterable[EngineRecord]) -> dict[str, int]:
    """Return how many available engines hold each model and go on to hold it."""
    copies: dict[str, int] = {}
    for record in records:
        if record.is_available:
            for name in record.held:
                if name != record.unloading_model:
                    copies[name] = copies.get(name, 0) + 1
    return copies
