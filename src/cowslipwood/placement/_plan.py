"""The inputs and the result of a placement round."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..catalogue import Entry, EntryKind
from ..kernel.messages import DesiredModel

__all__ = ["Plan", "ServerState", "first_fit"]


class ServerState(NamedTuple):
    """One backend server as placement sees it.

    Parameters
    ----------
    server_id, zone : str
    capacity_bytes : int
    desired : tuple of DesiredModel
        What it is assigned now.
    leaving : bool
    """

    server_id: str
    zone: str
    capacity_bytes: int
    desired: tuple[DesiredModel, ...]
    leaving: bool


class Plan(NamedTuple):
    """What each backend server is to hold.

    Parameters
    ----------
    desired : dict of str to tuple of DesiredModel
        By server; servers without a change may be left out.
    """

    desired: dict[str, tuple[DesiredModel, ...]]


def as_desired(entry: Entry) -> DesiredModel:
    """Return the assignment item for an entry."""
    return DesiredModel(
        entry.name, entry.version, entry.kind.value, entry.base, entry.memory_bytes
    )


def first_fit(entries: Mapping[str, Entry], servers: Sequence[ServerState]) -> Plan:
    """Place every model once, on the first server with room."""
    desired: dict[str, tuple[DesiredModel, ...]] = {}
    models = [e for e in entries.values() if e.kind is not EntryKind.SERVICE]
    wanted = {as_desired(entry) for entry in models}
    for server in servers:
        kept = tuple(item for item in server.desired if item in wanted)
        desired[server.server_id] = () if server.leaving else kept
    placed = {item for items in desired.values() for item in items}
    for entry in sorted(models, key=lambda e: (e.kind is EntryKind.ADAPTER, e.name)):
        item = as_desired(entry)
        if item not in placed:
            _place(item, servers, desired)
    return Plan(desired)


def _place(
    item: DesiredModel,
    servers: Sequence[ServerState],
    desired: dict[str, tuple[DesiredModel, ...]],
) -> None:
    for server in servers:
        held = desired[server.server_id]
        if server.leaving:
            continue
        if item.base and item.base not in {other.name for other in held}:
            continue
        used_bytes = sum(other.memory_bytes for other in held)
        if used_bytes + item.memory_bytes <= server.capacity_bytes:
            desired[server.server_id] = (*held, item)
            return
