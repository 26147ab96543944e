"""Agent: the process beside each backend server through which all calls reach it."""

from ._agent import AGENT_SETTING_CHECKS, AgentSettings, run_agent

__all__ = ["AGENT_SETTING_CHECKS", "AgentSettings", "run_agent"]
