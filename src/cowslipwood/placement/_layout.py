"""A working copy of the assignments, with the invariants that every policy keeps.

A policy edits the assignments only through `Layout`. No server is assigned more models
than fit into its memory, no adapter is assigned without its base, and the last ready
replica of a name in the catalogue is kept until another one is ready, unless the policy
gives that name up.
"""

from collections.abc import Callable, Iterator

from ..kernel.messages import DesiredModel
from ._types import (
    ModelKey,
    PlacementRequest,
    Plan,
    ServerState,
    ServerStatus,
    catalogued_models,
    key_of,
)

__all__ = ["Layout"]


class Layout:
    """The assignments during one placement round, and the load expected from them.

    A name stands for a model or an adapter of the catalogue. A replica of a name is a
    server that is assigned the catalogue's version and is not leaving.

    Parameters
    ----------
    request : PlacementRequest

    Attributes
    ----------
    demand : mapping of str to float
        Estimated requests in flight that callers offer, by name.
    catalogued : dict of str to DesiredModel
        Models and adapters of the catalogue, by name.
    servers : dict of str to ServerState
        Servers by id, as they were before the round.
    replicas : dict of str to set of str
        Ids of the servers that are replicas, by name.
    adapters_by_base : dict of str to list of str
        Names of the catalogue's adapters, by the name of their base.
    expected_load : dict of str to float
        Requests in flight expected on each server, by id.
    n_pending_loads : int
        Loads in progress.
    given_up : list of str
        Names that were released without another ready replica.
    """

    def __init__(self, request: PlacementRequest):
        self.demand = request.demand
        self.catalogued = catalogued_models(request.entries)
        self._catalogued_keys = {
            name: key_of(model) for name, model in self.catalogued.items()
        }
        self.servers = {server.server_id: server for server in request.servers}
        self.replicas: dict[str, set[str]] = {name: set() for name in self.catalogued}
        self.adapters_by_base: dict[str, list[str]] = {}
        for model in self.catalogued.values():
            if model.base:
                self.adapters_by_base.setdefault(model.base, []).append(model.name)
        self.expected_load = {server.server_id: 0.0 for server in request.servers}
        self.given_up: list[str] = []
        self._ready_replicas: dict[str, set[str]] = {
            name: set() for name in self.catalogued
        }
        self._assigned = {
            server.server_id: {key_of(model): model for model in server.assigned}
            for server in request.servers
        }
        self._used_bytes = {
            server_id: sum(model.memory_bytes for model in assigned.values())
            for server_id, assigned in self._assigned.items()
        }
        for server in request.servers:
            self._index_replicas(server)
        for name, replicas in self.replicas.items():
            self._share_load(name, replicas, 1)
        self.n_pending_loads = sum(1 for _ in self._pending_models())
        for server in request.servers:
            self._release_surplus(server)
            self._fit_to_capacity(server)

    def _index_replicas(self, server: ServerState) -> None:
        if server.status is ServerStatus.LEAVING:
            return
        assigned = self._assigned[server.server_id]
        for model in assigned.values():
            if model.name in server.overdue_names or not self._is_current(
                model, assigned
            ):
                continue
            self.replicas[model.name].add(server.server_id)
            is_report_trusted = (
                server.status is ServerStatus.LIVE and server.is_report_current
            )
            if is_report_trusted and key_of(model) in server.ready:
                self._ready_replicas[model.name].add(server.server_id)

    def _is_current(self, model: DesiredModel, assigned: dict) -> bool:
        """Return whether a model has the catalogue's version and its base beside it."""
        if self.catalogued.get(model.name) != model:
            return False
        return not model.base or self.catalogued_key(model.base) in assigned

    def _pending_models(self) -> Iterator[DesiredModel]:
        for server_id, server in self.servers.items():
            if server.status is not ServerStatus.LIVE:
                continue
            for key, model in self._assigned[server_id].items():
                if key not in server.ready and model.name not in server.overdue_names:
                    yield model

    def _release_surplus(self, server: ServerState) -> None:
        """Release models that are not in the catalogue or have been replaced.

        A model has been replaced when it has an old version or its server is leaving,
        and another replica of its name is ready.
        """
        if server.status is ServerStatus.SILENT:
            return
        assigned = self._assigned[server.server_id]
        for model in sorted(
            assigned.values(), key=lambda model: (not model.base, model.name)
        ):
            is_replica = server.server_id in self.replicas.get(model.name, ())
            if is_replica and self.catalogued[model.name] == model:
                continue
            if self._is_superseded(model) and not self._is_needed_by_adapter(
                server.server_id, model
            ):
                self._remove(server.server_id, key_of(model))

    def _is_superseded(self, model: DesiredModel) -> bool:
        return model.name not in self.catalogued or bool(
            self._ready_replicas[model.name]
        )

    def _is_needed_by_adapter(self, server_id: str, base: DesiredModel) -> bool:
        assigned = self._assigned[server_id]
        if sum(1 for model in assigned.values() if model.name == base.name) > 1:
            return False
        return any(model.base == base.name for model in assigned.values())

    def _fit_to_capacity(self, server: ServerState) -> None:
        """Release the models in least demand while a server's capacity is exceeded.

        Capacity can be exceeded when the server has reported less memory than before.
        Models that are not ready are released first.
        """
        if server.status is ServerStatus.SILENT or not server.capacity_bytes:
            return
        assigned = self._assigned[server.server_id]
        release_order = sorted(
            assigned.values(),
            key=lambda model: (
                key_of(model) in server.ready,
                self.demand.get(model.name, 0.0),
                not model.base,
                model.name,
            ),
        )
        for model in release_order:
            if self._used_bytes[server.server_id] <= server.capacity_bytes:
                return
            if key_of(model) in assigned:
                self.release_with_adapters(server.server_id, key_of(model))

    def catalogued_key(self, name: str) -> ModelKey | None:
        """Return the catalogue's key for a name; None when the name is not in it."""
        return self._catalogued_keys.get(name)

    def assignable_servers(self) -> list[ServerState]:
        """Return the servers that may be assigned more models, in order of id."""
        return [
            server
            for _, server in sorted(self.servers.items())
            if server.status is ServerStatus.LIVE and server.capacity_bytes
        ]

    def free_bytes(self, server_id: str) -> int:
        """Return a server's memory that is neither assigned nor otherwise in use."""
        server = self.servers[server_id]
        taken_bytes = self._used_bytes[server_id] + server.unassigned_bytes
        return server.capacity_bytes - taken_bytes

    def assigned_models(self, server_id: str) -> list[DesiredModel]:
        """Return the models that a server is assigned."""
        return list(self._assigned[server_id].values())

    def assigned_keys(self, server_id: str) -> set[ModelKey]:
        """Return the keys of the models that a server is assigned."""
        return set(self._assigned[server_id])

    def n_ready_replicas(self, name: str) -> int:
        """Return how many replicas of a name are known to be ready."""
        return len(self._ready_replicas[name])

    def n_adapters_of(self, server_id: str, base: str) -> int:
        """Return how many adapters of a base a server is assigned."""
        if base not in self.adapters_by_base:
            return 0
        assigned = self._assigned[server_id]
        return sum(1 for model in assigned.values() if model.base == base)

    def is_assigned(self, server_id: str, name: str) -> bool:
        """Return whether a server is assigned the catalogue's version of a name."""
        return self._catalogued_keys[name] in self._assigned[server_id]

    def missing_models(self, server_id: str, name: str) -> list[DesiredModel]:
        """Return the models that a server needs to serve a name, the base first."""
        model = self.catalogued[name]
        assigned = self._assigned[server_id]
        keys = self._catalogued_keys
        missing_models = [] if keys[name] in assigned else [model]
        if model.base and keys[model.base] not in assigned:
            missing_models.insert(0, self.catalogued[model.base])
        return missing_models

    def replica_zones(self, name: str) -> set[str]:
        """Return the availability zones of a name's replicas."""
        return {self.servers[server_id].zone for server_id in self.replicas[name]}

    def assign(self, server_id: str, name: str) -> bool:
        """Assign a name and, when needed, its base; return whether they fit."""
        missing_models = self.missing_models(server_id, name)
        needed_bytes = sum(model.memory_bytes for model in missing_models)
        if needed_bytes > self.free_bytes(server_id):
            return False
        for model in missing_models:
            self._assigned[server_id][key_of(model)] = model
            self._used_bytes[server_id] += model.memory_bytes
            self._change_replicas(model.name, server_id, self.replicas[model.name].add)
            self.n_pending_loads += 1
        return True

    def models_released_with(self, server_id: str, key: ModelKey) -> list[DesiredModel]:
        """Return a model and, before it, the adapters that need it as their base."""
        assigned = self._assigned[server_id]
        model = assigned[key]
        if model.base or not self._is_needed_by_adapter(server_id, model):
            return [model]
        return [other for other in assigned.values() if other.base == model.name] + [
            model
        ]

    def can_release(self, server_id: str, model: DesiredModel) -> bool:
        """Return whether a model's name has a ready replica on another server.

        A model whose name is not in the catalogue can always be released.
        """
        if model.name not in self.catalogued:
            return True
        return bool(self._ready_replicas[model.name] - {server_id})

    def release_with_adapters(self, server_id: str, key: ModelKey) -> None:
        """Release a model and the adapters that need it.

        A name among them that has no other ready replica is given up.
        """
        for model in self.models_released_with(server_id, key):
            self._release_model(server_id, model)

    def replace_version(self, server_id: str, name: str) -> bool:
        """Replace old versions of a name by the catalogue's, when that one fits."""
        new_model = self.catalogued[name]
        assigned = self._assigned[server_id]
        old_models = [
            model
            for model in assigned.values()
            if model.name == name and model != new_model
        ]
        freed_bytes = sum(model.memory_bytes for model in old_models)
        if (
            not old_models
            or self.free_bytes(server_id) + freed_bytes < new_model.memory_bytes
        ):
            return False
        for model in old_models:
            self._release_model(server_id, model)
        return self.assign(server_id, name)

    def _release_model(self, server_id: str, model: DesiredModel) -> None:
        if not self.can_release(server_id, model):
            self.given_up.append(model.name)
        self._remove(server_id, key_of(model))

    def _remove(self, server_id: str, key: ModelKey) -> None:
        model = self._assigned[server_id].pop(key)
        self._used_bytes[server_id] -= model.memory_bytes
        server = self.servers[server_id]
        if server.status is ServerStatus.LIVE and key not in server.ready:
            self.n_pending_loads -= model.name not in server.overdue_names
        if self.catalogued.get(model.name) == model:
            self._change_replicas(
                model.name, server_id, self.replicas[model.name].discard
            )
            self._ready_replicas[model.name].discard(server_id)

    def _change_replicas(
        self, name: str, server_id: str, change: Callable[[str], None]
    ) -> None:
        replicas = self.replicas[name]
        self._share_load(name, replicas, -1)
        change(server_id)
        self._share_load(name, replicas, 1)

    def _share_load(self, name: str, replicas: set[str], sign: int) -> None:
        demand = self.demand.get(name, 0.0)
        if not demand:
            return
        for server_id in replicas:
            self.expected_load[server_id] += sign * demand / len(replicas)

    def make_plan(self) -> Plan:
        """Return the changed assignments, the unplaced and the given up names."""
        desired = {}
        for server_id, server in self.servers.items():
            assigned = tuple(self._assigned[server_id].values())
            if assigned != server.assigned:
                desired[server_id] = assigned
        unplaced = sorted(
            name for name, replicas in self.replicas.items() if not replicas
        )
        given_up = sorted(set(self.given_up))
        return Plan(desired, tuple(unplaced), tuple(given_up))
