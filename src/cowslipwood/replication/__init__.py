"""Replicated log of the keepers: leader election, replication and snapshots."""

from ._errors import DataDamagedError, DataLockedError
from ._messages import Identity, IdentityQuery, Member
from ._protocols import Replica, StateMachine
from ._replica import LogReplica, ReplicaSettings
from ._state import Timing

__all__ = [
    "DataDamagedError",
    "DataLockedError",
    "Identity",
    "IdentityQuery",
    "LogReplica",
    "Member",
    "Replica",
    "ReplicaSettings",
    "StateMachine",
    "Timing",
]
