"""Dialects for engines that take orders as JSON over HTTP."""

from typing import Any

import httpcore
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, failure
from ...kernel.messages import Resident
from ...kernel.registry import PluginKind, register
from ._dialect import EngineState, Order

__all__ = ["FencedEngine", "UnfencedEngine"]

DEFAULT_ORDER_TIMEOUT_MS = 30_000
STATE_TIMEOUT_S = 2.0
CANCEL_TIMEOUT_S = 2.0


class _HttpEngine:
    """Talks to one engine over HTTP.

    Parameters
    ----------
    url : str
        ``http://ip:port`` of the engine.
    order_timeout_ms : float
        Time after which the end of an order counts as unknown.
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
            response = await self._pool.request(
                "GET",
                f"{self._url}/engine/state",
                extensions=_timeouts(STATE_TIMEOUT_S),
            )
            return Success(_engine_state(orjson.loads(response.content)))
        except _HTTP_ERRORS as exc:
            return Err(failure(Code.BACKEND_UNREACHABLE, repr(exc)))

    async def order(self, order: Order) -> Result[None, Failure]:
        """Run an order to its end."""
        try:
            response = await self._pool.request(
                "POST",
                f"{self._url}/engine/orders",
                content=orjson.dumps(order._asdict()),
                extensions=_timeouts(self._order_timeout_ms / 1000),
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
        """End a call at the engine."""
        try:
            response = await self._pool.request(
                "POST",
                f"{self._url}/engine/cancel",
                content=orjson.dumps({"request_id": request_id}),
                extensions=_timeouts(CANCEL_TIMEOUT_S),
            )
        except _HTTP_ERRORS as exc:
            return Err(failure(Code.BACKEND_UNREACHABLE, repr(exc)))
        if response.status != 200:
            return Err(failure(Code.BACKEND_UNREACHABLE, f"status {response.status}"))
        return Success(None)


_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
    ValueError,
    KeyError,
    TypeError,
)


def _timeouts(seconds: float) -> dict[str, Any]:
    return {"timeout": {"connect": 1.0, "read": seconds, "write": 1.0, "pool": 1.0}}


def _engine_state(value: dict[str, Any]) -> EngineState:
    return EngineState(
        capacity_bytes=value["capacity_bytes"],
        fence=value["fence"],
        residents=tuple(
            Resident(item["name"], item["version"], item["state"], item["memory_bytes"])
            for item in value["models"]
        ),
        order_states={key: item["state"] for key, item in value["orders"].items()},
        n_in_flight=value["n_in_flight"],
        knee_in_flight=value["knee_in_flight"],
        kv_bytes=value["kv_bytes"],
        kv_bytes_per_token=value["kv_bytes_per_token"],
        bases={
            (item["name"], item["version"]): item["base"]
            for item in value["models"]
            if item["base"]
        },
    )


@register(PluginKind.ENGINE_DIALECT, "fenced")
class FencedEngine(_HttpEngine):
    """An engine that refuses orders with an old fencing number."""

    checks_fence = True


@register(PluginKind.ENGINE_DIALECT, "unfenced")
class UnfencedEngine(_HttpEngine):
    """An engine that runs any order whenever it arrives."""

    checks_fence = False
