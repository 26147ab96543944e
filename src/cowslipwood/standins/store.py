"""Simulates a weight store that limits the rate of loads and their concurrency."""

from typing import Any, NamedTuple

import anyio

from ..kernel.clock import monotonic_ms
from ..kernel.http import read_request, send_json

__all__ = ["StandinStore", "StoreConfig"]

# Largest request body, in bytes.
MAX_BODY_BYTES = 1024 * 1024


class StoreConfig(NamedTuple):
    """Settings of a stand-in weight store.

    Parameters
    ----------
    loads_per_s : float
        Largest rate at which loads begin; others wait.
    full_speed_loads : int
        Number of loads at full speed at the same time; with more, all take
        proportionally longer.
    fetch_ms : float
        Time of one load at full speed.
    """

    loads_per_s: float = 1.0
    full_speed_loads: int = 2
    fetch_ms: float = 200.0


class StandinStore:
    """Answers ``GET /weights/{model}`` when the load has ended.

    Parameters
    ----------
    config : StoreConfig
    """

    def __init__(self, config: StoreConfig):
        self._config = config
        self._next_load_ms = 0.0
        self._n_active = 0
        self._counts = {"n_loads": 0, "n_waited": 0, "max_active": 0}

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        received = await read_request(scope, receive, MAX_BODY_BYTES)
        request = received.value_or(None)
        if request is None:
            return
        match request.method, request.path.split("/")[1:]:
            case "GET", ["weights", model]:
                await self._simulate_load()
                await send_json(send, 200, {"model": model})
            case "GET", ["standin", "state"]:
                await send_json(send, 200, self._counts)
            case _:
                await send_json(send, 404, {"error": "no such path"})

    async def _simulate_load(self) -> None:
        """Wait until a load may begin, then for the time that it takes."""
        now_ms = monotonic_ms()
        wait_ms = max(0.0, self._next_load_ms - now_ms)
        self._next_load_ms = (
            max(now_ms, self._next_load_ms) + 1000 / self._config.loads_per_s
        )
        self._counts["n_waited"] += wait_ms > 0
        await anyio.sleep(wait_ms / 1000)
        self._n_active += 1
        self._counts["n_loads"] += 1
        self._counts["max_active"] = max(self._counts["max_active"], self._n_active)
        try:
            slowdown_factor = max(1.0, self._n_active / self._config.full_speed_loads)
            await anyio.sleep(self._config.fetch_ms * slowdown_factor / 1000)
        finally:
            self._n_active -= 1
