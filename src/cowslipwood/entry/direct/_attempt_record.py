"""Records how the attempts of one request end, for the choice of later servers."""

from ...kernel.codes import Failure
from ...kernel.http_connection import AnswerHead
from ...kernel.logs import get_logger
from ..choosing._backend import Backend, LoadReport
from ._headers import AnswerFacts
from ._identity import RequestIdentity
from ._progress import AnswerStage, RequestProgress
from ._request import RoutedRequest
from ._state import DirectState

__all__ = ["AttemptRecorder"]


class AttemptRecorder:
    """Records what the attempts of one request show of servers and prompts.

    Parameters
    ----------
    state : DirectState
    request : RoutedRequest
    progress : RequestProgress
    identity : RequestIdentity
    """

    def __init__(
        self,
        state: DirectState,
        request: RoutedRequest,
        progress: RequestProgress,
        identity: RequestIdentity,
    ):
        self._identity = identity
        self._state = state
        self._request = request
        self._progress = progress

    def record_load(self, backend: Backend, facts: AnswerFacts, now_ms: float) -> None:
        """Record the load that a server reported with its answer."""
        report = None
        if facts.load is not None:
            load = facts.load
            report = LoadReport(
                load.n_running,
                load.n_waiting,
                knee_in_flight=load.n_slots,
                slowdown_percent=load.slowdown_percent,
            )
        elif facts.is_load_malformed:
            self._state.metrics.count("load_reports_ignored_total")
            get_logger().info("load_report_ignored", server=backend.view.server_id)
        self._state.apply_load_report(backend, report, now_ms)

    async def record_break(self, backend: Backend) -> None:
        """Record that the server broke off the answer to this request."""
        if self._progress.answer_stage is AnswerStage.EVENTS:
            return
        progress, request = self._progress, self._request
        mark = await self._identity.compute()
        get_logger().info(
            "answer_broken_off",
            request=request.facts.request_id,
            identity=mark,
            server=backend.view.server_id,
            stage=progress.answer_stage.value,
        )
        progress.may_have_ended_server = await self._state.part_guard.record_break(
            backend.view,
            request.facts.shared_parts,
            progress.answer_stage is AnswerStage.BEGUN,
            self._state.now_ms(),
            mark,
        )

    def record_failure(self, backend: Backend, fault: Failure) -> Failure:
        """Record that an attempt failed, and return the failure."""
        backend.health.record_error(self._state.now_ms())
        get_logger().info(
            "attempt_failed",
            request=self._request.facts.request_id,
            server=backend.view.server_id,
            code=fault.code.value,
            reason=fault.message,
            stage=self._progress.answer_stage.value,
            ended_by="entry" if self._progress.given_up else "server",
            shared_parts=",".join(self._request.facts.shared_parts),
        )
        return fault

    async def record_success(
        self,
        backend: Backend,
        head: AnswerHead,
        sent_ms: float,
        first_event_at_ms: float,
    ) -> None:
        """Record a complete answer."""
        backend.health.record_answer(1.0, first_event_at_ms)
        guard = self._state.part_guard
        if head.status < 300:
            guard.record_complete(
                self._request.facts.shared_parts, self._state.now_ms()
            )
        if guard.accuses_requests:
            mark = await self._identity.compute()
            guard.record_complete((mark,), self._state.now_ms())
        backend.first_event_ms.add(first_event_at_ms - sent_ms)
