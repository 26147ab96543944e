"""Limits the bytes that a process holds for the clients of its listening ports.

Each connection reports what is held for it. When the sum exceeds the budget, the
connections that hold most for longest without progress are closed.
"""

import math
from collections.abc import Callable

from .logs import get_logger
from .metrics import Metrics

__all__ = ["ByteBudget", "CloseRecorder", "HeldBytes", "compute_budget_bytes"]

# Memory that a process needs beside what it holds for clients, in megabytes. An entry
# that holds nothing takes 45 to 60 MB.
OWN_MEMORY_MB = 60
# Bytes of memory for each byte that is counted: up to four copies of a body exist while
# it is sent, and the budget may be exceeded by half.
MEMORY_FACTOR = 6
# Least budget. Several bodies of the largest size of usual configs (4 MB) must fit.
MIN_BUDGET_BYTES = 16_000_000
# Bytes that must move for a connection to count as making progress. A client that
# sends or reads one byte at a time makes none for a long time.
MIN_PROGRESS_BYTES = 16_384
# Factor by which the budget may be exceeded while no connection may be closed, because
# all of them wait for a server or make progress.
HARD_FACTOR = 1.5
# Time, in milliseconds, without progress before which a connection is closed only when
# the budget is exceeded by that factor. Pieces of an ordinary upload follow sooner.
MIN_STALLED_MS = 500.0
# Time, in milliseconds, after a search that found no connection to close until the next
# one, unless the budget is exhausted. A search visits all connections, and pieces of
# their requests may arrive thousands of times a second.
SEARCH_PAUSE_MS = 50.0
# Least time, in milliseconds, between two log lines about closed connections.
LOG_INTERVAL_MS = 1_000.0


def compute_budget_bytes(memory_mb: float) -> int:
    """Return the budget of a process on a host with this much memory."""
    n_bytes = round((memory_mb - OWN_MEMORY_MB) * 1_000_000 / MEMORY_FACTOR)
    return max(MIN_BUDGET_BYTES, n_bytes)


class CloseRecorder:
    """Counts the connections that a process closes, and logs them at a bounded rate.

    Attributes
    ----------
    metrics : Metrics or None
        None counts nothing.
    """

    def __init__(self, metrics: Metrics | None = None):
        self.metrics = metrics
        self._logged_at_ms = -LOG_INTERVAL_MS
        self._n_unlogged = 0

    def record(
        self, reason: str, n_bytes: int, stalled_ms: float, now_ms: float
    ) -> None:
        """Record that a connection is closed.

        Parameters
        ----------
        reason : str
            ``budget``, ``descriptors``, ``stalled`` or ``unread``.
        n_bytes : int
            Bytes held for it.
        stalled_ms : float
            Time without progress.
        now_ms : float
        """
        if self.metrics is not None:
            self.metrics.count("connections_closed_total", reason=reason)
        self._n_unlogged += 1
        if now_ms - self._logged_at_ms < LOG_INTERVAL_MS:
            return
        get_logger().info(
            "connection_closed",
            reason=reason,
            n_bytes=n_bytes,
            stalled_ms=round(stalled_ms),
            n_closed=self._n_unlogged,
        )
        self._logged_at_ms, self._n_unlogged = now_ms, 0


class HeldBytes:
    """What is held for one connection.

    Parameters
    ----------
    close : callable
        Closes the connection at once.
    now_ms : float

    Attributes
    ----------
    n_bytes : int
    is_client_awaited : bool
        Whether the connection waits for its client, to send or to read, or holds bytes
        that the client sent ahead. No other connection is closed to make room.
    """

    def __init__(self, close: Callable[[], None], now_ms: float):
        self.close = close
        self.n_bytes = 0
        self.is_client_awaited = False
        self._progress_at_ms = now_ms
        self._n_moved_bytes = 0

    def record_moved(self, n_bytes: int, now_ms: float) -> None:
        """Record that the client has sent or read bytes."""
        self._n_moved_bytes += n_bytes
        if self._n_moved_bytes >= MIN_PROGRESS_BYTES:
            self.record_progress(now_ms)

    def record_progress(self, now_ms: float) -> None:
        """Record the end of a request or response, or the start of a connection."""
        self._progress_at_ms = now_ms
        self._n_moved_bytes = 0

    def compute_stalled_ms(self, now_ms: float) -> float:
        """Return the time without progress."""
        return now_ms - self._progress_at_ms


class ByteBudget:
    """The bytes that a process may hold for its clients.

    Parameters
    ----------
    max_bytes : int
    metrics : Metrics or None
        Counts the closed connections; None counts nothing.

    Attributes
    ----------
    closes : CloseRecorder
    n_bytes : int
        What is held now.
    """

    def __init__(self, max_bytes: int, metrics: Metrics | None = None):
        self._max_bytes = max_bytes
        self._held: set[HeldBytes] = set()
        self._search_again_at_ms = -math.inf
        self.closes = CloseRecorder(metrics)
        self.n_bytes = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more of a request may be held."""
        return self.n_bytes > HARD_FACTOR * self._max_bytes

    def update(self, held: HeldBytes, n_bytes: int, is_client_awaited: bool) -> None:
        """Record what is held for a connection."""
        self.n_bytes += n_bytes - held.n_bytes
        held.n_bytes, held.is_client_awaited = n_bytes, is_client_awaited
        if n_bytes:
            self._held.add(held)
        else:
            self._held.discard(held)

    def make_room(self, now_ms: float) -> None:
        """Close the connections that hold most for longest, down to the budget."""
        if now_ms < self._search_again_at_ms and not self.is_exhausted:
            return
        while self.n_bytes > self._max_bytes:
            min_stalled_ms = 0.0 if self.is_exhausted else MIN_STALLED_MS
            candidates = [
                held
                for held in self._held
                if held.is_client_awaited
                and held.compute_stalled_ms(now_ms) > min_stalled_ms
            ]
            if not candidates:
                self._search_again_at_ms = now_ms + SEARCH_PAUSE_MS
                return
            held = max(
                candidates, key=lambda one: one.n_bytes * one.compute_stalled_ms(now_ms)
            )
            self.close(held, "budget", now_ms)

    def close(self, held: HeldBytes, reason: str, now_ms: float) -> None:
        """Close a connection and record why."""
        stalled_ms = held.compute_stalled_ms(now_ms)
        self.closes.record(reason, held.n_bytes, stalled_ms, now_ms)
        self.update(held, 0, False)
        held.close()
