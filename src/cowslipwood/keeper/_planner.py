"""Runs placement rounds on the leader and commits their decisions.

A round reads only committed assignments and agents' reports, so a new leader can
continue a move from any step. A round decides the next safe step only: an old
replica is released in a later round, after the agent of the new replica has
reported it ready under the newest assignment.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err

from ..kernel.channel import to_refused
from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, failure
from ..kernel.logs import get_logger
from ..kernel.messages import (
    Ack,
    AgentReport,
    EntryReport,
    PermitRelease,
    PermitRequest,
)
from ..kernel.metrics import Metrics
from ..kernel.registry import PluginKind, lookup
from ..placement import (
    DemandEstimator,
    ModelKey,
    PlacementRequest,
    Plan,
    ServerState,
    ServerStatus,
)
from ..replication import Replica
from ._commands import AssignCommand, encode_command
from ._directory import REPORT_TIMEOUT_MS, ProcessDirectory, ReceivedReport
from ._machine import AssignedModels, KeeperStateMachine
from ._permits import Permits

__all__ = ["Planner", "PlannerSettings"]

# Milliseconds from the start of a leadership to its first placement round. Agents
# need this long to find a new leader and report to it.
FIRST_ROUND_DELAY_MS = 1_000.0
# Age in milliseconds from which an assigned model that is not ready is overdue.
LOAD_OVERDUE_MS = 60_000.0
# Milliseconds for which the agents' reports are not read again for permit requests, so
# that many requests share one reading.
REPORTS_REFRESH_MS = 200.0
# Milliseconds of silence after which a server is forgotten and its assignment emptied.
FORGET_SERVER_AFTER_MS = 3_600_000.0
# Number of servers from which the placement policy runs in a thread of its own.
N_SERVERS_FOR_THREAD = 50
# Largest share of one core that rounds use, by lengthening the delay after a slow
# round. The share is exceeded once the delay has reached MAX_ROUND_DELAY_MS.
MAX_CORE_SHARE = 0.025
# Longest delay in milliseconds that MAX_CORE_SHARE causes between two rounds.
MAX_ROUND_DELAY_MS = 5_000.0


class PlannerSettings(NamedTuple):
    """Settings of placement and permits.

    Parameters
    ----------
    placement : str
        Name of the placement policy.
    plan_ms : int
        Shortest time between two rounds.
    move_weight : float
        Cost, in requests in flight, of each model that a move loads or releases. A
        move must bring more requests than its cost within their limits.
    max_pending_loads : int
        Number of loads that may be under way at once.
    dead_after_ms : int
        Time without a report after which a server's models are placed elsewhere.
    min_residence_ms : int
        Time for which a placed model is not released to make room for another.
    loads_per_s : float
        Number of loads that the weight store allows per second.
    max_loads_at_once : int
        Number of loads that the weight store allows at once.
    permit_valid_ms : int
        Time within which a permitted load has to begin.
    """

    placement: str = "marginal_gain"
    plan_ms: int = 200
    move_weight: float = 0.5
    max_pending_loads: int = 16
    dead_after_ms: int = 5_000
    min_residence_ms: int = 10_000
    loads_per_s: float = 1.0
    max_loads_at_once: int = 2
    permit_valid_ms: int = 2_000


class Planner:
    """Decides placement and grants load permits while its keeper leads.

    Parameters
    ----------
    settings : PlannerSettings
    machine : KeeperStateMachine
    directory : ProcessDirectory
    replica : Replica
    metrics : Metrics
    """

    def __init__(
        self,
        settings: PlannerSettings,
        machine: KeeperStateMachine,
        directory: ProcessDirectory,
        replica: Replica,
        metrics: Metrics,
    ):
        self._settings = settings
        self._machine = machine
        self._directory = directory
        self._replica = replica
        self._metrics = metrics
        self._policy: Callable[[PlacementRequest], Plan] = lookup(
            PluginKind.PLACEMENT_POLICY, settings.placement
        )
        self._demand = DemandEstimator()
        self._permits = Permits(
            settings.loads_per_s, settings.max_loads_at_once, settings.permit_valid_ms
        )
        self._leader_since_ms: float | None = None
        self._leader_term = 0
        self._assigned_at_ms: dict[tuple[str, ModelKey], float] = {}
        self._unplaced_models: frozenset[str] = frozenset()
        self._reports_read_at_ms = float("-inf")
        self._ready_model_names: frozenset[str] = frozenset()

    def record_entry_report(self, report: EntryReport, now_ms: float) -> None:
        """Pass the demand that an entry reports to the demand estimator."""
        self._demand.record_report(report, now_ms)

    def answer_permit_message(
        self, message: PermitRequest | PermitRelease, now_ms: float
    ) -> Any:
        """Return the reply to an agent's message about a permit."""
        if not self._check_leadership(now_ms):
            return to_refused(failure(Code.NOT_LEADER), self._replica.leader_addr)
        if isinstance(message, PermitRelease):
            self._permits.release_permit(message)
            return Ack(self._machine.catalogue.revision)
        self._refresh_reports(now_ms)
        urgent = message.model not in self._ready_model_names
        decided = self._permits.grant_permit(message, now_ms, urgent=urgent)
        if isinstance(decided, Err):
            reason = decided.failure().code.name
            self._metrics.count("refusals_total", reason=reason)
            return to_refused(decided.failure())
        self._metrics.count("permits_granted_total")
        return decided.unwrap()

    def _refresh_reports(self, now_ms: float) -> None:
        """Read the agents' reports, at most once each `REPORTS_REFRESH_MS`."""
        if now_ms - self._reports_read_at_ms < REPORTS_REFRESH_MS:
            return
        self._reports_read_at_ms = now_ms
        reports = self._directory.list_live_agent_reports(now_ms)
        self._permits.record_reports(reports)
        self._ready_model_names = frozenset(
            resident.model
            for report in reports
            for resident in report.residents
            if resident.state == "ready"
        )

    async def run(self) -> None:
        """Run placement rounds until the task is cancelled."""
        while True:
            round_started_ms = monotonic_ms()
            await self._run_round(round_started_ms)
            round_took_ms = monotonic_ms() - round_started_ms
            delay_ms = min(round_took_ms / MAX_CORE_SHARE, MAX_ROUND_DELAY_MS)
            await anyio.sleep(max(delay_ms, self._settings.plan_ms) / 1000)

    def _check_leadership(self, now_ms: float) -> bool:
        """Return whether this keeper leads, and reset state when a term begins."""
        if not self._replica.can_act_as_leader(now_ms):
            self._leader_since_ms = None
            return False
        if self._leader_since_ms is None or self._leader_term != self._replica.term:
            self._leader_since_ms = now_ms
            self._leader_term = self._replica.term
            self._assigned_at_ms.clear()
            self._permits.start_leadership(now_ms)
            self._reports_read_at_ms = float("-inf")
        return True

    async def _run_round(self, now_ms: float) -> None:
        if not self._check_leadership(now_ms):
            return
        if now_ms - self._leader_since_ms < FIRST_ROUND_DELAY_MS:
            return
        term = self._replica.term
        request = self.make_request(now_ms)
        if len(request.servers) < N_SERVERS_FOR_THREAD:
            plan = self._policy(request)
        else:
            plan = await anyio.to_thread.run_sync(self._policy, request)
        if self._still_leads_in_term(term):
            self._record_plan(plan, request)
            await self._commit_plan(plan, term)
        await self._forget_one_gone_server(now_ms)

    def make_request(self, now_ms: float) -> PlacementRequest:
        """Return the input of the placement policy at this time."""
        return PlacementRequest(
            entries=dict(self._machine.catalogue.entries),
            servers=self._list_server_states(now_ms),
            demand=self._demand.update(now_ms),
            unserved_s=self._demand.update_unserved_s(
                set(self._unplaced_models), now_ms
            ),
            move_weight=self._settings.move_weight,
            max_pending_loads=self._settings.max_pending_loads,
        )

    def _list_server_states(self, now_ms: float) -> list[ServerState]:
        reported = self._directory.list_agent_reports()
        known_ids = reported.keys() | self._machine.assignments.keys()
        self._update_assignment_times(now_ms)
        servers = []
        for server_id in sorted(known_ids):
            status = self._assess_server(server_id, reported.get(server_id), now_ms)
            if status is None:
                continue
            if server_id not in reported:
                servers.append(self._make_silent_state(server_id, status))
            elif reported[server_id].report.kind == "engine":
                report = reported[server_id].report
                servers.append(self._make_reporting_state(report, status, now_ms))
        return servers

    def _assess_server(
        self, server_id: str, reported: ReceivedReport | None, now_ms: float
    ) -> ServerStatus | None:
        """Return the status of a server; None when it is gone.

        A server that is not gone is leaving as soon as one source says so, whatever
        the others say. Silence is counted from the start of this leadership at the
        earliest.
        """
        reported_at_ms = reported.received_at_ms if reported else float("-inf")
        since_ms = max(reported_at_ms, self._leader_since_ms)
        silent_ms = now_ms - since_ms
        is_silent = now_ms - reported_at_ms > REPORT_TIMEOUT_MS
        is_gone = silent_ms > self._settings.dead_after_ms or (
            is_silent and self._directory.is_unlisted(server_id, now_ms)
        )
        if is_gone:
            return None
        if server_id in self._machine.drained:
            return ServerStatus.LEAVING
        if self._directory.is_leaving(server_id, now_ms):
            return ServerStatus.LEAVING
        return ServerStatus.SILENT if is_silent else ServerStatus.LIVE

    def _make_silent_state(self, server_id: str, status: ServerStatus) -> ServerState:
        assigned = self._get_assigned_models(server_id).desired
        return ServerState(
            server_id, "", status, 0, 0, assigned, is_report_current=False
        )

    def _make_reporting_state(
        self, report: AgentReport, status: ServerStatus, now_ms: float
    ) -> ServerState:
        server_id = report.server_id
        assigned = self._get_assigned_models(server_id)
        assigned_keys = {
            ModelKey(model.name, model.version) for model in assigned.desired
        }
        ready = frozenset(
            ModelKey(resident.model, resident.version)
            for resident in report.residents
            if resident.state == "ready"
        )
        unassigned_bytes = sum(
            resident.memory_bytes
            for resident in report.residents
            if ModelKey(resident.model, resident.version) not in assigned_keys
        )
        age_ms = {
            key: now_ms - self._assigned_at_ms[server_id, key] for key in assigned_keys
        }
        return ServerState(
            server_id=server_id,
            zone=report.zone,
            status=status,
            capacity_bytes=report.capacity_bytes,
            knee_in_flight=report.knee_in_flight,
            assigned=assigned.desired,
            ready=ready,
            is_report_current=report.assignment_revision == assigned.revision,
            past_min_residence=frozenset(
                key.name
                for key in assigned_keys
                if age_ms[key] >= self._settings.min_residence_ms
            ),
            overdue_names=frozenset(
                key.name
                for key in assigned_keys
                if key not in ready and age_ms[key] >= LOAD_OVERDUE_MS
            ),
            unassigned_bytes=unassigned_bytes + report.reserved_bytes,
        )

    def _update_assignment_times(self, now_ms: float) -> None:
        """Record when this leader first saw each assigned model."""
        previous_at_ms = self._assigned_at_ms
        self._assigned_at_ms = {
            model_place: previous_at_ms.get(model_place, now_ms)
            for server_id, assigned in self._machine.assignments.items()
            for model in assigned.desired
            for model_place in [(server_id, ModelKey(model.name, model.version))]
        }

    def _get_assigned_models(self, server_id: str) -> AssignedModels:
        return self._machine.assignments.get(server_id, AssignedModels(0, ()))

    def _record_plan(self, plan: Plan, request: PlacementRequest) -> None:
        """Record the moves of a plan and the models that it leaves out."""
        self._unplaced_models = frozenset(plan.unplaced)
        self._metrics.gauge("models_left_out", len(plan.unplaced))
        self._metrics.gauge("permits_held", self._permits.n_held)
        if plan.given_up:
            self._metrics.count("replicas_given_up_total", len(plan.given_up))
            get_logger().warning("last_replica_released", models=list(plan.given_up))
        assigned_before = {
            server.server_id: server.assigned for server in request.servers
        }
        for server_id, desired in plan.desired.items():
            n_added = len(set(desired) - set(assigned_before[server_id]))
            n_removed = len(set(assigned_before[server_id]) - set(desired))
            self._metrics.count("moves_total", n_added, kind="load")
            self._metrics.count("moves_total", n_removed, kind="unload")

    def _still_leads_in_term(self, term: int) -> bool:
        """Return whether this keeper still leads in the term of a plan.

        If another keeper has led since, it may have changed the assignments that
        the plan was made from.
        """
        return (
            self._replica.can_act_as_leader(monotonic_ms())
            and self._replica.term == term
        )

    async def _commit_plan(self, plan: Plan, term: int) -> None:
        for server_id, desired in sorted(plan.desired.items()):
            if not self._still_leads_in_term(term):
                return
            command = encode_command(AssignCommand(server_id, desired))
            if isinstance(await self._replica.propose(command), Err):
                return
            self._metrics.count("assignments_total")

    async def _forget_one_gone_server(self, now_ms: float) -> None:
        """Forget servers silent for longer than `FORGET_SERVER_AFTER_MS`.

        The time before this leadership does not count. Empties at most one assignment
        per call.
        """
        reported = self._directory.list_agent_reports()
        for server_id in reported.keys() | self._machine.assignments.keys():
            received_at_ms = (
                reported[server_id].received_at_ms
                if server_id in reported
                else float("-inf")
            )
            if (
                now_ms - max(received_at_ms, self._leader_since_ms)
                <= FORGET_SERVER_AFTER_MS
            ):
                continue
            self._directory.forget_server(server_id)
            if self._get_assigned_models(server_id).desired:
                await self._commit_plan(Plan({server_id: ()}), self._replica.term)
                return
