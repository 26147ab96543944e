"""Keeps to the limit of requests per second that the agent's server names.

All calls to the server pass through its agent, so the agent counts them by itself.
"""

from collections.abc import Iterable

from ..kernel.codes import Code, Failure, failure
from ..kernel.logs import get_logger
from ..listing import read_notice
from ..server_limits import PermitBucket, count_rate

__all__ = ["ServerLimit"]

# Names of the headers by which a server states that it leaves, and names its limit.
LEAVING_HEADER = b"x-cowslip-leaving"
LIMIT_HEADER = b"x-cowslip-limit"


class ServerLimit:
    """The limit that the server named last.

    Attributes
    ----------
    rate_per_s : float or None
        None while the server names no limit.
    """

    def __init__(self):
        self.rate_per_s: float | None = None
        self._stated_at_ms = 0.0
        self._bucket: PermitBucket | None = None

    def record_answer(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        An answer to a call that was sent before the last statement may be older than
        that, so it can only lower the limit.
        """
        lower = [(name.lower(), value) for name, value in headers]
        named = read_notice(status, lower, LEAVING_HEADER, LIMIT_HEADER).rate_limit
        is_lower = named is not None and (
            self.rate_per_s is None or named <= self.rate_per_s
        )
        if sent_ms <= self._stated_at_ms and not is_lower:
            return
        if named is not None or self.rate_per_s is not None:
            self._stated_at_ms = now_ms
        if named == self.rate_per_s:
            return
        get_logger().info(
            "server_limit_changed", per_s=named, before_per_s=self.rate_per_s
        )
        self.rate_per_s = named
        if named is None:
            self._bucket = None
        elif self._bucket is None:
            self._bucket = PermitBucket(count_rate(named), now_ms)
        else:
            self._bucket.set_rate(count_rate(named), now_ms)

    def refuse_call(self, urgency_rank: int, now_ms: float) -> Failure | None:
        """Count a call that is about to be sent; return why it may not be.

        Fails with SERVER_LIMITED.
        """
        bucket = self._bucket
        if bucket is None or bucket.take(1, urgency_rank, now_ms):
            return None
        _, retry_after_ms = bucket.refuse(urgency_rank, now_ms)
        return failure(Code.SERVER_LIMITED, "", max(1, round(retry_after_ms)))
