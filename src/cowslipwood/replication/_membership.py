"""Quorums of voters, and the order of steps in a membership change."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ._messages import Member, Place

__all__ = [
    "Answering",
    "Departure",
    "Gone",
    "Silent",
    "compute_next_members",
    "count_places",
    "find_quorum_value",
    "has_quorum",
    "list_voter_ids",
]


@dataclass(frozen=True)
class Answering:
    """A member that is to be removed and may still vote until then."""

    replica_id: str


@dataclass(frozen=True)
class Silent:
    """A member that is to be removed and does not answer at present."""

    replica_id: str


@dataclass(frozen=True)
class Gone:
    """A member that never answers again: its address has another identity."""

    replica_id: str


Departure = Answering | Silent | Gone


def list_voter_ids(members: Iterable[Member]) -> list[str]:
    """Return the ids of the members that vote."""
    return [member.replica_id for member in members if member.voter]


def count_places(members: Iterable[Member]) -> int:
    """Return the number of voters, with those that were removed for a learner."""
    return sum(member.voter or member.place == Place.VACATED for member in members)


def has_quorum(members: Iterable[Member], replica_ids: Iterable[str]) -> bool:
    """Return whether the replicas are more than half of the voters."""
    voter_ids = set(list_voter_ids(members))
    return 2 * len(voter_ids.intersection(replica_ids)) > len(voter_ids)


def find_quorum_value(members: Iterable[Member], values: Mapping[str, float]) -> float:
    """Return the largest value that a quorum of voters has reached."""
    reached_values = sorted(
        values.get(replica_id, 0) for replica_id in list_voter_ids(members)
    )
    if not reached_values:
        return 0
    return reached_values[(len(reached_values) - 1) // 2]


def compute_next_members(
    members: Sequence[Member],
    departure: Departure | None,
    new: Member,
    is_caught_up: bool,
) -> Result[tuple[Member, ...] | None, Failure]:
    """Return the membership after the next step of adding or replacing a replica.

    Each step changes at most one voter, so that every quorum of one membership
    shares a replica with every quorum of the next.

    A voter that does not answer is removed before its successor votes. With both
    among them, an odd number of voters would become an even one, whose larger quorum
    needs the successor: a successor that is lost too would end the log.
    `spec/replacement.py` is a model of this order.

    Parameters
    ----------
    members : sequence of Member
        The current membership.
    departure : Answering, Silent, Gone or None
        Replica to remove; None when a replica is added without removing one.
    new : Member
        Replica to add.
    is_caught_up : bool
        Whether the new replica has every committed entry.

    Returns
    -------
    Result
        None when the change is complete; the current membership while the new
        replica still has to catch up. Fails with NO_SUCH_MEMBER.
    """
    members_by_id = {member.replica_id: member for member in members}
    current = members_by_id.get(new.replica_id)
    old_id = None if departure is None else departure.replica_id
    old = members_by_id.get(old_id)
    if old is None and old_id is not None and current is None:
        return Err(failure(Code.NO_SUCH_MEMBER, f"no keeper {old_id}"))
    learner = current or new._replace(voter=False)
    is_ready = current is not None and is_caught_up
    if old is not None and (learner.voter or _leaves_first(departure, old, is_ready)):
        return Success(_replace_member(members, old, learner))
    if current is None:
        place = Place.ADDED if departure is None else Place.NONE
        return Success((*members, learner._replace(place=place)))
    if current.voter:
        return Success(None)
    if not is_ready:
        return Success(tuple(members))
    return Success(_set_member(members, current._replace(voter=True, place=Place.NONE)))


def _leaves_first(departure: Departure | None, old: Member, is_ready: bool) -> bool:
    """Return whether a member is to be removed before its successor votes."""
    match departure:
        case Gone():
            return True
        case Silent():
            return is_ready or not old.voter
        case _:
            return False


def _replace_member(
    members: Sequence[Member], old: Member, successor: Member
) -> tuple[Member, ...]:
    """Return the members without one, and with the replica that fills its place."""
    if not successor.voter:
        place = Place.VACATED if old.voter else old.place
        successor = successor._replace(place=max(place, successor.place))
    return _set_member([member for member in members if member != old], successor)


def _set_member(members: Sequence[Member], changed: Member) -> tuple[Member, ...]:
    """Return the members with one of them added or changed."""
    if changed.replica_id not in {member.replica_id for member in members}:
        return (*members, changed)
    return tuple(
        changed if member.replica_id == changed.replica_id else member
        for member in members
    )
