"""Builds a fleet of many engines and models, and the reports of many entries."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple
from unittest import mock

from cowslipwood.keeper.engines._engine_record import EngineRecord
from cowslipwood.keeper.engines._expected_load import ExpectedLoad
from cowslipwood.kernel import clock
from cowslipwood.kernel.messages import DemandSample, EntryReport
from cowslipwood.routes import EngineSpec, ModelSpec

from .engine_builders import FakeEngine, FakeFleet

# Exponent of the models' popularity by rank.
_POPULARITY_EXPONENT = 0.9


class FleetSize(NamedTuple):
    """Numbers of engines, models and entries, and concurrent requests for all models.

    Parameters
    ----------
    n_engines, n_models, n_entries : int
    n_requests : float
    """

    n_engines: int = 59
    n_models: int = 141
    n_entries: int = 70
    n_requests: float = 900.0


LARGE_FLEET = FleetSize()


def make_large_spec(size: FleetSize, rng: random.Random) -> EngineSpec:
    """Return engines that hold two to five of the models at a time."""
    models = tuple(
        ModelSpec(
            f"m{number}",
            rng.uniform(16_000.0, 34_000.0),
            rng.uniform(1.2, 2.0),
            0.01,
            0.3,
            n_adapters=4,
            adapter_size_mb=60.0,
        )
        for number in range(size.n_models)
    )
    return EngineSpec(48, 83_000.0, 8, 16.0, 141_036, models)


def make_large_fleet(size: FleetSize = LARGE_FLEET, seed: int = 1) -> FakeFleet:
    """Return a fleet whose engines hold models by their popularity."""
    rng = random.Random(seed)
    spec = make_large_spec(size, rng)
    popularity = _list_popularity(size)
    engines = []
    for number in range(size.n_engines):
        held: dict[str, set[str]] = {}
        free_mb = spec.weights_mb
        for model in rng.choices(spec.models, popularity, k=20):
            if model.name not in held and model.weights_mb <= free_mb:
                held[model.name] = set()
                free_mb -= model.weights_mb
        engines.append(FakeEngine(f"s{number}", held))
    fleet = FakeFleet(engines)
    fleet.spec = spec
    return fleet


def make_moved_demand(size: FleetSize = LARGE_FLEET, seed: int = 1) -> list[float]:
    """Return the concurrent requests of each model after demand has moved.

    The popularity of models has nothing to do with the one by which they are held.
    """
    popularity = _list_popularity(size)
    random.Random(seed + 1).shuffle(popularity)
    total = sum(popularity)
    return [size.n_requests * share / total for share in popularity]


def make_entry_reports(
    n_requests: list[float], size: FleetSize = LARGE_FLEET
) -> list[EntryReport]:
    """Return one report of each entry; requests last one second."""
    samples = tuple(
        DemandSample(
            f"llm|m{number}",
            model_requests / size.n_entries,
            model_requests / size.n_entries,
            0.0,
            target_ms=500.0,
        )
        for number, model_requests in enumerate(n_requests)
    )
    return [
        EntryReport(f"e{number}", "i", "zone-1", "", False, 0, samples)
        for number in range(size.n_entries)
    ]


def _list_popularity(size: FleetSize) -> list[float]:
    return [(1 + rank) ** -_POPULARITY_EXPONENT for rank in range(size.n_models)]


class SimulatedProcessor:
    """A clock on which evaluating one model on one engine takes a fixed time.

    Attributes
    ----------
    used_ms : float
        Processor time used so far.
    """

    def __init__(self, evaluation_ms: float):
        self._evaluation_ms = evaluation_ms
        self.used_ms = 0.0

    def clock_gettime(self, clock_id: int) -> float:
        """Return the time of a clock in seconds, with the processor time added."""
        return _real_clock_gettime(clock_id) + self.used_ms / 1000

    def now_ms(self) -> float:
        """Return the time that the leader reads."""
        return clock.monotonic_ms()

    def count_evaluation(self) -> None:
        """Take the time of one evaluation."""
        self.used_ms += self._evaluation_ms


_real_clock_gettime = clock.time.clock_gettime


@contextmanager
def simulate_processor(evaluation_ms: float) -> Iterator[SimulatedProcessor]:
    """Let each evaluation of a model on an engine take a fixed time on the clock.

    What counts as an evaluation is the question whether the engine may load the model
    next, or how the model's copy there changes the expected load.
    """
    processor = SimulatedProcessor(evaluation_ms)
    with (
        mock.patch.object(clock.time, "clock_gettime", processor.clock_gettime),
        _count_calls(EngineRecord, "may_load_next", processor),
        _count_calls(ExpectedLoad, "compute_gain", processor),
        _count_calls(ExpectedLoad, "compute_loss", processor),
    ):
        yield processor


def _count_calls(owner: type, name: str, processor: SimulatedProcessor):
    method = getattr(owner, name)

    def counted(*args, **kwargs):
        processor.count_evaluation()
        return method(*args, **kwargs)

    return mock.patch.object(owner, name, counted)
