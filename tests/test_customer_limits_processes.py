"""Customers' limits with keeper processes, of which the leader is killed."""

import json
import random
import unittest
from typing import Any

import anyio

from cowslipwood.entry.direct._customer_limits import CustomerLimits
from cowslipwood.entry.direct._retries import LiveEntryCount
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.keeper_addresses import KeeperAddresses
from cowslipwood.kernel.keeper_link import KeeperLink
from cowslipwood.kernel.messages import Hello
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.routes import Customer, LimitUnit

from .agent_bench import TOKEN
from .customer_limit_builders import OVERAGE, WINDOW_S, Use, compute_most_used
from .direct_builders import document_value
from .keepers import KeeperCluster
from .served import wait_until

CUSTOMER = Customer("large", (), None, 40_000.0, 20_000.0, LimitUnit.TOKENS, 200)
# Tokens of each request, and requests per second: three times the limit.
N_TOKENS = 1_000.0
REQUESTS_PER_S = 120.0
# Time, in seconds, before the leader is killed and after that. Together they are
# longer than a window.
BEFORE_S = 4.0
AFTER_S = 6.0


class _Entry:
    """The link of one entry, and its reserves."""

    def __init__(self, keepers: str, entry_id: str):
        hello = Hello("entry", entry_id, "1", "z", TOKEN)
        addresses = KeeperAddresses.parse(keepers)
        self.link = KeeperLink(addresses, hello, _ignore_message)
        live_entries = LiveEntryCount(10_000.0)
        live_entries.update(3, monotonic_ms())
        self.limits = CustomerLimits(self.link.request, live_entries, Metrics("entry"))


async def _ignore_message(value: Any) -> None:
    """Ignore what the leader publishes."""


class LeaderKilledTest(unittest.TestCase):
    """Three keeper processes, and three entries of one customer at its limit."""

    def setUp(self):
        self.cluster = self.enterContext(KeeperCluster())
        self.leader = self.cluster.start_all()
        self.uses: list[Use] = []

    def _apply_customer(self) -> None:
        value = document_value(
            customers=[
                {
                    "name": CUSTOMER.name,
                    "keys": ["k-large"],
                    "rate_per_s": CUSTOMER.rate_per_s,
                    "burst": CUSTOMER.burst,
                    "unit": "tokens",
                    "plain_tokens": 200,
                },
                {"name": "free", "keys": ["k-free"]},
            ]
        )
        path = self.cluster.folder / "document.json"
        path.write_text(json.dumps(value))
        completed = self.cluster.ctl("apply", str(path), "--version", "1")
        self.assertEqual(completed.returncode, 0, completed.stderr)

    def _list_customers(self) -> dict[str, dict[str, Any]]:
        completed = self.cluster.ctl("customers", "--json")
        self.assertEqual(completed.returncode, 0, completed.stderr)
        return {item["customer"]: item for item in json.loads(completed.stdout)}

    async def _request(self, entry: _Entry) -> None:
        arrived_ms = monotonic_ms()
        refusal = await entry.limits.take(CUSTOMER, N_TOKENS, arrived_ms)
        if refusal is None:
            entry.limits.record_sent(CUSTOMER, N_TOKENS, monotonic_ms())
        use = Use(CUSTOMER.name, N_TOKENS, arrived_ms, monotonic_ms(), refusal)
        self.uses.append(use)

    async def _send(self, entries: list[_Entry], duration_s: float) -> None:
        rng = random.Random(5)
        until_ms = monotonic_ms() + 1000 * duration_s
        async with anyio.create_task_group() as tasks:
            while monotonic_ms() < until_ms:
                tasks.start_soon(self._request, rng.choice(entries))
                await anyio.sleep(rng.expovariate(REQUESTS_PER_S))

    async def _run(self) -> dict[str, dict[str, Any]]:
        entries = [_Entry(self.cluster.keepers, f"e{i}") for i in range(3)]
        async with anyio.create_task_group() as tasks:
            for entry in entries:
                tasks.start_soon(entry.link.run)
                tasks.start_soon(entry.limits.run)
            await wait_until(
                lambda: all(entry.link.is_connected for entry in entries),
                "the connections",
            )
            await self._send(entries, BEFORE_S)
            listed = await anyio.to_thread.run_sync(self._list_customers)
            self.cluster.kill(self.leader)
            await self._send(entries, AFTER_S)
            tasks.cancel_scope.cancel()
        return listed

    # A new leader that grants the burst again, and entries that go on alone for long,
    # exceed the limit; ones that stop until their reserves are refilled use too little.
    def test_leader_killed_at_the_limit(self):
        """The limit holds over the loss of the leader, and is used again after it."""
        self._apply_customer()
        listed = anyio.run(self._run)
        allowed = (CUSTOMER.rate_per_s * WINDOW_S + CUSTOMER.burst) * (1 + OVERAGE)
        self.assertLessEqual(compute_most_used(self.uses, CUSTOMER.name), allowed)
        refused = [use for use in self.uses if use.refusal is not None]
        self.assertTrue(refused)
        last_ms = max(use.decided_ms for use in self.uses)
        used = sum(
            use.n_units
            for use in self.uses
            if use.refusal is None and use.decided_ms > last_ms - 2_000.0
        )
        self.assertGreater(used, 0.0)
        self.assertEqual(listed["large"]["rate_per_s"], CUSTOMER.rate_per_s)
        self.assertGreater(listed["large"]["use_per_s"], 0.0)
        self.assertIsNone(listed["free"]["use_per_s"])
