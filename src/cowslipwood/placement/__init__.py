"""Plans which backend server holds which models."""

from ._plan import Plan, ServerState, first_fit

__all__ = ["Plan", "ServerState", "first_fit"]
