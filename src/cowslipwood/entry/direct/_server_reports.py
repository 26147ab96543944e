"""What an entry asks servers about themselves, apart from requests of callers."""

from typing import NamedTuple, Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from ...kernel.http_connection import ServerConnection
from ...kernel.http_pool import ConnectionPool
from ...kernel.messages import ServerView
from ...kernel.server_probe import still_accepts_connections

__all__ = ["NoReports", "ServerReports", "ServerSign", "ask_by_connection"]


class ServerSign(NamedTuple):
    """What a server answered to the question whether it still runs.

    Parameters
    ----------
    is_same : bool
        Whether it is the server that was asked for.
    born_ms : int
        When it started, as Unix time; 0 if it does not state it.
    """

    is_same: bool
    born_ms: int = 0


class ServerReports(Protocol):
    """Asks servers about themselves."""

    async def ask(
        self, server: ServerView, health_path: str = ""
    ) -> Result[ServerSign, Failure]:
        """Ask a server, over a connection of its own, whether it still runs.

        What it answers proves that its process ran after the question was sent. Fails
        with BACKEND_UNREACHABLE, BACKEND_TIMEOUT or ANSWER_CUT.

        Parameters
        ----------
        server : ServerView
        health_path : str
            Path of the health check of its service; empty for none.
        """

    async def find_run(
        self,
        pool: ConnectionPool,
        addr: str,
        server_id: str,
        request_id: str,
        timeout_ms: float,
    ) -> bool | None:
        """Return whether the server says that it runs a request; None if it says not.

        A run that has ended may still be reported for a short time.
        """

    async def read_born_ms(
        self, conn: ServerConnection, server: ServerView
    ) -> Result[int, Failure]:
        """Ask a server over a connection when it started, as Unix time.

        0 if servers of its kind do not tell. The connection is free again after a
        success.
        """


class NoReports:
    """Reports of servers that give none; implements `ServerReports`."""

    async def ask(
        self, server: ServerView, health_path: str = ""
    ) -> Result[ServerSign, Failure]:
        """Ask by a connection."""
        return await ask_by_connection(server)

    async def find_run(self, *args: object) -> None:
        """Find nothing out."""

    async def read_born_ms(
        self, conn: ServerConnection, server: ServerView
    ) -> Result[int, Failure]:
        """Return 0, as the server does not tell."""
        return Success(0)


async def ask_by_connection(server: ServerView) -> Result[ServerSign, Failure]:
    """Open a connection to a server; any process that accepts it counts.

    Fails with BACKEND_UNREACHABLE.
    """
    if await still_accepts_connections(server.http_addr):
        return Success(ServerSign(is_same=True))
    return Err(failure(Code.BACKEND_UNREACHABLE, server.server_id))
