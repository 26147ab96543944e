"""Admission control of one backend server: starts, queues or refuses calls.

Calls above the concurrency limit of the backend server wait in a queue that is
ordered by call class, most urgent first. The queue has no limit on its length. It is
bounded by time: a call whose predicted wait is longer than the time left until its
deadline is refused at once, and a waiting call whose deadline passes is removed.
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
from ._server_limit import ServerLimit

__all__ = [
    "AdmissionController",
    "AdmissionTicket",
    "CallClass",
    "CallSpec",
    "CallTimeEstimate",
]

# Smallest retry delay in a refusal, in milliseconds.
MIN_RETRY_AFTER_MS = 50
# Largest retry delay in a refusal, in milliseconds.
MAX_RETRY_AFTER_MS = 10_000
# Smallest weight of a new sample in the running means of call times. The first
# samples weigh more, so that the means start as plain averages.
MIN_SAMPLE_WEIGHT = 0.1
# Slots that only urgent calls may use, as a share of `knee_in_flight`.
URGENT_EXTRA_SLOTS_SHARE = 0.25


class CallClass(enum.IntEnum):
    """Urgency of a call; calls with lower numbers start first."""

    URGENT = 0
    STANDARD = 1
    BATCH = 2


class CallSpec(NamedTuple):
    """Properties of a call that decide about its admission.

    Parameters
    ----------
    call_class : CallClass
    deadline_ms : float
        Monotonic time by which the first byte of the answer is due.
    n_new_tokens : int
        Tokens still to be generated; 0 for a call to a plain service.
    max_kv_bytes : int
        Upper bound of the KV cache that the call takes.
    is_servable : callable
        Returns whether the call's model still accepts new calls.
    """

    call_class: CallClass
    deadline_ms: float
    n_new_tokens: int
    max_kv_bytes: int
    is_servable: Callable[[], bool]


class CallTimeEstimate:
    """Running means of the time that calls take at the backend server."""

    def __init__(self):
        self.first_byte_ms = 0.0
        self.per_token_ms = 0.0
        self._n_samples = 0

    def predict_call_ms(self, n_new_tokens: int) -> float:
        """Return how long a call is expected to occupy its slot."""
        return self.first_byte_ms + self.per_token_ms * n_new_tokens

    def add_sample(
        self, first_byte_ms: float, remaining_ms: float, n_new_tokens: int
    ) -> None:
        """Add the times of a call that succeeded.

        Parameters
        ----------
        first_byte_ms : float
            Time to the first byte of the answer's body.
        remaining_ms : float
            Time from the first byte to the end of the answer.
        n_new_tokens : int
            Tokens that the call generated.
        """
        self._n_samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self._n_samples)
        self.first_byte_ms += weight * (first_byte_ms - self.first_byte_ms)
        if n_new_tokens:
            self.per_token_ms += weight * (
                remaining_ms / n_new_tokens - self.per_token_ms
            )


class AdmissionTicket:
    """State of one call from its submission until its slot is free again."""

    def __init__(self, spec: CallSpec, predicted_ms: float):
        self.spec = spec
        self.predicted_ms = predicted_ms
        self.decided = anyio.Event()
        self.refusal: Failure | None = None
        self.started_ms = 0.0
        self.is_withdrawn = False


class AdmissionController:
    """Call slots of one backend server and the queue of calls that wait for one.

    Parameters
    ----------
    knee_in_flight : int
        Largest number of concurrent calls at which each still runs at full speed;
        also the number of slots for calls that are not urgent.
    ledger : MemoryLedger or None
        Account of the accelerator's memory, with the KV cache of calls; None beside
        a plain service.

    Attributes
    ----------
    limit : ServerLimit
        The limit that the server has named.
    """

    def __init__(self, knee_in_flight: int, ledger: MemoryLedger | None):
        self.knee_in_flight = knee_in_flight
        self.limit = ServerLimit()
        self.time_estimate = CallTimeEstimate()
        self._ledger = ledger
        self._running: set[AdmissionTicket] = set()
        self._queue: list[tuple[int, int, AdmissionTicket]] = []
        self._queued_work_ms = [0.0 for _ in CallClass]
        self._sequence_numbers = itertools.count()
        self.n_queued = 0

    @property
    def n_in_flight(self) -> int:
        """Number of calls that run at the backend server."""
        return len(self._running)

    def predict_wait_ms(self, now_ms: float, call_class: CallClass) -> float:
        """Predict how long a call of a class would wait if it was submitted now."""
        work_ahead_ms = sum(self._queued_work_ms[: call_class + 1])
        if self.n_in_flight < self._n_slots(call_class) and not work_ahead_ms:
            return 0.0
        for ticket in self._running:
            work_ahead_ms += max(0.0, ticket.started_ms + ticket.predicted_ms - now_ms)
        return work_ahead_ms / self.knee_in_flight

    def submit(self, spec: CallSpec, now_ms: float) -> Result[AdmissionTicket, Failure]:
        """Start a call or put it into the queue, unless it has to be refused.

        The call has a slot or is refused once the event `decided` of the returned
        ticket is set. Fails, as not run, with AGENT_OVERLOADED, DEADLINE_PASSED,
        MEMORY_FULL or MODEL_NOT_READY.
        """
        fault = self._check_new_call(spec, now_ms)
        if fault is not None:
            return Err(fault)
        ticket = AdmissionTicket(
            spec, self.time_estimate.predict_call_ms(spec.n_new_tokens)
        )
        self._add_to_queue(ticket)
        self.start_queued_calls(now_ms)
        return Success(ticket)

    async def wait_until_decided(self, ticket: AdmissionTicket) -> None:
        """Wait until a ticket is decided or its deadline passes.

        Cancelling this coroutine withdraws the call.
        """
        remaining_ms = max(0.0, ticket.spec.deadline_ms - monotonic_ms())
        try:
            with anyio.move_on_after(remaining_ms / 1000):
                await ticket.decided.wait()
        except BaseException:
            self._withdraw(ticket)
            raise
        if not ticket.decided.is_set():
            self._subtract_from_queue(ticket)
            ticket.refusal = _make_overload_failure(self.time_estimate.first_byte_ms)
            ticket.decided.set()

    def recheck(
        self, ticket: AdmissionTicket, now_ms: float
    ) -> Result[AdmissionTicket, Failure]:
        """Check a decided ticket again, immediately before its call is sent."""
        if ticket.refusal is not None:
            return Err(ticket.refusal)
        fault = _check_deadline_and_model(ticket.spec, now_ms)
        fault = fault or self.limit.refuse_call(ticket.spec.call_class, now_ms)
        if fault is not None:
            self.release_all(ticket)
            return Err(fault)
        return Success(ticket)

    def release_all(self, ticket: AdmissionTicket) -> None:
        """Release the slot and the KV cache of a call that was not sent."""
        self.release_slot(ticket)
        self.release_kv(ticket)

    def release_slot(self, ticket: AdmissionTicket) -> None:
        """Release a call's slot and start the queued calls that now fit."""
        self._running.discard(ticket)
        self.start_queued_calls(monotonic_ms())

    def release_kv(self, ticket: AdmissionTicket) -> None:
        """Release a call's KV cache once the engine has ended the call."""
        if self._ledger is not None:
            self._ledger.release_kv(ticket.spec.max_kv_bytes)
            self.start_queued_calls(monotonic_ms())

    def start_queued_calls(self, now_ms: float) -> None:
        """Start queued calls in their order while there is capacity for them.

        Calls at the head of the queue that are past their deadline, or whose model
        accepts no more calls, are refused.
        """
        while self._queue:
            ticket = self._queue[0][2]
            fault = _check_deadline_and_model(ticket.spec, now_ms)
            if fault is None and not self._has_capacity(ticket.spec):
                return
            heapq.heappop(self._queue)
            if ticket.decided.is_set():
                continue
            self._subtract_from_queue(ticket)
            ticket.refusal = fault
            if fault is None:
                self._start_call(ticket, now_ms)
            ticket.decided.set()

    def _check_new_call(self, spec: CallSpec, now_ms: float) -> Failure | None:
        """Return why a new call is refused at once; None when it may be queued."""
        fault = _check_deadline_and_model(spec, now_ms)
        if fault is not None:
            return fault
        capacity_bytes = self._ledger.capacity_bytes if self._ledger is not None else 0
        if spec.max_kv_bytes > capacity_bytes:
            return failure(
                Code.MEMORY_FULL, f"a call of {spec.max_kv_bytes} bytes of KV"
            )
        wait_ms = self.predict_wait_ms(now_ms, spec.call_class)
        late_ms = now_ms + wait_ms + self.time_estimate.first_byte_ms - spec.deadline_ms
        if wait_ms and late_ms > 0:
            return _make_overload_failure(late_ms)
        return None

    def _n_slots(self, call_class: CallClass) -> int:
        """Return how many calls may run when one of the given class starts."""
        if call_class is CallClass.URGENT:
            return self.knee_in_flight + round(
                self.knee_in_flight * URGENT_EXTRA_SLOTS_SHARE
            )
        return self.knee_in_flight

    def _has_capacity(self, spec: CallSpec) -> bool:
        """Return whether a slot and enough memory for KV cache are free."""
        if self.n_in_flight >= self._n_slots(spec.call_class):
            return False
        return self._ledger is None or self._ledger.has_room_for_kv(spec.max_kv_bytes)

    def _add_to_queue(self, ticket: AdmissionTicket) -> None:
        call_class = ticket.spec.call_class
        heapq.heappush(self._queue, (call_class, next(self._sequence_numbers), ticket))
        self._queued_work_ms[call_class] += ticket.predicted_ms
        self.n_queued += 1

    def _subtract_from_queue(self, ticket: AdmissionTicket) -> None:
        """Subtract a call from the queue's totals.

        The queue itself drops a decided ticket when it reaches the head. The totals
        of work are reset when the queue is empty, so that rounding errors of the
        sums do not add up.
        """
        call_class = ticket.spec.call_class
        self.n_queued -= 1
        self._queued_work_ms[call_class] -= ticket.predicted_ms
        if not self.n_queued:
            self._queued_work_ms = [0.0 for _ in CallClass]

    def _start_call(self, ticket: AdmissionTicket, now_ms: float) -> None:
        ticket.started_ms = now_ms
        self._running.add(ticket)
        if self._ledger is not None:
            self._ledger.reserve_kv(ticket.spec.max_kv_bytes)

    def _withdraw(self, ticket: AdmissionTicket) -> None:
        """Remove a call whose caller disconnected while the call waited."""
        ticket.is_withdrawn = True
        if not ticket.decided.is_set():
            self._subtract_from_queue(ticket)
            ticket.decided.set()
        elif ticket.refusal is None:
            self.release_all(ticket)


def _check_deadline_and_model(spec: CallSpec, now_ms: float) -> Failure | None:
    """Return why a call may no longer start; None when it may."""
    if now_ms >= spec.deadline_ms:
        return failure(Code.DEADLINE_PASSED)
    if not spec.is_servable():
        return failure(Code.MODEL_NOT_READY, "", MIN_RETRY_AFTER_MS)
    return None


def _make_overload_failure(late_ms: float) -> Failure:
    """Return a refusal that asks for a retry after the time a call would be late."""
    retry_after_ms = round(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, late_ms)))
    return failure(Code.AGENT_OVERLOADED, "", retry_after_ms)
