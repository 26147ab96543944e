"""A working copy of the assignments that keeps them safe while a policy edits it.

Whatever a policy does, no server is assigned more than its memory, no adapter
is without its base, and the last ready replica of a catalogued name stays until
another is ready, unless the policy gives it up by name.
"""

from collections.abc import Callable, Iterator

from ..kernel.messages import DesiredModel
from ._types import (
    ModelKey,
    PlacementRequest,
    Plan,
    ServerState,
    ServerStatus,
    key_of,
    wanted_models,
)

__all__ = ["Layout"]


class Layout:
    """The assignments of one round, with what each server is expected to bear.

    Parameters
    ----------
    request : PlacementRequest

    Attributes
    ----------
    wanted : dict of str to DesiredModel
        What the catalogue names, by name.
    homes : dict of str to set of str
        Servers that hold the wanted version and stay, by name.
    adapters_of : dict of str to list of str
        Wanted adapters by their base.
    load : dict of str to float
        Requests in flight expected on each server.
    n_pending : int
        Loads under way.
    given_up : list of str
        Names whose last replica was released.
    """

    def __init__(self, request: PlacementRequest):
        self.demand = request.demand
        self.wanted = wanted_models(request.entries)
        self._wanted_keys = {name: key_of(item) for name, item in self.wanted.items()}
        self.servers = {s.server_id: s for s in request.servers}
        self.homes: dict[str, set[str]] = {name: set() for name in self.wanted}
        self.adapters_of: dict[str, list[str]] = {}
        for item in self.wanted.values():
            if item.base:
                self.adapters_of.setdefault(item.base, []).append(item.name)
        self.load = {s.server_id: 0.0 for s in request.servers}
        self.given_up: list[str] = []
        self._ready_homes: dict[str, set[str]] = {name: set() for name in self.wanted}
        self._held = {
            s.server_id: {key_of(item): item for item in s.assigned}
            for s in request.servers
        }
        self._used_bytes = {
            server_id: sum(item.memory_bytes for item in held.values())
            for server_id, held in self._held.items()
        }
        for server in request.servers:
            self._find_homes(server)
        for name, homes in self.homes.items():
            self._spread_load(name, homes, 1)
        self.n_pending = sum(1 for _ in self._pending())
        for server in request.servers:
            self._release_surplus(server)
            self._fit_to_capacity(server)

    def _find_homes(self, server: ServerState) -> None:
        if server.status is ServerStatus.LEAVING:
            return
        held = self._held[server.server_id]
        for item in held.values():
            if item.name in server.overdue or not self._is_served(item, held):
                continue
            self.homes[item.name].add(server.server_id)
            is_live = server.status is ServerStatus.LIVE and server.confirmed
            if is_live and key_of(item) in server.ready:
                self._ready_homes[item.name].add(server.server_id)

    def _is_served(self, item: DesiredModel, held: dict) -> bool:
        """Return whether a held item is of the wanted version, with its base."""
        if self.wanted.get(item.name) != item:
            return False
        return not item.base or self.wanted_key(item.base) in held

    def _pending(self) -> Iterator[DesiredModel]:
        for server_id, server in self.servers.items():
            if server.status is not ServerStatus.LIVE:
                continue
            for key, item in self._held[server_id].items():
                if key not in server.ready and item.name not in server.overdue:
                    yield item

    def _release_surplus(self, server: ServerState) -> None:
        """Release what the catalogue or the server's leaving makes superfluous."""
        if server.status is ServerStatus.SILENT:
            return
        held = self._held[server.server_id]
        for item in sorted(held.values(), key=lambda item: (not item.base, item.name)):
            is_home = server.server_id in self.homes.get(item.name, ())
            if is_home and self.wanted[item.name] == item:
                continue
            if self._is_replaced(item) and not self._bears_adapter(
                server.server_id, item
            ):
                self._drop(server.server_id, key_of(item))

    def _is_replaced(self, item: DesiredModel) -> bool:
        return item.name not in self.wanted or bool(self._ready_homes[item.name])

    def _bears_adapter(self, server_id: str, base: DesiredModel) -> bool:
        held = self._held[server_id]
        if sum(1 for item in held.values() if item.name == base.name) > 1:
            return False
        return any(item.base == base.name for item in held.values())

    def _fit_to_capacity(self, server: ServerState) -> None:
        """Release the least demanded items of a server that shrank."""
        if server.status is ServerStatus.SILENT or not server.capacity_bytes:
            return
        held = self._held[server.server_id]
        order = sorted(
            held.values(),
            key=lambda item: (
                key_of(item) in server.ready,
                self.demand.get(item.name, 0.0),
                not item.base,
                item.name,
            ),
        )
        for item in order:
            if self._used_bytes[server.server_id] <= server.capacity_bytes:
                return
            if key_of(item) in held:
                self.release_unit(server.server_id, key_of(item))

    def wanted_key(self, name: str) -> ModelKey | None:
        """Return the catalogue's key for a name; None when it has none."""
        return self._wanted_keys.get(name)

    def open_servers(self) -> list[ServerState]:
        """Return the servers that may be given more, in order of name."""
        return [
            server
            for _, server in sorted(self.servers.items())
            if server.status is ServerStatus.LIVE and server.capacity_bytes
        ]

    def free_bytes(self, server_id: str) -> int:
        """Return the memory that no assignment takes."""
        server = self.servers[server_id]
        taken_bytes = self._used_bytes[server_id] + server.unassigned_bytes
        return server.capacity_bytes - taken_bytes

    def held(self, server_id: str) -> list[DesiredModel]:
        """Return what a server is assigned."""
        return list(self._held[server_id].values())

    def keys_of(self, server_id: str) -> set[ModelKey]:
        """Return the keys of what a server is assigned."""
        return set(self._held[server_id])

    def n_ready(self, name: str) -> int:
        """Return how many replicas of a name are known to be ready."""
        return len(self._ready_homes[name])

    def n_adapters_of(self, server_id: str, base: str) -> int:
        """Return how many adapters of a base a server is assigned."""
        if base not in self.adapters_of:
            return 0
        held = self._held[server_id]
        return sum(1 for item in held.values() if item.base == base)

    def holds(self, server_id: str, name: str) -> bool:
        """Return whether a server is assigned the wanted version of a name."""
        return self._wanted_keys[name] in self._held[server_id]

    def missing_parts(self, server_id: str, name: str) -> list[DesiredModel]:
        """Return what a server lacks to serve a name, the base first."""
        item = self.wanted[name]
        held = self._held[server_id]
        keys = self._wanted_keys
        missing = [] if keys[name] in held else [item]
        if item.base and keys[item.base] not in held:
            missing.insert(0, self.wanted[item.base])
        return missing

    def zones_of(self, name: str) -> set[str]:
        """Return the availability zones of a name's replicas."""
        return {self.servers[server_id].zone for server_id in self.homes[name]}

    def add(self, server_id: str, name: str) -> bool:
        """Assign a name and, when needed, its base; False when they do not fit."""
        parts = self.missing_parts(server_id, name)
        needed_bytes = sum(part.memory_bytes for part in parts)
        if needed_bytes > self.free_bytes(server_id):
            return False
        for part in parts:
            self._held[server_id][key_of(part)] = part
            self._used_bytes[server_id] += part.memory_bytes
            self._move_home(part.name, server_id, self.homes[part.name].add)
            self.n_pending += 1
        return True

    def unit(self, server_id: str, key: ModelKey) -> list[DesiredModel]:
        """Return an item and the adapters that could not stay without it."""
        held = self._held[server_id]
        item = held[key]
        if item.base or not self._bears_adapter(server_id, item):
            return [item]
        return [other for other in held.values() if other.base == item.name] + [item]

    def may_release(self, server_id: str, item: DesiredModel) -> bool:
        """Return whether another replica of the name is ready and stays."""
        if item.name not in self.wanted:
            return True
        return bool(self._ready_homes[item.name] - {server_id})

    def release_unit(self, server_id: str, key: ModelKey) -> None:
        """Release an item with its adapters, giving up last replicas among them."""
        for item in self.unit(server_id, key):
            self._release(server_id, item)

    def replace_version(self, server_id: str, name: str) -> bool:
        """Put the wanted version in the place of an old one, when it fits."""
        wanted = self.wanted[name]
        held = self._held[server_id]
        old = [item for item in held.values() if item.name == name and item != wanted]
        freed_bytes = sum(item.memory_bytes for item in old)
        if not old or self.free_bytes(server_id) + freed_bytes < wanted.memory_bytes:
            return False
        for item in old:
            self._release(server_id, item)
        return self.add(server_id, name)

    def _release(self, server_id: str, item: DesiredModel) -> None:
        if not self.may_release(server_id, item):
            self.given_up.append(item.name)
        self._drop(server_id, key_of(item))

    def _drop(self, server_id: str, key: ModelKey) -> None:
        item = self._held[server_id].pop(key)
        self._used_bytes[server_id] -= item.memory_bytes
        server = self.servers[server_id]
        if server.status is ServerStatus.LIVE and key not in server.ready:
            self.n_pending -= item.name not in server.overdue
        if self.wanted.get(item.name) == item:
            self._move_home(item.name, server_id, self.homes[item.name].discard)
            self._ready_homes[item.name].discard(server_id)

    def _move_home(
        self, name: str, server_id: str, change: Callable[[str], None]
    ) -> None:
        homes = self.homes[name]
        self._spread_load(name, homes, -1)
        change(server_id)
        self._spread_load(name, homes, 1)

    def _spread_load(self, name: str, homes: set[str], sign: int) -> None:
        demand = self.demand.get(name, 0.0)
        if not demand:
            return
        for server_id in homes:
            self.load[server_id] += sign * demand / len(homes)

    def plan(self) -> Plan:
        """Return what changed, what has no replica and what was given up."""
        desired = {}
        for server_id, server in self.servers.items():
            held = tuple(self._held[server_id].values())
            if held != server.assigned:
                desired[server_id] = held
        left_out = sorted(name for name, homes in self.homes.items() if not homes)
        given_up = sorted(set(self.given_up))
        return Plan(desired, tuple(left_out), tuple(given_up))
