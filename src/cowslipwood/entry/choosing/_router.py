"""Chooses the backend server for each attempt of a request through agents.

All requests that are sent through agents use this module, including those with an
idempotency key; no other module chooses a server for them. Direct entries choose
servers through `DirectState`.
"""

import random
from collections.abc import Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, Outcome, failure
from ...kernel.metrics import Metrics
from ..receiving._admission import can_begin_in_time, predict_first_token_ms
from ..receiving._call import Call, lift_first_token_deadline
from ..routing import RoutingContext, RoutingPolicy, usable_candidates
from ._backend import (
    LEAVING_EXCLUSION_MS,
    NOT_READY_EXCLUSION_MS,
    UNREACHABLE_EXCLUSION_MS,
    Backend,
    LoadReport,
)
from ._budget import RetryTokenBucket
from ._view import FleetView

__all__ = ["AttemptSequence", "Router"]

# Attempts that one request may make, the first included.
MAX_N_ATTEMPTS = 4
# Retry time in milliseconds, before jitter, in a refusal for want of a usable server.
NO_REPLICA_RETRY_AFTER_MS = 1_000
# Least retry time in milliseconds, before jitter, in a refusal.
MIN_RETRY_AFTER_MS = 200
# Greatest retry time in milliseconds, before jitter, in a refusal.
MAX_RETRY_AFTER_MS = 30_000
# Least factor by which a retry time is multiplied at random, so that refused
# callers do not return at the same time.
MIN_JITTER_FACTOR = 0.5
# Greatest factor by which a retry time is multiplied at random.
MAX_JITTER_FACTOR = 1.5
# Share by which each answer moves the estimated median time up or down.
MEDIAN_STEP_SHARE = 0.05
# Least median in milliseconds with which an answer's time is compared.
MIN_MEDIAN_MS = 5.0
# Servers sampled for comparison when the chosen one would not begin in time.
N_COMPARED = 4
# Time, in milliseconds, for which a server gets no requests after a failure, by the
# code of the failure.
_EXCLUSION_MS = {
    Code.BACKEND_UNREACHABLE: UNREACHABLE_EXCLUSION_MS,
    Code.AGENT_LEAVING: LEAVING_EXCLUSION_MS,
    Code.WRONG_SERVER: UNREACHABLE_EXCLUSION_MS,
    Code.BAD_TOKEN: UNREACHABLE_EXCLUSION_MS,
    Code.SERVER_LIMITED: NOT_READY_EXCLUSION_MS,
}
# Failures that count as errors of the server and can eject it.
_SERVER_ERROR_CODES = frozenset(
    (
        Code.OUTCOME_UNKNOWN,
        Code.ANSWER_CUT,
        Code.BACKEND_TIMEOUT,
        Code.BAD_MESSAGE,
        Code.BAD_STATUS,
    )
)


class Router:
    """Chooses servers and records how the attempts end.

    Parameters
    ----------
    view : FleetView
    policy : RoutingPolicy
    zone : str
        Availability zone of this entry.
    metrics : Metrics
    rng : random.Random
    now_ms : float
    """

    def __init__(
        self,
        view: FleetView,
        policy: RoutingPolicy,
        zone: str,
        metrics: Metrics,
        rng: random.Random,
        now_ms: float,
    ):
        self._view = view
        self._policy = policy
        self._zone = zone
        self._metrics = metrics
        self._rng = rng
        self._retry_budget = RetryTokenBucket(now_ms)
        self._median_first_event_ms: dict[str, float] = {}

    def start_attempts(self, call: Call) -> "AttemptSequence":
        """Return the attempts of a new request."""
        self._retry_budget.credit_request()
        return AttemptSequence(self, call)

    def choose(
        self, call: Call, tried_ids: set[str], now_ms: float
    ) -> Result[Backend, Failure]:
        """Return a server that is likely to begin the answer in time.

        The result is the failure NO_REPLICA when there is no eligible server that
        the request has not tried, and OVERLOADED when none of the compared servers
        is likely to begin in time.
        """
        candidates = self._view.candidates(call.entry_key)
        typical_others_load_share = self._view.typical_others_load_share.value
        context = RoutingContext(
            call.entry_key,
            call.prefix_hash,
            self._zone,
            typical_others_load_share,
            self._view.is_stale(now_ms),
            tried_ids,
        )
        backend = self._policy.choose(candidates, context, self._rng, now_ms)
        if backend is None:
            backend = _find_backend_with_first_ejection_end(
                candidates, call.entry_key, tried_ids, now_ms
            )
        if backend is None:
            return Err(self._no_replica_failure(call))
        if can_begin_in_time(backend, call, typical_others_load_share, now_ms):
            return Success(backend)
        n_compared = min(N_COMPARED, len(candidates))
        compared = self._rng.sample(candidates, n_compared)
        usable = usable_candidates(compared, context, now_ms)
        best = min(
            [backend, *usable],
            key=lambda candidate: predict_first_token_ms(
                candidate, typical_others_load_share, now_ms
            ),
        )
        if can_begin_in_time(best, call, typical_others_load_share, now_ms):
            return Success(best)
        wait_ms = predict_first_token_ms(best, typical_others_load_share, now_ms)
        return Err(self._overloaded_failure(wait_ms))

    def take_retry_token(self, cause: Failure, now_ms: float) -> bool:
        """Take a retry from the budget; return whether the budget allows it.

        The retry or its denial is counted in the metrics by the cause.
        """
        if not self._retry_budget.take_retry(now_ms):
            self._metrics.count("retries_denied_total", reason=cause.code.name)
            return False
        self._metrics.count("retries_total", reason=cause.code.name)
        return True

    def apply_load_report(
        self, backend: Backend, report: LoadReport | None, now_ms: float
    ) -> None:
        """Record an answer and the load report that came with it."""
        backend.record_answer(report, now_ms)
        if report is not None:
            self._view.typical_others_load_share.add(backend.others_load_share)

    def apply_refusal_report(
        self, server_id: str, report: LoadReport, now_ms: float
    ) -> None:
        """Record a refusal and the load report that came with it."""
        backend = self._view.backends.get(server_id)
        if backend is not None:
            self.apply_load_report(backend, report, now_ms)

    def record_success(
        self,
        backend: Backend,
        key: str,
        first_event_ms: float,
        answer_ms: float,
        now_ms: float,
    ) -> None:
        """Record a complete answer.

        Parameters
        ----------
        backend : Backend
        key : str
            Key of the request, by which answers are compared.
        first_event_ms, answer_ms : float
            Time from dispatch to the first event and to the end of the answer.
        now_ms : float
        """
        median_ms = self._median_first_event_ms.setdefault(
            key, max(first_event_ms, 0.1)
        )
        step_factor = (
            1.0 + MEDIAN_STEP_SHARE
            if first_event_ms > median_ms
            else 1.0 - MEDIAN_STEP_SHARE
        )
        self._median_first_event_ms[key] = median_ms * step_factor
        load = backend.expected_load(self._view.typical_others_load_share.value, now_ms)
        backend.first_event_ms.add(
            max(0.0, first_event_ms - backend.queue_wait_ms(load, now_ms))
        )
        backend.answer_ms.add(answer_ms)
        ejected_before_ms = backend.health.ejected_until_ms
        slow_ratio = first_event_ms / max(median_ms, MIN_MEDIAN_MS)
        backend.health.record_answer(slow_ratio, now_ms)
        self._count_ejection(backend, ejected_before_ms, "slow")

    def record_failure(
        self, backend: Backend, key: str, fault: Failure, now_ms: float
    ) -> None:
        """Record an attempt that ended without a complete answer."""
        if fault.code in _EXCLUSION_MS:
            backend.exclude("", now_ms + _EXCLUSION_MS[fault.code])
        elif fault.code is Code.MODEL_NOT_READY:
            backend.exclude(key, now_ms + NOT_READY_EXCLUSION_MS)
        elif fault.code in _SERVER_ERROR_CODES:
            ejected_before_ms = backend.health.ejected_until_ms
            backend.health.record_error(now_ms)
            self._count_ejection(backend, ejected_before_ms, "errors")

    def _count_ejection(
        self, backend: Backend, ejected_before_ms: float, cause: str
    ) -> None:
        if backend.health.ejected_until_ms != ejected_before_ms:
            self._metrics.count("ejections_total", reason=cause)

    def _no_replica_failure(self, call: Call) -> Failure:
        retry_after_ms = self.jittered_retry_after_ms(NO_REPLICA_RETRY_AFTER_MS)
        return failure(Code.NO_REPLICA, f"{call.entry.name}: none", retry_after_ms)

    def _overloaded_failure(self, wait_ms: float) -> Failure:
        return failure(Code.OVERLOADED, "", self.jittered_retry_after_ms(wait_ms))

    def jittered_retry_after_ms(self, wait_ms: float) -> int:
        """Return a retry time, randomised so that callers do not return together."""
        bounded_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        return round(
            bounded_ms * self._rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        )


def _find_backend_with_first_ejection_end(
    candidates: Sequence[Backend], key: str, tried_ids: set[str], now_ms: float
) -> Backend | None:
    """Return the eligible, untried server whose ejection ends first.

    It is used when every server is ejected or being probed, because an attempt at an
    ejected server may succeed and no attempt cannot.
    """
    remaining = [
        backend
        for backend in candidates
        if backend.view.server_id not in tried_ids and backend.is_eligible(key, now_ms)
    ]
    return min(
        remaining, key=lambda candidate: candidate.health.ejected_until_ms, default=None
    )


class AttemptSequence:
    """The attempts of one request.

    Parameters
    ----------
    router : Router
    call : Call
    """

    def __init__(self, router: Router, call: Call):
        self._router = router
        self._call = call
        self._tried_ids: set[str] = set()
        self._last_failure: Failure | None = None
        self._unknown_failure: Failure | None = None
        self._n_attempts = 0

    def next_server(self, now_ms: float) -> Result[Backend, Failure]:
        """Return the server for the next attempt, or the request's final failure.

        The failure's outcome is not-run only when no attempt can have run.
        """
        if self._n_attempts and not self._can_retry(now_ms):
            return Err(self._final_failure())
        if now_ms >= self._call.deadline_ms:
            return Err(self._unknown_failure or failure(Code.DEADLINE_PASSED))
        chosen = self._router.choose(self._call, self._tried_ids, now_ms)
        if isinstance(chosen, Err):
            return Err(self._final_failure()) if self._n_attempts else chosen
        if self._n_attempts and not self._router.take_retry_token(
            self._last_failure, now_ms
        ):
            return Err(self._final_failure())
        backend = chosen.unwrap()
        self._n_attempts += 1
        self._tried_ids.add(backend.view.server_id)
        return Success(backend)

    def continue_answer(self) -> None:
        """Make the next attempt continue an answer that has begun."""
        self._call = lift_first_token_deadline(self._call)

    def record_failure(self, backend: Backend, fault: Failure, now_ms: float) -> None:
        """Record the failure of the attempt at a server."""
        self._last_failure = fault
        if fault.outcome is Outcome.UNKNOWN:
            self._unknown_failure = fault
        self._router.record_failure(backend, self._call.entry_key, fault, now_ms)

    def record_success(
        self, backend: Backend, first_event_ms: float, answer_ms: float, now_ms: float
    ) -> None:
        """Record a complete answer and its times since dispatch."""
        self._router.record_success(
            backend, self._call.entry_key, first_event_ms, answer_ms, now_ms
        )

    def record_error_answer(self, backend: Backend, now_ms: float) -> None:
        """Record a complete answer that reports an error of the backend server."""
        fault = failure(Code.OUTCOME_UNKNOWN, "the backend server answered an error")
        self._router.record_failure(backend, self._call.entry_key, fault, now_ms)

    def _can_retry(self, now_ms: float) -> bool:
        if self._n_attempts >= MAX_N_ATTEMPTS or now_ms >= self._call.deadline_ms:
            return False
        return self._unknown_failure is None or self._call.entry.repeatable

    def _final_failure(self) -> Failure:
        """Return the request's failure after its last attempt.

        When an attempt may have run, its failure with the outcome unknown is
        returned, not the last one, so that the caller never gets the outcome not-run.
        """
        if self._unknown_failure is not None:
            return self._unknown_failure
        cause = self._last_failure
        message = f"last cause {cause.code.value} {cause.code.name}: {cause.message}"
        retry_after_ms = self._router.jittered_retry_after_ms(cause.retry_after_ms)
        return failure(Code.RETRIES_EXHAUSTED, message, retry_after_ms)
