"""Checks that a server has outlived an answer that ended with its connection.

The operating system closes the connections of a process that ends like those of an
answer that is complete. Without length or chunks, the end alone proves nothing.
"""

import enum
from collections.abc import Awaitable, Callable

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ...kernel.clock import monotonic_ms, wall_ms
from ...kernel.codes import Code, Failure, failure
from ...kernel.messages import ServerView
from ...kernel.metrics import Metrics
from ._server_reports import ServerSign, ask_by_connection

__all__ = ["EndCheck", "EndSign"]

# Number of questions to a server that does not answer the first one.
N_QUESTIONS = 2
# Pause between them, in milliseconds. Within it, a server with too many connections
# may have closed one.
QUESTION_PAUSE_MS = 50.0
# Time, in milliseconds, by which a server's clock may be behind that of this host.
CLOCK_MARGIN_MS = 2_000.0


class EndSign(enum.StrEnum):
    """What the check of an answer's end found."""

    ALIVE = "alive"
    GONE = "gone"
    OTHER_SERVER = "other_server"
    RESTARTED = "restarted"
    SILENT = "silent"


# Asks a server; fails with BACKEND_UNREACHABLE, BACKEND_TIMEOUT or ANSWER_CUT.
AskServer = Callable[[ServerView], Awaitable[Result[ServerSign, Failure]]]


class _Question:
    """The questions to one server, and the answers that wait for one."""

    def __init__(self):
        self.lock = anyio.Lock()
        self.n_waiting = 0
        self.n_asked = 0
        self.n_answered = 0
        self.sign: Result[ServerSign, Failure] = Err(failure(Code.BACKEND_TIMEOUT))


class EndCheck:
    """Asks servers whether they outlived their answers.

    Parameters
    ----------
    metrics : Metrics
    ask_server : callable
        Asks a server over a connection of its own. What it answers proves that its
        process ran after the question was sent.
    now_ms, now_wall_ms : callable
        Return the current time on either clock.
    """

    def __init__(
        self,
        metrics: Metrics,
        ask_server: AskServer,
        now_ms: Callable[[], float] = monotonic_ms,
        now_wall_ms: Callable[[], float] = wall_ms,
    ):
        self._metrics = metrics
        self._ask_server = ask_server
        self._now_ms = now_ms
        self._now_wall_ms = now_wall_ms
        self._questions: dict[tuple[str, str], _Question] = {}

    async def check(
        self,
        server: ServerView,
        sent_ms: float,
        may_ask: bool = True,
        is_proven: bool = False,
    ) -> EndSign:
        """Return whether the process that answered a request still runs.

        Answers that end at the same time share a question; one that was asked before
        an answer's end proves nothing for it.

        Parameters
        ----------
        server : ServerView
            The server as it was known when the request was sent.
        sent_ms : float
            When the request was sent.
        may_ask : bool
            Whether the server takes calls; if not, only a connection is opened.
        is_proven : bool
            Whether the request certainly went to the incarnation of `server`.
        """
        key = server.server_id, server.http_addr
        question = self._questions.setdefault(key, _Question())
        n_asked_before_end = question.n_asked
        question.n_waiting += 1
        try:
            async with question.lock:
                if question.n_answered <= n_asked_before_end:
                    question.n_asked += 1
                    question.sign = await self._ask(server, may_ask)
                    question.n_answered = question.n_asked
        finally:
            question.n_waiting -= 1
            if not question.n_waiting:
                del self._questions[key]
        sign = self._judge(question.sign, server, sent_ms, is_proven)
        self._metrics.count("answer_ends_checked_total", sign=sign.value)
        return sign

    async def _ask(
        self, server: ServerView, may_ask: bool
    ) -> Result[ServerSign, Failure]:
        if not may_ask:
            return await ask_by_connection(server)
        for n_asked in range(1, N_QUESTIONS + 1):
            sign = await self._ask_server(server)
            if isinstance(sign, Success):
                return sign
            if n_asked < N_QUESTIONS:
                await anyio.sleep(QUESTION_PAUSE_MS / 1000)
        if sign.failure().code is Code.ANSWER_CUT:
            # An overloaded server accepts connections only to reset them.
            return await ask_by_connection(server)
        return sign

    def _judge(
        self,
        sign: Result[ServerSign, Failure],
        server: ServerView,
        sent_ms: float,
        is_proven: bool,
    ) -> EndSign:
        if isinstance(sign, Err):
            is_silent = sign.failure().code is Code.BACKEND_TIMEOUT
            return EndSign.SILENT if is_silent else EndSign.GONE
        answer = sign.unwrap()
        if not answer.is_same:
            return EndSign.OTHER_SERVER
        is_known = answer.born_ms == 0 or str(answer.born_ms) == server.incarnation
        # The list may name an incarnation before the one that was sent the request.
        sent_at_wall_ms = self._now_wall_ms() - (self._now_ms() - sent_ms)
        is_older = answer.born_ms + CLOCK_MARGIN_MS <= sent_at_wall_ms
        is_same = is_known or (is_older and not is_proven)
        return EndSign.ALIVE if is_same else EndSign.RESTARTED
