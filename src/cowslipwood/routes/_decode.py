"""Conversion between JSON values and typed records, checked field by field."""

import enum
import functools
import types
import typing
from typing import Any

__all__ = ["FieldError", "record_from_json", "record_to_json"]

# Largest integer up to which a float holds every integer exactly.
MAX_EXACT_INTEGER = 2**53


class FieldError(ValueError):
    """Raised for a missing field or a value of a wrong type; names the field."""


def record_from_json(record: type, value: Any, value_path: str = "") -> Any:
    """Return a ``NamedTuple`` with the values of a JSON object.

    Unknown fields are ignored, so that a newer writer can add fields.

    Parameters
    ----------
    record : type
        ``NamedTuple`` class; fields without a default are required.
    value : object
        Parsed JSON.
    value_path : str
        Path of the value in the document, for error messages.

    Raises
    ------
    FieldError
        When a field is missing or has a value of a wrong type.
    """
    if not isinstance(value, dict):
        raise FieldError(f"{value_path or 'document'}: expected an object")
    fields = {}
    for name, expected_type in _get_field_types(record).items():
        field_path = f"{value_path}.{name}" if value_path else name
        if name in value:
            fields[name] = _decode_value(expected_type, value[name], field_path)
        elif name not in record._field_defaults:
            raise FieldError(f"{field_path}: missing")
    return record(**fields)


def record_to_json(value: Any) -> Any:
    """Return the JSON value of a record; the inverse of `record_from_json`."""
    if hasattr(value, "_asdict"):
        return {name: record_to_json(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple):
        return [record_to_json(item) for item in value]
    return value


@functools.cache
def _get_field_types(record: type) -> dict[str, Any]:
    return typing.get_type_hints(record)


def _decode_value(expected_type: Any, value: Any, value_path: str) -> Any:
    if isinstance(expected_type, types.GenericAlias):
        if not isinstance(value, list):
            raise FieldError(f"{value_path}: expected a list")
        item_type = expected_type.__args__[0]
        return tuple(
            _decode_value(item_type, item, f"{value_path}[{index}]")
            for index, item in enumerate(value)
        )
    if isinstance(expected_type, types.UnionType):
        return (
            None
            if value is None
            else _decode_value(expected_type.__args__[0], value, value_path)
        )
    if hasattr(expected_type, "_fields"):
        return record_from_json(expected_type, value, value_path)
    return _decode_scalar(expected_type, value, value_path)


def _is_exact_integer(value: float) -> bool:
    """Return whether a number is whole and not rounded; JSON has one type for both."""
    return value.is_integer() and abs(value) <= MAX_EXACT_INTEGER


def _decode_scalar(expected_type: type, value: Any, value_path: str) -> Any:
    if issubclass(expected_type, enum.Enum):
        try:
            return expected_type(value)
        except ValueError:
            allowed = ", ".join(member.value for member in expected_type)
            raise FieldError(f"{value_path}: expected one of {allowed}") from None
    if expected_type is float and type(value) is int:
        return float(value)
    if expected_type is int and type(value) is float and _is_exact_integer(value):
        return int(value)
    if type(value) is not expected_type:
        # The value may be a key, which must not get into answers and logs.
        raise FieldError(
            f"{value_path}: expected {expected_type.__name__}, "
            f"got {type(value).__name__}"
        )
    return value
