"""One caller's request once its catalogue entry is known."""

import math
import re
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ...catalogue import Entry, EntryKind, ServiceClass
from ...kernel.codes import Code, Failure, failure

__all__ = ["Call", "begun_call", "make_call", "parse_deadline", "parse_request_id"]

MAX_DEADLINE_MS = 24 * 3_600_000
MAX_ID_CHARS = 128
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]+\Z")
_CLASS_WAIT_MS = {
    ServiceClass.URGENT: 2_000.0,
    ServiceClass.STANDARD: 10_000.0,
    ServiceClass.BATCH: 60_000.0,
}


class Call(NamedTuple):
    """A request with the times that bind it.

    Parameters
    ----------
    request_id : str
    entry : Entry
    key : str
        What the servers list when they can serve it.
    prefix_hash : int
        Hash of the head of the prompt; 0 when there is none.
    arrived_ms : float
        Monotonic time, like those below.
    deadline_ms : float
        When the caller gives up; infinite when it did not say.
    first_by_ms : float
        When the answer is to begin at the latest.
    """

    request_id: str
    entry: Entry
    key: str
    prefix_hash: int
    arrived_ms: float
    deadline_ms: float
    first_by_ms: float


def parse_request_id(text: str) -> Result[str, Failure]:
    """Check an ``X-Request-Id``; fails with BAD_HEADER."""
    if len(text) > MAX_ID_CHARS or not _REQUEST_ID.match(text):
        allowed = f"1 to {MAX_ID_CHARS} letters, digits and . _ : -"
        return Err(failure(Code.BAD_HEADER, f"x-request-id: expected {allowed}"))
    return Success(text)


def parse_deadline(text: str, now_ms: float) -> Result[float, Failure]:
    """Return the monotonic deadline that an ``X-Deadline-Ms`` sets.

    Fails with BAD_HEADER, or DEADLINE_PASSED when no time is left.
    """
    if not text:
        return Success(math.inf)
    if not (text.isascii() and text.isdigit() and len(text) <= 12):
        message = "x-deadline-ms: expected a whole number of milliseconds"
        return Err(failure(Code.BAD_HEADER, message))
    left_ms = int(text)
    if left_ms == 0:
        return Err(failure(Code.DEADLINE_PASSED))
    return Success(now_ms + min(left_ms, MAX_DEADLINE_MS))


def make_call(
    request_id: str,
    entry: Entry,
    key: str,
    prefix_hash: int,
    arrived_ms: float,
    deadline_ms: float,
) -> Call:
    """Return a call with the time by which its answer is to begin."""
    limits = entry.limits
    bounds = [limits.first_token_ms, limits.answer_ms]
    if entry.kind is EntryKind.SERVICE:
        bounds.append(limits.first_token_ms)
    wanted = [bound for bound in bounds if bound]
    within_ms = min(wanted, default=_CLASS_WAIT_MS[entry.service_class])
    first_by_ms = min(arrived_ms + within_ms, deadline_ms)
    return Call(
        request_id, entry, key, prefix_hash, arrived_ms, deadline_ms, first_by_ms
    )


def begun_call(call: Call) -> Call:
    """Return a call whose answer has begun, for attempts that go on with it.

    The time by which an answer is to begin holds for its beginning only; from
    then on the caller's own deadline does.
    """
    return call._replace(first_by_ms=call.deadline_ms)
