"""Runs requests at most once, under claims in the keepers' log.

`Claims` belongs to the entry: it talks to the leading keeper, remembers which
keys may have run, and records answers after their callers have them. Each
request has a `ClaimedDispatcher` of its own.
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
from ._claimed_dispatch import ClaimedDispatcher, ClaimRefusedError, in_doubt

__all__ = ["Claims"]

BEGIN_WITHIN_MS = 1_000
RECORD_WITHIN_MS = 3_000
ASK_TIMEOUT_MS = 3_000
ASK_PAUSE_MS = 50
RETRY_AFTER_MS = 1_000
MAX_SEEN = 10_000

_KEEPERS_AWAY = frozenset(
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
    agents : AttemptClient
    metrics : Metrics
    """

    def __init__(
        self,
        entry_id: str,
        keepers: KeeperLink,
        agents: AttemptClient,
        metrics: Metrics,
    ):
        self.entry_id = entry_id
        self._keepers = keepers
        self._agents = agents
        self._metrics = metrics
        self._seen: dict[str, None] = {}
        self._n_running = 0
        self._tasks: anyio.abc.TaskGroup | None = None
        self.n_recording = 0

    async def serve(self) -> None:
        """Record the ends of attempts for as long as the process runs."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def run(
        self,
        key: ClaimKey,
        inner: Dispatcher,
        work: Callable[[ClaimedDispatcher], Awaitable[Result[T, Failure]]],
        replay: Callable[[Answer], Awaitable[Result[T, Failure]]],
    ) -> Result[T, Failure]:
        """Run a request under its key, or give the answer that it had.

        Parameters
        ----------
        key : ClaimKey
        inner : Dispatcher
        work : callable
            Runs the request; it sends each attempt by the dispatcher that it
            gets, and sends none after one whose outcome is unknown.
        replay : callable
            Gives the caller a kept answer when no attempt could be sent.
        """
        dispatcher = ClaimedDispatcher(self, inner, key)
        self._count_running(1)
        try:
            # A caller who hangs up must not leave the claim's end unrecorded.
            with anyio.CancelScope(shield=True):
                result = await self._run(dispatcher, work, replay)
        finally:
            self._count_running(-1)
        outcome = "answered"
        if isinstance(result, Err):
            outcome = result.failure().outcome.value
        self._metrics.count("claims_total", outcome=outcome)
        return result

    async def _run(
        self, dispatcher: ClaimedDispatcher, work: Any, replay: Any
    ) -> Result[Any, Failure]:
        try:
            result = await work(dispatcher)
            if isinstance(result, Err) and result.failure().outcome is Outcome.NOT_RUN:
                kept = await dispatcher.give_up()
                return result if kept is None else await replay(kept)
        except ClaimRefusedError as refused:
            return Err(refused.fault)
        return result

    def _count_running(self, change: int) -> None:
        self._n_running += change
        self._metrics.gauge("claims_open", self._n_running)

    async def begin(self, begin: ClaimBegin) -> ClaimState:
        """Return a key's state, with an attempt opened where it may run.

        Raises
        ------
        ClaimRefusedError
            CLAIMS_UNAVAILABLE, not run, when the keepers could not take the
            claim and this entry knows of no attempt that may have run.
        """
        may_have_run = begin.key in self._seen
        result = await self._ask(begin, BEGIN_WITHIN_MS)
        if isinstance(result, Err):
            raise ClaimRefusedError(_begin_refused(result.failure(), may_have_run))
        return result.unwrap()

    async def record(self, message: ClaimAttempt | ClaimFinish) -> ClaimState:
        """Record a change of a claim and return its new state.

        Raises
        ------
        ClaimRefusedError
            With an unknown outcome, when the keepers could not record it.
        """
        result = await self._ask(message, RECORD_WITHIN_MS)
        if isinstance(result, Err):
            raise ClaimRefusedError(
                in_doubt("the keepers cannot record the outcome now")
            )
        return result.unwrap()

    async def ask_agent(self, agent_addr: str, query: AttemptQuery) -> AttemptEnd:
        """Return how an attempt ended; its state is ``unreachable`` in doubt."""
        asked = await self._agents.query(agent_addr, query)
        end = asked.value_or(AttemptEnd("unreachable"))
        self._metrics.count("attempts_asked_total", state=end.state)
        return end

    def later(self, step: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Take a step of a claim after its caller has been answered."""
        self.n_recording += 1
        self._tasks.start_soon(self._take, step, args)

    async def _take(self, step: Callable[..., Awaitable[Any]], args: tuple) -> None:
        try:
            await step(*args)
        except ClaimRefusedError as refused:
            # The agent still has the answer, and a resend will ask it.
            self._metrics.count("records_lost_total", reason=refused.fault.code.name)
        finally:
            self.n_recording -= 1

    async def _ask(self, message: Any, within_ms: float) -> Result[ClaimState, Failure]:
        """Send a claim message to the leader, again while there is none.

        Each claim message may be sent twice without harm.
        """
        give_up_ms = monotonic_ms() + within_ms
        while True:
            result = await self._keepers.request(message, ASK_TIMEOUT_MS)
            if isinstance(result, Success):
                self._note(result.unwrap())
                return result
            fault = result.failure()
            if fault.code not in _KEEPERS_AWAY or monotonic_ms() >= give_up_ms:
                return result
            self._metrics.count("claim_retries_total", reason=fault.code.name)
            await anyio.sleep(ASK_PAUSE_MS / 1000)

    def _note(self, state: ClaimState) -> None:
        """Remember which keys may have run, for when the keepers are away."""
        self._seen.pop(state.key, None)
        if state.status in ("open", "answered", "unknown"):
            self._seen[state.key] = None
        if len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]


def _begin_refused(fault: Failure, may_have_run: bool) -> Failure:
    """Return what a caller is told whose claim was not taken."""
    if fault.code == Code.KEY_EXPIRED:
        # It may have run under the claim that was dropped.
        return fault._replace(outcome=Outcome.UNKNOWN)
    if fault.code not in _KEEPERS_AWAY:
        return fault
    if may_have_run:
        return in_doubt("the keepers cannot be asked about the key now")
    return failure(Code.CLAIMS_UNAVAILABLE, "", RETRY_AFTER_MS)
