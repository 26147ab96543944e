"""An engine without an agent, in memory, and builders of records for it."""

from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from cowslipwood.keeper.engines import (
    EngineController,
    EngineOrder,
    EngineReport,
    OrderOp,
    OrderOutcome,
    OrderParameters,
)
from cowslipwood.keeper.engines._engine_record import EngineRecord
from cowslipwood.kernel.codes import Code, Failure, failure
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.listing import ListedModel, ListedServer
from cowslipwood.routes import EngineSpec, ModelSpec, RouteDocument, ServiceSpec

MODELS = tuple(
    ModelSpec(f"m{i}", 30.0, 0.05, 0.01, 0.02, n_adapters=9, adapter_size_mb=1.0)
    for i in range(6)
)
SPEC = EngineSpec(8, 80.0, 3, 2.0, 1000, MODELS)


def server(server_id: str, **changes: Any) -> ListedServer:
    """Return an engine as the list names it."""
    fields: dict[str, Any] = {"n_slots": 8, "born_ms": 1}
    return ListedServer(
        server_id, "llm", "zone-1", "127.0.0.1:1", **{**fields, **changes}
    )


def record(
    server_id: str, held: dict[str, set[str]], *, spec: EngineSpec = SPEC
) -> EngineRecord:
    """Return a record that is in step with its engine."""
    made = EngineRecord(server(server_id), spec)
    made.sequence = 0
    made.held = {model: set(adapters) for model, adapters in held.items()}
    return made


class FakeEngine:
    """Carries out orders as engines do, and fails as they do.

    Parameters
    ----------
    server_id : str
    held : dict of str to set of str
        Adapters by model.
    """

    def __init__(self, server_id: str, held: dict[str, set[str]]):
        self.server_id = server_id
        self.held = held
        self.sequence = 0
        self.token = 0
        self.is_busy = False
        self.late: list[EngineOrder] = []
        self.loses_answers = False
        self.defers = False
        self.is_dark = False
        self.is_leaving = False
        self.overflows = 0
        self.keeper_ids: list[str] = []
        self.in_use: set[tuple[str, str]] = set()
        self.waiting: list[tuple[str, str]] = []

    def used_mb(self) -> float:
        """Return what is held."""
        return sum(30.0 + len(adapters) for adapters in self.held.values())

    def n_adapters(self) -> int:
        """Return the adapters held."""
        return sum(map(len, self.held.values()))

    def take(self, order: EngineOrder) -> OrderOutcome:
        """Carry out an order, or refuse it."""
        if order.fencing_token < self.token:
            return OrderOutcome.FENCED
        if order.expected_sequence != self.sequence or self.is_busy:
            return OrderOutcome.CONFLICT
        self.token = order.fencing_token
        self.sequence += 1
        self.keeper_ids.append(order.keeper_id)
        if order.adapter:
            adapters = self.held[order.model]
            if order.op is OrderOp.LOAD:
                adapters.add(order.adapter)
            elif (order.model, order.adapter) in self.in_use:
                self.waiting.append((order.model, order.adapter))
                self.is_busy = True
            else:
                adapters.discard(order.adapter)
                return OrderOutcome.DONE
        elif order.op is OrderOp.LOAD:
            self.held[order.model] = set()
        else:
            self.held.pop(order.model, None)
        if self.used_mb() > SPEC.weights_mb or self.n_adapters() > SPEC.max_adapters:
            self.overflows += 1
        return OrderOutcome.ACCEPTED

    def end_runs(self) -> None:
        """End all runs, and what waited for them."""
        self.in_use.clear()
        for model, adapter in self.waiting:
            self.held[model].discard(adapter)
        self.waiting.clear()
        self.is_busy = False

    def run_late(self) -> None:
        """Carry out what was deferred."""
        late, self.late = self.late, []
        for order in late:
            self.take(order)

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
            born_ms=1,
            is_leaving=self.is_leaving,
        )


class FakeFleet:
    """The list, the dialect and the leadership of a controller under test."""

    def __init__(self, engines: list[FakeEngine]):
        self.engines = {engine.server_id: engine for engine in engines}
        self.leads = True
        self.term = 1
        self.spec = SPEC
        self.orders: list[EngineOrder] = []

    async def read(self) -> Result[list[ListedServer], Failure]:
        """Return the list."""
        return Success([server(name) for name in self.engines])

    async def report(self, listed: ListedServer) -> Result[EngineReport, Failure]:
        """Return an engine's report; none from one that is dark."""
        if self.engines[listed.server_id].is_dark:
            return Err(failure(Code.BACKEND_TIMEOUT))
        return Success(self.engines[listed.server_id].report())

    async def order(
        self, listed: ListedServer, order: EngineOrder
    ) -> Result[OrderOutcome, Failure]:
        """Give an order, which may lose its answer or arrive late."""
        await anyio.sleep(0)
        self.orders.append(order)
        engine = self.engines[listed.server_id]
        if engine.defers:
            engine.late.append(order)
            return Err(failure(Code.BACKEND_TIMEOUT))
        outcome = engine.take(order)
        if engine.loses_answers:
            return Err(failure(Code.BACKEND_TIMEOUT))
        return Success(outcome)

    def controller(self, quiet_ms: float = 0.0) -> EngineController:
        """Return a controller that gives orders to these engines."""
        document = RouteDocument(1, (), (ServiceSpec("llm", engine=self.spec),))
        return EngineController(
            OrderParameters("k1", quiet_ms=quiet_ms),
            self,
            self,
            lambda now_ms: self.leads,
            lambda: self.term,
            lambda: document,
            Metrics("keeper"),
        )
