"""The catalogue and the deterministic effect of an edit on it.

Every keeper applies the same edits in the same order, so nothing here reads a
clock or draws a random number.
"""

import enum
from typing import Any, NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ._entry import Entry, EntryKind, entry_to_json, parse_entry

__all__ = [
    "Catalogue",
    "Edit",
    "EditOp",
    "EditResult",
    "HistoryItem",
    "apply_edit",
    "catalogue_from_json",
    "catalogue_to_json",
    "empty_catalogue",
]

MAX_ENTRIES = 20_000
MAX_HISTORY = 2_000
MAX_EDIT_IDS = 50_000
ANY_REVISION = -1


class EditOp(enum.StrEnum):
    """What an edit does."""

    PUT = "put"
    DELETE = "delete"


class Edit(NamedTuple):
    """One edit as an operator sent it.

    Parameters
    ----------
    edit_id : str
        Chosen by the operator; the same id again gets the same answer.
    op : EditOp
    name : str
    entry : Entry or None
        The new entry of a put.
    expect_revision : int
        The entry's revision that the edit was based on, 0 for a new entry,
        ``ANY_REVISION`` for no expectation.
    operator : str
    wall_ms : int
        When the leader accepted it, for the history.
    """

    edit_id: str
    op: EditOp
    name: str
    entry: Entry | None
    expect_revision: int
    operator: str
    wall_ms: int


class EditResult(NamedTuple):
    """What an accepted edit did.

    Parameters
    ----------
    revision : int
        Catalogue revision at which the edit is in force.
    fingerprint : str
        Tells a resend from another edit under the same id.
    """

    revision: int
    fingerprint: str


class HistoryItem(NamedTuple):
    """One accepted edit in the history."""

    revision: int
    op: str
    name: str
    operator: str
    edit_id: str
    wall_ms: int


class Catalogue(NamedTuple):
    """All entries, the recent history and the answers to recent edit ids.

    The dictionaries are changed in place by `apply_edit`, by one task only.
    """

    entries: dict[str, Entry]
    history: list[HistoryItem]
    edit_results: dict[str, EditResult]
    adapters_of: dict[str, set[str]]

    @property
    def revision(self) -> int:
        """Revision of the newest accepted edit; 0 before the first."""
        return self.history[-1].revision if self.history else 0


def empty_catalogue() -> Catalogue:
    """Return a catalogue without entries."""
    return Catalogue({}, [], {}, {})


def apply_edit(
    catalogue: Catalogue, edit: Edit, max_memory_bytes: int
) -> Result[EditResult, Failure]:
    """Apply one edit; a refusal changes nothing.

    Parameters
    ----------
    catalogue : Catalogue
    edit : Edit
    max_memory_bytes : int
        Capacity of the largest accelerator; 0 while none is known.

    Returns
    -------
    Result of EditResult, Failure
        Fails with EDIT_ID_REUSED, NO_SUCH_ENTRY, REVISION_CONFLICT,
        BASE_MISSING, BASE_IN_USE, MODEL_TOO_LARGE or CATALOGUE_FULL.
    """
    fingerprint = _fingerprint(edit)
    earlier = catalogue.edit_results.get(edit.edit_id)
    if earlier is not None:
        if earlier.fingerprint == fingerprint:
            return Success(earlier)
        return Err(failure(Code.EDIT_ID_REUSED))
    fault = _refusal(catalogue, edit, max_memory_bytes)
    if fault is not None:
        return Err(fault)
    revision = catalogue.revision + 1
    _change(catalogue, edit, revision)
    result = EditResult(revision, fingerprint)
    catalogue.edit_results[edit.edit_id] = result
    catalogue.history.append(
        HistoryItem(
            revision, edit.op, edit.name, edit.operator, edit.edit_id, edit.wall_ms
        )
    )
    _trim(catalogue)
    return Success(result)


def _fingerprint(edit: Edit) -> str:
    entry = edit.entry._replace(revision=0) if edit.entry else None
    return repr((edit.op.value, edit.name, entry, edit.expect_revision))


def _refusal(catalogue: Catalogue, edit: Edit, max_memory_bytes: int) -> Failure | None:
    held = catalogue.entries.get(edit.name)
    held_revision = held.revision if held else 0
    if edit.expect_revision not in (ANY_REVISION, held_revision):
        return failure(
            Code.REVISION_CONFLICT,
            f"{edit.name} is at revision {held_revision}, not "
            f"{edit.expect_revision}; read it and edit again",
        )
    if edit.op is EditOp.DELETE:
        return _delete_refusal(catalogue, edit.name)
    return _put_refusal(catalogue, edit.entry, max_memory_bytes)


def _delete_refusal(catalogue: Catalogue, name: str) -> Failure | None:
    if name not in catalogue.entries:
        return failure(Code.NO_SUCH_ENTRY, f"no entry named {name}")
    users = catalogue.adapters_of.get(name)
    if users:
        shown = ", ".join(sorted(users)[:5])
        return failure(Code.BASE_IN_USE, f"{name} is the base of {shown}; delete those")
    return None


def _put_refusal(
    catalogue: Catalogue, entry: Entry, max_memory_bytes: int
) -> Failure | None:
    held = catalogue.entries.get(entry.name)
    if held is None and len(catalogue.entries) >= MAX_ENTRIES:
        return failure(Code.CATALOGUE_FULL, f"at most {MAX_ENTRIES} entries")
    if held is not None and held.kind is not entry.kind:
        return failure(Code.BAD_VALUE, f"kind: {entry.name} is a {held.kind} already")
    needed_bytes = entry.memory_bytes
    if entry.kind is EntryKind.ADAPTER:
        base = catalogue.entries.get(entry.base)
        if base is None or base.kind is not EntryKind.MODEL:
            return failure(
                Code.BASE_MISSING, f"base: no model named {entry.base}; put it first"
            )
        needed_bytes += base.memory_bytes
    else:
        needed_bytes += _largest_adapter_bytes(catalogue, entry.name)
    if max_memory_bytes and needed_bytes > max_memory_bytes:
        return failure(
            Code.MODEL_TOO_LARGE,
            f"memory_bytes: needs {needed_bytes}, the largest accelerator has "
            f"{max_memory_bytes}",
        )
    return None


def _largest_adapter_bytes(catalogue: Catalogue, base: str) -> int:
    names = catalogue.adapters_of.get(base, ())
    return max((catalogue.entries[name].memory_bytes for name in names), default=0)


def _change(catalogue: Catalogue, edit: Edit, revision: int) -> None:
    held = catalogue.entries.pop(edit.name, None)
    if held is not None and held.base:
        _forget_adapter(catalogue, held)
    if edit.op is EditOp.DELETE:
        return
    entry = edit.entry._replace(revision=revision)
    catalogue.entries[edit.name] = entry
    if entry.base:
        catalogue.adapters_of.setdefault(entry.base, set()).add(edit.name)


def _forget_adapter(catalogue: Catalogue, adapter: Entry) -> None:
    names = catalogue.adapters_of[adapter.base]
    names.discard(adapter.name)
    if not names:
        del catalogue.adapters_of[adapter.base]


def _trim(catalogue: Catalogue) -> None:
    if len(catalogue.history) > MAX_HISTORY:
        del catalogue.history[: len(catalogue.history) - MAX_HISTORY]
    while len(catalogue.edit_results) > MAX_EDIT_IDS:
        del catalogue.edit_results[next(iter(catalogue.edit_results))]


def catalogue_to_json(catalogue: Catalogue) -> dict[str, Any]:
    """Return the JSON value that a snapshot keeps."""
    return {
        "entries": [entry_to_json(entry) for entry in catalogue.entries.values()],
        "history": [list(item) for item in catalogue.history],
        "edit_results": {key: list(r) for key, r in catalogue.edit_results.items()},
    }


def catalogue_from_json(value: dict[str, Any]) -> Catalogue:
    """Return the catalogue that a snapshot kept.

    Raises
    ------
    ValueError
        When an entry in the snapshot is not valid.
    """
    catalogue = empty_catalogue()
    for item in value["entries"]:
        parsed = parse_entry(item)
        if isinstance(parsed, Err):
            raise ValueError(parsed.failure().message)
        entry = parsed.unwrap()
        catalogue.entries[entry.name] = entry
        if entry.base:
            catalogue.adapters_of.setdefault(entry.base, set()).add(entry.name)
    catalogue.history.extend(HistoryItem(*item) for item in value["history"])
    for key, item in value["edit_results"].items():
        catalogue.edit_results[key] = EditResult(*item)
    return catalogue
