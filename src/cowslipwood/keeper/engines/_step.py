"""Defines the next step towards a model or an adapter on an engine."""

from typing import NamedTuple

from ._engine_record import EngineRecord

__all__ = ["Step"]


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
    n_callers : float
        Callers that wait for the load, per engine that is to serve them.
    """

    record: EngineRecord
    unload_model: str = ""
    unload_adapter: tuple[str, str] | None = None
    cost: float = 0.0
    n_callers: float = 0.0
