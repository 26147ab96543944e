"""Memory ledger with a simulated engine that runs every order that arrives."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err

from cowslipwood.agent._memory_ledger import MemoryLedger, ModelKey

# Memory of the engine, in bytes.
CAPACITY_BYTES = 10
# Time after which an order can no longer arrive, in milliseconds.
ORDER_LIFE_MS = 100.0
# Size of each model in bytes; the two models do not fit in memory together.
MODEL_BYTES = {ModelKey("a", "1"): 5, ModelKey("b", "1"): 6}

_key_strategy = st.sampled_from(sorted(MODEL_BYTES))
_index_strategy = st.integers(0, 2)
_step_strategy = st.one_of(
    st.tuples(st.sampled_from(("load", "unload", "resend")), _key_strategy),
    st.tuples(
        st.sampled_from(("deliver", "duplicate", "drop", "end_call")), _index_strategy
    ),
    st.tuples(
        st.sampled_from(("load_and_duplicate", "unload_and_deliver")), _key_strategy
    ),
    st.tuples(st.just("advance_time"), st.sampled_from((1.0, 110.0))),
    st.tuples(st.just("start_call"), st.integers(1, 6)),
    st.tuples(st.just("restart_agent"), st.none()),
)


class OrderCopy:
    """A sent copy of an order that has not arrived; lost after the order lifetime."""

    def __init__(self, op: str, key: ModelKey, sent_ms: float):
        self.op = op
        self.key = key
        self.sent_ms = sent_ms


class LedgerSimulation:
    """An agent's ledger, an unfenced engine and the orders sent between them.

    A step is the name of a method and its argument.
    """

    def __init__(self):
        self.now_ms = 0.0
        self.ledger = MemoryLedger(CAPACITY_BYTES, 2, ORDER_LIFE_MS)
        self.held: dict[ModelKey, int] = {}
        self.copies: list[OrderCopy] = []
        self.open_orders: dict[ModelKey, str] = {}
        self.calls_kv_bytes: list[int] = []
        self.max_used_bytes = 0
        self.n_loads = 0

    def run_step(self, name: str, value: object) -> None:
        """Run one step, then read the engine's state as the agent does."""
        getattr(self, name)(value)
        self.max_used_bytes = max(
            self.max_used_bytes, sum(self.held.values()) + sum(self.calls_kv_bytes)
        )
        self._read_engine_state()

    def load(self, key: ModelKey) -> None:
        """Send a load order if its memory can be reserved."""
        if key in self.held or key in self.open_orders:
            return
        if not isinstance(self.ledger.reserve(key, MODEL_BYTES[key]), Err):
            self._send_order("load", key)

    def unload(self, key: ModelKey) -> None:
        """Send an unload order for a model that is held."""
        if key in self.held and key not in self.open_orders:
            self._send_order("unload", key)

    def resend(self, key: ModelKey) -> None:
        """Send an order again whose answer has not arrived."""
        if key in self.open_orders:
            self._send_order(self.open_orders[key], key)

    def deliver(self, index: int) -> None:
        """Deliver a copy to the engine, and its answer to the agent if it waits."""
        if index >= len(self.copies):
            return
        copy = self.copies.pop(index)
        if copy.op == "load":
            self.n_loads += copy.key not in self.held
            self.held[copy.key] = MODEL_BYTES[copy.key]
        else:
            self.held.pop(copy.key, None)
        if self.open_orders.get(copy.key) == copy.op:
            del self.open_orders[copy.key]

    def load_and_duplicate(self, key: ModelKey) -> None:
        """Load a model while a duplicate of the order stays undelivered."""
        self.load(key)
        if self.copies and self.copies[-1].key == key:
            self.duplicate(len(self.copies) - 1)
            self.deliver(len(self.copies) - 1)

    def unload_and_deliver(self, key: ModelKey) -> None:
        """Send an unload order and deliver it at once."""
        n_before = len(self.copies)
        self.unload(key)
        if len(self.copies) > n_before:
            self.deliver(n_before)

    def drop(self, index: int) -> None:
        """Lose a copy of an order."""
        del self.copies[index : index + 1]

    def duplicate(self, index: int) -> None:
        """Duplicate a copy of an order."""
        self.copies += self.copies[index : index + 1]

    def advance_time(self, elapsed_ms: float) -> None:
        """Advance the time; copies older than the order lifetime are lost."""
        self.now_ms += elapsed_ms
        self.copies = [
            copy for copy in self.copies if self.now_ms <= copy.sent_ms + ORDER_LIFE_MS
        ]

    def start_call(self, kv_bytes: int) -> None:
        """Start a call if its KV cache fits."""
        if self.ledger.has_room_for_kv(kv_bytes):
            self.ledger.reserve_kv(kv_bytes)
            self.calls_kv_bytes.append(kv_bytes)

    def end_call(self, index: int) -> None:
        """End a call and release its KV cache."""
        if index < len(self.calls_kv_bytes):
            self.ledger.release_kv(self.calls_kv_bytes.pop(index))

    def restart_agent(self, _: None) -> None:
        """Restart the agent, which then knows only the state of the engine."""
        self.ledger = MemoryLedger(CAPACITY_BYTES, 2, ORDER_LIFE_MS)
        self.open_orders = {}
        self.ledger.set_inherited_kv(sum(self.calls_kv_bytes))
        self.calls_kv_bytes = []
        self.ledger.limit_inherited_kv(0)
        for key, memory_bytes in self.held.items():
            self.ledger.reserve_resident(key, memory_bytes)
        self.ledger.reserve_for_unknown_orders(self.now_ms)

    def _send_order(self, op: str, key: ModelKey) -> None:
        self.open_orders[key] = op
        self.copies.append(OrderCopy(op, key, self.now_ms))
        if op == "load":
            self.ledger.record_load_sent(key, self.now_ms)

    def _read_engine_state(self) -> None:
        for key in MODEL_BYTES:
            if key in self.open_orders:
                continue
            if key in self.held:
                self.ledger.reserve_resident(key, self.held[key])
            else:
                self.ledger.release(key, self.now_ms)
        self.ledger.expire_delayed_loads(self.now_ms)


class TestLedger(unittest.TestCase):
    """Lost, delayed and duplicated orders in any sequence."""

    @settings(derandomize=True, deadline=None, max_examples=1_000)
    @given(st.lists(_step_strategy, min_size=10, max_size=40))
    def test_memory_is_never_over_capacity(self, steps):
        """Models and KV cache never take more than the engine's memory."""
        simulation = LedgerSimulation()
        for name, value in steps:
            simulation.run_step(name, value)
            self.assertLessEqual(simulation.max_used_bytes, CAPACITY_BYTES)

    def test_reservation_for_delayed_load_ends(self):
        """Bytes reserved for a delayed order are free once it can no longer arrive."""
        simulation = LedgerSimulation()
        simulation.run_step("load", ModelKey("b", "1"))
        simulation.run_step("deliver", 0)
        simulation.run_step("unload", ModelKey("b", "1"))
        simulation.run_step("deliver", 0)
        simulation.run_step("load", ModelKey("a", "1"))
        self.assertEqual(simulation.ledger.delayed_load_bytes, 6)
        self.assertEqual(simulation.copies, [])
        simulation.run_step("advance_time", 110.0)
        simulation.run_step("load", ModelKey("a", "1"))
        simulation.run_step("deliver", 0)
        self.assertEqual(simulation.held, {ModelKey("a", "1"): 5})
