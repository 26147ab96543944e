"""The backend servers that an entry knows, by the leader's word or its own reading."""

import math
from collections.abc import Iterable

from ...kernel.logs import get_logger
from ...kernel.messages import FleetLoad, RoutingUpdate, ServerView
from ...listing import ListedServer, as_view, listed_keys
from ..choosing._backend import LoadReport
from ..choosing._view import View

__all__ = ["KnownServers"]

# An entry reads the list itself when what it goes by is older: a server that
# leaves must be left alone within the platform's bound, also by an entry that
# the leader cannot reach, and one reading may fail in between.
OWN_READING_MS = 1_200.0
# Many times the servers that leave within the time for which a list shows them.
MAX_LEFT_KEPT = 10_000


class KnownServers:
    """Keeps a routing view up to date from two sources.

    The leading keeper tells what servers hold as it orders it; while it is out
    of reach, or its own list is old, the entry goes by the list.

    Parameters
    ----------
    view : View
    """

    def __init__(self, view: View):
        self._view = view
        self._told: dict[str, ServerView] = {}
        self._told_list_ms = -math.inf
        self._is_told = False
        self._left: dict[str, str] = {}  # incarnations by server id
        self.listed_ms = 0.0

    def needs_reading(self, now_ms: float) -> bool:
        """Return whether the entry should read the list itself."""
        return now_ms - self.listed_ms > OWN_READING_MS

    def take_update(self, update: RoutingUpdate, now_ms: float) -> None:
        """Take in what the leader says has changed."""
        if update.full:
            self._told.clear()
        for server in update.servers:
            self._told[server.server_id] = server
        for server_id in update.removed:
            self._told.pop(server_id, None)
        if not self._is_told:
            return
        if update.full:
            self._replace(self._told.values(), now_ms)
        else:
            self._apply(update.servers, update.removed, now_ms)

    def take_load(self, load: FleetLoad, now_ms: float) -> None:
        """Take in the engines' load and how old the leader's list is."""
        self._take_list_age(load.list_age_ms, now_ms)
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
                slots = backend.view.knee_in_flight
                report = LoadReport(n_running, n_queued, 0.0, slots, kv_percent / 100)
                backend.reported(report, now_ms)

    def _take_list_age(self, age_ms: float, now_ms: float) -> None:
        self._told_list_ms = max(self._told_list_ms, now_ms - age_ms)
        if now_ms - self._told_list_ms > OWN_READING_MS:
            self._is_told = False
            return
        self.listed_ms = max(self.listed_ms, self._told_list_ms)
        if not self._is_told:
            self._is_told = True
            self._replace(self._told.values(), now_ms)

    def leader_lost(self) -> None:
        """Forget what a leader said, when the connection to it has ended."""
        self._told.clear()
        self._is_told = False

    def take_list(self, servers: Iterable[ListedServer], now_ms: float) -> None:
        """Take in a reading of the list made at this time.

        It counts once what the leader told is older than an entry may go by.
        """
        self.listed_ms = max(self.listed_ms, now_ms)
        if now_ms - self._told_list_ms > OWN_READING_MS:
            self._is_told = False
        if not self._is_told:
            views = [
                as_view(each, tuple(sorted(listed_keys(each)))) for each in servers
            ]
            self._replace(views, now_ms)

    def take_holder(
        self, server_id: str, ready: tuple[str, ...], now_ms: float
    ) -> None:
        """Take in the leader's answer that a server holds these keys now."""
        backend = self._view.backends.get(server_id)
        if backend is None:
            return
        server = backend.view._replace(ready=ready)
        if server_id in self._told:
            self._told[server_id] = server
        self._apply([server], (), now_ms)

    def said_leaving(self, server_id: str, now_ms: float) -> bool:
        """Take in a server's own word that it is about to stop.

        It holds for this life of the server, whatever the list or the leader say
        later; returns whether it is news.
        """
        backend = self._view.backends.get(server_id)
        if backend is None or backend.view.leaving:
            return False
        if len(self._left) >= MAX_LEFT_KEPT:
            self._left.pop(next(iter(self._left)))
        self._left[server_id] = backend.view.incarnation
        self._apply([backend.view], (), now_ms)
        return True

    def _marked(self, server: ServerView) -> ServerView:
        """Return what is told of a server, with its own word that it leaves."""
        if self._left.get(server.server_id) != server.incarnation:
            return server
        return server._replace(leaving=True)

    def _replace(self, servers: Iterable[ServerView], now_ms: float) -> None:
        known = {server.server_id: self._marked(server) for server in servers}
        held = self._view.backends
        changed = [
            server
            for server_id, server in known.items()
            if server_id not in held or held[server_id].view != server
        ]
        self._apply(changed, tuple(held.keys() - known.keys()), now_ms)

    def _apply(
        self, changed: Iterable[ServerView], removed: Iterable[str], now_ms: float
    ) -> None:
        log = get_logger()
        changed = [self._marked(server) for server in changed]
        for server in changed:
            held = self._view.backends.get(server.server_id)
            if held is None or held.view.leaving != server.leaving:
                log.info(
                    "server_listed",
                    server=server.server_id,
                    addr=server.http_addr,
                    leaving=server.leaving,
                    holds=len(server.ready),
                    told=self._is_told,
                )
            if held is not None:
                for key in set(server.ready) - set(held.view.ready):
                    held.exclude(key, 0.0)
        for server_id in removed:
            log.info("server_unlisted", server=server_id, told=self._is_told)
        update = RoutingUpdate(False, tuple(changed), tuple(removed))
        self._view.update_routing(update, now_ms)
