"""Interface between the agent and any kind of engine."""

import enum
from collections.abc import Mapping
from typing import NamedTuple, Protocol

from returns.result import Result

from ...kernel.codes import Code, Failure
from ...kernel.messages import Resident

__all__ = ["EngineDialect", "EngineState", "Order", "OrderOp"]


class OrderOp(enum.StrEnum):
    """Operation that an order requests from an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    RAISE_FENCE = "raise_fence"


class Order(NamedTuple):
    """One order to an engine.

    Parameters
    ----------
    order_id : str
        Identifier of the order. An engine that checks fencing numbers runs an order
        at most once for each identifier.
    op : OrderOp
    model, version : str
        Name and version of the model.
    base : str
        Name of an adapter's base model; empty for a model.
    memory_bytes : int
    fence : int
        Fencing number. Engines that check it refuse an order whose number is lower
        than the highest one that they have seen.
    """

    order_id: str
    op: OrderOp
    model: str
    version: str
    base: str
    memory_bytes: int
    fence: int


class EngineState(NamedTuple):
    """State of an engine as the engine reports it.

    Parameters
    ----------
    capacity_bytes : int
    fence : int
        Highest fencing number that the engine has seen.
    residents : tuple of Resident
    order_states : dict of str to str
        State of each order that the engine knows, by identifier: running, done or
        refused.
    n_in_flight : int
    knee_in_flight : int
        Largest number of concurrent requests at which the engine still serves each
        at full speed.
    kv_bytes : int
        KV cache of all requests at the engine, in bytes.
    kv_bytes_per_token : int
        KV cache that one token of a prompt or an answer takes, in bytes.
    bases : mapping of (str, str) to str
        Name of the base model of each resident adapter, by the adapter's name and
        version.
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
    """Client of one engine.

    Attributes
    ----------
    checks_fence : bool
        Whether the engine runs an order at most once for each identifier and refuses
        orders with an outdated fencing number.
    refusals : mapping of int to Code
        HTTP statuses by which the engine refuses a call before running it.
    """

    checks_fence: bool
    refusals: Mapping[int, Code]

    async def state(self) -> Result[EngineState, Failure]:
        """Read the engine's state; fails with BACKEND_UNREACHABLE."""

    async def order(self, order: Order) -> Result[None, Failure]:
        """Send an order and wait for its result.

        Fails with ORDER_REFUSED or ORDER_STALE when the engine refused the order, with
        BACKEND_UNREACHABLE when no connection could be made, and with ORDER_UNCERTAIN
        when the result is not known.
        """

    async def cancel(self, request_id: str) -> Result[None, Failure]:
        """Cancel a call; succeeds once the engine has freed the call's memory.

        Fails with BACKEND_UNREACHABLE when it is not known whether the engine has.
        """
