"""Checks the calls that entries send to an agent."""

from typing import Any, NamedTuple

import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ..kernel.http import Request
from ._admission import CallClass
from ._memory_ledger import ModelKey

__all__ = [
    "SchedulingHeaders",
    "ModelCall",
    "parse_model_call",
    "parse_scheduling_headers",
]

DEADLINE_HEADER = "x-deadline-ms"
CLASS_HEADER = "x-cowslip-class"
MAX_WAIT_MS = 30_000
MAX_DEADLINE_MS = 24 * 3_600_000
MAX_TOKENS = 1_000_000
DEFAULT_MAX_TOKENS = 16


class SchedulingHeaders(NamedTuple):
    """The class of a call and when its first byte is due.

    Parameters
    ----------
    call_class : CallClass
    deadline_ms : float
        Monotonic time.
    """

    call_class: CallClass
    deadline_ms: float


class ModelCall(NamedTuple):
    """A call of a model.

    Parameters
    ----------
    key : ModelKey
    body : dict
        As the engine gets it.
    n_prompt_bytes : int
    max_tokens : int
        Tokens of the whole answer, with those already delivered.
    n_tokens : int
        Tokens still to be made.
    """

    key: ModelKey
    body: dict[str, Any]
    n_prompt_bytes: int
    max_tokens: int
    n_tokens: int


def parse_scheduling_headers(
    request: Request, arrived_ms: float
) -> Result[SchedulingHeaders, Failure]:
    """Read the class and the deadline; fails with BAD_HEADER."""
    name = request.headers.get(CLASS_HEADER, "standard").upper()
    if name not in CallClass.__members__:
        return Err(failure(Code.BAD_HEADER, f"{CLASS_HEADER}: {name[:40]!r}"))
    left = request.headers.get(DEADLINE_HEADER, str(MAX_WAIT_MS))
    if not (left.isascii() and left.isdecimal() and len(left) < 16):
        message = f"{DEADLINE_HEADER}: expected whole milliseconds, got {left[:40]!r}"
        return Err(failure(Code.BAD_HEADER, message))
    deadline_ms = arrived_ms + min(int(left), MAX_DEADLINE_MS)
    return Success(SchedulingHeaders(CallClass[name], deadline_ms))


def parse_model_call(
    request: Request, call_class: CallClass
) -> Result[ModelCall, Failure]:
    """Check a call of a model.

    Fails with NO_SUCH_ROUTE, BAD_JSON or BAD_FIELD.
    """
    if (request.method, request.path) != ("POST", "/v1/completions"):
        return Err(failure(Code.NO_SUCH_ROUTE))
    try:
        body = orjson.loads(request.body)
    except orjson.JSONDecodeError as exc:
        return Err(failure(Code.BAD_JSON, str(exc)))
    if not isinstance(body, dict):
        return Err(failure(Code.BAD_FIELD, "expected a JSON object"))
    for field in ("model", "version", "prompt"):
        if not isinstance(body.get(field), str):
            return Err(failure(Code.BAD_FIELD, f"{field}: expected a string"))
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not _is_whole(max_tokens, 1, MAX_TOKENS):
        return Err(failure(Code.BAD_FIELD, f"max_tokens: expected 1 to {MAX_TOKENS}"))
    n_delivered = body.get("resume_tokens", 0)
    if not _is_whole(n_delivered, 0, max_tokens):
        return Err(failure(Code.BAD_FIELD, "resume_tokens: expected 0 to max_tokens"))
    body = {**body, "max_tokens": max_tokens, "priority": int(call_class)}
    return Success(
        ModelCall(
            ModelKey(body["model"], body["version"]),
            body,
            len(body["prompt"].encode()),
            max_tokens,
            max_tokens - n_delivered,
        )
    )


def _is_whole(value: Any, low: int, high: int) -> bool:
    return type(value) is int and low <= value <= high
