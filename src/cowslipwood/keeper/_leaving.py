"""Decides when a leaving backend server gets no more new work.

A server that is drained, or that the platform lists as leaving, still gets new
work while no staying server holds one of its models ready, but for a limited time.
"""

from collections.abc import Iterable, Set

from ..kernel.messages import AgentReport
from ._directory import ProcessDirectory

__all__ = ["MAX_SOLE_HOLDER_MS", "LeavingServers"]

# Longest time in milliseconds for which a leaving server still gets new work because
# it is the only holder of a ready model.
MAX_SOLE_HOLDER_MS = 3_000


class LeavingServers:
    """Records since when each live server has been leaving.

    Parameters
    ----------
    directory : ProcessDirectory
    """

    def __init__(self, directory: ProcessDirectory):
        self._directory = directory
        self._leaving_since_ms: dict[str, float] = {}

    def find_closed_servers(self, drained_ids: Set[str], now_ms: float) -> set[str]:
        """Return the ids of the live servers that get no new work (closed servers).

        A server whose agent says that it is leaving gets none at once, because the
        agent refuses new work from then on.

        Parameters
        ----------
        drained_ids : set of str
            Ids of the servers that an operator drained.
        now_ms : float
        """
        reports = self._directory.list_live_agent_reports(now_ms)
        leaving = {
            report.server_id: report
            for report in reports
            if report.server_id in drained_ids
            or self._directory.is_leaving(report.server_id, now_ms)
        }
        self._leaving_since_ms = {
            server_id: self._leaving_since_ms.get(server_id, now_ms)
            for server_id in leaving
        }
        if not leaving:
            return set()
        ready_elsewhere = _collect_ready_models(
            r for r in reports if r.server_id not in leaving
        )
        return {
            server_id
            for server_id, report in leaving.items()
            if report.leaving
            or now_ms - self._leaving_since_ms[server_id] >= MAX_SOLE_HOLDER_MS
            or _collect_ready_models([report]) <= ready_elsewhere
        }


def _collect_ready_models(reports: Iterable[AgentReport]) -> set[tuple[str, str]]:
    """Return the name and version of each model that an agent reports ready."""
    return {
        (resident.model, resident.version)
        for report in reports
        for resident in report.residents
        if resident.state == "ready"
    }
