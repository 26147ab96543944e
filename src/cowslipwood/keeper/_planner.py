"""Runs placement rounds on the leader and commits what they decide.

A round starts from committed assignments and agents' reports alone, so a new
leader goes on with a move at any step. What a round decides is the next safe
step: an old replica is released in a later round, when the agent of the new one
has reported it ready under the newest assignment.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err

from ..kernel.channel import as_refused
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
from ._directory import AGENT_TIMEOUT_MS, Directory, Reported
from ._machine import AssignedModels, KeeperMachine
from ._permits import Permits

__all__ = ["Planner", "PlannerSettings"]

SETTLE_MS = 1_000.0  # agents need this long to find a new leader and report
OVERDUE_MS = 60_000.0
OBSERVE_MS = 200.0
FORGET_MS = 3_600_000.0
THREAD_FROM_SERVERS = 50
PLAN_SHARE = 0.025  # of a core, at most, until the delay reaches its bound
MAX_DELAY_MS = 5_000.0


class PlannerSettings(NamedTuple):
    """Settings of placement and permits.

    Parameters
    ----------
    placement : str
        Name of the placement policy.
    plan_ms : int
        Time between two rounds.
    move_weight : float
        Requests in flight that one move must bring within their limits.
    max_pending_loads : int
        Loads that may be under way at once.
    dead_after_ms : int
        Silence after which a server's models are placed elsewhere.
    min_residence_ms : int
        Time for which a placed model is not released for another.
    loads_per_s : float
        Loads that the weight store allows per second.
    max_loads_at_once : int
        Loads that the weight store allows at once.
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
    """Decides placement and grants permits while its keeper leads.

    Parameters
    ----------
    settings : PlannerSettings
    machine : KeeperMachine
    directory : Directory
    replica : Replica
    metrics : Metrics
    """

    def __init__(
        self,
        settings: PlannerSettings,
        machine: KeeperMachine,
        directory: Directory,
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
        self._leading_term = 0
        self._assigned_at_ms: dict[tuple[str, ModelKey], float] = {}
        self._left_out: frozenset[str] = frozenset()
        self._observed_at_ms = float("-inf")
        self._ready_names: frozenset[str] = frozenset()

    def take_entry_report(self, report: EntryReport, now_ms: float) -> None:
        """Take the demand that an entry reports."""
        self._demand.take_report(report, now_ms)

    def answer(self, message: PermitRequest | PermitRelease, now_ms: float) -> Any:
        """Return the reply to an agent's message about a permit."""
        if not self._check_leading(now_ms):
            return as_refused(failure(Code.NOT_LEADER), self._replica.leader_addr)
        if isinstance(message, PermitRelease):
            self._permits.release(message)
            return Ack(self._machine.catalogue.revision)
        self._observe(now_ms)
        urgent = message.model not in self._ready_names
        asked = self._permits.request(message, now_ms, urgent=urgent)
        if isinstance(asked, Err):
            reason = asked.failure().code.name
            self._metrics.count("refusals_total", reason=reason)
            return as_refused(asked.failure())
        self._metrics.count("permits_granted_total")
        return asked.unwrap()

    def _observe(self, now_ms: float) -> None:
        """Read the agents' reports, not for each of many requests anew."""
        if now_ms - self._observed_at_ms < OBSERVE_MS:
            return
        self._observed_at_ms = now_ms
        reports = self._directory.live_agents(now_ms)
        self._permits.observe(reports)
        self._ready_names = frozenset(
            held.model
            for report in reports
            for held in report.residents
            if held.state == "ready"
        )

    async def run(self) -> None:
        """Plan for as long as the process runs."""
        while True:
            begun_ms = monotonic_ms()
            await self._round(begun_ms)
            spent_ms = monotonic_ms() - begun_ms
            delay_ms = min(spent_ms / PLAN_SHARE, MAX_DELAY_MS)
            await anyio.sleep(max(delay_ms, self._settings.plan_ms) / 1000)

    def _check_leading(self, now_ms: float) -> bool:
        """Return whether this keeper leads, noting when that began."""
        if not self._replica.leads(now_ms):
            self._leader_since_ms = None
            return False
        if self._leader_since_ms is None or self._leading_term != self._replica.term:
            self._leader_since_ms = now_ms
            self._leading_term = self._replica.term
            self._assigned_at_ms.clear()
            self._permits.lead(now_ms)
            self._observed_at_ms = float("-inf")
        return True

    async def _round(self, now_ms: float) -> None:
        if not self._check_leading(now_ms):
            return
        if now_ms - self._leader_since_ms < SETTLE_MS:
            return
        term = self._replica.term
        request = self.request(now_ms)
        if len(request.servers) < THREAD_FROM_SERVERS:
            plan = self._policy(request)
        else:
            plan = await anyio.to_thread.run_sync(self._policy, request)
        if self._may_commit(term):
            self._note(plan, request)
            await self._commit(plan, term)
        await self._forget_long_gone(now_ms)

    def request(self, now_ms: float) -> PlacementRequest:
        """Return what the policy decides from at this moment."""
        return PlacementRequest(
            entries=dict(self._machine.catalogue.entries),
            servers=self._servers(now_ms),
            demand=self._demand.update(now_ms),
            unserved_s=self._demand.unserved_s(set(self._left_out), now_ms),
            move_weight=self._settings.move_weight,
            max_pending_loads=self._settings.max_pending_loads,
        )

    def _servers(self, now_ms: float) -> list[ServerState]:
        reported = self._directory.reporting_agents()
        known = reported.keys() | self._machine.assignments.keys()
        self._date_assignments(now_ms)
        servers = []
        for server_id in sorted(known):
            status = self._status(server_id, reported.get(server_id), now_ms)
            if status is None:
                continue
            if server_id not in reported:
                servers.append(self._silent_state(server_id, status))
            elif reported[server_id].report.kind == "engine":
                report = reported[server_id].report
                servers.append(self._reporting_state(report, status, now_ms))
        return servers

    def _status(
        self, server_id: str, reported: Reported | None, now_ms: float
    ) -> ServerStatus | None:
        """Return how far a server may be relied on; None when it is gone.

        Any sign of leaving wins. A leader counts silence from the begin of its
        leadership at the earliest.
        """
        reported_at_ms = reported.at_ms if reported else float("-inf")
        since_ms = max(reported_at_ms, self._leader_since_ms)
        silent_ms = now_ms - since_ms
        is_silent = now_ms - reported_at_ms > AGENT_TIMEOUT_MS
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

    def _silent_state(self, server_id: str, status: ServerStatus) -> ServerState:
        assigned = self._assigned(server_id).desired
        return ServerState(
            server_id, "", status, 0, 0, assigned, is_report_current=False
        )

    def _reporting_state(
        self, report: AgentReport, status: ServerStatus, now_ms: float
    ) -> ServerState:
        server_id = report.server_id
        assigned = self._assigned(server_id)
        keys = {ModelKey(item.name, item.version) for item in assigned.desired}
        ready = frozenset(
            ModelKey(held.model, held.version)
            for held in report.residents
            if held.state == "ready"
        )
        unassigned_bytes = sum(
            held.memory_bytes
            for held in report.residents
            if ModelKey(held.model, held.version) not in keys
        )
        age_ms = {key: now_ms - self._assigned_at_ms[server_id, key] for key in keys}
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
                for key in keys
                if age_ms[key] >= self._settings.min_residence_ms
            ),
            overdue=frozenset(
                key.name
                for key in keys
                if key not in ready and age_ms[key] >= OVERDUE_MS
            ),
            unassigned_bytes=unassigned_bytes + report.reserved_bytes,
        )

    def _date_assignments(self, now_ms: float) -> None:
        """Note when each assigned model was first seen by this leader."""
        dated = self._assigned_at_ms
        self._assigned_at_ms = {
            place: dated.get(place, now_ms)
            for server_id, assigned in self._machine.assignments.items()
            for item in assigned.desired
            for place in [(server_id, ModelKey(item.name, item.version))]
        }

    def _assigned(self, server_id: str) -> AssignedModels:
        return self._machine.assignments.get(server_id, AssignedModels(0, ()))

    def _note(self, plan: Plan, request: PlacementRequest) -> None:
        """Count what the plan moves and what it leaves out."""
        self._left_out = frozenset(plan.unplaced)
        self._metrics.gauge("models_left_out", len(plan.unplaced))
        self._metrics.gauge("permits_held", self._permits.n_held)
        if plan.given_up:
            self._metrics.count("replicas_given_up_total", len(plan.given_up))
            get_logger().warning("last_replica_released", models=list(plan.given_up))
        before = {server.server_id: server.assigned for server in request.servers}
        for server_id, desired in plan.desired.items():
            n_added = len(set(desired) - set(before[server_id]))
            n_removed = len(set(before[server_id]) - set(desired))
            self._metrics.count("moves_total", n_added, kind="load")
            self._metrics.count("moves_total", n_removed, kind="unload")

    def _may_commit(self, term: int) -> bool:
        """Return whether this keeper still leads in the term of a plan.

        Another leader in between may have changed what the plan was made from.
        """
        return self._replica.leads(monotonic_ms()) and self._replica.term == term

    async def _commit(self, plan: Plan, term: int) -> None:
        for server_id, desired in sorted(plan.desired.items()):
            if not self._may_commit(term):
                return
            command = encode_command(AssignCommand(server_id, desired))
            if isinstance(await self._replica.propose(command), Err):
                return
            self._metrics.count("assignments_total")

    async def _forget_long_gone(self, now_ms: float) -> None:
        """Empty the assignment of one server that has been silent for long."""
        reported = self._directory.reporting_agents()
        for server_id, assigned in self._machine.assignments.items():
            at_ms = (
                reported[server_id].at_ms if server_id in reported else float("-inf")
            )
            if now_ms - max(at_ms, self._leader_since_ms) <= FORGET_MS:
                continue
            self._directory.forget_agent(server_id)
            if assigned.desired:
                await self._commit(Plan({server_id: ()}), self._replica.term)
                return
