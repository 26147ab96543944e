"""Gives each catalogued name a replica, in order of demand.

Shared by the policies that keep every name resident.
"""

from collections.abc import Sequence
from typing import NamedTuple

from ..kernel.messages import DesiredModel
from ._layout import Layout
from ._types import ModelKey, PlacementRequest, key_of

__all__ = ["place_required", "release_for"]

SWAP_FACTOR = 2.0
WAIT_DOUBLES_S = 2.0


def place_required(layout: Layout, request: PlacementRequest) -> None:
    """Give a replica to each name without one, until the pending bound.

    Room is made first from extra replicas, then by copying a sole replica to
    another server, last by giving up names in much less demand.
    """
    missing = [name for name, homes in layout.homes.items() if not homes]
    missing.sort(key=lambda name: _urgency(layout, request, name))
    n_copying = sum(1 for name in layout.homes if _is_copying(layout, name))
    for name in missing:
        if layout.n_pending >= request.max_pending:
            return
        if layout.homes[name] or _place(layout, name):
            continue
        if _replace_in_place(layout, name) or _place_after_release(layout, name):
            continue
        if n_copying or _copy_for(layout, name):
            n_copying += 1
            continue
        _place_after_swap(layout, name, _priority(request, name))


def _urgency(layout: Layout, request: PlacementRequest, name: str) -> tuple:
    return -_priority(request, name), bool(layout.wanted[name].base), name


def _priority(request: PlacementRequest, name: str) -> float:
    """Return a name's demand, which counts for more the longer it waits."""
    waited_s = request.waiting_s.get(name, 0.0)
    return request.demand.get(name, 0.0) * (1.0 + waited_s / WAIT_DOUBLES_S)


def _is_copying(layout: Layout, name: str) -> bool:
    """Return whether a second replica is under way."""
    return len(layout.homes[name]) > max(layout.n_ready(name), 1)


def _place(layout: Layout, name: str) -> bool:
    """Add a name where it fits best; False when it fits nowhere."""
    fitting = []
    group_bytes = _group_bytes(layout, name)
    least_bytes = layout.wanted[name].memory_bytes
    zones = layout.zones_of(name)
    for server in layout.open_servers():
        free_bytes = layout.free_bytes(server.server_id)
        if least_bytes > free_bytes:
            continue
        parts = layout.missing_parts(server.server_id, name)
        if sum(part.memory_bytes for part in parts) > free_bytes:
            continue
        rank = (
            len(parts),
            free_bytes < group_bytes,
            -layout.n_adapters_of(server.server_id, name),
            server.zone in zones,
            round(layout.load[server.server_id], 1),
            -free_bytes,
            server.server_id,
        )
        fitting.append(rank)
    if not fitting:
        return False
    return layout.add(min(fitting)[-1], name)


def _group_bytes(layout: Layout, name: str) -> int:
    """Return the memory of a name with all adapters that still need a home."""
    followers = layout.adapters_of.get(name, ())
    return layout.wanted[name].memory_bytes + sum(
        layout.wanted[other].memory_bytes
        for other in followers
        if not layout.homes[other]
    )


def _replace_in_place(layout: Layout, name: str) -> bool:
    """Swap an old version for the wanted one when only their exchange fits.

    Every other way to keep a ready version is tried in the rounds before: this
    one leaves the name without a replica for the time of a load.
    """
    if _could_fit_beside(layout, name):
        return False
    for server in layout.open_servers():
        if layout.replace_version(server.server_id, name):
            return True
    return False


def _could_fit_beside(layout: Layout, name: str) -> bool:
    """Return whether releasing extra replicas makes room somewhere."""
    return any(
        _release_way(layout, server.server_id, name) is not None
        for server in layout.open_servers()
    )


def _release_way(layout: Layout, server_id: str, name: str) -> "_Release | None":
    return release_for(layout, server_id, layout.missing_parts(server_id, name))


class _Release(NamedTuple):
    """Items whose release makes room on a server."""

    cost: float
    server_id: str
    keys: tuple[ModelKey, ...]


def release_for(
    layout: Layout,
    server_id: str,
    needed: Sequence[DesiredModel],
    *,
    only_settled: bool = False,
) -> _Release | None:
    """Return the least demanded extra replicas that make way for some items."""
    units = []
    for item in layout.held(server_id):
        unit = layout.unit(server_id, key_of(item))
        if not all(layout.may_release(server_id, other) for other in unit):
            continue
        units.append((_carried(layout, unit), unit))
    return _choose(layout, server_id, needed, units, only_settled)


def _carried(layout: Layout, unit: list[DesiredModel]) -> float:
    """Return the requests in flight that the replicas of a unit bear."""
    return sum(
        layout.demand.get(item.name, 0.0) / max(len(layout.homes.get(item.name, ())), 1)
        for item in unit
    )


def _choose(
    layout: Layout,
    server_id: str,
    needed: Sequence[DesiredModel],
    units: list[tuple[float, list[DesiredModel]]],
    only_settled: bool,
) -> _Release | None:
    """Take units from the cheapest up until the needed items fit."""
    lacking_bytes = sum(item.memory_bytes for item in needed)
    lacking_bytes -= layout.free_bytes(server_id)
    settled = layout.servers[server_id].settled
    bases = {item.base for item in needed if item.base}
    cost, keys, taken = 0.0, [], set()
    for unit_cost, unit in sorted(units, key=lambda pair: (pair[0], pair[1][-1].name)):
        if lacking_bytes <= 0:
            break
        names = {item.name for item in unit}
        if bases & names or (only_settled and not names <= settled):
            continue
        fresh = [item for item in unit if key_of(item) not in taken]
        taken.update(key_of(item) for item in fresh)
        lacking_bytes -= sum(item.memory_bytes for item in fresh)
        keys.append(key_of(unit[-1]))
        cost += unit_cost
    if lacking_bytes > 0:
        return None
    return _Release(cost, server_id, tuple(keys))


def _place_after_release(layout: Layout, name: str) -> bool:
    """Release extra replicas where that costs least, then add the name."""
    ways = [
        way
        for server in layout.open_servers()
        if (way := _release_way(layout, server.server_id, name)) is not None
    ]
    return bool(ways) and _apply(layout, min(ways), name)


def _apply(layout: Layout, way: _Release, name: str) -> bool:
    for key in way.keys:
        if key in layout.keys_of(way.server_id):
            layout.release_unit(way.server_id, key)
    return layout.add(way.server_id, name)


def _copy_for(layout: Layout, name: str) -> bool:
    """Begin to move sole replicas away from one server; True when begun.

    The name is added in a later round, when the copies are ready and the
    originals have become extra replicas.
    """
    for server in layout.open_servers():
        copies = _copies(layout, server.server_id, name)
        if copies and all(layout.add(target, other) for other, target in copies):
            return True
    return False


def _copies(layout: Layout, server_id: str, name: str) -> list[tuple[str, str]]:
    """Return the names to copy from a server, each with its target."""
    parts = layout.missing_parts(server_id, name)
    lacking_bytes = sum(part.memory_bytes for part in parts)
    lacking_bytes -= layout.free_bytes(server_id)
    room = {
        other.server_id: layout.free_bytes(other.server_id)
        for other in layout.open_servers()
        if other.server_id != server_id
    }
    copies = []
    base = layout.wanted[name].base
    held = sorted(layout.held(server_id), key=lambda item: (item.memory_bytes, item))
    for item in held:
        if lacking_bytes <= 0:
            return copies
        if item.name == base or len(layout.unit(server_id, key_of(item))) > 1:
            continue
        target = _target(layout, item.name, room)
        if target is not None:
            room[target] -= item.memory_bytes
            lacking_bytes -= item.memory_bytes
            copies.append((item.name, target))
    return copies if lacking_bytes <= 0 else []


def _target(layout: Layout, name: str, room: dict[str, int]) -> str | None:
    """Return the fullest server that can take one more replica of a name."""
    if name not in layout.wanted:
        return None
    item = layout.wanted[name]
    fitting = [
        (free_bytes, server_id)
        for server_id, free_bytes in room.items()
        if free_bytes >= item.memory_bytes
        and not layout.holds(server_id, name)
        and (not item.base or layout.holds(server_id, item.base))
    ]
    return min(fitting)[1] if fitting else None


def _place_after_swap(layout: Layout, name: str, priority: float) -> bool:
    """Give up settled names in much less demand to place one in more."""
    if not priority:
        return False
    ways = []
    for server in layout.open_servers():
        units = []
        for item in layout.held(server.server_id):
            unit = layout.unit(server.server_id, key_of(item))
            cost = sum(layout.demand.get(other.name, 0.0) for other in unit)
            units.append((cost, unit))
        needed = layout.missing_parts(server.server_id, name)
        way = _choose(layout, server.server_id, needed, units, only_settled=True)
        if way is not None and way.cost * SWAP_FACTOR < priority:
            ways.append(way)
    return bool(ways) and _apply(layout, min(ways), name)
