"""What of an agent's report changes with each call, and what seldom does."""

from ..kernel.messages import AgentLoad, AgentReport

__all__ = ["extract_load", "remove_load"]


def extract_load(report: AgentReport) -> AgentLoad:
    """Return the load that a report tells."""
    return AgentLoad(
        report.server_id,
        report.incarnation,
        report.n_in_flight,
        report.n_queued,
        report.wait_ms,
    )


def remove_load(report: AgentReport) -> AgentReport:
    """Return a report with its load left out, to be compared with another."""
    return report._replace(n_in_flight=0, n_queued=0, wait_ms=0.0)
