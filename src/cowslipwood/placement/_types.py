"""The inputs and the result of a placement round."""

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..catalogue import Entry, EntryKind
from ..kernel.messages import DesiredModel

__all__ = [
    "ModelKey",
    "PlacementRequest",
    "Plan",
    "ServerState",
    "ServerStatus",
    "as_desired",
    "key_of",
    "wanted_models",
]


class ModelKey(NamedTuple):
    """A model or adapter in one version."""

    name: str
    version: str


class ServerStatus(enum.StrEnum):
    """How far placement may rely on a backend server."""

    LIVE = "live"
    SILENT = "silent"
    LEAVING = "leaving"


class ServerState(NamedTuple):
    """One backend server as placement sees it.

    Parameters
    ----------
    server_id, zone : str
    status : ServerStatus
        A silent server keeps its models and gets none; a leaving one keeps
        each model only until it is ready elsewhere.
    capacity_bytes : int
    knee_in_flight : int
        Requests served at full speed at once; 0 when unknown.
    assigned : tuple of DesiredModel
        What the newest committed assignment names.
    ready : frozenset of ModelKey
        What the agent last reported ready.
    confirmed : bool
        Whether that report answers the newest assignment; one that answers an
        older one may show a model ready that is about to be released.
    settled : frozenset of str
        Names held for at least the minimum residence time.
    overdue : frozenset of str
        Names assigned long ago that never became ready.
    unassigned_bytes : int
        Memory that the engine still holds, or may yet take, for models that
        are not assigned.
    """

    server_id: str
    zone: str
    status: ServerStatus
    capacity_bytes: int
    knee_in_flight: int
    assigned: tuple[DesiredModel, ...]
    ready: frozenset[ModelKey] = frozenset()
    confirmed: bool = True
    settled: frozenset[str] = frozenset()
    overdue: frozenset[str] = frozenset()
    unassigned_bytes: int = 0


class PlacementRequest(NamedTuple):
    """All that a placement policy decides from.

    Parameters
    ----------
    entries : mapping of str to Entry
        The catalogue.
    servers : sequence of ServerState
        Backend servers that are not known to be gone.
    demand : mapping of str to float
        Estimated requests in flight that callers offer, by name.
    waiting_s : mapping of str to float
        For how long requests have met no ready replica, by name.
    move_weight : float
        Requests in flight that one move must bring within their limits.
    max_pending : int
        Loads that may be under way at once.
    """

    entries: Mapping[str, Entry]
    servers: Sequence[ServerState]
    demand: Mapping[str, float] = {}
    waiting_s: Mapping[str, float] = {}
    move_weight: float = 0.5
    max_pending: int = 16


class Plan(NamedTuple):
    """What each backend server is to hold next.

    Parameters
    ----------
    desired : dict of str to tuple of DesiredModel
        By server; only servers whose assignment changes.
    left_out : tuple of str
        Names without a replica because memory is short.
    given_up : tuple of str
        Names whose last replica was released for a name in more demand.
    """

    desired: dict[str, tuple[DesiredModel, ...]]
    left_out: tuple[str, ...] = ()
    given_up: tuple[str, ...] = ()


def as_desired(entry: Entry) -> DesiredModel:
    """Return the assignment item for an entry."""
    return DesiredModel(
        entry.name, entry.version, entry.kind.value, entry.base, entry.memory_bytes
    )


def key_of(item: DesiredModel) -> ModelKey:
    """Return an assignment item's name and version."""
    return ModelKey(item.name, item.version)


def wanted_models(entries: Mapping[str, Entry]) -> dict[str, DesiredModel]:
    """Return the assignment item of each model and adapter in the catalogue."""
    return {
        entry.name: as_desired(entry)
        for entry in entries.values()
        if entry.kind is not EntryKind.SERVICE
    }
