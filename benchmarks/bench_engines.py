"""Simulates the engine controller of a keeper over simulated engines.

    python -m benchmarks.bench_engines [--profile orders|rounds] [--seeds 20]
        [--first 1] [--quiet] [--set _placement.BLOCKED_UNLOAD_COST_REQUESTS=4 ...]

Each seed gives one simulated day of 34 seconds. The demand shifts to other models three
times, rare models are requested in bursts, engines crash, orders stay unanswered and
are executed late, and the leader changes. ``--quiet`` omits the faults.
Profile ``orders`` has few large models and a slow store. Profile ``rounds`` has many
small models, a fast store, and demand that shifts to several models at once.
``--set`` changes the value of a constant of ``cowslipwood.keeper.engines``.
The simulation uses neither the network nor real time, so a seed always gives the same
figures.
"""

import argparse
import importlib
import logging
import random
import statistics
from collections import Counter
from typing import Any, NamedTuple
from unittest import mock

import anyio
import structlog
from tabulate import tabulate

from cowslipwood.keeper.engines import EngineController, OrderParameters
from cowslipwood.kernel import clock
from cowslipwood.kernel.messages import (
    DemandSample,
    EntryReport,
    HolderReply,
    HolderRequest,
)
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.listing import make_holding_key
from cowslipwood.routes import EngineSpec, ModelSpec, RouteDocument, ServiceSpec

from .engine_model import Engine, EngineFleet, EngineRequest, VirtualLoop, VirtualTime

# Length in seconds of the time in which requests arrive.
DAY_S = 34.0
# Time in seconds for which the controller runs before the first request.
WARM_UP_S = 3.0
ZONES = ("zone-1", "zone-2", "zone-3")
# Times in seconds since the first request at which the demand shifts to other models.
DEMAND_SHIFTS_S = (1.0, 14.0, 24.0)
# Interval in seconds between two reports of an entry about demand.
REPORT_INTERVAL_S = 0.2
# Time in seconds without a first event after which a caller disconnects.
FIRST_EVENT_PATIENCE_S = 3.2
# Attempts that a caller makes for a request.
N_ATTEMPTS = 2
# Time in seconds between two attempts of a caller.
RETRY_AFTER_S = 0.5
# Wait in milliseconds that callers expect for each request in an engine's batch, when
# they choose the engine.
ESTIMATED_MS_PER_REQUEST = 12.0
# Prompt tokens that callers expect an engine to process per millisecond, when they
# choose the engine.
ESTIMATED_TOKENS_PER_MS = 30.0
# Time in seconds until a request that an engine refused is sent again.
REFUSED_RETRY_S = 0.03


class RequestKind(NamedTuple):
    """One kind of request.

    Parameters
    ----------
    name : str
    rate_per_s : float
        Arrivals per second outside of bursts.
    first_event_target_s, end_limit_s : float
        Time from the arrival to the first event within which a request is in time,
        and time to the end after which the caller disconnects.
    on_time_value, late_value : float
        Value that a request earns if its first event is in time, and if it is late.
    n_shared_tokens, n_own_tokens, n_output_tokens : int
        Tokens of the shared prefix; scale of the random numbers of other prompt tokens
        and of generated tokens.
    asks_busy_models : bool
        Whether the requests ask for the busy models or for the rare ones.
    adapter_share : float
        Share of the requests that ask for an adapter, if their model has adapters.
    burst_factor : float
        Factor on the rate in bursts.
    """

    name: str
    rate_per_s: float
    first_event_target_s: float
    end_limit_s: float
    on_time_value: float
    late_value: float
    n_shared_tokens: int
    n_own_tokens: int
    n_output_tokens: int
    asks_busy_models: bool
    adapter_share: float = 0.0
    burst_factor: float = 1.0


class Profile(NamedTuple):
    """One deployment and its load.

    Parameters
    ----------
    n_engines : int
    n_models, n_busy_models : int
        Number of all models; the first `n_busy_models` can become busy, the others are
        rare.
    busy_model_shares : tuple of float
        Shares of the requests for busy models, one for each model that is busy at a
        time.
    n_shifted_models : int
        Number of busy models that a shift of demand replaces by others.
    n_initial_copies : tuple of int
        Initial number of copies of each of the first models; the others have one.
    weights_gb : tuple of float
        Sizes of weights, from which one is drawn for each model.
    load_time_s, warm_load_s, disk_load_s : float
        Time to load a model from the store, from memory of the host, and from disk.
    n_slots : int
        Largest batch of an engine, in requests.
    engine_memory_gb : float
        Memory of one engine for weights and adapters.
    n_adapter_slots : int
        Largest number of adapters loaded in one engine.
    loads_per_s : float
        Rate of loads that the store allows.
    n_full_speed_loads : int
        Number of loads at once up to which the store does not slow down.
    request_kinds : tuple of RequestKind
    """

    n_engines: int
    n_models: int
    n_busy_models: int
    busy_model_shares: tuple[float, ...]
    n_shifted_models: int
    n_initial_copies: tuple[int, ...]
    weights_gb: tuple[float, ...]
    load_time_s: float
    warm_load_s: float
    disk_load_s: float
    n_slots: int
    engine_memory_gb: float
    n_adapter_slots: int
    loads_per_s: float
    n_full_speed_loads: int
    request_kinds: tuple[RequestKind, ...]


PROFILES = {
    "orders": Profile(
        n_engines=9,
        n_models=26,
        n_busy_models=10,
        busy_model_shares=(0.53, 0.2, 0.15, 0.12),
        n_shifted_models=1,
        n_initial_copies=(6, 2),
        weights_gb=(34.0, 65.0, 72.0, 72.0),
        load_time_s=1.2,
        warm_load_s=0.4,
        disk_load_s=0.5,
        n_slots=64,
        engine_memory_gb=200.0,
        n_adapter_slots=5,
        loads_per_s=2.1,
        n_full_speed_loads=3,
        request_kinds=(
            RequestKind(
                "draft", 13.0, 0.8, 6.0, 1.6, 0.48, 6_300, 2_900, 52, True, 0.1
            ),
            RequestKind(
                "summary", 1.9, 1.5, 8.0, 3.2, 0.97, 6_300, 2_900, 52, False, 0, 2.4
            ),
            RequestKind(
                "chat", 15.0, 0.5, 15.0, 1.3, 0.39, 200, 630, 290, True, 0.5, 1.6
            ),
        ),
    ),
    "rounds": Profile(
        n_engines=15,
        n_models=70,
        n_busy_models=9,
        busy_model_shares=(0.5, 0.27, 0.23),
        n_shifted_models=3,
        n_initial_copies=(7, 4, 3),
        weights_gb=(16.0, 26.0, 34.0),
        load_time_s=1.7,
        warm_load_s=0.25,
        disk_load_s=0.35,
        n_slots=48,
        engine_memory_gb=83.0,
        n_adapter_slots=8,
        loads_per_s=7.5,
        n_full_speed_loads=12,
        request_kinds=(
            RequestKind(
                "report", 23.0, 0.8, 5.2, 2.3, 0.7, 6_300, 2_900, 52, True, 0.1, 1.5
            ),
            RequestKind(
                "summary", 4.0, 2.0, 8.0, 2.3, 0.7, 6_300, 2_900, 52, False, 0, 2.4
            ),
            RequestKind(
                "chat", 32.0, 0.5, 15.0, 0.9, 0.26, 200, 630, 290, True, 0.5, 1.5
            ),
        ),
    ),
}


class DayOutcome(NamedTuple):
    """Results of one simulated day.

    Parameters
    ----------
    earned_share : float
        Earned value as a share of the value of all requests, if all were in time.
    earned_share_by_kind : dict of str to float
        The same for each kind of request.
    failed_share : float
        Share of the requests that were not answered.
    late_load_share, late_queue_share : float
        Share of the requests that were late because they waited mostly until an engine
        with their model accepted them, and mostly in the queue of the engine.
    n_loads, n_orders, n_overflows : int
        Number of loads from the store, of orders executed, and of the times when an
        engine had loaded more than fits.
    """

    earned_share: float
    earned_share_by_kind: dict[str, float]
    failed_share: float
    late_load_share: float
    late_queue_share: float
    n_loads: int
    n_orders: int
    n_overflows: int


def make_spec(profile: Profile, rng: random.Random) -> EngineSpec:
    """Return the specification of engines that hold a few models each."""
    models = []
    for number in range(profile.n_models):
        n_adapters = 40 if number == 0 else rng.choice((0, 0, 12))
        models.append(
            ModelSpec(
                f"m{number}",
                1000 * rng.choice(profile.weights_gb),
                profile.load_time_s,
                profile.warm_load_s,
                profile.disk_load_s,
                n_adapters,
                50.0,
            )
        )
    return EngineSpec(
        profile.n_slots,
        1000 * profile.engine_memory_gb,
        profile.n_adapter_slots,
        profile.loads_per_s,
        232_000,
        tuple(models),
    )


class EngineSimulation:
    """Simulation of one day: engines, the controller, one entry and its callers."""

    def __init__(self, profile: Profile, seed: int, has_faults: bool, loop_time: Any):
        self._profile = profile
        self._rng = random.Random(seed)
        self._now_s = loop_time
        self._has_faults = has_faults
        self._term = 1
        self._busy_models = [f"m{number}" for number in range(profile.n_busy_models)]
        rare_numbers = range(profile.n_busy_models, profile.n_models)
        self._rare_models = [f"m{number}" for number in rare_numbers]
        self._spec = make_spec(profile, self._rng)
        self._n_in_flight_by_key: Counter[tuple[str, str]] = Counter()
        self._n_waiting_by_key: Counter[tuple[str, str]] = Counter()
        self._offered_value: Counter[str] = Counter()
        self._earned_value: Counter[str] = Counter()
        self._n_requests = self._n_failed = 0
        self._n_late: Counter[str] = Counter()

    async def run(self) -> DayOutcome:
        """Simulate the day to its end."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._fleet = EngineFleet(
                self._spec,
                self._profile.n_engines,
                ZONES,
                self._rng,
                tasks.start_soon,
                self._profile.n_full_speed_loads,
            )
            self._place_initial_models()
            self._controller = self._make_controller()
            for engine in self._fleet.engines.values():
                tasks.start_soon(engine.run)
            for task in (
                self._controller.run,
                self._report_demand,
                self._record_engine_reports,
            ):
                tasks.start_soon(task)
            await anyio.sleep(WARM_UP_S)
            for kind in self._profile.request_kinds:
                tasks.start_soon(self._generate_requests, kind)
            tasks.start_soon(self._shift_demand)
            if self._has_faults:
                tasks.start_soon(self._inject_faults)
            await anyio.sleep(
                DAY_S + max(kind.end_limit_s for kind in self._profile.request_kinds)
            )
            tasks.cancel_scope.cancel()
        return self._summarise_day()

    def _summarise_day(self) -> DayOutcome:
        engines = self._fleet.engines.values()
        return DayOutcome(
            sum(self._earned_value.values()) / sum(self._offered_value.values()),
            {
                name: self._earned_value[name] / offered
                for name, offered in self._offered_value.items()
            },
            self._n_failed / self._n_requests,
            self._n_late["load"] / self._n_requests,
            self._n_late["queue"] / self._n_requests,
            self._fleet.n_store_loads,
            self._fleet.n_orders,
            sum(engine.n_overflows for engine in engines),
        )

    def _place_initial_models(self) -> None:
        """Load busy models on many engines and the others on one each, as they fit."""
        engines = list(self._fleet.engines.values())
        weights_mb = {model.name: model.weights_mb for model in self._spec.models}
        free_mb = {engine.server.server_id: self._spec.weights_mb for engine in engines}
        n_copies = self._profile.n_initial_copies
        wanted_models = [
            name
            for name, n in zip(self._busy_models, n_copies, strict=False)
            for _ in range(n)
        ]
        wanted_models += self._busy_models[len(n_copies) :] + self._rare_models
        for number, model in enumerate(wanted_models):
            for offset in range(len(engines)):
                engine = engines[(number + offset) % len(engines)]
                name = engine.server.server_id
                if (
                    model not in engine.loaded_models
                    and free_mb[name] >= weights_mb[model]
                ):
                    engine.add_loaded_model(model)
                    free_mb[name] -= weights_mb[model]
                    break

    def _make_controller(self) -> EngineController:
        service = ServiceSpec("llm", engine=self._spec)
        document = RouteDocument(1, (), (service,))
        return EngineController(
            OrderParameters("k1"),
            self._fleet,
            self._fleet,
            lambda now_ms: True,
            lambda: self._term,
            lambda: self._term - 1,
            lambda: document,
            Metrics("keeper"),
        )

    async def _record_engine_reports(self) -> None:
        while True:
            for engine in self._fleet.engines.values():
                engine.record_report(self._now_s())
            await anyio.sleep(0.02)

    async def _report_demand(self) -> None:
        while True:
            samples = tuple(
                DemandSample(
                    make_holding_key("llm", *key),
                    n,
                    n,
                    0.0,
                    float(self._n_waiting_by_key[key]),
                )
                for key, n in self._n_in_flight_by_key.items()
                if n
            )
            report = EntryReport("e1", "i", "zone-1", "127.0.0.1:1", False, 1, samples)
            self._controller.record_entry_report(report, clock.monotonic_ms())
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _shift_demand(self) -> None:
        start_s = self._now_s()
        for at_s in DEMAND_SHIFTS_S:
            await anyio.sleep(start_s + at_s - self._now_s())
            n_busiest = len(self._profile.busy_model_shares)
            busiest_models = self._busy_models[:n_busiest]
            self._rng.shuffle(busiest_models)
            self._busy_models[:n_busiest] = busiest_models
            for number in range(1, 1 + self._profile.n_shifted_models):
                new_index = self._rng.randrange(n_busiest, len(self._busy_models))
                old_index = number % n_busiest
                self._busy_models[old_index], self._busy_models[new_index] = (
                    self._busy_models[new_index],
                    self._busy_models[old_index],
                )

    async def _inject_faults(self) -> None:
        for engine in self._fleet.engines.values():
            engine.delays_orders = True
        self._fleet.delayed_order_share = 0.3
        for delay_s, n_engines, down_s in (
            (2.5, 2, 5.0),
            (3.0, 2, 2.0),
            (10.0, 1, 4.0),
        ):
            await anyio.sleep(delay_s)
            names = self._rng.sample(sorted(self._fleet.engines), n_engines)
            for name in names:
                self._tasks.start_soon(
                    self._crash_engine, self._fleet.engines[name], down_s
                )
            if delay_s == DEMAND_SHIFTS_S[0] * 3:
                self._fleet.delayed_order_share = 0.0
                self._term += 1

    async def _crash_engine(self, engine: Engine, down_s: float) -> None:
        if not engine.is_down:
            engine.crash(self._now_s())
            await anyio.sleep(down_s)
            engine.is_down = False

    async def _generate_requests(self, kind: RequestKind) -> None:
        start_s = self._now_s()
        while (at_s := self._now_s() - start_s) < DAY_S:
            is_burst = at_s < 9.0 or 20.0 < at_s < 23.0
            current_rate_per_s = kind.rate_per_s * (
                kind.burst_factor if is_burst else 1.0
            )
            await anyio.sleep(self._rng.expovariate(current_rate_per_s))
            self._tasks.start_soon(self._handle_request, kind)

    async def _handle_request(self, kind: RequestKind) -> None:
        rng = self._rng
        busy_model_shares = self._profile.busy_model_shares
        if kind.asks_busy_models:
            model = rng.choices(
                self._busy_models[: len(busy_model_shares)], busy_model_shares
            )[0]
        else:
            rank = int(len(self._rare_models) * rng.random() ** 1.4)
            model = self._rare_models[rank]
        spec = next(spec for spec in self._spec.models if spec.name == model)
        adapter = ""
        if spec.n_adapters and rng.random() < kind.adapter_share:
            adapter = f"a{int(spec.n_adapters * rng.random() ** 1.4) + 1}"
        shared_prefix = f"{model}/{rng.randrange(3)}"
        n_own_tokens = max(16, int(rng.lognormvariate(-0.4, 0.9) * kind.n_own_tokens))
        n_output_tokens = max(
            4, int(rng.lognormvariate(-0.3, 0.8) * kind.n_output_tokens)
        )
        start_s = self._now_s()
        self._offered_value[kind.name] += kind.on_time_value
        self._n_requests += 1
        for _ in range(N_ATTEMPTS):
            request = EngineRequest(
                model,
                adapter,
                shared_prefix,
                kind.n_shared_tokens,
                n_own_tokens,
                n_output_tokens,
            )
            first_event_s = await self._attempt_request(
                request, start_s + kind.end_limit_s
            )
            if first_event_s is not None:
                is_late = first_event_s - start_s > kind.first_event_target_s
                self._earned_value[kind.name] += (
                    kind.late_value if is_late else kind.on_time_value
                )
                if is_late:
                    wait_at_engine_s = first_event_s - request.sent_s
                    is_load = wait_at_engine_s < (first_event_s - start_s) / 2
                    self._n_late["load" if is_load else "queue"] += 1
                return
            await anyio.sleep(RETRY_AFTER_S)
        self._n_failed += 1

    async def _attempt_request(
        self, request: EngineRequest, deadline_s: float
    ) -> float | None:
        """Send a request once; return the time of its first event or None."""
        key = (request.model, request.adapter)
        self._n_in_flight_by_key[key] += 1
        engine = None
        first_event_s = None
        try:
            remaining_s = deadline_s - self._now_s()
            with anyio.move_on_after(min(FIRST_EVENT_PATIENCE_S, remaining_s)):
                engine = await self._send_request(request)
                if engine is not None:
                    request.sent_s = self._now_s()
                    self._n_waiting_by_key[key] += 1
                    try:
                        await request.started.wait()
                    finally:
                        self._n_waiting_by_key[key] -= 1
                    first_event_s = self._now_s()
            if first_event_s is None or request.is_aborted:
                return None
            with anyio.move_on_after(deadline_s - self._now_s()):
                await request.ended.wait()
                return None if request.is_aborted else first_event_s
            return None
        finally:
            self._n_in_flight_by_key[key] -= 1
            if engine is not None:
                engine.cancel_request(request)

    async def _send_request(self, request: EngineRequest) -> Engine | None:
        """Find an engine that accepts the request; None if the leader knows none."""
        while True:
            engine = self._choose_engine(request)
            if engine is None:
                holder_request = HolderRequest(
                    "llm", request.model, request.adapter, ""
                )
                reply = await self._controller.find_holder(holder_request)
                if not isinstance(reply, HolderReply):
                    return None
                engine = self._fleet.engines[reply.server_id]
            if engine.accept_request(request):
                return engine
            await anyio.sleep(REFUSED_RETRY_S)

    def _choose_engine(self, request: EngineRequest) -> Engine | None:
        key = make_holding_key("llm", request.model, request.adapter)
        holders = [
            self._fleet.engines[name]
            for name, view in self._controller.build_server_views().items()
            if key in view.ready and not self._fleet.engines[name].is_down
        ]
        if not holders:
            return None
        return min(holders, key=lambda engine: self._estimate_wait_ms(engine, request))

    def _estimate_wait_ms(self, engine: Engine, request: EngineRequest) -> float:
        loaded = engine.loaded_models.get(request.model)
        n_tokens = request.n_own_tokens
        if loaded is None or request.shared_prefix not in loaded.cached_prefixes:
            n_tokens += request.n_shared_tokens
        return (
            ESTIMATED_MS_PER_REQUEST * engine.n_running
            + (engine.n_waiting * request.n_own_tokens + n_tokens)
            / ESTIMATED_TOKENS_PER_MS
        )


def simulate_day(seed: int, has_faults: bool, profile: str = "orders") -> DayOutcome:
    """Simulate one day without real time; return its results."""
    loops: list[VirtualLoop] = []

    def make_loop() -> VirtualLoop:
        loops.append(VirtualLoop())
        return loops[-1]

    async def run() -> DayOutcome:
        with mock.patch.object(clock, "time", VirtualTime(loops[0])):
            simulation = EngineSimulation(
                PROFILES[profile], seed, has_faults, loops[0].time
            )
            return await simulation.run()

    return anyio.run(run, backend_options={"loop_factory": make_loop})


def _set_constant(assignment: str) -> None:
    name, _, value = assignment.partition("=")
    module, _, constant = name.rpartition(".")
    found_module = importlib.import_module(f"cowslipwood.keeper.engines.{module}")
    if not hasattr(found_module, constant):
        raise SystemExit(f"no constant {constant} in {module}")
    setattr(found_module, constant, float(value))


def main() -> None:
    """Simulate a day for each seed; print a row for each, and the means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=sorted(PROFILES), default="orders")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--quiet", action="store_true")
    parser.add_argument("--set", action="append", default=[])
    args = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for assignment in args.set:
        _set_constant(assignment)
    days = [
        simulate_day(seed, not args.quiet, args.profile)
        for seed in range(args.first, args.first + args.seeds)
    ]
    rows = [
        [
            seed,
            day.earned_share,
            *day.earned_share_by_kind.values(),
            day.failed_share,
            *day[3:],
        ]
        for seed, day in enumerate(days, args.first)
    ]
    headers = [
        "seed",
        "payoff",
        *(kind.name for kind in PROFILES[args.profile].request_kinds),
    ]
    headers += ["failed", "late_loads", "late_queues", "loads", "orders", "overflows"]
    columns = list(zip(*rows, strict=True))[1:]
    rows.append(["mean", *map(statistics.fmean, columns)])
    if len(days) > 1:
        error = statistics.stdev(columns[0]) / len(days) ** 0.5
        rows.append(["error", error])
    print(tabulate(rows, headers=headers, floatfmt=".3f"))


if __name__ == "__main__":
    main()
