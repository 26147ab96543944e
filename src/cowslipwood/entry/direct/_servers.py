"""The backend servers that the platform's list names, and what they hold."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ...kernel.messages import RoutingUpdate, ServerView
from .._view import View, service_key

__all__ = ["Holdings", "ListedModel", "ListedServer", "holding_key", "routing_update"]

# How long a holder named by the leader counts as one while the list, which
# lags, does not show it yet: the list's lag and one period of polling.
OVERLAY_MS = 2_500.0


class ListedModel(NamedTuple):
    """A model that a server holds, and the adapters of it."""

    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()


class ListedServer(NamedTuple):
    """One entry of the platform's list.

    Parameters
    ----------
    server_id : str
    service, zone : str
    addr : str
        ``ip:port``.
    n_slots : int
        Requests that it works on at once.
    is_leaving : bool
        Whether it takes no new work.
    born_ms : int
        When it started, Unix time; tells two lives under one id apart.
    models : tuple of ListedModel
    """

    server_id: str
    service: str
    zone: str
    addr: str
    n_slots: int = 0
    is_leaving: bool = False
    born_ms: int = 0
    models: tuple[ListedModel, ...] = ()


def holding_key(service: str, model: str, adapter: str = "") -> str:
    """Return the key under which a service's servers list what they hold."""
    if not model:
        return service_key(service)
    return f"{service}|{model}/{adapter}" if adapter else f"{service}|{model}"


def listed_keys(server: ListedServer) -> frozenset[str]:
    """Return the keys of all that a server holds."""
    keys = set()
    for model in server.models:
        keys.add(holding_key(server.service, model.name))
        for adapter in model.adapters:
            keys.add(holding_key(server.service, model.name, adapter))
    return frozenset(keys)


class Holdings:
    """What servers hold by the list, with what the leader told since."""

    def __init__(self):
        self._told: dict[str, dict[str, float]] = {}

    def told(self, server_id: str, keys: Iterable[str], now_ms: float) -> None:
        """Take in what the leader says that a server holds now."""
        held = self._told.setdefault(server_id, {})
        for key in keys:
            held[key] = now_ms + OVERLAY_MS

    def keys(self, server: ListedServer, now_ms: float) -> tuple[str, ...]:
        """Return the keys of all that a server holds, sorted."""
        told = self._told.get(server.server_id, {})
        fresh = {key for key, until_ms in told.items() if now_ms < until_ms}
        return tuple(sorted(listed_keys(server) | fresh))


def as_view(server: ListedServer, keys: tuple[str, ...]) -> ServerView:
    """Return a listed server as the routing view shows it."""
    return ServerView(
        server_id=server.server_id,
        incarnation=str(server.born_ms),
        zone=server.zone,
        http_addr=server.addr,
        kind="engine" if server.models else "service",
        service_name=server.service,
        leaving=server.is_leaving,
        ready=keys,
        n_in_flight=0,
        n_queued=0,
        wait_ms=0.0,
        knee_in_flight=server.n_slots,
    )


def routing_update(
    view: View, servers: Sequence[ListedServer], holdings: Holdings, now_ms: float
) -> RoutingUpdate:
    """Return what changes in the view by a newer list."""
    listed = {
        server.server_id: as_view(server, holdings.keys(server, now_ms))
        for server in servers
    }
    changed = tuple(
        item
        for server_id, item in listed.items()
        if server_id not in view.backends or view.backends[server_id].view != item
    )
    removed = tuple(view.backends.keys() - listed.keys())
    return RoutingUpdate(False, changed, removed)
