"""Orders to engines that have no agent beside them, given by the leading keeper."""

from ._controller import EngineController, OrderParameters
from ._orders import EngineClient, EngineOrder, EngineReport, OrderOp, OrderOutcome

__all__ = [
    "EngineClient",
    "EngineController",
    "EngineOrder",
    "EngineReport",
    "OrderParameters",
    "OrderOp",
    "OrderOutcome",
]
