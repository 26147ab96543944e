"""Messages between processes: typed records, encoded with Cap'n Proto.

A message is a ``NamedTuple`` registered with `message`; its fields stand in a
schema of the same name in camel case. A frame on the connection is a length, a
version and a checksum, then an ``Envelope`` record.
"""

import functools
import struct
import types
import typing
import zlib
from collections.abc import Callable
from importlib import resources
from typing import Any, NamedTuple

import capnp
from returns.result import Failure as Err
from returns.result import Result, Success

from .codes import Code, Failure, failure

__all__ = [
    "FRAME_HEADER",
    "MAX_FRAME_BYTES",
    "WIRE_VERSION",
    "Envelope",
    "decode_frame_header",
    "decode_message",
    "decode_record",
    "encode_frame",
    "encode_record",
    "message",
    "payload_intact",
]

WIRE_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
FRAME_HEADER = struct.Struct("!IHI")
_TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES
_DECODE_ERRORS = (capnp.KjException, ValueError, KeyError, UnicodeDecodeError)


class Envelope(NamedTuple):
    """The outer record.

    Parameters
    ----------
    id : int
        Request number on the connection; 0 for a one-way message.
    reply_to : int
        The id this answers; 0 when it answers none.
    kind : str
        Registered name of the message in `payload`.
    payload : bytes
    """

    id: int
    reply_to: int
    kind: str
    payload: bytes


class _Codec(NamedTuple):
    record: type
    struct_type: Any
    fields: tuple[tuple[str, str, Callable[[Any], Any], Callable[[Any], Any]], ...]


_SCHEMAS: dict[str, Any] = {}
_CODECS: dict[type, _Codec] = {}
_KINDS: dict[str, type] = {}


def message(schema: str) -> Callable[[type], type]:
    """Return a class decorator that registers a ``NamedTuple`` as a message.

    Parameters
    ----------
    schema : str
        Name of the schema file that holds a struct of the class's name.
    """

    def decorate(record: type) -> type:
        _KINDS[record.__name__] = record
        _CODECS[record] = _make_codec(record, schema)
        return record

    return decorate


def _load_schema(name: str) -> Any:
    if name not in _SCHEMAS:
        root = resources.files("cowslipwood") / "schema" / f"{name}.capnp"
        with resources.as_file(root) as path:
            _SCHEMAS[name] = capnp.load(str(path))
    return _SCHEMAS[name]


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _same(value: Any) -> Any:
    return value


def _make_codec(record: type, schema: str) -> _Codec:
    struct_type = getattr(_load_schema(schema), record.__name__)
    hints = typing.get_type_hints(record)
    fields = tuple(
        (name, _camel(name), *_converters(hint)) for name, hint in hints.items()
    )
    return _Codec(record, struct_type, fields)


def _converters(hint: Any) -> tuple[Callable[[Any], Any], Callable[[Any], Any]]:
    """Return the functions that encode and decode a field of that type."""
    if isinstance(hint, types.GenericAlias) and hint.__origin__ is tuple:
        encode, decode = _converters(hint.__args__[0])
        if encode is _same:
            return list, tuple
        return (
            lambda items: [encode(item) for item in items],
            lambda items: tuple(decode(item) for item in items),
        )
    if hint in _CODECS:
        codec = _CODECS[hint]
        return functools.partial(_to_dict, codec), functools.partial(_from, codec)
    if isinstance(hint, type) and issubclass(hint, str) and hint is not str:
        return str, hint
    return _same, _same


def _to_dict(codec: _Codec, value: Any) -> dict[str, Any]:
    return {
        camel: encode(getattr(value, name)) for name, camel, encode, _ in codec.fields
    }


def _from(codec: _Codec, reader: Any) -> Any:
    return codec.record(
        *[decode(getattr(reader, camel)) for _, camel, _, decode in codec.fields]
    )


def encode_record(value: Any) -> bytes:
    """Return the bytes of a registered record."""
    codec = _CODECS[type(value)]
    return codec.struct_type.new_message(**_to_dict(codec, value)).to_bytes()


def decode_record(record: type, data: bytes) -> Result[Any, Failure]:
    """Decode a registered record; BAD_MESSAGE when the bytes are not one."""
    codec = _CODECS[record]
    try:
        with codec.struct_type.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as reader:
            return Success(_from(codec, reader))
    except _DECODE_ERRORS as exc:
        return Err(failure(Code.BAD_MESSAGE, f"{record.__name__}: {exc}"[:200]))


message("envelope")(Envelope)


def encode_frame(value: Any, request_id: int = 0, reply_to: int = 0) -> bytes:
    """Return the whole frame of a message.

    Raises
    ------
    ValueError
        When the frame would be over ``MAX_FRAME_BYTES``.
    """
    kind = type(value).__name__
    payload = encode_record(Envelope(request_id, reply_to, kind, encode_record(value)))
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"{kind} of {len(payload)} bytes is over {MAX_FRAME_BYTES}")
    header = FRAME_HEADER.pack(len(payload), WIRE_VERSION, zlib.crc32(payload))
    return header + payload


def decode_frame_header(header: bytes) -> Result[tuple[int, int], Failure]:
    """Return the payload's length in bytes and its checksum.

    Fails with BAD_VERSION or FRAME_TOO_LARGE.
    """
    n_bytes, version, checksum = FRAME_HEADER.unpack(header)
    if version != WIRE_VERSION:
        return Err(failure(Code.BAD_VERSION, f"got version {version}"))
    if n_bytes > MAX_FRAME_BYTES:
        return Err(failure(Code.FRAME_TOO_LARGE, f"got {n_bytes} bytes"))
    return Success((n_bytes, checksum))


def payload_intact(payload: bytes, checksum: int) -> bool:
    """Return whether a payload has the checksum from its header."""
    return zlib.crc32(payload) == checksum


def decode_message(envelope: Envelope) -> Result[Any, Failure]:
    """Decode the message inside an envelope; BAD_MESSAGE when it is not known."""
    record = _KINDS.get(envelope.kind)
    if record is None:
        return Err(failure(Code.BAD_MESSAGE, f"unknown kind {envelope.kind[:40]!r}"))
    return decode_record(record, envelope.payload)
