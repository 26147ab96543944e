"""The default placement policy: adds replicas that gain more than their moves cost.

Each name is given one replica first. Extra replicas are then added where the predicted
number of requests in flight that are answered within their limits grows by more than
`move_weight` for each model loaded or released. A model is released only when its
memory is needed for a move with a higher gain, so that a server that comes back and
demand that falls cause no moves. The replicas of a name are assumed to share its
demand equally.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..kernel.registry import PluginKind, register
from ._attainment import attained_in_flight
from ._layout import Layout
from ._required import find_release, place_required
from ._types import ModelKey, PlacementRequest, Plan

__all__ = ["marginal_gain"]

# Loads of extra replicas that one placement round may start.
MAX_N_EXTRA_LOADS = 8
# Groups of a base and its adapters that are considered for one move.
MAX_N_GROUPS = 16
# Servers considered as targets of one move: this many of the least loaded ones, and
# this many of those with the most free memory.
MAX_N_TARGETS = 12
# Names of one group that one move may add to a server.
MAX_N_GROUP_LOADS = 8
# Net gain, in requests in flight, up to which a move is not made.
MIN_GAIN_IN_FLIGHT = 0.02
# Requests in flight outside their limits below which a server is not overloaded.
MIN_LOSS_IN_FLIGHT = 0.01
# Value of replicas in two zones, as a share of the name's demand.
SECOND_ZONE_VALUE_SHARE = 0.05
# Least demand, in requests in flight, from which the value of replicas in two zones
# is computed, so that a name without demand has a value as well.
MIN_VALUED_DEMAND_IN_FLIGHT = 0.5


class _Move(NamedTuple):
    """Names to assign to a server after releasing others, and the net gain.

    The gain is in requests in flight answered within their limits, less the cost of
    the move.
    """

    net_gain_in_flight: float
    server_id: str
    names: tuple[str, ...]
    released_keys: tuple[ModelKey, ...]


@register(PluginKind.PLACEMENT_POLICY, "marginal_gain")
def marginal_gain(request: PlacementRequest) -> Plan:
    """Give each name a replica, then add replicas that gain more than they cost."""
    layout = Layout(request)
    place_required(layout, request)
    n_loads_left = min(
        MAX_N_EXTRA_LOADS, request.max_pending_loads - layout.n_pending_loads
    )
    while n_loads_left > 0:
        move = _best_move(layout, request.move_weight)
        if move is None:
            break
        n_pending_before = layout.n_pending_loads
        _apply_move(layout, move)
        n_loads_left -= max(layout.n_pending_loads - n_pending_before, 1)
    _add_second_zones(layout, request.move_weight, n_loads_left)
    return layout.make_plan()


def _apply_move(layout: Layout, move: _Move) -> None:
    for key in move.released_keys:
        if key in layout.assigned_keys(move.server_id):
            layout.release_with_adapters(move.server_id, key)
    for name in move.names:
        layout.assign(move.server_id, name)


def _best_move(layout: Layout, move_weight: float) -> _Move | None:
    """Return the move with the largest net gain; None when no move is worth making."""
    groups = _overloaded_groups(layout, move_weight)
    targets = _target_servers(layout) if groups else []
    moves = [
        move
        for names in groups
        for server_id in targets
        if (move := _best_move_of_group(layout, server_id, names, move_weight))
        is not None
    ]
    if not moves:
        return None
    return min(
        moves,
        key=lambda move: (
            -round(move.net_gain_in_flight, 6),
            move.server_id,
            move.names,
        ),
    )


def _loss_in_flight(layout: Layout, server_id: str) -> float:
    """Return a server's expected requests in flight outside their limits."""
    load = layout.expected_load[server_id]
    return load - attained_in_flight(load, layout.servers[server_id].knee_in_flight)


def _target_servers(layout: Layout) -> list[str]:
    """Return the least loaded servers and those with the most free memory."""
    servers = layout.assignable_servers()
    servers_by_load = sorted(
        (
            layout.expected_load[server.server_id] / max(server.knee_in_flight, 1),
            server.server_id,
        )
        for server in servers
    )
    servers_by_free_bytes = sorted(
        (-layout.free_bytes(server.server_id), server.server_id) for server in servers
    )
    chosen = {server_id for _, server_id in servers_by_load[:MAX_N_TARGETS]}
    chosen.update(server_id for _, server_id in servers_by_free_bytes[:MAX_N_TARGETS])
    return sorted(chosen)


class _Group:
    """A base and its adapters on overloaded servers.

    Attributes
    ----------
    loss_by_name : dict of str to float
        Part of the loss that each name's share of the servers' load causes. Loss is
        measured in requests in flight outside their limits.
    loss_by_server : dict of str to float
        Loss of each server that is assigned one of the names, by the server's id.
    """

    def __init__(self):
        self.loss_by_name: dict[str, float] = {}
        self.loss_by_server: dict[str, float] = {}

    def names(self) -> list[str]:
        """Return the names that cause loss, in descending order of loss."""
        return sorted(
            self.loss_by_name, key=lambda name: (-self.loss_by_name[name], name)
        )

    def max_gain(self, layout: Layout) -> float:
        """Return an upper bound of the gain of one more replica of the group."""
        zone_spread_value = sum(
            _second_zone_value(layout, name) for name in self.loss_by_name
        )
        return sum(self.loss_by_server.values()) + zone_spread_value


def _overloaded_groups(layout: Layout, move_weight: float) -> list[list[str]]:
    """Return the names of each group for which a move can be worth making.

    The groups are in descending order of loss, and so are the names in a group.
    """
    groups: dict[str, _Group] = {}
    for server_id in layout.servers:
        server_loss_in_flight = _loss_in_flight(layout, server_id)
        if server_loss_in_flight < MIN_LOSS_IN_FLIGHT:
            continue
        for model in layout.assigned_models(server_id):
            replicas = layout.replicas.get(model.name, ())
            demand = layout.demand.get(model.name, 0.0)
            if server_id not in replicas or not demand:
                continue
            group = groups.setdefault(model.base or model.name, _Group())
            name_loss_in_flight = (
                server_loss_in_flight
                * demand
                / len(replicas)
                / layout.expected_load[server_id]
            )
            group.loss_by_name[model.name] = (
                group.loss_by_name.get(model.name, 0.0) + name_loss_in_flight
            )
            group.loss_by_server[server_id] = server_loss_in_flight
    worthwhile_groups = [
        group for group in groups.values() if group.max_gain(layout) > move_weight
    ]
    ranked = sorted(
        (-sum(group.loss_by_name.values()), group.names())
        for group in worthwhile_groups
    )
    return [names for _, names in ranked[:MAX_N_GROUPS]]


def _best_move_of_group(
    layout: Layout, server_id: str, names: list[str], move_weight: float
) -> _Move | None:
    """Return the best move that assigns some of a group's names to a server."""
    missing_names = [name for name in names if server_id not in layout.replicas[name]]
    best = None
    for n_names in range(1, min(len(missing_names), MAX_N_GROUP_LOADS) + 1):
        move = _evaluate_move(layout, server_id, missing_names[:n_names], move_weight)
        if move is None:
            break
        if best is None or move.net_gain_in_flight > best.net_gain_in_flight:
            best = move
    return (
        best
        if best is not None and best.net_gain_in_flight > MIN_GAIN_IN_FLIGHT
        else None
    )


def _evaluate_move(
    layout: Layout, server_id: str, names: list[str], move_weight: float
) -> _Move | None:
    missing_models = {
        model.name: model
        for name in names
        for model in layout.missing_models(server_id, name)
    }
    released_keys: tuple[ModelKey, ...] = ()
    needed_bytes = sum(model.memory_bytes for model in missing_models.values())
    if needed_bytes > layout.free_bytes(server_id):
        release = find_release(
            layout,
            server_id,
            list(missing_models.values()),
            only_past_min_residence=True,
        )
        if release is None:
            return None
        released_keys = release.keys
    dropped_names = {
        model.name
        for key in released_keys
        for model in layout.models_released_with(server_id, key)
        if server_id in layout.replicas.get(model.name, ())
    }
    gain_in_flight = _predict_gain(layout, server_id, missing_models, dropped_names)
    cost_in_flight = move_weight * (len(missing_models) + len(dropped_names))
    return _Move(
        gain_in_flight - cost_in_flight, server_id, tuple(names), released_keys
    )


def _predict_gain(
    layout: Layout,
    server_id: str,
    added_names: Iterable[str],
    dropped_names: Iterable[str],
) -> float:
    """Return the predicted change in requests in flight within their limits.

    The value of replicas in two zones is included.
    """
    load_changes: dict[str, float] = {server_id: 0.0}
    gain_in_flight = 0.0
    for name in added_names:
        replicas = layout.replicas[name]
        _add_load_change(layout, load_changes, name, replicas, replicas | {server_id})
        gain_in_flight += _zone_spread_value(layout, name, replicas | {server_id})
        gain_in_flight -= _zone_spread_value(layout, name, replicas)
    for name in dropped_names:
        replicas = layout.replicas[name]
        _add_load_change(layout, load_changes, name, replicas, replicas - {server_id})
        gain_in_flight += _zone_spread_value(layout, name, replicas - {server_id})
        gain_in_flight -= _zone_spread_value(layout, name, replicas)
    for other, load_change in load_changes.items():
        knee = layout.servers[other].knee_in_flight
        load = layout.expected_load[other]
        gain_in_flight += attained_in_flight(
            load + load_change, knee
        ) - attained_in_flight(load, knee)
    return gain_in_flight


def _add_load_change(
    layout: Layout,
    load_changes: dict[str, float],
    name: str,
    old_ids: set[str],
    new_ids: set[str],
) -> None:
    """Add to `load_changes` the effect of a change in a name's replicas.

    Parameters
    ----------
    layout : Layout
    load_changes : dict of str to float
        Change of the expected requests in flight, by server id.
    name : str
    old_ids, new_ids : set of str
        Ids of the servers that are replicas before and after the change.
    """
    demand = layout.demand.get(name, 0.0)
    if not demand:
        return
    for server_id in old_ids:
        load_changes[server_id] = load_changes.get(server_id, 0.0) - demand / len(
            old_ids
        )
    for server_id in new_ids:
        load_changes[server_id] = load_changes.get(server_id, 0.0) + demand / len(
            new_ids
        )


def _zone_spread_value(layout: Layout, name: str, replicas: set[str]) -> float:
    """Return the value, in requests in flight, of a name's replicas in two zones."""
    zones = {layout.servers[server_id].zone for server_id in replicas}
    return 0.0 if len(zones) < 2 else _second_zone_value(layout, name)


def _second_zone_value(layout: Layout, name: str) -> float:
    return SECOND_ZONE_VALUE_SHARE * max(
        layout.demand.get(name, 0.0), MIN_VALUED_DEMAND_IN_FLIGHT
    )


def _add_second_zones(layout: Layout, move_weight: float, n_loads_left: int) -> None:
    """Use free memory for replicas in a second zone, in order of demand."""
    if n_loads_left <= 0:
        return
    single_zone_names = [
        name for name in layout.replicas if len(layout.replica_zones(name)) == 1
    ]
    single_zone_names.sort(key=lambda name: (-layout.demand.get(name, 0.0), name))
    for name in single_zone_names:
        if n_loads_left <= 0 or _second_zone_value(layout, name) <= move_weight:
            return
        n_loads_left -= _add_second_zone(layout, name)


def _add_second_zone(layout: Layout, name: str) -> bool:
    zones = layout.replica_zones(name)
    candidates = [
        (round(layout.expected_load[server.server_id], 1), server.server_id)
        for server in layout.assignable_servers()
        if server.zone not in zones
        and len(missing_models := layout.missing_models(server.server_id, name)) == 1
        and missing_models[0].memory_bytes <= layout.free_bytes(server.server_id)
    ]
    candidates.sort()
    for _, server_id in candidates:
        if _predict_gain(layout, server_id, [name], ()) > 0:
            return layout.assign(server_id, name)
    return False
