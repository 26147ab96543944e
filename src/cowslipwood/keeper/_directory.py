"""What the leader knows of live processes; kept in memory only."""

from collections.abc import Mapping
from typing import NamedTuple

from ..kernel.messages import AgentLoad, AgentReport, EntryReport, ServerView

__all__ = ["AGENT_TIMEOUT_MS", "Directory", "Reported", "server_view"]

AGENT_TIMEOUT_MS = 2_000
LEAVING_HOLD_MS = 10_000  # a list that flaps says leaving again within this time
PLATFORM_TIMEOUT_MS = 10_000


class Reported(NamedTuple):
    """A report and when it arrived.

    Parameters
    ----------
    report : AgentReport or EntryReport
    at_ms : float
        Monotonic time in milliseconds.
    """

    report: AgentReport | EntryReport
    at_ms: float


def server_view(report: AgentReport, drained: bool) -> ServerView:
    """Return what entries are told of a backend server."""
    return ServerView(
        server_id=report.server_id,
        incarnation=report.incarnation,
        zone=report.zone,
        http_addr=report.http_addr,
        kind=report.kind,
        service_name=report.service_name,
        leaving=report.leaving or drained,
        ready=tuple(
            f"{held.model}@{held.version}"
            for held in report.residents
            if held.state == "ready"
        ),
        n_in_flight=report.n_in_flight,
        n_queued=report.n_queued,
        wait_ms=report.wait_ms,
        knee_in_flight=report.knee_in_flight,
    )


class Directory:
    """The newest report of each agent and entry."""

    def __init__(self):
        self._agents: dict[str, Reported] = {}
        self._entries: dict[str, Reported] = {}
        self._leaving_incarnations: dict[str, str] = {}
        self._platform: Mapping[str, str] = {}
        self._platform_at_ms = float("-inf")
        self._ever_listed: set[str] = set()
        self._listed_leaving_at_ms: dict[str, float] = {}

    def take_agent_report(self, report: AgentReport, now_ms: float) -> None:
        """Keep an agent's report."""
        self._agents[report.server_id] = Reported(report, now_ms)
        if report.leaving:
            self._leaving_incarnations[report.server_id] = report.incarnation

    def take_agent_load(self, load: AgentLoad, now_ms: float) -> None:
        """Keep an agent's load; dropped when its full report was never reported."""
        reported = self._agents.get(load.server_id)
        if reported is None or reported.report.incarnation != load.incarnation:
            return
        report = reported.report._replace(
            n_in_flight=load.n_in_flight, n_queued=load.n_queued, wait_ms=load.wait_ms
        )
        self._agents[load.server_id] = Reported(report, now_ms)

    def take_entry_report(self, report: EntryReport, now_ms: float) -> None:
        """Keep an entry's report."""
        self._entries[report.entry_id] = Reported(report, now_ms)

    def take_platform_hosts(self, hosts: Mapping[str, str], now_ms: float) -> None:
        """Keep the platform's list: live or leaving by server."""
        self._platform = hosts
        self._platform_at_ms = now_ms
        self._ever_listed.update(hosts)
        for server_id, state in hosts.items():
            if state == "leaving":
                self._listed_leaving_at_ms[server_id] = now_ms

    def is_leaving(self, server_id: str, now_ms: float) -> bool:
        """Return whether the agent or the platform says that a server leaves.

        An agent's notice holds for its incarnation, the platform's for some time
        after it was last seen in the list.
        """
        reported = self._agents.get(server_id)
        notice = self._leaving_incarnations.get(server_id)
        if reported is not None and notice == reported.report.incarnation:
            return True
        listed_at_ms = self._listed_leaving_at_ms.get(server_id)
        return listed_at_ms is not None and now_ms - listed_at_ms <= LEAVING_HOLD_MS

    def is_unlisted(self, server_id: str, now_ms: float) -> bool:
        """Return whether the platform took a server off its list."""
        if now_ms - self._platform_at_ms > PLATFORM_TIMEOUT_MS:
            return False
        return server_id in self._ever_listed and server_id not in self._platform

    def reporting_agents(self) -> dict[str, Reported]:
        """Return the newest report of each agent ever reported, by server."""
        return dict(self._agents)

    def is_service(self, server_id: str) -> bool:
        """Return whether an agent reported a plain service behind it."""
        reported = self._agents.get(server_id)
        return reported is not None and reported.report.kind == "service"

    def forget_agent(self, server_id: str) -> None:
        """Drop all that is known of a server."""
        self._agents.pop(server_id, None)
        self._leaving_incarnations.pop(server_id, None)
        self._listed_leaving_at_ms.pop(server_id, None)
        self._ever_listed.discard(server_id)

    def live_agents(self, now_ms: float) -> list[AgentReport]:
        """Return the reports of agents reported within the timeout."""
        return [
            reported.report
            for reported in self._agents.values()
            if now_ms - reported.at_ms <= AGENT_TIMEOUT_MS
        ]

    def live_entries(self, now_ms: float) -> list[EntryReport]:
        """Return the reports of entries reported within the timeout."""
        return [
            reported.report
            for reported in self._entries.values()
            if now_ms - reported.at_ms <= AGENT_TIMEOUT_MS
        ]

    def live_entry_ids(self, now_ms: float) -> list[str]:
        """Return the sorted ids of the entries that are live and stay."""
        return sorted(
            report.entry_id
            for report in self.live_entries(now_ms)
            if not report.leaving
        )

    def max_capacity_bytes(self, now_ms: float) -> int:
        """Return the memory of the largest live accelerator; 0 without one."""
        return max((a.capacity_bytes for a in self.live_agents(now_ms)), default=0)
