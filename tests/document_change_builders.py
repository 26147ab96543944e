"""Documents that change while a leader plans, and the engines that they describe."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum, auto
from typing import Any, NamedTuple

import anyio
import anyio.abc
import orjson
from hypothesis import strategies as st
from returns.result import Result, Success

from cowslipwood.keeper.engines import EngineOrder, OrderOp, OrderOutcome
from cowslipwood.kernel.codes import Failure
from cowslipwood.kernel.messages import (
    DemandSample,
    EntryReport,
    HolderRequest,
    ServerView,
)
from cowslipwood.kernel.pacing import WorkPacer
from cowslipwood.listing import ListedServer
from cowslipwood.routes import RouteDocument, parse_document

from .engine_builders import FakeEngine, FakeFleet, make_listed_server
from .large_fleet import SimulatedProcessor, simulate_processor

SERVICES = ("a", "b")
SERVER_IDS = ("s0", "s1", "s2")
MODEL_NAMES = ("m0", "m1", "m2")
# Interval between two rounds, in milliseconds: longer than that of the list's reads.
ROUND_INTERVAL_MS = 1_000.0
# Patience of lookups, in milliseconds; they go on in the background.
PATIENCE_MS = 1.0
# Turns of the event loop after which a task that waits for none of them is done.
N_TURNS = 30
# Turns in which a round of planning begins to start orders.
MAX_TURNS = 6


class Arrival(Enum):
    """When a document comes into force, compared with the records of engines."""

    BEFORE_LIST = auto()  # the list is read afterwards
    AFTER_LIST = auto()  # the list was read before, and a round of planning follows
    DURING_ROUND = auto()  # while a round of planning runs


class Change(NamedTuple):
    """A document that comes into force, and the services that servers then have.

    Parameters
    ----------
    document : dict
        The document as JSON, without its version.
    arrival : Arrival
    services : tuple of str
        Service of each server of `SERVER_IDS` in the list.
    n_requests : tuple of int
        Requests in flight at one entry for each model of `MODEL_NAMES`.
    is_brief : bool
        Whether the round of planning is a brief one.
    n_turns : int
        Turns of the event loop after which a document comes into force during a round.
    """

    document: dict[str, Any]
    arrival: Arrival
    services: tuple[str, ...] = ("a",) * len(SERVER_IDS)
    n_requests: tuple[int, ...] = (4,) * len(MODEL_NAMES)
    is_brief: bool = False
    n_turns: int = 1


class Numbers(NamedTuple):
    """The numbers that documents are drawn from.

    Parameters
    ----------
    counts, sizes_mb, rates_per_s, times_s : tuple
    """

    counts: tuple[Any, ...] = (2, 8)
    sizes_mb: tuple[Any, ...] = (1.0, 30.0, 80.0)
    rates_per_s: tuple[Any, ...] = (0.5, 50.0)
    times_s: tuple[Any, ...] = (0.05, 1.2)


SOUND_NUMBERS = Numbers()
# Whatever a JSON number may be. A document with a count that is not whole is refused.
ANY_NUMBERS = Numbers(
    counts=(0, 1, 8, 64.0, 2**63, -1, 8.5),
    sizes_mb=(0, 0.0, 30.0, 80.0, 1e300, 1.7e308, -30.0),
    rates_per_s=(0, 0.0, 0.1, 2.0, 1e300, 1.7e308, -2.0),
    times_s=(0, 0.0, 0.05, 1e300, 1.7e308, -1.0),
)


def model_spec_value(name: str = "m0", **changes: Any) -> dict[str, Any]:
    """Return a model of an engine as JSON."""
    value = {
        "name": name,
        "weights_mb": 30.0,
        "load_time_s": 0.05,
        "warm_load_s": 0.01,
        "disk_load_s": 0.02,
        "n_adapters": 2,
        "adapter_size_mb": 1.0,
    }
    return {**value, **changes}


def engine_spec_value(*models: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Return the engine of a service as JSON."""
    value = {
        "n_slots": 8,
        "weights_mb": 80.0,
        "max_adapters": 3,
        "loads_per_s": 2.0,
        "kv_cache_tokens": 1000,
        "models": list(models),
    }
    return {**value, **changes}


def engines_document_value(**engines: dict[str, Any] | None) -> dict[str, Any]:
    """Return a document as JSON, without a version; plain services are None."""
    services = [{"name": name, "engine": engine} for name, engine in engines.items()]
    return {"routes": [], "services": services}


def document_changes(numbers: Numbers) -> st.SearchStrategy[Change]:
    """Return a hypothesis strategy that generates changes with these numbers."""
    counts, sizes_mb, rates_per_s, times_s = map(st.sampled_from, numbers)
    models = st.lists(
        st.builds(
            model_spec_value,
            st.sampled_from(MODEL_NAMES),
            weights_mb=sizes_mb,
            load_time_s=times_s,
            warm_load_s=times_s,
            disk_load_s=times_s,
            n_adapters=counts,
            adapter_size_mb=sizes_mb,
        ),
        max_size=2,
        unique_by=lambda model: model["name"],
    )
    engines = st.builds(
        lambda models, **fields: engine_spec_value(*models, **fields),
        models,
        n_slots=counts,
        weights_mb=sizes_mb,
        max_adapters=counts,
        loads_per_s=rates_per_s,
    )
    documents = st.fixed_dictionaries(
        {}, optional=dict.fromkeys(SERVICES, engines | st.none())
    ).map(lambda engines: engines_document_value(**engines))
    services = st.tuples(*[st.sampled_from(SERVICES)] * len(SERVER_IDS))
    n_requests = st.tuples(*[st.sampled_from((0, 1, 6, 40))] * len(MODEL_NAMES))
    return st.builds(
        Change,
        documents,
        st.sampled_from(Arrival),
        services,
        n_requests,
        st.booleans(),
        st.integers(0, MAX_TURNS),
    )


class ChangingFleet(FakeFleet):
    """Engines whose services and document change, and what they were ordered in vain.

    Attributes
    ----------
    services : dict of str to str
        Service of each server in the list.
    foreign_loads : list of EngineOrder
        Loads of models that the document in force did not have for that service.
    views : dict of str to ServerView
        What the leader tells entries after the last read of the list.
    """

    def __init__(self):
        super().__init__([FakeEngine(server_id, {}) for server_id in SERVER_IDS])
        self.services = dict.fromkeys(SERVER_IDS, SERVICES[0])
        self.foreign_loads: list[EngineOrder] = []
        self.views: dict[str, ServerView] = {}
        self.document = RouteDocument(1, (), ())

    async def read(self) -> Result[list[ListedServer], Failure]:
        """Return the list."""
        return Success(
            [
                make_listed_server(server_id)._replace(service=service)
                for server_id, service in self.services.items()
            ]
        )

    async def order(
        self, listed: ListedServer, order: EngineOrder
    ) -> Result[OrderOutcome, Failure]:
        """Send an order, and record whether the document in force allows it."""
        names = _list_models(self.document, listed.service)
        if order.op is OrderOp.LOAD and order.model not in names:
            self.foreign_loads.append(order)
        return await super().order(listed, order)


def _list_models(document: RouteDocument, service: str) -> list[str]:
    spec = document.service(service)
    if spec is None or spec.engine is None:
        return []
    return [model.name for model in spec.engine.models]


async def _run_other_tasks() -> None:
    """Let the tasks that are ready go on until they wait for a time."""
    for _ in range(N_TURNS):
        await anyio.sleep(0)


class PassRunner:
    """Runs rounds of control and of planning one at a time, without a network.

    Parameters
    ----------
    fleet : ChangingFleet
    processor : SimulatedProcessor
        The clock.
    tasks : anyio.abc.TaskGroup
        Runs what the rounds start.

    Attributes
    ----------
    n_refused : int
        Documents that a keeper would not have acknowledged.
    """

    def __init__(
        self,
        fleet: ChangingFleet,
        processor: SimulatedProcessor,
        tasks: anyio.abc.TaskGroup,
    ):
        self._fleet = fleet
        self._processor = processor
        self._controller = fleet.make_controller()
        self._controller._tasks = self._controller._planning._tasks = tasks
        self._tasks = tasks
        self._version = 1
        self.n_refused = 0

    async def run(self, change: Change) -> None:
        """Let a change arrive before, after or during a round of planning."""
        self._report_demand(change)
        match change.arrival:
            case Arrival.BEFORE_LIST:
                self._apply(change)
                await self._control()
                await self._look_up_all()
                await self._plan(change)
            case Arrival.AFTER_LIST:
                await self._control()
                self._apply(change)
                await self._look_up_all()
                await self._plan(change)
            case Arrival.DURING_ROUND:
                await self._control()
                await self._look_up_all()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._plan, change)
                    for _ in range(change.n_turns):
                        await anyio.sleep(0)
                    self._apply(change)
                    await self._control()
        await _run_other_tasks()

    def _apply(self, change: Change) -> None:
        self._version += 1
        self._fleet.services = dict(zip(SERVER_IDS, change.services, strict=True))
        value = {**change.document, "version": self._version}
        parsed = parse_document(orjson.dumps(value))
        self.n_refused += parsed.map(lambda _: 0).value_or(1)
        self._fleet.document = parsed.value_or(self._fleet.document)

    def _report_demand(self, change: Change) -> None:
        samples = tuple(
            DemandSample(f"a|{model}{adapter}", n / 2, n, 0.0, n / 4, target_ms=500.0)
            for model, n in zip(MODEL_NAMES, change.n_requests, strict=True)
            for adapter in ("", "/a1")
        )
        report = EntryReport("e0", "i", "zone-1", "", False, 0, samples)
        self._controller.record_entry_report(report, self._processor.now_ms())

    async def _control(self) -> None:
        """Read the list and the reports."""
        self._processor.used_ms += ROUND_INTERVAL_MS
        await self._controller._run_round(self._processor.now_ms())
        self._fleet.views = self._controller.build_server_views()
        # Until the reports have been read.
        await _run_other_tasks()

    async def _plan(self, change: Change) -> None:
        """Run one round of planning, which gives way after each unit of work."""
        pacer = WorkPacer(0.0)
        now_ms = self._processor.now_ms()
        await self._controller._planning._run_round(pacer, now_ms, change.is_brief)

    async def _look_up_all(self) -> None:
        """Look up each model and adapter, until the missing ones are marked."""
        for service in SERVICES:
            for model in MODEL_NAMES:
                for adapter in ("", "a1"):
                    request = HolderRequest(service, model, adapter, "", PATIENCE_MS)
                    self._tasks.start_soon(self._controller.find_holder, request)
        await _run_other_tasks()


@asynccontextmanager
async def run_passes(fleet: ChangingFleet) -> AsyncIterator[PassRunner]:
    """Return a runner whose clock moves only between rounds."""
    with simulate_processor(0.0) as processor:
        async with anyio.create_task_group() as tasks:
            yield PassRunner(fleet, processor, tasks)
            tasks.cancel_scope.cancel()
