"""Quorums, and which change of the membership may follow which."""

from collections.abc import Iterable, Mapping, Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ._messages import Member

__all__ = ["has_quorum", "next_members", "quorum_value", "voters"]


def voters(members: Iterable[Member]) -> list[str]:
    """Return the ids of the members that vote."""
    return [member.replica_id for member in members if member.voter]


def has_quorum(members: Iterable[Member], replica_ids: Iterable[str]) -> bool:
    """Return whether the replicas are more than half of the voters."""
    voting = set(voters(members))
    return 2 * len(voting.intersection(replica_ids)) > len(voting)


def quorum_value(members: Iterable[Member], values: Mapping[str, float]) -> float:
    """Return the largest value that a quorum of voters has reached."""
    reached = sorted(values.get(replica_id, 0) for replica_id in voters(members))
    if not reached:
        return 0
    return reached[(len(reached) - 1) // 2]


def next_members(
    members: Sequence[Member], old_id: str | None, new: Member, is_caught_up: bool
) -> Result[tuple[Member, ...] | None, Failure]:
    """Return the next membership on the way to adding a replica or replacing one.

    Each step changes one voter at most, so that every quorum of one membership
    shares a replica with every quorum of the next.

    Parameters
    ----------
    members : sequence of Member
        The present membership.
    old_id : str or None
        Replica that leaves; None when the new one is added.
    new : Member
        Replica that comes.
    is_caught_up : bool
        Whether the new replica holds every committed entry.

    Returns
    -------
    Result
        None when nothing is left to do; the present membership while the new
        replica has to catch up. Fails with NO_SUCH_MEMBER.
    """
    by_id = {member.replica_id: member for member in members}
    held = by_id.get(new.replica_id)
    if old_id is not None and old_id not in by_id and held is None:
        return Err(failure(Code.NO_SUCH_MEMBER, f"no keeper {old_id}"))
    if held is None:
        return Success((*members, new._replace(voter=False)))
    if not held.voter and not is_caught_up:
        return Success(tuple(members))
    if not held.voter:
        promoted = held._replace(voter=True)
        return Success(tuple(promoted if m == held else m for m in members))
    if old_id in by_id:
        return Success(tuple(m for m in members if m.replica_id != old_id))
    return Success(None)
