"""Reads the list of backend servers as JSON from one address."""

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.http_pool import ConnectionPool
from ..kernel.json_entries import load_with_entries
from ..kernel.logs import get_logger
from ..routes import FieldError, record_from_json
from ._servers import ListedServer, check_server

__all__ = ["HttpServerList"]

# Longest time, in milliseconds, for one read of the list. A read that hangs must leave
# time for another one.
READ_TIMEOUT_MS = 800.0


class HttpServerList:
    """A `ServerListSource` that reads JSON from an HTTP server.

    The JSON is ``{"servers": [...]}``; each element has the fields of `ListedServer`.

    Parameters
    ----------
    url : str
        Address of the list as ``http://ip:port/path``.
    """

    def __init__(self, url: str):
        self._addr, _, path = url.removeprefix("http://").partition("/")
        self._target = "/" + path
        self._pool = ConnectionPool()

    async def read(self) -> Result[list[ListedServer], Failure]:
        """Return all servers; elements that cannot be decoded are left out."""
        exchange_result = await self._pool.exchange(
            self._addr, "GET", self._target, [], b"", monotonic_ms(), READ_TIMEOUT_MS
        )
        if isinstance(exchange_result, Err):
            return exchange_result
        answer = exchange_result.unwrap()
        if answer.status != 200:
            return Err(failure(Code.OVERLOADED, f"list: status {answer.status}"))
        try:
            values = load_with_entries(answer.body, "servers")["servers"]
        except ValueError as exc:
            return Err(failure(Code.BAD_MESSAGE, f"list: {exc}"))
        return Success(
            [server for server in map(_decode_server, values) if server is not None]
        )


def _decode_server(value: object) -> ListedServer | None:
    try:
        server = record_from_json(ListedServer, value, "server")
        check_server(server)
        return server
    except (FieldError, ValueError) as exc:
        get_logger().info("list_entry_ignored", reason=str(exc)[:120])
        return None
