"""Keeps to the limits of customers, which hold for all entries together.

The leader grants parts of a limit. An entry holds a small reserve of each limited
customer that it serves, and asks for more before that runs out. An entry that has lost
its leader admits a part of its own share for a short time.
"""

import math
import uuid
from collections import deque
from collections.abc import Awaitable, Callable

import anyio
from returns.result import Failure as Err
from returns.result import Result

from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code, Failure, failure
from ...kernel.logs import get_logger
from ...kernel.messages import (
    Allowance,
    AllowanceGrant,
    AllowanceNeed,
    AllowanceRequest,
)
from ...kernel.metrics import Metrics
from ...routes import Customer, LimitUnit, RouteDocument
from ...server_limits import (
    ALLOWANCE_LIFE_MS,
    ALONE_MS,
    ALONE_SHARE,
    MAX_ALLOWANCE_WAIT_MS,
    PREFETCH_MS,
    Reserve,
    TokenBucket,
    UseMeter,
)
from ._headers import HeaderNames, Headers, read_token_total
from ._retries import LiveEntryCount

__all__ = ["AllowanceSource", "CustomerLimits", "RequestAllowance", "count_units"]

# Asks the leader; the second argument is the longest wait in milliseconds.
AllowanceSource = Callable[
    [AllowanceRequest, float], Awaitable[Result[AllowanceGrant, Failure]]
]

# Largest number of questions per second that all entries together ask the leader.
MAX_QUESTIONS_PER_S = 4_000.0
# Least time, in milliseconds, between two questions of one entry. Requests that arrive
# meanwhile share the next one.
MIN_QUESTION_PAUSE_MS = 10.0
# Longest time, in milliseconds, for which an entry waits for a reply. It is half of the
# lifetime of a grant, so that a second question can be answered while requests wait.
REPLY_TIMEOUT_MS = 0.5 * ALLOWANCE_LIFE_MS
# Questions that one entry may ask at that pause, whatever its part of the number per
# second. At 350 entries this part is 11, and most entries ask less.
QUESTION_BURST = 10.0
# Time, in milliseconds, after which an entry without a leader asks again.
LOST_PAUSE_MS = 50.0
# Longest time, in milliseconds, for which a request waits, also for a leader. An
# election takes less.
MAX_LEADER_WAIT_MS = 1_000.0
# Time, in milliseconds, for which the share that a leader last reported counts. Load
# moves between entries within seconds.
SHARE_LIFE_MS = 10_000.0
# Time, in milliseconds, after which a rejected caller is told to come back while there
# is no leader.
LOST_RETRY_MS = 1_000.0
# Longest time, in milliseconds, that a rejected caller is told to wait.
MAX_RETRY_AFTER_MS = 10_000.0
# Part of the expected use below which a reserve counts as low. The rest is for the
# time that the reply takes.
LOW_PART = 0.5
# Difference, in units, below which amounts count as equal. Totals of amounts that were
# split and added up again differ by rounding.
ROUNDING = 1e-3
# Time, in milliseconds, for which the account of a customer without a limit is kept. By
# then the leader has applied the document too and forgotten what this entry had used. A
# new account beside the leader's old one would return amounts that were used.
ENDED_ACCOUNT_LIFE_MS = 60_000.0
# Weight of one request in the moving average of the size of requests.
TYPICAL_UNITS_WEIGHT = 0.1


def count_units(customer: Customer, headers: Headers, names: HeaderNames) -> float:
    """Return what a request counts for in its customer's limit."""
    if customer.unit is LimitUnit.REQUESTS:
        return 1.0
    n_tokens = read_token_total(headers, names)
    return float(customer.plain_tokens if n_tokens is None else n_tokens)


def _get_limit(customer: Customer) -> tuple[float, float, LimitUnit]:
    return customer.rate_per_s, customer.burst, customer.unit


class _Waiter:
    """A request that the reserve did not cover."""

    def __init__(self, n_units: float, arrived_ms: float):
        self.n_units = n_units
        self.arrived_ms = arrived_ms
        self.is_decided = anyio.Event()
        self.refusal: Failure | None = None


class _Account:
    """What an entry holds and has used of one customer's limit."""

    def __init__(self, customer: Customer, now_ms: float):
        self.customer = customer
        self.reserve = Reserve(ALLOWANCE_LIFE_MS)
        self.waiters: deque[_Waiter] = deque()
        # Admitted requests that were not sent yet, and all that were sent.
        self.n_pending = 0.0
        self.n_used = 0.0
        # Of these, what no leader has granted.
        self.n_unpaid = 0.0
        # What the leader takes as held or used by this entry.
        self.n_lent = 0.0
        self.use = UseMeter(now_ms)
        self._typical_units: float | None = None
        self.share = 0.0
        self.share_at_ms = -math.inf
        self.n_alone = 0.0
        self.next_ask_ms = -math.inf
        # When the customer ceased to have a limit; None while it has one.
        self.ended_at_ms: float | None = None
        # Size of the request that the last question was asked for.
        self.asked_for = math.inf
        # Size from which requests are refused, and until when.
        self.refused_from = math.inf
        self.refused_until_ms = -math.inf

    def set_customer(self, customer: Customer) -> None:
        """Follow a newer document; what was refused may be within another limit."""
        if _get_limit(customer) != _get_limit(self.customer):
            self.refused_from = math.inf
            self.refused_until_ms = self.next_ask_ms = -math.inf
        self.customer = customer

    def compute_expected_use(self, now_ms: float) -> float:
        """Return the use until after the next question; 0 for less than a request."""
        expected = self.use.compute_per_s(now_ms) * PREFETCH_MS / 1000
        return expected if expected >= (self._typical_units or 0.0) else 0.0

    def record_size(self, n_units: float) -> None:
        """Record the size of a request."""
        if self._typical_units is None:
            self._typical_units = n_units
        self._typical_units += TYPICAL_UNITS_WEIGHT * (n_units - self._typical_units)

    def build_need(self, now_ms: float) -> AllowanceNeed | None:
        """Return what the leader is asked for and told; None for nothing."""
        reserved = self.reserve.get_amount(now_ms)
        held = reserved + self.n_pending
        n_waiting = sum(waiter.n_units for waiter in self.waiters)
        is_due = now_ms >= self.next_ask_ms
        wanted = n_waiting + self.compute_expected_use(now_ms) - reserved
        self.asked_for = self.waiters[0].n_units if self.waiters else math.inf
        least = max(0.0, self.asked_for - reserved) if self.waiters else 0.0
        if not is_due or wanted <= 0:
            wanted = least = 0.0
        if not wanted and not self._has_news(held):
            return None
        return AllowanceNeed(
            self.customer.name, wanted, least, held, self.n_used, self.n_unpaid
        )

    def compute_due_ms(self, now_ms: float) -> float:
        """Return when the leader is to be asked; infinite for not at all."""
        reserved = self.reserve.get_amount(now_ms)
        if self.waiters or reserved < LOW_PART * self.compute_expected_use(now_ms):
            return self.next_ask_ms
        if self._has_news(reserved + self.n_pending):
            return max(now_ms, self.next_ask_ms)
        return self.reserve.expires_at_ms

    def _has_news(self, held: float) -> bool:
        """Return whether there is something to return or to pay."""
        return self.n_unpaid > 0 or held + self.n_used < self.n_lent - ROUNDING


class CustomerLimits:
    """An entry's reserves, one for each limited customer that it serves.

    Parameters
    ----------
    ask_leader : AllowanceSource
    live_entries : LiveEntryCount
    metrics : Metrics
    now_ms : callable
        Returns the current time.
    """

    def __init__(
        self,
        ask_leader: AllowanceSource,
        live_entries: LiveEntryCount,
        metrics: Metrics,
        now_ms: Callable[[], float] = monotonic_ms,
    ):
        self._ask_leader = ask_leader
        self._live_entries = live_entries
        self._metrics = metrics
        self._now_ms = now_ms
        self._incarnation = uuid.uuid4().hex
        self._accounts: dict[str, _Account] = {}
        self._number = 0
        self._asked_at_ms = -math.inf
        # Questions that may be asked; its rate follows the number of entries.
        self._questions = TokenBucket(1.0, QUESTION_BURST, 0.0)
        # When the leader was lost; None while it answers.
        self._lost_at_ms: float | None = None
        self._regained_at_ms = -math.inf
        self._woken = anyio.Event()

    def apply_document(self, document: RouteDocument, now_ms: float) -> None:
        """Follow the limits of a document that is in force now.

        Accounts of customers that have had no limit for some time are dropped.
        """
        limited = {
            each.name: each for each in document.list_customers() if each.is_limited
        }
        for name, account in list(self._accounts.items()):
            if name in limited:
                account.ended_at_ms = None
                account.set_customer(limited[name])
            elif account.ended_at_ms is None:
                account.ended_at_ms = now_ms
            elif now_ms - account.ended_at_ms >= ENDED_ACCOUNT_LIFE_MS:
                del self._accounts[name]
        self._woken.set()

    async def take(
        self, customer: Customer, n_units: float, now_ms: float
    ) -> Failure | None:
        """Admit a request, or return CUSTOMER_LIMIT with the time until there is room.

        A request that the reserve does not cover waits for the leader's reply, and
        further for a bucket that is about to fill.
        """
        if not customer.is_limited or n_units <= 0:
            return None
        account = self._find_account(customer, now_ms)
        account.record_size(n_units)
        if not account.waiters and account.reserve.take(n_units, now_ms):
            self._record_use(account, n_units, now_ms)
            self._count(account, "covered")
            self._woken.set()
            return None
        if n_units >= account.refused_from and now_ms < account.refused_until_ms:
            return self._refuse(account, account.refused_until_ms - now_ms)
        waiter = _Waiter(n_units, now_ms)
        account.waiters.append(waiter)
        if n_units < account.refused_from < math.inf:
            account.next_ask_ms = min(account.next_ask_ms, now_ms)
        if self._is_alone(now_ms):
            self._admit_covered(account, now_ms)
        self._woken.set()
        try:
            with anyio.move_on_after(MAX_LEADER_WAIT_MS / 1000):
                await waiter.is_decided.wait()
        except BaseException:
            if waiter in account.waiters:
                account.waiters.remove(waiter)
            elif waiter.refusal is None:
                self.give_back(customer, n_units, self._now_ms())
            raise
        if waiter in account.waiters:
            account.waiters.remove(waiter)
            return self._refuse(account, LOST_RETRY_MS)
        return waiter.refusal

    def record_sent(self, customer: Customer, n_units: float, now_ms: float) -> None:
        """Count units of admitted requests as used; negative ones as not used."""
        account = self._find_account(customer, now_ms)
        account.n_pending -= n_units
        account.n_used += n_units

    def give_back(
        self,
        customer: Customer,
        n_units: float,
        now_ms: float,
        taken_ms: float | None = None,
    ) -> None:
        """Return the units of an admitted request that was not sent.

        Another request may use them for the rest of their lifetime, if any. After that
        they go back to the leader.

        Parameters
        ----------
        customer : Customer
        n_units : float
        now_ms : float
        taken_ms : float, optional
            When the request was admitted; by default now.
        """
        if not customer.is_limited or n_units <= 0:
            return
        account = self._find_account(customer, now_ms)
        account.n_pending -= n_units
        account.use.add(-n_units, now_ms)
        account.reserve.add(n_units, now_ms if taken_ms is None else taken_ms)
        self._count(account, "given_back")
        self._woken.set()

    def charge(self, customer: Customer, n_units: float, now_ms: float) -> None:
        """Count what a request that may have run uses at another server."""
        account = self._find_account(customer, now_ms)
        account.n_unpaid += n_units
        account.n_used += n_units
        account.use.add(n_units, now_ms)
        self._count_units(account, n_units)
        self._woken.set()

    async def run(self) -> None:
        """Ask the leader whenever a reserve needs it, without end."""
        while True:
            self._woken = anyio.Event()
            wait_ms = self._compute_due_ms(self._now_ms()) - self._now_ms()
            if wait_ms > 0:
                with anyio.move_on_after(wait_ms / 1000):
                    await self._woken.wait()
                continue
            await self._ask()

    async def _ask(self) -> None:
        """Ask the leader one question for all customers, and apply the reply."""
        asked_at_ms = self._asked_at_ms = self._now_ms()
        for account in self._accounts.values():
            self._admit_covered(account, asked_at_ms)
        needs = tuple(
            need
            for account in self._accounts.values()
            if (need := account.build_need(asked_at_ms)) is not None
        )
        if not needs:
            return
        self._questions.take(1.0)
        self._number += 1
        request = AllowanceRequest(self._incarnation, self._number, needs)
        reply = await self._ask_leader(request, REPLY_TIMEOUT_MS)
        now_ms = self._now_ms()
        grant = None if isinstance(reply, Err) else reply.unwrap()
        if not isinstance(grant, AllowanceGrant):
            self._apply_loss(now_ms)
            return
        if self._lost_at_ms is not None:
            get_logger().info(
                "customer_limits_regained", after_ms=round(now_ms - self._lost_at_ms)
            )
            self._lost_at_ms = None
            self._regained_at_ms = now_ms
        allowances = {each.customer: each for each in grant.allowances}
        for need in needs:
            if need.customer in allowances:
                self._apply_allowance(
                    need, allowances[need.customer], asked_at_ms, now_ms
                )

    def _apply_allowance(
        self,
        need: AllowanceNeed,
        allowance: Allowance,
        asked_at_ms: float,
        now_ms: float,
    ) -> None:
        account = self._accounts.get(need.customer)
        if account is None:
            return
        account.n_lent = need.held + need.used + allowance.granted
        account.n_unpaid = max(0.0, account.n_unpaid - need.unpaid)
        account.n_alone = 0.0
        own_per_s = account.use.compute_per_s(now_ms)
        account.share = own_per_s / max(own_per_s, allowance.use_per_s, 1e-9)
        account.share_at_ms = now_ms
        if allowance.granted > 0:
            account.reserve.add(allowance.granted, asked_at_ms)
        if not need.wanted:
            return
        account.next_ask_ms = now_ms + allowance.next_ms
        account.refused_from = math.inf
        if allowance.next_ms > MAX_ALLOWANCE_WAIT_MS and need.least > 0:
            # The request may have left meanwhile.
            account.refused_from = account.asked_for
            account.refused_until_ms = account.next_ask_ms
        self._admit_covered(account, now_ms)
        self._refuse_waiters(account, now_ms)
        if account.refused_from < math.inf and account.waiters:
            # The requests that are left are smaller and may still be covered.
            account.next_ask_ms = now_ms

    def _apply_loss(self, now_ms: float) -> None:
        """Admit requests without a leader for a time, and reject the others."""
        if self._lost_at_ms is None:
            self._lost_at_ms = now_ms
            for account in self._accounts.values():
                has_share = now_ms - account.share_at_ms < SHARE_LIFE_MS
                limit = account.customer.rate_per_s * ALONE_MS / 1000
                account.n_alone = ALONE_SHARE * limit * account.share * has_share
            get_logger().info("customer_limits_alone", number=self._number)
        for account in self._accounts.values():
            account.next_ask_ms = now_ms + LOST_PAUSE_MS
            self._admit_covered(account, now_ms)
            self._refuse_waiters(account, now_ms)

    def _admit_covered(self, account: _Account, now_ms: float) -> None:
        """Admit waiting requests in their order while there is enough for them."""
        while account.waiters:
            n_units = account.waiters[0].n_units
            if account.reserve.take(n_units, now_ms):
                self._record_use(account, n_units, now_ms)
                self._count(account, "granted")
            elif self._is_alone(now_ms) and account.n_alone >= n_units:
                account.n_alone -= n_units
                account.n_unpaid += n_units
                self._record_use(account, n_units, now_ms)
                self._count(account, "alone")
            else:
                return
            account.waiters.popleft().is_decided.set()

    def _compute_latest_ms(self, arrived_ms: float) -> float:
        """Return until when a request waits.

        One that arrived while there was no leader, or shortly before, waits longer.
        """
        latest_ms = arrived_ms + MAX_ALLOWANCE_WAIT_MS
        if self._lost_at_ms is not None:
            # A long loss holds up each request for the shorter time only.
            lost_until_ms = self._lost_at_ms + MAX_LEADER_WAIT_MS
            return max(latest_ms, lost_until_ms)
        if arrived_ms < self._regained_at_ms:
            return min(
                arrived_ms + MAX_LEADER_WAIT_MS,
                self._regained_at_ms + MAX_ALLOWANCE_WAIT_MS,
            )
        return latest_ms

    def _refuse_waiters(self, account: _Account, now_ms: float) -> None:
        """Refuse the requests that would wait for too long."""
        pause_ms = max(0.0, account.next_ask_ms - now_ms)
        is_refused = account.refused_from < math.inf
        kept: deque[_Waiter] = deque()
        n_before = 0.0
        for waiter in account.waiters:
            may_ask = is_refused and waiter.n_units < account.refused_from
            due_ms = now_ms if may_ask else now_ms + pause_ms
            if due_ms <= self._compute_latest_ms(waiter.arrived_ms):
                kept.append(waiter)
                continue
            retry_ms = LOST_RETRY_MS
            if self._lost_at_ms is None:
                fill_ms = 1000.0 * n_before / account.customer.rate_per_s
                retry_ms = max(pause_ms, fill_ms, 1.0)
            n_before += waiter.n_units
            waiter.refusal = self._refuse(account, retry_ms)
            waiter.is_decided.set()
        account.waiters = kept

    def _refuse(self, account: _Account, retry_ms: float) -> Failure:
        self._count(account, "refused")
        message = f"customer {account.customer.name} has used its limit"
        retry_after_ms = math.ceil(min(MAX_RETRY_AFTER_MS, max(1.0, retry_ms)))
        return failure(Code.CUSTOMER_LIMIT, message, retry_after_ms)

    def _is_alone(self, now_ms: float) -> bool:
        return self._lost_at_ms is not None and now_ms - self._lost_at_ms < ALONE_MS

    def _compute_due_ms(self, now_ms: float) -> float:
        """Return when to ask next."""
        if not self._accounts:
            return math.inf
        due_ms = min(
            account.compute_due_ms(now_ms) for account in self._accounts.values()
        )
        per_s = MAX_QUESTIONS_PER_S / max(1, self._live_entries.get(now_ms))
        self._questions.set_limit(per_s, QUESTION_BURST, now_ms)
        return max(
            due_ms,
            self._asked_at_ms + MIN_QUESTION_PAUSE_MS,
            now_ms + self._questions.compute_wait_ms(1.0),
        )

    def _find_account(self, customer: Customer, now_ms: float) -> _Account:
        account = self._accounts.get(customer.name)
        if account is None:
            account = self._accounts[customer.name] = _Account(customer, now_ms)
        return account

    def _record_use(self, account: _Account, n_units: float, now_ms: float) -> None:
        account.n_pending += n_units
        account.use.add(n_units, now_ms)
        self._count_units(account, n_units)

    def _count_units(self, account: _Account, n_units: float) -> None:
        name = account.customer.name
        self._metrics.count("customer_units_total", n_units, customer=name)

    def _count(self, account: _Account, outcome: str) -> None:
        name = account.customer.name
        self._metrics.count("customer_requests_total", customer=name, outcome=outcome)


class RequestAllowance:
    """What one request takes from its customer's limit, over all its attempts.

    Parameters
    ----------
    limits : CustomerLimits
    customer : Customer
    n_units : float
    now_ms : callable
        Returns the current time.
    """

    def __init__(
        self,
        limits: CustomerLimits,
        customer: Customer,
        n_units: float,
        now_ms: Callable[[], float],
    ):
        self._limits = limits
        self._customer = customer
        self._n_units = n_units
        self._now_ms = now_ms
        self._is_pending = False
        self._taken_ms = -math.inf
        self._n_sent = 0

    async def take(self) -> Failure | None:
        """Admit the request; fails with CUSTOMER_LIMIT."""
        refusal = await self._limits.take(self._customer, self._n_units, self._now_ms())
        if refusal is None:
            self._is_pending, self._taken_ms = True, self._now_ms()
        return refusal

    async def renew(self, n_possibly_run: int) -> Failure | None:
        """Count an attempt that is about to be sent; fails with CUSTOMER_LIMIT.

        A request that has waited for a server since it was admitted is admitted anew.
        Otherwise all that wait for one server would run at once, beyond the limit. A
        run after one that may have run is counted, and not refused.

        Parameters
        ----------
        n_possibly_run : int
            Number of attempts so far that may have run.
        """
        self._take_back(n_possibly_run)
        now_ms = self._now_ms()
        if self._is_pending and now_ms - self._taken_ms >= ALLOWANCE_LIFE_MS:
            self._give_back()
            refusal = None if n_possibly_run else await self.take()
            if refusal is not None:
                return refusal
        if not self._is_pending:
            self._limits.charge(self._customer, self._n_units, now_ms)
            self._n_sent += 1
            return None
        self._is_pending = False
        self._n_sent += 1
        self._limits.record_sent(self._customer, self._n_units, now_ms)
        return None

    def settle(self, n_possibly_run: int) -> None:
        """Return what the request took for attempts that certainly did not run."""
        self._take_back(n_possibly_run)
        if self._is_pending:
            self._give_back()

    def _take_back(self, n_possibly_run: int) -> None:
        """Undo the counting of the last attempt if that did not run."""
        if self._n_sent > n_possibly_run:
            self._n_sent -= 1
            self._is_pending = True
            self._limits.record_sent(self._customer, -self._n_units, self._now_ms())

    def _give_back(self) -> None:
        self._is_pending = False
        self._limits.give_back(
            self._customer, self._n_units, self._now_ms(), self._taken_ms
        )
