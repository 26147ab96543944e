"""Placement policies that serve as baselines for comparison."""

from ..kernel.registry import PluginKind, register
from ._layout import Layout
from ._required import place_required
from ._types import PlacementRequest, Plan, key_of

__all__ = ["on_demand_lru", "static"]


@register(PluginKind.PLACEMENT_POLICY, "static")
def static(request: PlacementRequest) -> Plan:
    """Give each catalogued model or adapter one replica, without regard to demand."""
    request_without_demand = request._replace(demand={}, unserved_s={})
    layout = Layout(request_without_demand)
    place_required(layout, request_without_demand)
    return layout.make_plan()


@register(PluginKind.PLACEMENT_POLICY, "on_demand_lru")
def on_demand_lru(request: PlacementRequest) -> Plan:
    """Load names that are in demand, releasing those whose recent demand is lowest."""
    layout = Layout(request)
    names_in_demand = sorted(
        (name for name in layout.catalogued if request.demand.get(name, 0.0) > 0),
        key=lambda name: (-request.demand[name], name),
    )
    for name in names_in_demand:
        if layout.n_pending_loads >= request.max_pending_loads:
            break
        if not layout.replicas[name]:
            _assign_with_release(layout, name)
    return layout.make_plan()


def _assign_with_release(layout: Layout, name: str) -> None:
    """Assign a name, releasing models with less demand until it fits.

    The server is the one where the fewest models are missing (the base may already be
    there) and the most memory is free.
    """
    servers = layout.assignable_servers()
    if not servers:
        return
    server = min(
        servers,
        key=lambda server: (
            len(layout.missing_models(server.server_id, name)),
            -layout.free_bytes(server.server_id),
            server.server_id,
        ),
    )
    while not layout.assign(server.server_id, name):
        less_demanded = [
            model
            for model in layout.assigned_models(server.server_id)
            if model.name in server.past_min_residence
            and model.name != layout.catalogued[name].base
            and layout.demand.get(model.name, 0.0) < layout.demand[name]
        ]
        if not less_demanded:
            return
        least_demanded = min(
            less_demanded,
            key=lambda model: (layout.demand.get(model.name, 0.0), model.name),
        )
        layout.release_with_adapters(server.server_id, key_of(least_demanded))
