"""The keepers' replicated log."""

from ._errors import DataDamagedError, DataLockedError
from ._messages import Member
from ._protocols import Replica, StateMachine
from ._replica import LogReplica, ReplicaSettings
from ._state import Timing

__all__ = [
    "DataDamagedError",
    "DataLockedError",
    "LogReplica",
    "Member",
    "Replica",
    "ReplicaSettings",
    "StateMachine",
    "Timing",
]
