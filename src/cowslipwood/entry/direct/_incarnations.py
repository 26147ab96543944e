"""Proves that a connection leads to the listed incarnation of its server.

A server may start again under its id, with another software version, before the list
shows it. What it writes on a new connection would be taken for its old version's.
"""

from returns.result import Failure as Err

from ...kernel.codes import Code, Failure, failure
from ...kernel.http_connection import ServerConnection
from ...kernel.logs import get_logger
from ..choosing._backend import MAX_LIST_DELAY_MS, UNREACHABLE_EXCLUSION_MS, Backend
from ._state import DirectState

__all__ = ["check_incarnation"]


async def check_incarnation(
    state: DirectState, backend: Backend, conn: ServerConnection
) -> Failure | None:
    """Return why a connection may lead to another incarnation; None if it does not.

    A connection that still works leads to the process that ran when it was opened. So
    one proof holds for all connections that were opened before.
    """
    incarnation = backend.view.incarnation
    now_ms = state.now_ms()
    proven_ms = max(backend.proven_at_ms, state.list_read_at_ms - MAX_LIST_DELAY_MS)
    if conn.opened_at_ms <= proven_ms:
        return None
    reply = await state.reports.read_born_ms(conn, backend.view)
    server_id = backend.view.server_id
    if isinstance(reply, Err):
        state.metrics.count("incarnation_checks_total", result="failed")
        return failure(Code.BACKEND_UNREACHABLE, f"{server_id}: no report")
    born = str(reply.unwrap())
    if incarnation != backend.view.incarnation or born not in (incarnation, "0"):
        state.metrics.count("incarnation_checks_total", result="other")
        get_logger().info(
            "other_incarnation", server=server_id, listed=incarnation, born=born
        )
        backend.exclude("", state.now_ms() + UNREACHABLE_EXCLUSION_MS)
        return failure(Code.BACKEND_UNREACHABLE, f"{server_id} has started again")
    state.metrics.count("incarnation_checks_total", result="proven")
    backend.proven_at_ms = max(backend.proven_at_ms, now_ms)
    return None
