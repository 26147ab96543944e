"""The leader's record of agents, entries and the platform's list of hosts.

The record is kept in memory only, so each new leader builds it from the reports
that it receives.
"""

from collections.abc import Mapping
from typing import NamedTuple

from ..kernel.messages import AgentLoad, AgentReport, EntryReport, ServerView

__all__ = [
    "REPORT_TIMEOUT_MS",
    "ProcessDirectory",
    "ReceivedReport",
    "make_server_view",
]

# Milliseconds without a report after which an agent or an entry is not live.
REPORT_TIMEOUT_MS = 2_000
# Milliseconds for which a server counts as leaving after the platform last listed it
# as leaving. A list that shows a server alternately as leaving and live shows the
# server as leaving again within this time.
PLATFORM_LEAVING_HOLD_MS = 10_000
# Age in milliseconds beyond which the platform's list is not relied on.
PLATFORM_LIST_TIMEOUT_MS = 10_000


class ReceivedReport(NamedTuple):
    """A report and the time of its arrival.

    Parameters
    ----------
    report : AgentReport or EntryReport
    received_at_ms : float
        Monotonic time in milliseconds.
    """

    report: AgentReport | EntryReport
    received_at_ms: float


def make_server_view(report: AgentReport, is_closed: bool) -> ServerView:
    """Return the description of a backend server that entries receive.

    Parameters
    ----------
    report : AgentReport
        The newest report of the server's agent.
    is_closed : bool
        Whether the server gets no new work although its agent does not say so.
    """
    return ServerView(
        server_id=report.server_id,
        incarnation=report.incarnation,
        zone=report.zone,
        http_addr=report.http_addr,
        kind=report.kind,
        service_name=report.service_name,
        leaving=report.leaving or is_closed,
        ready=tuple(
            f"{resident.model}@{resident.version}"
            for resident in report.residents
            if resident.state == "ready"
        ),
        n_in_flight=report.n_in_flight,
        n_queued=report.n_queued,
        wait_ms=report.wait_ms,
        knee_in_flight=report.knee_in_flight,
    )


class ProcessDirectory:
    """The newest report of each agent and entry, and the platform's list."""

    def __init__(self):
        self._agents: dict[str, ReceivedReport] = {}
        self._entries: dict[str, ReceivedReport] = {}
        self._leaving_incarnations: dict[str, str] = {}
        self._platform_states: Mapping[str, str] = {}
        self._platform_read_at_ms = float("-inf")
        self._ever_listed_ids: set[str] = set()
        self._listed_leaving_at_ms: dict[str, float] = {}

    def record_agent_report(self, report: AgentReport, now_ms: float) -> None:
        """Record an agent's report."""
        self._agents[report.server_id] = ReceivedReport(report, now_ms)
        if report.leaving:
            self._leaving_incarnations[report.server_id] = report.incarnation

    def record_agent_load(self, load: AgentLoad, now_ms: float) -> None:
        """Update the load in an agent's report.

        The load is dropped when no full report of the same incarnation is known.
        """
        reported = self._agents.get(load.server_id)
        if reported is None or reported.report.incarnation != load.incarnation:
            return
        report = reported.report._replace(
            n_in_flight=load.n_in_flight, n_queued=load.n_queued, wait_ms=load.wait_ms
        )
        self._agents[load.server_id] = ReceivedReport(report, now_ms)

    def record_entry_report(self, report: EntryReport, now_ms: float) -> None:
        """Record an entry's report, and forget the entries that are not live."""
        self._entries = {
            entry_id: reported
            for entry_id, reported in self._entries.items()
            if now_ms - reported.received_at_ms <= REPORT_TIMEOUT_MS
        }
        self._entries[report.entry_id] = ReceivedReport(report, now_ms)

    def record_platform_hosts(self, hosts: Mapping[str, str], now_ms: float) -> None:
        """Record the platform's list: ``live`` or ``leaving`` by server id."""
        self._platform_states = hosts
        self._platform_read_at_ms = now_ms
        self._ever_listed_ids.update(hosts)
        for server_id, state in hosts.items():
            if state == "leaving":
                self._listed_leaving_at_ms[server_id] = now_ms

    def is_leaving(self, server_id: str, now_ms: float) -> bool:
        """Return whether the agent or the platform says that a server is leaving.

        An agent's notice is valid for its incarnation. The platform's notice is
        valid for `PLATFORM_LEAVING_HOLD_MS` after it was last seen in the list.
        """
        reported = self._agents.get(server_id)
        notice = self._leaving_incarnations.get(server_id)
        if reported is not None and notice == reported.report.incarnation:
            return True
        listed_at_ms = self._listed_leaving_at_ms.get(server_id)
        return (
            listed_at_ms is not None
            and now_ms - listed_at_ms <= PLATFORM_LEAVING_HOLD_MS
        )

    def is_unlisted(self, server_id: str, now_ms: float) -> bool:
        """Return whether the platform has removed a server from its list.

        The answer is False while the last list that was read is out of date.
        """
        if now_ms - self._platform_read_at_ms > PLATFORM_LIST_TIMEOUT_MS:
            return False
        return (
            server_id in self._ever_listed_ids
            and server_id not in self._platform_states
        )

    def list_agent_reports(self) -> dict[str, ReceivedReport]:
        """Return the newest report of each known agent, live or not, by server id."""
        return dict(self._agents)

    def is_service(self, server_id: str) -> bool:
        """Return whether a server's agent reports a service that is not an engine."""
        reported = self._agents.get(server_id)
        return reported is not None and reported.report.kind == "service"

    def forget_server(self, server_id: str) -> None:
        """Delete all records about a server."""
        self._agents.pop(server_id, None)
        self._leaving_incarnations.pop(server_id, None)
        self._listed_leaving_at_ms.pop(server_id, None)
        self._ever_listed_ids.discard(server_id)

    def list_live_agent_reports(self, now_ms: float) -> list[AgentReport]:
        """Return the reports of agents that arrived within `REPORT_TIMEOUT_MS`."""
        return [
            reported.report
            for reported in self._agents.values()
            if now_ms - reported.received_at_ms <= REPORT_TIMEOUT_MS
        ]

    def list_live_entry_reports(self, now_ms: float) -> list[EntryReport]:
        """Return the reports of entries that arrived within `REPORT_TIMEOUT_MS`."""
        return [
            reported.report
            for reported in self._entries.values()
            if now_ms - reported.received_at_ms <= REPORT_TIMEOUT_MS
        ]

    def list_live_entry_ids(self, now_ms: float) -> list[str]:
        """Return the sorted ids of the entries that are live and not leaving."""
        return sorted(
            report.entry_id
            for report in self.list_live_entry_reports(now_ms)
            if not report.leaving
        )

    def get_max_capacity_bytes(self, now_ms: float) -> int:
        """Return the largest capacity that a live agent reports; 0 without agents."""
        return max(
            (report.capacity_bytes for report in self.list_live_agent_reports(now_ms)),
            default=0,
        )
