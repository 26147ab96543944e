"""Entries and leaders that share customers' limits without a network."""

import asyncio
import math
import random
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from cowslipwood.entry.direct._customer_limits import CustomerLimits
from cowslipwood.entry.direct._retries import LiveEntryCount
from cowslipwood.keeper._customer_limits import CustomerLimitTable
from cowslipwood.kernel.codes import Code, Failure, failure
from cowslipwood.kernel.messages import AllowanceGrant, AllowanceRequest
from cowslipwood.kernel.metrics import Metrics
from cowslipwood.routes import Customer, LimitUnit, RouteDocument
from cowslipwood.server_limits import LimitTolerance

# Numbers of the deployment that has customers: the window of its limits, and by how
# much the use in a window may exceed them.
WINDOW_S = 8.0
OVERAGE = 0.1
SLACK = 110_000.0
DEPLOYMENT_TOLERANCE = LimitTolerance(1_000 * WINDOW_S, OVERAGE, SLACK)
# Limit of its largest customer in tokens per second, and the burst.
LARGE_RATE_PER_S = 277_744.0
# Tokens of its smallest and largest requests.
SMALLEST_TOKENS = 200
LARGEST_TOKENS = 50_000
# Spread of the logarithm of the tokens, and their median. The mean is about 4,900.
TOKENS_SPREAD = 1.0
MEDIAN_TOKENS = 3_000.0
MEAN_TOKENS = 4_900.0


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that counts the time that it would wait, and does not wait."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise AssertionError("every task waits for another one")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        return self._jumping_selector.now_s


def run_virtually(main: Callable[[], Awaitable[Any]]) -> Any:
    """Run a coroutine function in virtual time, which starts at 0."""
    return anyio.run(main, backend_options={"loop_factory": _VirtualLoop})


def virtual_ms() -> float:
    """Return the time of the running event loop."""
    return asyncio.get_running_loop().time() * 1000


def build_customer(**changes: Any) -> Customer:
    """Return a large customer whose limit counts tokens."""
    fields = {
        "name": "large",
        "rate_per_s": LARGE_RATE_PER_S,
        "burst": LARGE_RATE_PER_S,
        "unit": LimitUnit.TOKENS,
        "plain_tokens": 200,
    }
    return Customer(**{**fields, **changes})


def build_customers_document(*customers: Customer, version: int = 1) -> RouteDocument:
    """Return a document of routes that has customers only."""
    return RouteDocument(version, (), (), customers=customers)


def draw_tokens(rng: random.Random) -> int:
    """Return the tokens of a request."""
    tokens = rng.lognormvariate(math.log(MEDIAN_TOKENS), TOKENS_SPREAD)
    return int(min(LARGEST_TOKENS, max(SMALLEST_TOKENS, tokens)))


class Use(NamedTuple):
    """A request that was admitted or refused.

    Parameters
    ----------
    customer : str
    n_units : float
    arrived_ms, decided_ms : float
    refusal : Failure or None
    """

    customer: str
    n_units: float
    arrived_ms: float
    decided_ms: float
    refusal: Failure | None


class Leaders:
    """Leaders in turn, and the entries that ask them.

    Parameters
    ----------
    document : RouteDocument
    n_entries : int
    message_ms : float
        Time that a message takes.
    loss_share : float
        Share of the questions, and of the replies, that are lost.
    late_ms : float
        If not 0, each question arrives a second time so much later.
    tolerance : LimitTolerance

    Attributes
    ----------
    document : RouteDocument
        May be replaced.
    is_up : bool
        Whether there is a leader. May be changed.
    cut_ids : set of str
        Entries that reach no leader. May be changed.
    uses : list of Use
    n_asked : int
        Number of questions.
    """

    def __init__(
        self,
        document: RouteDocument,
        n_entries: int,
        message_ms: float = 2.0,
        loss_share: float = 0.0,
        late_ms: float = 0.0,
        tolerance: LimitTolerance = DEPLOYMENT_TOLERANCE,
    ):
        self._tolerance = tolerance
        self.document = document
        self._message_ms = message_ms
        self._loss_share = loss_share
        self._late_ms = late_ms
        self._rng = random.Random(11)
        self._term = 1
        self.table = CustomerLimitTable(Metrics("keeper"), self._tolerance)
        self.is_up = True
        self.cut_ids: set[str] = set()
        self.uses: list[Use] = []
        self.n_asked = 0
        self._late: list[tuple[float, AllowanceRequest, str]] = []
        self.entries = [self._build_entry(f"e{i}") for i in range(n_entries)]
        for entry in self.entries:
            entry._live_entries.update(n_entries, 0.0)

    def _build_entry(self, entry_id: str) -> CustomerLimits:
        async def ask(request: AllowanceRequest, timeout_ms: float) -> Any:
            with anyio.move_on_after(timeout_ms / 1000):
                return await self._answer(entry_id, request)
            return Err(failure(Code.PEER_SILENT))

        metrics = Metrics("entry")
        return CustomerLimits(ask, LiveEntryCount(10_000.0), metrics, virtual_ms)

    def change(self) -> None:
        """Make another process the leader, which knows nothing."""
        self._term += 1
        self.table = CustomerLimitTable(Metrics("keeper"), self._tolerance)

    async def _answer(
        self, entry_id: str, request: AllowanceRequest
    ) -> Result[AllowanceGrant, Failure]:
        self.n_asked += 1
        if not self.is_up:
            return Err(failure(Code.NO_QUORUM))
        if entry_id in self.cut_ids or self._is_lost():
            await anyio.sleep_forever()
        await anyio.sleep(self._message_ms / 1000)
        if not self.is_up:
            return Err(failure(Code.PEER_GONE))
        grant = self._grant(entry_id, request)
        if self._late_ms:
            due_ms = virtual_ms() + self._late_ms
            self._late.append((due_ms, request, entry_id))
        if self._is_lost():
            await anyio.sleep_forever()
        await anyio.sleep(self._message_ms / 1000)
        return Success(grant)

    def _grant(self, entry_id: str, request: AllowanceRequest) -> AllowanceGrant:
        now_ms = virtual_ms()
        while self._late and self._late[0][0] <= now_ms:
            _, late_request, late_id = self._late.pop(0)
            self.table.grant(late_request, late_id, now_ms)
        self.table.follow(self.document, self._term, now_ms)
        return self.table.grant(request, entry_id, now_ms)

    def _is_lost(self) -> bool:
        return self._rng.random() < self._loss_share

    async def run(self, *loads: Callable[[], Awaitable[None]]) -> None:
        """Run the entries until all loads have ended and are answered."""
        async with anyio.create_task_group() as tasks:
            for entry in self.entries:
                tasks.start_soon(entry.run)
            tasks.start_soon(self._keep_following)
            async with anyio.create_task_group() as load_tasks:
                for load in loads:
                    load_tasks.start_soon(load)
            tasks.cancel_scope.cancel()

    async def _keep_following(self) -> None:
        """Let the buckets of a leader fill from its start, as a keeper does."""
        while True:
            if self.is_up:
                self.table.follow(self.document, self._term, virtual_ms())
            await anyio.sleep(0.05)

    async def send(
        self,
        customer: Customer,
        load: float,
        duration_s: float,
        choose: Callable[[random.Random], int],
        seed: int = 3,
    ) -> None:
        """Send a customer's requests, a multiple of its limit, to entries.

        Parameters
        ----------
        customer : Customer
        load : float
            Tokens per second as a multiple of the limit.
        duration_s : float
        choose : callable
            Returns the index of the entry for the next request.
        seed : int
        """
        rng = random.Random(seed)
        until_ms = virtual_ms() + 1000 * duration_s
        per_s = load * customer.rate_per_s / MEAN_TOKENS
        async with anyio.create_task_group() as tasks:
            while virtual_ms() < until_ms:
                entry = self.entries[choose(rng)]
                tasks.start_soon(self.request, entry, customer, draw_tokens(rng))
                await anyio.sleep(rng.expovariate(per_s))

    async def request(
        self, entry: CustomerLimits, customer: Customer, n_units: float
    ) -> None:
        """Send one request, which runs as soon as it is admitted."""
        arrived_ms = virtual_ms()
        refusal = await entry.take(customer, n_units, arrived_ms)
        if refusal is None and customer.is_limited:
            entry.record_sent(customer, n_units, virtual_ms())
        self.uses.append(Use(customer.name, n_units, arrived_ms, virtual_ms(), refusal))


def compute_allowed(customer: Customer, window_s: float = WINDOW_S) -> float:
    """Return what may be used in a window."""
    limit = customer.rate_per_s * window_s + customer.burst
    return limit * (1 + OVERAGE) + SLACK


def compute_most_used(uses: list[Use], name: str, from_ms: float = 0.0) -> float:
    """Return the most that a customer used in one window."""
    ran = sorted(
        (use.decided_ms, use.n_units)
        for use in uses
        if use.customer == name and use.refusal is None and use.decided_ms >= from_ms
    )
    most = total = 0.0
    first = 0
    for at_ms, n_units in ran:
        total += n_units
        while at_ms - ran[first][0] > 1000 * WINDOW_S:
            total -= ran[first][1]
            first += 1
        most = max(most, total)
    return most


def sum_used(uses: list[Use], name: str) -> float:
    """Return what a customer used in all."""
    return sum(u.n_units for u in uses if u.customer == name and u.refusal is None)


def list_refused(uses: list[Use], name: str) -> list[Use]:
    """Return a customer's refused requests."""
    return [use for use in uses if use.customer == name and use.refusal is not None]


def list_wrongly_refused(uses: list[Use], customer: Customer) -> list[Use]:
    """Return the refused requests that one bucket for all entries would admit."""
    level, at_ms, wrong = customer.burst, 0.0, []
    for use in sorted(uses, key=lambda use: use.arrived_ms):
        if use.customer != customer.name:
            continue
        filled = customer.rate_per_s * (use.arrived_ms - at_ms) / 1000
        level, at_ms = min(customer.burst, level + filled), use.arrived_ms
        if level >= min(use.n_units, customer.burst):
            level -= use.n_units
            if use.refusal is not None:
                wrong.append(use)
    return wrong
