"""A stand-in weight store, limited in loads per second and in concurrency."""

from typing import Any, NamedTuple

import anyio

from ..kernel.clock import monotonic_ms
from ..kernel.http import read_request, send_json

__all__ = ["StandinStore", "StoreConfig"]

MAX_BODY_BYTES = 1024 * 1024


class StoreConfig(NamedTuple):
    """How a stand-in store behaves.

    Parameters
    ----------
    loads_per_s : float
        Rate at which loads may begin; more wait.
    full_speed_loads : int
        Loads at full speed at once; beyond it all take proportionally longer.
    fetch_ms : float
        Time of one load at full speed.
    """

    loads_per_s: float = 1.0
    full_speed_loads: int = 2
    fetch_ms: float = 200.0


class StandinStore:
    """Answers ``GET /weights/{model}`` when the load is through."""

    def __init__(self, config: StoreConfig):
        self._config = config
        self._next_ms = 0.0
        self._n_active = 0
        self._state = {"n_loads": 0, "n_waited": 0, "max_active": 0}

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        request = read.value_or(None)
        if request is None:
            return
        match request.method, request.path.split("/")[1:]:
            case "GET", ["weights", model]:
                await self._load()
                await send_json(send, 200, {"model": model})
            case "GET", ["standin", "state"]:
                await send_json(send, 200, self._state)
            case _:
                await send_json(send, 404, {"error": "no such path"})

    async def _load(self) -> None:
        now_ms = monotonic_ms()
        wait_ms = max(0.0, self._next_ms - now_ms)
        self._next_ms = max(now_ms, self._next_ms) + 1000 / self._config.loads_per_s
        self._state["n_waited"] += wait_ms > 0
        await anyio.sleep(wait_ms / 1000)
        self._n_active += 1
        self._state["n_loads"] += 1
        self._state["max_active"] = max(self._state["max_active"], self._n_active)
        try:
            slowdown = max(1.0, self._n_active / self._config.full_speed_loads)
            await anyio.sleep(self._config.fetch_ms * slowdown / 1000)
        finally:
            self._n_active -= 1
