"""Reads what a server states about itself in the headers of any answer."""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["ServerNotice", "read_notice"]

# Name of the header that, with a 503, asks for no further requests for some time.
RETRY_AFTER_HEADER = b"retry-after"
# Only status with which a server can ask for no further requests.
SERVICE_UNAVAILABLE_STATUS = 503
# Legal form of a time in seconds. Ten digits of seconds are 300 years, longer than any
# server runs; a number with more digits is malformed.
_SECONDS_PATTERN = re.compile(rb"[0-9]{1,10}(\.[0-9]{1,9})?")


class ServerNotice(NamedTuple):
    """What an answer states about its server, apart from the request.

    Parameters
    ----------
    is_leaving : bool
        Whether the server is about to stop.
    hold_off_ms : float
        Time for which the server wants no further requests from this host; 0 if it
        did not ask for that.
    unreadable : tuple of str
        Names of headers whose value is malformed; they count as absent.
    """

    is_leaving: bool = False
    hold_off_ms: float = 0.0
    unreadable: tuple[str, ...] = ()


def read_notice(
    status: int, headers: Iterable[tuple[bytes, bytes]], leaving_header: bytes
) -> ServerNotice:
    """Read what an answer states about its server.

    Parameters
    ----------
    status : int
        Status of the answer; only a 503 can ask for no further requests.
    headers : iterable of tuple of bytes
        Headers of the answer, with names in lower case.
    leaving_header : bytes
        Name of the header by which a server states that it is about to stop.
    """
    unreadable = []
    is_leaving, hold_off_ms = False, 0.0
    for name, value in headers:
        if name == leaving_header:
            is_leaving = is_leaving or value.strip() == b"1"
            if value.strip() != b"1":
                unreadable.append(name.decode("latin-1"))
        elif name == RETRY_AFTER_HEADER and status == SERVICE_UNAVAILABLE_STATUS:
            if _SECONDS_PATTERN.fullmatch(value.strip()):
                hold_off_ms = max(hold_off_ms, 1000 * float(value))
            else:
                unreadable.append(name.decode("latin-1"))
    return ServerNotice(is_leaving, hold_off_ms, tuple(unreadable))
