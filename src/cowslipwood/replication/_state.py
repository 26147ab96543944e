"""State of one replica: term, vote, role, leader and commit index."""

import enum
import random
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, Protocol

import anyio

from ..kernel.notifier import ChangeNotifier
from ._ballot import load_ballot, save_ballot
from ._log import DurableLog, run_disk_work
from ._membership import list_voter_ids

__all__ = ["LeadershipHandle", "ReplicaState", "Role", "Timing"]


class Role(enum.StrEnum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(NamedTuple):
    """Times of heartbeats, elections and the leader's lease.

    Parameters
    ----------
    heartbeat_ms : float
        Interval between two heartbeats.
    lease_ms : float
        How long a quorum's answer allows the leader to act, counted from the time
        at which the request was sent. Shorter than `election_min_ms`.
    election_min_ms : float
        Lower bound of the random election timeout. A replica that heard from the
        leader within this time grants no vote.
    election_max_ms : float
        Upper bound of the random election timeout. A leader steps down when a quorum
        has not answered for this long.
    """

    heartbeat_ms: float = 60
    lease_ms: float = 240
    election_min_ms: float = 300
    election_max_ms: float = 600


class LeadershipHandle(Protocol):
    """What the replica's state needs from the leadership of one term."""

    def quorum_acked_ms(self, now_ms: float) -> float:
        """Return when the newest request that a quorum answered was sent."""

    def stop(self) -> None:
        """End the leadership."""


def _do_nothing() -> None:
    """Do nothing; the default of `ReplicaState.on_leadership_lost`."""


class ReplicaState:
    """The state that all tasks of a replica share.

    Parameters
    ----------
    folder : Path
        Data folder, which this process has locked.
    name : str
        The keeper's name.
    addr : str
        ``ip:port`` of this keeper.
    max_segment_bytes : int
    timing : Timing
    rng : random.Random
    started_ms : float
        A time on the monotonic clock after which no earlier process of this replica
        ran.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        addr: str,
        max_segment_bytes: int,
        timing: Timing,
        rng: random.Random,
        started_ms: float,
    ):
        self.addr = addr
        self.timing = timing
        self.rng = rng
        self.ballot = load_ballot(folder, name, rng)
        self.log = DurableLog(folder, max_segment_bytes)
        self.commit_index = self.log.snapshot_header.index
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leader_addr = ""
        self.leadership: LeadershipHandle | None = None
        self.on_leadership_lost: Callable[[], None] = _do_nothing
        self.is_handover_requested = False
        # False until this process has heard a leader or become a candidate.
        self.uses_full_election_timeout = False
        # Voters that did not answer the last vote request.
        self.unresponsive_voters: set[str] = set()
        # Failed pre-votes since a leader was last heard.
        self.n_failed_pre_votes = 0
        # The start counts as contact with a leader, because a restarted replica may
        # have heard the leader just before it stopped.
        self.last_leader_contact_ms = started_ms
        self.election_timer_start_ms = started_ms
        self.changed = ChangeNotifier()
        self._folder = folder
        self._saved_ballot = self.ballot
        self._ballot_lock = anyio.Lock()

    @property
    def replica_id(self) -> str:
        """Identity of this replica, which is stored on its disk."""
        return self.ballot.replica_id

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self.ballot.term

    @property
    def has_log_entries(self) -> bool:
        """Whether this replica has a log that contains entries."""
        return self.log.last_index > 0

    @property
    def has_taken_part(self) -> bool:
        """Whether this replica has a log or has taken part in an election of one."""
        return self.has_log_entries or self.term > 0

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in the newest membership that it knows."""
        return self.replica_id in list_voter_ids(self.log.members)

    def has_live_leader(self, now_ms: float) -> bool:
        """Return whether a leader may have a lease that depends on this replica."""
        if self.leadership is not None:
            last_leader_contact_ms = self.leadership.quorum_acked_ms(now_ms)
        else:
            last_leader_contact_ms = self.last_leader_contact_ms
        return now_ms - last_leader_contact_ms < self.timing.election_min_ms

    def become_follower(
        self, term: int, leader_id: str = "", leader_addr: str = ""
    ) -> None:
        """Become a follower, in a newer term or in the current one."""
        if term > self.term:
            self.ballot = self.ballot._replace(term=term, voted_for="")
        if self.leadership is not None:
            self.leadership.stop()
            self.leadership = None
            self.on_leadership_lost()
        is_role_or_leader_new = (
            self.role != Role.FOLLOWER or self.leader_id != leader_id
        )
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.leader_addr = leader_addr
        if is_role_or_leader_new:
            self.changed.notify()

    def record_leader_contact(self, now_ms: float) -> None:
        """Record a message from the leader of the current term."""
        self.last_leader_contact_ms = now_ms
        self.election_timer_start_ms = now_ms
        self.uses_full_election_timeout = True
        self.n_failed_pre_votes = 0

    def set_vote(self, candidate_id: str) -> None:
        """Vote in the current term; `save_ballot` makes the vote durable."""
        self.ballot = self.ballot._replace(voted_for=candidate_id)

    def become_candidate(self) -> None:
        """Become a candidate in the next term."""
        self.uses_full_election_timeout = True
        self.ballot = self.ballot._replace(
            term=self.term + 1, voted_for=self.replica_id
        )
        self.role = Role.CANDIDATE
        self.leader_id = ""
        self.leader_addr = ""

    async def save_ballot(self) -> None:
        """Return once the current term and vote are on disk."""
        async with self._ballot_lock:
            ballot = self.ballot
            if ballot != self._saved_ballot:
                await run_disk_work(save_ballot, self._folder, ballot)
                self._saved_ballot = ballot

    async def record_log_exists(self) -> None:
        """Store that this replica has a log, before other replicas rely on that."""
        if self.has_log_entries and not self.ballot.has_log:
            self.ballot = self.ballot._replace(has_log=True)
            await self.save_ballot()

    def advance_commit_index(self, index: int) -> None:
        """Move the commit index forward."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify()
