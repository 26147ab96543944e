"""Plans one round of loads: missing models and copies, ranked by waiting callers."""

from collections.abc import Collection, Mapping, Sequence

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
from ._step import Step

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
) -> list[tuple[ModelSpec, Step]]:
    """Return the next step of each load that is worth its engine's time.

    Missing models with many callers come first, then copies, then missing models with
    few callers. Each step reserves the next load of its engine, so that a later step
    gets the engine only if its load is worth much more.

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
    """
    steps: list[tuple[ModelSpec, Step]] = []

    def add_step(spec: ModelSpec, step: Step) -> None:
        if step.unload_model and not may_unload:
            return
        step.record.reserve_next_load(spec.name, step.load_priority, now_ms)
        steps.append((spec, step))

    def count_callers(spec: ModelSpec) -> float:
        return demand.get(spec.name, NO_DEMAND).n_callers

    def add_missing(specs: Sequence[ModelSpec]) -> None:
        for spec in specs:
            step = plan_missing_model(records, spec, demand, expected_load, now_ms)
            if step is not None:
                add_step(spec, step)
                expected_load.add_copy(spec.name, step.record.server.server_id)

    missing_specs = [model for model in models if model.name in missing]
    missing_specs.sort(key=count_callers, reverse=True)
    popular_specs = [
        model
        for model in missing_specs
        if count_callers(model) >= POPULAR_MODEL_MIN_CALLERS
    ]
    add_missing(popular_specs)
    for spec, step in plan_copies(
        records, models, demand, now_ms, adapter_last_used_ms, expected_load
    ):
        add_step(spec, step)
    add_missing(missing_specs[len(popular_specs) :])
    return steps


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
