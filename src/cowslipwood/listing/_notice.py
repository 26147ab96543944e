"""Reads what a server states about itself in the headers of any answer."""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["ServerNotice", "read_notice"]

# Name of the header that, with a 503, asks for no further requests for some time.
RETRY_AFTER_HEADER = b"retry-after"
# Only status with which a server can ask for no further requests.
SERVICE_UNAVAILABLE_STATUS = 503
# Legal form of a number of seconds or of requests a second. Ten digits of seconds are
# 300 years, longer than any server runs; a number with more digits is malformed.
_DECIMAL_PATTERN = re.compile(rb"[0-9]{1,10}(\.[0-9]{1,9})?")


class ServerNotice(NamedTuple):
    """What an answer states about its server, apart from the request.

    Parameters
    ----------
    is_leaving : bool
        Whether the server is about to stop.
    hold_off_ms : float
        Time for which the server wants no further requests from this host; 0 if it
        did not ask for that.
    rate_limit : float or None
        Requests per second that the server takes from all hosts together; None if it
        named no limit. Of several limits it is the lowest.
    unreadable : tuple of str
        Names of headers whose value is malformed; they count as absent.
    """

    is_leaving: bool = False
    hold_off_ms: float = 0.0
    rate_limit: float | None = None
    unreadable: tuple[str, ...] = ()


def read_notice(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    leaving_header: bytes,
    limit_header: bytes,
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
    limit_header : bytes
        Name of the header in which a server names its limit of requests per second.
    """
    unreadable = []
    limits = []
    is_leaving, hold_off_ms = False, 0.0
    for name, value in headers:
        if name == leaving_header:
            is_leaving = is_leaving or value.strip() == b"1"
            if value.strip() != b"1":
                unreadable.append(name.decode("latin-1"))
        elif name == RETRY_AFTER_HEADER and status == SERVICE_UNAVAILABLE_STATUS:
            if _DECIMAL_PATTERN.fullmatch(value.strip()):
                hold_off_ms = max(hold_off_ms, 1000 * float(value))
            else:
                unreadable.append(name.decode("latin-1"))
        elif name == limit_header:
            if _DECIMAL_PATTERN.fullmatch(value.strip()):
                limits.append(float(value))
            else:
                unreadable.append(name.decode("latin-1"))
    rate_limit = min(limits, default=None)
    return ServerNotice(is_leaving, hold_off_ms, rate_limit, tuple(unreadable))
