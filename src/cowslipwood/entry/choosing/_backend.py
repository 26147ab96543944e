"""The load, latency and health of one backend server as this entry measures them."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import xxhash

from ...kernel.messages import ServerView
from ._ewma import Ewma
from ._health import Health
from ._slowdown import Slowdown

__all__ = ["Backend", "LoadReport", "model_key"]

# Number of requests up to which a server is assumed to serve each at full speed, until
# it reports its own number (its knee).
DEFAULT_KNEE_IN_FLIGHT = 16
# Age, in milliseconds, at which a load report counts for half.
REPORT_HALF_LIFE_MS = 1_000.0
# Age in milliseconds up to which the last load report is not replaced by the load
# in the keepers' list.
FRESH_REPORT_MS = 500.0
# Age, in milliseconds, at which a measured time to the first event or a measured
# share of late streams counts for half.
LATENCY_HALF_LIFE_MS = 2_000.0
# Time, in milliseconds, for which a server that could not be reached gets no requests.
UNREACHABLE_EXCLUSION_MS = 1_000.0
# Longest delay, in milliseconds, between the start of a server and the moment at which
# a list that was read since then is in use: the list's own delay and the leader's.
MAX_LIST_DELAY_MS = 2_000.0
# Time, in milliseconds, for which a server whose agent is shutting down gets no
# requests.
LEAVING_EXCLUSION_MS = 2_000.0
# Time, in milliseconds, for which a server on which a model was not ready gets no
# requests for the model.
NOT_READY_EXCLUSION_MS = 250.0
# Weight of a new value in the means of the time to the first event and of the
# time that an answer takes, from 0 to 1.
LATENCY_WEIGHT = 0.2
# Weight of a new stream in the share of late streams, from 0 to 1. Streams that share
# a pause end at about the same time, so some tens of streams show a slow server.
LATE_STREAM_WEIGHT = 0.1


def model_key(name: str, version: str) -> str:
    """Return the name under which servers list a ready model."""
    return f"{name}@{version}"


class LoadReport(NamedTuple):
    """The load of a backend server, as reported by its agent or by the server.

    Parameters
    ----------
    n_in_flight, n_queued : int
    wait_ms : float
        Time that a request waits in the agent's queue.
    knee_in_flight : int
        Requests that the backend server serves at full speed at once.
    kv_share : float or None
        Share of the server's KV cache that running requests use; None when the
        report does not contain it.
    slowdown_percent : float or None
        Time that work takes at the server now, in percent of the usual time; None
        when the report does not contain it.
    """

    n_in_flight: int = 0
    n_queued: int = 0
    wait_ms: float = 0.0
    knee_in_flight: int = 0
    kv_share: float | None = None
    slowdown_percent: float | None = None


class Backend:
    """One backend server as this entry sees it.

    Parameters
    ----------
    view : ServerView
        The server as the keepers list it.
    now_ms : float

    Attributes
    ----------
    id_hash : int
        64-bit hash of the server's id.
    n_in_flight : int
        Requests that this entry sent to the server and that have not ended, whether
        they run or queue there.
    n_pending_tokens : int
        Prompt tokens that this entry sent and that have not led to a first event
        yet.
    knee_in_flight : int
        Requests that the server serves at full speed at once.
    first_event_ms : Ewma
        Mean time from dispatch to the first event.
    answer_ms : Ewma
        Mean time for which an answer occupies one of the `knee_in_flight` places.
    answered_at_ms : float
        Time of the last answer or refusal; 0 when there was none.
    kv_share : float
        Share of the KV cache that running requests use; 0 until it is reported.
    unlisted_since_ms : float
        When the keepers' full list began to omit the server; 0 while it is listed.
    held_off_until_ms : float
        Time until which the server has asked for no requests; 0 for none.
    held_off_at_ms : float
        When the server asked for that.
    limited_until_ms : float
        Time until which the limit that the server has named allows no request.
    proven_at_ms : float
        Last time at which the server was known to be the incarnation of its view.
    slowdown : Slowdown
        How much longer than usual work takes there, by the server's answers.
    """

    __slots__ = (
        "_n_others_requests",
        "_excluded_until_ms",
        "_reported_at_ms",
        "answer_ms",
        "answered_at_ms",
        "first_event_ms",
        "health",
        "held_off_at_ms",
        "held_off_until_ms",
        "knee_in_flight",
        "kv_share",
        "limited_until_ms",
        "_late_share",
        "_last_stream_at_ms",
        "_pending",
        "proven_at_ms",
        "n_pending_tokens",
        "n_in_flight",
        "report",
        "id_hash",
        "slowdown",
        "unlisted_since_ms",
        "view",
    )

    def __init__(self, view: ServerView, now_ms: float):
        self.view = view
        self.id_hash = xxhash.xxh3_64_intdigest(view.server_id.encode())
        self.n_in_flight = 0
        self.n_pending_tokens = 0
        self._pending: list[tuple[float, int]] = []
        self.health = Health()
        self.first_event_ms = Ewma(LATENCY_WEIGHT)
        self.answer_ms = Ewma(LATENCY_WEIGHT)
        self.answered_at_ms = 0.0
        self._late_share = Ewma(LATE_STREAM_WEIGHT, from_zero=True)
        self._last_stream_at_ms = 0.0
        self.kv_share = 0.0
        self.unlisted_since_ms = 0.0
        self.held_off_until_ms = 0.0
        self.held_off_at_ms = -math.inf
        self.limited_until_ms = 0.0
        self.proven_at_ms = 0.0
        self.slowdown = Slowdown()
        self._excluded_until_ms: dict[str, float] = {}
        self._apply_report(_report_of_view(view), now_ms)

    def update_view(self, view: ServerView, now_ms: float) -> None:
        """Apply a newer view; a new incarnation resets health and exclusions.

        A pause that was asked for shortly before may be the new incarnation's.
        """
        if view.incarnation != self.view.incarnation:
            self.health = Health()
            self._excluded_until_ms.clear()
            if now_ms - self.held_off_at_ms > MAX_LIST_DELAY_MS:
                self.held_off_until_ms = 0.0
            self.limited_until_ms = 0.0
            self.proven_at_ms = 0.0
            self.slowdown = Slowdown()
        self.view = view
        self.unlisted_since_ms = 0.0
        if now_ms - self._reported_at_ms > FRESH_REPORT_MS:
            self._apply_report(_report_of_view(view), now_ms)

    def record_answer(self, report: LoadReport | None, now_ms: float) -> None:
        """Record an answer or a refusal, and the load report that came with it."""
        self.answered_at_ms = now_ms
        if report is not None:
            self._apply_report(report, now_ms)
            self.slowdown.record(report.slowdown_percent, now_ms)

    def record_load_report(self, report: LoadReport, now_ms: float) -> None:
        """Record a load report that did not come with an answer."""
        self._apply_report(report, now_ms)

    def expected_load(self, typical_others_load_share: float, now_ms: float) -> float:
        """Return the expected number of requests on the server, including queued ones.

        The requests of this entry are counted. The number of other entries'
        requests is the last reported one, and approaches the typical load as the
        report ages.

        Parameters
        ----------
        typical_others_load_share : float
            Other entries' requests on a server, as a share of its knee.
        now_ms : float
        """
        report_weight = 0.5 ** ((now_ms - self._reported_at_ms) / REPORT_HALF_LIFE_MS)
        n_others = (
            report_weight * self._n_others_requests
            + (1.0 - report_weight) * typical_others_load_share * self.knee_in_flight
        )
        return self.n_in_flight + n_others

    @property
    def others_load_share(self) -> float:
        """Other entries' requests at the last report, as a share of the knee."""
        return self._n_others_requests / self.knee_in_flight

    def queue_wait_ms(self, load: float, now_ms: float) -> float:
        """Return the time that one more request would queue at a given load."""
        n_excess = load + 1.0 - self.knee_in_flight
        load_wait_ms = (
            n_excess / self.knee_in_flight * self.answer_ms.value
            if n_excess > 0.0
            else 0.0
        )
        if not self.report.n_queued:
            return load_wait_ms
        report_weight = 0.5 ** ((now_ms - self._reported_at_ms) / REPORT_HALF_LIFE_MS)
        return max(load_wait_ms, report_weight * self.report.wait_ms)

    def decayed_first_event_ms(self, now_ms: float) -> float:
        """Return the expected time to the first event, without queueing.

        The measured time decays while there is no answer, so that a server that was
        slow gets requests again.
        """
        age_ms = now_ms - self.answered_at_ms
        return self.first_event_ms.value * 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)

    def record_stream(self, was_late: bool, now_ms: float) -> None:
        """Record whether a stream's first event or longest pause missed its target."""
        self._late_share.add(float(was_late))
        self._last_stream_at_ms = now_ms

    def late_share(self, now_ms: float) -> float:
        """Return the share of late streams among the recent ones.

        The share decays while no stream ends, so that a server that was slow gets
        requests again.
        """
        age_ms = now_ms - self._last_stream_at_ms
        return self._late_share.value * 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count one request of this entry as in flight during the block."""
        self.n_in_flight += 1
        try:
            yield
        finally:
            self.n_in_flight -= 1

    @contextmanager
    def track_first_event_wait(
        self, n_tokens: int, urgency_rank: int, now_ms: float
    ) -> Iterator[None]:
        """Count a request and its tokens as waiting for the answer's first event.

        Parameters
        ----------
        n_tokens : int
        urgency_rank : int
            Urgency of the request; 0 is the most urgent.
        now_ms : float
            When the request was sent.
        """
        pending_request = (now_ms, urgency_rank)
        self.n_pending_tokens += n_tokens
        self._pending.append(pending_request)
        try:
            yield
        finally:
            self.n_pending_tokens -= n_tokens
            self._pending.remove(pending_request)

    def oldest_pending_age_ms(self, urgency_rank: int, now_ms: float) -> float:
        """Return the longest wait for a first event at this urgency or a higher one.

        The result is 0 when no such request of this entry is waiting.
        """
        sent_times_ms = (
            sent_ms
            for sent_ms, other_rank in self._pending
            if other_rank <= urgency_rank
        )
        return now_ms - min(sent_times_ms, default=now_ms)

    def expected_queued(self, now_ms: float) -> float:
        """Return the reported number of queued requests; it decays with age."""
        age_ms = now_ms - self._reported_at_ms
        return self.report.n_queued * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)

    def exclude(self, key: str, until_ms: float) -> None:
        """Give the server no request until a time, for one key or for all ("")."""
        self._excluded_until_ms[key] = until_ms

    def hold_off(self, until_ms: float, asked_at_ms: float = -math.inf) -> None:
        """Give the server no request until a time, as it asked.

        An earlier request to hold off for longer remains in force.
        """
        self.held_off_until_ms = max(self.held_off_until_ms, until_ms)
        self.held_off_at_ms = max(self.held_off_at_ms, asked_at_ms)

    @property
    def paused_until_ms(self) -> float:
        """Time until which the server itself has ruled out further requests."""
        return max(self.held_off_until_ms, self.limited_until_ms)

    def is_usable(self, key: str, now_ms: float) -> bool:
        """Return whether the server may get one more request for a key."""
        return self.is_eligible(key, now_ms) and self.health.allows_request(
            self.n_in_flight, now_ms
        )

    def is_eligible(self, key: str, now_ms: float) -> bool:
        """Return whether the server may get requests, apart from its health.

        A server is not eligible while it is leaving, has asked to be held off, has
        had as many requests as its limit allows, or is excluded for the key or for all
        keys.
        """
        if self.view.leaving or now_ms < self.paused_until_ms:
            return False
        until_ms = self._excluded_until_ms
        if not until_ms:
            return True
        return now_ms >= until_ms.get("", 0.0) and now_ms >= until_ms.get(key, 0.0)

    def _apply_report(self, report: LoadReport, now_ms: float) -> None:
        self.report = report
        self._reported_at_ms = now_ms
        if report.kv_share is not None:
            self.kv_share = report.kv_share
        self.knee_in_flight = (
            report.knee_in_flight or self.view.knee_in_flight or DEFAULT_KNEE_IN_FLIGHT
        )
        n_held = report.n_in_flight + report.n_queued
        self._n_others_requests = max(0, n_held - self.n_in_flight)


def _report_of_view(view: ServerView) -> LoadReport:
    return LoadReport(
        view.n_in_flight, view.n_queued, view.wait_ms, view.knee_in_flight
    )
