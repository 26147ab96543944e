"""Sends one attempt of a request to an agent."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import anyio
import httpcore
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, Outcome, failure
from ...kernel.messages import ServerView
from ..choosing._backend import LoadReport

__all__ = ["Answer", "AnswerCutError", "Attempt", "Dispatcher", "parse_report"]

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 10.0
READ_TIMEOUT_MS = 60_000.0
KEEPALIVE_S = 5.0
MAX_CONNECTIONS_PER_AGENT = 512
MAX_IDLE_PER_AGENT = 32
MAX_REFUSAL_BYTES = 64 * 1024
_NOT_CONNECTED = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError)

OnReport = Callable[[str, LoadReport], None]


class AnswerCutError(Exception):
    """The answer ended before it was whole, or stopped coming."""

    def __init__(self, fault: Failure):
        super().__init__(fault.message)
        self.fault = fault


class Attempt(NamedTuple):
    """One attempt of a request.

    Parameters
    ----------
    method : str
    target : str
        Path and query at the agent.
    headers : dict of str to str
    body : bytes
    read_timeout_ms : float
        Silence after which the agent counts as gone.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    read_timeout_ms: float = READ_TIMEOUT_MS


class Answer(NamedTuple):
    """An answer whose body is still to be read.

    Parameters
    ----------
    status : int
    headers : dict of str to str
    chunks : async iterator of bytes
        Raises `AnswerCutError` when the body is not whole.
    report : LoadReport or None
        The agent's load when the answer began.
    """

    status: int
    headers: dict[str, str]
    chunks: AsyncIterator[bytes]
    report: LoadReport | None = None


class Dispatcher:
    """Keeps connections to agents, in a pool for each.

    Parameters
    ----------
    cluster_token : str
    on_report : callable
        Gets the server's id and the load report that came with a refusal.
    """

    def __init__(self, cluster_token: str, on_report: OnReport):
        self._on_report = on_report
        self._auth = (
            {"authorization": f"Bearer {cluster_token}"} if cluster_token else {}
        )
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    @asynccontextmanager
    async def send(
        self, server: ServerView, attempt: Attempt
    ) -> AsyncIterator[Result[Answer, Failure]]:
        """Send an attempt and yield its answer or why there is none.

        A failure has the outcome not-run only where no connection was made or
        the agent said so. Leaving the block before the end of the body closes
        the connection, which cancels the attempt at the agent.
        """
        opened = await self._open(server, attempt)
        if isinstance(opened, Err):
            yield opened
            return
        response = opened.unwrap()
        try:
            yield await self._as_answer(server, response)
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()

    async def keep_only(self, addresses: set[str]) -> None:
        """Close the idle pools of agents that are not listed any more."""
        for address in self._pools.keys() - addresses:
            pool = self._pools[address]
            if all(conn.is_idle() for conn in pool.connections):
                del self._pools[address]
                await pool.aclose()

    async def _open(
        self, server: ServerView, attempt: Attempt
    ) -> Result[httpcore.Response, Failure]:
        headers = {
            "host": server.http_addr,
            **self._auth,
            "x-cowslip-server": server.server_id,
            "content-length": str(len(attempt.body)),
            **attempt.headers,
        }
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "write": WRITE_TIMEOUT_S,
            "read": attempt.read_timeout_ms / 1000,
        }
        request = httpcore.Request(
            attempt.method,
            f"http://{server.http_addr}{attempt.target}",
            headers=[(k.encode(), v.encode("latin-1")) for k, v in headers.items()],
            content=attempt.body,
            extensions={"timeout": timeout},
        )
        pool = self._pool(server.http_addr)
        try:
            return Success(await pool.handle_async_request(request))
        except _NOT_CONNECTED as exc:
            return Err(failure(Code.BACKEND_UNREACHABLE, _said(exc)))
        except httpcore.TimeoutException:
            return Err(failure(Code.BACKEND_TIMEOUT))
        except _BROKEN as exc:
            return Err(failure(Code.OUTCOME_UNKNOWN, _said(exc)))

    async def _as_answer(
        self, server: ServerView, response: httpcore.Response
    ) -> Result[Answer, Failure]:
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        chunks = _whole_body(response)
        report = parse_report(headers.get("x-cowslip-report", ""))
        if "x-cowslip-outcome" not in headers:
            return Success(Answer(response.status, headers, chunks, report))
        if report is not None:
            self._on_report(server.server_id, report)
        return Err(await _refusal(chunks))

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS_PER_AGENT,
                max_keepalive_connections=MAX_IDLE_PER_AGENT,
                keepalive_expiry=KEEPALIVE_S,
            )
        return pool


def _said(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"[:200]


async def _whole_body(response: httpcore.Response) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except httpcore.TimeoutException:
        raise AnswerCutError(failure(Code.BACKEND_TIMEOUT)) from None
    except _BROKEN as exc:
        raise AnswerCutError(failure(Code.ANSWER_CUT, _said(exc))) from None


async def _refusal(chunks: AsyncIterator[bytes]) -> Failure:
    """Read an agent's refusal; one that can't be read leaves the outcome unknown."""
    body = b""
    try:
        async for chunk in chunks:
            body += chunk
            if len(body) > MAX_REFUSAL_BYTES:
                break
        error = orjson.loads(body)["error"]
        return Failure(
            Code(error["code"]),
            str(error["message"])[:400],
            max(0, int(error["retry_after_ms"])),
            Outcome(error["outcome"]),
        )
    except AnswerCutError as exc:
        return exc.fault
    except (ValueError, TypeError, KeyError):
        return failure(Code.OUTCOME_UNKNOWN, "the agent's refusal was not readable")


def parse_report(text: str) -> LoadReport | None:
    """Return the load report of an ``x-cowslip-report`` header; None if unusable."""
    if not text:
        return None
    try:
        value: Any = orjson.loads(text)
        return LoadReport(
            max(0, int(value["n_in_flight"])),
            max(0, int(value["n_queued"])),
            max(0.0, float(value["wait_ms"])),
            max(0, int(value.get("knee_in_flight", 0))),
        )
    except (ValueError, TypeError, KeyError):
        return None
