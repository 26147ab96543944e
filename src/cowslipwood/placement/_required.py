"""Gives each catalogued model or adapter a replica, in order of demand.

Used by the policies that keep every model and adapter loaded.
"""

from collections.abc import Sequence
from typing import NamedTuple

from ..kernel.messages import DesiredModel
from ._layout import Layout
from ._types import ModelKey, PlacementRequest, key_of

__all__ = ["find_release", "place_required"]

# Factor by which the weighted demand of a name must exceed the demand for the names
# that are given up for it.
GIVE_UP_DEMAND_FACTOR = 2.0
# Time without a replica, in seconds, that raises the weight of a name's demand by 1.
UNSERVED_TIME_SCALE_S = 2.0


def place_required(layout: Layout, request: PlacementRequest) -> None:
    """Give a replica to each name without one, up to `max_pending_loads`.

    When no server has enough free memory, memory is freed first by releasing extra
    replicas, then by copying sole replicas to another server, and last by giving up
    names in much less demand.
    """
    missing_names = [name for name, replicas in layout.replicas.items() if not replicas]
    missing_names.sort(key=lambda name: _placement_order(layout, request, name))
    # Copies under way, and one more for each name that waits for copies to end: no
    # further copies are started while this is above 0.
    n_copying = sum(1 for name in layout.replicas if _is_copying(layout, name))
    for name in missing_names:
        if layout.n_pending_loads >= request.max_pending_loads:
            return
        if layout.replicas[name] or _place_in_free_memory(layout, name):
            continue
        if _replace_version(layout, name) or _place_after_release(layout, name):
            continue
        if n_copying or _start_copies(layout, name):
            n_copying += 1
            continue
        _place_after_giving_up(layout, name, _weighted_demand(request, name))


def _placement_order(layout: Layout, request: PlacementRequest, name: str) -> tuple:
    return -_weighted_demand(request, name), bool(layout.catalogued[name].base), name


def _weighted_demand(request: PlacementRequest, name: str) -> float:
    """Return a name's demand, weighted by the time for which it was unserved."""
    waited_s = request.unserved_s.get(name, 0.0)
    return request.demand.get(name, 0.0) * (1.0 + waited_s / UNSERVED_TIME_SCALE_S)


def _is_copying(layout: Layout, name: str) -> bool:
    """Return whether a name has a replica that is loading besides another one."""
    return len(layout.replicas[name]) > max(layout.n_ready_replicas(name), 1)


def _place_in_free_memory(layout: Layout, name: str) -> bool:
    """Assign a name to the server where it fits best; return whether one was found.

    A server is better when fewer models are missing there, when the adapters without
    a replica fit as well, when it holds more adapters of the name, when its zone has
    no replica, when its expected load is lower, and when more memory is free, in this
    order.
    """
    candidates = []
    group_bytes = _bytes_with_unplaced_adapters(layout, name)
    model_bytes = layout.catalogued[name].memory_bytes
    zones = layout.replica_zones(name)
    for server in layout.assignable_servers():
        free_bytes = layout.free_bytes(server.server_id)
        if model_bytes > free_bytes:
            continue
        missing_models = layout.missing_models(server.server_id, name)
        if sum(model.memory_bytes for model in missing_models) > free_bytes:
            continue
        sort_key = (
            len(missing_models),
            free_bytes < group_bytes,
            -layout.n_adapters_of(server.server_id, name),
            server.zone in zones,
            round(layout.expected_load[server.server_id], 1),
            -free_bytes,
            server.server_id,
        )
        candidates.append(sort_key)
    if not candidates:
        return False
    return layout.assign(min(candidates)[-1], name)


def _bytes_with_unplaced_adapters(layout: Layout, name: str) -> int:
    """Return the memory of a name and of its adapters that have no replica."""
    adapters = layout.adapters_by_base.get(name, ())
    return layout.catalogued[name].memory_bytes + sum(
        layout.catalogued[other].memory_bytes
        for other in adapters
        if not layout.replicas[other]
    )


def _replace_version(layout: Layout, name: str) -> bool:
    """Replace an old version by the catalogue's when both do not fit anywhere.

    The name has no replica while the new version loads. Therefore this is done only
    when no server has room for both versions, even after extra replicas are released.
    """
    if _fits_after_release(layout, name):
        return False
    for server in layout.assignable_servers():
        if layout.replace_version(server.server_id, name):
            return True
    return False


def _fits_after_release(layout: Layout, name: str) -> bool:
    """Return whether a name fits on some server after extra replicas are released."""
    return any(
        _find_release_for_name(layout, server.server_id, name) is not None
        for server in layout.assignable_servers()
    )


def _find_release_for_name(
    layout: Layout, server_id: str, name: str
) -> "_Release | None":
    return find_release(layout, server_id, layout.missing_models(server_id, name))


class _Release(NamedTuple):
    """Models to release from a server, and the demand that their replicas serve."""

    cost_in_flight: float
    server_id: str
    keys: tuple[ModelKey, ...]


def find_release(
    layout: Layout,
    server_id: str,
    needed_models: Sequence[DesiredModel],
    *,
    only_past_min_residence: bool = False,
) -> _Release | None:
    """Return the extra replicas in least demand that make room for some models.

    Parameters
    ----------
    layout : Layout
    server_id : str
    needed_models : sequence of DesiredModel
        Models to make room for.
    only_past_min_residence : bool
        Whether models must have been held for the minimum residence time.

    Returns
    -------
    _Release or None
        None when releasing all extra replicas would not free enough memory.
    """
    removal_sets = []
    for model in layout.assigned_models(server_id):
        removal_set = layout.models_released_with(server_id, key_of(model))
        if not all(layout.can_release(server_id, other) for other in removal_set):
            continue
        removal_sets.append((_served_demand(layout, removal_set), removal_set))
    return _choose_release(
        layout, server_id, needed_models, removal_sets, only_past_min_residence
    )


def _served_demand(layout: Layout, removal_set: list[DesiredModel]) -> float:
    """Return the requests in flight that a server's replicas of some models serve."""
    return sum(
        layout.demand.get(model.name, 0.0)
        / max(len(layout.replicas.get(model.name, ())), 1)
        for model in removal_set
    )


def _choose_release(
    layout: Layout,
    server_id: str,
    needed_models: Sequence[DesiredModel],
    removal_sets: list[tuple[float, list[DesiredModel]]],
    only_past_min_residence: bool,
) -> _Release | None:
    """Choose removal sets in order of cost until the needed models fit."""
    lacking_bytes = sum(model.memory_bytes for model in needed_models)
    lacking_bytes -= layout.free_bytes(server_id)
    past_min_residence = layout.servers[server_id].past_min_residence
    bases = {model.base for model in needed_models if model.base}
    cost_in_flight, keys, released_keys = 0.0, [], set()
    for set_cost_in_flight, removal_set in sorted(
        removal_sets, key=lambda pair: (pair[0], pair[1][-1].name)
    ):
        if lacking_bytes <= 0:
            break
        names = {model.name for model in removal_set}
        if bases & names or (
            only_past_min_residence and not names <= past_min_residence
        ):
            continue
        new_models = [
            model for model in removal_set if key_of(model) not in released_keys
        ]
        released_keys.update(key_of(model) for model in new_models)
        lacking_bytes -= sum(model.memory_bytes for model in new_models)
        keys.append(key_of(removal_set[-1]))
        cost_in_flight += set_cost_in_flight
    if lacking_bytes > 0:
        return None
    return _Release(cost_in_flight, server_id, tuple(keys))


def _place_after_release(layout: Layout, name: str) -> bool:
    """Release extra replicas where that costs least, then assign the name there."""
    releases = [
        release
        for server in layout.assignable_servers()
        if (release := _find_release_for_name(layout, server.server_id, name))
        is not None
    ]
    return bool(releases) and _apply_release(layout, min(releases), name)


def _apply_release(layout: Layout, release: _Release, name: str) -> bool:
    for key in release.keys:
        if key in layout.assigned_keys(release.server_id):
            layout.release_with_adapters(release.server_id, key)
    return layout.assign(release.server_id, name)


def _start_copies(layout: Layout, name: str) -> bool:
    """Start to copy sole replicas from one server; return whether any was started.

    The name is assigned in a later round, when the copies are ready and the originals
    have become extra replicas that can be released.
    """
    for server in layout.assignable_servers():
        copies = _plan_copies(layout, server.server_id, name)
        if copies and all(layout.assign(target, other) for other, target in copies):
            return True
    return False


def _plan_copies(layout: Layout, server_id: str, name: str) -> list[tuple[str, str]]:
    """Return the names to copy from a server, each with the id of its target."""
    missing_models = layout.missing_models(server_id, name)
    lacking_bytes = sum(model.memory_bytes for model in missing_models)
    lacking_bytes -= layout.free_bytes(server_id)
    free_bytes_by_server = {
        other.server_id: layout.free_bytes(other.server_id)
        for other in layout.assignable_servers()
        if other.server_id != server_id
    }
    copies = []
    base = layout.catalogued[name].base
    assigned = sorted(
        layout.assigned_models(server_id), key=lambda model: (model.memory_bytes, model)
    )
    for model in assigned:
        if lacking_bytes <= 0:
            return copies
        if (
            model.name == base
            or len(layout.models_released_with(server_id, key_of(model))) > 1
        ):
            continue
        target = _copy_target(layout, model.name, free_bytes_by_server)
        if target is not None:
            free_bytes_by_server[target] -= model.memory_bytes
            lacking_bytes -= model.memory_bytes
            copies.append((model.name, target))
    return copies if lacking_bytes <= 0 else []


def _copy_target(
    layout: Layout, name: str, free_bytes_by_server: dict[str, int]
) -> str | None:
    """Return the server with the least free memory where one more replica fits."""
    if name not in layout.catalogued:
        return None
    model = layout.catalogued[name]
    candidates = [
        (free_bytes, server_id)
        for server_id, free_bytes in free_bytes_by_server.items()
        if free_bytes >= model.memory_bytes
        and not layout.is_assigned(server_id, name)
        and (not model.base or layout.is_assigned(server_id, model.base))
    ]
    return min(candidates)[1] if candidates else None


def _place_after_giving_up(layout: Layout, name: str, weighted_demand: float) -> bool:
    """Make room for a name by giving up names in much less demand on one server.

    Only names that were held for the minimum residence time are given up.
    """
    if not weighted_demand:
        return False
    releases = []
    for server in layout.assignable_servers():
        removal_sets = []
        for model in layout.assigned_models(server.server_id):
            removal_set = layout.models_released_with(server.server_id, key_of(model))
            set_cost_in_flight = sum(
                layout.demand.get(other.name, 0.0) for other in removal_set
            )
            removal_sets.append((set_cost_in_flight, removal_set))
        needed_models = layout.missing_models(server.server_id, name)
        release = _choose_release(
            layout,
            server.server_id,
            needed_models,
            removal_sets,
            only_past_min_residence=True,
        )
        if (
            release is not None
            and release.cost_in_flight * GIVE_UP_DEMAND_FACTOR < weighted_demand
        ):
            releases.append(release)
    return bool(releases) and _apply_release(layout, min(releases), name)
