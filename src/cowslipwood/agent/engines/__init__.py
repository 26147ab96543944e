"""Engine dialects: how orders and calls reach each make of engine."""

from ._dialect import EngineDialect, EngineState, Order, OrderOp

__all__ = ["EngineDialect", "EngineState", "Order", "OrderOp"]
