"""Tests that customers use no more than their limits over all entries, and no less."""

import random
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import anyio

from cowslipwood.entry.direct._app import RouteApp
from cowslipwood.entry.direct._customer_limits import (
    CustomerLimits,
    RequestAllowance,
    count_units,
)
from cowslipwood.entry.direct._retries import LiveEntryCount
from cowslipwood.keeper._customer_limits import CustomerLimitTable
from cowslipwood.kernel.codes import Code, Outcome
from cowslipwood.kernel.messages import (
    Allowance,
    AllowanceGrant,
    AllowanceNeed,
    AllowanceRequest,
)
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.routes import Customer, LimitUnit
from cowslipwood.server_limits import (
    ALLOWANCE_LIFE_MS,
    ALONE_MS,
    LimitTolerance,
    Reserve,
)

from .customer_limit_builders import (
    LARGE_RATE_PER_S,
    Leaders,
    Use,
    build_customer,
    build_customers_document,
    compute_allowed,
    compute_most_used,
    draw_tokens,
    list_refused,
    list_wrongly_refused,
    run_virtually,
    sum_used,
    virtual_ms,
)
from .direct_builders import (
    NAMES,
    ServerScript,
    always_send,
    build_answer,
    build_direct_state,
    build_document,
    build_listed_server,
    create_rng,
    route_value,
    run_scripted_server,
    success,
)
from .test_direct_app import call as call_app

# Numbers of entries: a small deployment, the ones that have customers, and the size of
# docs/CAPACITY.md.
ENTRY_COUNTS = (8, 60, 350)


def choose_unevenly(n_entries: int) -> Callable[[random.Random], int]:
    """Return a choice in which one entry gets half of the requests."""

    def choose(rng: random.Random) -> int:
        return 0 if rng.random() < 0.5 else rng.randrange(n_entries)

    return choose


def choose_evenly(n_entries: int) -> Callable[[random.Random], int]:
    """Return a choice in which every entry gets as many requests."""
    return lambda rng: rng.randrange(n_entries)


def choose_moving(n_entries: int, stay_ms: float) -> Callable[[random.Random], int]:
    """Return a choice of one entry that changes all the time."""
    return lambda rng: int(virtual_ms() / stay_ms) * 7 % n_entries


class LimitTestCase(unittest.TestCase):
    """A test case that checks the use of customers."""

    def assert_within_window(
        self, leaders: Leaders, customer: Customer, from_ms: float = 0.0
    ) -> None:
        """Check that no window has more use than the deployment allows."""
        most = compute_most_used(leaders.uses, customer.name, from_ms)
        self.assertLessEqual(most, compute_allowed(customer))

    def assert_none_wrongly_refused(self, leaders: Leaders, customer: Customer) -> None:
        """Check that no request within the limit was refused."""
        self.assertEqual(list_wrongly_refused(leaders.uses, customer), [])


class LoadTest(LimitTestCase):
    """Load on entries that are connected to a leader."""

    def _run(
        self,
        n_entries: int,
        load: float,
        choose: Callable[[random.Random], int],
        duration_s: float = 12.0,
        customer: Customer | None = None,
        **options: float,
    ) -> tuple[Leaders, Customer]:
        customer = customer or build_customer()
        document = build_customers_document(customer)
        leaders = Leaders(document, n_entries, **options)

        async def send() -> None:
            await anyio.sleep(1.5)
            await leaders.send(customer, load, duration_s, choose)

        async def main() -> None:
            await leaders.run(send)

        run_virtually(main)
        return leaders, customer

    # An even share for each entry rejects half of what a busy entry gets.
    def test_uneven_load_within_limit(self):
        """If one entry gets half of the load, nothing within the limit is refused."""
        for n_entries in ENTRY_COUNTS:
            with self.subTest(n_entries=n_entries):
                choose = choose_unevenly(n_entries)
                leaders, customer = self._run(n_entries, 0.8, choose)
                self.assertEqual(list_refused(leaders.uses, customer.name), [])
                self.assert_within_window(leaders, customer)

    # Shares that follow the load slowly reject what has just moved.
    def test_moving_load_within_limit(self):
        """Load that moves from entry to entry is not refused within the limit."""
        for n_entries in ENTRY_COUNTS:
            for stay_ms in (100.0, 1_000.0):
                with self.subTest(n_entries=n_entries, stay_ms=stay_ms):
                    choose = choose_moving(n_entries, stay_ms)
                    leaders, customer = self._run(n_entries, 0.8, choose)
                    self.assertEqual(list_refused(leaders.uses, customer.name), [])
                    self.assert_within_window(leaders, customer)

    # Entries that count alone admit a multiple of the limit.
    def test_six_times_the_load(self):
        """Over the limit a customer gets the limit, and refusals say when to return."""
        for n_entries in ENTRY_COUNTS:
            for burst in (0.0, LARGE_RATE_PER_S):
                with self.subTest(n_entries=n_entries, burst=burst):
                    customer = build_customer(burst=burst)
                    leaders, _ = self._run(
                        n_entries,
                        6 * 0.8,
                        choose_evenly(n_entries),
                        customer=customer,
                    )
                    self.assert_within_window(leaders, customer)
                    used = sum_used(leaders.uses, customer.name)
                    self.assertGreaterEqual(used, 0.9 * 12.0 * LARGE_RATE_PER_S)
                    refused = list_refused(leaders.uses, customer.name)
                    for use in refused:
                        self.assertEqual(use.refusal.code, Code.CUSTOMER_LIMIT)
                        self.assertEqual(use.refusal.outcome, Outcome.NOT_RUN)
                        self.assertGreater(use.refusal.retry_after_ms, 0)

    # A bucket of one second of a small rate holds three requests of usual size. Of a
    # customer well within its limit over the window, one request in ten was rejected.
    def test_small_customer_with_large_requests(self):
        """Nothing is rejected of a small customer that uses half of its limit."""
        for n_entries in (8, 60):
            with self.subTest(n_entries=n_entries):
                small = build_customer(rate_per_s=29_000.0, burst=29_000.0)
                leaders, _ = self._run(
                    n_entries,
                    0.5,
                    choose_evenly(n_entries),
                    duration_s=30.0,
                    customer=small,
                )
                self.assertEqual(list_refused(leaders.uses, small.name), [])
                self.assert_within_window(leaders, small)

    # A bucket that small requests keep empty never has enough for a large one.
    def test_large_requests_over_the_limit(self):
        """Over the limit the largest tenth is served half as often as all or more."""
        leaders, _ = self._run(60, 2.0, choose_evenly(60))
        sizes = sorted(use.n_units for use in leaders.uses)
        large = [u for u in leaders.uses if u.n_units >= sizes[len(sizes) * 9 // 10]]
        served = sum(use.refusal is None for use in leaders.uses) / len(sizes)
        large_served = sum(use.refusal is None for use in large) / len(large)
        self.assertGreaterEqual(large_served, 0.5 * served)

    # One customer over its limit took the leader's time from another.
    def test_other_customer_undisturbed(self):
        """A customer within its limit is not refused beside one far over its own."""
        greedy = build_customer(name="greedy", rate_per_s=50_000.0, burst=50_000.0)
        modest = build_customer()
        leaders = Leaders(build_customers_document(greedy, modest), 60)

        async def send() -> None:
            await anyio.sleep(1.5)
            async with anyio.create_task_group() as tasks:
                choose = choose_evenly(60)
                tasks.start_soon(leaders.send, greedy, 6.0, 10.0, choose, 1)
                tasks.start_soon(leaders.send, modest, 0.7, 10.0, choose, 2)

        async def main() -> None:
            await leaders.run(send)

        run_virtually(main)
        self.assertEqual(list_refused(leaders.uses, "large"), [])
        self.assertTrue(list_refused(leaders.uses, "greedy"))
        self.assert_within_window(leaders, greedy)

    # A return that is counted again with each repeated question fills the bucket twice.
    def test_lost_and_late_messages(self):
        """With a tenth of the messages lost and all repeated late, the limit holds."""
        for load in (0.7, 4.0):
            with self.subTest(load=load):
                leaders, customer = self._run(
                    60, load, choose_evenly(60), loss_share=0.1, late_ms=350.0
                )
                self.assert_within_window(leaders, customer)
                if load < 1.0:
                    n_refused = len(list_refused(leaders.uses, customer.name))
                    self.assertLessEqual(n_refused, 0.01 * len(leaders.uses))

    # Each request of each entry asked the leader, whatever it held.
    def test_number_of_questions(self):
        """All entries ask no more than the leader can answer, at most for a request."""
        customer = build_customer(rate_per_s=10 * LARGE_RATE_PER_S)
        for load in (0.7, 5.0):
            with self.subTest(load=load):
                leaders, _ = self._run(
                    350, load, choose_evenly(350), 4.0, customer=customer
                )
                self.assertLessEqual(leaders.n_asked, 4_000 * 6.0)
                self.assertLessEqual(leaders.n_asked, 2.2 * len(leaders.uses))


class LeaderLossTest(LimitTestCase):
    """Load while leaders are lost and replaced."""

    def _run(
        self,
        load: float,
        disturb: Callable[[Leaders], object],
        n_entries: int = 29,
        duration_s: float = 16.0,
    ) -> tuple[Leaders, Customer]:
        customer = build_customer()
        leaders = Leaders(build_customers_document(customer), n_entries)

        async def send() -> None:
            await anyio.sleep(1.5)
            await leaders.send(customer, load, duration_s, choose_evenly(n_entries))

        async def disturb_until_end() -> None:
            with anyio.move_on_after(duration_s):
                await disturb(leaders)

        async def main() -> None:
            await leaders.run(send, disturb_until_end)

        run_virtually(main)
        return leaders, customer

    # A new leader does not know what the last one has granted.
    def test_leaders_in_turn(self):
        """Over many leaders the limit holds."""

        async def disturb(leaders: Leaders) -> None:
            while True:
                await anyio.sleep(2.0)
                leaders.is_up = False
                await anyio.sleep(0.6)
                leaders.change()
                leaders.is_up = True

        for load in (0.9, 5.0):
            with self.subTest(load=load):
                leaders, customer = self._run(load, disturb)
                self.assert_within_window(leaders, customer)

    # The bucket of a new leader is empty, and requests came before it had filled.
    def test_usual_load_over_one_loss(self):
        """While one leader replaces another, the usual load is not refused."""

        async def disturb(leaders: Leaders) -> None:
            await anyio.sleep(6.0)
            leaders.is_up = False
            await anyio.sleep(0.6)
            leaders.change()
            leaders.is_up = True

        leaders, customer = self._run(0.4, disturb)
        self.assertEqual(list_refused(leaders.uses, customer.name), [])

    # Entries that were cut off went on while the others got the whole limit.
    def test_partition(self):
        """Where half of the entries, or all with load, are cut off, the limit holds."""
        for n_cut in (15, 29):
            with self.subTest(n_cut=n_cut):

                async def disturb(leaders: Leaders, n_cut: int = n_cut) -> None:
                    await anyio.sleep(6.0)
                    leaders.cut_ids = {f"e{i}" for i in range(n_cut)}

                leaders, customer = self._run(5.0, disturb, n_entries=29)
                self.assert_within_window(leaders, customer)

    # Each loss of the leader allowed a share without a leader anew, for nothing.
    def test_connections_that_come_and_go(self):
        """Entries that lose the leader again and again pay for what they use alone."""

        async def disturb(leaders: Leaders) -> None:
            everyone = {f"e{i}" for i in range(29)}
            while True:
                leaders.cut_ids = everyone
                await anyio.sleep(0.7)
                leaders.cut_ids = set()
                await anyio.sleep(0.4)

        leaders, customer = self._run(5.0, disturb)
        self.assert_within_window(leaders, customer)

    # Load moves to the entries that are connected, and these get the whole limit.
    def test_partition_with_moving_load(self):
        """The load of the entries that are cut off comes to the others at once."""
        customer = build_customer()
        leaders = Leaders(build_customers_document(customer), 20)

        async def send() -> None:
            await anyio.sleep(1.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    leaders.send, customer, 5.0, 8.0, lambda rng: rng.randrange(10), 1
                )
                await anyio.sleep(5.0)
                leaders.cut_ids = {f"e{i}" for i in range(10)}
                await anyio.sleep(0.3)
                tasks.start_soon(
                    leaders.send,
                    customer,
                    5.0,
                    8.0,
                    lambda rng: 10 + rng.randrange(10),
                    2,
                )

        async def main() -> None:
            await leaders.run(send)

        run_virtually(main)
        self.assert_within_window(leaders, customer)

    # Another leader may grant the whole limit for as long as an entry has none.
    def test_bounded_time_without_leader(self):
        """Without a leader an entry admits a part of its share, for a time."""

        async def disturb(leaders: Leaders) -> None:
            await anyio.sleep(6.0)
            leaders.is_up = False

        leaders, _ = self._run(1.0, disturb)
        lost_ms = 6_000.0
        alone = [
            use
            for use in leaders.uses
            if use.refusal is None
            and use.decided_ms > lost_ms + ALLOWANCE_LIFE_MS
            and use.decided_ms > lost_ms
        ]
        self.assertTrue(alone)
        used = sum(use.n_units for use in alone)
        self.assertLessEqual(used, 0.5 * LARGE_RATE_PER_S)
        end_ms = max(use.decided_ms for use in alone)
        self.assertLess(end_ms, lost_ms + ALONE_MS + ALLOWANCE_LIFE_MS + 500.0)

    # An entry that never had a leader has no share of the limit.
    def test_start_without_leader(self):
        """An entry that has just started admits nothing without a leader."""
        customer = build_customer()
        leaders = Leaders(build_customers_document(customer), 1)
        leaders.is_up = False

        async def main() -> None:
            await leaders.run(
                lambda: leaders.send(customer, 0.3, 3.0, lambda rng: 0),
            )

        run_virtually(main)
        self.assertEqual(sum_used(leaders.uses, customer.name), 0.0)
        self.assertTrue(leaders.uses)


class DocumentTest(LimitTestCase):
    """Buckets follow the document in force."""

    # A bucket that was full by the limit before still had the larger burst.
    def test_lowered_limit(self):
        """One window after a lowered limit is in force, the use is within it."""
        customer = build_customer()
        lowered = build_customer(rate_per_s=50_000.0, burst=50_000.0)
        leaders = Leaders(build_customers_document(customer), 20)

        async def lower() -> None:
            await anyio.sleep(6.0)
            leaders.document = build_customers_document(lowered, version=2)

        async def main() -> None:
            choose = choose_evenly(20)
            await leaders.run(lower, lambda: leaders.send(customer, 2.0, 20.0, choose))

        run_virtually(main)
        self.assert_within_window(leaders, lowered, 6_000.0 + 2_500.0)
        used = [u for u in leaders.uses if u.decided_ms > 9_000 and u.refusal is None]
        self.assertGreater(sum(use.n_units for use in used), 50_000.0 * 9)

    # An entry went on refusing for as long as the lower limit required.
    def test_raised_limit(self):
        """A request within a raised limit is not refused for the one before it."""
        low = build_customer(rate_per_s=100.0, burst=1_000.0)
        raised = build_customer(rate_per_s=50_000.0, burst=50_000.0)
        leaders = Leaders(build_customers_document(low), 1, tolerance=LimitTolerance())

        async def send() -> None:
            await anyio.sleep(11.0)
            for n_units in (1_000.0, 900.0):
                await leaders.request(leaders.entries[0], low, n_units)
            self.assertEqual(len(list_refused(leaders.uses, "large")), 1)
            leaders.document = build_customers_document(raised, version=2)
            await anyio.sleep(1.0)
            leaders.entries[0].apply_document(leaders.document, virtual_ms())
            await leaders.request(leaders.entries[0], raised, 900.0)

        async def main() -> None:
            await leaders.run(send)

        run_virtually(main)
        self.assertIsNone(leaders.uses[-1].refusal)

    # A request admitted under an older document brought its limit back.
    def test_request_of_an_older_document(self):
        """An older request that ends does not bring back the limit of its time."""
        customer = build_customer()
        lowered = build_customer(rate_per_s=50_000.0, burst=50_000.0)
        state = build_direct_state([])

        async def main() -> Customer:
            limits = state.customer_limits
            limits.charge(customer, 100.0, 0.0)
            state.apply_document(build_customers_document(lowered))
            limits.give_back(customer, 100.0, 1.0)
            return limits._accounts["large"].customer

        self.assertEqual(anyio.run(main), lowered)

    # Entries kept an account of each customer that was ever limited.
    def test_removed_customers(self):
        """Accounts of removed customers are dropped after a time, others are kept."""
        state = build_direct_state([])
        limits = state.customer_limits
        kept = build_customer()

        def apply(version: int, now_ms: float, *customers: Customer) -> list[str]:
            document = build_customers_document(*customers, version=version)
            limits.apply_document(document, now_ms)
            for customer in customers:
                limits.charge(customer, 1.0, now_ms)
            return sorted(limits._accounts)

        for version in range(1, 20):
            customer = build_customer(name=f"c{version}")
            names = apply(version, 30_000.0 * version, kept, customer)
            self.assertLessEqual(len(names), 4)
            self.assertEqual(limits._accounts["large"].n_used, version)
        # One that has a limit again within the time keeps its account.
        for version, now_ms in ((20, 700_000.0), (21, 750_000.0), (22, 800_000.0)):
            names = apply(version, now_ms, *([kept] if version == 21 else []))
        self.assertIn("large", names)
        self.assertEqual(limits._accounts["large"].n_used, 20.0)
        self.assertEqual(apply(23, 900_000.0), [])

    # The page asks that nothing is sent where the document has no limits.
    def test_customer_without_limit(self):
        """For customers without a limit nothing is asked or counted."""
        customer = build_customer(rate_per_s=0.0, burst=0.0)
        leaders = Leaders(build_customers_document(customer), 1)

        async def send() -> None:
            for _ in range(100):
                await leaders.request(leaders.entries[0], customer, 5_000.0)
                leaders.entries[0].give_back(customer, 5_000.0, virtual_ms())
                await anyio.sleep(0.01)

        async def main() -> None:
            await leaders.run(send)

        run_virtually(main)
        self.assertEqual(len(leaders.uses), 100)
        self.assertEqual(list_refused(leaders.uses, customer.name), [])
        self.assertEqual(leaders.n_asked, 0)
        self.assertEqual(leaders.entries[0]._accounts, {})

    # Use without a limit was charged once the customer had a limit again.
    def test_limit_that_returns(self):
        """What was granted while there was no limit is not charged to a later one."""
        customer = build_customer(rate_per_s=1_000.0, burst=1_000.0)
        table = build_table(customer)
        table.grant(build_question(1, wanted=500, least=500), "e1", 1_000.0)
        for version, rate_per_s in ((2, 0.0), (3, 1_000.0)):
            changed = customer._replace(rate_per_s=rate_per_s)
            document = build_customers_document(changed, version=version)
            table.follow(document, 1, 2_000.0)
            question = build_question(version, wanted=100, least=100, used=9_000.0)
            table.grant(question, "e1", 2_000.0)
        self.assertEqual(table.list_uses(2_500.0)[0].level, 500.0)

    # An entry that still had the older document refused what has no limit any more.
    def test_ended_limit(self):
        """An entry that does not know yet that a limit has ended is granted all."""
        table = build_table(build_customer(rate_per_s=0.0))
        reply = table.grant(build_question(1, wanted=9e9, least=9e9), "e1", 1.0)
        self.assertEqual(reply.allowances[0].granted, 9e9)


def build_table(*customers: Customer, now_ms: float = 0.0) -> CustomerLimitTable:
    """Return the table of a leader whose term begins now."""
    table = CustomerLimitTable(Metrics("keeper"))
    table.follow(build_customers_document(*customers), 1, now_ms)
    return table


def build_question(
    number: int,
    *,
    wanted: float = 0.0,
    least: float = 0.0,
    held: float = 0.0,
    used: float = 0.0,
    unpaid: float = 0.0,
) -> AllowanceRequest:
    """Return an entry's question about the large customer."""
    need = AllowanceNeed("large", wanted, least, held, used, unpaid)
    return AllowanceRequest("1", number, (need,))


class TableTest(unittest.TestCase):
    """What the leader grants."""

    def setUp(self):
        self.customer = build_customer(rate_per_s=1_000.0, burst=1_000.0)
        self.table = build_table(self.customer)

    def _grant(self, number: int, now_ms: float, **fields: float) -> float:
        reply = self.table.grant(build_question(number, **fields), "e1", now_ms)
        return reply.allowances[0].granted if reply.allowances else -1.0

    def _get_level(self, now_ms: float) -> float:
        return self.table.list_uses(now_ms)[0].level

    # Another leader may just have granted the burst.
    def test_new_leader_begins_empty(self):
        """A bucket is empty at the start of a term, and fills at the rate."""
        self.assertEqual(self._grant(1, 0.0, wanted=100, least=100), 0.0)
        self.assertEqual(self._grant(2, 500.0, wanted=400, least=400), 400.0)
        document = build_customers_document(self.customer)
        self.table.follow(document, 2, 900.0)
        self.assertEqual(self._get_level(900.0), 0.0)

    # A return that is stated twice would be credited twice.
    def test_return_is_counted_once(self):
        """What comes back is credited once, however often the entry says it."""
        self.assertEqual(self._grant(1, 1_000.0, wanted=800, least=800), 800.0)
        self.assertEqual(self._get_level(1_000.0), 200.0)
        for number in (2, 3, 4):
            self._grant(number, 1_000.0, used=300.0)
            self.assertEqual(self._get_level(1_000.0), 700.0)

    # The entry never uses a grant whose reply it has given up.
    def test_grant_with_lost_reply_comes_back(self):
        """A question that shows that a grant never arrived credits it."""
        self.assertEqual(self._grant(1, 1_000.0, wanted=800, least=800), 800.0)
        again = self._grant(2, 1_000.0, wanted=800, least=800)
        self.assertEqual(again, 800.0)
        self.assertEqual(self._get_level(1_000.0), 200.0)

    # A late question states what the entry held before it was granted more.
    def test_late_question(self):
        """A question that arrives after a newer one changes nothing."""
        self._grant(2, 1_000.0, wanted=800, least=800)
        self.assertEqual(self._grant(1, 1_000.0, wanted=200, least=200), -1.0)
        self.assertEqual(self._get_level(1_000.0), 200.0)

    # What was used without a leader is not free.
    def test_use_without_leader_is_charged_once(self):
        """A bucket is charged once for use without a grant, also if a reply is lost."""
        self._grant(1, 1_000.0, used=300.0, unpaid=300.0)
        self.assertEqual(self._get_level(1_000.0), 700.0)
        self._grant(2, 1_000.0, used=350.0, unpaid=350.0)
        self.assertEqual(self._get_level(1_000.0), 650.0)
        self._grant(3, 1_000.0, used=400.0, unpaid=50.0)
        self.assertEqual(self._get_level(1_000.0), 600.0)

    # What one leader lent would fill the bucket of the next one.
    def test_return_of_what_another_leader_granted(self):
        """It fills no bucket of this leader; its own grants do when they come back."""
        self._grant(1, 500.0, held=300.0)
        self._grant(2, 500.0)
        self.assertEqual(self._get_level(500.0), 500.0)
        self.assertEqual(self._grant(3, 500.0, wanted=200, least=200), 200.0)
        self.assertEqual(self._get_level(500.0), 300.0)
        self._grant(4, 500.0)
        self.assertEqual(self._get_level(500.0), 500.0)

    # A request larger than the burst would wait for ever.
    def test_request_larger_than_burst(self):
        """It is granted from the full bucket, which is negative afterwards."""
        self.assertEqual(self._grant(1, 900.0, wanted=1_500, least=1_500), 0.0)
        self.assertEqual(self._grant(2, 1_000.0, wanted=1_500, least=1_500), 1_500.0)
        self.assertEqual(self._get_level(1_000.0), -500.0)

    # Small requests took each bit before there was enough for a large one.
    def test_turn_of_a_large_request(self):
        """An entry that waits for more is served before one that asks later."""
        self.assertEqual(self._grant(1, 100.0, wanted=400, least=400), 0.0)
        other = build_question(1, wanted=50, least=50)
        reply = self.table.grant(other, "e2", 300.0)
        self.assertEqual(reply.allowances[0].granted, 0.0)
        self.assertEqual(self._grant(2, 400.0, wanted=400, least=400), 400.0)

    # An entry that is killed while it waits must not block the others.
    def test_turn_ends(self):
        """An entry that does not ask again loses its turn."""
        self._grant(1, 100.0, wanted=400, least=400)
        other = build_question(1, wanted=500, least=500)
        reply = self.table.grant(other, "e2", 700.0)
        self.assertEqual(reply.allowances[0].granted, 500.0)

    # A process that has started again knows nothing of its grants.
    def test_entry_starts_again(self):
        """The first question of the next process is answered and credits nothing."""
        self._grant(5, 1_000.0, wanted=800, least=800)
        request = build_question(1, wanted=100, least=100)
        request = request._replace(incarnation="2")
        reply = self.table.grant(request, "e1", 1_000.0)
        self.assertEqual(reply.allowances[0].granted, 100.0)
        self.assertEqual(self._get_level(1_000.0), 100.0)


class MetricsTest(unittest.TestCase):
    """What operators read about customers."""

    # The last values of removed customers, and of former leaders, stayed for good.
    def test_removed_gauges(self):
        """Gauges are those of the customers in force, and of the leader only."""
        gauges = ("customer_bucket_level", "customer_use_per_s")
        customers = [
            build_customer(name=name, rate_per_s=10.0, burst=10.0) for name in "ab"
        ]
        metrics = Metrics("keeper")
        table = CustomerLimitTable(metrics)

        def list_shown() -> list[str]:
            text = metrics.render_text()[0].decode()
            return [
                name
                for name in "ab"
                if all(f'{gauge}{{customer="{name}"}}' in text for gauge in gauges)
            ]

        table.follow(build_customers_document(*customers), 1, 0.0)
        table.set_gauges(1.0)
        self.assertEqual(list_shown(), ["a", "b"])
        table.follow(build_customers_document(customers[1], version=2), 1, 2.0)
        table.set_gauges(3.0)
        self.assertEqual(list_shown(), ["b"])
        table.remove_gauges()
        self.assertEqual(list_shown(), [])
        self.assertNotIn("customer=", metrics.render_text()[0].decode())
        table.set_gauges(4.0)
        self.assertEqual(list_shown(), ["b"])

    # One name with a quotation mark made the whole page of metrics unreadable.
    def test_names_with_quotation_marks(self):
        """Names of customers are escaped in metrics."""
        customer = build_customer(name='a"b\\c', rate_per_s=10.0, burst=10.0)
        metrics = Metrics("keeper")
        table = CustomerLimitTable(metrics)
        table.follow(build_customers_document(customer), 1, 0.0)
        table.set_gauges(1_000.0)
        text = metrics.render_text()[0].decode()
        self.assertIn(r'customer_bucket_level{customer="a\"b\\c"} 10.0', text)
        level = metrics.value("customer_bucket_level", customer=customer.name)
        self.assertEqual(level, 10.0)


class EntryTest(unittest.TestCase):
    """Reserves of one entry."""

    def _run(self, act: Callable[[Leaders, Customer], object]) -> Leaders:
        customer = build_customer(rate_per_s=10_000.0, burst=10_000.0)
        leaders = Leaders(
            build_customers_document(customer), 1, tolerance=LimitTolerance()
        )

        async def run_act() -> None:
            await anyio.sleep(2.0)
            await act(leaders, customer)

        async def main() -> None:
            await leaders.run(run_act)

        run_virtually(main)
        return leaders

    # A grant was used after the leader counted it as gone.
    def test_reserve_expires(self):
        """A reserve that is older than its lifetime is not used."""
        reserve = Reserve(400.0)
        reserve.add(100.0, 0.0)
        reserve.add(50.0, 100.0)
        self.assertTrue(reserve.take(30.0, 399.0))
        self.assertEqual(reserve.get_amount(399.0), 120.0)
        self.assertFalse(reserve.take(60.0, 400.0))
        self.assertTrue(reserve.take(50.0, 499.0))
        self.assertFalse(reserve.take(1.0, 499.0))

    # Requests that servers rejected counted for the customer.
    def test_give_back(self):
        """What did not run can be used by another request, and goes back in the end."""

        async def act(leaders: Leaders, customer: Customer) -> None:
            entry = leaders.entries[0]
            for n_units in (9_000.0, 8_000.0):
                first = RequestAllowance(entry, customer, n_units, virtual_ms)
                self.assertIsNone(await first.take())
                self.assertIsNone(await first.renew(0))
                first.settle(0)
            await anyio.sleep(0.5)
            self.assertEqual(leaders.table.list_uses(virtual_ms())[0].level, 10_000.0)

        self._run(act)

    # Requests that waited for a server for seconds all ran at once when it came.
    def test_requests_that_wait_for_a_server(self):
        """What was admitted while no server was there runs within the limit."""
        customer = build_customer()
        leaders = Leaders(
            build_customers_document(customer), 8, tolerance=LimitTolerance()
        )
        ready_ms = 8_000.0

        async def wait_and_run(entry: CustomerLimits, n_units: float) -> None:
            arrived_ms = virtual_ms()
            allowance = RequestAllowance(entry, customer, n_units, virtual_ms)
            refusal = await allowance.take()
            if refusal is None:
                await anyio.sleep(max(0.0, ready_ms - virtual_ms()) / 1000)
                refusal = await allowance.renew(0)
            use = Use("large", n_units, arrived_ms, virtual_ms(), refusal)
            leaders.uses.append(use)

        async def send() -> None:
            rng = random.Random(4)
            async with anyio.create_task_group() as tasks:
                while virtual_ms() < 14_000.0:
                    entry = rng.choice(leaders.entries)
                    tasks.start_soon(wait_and_run, entry, draw_tokens(rng))
                    await anyio.sleep(rng.expovariate(170.0))

        async def main() -> None:
            await leaders.run(send)

        run_virtually(main)
        most = compute_most_used(leaders.uses, "large")
        self.assertLessEqual(most, compute_allowed(customer))
        self.assertGreater(most, 5.0 * LARGE_RATE_PER_S)

    # A request that ran at two servers used its units twice and counted once.
    def test_retry_of_a_request_that_may_have_run(self):
        """A further run counts, and one that a server disproves does not."""

        async def act(leaders: Leaders, customer: Customer) -> None:
            entry = leaders.entries[0]
            allowance = RequestAllowance(entry, customer, 1_000.0, virtual_ms)
            self.assertIsNone(await allowance.take())
            self.assertIsNone(await allowance.renew(0))
            self.assertIsNone(await allowance.renew(1))
            account = entry._accounts["large"]
            self.assertEqual((account.n_used, account.n_unpaid), (2_000.0, 1_000.0))
            allowance.settle(1)
            self.assertEqual((account.n_used, account.n_pending), (1_000.0, 0.0))
            await anyio.sleep(1.5)
            self.assertEqual(leaders.table.list_uses(virtual_ms())[0].level, 10_000.0)

        self._run(act)

    # A stream that had begun was aborted for the limit when its second resume came.
    def test_late_retry_of_a_request_that_may_have_run(self):
        """A run after one that may have run is not refused, however late it is."""

        async def act(leaders: Leaders, customer: Customer) -> None:
            entry = leaders.entries[0]
            allowance = RequestAllowance(entry, customer, 1_000.0, virtual_ms)
            self.assertIsNone(await allowance.take())
            self.assertIsNone(await allowance.renew(0))
            self.assertIsNone(await allowance.renew(1))
            # The server of the second attempt states that it did not run.
            await anyio.sleep(1.0)
            await leaders.request(entry, customer, 30_000.0)
            self.assertIsNone(leaders.uses[0].refusal)
            self.assertIsNone(await allowance.renew(1))
            account = entry._accounts["large"]
            self.assertEqual(account.n_used, 32_000.0)
            allowance.settle(2)
            await anyio.sleep(5.0)
            table_level = leaders.table.list_uses(virtual_ms())[0].level
            self.assertEqual(table_level, 10_000.0)
            self.assertEqual(account.n_pending, 0.0)

        self._run(act)

    # A caller that left while its request waited took its part with it.
    def test_caller_that_leaves(self):
        """A request that is cancelled while it waits uses nothing."""

        async def act(leaders: Leaders, customer: Customer) -> None:
            entry = leaders.entries[0]
            with anyio.move_on_after(0.001):
                await leaders.request(entry, customer, 9_000.0)
            await anyio.sleep(1.0)
            await leaders.request(entry, customer, 9_000.0)

        leaders = self._run(act)
        self.assertEqual([use.refusal for use in leaders.uses], [None])

    # The refusal held for all sizes, or for that of the next request in the queue.
    def test_refusal_of_a_large_request_that_left(self):
        """Smaller requests ask the leader after a large one that left was refused."""
        customer = build_customer(rate_per_s=10_000.0, burst=10_000.0)

        async def ask(request: AllowanceRequest, timeout_ms: float) -> Any:
            await anyio.sleep(0.05)
            need = request.needs[0]
            if need.least > 1_000.0:
                return success(AllowanceGrant((Allowance("large", 0.0, 2_000.0, 1.0),)))
            granted = Allowance("large", need.wanted, 0.0, 1.0)
            return success(AllowanceGrant((granted,)))

        async def main(small_after_ms: float) -> Any:
            limits = CustomerLimits(
                ask, LiveEntryCount(10_000.0), Metrics("entry"), virtual_ms
            )

            async def request_large() -> None:
                # Its caller leaves while the question is under way.
                with anyio.move_on_after(0.02):
                    await limits.take(customer, 9_000.0, virtual_ms())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(limits.run)
                await anyio.sleep(1.0)
                tasks.start_soon(request_large)
                await anyio.sleep(small_after_ms / 1000)
                refusal = await limits.take(customer, 500.0, virtual_ms())
                tasks.cancel_scope.cancel()
            return refusal

        for small_after_ms in (10.0, 100.0):
            with self.subTest(small_after_ms=small_after_ms):
                refusal = run_virtually(lambda after=small_after_ms: main(after))
                self.assertIsNone(refusal)

    # A process that was stopped for seconds went on with what it held.
    def test_reply_after_a_pause(self):
        """A grant whose reply comes after its lifetime is not used."""
        customer = build_customer(rate_per_s=10_000.0, burst=10_000.0)

        async def ask(request: AllowanceRequest, timeout_ms: float) -> Any:
            # A process that is stopped meanwhile does not notice the time-out.
            await anyio.sleep((ALLOWANCE_LIFE_MS + 1.0) / 1000)
            return success(AllowanceGrant((Allowance("large", 9e9, 0.0, 1.0),)))

        async def main() -> Any:
            limits = CustomerLimits(
                ask, LiveEntryCount(10_000.0), Metrics("entry"), virtual_ms
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(limits.run)
                refusal = await limits.take(customer, 5_000.0, virtual_ms())
                tasks.cancel_scope.cancel()
            return refusal

        self.assertEqual(run_virtually(main).code, Code.CUSTOMER_LIMIT)


class AppTest(unittest.TestCase):
    """Requests of a limited customer through an entry."""

    CUSTOMER = build_customer(rate_per_s=1_000.0, burst=1_000.0)

    def _set_customer(self) -> Any:
        """Let each request be one of the customer, whatever its headers."""
        route_request = RouteApp._route_request

        def add_customer(app: RouteApp, *args: Any) -> Any:
            return route_request(app, *args)._replace(customer=self.CUSTOMER)

        return mock.patch.object(RouteApp, "_route_request", add_customer)

    async def _call(
        self, script: ServerScript, granted: float
    ) -> tuple[int, dict[bytes, bytes], float, int]:
        """Send a request of 200 tokens to an entry whose leader grants an amount.

        Returns
        -------
        tuple
            Status and headers of the answer, the units that the entry counts as used,
            and the number of requests that servers got.
        """

        async def ask(request: AllowanceRequest, timeout_ms: float) -> Any:
            name = request.needs[0].customer
            wait_ms = 0.0 if granted else 1_500.0
            return success(AllowanceGrant((Allowance(name, granted, wait_ms, 1.0),)))

        async with run_scripted_server(script) as (addr, received_heads):
            state = build_direct_state([build_listed_server("s0", addr)])
            state.apply_document(build_document())
            limits = CustomerLimits(ask, state.live_entries, state.metrics)
            state.customer_limits = limits
            with self._set_customer():
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(limits.run)
                    app = RouteApp(state, create_rng())
                    status, headers = await call_app(app, "/orders/7")
                    tasks.cancel_scope.cancel()
            used = limits._accounts["large"].n_used
            return status, headers, used, len(received_heads)

    # A limit that is only counted rejects nobody.
    def test_rejected(self):
        """Over the limit the caller gets 429 with a time, and no server the request."""
        script = always_send(build_answer())
        status, headers, used, n_sent = anyio.run(self._call, script, 0.0)
        self.assertEqual((status, used, n_sent), (429, 0.0, 0))
        self.assertGreater(float(headers[b"retry-after"]), 0.5)

    # An entry that counts refused requests rejects others within the limit.
    def test_used_only_if_run(self):
        """A request counts if it may have run, and not if every server refused it."""
        refusal = build_answer(
            status="503 Service Unavailable", extra_headers="x-cowslip-not-run: 1\r\n"
        )
        for answer, expected_status, expected_used in (
            (build_answer(), 200, 200.0),
            (build_answer(status="500 Internal Server Error"), 500, 200.0),
            (refusal, 503, 0.0),
        ):
            with self.subTest(status=expected_status):
                status, _, used, n_sent = anyio.run(
                    self._call, always_send(answer), 1_000.0
                )
                self.assertEqual((status, used), (expected_status, expected_used))
                self.assertGreater(n_sent, 0)

    # The customer's time limit passed while the request waited, with code 1304.
    def test_deadline_while_waiting(self):
        """A request whose time passes before it is admitted has certainly not run."""

        async def main() -> int:
            state = build_direct_state([])
            state.apply_document(build_document(routes=[route_value(timeout_ms=50)]))
            with self._set_customer():
                app = RouteApp(state, create_rng())
                return (await call_app(app, "/orders/7"))[0]

        self.assertEqual(anyio.run(main), 503)


class CountTest(unittest.TestCase):
    """What a request counts for."""

    def test_units(self):
        """Tokens are the sum of both numbers; without them the customer's default."""
        tokens = build_customer(plain_tokens=200)
        requests = build_customer(unit=LimitUnit.REQUESTS)
        for value, expected in (
            (b"100,50", 150),
            (b" 100 , 50 ", 150),
            (b"0,0", 0),
            (b"100", 200),
            (b"100,-5", 200),
            (b"1,2,3", 200),
            (b"a,b", 200),
            (b"", 200),
        ):
            headers = [(NAMES.tokens, value)]
            self.assertEqual(count_units(tokens, headers, NAMES), expected, value)
            self.assertEqual(count_units(requests, headers, NAMES), 1)
        self.assertEqual(count_units(tokens, [], NAMES), 200)


class ExtremeLimitTest(unittest.TestCase):
    """Limits that a document may contain and that no customer needs."""

    # Guards against a leader that ends by a number of the document.
    def test_answers_and_gauges(self):
        """The leader answers with a number of units, whatever rate and burst are."""
        for rate_per_s in (0.0, 5e-324, 1.0, 1e300, 1.7e308):
            for burst in (0.0, 5e-324, 1e300, 1.7e308):
                with self.subTest(rate_per_s=rate_per_s, burst=burst):
                    customer = Customer("c", rate_per_s=rate_per_s, burst=burst)
                    tolerance = LimitTolerance(8_000.0, 0.1, 110_000.0)
                    table = CustomerLimitTable(Metrics("keeper"), tolerance)
                    for number, now_ms in enumerate((0.0, 100.0, 1e6), 1):
                        document = build_customers_document(customer, version=number)
                        table.follow(document, 1, now_ms)
                        need = AllowanceNeed("c", 5.0, 1.0, 0.0, 0.0, 0.0)
                        request = AllowanceRequest("i", number, (need,))
                        [allowance] = table.grant(request, "e", now_ms).allowances
                        self.assertGreaterEqual(allowance.granted, 0.0)
                        table.set_gauges(now_ms)
