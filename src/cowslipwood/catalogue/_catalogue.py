"""The catalogue and the effect of an edit on it.

Every keeper applies the same edits in the same order and must get the same result,
so nothing here reads a clock or draws a random number.
"""

import enum
from typing import Any, NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ._entry import CatalogueEntry, EntryKind, entry_to_json, parse_entry

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

# Largest number of catalogue entries.
MAX_ENTRIES = 20_000
# Number of newest accepted edits that the history keeps.
MAX_HISTORY = 2_000
# Number of newest edit ids whose results are kept, to recognise a resent edit.
MAX_EDIT_IDS = 50_000
# Expected revision of an edit that applies to any revision of its entry.
ANY_REVISION = -1


class EditOp(enum.StrEnum):
    """Operation of an edit."""

    PUT = "put"
    DELETE = "delete"


class Edit(NamedTuple):
    """One edit that an operator sent.

    Parameters
    ----------
    edit_id : str
        Chosen by the operator; a repeated id gets the same answer again.
    op : EditOp
    name : str
    entry : CatalogueEntry or None
        The new entry of a put.
    expect_revision : int
        Revision of the entry that the edit is based on; 0 for a new entry,
        ``ANY_REVISION`` to accept any revision.
    operator : str
    wall_ms : int
        Wall-clock time at which the leader accepted the edit, for the history.
    """

    edit_id: str
    op: EditOp
    name: str
    entry: CatalogueEntry | None
    expect_revision: int
    operator: str
    wall_ms: int


class EditResult(NamedTuple):
    """Result of an accepted edit.

    Parameters
    ----------
    revision : int
        Catalogue revision from which on the edit applies.
    fingerprint : str
        Text of the edit, which distinguishes a resent edit from a different edit
        with the same id.
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
    """All entries, the recent history and the results of recent edit ids.

    `apply_edit` changes the collections in place; only one task may call it.
    """

    entries: dict[str, CatalogueEntry]
    history: list[HistoryItem]
    edit_results: dict[str, EditResult]
    adapter_names_by_base: dict[str, set[str]]

    @property
    def revision(self) -> int:
        """Revision of the newest accepted edit; 0 before the first edit."""
        return self.history[-1].revision if self.history else 0


def empty_catalogue() -> Catalogue:
    """Return a catalogue without entries."""
    return Catalogue({}, [], {}, {})


def apply_edit(
    catalogue: Catalogue, edit: Edit, max_memory_bytes: int
) -> Result[EditResult, Failure]:
    """Apply one edit; a refused edit changes nothing.

    Parameters
    ----------
    catalogue : Catalogue
    edit : Edit
    max_memory_bytes : int
        Memory of the largest accelerator; 0 while none is known.

    Returns
    -------
    Result of EditResult, Failure
        Fails with EDIT_ID_REUSED, NO_SUCH_ENTRY, REVISION_CONFLICT,
        BASE_MISSING, BASE_IN_USE, MODEL_TOO_LARGE or CATALOGUE_FULL.
    """
    fingerprint = _compute_fingerprint(edit)
    earlier_result = catalogue.edit_results.get(edit.edit_id)
    if earlier_result is not None:
        if earlier_result.fingerprint == fingerprint:
            return Success(earlier_result)
        return Err(failure(Code.EDIT_ID_REUSED))
    refusal = _check_edit(catalogue, edit, max_memory_bytes)
    if refusal is not None:
        return Err(refusal)
    revision = catalogue.revision + 1
    _store_edit(catalogue, edit, revision)
    result = EditResult(revision, fingerprint)
    catalogue.edit_results[edit.edit_id] = result
    catalogue.history.append(
        HistoryItem(
            revision, edit.op, edit.name, edit.operator, edit.edit_id, edit.wall_ms
        )
    )
    _trim_history(catalogue)
    return Success(result)


def _compute_fingerprint(edit: Edit) -> str:
    entry = edit.entry._replace(revision=0) if edit.entry else None
    return repr((edit.op.value, edit.name, entry, edit.expect_revision))


def _check_edit(
    catalogue: Catalogue, edit: Edit, max_memory_bytes: int
) -> Failure | None:
    current = catalogue.entries.get(edit.name)
    current_revision = current.revision if current else 0
    if edit.expect_revision not in (ANY_REVISION, current_revision):
        return failure(
            Code.REVISION_CONFLICT,
            f"{edit.name} is at revision {current_revision}, not "
            f"{edit.expect_revision}; read it and edit again",
        )
    if edit.op is EditOp.DELETE:
        return _check_delete(catalogue, edit.name)
    return _check_put(catalogue, edit.entry, max_memory_bytes)


def _check_delete(catalogue: Catalogue, name: str) -> Failure | None:
    if name not in catalogue.entries:
        return failure(Code.NO_SUCH_ENTRY, f"no entry named {name}")
    adapter_names = catalogue.adapter_names_by_base.get(name)
    if adapter_names:
        shown = ", ".join(sorted(adapter_names)[:5])
        return failure(Code.BASE_IN_USE, f"{name} is the base of {shown}; delete those")
    return None


def _check_put(
    catalogue: Catalogue, entry: CatalogueEntry, max_memory_bytes: int
) -> Failure | None:
    current = catalogue.entries.get(entry.name)
    if current is None and len(catalogue.entries) >= MAX_ENTRIES:
        return failure(Code.CATALOGUE_FULL, f"at most {MAX_ENTRIES} entries")
    if current is not None and current.kind is not entry.kind:
        return failure(
            Code.BAD_VALUE, f"kind: {entry.name} is a {current.kind} already"
        )
    needed_bytes = entry.memory_bytes
    if entry.kind is EntryKind.ADAPTER:
        base = catalogue.entries.get(entry.base)
        if base is None or base.kind is not EntryKind.MODEL:
            return failure(
                Code.BASE_MISSING, f"base: no model named {entry.base}; put it first"
            )
        needed_bytes += base.memory_bytes
    else:
        needed_bytes += _find_largest_adapter_bytes(catalogue, entry.name)
    if max_memory_bytes and needed_bytes > max_memory_bytes:
        return failure(
            Code.MODEL_TOO_LARGE,
            f"memory_bytes: needs {needed_bytes}, the largest accelerator has "
            f"{max_memory_bytes}",
        )
    return None


def _find_largest_adapter_bytes(catalogue: Catalogue, base: str) -> int:
    adapter_names = catalogue.adapter_names_by_base.get(base, ())
    return max(
        (catalogue.entries[name].memory_bytes for name in adapter_names), default=0
    )


def _store_edit(catalogue: Catalogue, edit: Edit, revision: int) -> None:
    current = catalogue.entries.pop(edit.name, None)
    if current is not None and current.base:
        _remove_adapter(catalogue, current)
    if edit.op is EditOp.DELETE:
        return
    entry = edit.entry._replace(revision=revision)
    catalogue.entries[edit.name] = entry
    if entry.base:
        catalogue.adapter_names_by_base.setdefault(entry.base, set()).add(edit.name)


def _remove_adapter(catalogue: Catalogue, adapter: CatalogueEntry) -> None:
    adapter_names = catalogue.adapter_names_by_base[adapter.base]
    adapter_names.discard(adapter.name)
    if not adapter_names:
        del catalogue.adapter_names_by_base[adapter.base]


def _trim_history(catalogue: Catalogue) -> None:
    if len(catalogue.history) > MAX_HISTORY:
        del catalogue.history[: len(catalogue.history) - MAX_HISTORY]
    while len(catalogue.edit_results) > MAX_EDIT_IDS:
        del catalogue.edit_results[next(iter(catalogue.edit_results))]


def catalogue_to_json(catalogue: Catalogue) -> dict[str, Any]:
    """Return the JSON value of the catalogue that a snapshot stores."""
    return {
        "entries": [entry_to_json(entry) for entry in catalogue.entries.values()],
        "history": [list(item) for item in catalogue.history],
        "edit_results": {key: list(r) for key, r in catalogue.edit_results.items()},
    }


def catalogue_from_json(value: dict[str, Any]) -> Catalogue:
    """Return the catalogue that a snapshot stored.

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
            catalogue.adapter_names_by_base.setdefault(entry.base, set()).add(
                entry.name
            )
    catalogue.history.extend(HistoryItem(*item) for item in value["history"])
    for key, item in value["edit_results"].items():
        catalogue.edit_results[key] = EditResult(*item)
    return catalogue
