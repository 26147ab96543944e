"""What a replica knows of itself: term, vote, role, leader and commit index."""

import enum
import random
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, Protocol

import anyio

from ..kernel.signal import Signal
from ._identity import load_ballot, save_ballot
from ._log import DurableLog, on_disk
from ._membership import voters

__all__ = ["Leading", "ReplicaState", "Role", "Timing"]


class Role(enum.StrEnum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(NamedTuple):
    """The times that elections and leases go by.

    Parameters
    ----------
    heartbeat_ms : float
        Milliseconds between two heartbeats.
    lease_ms : float
        How long a quorum's answer lets the leader act, counted from when the
        question was sent. Shorter than `election_min_ms`.
    election_min_ms : float
        A replica that heard the leader within this time grants no vote.
    election_max_ms : float
        Upper bound of the random timeout; a leader that a quorum has not
        answered for this long steps down.
    """

    heartbeat_ms: float = 60
    lease_ms: float = 240
    election_min_ms: float = 300
    election_max_ms: float = 600


class Leading(Protocol):
    """The leadership of one term."""

    def quorum_acked_ms(self, now_ms: float) -> float:
        """Return when the newest question that a quorum answered was sent."""

    def stop(self) -> None:
        """End the leadership."""


def _ignore() -> None:
    """Do nothing when the leadership is lost."""


class ReplicaState:
    """The state that a replica's tasks share.

    Parameters
    ----------
    folder : Path
        Locked by this process.
    name : str
        The keeper's name.
    addr : str
        ``ip:port`` of this keeper.
    max_segment_bytes : int
    timing : Timing
    rng : random.Random
    now_ms : float
        When the process started, on the monotonic clock.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        addr: str,
        max_segment_bytes: int,
        timing: Timing,
        rng: random.Random,
        now_ms: float,
    ):
        self.addr = addr
        self.timing = timing
        self.rng = rng
        self.ballot = load_ballot(folder, name, rng)
        self.log = DurableLog(folder, max_segment_bytes)
        self.commit_index = self.log.header.index
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leader_addr = ""
        self.leading: Leading | None = None
        self.on_lost: Callable[[], None] = _ignore
        self.handover_asked = False
        self.has_heard_leader = False  # since the process began
        self.silent_voters: set[str] = set()  # that left the last question unanswered
        self.n_rounds_refused = 0  # since a leader was heard
        # A restarted replica may have heard the leader just before it stopped.
        self.leader_seen_ms = now_ms
        self.timer_ms = now_ms
        self.changed = Signal()
        self._folder = folder
        self._saved = self.ballot
        self._saving = anyio.Lock()

    @property
    def replica_id(self) -> str:
        """Identity of this replica, bound to its disk."""
        return self.ballot.replica_id

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self.ballot.term

    @property
    def formed(self) -> bool:
        """Whether the log has begun."""
        return self.log.last_index > 0

    @property
    def has_taken_part(self) -> bool:
        """Whether there was a log that this replica held or voted in."""
        return self.formed or self.term > 0

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes, by the newest membership it holds."""
        return self.replica_id in voters(self.log.members)

    def has_live_leader(self, now_ms: float) -> bool:
        """Return whether a leader may hold a lease that rests on this replica."""
        if self.leading is not None:
            leader_seen_ms = self.leading.quorum_acked_ms(now_ms)
        else:
            leader_seen_ms = self.leader_seen_ms
        return now_ms - leader_seen_ms < self.timing.election_min_ms

    def follow(self, term: int, leader_id: str = "", leader_addr: str = "") -> None:
        """Become a follower, in a newer term or in the present one."""
        if term > self.term:
            self.ballot = self.ballot._replace(term=term, voted_for="")
        if self.leading is not None:
            self.leading.stop()
            self.leading = None
            self.on_lost()
        changed = self.role != Role.FOLLOWER or self.leader_id != leader_id
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.leader_addr = leader_addr
        if changed:
            self.changed.notify()

    def note_leader(self, now_ms: float) -> None:
        """Note that the leader of the present term was heard."""
        self.leader_seen_ms = now_ms
        self.timer_ms = now_ms
        self.has_heard_leader = True
        self.n_rounds_refused = 0

    def vote_for(self, candidate_id: str) -> None:
        """Vote in the present term; `save_ballot` makes it last."""
        self.ballot = self.ballot._replace(voted_for=candidate_id)

    def stand(self) -> None:
        """Become a candidate in the next term."""
        self.has_heard_leader = True  # the first election of this process is over
        self.ballot = self.ballot._replace(
            term=self.term + 1, voted_for=self.replica_id
        )
        self.role = Role.CANDIDATE
        self.leader_id = ""
        self.leader_addr = ""

    async def save_ballot(self) -> None:
        """Return once the present term and vote are on disk."""
        async with self._saving:
            ballot = self.ballot
            if ballot != self._saved:
                await on_disk(save_ballot, self._folder, ballot)
                self._saved = ballot

    async def note_log(self) -> None:
        """Remember that others may count on the log, before they are told of it."""
        if self.formed and not self.ballot.has_log:
            self.ballot = self.ballot._replace(has_log=True)
            await self.save_ballot()

    def commit(self, index: int) -> None:
        """Move the commit index forward."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify()
