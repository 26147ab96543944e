"""One replica of the log: election, leadership, membership and applying together."""

import random
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result

from ..kernel.channel import to_refused
from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.logs import get_logger
from ..kernel.messages import Ack, Hello
from ..kernel.metrics import Metrics
from ._applier import Applier
from ._election import run_election, wait_until_election_due
from ._files import lock_folder
from ._follower import Follower
from ._formation import encode_peers, form_log
from ._leader import Leadership
from ._membership import Departure, count_places
from ._membership_change import MembershipChanger
from ._messages import (
    AppendRequest,
    EntryKind,
    HeartbeatRequest,
    Identity,
    IdentityQuery,
    Member,
    SnapshotChunk,
    TimeoutNow,
    VoteRequest,
)
from ._peers import PeerLinks
from ._protocols import StateMachine
from ._state import ReplicaState, Timing

__all__ = ["LogReplica", "ReplicaSettings"]

# Delay after which a refused proposer is told to try again, in ms.
RETRY_AFTER_MS = 500
# Time limit for handing over the leadership before a planned stop, in ms.
HANDOVER_TIMEOUT_MS = 2_000
# Interval at which connections to all members are opened, in ms. A member that was
# just added is connected this soon, before it can be asked to vote.
MEMBER_DIAL_INTERVAL_MS = 500
# Time without a leader's message after which a voter may have been replaced, in ms.
# Elections take less.
LEADER_SILENCE_MS = 3_000.0
# Largest command that the log accepts, in bytes.
MAX_COMMAND_BYTES = 8 * 1024 * 1024
# Time that a new leader of a log with too few voters waits for further members, in
# ms. It is longer than the difference between the start times of hosts that start
# together. After it the log takes commands with the members that it has.
MAX_MEMBER_WAIT_MS = 10_000


class ReplicaSettings(NamedTuple):
    """Settings of a replica.

    Parameters
    ----------
    name : str
        The keeper's name.
    folder : Path
    addr : str
        ``ip:port`` at which the other replicas connect to this one.
    peers : mapping of str to str
        ``ip:port`` of each initial member by name, this one included.
    zone : str
    cluster_token : str
    snapshot_entries : int
        Number of entries between two snapshots.
    max_segment_bytes : int
        Size above which a new log file is started.
    timing : Timing
    n_losses : int
        Number of members whose disks may be lost at the same time. A newly elected
        leader with too few voters for that first takes no commands.
    """

    name: str
    folder: Path
    addr: str
    peers: Mapping[str, str]
    zone: str = ""
    cluster_token: str = ""
    snapshot_entries: int = 10_000
    max_segment_bytes: int = 4 * 1024 * 1024
    timing: Timing = Timing()
    n_losses: int = 0


class LogReplica:
    """A replica that takes part in elections, replicates the log and applies it.

    Parameters
    ----------
    settings : ReplicaSettings
    state_machine : StateMachine
    metrics : Metrics
    rng : random.Random
        Draws the election timeouts and, for an empty folder, the identity.
    started_ms : float
        A time on the monotonic clock after which no earlier process of this replica
        ran. No vote is granted until the shortest election timeout has passed since
        then.

    Raises
    ------
    DataLockedError, DataDamagedError
        See `DurableLog` and `lock_folder`.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        state_machine: StateMachine,
        metrics: Metrics,
        rng: random.Random,
        started_ms: float,
    ):
        self._settings = settings
        self._metrics = metrics
        self._folder_lock = lock_folder(settings.folder)
        self._state = ReplicaState(
            settings.folder,
            settings.name,
            settings.addr,
            settings.max_segment_bytes,
            settings.timing,
            rng,
            started_ms,
        )
        hello = Hello(
            "keeper",
            self._state.replica_id,
            "",
            settings.zone,
            settings.cluster_token,
        )
        self._links = PeerLinks(hello)
        self._applier = Applier(
            self._state, state_machine, metrics, settings.snapshot_entries
        )
        self._state.on_leadership_lost = self._applier.fail_waiters
        self._follower = Follower(self._state, self._applier)
        self._membership = MembershipChanger(self._state, self._links, self._applier)
        self._is_stopping = False

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self._state.term

    @property
    def leader_addr(self) -> str:
        """Address of the leader; empty while none is known."""
        if self._state.leadership is not None and not self.can_act_as_leader(
            monotonic_ms()
        ):
            return ""
        return self._state.leader_addr

    @property
    def members(self) -> tuple[Member, ...]:
        """The newest membership, committed or not."""
        return self._state.log.members

    @property
    def replica_id(self) -> str:
        """Identity of this replica, which is stored on its disk."""
        return self._state.replica_id

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term, with or without a valid lease."""
        return self._state.leadership is not None

    @property
    def leadership_started_ms(self) -> float | None:
        """When this replica began to lead, on the monotonic clock; None if not."""
        leadership = self._state.leadership
        return leadership.started_ms if isinstance(leadership, Leadership) else None

    @property
    def preceding_term(self) -> int:
        """Term of the last entry before this replica began to lead; 0 if it does not.

        No replica has led between that term and the present one: a leader acts only
        when a quorum has an entry of its term, and without that entry this replica
        would not have been elected.
        """
        leadership = self._state.leadership
        return leadership.preceding_term if isinstance(leadership, Leadership) else 0

    def silent_ms_by_follower(self, now_ms: float) -> dict[str, float]:
        """Return the time since each follower's last answer; empty if not leading."""
        leadership = self._state.leadership
        if not isinstance(leadership, Leadership):
            return {}
        return leadership.silent_ms_by_follower(now_ms)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in the newest membership that it knows."""
        return self._state.is_voter

    def hears_leader(self, now_ms: float) -> bool:
        """Return whether this replica leads, or has heard from a leader lately."""
        if self._state.leadership is not None:
            return True
        return now_ms - self._state.last_leader_contact_ms < LEADER_SILENCE_MS

    def can_act_as_leader(self, now_ms: float) -> bool:
        """Return whether this replica may act as leader now.

        That requires a valid lease, and that this replica has applied everything
        that earlier leaders committed.
        """
        leadership = self._state.leadership
        return (
            isinstance(leadership, Leadership)
            and not self._is_stopping
            and self._applier.applied_index >= leadership.first_index
            and leadership.holds_lease(now_ms)
        )

    async def run(self) -> None:
        """Take part in the log for as long as the process runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run)
            tasks.start_soon(self._keep_peer_links)
            tasks.start_soon(self._applier.run)
            tasks.start_soon(
                form_log,
                self._state,
                self._links,
                self._settings.name,
                self._settings.peers,
            )
            while True:
                await wait_until_election_due(self._state)
                if self._is_stopping:
                    # This replica has the newest log, so it would win the election
                    # and then stop at once.
                    await anyio.sleep_forever()
                if await run_election(self._state, self._links, self._metrics):
                    await self._run_leadership()

    async def _keep_peer_links(self) -> None:
        """Connect to every member, so that the first election can use the links."""
        while True:
            for member in self.members:
                if member.replica_id != self.replica_id:
                    self._links.get_link(member.addr)
            await self._state.changed.wait_for(MEMBER_DIAL_INTERVAL_MS)

    async def propose(self, command: bytes) -> Result[Any, Failure]:
        """Commit a command and return the result of applying it.

        Fails with NOT_LEADER, TOO_FEW_MEMBERS or FRAME_TOO_LARGE (not run), or with
        NO_QUORUM (outcome unknown).
        """
        leadership = self._state.leadership
        if not self.can_act_as_leader(monotonic_ms()) or not isinstance(
            leadership, Leadership
        ):
            return Err(failure(Code.NOT_LEADER, retry_after_ms=RETRY_AFTER_MS))
        if self._is_waiting_for_members(leadership):
            return Err(failure(Code.TOO_FEW_MEMBERS, retry_after_ms=RETRY_AFTER_MS))
        if len(command) > MAX_COMMAND_BYTES:
            return Err(failure(Code.FRAME_TOO_LARGE, f"{len(command)} bytes"))
        index = leadership.append(EntryKind.COMMAND, command)
        return await self._applier.wait_for_result(index, leadership.term)

    async def replace_member(
        self, old_name_or_id: str, new_name: str, new_addr: str
    ) -> Result[tuple[Member, ...], Failure]:
        """Replace a member; `MembershipChanger.change` describes the failures."""
        return await self._change_membership(
            old_name_or_id, Member(new_name, new_addr, False)
        )

    async def add_member(
        self, name: str, addr: str
    ) -> Result[tuple[Member, ...], Failure]:
        """Add a voting member; `MembershipChanger.change` describes the failures."""
        return await self._change_membership(None, Member(name, addr, False))

    async def advance_membership(
        self, departure: Departure | None, new: Member, now_ms: float
    ) -> Result[tuple[Member, ...] | None, Failure]:
        """Make one step of a membership change, as `MembershipChanger.advance`."""
        if not self.can_act_as_leader(now_ms):
            return Err(failure(Code.NOT_LEADER, retry_after_ms=RETRY_AFTER_MS))
        return await self._membership.advance(departure, new, now_ms)

    def list_caught_up_ids(self) -> list[str]:
        """Return the followers that have every committed entry; none if not leading."""
        leadership = self._state.leadership
        if not isinstance(leadership, Leadership):
            return []
        return [
            member.replica_id
            for member in self.members
            if leadership.match_index(member.replica_id) >= self._state.commit_index
        ]

    async def _change_membership(
        self, old_name_or_id: str | None, new_keeper: Member
    ) -> Result[tuple[Member, ...], Failure]:
        if not self.can_act_as_leader(monotonic_ms()):
            return Err(failure(Code.NOT_LEADER, retry_after_ms=RETRY_AFTER_MS))
        return await self._membership.change(old_name_or_id, new_keeper)

    def _is_waiting_for_members(self, leadership: Leadership) -> bool:
        """Return whether a new leader still waits for further voters.

        Entries that a quorum of 2 n + 1 voters has stored survive the loss of n disks.
        A voter that was removed for its successor is one of the n, so a quorum of the
        others has as many copies as before.
        """
        n_required_places = 2 * self._settings.n_losses + 1
        if count_places(self.members) >= n_required_places:
            return False
        return monotonic_ms() - leadership.started_ms < MAX_MEMBER_WAIT_MS

    async def hand_over_leadership(self) -> None:
        """Refuse proposals and let another replica lead, before a planned stop."""
        leadership = self._state.leadership
        self._is_stopping = True
        if not isinstance(leadership, Leadership) or len(self.members) == 1:
            return
        with anyio.move_on_after(HANDOVER_TIMEOUT_MS / 1000):
            await self._applier.wait_until_applied(self._state.log.last_index)
            await leadership.hand_over_leadership()
            while not self._state.leader_id:
                await self._state.changed.wait()

    async def handle_message(self, message: Any, now_ms: float) -> Any:
        """Answer a message from another replica."""
        if isinstance(message, IdentityQuery):
            return self._make_identity(message)
        if getattr(message, "to_id", None) != self.replica_id:
            self._metrics.count("refusals_total", reason=Code.NO_SUCH_MEMBER.name)
            return to_refused(failure(Code.NO_SUCH_MEMBER, f"I am {self.replica_id}"))
        match message:
            case HeartbeatRequest():
                return await self._follower.handle_heartbeat(message, now_ms)
            case AppendRequest():
                return await self._follower.handle_append(message, now_ms)
            case VoteRequest():
                return await self._follower.handle_vote_request(message, now_ms)
            case SnapshotChunk():
                return await self._follower.handle_snapshot_chunk(message, now_ms)
            case TimeoutNow():
                self._follower.handle_timeout_now(message)
                return Ack(0)
            case _:
                return to_refused(failure(Code.BAD_MESSAGE))

    async def send_message(self, addr: str, message: Any, timeout_ms: float) -> None:
        """Send a message to any process, member or not; the message may be lost."""
        await self._links.get_link(addr).request(message, timeout_ms)

    async def query_identity(self, addr: str) -> Identity | None:
        """Return the identity of the replica at an address; None without an answer."""
        return await self._membership.query_identity(addr)

    def set_gauges(self, now_ms: float) -> None:
        """Set the gauges of term, leadership and log indexes."""
        state = self._state
        self._metrics.gauge("term", state.term)
        self._metrics.gauge("leader", int(self.can_act_as_leader(now_ms)))
        self._metrics.gauge("commit_index", state.commit_index)
        self._metrics.gauge("applied_index", self._applier.applied_index)
        self._metrics.gauge("last_index", state.log.last_index)

    def _make_identity(self, query: IdentityQuery) -> Identity:
        peers = encode_peers(self._settings.peers)
        return Identity(
            self.replica_id,
            self._state.addr,
            self._state.has_taken_part,
            query.peers == peers,
            tuple(member.replica_id for member in self.members),
            has_no_peers=not peers,
        )

    async def _run_leadership(self) -> None:
        leadership = Leadership(self._state, self._links, monotonic_ms())
        log = get_logger()
        log.info("leadership_won", term=leadership.term, replica=self.replica_id)
        self._state.changed.notify()
        try:
            await leadership.run()
        finally:
            self._applier.fail_waiters()
        log.info("leadership_lost", term=leadership.term, newest_term=self.term)
