"""The program ``cowslip-agent``."""

from ..agent import AgentSettings, agent_checks, run_agent
from ..kernel.lifecycle import run_program

__all__ = ["main"]


def main() -> None:
    """Run an agent until SIGTERM."""
    run_program("cowslip-agent", AgentSettings, agent_checks, run_agent)
