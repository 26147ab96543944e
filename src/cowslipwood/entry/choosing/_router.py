"""Decides which attempt of a request goes to which backend server next.

All requests, keyed ones as well, ask here; nothing else picks a server.
"""

import random
from collections.abc import Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.codes import Code, Failure, Outcome, failure
from ...kernel.metrics import Metrics
from ..routing import RoutingContext, RoutingPolicy, usable_candidates
from ..taking._admission import can_begin_in_time, predict_first_token_ms
from ..taking._call import Call, lift_first_token_deadline
from ._backend import (
    LEAVING_MS,
    NOT_READY_MS,
    UNREACHABLE_MS,
    Backend,
    LoadReport,
)
from ._budget import RetryBudget
from ._view import View

__all__ = ["Attempts", "Router"]

MAX_ATTEMPTS = 4
NO_REPLICA_RETRY_MS = 1_000
MIN_RETRY_MS = 200
MAX_RETRY_MS = 30_000
JITTER_LOW = 0.5
JITTER_HIGH = 1.5
MEDIAN_STEP = 0.05
MIN_MEDIAN_MS = 5.0
N_COMPARED = 4
_AVOID_MS = {
    Code.BACKEND_UNREACHABLE: UNREACHABLE_MS,
    Code.AGENT_LEAVING: LEAVING_MS,
    Code.WRONG_SERVER: UNREACHABLE_MS,
    Code.BAD_TOKEN: UNREACHABLE_MS,
}
_BLAMED = frozenset(
    (Code.OUTCOME_UNKNOWN, Code.ANSWER_CUT, Code.BACKEND_TIMEOUT, Code.BAD_MESSAGE)
)


class Router:
    """Picks servers and learns from how attempts end.

    Parameters
    ----------
    view : View
    policy : RoutingPolicy
    zone : str
        Availability zone of this entry.
    metrics : Metrics
    rng : random.Random
    now_ms : float
    """

    def __init__(
        self,
        view: View,
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
        self._budget = RetryBudget(now_ms)
        self._median_ms: dict[str, float] = {}

    def begin(self, call: Call) -> "Attempts":
        """Return the attempts of a fresh request."""
        self._budget.fresh_request()
        return Attempts(self, call)

    def choose(
        self, call: Call, tried: set[str], now_ms: float
    ) -> Result[Backend, Failure]:
        """Return a server that can likely begin the answer in time.

        Fails with NO_REPLICA when no untried server is usable, or OVERLOADED
        when none of them would begin in time.
        """
        candidates = self._view.candidates(call.key)
        typical_load = self._view.typical_load.value
        context = RoutingContext(
            call.key,
            call.prefix_hash,
            self._zone,
            typical_load,
            self._view.is_stale(now_ms),
            tried,
        )
        backend = self._policy.choose(candidates, context, self._rng, now_ms)
        if backend is None:
            backend = _least_bad(candidates, call.key, tried, now_ms)
        if backend is None:
            return Err(self._no_replica(call))
        if can_begin_in_time(backend, call, typical_load, now_ms):
            return Success(backend)
        n_compared = min(N_COMPARED, len(candidates))
        compared = self._rng.sample(candidates, n_compared)
        usable = usable_candidates(compared, context, now_ms)
        best = min(
            [backend, *usable],
            key=lambda each: predict_first_token_ms(each, typical_load, now_ms),
        )
        if can_begin_in_time(best, call, typical_load, now_ms):
            return Success(best)
        wait_ms = predict_first_token_ms(best, typical_load, now_ms)
        return Err(self._overloaded(wait_ms))

    def take_retry(self, cause: Failure, now_ms: float) -> bool:
        """Count a retry for its cause; return whether the budget allows it."""
        if not self._budget.take(now_ms):
            self._metrics.count("retries_denied_total", reason=cause.code.name)
            return False
        self._metrics.count("retries_total", reason=cause.code.name)
        return True

    def take_load_report(
        self, backend: Backend, report: LoadReport | None, now_ms: float
    ) -> None:
        """Take in the load report that came with an answer."""
        backend.answered(report, now_ms)
        if report is not None:
            self._view.typical_load.add(backend.others_load)

    def take_refusal_report(
        self, server_id: str, report: LoadReport, now_ms: float
    ) -> None:
        """Take in the load report that came with a refusal."""
        backend = self._view.backends.get(server_id)
        if backend is not None:
            self.take_load_report(backend, report, now_ms)

    def succeeded(
        self,
        backend: Backend,
        key: str,
        first_ms: float,
        answer_ms: float,
        now_ms: float,
    ) -> None:
        """Take in a whole answer and its times from dispatch."""
        median_ms = self._median_ms.setdefault(key, max(first_ms, 0.1))
        step = 1.0 + MEDIAN_STEP if first_ms > median_ms else 1.0 - MEDIAN_STEP
        self._median_ms[key] = median_ms * step
        load = backend.load(self._view.typical_load.value, now_ms)
        backend.first_ms.add(max(0.0, first_ms - backend.wait_ms(load, now_ms)))
        backend.answer_ms.add(answer_ms)
        ejected_before = backend.health.ejected_until_ms
        slow_ratio = first_ms / max(median_ms, MIN_MEDIAN_MS)
        backend.health.answered(slow_ratio, now_ms)
        self._note_ejection(backend, ejected_before, "slow")

    def failed(self, backend: Backend, key: str, fault: Failure, now_ms: float) -> None:
        """Take in the end of an attempt that gave no whole answer."""
        if fault.code in _AVOID_MS:
            backend.avoid("", now_ms + _AVOID_MS[fault.code])
        elif fault.code is Code.MODEL_NOT_READY:
            backend.avoid(key, now_ms + NOT_READY_MS)
        elif fault.code in _BLAMED:
            ejected_before = backend.health.ejected_until_ms
            backend.health.failed(now_ms)
            self._note_ejection(backend, ejected_before, "errors")

    def _note_ejection(self, backend: Backend, before_ms: float, cause: str) -> None:
        if backend.health.ejected_until_ms != before_ms:
            self._metrics.count("ejections_total", reason=cause)

    def _no_replica(self, call: Call) -> Failure:
        retry_after_ms = self.spread(NO_REPLICA_RETRY_MS)
        return failure(Code.NO_REPLICA, f"{call.entry.name}: none", retry_after_ms)

    def _overloaded(self, wait_ms: float) -> Failure:
        return failure(Code.OVERLOADED, "", self.spread(wait_ms))

    def spread(self, wait_ms: float) -> int:
        """Return a time to come back, spread so that callers don't return at once."""
        bounded_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
        return round(bounded_ms * self._rng.uniform(JITTER_LOW, JITTER_HIGH))


def _least_bad(
    candidates: Sequence[Backend], key: str, tried: set[str], now_ms: float
) -> Backend | None:
    """Return the ejected server whose time ends first; better than none at all."""
    left = [
        backend
        for backend in candidates
        if backend.view.server_id not in tried and backend.reachable(key, now_ms)
    ]
    return min(left, key=lambda each: each.health.ejected_until_ms, default=None)


class Attempts:
    """The attempts of one request.

    Parameters
    ----------
    router : Router
    call : Call
    """

    def __init__(self, router: Router, call: Call):
        self._router = router
        self._call = call
        self._tried: set[str] = set()
        self._last: Failure | None = None
        self._unknown: Failure | None = None
        self._n_attempts = 0

    def next(self, now_ms: float) -> Result[Backend, Failure]:
        """Return the server of the next attempt, or the request's final refusal.

        The refusal's outcome is not-run only where no attempt may have run.
        """
        if self._n_attempts and not self._may_retry(now_ms):
            return Err(self._exhausted())
        if now_ms >= self._call.deadline_ms:
            return Err(self._unknown or failure(Code.DEADLINE_PASSED))
        chosen = self._router.choose(self._call, self._tried, now_ms)
        if isinstance(chosen, Err):
            return Err(self._exhausted()) if self._n_attempts else chosen
        if self._n_attempts and not self._router.take_retry(self._last, now_ms):
            return Err(self._exhausted())
        backend = chosen.unwrap()
        self._n_attempts += 1
        self._tried.add(backend.view.server_id)
        return Success(backend)

    def answer_began(self) -> None:
        """Take the next attempt as one that goes on with a begun answer."""
        self._call = lift_first_token_deadline(self._call)

    def failed(self, backend: Backend, fault: Failure, now_ms: float) -> None:
        """Record how the attempt at a server failed."""
        self._last = fault
        if fault.outcome is Outcome.UNKNOWN:
            self._unknown = fault
        self._router.failed(backend, self._call.key, fault, now_ms)

    def succeeded(
        self, backend: Backend, first_ms: float, answer_ms: float, now_ms: float
    ) -> None:
        """Record a whole answer and its times from dispatch."""
        self._router.succeeded(backend, self._call.key, first_ms, answer_ms, now_ms)

    def answered_error(self, backend: Backend, now_ms: float) -> None:
        """Record a whole answer that tells of the backend server's own error."""
        fault = failure(Code.OUTCOME_UNKNOWN, "the backend server answered an error")
        self._router.failed(backend, self._call.key, fault, now_ms)

    def _may_retry(self, now_ms: float) -> bool:
        if self._n_attempts >= MAX_ATTEMPTS or now_ms >= self._call.deadline_ms:
            return False
        return self._unknown is None or self._call.entry.repeatable

    def _exhausted(self) -> Failure:
        """Return the final refusal: what may have run is never called not run."""
        if self._unknown is not None:
            return self._unknown
        last = self._last
        message = f"last cause {last.code.value} {last.code.name}: {last.message}"
        retry_after_ms = self._router.spread(last.retry_after_ms)
        return failure(Code.RETRIES_EXHAUSTED, message, retry_after_ms)
