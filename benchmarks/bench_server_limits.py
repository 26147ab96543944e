"""Compares ways in which many entries keep to the limit that one server names.

In model time, one server names a limit of requests per second and entries want to send
it three times as many. Messages to and from the leader are up to 300 ms late, and the
leader is lost for a second every 17 s. Printed are the most requests in 4 s, as a share
of what is allowed (1.5 times the limit, and 5), and the used share of the
limit. Run as ``python -m benchmarks.bench_server_limits``.
"""

import bisect
import random
from collections.abc import Callable
from typing import NamedTuple

from cowslipwood.server_limits import PERMIT_LIFE_MS, PermitBucket

DURATION_MS = 120_000.0
# Time from the first naming of the limit from which it binds.
CONTACT_MS = 3_000.0
WINDOW_MS = 4_000.0
MESSAGE_MS = 300.0
LEADER_PERIOD_MS = 17_000.0
LEADER_AWAY_MS = 1_000.0
# Requests that entries want to send, as a multiple of the limit.
DEMAND_FACTOR = 3.0
# Share of its part of the rate at which an entry without a leader sends.
ALONE_SHARE = 0.5
N_SEEDS = 5

# Returns the times at which requests arrive, given entries, limit and random numbers.
Way = Callable[[int, float, random.Random], list[float]]


class Outcome(NamedTuple):
    """The largest share of the allowed requests, and the used share of the limit."""

    worst: float
    used: float


def _draw_wishes(
    n_entries: int, limit_per_s: float, rng: random.Random
) -> list[tuple[float, int]]:
    """Return when which entry wants to send a request."""
    wishes, at_ms = [], 0.0
    while at_ms < DURATION_MS:
        at_ms += 1000 * rng.expovariate(DEMAND_FACTOR * limit_per_s)
        wishes.append((at_ms, rng.randrange(n_entries)))
    return wishes


def send_by_leader(
    n_entries: int, limit_per_s: float, rng: random.Random
) -> list[float]:
    """Ask the leader for a permit for each request; alone at half of a share."""
    arrivals = []
    interval_ms = 1000 * n_entries / (ALONE_SHARE * limit_per_s)
    next_alone_ms: dict[int, float] = {}
    bucket, term = PermitBucket(limit_per_s, 0.0), 0
    questions = [
        (at_ms + rng.uniform(1, MESSAGE_MS), at_ms, entry)
        for at_ms, entry in _draw_wishes(n_entries, limit_per_s, rng)
    ]
    for asked_ms, wished_ms, entry in sorted(questions):
        phase_ms = asked_ms % LEADER_PERIOD_MS
        if phase_ms > LEADER_PERIOD_MS - LEADER_AWAY_MS:
            due_ms = next_alone_ms.setdefault(
                entry, asked_ms + rng.random() * interval_ms
            )
            if asked_ms >= due_ms:
                next_alone_ms[entry] = asked_ms + interval_ms
                arrivals.append(asked_ms)
            continue
        if asked_ms // LEADER_PERIOD_MS != term:
            term = asked_ms // LEADER_PERIOD_MS
            bucket = PermitBucket(limit_per_s, asked_ms)
        answered_ms = asked_ms + rng.uniform(1, MESSAGE_MS)
        has_permit = bucket.take(1, 5, asked_ms)
        if has_permit and answered_ms - wished_ms < PERMIT_LIFE_MS:
            arrivals.append(answered_ms)
    return arrivals


def send_by_share(
    n_entries: int, limit_per_s: float, rng: random.Random
) -> list[float]:
    """Each entry has a token bucket that fills at its part of the limit."""
    buckets = [PermitBucket(limit_per_s / n_entries, 0.0) for _ in range(n_entries)]
    return [
        at_ms
        for at_ms, entry in _draw_wishes(n_entries, limit_per_s, rng)
        if buckets[entry].take(1, 5, at_ms)
    ]


def send_by_chance(
    n_entries: int, limit_per_s: float, rng: random.Random
) -> list[float]:
    """Each entry knows the demand and sends a request with the fitting chance."""
    return [
        at_ms
        for at_ms, _ in _draw_wishes(n_entries, limit_per_s, rng)
        if rng.random() < 1 / DEMAND_FACTOR
    ]


def send_by_one(n_entries: int, limit_per_s: float, rng: random.Random) -> list[float]:
    """One entry may send; the next one begins after a gap when the leader changes."""
    bucket = PermitBucket(limit_per_s, 0.0)
    arrivals = []
    for at_ms, entry in _draw_wishes(n_entries, limit_per_s, rng):
        is_gap = at_ms % LEADER_PERIOD_MS > LEADER_PERIOD_MS - LEADER_AWAY_MS
        chosen = int(at_ms // LEADER_PERIOD_MS) % n_entries
        if entry == chosen and not is_gap and bucket.take(1, 5, at_ms):
            arrivals.append(at_ms)
    return arrivals


WAYS: dict[str, Way] = {
    "permits of the leader": send_by_leader,
    "one part for each entry": send_by_share,
    "by chance": send_by_chance,
    "one chosen entry": send_by_one,
}


def measure(way: Way, n_entries: int, limit_per_s: float) -> Outcome:
    """Return the worst of some seeds, and the mean use."""
    allowed = 1.5 * limit_per_s * WINDOW_MS / 1000 + 5
    worst, n_sent = 0, 0
    for seed in range(N_SEEDS):
        arrivals = sorted(way(n_entries, limit_per_s, random.Random(seed)))
        n_sent += len(arrivals)
        counted = [at_ms for at_ms in arrivals if at_ms > CONTACT_MS]
        for i, at_ms in enumerate(counted):
            n_before = bisect.bisect_left(counted, at_ms - WINDOW_MS)
            worst = max(worst, i + 1 - n_before)
    return Outcome(
        worst / allowed, n_sent / (N_SEEDS * limit_per_s * DURATION_MS / 1000)
    )


def main() -> None:
    """Print one row for each way, number of entries and limit."""
    print("| way | entries | limit a second | worst of allowed | used |")
    print("|---|---|---|---|---|")
    for name, way in WAYS.items():
        for n_entries in (8, 70, 350):
            for limit_per_s in (0.2, 1.0, 20.0, 200.0):
                worst, used = measure(way, n_entries, limit_per_s)
                print(
                    f"| {name} | {n_entries} | {limit_per_s:g} "
                    f"| {worst:.2f} | {used:.2f} |"
                )


if __name__ == "__main__":
    main()
