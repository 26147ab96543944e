"""Makes keepers that announce themselves members, in place of lost ones if any."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result

from ..kernel.codes import Failure
from ..kernel.logs import get_logger
from ..kernel.messages import Announce
from ..replication import LogReplica, Member

__all__ = ["MAX_VOTERS", "MemberChange", "Recruiter", "choose_change"]

# Longer than a follower takes to restart, so that its log is not thrown away;
# short beside the time in which a successor has to have caught up.
SILENT_MS = 2_000.0
# An announcement this old may come from a keeper that is gone again.
ANNOUNCED_MS = 1_500.0
# Each command waits for more than half of the voters; further ones would add to
# that and to the leader's work, and no losses that are foreseen need them.
MAX_VOTERS = 9


class MemberChange(NamedTuple):
    """A keeper that becomes a member, and the member whose place it takes.

    Parameters
    ----------
    old_id : str or None
        Identity of the member that leaves; None when none does.
    new_id, new_addr : str
    """

    old_id: str | None
    new_id: str
    new_addr: str


class Recruiter:
    """Notes announcements on the leader and changes the members accordingly.

    Parameters
    ----------
    replica : LogReplica
    n_needed : int
        Voters for the losses to bear; with fewer, a keeper is added whoever it is.
    """

    def __init__(self, replica: LogReplica, n_needed: int):
        self._replica = replica
        self._n_needed = n_needed
        self._announced: dict[str, tuple[Announce, float]] = {}
        self._is_busy = False

    def announced(self, announce: Announce, now_ms: float) -> None:
        """Take in an announcement."""
        self._announced[announce.addr] = (announce, now_ms)

    async def step(self, now_ms: float) -> None:
        """Add or replace one member, if a keeper has announced itself."""
        if self._is_busy:
            return
        recent = [
            announce
            for announce, at_ms in self._announced.values()
            if now_ms - at_ms < ANNOUNCED_MS
        ]
        chosen = choose_change(
            self._replica.members,
            recent,
            self._replica.silent_ms_by_follower(now_ms),
            self._n_needed,
        )
        if chosen is None:
            return
        self._is_busy = True
        log = get_logger()
        log.info("member_changing", old=chosen.old_id or "", new=chosen.new_id)
        try:
            ended = await self._change(chosen)
        finally:
            self._is_busy = False
        if isinstance(ended, Err):
            fault = ended.failure()
            log.warning("member_not_changed", new=chosen.new_id, reason=fault.message)
            return
        self._announced.pop(chosen.new_addr, None)
        members = ",".join(member.replica_id for member in ended.unwrap())
        log.info("member_changed", new=chosen.new_id, members=members)

    async def _change(
        self, chosen: MemberChange
    ) -> Result[tuple[Member, ...], Failure]:
        name = chosen.new_id.rpartition(".")[0]
        if chosen.old_id is None:
            return await self._replica.add_member(name, chosen.new_addr)
        return await self._replica.replace_member(chosen.old_id, name, chosen.new_addr)


def choose_change(
    members: Sequence[Member],
    announced: Sequence[Announce],
    silent_ms: Mapping[str, float],
    n_needed: int,
) -> MemberChange | None:
    """Return the next change of the membership, or None.

    A keeper that came back at a member's address under another identity has
    lost that member's disk, so it takes the place at once. One that started with
    the system is added. Any other takes the place of the member that has been
    silent longest, once one is: added before, it would leave a lost member among
    the voters.

    Parameters
    ----------
    members : sequence of Member
    announced : sequence of Announce
        Keepers without a log that announced themselves lately.
    silent_ms : mapping of str to float
        Time since a follower's last answer to this leader, by identity.
    n_needed : int
        Voters under which a keeper is added whoever it is.
    """
    ids = {member.replica_id for member in members}
    for announce in announced:
        for member in members:
            same_place = member.addr == announce.addr
            if same_place and member.replica_id != announce.replica_id:
                return MemberChange(
                    member.replica_id, announce.replica_id, announce.addr
                )
    newcomers = [
        announce
        for announce in announced
        if announce.replica_id not in ids or _is_learner(members, announce.replica_id)
    ]
    if not newcomers:
        return None
    n_voters = sum(member.voter for member in members)
    for announce in newcomers:
        if (announce.is_initial or n_voters < n_needed) and n_voters < MAX_VOTERS:
            return MemberChange(None, announce.replica_id, announce.addr)
    first = newcomers[0]
    lost = [
        member
        for member in members
        if member.replica_id != first.replica_id
        and silent_ms.get(member.replica_id, 0) > SILENT_MS
    ]
    if not lost:
        return None
    longest = max(lost, key=lambda member: silent_ms[member.replica_id])
    return MemberChange(longest.replica_id, first.replica_id, first.addr)


def _is_learner(members: Sequence[Member], replica_id: str) -> bool:
    return any(m.replica_id == replica_id and not m.voter for m in members)
