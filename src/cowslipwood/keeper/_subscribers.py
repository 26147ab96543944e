"""Sends the catalogue, routing views and assignments to agents and entries.

Each subscriber is sent only what changed since it was last told, by a task of its
own, so one that reads slowly holds up no other.
"""

import zlib
from collections.abc import Sequence
from typing import Any, NamedTuple

import orjson

from ..catalogue import Catalogue, entry_to_json
from ..kernel.channel import Channel
from ..kernel.codes import Failure
from ..kernel.messages import (
    Ack,
    Assignment,
    CatalogueUpdate,
    DocumentUpdate,
    EntryPlace,
    KeepersUpdate,
)
from ..kernel.wire import encode_frame
from ._feed import Feed, Told

__all__ = ["DocumentFrame", "News", "Subscriber"]

# Two of these may be late before the other side takes the leader for lost.
HEARTBEAT_MS = 300
LOAD_INTERVAL_MS = 1_000


class DocumentFrame:
    """The document in force as it is sent, encoded once for each version."""

    def __init__(self):
        self._version = 0
        self._frame = b""

    def of(self, version: int, document: bytes) -> bytes:
        """Return the encoded `DocumentUpdate`, with the document compressed."""
        if version != self._version:
            self._version = version
            packed = zlib.compress(document, 1)
            self._frame = encode_frame(DocumentUpdate(version, packed))
        return self._frame


class News(NamedTuple):
    """What the leader has to tell.

    Parameters
    ----------
    catalogue : Catalogue
    version : int
        Of the document in force; 0 for none.
    document_frame : bytes
        The encoded `DocumentUpdate`.
    keepers : tuple of str
        ip:port of each keeper.
    feed : Feed
    """

    catalogue: Catalogue
    version: int
    document_frame: bytes
    keepers: tuple[str, ...]
    feed: Feed


class Subscriber:
    """What one connected agent, entry or gateway has been told.

    Parameters
    ----------
    channel : Channel
    role : str
        agent, entry or gateway.
    peer_id : str
    """

    def __init__(self, channel: Channel, role: str, peer_id: str):
        self._channel = channel
        self.role = role
        self.peer_id = peer_id
        self._revision = -1
        self._names: set[str] = set()
        self._told = Told()
        self._load_told_ms = 0.0
        self._place: EntryPlace | None = None
        self._assignment: Assignment | None = None
        self._document_version = 0
        self._keepers: tuple[str, ...] = ()
        self._n_fleets = 0
        self._sent_ms = float("-inf")

    async def close(self, why: Failure) -> None:
        """Close the connection."""
        await self._channel.close(why)

    def quiet_ms(self, now_ms: float) -> float:
        """Return how long this subscriber may be left without a message."""
        return max(0.0, self._sent_ms + HEARTBEAT_MS - now_ms)

    async def tell(self, news: News, now_ms: float) -> None:
        """Send what is new, or a sign of life where nothing was for some time."""
        if self.role in ("entry", "gateway"):
            await self._tell_keepers(news.keepers, now_ms)
        if self.role in ("agent", "entry"):
            await self._tell_catalogue(news.catalogue, now_ms)
        if self.role == "entry":
            await self._tell_document(news, now_ms)
            await self.tell_servers(news.feed, now_ms)
        if not self.quiet_ms(now_ms):
            await self._send(Ack(news.catalogue.revision), now_ms)

    async def _tell_catalogue(self, catalogue: Catalogue, now_ms: float) -> None:
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
        update = CatalogueUpdate(catalogue.revision, full, changed, deleted)
        await self._send(update, now_ms)

    async def _tell_document(self, news: News, now_ms: float) -> None:
        """Send the document of routes when a newer one is in force."""
        if news.version > self._document_version:
            self._document_version = news.version
            await self._send_frame(news.document_frame, now_ms)

    async def _tell_keepers(self, addrs: tuple[str, ...], now_ms: float) -> None:
        """Send where the keepers are when that has changed."""
        if addrs != self._keepers:
            self._keepers = addrs
            await self._send(KeepersUpdate(addrs), now_ms)

    async def tell_servers(self, feed: Feed, now_ms: float) -> None:
        """Send the servers that changed, then the engines' load.

        The load says how old the list is by which the servers are told; an entry
        that had it first would go by the servers told before, or by none. Entries
        learn a server's load from each of its answers too, so a change of nothing
        but load is sent at most once each `LOAD_INTERVAL_MS`.
        """
        place = _place(feed.entry_ids, self.peer_id)
        if place != self._place:
            self._place = place
            await self._send(place, now_ms)
        with_load = now_ms >= self._load_told_ms + LOAD_INTERVAL_MS
        if feed.has_news(self._told, with_load):
            frame, self._told = feed.routing_frame(self._told, with_load)
            if with_load:
                self._load_told_ms = now_ms
            await self._send_frame(frame, now_ms)
        if feed.fleet is not None and feed.n_fleets != self._n_fleets:
            self._n_fleets = feed.n_fleets
            await self._send_frame(feed.fleet_frame, now_ms)

    async def tell_assignment(self, assignment: Assignment, now_ms: float) -> None:
        """Send the assignment when it is not the one sent last."""
        if assignment == self._assignment:
            return
        self._assignment = assignment
        await self._send(assignment, now_ms)

    async def _send(self, value: Any, now_ms: float) -> None:
        await self._send_frame(encode_frame(value), now_ms)

    async def _send_frame(self, frame: bytes, now_ms: float) -> None:
        self._sent_ms = now_ms
        await self._channel.send_frame(frame)


def _place(entry_ids: Sequence[str], entry_id: str) -> EntryPlace:
    """Return the number of live entry hosts and the place of one among them.

    One that has not reported yet counts as the last.
    """
    if entry_id in entry_ids:
        return EntryPlace(len(entry_ids), entry_ids.index(entry_id))
    return EntryPlace(len(entry_ids) + 1, len(entry_ids))
