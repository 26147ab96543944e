"""Measures placement: processor time of a round, and policies side by side.

    python -m benchmarks.bench_placement round
    python -m benchmarks.bench_placement policies [--minutes 30] [--seeds 1 2]

``policies`` runs the deciding functions alone, with no network: seeded demand
that moves tenfold within an hour with sudden bursts, the weight store's limits,
and an analytic estimate of the requests answered within their limits. It calls
the shipped policies, demand estimator and permits.
"""

import argparse
import math
import random
import time
from collections.abc import Iterator
from typing import NamedTuple

from cowslipwood.catalogue import Entry, parse_entry
from cowslipwood.keeper._permits import Permits
from cowslipwood.kernel.messages import (
    AgentReport,
    DemandSample,
    DesiredModel,
    EntryReport,
    PermitRelease,
    PermitRequest,
    Resident,
)
from cowslipwood.kernel.registry import PluginKind, lookup
from cowslipwood.placement import (
    DemandEstimator,
    ModelKey,
    PlacementRequest,
    ServerState,
    ServerStatus,
)
from cowslipwood.placement._attainment import attained

GIB = 2**30
KNEE = {"direccion": 16, "brazos": 24}
STEP_MS = 1_000
MODEL_LOAD_MS = 2_000
ADAPTER_LOAD_MS = 500
MIN_RESIDENCE_MS = 10_000
BURST_EVERY_S = 240
BURST_FOR_S = 150


class User(NamedTuple):
    """One user's size.

    Parameters
    ----------
    name : str
    n_servers, n_models, n_adapters : int
    loads_per_s : float
    max_at_once : int
    utilisation : float
        Mean offered load as a share of all knees.
    capacity_gib : int
        Memory of one server.
    """

    name: str
    n_servers: int
    n_models: int
    n_adapters: int
    loads_per_s: float
    max_at_once: int
    utilisation: float = 0.45
    capacity_gib: int = 80


USERS = (
    User("direccion", 5, 13, 56, 1.0, 2),
    User("brazos", 9, 26, 95, 2.0, 3),
)


class Outcome(NamedTuple):
    """What one policy reached.

    Parameters
    ----------
    attainment : float
        Share of the offered requests answered within their limits.
    worst_minute : float
    n_loads, n_unloads : int
    unreachable : float
        Share of the offered requests for names without a ready replica.
    """

    attainment: float
    worst_minute: float
    n_loads: int
    n_unloads: int
    unreachable: float


def make_entries(user: User, rng: random.Random) -> dict[str, Entry]:
    """Return a user's catalogue."""
    entries = {}
    for i in range(user.n_models):
        memory_bytes = rng.choice((8, 14, 14, 16, 26)) * GIB
        entries[f"m{i:03}"] = _entry(f"m{i:03}", "model", "", memory_bytes)
    for i in range(user.n_adapters):
        base = (
            f"m{min(int(rng.expovariate(4.0 / user.n_models)), user.n_models - 1):03}"
        )
        name = f"a{i:04}"
        entries[name] = _entry(name, "adapter", base, GIB // 4)
    return entries


def _entry(name: str, kind: str, base: str, memory_bytes: int) -> Entry:
    value = {"name": name, "kind": kind, "owner": "o", "version": "1"}
    value["memory_bytes"] = memory_bytes
    if base:
        value["base"] = base
    return parse_entry(value).unwrap()


class Demand:
    """Offered requests in flight by name and time."""

    def __init__(self, user: User, names: list[str], seed: int):
        rng = random.Random(seed)
        order = rng.sample(names, len(names))
        weights = {name: 1.0 / (rank + 2) for rank, name in enumerate(order)}
        total = user.utilisation * user.n_servers * KNEE[user.name]
        scale = total / sum(weights.values())
        self._mean = {name: weight * scale for name, weight in weights.items()}
        self._phase = {name: rng.random() for name in names}
        self._bursts = self._make_bursts(rng, order)

    def _make_bursts(self, rng: random.Random, names: list[str]) -> list:
        hot = names[: max(len(names) // 3, 1)]
        return [
            (at_s, at_s + BURST_FOR_S, rng.choice(hot))
            for at_s in range(BURST_EVERY_S, 7_200, BURST_EVERY_S)
        ]

    def at(self, now_s: float) -> dict[str, float]:
        """Return the offered requests in flight."""
        half_range = math.log(10.0) / 2
        offered = {
            name: mean
            * math.exp(half_range * math.sin(2 * math.pi * (now_s / 3600 + phase)))
            / 1.5
            for (name, mean), phase in zip(
                self._mean.items(), self._phase.values(), strict=True
            )
        }
        for from_s, to_s, name in self._bursts:
            if from_s <= now_s < to_s:
                offered[name] = min(offered[name] * 10.0, offered[name] + 20.0)
        return offered


class World:
    """Servers that carry out what a policy decides."""

    def __init__(self, user: User, policy: str, move_weight: float, seed: int):
        self._user = user
        self._policy = lookup(PluginKind.PLACEMENT_POLICY, policy)
        self._move_weight = move_weight
        rng = random.Random(seed)
        self._entries = make_entries(user, rng)
        self._demand = Demand(user, list(self._entries), seed)
        self._noise = random.Random(seed + 1)
        self._estimator = DemandEstimator()
        self._permits = Permits(user.loads_per_s, user.max_at_once, 10_000)
        self._permits.start_leadership(-20_000)
        ids = [f"s{i}" for i in range(user.n_servers)]
        self._assigned: dict[str, tuple[DesiredModel, ...]] = dict.fromkeys(ids, ())
        self._ready_at_ms: dict[tuple[str, ModelKey], float] = {}
        self._since_ms: dict[tuple[str, ModelKey], float] = {}
        self._permit_of: dict[tuple[str, ModelKey], int] = {}
        self._left_out: set[str] = set()
        self._ready_names: set[str] = set()
        self.n_loads = 0
        self.n_unloads = 0

    def run(self, minutes: int) -> Outcome:
        """Run for some minutes; the first two are not counted."""
        steps = list(self._steps(minutes))
        counted = steps[120_000 // STEP_MS :]
        offered = sum(step[0] for step in counted)
        minute = 60_000 // STEP_MS
        shares = [
            sum(s[1] for s in counted[i : i + minute])
            / sum(s[0] for s in counted[i : i + minute])
            for i in range(0, len(counted) - minute + 1, minute)
        ]
        return Outcome(
            sum(step[1] for step in counted) / offered,
            min(shares),
            self.n_loads,
            self.n_unloads,
            sum(step[2] for step in counted) / offered,
        )

    def _steps(self, minutes: int) -> Iterator[tuple[float, float, float]]:
        for step in range(minutes * 60_000 // STEP_MS):
            now_ms = float(step * STEP_MS)
            offered = self._demand.at(now_ms / 1000)
            homes = self._ready_homes(now_ms)
            self._ready_names = set(homes)
            self._report(offered, homes, now_ms)
            self._plan(now_ms)
            self._load(now_ms)
            served = {n: d for n, d in offered.items() if homes.get(n)}
            within = self._within_limits(served, homes)
            total = sum(offered.values())
            yield total, within, total - sum(served.values())

    def _ready_homes(self, now_ms: float) -> dict[str, list[str]]:
        homes: dict[str, list[str]] = {}
        for (server_id, key), at_ms in self._ready_at_ms.items():
            if at_ms <= now_ms:
                homes.setdefault(key.name, []).append(server_id)
        return homes

    def _report(self, offered: dict, homes: dict, now_ms: float) -> None:
        samples = []
        for name, load in offered.items():
            seen = load * self._noise.uniform(0.8, 1.2)
            missed = 0.0 if homes.get(name) else 1.0
            in_flight = 0.0 if missed else seen
            samples.append(DemandSample(name, seen, in_flight, missed))
        report = EntryReport("e1", "i", "z", "a", False, 0, tuple(samples))
        self._estimator.take_report(report, now_ms)

    def _plan(self, now_ms: float) -> None:
        request = PlacementRequest(
            self._entries,
            [self._state(i, server_id, now_ms) for i, server_id in self._numbered()],
            self._estimator.update(now_ms),
            self._estimator.waiting_s(self._left_out, now_ms),
            self._move_weight,
        )
        plan = self._policy(request)
        self._left_out = set(plan.left_out)
        for server_id, desired in plan.desired.items():
            self._change(server_id, desired, now_ms)

    def _numbered(self) -> Iterator[tuple[int, str]]:
        return enumerate(self._assigned)

    def _state(self, number: int, server_id: str, now_ms: float) -> ServerState:
        keys = [ModelKey(m.name, m.version) for m in self._assigned[server_id]]
        return ServerState(
            server_id,
            f"zone-{number % 3}",
            ServerStatus.LIVE,
            self._user.capacity_gib * GIB,
            KNEE[self._user.name],
            self._assigned[server_id],
            frozenset(
                key
                for key in keys
                if self._ready_at_ms.get((server_id, key), math.inf) <= now_ms
            ),
            settled=frozenset(
                key.name
                for key in keys
                if now_ms - self._since_ms[server_id, key] >= MIN_RESIDENCE_MS
            ),
        )

    def _change(self, server_id: str, desired: tuple, now_ms: float) -> None:
        old = {ModelKey(m.name, m.version) for m in self._assigned[server_id]}
        new = {ModelKey(m.name, m.version) for m in desired}
        for key in old - new:
            self._since_ms.pop((server_id, key))
            started = self._ready_at_ms.pop((server_id, key), None)
            self.n_unloads += started is not None
        for key in new - old:
            self._since_ms[server_id, key] = now_ms
        self._assigned[server_id] = desired

    def _load(self, now_ms: float) -> None:
        for place, permit_id in list(self._permit_of.items()):
            if self._ready_at_ms.get(place, 0.0) <= now_ms:
                self._permits.release_permit(PermitRelease(permit_id, place[0]))
                del self._permit_of[place]
        self._permits.record_reports(self._loading())
        for server_id, models in self._assigned.items():
            for item in models:
                self._begin(server_id, item, now_ms)

    def _begin(self, server_id: str, item: DesiredModel, now_ms: float) -> None:
        place = (server_id, ModelKey(item.name, item.version))
        if place in self._ready_at_ms:
            return
        asked = self._permits.request_permit(
            PermitRequest(server_id, item.name),
            now_ms,
            urgent=item.name not in self._ready_names,
        )
        permit = asked.value_or(None)
        if permit is None:
            return
        self._permit_of[place] = permit.permit_id
        load_ms = ADAPTER_LOAD_MS if item.base else MODEL_LOAD_MS
        self._ready_at_ms[place] = now_ms + load_ms
        self.n_loads += 1

    def _loading(self) -> list[AgentReport]:
        return [
            AgentReport(
                server_id, "i", "z", "a", "engine", "", 0, 0, False, 0, 0, 0,
                (Resident(key.name, key.version, "loading", 0),), 0, 0, 0.0, 0,
            )
            for server_id, key in self._permit_of
        ]  # fmt: skip

    def _within_limits(self, served: dict, homes: dict) -> float:
        """Split each name's load over its replicas towards the least loaded."""
        load = dict.fromkeys(self._assigned, 0.0)
        for name in sorted(served, key=lambda n: (len(homes[n]), n)):
            self._pour(load, homes[name], served[name])
        knee = KNEE[self._user.name]
        return sum(attained(offered, knee) for offered in load.values())

    def _pour(self, load: dict[str, float], servers: list[str], amount: float) -> None:
        portion = amount / 10
        for _ in range(10):
            load[min(servers, key=lambda s: (load[s], s))] += portion


def compare_policies(
    users: list[User], minutes: int, seeds: list[int], weights: list[float]
) -> None:
    """Print each policy's outcome for some users, as the mean over seeds."""
    cases = [("static", 0.0), ("on_demand_lru", 0.0)]
    cases += [("marginal_gain", weight) for weight in weights]
    for user in users:
        print(f"{user} {minutes} minutes, seeds {seeds}")
        print("policy          weight  share  per-acc  worst  loads unloads unreach")
        for policy, weight in cases:
            runs = [World(user, policy, weight, seed).run(minutes) for seed in seeds]
            mean = [sum(column) / len(runs) for column in zip(*runs, strict=True)]
            print(
                f"{policy:15} {weight:6.1f} {mean[0]:6.3f} "
                f"{mean[0] / user.n_servers:8.4f} {mean[1]:6.3f} "
                f"{mean[2]:6.0f} {mean[3]:7.0f} {mean[4]:7.4f}"
            )


def time_round() -> None:
    """Print the processor time of rounds at the size of one region."""
    user = User("brazos", 1_460, 430, 3_000, 100.0, 100)
    rng = random.Random(1)
    entries = make_entries(user, rng)
    servers = [
        ServerState(f"s{i:04}", f"z{i % 3}", ServerStatus.LIVE, 80 * GIB, 24, ())
        for i in range(user.n_servers)
    ]
    demand = Demand(user, list(entries), 1).at(0.0)
    policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")
    request = PlacementRequest(entries, servers, demand, max_pending=64)
    times_ms = []
    for _ in range(150):
        begun = time.process_time()
        plan = policy(request)
        times_ms.append((time.process_time() - begun) * 1000)
        request = _carried_out(request, plan)
    n_replicas = sum(len(s.assigned) for s in request.servers)
    print(f"{user.n_servers} servers, {len(entries)} names, {n_replicas} replicas")
    print(f"first round {times_ms[0]:.0f} ms, most {max(times_ms):.0f} ms")
    print(f"last round {times_ms[-1]:.0f} ms, moves in it {len(plan.desired)}")


def _carried_out(request: PlacementRequest, plan: object) -> PlacementRequest:
    servers = []
    for state in request.servers:
        assigned = plan.desired.get(state.server_id, state.assigned)
        keys = frozenset(ModelKey(m.name, m.version) for m in assigned)
        names = frozenset(key.name for key in keys)
        servers.append(state._replace(assigned=assigned, ready=keys, settled=names))
    return request._replace(servers=servers)


def main() -> None:
    """Run the part named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("round", "policies"))
    parser.add_argument("--minutes", type=int, default=30)
    parser.add_argument("--user", choices=[user.name for user in USERS])
    parser.add_argument("--utilisation", type=float, default=0.45)
    parser.add_argument("--gib", type=int, default=80, help="memory of a server")
    parser.add_argument(
        "--weights", type=float, nargs="+", default=[0.0, 0.2, 0.5, 1.0, 2.0]
    )
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    options = parser.parse_args()
    if options.part == "round":
        time_round()
    else:
        chosen = [
            user._replace(utilisation=options.utilisation, capacity_gib=options.gib)
            for user in USERS
            if options.user in (None, user.name)
        ]
        compare_policies(chosen, options.minutes, options.seeds, options.weights)


if __name__ == "__main__":
    main()
