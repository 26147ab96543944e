"""Measures the processor time of a placement round, and compares the policies.

    python -m benchmarks.bench_placement round
    python -m benchmarks.bench_placement policies [--minutes 30] [--seeds 1 2]

``policies`` simulates the placement decisions without a network. The demand is random
with a fixed seed; it varies tenfold within an hour and has sudden bursts. Loads are
limited as by the weight store, and the requests answered within their limits are
estimated analytically. The policies, the demand estimator and the permits are those of
the product.
"""

import argparse
import math
import random
import time
from collections.abc import Iterator
from typing import NamedTuple

from cowslipwood.catalogue import CatalogueEntry, parse_entry
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
from cowslipwood.placement._attainment import attained_in_flight

BYTES_PER_GIB = 2**30
# Requests that one server serves at full speed at once, by user.
KNEE_IN_FLIGHT = {"direccion": 16, "brazos": 24}
# Time in milliseconds between two steps of the simulation.
STEP_MS = 1_000
# Time in milliseconds that the load of a model takes.
MODEL_LOAD_MS = 2_000
# Time in milliseconds that the load of an adapter takes.
ADAPTER_LOAD_MS = 500
# Time in milliseconds for which a server holds a model before it may be given up.
MIN_RESIDENCE_MS = 10_000
# Time in seconds from the start of one burst to the start of the next.
BURST_EVERY_S = 240
# Duration of a burst in seconds.
BURST_FOR_S = 150


class User(NamedTuple):
    """The size of one user's system.

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
    """The result of one simulation.

    Parameters
    ----------
    attainment : float
        Share of the offered requests answered within their limits.
    worst_minute : float
    n_loads, n_unloads : int
    unreachable_share : float
        Share of the offered requests for names without a ready replica.
    """

    attainment: float
    worst_minute: float
    n_loads: int
    n_unloads: int
    unreachable_share: float


def make_entries(user: User, rng: random.Random) -> dict[str, CatalogueEntry]:
    """Return a user's catalogue."""
    entries = {}
    for i in range(user.n_models):
        memory_bytes = rng.choice((8, 14, 14, 16, 26)) * BYTES_PER_GIB
        entries[f"m{i:03}"] = _entry(f"m{i:03}", "model", "", memory_bytes)
    for i in range(user.n_adapters):
        base = (
            f"m{min(int(rng.expovariate(4.0 / user.n_models)), user.n_models - 1):03}"
        )
        name = f"a{i:04}"
        entries[name] = _entry(name, "adapter", base, BYTES_PER_GIB // 4)
    return entries


def _entry(name: str, kind: str, base: str, memory_bytes: int) -> CatalogueEntry:
    value = {"name": name, "kind": kind, "owner": "o", "version": "1"}
    value["memory_bytes"] = memory_bytes
    if base:
        value["base"] = base
    return parse_entry(value).unwrap()


class Demand:
    """The requests in flight that callers offer, by name and time."""

    def __init__(self, user: User, names: list[str], seed: int):
        rng = random.Random(seed)
        names_by_rank = rng.sample(names, len(names))
        weights = {name: 1.0 / (rank + 2) for rank, name in enumerate(names_by_rank)}
        total_offered = user.utilisation * user.n_servers * KNEE_IN_FLIGHT[user.name]
        scale = total_offered / sum(weights.values())
        self._mean_in_flight = {
            name: weight * scale for name, weight in weights.items()
        }
        self._phase_share = {name: rng.random() for name in names}
        self._bursts = self._schedule_bursts(rng, names_by_rank)

    def _schedule_bursts(self, rng: random.Random, names: list[str]) -> list:
        burst_names = names[: max(len(names) // 3, 1)]
        return [
            (at_s, at_s + BURST_FOR_S, rng.choice(burst_names))
            for at_s in range(BURST_EVERY_S, 7_200, BURST_EVERY_S)
        ]

    def offered_in_flight(self, now_s: float) -> dict[str, float]:
        """Return the offered requests in flight by name."""
        half_range = math.log(10.0) / 2
        offered_by_name = {
            name: means
            * math.exp(half_range * math.sin(2 * math.pi * (now_s / 3600 + phase)))
            / 1.5
            for (name, means), phase in zip(
                self._mean_in_flight.items(), self._phase_share.values(), strict=True
            )
        }
        for from_s, to_s, name in self._bursts:
            if from_s <= now_s < to_s:
                offered_by_name[name] = min(
                    offered_by_name[name] * 10.0, offered_by_name[name] + 20.0
                )
        return offered_by_name


class PlacementSimulation:
    """Servers that carry out the plans of one placement policy."""

    def __init__(self, user: User, policy: str, move_weight: float, seed: int):
        self._user = user
        self._policy = lookup(PluginKind.PLACEMENT_POLICY, policy)
        self._move_weight = move_weight
        rng = random.Random(seed)
        self._entries = make_entries(user, rng)
        self._demand = Demand(user, list(self._entries), seed)
        self._noise_rng = random.Random(seed + 1)
        self._estimator = DemandEstimator()
        self._permits = Permits(user.loads_per_s, user.max_at_once, 10_000)
        self._permits.start_leadership(-20_000)
        ids = [f"s{i}" for i in range(user.n_servers)]
        self._assigned_by_server: dict[str, tuple[DesiredModel, ...]] = dict.fromkeys(
            ids, ()
        )
        self._ready_at_ms: dict[tuple[str, ModelKey], float] = {}
        self._assigned_at_ms: dict[tuple[str, ModelKey], float] = {}
        self._permit_by_replica: dict[tuple[str, ModelKey], int] = {}
        self._unplaced: set[str] = set()
        self._ready_names: set[str] = set()
        self.n_loads = 0
        self.n_unloads = 0

    def run(self, minutes: int) -> Outcome:
        """Simulate some minutes; return the outcome without the first two minutes."""
        steps = list(self._steps(minutes))
        counted_steps = steps[120_000 // STEP_MS :]
        total_offered = sum(step[0] for step in counted_steps)
        n_minute_steps = 60_000 // STEP_MS
        shares = [
            sum(s[1] for s in counted_steps[i : i + n_minute_steps])
            / sum(s[0] for s in counted_steps[i : i + n_minute_steps])
            for i in range(0, len(counted_steps) - n_minute_steps + 1, n_minute_steps)
        ]
        return Outcome(
            sum(step[1] for step in counted_steps) / total_offered,
            min(shares),
            self.n_loads,
            self.n_unloads,
            sum(step[2] for step in counted_steps) / total_offered,
        )

    def _steps(self, minutes: int) -> Iterator[tuple[float, float, float]]:
        for step in range(minutes * 60_000 // STEP_MS):
            now_ms = float(step * STEP_MS)
            offered_by_name = self._demand.offered_in_flight(now_ms / 1000)
            ready_servers = self._find_ready_servers(now_ms)
            self._ready_names = set(ready_servers)
            self._report_demand(offered_by_name, ready_servers, now_ms)
            self._run_round(now_ms)
            self._start_loads(now_ms)
            served = {n: d for n, d in offered_by_name.items() if ready_servers.get(n)}
            attained = self._predict_attained(served, ready_servers)
            total_offered = sum(offered_by_name.values())
            yield total_offered, attained, total_offered - sum(served.values())

    def _find_ready_servers(self, now_ms: float) -> dict[str, list[str]]:
        ready_servers: dict[str, list[str]] = {}
        for (server_id, key), at_ms in self._ready_at_ms.items():
            if at_ms <= now_ms:
                ready_servers.setdefault(key.name, []).append(server_id)
        return ready_servers

    def _report_demand(
        self, offered_by_name: dict, ready_servers: dict, now_ms: float
    ) -> None:
        samples = []
        for name, in_flight in offered_by_name.items():
            reported_in_flight = in_flight * self._noise_rng.uniform(0.8, 1.2)
            missed_share = 0.0 if ready_servers.get(name) else 1.0
            served_in_flight = 0.0 if missed_share else reported_in_flight
            samples.append(
                DemandSample(name, reported_in_flight, served_in_flight, missed_share)
            )
        report = EntryReport("e1", "i", "z", "a", False, 0, tuple(samples))
        self._estimator.record_report(report, now_ms)

    def _run_round(self, now_ms: float) -> None:
        request = PlacementRequest(
            self._entries,
            [
                self._server_state(i, server_id, now_ms)
                for i, server_id in self._numbered_server_ids()
            ],
            self._estimator.update(now_ms),
            self._estimator.update_unserved_s(self._unplaced, now_ms),
            self._move_weight,
        )
        plan = self._policy(request)
        self._unplaced = set(plan.unplaced)
        for server_id, desired in plan.desired.items():
            self._change_assignment(server_id, desired, now_ms)

    def _numbered_server_ids(self) -> Iterator[tuple[int, str]]:
        return enumerate(self._assigned_by_server)

    def _server_state(self, number: int, server_id: str, now_ms: float) -> ServerState:
        keys = [
            ModelKey(m.name, m.version) for m in self._assigned_by_server[server_id]
        ]
        return ServerState(
            server_id,
            f"zone-{number % 3}",
            ServerStatus.LIVE,
            self._user.capacity_gib * BYTES_PER_GIB,
            KNEE_IN_FLIGHT[self._user.name],
            self._assigned_by_server[server_id],
            frozenset(
                key
                for key in keys
                if self._ready_at_ms.get((server_id, key), math.inf) <= now_ms
            ),
            past_min_residence=frozenset(
                key.name
                for key in keys
                if now_ms - self._assigned_at_ms[server_id, key] >= MIN_RESIDENCE_MS
            ),
        )

    def _change_assignment(self, server_id: str, desired: tuple, now_ms: float) -> None:
        old_keys = {
            ModelKey(m.name, m.version) for m in self._assigned_by_server[server_id]
        }
        new_keys = {ModelKey(m.name, m.version) for m in desired}
        for key in old_keys - new_keys:
            self._assigned_at_ms.pop((server_id, key))
            started = self._ready_at_ms.pop((server_id, key), None)
            self.n_unloads += started is not None
        for key in new_keys - old_keys:
            self._assigned_at_ms[server_id, key] = now_ms
        self._assigned_by_server[server_id] = desired

    def _start_loads(self, now_ms: float) -> None:
        for replica, permit_id in list(self._permit_by_replica.items()):
            if self._ready_at_ms.get(replica, 0.0) <= now_ms:
                self._permits.release_permit(PermitRelease(permit_id, replica[0]))
                del self._permit_by_replica[replica]
        self._permits.record_reports(self._loading_reports())
        for server_id, models in self._assigned_by_server.items():
            for model in models:
                self._start_load(server_id, model, now_ms)

    def _start_load(self, server_id: str, model: DesiredModel, now_ms: float) -> None:
        replica = (server_id, ModelKey(model.name, model.version))
        if replica in self._ready_at_ms:
            return
        asked = self._permits.grant_permit(
            PermitRequest(server_id, model.name),
            now_ms,
            urgent=model.name not in self._ready_names,
        )
        permit = asked.value_or(None)
        if permit is None:
            return
        self._permit_by_replica[replica] = permit.permit_id
        load_time_ms = ADAPTER_LOAD_MS if model.base else MODEL_LOAD_MS
        self._ready_at_ms[replica] = now_ms + load_time_ms
        self.n_loads += 1

    def _loading_reports(self) -> list[AgentReport]:
        return [
            AgentReport(
                server_id, "i", "z", "a", "engine", "", 0, 0, False, 0, 0, 0,
                (Resident(key.name, key.version, "loading", 0),), 0, 0, 0.0, 0,
            )
            for server_id, key in self._permit_by_replica
        ]  # fmt: skip

    def _predict_attained(self, served: dict, ready_servers: dict) -> float:
        """Return the requests in flight that are answered within their limits.

        Each name's load is assigned in portions to its least loaded replica.
        """
        load_by_server = dict.fromkeys(self._assigned_by_server, 0.0)
        for name in sorted(served, key=lambda n: (len(ready_servers[n]), n)):
            self._assign_load(load_by_server, ready_servers[name], served[name])
        knee = KNEE_IN_FLIGHT[self._user.name]
        return sum(attained_in_flight(load, knee) for load in load_by_server.values())

    def _assign_load(
        self,
        load_by_server: dict[str, float],
        servers: list[str],
        name_in_flight: float,
    ) -> None:
        portion_in_flight = name_in_flight / 10
        for _ in range(10):
            load_by_server[min(servers, key=lambda s: (load_by_server[s], s))] += (
                portion_in_flight
            )


def compare_policies(
    users: list[User], minutes: int, seeds: list[int], weights: list[float]
) -> None:
    """Print the outcome of each policy for some users, as the mean over the seeds."""
    cases = [("static", 0.0), ("on_demand_lru", 0.0)]
    cases += [("marginal_gain", weight) for weight in weights]
    for user in users:
        print(f"{user} {minutes} minutes, seeds {seeds}")
        print("policy          weight  share  per-acc  worst  loads unloads unreach")
        for policy, weight in cases:
            outcomes = [
                PlacementSimulation(user, policy, weight, seed).run(minutes)
                for seed in seeds
            ]
            means = [
                sum(column) / len(outcomes) for column in zip(*outcomes, strict=True)
            ]
            print(
                f"{policy:15} {weight:6.1f} {means[0]:6.3f} "
                f"{means[0] / user.n_servers:8.4f} {means[1]:6.3f} "
                f"{means[2]:6.0f} {means[3]:7.0f} {means[4]:7.4f}"
            )


def time_round() -> None:
    """Print the processor time of placement rounds at the size of one region."""
    user = User("brazos", 1_460, 430, 3_000, 100.0, 100)
    rng = random.Random(1)
    entries = make_entries(user, rng)
    servers = [
        ServerState(
            f"s{i:04}", f"z{i % 3}", ServerStatus.LIVE, 80 * BYTES_PER_GIB, 24, ()
        )
        for i in range(user.n_servers)
    ]
    demand = Demand(user, list(entries), 1).offered_in_flight(0.0)
    policy = lookup(PluginKind.PLACEMENT_POLICY, "marginal_gain")
    request = PlacementRequest(entries, servers, demand, max_pending_loads=64)
    times_ms = []
    for _ in range(150):
        began_s = time.process_time()
        plan = policy(request)
        times_ms.append((time.process_time() - began_s) * 1000)
        request = _apply_plan(request, plan)
    n_replicas = sum(len(s.assigned) for s in request.servers)
    print(f"{user.n_servers} servers, {len(entries)} names, {n_replicas} replicas")
    print(f"first round {times_ms[0]:.0f} ms, most {max(times_ms):.0f} ms")
    print(f"last round {times_ms[-1]:.0f} ms, moves in it {len(plan.desired)}")


def _apply_plan(request: PlacementRequest, plan: object) -> PlacementRequest:
    servers = []
    for state in request.servers:
        assigned = plan.desired.get(state.server_id, state.assigned)
        keys = frozenset(ModelKey(m.name, m.version) for m in assigned)
        names = frozenset(key.name for key in keys)
        servers.append(
            state._replace(assigned=assigned, ready=keys, past_min_residence=names)
        )
    return request._replace(servers=servers)


def main() -> None:
    """Run the part that the command line names."""
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
