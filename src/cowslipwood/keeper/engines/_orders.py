"""Orders to and reports from an engine, and the interface of the client for both."""

import enum
from typing import NamedTuple, Protocol

from returns.result import Result

from ...kernel.codes import Failure
from ...listing import ListedModel, ListedServer

__all__ = ["EngineClient", "EngineOrder", "EngineReport", "OrderOp", "OrderOutcome"]


class OrderOp(enum.StrEnum):
    """Operation of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(enum.StrEnum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    DONE = "done"  # already in effect, or took effect at once
    CONFLICT = "conflict"  # another order is under way, or the state is newer
    FENCED = "fenced"  # a newer leader has given orders
    REFUSED = "refused"
    WRONG_SERVER = "wrong-server"


class EngineOrder(NamedTuple):
    """One order.

    Parameters
    ----------
    op : OrderOp
    model, adapter : str
        `adapter` is empty for the model itself.
    expected_sequence : int
        Number of orders that the engine has accepted so far. The engine refuses the
        order if its number differs, so that an order that arrives late has no
        effect.
    keeper_id : str
        Name of the keeper that gives the order.
    fencing_token : int
        Term of the keeper's leadership.
    """

    op: OrderOp
    model: str
    adapter: str
    expected_sequence: int
    keeper_id: str
    fencing_token: int


class EngineReport(NamedTuple):
    """State that an engine reports; the values may be some 100 ms old.

    Parameters
    ----------
    sequence : int
        Orders accepted since the engine's start.
    is_busy : bool
        Whether an order on a model is being carried out.
    models : tuple of ListedModel
    pending : tuple of tuple of str
        Model and name of each adapter that is being loaded.
    cached : frozenset of str
        Models whose weights the host keeps in memory or on disk.
    born_ms : int
        When the engine started; 0 if not reported.
    n_running, n_queued : int
        Requests.
    is_leaving : bool
        Whether the engine reports that it is about to stop; the list shows this
        later.
    kv_share : float
        Share of the memory for tokens that running requests hold; 0 if not reported.
    """

    sequence: int
    is_busy: bool
    models: tuple[ListedModel, ...]
    pending: tuple[tuple[str, str], ...] = ()
    cached: frozenset[str] = frozenset()
    born_ms: int = 0
    n_running: int = 0
    n_queued: int = 0
    is_leaving: bool = False
    kv_share: float = 0.0


class EngineClient(Protocol):
    """Client that translates orders and reports to an engine's dialect."""

    async def report(self, server: ListedServer) -> Result[EngineReport, Failure]:
        """Read an engine's report."""

    async def order(
        self, server: ListedServer, order: EngineOrder
    ) -> Result[OrderOutcome, Failure]:
        """Send an order; after a failure it may still be carried out, even late."""
