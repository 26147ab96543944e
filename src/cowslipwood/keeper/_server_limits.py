"""Grants entries permits to send requests to servers that have named a limit.

The limit holds for all entries together, so one process counts: the leader. What it
has granted is in memory only. A new leader begins with empty buckets and learns the
limits from the entries.
"""

from ..kernel.logs import get_logger
from ..kernel.messages import (
    SendPermitRequest,
    SendPermits,
    ServerLimit,
    ServerLimits,
)
from ..server_limits import (
    LimitFact,
    LimitLedger,
    PermitBucket,
    count_rate,
)

__all__ = ["ServerLimitTable"]

# Time, in milliseconds, for which it is kept that a limit has ended, so that a late
# report does not bring the limit back.
ENDED_LIFE_MS = 60_000.0


class ServerLimitTable:
    """The limits that entries have reported, and the permits granted under them.

    Attributes
    ----------
    revision : int
        Revision of the last change of a limit.
    """

    def __init__(self):
        self.revision = 0
        self._ledger = LimitLedger()
        self._revisions: dict[str, int] = {}
        self._buckets: dict[tuple[str, str], PermitBucket] = {}
        self._term = -1

    def add(self, report: ServerLimits, term: int, now_ms: float) -> bool:
        """Add an entry's report; return whether entries have to be told of a limit."""
        self._start_term(term, now_ms)
        must_send = [
            self._record(limit, now_ms) or self._renew_refused(limit)
            for limit in report.limits
        ]
        return any(must_send)

    def grant(
        self, request: SendPermitRequest, term: int, now_ms: float
    ) -> SendPermits:
        """Answer an entry's question for permits."""
        self._start_term(term, now_ms)
        self._record(request.limit, now_ms)
        server_id, incarnation = request.limit.server_id, request.limit.incarnation
        bucket = self._buckets.get((server_id, incarnation))
        if bucket is None:
            # The limit has ended since, or the server has started again; the entry is
            # about to be told.
            return SendPermits(request.n_wanted, 0.0, 0.0)
        rank = request.urgency_rank
        n_granted = bucket.take(request.n_wanted, rank, now_ms)
        if n_granted:
            return SendPermits(n_granted, 0.0, 0.0)
        return SendPermits(0, *bucket.refuse(rank, now_ms))

    def build_update(self, sent_revision: int, now_ms: float) -> ServerLimits:
        """Return the limits that have changed since a revision."""
        return ServerLimits(
            tuple(
                ServerLimit(
                    fact.server_id,
                    fact.incarnation,
                    fact.rate_per_s,
                    now_ms - fact.at_ms,
                )
                for fact in self._ledger.list_facts()
                if self._revisions.get(fact.server_id, 0) > sent_revision
            )
        )

    def find_rate(self, server_id: str, incarnation: str) -> float | None:
        """Return the limit of a server in requests per second; None for none."""
        fact = self._ledger.find_limit(server_id, incarnation)
        return None if fact is None else fact.rate_per_s

    def was_short(self, server_id: str, incarnation: str, now_ms: float) -> bool:
        """Return whether the server was lately asked for more than its limit."""
        bucket = self._buckets.get((server_id, incarnation))
        return bucket is not None and bucket.was_short(now_ms)

    def take_own(self, server_id: str, incarnation: str, now_ms: float) -> None:
        """Count an order or another call of the leader to a server."""
        bucket = self._buckets.get((server_id, incarnation))
        if bucket is not None:
            bucket.take_own(now_ms)

    def list_limits(self) -> list[LimitFact]:
        """Return the limits in force."""
        return [fact for fact in self._ledger.list_facts() if fact.is_limited]

    def _start_term(self, term: int, now_ms: float) -> None:
        if term == self._term:
            return
        self._term = term
        self._buckets = {
            (fact.server_id, fact.incarnation): _make_bucket(fact, now_ms)
            for fact in self.list_limits()
        }

    def _record(self, limit: ServerLimit, now_ms: float) -> bool:
        fact = LimitFact(
            limit.server_id, limit.incarnation, limit.rate_per_s, now_ms - limit.age_ms
        )
        if not self._ledger.record(fact):
            return False
        self.revision += 1
        self._revisions[fact.server_id] = self.revision
        get_logger().info(
            "server_limit_changed",
            server=fact.server_id,
            per_s=fact.rate_per_s,
            age_ms=round(limit.age_ms),
        )
        self._update_bucket(fact, now_ms)
        self._forget_ended(now_ms)
        return True

    def _renew_refused(self, limit: ServerLimit) -> bool:
        """Have entries told of the limit that stands against a higher one.

        A report that comes soon after the limit may be older than that and is ignored.
        Its entry reports the server's next answer only if it knows of the limit again.
        """
        known = self._ledger.find_limit(limit.server_id, limit.incarnation)
        if known is None or limit.rate_per_s <= known.rate_per_s:
            return False
        self.revision += 1
        self._revisions[limit.server_id] = self.revision
        return True

    def _update_bucket(self, fact: LimitFact, now_ms: float) -> None:
        key = fact.server_id, fact.incarnation
        if not fact.is_limited:
            self._buckets.pop(key, None)
        elif key in self._buckets:
            self._buckets[key].set_rate(count_rate(fact.rate_per_s), now_ms)
        else:
            for other in [other for other in self._buckets if other[0] == key[0]]:
                del self._buckets[other]
            self._buckets[key] = _make_bucket(fact, now_ms)

    def _forget_ended(self, now_ms: float) -> None:
        for fact in self._ledger.list_facts():
            if not fact.is_limited and now_ms - fact.at_ms > ENDED_LIFE_MS:
                self._ledger.forget(fact.server_id)
                self._revisions.pop(fact.server_id, None)

    def forget_unlisted(self, listed_ids: set[str]) -> None:
        """Forget the servers that are not listed any more."""
        for fact in self._ledger.list_facts():
            if fact.server_id not in listed_ids:
                self._ledger.forget(fact.server_id)
                self._revisions.pop(fact.server_id, None)
                self._buckets.pop((fact.server_id, fact.incarnation), None)


def _make_bucket(fact: LimitFact, now_ms: float) -> PermitBucket:
    return PermitBucket(count_rate(fact.rate_per_s), now_ms)
