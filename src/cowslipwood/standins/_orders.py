"""Runs the load, unload and role orders that a stand-in engine receives."""

from typing import Any

import anyio
import httpcore

from ._memory import EngineMemory, Held

__all__ = ["OrderRunner"]

# Number of orders whose state is kept.
MAX_ORDERS = 10_000
# Time to wait for the weight store, in seconds.
FETCH_TIMEOUT_S = 120.0


class OrderRunner:
    """Runs load, unload and role orders.

    An engine that checks fencing numbers runs an order only once for each id and
    refuses orders with an old number. An engine that does not check them runs every
    order that arrives, also a second time.

    Parameters
    ----------
    memory : EngineMemory
    load_ms : float
        Time that a load takes after the weights are fetched.
    checks_fence : bool
        Whether fencing numbers are checked.
    store_url : str
        ``http://ip:port`` of the weight store; empty for none.

    Attributes
    ----------
    highest_fence : int
        Highest fencing number in any order so far.
    role : str
        Role set by the last role order.
    n_loads, n_unloads : int
        Number of loads begun and of unloads done.
    states : dict of str to dict
        State of each recent order by its id, as the engine reports it.
    """

    def __init__(
        self, memory: EngineMemory, load_ms: float, checks_fence: bool, store_url: str
    ):
        self._memory = memory
        self._load_ms = load_ms
        self._checks_fence = checks_fence
        self._store_url = store_url
        self._store_pool = httpcore.AsyncConnectionPool()
        self.highest_fence = 0
        self.role = "mixed"
        self.n_loads = 0
        self.n_unloads = 0
        self.states: dict[str, dict[str, Any]] = {}

    async def run(self, order: dict[str, Any]) -> dict[str, Any]:
        """Run an order to its end and return its state."""
        order_id = order["order_id"]
        earlier = self.states.get(order_id)
        if earlier is not None and (
            self._checks_fence or earlier["state"] == "running"
        ):
            return await self._wait_for_end(order_id)
        if self._checks_fence and order["fence"] < self.highest_fence:
            return {"state": "refused", "reason": "old fence"}
        self.highest_fence = max(self.highest_fence, order["fence"])
        self._record_state(order_id, {"state": "running"})
        self._record_state(order_id, await self._run_operation(order))
        return self.states[order_id]

    async def _wait_for_end(self, order_id: str) -> dict[str, Any]:
        while self.states[order_id]["state"] == "running":
            await anyio.sleep(0.005)
        return self.states[order_id]

    async def _run_operation(self, order: dict[str, Any]) -> dict[str, Any]:
        match order["op"]:
            case "load":
                return await self._load(order)
            case "unload":
                return self._unload(order)
            case "set_role":
                self.role = order["role"]
                return {"state": "done"}
            case "raise_fence":
                return {"state": "done"}
            case unknown:
                return {"state": "refused", "reason": f"unknown order {unknown}"}

    async def _load(self, order: dict[str, Any]) -> dict[str, Any]:
        key = (order["model"], order["version"])
        base = order.get("base", "")
        if key in self._memory.models:
            return await self._wait_for_load(key)
        if base and not self._memory.has_ready_model(base):
            return {"state": "refused", "reason": "base"}
        if not self._memory.check_room(order["memory_bytes"]):
            return {"state": "refused", "reason": "memory"}
        model = Held(*key, base, order["memory_bytes"], "loading")
        self._memory.models[key] = model
        self.n_loads += 1
        is_loaded = await self._fetch_and_load(order["model"])
        if not is_loaded:
            self._memory.models.pop(key, None)
            return {"state": "refused", "reason": "store"}
        if self._memory.models.get(key) is not model:
            return {"state": "refused", "reason": "unloaded"}
        self._memory.models[key] = model._replace(state="ready")
        return {"state": "done"}

    async def _wait_for_load(self, key: tuple[str, str]) -> dict[str, Any]:
        """Wait for the end of a load that another order began and return its state."""
        while key in self._memory.models:
            if self._memory.models[key].state == "ready":
                return {"state": "done"}
            await anyio.sleep(0.005)
        return {"state": "refused", "reason": "unloaded"}

    def _unload(self, order: dict[str, Any]) -> dict[str, Any]:
        key = (order["model"], order["version"])
        if any(model.base == key[0] for model in self._memory.models.values()):
            # Adapters need some version of their base model, so the last one stays.
            versions = [name for name, _ in self._memory.models if name == key[0]]
            if len(versions) < 2:
                return {"state": "refused", "reason": "adapters"}
        if self._memory.models.pop(key, None) is not None:
            self.n_unloads += 1
        return {"state": "done"}

    async def _fetch_and_load(self, model: str) -> bool:
        """Fetch weights from the store and wait for the time that a load takes.

        Returns
        -------
        bool
            False if the weights could not be fetched.
        """
        if self._store_url:
            timeouts = dict.fromkeys(("connect", "read", "pool"), FETCH_TIMEOUT_S)
            try:
                response = await self._store_pool.request(
                    "GET",
                    f"{self._store_url}/weights/{model}",
                    extensions={"timeout": timeouts},
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ):
                return False
            if response.status != 200:
                return False
        await anyio.sleep(self._load_ms / 1000)
        return True

    def _record_state(self, order_id: str, state: dict[str, Any]) -> None:
        self.states[order_id] = state
        if len(self.states) > MAX_ORDERS:
            del self.states[next(iter(self.states))]
