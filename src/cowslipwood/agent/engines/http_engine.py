"""Dialects for engines that accept orders as JSON over HTTP."""

from typing import Any

import httpcore
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from ...kernel.http_connection import is_valid_status
from ...kernel.messages import Resident
from ...kernel.registry import PluginKind, register
from .._answer_end import was_reset_after_end
from ._dialect import EngineState, Order

__all__ = ["FencedEngine", "UnfencedEngine"]

# Default time without an answer to an order after which its result counts as
# unknown, in milliseconds.
DEFAULT_ORDER_TIMEOUT_MS = 30_000
# Time without an answer after which a read of the engine's state fails, in seconds.
STATE_TIMEOUT_S = 2.0
# Time without an answer after which a cancellation fails, in seconds.
CANCEL_TIMEOUT_S = 2.0


class _HttpEngine:
    """HTTP client of one engine.

    Parameters
    ----------
    url : str
        ``http://ip:port`` of the engine.
    order_timeout_ms : float
        Time without an answer after which the result of an order counts as unknown.
    """

    checks_fence = True
    refusals = {404: Code.MODEL_NOT_READY, 503: Code.AGENT_OVERLOADED}

    def __init__(self, url: str, order_timeout_ms: float = DEFAULT_ORDER_TIMEOUT_MS):
        self._url = url
        self._order_timeout_ms = order_timeout_ms
        self._pool = httpcore.AsyncConnectionPool(max_connections=16)

    async def state(self) -> Result[EngineState, Failure]:
        """Read the engine's state; fails with BACKEND_UNREACHABLE."""
        try:
            response = await self._exchange("GET", "/engine/state", STATE_TIMEOUT_S)
            return Success(_parse_engine_state(orjson.loads(response.content)))
        except _HTTP_ERRORS as exc:
            return Err(failure(Code.BACKEND_UNREACHABLE, repr(exc)))

    async def order(self, order: Order) -> Result[None, Failure]:
        """Send an order and wait for its result; see `EngineDialect`."""
        try:
            response = await self._exchange(
                "POST",
                "/engine/orders",
                self._order_timeout_ms / 1000,
                orjson.dumps(order._asdict()),
            )
            answer = orjson.loads(response.content)
        except _CONNECT_ERRORS as exc:
            return Err(failure(Code.BACKEND_UNREACHABLE, repr(exc)))
        except _HTTP_ERRORS as exc:
            return Err(failure(Code.ORDER_UNCERTAIN, repr(exc)))
        match answer.get("state"), answer.get("reason"):
            case "done", _:
                return Success(None)
            case "refused", "old fence":
                return Err(failure(Code.ORDER_STALE))
            case "refused", reason:
                return Err(failure(Code.ORDER_REFUSED, str(reason)))
            case _:
                return Err(failure(Code.ORDER_UNCERTAIN))

    async def cancel(self, request_id: str) -> Result[None, Failure]:
        """Cancel a call at the engine; see `EngineDialect`."""
        try:
            response = await self._exchange(
                "POST",
                "/engine/cancel",
                CANCEL_TIMEOUT_S,
                orjson.dumps({"request_id": request_id}),
            )
        except _HTTP_ERRORS as exc:
            return Err(failure(Code.BACKEND_UNREACHABLE, repr(exc)))
        if response.status != 200:
            return Err(failure(Code.BACKEND_UNREACHABLE, f"status {response.status}"))
        return Success(None)

    async def _exchange(
        self, method: str, path: str, read_s: float, body: bytes | None = None
    ) -> httpcore.Response:
        """Send a request and read its whole answer.

        Raises an error of `_HTTP_ERRORS` also if the status is invalid, or if the
        connection was reset after its end, which alone marked that of the answer.
        """
        async with self._pool.stream(
            method,
            f"{self._url}{path}",
            content=body,
            extensions=_make_timeouts(read_s),
        ) as response:
            if not is_valid_status(response.status):
                raise httpcore.RemoteProtocolError(f"the status {response.status}")
            await response.aread()
            if await was_reset_after_end(response, method, bool(body)):
                raise httpcore.ReadError("the connection was reset after its end")
        return response


# Errors after which it is certain that a request did not reach the engine.
_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
# Errors of a request or of reading its answer. After one of them, the engine may have
# processed the request.
_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
    ValueError,
    KeyError,
    TypeError,
)


def _make_timeouts(read_s: float) -> dict[str, Any]:
    return {"timeout": {"connect": 1.0, "read": read_s, "write": 1.0, "pool": 1.0}}


def _parse_engine_state(value: dict[str, Any]) -> EngineState:
    return EngineState(
        capacity_bytes=value["capacity_bytes"],
        fence=value["fence"],
        residents=tuple(
            Resident(
                model["name"], model["version"], model["state"], model["memory_bytes"]
            )
            for model in value["models"]
        ),
        order_states={
            order_id: order["state"] for order_id, order in value["orders"].items()
        },
        n_in_flight=value["n_in_flight"],
        knee_in_flight=value["knee_in_flight"],
        kv_bytes=value["kv_bytes"],
        kv_bytes_per_token=value["kv_bytes_per_token"],
        bases={
            (model["name"], model["version"]): model["base"]
            for model in value["models"]
            if model["base"]
        },
    )


@register(PluginKind.ENGINE_DIALECT, "fenced")
class FencedEngine(_HttpEngine):
    """Dialect of an engine that refuses orders with an outdated fencing number."""

    checks_fence = True


@register(PluginKind.ENGINE_DIALECT, "unfenced")
class UnfencedEngine(_HttpEngine):
    """Dialect of an engine that runs every order, whenever the order arrives."""

    checks_fence = False
