"""Measures a routing policy where many entries choose by the same old reports.

    python -m benchmarks.bench_herd [--policy least_cost ...] [--seeds 4]
        [--entries 70] [--engines 60] [--load 1.0]

Each entry has its own view of the engines: its own requests, the load that came
with its answers, and the load that the leader tells now and then, all entries the
same and some hundred milliseconds old. Engines read prompts in chunks between the
steps of their batch and keep shared prompt parts. Every entry runs the shipped
policy; nothing waits in real time, and a seed always gives the same figures.
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

N_SLOTS = 48
N_WAITING = 8  # more than this are refused
ZONES = ("zone-1", "zone-2", "zone-3", "zone-4", "zone-5")
STEP_MS = 4.7
STEP_MS_PER_RUN = 0.04
CHUNK_TOKENS = 512
TOKENS_PER_MS = 38.0
KEPT_TOKENS = 70_000
REPORT_MS = 450.0
REPORT_LAG_MS = 200.0
TELL_MS = 400.0
LENGTH_MS = 20_000.0
WARM_MS = 3_000.0
N_MODELS = 12
SHARES = (0.35, 0.2, 0.12, 0.08, 0.06, 0.05, 0.04, 0.03, 0.03, 0.02, 0.01, 0.01)
HOLDERS_AT_LEAST = 2
N_SUBJECTS = 15


class Kind(NamedTuple):
    """One kind of request."""

    name: str
    per_s: float
    aim_ms: float
    limit_ms: float
    n_shared: int
    n_own: int
    n_output: int


KINDS = (
    Kind("long", 105.0, 835.0, 5_220.0, 6_300, 2_890, 52),
    Kind("chat", 127.0, 515.0, 15_000.0, 200, 630, 292),
)


class _Run:
    def __init__(self, kind: Kind, model: int, subject: int, rng: random.Random):
        self.kind = kind
        self.model = model
        self.shared = f"{kind.name}/{model}/{subject}"
        self.n_own = max(16, int(rng.lognormvariate(-0.3, 0.8) * kind.n_own))
        self.n_left = max(4, int(rng.lognormvariate(-0.2, 0.6) * kind.n_output))
        self.n_to_read = 0
        self.sent_ms = 0.0
        self.first_ms = 0.0
        self.entry = 0
        self.server = ""


class _Engine:
    def __init__(self, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.models: set[int] = set()
        self.running: list[_Run] = []
        self.waiting: deque[_Run] = deque()
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.is_active = False
        self.past: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])
        self.n_sent = 0
        self.n_again = 0

    def accept(self, run: _Run) -> bool:
        """Queue a request, unless too many wait."""
        self.n_sent += 1
        if len(self.waiting) >= N_WAITING:
            return False
        run.n_to_read = run.n_own
        if run.shared in self.kept:
            self.kept.move_to_end(run.shared)
        else:
            run.n_to_read += run.kind.n_shared
            self.n_again += run.kind.n_shared
            self.kept[run.shared] = run.kind.n_shared
            while sum(self.kept.values()) > KEPT_TOKENS:
                self.kept.popitem(last=False)
        self.waiting.append(run)
        return True

    def step(self, now_ms: float) -> tuple[float, list[_Run], list[_Run]]:
        """Do one step; return its length, and who began and ended."""
        n_read = CHUNK_TOKENS
        began = []
        while self.waiting and n_read and len(self.running) < N_SLOTS:
            run = self.waiting[0]
            taken = min(n_read, run.n_to_read)
            run.n_to_read -= taken
            n_read -= taken
            if not run.n_to_read:
                began.append(self.waiting.popleft())
        ended = []
        for run in self.running:
            run.n_left -= 1
            if run.n_left <= 0:
                ended.append(run)
        for run in ended:
            self.running.remove(run)
        self.running += began
        spent_ms = STEP_MS + STEP_MS_PER_RUN * len(self.running)
        return spent_ms + (CHUNK_TOKENS - n_read) / TOKENS_PER_MS, began, ended

    def note(self, now_ms: float) -> None:
        """Keep the load, to be read when it is as old as reports are."""
        self.past.append((now_ms, len(self.running), len(self.waiting)))
        while len(self.past) > 1 and self.past[1][0] <= now_ms - REPORT_LAG_MS:
            self.past.popleft()


class Result(NamedTuple):
    """What one run gave.

    Parameters
    ----------
    late : float
        Share of the requests whose first event came late or never.
    late_long, late_chat : float
    refused : float
        Refusals by engines, for each request.
    busiest : float
        Requests sent to the busiest engine, over the mean.
    read_again : float
        Shared tokens read, as a share of those asked for.
    crossed : float
        Of the prompts' tokens, those sent to another zone.
    """

    late: float
    late_long: float
    late_chat: float
    refused: float
    busiest: float
    read_again: float
    crossed: float


class World:
    """Engines and the entries that choose among them.

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
        self._load = load
        self._n_entries = n_entries
        self._engines = {
            f"s{n}": _Engine(f"s{n}", ZONES[n % len(ZONES)]) for n in range(n_engines)
        }
        self._place()
        self._events: list[tuple[float, int, Any, tuple]] = []
        self._n_events = 0
        self._policies = [
            lookup(PluginKind.ROUTING_POLICY, policy)() for _ in range(n_entries)
        ]
        self._views = [self._view() for _ in range(n_entries)]
        self._told: dict[str, tuple[int, int]] = {}
        self._asked: Counter[str] = Counter()
        self._late: Counter[str] = Counter()
        self._n_refused = 0
        self._n_shared = 0
        self._n_tokens = self._n_crossed = 0

    def _place(self) -> None:
        engines = list(self._engines.values())
        for model, share in enumerate(SHARES):
            n_holders = max(HOLDERS_AT_LEAST, round(1.6 * share * len(engines)))
            for engine in sorted(
                engines, key=lambda e: (len(e.models), self._rng.random())
            )[:n_holders]:
                engine.models.add(model)

    def _view(self) -> dict[str, Backend]:
        return {
            name: Backend(
                ServerView(
                    name, "", e.zone, name, "engine", "", False, (), 0, 0, 0.0, N_SLOTS
                ),
                0.0,
            )
            for name, e in self._engines.items()
        }

    def _at(self, at_ms: float, what: Any, *args: Any) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (at_ms, self._n_events, what, args))

    def play(self) -> Result:
        """Play to the end."""
        for kind in KINDS:
            self._at(0.0, self._arrive, kind)
        for n, engine in enumerate(self._engines.values()):
            self._at(n * REPORT_MS / len(self._engines), self._read_report, engine)
        self._at(0.0, self._tell)
        while self._events:
            now_ms, _, what, args = heapq.heappop(self._events)
            if now_ms > LENGTH_MS + 6_000.0:
                break
            what(now_ms, *args)
        n_asked = sum(self._asked.values())
        sent = [engine.n_sent for engine in self._engines.values()]
        read = sum(engine.n_again for engine in self._engines.values())
        return Result(
            sum(self._late.values()) / n_asked,
            self._late["long"] / self._asked["long"],
            self._late["chat"] / self._asked["chat"],
            self._n_refused / n_asked,
            max(sent) / statistics.fmean(sent),
            read / self._n_shared,
            self._n_crossed / self._n_tokens,
        )

    def _arrive(self, now_ms: float, kind: Kind) -> None:
        rng = self._rng
        if now_ms > LENGTH_MS:
            return
        self._at(
            now_ms + rng.expovariate(kind.per_s * self._load) * 1000,
            self._arrive,
            kind,
        )
        model = rng.choices(range(N_MODELS), SHARES)[0]
        run = _Run(kind, model, int(N_SUBJECTS * rng.random() ** 1.3), rng)
        run.entry = rng.randrange(self._n_entries)
        run.sent_ms = now_ms
        if now_ms > WARM_MS:
            self._asked[kind.name] += 1
            self._late[kind.name] += 1  # until its first event is in time
        self._n_shared += kind.n_shared
        self._send(now_ms, run, frozenset())

    def _send(self, now_ms: float, run: _Run, tried: frozenset[str]) -> None:
        view = self._views[run.entry]
        candidates = [
            view[name] for name, e in self._engines.items() if run.model in e.models
        ]
        context = RoutingContext(
            key=str(run.model),
            prefix_hash=xxhash.xxh3_64_intdigest(run.shared.encode()),
            zone=ZONES[run.entry % len(ZONES)],
            tried_ids=tried,
            n_shared_tokens=run.kind.n_shared,
            body_bytes=run.kind.n_shared + run.n_own,
        )
        chosen = self._policies[run.entry].choose(
            candidates, context, self._rng, now_ms
        )
        if chosen is None:
            return
        engine = self._engines[chosen.view.server_id]
        run.server = engine.name
        n_tokens = run.kind.n_shared + run.n_own
        self._n_tokens += n_tokens
        if engine.zone != context.zone:
            self._n_crossed += n_tokens
        if not engine.accept(run):
            self._n_refused += 1
            chosen.answered(
                LoadReport(len(engine.running), len(engine.waiting), 0.0, N_SLOTS),
                now_ms,
            )
            if len(tried) < 2:
                self._at(now_ms + 4.0, self._send, run, tried | {engine.name})
            return
        chosen.n_in_flight += 1
        chosen.n_pending_tokens += run.n_own + round(0.2 * run.kind.n_shared)
        if not engine.is_active:
            engine.is_active = True
            self._at(now_ms, self._step, engine)

    def _step(self, now_ms: float, engine: _Engine) -> None:
        spent_ms, began, ended = engine.step(now_ms)
        end_ms = now_ms + spent_ms
        engine.note(end_ms)
        for run in began:
            run.first_ms = end_ms
            backend = self._views[run.entry][engine.name]
            backend.n_pending_tokens -= run.n_own + round(0.2 * run.kind.n_shared)
            report = LoadReport(len(engine.running), len(engine.waiting), 0.0, N_SLOTS)
            backend.answered(report, end_ms)
            backend.first_event_ms.add(end_ms - run.sent_ms)
            if run.sent_ms > WARM_MS and end_ms - run.sent_ms <= run.kind.aim_ms:
                self._late[run.kind.name] -= 1
        for run in ended:
            self._views[run.entry][engine.name].n_in_flight -= 1
        engine.is_active = bool(engine.running or engine.waiting)
        if engine.is_active:
            self._at(end_ms, self._step, engine)

    def _read_report(self, now_ms: float, engine: _Engine) -> None:
        engine.note(now_ms)
        _, n_running, n_waiting = engine.past[0]
        self._told[engine.name] = (n_running, n_waiting)
        if now_ms < LENGTH_MS:
            self._at(now_ms + REPORT_MS, self._read_report, engine)

    def _tell(self, now_ms: float) -> None:
        for view in self._views:
            for name, (n_running, n_waiting) in self._told.items():
                report = LoadReport(n_running, n_waiting, 0.0, N_SLOTS)
                view[name].reported(report, now_ms)
        if now_ms < LENGTH_MS:
            self._at(now_ms + TELL_MS, self._tell)


def main() -> None:
    """Play each policy over the seeds and print the means and their errors."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", nargs="+", default=["least_cost"])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--entries", type=int, default=70)
    parser.add_argument("--engines", type=int, default=60)
    parser.add_argument("--load", type=float, default=1.0)
    args = parser.parse_args()
    rows = []
    for policy in args.policy:
        results = [
            World(policy, seed, args.entries, args.engines, args.load).play()
            for seed in range(1, args.seeds + 1)
        ]
        means = [statistics.fmean(column) for column in zip(*results, strict=True)]
        late = [each.late for each in results]
        error = statistics.stdev(late) / len(late) ** 0.5 if len(late) > 1 else 0.0
        rows.append([policy, *means, error])
    headers = ["policy", *Result._fields, "error of late"]
    print(tabulate(rows, headers=headers, floatfmt=".3f"))


if __name__ == "__main__":
    main()
