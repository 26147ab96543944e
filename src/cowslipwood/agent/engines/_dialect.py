"""What the agent needs of an engine, whatever its make."""

import enum
from collections.abc import Mapping
from typing import NamedTuple, Protocol

from returns.result import Result

from ...kernel.codes import Code, Failure
from ...kernel.messages import Resident

__all__ = ["EngineDialect", "EngineState", "Order", "OrderOp"]


class OrderOp(enum.StrEnum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    RAISE_FENCE = "raise_fence"


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
    kv_bytes : int
        KV cache of all requests at the engine.
    kv_bytes_per_token : int
        KV cache that one token of prompt or answer takes.
    bases : mapping of (str, str) to str
        The base of each resident adapter, by its name and version.
    """

    capacity_bytes: int
    fence: int
    residents: tuple[Resident, ...]
    order_states: dict[str, str]
    n_in_flight: int
    knee_in_flight: int
    kv_bytes: int
    kv_bytes_per_token: int
    bases: Mapping[tuple[str, str], str]


class EngineDialect(Protocol):
    """Talks to one engine.

    Attributes
    ----------
    checks_fence : bool
        Whether the engine runs an order at most once for each id and refuses
        orders with an old fencing number.
    refusals : mapping of int to Code
        HTTP statuses by which the engine refuses a call before running it.
    """

    checks_fence: bool
    refusals: Mapping[int, Code]

    async def state(self) -> Result[EngineState, Failure]:
        """Read the engine's state; fails with BACKEND_UNREACHABLE."""

    async def order(self, order: Order) -> Result[None, Failure]:
        """Run an order to its end.

        Fails with ORDER_REFUSED or ORDER_STALE when the engine said no, and
        with ORDER_UNCERTAIN when its end is not known.
        """

    async def cancel(self, request_id: str) -> Result[None, Failure]:
        """End a call; succeeds once the engine has freed what it took.

        Fails with BACKEND_UNREACHABLE when that is not known.
        """
