"""What an entry knows of one backend server beyond the keepers' view."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import xxhash

from ...kernel.messages import ServerView
from ._ewma import Ewma
from ._health import Health

__all__ = ["Backend", "LoadReport", "model_key"]

DEFAULT_KNEE = 16
REPORT_HALF_LIFE_MS = 1_000.0
FRESH_REPORT_MS = 500.0
FIRST_HALF_LIFE_MS = 2_000.0
UNREACHABLE_MS = 1_000.0
LEAVING_MS = 2_000.0
NOT_READY_MS = 250.0
FIRST_WEIGHT = 0.2
# Streams that share a pause end at about the same time; some tens tell a slow server.
LATE_WEIGHT = 0.1


def model_key(name: str, version: str) -> str:
    """Return the name under which servers list a ready model."""
    return f"{name}@{version}"


class LoadReport(NamedTuple):
    """An agent's word on its load.

    Parameters
    ----------
    n_in_flight, n_queued : int
    wait_ms : float
        Time that a request waits in the agent's queue.
    knee_in_flight : int
        Requests that the backend server serves at full speed at once.
    kv_share : float or None
        Of its memory for tokens, what running requests hold; None when not told.
    """

    n_in_flight: int = 0
    n_queued: int = 0
    wait_ms: float = 0.0
    knee_in_flight: int = 0
    kv_share: float | None = None


class Backend:
    """One backend server as this entry sees it.

    `knee` is the number of requests that it serves at full speed at once, `answer_ms`
    the time for which an answer takes one of these places,
    `n_pending_tokens` are prompt tokens that this entry sent and that have not
    led to a first event yet.

    Parameters
    ----------
    view : ServerView
        From the keepers.
    now_ms : float
    """

    __slots__ = (
        "_n_others",
        "_avoided_until",
        "_report_at_ms",
        "answer_ms",
        "answered_at_ms",
        "first_ms",
        "health",
        "held_off_until_ms",
        "knee",
        "kv_share",
        "_late",
        "_late_at_ms",
        "_pending",
        "n_pending_tokens",
        "n_in_flight",
        "report",
        "seed",
        "unlisted_at_ms",
        "view",
    )

    def __init__(self, view: ServerView, now_ms: float):
        self.view = view
        self.seed = xxhash.xxh3_64_intdigest(view.server_id.encode())
        self.n_in_flight = 0
        self.n_pending_tokens = 0
        self._pending: list[tuple[float, int]] = []
        self.health = Health()
        self.first_ms = Ewma(FIRST_WEIGHT)
        self.answer_ms = Ewma(FIRST_WEIGHT)
        self.answered_at_ms = 0.0
        self._late = Ewma(LATE_WEIGHT, from_zero=True)
        self._late_at_ms = 0.0
        self.kv_share = 0.0
        self.unlisted_at_ms = 0.0
        self.held_off_until_ms = 0.0
        self._avoided_until: dict[str, float] = {}
        self._take_report(_view_report(view), now_ms)

    def update_view(self, view: ServerView, now_ms: float) -> None:
        """Take a newer view; another incarnation starts with a clean record."""
        if view.incarnation != self.view.incarnation:
            self.health = Health()
            self._avoided_until.clear()
            self.held_off_until_ms = 0.0
        self.view = view
        self.unlisted_at_ms = 0.0
        if now_ms - self._report_at_ms > FRESH_REPORT_MS:
            self._take_report(_view_report(view), now_ms)

    def answered(self, report: LoadReport | None, now_ms: float) -> None:
        """Take the report that came with an answer or a refusal."""
        self.answered_at_ms = now_ms
        if report is not None:
            self._take_report(report, now_ms)

    def reported(self, report: LoadReport, now_ms: float) -> None:
        """Take a report that came by another way than an answer."""
        self._take_report(report, now_ms)

    def load(self, typical_load: float, now_ms: float) -> float:
        """Return the requests that it is likely to hold now.

        Own requests are counted; those of other entries are as last reported,
        and drift towards the typical load as the report gets old.

        Parameters
        ----------
        typical_load : float
            Other entries' requests on a server, as a share of its knee.
        now_ms : float
        """
        trust = 0.5 ** ((now_ms - self._report_at_ms) / REPORT_HALF_LIFE_MS)
        others = trust * self._n_others + (1.0 - trust) * typical_load * self.knee
        return self.n_in_flight + others

    @property
    def others_load(self) -> float:
        """Other entries' requests at the last report, as a share of the knee."""
        return self._n_others / self.knee

    def wait_ms(self, load: float, now_ms: float) -> float:
        """Return the time that one more request would queue at that load."""
        excess = load + 1.0 - self.knee
        by_load = excess / self.knee * self.answer_ms.value if excess > 0.0 else 0.0
        if not self.report.n_queued:
            return by_load
        trust = 0.5 ** ((now_ms - self._report_at_ms) / REPORT_HALF_LIFE_MS)
        return max(by_load, trust * self.report.wait_ms)

    def first_answer_ms(self, now_ms: float) -> float:
        """Return the time to a first token without queueing.

        It fades with age, so that a server once slow is tried again.
        """
        age_ms = now_ms - self.answered_at_ms
        return self.first_ms.value * 0.5 ** (age_ms / FIRST_HALF_LIFE_MS)

    def streamed(self, was_late: bool, now_ms: float) -> None:
        """Take in whether a stream's first event or longest pause missed its target."""
        self._late.add(float(was_late))
        self._late_at_ms = now_ms

    def late_share(self, now_ms: float) -> float:
        """Return the share of late streams lately.

        It fades with age, so that a server once slow is tried again.
        """
        age_ms = now_ms - self._late_at_ms
        return self._late.value * 0.5 ** (age_ms / FIRST_HALF_LIFE_MS)

    @contextmanager
    def in_flight(self) -> Iterator[None]:
        """Count one request of this entry for the length of the block."""
        self.n_in_flight += 1
        try:
            yield
        finally:
            self.n_in_flight -= 1

    @contextmanager
    def pending(self, n_tokens: int, rank: int, now_ms: float) -> Iterator[None]:
        """Count a request and its tokens that wait for the answer's first event.

        Parameters
        ----------
        n_tokens : int
        rank : int
            How urgent the request is, 0 first.
        now_ms : float
            When it was sent.
        """
        waiting = (now_ms, rank)
        self.n_pending_tokens += n_tokens
        self._pending.append(waiting)
        try:
            yield
        finally:
            self.n_pending_tokens -= n_tokens
            self._pending.remove(waiting)

    def oldest_pending_ms(self, rank: int, now_ms: float) -> float:
        """Return for how long a request has waited that is as urgent; 0 for none."""
        sent_ms = (sent for sent, other in self._pending if other <= rank)
        return now_ms - min(sent_ms, default=now_ms)

    def queued(self, now_ms: float) -> float:
        """Return the requests reported as waiting, less as the report gets old."""
        age_ms = now_ms - self._report_at_ms
        return self.report.n_queued * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)

    def avoid(self, what: str, until_ms: float) -> None:
        """Give it no request for a model key, or for any (""), until then."""
        self._avoided_until[what] = until_ms

    def hold_off(self, until_ms: float) -> None:
        """Give it nothing until then, as it has asked; an earlier word still holds."""
        self.held_off_until_ms = max(self.held_off_until_ms, until_ms)

    def usable(self, key: str, now_ms: float) -> bool:
        """Return whether it may get one more request for a model key."""
        return self.reachable(key, now_ms) and self.health.usable(
            self.n_in_flight, now_ms
        )

    def reachable(self, key: str, now_ms: float) -> bool:
        """Return whether it stays and is not passed over, however it answers."""
        if self.view.leaving or now_ms < self.held_off_until_ms:
            return False
        avoided = self._avoided_until
        if not avoided:
            return True
        return now_ms >= avoided.get("", 0.0) and now_ms >= avoided.get(key, 0.0)

    def _take_report(self, report: LoadReport, now_ms: float) -> None:
        self.report = report
        self._report_at_ms = now_ms
        if report.kv_share is not None:
            self.kv_share = report.kv_share
        self.knee = report.knee_in_flight or self.view.knee_in_flight or DEFAULT_KNEE
        n_held = report.n_in_flight + report.n_queued
        self._n_others = max(0, n_held - self.n_in_flight)


def _view_report(view: ServerView) -> LoadReport:
    return LoadReport(
        view.n_in_flight, view.n_queued, view.wait_ms, view.knee_in_flight
    )
