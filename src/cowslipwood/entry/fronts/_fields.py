"""Reads the JSON fields that completions and chat completions share."""

from typing import Any, NamedTuple

import orjson
import xxhash
from returns.result import Failure as Err
from returns.result import Result, Success

from ...catalogue import Entry, EntryKind
from ...kernel.codes import Code, Failure, failure
from ..choosing._view import View

__all__ = ["BadFieldError", "CompletionFields", "prefix_hash", "read_object", "shared"]

DEFAULT_MAX_TOKENS = 16
MAX_TOKENS = 32_768
PREFIX_CHARS = 256


class BadFieldError(ValueError):
    """A field of the request has a value that is not allowed."""

    def __init__(self, field: str, expected: str):
        super().__init__(f"{field}: expected {expected}")


class CompletionFields(NamedTuple):
    """The checked fields that both kinds of completion have.

    Parameters
    ----------
    entry : Entry
    max_tokens : int
    stream : bool
    include_usage : bool
        Whether a stream ends with an event of usage counts.
    """

    entry: Entry
    max_tokens: int
    stream: bool
    include_usage: bool


def read_object(body: bytes) -> Result[dict[str, Any], Failure]:
    """Return the JSON object of a body; fails with BAD_JSON or BAD_FIELD."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        return Err(failure(Code.BAD_JSON, str(exc)[:200]))
    if not isinstance(value, dict):
        return Err(failure(Code.BAD_FIELD, "body: expected a JSON object"))
    return Success(value)


def shared(body: dict[str, Any], view: View) -> Result[CompletionFields, Failure]:
    """Check the shared fields; fails with BAD_FIELD or NO_SUCH_MODEL.

    Raises
    ------
    BadFieldError
        When a field has the wrong type or value.
    """
    model = body.get("model")
    if not isinstance(model, str):
        raise BadFieldError("model", "a string")
    max_tokens = _max_tokens(body)
    stream = _flag(body, "stream")
    options = body.get("stream_options")
    if options is not None and not isinstance(options, dict):
        raise BadFieldError("stream_options", "an object")
    if body.get("n") not in (None, 1):
        raise BadFieldError("n", "1")
    entry = view.entries.get(model)
    if entry is None or entry.kind is EntryKind.SERVICE:
        return Err(failure(Code.NO_SUCH_MODEL, f"model: {model[:80]!r}"))
    include_usage = _flag(options or {}, "include_usage")
    return Success(CompletionFields(entry, max_tokens, stream, include_usage))


def prefix_hash(entry: Entry, prompt: str) -> int:
    """Return the hash of a model and the head of its prompt."""
    head = f"{entry.base or entry.name}\n{prompt[:PREFIX_CHARS]}"
    return xxhash.xxh3_64_intdigest(head.encode("utf-8", "surrogatepass"))


def _flag(body: dict[str, Any], field: str) -> bool:
    value = body.get(field)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise BadFieldError(field, "true or false")
    return value


def _max_tokens(body: dict[str, Any]) -> int:
    for field in ("max_tokens", "max_completion_tokens"):
        value = body.get(field)
        if value is None:
            continue
        if type(value) is not int or not 1 <= value <= MAX_TOKENS:
            raise BadFieldError(field, f"a whole number from 1 to {MAX_TOKENS}")
        return value
    return DEFAULT_MAX_TOKENS
