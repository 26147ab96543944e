"""Agent: the process beside each backend server through which all calls reach it."""

from ._agent import AgentSettings, agent_checks, run_agent

__all__ = ["AgentSettings", "agent_checks", "run_agent"]
