"""Separates the load in an agent's report from the fields that seldom change.

The load changes with each call, so it is sent more often, as a message of its own.
"""

from ..kernel.messages import AgentLoad, AgentReport

__all__ = ["extract_load", "remove_load"]


def extract_load(report: AgentReport) -> AgentLoad:
    """Return the load of a report as a message."""
    return AgentLoad(
        report.server_id,
        report.incarnation,
        report.n_in_flight,
        report.n_queued,
        report.wait_ms,
    )


def remove_load(report: AgentReport) -> AgentReport:
    """Return a report with a load of zero, to compare it with another report."""
    return report._replace(n_in_flight=0, n_queued=0, wait_ms=0.0)
