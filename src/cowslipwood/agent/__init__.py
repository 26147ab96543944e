"""The process beside each backend server: the only path to it."""

from ._agent import AgentSettings, agent_checks, run_agent

__all__ = ["AgentSettings", "agent_checks", "run_agent"]
