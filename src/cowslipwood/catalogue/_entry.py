"""Catalogue entries and the checks on their fields."""

import enum
import re
from collections.abc import Mapping
from typing import Any, NamedTuple

import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure

__all__ = [
    "CatalogueEntry",
    "EntryKind",
    "Limits",
    "ServiceClass",
    "entry_from_json",
    "entry_to_json",
    "parse_entry",
]

# Longest name, owner or version, in characters.
MAX_NAME_CHARS = 128
# Largest memory size that an entry may state, in bytes.
MAX_MEMORY_BYTES = 2**50
# Longest time limit that an entry may state, in ms: 24 hours.
MAX_LIMIT_MS = 24 * 3_600_000
# Largest number of requests, in flight or per second, that an entry may state.
MAX_LIMIT_COUNT = 1_000_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]*\Z")


class EntryKind(enum.StrEnum):
    """Kind of thing that a catalogue entry describes."""

    MODEL = "model"
    ADAPTER = "adapter"
    SERVICE = "service"


class ServiceClass(enum.StrEnum):
    """Urgency of an entry's requests: urgent before standard before batch."""

    URGENT = "urgent"
    STANDARD = "standard"
    BATCH = "batch"


class Limits(NamedTuple):
    """Limits of an entry; 0 means no limit.

    Parameters
    ----------
    first_token_ms : int
        Time to the first token, or to the whole answer of a service.
    between_tokens_ms : int
        Time between two successive tokens.
    answer_ms : int
        Time to the end of the answer.
    max_in_flight : int
        Requests served at the same time, summed over all entry hosts.
    rate_per_s : float
        Requests accepted per second, summed over all entry hosts.
    """

    first_token_ms: int = 0
    between_tokens_ms: int = 0
    answer_ms: int = 0
    max_in_flight: int = 0
    rate_per_s: float = 0.0


class CatalogueEntry(NamedTuple):
    """One catalogue entry.

    Parameters
    ----------
    name : str
    kind : EntryKind
    base : str
        The base model of an adapter; empty otherwise.
    owner : str
    service_class : ServiceClass
        Field ``class`` in JSON.
    version : str
    memory_bytes : int
        Accelerator memory that the model or adapter needs; 0 for a service.
    limits : Limits
    repeatable : bool
        Whether running a request twice does no harm.
    revision : int
        Catalogue revision at which the entry last changed; set when the edit is
        accepted.
    """

    name: str
    kind: EntryKind
    base: str
    owner: str
    service_class: ServiceClass
    version: str
    memory_bytes: int
    limits: Limits
    repeatable: bool
    revision: int = 0


_REQUIRED_FIELDS = ("name", "kind", "owner", "version")
_KNOWN_FIELDS = (
    *_REQUIRED_FIELDS,
    "base",
    "class",
    "memory_bytes",
    "limits",
    "repeatable",
    "revision",
)


def parse_entry(value: Any) -> Result[CatalogueEntry, Failure]:
    """Check a JSON value and return the entry.

    Fails with BAD_VALUE, MISSING_FIELD or UNKNOWN_FIELD, each naming the field.
    """
    if not isinstance(value, Mapping):
        return Err(failure(Code.BAD_VALUE, "expected a JSON object"))
    for field in value:
        if field not in _KNOWN_FIELDS:
            known_fields = ", ".join(_KNOWN_FIELDS)
            return Err(failure(Code.UNKNOWN_FIELD, f"{field!r}; known: {known_fields}"))
    for field in _REQUIRED_FIELDS:
        if field not in value:
            return Err(failure(Code.MISSING_FIELD, f"{field!r} is missing"))
    try:
        return Success(_build_entry(value))
    except _BadValueError as exc:
        return Err(failure(Code.BAD_VALUE, str(exc)))


class _BadValueError(ValueError):
    """A field's value is not allowed."""

    def __init__(self, field: str, expected: str, got: Any):
        super().__init__(f"{field}: expected {expected}, got {str(got)[:80]!r}")


def _build_entry(value: Mapping[str, Any]) -> CatalogueEntry:
    kind = _read_choice(value, "kind", EntryKind, None)
    base = _read_name(value, "base", "") if value.get("base") else ""
    if (kind is EntryKind.ADAPTER) != bool(base):
        raise _BadValueError("base", "a name exactly when kind is adapter", base)
    memory_bytes = _read_integer(value, "memory_bytes", MAX_MEMORY_BYTES)
    if (kind is EntryKind.SERVICE) == bool(memory_bytes):
        expected = "0 for a service, otherwise more than 0"
        raise _BadValueError("memory_bytes", expected, memory_bytes)
    repeatable = value.get("repeatable", True)
    if not isinstance(repeatable, bool):
        raise _BadValueError("repeatable", "true or false", repeatable)
    return CatalogueEntry(
        name=_read_name(value, "name", None),
        kind=kind,
        base=base,
        owner=_read_name(value, "owner", None),
        service_class=_read_choice(value, "class", ServiceClass, ServiceClass.STANDARD),
        version=_read_name(value, "version", None),
        memory_bytes=memory_bytes,
        limits=_read_limits(value.get("limits", {})),
        repeatable=repeatable,
        revision=_read_integer(value, "revision", 2**63 - 1),
    )


def _read_name(value: Mapping[str, Any], field: str, default: str | None) -> str:
    text = value.get(field, default)
    if not isinstance(text, str) or not _NAME.match(text):
        raise _BadValueError(field, "letters, digits and . _ : -", text)
    if len(text) > MAX_NAME_CHARS:
        raise _BadValueError(field, f"at most {MAX_NAME_CHARS} characters", text)
    return text


def _read_choice(
    value: Mapping[str, Any], field: str, choices: type, default: Any
) -> Any:
    try:
        return choices(value.get(field, default))
    except ValueError:
        raise _BadValueError(
            field, "one of " + ", ".join(choices), value.get(field)
        ) from None


def _read_integer(value: Mapping[str, Any], field: str, maximum: int) -> int:
    number = value.get(field, 0)
    if isinstance(number, bool) or not isinstance(number, int):
        raise _BadValueError(field, "a whole number", number)
    if not 0 <= number <= maximum:
        raise _BadValueError(field, f"0 to {maximum}", number)
    return number


def _read_limits(value: Any) -> Limits:
    if not isinstance(value, Mapping):
        raise _BadValueError("limits", "a JSON object", value)
    for field in value:
        if field not in Limits._fields:
            known_fields = ", ".join(Limits._fields)
            raise _BadValueError(f"limits.{field}", f"one of {known_fields}", field)
    rate_per_s = value.get("rate_per_s", 0)
    if isinstance(rate_per_s, bool) or not isinstance(rate_per_s, int | float):
        raise _BadValueError("limits.rate_per_s", "a number", rate_per_s)
    if not 0 <= rate_per_s <= MAX_LIMIT_COUNT:
        raise _BadValueError("limits.rate_per_s", f"0 to {MAX_LIMIT_COUNT}", rate_per_s)
    return Limits(
        first_token_ms=_read_integer(value, "first_token_ms", MAX_LIMIT_MS),
        between_tokens_ms=_read_integer(value, "between_tokens_ms", MAX_LIMIT_MS),
        answer_ms=_read_integer(value, "answer_ms", MAX_LIMIT_MS),
        max_in_flight=_read_integer(value, "max_in_flight", MAX_LIMIT_COUNT),
        rate_per_s=float(rate_per_s),
    )


def entry_to_json(entry: CatalogueEntry) -> dict[str, Any]:
    """Return the JSON value of an entry; `parse_entry` reads it back."""
    value = entry._asdict()
    value["class"] = value.pop("service_class")
    value["limits"] = entry.limits._asdict()
    return value


def entry_from_json(data: bytes) -> CatalogueEntry:
    """Return the entry in the JSON bytes that the keepers sent.

    Raises
    ------
    ValueError
        When the bytes are not a valid entry.
    """
    parsed = parse_entry(orjson.loads(data))
    if isinstance(parsed, Err):
        raise ValueError(parsed.failure().message)
    return parsed.unwrap()
