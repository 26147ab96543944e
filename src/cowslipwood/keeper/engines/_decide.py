"""Decides where a model or an adapter goes, and what makes way for it."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from ...routes import ModelSpec
from ._record import EngineRecord

__all__ = [
    "BUSY_IN_FLIGHT",
    "NO_DEMAND",
    "ModelDemand",
    "Step",
    "adapter_step",
    "copies_of",
    "copy_step",
    "missing_step",
    "prior_demand",
    "spread_step",
]

# Requests at once from which a model counts as asked for by many: fewer wait for
# no longer than a load takes.
BUSY_IN_FLIGHT = 3.0
# Requests that wait for their first event, for each copy, below which another
# copy gains little: an engine that reads prompts for half of the time.
HOT_WAITING = 0.8
# A copy is added only where it gains this many times what it displaces, since
# a load costs the store's time and the displaced prompts.
GAIN_FACTOR = 1.5
# In waiting requests: what a model is worth beyond its demand that was loaded so
# lately that its load would have been in vain.
FRESH_WORTH = 1.0
FRESH_MS = 6_000.0
# Longer than the entries' report interval: an adapter that was reported within it
# may be in use, and its unload would wait for its runs and block the engine.
ADAPTER_IDLE_MS = 700.0
# A copy displaces only what has not been used for this long, or copies would
# drive out adapters that are asked for now and then.
SPREAD_IDLE_MS = 5_000.0
# Requests that an engine must have fewer before an adapter is copied to it:
# below this the reports' age hides which of the two is busier.
SPREAD_GAP = 6
# Requests at once below which an adapter's copy would take nearly no load away.
MIN_SPREAD_IN_FLIGHT = 0.5
# In waiting requests: what the last copy of a model without demand is worth,
# so that spare copies go before it and it goes before what is asked for. Its
# next request would wait for a load.
LAST_COPY = 0.6
# Of a request that runs: an unload waits for its end.
RUNNING_WORTH = 0.1
# In waiting requests, for an unload that has to wait for a run: meanwhile the
# engine takes no other order.
BLOCKED_COST = 2.0
# In waiting requests, for each in flight at a model's only engine: when that engine
# is lost, its callers wait for a load from the store.
SOLE_COPY_RISK = 0.15
# In waiting requests, for each that waits on the engine that would be loaded.
BUSY_COST = 0.1
# In waiting requests, for a second copy in one availability zone: callers of the
# others would go on sending their prompts across.
SAME_ZONE_COST = 0.05
# In waiting requests, for an adapter that is asked for and has no place: its callers
# wait for one, and are told to come back.
UNPLACED_WORTH = 0.5
# Callers that were told to come back for an adapter have done so by then.
ASKED_LATELY_MS = 2_000.0
# In waiting requests, for each second of loading. Lower, and rare models displace
# each other from engines that have no copy on disk; higher, and a busy model's
# second copy comes when its callers have left.
LOAD_COST_PER_S = 0.75
# Callers that wait for a missing model at once, for whom its time costs count once.
HASTE_CALLERS = 2.0


class ModelDemand(NamedTuple):
    """What entries ask of one model, smoothed.

    Parameters
    ----------
    waiting : float
        Requests at engines that wait for their first event.
    in_flight : float
        Requests that were let in and have not ended.
    recent : float
        1 for a model asked for just now, falling to 0 with time.
    n_held_up : int
        Entries' questions for it that wait for an order to be possible.
    """

    waiting: float = 0.0
    in_flight: float = 0.0
    recent: float = 0.0
    n_held_up: int = 0

    @property
    def n_callers(self) -> float:
        """Requests and questions that would wait if no engine had the model."""
        return self.in_flight + self.n_held_up


NO_DEMAND = ModelDemand()
NO_USE: Mapping[tuple[str, str], float] = MappingProxyType({})


def prior_demand(copies: Mapping[str, int]) -> dict[str, float]:
    """Return what waits for each model as the present copies let expect.

    A new leader knows no demand yet; the layout shows what its predecessor saw.
    """
    return {name: HOT_WAITING * n * n / 2 for name, n in copies.items() if n > 1}


class Step(NamedTuple):
    """The next order, or the one that makes room for it.

    Parameters
    ----------
    record : EngineRecord
    drop_model : str
        Model to unload first; empty for none.
    drop_adapter : tuple of str or None
        Model and adapter to unload first.
    cost : float
        What a model's load costs here, in waiting requests.
    n_callers : float
        Callers that wait for the load, for each engine that is to serve them.
    """

    record: EngineRecord
    drop_model: str = ""
    drop_adapter: tuple[str, str] | None = None
    cost: float = 0.0
    n_callers: float = 0.0


def adapter_step(
    records: Sequence[EngineRecord],
    model: ModelSpec,
    used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
    idle_ms: float = ADAPTER_IDLE_MS,
) -> Step | None:
    """Return where an adapter goes; None while no engine can take it.

    Free places go first, where the load is least; then an adapter that other
    engines hold too makes way, then the one not used for longest.

    Parameters
    ----------
    records : sequence of EngineRecord
        All engines; those that hold the model may take the adapter.
    model : ModelSpec
        The adapter's model.
    used_ms : mapping of tuple of str to float
        When each model's adapter was last asked for.
    now_ms : float
    idle_ms : float
        Time since its last use after which an adapter may make way.
    """
    able = [each for each in records if each.is_usable and each.holds(model.name)]
    free = [each for each in able if each.has_place(model.name)]
    if free:
        return Step(min(free, key=_adapter_load))
    copies = Counter(key for each in records for key in each.adapter_keys())
    oldest_ms = now_ms - idle_ms
    idle = [
        (copies[key] <= 1, used_ms.get(key, 0.0), each, key)
        for each in able
        for key in each.adapter_keys()
        if used_ms.get(key, 0.0) < oldest_ms and key not in each.in_transit
    ]
    if not idle:
        return None
    _, _, record, key = min(idle, key=lambda option: option[:2])
    return Step(record, "", key)


def spread_step(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    in_flight: Mapping[tuple[str, str], float],
    used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
) -> tuple[ModelSpec, str, Step] | None:
    """Return a copy of an adapter for an engine with less to do; None for none.

    Requests for an adapter go only where it is; a copy lets them go where its
    model is and little runs. The adapter that is asked for most goes first.

    Parameters
    ----------
    records : sequence of EngineRecord
    models : sequence of ModelSpec
    in_flight : mapping of tuple of str to float
        Requests by model and adapter.
    used_ms : mapping of tuple of str to float
    now_ms : float
    """
    specs = {each.name: each for each in models}
    held: dict[tuple[str, str], list[EngineRecord]] = {}
    for each in records:
        for key in each.adapter_keys():
            held.setdefault(key, []).append(each)
    for name, adapter in sorted(in_flight, key=in_flight.__getitem__, reverse=True):
        spec = specs.get(name)
        if spec is None or not adapter:
            continue
        if in_flight[name, adapter] < MIN_SPREAD_IN_FLIGHT:
            return None
        holders = held.get((name, adapter), ())
        if not holders or any((name, adapter) in each.in_transit for each in holders):
            continue
        least = min(each.n_running + each.n_queued for each in holders)
        others = [
            each
            for each in records
            if least - each.n_running - each.n_queued >= SPREAD_GAP
            and each.holds(name)
            and each not in holders
        ]
        if not others:
            continue
        step = adapter_step(others, spec, used_ms, now_ms, SPREAD_IDLE_MS)
        if step is not None:
            return spec, adapter, step
    return None


def _adapter_load(record: EngineRecord) -> float:
    """Return what runs on an engine, and what its adapters will bring there."""
    return record.n_running + record.n_queued + record.n_adapters


def missing_step(
    records: Sequence[EngineRecord],
    model: ModelSpec,
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    only: EngineRecord | None = None,
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
    """
    layout = _Layout.of(records)
    n_callers = demand.get(model.name, NO_DEMAND).n_callers
    # Time that passes until the load is done is lost by all who wait for it.
    haste = max(1.0, n_callers / HASTE_CALLERS)
    options = []
    for each in [only] if only else records:
        if not each.will_take(model.name, n_callers, now_ms):
            continue
        option = _option(each, model, layout, demand, now_ms, haste)
        if option is not None:
            options.append(_after_order(option, haste, n_callers, now_ms))
    return min(options, key=_cost, default=None)


def _after_order(step: Step, haste: float, n_callers: float, now_ms: float) -> Step:
    """Add the cost of waiting for the end of the engine's present order."""
    wait_cost = haste * LOAD_COST_PER_S * step.record.busy_ms(now_ms) / 1000
    return step._replace(cost=step.cost + wait_cost, n_callers=n_callers)


def _cost(step: Step) -> float:
    return step.cost


def copy_step(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    demand: Mapping[str, ModelDemand],
    now_ms: float,
    used_ms: Mapping[tuple[str, str], float] = NO_USE,
) -> tuple[ModelSpec, Step] | None:
    """Return the copy that gains most, if it gains enough; None otherwise.

    A copy also gives adapters places that engines with the model have not.

    Parameters
    ----------
    records : sequence of EngineRecord
    models : sequence of ModelSpec
    demand : mapping of str to ModelDemand
    now_ms : float
    used_ms : mapping of tuple of str to float
        When each model's adapter was last asked for.
    """
    layout = _Layout.of(records)
    copies = layout.copies
    unplaced = _unplaced(records, used_ms, now_ms)

    def need(model: ModelSpec) -> float:
        asked = _asked(demand.get(model.name, NO_DEMAND))
        asked += UNPLACED_WORTH * unplaced[model.name]
        return asked / (copies.get(model.name, 0) + 1)

    def idle_places(record: EngineRecord) -> int:
        n_used = sum(
            used_ms.get(key, 0.0) >= now_ms - SPREAD_IDLE_MS
            for key in record.adapter_keys()
        )
        return record.spec.max_adapters - n_used

    ranked = sorted(models, key=need, reverse=True)
    for model in ranked:
        n_copies = copies.get(model.name, 0)
        wanted = demand.get(model.name, NO_DEMAND)
        # What nobody holds is loaded when it is asked for.
        if not n_copies:
            continue
        gain = _risk(wanted) if n_copies == 1 else 0.0
        if wanted.waiting / n_copies >= HOT_WAITING:
            gain += wanted.waiting / (n_copies * (n_copies + 1))
        n_unplaced = unplaced[model.name]
        if not gain and not n_unplaced:
            continue
        step = _best_copy(
            records, model, layout, demand, gain, n_unplaced, idle_places, now_ms
        )
        if step is not None:
            return model, step
    return None


def _unplaced(
    records: Sequence[EngineRecord],
    used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
) -> Counter[str]:
    """Return the adapters asked for lately that no engine has, by model."""
    placed = {key for each in records if each.stays for key in each.adapter_keys()}
    return Counter(
        name
        for (name, adapter), at_ms in used_ms.items()
        if at_ms >= now_ms - ASKED_LATELY_MS and (name, adapter) not in placed
    )


class _Layout(NamedTuple):
    """Who holds what.

    Parameters
    ----------
    copies : dict of str to int
        Engines that stay, by model.
    zones : set of tuple of str
        Each held model with the zones that it is held in.
    """

    copies: dict[str, int]
    zones: set[tuple[str, str]]

    @classmethod
    def of(cls, records: Sequence[EngineRecord]) -> "_Layout":
        """Return the layout of these engines."""
        zones = {(name, each.server.zone) for each in records for name in each.held}
        return cls(copies_of(records), zones)


def _asked(demand: ModelDemand) -> float:
    return demand.waiting + _risk(demand)


def _best_copy(
    records: Sequence[EngineRecord],
    model: ModelSpec,
    layout: "_Layout",
    demand: Mapping[str, ModelDemand],
    gain: float,
    n_unplaced: int,
    idle_places: Callable[[EngineRecord], int],
    now_ms: float,
) -> Step | None:
    wanted = demand.get(model.name, NO_DEMAND)
    n_callers = wanted.waiting / (layout.copies.get(model.name, 0) + 1)
    options = []
    for each in records:
        if not each.will_take(model.name, n_callers, now_ms):
            continue
        option = _option(each, model, layout, demand, now_ms)
        if option is None:
            continue
        option = _after_order(option, 1.0, n_callers, now_ms)
        here = gain + UNPLACED_WORTH * min(n_unplaced, idle_places(each))
        if option.cost * GAIN_FACTOR <= here:
            options.append((here - option.cost, option))
    return max(options, key=lambda each: each[0], default=(0.0, None))[1]


def _option(
    record: EngineRecord,
    model: ModelSpec,
    layout: "_Layout",
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
        worth[name] = _worth(name, layout.copies, demand, record.n_running, haste)
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
    copies: Mapping[str, int],
    demand: Mapping[str, ModelDemand],
    n_on_engine: int,
    haste: float,
) -> float:
    """Return what one copy of a model is worth, in waiting requests.

    `n_on_engine` are the requests that run on the copy's engine, for any model;
    `haste` is the factor on the wait for their end.
    """
    n_copies = copies.get(name, 1)
    wanted = demand.get(name, NO_DEMAND)
    n_running = min(wanted.in_flight / n_copies, n_on_engine)
    running = RUNNING_WORTH * n_running + haste * BLOCKED_COST * min(1.0, n_running)
    if n_copies <= 1:
        return LAST_COPY * (1.0 + wanted.recent) + 2.0 * wanted.waiting + running
    worth = wanted.waiting / (n_copies * (n_copies - 1)) + running
    return worth + _risk(wanted) if n_copies == 2 else worth


def _risk(demand: ModelDemand) -> float:
    """Return what a second copy of a model is worth against the loss of the first."""
    return SOLE_COPY_RISK * demand.in_flight


def copies_of(records: Iterable[EngineRecord]) -> dict[str, int]:
    """Return how many engines that stay hold each model."""
    copies: dict[str, int] = {}
    for each in records:
        if each.stays:
            for name in each.held:
                copies[name] = copies.get(name, 0) + 1
    return copies
