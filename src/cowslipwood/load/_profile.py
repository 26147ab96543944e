"""The users' profiles: what they catalogue and how it is called."""

import enum
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

__all__ = ["PROFILES", "Profile", "Scenario", "Target", "catalogue_values", "targets"]

GB = 1_000_000_000
MB = 1_000_000
CLASS_LIMITS = {
    "urgent": {"first_token_ms": 400, "between_tokens_ms": 80},
    "standard": {"first_token_ms": 800, "between_tokens_ms": 120},
    "batch": {"first_token_ms": 3_000, "between_tokens_ms": 240},
}
SERVICE_ANSWER_MS = 1_000
ZIPF_EXPONENT = 1.0
_CLASSES = ("urgent", "standard", "standard", "batch")


class Scenario(enum.StrEnum):
    """How demand moves during a run."""

    CALM = "calm"
    BURST = "burst"


class Profile(NamedTuple):
    """One user's installation.

    Parameters
    ----------
    name : str
    zones : tuple of str
    zone_delay_ms : float
        Between availability zones.
    n_engines, n_services : int
        Backend servers of each sort.
    n_models, n_adapters : int
        Catalogue entries of each sort.
    capacity_bytes : int
        Memory of one accelerator.
    knee_in_flight : int
        Requests that an engine serves at once at full speed.
    store_loads_per_s, store_at_once : float, int
        Limits of the weight store.
    services : tuple of (str, bool)
        Name of each plain service and whether its calls are repeatable.
    rate_per_s : float
        Requests of a calm run.
    service_share : float
        Share of requests that go to plain services, 0 to 1.
    max_tokens : int
    """

    name: str
    zones: tuple[str, ...]
    zone_delay_ms: float
    n_engines: int
    n_services: int
    n_models: int
    n_adapters: int
    capacity_bytes: int
    knee_in_flight: int
    store_loads_per_s: float
    store_at_once: int
    services: tuple[tuple[str, bool], ...]
    rate_per_s: float
    service_share: float
    max_tokens: int


PROFILES = {
    "direccion": Profile(
        name="direccion",
        zones=("capital", "banda", "termas"),
        zone_delay_ms=1.0,
        n_engines=5,
        n_services=3,
        n_models=13,
        n_adapters=56,
        capacity_bytes=16 * GB,
        knee_in_flight=16,
        store_loads_per_s=1.0,
        store_at_once=2,
        services=(("rosters", True), ("deliveries", False)),
        rate_per_s=60.0,
        service_share=0.25,
        max_tokens=8,
    ),
    "brazos": Profile(
        name="brazos",
        zones=("waco", "temple", "bryan"),
        zone_delay_ms=1.5,
        n_engines=9,
        n_services=3,
        n_models=26,
        n_adapters=95,
        capacity_bytes=16 * GB,
        knee_in_flight=24,
        store_loads_per_s=2.0,
        store_at_once=3,
        services=(("stock", True), ("orders", False)),
        rate_per_s=90.0,
        service_share=0.2,
        max_tokens=8,
    ),
}


class Target(NamedTuple):
    """Something that callers call.

    Parameters
    ----------
    name : str
    kind : str
        model, adapter or service.
    service_class : str
    repeatable : bool
    weight : float
        Share of the requests of its sort.
    """

    name: str
    kind: str
    service_class: str
    repeatable: bool
    weight: float


def catalogue_values(profile: Profile, seed: int) -> list[dict[str, Any]]:
    """Return the profile's catalogue entries as JSON values, bases first."""
    source = random.Random(f"{profile.name}-catalogue-{seed}")
    models = [_model(profile, place, source) for place in range(profile.n_models)]
    adapters = [
        _adapter(place, models[place % len(models)], source)
        for place in range(profile.n_adapters)
    ]
    services = [
        {
            "name": name,
            "kind": "service",
            "owner": "desk",
            "class": "urgent",
            "version": "1",
            "limits": {"answer_ms": SERVICE_ANSWER_MS},
            "repeatable": repeatable,
        }
        for name, repeatable in profile.services
    ]
    return [*models, *adapters, *services]


def _model(profile: Profile, place: int, source: random.Random) -> dict[str, Any]:
    total_bytes = profile.capacity_bytes * profile.n_engines
    mean_bytes = int(0.62 * total_bytes / profile.n_models)
    service_class = _CLASSES[place % len(_CLASSES)]
    return {
        "name": f"model-{place:02}",
        "kind": "model",
        "owner": f"team-{place % 4}",
        "class": service_class,
        "version": "1",
        "memory_bytes": int(mean_bytes * source.uniform(0.7, 1.3)),
        "limits": CLASS_LIMITS[service_class],
    }


def _adapter(place: int, base: dict[str, Any], source: random.Random) -> dict[str, Any]:
    return {
        **base,
        "name": f"adapter-{place:02}",
        "kind": "adapter",
        "base": base["name"],
        "memory_bytes": source.randrange(40, 120) * MB,
    }


def targets(catalogue: Sequence[dict[str, Any]], seed: int) -> list[Target]:
    """Return what callers call, with skewed weights in a seeded order."""
    source = random.Random(f"targets-{seed}")
    order = list(catalogue)
    source.shuffle(order)
    return [
        Target(
            item["name"],
            item["kind"],
            item["class"],
            item.get("repeatable", True),
            1.0 / (rank + 1) ** ZIPF_EXPONENT,
        )
        for rank, item in enumerate(order)
    ]
