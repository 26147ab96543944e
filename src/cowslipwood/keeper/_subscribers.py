"""Sends the catalogue, routing views and assignments to agents and entries.

Each subscriber is sent only the changes since its last update. Each has a task of
its own, so a subscriber that reads slowly does not delay the others.
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
from ._evidence import EvidenceRelay
from ._feed import RoutingFeed, SentRevisions
from ._server_limits import ServerLimitTable

__all__ = ["DocumentFrame", "PublishedState", "Subscriber"]

# Longest time in milliseconds without a message to a subscriber. Two heartbeats may be
# late before a subscriber considers the leader lost.
HEARTBEAT_MS = 300
# Shortest time in milliseconds between two updates of a server's load.
LOAD_INTERVAL_MS = 1_000


class DocumentFrame:
    """The encoded document of routes in force, encoded once for each version."""

    def __init__(self):
        self._version = 0
        self._frame = b""

    def encode(self, version: int, document: bytes, needs_key: bool) -> bytes:
        """Return the encoded `DocumentUpdate`, with the document compressed."""
        if version != self._version:
            self._version = version
            compressed = zlib.compress(document, 1)
            self._frame = encode_frame(DocumentUpdate(version, compressed, needs_key))
        return self._frame


class PublishedState(NamedTuple):
    """The state that the leader publishes to its subscribers.

    Parameters
    ----------
    catalogue : Catalogue
    document_version : int
        Version of the document in force; 0 for none.
    document_frame : bytes
        The encoded `DocumentUpdate`.
    keeper_addrs : tuple of str
        ip:port of each keeper.
    feed : RoutingFeed
        The backend servers and their load.
    evidence : EvidenceRelay
        What the entries have seen of the ends of servers.
    limits : ServerLimitTable
        The limits that servers have named.
    """

    catalogue: Catalogue
    document_version: int
    document_frame: bytes
    keeper_addrs: tuple[str, ...]
    feed: RoutingFeed
    evidence: EvidenceRelay
    limits: ServerLimitTable


class Subscriber:
    """A connected agent, entry or gateway, and the state that it has been sent.

    Parameters
    ----------
    channel : Channel
    role : str
        agent, entry or gateway.
    peer_id : str
        Id of the agent's server, of the entry or of the gateway.
    """

    def __init__(self, channel: Channel, role: str, peer_id: str):
        self._channel = channel
        self.role = role
        self.peer_id = peer_id
        self._sent_catalogue_revision = -1
        self._sent_entry_names: set[str] = set()
        self._sent_revisions = SentRevisions()
        self._load_sent_at_ms = 0.0
        self._sent_place: EntryPlace | None = None
        self._sent_assignment: Assignment | None = None
        self._sent_document_version = 0
        self._sent_keeper_addrs: tuple[str, ...] = ()
        self._n_sent_fleet_loads = 0
        self._sent_evidence_revision = 0
        self._sent_limits_revision = 0
        self._last_sent_at_ms = float("-inf")

    async def close(self, reason: Failure) -> None:
        """Close the connection."""
        await self._channel.close(reason)

    def get_heartbeat_wait_ms(self, now_ms: float) -> float:
        """Return the time until a message to this subscriber is due."""
        return max(0.0, self._last_sent_at_ms + HEARTBEAT_MS - now_ms)

    async def send_updates(self, state: PublishedState, now_ms: float) -> None:
        """Send what has changed, and a heartbeat if one is due."""
        if self.role in ("entry", "gateway"):
            await self._send_keeper_addrs(state.keeper_addrs, now_ms)
        if self.role in ("agent", "entry"):
            await self._send_catalogue(state.catalogue, now_ms)
        if self.role == "entry":
            await self._send_evidence(state.evidence, now_ms)
            await self._send_limits(state.limits, now_ms)
            await self._send_document(state, now_ms)
            await self.send_servers(state.feed, now_ms)
        if not self.get_heartbeat_wait_ms(now_ms):
            await self._send(Ack(state.catalogue.revision), now_ms)

    async def _send_catalogue(self, catalogue: Catalogue, now_ms: float) -> None:
        """Send the entries that changed since the last call."""
        if catalogue.revision == self._sent_catalogue_revision:
            return
        full = self._sent_catalogue_revision < 0
        entries = catalogue.entries
        changed = tuple(
            orjson.dumps(entry_to_json(entry))
            for entry in entries.values()
            if entry.revision > self._sent_catalogue_revision
        )
        deleted = tuple(self._sent_entry_names - entries.keys())
        self._sent_entry_names = set(entries)
        self._sent_catalogue_revision = catalogue.revision
        update = CatalogueUpdate(catalogue.revision, full, changed, deleted)
        await self._send(update, now_ms)

    async def _send_document(self, state: PublishedState, now_ms: float) -> None:
        """Send the document of routes when a newer one is in force."""
        if state.document_version > self._sent_document_version:
            self._sent_document_version = state.document_version
            await self._send_frame(state.document_frame, now_ms)

    async def _send_evidence(self, evidence: EvidenceRelay, now_ms: float) -> None:
        """Send what entries have seen of the ends of servers since the last call."""
        if evidence.revision > self._sent_evidence_revision:
            update = evidence.build_update(self._sent_evidence_revision, now_ms)
            self._sent_evidence_revision = evidence.revision
            await self._send(update, now_ms)

    async def _send_limits(self, limits: ServerLimitTable, now_ms: float) -> None:
        """Send the limits of servers that have changed since the last call."""
        if limits.revision > self._sent_limits_revision:
            update = limits.build_update(self._sent_limits_revision, now_ms)
            self._sent_limits_revision = limits.revision
            await self._send(update, now_ms)

    async def _send_keeper_addrs(self, addrs: tuple[str, ...], now_ms: float) -> None:
        """Send the addresses of the keepers when they have changed."""
        if addrs != self._sent_keeper_addrs:
            self._sent_keeper_addrs = addrs
            await self._send(KeepersUpdate(addrs), now_ms)

    async def send_servers(self, feed: RoutingFeed, now_ms: float) -> None:
        """Send the servers that changed, then the engines' load.

        `FleetLoad` states the age of the list that the servers come from. If an
        entry received it before the servers, the entry would route by the servers
        that it was sent before, or by none. Entries also learn a server's load from
        each of its answers, so a change that concerns only load is sent at most
        once each `LOAD_INTERVAL_MS`.
        """
        place = _find_entry_place(feed.entry_ids, self.peer_id)
        if place != self._sent_place:
            self._sent_place = place
            await self._send(place, now_ms)
        includes_load = now_ms >= self._load_sent_at_ms + LOAD_INTERVAL_MS
        if feed.needs_routing_update(self._sent_revisions, includes_load):
            frame, self._sent_revisions = feed.get_routing_frame(
                self._sent_revisions, includes_load
            )
            if includes_load:
                self._load_sent_at_ms = now_ms
            await self._send_frame(frame, now_ms)
        if (
            feed.fleet_load is not None
            and feed.n_fleet_loads != self._n_sent_fleet_loads
        ):
            self._n_sent_fleet_loads = feed.n_fleet_loads
            await self._send_frame(feed.fleet_load_frame, now_ms)

    async def send_assignment(self, assignment: Assignment, now_ms: float) -> None:
        """Send the assignment if it differs from the one sent last."""
        if assignment == self._sent_assignment:
            return
        self._sent_assignment = assignment
        await self._send(assignment, now_ms)

    async def _send(self, value: Any, now_ms: float) -> None:
        await self._send_frame(encode_frame(value), now_ms)

    async def _send_frame(self, frame: bytes, now_ms: float) -> None:
        self._last_sent_at_ms = now_ms
        await self._channel.send_frame(frame)


def _find_entry_place(entry_ids: Sequence[str], entry_id: str) -> EntryPlace:
    """Return the number of live entries and the rank of one among them.

    An entry that has not reported yet counts as one more, with the last rank.
    """
    if entry_id in entry_ids:
        return EntryPlace(len(entry_ids), entry_ids.index(entry_id))
    return EntryPlace(len(entry_ids) + 1, len(entry_ids))
