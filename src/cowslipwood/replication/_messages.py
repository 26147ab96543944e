"""The messages between replicas, and the records that they keep on disk.

Fields are described in ``schema/replication.capnp``.
"""

import enum
from typing import NamedTuple

from ..kernel.wire import message

__all__ = [
    "AppendReply",
    "AppendRequest",
    "EntryKind",
    "HeartbeatReply",
    "HeartbeatRequest",
    "Identity",
    "IdentityQuery",
    "LogEntry",
    "Member",
    "Members",
    "SnapshotChunk",
    "SnapshotHeader",
    "SnapshotReply",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
]


class EntryKind(enum.IntEnum):
    """What a log entry carries."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


@message("replication")
class Member(NamedTuple):
    """One replica in the membership."""

    replica_id: str
    addr: str
    voter: bool

    @property
    def name(self) -> str:
        """The keeper's name, which outlives its disk."""
        return self.replica_id.rpartition(".")[0]


@message("replication")
class Members(NamedTuple):
    """The payload of a membership entry."""

    members: tuple[Member, ...]


@message("replication")
class LogEntry(NamedTuple):
    """One entry of the log."""

    index: int
    term: int
    kind: int
    payload: bytes


@message("replication")
class AppendRequest(NamedTuple):
    """The leader's entries that follow a given one."""

    to_id: str
    leader_id: str
    leader_addr: str
    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    entries: tuple[LogEntry, ...]


@message("replication")
class AppendReply(NamedTuple):
    """How far a follower's synced log agrees with the leader's."""

    term: int
    accepted: bool
    match_index: int
    conflict_index: int


@message("replication")
class HeartbeatRequest(NamedTuple):
    """The leader renews its lease and says what is committed."""

    to_id: str
    leader_id: str
    leader_addr: str
    term: int
    commit_index: int


@message("replication")
class HeartbeatReply(NamedTuple):
    """A follower still follows, when the term is the leader's."""

    term: int


@message("replication")
class VoteRequest(NamedTuple):
    """A candidate asks for a vote, or whether it would get one."""

    to_id: str
    candidate_id: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    handover: bool


@message("replication")
class VoteReply(NamedTuple):
    """A vote, given or refused."""

    term: int
    granted: bool


@message("replication")
class SnapshotChunk(NamedTuple):
    """A part of the leader's snapshot file."""

    to_id: str
    leader_id: str
    leader_addr: str
    term: int
    index: int
    offset: int
    total_bytes: int
    data: bytes


@message("replication")
class SnapshotReply(NamedTuple):
    """The offset at which the follower wants the next part."""

    term: int
    next_offset: int


@message("replication")
class TimeoutNow(NamedTuple):
    """A leader that stops asks a follower to stand for election at once."""

    to_id: str
    leader_id: str
    term: int


@message("replication")
class IdentityQuery(NamedTuple):
    """Asks a replica who it is."""

    from_id: str
    peers: str


@message("replication")
class Identity(NamedTuple):
    """Who a replica is and whether its log has begun.

    `replica_id` is empty on a host without a disk, which never becomes a member.
    """

    replica_id: str
    addr: str
    formed: bool
    peers_agree: bool


@message("replication")
class SnapshotHeader(NamedTuple):
    """What a snapshot covers."""

    index: int
    term: int
    members: tuple[Member, ...]
