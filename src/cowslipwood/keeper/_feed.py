"""The servers and loads that the leader publishes, with a revision for each change.

Subscribers at the same revisions get the same bytes. An update is encoded once for
all of them, so the cost of one more subscriber is one write.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from ..kernel.messages import FleetLoad, RoutingUpdate, ServerView
from ..kernel.wire import encode_frame

__all__ = ["FLEET_LOAD_INTERVAL_MS", "RoutingFeed", "SentRevisions"]

# Shortest time in milliseconds between two `FleetLoad` messages. Several intervals fit
# into the time after which an entry reads the list of servers itself.
FLEET_LOAD_INTERVAL_MS = 400.0
# Number of removed servers that are remembered. A subscriber that has missed more
# removals than this is sent a full update.
MAX_KEPT_REMOVALS = 1_000


class SentRevisions(NamedTuple):
    """The revisions of the feed that a subscriber has been sent.

    Parameters
    ----------
    routing_revision : int
        Revision of everything but load; below 0 when nothing was sent yet.
    load_revision : int
        Revision of the load.
    """

    routing_revision: int = -1
    load_revision: int = -1


class _FeedServer(NamedTuple):
    """The newest view of a server and the revisions of its last changes."""

    view: ServerView
    routing_revision: int
    load_revision: int


class RoutingFeed:
    """The backend servers and their load that the leader publishes.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    routing_revision : int
        Revision of the last change of anything but load.
    fleet_load : FleetLoad or None
        The load of all engines, updated at most once each `FLEET_LOAD_INTERVAL_MS`.
    n_fleet_loads : int
        Number of updates of `fleet_load`.
    entry_ids : tuple of str
        Sorted ids of the live entries.
    """

    def __init__(self):
        self.revision = 0
        self.routing_revision = 0
        self.fleet_load: FleetLoad | None = None
        self.n_fleet_loads = 0
        self.entry_ids: tuple[str, ...] = ()
        self._servers: dict[str, _FeedServer] = {}
        self._removal_revisions: OrderedDict[str, int] = OrderedDict()
        # Revision of the newest removal that is no longer remembered.
        self._forgotten_revision = -1
        # Revision of the last change that concerns only load.
        self._load_revision = 0
        self._fleet_load_at_ms = -math.inf
        self._routing_frames: dict[tuple[SentRevisions, bool], bytes] = {}
        self._fleet_load_frame = b""

    def clear_fleet_load(self) -> None:
        """Delete the engines' load, which is from an earlier leadership."""
        self.fleet_load = None
        self._fleet_load_at_ms = -math.inf

    def update_servers(self, views: dict[str, ServerView]) -> bool:
        """Replace all servers; return whether anything but load has changed."""
        revision_before = self.routing_revision
        for server_id, view in views.items():
            server = self._servers.get(server_id)
            if server is None or _differs_beyond_load(server.view, view):
                self.revision += 1
                self.routing_revision = self.revision
                self._servers[server_id] = _FeedServer(
                    view, self.revision, self.revision
                )
                self._removal_revisions.pop(server_id, None)
            elif server.view != view:
                self.revision += 1
                self._load_revision = self.revision
                self._servers[server_id] = _FeedServer(
                    view, server.routing_revision, self.revision
                )
        for server_id in self._servers.keys() - views.keys():
            self.revision += 1
            self.routing_revision = self.revision
            del self._servers[server_id]
            self._removal_revisions[server_id] = self.revision
        while len(self._removal_revisions) > MAX_KEPT_REMOVALS:
            _, self._forgotten_revision = self._removal_revisions.popitem(last=False)
        self._routing_frames.clear()
        return self.routing_revision != revision_before

    def update_entry_ids(self, entry_ids: Sequence[str]) -> bool:
        """Replace the sorted ids of live entries; return whether they changed."""
        changed = tuple(entry_ids) != self.entry_ids
        self.entry_ids = tuple(entry_ids)
        return changed

    def is_fleet_load_due(self, now_ms: float) -> bool:
        """Return whether the engines' load is to be updated."""
        return now_ms >= self._fleet_load_at_ms + FLEET_LOAD_INTERVAL_MS

    def update_fleet_load(self, fleet_load: FleetLoad | None, now_ms: float) -> None:
        """Replace the engines' load; it is None until a list of engines was read."""
        self._fleet_load_at_ms = now_ms
        self.fleet_load = fleet_load
        if fleet_load is not None:
            self.n_fleet_loads += 1
            self._fleet_load_frame = encode_frame(fleet_load)

    @property
    def fleet_load_frame(self) -> bytes:
        """The encoded `FleetLoad`."""
        return self._fleet_load_frame

    def needs_routing_update(self, sent: SentRevisions, includes_load: bool) -> bool:
        """Return whether a subscriber needs a `RoutingUpdate`.

        A change that concerns only load counts when `includes_load` is set.
        """
        return sent.routing_revision < self.routing_revision or (
            includes_load and sent.load_revision < self._load_revision
        )

    def get_routing_frame(
        self, sent: SentRevisions, includes_load: bool
    ) -> tuple[bytes, SentRevisions]:
        """Return the encoded update for a subscriber and the revisions after it."""
        frame = self._routing_frames.get((sent, includes_load))
        if frame is None:
            frame = encode_frame(self.make_routing_update(sent, includes_load))
            self._routing_frames[sent, includes_load] = frame
        load_revision = (
            self.revision
            if includes_load or sent.routing_revision < 0
            else sent.load_revision
        )
        return frame, SentRevisions(self.routing_revision, load_revision)

    def make_routing_update(
        self, sent: SentRevisions, includes_load: bool
    ) -> RoutingUpdate:
        """Return the changes since the revisions that a subscriber was sent."""
        full = (
            sent.routing_revision < 0
            or sent.routing_revision < self._forgotten_revision
        )
        changed = tuple(
            server.view
            for server in self._servers.values()
            if full
            or server.routing_revision > sent.routing_revision
            or (
                includes_load
                and server.load_revision
                > max(sent.load_revision, server.routing_revision)
            )
        )
        removed = tuple(
            server_id
            for server_id, revision in self._removal_revisions.items()
            if not full and revision > sent.routing_revision
        )
        return RoutingUpdate(full, changed, removed)


def _differs_beyond_load(old_view: ServerView, new_view: ServerView) -> bool:
    """Return whether two views of a server differ in anything but load."""
    return old_view != new_view._replace(
        n_in_flight=old_view.n_in_flight,
        n_queued=old_view.n_queued,
        wait_ms=old_view.wait_ms,
    )
