"""Simple placement policies to compare against."""

from ..kernel.registry import PluginKind, register
from ._layout import Layout
from ._required import place_required
from ._types import PlacementRequest, Plan, key_of

__all__ = ["on_demand_lru", "static"]


@register(PluginKind.PLACEMENT_POLICY, "static")
def static(request: PlacementRequest) -> Plan:
    """Give each name one replica and pass over demand."""
    blind = request._replace(demand={}, waiting_s={})
    layout = Layout(blind)
    place_required(layout, blind)
    return layout.plan()


@register(PluginKind.PLACEMENT_POLICY, "on_demand_lru")
def on_demand_lru(request: PlacementRequest) -> Plan:
    """Load what is called; release what has been in least demand of late."""
    layout = Layout(request)
    called = sorted(
        (name for name in layout.wanted if request.demand.get(name, 0.0) > 0),
        key=lambda name: (-request.demand[name], name),
    )
    for name in called:
        if layout.n_pending >= request.max_pending:
            break
        if not layout.homes[name]:
            _load(layout, name)
    return layout.plan()


def _load(layout: Layout, name: str) -> None:
    """Add a name beside its base or where most is free, evicting until it fits."""
    servers = layout.open_servers()
    if not servers:
        return
    server = min(
        servers,
        key=lambda s: (
            len(layout.missing_parts(s.server_id, name)),
            -layout.free_bytes(s.server_id),
            s.server_id,
        ),
    )
    while not layout.add(server.server_id, name):
        colder = [
            item
            for item in layout.held(server.server_id)
            if item.name in server.settled
            and item.name != layout.wanted[name].base
            and layout.demand.get(item.name, 0.0) < layout.demand[name]
        ]
        if not colder:
            return
        coldest = min(colder, key=lambda i: (layout.demand.get(i.name, 0.0), i.name))
        layout.release_unit(server.server_id, key_of(coldest))
