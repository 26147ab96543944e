"""Engine dialects: how orders and cancellations reach each kind of engine."""

from ._dialect import EngineDialect, EngineState, Order, OrderOp

__all__ = ["EngineDialect", "EngineState", "Order", "OrderOp"]
