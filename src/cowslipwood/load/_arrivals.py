"""The requests of a run and when each is to be sent, drawn from a seed.

Arrivals do not wait for answers: the list is made before the run begins.
"""

import enum
import random
from collections.abc import Sequence
from typing import NamedTuple

from ._profile import Profile, Scenario, Target

__all__ = ["Request", "RequestKind", "arrivals"]

MAX_REQUESTS = 200_000
BURST_FACTOR = 10.0
BURST_EVERY_S = 20.0
BURST_LENGTH_S = 10.0
BURST_TARGET_SHARE = 0.06
RESEND_SHARE = 0.1
_WORDS = ("bread", "broom", "round", "stock", "door", "route", "kitchen", "order")


class RequestKind(enum.StrEnum):
    """What a request asks for."""

    COMPLETION = "completion"
    SERVICE = "service"


class Request(NamedTuple):
    """One request of a run.

    Parameters
    ----------
    at_s : float
        When it is to be sent, in seconds from the start.
    number : int
    kind : RequestKind
    target : str
    service_class : str
    prompt : str
    key : str
        Idempotency key; empty when the call is repeatable.
    resend : bool
        Send the same request again after its answer.
    """

    at_s: float
    number: int
    kind: RequestKind
    target: str
    service_class: str
    prompt: str
    key: str
    resend: bool


def arrivals(
    profile: Profile,
    called: Sequence[Target],
    scenario: Scenario,
    rate_per_s: float,
    duration_s: float,
    seed: int,
) -> list[Request]:
    """Return the requests of a run in the order of their times.

    Raises
    ------
    ValueError
        When the run would have more than ``MAX_REQUESTS`` requests.
    """
    if rate_per_s * duration_s * BURST_FACTOR > MAX_REQUESTS * BURST_FACTOR:
        raise ValueError(f"a run has at most {MAX_REQUESTS} requests")
    source = random.Random(f"arrivals-{seed}")
    bursts = _bursts(called, scenario, duration_s, source)
    requests: list[Request] = []
    at_s = 0.0
    while True:
        weights = [t.weight * _factor(t.name, at_s, bursts) for t in called]
        growth = sum(weights) / sum(t.weight for t in called)
        at_s += source.expovariate(rate_per_s * growth)
        if at_s >= duration_s or len(requests) >= MAX_REQUESTS:
            return requests
        target = _choose(called, weights, profile.service_share, source)
        requests.append(_request(at_s, len(requests), target, seed, source))


class _Burst(NamedTuple):
    start_s: float
    end_s: float
    names: frozenset[str]


def _bursts(
    called: Sequence[Target],
    scenario: Scenario,
    duration_s: float,
    source: random.Random,
) -> list[_Burst]:
    if scenario is Scenario.CALM:
        return []
    models = [t.name for t in called if t.kind != "service"]
    n_names = max(1, round(len(models) * BURST_TARGET_SHARE))
    starts = range(int(BURST_EVERY_S / 4), int(duration_s), int(BURST_EVERY_S))
    return [
        _Burst(start, start + BURST_LENGTH_S, frozenset(source.sample(models, n_names)))
        for start in starts
    ]


def _factor(name: str, at_s: float, bursts: Sequence[_Burst]) -> float:
    active = any(b.start_s <= at_s < b.end_s and name in b.names for b in bursts)
    return BURST_FACTOR if active else 1.0


def _choose(
    called: Sequence[Target],
    weights: Sequence[float],
    service_share: float,
    source: random.Random,
) -> Target:
    wants_service = source.random() < service_share
    allowed = [
        weight if (target.kind == "service") == wants_service else 0.0
        for target, weight in zip(called, weights, strict=True)
    ]
    return source.choices(called, allowed)[0]


def _request(
    at_s: float, number: int, target: Target, seed: int, source: random.Random
) -> Request:
    kind = RequestKind.SERVICE if target.kind == "service" else RequestKind.COMPLETION
    words = " ".join(source.choices(_WORDS, k=2))
    return Request(
        at_s=at_s,
        number=number,
        kind=kind,
        target=target.name,
        service_class=target.service_class,
        prompt=f"about {target.name} request-{seed}-{number} {words}",
        key="" if target.repeatable else f"load-{seed}-{number}",
        resend=not target.repeatable and source.random() < RESEND_SHARE,
    )
