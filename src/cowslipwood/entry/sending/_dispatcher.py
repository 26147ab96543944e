"""Sends attempts of requests to agents and reads the agents' answers."""

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

__all__ = ["Answer", "AnswerCutError", "Attempt", "Dispatcher", "parse_load_report"]

# Longest time to connect to an agent, or to wait for a free connection of its pool,
# in seconds.
CONNECT_TIMEOUT_S = 1.0
# Longest time that one write to an agent may block, in seconds.
WRITE_TIMEOUT_S = 10.0
# Default for the longest pause between two reads of an answer, in milliseconds.
READ_TIMEOUT_MS = 60_000.0
# Seconds after which an unused connection to an agent is closed.
IDLE_CONNECTION_LIFE_S = 5.0
# Open connections to one agent, used and unused.
MAX_CONNECTIONS_PER_AGENT = 512
# Unused connections to one agent that are kept for the next attempts.
MAX_IDLE_PER_AGENT = 32
# Bytes of an agent's refusal that are read; a longer refusal cannot be parsed.
MAX_REFUSAL_BYTES = 64 * 1024
# Errors raised before any byte of the request was sent.
_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
# Errors after which the agent may have received the request.
_CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)

OnRefusalReport = Callable[[str, LoadReport], None]


class AnswerCutError(Exception):
    """The answer ended before it was complete, or no more of it arrived in time."""

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
        Longest pause between two reads before the attempt fails.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    read_timeout_ms: float = READ_TIMEOUT_MS


class Answer(NamedTuple):
    """An answer whose body has not been read yet.

    Parameters
    ----------
    status : int
    headers : dict of str to str
    chunks : async iterator of bytes
        Raises `AnswerCutError` when the body is incomplete.
    load_report : LoadReport or None
        The agent's load when the answer began.
    """

    status: int
    headers: dict[str, str]
    chunks: AsyncIterator[bytes]
    load_report: LoadReport | None = None


class Dispatcher:
    """Sends attempts to agents over a connection pool for each agent.

    Parameters
    ----------
    cluster_token : str
    on_refusal_report : callable
        Called with the server's id and the load report that came with a refusal.
    """

    def __init__(self, cluster_token: str, on_refusal_report: OnRefusalReport):
        self._on_refusal_report = on_refusal_report
        self._auth_headers = (
            {"authorization": f"Bearer {cluster_token}"} if cluster_token else {}
        )
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    @asynccontextmanager
    async def send(
        self, server: ServerView, attempt: Attempt
    ) -> AsyncIterator[Result[Answer, Failure]]:
        """Send an attempt and yield its answer, or the failure to get one.

        A failure has the outcome not-run only if no connection was made or the
        agent reported this outcome. Leaving the block before the end of the body
        closes the connection, which cancels the attempt at the agent.
        """
        sent = await self._send_request(server, attempt)
        if isinstance(sent, Err):
            yield sent
            return
        response = sent.unwrap()
        try:
            yield await self._parse_answer(server, response)
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()

    async def close_unlisted_pools(self, listed_addrs: set[str]) -> None:
        """Close the pools of agents that are no longer listed, once they are idle."""
        for addr in self._pools.keys() - listed_addrs:
            pool = self._pools[addr]
            if all(conn.is_idle() for conn in pool.connections):
                del self._pools[addr]
                await pool.aclose()

    async def _send_request(
        self, server: ServerView, attempt: Attempt
    ) -> Result[httpcore.Response, Failure]:
        headers = {
            "host": server.http_addr,
            **self._auth_headers,
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
        pool = self._get_pool(server.http_addr)
        try:
            return Success(await pool.handle_async_request(request))
        except _CONNECT_ERRORS as exc:
            return Err(failure(Code.BACKEND_UNREACHABLE, _describe_error(exc)))
        except httpcore.TimeoutException:
            return Err(failure(Code.BACKEND_TIMEOUT))
        except _CONNECTION_ERRORS as exc:
            return Err(failure(Code.OUTCOME_UNKNOWN, _describe_error(exc)))

    async def _parse_answer(
        self, server: ServerView, response: httpcore.Response
    ) -> Result[Answer, Failure]:
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        chunks = _read_body(response)
        load_report = parse_load_report(headers.get("x-cowslip-report", ""))
        if "x-cowslip-outcome" not in headers:
            return Success(Answer(response.status, headers, chunks, load_report))
        if load_report is not None:
            self._on_refusal_report(server.server_id, load_report)
        return Err(await _read_refusal(chunks))

    def _get_pool(self, addr: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(addr)
        if pool is None:
            pool = self._pools[addr] = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS_PER_AGENT,
                max_keepalive_connections=MAX_IDLE_PER_AGENT,
                keepalive_expiry=IDLE_CONNECTION_LIFE_S,
            )
        return pool


def _describe_error(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"[:200]


async def _read_body(response: httpcore.Response) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except httpcore.TimeoutException:
        raise AnswerCutError(failure(Code.BACKEND_TIMEOUT)) from None
    except _CONNECTION_ERRORS as exc:
        raise AnswerCutError(failure(Code.ANSWER_CUT, _describe_error(exc))) from None


async def _read_refusal(chunks: AsyncIterator[bytes]) -> Failure:
    """Return an agent's refusal.

    A refusal that cannot be parsed does not prove that the request did not run, so
    it becomes OUTCOME_UNKNOWN.
    """
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


def parse_load_report(text: str) -> LoadReport | None:
    """Parse an ``x-cowslip-report`` header; None if it is empty or malformed."""
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
