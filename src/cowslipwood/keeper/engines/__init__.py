"""Orders of the leading keeper to engines that have no agent beside them."""

from ._controller import EngineController, OrderParameters
from ._orders import EngineClient, EngineOrder, EngineReport, OrderOp, OrderOutcome

__all__ = [
    "EngineClient",
    "EngineController",
    "EngineOrder",
    "EngineReport",
    "OrderOp",
    "OrderOutcome",
    "OrderParameters",
]
