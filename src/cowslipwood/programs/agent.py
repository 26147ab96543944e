"""The program ``cowslip-agent``: runs one agent."""

from ..agent import AgentSettings, agent_checks, run_agent
from ..kernel.lifecycle import run_program

__all__ = ["main"]


def main() -> None:
    """Run an agent until SIGTERM or SIGINT."""
    run_program("cowslip-agent", AgentSettings, agent_checks, run_agent)
