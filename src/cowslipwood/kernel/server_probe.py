"""Finds out by a connection whether a server still runs."""

import anyio

from .http_connection import open_connection
from .settings import parse_address

__all__ = ["is_server_gone", "still_accepts_connections"]

# Time to wait for a connection to a server that has broken off an answer, in
# milliseconds. A running server accepts one within a few milliseconds.
PROBE_TIMEOUT_MS = 250.0
# Time, in milliseconds, for which the connection must then stay open. A process that
# ends may close the connections of its requests before it closes its port.
PROBE_HOLD_MS = 30.0
# Pause, in milliseconds, before another connection is opened to a server that closed
# the first one at once. A process that ends has closed its port by then.
PROBE_PAUSE_MS = 50.0


async def is_server_gone(addr: str) -> bool:
    """Return whether a server accepts no connection any more."""
    conn = await open_connection(*parse_address(addr), PROBE_TIMEOUT_MS)
    if conn is None:
        return True
    await anyio.sleep(PROBE_HOLD_MS / 1000)
    is_closed = conn.has_unexpected_data()
    await conn.close()
    return is_closed


async def still_accepts_connections(addr: str) -> bool:
    """Return whether a server that has just ended a connection accepts others.

    A server with too many connections accepts further ones and closes them at once.
    """
    if not await is_server_gone(addr):
        return True
    await anyio.sleep(PROBE_PAUSE_MS / 1000)
    conn = await open_connection(*parse_address(addr), PROBE_TIMEOUT_MS)
    if conn is not None:
        await conn.close()
    return conn is not None
