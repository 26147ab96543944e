"""Decides which calls begin, wait or are refused.

Calls beyond the backend server's knee wait here, the more urgent classes first.
The queue is bounded by time: a call whose predicted wait is over what is left
to its deadline is refused at once, and one whose deadline passes leaves.
"""

import enum
import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, failure
from ._memory_ledger import MemoryLedger

__all__ = [
    "AdmissionController",
    "CallClass",
    "CallSpec",
    "AdmissionTicket",
    "CallTimeEstimate",
]

MIN_RETRY_MS = 50
MAX_RETRY_MS = 10_000
NEW_SHARE = 0.1
URGENT_EXTRA_SHARE = 0.25


class CallClass(enum.IntEnum):
    """How urgent a call is; low numbers go first."""

    URGENT = 0
    STANDARD = 1
    BATCH = 2


class CallSpec(NamedTuple):
    """What admission needs to know of a call.

    Parameters
    ----------
    call_class : CallClass
    deadline_ms : float
        Monotonic time by which its first byte is due.
    n_tokens : int
        Tokens to be made; 0 beside a plain service.
    kv_bytes : int
        KV cache that it takes at most.
    is_servable : callable
        Returns whether its model may still be called.
    """

    call_class: CallClass
    deadline_ms: float
    n_tokens: int
    kv_bytes: int
    is_servable: Callable[[], bool]


class CallTimeEstimate:
    """Running means of the time that calls take at the backend server."""

    def __init__(self):
        self.first_ms = 0.0
        self.per_token_ms = 0.0
        self._n_seen = 0

    def predict_call_ms(self, n_tokens: int) -> float:
        """Return how long a call holds its place."""
        return self.first_ms + self.per_token_ms * n_tokens

    def add_sample(self, first_ms: float, rest_ms: float, n_tokens: int) -> None:
        """Take the times of a call that ended well."""
        self._n_seen += 1
        share = max(NEW_SHARE, 1 / self._n_seen)
        self.first_ms += share * (first_ms - self.first_ms)
        if n_tokens:
            self.per_token_ms += share * (rest_ms / n_tokens - self.per_token_ms)


class AdmissionTicket:
    """A call that waits or has begun."""

    def __init__(self, spec: CallSpec, call_ms: float):
        self.spec = spec
        self.call_ms = call_ms
        self.decided = anyio.Event()
        self.refusal: Failure | None = None
        self.begun_ms = 0.0
        self.withdrawn = False


class AdmissionController:
    """The places of one backend server and the queue before them.

    Parameters
    ----------
    knee_in_flight : int
        Calls that run at full speed at once.
    ledger : MemoryLedger or None
        Account of KV cache; None beside a plain service.
    """

    def __init__(self, knee_in_flight: int, ledger: MemoryLedger | None):
        self.knee_in_flight = knee_in_flight
        self.time_estimate = CallTimeEstimate()
        self._ledger = ledger
        self._running: set[AdmissionTicket] = set()
        self._queue: list[tuple[int, int, AdmissionTicket]] = []
        self._queued_work_ms = [0.0 for _ in CallClass]
        self._numbers = itertools.count()
        self.n_queued = 0

    @property
    def n_in_flight(self) -> int:
        """Calls at the backend server."""
        return len(self._running)

    def predict_wait_ms(self, now_ms: float, call_class: CallClass) -> float:
        """Predict how long a call of that class that came now would wait."""
        ahead_ms = sum(self._queued_work_ms[: call_class + 1])
        if self.n_in_flight < self._places(call_class) and not ahead_ms:
            return 0.0
        for ticket in self._running:
            ahead_ms += max(0.0, ticket.begun_ms + ticket.call_ms - now_ms)
        return ahead_ms / self.knee_in_flight

    def submit(self, spec: CallSpec, now_ms: float) -> Result[AdmissionTicket, Failure]:
        """Take a call in; it has its place once its ticket is decided.

        Fails, as not run, with AGENT_OVERLOADED, DEADLINE_PASSED, MEMORY_FULL
        or MODEL_NOT_READY.
        """
        fault = self._refusal(spec, now_ms)
        if fault is not None:
            return Err(fault)
        ticket = AdmissionTicket(
            spec, self.time_estimate.predict_call_ms(spec.n_tokens)
        )
        self._push(ticket)
        self.start_queued_calls(now_ms)
        return Success(ticket)

    async def wait_until_decided(self, ticket: AdmissionTicket) -> None:
        """Wait until a ticket is decided, at most to its deadline.

        When the waiting is cancelled, the call is withdrawn.
        """
        left_ms = max(0.0, ticket.spec.deadline_ms - monotonic_ms())
        try:
            with anyio.move_on_after(left_ms / 1000):
                await ticket.decided.wait()
        except BaseException:
            self._withdraw(ticket)
            raise
        if not ticket.decided.is_set():
            self._unqueue(ticket)
            ticket.refusal = _overloaded(self.time_estimate.first_ms)
            ticket.decided.set()

    def recheck(
        self, ticket: AdmissionTicket, now_ms: float
    ) -> Result[AdmissionTicket, Failure]:
        """Check a decided ticket once more, right before its call is sent."""
        if ticket.refusal is not None:
            return Err(ticket.refusal)
        fault = _late_refusal(ticket.spec, now_ms)
        if fault is not None:
            self.release_all(ticket)
            return Err(fault)
        return Success(ticket)

    def release_all(self, ticket: AdmissionTicket) -> None:
        """Free all that a call took that was not sent."""
        self.release_slot(ticket)
        self.release_kv(ticket)

    def release_slot(self, ticket: AdmissionTicket) -> None:
        """Free a call's place."""
        self._running.discard(ticket)
        self.start_queued_calls(monotonic_ms())

    def release_kv(self, ticket: AdmissionTicket) -> None:
        """Free a call's KV cache once the engine has ended the call."""
        if self._ledger is not None:
            self._ledger.release_kv(ticket.spec.kv_bytes)
            self.start_queued_calls(monotonic_ms())

    def start_queued_calls(self, now_ms: float) -> None:
        """Let calls begin for which there is a place."""
        while self._queue:
            ticket = self._queue[0][2]
            fault = _late_refusal(ticket.spec, now_ms)
            if fault is None and not self._has_place(ticket.spec):
                return
            heapq.heappop(self._queue)
            if ticket.decided.is_set():
                continue
            self._unqueue(ticket)
            ticket.refusal = fault
            if fault is None:
                self._begin(ticket, now_ms)
            ticket.decided.set()

    def _refusal(self, spec: CallSpec, now_ms: float) -> Failure | None:
        late = _late_refusal(spec, now_ms)
        if late is not None:
            return late
        usable = self._ledger.capacity_bytes if self._ledger is not None else 0
        if spec.kv_bytes > usable:
            return failure(Code.MEMORY_FULL, f"a call of {spec.kv_bytes} bytes of KV")
        wait_ms = self.predict_wait_ms(now_ms, spec.call_class)
        over_ms = now_ms + wait_ms + self.time_estimate.first_ms - spec.deadline_ms
        if wait_ms and over_ms > 0:
            return _overloaded(over_ms)
        return None

    def _places(self, call_class: CallClass) -> int:
        if call_class is CallClass.URGENT:
            return self.knee_in_flight + round(self.knee_in_flight * URGENT_EXTRA_SHARE)
        return self.knee_in_flight

    def _has_place(self, spec: CallSpec) -> bool:
        if self.n_in_flight >= self._places(spec.call_class):
            return False
        return self._ledger is None or self._ledger.has_room_for_kv(spec.kv_bytes)

    def _push(self, ticket: AdmissionTicket) -> None:
        rank = ticket.spec.call_class
        heapq.heappush(self._queue, (rank, next(self._numbers), ticket))
        self._queued_work_ms[rank] += ticket.call_ms
        self.n_queued += 1

    def _unqueue(self, ticket: AdmissionTicket) -> None:
        rank = ticket.spec.call_class
        self.n_queued -= 1
        self._queued_work_ms[rank] -= ticket.call_ms
        if not self.n_queued:
            self._queued_work_ms = [0.0 for _ in CallClass]

    def _begin(self, ticket: AdmissionTicket, now_ms: float) -> None:
        ticket.begun_ms = now_ms
        self._running.add(ticket)
        if self._ledger is not None:
            self._ledger.reserve_kv(ticket.spec.kv_bytes)

    def _withdraw(self, ticket: AdmissionTicket) -> None:
        """Take out a call whose caller went away while it waited."""
        ticket.withdrawn = True
        if not ticket.decided.is_set():
            self._unqueue(ticket)
            ticket.decided.set()
        elif ticket.refusal is None:
            self.release_all(ticket)


def _late_refusal(spec: CallSpec, now_ms: float) -> Failure | None:
    if now_ms >= spec.deadline_ms:
        return failure(Code.DEADLINE_PASSED)
    if not spec.is_servable():
        return failure(Code.MODEL_NOT_READY, "", MIN_RETRY_MS)
    return None


def _overloaded(over_ms: float) -> Failure:
    retry_ms = round(min(MAX_RETRY_MS, max(MIN_RETRY_MS, over_ms)))
    return failure(Code.AGENT_OVERLOADED, "", retry_ms)
