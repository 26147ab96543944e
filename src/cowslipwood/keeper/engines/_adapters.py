"""Decides where an adapter goes, and which one makes way for it."""

from collections import Counter
from collections.abc import Mapping, Sequence

from ...routes import ModelSpec
from ._engine_record import EngineRecord
from ._step import Step

__all__ = ["COPY_MIN_ADAPTER_IDLE_MS", "choose_adapter_step", "choose_adapter_copy"]

# Longer than the entries' report interval: an adapter that was reported within it
# may be in use, and its unload would wait for its runs and block the engine.
MIN_ADAPTER_IDLE_MS = 700.0
# A copy displaces only what has not been used for this long, or copies would
# drive out adapters that are asked for now and then.
COPY_MIN_ADAPTER_IDLE_MS = 5_000.0
# Requests that an engine must have fewer before an adapter is copied to it:
# below this the reports' age hides which of the two is busier.
MIN_COPY_GAP_REQUESTS = 6
# Requests at once below which an adapter's copy would take nearly no load away.
MIN_COPY_IN_FLIGHT = 0.5


def choose_adapter_step(
    records: Sequence[EngineRecord],
    model: ModelSpec,
    used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
    idle_ms: float = MIN_ADAPTER_IDLE_MS,
) -> Step | None:
    """Return where an adapter goes; None while no engine can take it.

    Free places go first, where the load is least; then an adapter that other
    engines hold too makes way, then the one not used for longest.

    Parameters
    ----------
    records : sequence of EngineRecord
        All engines; those that hold the model may take the adapter.
    model : ModelSpec
        The adapter's model.
    used_ms : mapping of tuple of str to float
        When each model's adapter was last asked for.
    now_ms : float
    idle_ms : float
        Time since its last use after which an adapter may make way.
    """
    able = [
        record
        for record in records
        if record.is_usable and record.can_serve(model.name)
    ]
    free = [record for record in able if record.has_adapter_slot(model.name)]
    if free:
        return Step(min(free, key=_count_engine_load))
    copies = Counter(key for record in records for key in record.list_adapter_keys())
    oldest_ms = now_ms - idle_ms
    idle = [
        (copies[key] <= 1, used_ms.get(key, 0.0), record, key)
        for record in able
        for key in record.list_adapter_keys()
        if used_ms.get(key, 0.0) < oldest_ms and key not in record.loading_adapters
    ]
    if not idle:
        return None
    _, _, record, key = min(idle, key=lambda option: option[:2])
    return Step(record, "", key)


def choose_adapter_copy(
    records: Sequence[EngineRecord],
    models: Sequence[ModelSpec],
    in_flight: Mapping[tuple[str, str], float],
    used_ms: Mapping[tuple[str, str], float],
    now_ms: float,
) -> tuple[ModelSpec, str, Step] | None:
    """Return a copy of an adapter for an engine with less to do; None for none.

    Requests for an adapter go only where it is; a copy lets them go where its
    model is and little runs. The adapter that is asked for most goes first.

    Parameters
    ----------
    records : sequence of EngineRecord
    models : sequence of ModelSpec
    in_flight : mapping of tuple of str to float
        Requests by model and adapter.
    used_ms : mapping of tuple of str to float
    now_ms : float
    """
    specs = {model.name: model for model in models}
    held: dict[tuple[str, str], list[EngineRecord]] = {}
    for record in records:
        for key in record.list_adapter_keys():
            held.setdefault(key, []).append(record)
    for name, adapter in sorted(in_flight, key=in_flight.__getitem__, reverse=True):
        spec = specs.get(name)
        if spec is None or not adapter:
            continue
        if in_flight[name, adapter] < MIN_COPY_IN_FLIGHT:
            return None
        holders = held.get((name, adapter), ())
        if not holders or any(
            (name, adapter) in record.loading_adapters for record in holders
        ):
            continue
        least = min(record.n_running + record.n_queued for record in holders)
        others = [
            record
            for record in records
            if least - record.n_running - record.n_queued >= MIN_COPY_GAP_REQUESTS
            and record.can_serve(name)
            and record not in holders
        ]
        if not others:
            continue
        step = choose_adapter_step(
            others, spec, used_ms, now_ms, COPY_MIN_ADAPTER_IDLE_MS
        )
        if step is not None:
            return spec, adapter, step
    return None


def _count_engine_load(record: EngineRecord) -> float:
    """Return what runs on an engine, and what its adapters will bring there."""
    return record.n_running + record.n_queued + record.n_adapters
