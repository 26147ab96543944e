"""Decides where a model goes, and what makes way for it."""

import math
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from ...routes import ModelSpec
from ._expected_load import ExpectedLoad
from ._record import UNLOAD_MS, EngineRecord
from ._step import Step

__all__ = [
    "BUSY_IN_FLIGHT",
    "HOT_WAITING",
    "NO_DEMAND",
    "NO_USE",
    "Layout",
    "ModelDemand",
    "after_order",
    "copies_of",
    "compute_expected_load",
    "missing_step",
    "option_on",
    "prior_demand",
    "sole_copy_risk",
]

# Requests at once from which a model counts as asked for by many: fewer wait for
# no longer than a load takes.
BUSY_IN_FLIGHT = 3.0
# Requests that wait for their first event, for each copy, below which another
# copy gains little: an engine that reads prompts for half of the time.
HOT_WAITING = 0.8
# In waiting requests: what a model is worth beyond its demand that was loaded so
# lately that its load would have been in vain.
FRESH_WORTH = 1.0
FRESH_MS = 6_000.0
# In waiting requests: what the last copy of a model without demand is worth,
# so that spare copies go before it and it goes before what is asked for. Its
# next request would wait for a load.
LAST_COPY = 0.6
# Of that worth, where callers can wait until the model has been loaded from disk: the
# others' callers would be late or gone.
PATIENT_SHARE = 0.3
# Of a request that runs: an unload waits for its end.
RUNNING_WORTH = 0.1
# In waiting requests, for an unload that has to wait for a run: meanwhile the
# engine takes no other order.
BLOCKED_COST = 4.0
# Times that, where all places are taken: runs that are less urgent than others wait
# there for seconds, and the unload with them.
FULL_BATCH_FACTOR = 2.0
# In waiting requests, for each in flight at a model's only engine: when that engine
# is lost, its callers wait for a load from the store.
SOLE_COPY_RISK = 0.15
# In waiting requests, for each that waits on the engine that would be loaded.
BUSY_COST = 0.1
# In waiting requests, for a second copy in one availability zone: callers of the
# others would go on sending their prompts across.
SAME_ZONE_COST = 0.05
# In waiting requests, for each second of loading. Lower, and rare models displace
# each other from engines that have no copy on disk; higher, and a busy model's
# second copy comes when its callers have left.
LOAD_COST_PER_S = 0.75
# Times the weight of crowded engines when all streams are late: the prompts that a
# batch reads between its tokens make streams pause long before its places are taken.
LATE_WEIGHT = 12.0
# Callers that wait for a missing model at once, for whom its time costs count once.
HASTE_CALLERS = 2.0


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
NO_USE: Mapping[tuple[str, str], float] = MappingProxyType({})


def prior_demand(copies: Mapping[str, int]) -> dict[str, float]:
    """Return what waits for each model as the present copies let expect.

    A new leader knows no demand yet; the layout shows what its predecessor saw.
    """
    return {name: HOT_WAITING * n * n / 2 for name, n in copies.items() if n > 1}


def missing_step(
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
    haste = max(1.0, n_callers / HASTE_CALLERS)
    options = []
    for each in [only] if only else records:
        if not each.will_take(model.name, n_callers, now_ms):
            continue
        option = option_on(each, model, layout, demand, now_ms, haste)
        if option is not None:
            options.append(after_order(option, haste, n_callers, now_ms))
    return min(options, key=_cost, default=None)


def after_order(step: Step, haste: float, n_callers: float, now_ms: float) -> Step:
    """Add the cost of waiting for the end of the engine's present order."""
    wait_cost = haste * LOAD_COST_PER_S * step.record.busy_ms(now_ms) / 1000
    return step._replace(cost=step.cost + wait_cost, n_callers=n_callers)


def _cost(step: Step) -> float:
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
    offered_load = {name: each.offered_load for name, each in demand.items()}
    return ExpectedLoad(records, offered_load, 1.0 + LATE_WEIGHT * late_share)


class Layout(NamedTuple):
    """Who holds what.

    Parameters
    ----------
    copies : dict of str to int
        Engines that stay, by model.
    zones : set of tuple of str
        Each held model with the zones that it is held in.
    expected_load : ExpectedLoad
    """

    copies: dict[str, int]
    zones: set[tuple[str, str]]
    expected_load: ExpectedLoad

    @classmethod
    def of(
        cls, records: Sequence[EngineRecord], expected_load: ExpectedLoad
    ) -> "Layout":
        """Return the layout of these engines."""
        zones = {(name, each.server.zone) for each in records for name in each.held}
        return cls(copies_of(records), zones, expected_load)


def option_on(
    record: EngineRecord,
    model: ModelSpec,
    layout: "Layout",
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    haste: float = 1.0,
) -> Step | None:
    """Return the first step of a load on one engine, with the load's cost.

    `haste` is the factor on what takes time.
    """
    load_s = model.warm_load_s if model.name in record.cached else model.load_time_s
    cost = haste * LOAD_COST_PER_S * load_s + BUSY_COST * record.n_queued
    if (model.name, record.server.zone) in layout.zones:
        cost += SAME_ZONE_COST
    if record.free_mb >= model.weights_mb:
        return Step(record, cost=cost)
    worth = {}
    for name in record.held:
        worth[name] = _worth(name, record, layout, demand, haste)
        if now_ms - record.since_ms.get(name, -math.inf) < FRESH_MS:
            worth[name] += FRESH_WORTH
    room = _cheapest_room(record, model.weights_mb - record.free_mb, worth)
    if room is None:
        return None
    return Step(record, room[1], cost=cost + room[0])


def _cheapest_room(
    record: EngineRecord, needed_mb: float, worth: Mapping[str, float]
) -> tuple[float, str] | None:
    """Return what making room costs and the model to drop first.

    Either one model that is large enough makes way, or several of little worth.
    """
    ranked = sorted(worth, key=worth.__getitem__)
    for name in ranked:
        if record.model_mb(name) >= needed_mb:
            single = (worth[name], name)
            break
    else:
        single = (math.inf, "")
    total = 0.0
    for name in ranked:
        total += worth[name]
        needed_mb -= record.model_mb(name)
        if needed_mb <= 0:
            return min(single, (total, ranked[0]))
    return None


def _worth(
    name: str,
    record: EngineRecord,
    layout: "Layout",
    demand: Mapping[str, ModelDemand],
    haste: float,
) -> float:
    """Return what an engine's copy of a model is worth, in waiting requests.

    Its runs count, as an unload waits for them, and what its requests would add to
    other engines; `haste` is the factor on the wait for the runs' end.
    """
    n_copies = layout.copies.get(name, 1)
    wanted = demand.get(name, NO_DEMAND)
    # The engine tells its runs, but not of which models.
    n_running = min(wanted.n_in_flight / n_copies, record.n_running)
    blocked = BLOCKED_COST * (FULL_BATCH_FACTOR if record.is_full else 1.0)
    running = RUNNING_WORTH * n_running + haste * blocked * min(1.0, n_running)
    crowded = layout.expected_load.compute_loss(name, record.server.server_id)
    if n_copies <= 1:
        waits = max(2.0 * wanted.n_waiting, crowded)
        last = LAST_COPY * (1.0 + wanted.recency)
        if _can_wait(name, record, wanted):
            last *= PATIENT_SHARE
        return last + waits + running
    worth = max(wanted.n_waiting / (n_copies * (n_copies - 1)), crowded) + running
    return worth + sole_copy_risk(wanted) if n_copies == 2 else worth


def _can_wait(name: str, record: EngineRecord, demand: ModelDemand) -> bool:
    """Return whether callers are still in time when a dropped model is loaded again.

    The host keeps a copy on its disk. Of a model that nobody has asked for, nothing
    is known of its callers.
    """
    return demand.target_ms > record.reload_ms(name) + UNLOAD_MS


def sole_copy_risk(demand: ModelDemand) -> float:
    """Return what a second copy of a model is worth against the loss of the first."""
    return SOLE_COPY_RISK * demand.n_in_flight


def copies_of(records: Iterable[EngineRecord]) -> dict[str, int]:
    """Return how many engines that stay hold each model."""
    copies: dict[str, int] = {}
    for each in records:
        if each.stays:
            for name in each.held:
                copies[name] = copies.get(name, 0) + 1
    return copies
