"""A leader that grants permits, and the entries that are connected to it."""

from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from cowslipwood.entry.direct._limits import ServerLimitKeeper
from cowslipwood.entry.direct._state import DirectState
from cowslipwood.keeper._server_limits import ServerLimitTable
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, Failure, failure
from cowslipwood.kernel.messages import SendPermitRequest
from cowslipwood.listing import ListedServer

from .direct_builders import build_direct_state, create_rng


class LimitLeader:
    """The leader's table, with messages that take a time on their way.

    Parameters
    ----------
    message_ms : float

    Attributes
    ----------
    is_up : bool
        Whether entries are connected to a leader. May be changed.
    term : int
        A change makes the table that of a new leader, which knows nothing.
    n_asked : int
        Number of questions for permits.
    """

    def __init__(self, message_ms: float = 0.0):
        self._message_ms = message_ms
        self._states: list[DirectState] = []
        self._sent_revisions: list[int] = []
        self.table = ServerLimitTable()
        self.is_up = True
        self.term = 1
        self.n_asked = 0

    def add_entry(self, listed: list[ListedServer]) -> DirectState:
        """Return the state of an entry that is connected to the leader."""
        state = build_direct_state(listed)
        state.limits = ServerLimitKeeper(
            self.ask, state.live_entries, state.metrics, create_rng()
        )
        self._states.append(state)
        self._sent_revisions.append(0)
        for each in self._states:
            each.live_entries.update(len(self._states), monotonic_ms())
        return state

    def change(self) -> None:
        """Make another process the leader, which entries tell all they know."""
        self.term += 1
        self.table = ServerLimitTable()
        self._sent_revisions = [0] * len(self._states)
        now_ms = monotonic_ms()
        for state in self._states:
            known = state.limits.build_all(now_ms)
            if known is not None:
                self.table.add(known, self.term, now_ms)

    async def ask(
        self, request: SendPermitRequest, timeout_ms: float
    ) -> Result[Any, Failure]:
        """Answer an entry's question for permits."""
        self.n_asked += 1
        await anyio.sleep(self._message_ms / 1000)
        if not self.is_up:
            return Err(failure(Code.NO_QUORUM))
        granted = self.table.grant(request, self.term, monotonic_ms())
        await anyio.sleep(self._message_ms / 1000)
        return Success(granted)

    async def exchange_reports(self) -> None:
        """Pass on what entries report, without end."""
        while True:
            await anyio.sleep(max(0.005, self._message_ms / 1000))
            now_ms = monotonic_ms()
            for i, state in enumerate(self._states if self.is_up else ()):
                news = state.limits.take_news(now_ms)
                if news is not None:
                    self.table.add(news, self.term, now_ms)
                if self.table.revision > self._sent_revisions[i]:
                    update = self.table.build_update(self._sent_revisions[i], now_ms)
                    self._sent_revisions[i] = self.table.revision
                    state.limits.apply_update(update, now_ms)
