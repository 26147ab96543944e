"""Quorums of voters, and the order of steps in a membership change."""

from collections.abc import Iterable, Mapping, Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ._messages import Member

__all__ = ["compute_next_members", "find_quorum_value", "has_quorum", "list_voter_ids"]


def list_voter_ids(members: Iterable[Member]) -> list[str]:
    """Return the ids of the members that vote."""
    return [member.replica_id for member in members if member.voter]


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
    members: Sequence[Member], old_id: str | None, new: Member, is_caught_up: bool
) -> Result[tuple[Member, ...] | None, Failure]:
    """Return the membership after the next step of adding or replacing a replica.

    Each step changes at most one voter, so that every quorum of one membership
    shares a replica with every quorum of the next.

    Parameters
    ----------
    members : sequence of Member
        The current membership.
    old_id : str or None
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
    if old_id is not None and old_id not in members_by_id and current is None:
        return Err(failure(Code.NO_SUCH_MEMBER, f"no keeper {old_id}"))
    if current is None:
        return Success((*members, new._replace(voter=False)))
    if not current.voter and not is_caught_up:
        return Success(tuple(members))
    if not current.voter:
        promoted = current._replace(voter=True)
        return Success(
            tuple(promoted if member == current else member for member in members)
        )
    if old_id in members_by_id:
        return Success(
            tuple(member for member in members if member.replica_id != old_id)
        )
    return Success(None)
