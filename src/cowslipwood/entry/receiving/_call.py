"""A caller's request after its catalogue entry has been found, with its deadlines."""

import math
import re
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ...catalogue import CatalogueEntry, EntryKind, ServiceClass
from ...kernel.codes import Code, Failure, failure

__all__ = [
    "Call",
    "lift_first_token_deadline",
    "make_call",
    "parse_deadline",
    "parse_request_id",
]

# Longest deadline that a caller can set, in milliseconds (24 hours).
MAX_TIME_TO_DEADLINE_MS = 24 * 3_600_000
# Longest request id that a caller can choose, in characters.
MAX_REQUEST_ID_CHARS = 128
_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]+\Z")
# Milliseconds until the answer has to begin, by class, for a catalogue entry that
# sets no limit of its own.
_DEFAULT_FIRST_TOKEN_MS = {
    ServiceClass.URGENT: 2_000.0,
    ServiceClass.STANDARD: 10_000.0,
    ServiceClass.BATCH: 60_000.0,
}


class Call(NamedTuple):
    """A request with its catalogue entry and its deadlines.

    Parameters
    ----------
    request_id : str
    entry : CatalogueEntry
    entry_key : str
        Name under which a server lists that it can serve the request.
    prefix_hash : int
        Hash of the first characters of the prompt; 0 for a request without one.
    arrived_ms : float
        Monotonic time of arrival.
    deadline_ms : float
        Monotonic time at which the caller gives up; infinite if the caller set
        no deadline.
    first_token_due_ms : float
        Latest monotonic time for the answer to begin.
    """

    request_id: str
    entry: CatalogueEntry
    entry_key: str
    prefix_hash: int
    arrived_ms: float
    deadline_ms: float
    first_token_due_ms: float


def parse_request_id(text: str) -> Result[str, Failure]:
    """Check the value of an ``X-Request-Id`` header; fails with BAD_HEADER."""
    if len(text) > MAX_REQUEST_ID_CHARS or not _REQUEST_ID_PATTERN.match(text):
        allowed = f"1 to {MAX_REQUEST_ID_CHARS} letters, digits and . _ : -"
        return Err(failure(Code.BAD_HEADER, f"x-request-id: expected {allowed}"))
    return Success(text)


def parse_deadline(text: str, now_ms: float) -> Result[float, Failure]:
    """Return the monotonic deadline of an ``X-Deadline-Ms`` header.

    An empty value means no deadline. Fails with BAD_HEADER, or with
    DEADLINE_PASSED when the remaining time is 0.
    """
    if not text:
        return Success(math.inf)
    if not (text.isascii() and text.isdigit() and len(text) <= 12):
        message = "x-deadline-ms: expected a whole number of milliseconds"
        return Err(failure(Code.BAD_HEADER, message))
    remaining_ms = int(text)
    if remaining_ms == 0:
        return Err(failure(Code.DEADLINE_PASSED))
    return Success(now_ms + min(remaining_ms, MAX_TIME_TO_DEADLINE_MS))


def make_call(
    request_id: str,
    entry: CatalogueEntry,
    entry_key: str,
    prefix_hash: int,
    arrived_ms: float,
    deadline_ms: float,
) -> Call:
    """Return a call, with the latest time for its answer to begin.

    This time follows from the entry's shortest limit, or from the class if the
    entry sets none; it is never after the caller's deadline.
    """
    limits = entry.limits
    limits_ms = [limits.first_token_ms, limits.answer_ms]
    if entry.kind is EntryKind.SERVICE:
        limits_ms.append(limits.first_token_ms)
    set_limits_ms = [limit_ms for limit_ms in limits_ms if limit_ms]
    first_token_limit_ms = min(
        set_limits_ms, default=_DEFAULT_FIRST_TOKEN_MS[entry.service_class]
    )
    first_token_due_ms = min(arrived_ms + first_token_limit_ms, deadline_ms)
    return Call(
        request_id,
        entry,
        entry_key,
        prefix_hash,
        arrived_ms,
        deadline_ms,
        first_token_due_ms,
    )


def lift_first_token_deadline(call: Call) -> Call:
    """Return a call whose answer has begun, for the attempts that resume it.

    The limit on the first token no longer applies once a token was delivered;
    resumed attempts are bound by the caller's own deadline only.
    """
    return call._replace(first_token_due_ms=call.deadline_ms)
