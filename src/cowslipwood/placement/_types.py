"""The input and the result of a placement round."""

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..catalogue import CatalogueEntry, EntryKind
from ..kernel.messages import DesiredModel

__all__ = [
    "ModelKey",
    "PlacementRequest",
    "Plan",
    "ServerState",
    "ServerStatus",
    "desired_model",
    "key_of",
    "catalogued_models",
]


class ModelKey(NamedTuple):
    """A model or adapter in one version."""

    name: str
    version: str


class ServerStatus(enum.StrEnum):
    """What placement may do with a server: give it models, count its replicas."""

    LIVE = "live"
    SILENT = "silent"
    LEAVING = "leaving"


class ServerState(NamedTuple):
    """One backend server as placement sees it.

    Parameters
    ----------
    server_id, zone : str
    status : ServerStatus
        A silent server keeps its models and gets no others. A leaving server keeps
        each model only until it is ready on another server.
    capacity_bytes : int
    knee_in_flight : int
        Requests served at full speed at once; 0 when unknown.
    assigned : tuple of DesiredModel
        Models in the newest committed assignment.
    ready : frozenset of ModelKey
        Models that are ready according to the agent's last report.
    is_report_current : bool
        Whether that report refers to the newest assignment. A report that refers to
        an older one may list as ready a model that is about to be released.
    past_min_residence : frozenset of str
        Names that the server has held for at least the minimum residence time.
    overdue_names : frozenset of str
        Names assigned long ago that have not become ready.
    unassigned_bytes : int
        Memory that the engine still uses, or may yet use, for models that are not
        assigned.
    """

    server_id: str
    zone: str
    status: ServerStatus
    capacity_bytes: int
    knee_in_flight: int
    assigned: tuple[DesiredModel, ...]
    ready: frozenset[ModelKey] = frozenset()
    is_report_current: bool = True
    past_min_residence: frozenset[str] = frozenset()
    overdue_names: frozenset[str] = frozenset()
    unassigned_bytes: int = 0


class PlacementRequest(NamedTuple):
    """The input of a placement policy.

    Parameters
    ----------
    entries : mapping of str to CatalogueEntry
        The catalogue.
    servers : sequence of ServerState
        Backend servers that are not known to be gone.
    demand : mapping of str to float
        Estimated requests in flight that callers offer, by name.
    unserved_s : mapping of str to float
        Seconds for which a name in demand has had no replica, by name.
    move_weight : float
        Cost, in requests in flight, of each model that a move loads or releases. A
        move must bring more requests than its cost within their limits.
    max_pending_loads : int
        Loads that may be in progress at the same time.
    """

    entries: Mapping[str, CatalogueEntry]
    servers: Sequence[ServerState]
    demand: Mapping[str, float] = {}
    unserved_s: Mapping[str, float] = {}
    move_weight: float = 0.5
    max_pending_loads: int = 16


class Plan(NamedTuple):
    """The result of a placement policy.

    Parameters
    ----------
    desired : dict of str to tuple of DesiredModel
        New assignment by server, for the servers whose assignment changes.
    unplaced : tuple of str
        Names that no server is assigned, because memory or loads are limited.
    given_up : tuple of str
        Names that were released without another ready replica, for example for a
        name in more demand.
    """

    desired: dict[str, tuple[DesiredModel, ...]]
    unplaced: tuple[str, ...] = ()
    given_up: tuple[str, ...] = ()


def desired_model(entry: CatalogueEntry) -> DesiredModel:
    """Return a catalogue entry as a model of an assignment."""
    return DesiredModel(
        entry.name, entry.version, entry.kind.value, entry.base, entry.memory_bytes
    )


def key_of(model: DesiredModel) -> ModelKey:
    """Return the key of a model in an assignment."""
    return ModelKey(model.name, model.version)


def catalogued_models(entries: Mapping[str, CatalogueEntry]) -> dict[str, DesiredModel]:
    """Return each model and adapter of the catalogue by its name."""
    return {
        entry.name: desired_model(entry)
        for entry in entries.values()
        if entry.kind is not EntryKind.SERVICE
    }
