"""Runs requests at most once, under claims in the keepers' log.

An entry has one `Claims`: it sends claim messages to the leading keeper, remembers
which keys may have run, and records answers after their callers have received
them. Each request has its own `ClaimedDispatcher`.
"""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import anyio.abc
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.clock import monotonic_ms
from ...kernel.codes import Code, Failure, Outcome, failure
from ...kernel.keeper_link import KeeperLink
from ...kernel.messages import (
    AttemptEnd,
    AttemptQuery,
    ClaimAttempt,
    ClaimBegin,
    ClaimFinish,
    ClaimState,
)
from ...kernel.metrics import Metrics
from ..sending._attempt_client import AttemptClient
from ..sending._dispatcher import Answer, Dispatcher
from ._claim_keys import ClaimKey
from ._claimed_dispatcher import (
    ClaimedDispatcher,
    ClaimRefusedError,
    make_claim_open_failure,
)

__all__ = ["Claims"]

# Milliseconds for which a new claim is sent again while no keeper leads.
BEGIN_RETRY_MS = 1_000
# Milliseconds for which a claim's change is sent again while no keeper leads.
RECORD_RETRY_MS = 3_000
# Longest wait for the keeper's reply to one message, in milliseconds.
KEEPER_REQUEST_TIMEOUT_MS = 3_000
# Milliseconds between two sends of one message.
KEEPER_RETRY_PAUSE_MS = 50
# Milliseconds after which a caller may resend a request that could not be claimed.
RETRY_AFTER_MS = 1_000
# Largest number of remembered keys whose requests may have run; the oldest keys are
# forgotten first.
MAX_REMEMBERED_KEYS = 10_000

# Failures to reach a leading keeper, after which a message is sent again.
_KEEPERS_UNAVAILABLE_CODES = frozenset(
    (
        Code.NOT_LEADER,
        Code.NO_QUORUM,
        Code.PEER_GONE,
        Code.PEER_SILENT,
        Code.SEND_TIMEOUT,
    )
)

T = TypeVar("T")


class Claims:
    """The claims of one entry.

    Parameters
    ----------
    entry_id : str
    keepers : KeeperLink
    attempt_client : AttemptClient
    metrics : Metrics

    Attributes
    ----------
    n_pending_records : int
        Number of ends of attempts that are still to be recorded at the keepers.
    """

    def __init__(
        self,
        entry_id: str,
        keepers: KeeperLink,
        attempt_client: AttemptClient,
        metrics: Metrics,
    ):
        self.entry_id = entry_id
        self._keepers = keepers
        self._attempt_client = attempt_client
        self._metrics = metrics
        self._maybe_run_keys: dict[str, None] = {}
        self._n_running = 0
        self._tasks: anyio.abc.TaskGroup | None = None
        self.n_pending_records = 0

    async def run_background_steps(self) -> None:
        """Run the steps given to `run_in_background`, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def run(
        self,
        key: ClaimKey,
        dispatcher: Dispatcher,
        run_request: Callable[[ClaimedDispatcher], Awaitable[Result[T, Failure]]],
        replay_answer: Callable[[Answer], Awaitable[Result[T, Failure]]],
    ) -> Result[T, Failure]:
        """Run a request under its key, or return the answer that it already has.

        Parameters
        ----------
        key : ClaimKey
        dispatcher : Dispatcher
        run_request : callable
            Runs the request. It sends each attempt through the dispatcher that is
            passed to it, and sends none after one whose outcome is unknown.
        replay_answer : callable
            Sends a kept answer to the caller when no attempt could be sent.
        """
        claimed_dispatcher = ClaimedDispatcher(self, dispatcher, key)
        self._count_running(1)
        try:
            # The end of the claim is recorded also if the caller disconnects.
            with anyio.CancelScope(shield=True):
                result = await self._run(claimed_dispatcher, run_request, replay_answer)
        finally:
            self._count_running(-1)
        outcome = "answered"
        if isinstance(result, Err):
            outcome = result.failure().outcome.value
        self._metrics.count("claims_total", outcome=outcome)
        return result

    async def _run(
        self, dispatcher: ClaimedDispatcher, run_request: Any, replay_answer: Any
    ) -> Result[Any, Failure]:
        try:
            result = await run_request(dispatcher)
            if isinstance(result, Err) and result.failure().outcome is Outcome.NOT_RUN:
                kept_answer = await dispatcher.release_claim()
                return (
                    result if kept_answer is None else await replay_answer(kept_answer)
                )
        except ClaimRefusedError as refusal:
            return Err(refusal.fault)
        return result

    def _count_running(self, change: int) -> None:
        self._n_running += change
        self._metrics.gauge("claims_open", self._n_running)

    async def begin(self, begin: ClaimBegin) -> ClaimState:
        """Claim a key and return its state, with an open attempt if it may run.

        Raises
        ------
        ClaimRefusedError
            CLAIMS_UNAVAILABLE with outcome not-run, when the keepers could not
            record the claim and this entry knows of no attempt that may have run.
        """
        may_have_run = begin.key in self._maybe_run_keys
        result = await self._request_keepers(begin, BEGIN_RETRY_MS)
        if isinstance(result, Err):
            raise ClaimRefusedError(_to_begin_refusal(result.failure(), may_have_run))
        return result.unwrap()

    async def record(self, message: ClaimAttempt | ClaimFinish) -> ClaimState:
        """Record a change of a claim and return its new state.

        Raises
        ------
        ClaimRefusedError
            With outcome unknown, when the keepers could not record the change.
        """
        result = await self._request_keepers(message, RECORD_RETRY_MS)
        if isinstance(result, Err):
            raise ClaimRefusedError(
                make_claim_open_failure("the keepers cannot record the outcome now")
            )
        return result.unwrap()

    async def query_agent(self, agent_addr: str, query: AttemptQuery) -> AttemptEnd:
        """Return how an attempt ended; ``unreachable`` if the agent gave no answer."""
        answered = await self._attempt_client.query(agent_addr, query)
        end = answered.value_or(AttemptEnd("unreachable"))
        self._metrics.count("attempts_asked_total", state=end.state)
        return end

    def run_in_background(
        self, step: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Run a step of a claim without delaying the answer to its caller."""
        self.n_pending_records += 1
        self._tasks.start_soon(self._run_background_step, step, args)

    async def _run_background_step(
        self, step: Callable[..., Awaitable[Any]], args: tuple
    ) -> None:
        try:
            await step(*args)
        except ClaimRefusedError as refusal:
            # The agent still keeps the answer, and a resend will query the agent.
            self._metrics.count("records_lost_total", reason=refusal.fault.code.name)
        finally:
            self.n_pending_records -= 1

    async def _request_keepers(
        self, message: Any, retry_ms: float
    ) -> Result[ClaimState, Failure]:
        """Send a claim message to the leading keeper, with retries while none leads.

        Claim messages are idempotent, so they may be sent more than once.
        """
        retry_until_ms = monotonic_ms() + retry_ms
        while True:
            result = await self._keepers.request(message, KEEPER_REQUEST_TIMEOUT_MS)
            if isinstance(result, Success):
                self._remember_key(result.unwrap())
                return result
            fault = result.failure()
            if (
                fault.code not in _KEEPERS_UNAVAILABLE_CODES
                or monotonic_ms() >= retry_until_ms
            ):
                return result
            self._metrics.count("claim_retries_total", reason=fault.code.name)
            await anyio.sleep(KEEPER_RETRY_PAUSE_MS / 1000)

    def _remember_key(self, state: ClaimState) -> None:
        """Remember a key that may have run, for times when no keeper can be reached."""
        self._maybe_run_keys.pop(state.key, None)
        if state.status in ("open", "answered", "unknown"):
            self._maybe_run_keys[state.key] = None
        if len(self._maybe_run_keys) > MAX_REMEMBERED_KEYS:
            del self._maybe_run_keys[next(iter(self._maybe_run_keys))]


def _to_begin_refusal(fault: Failure, may_have_run: bool) -> Failure:
    """Return the refusal for a caller whose claim the keepers did not record."""
    if fault.code == Code.KEY_EXPIRED:
        # The request may have run under a claim that was dropped since.
        return fault._replace(outcome=Outcome.UNKNOWN)
    if fault.code not in _KEEPERS_UNAVAILABLE_CODES:
        return fault
    if may_have_run:
        return make_claim_open_failure("the keepers cannot be asked about the key now")
    return failure(Code.CLAIMS_UNAVAILABLE, "", RETRY_AFTER_MS)
