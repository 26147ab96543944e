"""An entry's copy of the catalogue, and its index of backend servers."""

import bisect

from ...catalogue import CatalogueEntry, EntryKind, entry_from_json
from ...kernel.messages import CatalogueUpdate, RoutingUpdate, ServerView
from ...listing import service_key
from ._backend import Backend, model_key
from ._ewma import Ewma

__all__ = ["FleetView", "make_entry_key"]

# Time in milliseconds after which a server that full lists leave out is removed.
UNLISTED_GRACE_MS = 3_000.0
# Time in milliseconds without a message of the keepers after which the view is stale.
STALE_VIEW_MS = 3_000.0
# Weight of a new report in the typical load, from 0 to 1.
TYPICAL_LOAD_WEIGHT = 0.02


def make_entry_key(entry: CatalogueEntry) -> str:
    """Return the key under which the servers of a catalogue entry are indexed."""
    if entry.kind is EntryKind.SERVICE:
        return service_key(entry.name)
    return model_key(entry.name, entry.version)


def _keys_of_server(view: ServerView) -> set[str]:
    keys = set(view.ready)
    if view.service_name:
        keys.add(service_key(view.service_name))
    return keys


class FleetView:
    """The catalogue, and the backend servers indexed by what they can serve.

    The servers of each key are sorted by the hash of their ids, so that a choice by
    hash finds its position by bisection.

    Attributes
    ----------
    revision : int
        Revision of the catalogue.
    knows_catalogue : bool
        Whether a keeper has sent the catalogue. Until then, nothing is known about
        which models and services exist.
    entries : dict of str to CatalogueEntry
        Catalogue entries by name.
    backends : dict of str to Backend
        Backend servers by id.
    keeper_message_at_ms : float
        Time of the last message from the keepers.
    typical_others_load_share : Ewma
        Other entries' requests on a server, as a share of its knee.
    """

    def __init__(self):
        self.revision = 0
        self.knows_catalogue = False
        self.entries: dict[str, CatalogueEntry] = {}
        self.backends: dict[str, Backend] = {}
        self.keeper_message_at_ms = 0.0
        self.typical_others_load_share = Ewma(TYPICAL_LOAD_WEIGHT)
        self._backends_by_key: dict[str, list[Backend]] = {}
        # Removed servers that had asked for a pause, which may be listed again in it.
        self._paused_backends: dict[str, Backend] = {}

    def update_catalogue(self, update: CatalogueUpdate) -> None:
        """Apply a full or partial catalogue; ignore one of an older revision."""
        if update.revision < self.revision:
            return
        if update.full:
            self.entries.clear()
        for data in update.entries:
            entry = entry_from_json(data)
            self.entries[entry.name] = entry
        for name in update.deleted:
            self.entries.pop(name, None)
        self.revision = update.revision
        self.knows_catalogue = True

    def update_routing(self, update: RoutingUpdate, now_ms: float) -> None:
        """Apply a full or partial list of backend servers.

        A server that a full list leaves out is kept for a short time, because a
        keeper that has just become leader may not have received the server's report
        yet.
        """
        if update.full:
            listed_ids = {server.server_id for server in update.servers}
            self._mark_unlisted(listed_ids, now_ms)
        for server in update.servers:
            self._update_server(server, now_ms)
        for server_id in update.removed:
            self._remove_server(server_id, now_ms)

    def drop_unlisted(self, now_ms: float) -> None:
        """Remove the servers that have been left out of full lists for too long."""
        for server_id, backend in list(self.backends.items()):
            unlisted_since_ms = backend.unlisted_since_ms
            if unlisted_since_ms and now_ms - unlisted_since_ms > UNLISTED_GRACE_MS:
                self._remove_server(server_id, now_ms)

    def is_stale(self, now_ms: float) -> bool:
        """Return whether there has been no message from the keepers for too long."""
        return now_ms - self.keeper_message_at_ms > STALE_VIEW_MS

    def candidates(self, key: str) -> list[Backend]:
        """Return the servers that list a key, in the order of their id hashes."""
        return self._backends_by_key.get(key, [])

    def _mark_unlisted(self, listed_ids: set[str], now_ms: float) -> None:
        for server_id, backend in self.backends.items():
            if server_id not in listed_ids and not backend.unlisted_since_ms:
                backend.unlisted_since_ms = now_ms

    def _update_server(self, server: ServerView, now_ms: float) -> None:
        backend = self.backends.get(server.server_id)
        if backend is None:
            backend = self.backends[server.server_id] = Backend(server, now_ms)
            paused = self._paused_backends.pop(server.server_id, None)
            if paused and paused.view.incarnation == server.incarnation:
                backend.hold_off(paused.held_off_until_ms, paused.held_off_at_ms)
            self._add_to_index(backend, _keys_of_server(server))
            return
        old_keys = _keys_of_server(backend.view)
        new_keys = _keys_of_server(server)
        backend.update_view(server, now_ms)
        if old_keys != new_keys:
            self._remove_from_index(backend, old_keys - new_keys)
            self._add_to_index(backend, new_keys - old_keys)

    def _remove_server(self, server_id: str, now_ms: float) -> None:
        backend = self.backends.pop(server_id, None)
        if backend is None:
            return
        self._remove_from_index(backend, _keys_of_server(backend.view))
        self._paused_backends = {
            paused_id: paused
            for paused_id, paused in self._paused_backends.items()
            if paused.held_off_until_ms > now_ms
        }
        if backend.held_off_until_ms > now_ms:
            self._paused_backends[server_id] = backend

    def _add_to_index(self, backend: Backend, keys: set[str]) -> None:
        for key in keys:
            backends_of_key = self._backends_by_key.setdefault(key, [])
            bisect.insort(
                backends_of_key, backend, key=lambda candidate: candidate.id_hash
            )

    def _remove_from_index(self, backend: Backend, keys: set[str]) -> None:
        for key in keys:
            backends_of_key = self._backends_by_key[key]
            backends_of_key.remove(backend)
            if not backends_of_key:
                del self._backends_by_key[key]
