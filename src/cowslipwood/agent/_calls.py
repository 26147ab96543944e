"""The agent's HTTP interface: calls from entries to the backend server.

Each call is admitted here or refused as not run, and its answer is passed on
as it comes.
"""

from typing import Any

import httpcore
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import wall_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.http import Request, read_request, send_failure, send_response
from ..kernel.messages import AttemptQuery
from ..kernel.metrics import Metrics
from ..kernel.tokens import token_matches
from ..kernel.wire import decode_record, encode_record
from ._attempts import Attempts
from ._ledger import ModelKey
from ._reconcile import Reconciler

__all__ = ["Calls"]

MAX_BODY_BYTES = 8 * 1024 * 1024
RETRY_AFTER_MS = 500
VOID_PATH = "/attempts/void"
_HOP_HEADERS = ("connection", "transfer-encoding", "keep-alive", "host")


class Calls:
    """Serves calls from entries, an ASGI application.

    Parameters
    ----------
    backend_url : str
        ``http://ip:port`` of the backend server.
    server_id : str
    cluster_token : str
    reconciler : Reconciler or None
        None beside a plain service.
    attempts : Attempts
    metrics : Metrics
    """

    def __init__(
        self,
        backend_url: str,
        server_id: str,
        cluster_token: str,
        reconciler: Reconciler | None,
        attempts: Attempts,
        metrics: Metrics,
    ):
        self._backend_url = backend_url
        self._server_id = server_id
        self._cluster_token = cluster_token
        self._reconciler = reconciler
        self._attempts = attempts
        self._metrics = metrics
        self._pool = httpcore.AsyncConnectionPool(max_connections=1024)
        self.n_in_flight = 0
        self.leaving = False

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one call."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        if isinstance(read, Err):
            await send_failure(send, read.failure())
            return
        request = read.unwrap()
        if not self._is_trusted(request):
            await self._refuse(send, failure(Code.BAD_TOKEN))
            return
        if request.path == VOID_PATH:
            await self._query_attempt(request, send)
            return
        admitted = self._admit(request)
        if isinstance(admitted, Err):
            fault = admitted.failure()
            fault = self._attempts.refuse(request.headers, fault, wall_ms())
            await self._refuse(send, fault)
            return
        begun = self._attempts.begin(request.headers, wall_ms())
        if isinstance(begun, Err):
            await self._refuse(send, begun.failure())
            return
        self.n_in_flight += 1
        try:
            await self._run(begun.unwrap(), request, send)
        finally:
            self.n_in_flight -= 1

    async def _run(self, attempt: Any, request: Request, send: Any) -> None:
        """Forward a call, and record its answer where it is an attempt."""
        if attempt is None:
            await self._forward(request, send)
            return
        with attempt:
            await self._forward(request, attempt.recorder(send))

    async def _query_attempt(self, request: Request, send: Any) -> None:
        decoded = decode_record(AttemptQuery, request.body)
        if isinstance(decoded, Err):
            await self._refuse(send, decoded.failure())
            return
        ended = await self._attempts.query(decoded.unwrap(), wall_ms())
        if isinstance(ended, Err):
            await self._refuse(send, ended.failure())
            return
        await send_response(send, 200, {}, encode_record(ended.unwrap()))

    async def _refuse(self, send: Any, fault: Failure) -> None:
        self._metrics.count("refusals_total", reason=fault.code.name)
        await send_failure(send, fault)

    def _is_trusted(self, request: Request) -> bool:
        given = request.headers.get("authorization", "").removeprefix("Bearer ")
        return token_matches(self._cluster_token, given)

    def _admit(self, request: Request) -> Result[Request, Failure]:
        if self.leaving:
            return Err(failure(Code.AGENT_LEAVING, "", RETRY_AFTER_MS))
        if request.headers.get("x-cowslip-server", "") != self._server_id:
            return Err(failure(Code.WRONG_SERVER, "", RETRY_AFTER_MS))
        if self._reconciler is None:
            return Success(request)
        body = orjson.loads(request.body)
        key = ModelKey(body["model"], body["version"])
        if not self._reconciler.is_ready(key):
            return Err(failure(Code.MODEL_NOT_READY, "", RETRY_AFTER_MS))
        return Success(request)

    async def _forward(self, request: Request, send: Any) -> None:
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name not in _HOP_HEADERS and name != "authorization"
        ]
        started = False
        try:
            async with self._pool.stream(
                request.method,
                self._backend_url + request.target,
                headers=[("host", "backend"), *headers],
                content=request.body,
            ) as response:
                pairs = [
                    (name.lower(), value)
                    for name, value in response.headers
                    if name.lower().decode() not in (*_HOP_HEADERS, "x-cowslip-outcome")
                ]
                await send(
                    {
                        "type": "http.response.start",
                        "status": response.status,
                        "headers": pairs,
                    }
                )
                started = True
                async for chunk in response.aiter_stream():
                    event = {"type": "http.response.body", "body": chunk}
                    await send({**event, "more_body": True})
                await send({"type": "http.response.body", "body": b""})
        except httpcore.ConnectError:
            await send_failure(send, failure(Code.BACKEND_UNREACHABLE))
        except (httpcore.NetworkError, httpcore.ProtocolError):
            if started:
                raise
            await send_failure(send, failure(Code.OUTCOME_UNKNOWN))
