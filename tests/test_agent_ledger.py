"""The ledger against an engine that takes whatever reaches it."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err

from cowslipwood.agent._memory_ledger import MemoryLedger, ModelKey

CAPACITY = 10
LIFE_MS = 100.0
SIZES = {ModelKey("a", "1"): 5, ModelKey("b", "1"): 6}

_keys = st.sampled_from(sorted(SIZES))
_places = st.integers(0, 2)
_steps = st.one_of(
    st.tuples(st.sampled_from(("load", "unload", "resend")), _keys),
    st.tuples(st.sampled_from(("arrive", "double", "lose", "end_call")), _places),
    st.tuples(st.sampled_from(("loaded_twice", "unloaded")), _keys),
    st.tuples(st.just("pass_ms"), st.sampled_from((1.0, 110.0))),
    st.tuples(st.just("call"), st.integers(1, 6)),
    st.tuples(st.just("restart"), st.none()),
)


class Copy:
    """A copy of an order on its way; it is lost once its life is over."""

    def __init__(self, op: str, key: ModelKey, sent_ms: float):
        self.op = op
        self.key = key
        self.sent_ms = sent_ms


class Bench:
    """An agent's ledger, an unfenced engine and the way between them."""

    def __init__(self):
        self.now_ms = 0.0
        self.ledger = MemoryLedger(CAPACITY, 2, LIFE_MS)
        self.held: dict[ModelKey, int] = {}
        self.copies: list[Copy] = []
        self.open: dict[ModelKey, str] = {}
        self.calls: list[int] = []
        self.high_water = 0
        self.n_loaded = 0

    def take(self, name: str, value: object) -> None:
        """Take one step, then read the engine's state as the agent does."""
        getattr(self, name)(value)
        self.high_water = max(
            self.high_water, sum(self.held.values()) + sum(self.calls)
        )
        self._read()

    def load(self, key: ModelKey) -> None:
        """Order a load where it can be reserved."""
        if key in self.held or key in self.open:
            return
        if not isinstance(self.ledger.reserve(key, SIZES[key]), Err):
            self._send("load", key)

    def unload(self, key: ModelKey) -> None:
        """Order an unload of a model that is held."""
        if key in self.held and key not in self.open:
            self._send("unload", key)

    def resend(self, key: ModelKey) -> None:
        """Send an open order again."""
        if key in self.open:
            self._send(self.open[key], key)

    def arrive(self, place: int) -> None:
        """Let a copy reach the engine, and its answer the agent if it waits."""
        if place >= len(self.copies):
            return
        copy = self.copies.pop(place)
        if copy.op == "load":
            self.n_loaded += copy.key not in self.held
            self.held[copy.key] = SIZES[copy.key]
        else:
            self.held.pop(copy.key, None)
        if self.open.get(copy.key) == copy.op:
            del self.open[copy.key]

    def loaded_twice(self, key: ModelKey) -> None:
        """Load with a copy that stays on its way."""
        self.load(key)
        if self.copies and self.copies[-1].key == key:
            self.double(len(self.copies) - 1)
            self.arrive(len(self.copies) - 1)

    def unloaded(self, key: ModelKey) -> None:
        """Unload without a loss."""
        n_before = len(self.copies)
        self.unload(key)
        if len(self.copies) > n_before:
            self.arrive(n_before)

    def lose(self, place: int) -> None:
        """Lose a copy."""
        del self.copies[place : place + 1]

    def double(self, place: int) -> None:
        """Double a copy."""
        self.copies += self.copies[place : place + 1]

    def pass_ms(self, passed_ms: float) -> None:
        """Let time pass; copies past their life are lost."""
        self.now_ms += passed_ms
        self.copies = [c for c in self.copies if self.now_ms <= c.sent_ms + LIFE_MS]

    def call(self, kv_bytes: int) -> None:
        """Begin a call where its KV cache fits."""
        if self.ledger.has_room_for_kv(kv_bytes):
            self.ledger.reserve_kv(kv_bytes)
            self.calls.append(kv_bytes)

    def end_call(self, place: int) -> None:
        """End a call."""
        if place < len(self.calls):
            self.ledger.release_kv(self.calls.pop(place))

    def restart(self, _: None) -> None:
        """Start a new process that knows only what the engine shows."""
        self.ledger = MemoryLedger(CAPACITY, 2, LIFE_MS)
        self.open = {}
        self.ledger.set_inherited_kv(sum(self.calls))
        self.calls = []
        self.ledger.limit_inherited_kv(0)
        for key, n_bytes in self.held.items():
            self.ledger.reserve_resident(key, n_bytes)
        self.ledger.reserve_for_unknown_orders(self.now_ms)

    def _send(self, op: str, key: ModelKey) -> None:
        self.open[key] = op
        self.copies.append(Copy(op, key, self.now_ms))
        if op == "load":
            self.ledger.record_load_sent(key, self.now_ms)

    def _read(self) -> None:
        for key in SIZES:
            if key in self.open:
                continue
            if key in self.held:
                self.ledger.reserve_resident(key, self.held[key])
            else:
                self.ledger.release(key, self.now_ms)
        self.ledger.expire_late_loads(self.now_ms)


class TestLedger(unittest.TestCase):
    """Lost, late and doubled orders in any order."""

    @settings(derandomize=True, deadline=None, max_examples=1_000)
    @given(st.lists(_steps, min_size=10, max_size=40))
    def test_memory_is_never_over_capacity(self, steps):
        """Models and KV cache at the engine never exceed its capacity."""
        bench = Bench()
        for name, value in steps:
            bench.take(name, value)
            self.assertLessEqual(bench.high_water, CAPACITY)

    def test_doubt_ends(self):
        """Reserved bytes are free again once no order can arrive any more."""
        bench = Bench()
        bench.take("load", ModelKey("b", "1"))
        bench.take("arrive", 0)
        bench.take("unload", ModelKey("b", "1"))
        bench.take("arrive", 0)
        bench.take("load", ModelKey("a", "1"))
        self.assertEqual(bench.ledger.late_load_bytes, 6)
        self.assertEqual(bench.copies, [])
        bench.take("pass_ms", 110.0)
        bench.take("load", ModelKey("a", "1"))
        bench.take("arrive", 0)
        self.assertEqual(bench.held, {ModelKey("a", "1"): 5})
