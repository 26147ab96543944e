"""The keepers' replicated log."""

from ._replica import LocalReplica, Replica, StateMachine

__all__ = ["LocalReplica", "Replica", "StateMachine"]
