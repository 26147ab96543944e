"""Makes typed records from JSON values, checked field by field."""

import enum
import functools
import types
import typing
from typing import Any

__all__ = ["FieldError", "decode_record", "encode_record"]


class FieldError(ValueError):
    """A field is missing or has a value of another type; the message names it."""


def decode_record(record: type, value: Any, where: str = "") -> Any:
    """Return a ``NamedTuple`` filled from a JSON object.

    Unknown fields are ignored, so that a newer writer can add some.

    Parameters
    ----------
    record : type
        ``NamedTuple`` class; fields without a default are required.
    value : object
        Parsed JSON.
    where : str
        Path of the value, for the error.

    Raises
    ------
    FieldError
        When a field is missing or of another type.
    """
    if not isinstance(value, dict):
        raise FieldError(f"{where or 'document'}: expected an object")
    fields = {}
    for name, hint in _hints(record).items():
        place = f"{where}.{name}" if where else name
        if name in value:
            fields[name] = _decode(hint, value[name], place)
        elif name not in record._field_defaults:
            raise FieldError(f"{place}: missing")
    return record(**fields)


def encode_record(value: Any) -> Any:
    """Return the JSON value of a record; the inverse of `decode_record`."""
    if hasattr(value, "_asdict"):
        return {name: encode_record(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple):
        return [encode_record(item) for item in value]
    return value


@functools.cache
def _hints(record: type) -> dict[str, Any]:
    return typing.get_type_hints(record)


def _decode(hint: Any, value: Any, where: str) -> Any:
    if isinstance(hint, types.GenericAlias):
        if not isinstance(value, list):
            raise FieldError(f"{where}: expected a list")
        item = hint.__args__[0]
        return tuple(_decode(item, one, f"{where}[{i}]") for i, one in enumerate(value))
    if isinstance(hint, types.UnionType):
        return None if value is None else _decode(hint.__args__[0], value, where)
    if hasattr(hint, "_fields"):
        return decode_record(hint, value, where)
    return _scalar(hint, value, where)


def _scalar(hint: type, value: Any, where: str) -> Any:
    if issubclass(hint, enum.Enum):
        try:
            return hint(value)
        except ValueError:
            known = ", ".join(member.value for member in hint)
            raise FieldError(f"{where}: expected one of {known}") from None
    if hint is float and type(value) is int:
        return float(value)
    if type(value) is not hint:
        raise FieldError(f"{where}: expected {hint.__name__}, got {value!r:.40}")
    return value
