"""How a stand-in engine runs orders."""

from typing import Any

import anyio
import httpcore

from ._memory import EngineMemory, Held

__all__ = ["OrderDesk"]

MAX_ORDERS = 10_000
FETCH_TIMEOUT_S = 120.0


class OrderDesk:
    """Runs load, unload and role orders.

    An engine that checks fencing numbers runs an order once for each id and
    refuses old numbers; one that does not runs whatever arrives, also again.

    Parameters
    ----------
    memory : EngineMemory
    load_ms : float
        Time that a load takes once the weights are fetched.
    checks_fence : bool
    store_url : str
        ``http://ip:port`` of the weight store; empty for none.
    """

    def __init__(
        self, memory: EngineMemory, load_ms: float, checks_fence: bool, store_url: str
    ):
        self._memory = memory
        self._load_ms = load_ms
        self._checks_fence = checks_fence
        self._store_url = store_url
        self._store = httpcore.AsyncConnectionPool()
        self.fence = 0
        self.role = "mixed"
        self.n_loads = 0
        self.n_unloads = 0
        self.states: dict[str, dict[str, Any]] = {}

    async def run(self, order: dict[str, Any]) -> dict[str, Any]:
        """Run an order to its end and return its state."""
        order_id = order["order_id"]
        known = self.states.get(order_id)
        if known is not None and (self._checks_fence or known["state"] == "running"):
            return await self._ended(order_id)
        if self._checks_fence and order["fence"] < self.fence:
            return {"state": "refused", "reason": "old fence"}
        self.fence = max(self.fence, order["fence"])
        self._note(order_id, {"state": "running"})
        self._note(order_id, await self._run(order))
        return self.states[order_id]

    async def _ended(self, order_id: str) -> dict[str, Any]:
        while self.states[order_id]["state"] == "running":
            await anyio.sleep(0.005)
        return self.states[order_id]

    async def _run(self, order: dict[str, Any]) -> dict[str, Any]:
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
            case other:
                return {"state": "refused", "reason": f"unknown order {other}"}

    async def _load(self, order: dict[str, Any]) -> dict[str, Any]:
        key = (order["model"], order["version"])
        base = order.get("base", "")
        if key in self._memory.held:
            return await self._loaded(key)
        if base and not self._memory.has_base(base):
            return {"state": "refused", "reason": "base"}
        if not self._memory.fits(order["memory_bytes"]):
            return {"state": "refused", "reason": "memory"}
        held = Held(*key, base, order["memory_bytes"], "loading")
        self._memory.held[key] = held
        self.n_loads += 1
        fetched = await self._fetch(order["model"])
        if not fetched:
            self._memory.held.pop(key, None)
            return {"state": "refused", "reason": "store"}
        if self._memory.held.get(key) is not held:
            return {"state": "refused", "reason": "unloaded"}
        self._memory.held[key] = held._replace(state="ready")
        return {"state": "done"}

    async def _loaded(self, key: tuple[str, str]) -> dict[str, Any]:
        """Wait for the end of a load that another order began."""
        while key in self._memory.held:
            if self._memory.held[key].state == "ready":
                return {"state": "done"}
            await anyio.sleep(0.005)
        return {"state": "refused", "reason": "unloaded"}

    def _unload(self, order: dict[str, Any]) -> dict[str, Any]:
        key = (order["model"], order["version"])
        if any(held.base == key[0] for held in self._memory.held.values()):
            versions = [name for name, _ in self._memory.held if name == key[0]]
            if len(versions) < 2:
                return {"state": "refused", "reason": "adapters"}
        if self._memory.held.pop(key, None) is not None:
            self.n_unloads += 1
        return {"state": "done"}

    async def _fetch(self, model: str) -> bool:
        """Fetch weights from the store, then take the time of a load."""
        if self._store_url:
            timeout = dict.fromkeys(("connect", "read", "pool"), FETCH_TIMEOUT_S)
            try:
                response = await self._store.request(
                    "GET",
                    f"{self._store_url}/weights/{model}",
                    extensions={"timeout": timeout},
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

    def _note(self, order_id: str, state: dict[str, Any]) -> None:
        self.states[order_id] = state
        if len(self.states) > MAX_ORDERS:
            del self.states[next(iter(self.states))]
