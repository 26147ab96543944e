"""What a server says of itself in the headers of any answer."""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["ServerNotice", "read_notice"]

RETRY_AFTER = b"retry-after"
SERVICE_UNAVAILABLE = 503
# Ten digits of seconds outlast any server; a longer number is no time.
_SECONDS = re.compile(rb"[0-9]{1,10}(\.[0-9]{1,9})?")


class ServerNotice(NamedTuple):
    """What an answer says of the server itself, apart from the request.

    Parameters
    ----------
    is_leaving : bool
        Whether it is about to stop.
    hold_off_ms : float
        For how long it wants nothing more from this host; 0 for no such word.
    unreadable : tuple of str
        Names of headers whose value has no legal form; they count as absent.
    """

    is_leaving: bool = False
    hold_off_ms: float = 0.0
    unreadable: tuple[str, ...] = ()


def read_notice(
    status: int, headers: Iterable[tuple[bytes, bytes]], leaving: bytes
) -> ServerNotice:
    """Read what an answer says of its server.

    Parameters
    ----------
    status : int
        Only a 503 can ask for a pause.
    headers : iterable of tuple of bytes
        Names in lower case.
    leaving : bytes
        Name of the header by which a server says that it is about to stop.
    """
    unreadable = []
    is_leaving, hold_off_ms = False, 0.0
    for name, value in headers:
        if name == leaving:
            is_leaving = is_leaving or value.strip() == b"1"
            if value.strip() != b"1":
                unreadable.append(name.decode("latin-1"))
        elif name == RETRY_AFTER and status == SERVICE_UNAVAILABLE:
            if _SECONDS.fullmatch(value.strip()):
                hold_off_ms = max(hold_off_ms, 1000 * float(value))
            else:
                unreadable.append(name.decode("latin-1"))
    return ServerNotice(is_leaving, hold_off_ms, tuple(unreadable))
