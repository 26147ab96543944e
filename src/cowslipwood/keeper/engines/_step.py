"""Defines the next step towards a model or an adapter on an engine."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ...routes import ModelSpec
from ._engine_record import EngineRecord

__all__ = ["PlannedLoad", "Step", "skip_pauses"]


class Step(NamedTuple):
    """The next order, or the unload that makes room for it.

    Parameters
    ----------
    record : EngineRecord
    unload_model : str
        Model to unload first; empty for none.
    unload_adapter : tuple of str or None
        Model and adapter to unload first.
    cost : float
        Cost of loading the model on this engine, in waiting requests.
    load_priority : float
        Waiting requests that the load is worth: the callers of a missing model, or the
        gain of a copy. It ranks steps that want the same engine.
    """

    record: EngineRecord
    unload_model: str = ""
    unload_adapter: tuple[str, str] | None = None
    cost: float = 0.0
    load_priority: float = 0.0


# A model, and the next step towards its load.
PlannedLoad = tuple[ModelSpec, Step]


def skip_pauses(planned_loads: Iterable[PlannedLoad | None]) -> Iterator[PlannedLoad]:
    """Yield the loads of a plan without the places at which it may pause."""
    return (planned for planned in planned_loads if planned is not None)
