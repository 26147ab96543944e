"""Grants entries parts of the limits of customers.

A limit holds for all entries together, so one process counts: the leader. What it has
granted is in memory only. A new leader begins with empty buckets and learns from the
entries what they hold and use.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..kernel.logs import get_logger
from ..kernel.messages import (
    Allowance,
    AllowanceGrant,
    AllowanceNeed,
    AllowanceRequest,
)
from ..kernel.metrics import Metrics
from ..routes import Customer, RouteDocument
from ..server_limits import (
    FIRST_LEVEL_SHARE,
    LARGER_BUCKET_SHARE,
    MAX_ALLOWANCE_WAIT_MS,
    MIN_BURST_MS,
    LendingBucket,
    LimitTolerance,
    UseMeter,
)

__all__ = ["CustomerLimitTable", "CustomerUse"]

# Time, in milliseconds, by which an entry may ask later than it was told before it
# loses its turn. An entry with little processor time wakes up this late.
TURN_GRACE_MS = 150.0
# Time, in milliseconds, after which an entry that does not ask is forgotten. It is
# longer than any break in the connection of an entry that goes on.
ENTRY_LIFE_MS = 60_000.0
# Difference, in units, below which amounts count as equal. Totals of amounts that were
# split and added up again differ by rounding.
ROUNDING = 1e-3
NO_TOLERANCE = LimitTolerance()


class CustomerUse(NamedTuple):
    """The use and the limit of one customer.

    Parameters
    ----------
    customer : Customer
    use_per_s : float or None
        Use of all entries; None if the customer has no limit, as it is not counted.
    level : float or None
        What the bucket holds.
    """

    customer: Customer
    use_per_s: float | None
    level: float | None


class _Turn(NamedTuple):
    """The place of an entry whose request waits for a bucket to fill."""

    amount: float
    until_ms: float


class CustomerBucket:
    """The bucket of one customer, with the entries that wait for it to fill.

    Parameters
    ----------
    customer : Customer
    now_ms : float
    tolerance : LimitTolerance
    """

    def __init__(
        self,
        customer: Customer,
        now_ms: float,
        tolerance: LimitTolerance = NO_TOLERANCE,
    ):
        self._tolerance = tolerance
        self._bucket = LendingBucket(
            customer.rate_per_s, self._compute_capacity(customer), now_ms
        )
        self._bucket.put_back(FIRST_LEVEL_SHARE * self._compute_excess(customer))
        self._turns: dict[str, _Turn] = {}
        self.use = UseMeter(now_ms)

    def set_limit(self, customer: Customer, now_ms: float) -> None:
        """Follow a new limit; a lower one takes effect at once."""
        capacity = self._compute_capacity(customer)
        self._bucket.set_limit(customer.rate_per_s, capacity, now_ms)

    def get_level(self, now_ms: float) -> float:
        """Return what the bucket holds; negative after a request over the burst."""
        self._bucket.fill(now_ms)
        return self._bucket.level

    def settle(self, n_used: float, n_returned: float, now_ms: float) -> None:
        """Record what has become of granted amounts."""
        self._bucket.fill(now_ms)
        self._bucket.record_used(n_used)
        if n_returned > 0:
            self._bucket.record_returned(n_returned)

    def charge(self, amount: float, now_ms: float) -> None:
        """Take what an entry holds or has used without a grant."""
        self._bucket.fill(now_ms)
        self._bucket.lend(amount)

    def grant(
        self, entry_id: str, wanted: float, least: float, now_ms: float
    ) -> tuple[float, float]:
        """Grant at least `least` if there is enough, and up to `wanted`.

        Entries whose requests wait are served in the order in which they first asked,
        so that small requests do not keep large ones waiting. A request that is larger
        than the bucket is granted from the full bucket.

        Returns
        -------
        tuple of float
            The amount, and the time until there is `least`; one of them is 0.
        """
        bucket = self._bucket
        bucket.fill(now_ms)
        self._drop_late_turns(now_ms)
        before, after = self._sum_other_turns(entry_id)
        needed = before + min(least, bucket.capacity)
        if bucket.level < needed - ROUNDING:
            wait_ms = bucket.compute_wait_ms(needed)
            self._set_turn(entry_id, least, wait_ms, now_ms)
            return 0.0, wait_ms
        self._turns.pop(entry_id, None)
        spare = bucket.level - least - before - after
        granted = least + max(0.0, min(wanted - least, spare))
        bucket.lend(granted)
        return granted, 0.0

    def _compute_capacity(self, customer: Customer) -> float:
        """Return the size of the bucket; a customer without a burst has a small one."""
        burst = customer.burst + LARGER_BUCKET_SHARE * self._compute_excess(customer)
        return max(burst, customer.rate_per_s * MIN_BURST_MS / 1000)

    def _compute_excess(self, customer: Customer) -> float:
        return self._tolerance.compute_excess(customer.rate_per_s, customer.burst)

    def _set_turn(
        self, entry_id: str, least: float, wait_ms: float, now_ms: float
    ) -> None:
        if least > 0 and wait_ms <= MAX_ALLOWANCE_WAIT_MS:
            amount = min(least, self._bucket.capacity)
            self._turns[entry_id] = _Turn(amount, now_ms + wait_ms + TURN_GRACE_MS)
        else:
            self._turns.pop(entry_id, None)

    def _drop_late_turns(self, now_ms: float) -> None:
        for entry_id in [
            entry_id for entry_id, turn in self._turns.items() if now_ms > turn.until_ms
        ]:
            del self._turns[entry_id]

    def _sum_other_turns(self, entry_id: str) -> tuple[float, float]:
        """Return the amounts for entries before an entry, and for those after it."""
        before = after = 0.0
        is_before = True
        for each_id, turn in self._turns.items():
            if each_id == entry_id:
                is_before = False
            elif is_before:
                before += turn.amount
            else:
                after += turn.amount
        return before, after


class _Account:
    """What one entry has of one customer's limit, as the leader knows it."""

    def __init__(self, need: AllowanceNeed):
        self.n_lent = need.held + need.used - need.unpaid
        # Granted by another leader and not yet used or returned.
        self.n_foreign = need.held
        self.n_used = max(0.0, need.used - need.unpaid)

    def subtract_foreign(self, amount: float) -> float:
        """Return the part of an amount that this leader has granted.

        What another leader has granted is used or comes back first, and fills no bucket
        of this one.
        """
        n_foreign = max(0.0, min(amount, self.n_foreign))
        self.n_foreign -= n_foreign
        return amount - n_foreign


class _Entry:
    """One run of an entry, with the number of its last question."""

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.number = 0
        self.asked_at_ms = 0.0
        self.accounts: dict[str, _Account] = {}


class CustomerLimitTable:
    """The buckets of the customers of the document in force.

    Parameters
    ----------
    metrics : Metrics
    tolerance : LimitTolerance
        By default the limits are not exceeded but for what entries hold.
    """

    def __init__(self, metrics: Metrics, tolerance: LimitTolerance = NO_TOLERANCE):
        self._metrics = metrics
        self._tolerance = tolerance
        self._term = -1
        self._document: RouteDocument | None = None
        self._buckets: dict[str, CustomerBucket] = {}
        self._entries: dict[str, _Entry] = {}
        # Customers with gauges.
        self._published: set[str] = set()

    def follow(self, document: RouteDocument | None, term: int, now_ms: float) -> None:
        """Apply a document, and begin anew in another term.

        The caller may act as leader.
        """
        if term != self._term:
            self._term = term
            self._document = None
            self._buckets = {}
            self._entries = {}
        if document is self._document:
            return
        before, self._document = self._document, document
        limited = {
            customer.name: customer
            for customer in (() if document is None else document.list_customers())
            if customer.is_limited
        }
        known = self._buckets
        self._buckets = {
            name: known.get(name) or CustomerBucket(customer, now_ms, self._tolerance)
            for name, customer in limited.items()
        }
        for name, customer in limited.items():
            self._buckets[name].set_limit(customer, now_ms)
        for name in known.keys() - limited.keys():
            # What entries use without a limit must not be charged to a later one.
            for entry in self._entries.values():
                entry.accounts.pop(name, None)
        if limited or known:
            get_logger().info(
                "customer_limits_in_force",
                version=0 if document is None else document.version,
                before=0 if before is None else before.version,
                term=term,
                customers=len(limited),
            )

    def grant(
        self, request: AllowanceRequest, entry_id: str, now_ms: float
    ) -> AllowanceGrant:
        """Answer an entry's question, after `follow` at the same time.

        A question that is older than another one of the entry gets nothing. The entry
        has given it up.
        """
        entry = self._entries.get(entry_id)
        if entry is None or entry.incarnation != request.incarnation:
            self._forget(entry_id, now_ms)
            entry = self._entries[entry_id] = _Entry(request.incarnation)
        if request.number <= entry.number:
            return AllowanceGrant(())
        entry.number = request.number
        entry.asked_at_ms = now_ms
        return AllowanceGrant(
            tuple(
                self._answer_need(entry_id, entry, need, now_ms)
                for need in request.needs
            )
        )

    def list_uses(self, now_ms: float) -> list[CustomerUse]:
        """Return the use and the limit of each customer of the document in force."""
        uses = []
        for customer in self._document.list_customers() if self._document else ():
            bucket = self._buckets.get(customer.name)
            uses.append(
                CustomerUse(customer, None, None)
                if bucket is None
                else CustomerUse(
                    customer, bucket.use.compute_per_s(now_ms), bucket.get_level(now_ms)
                )
            )
        return uses

    def set_gauges(self, now_ms: float) -> None:
        """Publish use and level of each bucket, and of no other customer."""
        self._remove_gauges(self._published - self._buckets.keys())
        for name, bucket in self._buckets.items():
            level = bucket.get_level(now_ms)
            use_per_s = bucket.use.compute_per_s(now_ms)
            self._metrics.gauge("customer_bucket_level", level, customer=name)
            self._metrics.gauge("customer_use_per_s", use_per_s, customer=name)
        self._published = set(self._buckets)

    def remove_gauges(self) -> None:
        """Publish nothing, as another keeper may be the leader."""
        self._remove_gauges(self._published)
        self._published = set()

    def _remove_gauges(self, names: Iterable[str]) -> None:
        for name in names:
            self._metrics.remove("customer_bucket_level", customer=name)
            self._metrics.remove("customer_use_per_s", customer=name)

    def _answer_need(
        self,
        entry_id: str,
        entry: _Entry,
        need: AllowanceNeed,
        now_ms: float,
    ) -> Allowance:
        name = need.customer
        bucket = self._buckets.get(name)
        if bucket is None:
            # The entry still has a document under which the customer has a limit. It
            # is about to get the newer one.
            self._count("no_limit")
            return Allowance(name, need.wanted, 0.0, 0.0)
        account = entry.accounts.get(name)
        if account is None:
            account = entry.accounts[name] = _Account(need)
        self._settle(account, bucket, need, now_ms)
        granted, wait_ms = 0.0, 0.0
        if need.wanted > 0:
            granted, wait_ms = bucket.grant(entry_id, need.wanted, need.least, now_ms)
            account.n_lent += granted
            self._count("granted" if granted else "refused")
        return Allowance(name, granted, wait_ms, bucket.use.compute_per_s(now_ms))

    def _settle(
        self,
        account: _Account,
        bucket: CustomerBucket,
        need: AllowanceNeed,
        now_ms: float,
    ) -> None:
        """Take back what has not been used, and charge what was used without a grant.

        The entry never uses a grant whose reply came too late, so what it neither
        holds nor has used has come back.
        """
        n_kept = need.held + need.used
        if n_kept > account.n_lent:
            bucket.charge(n_kept - account.n_lent, now_ms)
            account.n_lent = n_kept
        bucket.use.add(need.used - account.n_used, now_ms)
        n_used = account.subtract_foreign(need.used - account.n_used)
        n_returned = account.subtract_foreign(account.n_lent - n_kept)
        bucket.settle(n_used, n_returned, now_ms)
        account.n_lent = n_kept
        account.n_used = need.used

    def forget_silent(self, now_ms: float) -> None:
        """Forget entries that have not asked for long; what they had counts as used."""
        for entry_id, entry in list(self._entries.items()):
            if now_ms - entry.asked_at_ms >= ENTRY_LIFE_MS:
                self._forget(entry_id, now_ms)

    def _forget(self, entry_id: str, now_ms: float) -> None:
        entry = self._entries.pop(entry_id, None)
        for name, account in ({} if entry is None else entry.accounts).items():
            if name in self._buckets:
                n_used = account.n_lent - account.n_used
                self._buckets[name].settle(n_used, 0.0, now_ms)

    def _count(self, outcome: str) -> None:
        self._metrics.count("allowances_total", outcome=outcome)
