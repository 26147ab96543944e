"""Messages between replicas, and the records that replicas store on disk.

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
    "Place",
    "SnapshotChunk",
    "SnapshotHeader",
    "SnapshotReply",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
]


class EntryKind(enum.IntEnum):
    """Kind of a log entry's payload."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Place(enum.IntEnum):
    """The place among the voters that a learner is to fill.

    A learner without one waits until a voter is lost.
    """

    NONE = 0
    ADDED = 1
    VACATED = 2


@message("replication")
class Member(NamedTuple):
    """One replica of a membership; only learners have a `place`."""

    replica_id: str
    addr: str
    voter: bool
    place: Place = Place.NONE

    @property
    def name(self) -> str:
        """The keeper's name, which stays the same when its disk is replaced."""
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
    """Entries of the leader's log that follow a given entry."""

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
    """Index up to which a follower's synced log matches the leader's."""

    term: int
    accepted: bool
    match_index: int
    conflict_index: int


@message("replication")
class HeartbeatRequest(NamedTuple):
    """Renews the leader's lease and tells the commit index."""

    to_id: str
    leader_id: str
    leader_addr: str
    term: int
    commit_index: int


@message("replication")
class HeartbeatReply(NamedTuple):
    """Confirms that a follower accepts the leader, if the term is the leader's."""

    term: int


@message("replication")
class VoteRequest(NamedTuple):
    """Asks for a vote, or with `pre` set whether it would be granted."""

    to_id: str
    candidate_id: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    handover: bool


@message("replication")
class VoteReply(NamedTuple):
    """Grants or refuses a vote."""

    term: int
    granted: bool


@message("replication")
class SnapshotChunk(NamedTuple):
    """One chunk of the leader's snapshot."""

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
    """Offset of the chunk that the follower expects next."""

    term: int
    next_offset: int


@message("replication")
class TimeoutNow(NamedTuple):
    """Asks a follower, before the leader stops, to start an election at once."""

    to_id: str
    leader_id: str
    term: int


@message("replication")
class IdentityQuery(NamedTuple):
    """Asks a replica for its identity."""

    from_id: str
    peers: str


@message("replication")
class Identity(NamedTuple):
    """A replica's identity and whether it has a log or has voted in one.

    `replica_id` is empty for a host without a disk, which never becomes a member.
    `member_ids` is the newest membership in the replica's log. `has_no_peers` says that
    the replica knows no initial members, as after its first start.
    """

    replica_id: str
    addr: str
    formed: bool
    peers_agree: bool
    member_ids: tuple[str, ...] = ()
    has_no_peers: bool = False


@message("replication")
class SnapshotHeader(NamedTuple):
    """Index and term of the last entry in a snapshot, and the membership there."""

    index: int
    term: int
    members: tuple[Member, ...]
