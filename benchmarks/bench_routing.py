"""Measures the time of one routing decision at the size of a region.

Run with ``python benchmarks/bench_routing.py``; it prints JSON. The target is at
most 50 microseconds for a decision with 430 models on 1,460 servers.
"""

import json
import random
import statistics
import time
from typing import Any

import orjson

from cowslipwood.catalogue import parse_entry
from cowslipwood.entry import front_ends  # noqa: F401
from cowslipwood.entry.choosing._backend import LoadReport
from cowslipwood.entry.choosing._router import Router
from cowslipwood.entry.choosing._view import FleetView, make_entry_key
from cowslipwood.entry.receiving._call import Call, make_call
from cowslipwood.kernel.messages import CatalogueUpdate, RoutingUpdate, ServerView
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.kernel.registry import PluginKind, lookup, plugin_names

# Seed of the random servers, requests and choices.
RANDOM_SEED = 20_261_204
# Models of the region.
N_MODELS = 430
# Backend servers of the region.
N_SERVERS = 1_460
# Models drawn at random for each server, besides the one that its number assigns.
N_MODELS_PER_SERVER = 3
# Decisions in one repetition.
N_DECISIONS = 20_000
# Repetitions of which the median and the greatest mean time are reported.
N_REPETITIONS = 3
# Availability zones over which the servers are spread.
N_ZONES = 14


def _model_value(number: int) -> dict[str, Any]:
    return {
        "name": f"model-{number}",
        "kind": "model",
        "owner": "bench",
        "version": "1",
        "memory_bytes": 1,
        "limits": {"first_token_ms": 690, "max_in_flight": 100_000},
    }


def _server_view(number: int, rng: random.Random) -> ServerView:
    # Demand is skewed: models with low numbers are drawn far more often.
    model_numbers = {
        int(N_MODELS * rng.random() ** 3) for _ in range(N_MODELS_PER_SERVER)
    }
    model_numbers.add(number % N_MODELS)
    return ServerView(
        server_id=f"server-{number}",
        incarnation="i",
        zone=f"zone-{number % N_ZONES}",
        http_addr=f"10.0.{number // 250}.{number % 250}:8200",
        kind="engine",
        service_name="",
        leaving=False,
        ready=tuple(f"model-{model}@1" for model in sorted(model_numbers)),
        n_in_flight=rng.randrange(20),
        n_queued=0,
        wait_ms=0.0,
        knee_in_flight=16,
    )


def _make_view(rng: random.Random) -> FleetView:
    view = FleetView()
    entries = tuple(orjson.dumps(_model_value(i)) for i in range(N_MODELS))
    view.update_catalogue(CatalogueUpdate(1, True, entries, ()))
    servers = tuple(_server_view(i, rng) for i in range(N_SERVERS))
    view.update_routing(RoutingUpdate(True, servers, ()), 0.0)
    return view


def _make_calls(rng: random.Random) -> list[Call]:
    calls = []
    for number in range(N_DECISIONS):
        entry = parse_entry(_model_value(int(N_MODELS * rng.random() ** 3))).unwrap()
        prefix_hash = rng.getrandbits(64)
        call = make_call(
            f"r{number}", entry, make_entry_key(entry), prefix_hash, 0.0, float("inf")
        )
        calls.append(call)
    return calls


def _overload_servers(view: FleetView) -> None:
    """Load every server so much that no answer can begin in time."""
    for backend in view.backends.values():
        backend.answer_ms.add(1_000.0)
        backend.record_answer(LoadReport(200, 200, 5_000.0, 16), 0.0)


def _measure_decisions(policy: str, overloaded: bool) -> dict[str, float]:
    rng = random.Random(RANDOM_SEED)
    view = _make_view(rng)
    if overloaded:
        _overload_servers(view)
    calls = _make_calls(rng)
    routing_policy = lookup(PluginKind.ROUTING_POLICY, policy)()
    router = Router(view, routing_policy, "zone-1", Metrics("entry"), rng, 0.0)
    means_us = []
    for _ in range(N_REPETITIONS):
        began_s = time.perf_counter()
        for call in calls:
            router.start_attempts(call).next_server(1.0)
        means_us.append((time.perf_counter() - began_s) / N_DECISIONS * 1e6)
    return {"median_us": statistics.median(means_us), "max_us": max(means_us)}


def _measure_update_us() -> float:
    """Return the time of applying one server's changed view, in microseconds."""
    rng = random.Random(RANDOM_SEED)
    view = _make_view(rng)
    changed_views = [_server_view(i, rng) for i in range(N_SERVERS)]
    began_s = time.perf_counter()
    for server in changed_views:
        view.update_routing(RoutingUpdate(False, (server,), ()), 1.0)
    return (time.perf_counter() - began_s) / N_SERVERS * 1e6


def main() -> None:
    """Measure every policy and print the results as JSON."""
    view = _make_view(random.Random(RANDOM_SEED))
    n_candidates = [len(view.candidates(f"model-{i}@1")) for i in range(N_MODELS)]
    results = {
        "seed": RANDOM_SEED,
        "n_models": N_MODELS,
        "n_servers": N_SERVERS,
        "max_candidates": max(n_candidates),
        "decision": {
            policy: _measure_decisions(policy, overloaded=False)
            for policy in plugin_names(PluginKind.ROUTING_POLICY)
        },
        "refusal_when_overloaded": _measure_decisions("sampled_load", overloaded=True),
        "update_us": _measure_update_us(),
    }
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
