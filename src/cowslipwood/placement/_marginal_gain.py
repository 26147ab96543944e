"""The main policy: extra replicas where they gain more than their moves cost.

Every name has a replica first. Extra replicas then go where the predicted
number of requests in flight within their limits grows by more than
`move_weight` for each model loaded or released. Nothing is released unless
something better needs its memory, so a server that comes back, or demand that
falls, causes no moves. Replicas of one name are taken to share its demand
equally.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..kernel.registry import PluginKind, register
from ._attainment import attained
from ._layout import Layout
from ._required import place_required, release_for
from ._types import ModelKey, PlacementRequest, Plan

__all__ = ["marginal_gain"]

MAX_EXTRA_PER_ROUND = 8
MAX_GROUPS = 16
MAX_TARGETS = 12
MAX_GROUP_LOADS = 8
MIN_GAIN = 0.02
MIN_LOSS = 0.01
SECOND_ZONE_SHARE = 0.05
COLD_DEMAND = 0.5


class _Move(NamedTuple):
    """Names to add to a server after releasing others, with the net gain."""

    net: float
    server_id: str
    names: tuple[str, ...]
    released: tuple[ModelKey, ...]


@register(PluginKind.PLACEMENT_POLICY, "marginal_gain")
def marginal_gain(request: PlacementRequest) -> Plan:
    """Place every name, then add replicas while they gain more than they cost."""
    layout = Layout(request)
    place_required(layout, request)
    n_left = min(MAX_EXTRA_PER_ROUND, request.max_pending - layout.n_pending)
    while n_left > 0:
        move = _best_move(layout, request.move_weight)
        if move is None:
            break
        n_before = layout.n_pending
        _apply(layout, move)
        n_left -= max(layout.n_pending - n_before, 1)
    _add_second_zones(layout, request.move_weight, n_left)
    return layout.plan()


def _apply(layout: Layout, move: _Move) -> None:
    for key in move.released:
        if key in layout.keys_of(move.server_id):
            layout.release_unit(move.server_id, key)
    for name in move.names:
        layout.add(move.server_id, name)


def _best_move(layout: Layout, move_weight: float) -> _Move | None:
    """Return the move with the largest net gain; None when none pays."""
    groups = _hot_groups(layout, move_weight)
    targets = _targets(layout) if groups else []
    moves = [
        move
        for names in groups
        for server_id in targets
        if (move := _evaluate(layout, server_id, names, move_weight)) is not None
    ]
    if not moves:
        return None
    return min(moves, key=lambda m: (-round(m.net, 6), m.server_id, m.names))


def _loss(layout: Layout, server_id: str) -> float:
    """Return the requests in flight that a server serves out of their limits."""
    load = layout.load[server_id]
    return load - attained(load, layout.servers[server_id].knee_in_flight)


def _targets(layout: Layout) -> list[str]:
    """Return the least loaded servers and those with the most free memory."""
    servers = layout.open_servers()
    by_load = sorted(
        (layout.load[s.server_id] / max(s.knee_in_flight, 1), s.server_id)
        for s in servers
    )
    by_room = sorted((-layout.free_bytes(s.server_id), s.server_id) for s in servers)
    chosen = {server_id for _, server_id in by_load[:MAX_TARGETS]}
    chosen.update(server_id for _, server_id in by_room[:MAX_TARGETS])
    return sorted(chosen)


class _Group:
    """A base and its adapters on overloaded servers.

    Attributes
    ----------
    lost : dict of str to float
        Part of the servers' loss that each name's share of the load causes.
    servers : dict of str to float
        Loss of each server that holds one of the names.
    """

    def __init__(self):
        self.lost: dict[str, float] = {}
        self.servers: dict[str, float] = {}

    def names(self) -> list[str]:
        """Return the names that cause loss, the worst first."""
        return sorted(self.lost, key=lambda name: (-self.lost[name], name))

    def most_gain(self, layout: Layout) -> float:
        """Return a bound on what one more replica of the group can gain."""
        spread = sum(_second_zone_worth(layout, name) for name in self.lost)
        return sum(self.servers.values()) + spread


def _hot_groups(layout: Layout, move_weight: float) -> list[list[str]]:
    """Return the names of groups where a move can pay, the worst first."""
    groups: dict[str, _Group] = {}
    for server_id in layout.servers:
        loss = _loss(layout, server_id)
        if loss < MIN_LOSS:
            continue
        for item in layout.held(server_id):
            homes = layout.homes.get(item.name, ())
            demand = layout.demand.get(item.name, 0.0)
            if server_id not in homes or not demand:
                continue
            group = groups.setdefault(item.base or item.name, _Group())
            part = loss * demand / len(homes) / layout.load[server_id]
            group.lost[item.name] = group.lost.get(item.name, 0.0) + part
            group.servers[server_id] = loss
    paying = [g for g in groups.values() if g.most_gain(layout) > move_weight]
    ranked = sorted((-sum(g.lost.values()), g.names()) for g in paying)
    return [names for _, names in ranked[:MAX_GROUPS]]


def _evaluate(
    layout: Layout, server_id: str, names: list[str], move_weight: float
) -> _Move | None:
    """Return the best way to give a server some of a group's names."""
    fresh = [name for name in names if server_id not in layout.homes[name]]
    best = None
    for n_names in range(1, min(len(fresh), MAX_GROUP_LOADS) + 1):
        move = _evaluate_set(layout, server_id, fresh[:n_names], move_weight)
        if move is None:
            break
        if best is None or move.net > best.net:
            best = move
    return best if best is not None and best.net > MIN_GAIN else None


def _evaluate_set(
    layout: Layout, server_id: str, names: list[str], move_weight: float
) -> _Move | None:
    parts = {
        part.name: part
        for name in names
        for part in layout.missing_parts(server_id, name)
    }
    released: tuple[ModelKey, ...] = ()
    needed_bytes = sum(part.memory_bytes for part in parts.values())
    if needed_bytes > layout.free_bytes(server_id):
        way = release_for(layout, server_id, list(parts.values()), only_settled=True)
        if way is None:
            return None
        released = way.keys
    dropped = {
        item.name
        for key in released
        for item in layout.unit(server_id, key)
        if server_id in layout.homes.get(item.name, ())
    }
    gain = _gain(layout, server_id, parts, dropped)
    cost = move_weight * (len(parts) + len(dropped))
    return _Move(gain - cost, server_id, tuple(names), released)


def _gain(
    layout: Layout, server_id: str, added: Iterable[str], dropped: Iterable[str]
) -> float:
    """Return the change in requests in flight within their limits."""
    change: dict[str, float] = {server_id: 0.0}
    gain = 0.0
    for name in added:
        homes = layout.homes[name]
        _shift(layout, change, name, homes, homes | {server_id})
        gain += _spread_value(layout, name, homes | {server_id})
        gain -= _spread_value(layout, name, homes)
    for name in dropped:
        homes = layout.homes[name]
        _shift(layout, change, name, homes, homes - {server_id})
        gain += _spread_value(layout, name, homes - {server_id})
        gain -= _spread_value(layout, name, homes)
    for other, load_change in change.items():
        knee = layout.servers[other].knee_in_flight
        load = layout.load[other]
        gain += attained(load + load_change, knee) - attained(load, knee)
    return gain


def _shift(
    layout: Layout, change: dict[str, float], name: str, old: set[str], new: set[str]
) -> None:
    """Add to `change` what moves when a name's replicas go from old to new."""
    demand = layout.demand.get(name, 0.0)
    if not demand:
        return
    for server_id in old:
        change[server_id] = change.get(server_id, 0.0) - demand / len(old)
    for server_id in new:
        change[server_id] = change.get(server_id, 0.0) + demand / len(new)


def _spread_value(layout: Layout, name: str, homes: set[str]) -> float:
    """Return what standing in two availability zones is worth to a name."""
    zones = {layout.servers[server_id].zone for server_id in homes}
    return 0.0 if len(zones) < 2 else _second_zone_worth(layout, name)


def _second_zone_worth(layout: Layout, name: str) -> float:
    return SECOND_ZONE_SHARE * max(layout.demand.get(name, 0.0), COLD_DEMAND)


def _add_second_zones(layout: Layout, move_weight: float, n_left: int) -> None:
    """Use free memory for replicas in a second zone, by demand."""
    if n_left <= 0:
        return
    sole = [name for name in layout.homes if len(layout.zones_of(name)) == 1]
    sole.sort(key=lambda name: (-layout.demand.get(name, 0.0), name))
    for name in sole:
        if n_left <= 0 or _second_zone_worth(layout, name) <= move_weight:
            return
        n_left -= _add_second_zone(layout, name)


def _add_second_zone(layout: Layout, name: str) -> bool:
    zones = layout.zones_of(name)
    fitting = [
        (round(layout.load[server.server_id], 1), server.server_id)
        for server in layout.open_servers()
        if server.zone not in zones
        and len(parts := layout.missing_parts(server.server_id, name)) == 1
        and parts[0].memory_bytes <= layout.free_bytes(server.server_id)
    ]
    fitting.sort()
    for _, server_id in fitting:
        if _gain(layout, server_id, [name], ()) > 0:
            return layout.add(server_id, name)
    return False
