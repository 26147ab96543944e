"""Permits to load from the weight store, granted by the leader only.

The store allows a limited number of loads per second and a limited number at
once. Permits are kept in memory. A new leader therefore grants none until the
unused permits of the previous leader have expired. It then counts the loads that
the agents' reports show to be under way as holding a permit.
"""

from collections.abc import Iterable
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import AgentReport, PermitGrant, PermitRelease, PermitRequest

__all__ = ["Permits"]

# Milliseconds after which a permit ends even while its load is under way.
MAX_PERMIT_AGE_MS = 600_000.0
# Milliseconds for which a refused urgent request holds back requests that are not
# urgent. A refused agent asks again sooner than this.
URGENT_REFUSAL_VALID_MS = 3_000.0
# Shortest time in milliseconds after which a refused agent is told to ask again.
MIN_RETRY_AFTER_MS = 50
# States of a resident model whose load counts as under way.
LOADING_STATES = ("loading", "uncertain")


class _Load(NamedTuple):
    """One load of a model from the weight store to a server."""

    server_id: str
    model: str


class _HeldPermit(NamedTuple):
    """A permit and the time of its last grant."""

    permit_id: int
    granted_at_ms: float


class Permits:
    """Distributes the weight store's load rate and concurrency among the agents.

    Parameters
    ----------
    loads_per_s : float
        Number of loads that may begin per second.
    max_at_once : int
        Number of loads that may run at once.
    valid_ms : int
        Time within which a granted load has to begin.
    """

    def __init__(self, loads_per_s: float, max_at_once: int, valid_ms: int):
        self._loads_per_s = loads_per_s
        self._max_at_once = max_at_once
        self._valid_ms = valid_ms
        self._permit_by_load: dict[_Load, _HeldPermit] = {}
        self._loads_under_way: frozenset[_Load] = frozenset()
        self._next_load_at_ms = 0.0
        self._grants_from_ms = 0.0
        self._must_count_running_loads = False
        self._next_permit_id = 1
        self._urgent_refused_at_ms: dict[_Load, float] = {}

    @property
    def n_held(self) -> int:
        """Number of loads that hold a permit."""
        return len(self._permit_by_load)

    def start_leadership(self, now_ms: float) -> None:
        """Grant no permit while those of the previous leader may still be used."""
        self._permit_by_load.clear()
        self._loads_under_way = frozenset()
        self._grants_from_ms = now_ms + self._valid_ms
        self._must_count_running_loads = True

    def record_reports(self, reports: Iterable[AgentReport]) -> None:
        """Record the loads that the agents report to be under way."""
        self._loads_under_way = frozenset(
            _Load(report.server_id, resident.model)
            for report in reports
            for resident in report.residents
            if resident.state in LOADING_STATES
        )

    def grant_permit(
        self, request: PermitRequest, now_ms: float, *, urgent: bool
    ) -> Result[PermitGrant, Failure]:
        """Return a permit for one load, or fail with NO_PERMIT and the time to wait.

        A request for a load that holds a permit gets the same permit again, so a
        lost answer takes no second permit. While an urgent load is being refused,
        no load that is not urgent is granted.

        Parameters
        ----------
        request : PermitRequest
        now_ms : float
        urgent : bool
            Whether the model has no ready replica.
        """
        decided = self._decide_request(request, now_ms, urgent)
        load = _Load(request.server_id, request.model)
        self._urgent_refused_at_ms.pop(load, None)
        if urgent and isinstance(decided, Err):
            self._urgent_refused_at_ms[load] = now_ms
        return decided

    def _decide_request(
        self, request: PermitRequest, now_ms: float, urgent: bool
    ) -> Result[PermitGrant, Failure]:
        self._drop_expired_permits(now_ms)
        if now_ms < self._grants_from_ms:
            return self._refuse(self._grants_from_ms - now_ms)
        if self._must_count_running_loads:
            self._hold_permits_of_running_loads(now_ms)
        load = _Load(request.server_id, request.model)
        permit = self._permit_by_load.get(load)
        if permit is not None:
            self._permit_by_load[load] = permit._replace(granted_at_ms=now_ms)
            return Success(PermitGrant(permit.permit_id, self._valid_ms))
        if not urgent and self._urgent_refused_at_ms:
            return self._refuse(1000.0 / self._loads_per_s)
        if now_ms < self._next_load_at_ms:
            return self._refuse(self._next_load_at_ms - now_ms)
        if len(self._permit_by_load) >= self._max_at_once:
            return self._refuse(1000.0 / self._loads_per_s)
        self._next_load_at_ms = now_ms + 1000.0 / self._loads_per_s
        return Success(PermitGrant(self._hold_permit(load, now_ms), self._valid_ms))

    def release_permit(self, release: PermitRelease) -> None:
        """End a permit; an unknown permit is ignored."""
        for load, permit in list(self._permit_by_load.items()):
            is_same_permit = permit.permit_id == release.permit_id
            if is_same_permit and load.server_id == release.server_id:
                del self._permit_by_load[load]

    def _hold_permit(self, load: _Load, now_ms: float) -> int:
        permit_id = self._next_permit_id
        self._next_permit_id += 1
        self._permit_by_load[load] = _HeldPermit(permit_id, now_ms)
        return permit_id

    def _hold_permits_of_running_loads(self, now_ms: float) -> None:
        """Hold a permit for each load that the previous leader permitted."""
        self._must_count_running_loads = False
        for load in sorted(self._loads_under_way):
            self._hold_permit(load, now_ms)

    def _drop_expired_permits(self, now_ms: float) -> None:
        """Drop permits whose load did not begin in time or takes too long."""
        for load, permit in list(self._permit_by_load.items()):
            age_ms = now_ms - permit.granted_at_ms
            is_unused = age_ms > self._valid_ms and load not in self._loads_under_way
            if is_unused or age_ms > MAX_PERMIT_AGE_MS:
                del self._permit_by_load[load]
        for load, at_ms in list(self._urgent_refused_at_ms.items()):
            if now_ms - at_ms > URGENT_REFUSAL_VALID_MS:
                del self._urgent_refused_at_ms[load]

    def _refuse(self, wait_ms: float) -> Result[PermitGrant, Failure]:
        retry_ms = max(int(wait_ms) + 1, MIN_RETRY_AFTER_MS)
        return Err(failure(Code.NO_PERMIT, retry_after_ms=retry_ms))
