"""An in-memory engine without an agent, and builders of records for its tests."""

from collections.abc import Callable
from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from cowslipwood.keeper._server_limits import ServerLimitTable
from cowslipwood.keeper.engines import (
    EngineController,
    EngineOrder,
    EngineReport,
    OrderOp,
    OrderOutcome,
    OrderParameters,
)
from cowslipwood.keeper.engines._engine_record import EngineRecord
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, Failure, failure
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.listing import ListedModel, ListedServer
from cowslipwood.routes import EngineSpec, ModelSpec, RouteDocument, ServiceSpec

MODELS = tuple(
    ModelSpec(f"m{number}", 30.0, 0.05, 0.01, 0.02, n_adapters=9, adapter_size_mb=1.0)
    for number in range(6)
)
SPEC = EngineSpec(8, 80.0, 3, 2.0, 1000, MODELS)


def make_listed_server(server_id: str, **changes: Any) -> ListedServer:
    """Return an engine as the list of servers contains it."""
    fields: dict[str, Any] = {"n_slots": 8, "born_ms": 1}
    return ListedServer(
        server_id, "llm", "zone-1", "127.0.0.1:1", **{**fields, **changes}
    )


def make_record(
    server_id: str, held: dict[str, set[str]], *, spec: EngineSpec = SPEC
) -> EngineRecord:
    """Return a record that is in sync with its engine."""
    record = EngineRecord(make_listed_server(server_id), spec)
    record.sequence = 0
    record.held = {model: set(adapters) for model, adapters in held.items()}
    return record


class FakeEngine:
    """Carries out orders as engines do, with the same kinds of failure.

    Parameters
    ----------
    server_id : str
    held : dict of str to set of str
        Adapters by model.

    Attributes
    ----------
    loses_answers : bool
        Whether orders are carried out, but their answers are lost.
    defers_orders : bool
        Whether orders are carried out only by `run_deferred_orders`.
    counts_orders_in_effect : bool
        Whether an order that is already in effect counts as accepted; it is answered
        DONE without being counted otherwise.
    is_unreachable : bool
        Whether the engine gives no report.
    n_overflows : int
        Orders after which the engine held more than its memory or slots allow.
    adapters_in_use : set of tuple of str
        Adapters whose unload waits until `end_running_requests`.
    """

    def __init__(self, server_id: str, held: dict[str, set[str]]):
        self.server_id = server_id
        self.held = held
        self.born_ms = 1
        self.sequence = 0
        self.fencing_token = 0
        self.is_busy = False
        self.deferred_orders: list[EngineOrder] = []
        self.loses_answers = False
        self.defers_orders = False
        self.counts_orders_in_effect = True
        self.is_unreachable = False
        self.is_leaving = False
        self.n_overflows = 0
        self.keeper_ids: list[str] = []
        self.adapters_in_use: set[tuple[str, str]] = set()
        self.pending_unloads: list[tuple[str, str]] = []

    def compute_used_mb(self) -> float:
        """Return the memory that models and adapters use."""
        return sum(30.0 + len(adapters) for adapters in self.held.values())

    def count_adapters(self) -> int:
        """Return the number of adapters held."""
        return sum(map(len, self.held.values()))

    def handle_order(self, order: EngineOrder) -> OrderOutcome:
        """Carry out an order, or refuse it."""
        if order.fencing_token < self.fencing_token:
            return OrderOutcome.FENCED
        if order.expected_sequence != self.sequence or self.is_busy:
            return OrderOutcome.CONFLICT
        if order.adapter and order.model not in self.held:
            return OrderOutcome.REFUSED
        self.fencing_token = order.fencing_token
        if not self.counts_orders_in_effect and self._is_in_effect(order):
            return OrderOutcome.DONE
        self.sequence += 1
        self.keeper_ids.append(order.keeper_id)
        if order.adapter:
            adapters = self.held[order.model]
            if order.op is OrderOp.LOAD:
                adapters.add(order.adapter)
            elif (order.model, order.adapter) in self.adapters_in_use:
                self.pending_unloads.append((order.model, order.adapter))
                self.is_busy = True
            else:
                adapters.discard(order.adapter)
                return OrderOutcome.DONE
        elif order.op is OrderOp.LOAD:
            self.held[order.model] = set()
        else:
            self.held.pop(order.model, None)
        if (
            self.compute_used_mb() > SPEC.weights_mb
            or self.count_adapters() > SPEC.max_adapters
        ):
            self.n_overflows += 1
        return OrderOutcome.ACCEPTED

    def _is_in_effect(self, order: EngineOrder) -> bool:
        """Return whether carrying out an order would change nothing."""
        is_held = order.model in self.held and (
            not order.adapter or order.adapter in self.held[order.model]
        )
        return is_held == (order.op is OrderOp.LOAD)

    def end_running_requests(self) -> None:
        """End all running requests, and carry out the unloads that waited for them."""
        self.adapters_in_use.clear()
        for model, adapter in self.pending_unloads:
            self.held[model].discard(adapter)
        self.pending_unloads.clear()
        self.is_busy = False

    def restart(self) -> None:
        """Start again, empty, under the same id; deferred orders stay on their way."""
        self.born_ms += 1
        self.held = {}
        self.sequence = 0
        self.fencing_token = 0
        self.is_busy = False
        self.adapters_in_use.clear()
        self.pending_unloads.clear()

    def run_deferred_orders(self) -> None:
        """Carry out the orders that were deferred."""
        orders, self.deferred_orders = self.deferred_orders, []
        for order in orders:
            self.handle_order(order)

    def report(self) -> EngineReport:
        """Return the present state."""
        models = tuple(
            ListedModel(name, 1, tuple(sorted(adapters)))
            for name, adapters in self.held.items()
        )
        return EngineReport(
            self.sequence,
            self.is_busy,
            models,
            born_ms=self.born_ms,
            is_leaving=self.is_leaving,
        )


class FakeFleet:
    """Stands in for the list, the client and the leadership of a controller.

    Parameters
    ----------
    engines : list of FakeEngine

    Attributes
    ----------
    limits : ServerLimitTable
        Limits that entries have reported.
    metrics : Metrics
        Metrics of the controllers.
    document : RouteDocument or None
        The document in force, which may be replaced at any time; None for one service
        with `spec`.
    before_orders : list of callable
        What happens just before each of the next orders arrives, one for each order.
    """

    def __init__(self, engines: list[FakeEngine]):
        self.engines = {engine.server_id: engine for engine in engines}
        self.can_act_as_leader = True
        self.leader_id = "k1"
        self.term = 1
        self.preceding_term = 0
        self.spec = SPEC
        self.limits = ServerLimitTable()
        self.metrics = Metrics("keeper")
        self.document: RouteDocument | None = None
        self.orders: list[EngineOrder] = []
        self.ordered_at_ms: list[float] = []
        self.before_orders: list[Callable[[], None]] = []

    async def read(self) -> Result[list[ListedServer], Failure]:
        """Return the list."""
        return Success(
            [
                make_listed_server(name, born_ms=engine.born_ms)
                for name, engine in self.engines.items()
            ]
        )

    async def report(self, listed: ListedServer) -> Result[EngineReport, Failure]:
        """Return an engine's report, or a failure if it is unreachable."""
        if self.engines[listed.server_id].is_unreachable:
            return Err(failure(Code.BACKEND_TIMEOUT))
        return Success(self.engines[listed.server_id].report())

    async def order(
        self, listed: ListedServer, order: EngineOrder
    ) -> Result[OrderOutcome, Failure]:
        """Send an order, whose answer may be lost or which may arrive late."""
        await anyio.sleep(0)
        if self.before_orders:
            self.before_orders.pop(0)()
        self.orders.append(order)
        self.ordered_at_ms.append(monotonic_ms())
        engine = self.engines[listed.server_id]
        if engine.defers_orders:
            engine.deferred_orders.append(order)
            return Err(failure(Code.BACKEND_TIMEOUT))
        outcome = engine.handle_order(order)
        if engine.loses_answers:
            return Err(failure(Code.BACKEND_TIMEOUT))
        return Success(outcome)

    def start_term(self, leader_id: str) -> None:
        """Let a keeper lead the next term."""
        self.leader_id = leader_id
        self.preceding_term = self.term
        self.term += 1

    def make_controller(
        self, keeper_id: str = "k1", order_quiet_ms: float = 0.0
    ) -> EngineController:
        """Return a keeper's controller, which gives orders to these engines."""
        default = RouteDocument(1, (), (ServiceSpec("llm", engine=self.spec),))
        return EngineController(
            OrderParameters(keeper_id, order_quiet_ms=order_quiet_ms),
            self,
            self,
            lambda now_ms: self.can_act_as_leader and self.leader_id == keeper_id,
            lambda: self.term,
            lambda: self.preceding_term,
            lambda: self.document or default,
            self.metrics,
            self.limits,
        )
