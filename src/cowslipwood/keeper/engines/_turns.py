"""Keeps a keeper from taking turns with another one in giving orders to an engine."""

import math

from ...kernel.logs import get_logger

__all__ = ["OrderTurns"]


class OrderTurns:
    """When this keeper may order each engine again after another keeper has led.

    Fencing tokens make an engine refuse the orders of earlier leaders. They do not
    show whether two keepers replace each other in quick succession, each undoing the
    orders of the other. A keeper that leads again after another one therefore leaves
    alone for a while the engines to which it gave its own last orders.

    Parameters
    ----------
    turn_ms : float
        Shortest time from an order of this keeper to its next one to the same engine,
        if another keeper has led in between.
    """

    def __init__(self, turn_ms: float):
        self._turn_ms = turn_ms
        self._term = 0
        # Last order to each engine, by server: in the present term and earlier ones
        # since another keeper led, and in the terms before that.
        self._own_order_ms: dict[str, float] = {}
        self._earlier_order_ms: dict[str, float] = {}

    def start_term(self, term: int, preceding_term: int, now_ms: float) -> None:
        """Start a term of this keeper.

        Parameters
        ----------
        term : int
        preceding_term : int
            Term of the log's last entry before this term. If it is not this keeper's
            last term, another keeper may have given orders in between.
        now_ms : float
        """
        if preceding_term != self._term:
            self._earlier_order_ms.update(self._own_order_ms)
            self._own_order_ms.clear()
        self._term = term
        oldest_ms = now_ms - self._turn_ms
        self._earlier_order_ms = {
            server_id: order_ms
            for server_id, order_ms in self._earlier_order_ms.items()
            if order_ms > oldest_ms
        }
        if self._earlier_order_ms:
            until_ms = max(self._earlier_order_ms.values()) + self._turn_ms
            get_logger().info(
                "orders_withheld",
                term=term,
                preceding_term=preceding_term,
                servers=len(self._earlier_order_ms),
                longest_ms=round(until_ms - now_ms),
            )

    def record_order(self, server_id: str, term: int, now_ms: float) -> None:
        """Record that an order of a term is sent to an engine or answered now.

        The answer may come in a later term than that of the order.
        """
        is_own = term == self._term
        order_ms = self._own_order_ms if is_own else self._earlier_order_ms
        order_ms[server_id] = now_ms

    def get_next_order_ms(self, server_id: str) -> float:
        """Return the earliest time of an order to an engine in this term."""
        return self._earlier_order_ms.get(server_id, -math.inf) + self._turn_ms
