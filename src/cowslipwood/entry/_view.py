"""What an entry knows of the catalogue and the backend servers."""

from ..catalogue import Entry, entry_from_json
from ..kernel.messages import CatalogueUpdate, RoutingUpdate, ServerView

__all__ = ["View"]


class View:
    """The catalogue and routing views, kept up to date by the keepers."""

    def __init__(self):
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.servers: dict[str, ServerView] = {}

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

    def update_routing(self, update: RoutingUpdate) -> None:
        """Apply a full or partial list of backend servers."""
        if update.full:
            self.servers.clear()
        for server in update.servers:
            self.servers[server.server_id] = server
        for server_id in update.removed:
            self.servers.pop(server_id, None)

    def candidates(self, entry: Entry) -> list[ServerView]:
        """Return the backend servers that can serve an entry now."""
        key = f"{entry.name}@{entry.version}"
        return [
            server
            for server in self.servers.values()
            if not server.leaving
            and (key in server.ready or server.service_name == entry.name)
        ]
