"""Tells whether an answer that httpcore has read to its end is whole."""

import httpcore

from ..kernel.connection_end import has_ended_in_order
from ..kernel.http_connection import BodyEnd, read_body_end

__all__ = ["ends_with_connection", "was_reset_after_end"]

# Statuses of answers that have no body.
NO_BODY_STATUSES = frozenset((204, 304))


def ends_with_connection(response: httpcore.Response, method: str) -> bool:
    """Return whether only the end of the connection marks the end of the answer."""
    has_body = response.status not in NO_BODY_STATUSES and method != "HEAD"
    return has_body and read_body_end(response.headers) is BodyEnd.CONNECTION_CLOSE


async def was_reset_after_end(
    response: httpcore.Response, method: str, has_request_body: bool
) -> bool:
    """Return whether an answer is not whole because its connection was reset.

    The response must have been read to its end and not be closed yet.
    """
    if not ends_with_connection(response, method):
        return False
    sock = response.extensions["network_stream"].get_extra_info("socket")
    return not await has_ended_in_order(sock, has_request_body)
