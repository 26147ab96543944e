"""Adds or replaces a member of the log, one committed step at a time."""

from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.logs import get_logger
from ..kernel.wire import encode_record
from ._applier import Applier
from ._leader import Leadership
from ._membership import compute_next_members
from ._messages import EntryKind, Identity, IdentityQuery, Member, Members
from ._peers import PeerLinks
from ._state import ReplicaState

__all__ = ["change_membership"]

# Time limit for the answer to one identity query, in ms.
IDENTITY_QUERY_TIMEOUT_MS = 1_000
# Time after which no further identity query is sent to a new keeper, in ms.
IDENTITY_SEARCH_TIMEOUT_MS = 3_000
# Time that one call waits for the new replica to catch up, in ms.
CATCH_UP_TIMEOUT_MS = 8_000
# Delay between two identity queries or two checks of the new replica's log, in ms.
POLL_INTERVAL_MS = 50


async def change_membership(
    state: ReplicaState,
    links: PeerLinks,
    applier: Applier,
    old_name_or_id: str | None,
    new_keeper: Member,
) -> Result[tuple[Member, ...], Failure]:
    """Add or replace a member and return the new membership.

    A call that ended early is continued by the next call with the same arguments.

    Parameters
    ----------
    state : ReplicaState
    links : PeerLinks
    applier : Applier
    old_name_or_id : str or None
        Name or identity of the replica to remove; None to remove none.
    new_keeper : Member
        Name, as `replica_id`, and address of the keeper to add. The keeper itself is
        asked for its identity.

    Returns
    -------
    Result
        Fails with NO_SUCH_MEMBER, MEMBER_CHANGE_BUSY, WAIT_TIMEOUT (the
        new replica is still catching up), NOT_LEADER or NO_QUORUM.
    """
    identified = await _identify_new_member(state, links, new_keeper)
    if isinstance(identified, Err):
        return identified
    new_member = identified.unwrap()
    old_id = _find_old_id(state, old_name_or_id, new_member.replica_id)
    deadline_ms = monotonic_ms() + CATCH_UP_TIMEOUT_MS
    while True:
        leadership = state.leadership
        if not isinstance(leadership, Leadership):
            return Err(failure(Code.NOT_LEADER))
        is_caught_up = (
            leadership.match_index(new_member.replica_id) >= state.commit_index
        )
        next_step = compute_next_members(
            state.log.members, old_id, new_member, is_caught_up
        )
        if isinstance(next_step, Err):
            return next_step
        members = next_step.unwrap()
        if members is None:
            return Success(state.log.members)
        if members != state.log.members:
            commit_result = await _commit_membership(
                state, leadership, applier, members
            )
            if isinstance(commit_result, Err):
                return commit_result
        elif monotonic_ms() > deadline_ms:
            return Err(failure(Code.WAIT_TIMEOUT, "the new keeper is catching up"))
        else:
            await anyio.sleep(POLL_INTERVAL_MS / 1000)


async def _commit_membership(
    state: ReplicaState,
    leadership: Leadership,
    applier: Applier,
    members: tuple[Member, ...],
) -> Result[Any, Failure]:
    """Commit one step of the change.

    Fails with MEMBER_CHANGE_BUSY unless the step before and an entry of the current
    term are committed.
    """
    is_settled = state.commit_index >= max(
        leadership.first_index, state.log.members_index
    )
    if not is_settled:
        return Err(failure(Code.MEMBER_CHANGE_BUSY, retry_after_ms=1_000))
    payload = encode_record(Members(members))
    index = leadership.append(EntryKind.MEMBERS, payload)
    get_logger().info(
        "members_proposed",
        index=index,
        term=leadership.term,
        members=",".join(member.replica_id for member in members),
    )
    return await applier.wait_for_result(index, leadership.term)


async def _identify_new_member(
    state: ReplicaState, links: PeerLinks, new_keeper: Member
) -> Result[Member, Failure]:
    """Ask the new keeper for its identity and check it."""
    deadline_ms = monotonic_ms() + IDENTITY_SEARCH_TIMEOUT_MS
    query = IdentityQuery(state.replica_id, "")
    while monotonic_ms() < deadline_ms:
        result = await links.get_link(new_keeper.addr).request(
            query, IDENTITY_QUERY_TIMEOUT_MS
        )
        identity = result.value_or(None)
        if isinstance(identity, Identity):
            return _check_identity(state, new_keeper, identity)
        await anyio.sleep(POLL_INTERVAL_MS / 1000)
    return Err(failure(Code.NO_SUCH_MEMBER, f"no keeper answers at {new_keeper.addr}"))


def _check_identity(
    state: ReplicaState, new_keeper: Member, identity: Identity
) -> Result[Member, Failure]:
    identified = Member(identity.replica_id, new_keeper.addr, False)
    if identified.name != new_keeper.replica_id:
        message = f"the keeper at {new_keeper.addr} is named {identified.name}"
        return Err(failure(Code.NO_SUCH_MEMBER, message))
    # Identities are random, so a log that names a member is a former state of this one.
    member_ids = {member.replica_id for member in state.log.members}
    has_same_log = not member_ids.isdisjoint(identity.member_ids)
    is_known = identified.replica_id in member_ids or has_same_log
    if identity.formed and not is_known:
        message = (
            f"the keeper at {new_keeper.addr} has a log of its own; empty its folder"
        )
        return Err(failure(Code.NO_SUCH_MEMBER, message))
    return Success(identified)


def _find_old_id(
    state: ReplicaState, old_name_or_id: str | None, new_id: str
) -> str | None:
    """Return the identity of the member to remove, given its name or identity."""
    for member in state.log.members:
        if member.replica_id != new_id and old_name_or_id in (
            member.replica_id,
            member.name,
        ):
            return member.replica_id
    return old_name_or_id
