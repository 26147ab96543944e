"""Adds or replaces a member, one committed step at a time."""

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
from ._membership import next_members
from ._messages import EntryKind, Identity, IdentityQuery, Member, Members
from ._peers import PeerLinks
from ._state import ReplicaState

__all__ = ["change_members"]

QUERY_TIMEOUT_MS = 1_000
FIND_TIMEOUT_MS = 3_000
CATCH_UP_TIMEOUT_MS = 8_000
PAUSE_MS = 50


async def change_members(
    state: ReplicaState,
    links: PeerLinks,
    applier: Applier,
    old: str | None,
    new: Member,
) -> Result[tuple[Member, ...], Failure]:
    """Add a member, or replace one by it, and return the new membership.

    A call that was cut short is taken up again by the next one.

    Parameters
    ----------
    state : ReplicaState
    links : PeerLinks
    applier : Applier
    old : str or None
        Name or identity of the replica that leaves; None when none does.
    new : Member
        Name and address of the one that comes; the identity is asked for.

    Returns
    -------
    Result
        Fails with NO_SUCH_MEMBER, MEMBER_CHANGE_BUSY, WAIT_TIMEOUT (the
        new replica is still catching up), NOT_LEADER or NO_QUORUM.
    """
    found = await _find(state, links, new)
    if isinstance(found, Err):
        return found
    successor = found.unwrap()
    old_id = _identity_of(state, old, successor.replica_id)
    deadline_ms = monotonic_ms() + CATCH_UP_TIMEOUT_MS
    while True:
        leading = state.leading
        if not isinstance(leading, Leadership):
            return Err(failure(Code.NOT_LEADER))
        caught_up = leading.match_index(successor.replica_id) >= state.commit_index
        step = next_members(state.log.members, old_id, successor, caught_up)
        if isinstance(step, Err):
            return step
        members = step.unwrap()
        if members is None:
            return Success(state.log.members)
        if members != state.log.members:
            changed = await _change(state, leading, applier, members)
            if isinstance(changed, Err):
                return changed
        elif monotonic_ms() > deadline_ms:
            return Err(failure(Code.WAIT_TIMEOUT, "the new keeper is catching up"))
        else:
            await anyio.sleep(PAUSE_MS / 1000)


async def _change(
    state: ReplicaState,
    leading: Leadership,
    applier: Applier,
    members: tuple[Member, ...],
) -> Result[Any, Failure]:
    """Commit one step, if the one before and an entry of this term are committed."""
    is_settled = state.commit_index >= max(leading.first_index, state.log.members_index)
    if not is_settled:
        return Err(failure(Code.MEMBER_CHANGE_BUSY, retry_after_ms=1_000))
    payload = encode_record(Members(members))
    index = leading.append(EntryKind.MEMBERS, payload)
    get_logger().info(
        "members_proposed",
        index=index,
        term=leading.term,
        members=",".join(m.replica_id for m in members),
    )
    return await applier.result(index, leading.term)


async def _find(
    state: ReplicaState, links: PeerLinks, new: Member
) -> Result[Member, Failure]:
    """Ask the successor for its identity."""
    deadline_ms = monotonic_ms() + FIND_TIMEOUT_MS
    query = IdentityQuery(state.replica_id, "")
    while monotonic_ms() < deadline_ms:
        result = await links.link(new.addr).request(query, QUERY_TIMEOUT_MS)
        identity = result.value_or(None)
        if isinstance(identity, Identity):
            return _check_identity(state, new, identity)
        await anyio.sleep(PAUSE_MS / 1000)
    return Err(failure(Code.NO_SUCH_MEMBER, f"no keeper answers at {new.addr}"))


def _check_identity(
    state: ReplicaState, new: Member, identity: Identity
) -> Result[Member, Failure]:
    found = Member(identity.replica_id, new.addr, False)
    if found.name != new.replica_id:
        wrong = f"the keeper at {new.addr} is named {found.name}"
        return Err(failure(Code.NO_SUCH_MEMBER, wrong))
    is_member = any(m.replica_id == found.replica_id for m in state.log.members)
    if identity.formed and not is_member:
        wrong = f"the keeper at {new.addr} has a log of its own; empty its folder"
        return Err(failure(Code.NO_SUCH_MEMBER, wrong))
    return Success(found)


def _identity_of(state: ReplicaState, old: str | None, successor_id: str) -> str | None:
    """Return the identity of the member that leaves, given its name or identity."""
    for member in state.log.members:
        if member.replica_id != successor_id and old in (
            member.replica_id,
            member.name,
        ):
            return member.replica_id
    return old
