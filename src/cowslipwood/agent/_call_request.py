"""Parses and validates the calls that entries send to an agent."""

from typing import Any, NamedTuple

import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ..kernel.http import Request
from ._admission import CallClass
from ._memory_ledger import ModelKey

__all__ = [
    "ModelCall",
    "SchedulingHeaders",
    "parse_model_call",
    "parse_scheduling_headers",
]

# Request header with the milliseconds left until the first byte of the answer is due.
DEADLINE_HEADER = "x-deadline-ms"
# Request header with the call class.
CLASS_HEADER = "x-cowslip-class"
# Time until the deadline of a call without a deadline header, in milliseconds.
DEFAULT_TIME_TO_DEADLINE_MS = 30_000
# Longest time until the deadline of a call, in milliseconds; a longer one is
# shortened to this limit.
MAX_TIME_TO_DEADLINE_MS = 24 * 3_600_000
# Largest number of tokens that a call may request.
MAX_TOKENS = 1_000_000
# Number of tokens that a call requests when it names none.
DEFAULT_MAX_TOKENS = 16


class SchedulingHeaders(NamedTuple):
    """Class and deadline of a call, from its headers.

    Parameters
    ----------
    call_class : CallClass
    deadline_ms : float
        Monotonic time by which the first byte of the answer is due.
    """

    call_class: CallClass
    deadline_ms: float


class ModelCall(NamedTuple):
    """A valid call of a model.

    Parameters
    ----------
    key : ModelKey
    body : dict
        Body of the request to the engine.
    n_prompt_bytes : int
        Length of the prompt in UTF-8.
    max_tokens : int
        Limit for the tokens of the whole answer, including those that were already
        delivered.
    n_new_tokens : int
        Tokens still to be generated.
    """

    key: ModelKey
    body: dict[str, Any]
    n_prompt_bytes: int
    max_tokens: int
    n_new_tokens: int


def parse_scheduling_headers(
    request: Request, arrived_ms: float
) -> Result[SchedulingHeaders, Failure]:
    """Parse the class and the deadline of a call; fails with BAD_HEADER.

    Parameters
    ----------
    request : Request
    arrived_ms : float
        Monotonic time at which the call arrived.
    """
    class_name = request.headers.get(CLASS_HEADER, "standard").upper()
    if class_name not in CallClass.__members__:
        return Err(failure(Code.BAD_HEADER, f"{CLASS_HEADER}: {class_name[:40]!r}"))
    left = request.headers.get(DEADLINE_HEADER, str(DEFAULT_TIME_TO_DEADLINE_MS))
    if not (left.isascii() and left.isdecimal() and len(left) < 16):
        message = f"{DEADLINE_HEADER}: expected whole milliseconds, got {left[:40]!r}"
        return Err(failure(Code.BAD_HEADER, message))
    deadline_ms = arrived_ms + min(int(left), MAX_TIME_TO_DEADLINE_MS)
    return Success(SchedulingHeaders(CallClass[class_name], deadline_ms))


def parse_model_call(
    request: Request, call_class: CallClass
) -> Result[ModelCall, Failure]:
    """Parse a call of a model.

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
    if not _is_integer_within(max_tokens, 1, MAX_TOKENS):
        return Err(failure(Code.BAD_FIELD, f"max_tokens: expected 1 to {MAX_TOKENS}"))
    n_delivered_tokens = body.get("resume_tokens", 0)
    if not _is_integer_within(n_delivered_tokens, 0, max_tokens):
        return Err(failure(Code.BAD_FIELD, "resume_tokens: expected 0 to max_tokens"))
    body = {**body, "max_tokens": max_tokens, "priority": int(call_class)}
    return Success(
        ModelCall(
            ModelKey(body["model"], body["version"]),
            body,
            len(body["prompt"].encode()),
            max_tokens,
            max_tokens - n_delivered_tokens,
        )
    )


def _is_integer_within(value: Any, low: int, high: int) -> bool:
    """Return whether a JSON value is an integer, and no boolean, between bounds."""
    return type(value) is int and low <= value <= high
