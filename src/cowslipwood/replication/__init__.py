"""Replicated log of the keepers: leader election, replication and snapshots."""

from ._errors import DataDamagedError, DataLockedError
from ._membership import Answering, Departure, Gone, Silent
from ._messages import Identity, IdentityQuery, Member, Place
from ._protocols import Replica, StateMachine
from ._replica import LogReplica, ReplicaSettings
from ._state import Timing

__all__ = [
    "Answering",
    "DataDamagedError",
    "DataLockedError",
    "Departure",
    "Gone",
    "Identity",
    "IdentityQuery",
    "LogReplica",
    "Member",
    "Place",
    "Replica",
    "ReplicaSettings",
    "Silent",
    "StateMachine",
    "Timing",
]
