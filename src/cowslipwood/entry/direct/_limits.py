"""Keeps to the limits of requests per second that servers name.

A limit holds for all entries together, so each request to a limited server needs a
permit of the leader. An entry without a leader sends at a part of its share instead.
"""

import math
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result

from ...kernel.clock import monotonic_ms
from ...kernel.codes import Failure
from ...kernel.logs import get_logger
from ...kernel.messages import (
    SendPermitRequest,
    SendPermits,
    ServerLimit,
    ServerLimits,
    ServerView,
)
from ...kernel.metrics import Metrics
from ...server_limits import (
    PERMIT_LIFE_MS,
    LimitFact,
    LimitLedger,
    Reserve,
    count_rate,
)
from ..choosing._backend import Backend
from ._retries import LiveEntryCount

__all__ = ["Permit", "PermitRefusal", "PermitSource", "ServerLimitKeeper"]

# Asks the leader for permits; the second argument is the longest wait in milliseconds.
PermitSource = Callable[
    [SendPermitRequest, float], Awaitable[Result[SendPermits, Failure]]
]

# Part of its share of the rate at which an entry sends without a leader. Others may
# have a leader meanwhile, which grants the whole rate.
ALONE_SHARE = 0.5
# Time, in milliseconds, within which requests to one server count as a series, for
# which several permits are asked for at once.
SERIES_MS = 200.0
# Largest number of permits that are asked for at once.
MAX_WANTED = 64
# Longest time, in milliseconds, for which an entry without a leader does not ask for
# one again before it sends.
MAX_ALONE_PAUSE_MS = 250.0


class Permit(NamedTuple):
    """Leave to send one request.

    Parameters
    ----------
    rate_per_s : float or None
        The server's limit; None if it has none.
    age_ms : float
        Time since the leader was asked for the permit.
    is_alone : bool
        Whether no leader has granted it.
    """

    rate_per_s: float | None = None
    age_ms: float = 0.0
    is_alone: bool = False


class PermitRefusal(NamedTuple):
    """Why no request may be sent now.

    Parameters
    ----------
    next_ms : float
        Time until the next permit.
    retry_after_ms : float
        Time until those who asked before have theirs.
    """

    next_ms: float
    retry_after_ms: float


class _Held:
    """What an entry holds for one incarnation of a limited server."""

    def __init__(self):
        self.lock = anyio.Lock()
        self.n_waiting = 0
        self.reserve = Reserve(PERMIT_LIFE_MS)
        self.asked_at_ms = -math.inf
        self.n_used = 0
        self.is_alone = False
        self.next_alone_ms = -math.inf
        self.queue_until_ms = -math.inf


class ServerLimitKeeper:
    """The limits that an entry knows, and its permits.

    Parameters
    ----------
    ask_leader : PermitSource
    live_entries : LiveEntryCount
    metrics : Metrics
    rng : random.Random
    now_ms : callable
        Returns the current time.

    Attributes
    ----------
    has_news : anyio.Event
        Set when there is a limit to report; replaced by `take_news`.
    """

    def __init__(
        self,
        ask_leader: PermitSource,
        live_entries: LiveEntryCount,
        metrics: Metrics,
        rng: random.Random,
        now_ms: Callable[[], float] = monotonic_ms,
    ):
        self._ask_leader = ask_leader
        self._live_entries = live_entries
        self._metrics = metrics
        self._rng = rng
        self._now_ms = now_ms
        self._ledger = LimitLedger()
        self._held: dict[tuple[str, str], _Held] = {}
        self._unsent: dict[str, LimitFact] = {}
        self.has_news = anyio.Event()

    def record_answer(
        self,
        backend: Backend,
        rate_per_s: float | None,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Record the limit that an answer names; None if it names none.

        Answers overtake each other. Only an answer to a request that was sent after
        the last statement is certain to be newer than that.

        Parameters
        ----------
        backend : Backend
        rate_per_s : float or None
        sent_ms : float
            When the request was sent.
        now_ms : float
        """
        server = backend.view
        known = self._ledger.find(server.server_id, server.incarnation)
        named = math.inf if rate_per_s is None else rate_per_s
        if known is None and rate_per_s is None:
            return
        is_newer = known is None or sent_ms > known.at_ms
        if not is_newer and named > known.rate_per_s:
            return
        fact = LimitFact(server.server_id, server.incarnation, named, now_ms)
        self._ledger.replace(fact)
        if known is None or known.rate_per_s != named:
            self._report(fact, known, "answer")
            # The next permit was due by the rate before.
            backend.limited_until_ms = 0.0

    def apply_update(self, update: ServerLimits, now_ms: float) -> None:
        """Apply the limits that the leader has heard of."""
        for limit in update.limits:
            fact = LimitFact(
                limit.server_id,
                limit.incarnation,
                limit.rate_per_s,
                now_ms - limit.age_ms,
            )
            known = self._ledger.find(fact.server_id, fact.incarnation)
            if self._ledger.record(fact):
                self._log_change(fact, known, "leader")
            elif known is not None and known.rate_per_s != fact.rate_per_s:
                self._unsent[known.server_id] = known
                self.has_news.set()

    def take_news(self, now_ms: float) -> ServerLimits | None:
        """Return the limits that were not reported yet; None if there are none."""
        self.has_news = anyio.Event()
        unsent, self._unsent = self._unsent, {}
        return _build_message(list(unsent.values()), now_ms) if unsent else None

    def build_all(self, now_ms: float) -> ServerLimits | None:
        """Return all limits, for a leader that may know none; None without any."""
        facts = self._ledger.list_facts()
        return _build_message(facts, now_ms) if facts else None

    def forget_unlisted(self, listed_ids: set[str]) -> None:
        """Forget the servers that are not known any more."""
        for fact in self._ledger.list_facts():
            if fact.server_id not in listed_ids:
                self._ledger.forget(fact.server_id)
                self._unsent.pop(fact.server_id, None)
        self._held = {
            key: held for key, held in self._held.items() if self._ledger.find(*key)
        }
        self._metrics.gauge("limited_servers", self._count_limited())

    def enqueue_caller(self, server: ServerView, now_ms: float) -> float:
        """Add a caller to those who wait; return the milliseconds until its turn."""
        fact = self._ledger.find_limit(server.server_id, server.incarnation)
        if fact is None:
            return 0.0
        held = self._get_held(server)
        interval_ms = 1000.0 / count_rate(fact.rate_per_s)
        held.queue_until_ms = max(held.queue_until_ms, now_ms) + interval_ms
        return held.queue_until_ms - now_ms

    def has_limit(self, server: ServerView) -> bool:
        """Return whether a server has named a limit, which counts all calls to it."""
        limit = self._ledger.find_limit(server.server_id, server.incarnation)
        return limit is not None

    async def take_permit(
        self, backend: Backend, urgency_rank: int
    ) -> Permit | PermitRefusal:
        """Return leave to send one request to a server, or why there is none.

        A server without a limit needs no permit. After a refusal the server is not
        eligible until the next permit.
        """
        server = backend.view
        fact = self._ledger.find_limit(server.server_id, server.incarnation)
        if fact is None:
            return Permit()
        held = self._get_held(server)
        held.n_waiting += 1
        try:
            async with held.lock:
                return await self._take(backend, fact, held, urgency_rank)
        finally:
            held.n_waiting -= 1

    async def _take(
        self, backend: Backend, fact: LimitFact, held: _Held, urgency_rank: int
    ) -> Permit | PermitRefusal:
        now_ms = self._now_ms()
        if now_ms < backend.limited_until_ms:
            next_ms = backend.limited_until_ms - now_ms
            return PermitRefusal(next_ms, self.enqueue_caller(backend.view, now_ms))
        if held.reserve.take(1, now_ms):
            return self._use(held, fact, now_ms)
        return await self._ask(backend, fact, held, urgency_rank)

    async def _ask(
        self, backend: Backend, fact: LimitFact, held: _Held, urgency_rank: int
    ) -> Permit | PermitRefusal:
        asked_at_ms = self._now_ms()
        is_series = asked_at_ms - held.asked_at_ms < SERIES_MS
        n_wanted = max(held.n_waiting, 1 + (held.n_used if is_series else 0))
        n_wanted = min(MAX_WANTED, n_wanted)
        request = SendPermitRequest(
            _build_limit(fact, asked_at_ms), n_wanted, urgency_rank
        )
        reply = await self._ask_leader(request, PERMIT_LIFE_MS)
        now_ms = self._now_ms()
        is_late = now_ms - asked_at_ms >= PERMIT_LIFE_MS
        permits = None if isinstance(reply, Err) else reply.unwrap()
        if not isinstance(permits, SendPermits) or (permits.n_granted and is_late):
            return self._take_alone(backend, fact, held, now_ms)
        held.is_alone = False
        if permits.n_granted:
            held.reserve.add(permits.n_granted - 1, asked_at_ms)
            held.asked_at_ms = asked_at_ms
            held.n_used = 0
            return self._use(held, fact, now_ms)
        backend.limited_until_ms = now_ms + permits.next_ms
        held.queue_until_ms = now_ms + permits.retry_after_ms
        self._count("refused")
        return PermitRefusal(permits.next_ms, permits.retry_after_ms)

    def _take_alone(
        self, backend: Backend, fact: LimitFact, held: _Held, now_ms: float
    ) -> Permit | PermitRefusal:
        """Send without a leader, at a part of this entry's share of the rate."""
        rate_per_s = ALONE_SHARE * count_rate(fact.rate_per_s)
        interval_ms = 1000.0 * self._live_entries.get(now_ms) / rate_per_s
        if not held.is_alone:
            # All entries may lose the leader at once; they must not send at once.
            held.is_alone = True
            held.next_alone_ms = max(
                held.next_alone_ms, now_ms + self._rng.random() * interval_ms
            )
        if now_ms >= held.next_alone_ms:
            held.next_alone_ms = now_ms + interval_ms
            self._count("alone")
            return Permit(fact.rate_per_s, 0.0, True)
        next_ms = held.next_alone_ms - now_ms
        backend.limited_until_ms = now_ms + min(next_ms, MAX_ALONE_PAUSE_MS)
        self._count("refused_alone")
        return PermitRefusal(next_ms, next_ms)

    def _use(self, held: _Held, fact: LimitFact, now_ms: float) -> Permit:
        held.n_used += 1
        self._count("granted")
        return Permit(fact.rate_per_s, now_ms - held.asked_at_ms)

    def _get_held(self, server: ServerView) -> _Held:
        key = server.server_id, server.incarnation
        held = self._held.get(key)
        if held is None:
            held = self._held[key] = _Held()
        return held

    def _report(self, fact: LimitFact, known: LimitFact | None, source: str) -> None:
        self._unsent[fact.server_id] = fact
        self.has_news.set()
        self._log_change(fact, known, source)

    def _log_change(
        self, fact: LimitFact, known: LimitFact | None, source: str
    ) -> None:
        self._metrics.gauge("limited_servers", self._count_limited())
        get_logger().info(
            "server_limit_changed",
            server=fact.server_id,
            per_s=fact.rate_per_s,
            before_per_s=None if known is None else known.rate_per_s,
            source=source,
        )

    def _count(self, outcome: str) -> None:
        self._metrics.count("send_permits_total", outcome=outcome)

    def _count_limited(self) -> int:
        return sum(fact.is_limited for fact in self._ledger.list_facts())


def _build_limit(fact: LimitFact, now_ms: float) -> ServerLimit:
    return ServerLimit(
        fact.server_id, fact.incarnation, fact.rate_per_s, now_ms - fact.at_ms
    )


def _build_message(facts: list[LimitFact], now_ms: float) -> ServerLimits:
    return ServerLimits(tuple(_build_limit(fact, now_ms) for fact in facts))
