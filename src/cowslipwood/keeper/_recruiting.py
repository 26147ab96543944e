"""Replaces a keeper that is lost by one that announced itself with an empty disk."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure as Err

from ..kernel.logs import get_logger
from ..kernel.messages import Announce
from ..replication import LogReplica, Member

__all__ = ["Recruiter", "choose_replaced"]

# Longer than a follower takes to restart, so that its log is not thrown away;
# short beside the time in which a successor has to have caught up.
SILENT_MS = 2_000.0
# An announcement this old may come from a keeper that is gone again.
ANNOUNCED_MS = 1_500.0


class Replaced(NamedTuple):
    """A member that leaves, and the keeper that takes its place."""

    old_id: str
    new_id: str
    new_addr: str


class Recruiter:
    """Notes announcements on the leader and carries out replacements.

    Parameters
    ----------
    replica : LogReplica
    """

    def __init__(self, replica: LogReplica):
        self._replica = replica
        self._announced: dict[str, tuple[Announce, float]] = {}
        self._is_busy = False

    def announced(self, announce: Announce, now_ms: float) -> None:
        """Take in an announcement."""
        self._announced[announce.addr] = (announce, now_ms)

    async def step(self, now_ms: float) -> None:
        """Replace one member, if one is lost and a successor is there."""
        if self._is_busy:
            return
        recent = [
            announce
            for announce, at_ms in self._announced.values()
            if now_ms - at_ms < ANNOUNCED_MS
        ]
        chosen = choose_replaced(
            self._replica.members, recent, self._replica.silent_ms(now_ms)
        )
        if chosen is None:
            return
        self._is_busy = True
        log = get_logger()
        log.info("member_replacing", old=chosen.old_id, new=chosen.new_id)
        try:
            name = chosen.new_id.rpartition(".")[0]
            ended = await self._replica.replace_member(
                chosen.old_id, name, chosen.new_addr
            )
        finally:
            self._is_busy = False
        if isinstance(ended, Err):
            fault = ended.failure()
            log.warning("member_not_replaced", old=chosen.old_id, reason=fault.message)
            return
        self._announced.pop(chosen.new_addr, None)
        members = ",".join(member.replica_id for member in ended.unwrap())
        log.info("member_replaced", old=chosen.old_id, members=members)


def choose_replaced(
    members: Sequence[Member],
    announced: Sequence[Announce],
    silent_ms: Mapping[str, float],
) -> Replaced | None:
    """Return the next replacement, or None.

    A keeper that came back at a member's address under another identity has
    lost that member's disk, so it takes the place at once. One at a new address
    takes the place of the member that has been silent longest.

    Parameters
    ----------
    members : sequence of Member
    announced : sequence of Announce
        Keepers without a log that announced themselves lately.
    silent_ms : mapping of str to float
        Time since a follower's last answer to this leader, by identity.
    """
    ids = {member.replica_id for member in members}
    for announce in announced:
        for member in members:
            same_place = member.addr == announce.addr
            if same_place and member.replica_id != announce.replica_id:
                return Replaced(member.replica_id, announce.replica_id, announce.addr)
    lost = [
        member for member in members if silent_ms.get(member.replica_id, 0) > SILENT_MS
    ]
    if not lost:
        return None
    longest = max(lost, key=lambda member: silent_ms[member.replica_id])
    for announce in announced:
        if announce.replica_id not in ids or _is_learner(members, announce.replica_id):
            return Replaced(longest.replica_id, announce.replica_id, announce.addr)
    return None


def _is_learner(members: Sequence[Member], replica_id: str) -> bool:
    return any(m.replica_id == replica_id and not m.voter for m in members)
