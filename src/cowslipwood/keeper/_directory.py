"""What the leader knows of live processes; kept in memory only."""

from typing import NamedTuple

from ..kernel.messages import AgentReport, EntryReport, ServerView

__all__ = ["Directory", "server_view"]

AGENT_TIMEOUT_MS = 2_000


class _Heard(NamedTuple):
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
        self._agents: dict[str, _Heard] = {}
        self._entries: dict[str, _Heard] = {}

    def hear_agent(self, report: AgentReport, now_ms: float) -> None:
        """Keep an agent's report."""
        self._agents[report.server_id] = _Heard(report, now_ms)

    def hear_entry(self, report: EntryReport, now_ms: float) -> None:
        """Keep an entry's report."""
        self._entries[report.entry_id] = _Heard(report, now_ms)

    def live_agents(self, now_ms: float) -> list[AgentReport]:
        """Return the reports of agents heard within the timeout."""
        return [
            heard.report
            for heard in self._agents.values()
            if now_ms - heard.at_ms <= AGENT_TIMEOUT_MS
        ]

    def live_entries(self, now_ms: float) -> list[EntryReport]:
        """Return the reports of entries heard within the timeout."""
        return [
            heard.report
            for heard in self._entries.values()
            if now_ms - heard.at_ms <= AGENT_TIMEOUT_MS
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
