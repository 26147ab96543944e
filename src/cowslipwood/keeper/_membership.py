"""Adds announced keepers to the members of the log, or replaces lost members."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result

from ..kernel.codes import Failure
from ..kernel.logs import get_logger
from ..kernel.messages import Announce
from ..replication import (
    Departure,
    Gone,
    LogReplica,
    Member,
    Place,
    Silent,
    count_places,
)

__all__ = ["MAX_VOTERS", "MemberChange", "MembershipManager", "choose_member_change"]

# Milliseconds without an answer after which a follower counts as lost. This is longer
# than a restart takes, so that the log of a restarting follower is not discarded, and
# short compared with the time in which its successor must have caught up.
LOST_AFTER_MS = 2_000.0
# Milliseconds without an answer after which a follower is asked for its identity. A
# follower answers a heartbeat several times in this time.
IDENTITY_QUERY_AFTER_MS = 500.0
# Age in milliseconds from which an announcement is ignored, because the keeper that
# sent it may have ended since.
ANNOUNCEMENT_VALID_MS = 1_500.0
# Largest number of voters to which a keeper is added. Each command waits for more than
# half of the voters, so further voters would slow commands and add to the leader's
# work, and the number of losses that is planned for does not need them.
MAX_VOTERS = 9


class MemberChange(NamedTuple):
    """A keeper that becomes a member, and the member that it replaces.

    Parameters
    ----------
    departure : Silent, Gone or None
        The replaced member; None when the keeper is added, or fills a place already.
    new_id, new_addr : str
        Identity and ``ip:port`` of the keeper.
    """

    departure: Departure | None
    new_id: str
    new_addr: str

    @property
    def old_id(self) -> str | None:
        """Identity of the replaced member."""
        return None if self.departure is None else self.departure.replica_id


class MembershipManager:
    """Records announcements on the leader and changes the members accordingly.

    Parameters
    ----------
    replica : LogReplica
    n_needed : int
        Number of voters that the planned losses require. While there are fewer, any
        announced keeper is added.
    """

    def __init__(self, replica: LogReplica, n_needed: int):
        self._replica = replica
        self._n_needed = n_needed
        self._announced: dict[str, tuple[Announce, float]] = {}
        self._is_changing = False

    def record_announcement(self, announce: Announce, now_ms: float) -> None:
        """Record an announcement and the time of its arrival."""
        self._announced[announce.addr] = (announce, now_ms)

    async def find_lost_disks(self, now_ms: float) -> None:
        """Record an announcement for each silent member that has lost its disk.

        Such a keeper has a new identity at the address of the member. It announces
        itself only if it finds the leader through the addresses in its settings.
        """
        silent_ms = self._replica.silent_ms_by_follower(now_ms)
        member_ids = {member.replica_id for member in self._replica.members}
        for member in self._replica.members:
            if silent_ms.get(member.replica_id, 0.0) < IDENTITY_QUERY_AFTER_MS:
                continue
            identity = await self._replica.query_identity(member.addr)
            if identity is None or not identity.replica_id:
                continue
            # A keeper that has a log but is no member belongs to another log.
            is_new = not identity.formed or identity.replica_id in member_ids
            if is_new and identity.replica_id != member.replica_id:
                announce = Announce(identity.replica_id, member.addr)
                self.record_announcement(announce, now_ms)

    async def change_one_member(self, now_ms: float) -> None:
        """Add or replace one member if an announced keeper is to become one."""
        if self._is_changing:
            return
        recent = [
            announce
            for announce, at_ms in self._announced.values()
            if now_ms - at_ms < ANNOUNCEMENT_VALID_MS
        ]
        change = choose_member_change(
            self._replica.members,
            recent,
            self._replica.silent_ms_by_follower(now_ms),
            self._n_needed,
        )
        if change is None:
            return
        self._is_changing = True
        log = get_logger()
        log.info("member_changing", old=change.old_id or "", new=change.new_id)
        try:
            changed_members = await self._apply_change(change)
        finally:
            self._is_changing = False
        if isinstance(changed_members, Err):
            fault = changed_members.failure()
            log.warning("member_not_changed", new=change.new_id, reason=fault.message)
            return
        self._announced.pop(change.new_addr, None)
        members = ",".join(member.replica_id for member in changed_members.unwrap())
        log.info("member_changed", new=change.new_id, members=members)

    async def _apply_change(
        self, change: MemberChange
    ) -> Result[tuple[Member, ...], Failure]:
        name = change.new_id.rpartition(".")[0]
        if change.old_id is None:
            return await self._replica.add_member(name, change.new_addr)
        return await self._replica.replace_member(change.old_id, name, change.new_addr)


def choose_member_change(
    members: Sequence[Member],
    announced: Sequence[Announce],
    silent_ms: Mapping[str, float],
    n_needed: int,
) -> MemberChange | None:
    """Return the next change of the membership, or None.

    A keeper that has a member's address and another identity has lost the disk of
    that member, so it replaces the member at once. A keeper that started with the
    system is added, and a learner that has a place fills it. Any other keeper replaces
    the member that has been silent for longest, as soon as a member counts as lost. If
    such a keeper was added earlier, the lost member would stay among the voters.

    Parameters
    ----------
    members : sequence of Member
    announced : sequence of Announce
        The recent announcements of keepers that the leader does not count as voters.
    silent_ms : mapping of str to float
        Time since a follower's last answer to this leader, by identity.
    n_needed : int
        Number of voters below which any announced keeper is added.
    """
    for announce in announced:
        for member in members:
            has_same_addr = member.addr == announce.addr
            if has_same_addr and member.replica_id != announce.replica_id:
                return MemberChange(
                    Gone(member.replica_id), announce.replica_id, announce.addr
                )
    members_by_id = {member.replica_id: member for member in members}
    unplaced = []
    for announce in announced:
        member = members_by_id.get(announce.replica_id)
        if member is None or not (member.voter or member.place):
            unplaced.append(announce)
        elif not member.voter:
            return MemberChange(None, announce.replica_id, announce.addr)
    n_places = count_places(members)
    for announce in unplaced:
        if (announce.is_initial or n_places < n_needed) and n_places < MAX_VOTERS:
            return MemberChange(None, announce.replica_id, announce.addr)
    return _choose_replacement(members, unplaced, silent_ms)


def _choose_replacement(
    members: Sequence[Member],
    newcomers: Sequence[Announce],
    silent_ms: Mapping[str, float],
) -> MemberChange | None:
    """Return the replacement of the member that has been silent for longest.

    A learner without a place is no voter that could be lost. One that has a place holds
    it for a later newcomer, so voters go first.
    """
    if not newcomers:
        return None
    newcomer = newcomers[0]
    lost_members = [
        member
        for member in members
        if (member.voter or member.place != Place.NONE)
        and member.replica_id != newcomer.replica_id
        and silent_ms.get(member.replica_id, 0) > LOST_AFTER_MS
    ]
    if not lost_members:
        return None
    replaced = max(
        lost_members, key=lambda member: (member.voter, silent_ms[member.replica_id])
    )
    return MemberChange(Silent(replaced.replica_id), newcomer.replica_id, newcomer.addr)


def _is_voter(members: Sequence[Member], replica_id: str) -> bool:
    return any(member.voter and member.replica_id == replica_id for member in members)
