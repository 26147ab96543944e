"""Catalogue of models, adapters and services: entries, their checks, and edits."""

from ._catalogue import (
    Catalogue,
    Edit,
    EditOp,
    EditResult,
    HistoryItem,
    apply_edit,
    catalogue_from_json,
    catalogue_to_json,
    empty_catalogue,
)
from ._entry import (
    CatalogueEntry,
    EntryKind,
    Limits,
    ServiceClass,
    entry_from_json,
    entry_to_json,
    parse_entry,
)

__all__ = [
    "Catalogue",
    "CatalogueEntry",
    "Edit",
    "EditOp",
    "EditResult",
    "EntryKind",
    "HistoryItem",
    "Limits",
    "ServiceClass",
    "apply_edit",
    "catalogue_from_json",
    "catalogue_to_json",
    "empty_catalogue",
    "entry_from_json",
    "entry_to_json",
    "parse_entry",
]
