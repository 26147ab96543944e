"""One member of the replicated log: the parts put together."""

import random
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import anyio
from returns.result import Failure as Err
from returns.result import Result

from ..kernel.channel import as_refused
from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.logs import get_logger
from ..kernel.messages import Ack, Hello
from ..kernel.metrics import Metrics
from ._applier import Applier
from ._election import stand_for_election, wait_until_due
from ._files import lock_folder
from ._follower import Follower
from ._formation import canonical_peers, form_log
from ._leader import Leadership
from ._membership import voters
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
from ._replacement import change_members
from ._state import ReplicaState, Timing

__all__ = ["LogReplica", "ReplicaSettings"]

RETRY_AFTER_MS = 500
HANDOVER_TIMEOUT_MS = 2_000
# A member that was just added is dialled this soon, before it can be asked to vote.
DIAL_CHECK_MS = 500
MAX_COMMAND_BYTES = 8 * 1024 * 1024
# Longer than hosts that start together differ in their start; after it the log
# serves with the members that it has.
GROWTH_MS = 10_000


class ReplicaSettings(NamedTuple):
    """How a replica runs.

    Parameters
    ----------
    name : str
        The keeper's name.
    folder : Path
    addr : str
        ``ip:port`` where the other replicas reach this one.
    peers : mapping of str to str
        ``ip:port`` of each initial member by name, this one included.
    zone : str
    cluster_token : str
    snapshot_entries : int
        Entries between two snapshots.
    max_segment_bytes : int
    timing : Timing
    n_losses : int
        Members whose disks may be lost at once. While a log that has just begun
        has too few voters for that, it takes no command.
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
    """A replica that elects, replicates and applies.

    Parameters
    ----------
    settings : ReplicaSettings
    machine : StateMachine
    metrics : Metrics
    rng : random.Random
        Draws the identity of an empty folder and the election timeouts.
    now_ms : float
        The present time on the monotonic clock.

    Raises
    ------
    DataLockedError, DataDamagedError
        See `DurableLog` and `lock_folder`.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        machine: StateMachine,
        metrics: Metrics,
        rng: random.Random,
        now_ms: float,
    ):
        self._settings = settings
        self._metrics = metrics
        self._lock = lock_folder(settings.folder)
        self._state = ReplicaState(
            settings.folder,
            settings.name,
            settings.addr,
            settings.max_segment_bytes,
            settings.timing,
            rng,
            now_ms,
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
            self._state, machine, metrics, settings.snapshot_entries
        )
        self._state.on_lost = self._applier.fail_waiters
        self._follower = Follower(self._state, self._applier)
        self._replacing = anyio.Lock()
        self._is_stopping = False

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self._state.term

    @property
    def leader_addr(self) -> str:
        """Where the leader is; empty while there is none that is known."""
        if self._state.leading is not None and not self.leads(monotonic_ms()):
            return ""
        return self._state.leader_addr

    @property
    def members(self) -> tuple[Member, ...]:
        """The newest membership, committed or not."""
        return self._state.log.members

    @property
    def replica_id(self) -> str:
        """Identity of this replica, bound to its disk."""
        return self._state.replica_id

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term, with a lease or without."""
        return self._state.leading is not None

    @property
    def leading_since_ms(self) -> float | None:
        """When this replica began to lead, on the monotonic clock; None if not."""
        leading = self._state.leading
        return leading.started_ms if isinstance(leading, Leadership) else None

    def silent_ms(self, now_ms: float) -> dict[str, float]:
        """Return the time since each follower's last answer; empty if not leading."""
        leading = self._state.leading
        if not isinstance(leading, Leadership):
            return {}
        return leading.silent_ms(now_ms)

    @property
    def votes(self) -> bool:
        """Whether this replica votes, by the newest membership that it holds."""
        return self._state.is_voter

    def leads(self, now_ms: float) -> bool:
        """Return whether this replica may act as leader now.

        It holds a lease, and it has applied everything that earlier leaders
        committed.
        """
        leading = self._state.leading
        return (
            isinstance(leading, Leadership)
            and not self._is_stopping
            and self._applier.applied_index >= leading.first_index
            and leading.holds_lease(now_ms)
        )

    async def run(self) -> None:
        """Take part in the log for as long as the process runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run)
            tasks.start_soon(self._keep_links)
            tasks.start_soon(self._applier.run)
            tasks.start_soon(
                form_log,
                self._state,
                self._links,
                self._settings.name,
                self._settings.peers,
            )
            while True:
                await wait_until_due(self._state)
                if self._is_stopping:
                    # It would win, as its log is newest, and be gone at once.
                    await anyio.sleep_forever()
                if await stand_for_election(self._state, self._links, self._metrics):
                    await self._lead()

    async def _keep_links(self) -> None:
        """Dial every member, so that a first election finds its connections."""
        while True:
            for member in self.members:
                if member.replica_id != self.replica_id:
                    self._links.link(member.addr)
            await self._state.changed.wait_for(DIAL_CHECK_MS)

    async def propose(self, command: bytes) -> Result[Any, Failure]:
        """Commit a command and return what applying it returned.

        Fails with NOT_LEADER (not run) or NO_QUORUM (outcome unknown).
        """
        leading = self._state.leading
        if not self.leads(monotonic_ms()) or not isinstance(leading, Leadership):
            return Err(failure(Code.NOT_LEADER, retry_after_ms=RETRY_AFTER_MS))
        if self._awaits_members(leading):
            return Err(failure(Code.TOO_FEW_MEMBERS, retry_after_ms=RETRY_AFTER_MS))
        if len(command) > MAX_COMMAND_BYTES:
            return Err(failure(Code.FRAME_TOO_LARGE, f"{len(command)} bytes"))
        index = leading.append(EntryKind.COMMAND, command)
        return await self._applier.result(index, leading.term)

    async def replace_member(
        self, old: str, new_name: str, new_addr: str
    ) -> Result[tuple[Member, ...], Failure]:
        """Replace a member; see `change_members` for how it fails."""
        return await self._change_members(old, Member(new_name, new_addr, False))

    async def add_member(
        self, name: str, addr: str
    ) -> Result[tuple[Member, ...], Failure]:
        """Add a member that votes; see `change_members` for how it fails."""
        return await self._change_members(None, Member(name, addr, False))

    async def _change_members(
        self, old: str | None, new: Member
    ) -> Result[tuple[Member, ...], Failure]:
        if not self.leads(monotonic_ms()):
            return Err(failure(Code.NOT_LEADER, retry_after_ms=RETRY_AFTER_MS))
        async with self._replacing:
            return await change_members(
                self._state, self._links, self._applier, old, new
            )

    def _awaits_members(self, leading: Leadership) -> bool:
        """Return whether a log that has just begun has too few voters yet.

        What a quorum of 2 n + 1 voters holds outlives the loss of n disks.
        """
        n_needed = 2 * self._settings.n_losses + 1
        if len(voters(self.members)) >= n_needed:
            return False
        return monotonic_ms() - leading.started_ms < GROWTH_MS

    async def hand_over(self) -> None:
        """Before a planned stop: refuse proposals and let another replica lead."""
        leading = self._state.leading
        self._is_stopping = True
        if not isinstance(leading, Leadership) or len(self.members) == 1:
            return
        with anyio.move_on_after(HANDOVER_TIMEOUT_MS / 1000):
            await self._applier.caught_up(self._state.log.last_index)
            await leading.hand_over()
            while not self._state.leader_id:
                await self._state.changed.wait()

    async def handle(self, value: Any, now_ms: float) -> Any:
        """Answer a message from another replica."""
        if isinstance(value, IdentityQuery):
            return self._identity(value)
        if getattr(value, "to_id", None) != self.replica_id:
            self._metrics.count("refusals_total", reason=Code.NO_SUCH_MEMBER.name)
            return as_refused(failure(Code.NO_SUCH_MEMBER, f"I am {self.replica_id}"))
        match value:
            case HeartbeatRequest():
                return await self._follower.on_heartbeat(value, now_ms)
            case AppendRequest():
                return await self._follower.on_append(value, now_ms)
            case VoteRequest():
                return await self._follower.on_vote(value, now_ms)
            case SnapshotChunk():
                return await self._follower.on_snapshot(value, now_ms)
            case TimeoutNow():
                self._follower.on_timeout_now(value)
                return Ack(0)
            case _:
                return as_refused(failure(Code.BAD_MESSAGE))

    async def tell(self, addr: str, value: Any, timeout_ms: float) -> None:
        """Send a message to a process that need not be a member; it may be lost."""
        await self._links.link(addr).request(value, timeout_ms)

    def measure(self, now_ms: float) -> None:
        """Set the gauges."""
        state = self._state
        self._metrics.gauge("term", state.term)
        self._metrics.gauge("leader", int(self.leads(now_ms)))
        self._metrics.gauge("commit_index", state.commit_index)
        self._metrics.gauge("applied_index", self._applier.applied_index)
        self._metrics.gauge("last_index", state.log.last_index)

    def _identity(self, query: IdentityQuery) -> Identity:
        peers = canonical_peers(self._settings.peers)
        return Identity(
            self.replica_id,
            self._state.addr,
            self._state.has_taken_part,
            query.peers == peers,
        )

    async def _lead(self) -> None:
        leading = Leadership(self._state, self._links, monotonic_ms())
        log = get_logger()
        log.info("leadership_won", term=leading.term, replica=self.replica_id)
        self._state.changed.notify()
        try:
            await leading.run()
        finally:
            self._applier.fail_waiters()
        log.info("leadership_lost", term=leading.term, newest_term=self.term)
