"""Plans one round of loads: missing models and copies, ranked by waiting callers."""

from collections.abc import Collection, Iterator, Mapping, Sequence

from ...routes import ModelSpec
from ._copies import plan_copies
from ._engine_record import EngineRecord
from ._expected_load import ExpectedLoad
from ._placement import (
    NO_DEMAND,
    POPULAR_MODEL_MIN_CALLERS,
    ModelDemand,
    choose_load_step,
)
from ._step import PlannedLoad, Step

__all__ = ["plan_loads", "plan_missing_model"]


def plan_loads(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    missing: Collection[str],
    demand: Mapping[str, ModelDemand],
    expected_load: ExpectedLoad,
    adapter_last_used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
    may_unload: bool = True,
    is_brief: bool = False,
) -> Iterator[PlannedLoad | None]:
    """Yield the next step of each load that is worth its engine's time.

    Missing models with many callers come first, then copies, then missing models with
    few callers. Each step reserves the next load of its engine, so that a later step
    gets the engine only if its load is worth much more.

    Yields None after each other short unit of work. At each yield the caller may begin
    the step and let other tasks run, also such as change the records.

    Parameters
    ----------
    records : sequence of EngineRecord
    models : sequence of ModelSpec
    missing : collection of str
        Models that are requested and that no engine holds.
    demand : mapping of str to ModelDemand
    expected_load : ExpectedLoad
        Expected load of these engines under this demand.
    adapter_last_used_ms : mapping of tuple of str to float
        When each model's adapter was last requested.
    now_ms : float
    may_unload : bool
        Whether a model may be unloaded for another one; False while the demand is
        unknown.
    is_brief : bool
        Whether to leave out copies and the missing models with few callers, which come
        after copies, except for loads into room that has been made for them.
    """

    def count_callers(spec: ModelSpec) -> float:
        return demand.get(spec.name, NO_DEMAND).n_callers

    def iterate_missing(specs: Sequence[ModelSpec]) -> Iterator[PlannedLoad | None]:
        for spec in specs:
            step = plan_missing_model(records, spec, demand, expected_load, now_ms)
            if step is not None:
                expected_load.add_copy(spec.name, step.record.server.server_id)
            yield None if step is None else (spec, step)

    def iterate_all() -> Iterator[PlannedLoad | None]:
        missing_specs = [model for model in models if model.name in missing]
        missing_specs.sort(key=count_callers, reverse=True)
        popular_specs = [
            model
            for model in missing_specs
            if count_callers(model) >= POPULAR_MODEL_MIN_CALLERS
        ]
        yield from iterate_missing(popular_specs)
        if is_brief:
            yield from _list_reserved_loads(records, models, demand, now_ms)
            return
        yield from plan_copies(
            records, models, demand, now_ms, adapter_last_used_ms, expected_load
        )
        yield from iterate_missing(missing_specs[len(popular_specs) :])

    for planned in iterate_all():
        if planned is None or (planned[1].unload_model and not may_unload):
            yield None
            continue
        spec, step = planned
        step.record.reserve_next_load(spec.name, step.load_priority, now_ms)
        yield planned


def _list_reserved_loads(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    demand: Mapping[str, ModelDemand],
    now_ms: float,
) -> list[PlannedLoad]:
    """Return the loads into room that has been made for them."""
    by_name = {model.name: model for model in models}
    loads = []
    for record in records:
        spec = by_name.get(record.get_reserved_model(now_ms))
        if spec is not None and record.is_usable and record.free_mb >= spec.weights_mb:
            n_callers = demand.get(spec.name, NO_DEMAND).n_callers
            loads.append((spec, Step(record, load_priority=n_callers)))
    return loads


def plan_missing_model(
    records: Sequence[EngineRecord],
    spec: ModelSpec,
    demand: Mapping[str, ModelDemand],
    expected_load: ExpectedLoad | None,
    now_ms: float,
) -> Step | None:
    """Return the next step for a model that no available engine holds yet.

    None while the model is being loaded, or while no engine can load the model.
    """
    available = [record for record in records if record.is_available]
    if any(record.loading_model == spec.name for record in available):
        return None
    reserving_records = (
        record for record in available if record.is_reserved_for(spec.name, now_ms)
    )
    reserved_record = next(reserving_records, None)
    return choose_load_step(
        available, spec, demand, now_ms, reserved_record, expected_load
    )
