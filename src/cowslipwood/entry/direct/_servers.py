"""The backend servers that the platform's list names, and what they hold."""

from collections.abc import Iterable, Sequence

from ...kernel.messages import RoutingUpdate, ServerView
from ...listing import ListedServer, listed_keys
from .._view import View

__all__ = ["Holdings", "routing_update"]

# How long a holder named by the leader counts as one while the list, which
# lags, does not show it yet: the list's lag and one period of polling.
OVERLAY_MS = 2_500.0


class Holdings:
    """What servers hold by the list, with what the leader told since."""

    def __init__(self):
        self._told: dict[str, dict[str, float]] = {}
        self._news: list[tuple[str, str]] = []

    def told(self, server_id: str, keys: Iterable[str], now_ms: float) -> None:
        """Take in what the leader says that a server holds now."""
        held = self._told.setdefault(server_id, {})
        for key in keys:
            held[key] = now_ms + OVERLAY_MS
            self._news.append((server_id, key))

    def news(self) -> list[tuple[str, str]]:
        """Return the server and key of all that was told since the last call."""
        news, self._news = self._news, []
        return news

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
