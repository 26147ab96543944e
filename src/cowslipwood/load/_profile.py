"""Profiles of installations: their servers, their catalogue and its callers."""

import enum
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

__all__ = [
    "PROFILES",
    "Profile",
    "Scenario",
    "Target",
    "draw_catalogue",
    "draw_targets",
]

# Bytes in a gigabyte.
GB = 1_000_000_000
# Bytes in a megabyte.
MB = 1_000_000
# Limits of a model or adapter by its service class, in milliseconds.
LIMITS_BY_CLASS = {
    "urgent": {"first_token_ms": 400, "between_tokens_ms": 80},
    "standard": {"first_token_ms": 800, "between_tokens_ms": 120},
    "batch": {"first_token_ms": 3_000, "between_tokens_ms": 240},
}
# Time in which a plain service has to answer, in milliseconds.
SERVICE_ANSWER_MS = 1_000
# Exponent of the Zipf distribution of requests over the catalogue entries.
ZIPF_EXPONENT = 1.0
# Service classes that successive models take in turn.
_MODEL_CLASSES = ("urgent", "standard", "standard", "batch")


class Scenario(enum.StrEnum):
    """How demand varies during a run."""

    CALM = "calm"
    BURST = "burst"


class Profile(NamedTuple):
    """One user's installation.

    Parameters
    ----------
    name : str
    zones : tuple of str
        Names of the availability zones.
    zone_delay_ms : float
        Network delay between availability zones.
    n_engines, n_services : int
        Number of backend servers that are engines, and that are plain services.
    n_models, n_adapters : int
        Number of catalogue entries that are models, and that are adapters.
    capacity_bytes : int
        Memory of one accelerator.
    knee_in_flight : int
        Requests that an engine serves at once at full speed.
    store_loads_per_s : float
        Rate at which the weight store begins loads.
    store_full_speed_loads : int
        Loads that the weight store serves at full speed at once.
    services : tuple of (str, bool)
        Name of each plain service and whether its calls are repeatable.
    rate_per_s : float
        Mean rate of requests of a calm run.
    service_share : float
        Share of requests that go to plain services, 0 to 1.
    max_tokens : int
        Tokens that each completion asks for.
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
    store_full_speed_loads: int
    services: tuple[tuple[str, bool], ...]
    rate_per_s: float
    service_share: float
    max_tokens: int


# Profiles by name.
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
        store_full_speed_loads=2,
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
        store_full_speed_loads=3,
        services=(("stock", True), ("orders", False)),
        rate_per_s=90.0,
        service_share=0.2,
        max_tokens=8,
    ),
}


class Target(NamedTuple):
    """A catalogue entry as the target of requests.

    Parameters
    ----------
    name : str
    kind : str
        model, adapter or service.
    service_class : str
    is_repeatable : bool
        Whether a call may be repeated without an idempotency key.
    weight : float
        Relative frequency of requests among targets that are plain services, or among
        those that are not.
    """

    name: str
    kind: str
    service_class: str
    is_repeatable: bool
    weight: float


def draw_catalogue(profile: Profile, seed: int) -> list[dict[str, Any]]:
    """Return the profile's catalogue entries as JSON values, models before adapters."""
    rng = random.Random(f"{profile.name}-catalogue-{seed}")
    models = [_draw_model(profile, number, rng) for number in range(profile.n_models)]
    adapters = [
        _draw_adapter(number, models[number % len(models)], rng)
        for number in range(profile.n_adapters)
    ]
    services = [
        {
            "name": name,
            "kind": "service",
            "owner": "desk",
            "class": "urgent",
            "version": "1",
            "limits": {"answer_ms": SERVICE_ANSWER_MS},
            "repeatable": is_repeatable,
        }
        for name, is_repeatable in profile.services
    ]
    return [*models, *adapters, *services]


def _draw_model(profile: Profile, number: int, rng: random.Random) -> dict[str, Any]:
    """Return a model's entry; all models together take about 62 % of the memory."""
    total_bytes = profile.capacity_bytes * profile.n_engines
    mean_bytes = int(0.62 * total_bytes / profile.n_models)
    service_class = _MODEL_CLASSES[number % len(_MODEL_CLASSES)]
    return {
        "name": f"model-{number:02}",
        "kind": "model",
        "owner": f"team-{number % 4}",
        "class": service_class,
        "version": "1",
        "memory_bytes": int(mean_bytes * rng.uniform(0.7, 1.3)),
        "limits": LIMITS_BY_CLASS[service_class],
    }


def _draw_adapter(
    number: int, base: dict[str, Any], rng: random.Random
) -> dict[str, Any]:
    """Return an adapter's entry; it has the class and limits of its base model."""
    return {
        **base,
        "name": f"adapter-{number:02}",
        "kind": "adapter",
        "base": base["name"],
        "memory_bytes": rng.randrange(40, 120) * MB,
    }


def draw_targets(catalogue: Sequence[dict[str, Any]], seed: int) -> list[Target]:
    """Return the catalogue entries in a seeded order, with Zipf-distributed weights."""
    rng = random.Random(f"targets-{seed}")
    entries = list(catalogue)
    rng.shuffle(entries)
    return [
        Target(
            entry["name"],
            entry["kind"],
            entry["class"],
            entry.get("repeatable", True),
            1.0 / (rank + 1) ** ZIPF_EXPONENT,
        )
        for rank, entry in enumerate(entries)
    ]
