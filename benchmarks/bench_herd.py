"""Simulates a routing policy when many entries choose by the same outdated reports.

    python -m benchmarks.bench_herd [--policy least_cost ...] [--seeds 4]
        [--entries 70] [--engines 60] [--load 1.0]

Such entries may all choose the same engine at once (the thundering herd problem). Each
entry has its own view of the engines: its own requests, the load that came with the
answers to them, and the load that the leader distributes from time to time, which is
the same for all entries and some hundred milliseconds old. Engines process prompts in
chunks between the decoding steps of their batch and cache shared prompt prefixes. The
policies are those of the product. The simulation takes no real time, and a seed always
gives the same figures.
"""

import argparse
import heapq
import random
import statistics
from collections import Counter, OrderedDict, deque
from typing import Any, NamedTuple

import xxhash
from tabulate import tabulate

from cowslipwood.entry import routing  # noqa: F401  registers the policies
from cowslipwood.entry.choosing._backend import Backend, LoadReport
from cowslipwood.entry.routing import RoutingContext
from cowslipwood.kernel.messages import ServerView
from cowslipwood.kernel.registry import PluginKind, lookup

# Largest batch of an engine, in requests.
N_SLOTS = 48
# Largest number of requests that wait at an engine, which refuses further ones.
MAX_WAITING = 8
ZONES = ("zone-1", "zone-2", "zone-3", "zone-4", "zone-5")
# Time of a decoding step in milliseconds, without any request.
DECODE_STEP_MS = 4.7
# Additional time of a decoding step in milliseconds, for each request in the batch.
DECODE_STEP_MS_PER_REQUEST = 0.04
# Largest number of prompt tokens processed in one step.
PREFILL_CHUNK_TOKENS = 512
# Prompt tokens processed per millisecond.
PREFILL_TOKENS_PER_MS = 38.0
# Tokens of shared prefixes that the cache of an engine has room for.
CACHE_TOKENS = 70_000
# Interval in milliseconds between two reports of an engine.
REPORT_INTERVAL_MS = 450.0
# Age in milliseconds of the load that a report shows.
REPORT_LAG_MS = 200.0
# Interval in milliseconds at which the leader distributes the reports to the entries.
DISTRIBUTION_INTERVAL_MS = 400.0
# Time in milliseconds after which no more requests arrive.
ARRIVALS_END_MS = 20_000.0
# Requests sent within this time in milliseconds from the start are not counted.
WARM_UP_MS = 3_000.0
N_MODELS = 12
# Share of the requests that ask for each model.
MODEL_SHARES = (0.35, 0.2, 0.12, 0.08, 0.06, 0.05, 0.04, 0.03, 0.03, 0.02, 0.01, 0.01)
# Least number of engines that hold a model.
MIN_HOLDERS = 2
# Number of different shared prefixes for each model and kind of request.
N_PREFIXES_PER_MODEL = 15


class RequestKind(NamedTuple):
    """One kind of request."""

    name: str
    rate_per_s: float
    first_event_target_ms: float
    end_limit_ms: float
    n_shared_tokens: int
    n_own_tokens: int
    n_output_tokens: int


REQUEST_KINDS = (
    RequestKind("long", 105.0, 835.0, 5_220.0, 6_300, 2_890, 52),
    RequestKind("chat", 127.0, 515.0, 15_000.0, 200, 630, 292),
)


class _Request:
    def __init__(
        self, kind: RequestKind, model: int, prefix_number: int, rng: random.Random
    ):
        self.kind = kind
        self.model = model
        self.shared_prefix = f"{kind.name}/{model}/{prefix_number}"
        self.n_own_tokens = max(
            16, int(rng.lognormvariate(-0.3, 0.8) * kind.n_own_tokens)
        )
        self.n_output_tokens_left = max(
            4, int(rng.lognormvariate(-0.2, 0.6) * kind.n_output_tokens)
        )
        self.n_prompt_tokens_left = 0
        self.sent_ms = 0.0
        self.first_event_ms = 0.0
        self.entry_index = 0
        self.server_id = ""


class _Engine:
    def __init__(self, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.models: set[int] = set()
        self.running: list[_Request] = []
        self.waiting: deque[_Request] = deque()
        self.cached_tokens: OrderedDict[str, int] = OrderedDict()
        self.is_stepping = False
        self.past_loads: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])
        self.n_received = 0
        self.n_reread_tokens = 0

    def accept_request(self, request: _Request) -> bool:
        """Queue a request unless too many wait; return whether it was queued."""
        self.n_received += 1
        if len(self.waiting) >= MAX_WAITING:
            return False
        request.n_prompt_tokens_left = request.n_own_tokens
        if request.shared_prefix in self.cached_tokens:
            self.cached_tokens.move_to_end(request.shared_prefix)
        else:
            request.n_prompt_tokens_left += request.kind.n_shared_tokens
            self.n_reread_tokens += request.kind.n_shared_tokens
            self.cached_tokens[request.shared_prefix] = request.kind.n_shared_tokens
            while sum(self.cached_tokens.values()) > CACHE_TOKENS:
                self.cached_tokens.popitem(last=False)
        self.waiting.append(request)
        return True

    def run_step(self, now_ms: float) -> tuple[float, list[_Request], list[_Request]]:
        """Run a step; return its duration and the requests that started and ended."""
        n_chunk_tokens_left = PREFILL_CHUNK_TOKENS
        started = []
        while self.waiting and n_chunk_tokens_left and len(self.running) < N_SLOTS:
            request = self.waiting[0]
            n_processed = min(n_chunk_tokens_left, request.n_prompt_tokens_left)
            request.n_prompt_tokens_left -= n_processed
            n_chunk_tokens_left -= n_processed
            if not request.n_prompt_tokens_left:
                started.append(self.waiting.popleft())
        ended = []
        for request in self.running:
            request.n_output_tokens_left -= 1
            if request.n_output_tokens_left <= 0:
                ended.append(request)
        for request in ended:
            self.running.remove(request)
        self.running += started
        step_ms = DECODE_STEP_MS + DECODE_STEP_MS_PER_REQUEST * len(self.running)
        return (
            step_ms
            + (PREFILL_CHUNK_TOKENS - n_chunk_tokens_left) / PREFILL_TOKENS_PER_MS,
            started,
            ended,
        )

    def record_load(self, now_ms: float) -> None:
        """Store the current load, which a report shows ``REPORT_LAG_MS`` later."""
        self.past_loads.append((now_ms, len(self.running), len(self.waiting)))
        while (
            len(self.past_loads) > 1 and self.past_loads[1][0] <= now_ms - REPORT_LAG_MS
        ):
            self.past_loads.popleft()


class Outcome(NamedTuple):
    """Results of one simulation.

    Parameters
    ----------
    late : float
        Share of the requests whose first event came late or never.
    late_long, late_chat : float
        The same for each kind of request.
    refused : float
        Number of refusals by engines per request.
    busiest : float
        Requests sent to the busiest engine, divided by the mean of all engines.
    read_again : float
        Processed tokens of shared prefixes, which were not in the cache, as a share of
        all tokens of shared prefixes.
    crossed : float
        Share of the prompt tokens that were sent to another zone.
    """

    late: float
    late_long: float
    late_chat: float
    refused: float
    busiest: float
    read_again: float
    crossed: float


class RoutingSimulation:
    """Simulation of engines and of the entries that choose among them.

    Parameters
    ----------
    policy : str
    seed : int
    n_entries, n_engines : int
    load : float
        Factor on the rate of requests.
    """

    def __init__(
        self, policy: str, seed: int, n_entries: int, n_engines: int, load: float
    ):
        self._rng = random.Random(seed)
        self._load_factor = load
        self._n_entries = n_entries
        self._engines = {
            f"s{number}": _Engine(f"s{number}", ZONES[number % len(ZONES)])
            for number in range(n_engines)
        }
        self._place_models()
        self._events: list[tuple[float, int, Any, tuple]] = []
        self._n_events = 0
        self._policies = [
            lookup(PluginKind.ROUTING_POLICY, policy)() for _ in range(n_entries)
        ]
        self._views = [self._build_view() for _ in range(n_entries)]
        self._load_by_engine: dict[str, tuple[int, int]] = {}
        self._n_requests: Counter[str] = Counter()
        self._n_late: Counter[str] = Counter()
        self._n_refused = 0
        self._n_shared_tokens = 0
        self._n_sent_tokens = self._n_cross_zone_tokens = 0

    def _place_models(self) -> None:
        engines = list(self._engines.values())
        for model, share in enumerate(MODEL_SHARES):
            n_holders = max(MIN_HOLDERS, round(1.6 * share * len(engines)))
            for engine in sorted(
                engines, key=lambda engine: (len(engine.models), self._rng.random())
            )[:n_holders]:
                engine.models.add(model)

    def _build_view(self) -> dict[str, Backend]:
        return {
            name: Backend(
                ServerView(
                    name,
                    "",
                    engine.zone,
                    name,
                    "engine",
                    "",
                    False,
                    (),
                    0,
                    0,
                    0.0,
                    N_SLOTS,
                ),
                0.0,
            )
            for name, engine in self._engines.items()
        }

    def _schedule_event(self, at_ms: float, handler: Any, *args: Any) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (at_ms, self._n_events, handler, args))

    def run(self) -> Outcome:
        """Simulate to the end; return the results."""
        for kind in REQUEST_KINDS:
            self._schedule_event(0.0, self._handle_arrival, kind)
        for number, engine in enumerate(self._engines.values()):
            self._schedule_event(
                number * REPORT_INTERVAL_MS / len(self._engines),
                self._record_report,
                engine,
            )
        self._schedule_event(0.0, self._distribute_reports)
        while self._events:
            now_ms, _, handler, args = heapq.heappop(self._events)
            if now_ms > ARRIVALS_END_MS + 6_000.0:
                break
            handler(now_ms, *args)
        n_requests = sum(self._n_requests.values())
        n_received = [engine.n_received for engine in self._engines.values()]
        n_reread_tokens = sum(
            engine.n_reread_tokens for engine in self._engines.values()
        )
        return Outcome(
            sum(self._n_late.values()) / n_requests,
            self._n_late["long"] / self._n_requests["long"],
            self._n_late["chat"] / self._n_requests["chat"],
            self._n_refused / n_requests,
            max(n_received) / statistics.fmean(n_received),
            n_reread_tokens / self._n_shared_tokens,
            self._n_cross_zone_tokens / self._n_sent_tokens,
        )

    def _handle_arrival(self, now_ms: float, kind: RequestKind) -> None:
        rng = self._rng
        if now_ms > ARRIVALS_END_MS:
            return
        self._schedule_event(
            now_ms + rng.expovariate(kind.rate_per_s * self._load_factor) * 1000,
            self._handle_arrival,
            kind,
        )
        model = rng.choices(range(N_MODELS), MODEL_SHARES)[0]
        request = _Request(
            kind, model, int(N_PREFIXES_PER_MODEL * rng.random() ** 1.3), rng
        )
        request.entry_index = rng.randrange(self._n_entries)
        request.sent_ms = now_ms
        if now_ms > WARM_UP_MS:
            self._n_requests[kind.name] += 1
            # Subtracted again if the first event comes in time.
            self._n_late[kind.name] += 1
        self._n_shared_tokens += kind.n_shared_tokens
        self._send_request(now_ms, request, frozenset())

    def _send_request(
        self, now_ms: float, request: _Request, tried_ids: frozenset[str]
    ) -> None:
        view = self._views[request.entry_index]
        candidates = [
            view[name]
            for name, engine in self._engines.items()
            if request.model in engine.models
        ]
        context = RoutingContext(
            key=str(request.model),
            prefix_hash=xxhash.xxh3_64_intdigest(request.shared_prefix.encode()),
            zone=ZONES[request.entry_index % len(ZONES)],
            tried_ids=tried_ids,
            n_shared_tokens=request.kind.n_shared_tokens,
            body_bytes=request.kind.n_shared_tokens + request.n_own_tokens,
        )
        backend = self._policies[request.entry_index].choose(
            candidates, context, self._rng, now_ms
        )
        if backend is None:
            return
        engine = self._engines[backend.view.server_id]
        request.server_id = engine.name
        n_tokens = request.kind.n_shared_tokens + request.n_own_tokens
        self._n_sent_tokens += n_tokens
        if engine.zone != context.zone:
            self._n_cross_zone_tokens += n_tokens
        if not engine.accept_request(request):
            self._n_refused += 1
            backend.record_answer(
                LoadReport(len(engine.running), len(engine.waiting), 0.0, N_SLOTS),
                now_ms,
            )
            if len(tried_ids) < 2:
                self._schedule_event(
                    now_ms + 4.0, self._send_request, request, tried_ids | {engine.name}
                )
            return
        backend.n_in_flight += 1
        backend.n_pending_tokens += request.n_own_tokens + round(
            0.2 * request.kind.n_shared_tokens
        )
        if not engine.is_stepping:
            engine.is_stepping = True
            self._schedule_event(now_ms, self._run_engine_step, engine)

    def _run_engine_step(self, now_ms: float, engine: _Engine) -> None:
        step_ms, started, ended = engine.run_step(now_ms)
        end_ms = now_ms + step_ms
        engine.record_load(end_ms)
        for request in started:
            request.first_event_ms = end_ms
            backend = self._views[request.entry_index][engine.name]
            backend.n_pending_tokens -= request.n_own_tokens + round(
                0.2 * request.kind.n_shared_tokens
            )
            report = LoadReport(len(engine.running), len(engine.waiting), 0.0, N_SLOTS)
            backend.record_answer(report, end_ms)
            backend.first_event_ms.add(end_ms - request.sent_ms)
            if (
                request.sent_ms > WARM_UP_MS
                and end_ms - request.sent_ms <= request.kind.first_event_target_ms
            ):
                self._n_late[request.kind.name] -= 1
        for request in ended:
            self._views[request.entry_index][engine.name].n_in_flight -= 1
        engine.is_stepping = bool(engine.running or engine.waiting)
        if engine.is_stepping:
            self._schedule_event(end_ms, self._run_engine_step, engine)

    def _record_report(self, now_ms: float, engine: _Engine) -> None:
        engine.record_load(now_ms)
        _, n_running, n_waiting = engine.past_loads[0]
        self._load_by_engine[engine.name] = (n_running, n_waiting)
        if now_ms < ARRIVALS_END_MS:
            self._schedule_event(
                now_ms + REPORT_INTERVAL_MS, self._record_report, engine
            )

    def _distribute_reports(self, now_ms: float) -> None:
        for view in self._views:
            for name, (n_running, n_waiting) in self._load_by_engine.items():
                report = LoadReport(n_running, n_waiting, 0.0, N_SLOTS)
                view[name].record_load_report(report, now_ms)
        if now_ms < ARRIVALS_END_MS:
            self._schedule_event(
                now_ms + DISTRIBUTION_INTERVAL_MS, self._distribute_reports
            )


def main() -> None:
    """Simulate each policy for each seed; print the means and their errors."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", nargs="+", default=["least_cost"])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--entries", type=int, default=70)
    parser.add_argument("--engines", type=int, default=60)
    parser.add_argument("--load", type=float, default=1.0)
    args = parser.parse_args()
    rows = []
    for policy in args.policy:
        outcomes = [
            RoutingSimulation(policy, seed, args.entries, args.engines, args.load).run()
            for seed in range(1, args.seeds + 1)
        ]
        means = [statistics.fmean(column) for column in zip(*outcomes, strict=True)]
        late_shares = [outcome.late for outcome in outcomes]
        error = (
            statistics.stdev(late_shares) / len(late_shares) ** 0.5
            if len(late_shares) > 1
            else 0.0
        )
        rows.append([policy, *means, error])
    headers = ["policy", *Outcome._fields, "error of late"]
    print(tabulate(rows, headers=headers, floatfmt=".3f"))


if __name__ == "__main__":
    main()
