"""What the leader has to tell, with a revision for each change.

Subscribers that were told the same are sent the same bytes, encoded once, so the
work for one more subscriber is one write.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from ..kernel.messages import FleetLoad, RoutingUpdate, ServerView
from ..kernel.wire import encode_frame

__all__ = ["FLEET_LOAD_MS", "Feed", "Told"]

# Several of these fit into the time after which an entry reads the list itself.
FLEET_LOAD_MS = 400.0
# A subscriber that has missed more removals than this is told everything anew.
MAX_REMOVALS = 1_000


class Told(NamedTuple):
    """The revisions up to which a subscriber has been told.

    Parameters
    ----------
    news : int
        Of everything but load; below 0 for nothing yet.
    load : int
    """

    news: int = -1
    load: int = -1


class _Held(NamedTuple):
    view: ServerView
    news: int
    load: int


class Feed:
    """The backend servers and their load, as subscribers are to know them.

    Attributes
    ----------
    revision : int
        Of the last change.
    news : int
        Of the last change of anything but load.
    fleet : FleetLoad or None
        The load of engines, made at most once each `FLEET_LOAD_MS`.
    n_fleets : int
        How many were made.
    """

    def __init__(self):
        self.revision = 0
        self.news = 0
        self.fleet: FleetLoad | None = None
        self.n_fleets = 0
        self.entry_ids: tuple[str, ...] = ()
        self._held: dict[str, _Held] = {}
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._forgotten = -1  # removals up to this revision are no longer known
        self._load = 0  # revision of the last change of nothing but load
        self._fleet_ms = -math.inf
        self._frames: dict[tuple[Told, bool], bytes] = {}
        self._fleet_frame = b""

    def begin(self) -> None:
        """Forget the load, which is of an earlier leadership."""
        self.fleet = None
        self._fleet_ms = -math.inf

    def take_views(self, views: dict[str, ServerView]) -> bool:
        """Take in the servers as they are now; return whether there is news."""
        news = self.news
        for server_id, view in views.items():
            held = self._held.get(server_id)
            if held is None or _differs(held.view, view):
                self.revision += 1
                self.news = self.revision
                self._held[server_id] = _Held(view, self.revision, self.revision)
                self._removed.pop(server_id, None)
            elif held.view != view:
                self.revision += 1
                self._load = self.revision
                self._held[server_id] = _Held(view, held.news, self.revision)
        for server_id in self._held.keys() - views.keys():
            self.revision += 1
            self.news = self.revision
            del self._held[server_id]
            self._removed[server_id] = self.revision
        while len(self._removed) > MAX_REMOVALS:
            _, self._forgotten = self._removed.popitem(last=False)
        self._frames.clear()
        return self.news != news

    def take_entries(self, entry_ids: Sequence[str]) -> bool:
        """Take in the live entries, sorted; return whether they have changed."""
        changed = tuple(entry_ids) != self.entry_ids
        self.entry_ids = tuple(entry_ids)
        return changed

    def is_fleet_due(self, now_ms: float) -> bool:
        """Return whether a newer `FleetLoad` is to be made."""
        return now_ms >= self._fleet_ms + FLEET_LOAD_MS

    def take_fleet(self, fleet: FleetLoad | None, now_ms: float) -> None:
        """Take in the engines' load; None before a list was read."""
        self._fleet_ms = now_ms
        self.fleet = fleet
        if fleet is not None:
            self.n_fleets += 1
            self._fleet_frame = encode_frame(fleet)

    @property
    def fleet_frame(self) -> bytes:
        """The encoded `FleetLoad`."""
        return self._fleet_frame

    def has_news(self, told: Told, with_load: bool) -> bool:
        """Return whether a subscriber is to be sent a `RoutingUpdate`."""
        return told.news < self.news or (with_load and told.load < self._load)

    def routing_frame(self, told: Told, with_load: bool) -> tuple[bytes, Told]:
        """Return the encoded update for a subscriber, and what it then was told."""
        frame = self._frames.get((told, with_load))
        if frame is None:
            frame = encode_frame(self.routing(told, with_load))
            self._frames[told, with_load] = frame
        load = self.revision if with_load or told.news < 0 else told.load
        return frame, Told(self.news, load)

    def routing(self, told: Told, with_load: bool) -> RoutingUpdate:
        """Return what has changed for a subscriber since it was told."""
        full = told.news < 0 or told.news < self._forgotten
        changed = tuple(
            held.view
            for held in self._held.values()
            if full
            or held.news > told.news
            or (with_load and held.load > max(told.load, held.news))
        )
        removed = tuple(
            server_id
            for server_id, revision in self._removed.items()
            if not full and revision > told.news
        )
        return RoutingUpdate(full, changed, removed)


def _differs(told: ServerView, view: ServerView) -> bool:
    """Return whether a view is news to a subscriber, beyond its load."""
    return told != view._replace(
        n_in_flight=told.n_in_flight,
        n_queued=told.n_queued,
        wait_ms=told.wait_ms,
    )
