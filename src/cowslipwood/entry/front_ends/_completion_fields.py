"""Parses the JSON fields that text completions and chat completions share."""

from typing import Any, NamedTuple

import orjson
import xxhash
from returns.result import Failure as Err
from returns.result import Result, Success

from ...catalogue import CatalogueEntry, EntryKind
from ...kernel.codes import Code, Failure, failure
from ..choosing._view import FleetView

__all__ = [
    "BadFieldError",
    "CompletionFields",
    "hash_prompt_prefix",
    "parse_json_object",
    "parse_shared_fields",
]

# Tokens of a completion whose request sets no limit.
DEFAULT_MAX_TOKENS = 16
# Largest limit on tokens that a request can set.
MAX_TOKENS = 32_768
# Characters of the prompt that are hashed to route requests with the same prefix.
PREFIX_CHARS = 256


class BadFieldError(ValueError):
    """A field of the request body has a wrong type or value."""

    def __init__(self, field: str, expected: str):
        super().__init__(f"{field}: expected {expected}")


class CompletionFields(NamedTuple):
    """The checked fields that both kinds of completion share.

    Parameters
    ----------
    entry : CatalogueEntry
    max_tokens : int
    stream : bool
    include_usage : bool
        Whether a stream ends with an event of token counts.
    """

    entry: CatalogueEntry
    max_tokens: int
    stream: bool
    include_usage: bool


def parse_json_object(body: bytes) -> Result[dict[str, Any], Failure]:
    """Parse a body as a JSON object; fails with BAD_JSON or BAD_FIELD."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        return Err(failure(Code.BAD_JSON, str(exc)[:200]))
    if not isinstance(value, dict):
        return Err(failure(Code.BAD_FIELD, "body: expected a JSON object"))
    return Success(value)


def parse_shared_fields(
    body: dict[str, Any], view: FleetView
) -> Result[CompletionFields, Failure]:
    """Check the shared fields; fails with BAD_FIELD or NO_SUCH_MODEL.

    Raises
    ------
    BadFieldError
        When a field has the wrong type or value.
    """
    model = body.get("model")
    if not isinstance(model, str):
        raise BadFieldError("model", "a string")
    max_tokens = _parse_max_tokens(body)
    stream = _parse_flag(body, "stream")
    options = body.get("stream_options")
    if options is not None and not isinstance(options, dict):
        raise BadFieldError("stream_options", "an object")
    if body.get("n") not in (None, 1):
        raise BadFieldError("n", "1")
    entry = view.entries.get(model)
    if entry is None or entry.kind is EntryKind.SERVICE:
        return Err(failure(Code.NO_SUCH_MODEL, f"model: {model[:80]!r}"))
    include_usage = _parse_flag(options or {}, "include_usage")
    return Success(CompletionFields(entry, max_tokens, stream, include_usage))


def hash_prompt_prefix(entry: CatalogueEntry, prompt: str) -> int:
    """Return the hash of the base model's name and the start of the prompt."""
    prefix = f"{entry.base or entry.name}\n{prompt[:PREFIX_CHARS]}"
    return xxhash.xxh3_64_intdigest(prefix.encode("utf-8", "surrogatepass"))


def _parse_flag(body: dict[str, Any], field: str) -> bool:
    value = body.get(field)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise BadFieldError(field, "true or false")
    return value


def _parse_max_tokens(body: dict[str, Any]) -> int:
    for field in ("max_tokens", "max_completion_tokens"):
        value = body.get(field)
        if value is None:
            continue
        if type(value) is not int or not 1 <= value <= MAX_TOKENS:
            raise BadFieldError(field, f"a whole number from 1 to {MAX_TOKENS}")
        return value
    return DEFAULT_MAX_TOKENS
