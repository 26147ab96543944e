"""The program ``cowslip-agent``: runs one agent."""

from ..agent import AGENT_SETTING_CHECKS, AgentSettings, run_agent
from ..kernel.lifecycle import run_program

__all__ = ["main"]


def main() -> None:
    """Run an agent until SIGTERM or SIGINT."""
    run_program("cowslip-agent", AgentSettings, AGENT_SETTING_CHECKS, run_agent)
