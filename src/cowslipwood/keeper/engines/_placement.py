"""Decides where a model goes, and what makes way for it."""

import math
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from ...routes import ModelSpec
from ._engine_record import TYPICAL_UNLOAD_MS, EngineRecord
from ._expected_load import ExpectedLoad
from ._step import Step

__all__ = [
    "BUSY_MODEL_MIN_CALLERS",
    "MIN_WAITING_PER_COPY",
    "NO_DEMAND",
    "NEVER_USED",
    "Layout",
    "ModelDemand",
    "add_wait_cost",
    "count_copies",
    "compute_expected_load",
    "choose_load_step",
    "evaluate_load",
    "estimate_prior_waiting",
    "compute_sole_copy_cost",
]

# Requests at once from which a model counts as asked for by many: fewer wait for
# no longer than a load takes.
BUSY_MODEL_MIN_CALLERS = 3.0
# Requests that wait for their first event, for each copy, below which another
# copy gains little: an engine that reads prompts for half of the time.
MIN_WAITING_PER_COPY = 0.8
# In waiting requests: what a model is worth beyond its demand that was loaded so
# lately that its load would have been in vain.
RECENT_LOAD_VALUE_REQUESTS = 1.0
RECENT_LOAD_MS = 6_000.0
# In waiting requests: what the last copy of a model without demand is value,
# so that spare copies go before it and it goes before what is asked for. Its
# next request would wait for a load.
LAST_COPY_VALUE_REQUESTS = 0.6
# Of that value, where callers can wait until the model has been loaded from disk: the
# others' callers would be late or gone.
RELOADABLE_VALUE_SHARE = 0.3
# Of a request that runs: an unload waits for its end.
VALUE_PER_RUNNING_REQUEST = 0.1
# In waiting requests, for an unload that has to wait for a run: meanwhile the
# engine takes no other order.
BLOCKED_UNLOAD_COST_REQUESTS = 4.0
# Times that, where all places are taken: runs that are less urgent than others wait
# there for seconds, and the unload with them.
FULL_BATCH_COST_FACTOR = 2.0
# In waiting requests, for each in flight at a model's only engine: when that engine
# is lost, its callers wait for a load from the store.
SOLE_COPY_COST_PER_REQUEST = 0.15
# In waiting requests, for each that waits on the engine that would be loaded.
COST_PER_QUEUED_REQUEST = 0.1
# In waiting requests, for a second copy in one availability zone: callers of the
# others would go on sending their prompts across.
SAME_ZONE_COST_REQUESTS = 0.05
# In waiting requests, for each second of loading. Lower, and rare models displace
# each other from engines that have no copy on disk; higher, and a busy model's
# second copy comes when its callers have left.
LOAD_COST_REQUESTS_PER_S = 0.75
# Times the weight of removal_loss engines when all streams are late: the prompts that a
# batch reads between its tokens make streams pause long before its places are taken.
LATE_STREAMS_WEIGHT = 12.0
# Callers that wait for a missing model at once, for whom its time costs count once.
N_CALLERS_PER_TIME_COST = 2.0


class ModelDemand(NamedTuple):
    """What entries ask of one model, smoothed.

    Parameters
    ----------
    n_waiting : float
        Requests at engines that wait for their first event.
    n_in_flight : float
        Requests that were let in and have not ended.
    recency : float
        1 for a model asked for just now, falling to 0 with time.
    n_pending_lookups : int
        Entries' questions for it that wait for an order to be possible.
    offered_load : float
        Requests at once that its engines would have to carry by the time that a load
        ordered now is over, refused callers included.
    target_ms : float
        Least target of the routes that ask for it; 0 while none is known.
    """

    n_waiting: float = 0.0
    n_in_flight: float = 0.0
    recency: float = 0.0
    n_pending_lookups: int = 0
    offered_load: float = 0.0
    target_ms: float = 0.0

    @property
    def n_callers(self) -> float:
        """Requests and questions that would wait if no engine had the model.

        Callers who are told to come back for it are neither, but are offered.
        """
        return max(self.n_in_flight + self.n_pending_lookups, self.offered_load)


NO_DEMAND = ModelDemand()
NEVER_USED: Mapping[tuple[str, str], float] = MappingProxyType({})


def estimate_prior_waiting(copies: Mapping[str, int]) -> dict[str, float]:
    """Return what waits for each model as the present copies let expect.

    A new leader knows no demand yet; the layout shows what its predecessor saw.
    """
    return {
        name: MIN_WAITING_PER_COPY * n * n / 2 for name, n in copies.items() if n > 1
    }


def choose_load_step(
    records: Sequence[EngineRecord],
    model: ModelSpec,
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    only: EngineRecord | None = None,
    expected_load: ExpectedLoad | None = None,
) -> Step | None:
    """Return where a model that nobody holds goes; None while none can take it.

    An engine that carries out another order counts with the time that this takes:
    to wait for it can be better than to displace what is in use elsewhere. Where
    the step names one that is not usable yet, it is to be kept for the model.

    Parameters
    ----------
    records : sequence of EngineRecord
        All engines.
    model : ModelSpec
    demand : mapping of str to ModelDemand
    now_ms : float
    only : EngineRecord, optional
        The engine on which room is being made for the model already.
    expected_load : ExpectedLoad, optional
        Of these engines under this demand; worked out where it is not given.
    """
    layout = Layout.of(records, expected_load or compute_expected_load(records, demand))
    n_callers = demand.get(model.name, NO_DEMAND).n_callers
    # Time that passes until the load is done is lost by all who wait for it.
    time_cost_factor = max(1.0, n_callers / N_CALLERS_PER_TIME_COST)
    steps = []
    for record in [only] if only else records:
        if not record.may_load(model.name, n_callers, now_ms):
            continue
        step = evaluate_load(record, model, layout, demand, now_ms, time_cost_factor)
        if step is not None:
            steps.append(add_wait_cost(step, time_cost_factor, n_callers, now_ms))
    return min(steps, key=_get_cost, default=None)


def add_wait_cost(
    step: Step, time_cost_factor: float, n_callers: float, now_ms: float
) -> Step:
    """Add the cost of waiting for the end of the engine's present order."""
    wait_cost = (
        time_cost_factor
        * LOAD_COST_REQUESTS_PER_S
        * step.record.estimate_busy_ms(now_ms)
        / 1000
    )
    return step._replace(cost=step.cost + wait_cost, n_callers=n_callers)


def _get_cost(step: Step) -> float:
    return step.cost


def compute_expected_load(
    records: Sequence[EngineRecord],
    demand: Mapping[str, ModelDemand],
    late_share: float = 0.0,
) -> ExpectedLoad:
    """Return how full the engines get by the demand that is expected.

    Where streams are late, engines are fuller than their pace allows, whatever the
    places of their batch: spreading them is worth more.

    Parameters
    ----------
    records : sequence of EngineRecord
    demand : mapping of str to ModelDemand
    late_share : float
        Of the streams answered lately, those that were late.
    """
    offered_load = {name: wanted.offered_load for name, wanted in demand.items()}
    return ExpectedLoad(records, offered_load, 1.0 + LATE_STREAMS_WEIGHT * late_share)


class Layout(NamedTuple):
    """Who holds what.

    Parameters
    ----------
    n_copies : dict of str to int
        Engines that stay, by model.
    held_zones : set of tuple of str
        Each held model with the zones that it is held in.
    expected_load : ExpectedLoad
    """

    n_copies: dict[str, int]
    held_zones: set[tuple[str, str]]
    expected_load: ExpectedLoad

    @classmethod
    def of(
        cls, records: Sequence[EngineRecord], expected_load: ExpectedLoad
    ) -> "Layout":
        """Return the layout of these engines."""
        zones = {
            (name, record.server.zone) for record in records for name in record.held
        }
        return cls(count_copies(records), zones, expected_load)


def evaluate_load(
    record: EngineRecord,
    model: ModelSpec,
    layout: "Layout",
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    time_cost_factor: float = 1.0,
) -> Step | None:
    """Return the first step of a load on one engine, with the load's cost.

    `time_cost_factor` is the factor on what takes time.
    """
    load_s = model.warm_load_s if model.name in record.cached else model.load_time_s
    cost = (
        time_cost_factor * LOAD_COST_REQUESTS_PER_S * load_s
        + COST_PER_QUEUED_REQUEST * record.n_queued
    )
    if (model.name, record.server.zone) in layout.held_zones:
        cost += SAME_ZONE_COST_REQUESTS
    if record.free_mb >= model.weights_mb:
        return Step(record, cost=cost)
    value = {}
    for name in record.held:
        value[name] = _compute_copy_value(
            name, record, layout, demand, time_cost_factor
        )
        if now_ms - record.load_started_ms.get(name, -math.inf) < RECENT_LOAD_MS:
            value[name] += RECENT_LOAD_VALUE_REQUESTS
    room = _choose_unload(record, model.weights_mb - record.free_mb, value)
    if room is None:
        return None
    return Step(record, room[1], cost=cost + room[0])


def _choose_unload(
    record: EngineRecord, needed_mb: float, value: Mapping[str, float]
) -> tuple[float, str] | None:
    """Return what making room costs and the model to drop first.

    Either one model that is large enough makes way, or several of little worth.
    """
    ranked = sorted(value, key=value.__getitem__)
    for name in ranked:
        if record.compute_model_mb(name) >= needed_mb:
            single = (value[name], name)
            break
    else:
        single = (math.inf, "")
    total = 0.0
    for name in ranked:
        total += value[name]
        needed_mb -= record.compute_model_mb(name)
        if needed_mb <= 0:
            return min(single, (total, ranked[0]))
    return None


def _compute_copy_value(
    name: str,
    record: EngineRecord,
    layout: "Layout",
    demand: Mapping[str, ModelDemand],
    time_cost_factor: float,
) -> float:
    """Return what an engine's copy of a model is value, in waiting requests.

    Its runs count, as an unload waits for them, and what its requests would add to
    other engines; `time_cost_factor` is the factor on the wait for the runs' end.
    """
    n_copies = layout.n_copies.get(name, 1)
    wanted = demand.get(name, NO_DEMAND)
    # The engine tells its runs, but not of which models.
    n_running = min(wanted.n_in_flight / n_copies, record.n_running)
    blocked = BLOCKED_UNLOAD_COST_REQUESTS * (
        FULL_BATCH_COST_FACTOR if record.is_batch_full else 1.0
    )
    running = VALUE_PER_RUNNING_REQUEST * n_running + time_cost_factor * blocked * min(
        1.0, n_running
    )
    removal_loss = layout.expected_load.compute_loss(name, record.server.server_id)
    if n_copies <= 1:
        waits = max(2.0 * wanted.n_waiting, removal_loss)
        last_copy_value = LAST_COPY_VALUE_REQUESTS * (1.0 + wanted.recency)
        if _can_reload_in_time(name, record, wanted):
            last_copy_value *= RELOADABLE_VALUE_SHARE
        return last_copy_value + waits + running
    value = max(wanted.n_waiting / (n_copies * (n_copies - 1)), removal_loss) + running
    return value + compute_sole_copy_cost(wanted) if n_copies == 2 else value


def _can_reload_in_time(name: str, record: EngineRecord, demand: ModelDemand) -> bool:
    """Return whether callers are still in time when a dropped model is loaded again.

    The host keeps a copy on its disk. Of a model that nobody has asked for, nothing
    is known of its callers.
    """
    return demand.target_ms > record.estimate_reload_ms(name) + TYPICAL_UNLOAD_MS


def compute_sole_copy_cost(demand: ModelDemand) -> float:
    """Return what a second copy of a model is worth against the loss of the first."""
    return SOLE_COPY_COST_PER_REQUEST * demand.n_in_flight


def count_copies(records: Iterable[EngineRecord]) -> dict[str, int]:
    """Return how many engines that stay hold each model."""
    copies: dict[str, int] = {}
    for record in records:
        if record.is_available:
            for name in record.held:
                copies[name] = copies.get(name, 0) + 1
    return copies
