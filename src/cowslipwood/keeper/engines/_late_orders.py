"""Remembers orders without an answer, which engines may still carry out."""

from collections.abc import Sequence

from ._orders import EngineOrder, OrderOp

__all__ = ["LateOrders", "find_late_loads"]

# Time after which an order that had no answer is no longer on its way, in ms. Much
# longer than an order stays on its way.
ORDER_LIFETIME_MS = 60_000.0


class LateOrders:
    """Orders without an answer, by the id of the server that they were sent to.

    A server may start again under its id. Its sequence number starts again too, so the
    next run may reach the number that an order to an earlier run expects.
    """

    def __init__(self):
        self._orders_by_id: dict[str, list[tuple[float, EngineOrder]]] = {}

    def record(self, server_id: str, order: EngineOrder, now_ms: float) -> None:
        """Record an order that had no answer until now."""
        self._orders_by_id.setdefault(server_id, []).append((now_ms, order))

    def list_orders(self, server_id: str, now_ms: float) -> tuple[EngineOrder, ...]:
        """Return the orders to a server that it may still carry out."""
        oldest_ms = now_ms - ORDER_LIFETIME_MS
        recent = [
            (sent_ms, order)
            for sent_ms, order in self._orders_by_id.pop(server_id, ())
            if sent_ms >= oldest_ms
        ]
        if recent:
            self._orders_by_id[server_id] = recent
        return tuple(order for _, order in recent)


def find_late_loads(
    orders: Sequence[EngineOrder], sequence: int | None
) -> list[EngineOrder]:
    """Return the loads that an engine carries out at a sequence number, if they come.

    It carries out one of them at most, as that raises its number.
    """
    return [
        order
        for order in orders
        if order.op is OrderOp.LOAD and order.expected_sequence == sequence
    ]
