"""Permits to load from the weight store, granted by the leader only.

The store allows so many loads a second and so many at once. Permits are kept
in memory: a new leader grants none until those of the one before have run out
or show as loading in the agents' reports, and takes those over.
"""

from collections.abc import Iterable
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import AgentReport, PermitGrant, PermitRelease, PermitRequest

__all__ = ["Permits"]

MAX_LOAD_MS = 600_000.0
URGENT_MS = 3_000.0  # a refused agent asks again sooner than this
MIN_RETRY_MS = 50
LOADING_STATES = ("loading", "uncertain")


class _Load(NamedTuple):
    server_id: str
    model: str


class _Held(NamedTuple):
    permit_id: int
    granted_at_ms: float


class Permits:
    """Shares the weight store's rate and concurrency among the agents.

    Parameters
    ----------
    loads_per_s : float
        Loads that may begin per second.
    max_at_once : int
        Loads that may run at once.
    valid_ms : int
        Time within which a granted load has to begin.
    """

    def __init__(self, loads_per_s: float, max_at_once: int, valid_ms: int):
        self._loads_per_s = loads_per_s
        self._max_at_once = max_at_once
        self._valid_ms = valid_ms
        self._held: dict[_Load, _Held] = {}
        self._loading: frozenset[_Load] = frozenset()
        self._next_at_ms = 0.0
        self._grants_from_ms = 0.0
        self._adopting = False
        self._next_id = 1
        self._urgent_asked_at_ms: dict[_Load, float] = {}

    @property
    def n_held(self) -> int:
        """Loads that hold a permit."""
        return len(self._held)

    def lead(self, now_ms: float) -> None:
        """Begin a leadership: permits of the leader before may still be used."""
        self._held.clear()
        self._loading = frozenset()
        self._grants_from_ms = now_ms + self._valid_ms
        self._adopting = True

    def observe(self, reports: Iterable[AgentReport]) -> None:
        """Take the loads that the agents report to be under way."""
        self._loading = frozenset(
            _Load(report.server_id, held.model)
            for report in reports
            for held in report.residents
            if held.state in LOADING_STATES
        )

    def request(
        self, request: PermitRequest, now_ms: float, *, urgent: bool
    ) -> Result[PermitGrant, Failure]:
        """Grant one load, or fail with NO_PERMIT and when to come back.

        A request for a load that holds a permit gets that permit again, so an
        answer that was lost costs nothing. While an urgent load is refused, no
        other is granted.

        Parameters
        ----------
        request : PermitRequest
        now_ms : float
        urgent : bool
            Whether the model has no ready replica.
        """
        asked = self._request(request, now_ms, urgent)
        load = _Load(request.server_id, request.model)
        self._urgent_asked_at_ms.pop(load, None)
        if urgent and isinstance(asked, Err):
            self._urgent_asked_at_ms[load] = now_ms
        return asked

    def _request(
        self, request: PermitRequest, now_ms: float, urgent: bool
    ) -> Result[PermitGrant, Failure]:
        self._expire(now_ms)
        if now_ms < self._grants_from_ms:
            return self._refuse(self._grants_from_ms - now_ms)
        if self._adopting:
            self._adopt(now_ms)
        load = _Load(request.server_id, request.model)
        held = self._held.get(load)
        if held is not None:
            self._held[load] = held._replace(granted_at_ms=now_ms)
            return Success(PermitGrant(held.permit_id, self._valid_ms))
        if not urgent and self._urgent_asked_at_ms:
            return self._refuse(1000.0 / self._loads_per_s)
        if now_ms < self._next_at_ms:
            return self._refuse(self._next_at_ms - now_ms)
        if len(self._held) >= self._max_at_once:
            return self._refuse(1000.0 / self._loads_per_s)
        self._next_at_ms = now_ms + 1000.0 / self._loads_per_s
        return Success(PermitGrant(self._hold(load, now_ms), self._valid_ms))

    def release(self, release: PermitRelease) -> None:
        """End a permit; one that is not held is passed over."""
        for load, held in list(self._held.items()):
            same_id = held.permit_id == release.permit_id
            if same_id and load.server_id == release.server_id:
                del self._held[load]

    def _hold(self, load: _Load, now_ms: float) -> int:
        permit_id = self._next_id
        self._next_id += 1
        self._held[load] = _Held(permit_id, now_ms)
        return permit_id

    def _adopt(self, now_ms: float) -> None:
        """Count the loads that run on permits of the leader before."""
        self._adopting = False
        for load in sorted(self._loading):
            self._hold(load, now_ms)

    def _expire(self, now_ms: float) -> None:
        """Drop permits whose load neither began in time nor is under way."""
        for load, held in list(self._held.items()):
            age_ms = now_ms - held.granted_at_ms
            unused = age_ms > self._valid_ms and load not in self._loading
            if unused or age_ms > MAX_LOAD_MS:
                del self._held[load]
        for load, at_ms in list(self._urgent_asked_at_ms.items()):
            if now_ms - at_ms > URGENT_MS:
                del self._urgent_asked_at_ms[load]

    def _refuse(self, wait_ms: float) -> Result[PermitGrant, Failure]:
        retry_ms = max(int(wait_ms) + 1, MIN_RETRY_MS)
        return Err(failure(Code.NO_PERMIT, retry_after_ms=retry_ms))
