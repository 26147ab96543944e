"""What the agent needs of an engine, whatever its make."""

import enum
from typing import NamedTuple, Protocol

from returns.result import Result

from ...kernel.codes import Failure
from ...kernel.messages import Resident

__all__ = ["EngineDialect", "EngineState", "Order", "OrderOp"]


class OrderOp(enum.StrEnum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(NamedTuple):
    """One order to an engine.

    Parameters
    ----------
    order_id : str
        The engine runs an order once for each id.
    op : OrderOp
    model, version, base : str
    memory_bytes : int
    fence : int
        Fencing number; engines that check it refuse one below the highest seen.
    """

    order_id: str
    op: OrderOp
    model: str
    version: str
    base: str
    memory_bytes: int
    fence: int


class EngineState(NamedTuple):
    """What an engine says of itself.

    Parameters
    ----------
    capacity_bytes : int
    fence : int
        Highest fencing number seen.
    residents : tuple of Resident
    order_states : dict of str to str
        State of each order known, by id: running, done or refused.
    n_in_flight : int
    knee_in_flight : int
        Requests served at full speed at once.
    """

    capacity_bytes: int
    fence: int
    residents: tuple[Resident, ...]
    order_states: dict[str, str]
    n_in_flight: int
    knee_in_flight: int


class EngineDialect(Protocol):
    """Talks to one engine."""

    checks_fence: bool

    async def state(self) -> Result[EngineState, Failure]:
        """Read the engine's state; fails with BACKEND_UNREACHABLE."""

    async def order(self, order: Order) -> Result[None, Failure]:
        """Run an order to its end.

        Fails with ORDER_REFUSED or ORDER_STALE when the engine said no, and
        with ORDER_UNCERTAIN when its end is not known.
        """
