"""Decides one round of loads: missing models and copies, ranked by who waits."""

from collections.abc import Collection, Mapping, Sequence

from ...routes import ModelSpec
from ._copies import copy_steps
from ._decide import BUSY_IN_FLIGHT, NO_DEMAND, ModelDemand, missing_step
from ._expected_load import ExpectedLoad
from ._record import EngineRecord
from ._step import Step

__all__ = ["missing_model_step", "plan_round"]


def plan_round(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    missing: Collection[str],
    demand: Mapping[str, ModelDemand],
    expected_load: ExpectedLoad,
    used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
    may_drop: bool = True,
) -> list[tuple[ModelSpec, Step]]:
    """Return the next step of each load that is worth its engine's time.

    Models that many ask for and no engine has go first, then copies, then models that
    few ask for. Each step keeps its engine from those after it, unless many more
    callers wait for them.

    Parameters
    ----------
    records : sequence of EngineRecord
    models : sequence of ModelSpec
    missing : collection of str
        Models that are asked for and that no engine has.
    demand : mapping of str to ModelDemand
    expected_load : ExpectedLoad
        Of these engines under this demand.
    used_ms : mapping of tuple of str to float
        When each model's adapter was last asked for.
    now_ms : float
    may_drop : bool
        Whether the demand is known, so that one model may make way for another.
    """
    steps: list[tuple[ModelSpec, Step]] = []

    def take(spec: ModelSpec, step: Step) -> None:
        if step.drop_model and not may_drop:
            return
        step.record.await_for(spec.name, step.n_callers, now_ms)
        steps.append((spec, step))

    def n_callers(spec: ModelSpec) -> float:
        return demand.get(spec.name, NO_DEMAND).n_callers

    def take_missing(specs: Sequence[ModelSpec]) -> None:
        for spec in specs:
            step = missing_model_step(records, spec, demand, expected_load, now_ms)
            if step is not None:
                take(spec, step)
                expected_load.add_copy(spec.name, step.record.server.server_id)

    wanted = [each for each in models if each.name in missing]
    wanted.sort(key=n_callers, reverse=True)
    busy = [each for each in wanted if n_callers(each) >= BUSY_IN_FLIGHT]
    take_missing(busy)
    for spec, step in copy_steps(
        records, models, demand, now_ms, used_ms, expected_load
    ):
        take(spec, step)
    take_missing(wanted[len(busy) :])
    return steps


def missing_model_step(
    records: Sequence[EngineRecord],
    spec: ModelSpec,
    demand: Mapping[str, ModelDemand],
    expected_load: ExpectedLoad | None,
    now_ms: float,
) -> Step | None:
    """Return the next step for a model that no engine that stays holds yet.

    None while it is being loaded, or no engine can take it.
    """
    staying = [each for each in records if each.stays]
    if any(each.loading == spec.name for each in staying):
        return None
    reserved = (e for e in staying if e.is_reserved_for(spec.name, now_ms))
    only = next(reserved, None)
    return missing_step(staying, spec, demand, now_ms, only, expected_load)
