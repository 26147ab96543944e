"""Chooses the engine for an adapter, and the adapter to unload to make room."""

from collections import Counter
from collections.abc import Mapping, Sequence

from ...routes import ModelSpec
from ._engine_record import EngineRecord
from ._step import Step

__all__ = ["COPY_MIN_ADAPTER_IDLE_MS", "choose_adapter_copy", "choose_adapter_step"]

# Time without use after which an adapter may be unloaded for another one. Longer than
# the entries' report interval: an adapter that was reported within this time may be in
# use, and its unload would wait for its running requests and block the engine.
MIN_ADAPTER_IDLE_MS = 700.0
# Time without use after which an adapter may be unloaded for a copy of another one.
# With a shorter time, copies would displace adapters that are requested now and then.
COPY_MIN_ADAPTER_IDLE_MS = 5_000.0
# Number of requests by which an engine must be less loaded before an adapter is copied
# to it. Below this gap, the age of the reports hides which engine is busier.
MIN_COPY_GAP_REQUESTS = 6
# Concurrent requests for an adapter below which a copy would take nearly no load away.
MIN_COPY_IN_FLIGHT = 0.5


def choose_adapter_step(
    records: Sequence[EngineRecord],
    model: ModelSpec,
    adapter_last_used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
    idle_ms: float = MIN_ADAPTER_IDLE_MS,
) -> Step | None:
    """Return the step that loads an adapter; None while no engine can load the adapter.

    The least loaded engine with a free adapter slot is chosen. If none has one, an
    adapter that other engines hold too is unloaded, or else the adapter that has been
    unused for longest.

    Parameters
    ----------
    records : sequence of EngineRecord
        All engines; those that hold the model may load the adapter.
    model : ModelSpec
        The adapter's model.
    adapter_last_used_ms : mapping of tuple of str to float
        When each model's adapter was last requested.
    now_ms : float
    idle_ms : float
        Time since its last use after which an adapter may be unloaded.
    """
    usable = [
        record
        for record in records
        if record.is_usable
        and record.may_be_ordered(now_ms)
        and record.can_serve(model.name)
    ]
    free = [record for record in usable if record.has_adapter_slot(model.name)]
    if free:
        return Step(min(free, key=_count_engine_load))
    copies = Counter(key for record in records for key in record.list_adapter_keys())
    oldest_ms = now_ms - idle_ms
    idle = [
        (copies[key] <= 1, adapter_last_used_ms.get(key, 0.0), record, key)
        for record in usable
        for key in record.list_adapter_keys()
        if adapter_last_used_ms.get(key, 0.0) < oldest_ms
        and key not in record.loading_adapters
    ]
    if not idle:
        return None
    _, _, record, key = min(idle, key=lambda option: option[:2])
    return Step(record, "", key)


def choose_adapter_copy(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    n_in_flight: Mapping[tuple[str, str], float],
    adapter_last_used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
) -> tuple[ModelSpec, str, Step] | None:
    """Return a copy of an adapter for a less loaded engine; None if no copy helps.

    Requests for an adapter go only to engines that hold the adapter. A copy lets them
    use an engine that holds the model and has few running requests. The adapter with
    most requests is considered first.

    Parameters
    ----------
    records : sequence of EngineRecord
    models : sequence of ModelSpec
    n_in_flight : mapping of tuple of str to float
        Requests by model and adapter.
    adapter_last_used_ms : mapping of tuple of str to float
        When each model's adapter was last requested.
    now_ms : float
    """
    specs = {model.name: model for model in models}
    held: dict[tuple[str, str], list[EngineRecord]] = {}
    for record in records:
        for key in record.list_adapter_keys():
            held.setdefault(key, []).append(record)
    for name, adapter in sorted(n_in_flight, key=n_in_flight.__getitem__, reverse=True):
        spec = specs.get(name)
        if spec is None or not adapter:
            continue
        if n_in_flight[name, adapter] < MIN_COPY_IN_FLIGHT:
            return None
        holders = held.get((name, adapter), ())
        if not holders or any(
            (name, adapter) in record.loading_adapters for record in holders
        ):
            continue
        n_least_requests = min(record.n_running + record.n_queued for record in holders)
        others = [
            record
            for record in records
            if n_least_requests - record.n_running - record.n_queued
            >= MIN_COPY_GAP_REQUESTS
            and record.can_serve(name)
            and record not in holders
        ]
        if not others:
            continue
        step = choose_adapter_step(
            others, spec, adapter_last_used_ms, now_ms, COPY_MIN_ADAPTER_IDLE_MS
        )
        if step is not None:
            return spec, adapter, step
    return None


def _count_engine_load(record: EngineRecord) -> float:
    """Return the requests at an engine, plus one for each adapter that it holds."""
    return record.n_running + record.n_queued + record.n_adapters
