"""Sends the catalogue, routing views and assignments to agents and entries.

Each subscriber is sent only what changed since it was last told.
"""

import math
from collections.abc import Sequence

import orjson

from ..catalogue import Catalogue, entry_to_json
from ..kernel.channel import Channel
from ..kernel.codes import Failure
from ..kernel.messages import (
    Ack,
    Assignment,
    CatalogueUpdate,
    DocumentUpdate,
    FleetLoad,
    KeepersUpdate,
    RoutingUpdate,
    ServerView,
)

__all__ = ["Subscriber"]

# Two of these may be late before the other side takes the leader for lost.
HEARTBEAT_MS = 300
# Several of these fit into the time after which an entry reads the list itself.
FLEET_LOAD_MS = 400.0
LOAD_INTERVAL_MS = 1_000


class Subscriber:
    """What one connected agent or entry has been told.

    Parameters
    ----------
    channel : Channel
    role : str
        agent or entry.
    peer_id : str
    """

    def __init__(self, channel: Channel, role: str, peer_id: str):
        self._channel = channel
        self.role = role
        self.peer_id = peer_id
        self._revision = -1
        self._names: set[str] = set()
        self._views: dict[str, ServerView] = {}
        self._routed = False
        self._place = (1, 0)
        self._assignment: Assignment | None = None
        self._document_version = 0
        self._keepers: tuple[str, ...] = ()
        self._fleet_told_ms = -math.inf
        self._heartbeat_at_ms = 0.0
        self._load_told_ms = -math.inf

    async def close(self, why: Failure) -> None:
        """Close the connection."""
        await self._channel.close(why)

    async def tell_heartbeat(self, revision: int, now_ms: float) -> None:
        """Show that the leader is alive, at most once each `HEARTBEAT_MS`."""
        if now_ms < self._heartbeat_at_ms + HEARTBEAT_MS:
            return
        self._heartbeat_at_ms = now_ms
        await self._channel.send(Ack(revision))

    async def tell_catalogue(self, catalogue: Catalogue) -> None:
        """Send the entries that changed since the last call."""
        if catalogue.revision == self._revision:
            return
        full = self._revision < 0
        entries = catalogue.entries
        changed = tuple(
            orjson.dumps(entry_to_json(entry))
            for entry in entries.values()
            if entry.revision > self._revision
        )
        deleted = tuple(self._names - entries.keys())
        self._names = set(entries)
        self._revision = catalogue.revision
        await self._channel.send(
            CatalogueUpdate(catalogue.revision, full, changed, deleted)
        )

    async def tell_document(self, version: int, document: bytes) -> None:
        """Send the document of routes when a newer one is in force."""
        if version > self._document_version:
            self._document_version = version
            await self._channel.send(DocumentUpdate(version, document))

    async def tell_keepers(self, addrs: tuple[str, ...]) -> None:
        """Send where the keepers are when that has changed."""
        if addrs != self._keepers:
            self._keepers = addrs
            await self._channel.send(KeepersUpdate(addrs))

    async def tell_servers(
        self,
        views: dict[str, ServerView],
        fleet: FleetLoad | None,
        entry_ids: Sequence[str],
        now_ms: float,
    ) -> None:
        """Send the changed servers, then the load, at most once each `FLEET_LOAD_MS`.

        The load says how old the list is by which the servers are told; an entry
        that had it first would go by the servers told before, or by none.
        """
        await self.tell_routing(views, entry_ids, now_ms)
        if fleet is not None and now_ms >= self._fleet_told_ms + FLEET_LOAD_MS:
            self._fleet_told_ms = now_ms
            await self._channel.send(fleet)

    async def tell_routing(
        self, views: dict[str, ServerView], entry_ids: Sequence[str], now_ms: float
    ) -> None:
        """Send the backend servers that changed since the last call.

        Entries learn a server's load from each of its answers, so a change of
        nothing but load is sent at most once each `LOAD_INTERVAL_MS`.

        Parameters
        ----------
        views : dict of str to ServerView
        entry_ids : sequence of str
            The live entry hosts, sorted.
        now_ms : float
        """
        place = _place(entry_ids, self.peer_id)
        with_load = now_ms >= self._load_told_ms + LOAD_INTERVAL_MS
        changed = {
            key: view
            for key, view in views.items()
            if _differs(self._views.get(key), view, with_load)
        }
        removed = tuple(self._views.keys() - views.keys())
        if self._routed and not changed and not removed and place == self._place:
            return
        full = not self._routed
        self._routed = True
        self._views.update(changed)
        for key in removed:
            del self._views[key]
        if with_load:
            self._load_told_ms = now_ms
        self._place = place
        update = RoutingUpdate(full, tuple(changed.values()), removed, *place)
        await self._channel.send(update)

    async def tell_assignment(self, assignment: Assignment) -> None:
        """Send the assignment when it is not the one sent last."""
        if assignment == self._assignment:
            return
        self._assignment = assignment
        await self._channel.send(assignment)


def _place(entry_ids: Sequence[str], entry_id: str) -> tuple[int, int]:
    """Return the number of live entry hosts and the place of one among them.

    One that has not reported yet counts as the last.
    """
    if entry_id in entry_ids:
        return len(entry_ids), entry_ids.index(entry_id)
    return len(entry_ids) + 1, len(entry_ids)


def _differs(told: ServerView | None, view: ServerView, with_load: bool) -> bool:
    """Return whether a view is news to an entry that was told another."""
    if told is None or with_load:
        return told != view
    return told != view._replace(
        n_in_flight=told.n_in_flight,
        n_queued=told.n_queued,
        wait_ms=told.wait_ms,
    )
