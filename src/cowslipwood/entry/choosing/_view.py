"""What an entry knows of the catalogue and the backend servers."""

import bisect

from ...catalogue import Entry, EntryKind, entry_from_json
from ...kernel.messages import CatalogueUpdate, RoutingUpdate, ServerView
from ...listing import service_key
from ._backend import Backend, model_key
from ._ewma import Ewma

__all__ = ["View", "entry_key"]

UNLISTED_GRACE_MS = 3_000.0
STALE_VIEW_MS = 3_000.0
TYPICAL_WEIGHT = 0.02


def entry_key(entry: Entry) -> str:
    """Return the key under which the servers of an entry are found."""
    if entry.kind is EntryKind.SERVICE:
        return service_key(entry.name)
    return model_key(entry.name, entry.version)


def _server_keys(view: ServerView) -> set[str]:
    keys = set(view.ready)
    if view.service_name:
        keys.add(service_key(view.service_name))
    return keys


class View:
    """The catalogue and the backend servers by what they can serve.

    `knows_catalogue` is false until a keeper has told the catalogue; until then
    nothing can be said of what there is.

    The servers of each key are kept in the order of their seeds, so that a
    choice by hash finds its place without looking at them all.
    """

    def __init__(self):
        self.revision = 0
        self.knows_catalogue = False
        self.entries: dict[str, Entry] = {}
        self.backends: dict[str, Backend] = {}
        self.reported_at_ms = 0.0
        self.typical_load = Ewma(TYPICAL_WEIGHT)
        self._by_key: dict[str, list[Backend]] = {}

    def update_catalogue(self, update: CatalogueUpdate) -> None:
        """Apply a full or partial catalogue; an older one is dropped."""
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

        A server that a full list leaves out is kept for a short time: a keeper
        that has just taken the lead may not have heard from it yet.
        """
        if update.full:
            listed = {server.server_id for server in update.servers}
            self._mark_unlisted(listed, now_ms)
        for server in update.servers:
            self._put(server, now_ms)
        for server_id in update.removed:
            self._drop(server_id)

    def drop_unlisted(self, now_ms: float) -> None:
        """Drop the servers that have been left out for too long."""
        for server_id, backend in list(self.backends.items()):
            marked = backend.unlisted_at_ms
            if marked and now_ms - marked > UNLISTED_GRACE_MS:
                self._drop(server_id)

    def is_stale(self, now_ms: float) -> bool:
        """Return whether the keepers have been silent for too long."""
        return now_ms - self.reported_at_ms > STALE_VIEW_MS

    def candidates(self, key: str) -> list[Backend]:
        """Return the servers that list a key, in the order of their seeds."""
        return self._by_key.get(key, [])

    def _mark_unlisted(self, listed: set[str], now_ms: float) -> None:
        for server_id, backend in self.backends.items():
            if server_id not in listed and not backend.unlisted_at_ms:
                backend.unlisted_at_ms = now_ms

    def _put(self, server: ServerView, now_ms: float) -> None:
        backend = self.backends.get(server.server_id)
        if backend is None:
            backend = self.backends[server.server_id] = Backend(server, now_ms)
            self._index(backend, _server_keys(server))
            return
        old_keys = _server_keys(backend.view)
        new_keys = _server_keys(server)
        backend.update_view(server, now_ms)
        if old_keys != new_keys:
            self._unindex(backend, old_keys - new_keys)
            self._index(backend, new_keys - old_keys)

    def _drop(self, server_id: str) -> None:
        backend = self.backends.pop(server_id, None)
        if backend is not None:
            self._unindex(backend, _server_keys(backend.view))

    def _index(self, backend: Backend, keys: set[str]) -> None:
        for key in keys:
            held = self._by_key.setdefault(key, [])
            bisect.insort(held, backend, key=lambda each: each.seed)

    def _unindex(self, backend: Backend, keys: set[str]) -> None:
        for key in keys:
            held = self._by_key[key]
            held.remove(backend)
            if not held:
                del self._by_key[key]
