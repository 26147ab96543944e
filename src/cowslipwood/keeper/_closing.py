"""Decides when a leaving backend server gets no more new work.

A server that is drained, or leaving by the platform's list, serves on while it
alone holds a model ready, but no longer than a bound.
"""

from collections.abc import Iterable, Set

from ..kernel.messages import AgentReport
from ._directory import Directory

__all__ = ["CLOSE_AFTER_MS", "Closing"]

CLOSE_AFTER_MS = 3_000


class Closing:
    """Remembers since when each server has been leaving.

    Parameters
    ----------
    directory : Directory
    """

    def __init__(self, directory: Directory):
        self._directory = directory
        self._leaving_since_ms: dict[str, float] = {}

    def closed(self, drained: Set[str], now_ms: float) -> set[str]:
        """Return the live servers that get no new work.

        An agent's own notice closes its server at once, since the agent refuses
        new work from then on.

        Parameters
        ----------
        drained : set of str
            Servers that an operator drained.
        now_ms : float
        """
        reports = self._directory.live_agents(now_ms)
        leaving = {
            report.server_id: report
            for report in reports
            if report.server_id in drained
            or self._directory.is_leaving(report.server_id, now_ms)
        }
        self._leaving_since_ms = {
            server_id: self._leaving_since_ms.get(server_id, now_ms)
            for server_id in leaving
        }
        if not leaving:
            return set()
        elsewhere = _ready(r for r in reports if r.server_id not in leaving)
        return {
            server_id
            for server_id, report in leaving.items()
            if report.leaving
            or now_ms - self._leaving_since_ms[server_id] >= CLOSE_AFTER_MS
            or _ready([report]) <= elsewhere
        }


def _ready(reports: Iterable[AgentReport]) -> set[tuple[str, str]]:
    """Return the names and versions that some agent reports ready."""
    return {
        (held.model, held.version)
        for report in reports
        for held in report.residents
        if held.state == "ready"
    }
