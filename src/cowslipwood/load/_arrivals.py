"""Draws the requests of a run and their send times from a seed.

The load is open-loop: all send times are drawn before the run begins and do not depend
on answers.
"""

import enum
import random
from collections.abc import Sequence
from typing import NamedTuple

from ._profile import Profile, Scenario, Target

__all__ = ["Request", "RequestKind", "draw_requests"]

# Largest number of requests in a run.
MAX_REQUESTS = 200_000
# Factor by which the demand for a target grows during a burst.
BURST_FACTOR = 10.0
# Time from the start of one burst to the start of the next, in seconds.
BURST_PERIOD_S = 20.0
# Duration of a burst, in seconds.
BURST_LENGTH_S = 10.0
# Share of the models and adapters that one burst affects.
BURST_TARGET_SHARE = 0.06
# Share of the requests with an idempotency key that are sent a second time.
RESEND_SHARE = 0.1
# Words that end a prompt.
_WORDS = ("bread", "broom", "round", "stock", "door", "route", "kitchen", "order")


class RequestKind(enum.StrEnum):
    """The interface that a request uses."""

    COMPLETION = "completion"
    SERVICE = "service"


class Request(NamedTuple):
    """One request of a run.

    Parameters
    ----------
    send_at_s : float
        Time at which to send the request, in seconds from the start of the run.
    number : int
        Position of the request in the run, from 0.
    kind : RequestKind
    target : str
        Name of the catalogue entry that is called.
    service_class : str
        Service class of the target.
    prompt : str
        Text that the answer must match; also the body of a call of a plain service.
    idempotency_key : str
        Empty if the target's calls may be repeated without one.
    is_resent : bool
        Whether the same request is sent a second time after its answer.
    """

    send_at_s: float
    number: int
    kind: RequestKind
    target: str
    service_class: str
    prompt: str
    idempotency_key: str
    is_resent: bool


def draw_requests(
    profile: Profile,
    targets: Sequence[Target],
    scenario: Scenario,
    rate_per_s: float,
    duration_s: float,
    seed: int,
) -> list[Request]:
    """Return the requests of a run in the order of their send times.

    Parameters
    ----------
    profile : Profile
    targets : sequence of Target
        Models, adapters and services that are called.
    scenario : Scenario
    rate_per_s : float
        Mean rate of requests outside bursts.
    duration_s : float
        Duration of the run.
    seed : int
        The same seed gives the same requests.

    Raises
    ------
    ValueError
        When the run would have more than ``MAX_REQUESTS`` requests.
    """
    if rate_per_s * duration_s * BURST_FACTOR > MAX_REQUESTS * BURST_FACTOR:
        raise ValueError(f"a run has at most {MAX_REQUESTS} requests")
    rng = random.Random(f"arrivals-{seed}")
    bursts = _draw_bursts(targets, scenario, duration_s, rng)
    requests: list[Request] = []
    send_at_s = 0.0
    while True:
        weights = [
            target.weight * _burst_factor(target.name, send_at_s, bursts)
            for target in targets
        ]
        rate_factor = sum(weights) / sum(target.weight for target in targets)
        send_at_s += rng.expovariate(rate_per_s * rate_factor)
        if send_at_s >= duration_s or len(requests) >= MAX_REQUESTS:
            return requests
        target = _choose_target(targets, weights, profile.service_share, rng)
        requests.append(_draw_request(send_at_s, len(requests), target, seed, rng))


class _Burst(NamedTuple):
    """A time in which the targets of some names are called more often."""

    start_s: float
    end_s: float
    target_names: frozenset[str]


def _draw_bursts(
    targets: Sequence[Target],
    scenario: Scenario,
    duration_s: float,
    rng: random.Random,
) -> list[_Burst]:
    """Return the bursts of a run; none in a calm one and none of plain services."""
    if scenario is Scenario.CALM:
        return []
    names = [target.name for target in targets if target.kind != "service"]
    n_names = max(1, round(len(names) * BURST_TARGET_SHARE))
    starts_s = range(int(BURST_PERIOD_S / 4), int(duration_s), int(BURST_PERIOD_S))
    return [
        _Burst(start_s, start_s + BURST_LENGTH_S, frozenset(rng.sample(names, n_names)))
        for start_s in starts_s
    ]


def _burst_factor(name: str, time_s: float, bursts: Sequence[_Burst]) -> float:
    """Return the factor on the demand for a target at a time of the run."""
    is_in_burst = any(
        burst.start_s <= time_s < burst.end_s and name in burst.target_names
        for burst in bursts
    )
    return BURST_FACTOR if is_in_burst else 1.0


def _choose_target(
    targets: Sequence[Target],
    weights: Sequence[float],
    service_share: float,
    rng: random.Random,
) -> Target:
    """Draw a target by its weight among the plain services or among all others."""
    wants_service = rng.random() < service_share
    allowed_weights = [
        weight if (target.kind == "service") == wants_service else 0.0
        for target, weight in zip(targets, weights, strict=True)
    ]
    return rng.choices(targets, allowed_weights)[0]


def _draw_request(
    send_at_s: float, number: int, target: Target, seed: int, rng: random.Random
) -> Request:
    kind = RequestKind.SERVICE if target.kind == "service" else RequestKind.COMPLETION
    words = " ".join(rng.choices(_WORDS, k=2))
    return Request(
        send_at_s=send_at_s,
        number=number,
        kind=kind,
        target=target.name,
        service_class=target.service_class,
        prompt=f"about {target.name} request-{seed}-{number} {words}",
        idempotency_key="" if target.is_repeatable else f"load-{seed}-{number}",
        is_resent=not target.is_repeatable and rng.random() < RESEND_SHARE,
    )
