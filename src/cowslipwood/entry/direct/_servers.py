"""Tracks backend servers by the leader's updates or the entry's own list reads."""

import math
from collections.abc import Collection, Iterable

from ...kernel.logs import get_logger
from ...kernel.messages import FleetLoad, RoutingUpdate, ServerView
from ...listing import ListedServer, list_holding_keys, to_server_view
from ..choosing._backend import LoadReport
from ..choosing._view import FleetView

__all__ = ["KnownServers"]

# Age, in milliseconds, of the server list in use beyond which the entry reads the
# list itself. The platform gives entries a limited time in which to stop sending
# requests to a leaving server. Within it, an entry that cannot reach the leader must
# have read the list again, even if one read fails.
MAX_LIST_AGE_MS = 1_200.0
# Largest number of leaving servers that are remembered. It is many times the number
# of servers that leave while the list still shows them.
MAX_N_LEAVING_KEPT = 10_000


class KnownServers:
    """Keeps a routing view up to date from two sources.

    The leading keeper announces which models servers hold as soon as it has ordered a
    change. While the leader is out of reach, or its own copy of the server list is
    old, the entry uses the server list that it reads itself.

    Parameters
    ----------
    view : FleetView

    Attributes
    ----------
    list_read_at_ms : float
        When the server list in use was read; 0 before the first one.
    """

    def __init__(self, view: FleetView):
        self._view = view
        self._leader_views: dict[str, ServerView] = {}
        self._leader_list_read_at_ms = -math.inf
        self._follows_leader = False
        # Incarnation of each server that announced that it is leaving, by server id.
        self._leaving_incarnations: dict[str, str] = {}
        # Service and version of the servers of which a leader has told.
        self._told_versions: set[tuple[str, str]] = set()
        self.list_read_at_ms = 0.0

    def needs_list_read(self, now_ms: float) -> bool:
        """Return whether the entry should read the list itself."""
        return now_ms - self.list_read_at_ms > MAX_LIST_AGE_MS

    def apply_update(self, update: RoutingUpdate, now_ms: float) -> None:
        """Apply the leader's changes to the servers and to what they hold."""
        if update.full:
            self._leader_views.clear()
            if update.servers:
                self._told_versions.clear()
        for server in update.servers:
            self._leader_views[server.server_id] = server
            self._told_versions.add((server.service_name, server.software_version))
        for server_id in update.removed:
            self._leader_views.pop(server_id, None)
        if not self._follows_leader:
            return
        if update.full:
            self._replace_servers(self._leader_views.values(), now_ms)
        else:
            self._update_view(update.servers, update.removed, now_ms)

    def is_version_untold(self, server: ServerView) -> bool:
        """Return whether a leader has told of a server's service, not of its version.

        The log may not name that version yet. So a stream that such a server begins
        might be taken for one of another version.
        """
        if self._follows_leader:
            return False
        told = self._told_versions
        return (server.service_name, server.software_version) not in told and any(
            service == server.service_name for service, _ in told
        )

    def apply_load(self, load: FleetLoad, now_ms: float) -> None:
        """Apply the engines' load and the age of the leader's server list."""
        self._apply_leader_list_age(load.list_age_ms, now_ms)
        loads = zip(
            load.server_ids,
            load.n_running,
            load.n_queued,
            load.kv_percents,
            strict=True,
        )
        for server_id, n_running, n_queued, kv_percent in loads:
            backend = self._view.backends.get(server_id)
            if backend is not None:
                n_slots = backend.view.knee_in_flight
                report = LoadReport(n_running, n_queued, 0.0, n_slots, kv_percent / 100)
                backend.record_load_report(report, now_ms)

    def _apply_leader_list_age(self, age_ms: float, now_ms: float) -> None:
        self._leader_list_read_at_ms = max(
            self._leader_list_read_at_ms, now_ms - age_ms
        )
        if now_ms - self._leader_list_read_at_ms > MAX_LIST_AGE_MS:
            self._follows_leader = False
            return
        self.list_read_at_ms = max(self.list_read_at_ms, self._leader_list_read_at_ms)
        if not self._follows_leader:
            self._follows_leader = True
            self._replace_servers(self._leader_views.values(), now_ms)

    def forget_leader(self) -> None:
        """Forget the leader's updates after the connection to the leader has ended."""
        self._leader_views.clear()
        self._follows_leader = False

    def apply_list(
        self,
        servers: Iterable[ListedServer],
        now_ms: float,
        engine_services: Collection[str] = (),
    ) -> None:
        """Apply a server list that the entry read at this time.

        It has no effect on the view while the leader's list is recent enough.

        Parameters
        ----------
        servers : iterable of ListedServer
        now_ms : float
        engine_services : collection of str
            Services of the document that have engines.
        """
        self.list_read_at_ms = max(self.list_read_at_ms, now_ms)
        if now_ms - self._leader_list_read_at_ms > MAX_LIST_AGE_MS:
            self._follows_leader = False
        if not self._follows_leader:
            views = [
                to_server_view(
                    server,
                    tuple(sorted(list_holding_keys(server))),
                    server.service in engine_services,
                )
                for server in servers
            ]
            self._replace_servers(views, now_ms)

    def apply_holder(
        self, server_id: str, ready: tuple[str, ...], now_ms: float
    ) -> None:
        """Apply the leader's answer that a server now holds these keys."""
        backend = self._view.backends.get(server_id)
        if backend is None:
            return
        server = backend.view._replace(ready=ready)
        if server_id in self._leader_views:
            self._leader_views[server_id] = server
        self._update_view([server], (), now_ms)

    def record_leaving(self, server_id: str, now_ms: float) -> bool:
        """Record that a server announced that it is about to stop.

        The announcement holds for this incarnation of the server, whatever the list
        or the leader states later.

        Returns
        -------
        bool
            Whether the server was not known to be leaving before.
        """
        backend = self._view.backends.get(server_id)
        if backend is None or backend.view.leaving:
            return False
        if len(self._leaving_incarnations) >= MAX_N_LEAVING_KEPT:
            self._leaving_incarnations.pop(next(iter(self._leaving_incarnations)))
        self._leaving_incarnations[server_id] = backend.view.incarnation
        self._update_view([backend.view], (), now_ms)
        return True

    def _with_leaving(self, server: ServerView) -> ServerView:
        """Return a server's view, marked as leaving if the server announced it."""
        if self._leaving_incarnations.get(server.server_id) != server.incarnation:
            return server
        return server._replace(leaving=True)

    def _replace_servers(self, servers: Iterable[ServerView], now_ms: float) -> None:
        new_views = {server.server_id: self._with_leaving(server) for server in servers}
        backends = self._view.backends
        changed = [
            server
            for server_id, server in new_views.items()
            if server_id not in backends or backends[server_id].view != server
        ]
        self._update_view(changed, tuple(backends.keys() - new_views.keys()), now_ms)

    def _update_view(
        self, changed: Iterable[ServerView], removed: Iterable[str], now_ms: float
    ) -> None:
        log = get_logger()
        changed = [self._with_leaving(server) for server in changed]
        for server in changed:
            backend = self._view.backends.get(server.server_id)
            if backend is None or backend.view.leaving != server.leaving:
                log.info(
                    "server_listed",
                    server=server.server_id,
                    addr=server.http_addr,
                    leaving=server.leaving,
                    holds=len(server.ready),
                    told=self._follows_leader,
                )
            if backend is not None:
                for key in set(server.ready) - set(backend.view.ready):
                    backend.exclude(key, 0.0)
        for server_id in removed:
            log.info("server_unlisted", server=server_id, told=self._follows_leader)
        update = RoutingUpdate(False, tuple(changed), tuple(removed))
        self._view.update_routing(update, now_ms)
