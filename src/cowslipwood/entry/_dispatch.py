"""Sends one attempt of a request to an agent."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import httpcore
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, Outcome, failure
from ..kernel.messages import ServerView

__all__ = ["Answer", "Attempt", "Dispatcher"]

READ_TIMEOUT_S = 60.0


class Attempt(NamedTuple):
    """One attempt of a request.

    Parameters
    ----------
    method : str
    target : str
        Path and query at the agent.
    headers : dict of str to str
    body : bytes
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """An answer whose body is still to be read.

    Parameters
    ----------
    status : int
    headers : dict of str to str
    chunks : async iterator of bytes
    """

    status: int
    headers: dict[str, str]
    chunks: AsyncIterator[bytes]


class Dispatcher:
    """Keeps connections to agents.

    Parameters
    ----------
    cluster_token : str
    """

    def __init__(self, cluster_token: str):
        self._auth = (
            {"authorization": f"Bearer {cluster_token}"} if cluster_token else {}
        )
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4096, max_keepalive_connections=256
        )

    @asynccontextmanager
    async def send(
        self, server: ServerView, attempt: Attempt
    ) -> AsyncIterator[Result[Answer, Failure]]:
        """Send an attempt and yield its answer or why there is none.

        A failure has the outcome not-run only where no connection was made or
        the agent said so.
        """
        headers = {
            "host": server.http_addr,
            **self._auth,
            "x-cowslip-server": server.server_id,
            **attempt.headers,
        }
        try:
            async with self._pool.stream(
                attempt.method,
                f"http://{server.http_addr}{attempt.target}",
                headers=list(headers.items()),
                content=attempt.body,
                extensions={"timeout": {"connect": 1.0, "read": READ_TIMEOUT_S}},
            ) as response:
                yield await _as_answer(response)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            yield Err(failure(Code.BACKEND_UNREACHABLE))


async def _as_answer(response: httpcore.Response) -> Result[Answer, Failure]:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }
    if "x-cowslip-outcome" in headers:
        return Err(_refusal(await response.aread()))
    return Success(Answer(response.status, headers, response.aiter_stream()))


def _refusal(body: bytes) -> Failure:
    error = orjson.loads(body)["error"]
    return Failure(
        Code(error["code"]),
        error["message"],
        error["retry_after_ms"],
        Outcome(error["outcome"]),
    )
