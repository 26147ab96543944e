"""Measures who holds what: the shipped controller over modelled engines.

    python -m benchmarks.bench_engines [--profile orders|rounds] [--seeds 20]
        [--first 1] [--quiet] [--set _placement.BLOCKED_UNLOAD_COST_REQUESTS=4 ...]

Each seed is one day of 34 simulated seconds: demand moves to other models three
times, rare models are asked for in bursts, engines crash, orders go unanswered
and arrive late, and the leader changes. ``--quiet`` leaves the faults out.
Profile ``orders`` has few large models and a slow store, ``rounds`` many small ones,
a quick store, and demand that moves to a few of them at once.
``--set`` tries another value of a constant of ``cowslipwood.keeper.engines``.
No network and no real time: a seed always gives the same figures.
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
from cowslipwood.listing import holding_key
from cowslipwood.routes import EngineSpec, ModelSpec, RouteDocument, ServiceSpec

from .engine_model import Engine, EngineFleet, Run, VirtualLoop, VirtualTime

DAY_S = 34.0
LEAD_S = 3.0
ZONES = ("zone-1", "zone-2", "zone-3")
SHIFT_S = (1.0, 14.0, 24.0)
REPORT_S = 0.2
# A caller leaves after this long without a first event, and tries once more.
PATIENCE_S = 3.2
N_TRIES = 2
RETRY_AFTER_S = 0.5
# What the callers' choice of an engine weighs: each run there, and tokens to read.
MS_PER_RUN = 12.0
TOKENS_PER_MS = 30.0
# Until a request that an engine refused is sent again.
REFUSED_S = 0.03


class Kind(NamedTuple):
    """One kind of request.

    Parameters
    ----------
    name : str
    per_s : float
    aim_s, limit_s : float
        To the first event, and to the end.
    worth, late_worth : float
    n_shared, n_own, n_output : int
        Mean tokens.
    is_busy : bool
        Whether it asks for the busy models, or for the rare ones.
    adapter_share : float
    burst : float
        By how much its rate grows in bursts.
    """

    name: str
    per_s: float
    aim_s: float
    limit_s: float
    worth: float
    late_worth: float
    n_shared: int
    n_own: int
    n_output: int
    is_busy: bool
    adapter_share: float = 0.0
    burst: float = 1.0


class Profile(NamedTuple):
    """One deployment and its load.

    Parameters
    ----------
    n_engines : int
    n_models, n_busy : int
        The first `n_busy` models are the ones that most requests may ask for.
    shares : tuple of float
        How these requests divide among the models that are busy now.
    n_shifted : int
        Busy models that a shift of demand replaces by others.
    first_copies : tuple of int
        Copies of the first models at the start; of the others one each.
    weights_gb : tuple of float
        Sizes to draw from.
    load_time_s, warm_load_s, disk_load_s : float
    n_slots : int
    room_gb : float
        Of one engine, for weights and adapters.
    n_adapters : int
        Places of one engine.
    loads_per_s : float
        That the store allows.
    loads_at_full_speed : int
    kinds : tuple of Kind
    """

    n_engines: int
    n_models: int
    n_busy: int
    shares: tuple[float, ...]
    n_shifted: int
    first_copies: tuple[int, ...]
    weights_gb: tuple[float, ...]
    load_time_s: float
    warm_load_s: float
    disk_load_s: float
    n_slots: int
    room_gb: float
    n_adapters: int
    loads_per_s: float
    loads_at_full_speed: int
    kinds: tuple[Kind, ...]


PROFILES = {
    "orders": Profile(
        n_engines=9,
        n_models=26,
        n_busy=10,
        shares=(0.53, 0.2, 0.15, 0.12),
        n_shifted=1,
        first_copies=(6, 2),
        weights_gb=(34.0, 65.0, 72.0, 72.0),
        load_time_s=1.2,
        warm_load_s=0.4,
        disk_load_s=0.5,
        n_slots=64,
        room_gb=200.0,
        n_adapters=5,
        loads_per_s=2.1,
        loads_at_full_speed=3,
        kinds=(
            Kind("draft", 13.0, 0.8, 6.0, 1.6, 0.48, 6_300, 2_900, 52, True, 0.1),
            Kind("summary", 1.9, 1.5, 8.0, 3.2, 0.97, 6_300, 2_900, 52, False, 0, 2.4),
            Kind("chat", 15.0, 0.5, 15.0, 1.3, 0.39, 200, 630, 290, True, 0.5, 1.6),
        ),
    ),
    "rounds": Profile(
        n_engines=15,
        n_models=70,
        n_busy=9,
        shares=(0.5, 0.27, 0.23),
        n_shifted=3,
        first_copies=(7, 4, 3),
        weights_gb=(16.0, 26.0, 34.0),
        load_time_s=1.7,
        warm_load_s=0.25,
        disk_load_s=0.35,
        n_slots=48,
        room_gb=83.0,
        n_adapters=8,
        loads_per_s=7.5,
        loads_at_full_speed=12,
        kinds=(
            Kind("report", 23.0, 0.8, 5.2, 2.3, 0.7, 6_300, 2_900, 52, True, 0.1, 1.5),
            Kind("summary", 4.0, 2.0, 8.0, 2.3, 0.7, 6_300, 2_900, 52, False, 0, 2.4),
            Kind("chat", 32.0, 0.5, 15.0, 0.9, 0.26, 200, 630, 290, True, 0.5, 1.5),
        ),
    ),
}


class Day(NamedTuple):
    """What one day gave.

    Parameters
    ----------
    payoff : float
        Earned of what was owed.
    by_kind : dict of str to float
    failed : float
        Share of the requests.
    late_loads, late_queues : float
        Share that were late, most of their wait for an engine that holds what
        they ask for, or at the engine.
    n_loads, n_orders, n_overflows : int
    """

    payoff: float
    by_kind: dict[str, float]
    failed: float
    late_loads: float
    late_queues: float
    n_loads: int
    n_orders: int
    n_overflows: int


def make_spec(profile: Profile, rng: random.Random) -> EngineSpec:
    """Return engines that hold a few models each."""
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
        1000 * profile.room_gb,
        profile.n_adapters,
        profile.loads_per_s,
        232_000,
        tuple(models),
    )


class World:
    """One day."""

    def __init__(self, profile: Profile, seed: int, has_faults: bool, loop_time: Any):
        self._profile = profile
        self._rng = random.Random(seed)
        self._now_s = loop_time
        self._has_faults = has_faults
        self._term = 1
        self._busy = [f"m{number}" for number in range(profile.n_busy)]
        names = range(profile.n_busy, profile.n_models)
        self._rare = [f"m{number}" for number in names]
        self._spec = make_spec(profile, self._rng)
        self._demand: Counter[tuple[str, str]] = Counter()
        self._waiting: Counter[tuple[str, str]] = Counter()
        self._owed: Counter[str] = Counter()
        self._earned: Counter[str] = Counter()
        self._n_requests = self._n_failed = 0
        self._n_late: Counter[str] = Counter()

    async def play(self) -> Day:
        """Play the day to its end."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._fleet = EngineFleet(
                self._spec,
                self._profile.n_engines,
                ZONES,
                self._rng,
                tasks.start_soon,
                self._profile.loads_at_full_speed,
            )
            self._place()
            self._controller = self._make_controller()
            for engine in self._fleet.engines.values():
                tasks.start_soon(engine.run)
            for task in (self._controller.run, self._report, self._remember):
                tasks.start_soon(task)
            await anyio.sleep(LEAD_S)
            for kind in self._profile.kinds:
                tasks.start_soon(self._arrivals, kind)
            tasks.start_soon(self._shift)
            if self._has_faults:
                tasks.start_soon(self._trouble)
            await anyio.sleep(DAY_S + max(each.limit_s for each in self._profile.kinds))
            tasks.cancel_scope.cancel()
        return self._day()

    def _day(self) -> Day:
        engines = self._fleet.engines.values()
        return Day(
            sum(self._earned.values()) / sum(self._owed.values()),
            {name: self._earned[name] / owed for name, owed in self._owed.items()},
            self._n_failed / self._n_requests,
            self._n_late["load"] / self._n_requests,
            self._n_late["queue"] / self._n_requests,
            self._fleet.n_store_loads,
            self._fleet.n_orders,
            sum(each.overflows for each in engines),
        )

    def _place(self) -> None:
        """Put busy models on many engines and the others on one each, as fits."""
        engines = list(self._fleet.engines.values())
        sizes = {each.name: each.weights_mb for each in self._spec.models}
        room = {each.server.server_id: self._spec.weights_mb for each in engines}
        copies = self._profile.first_copies
        wanted = [
            name for name, n in zip(self._busy, copies, strict=False) for _ in range(n)
        ]
        wanted += self._busy[len(copies) :] + self._rare
        for number, model in enumerate(wanted):
            for offset in range(len(engines)):
                engine = engines[(number + offset) % len(engines)]
                name = engine.server.server_id
                if model not in engine.held and room[name] >= sizes[model]:
                    engine.hold(model)
                    room[name] -= sizes[model]
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
            lambda: document,
            Metrics("keeper"),
        )

    async def _remember(self) -> None:
        while True:
            for engine in self._fleet.engines.values():
                engine.remember(self._now_s())
            await anyio.sleep(0.02)

    async def _report(self) -> None:
        while True:
            samples = tuple(
                DemandSample(
                    holding_key("llm", *key), n, n, 0.0, float(self._waiting[key])
                )
                for key, n in self._demand.items()
                if n
            )
            report = EntryReport("e1", "i", "zone-1", "127.0.0.1:1", False, 1, samples)
            self._controller.record_entry_report(report, clock.monotonic_ms())
            await anyio.sleep(REPORT_S)

    async def _shift(self) -> None:
        began_s = self._now_s()
        for at_s in SHIFT_S:
            await anyio.sleep(began_s + at_s - self._now_s())
            n_head = len(self._profile.shares)
            head = self._busy[:n_head]
            self._rng.shuffle(head)
            self._busy[:n_head] = head
            for place in range(1, 1 + self._profile.n_shifted):
                other = self._rng.randrange(n_head, len(self._busy))
                at = place % n_head
                self._busy[at], self._busy[other] = self._busy[other], self._busy[at]

    async def _trouble(self) -> None:
        for engine in self._fleet.engines.values():
            engine.is_late = True
        self._fleet.late_share = 0.3
        for at_s, n_engines, for_s in ((2.5, 2, 5.0), (3.0, 2, 2.0), (10.0, 1, 4.0)):
            await anyio.sleep(at_s)
            names = self._rng.sample(sorted(self._fleet.engines), n_engines)
            for name in names:
                self._tasks.start_soon(self._crash, self._fleet.engines[name], for_s)
            if at_s == SHIFT_S[0] * 3:
                self._fleet.late_share = 0.0
                self._term += 1

    async def _crash(self, engine: Engine, for_s: float) -> None:
        if not engine.is_down:
            engine.crash(self._now_s())
            await anyio.sleep(for_s)
            engine.is_down = False

    async def _arrivals(self, kind: Kind) -> None:
        began_s = self._now_s()
        while (at_s := self._now_s() - began_s) < DAY_S:
            is_burst = at_s < 9.0 or 20.0 < at_s < 23.0
            rate = kind.per_s * (kind.burst if is_burst else 1.0)
            await anyio.sleep(self._rng.expovariate(rate))
            self._tasks.start_soon(self._call, kind)

    async def _call(self, kind: Kind) -> None:
        rng = self._rng
        shares = self._profile.shares
        if kind.is_busy:
            model = rng.choices(self._busy[: len(shares)], shares)[0]
        else:
            rank = int(len(self._rare) * rng.random() ** 1.4)
            model = self._rare[rank]
        spec = next(each for each in self._spec.models if each.name == model)
        adapter = ""
        if spec.n_adapters and rng.random() < kind.adapter_share:
            adapter = f"a{int(spec.n_adapters * rng.random() ** 1.4) + 1}"
        shared = f"{model}/{rng.randrange(3)}"
        n_own = max(16, int(rng.lognormvariate(-0.4, 0.9) * kind.n_own))
        n_output = max(4, int(rng.lognormvariate(-0.3, 0.8) * kind.n_output))
        began_s = self._now_s()
        self._owed[kind.name] += kind.worth
        self._n_requests += 1
        for _ in range(N_TRIES):
            run = Run(model, adapter, shared, kind.n_shared, n_own, n_output)
            first_s = await self._try(run, began_s + kind.limit_s)
            if first_s is not None:
                is_late = first_s - began_s > kind.aim_s
                self._earned[kind.name] += kind.late_worth if is_late else kind.worth
                if is_late:
                    at_engine_s = first_s - run.sent_s
                    is_load = at_engine_s < (first_s - began_s) / 2
                    self._n_late["load" if is_load else "queue"] += 1
                return
            await anyio.sleep(RETRY_AFTER_S)
        self._n_failed += 1

    async def _try(self, run: Run, until_s: float) -> float | None:
        """Try a request once; return when its first event came if it was served."""
        key = (run.model, run.adapter)
        self._demand[key] += 1
        engine = None
        first_s = None
        try:
            left_s = until_s - self._now_s()
            with anyio.move_on_after(min(PATIENCE_S, left_s)):
                engine = await self._send(run)
                if engine is not None:
                    run.sent_s = self._now_s()
                    self._waiting[key] += 1
                    try:
                        await run.began.wait()
                    finally:
                        self._waiting[key] -= 1
                    first_s = self._now_s()
            if first_s is None or run.is_cut:
                return None
            with anyio.move_on_after(until_s - self._now_s()):
                await run.ended.wait()
                return None if run.is_cut else first_s
            return None
        finally:
            self._demand[key] -= 1
            if engine is not None:
                engine.leave(run)

    async def _send(self, run: Run) -> Engine | None:
        """Find an engine that takes the request; None when the leader knows none."""
        while True:
            engine = self._choose(run)
            if engine is None:
                wanted = HolderRequest("llm", run.model, run.adapter, "")
                held = await self._controller.find_holder(wanted)
                if not isinstance(held, HolderReply):
                    return None
                engine = self._fleet.engines[held.server_id]
            if engine.accepts(run):
                return engine
            await anyio.sleep(REFUSED_S)

    def _choose(self, run: Run) -> Engine | None:
        key = holding_key("llm", run.model, run.adapter)
        holders = [
            self._fleet.engines[name]
            for name, view in self._controller.build_server_views().items()
            if key in view.ready and not self._fleet.engines[name].is_down
        ]
        if not holders:
            return None
        return min(holders, key=lambda each: self._expected_ms(each, run))

    def _expected_ms(self, engine: Engine, run: Run) -> float:
        held = engine.held.get(run.model)
        n_tokens = run.n_own
        if held is None or run.shared not in held.kept:
            n_tokens += run.n_shared
        return (
            MS_PER_RUN * engine.n_running
            + (engine.n_waiting * run.n_own + n_tokens) / TOKENS_PER_MS
        )


def play(seed: int, has_faults: bool, profile: str = "orders") -> Day:
    """Play one day in simulated time."""
    loops: list[VirtualLoop] = []

    def make_loop() -> VirtualLoop:
        loops.append(VirtualLoop())
        return loops[-1]

    async def run() -> Day:
        with mock.patch.object(clock, "time", VirtualTime(loops[0])):
            world = World(PROFILES[profile], seed, has_faults, loops[0].time)
            return await world.play()

    return anyio.run(run, backend_options={"loop_factory": make_loop})


def _set(assignment: str) -> None:
    name, _, value = assignment.partition("=")
    module, _, constant = name.rpartition(".")
    found = importlib.import_module(f"cowslipwood.keeper.engines.{module}")
    if not hasattr(found, constant):
        raise SystemExit(f"no constant {constant} in {module}")
    setattr(found, constant, float(value))


def main() -> None:
    """Play the seeds and print a row for each, and their means."""
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
        _set(assignment)
    days = [
        play(seed, not args.quiet, args.profile)
        for seed in range(args.first, args.first + args.seeds)
    ]
    rows = [
        [seed, day.payoff, *day.by_kind.values(), day.failed, *day[3:]]
        for seed, day in enumerate(days, args.first)
    ]
    headers = ["seed", "payoff", *(each.name for each in PROFILES[args.profile].kinds)]
    headers += ["failed", "late_loads", "late_queues", "loads", "orders", "overflows"]
    columns = list(zip(*rows, strict=True))[1:]
    rows.append(["mean", *map(statistics.fmean, columns)])
    if len(days) > 1:
        error = statistics.stdev(columns[0]) / len(days) ** 0.5
        rows.append(["error", error])
    print(tabulate(rows, headers=headers, floatfmt=".3f"))


if __name__ == "__main__":
    main()
