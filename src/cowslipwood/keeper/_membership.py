"""Adds announced keepers to the members of the log, or replaces lost members."""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

import anyio
from returns.result import Failure as Err

from ..kernel.logs import get_logger
from ..kernel.messages import Announce
from ..replication import (
    Departure,
    Gone,
    LogReplica,
    Member,
    Place,
    Silent,
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

    def record_announcement(self, announce: Announce, now_ms: float) -> None:
        """Record an announcement and the time of its arrival."""
        self._announced[announce.addr] = (announce, now_ms)

    async def find_lost_disks(self, now_ms: float) -> None:
        """Record an announcement for each silent member that has lost its disk.

        Such a keeper has a new identity at the address of the member. It announces
        itself only if it finds the leader through the addresses in its settings.
        """
        silent_ms = self._replica.silent_ms_by_follower(now_ms)
        async with anyio.create_task_group() as tasks:
            for member in self._replica.members:
                if silent_ms.get(member.replica_id, 0.0) >= IDENTITY_QUERY_AFTER_MS:
                    tasks.start_soon(self._find_lost_disk, member, now_ms)

    async def _find_lost_disk(self, member: Member, now_ms: float) -> None:
        identity = await self._replica.query_identity(member.addr)
        if identity is None or identity.replica_id in ("", member.replica_id):
            return
        member_ids = {member.replica_id for member in self._replica.members}
        # A keeper that has a log but is no member belongs to another log.
        if not identity.formed or identity.replica_id in member_ids:
            announce = Announce(identity.replica_id, member.addr)
            self.record_announcement(announce, now_ms)

    async def change_one_member(self, now_ms: float) -> bool:
        """Make the next step if an announced keeper is to become a member.

        Returns whether a further step may soon be possible.
        """
        members = self._replica.members
        change = choose_member_change(
            members,
            self._list_recent(now_ms),
            self._replica.silent_ms_by_follower(now_ms),
            self._n_needed,
            self._replica.list_caught_up_ids(),
        )
        if change is None:
            return False
        log = get_logger()
        if change.new_id not in {member.replica_id for member in members}:
            log.info("member_changing", old=change.old_id or "", new=change.new_id)
        new = Member(change.new_id, change.new_addr, False)
        step = await self._replica.advance_membership(change.departure, new, now_ms)
        if isinstance(step, Err):
            self._announced.pop(change.new_addr, None)
            reason = step.failure().message
            log.warning("member_not_changed", new=change.new_id, reason=reason)
            return False
        if _is_voter(self._replica.members, change.new_id):
            self._announced.pop(change.new_addr, None)
            ids = ",".join(member.replica_id for member in self._replica.members)
            log.info("member_changed", new=change.new_id, members=ids)
        return True

    def _list_recent(self, now_ms: float) -> list[Announce]:
        return [
            announce
            for announce, at_ms in self._announced.values()
            if now_ms - at_ms < ANNOUNCEMENT_VALID_MS
        ]


def choose_member_change(
    members: Sequence[Member],
    announced: Sequence[Announce],
    silent_ms: Mapping[str, float],
    n_needed: int,
    caught_up_ids: Collection[str] = (),
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
        Number of voters below which any announced keeper is added. Learners that have
        a place count, too, as they are to vote.
    caught_up_ids : collection of str
        Followers that have every committed entry. Other learners have to wait, so
        their changes go last.
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
    waiting = None
    for announce in announced:
        member = members_by_id.get(announce.replica_id)
        change = MemberChange(None, announce.replica_id, announce.addr)
        if member is None or not (member.voter or member.place):
            unplaced.append(announce)
        elif not member.voter and member.replica_id in caught_up_ids:
            return change
        elif not member.voter:
            waiting = change
    n_places = sum(member.voter or member.place != Place.NONE for member in members)
    for announce in unplaced:
        if (announce.is_initial or n_places < n_needed) and n_places < MAX_VOTERS:
            return MemberChange(None, announce.replica_id, announce.addr)
    unplaced.sort(key=lambda announce: announce.replica_id not in caught_up_ids)
    return _choose_replacement(members, unplaced, silent_ms) or waiting


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
