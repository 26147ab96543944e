"""Encodes and decodes the messages between processes, with Cap'n Proto.

A message is a ``NamedTuple`` that is registered with `message`. A schema file defines
a struct of the same name with the same fields in camel case. A frame on a connection
consists of a header, with the payload's length, a version and a checksum, and the
payload, an encoded `Envelope`.
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
    "matches_checksum",
]

# Version of the frame format; a frame of another version is refused.
WIRE_VERSION = 1
# Largest payload of a frame.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# Length of the payload in bytes, version and CRC-32 of the payload.
FRAME_HEADER = struct.Struct("!IHI")
# Largest number of 8-byte words that Cap'n Proto reads while it decodes one record;
# the library's defence against records that refer to the same data many times. The
# value allows each byte of the largest frame to be read 8 times.
_TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES
# Exceptions that decoding invalid bytes can raise.
_DECODE_ERRORS = (capnp.KjException, ValueError, KeyError, UnicodeDecodeError)


class Envelope(NamedTuple):
    """The outer record of every message.

    Parameters
    ----------
    id : int
        Number of the request on the connection; 0 for a one-way message or a reply.
    reply_to : int
        The `id` of the request that this message answers; 0 if it is no reply.
    kind : str
        Class name of the message in `payload`.
    payload : bytes
        The encoded message.
    """

    id: int
    reply_to: int
    kind: str
    payload: bytes


class _Codec(NamedTuple):
    """How a record type is encoded.

    Parameters
    ----------
    record_type : type
    struct_type : object
        The schema's struct, as pycapnp loads it.
    fields : tuple
        For each field its name, its name in the schema, and the functions that encode
        and decode its value.
    """

    record_type: type
    struct_type: Any
    fields: tuple[tuple[str, str, Callable[[Any], Any], Callable[[Any], Any]], ...]


_SCHEMAS_BY_NAME: dict[str, Any] = {}
_CODECS_BY_TYPE: dict[type, _Codec] = {}
_RECORD_TYPES_BY_KIND: dict[str, type] = {}


def message(schema: str) -> Callable[[type], type]:
    """Return a class decorator that registers a ``NamedTuple`` as a message.

    Parameters
    ----------
    schema : str
        Name, without suffix, of the schema file that defines a struct of the class's
        name.
    """

    def decorate(record_type: type) -> type:
        _RECORD_TYPES_BY_KIND[record_type.__name__] = record_type
        _CODECS_BY_TYPE[record_type] = _make_codec(record_type, schema)
        return record_type

    return decorate


def _load_schema(name: str) -> Any:
    if name not in _SCHEMAS_BY_NAME:
        resource = resources.files("cowslipwood") / "schema" / f"{name}.capnp"
        with resources.as_file(resource) as path:
            _SCHEMAS_BY_NAME[name] = capnp.load(str(path))
    return _SCHEMAS_BY_NAME[name]


def _camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _identity(value: Any) -> Any:
    return value


def _make_codec(record_type: type, schema: str) -> _Codec:
    struct_type = getattr(_load_schema(schema), record_type.__name__)
    field_types = typing.get_type_hints(record_type)
    fields = tuple(
        (name, _camel_case(name), *_converters(field_type))
        for name, field_type in field_types.items()
    )
    return _Codec(record_type, struct_type, fields)


def _converters(field_type: Any) -> tuple[Callable[[Any], Any], Callable[[Any], Any]]:
    """Return the functions that encode and decode a field of a type."""
    if isinstance(field_type, types.GenericAlias) and field_type.__origin__ is tuple:
        encode, decode = _converters(field_type.__args__[0])
        if encode is _identity:
            return list, tuple
        return (
            lambda items: [encode(item) for item in items],
            lambda items: tuple(decode(item) for item in items),
        )
    if field_type in _CODECS_BY_TYPE:
        codec = _CODECS_BY_TYPE[field_type]
        return functools.partial(_encode_fields, codec), functools.partial(
            _decode_fields, codec
        )
    for plain_type in (str, int):
        if (
            isinstance(field_type, type)
            and issubclass(field_type, plain_type)
            and field_type not in (plain_type, bool)
        ):
            return plain_type, field_type
    return _identity, _identity


def _encode_fields(codec: _Codec, value: Any) -> dict[str, Any]:
    return {
        wire_name: encode(getattr(value, name))
        for name, wire_name, encode, _ in codec.fields
    }


def _decode_fields(codec: _Codec, reader: Any) -> Any:
    return codec.record_type(
        *[
            decode(getattr(reader, wire_name))
            for _, wire_name, _, decode in codec.fields
        ]
    )


def encode_record(value: Any) -> bytes:
    """Return the bytes of a registered record."""
    codec = _CODECS_BY_TYPE[type(value)]
    return codec.struct_type.new_message(**_encode_fields(codec, value)).to_bytes()


def decode_record(record_type: type, data: bytes) -> Result[Any, Failure]:
    """Decode a registered record; fails with BAD_MESSAGE when the bytes are invalid."""
    codec = _CODECS_BY_TYPE[record_type]
    try:
        with codec.struct_type.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as reader:
            return Success(_decode_fields(codec, reader))
    except _DECODE_ERRORS as exc:
        return Err(failure(Code.BAD_MESSAGE, f"{record_type.__name__}: {exc}"[:200]))


message("envelope")(Envelope)


def encode_frame(value: Any, request_id: int = 0, reply_to: int = 0) -> bytes:
    """Return the frame of a message, header and payload.

    Raises
    ------
    ValueError
        When the payload would be larger than ``MAX_FRAME_BYTES``.
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


def matches_checksum(payload: bytes, checksum: int) -> bool:
    """Return whether a payload has the checksum that its header states."""
    return zlib.crc32(payload) == checksum


def decode_message(envelope: Envelope) -> Result[Any, Failure]:
    """Decode the message in an envelope.

    Fails with BAD_MESSAGE when its kind is unknown or its bytes are invalid.
    """
    record_type = _RECORD_TYPES_BY_KIND.get(envelope.kind)
    if record_type is None:
        return Err(failure(Code.BAD_MESSAGE, f"unknown kind {envelope.kind[:40]!r}"))
    return decode_record(record_type, envelope.payload)
