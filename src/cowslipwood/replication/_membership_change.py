"""Adds or replaces members of the log, one committed step at a time."""

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
from ._membership import (
    Answering,
    Departure,
    Gone,
    Silent,
    compute_next_members,
    list_voter_ids,
)
from ._messages import EntryKind, Identity, IdentityQuery, Member, Members
from ._peers import PeerLinks
from ._state import ReplicaState

__all__ = ["MembershipChanger"]

# Time limit for the answer to one identity query, in ms. A running replica answers
# from memory.
IDENTITY_QUERY_TIMEOUT_MS = 300.0
# Time without an answer after which a follower counts as silent, in ms. A follower
# answers a heartbeat several times in this time.
SILENT_AFTER_MS = 500.0
# Time for which a keeper that an operator names is asked for its identity, in ms.
IDENTITY_SEARCH_TIMEOUT_MS = 3_000
# Time that an operator's call waits for the new replica to catch up, in ms.
CATCH_UP_TIMEOUT_MS = 8_000
# Delay between two identity queries or two steps of an operator's call, in ms.
POLL_INTERVAL_MS = 50


class MembershipChanger:
    """Changes the membership on the leader.

    Each step depends on nothing but the members and what is known of their hosts. So a
    change that was left half-done is continued by any later leader, and a host that is
    lost again while it joins delays no other.

    Parameters
    ----------
    state : ReplicaState
    links : PeerLinks
    applier : Applier
    """

    def __init__(self, state: ReplicaState, links: PeerLinks, applier: Applier):
        self._state = state
        self._links = links
        self._applier = applier
        self._lock = anyio.Lock()

    async def advance(
        self, departure: Departure | None, new: Member, now_ms: float
    ) -> Result[tuple[Member, ...] | None, Failure]:
        """Commit the next step of adding or replacing a member.

        Parameters
        ----------
        departure : Answering, Silent, Gone or None
            Member to remove; None to remove none.
        new : Member
            Identity and address of the replica to add. It is asked whether the identity
            is still its own before it becomes a member, or another one is removed as
            gone for it.
        now_ms : float
            The present time on the monotonic clock.

        Returns
        -------
        Result
            The members after the step, the present ones while the new replica catches
            up, None when nothing is left to do. Fails with NO_SUCH_MEMBER,
            MEMBER_CHANGE_BUSY, NOT_LEADER or NO_QUORUM.
        """
        member_ids = {member.replica_id for member in self._state.log.members}
        # An announcement may be older than the process that is at the address now.
        if new.replica_id not in member_ids or isinstance(departure, Gone):
            identified = await self._identify(new)
            if isinstance(identified, Err):
                return identified
            if identified.unwrap().replica_id != new.replica_id:
                return Err(_no_longer_at(new))
        async with self._lock:
            return await self._commit_next(departure, new, now_ms)

    async def change(
        self, old_name_or_id: str | None, new_keeper: Member
    ) -> Result[tuple[Member, ...], Failure]:
        """Add or replace a member and return the new membership.

        A call that ended early is continued by the next call with the same arguments.

        Parameters
        ----------
        old_name_or_id : str or None
            Name or identity of the replica to remove; None to remove none.
        new_keeper : Member
            Name, as `replica_id`, and address of the keeper to add. The keeper itself
            is asked for its identity.

        Returns
        -------
        Result
            Fails with NO_SUCH_MEMBER (also when the new replica loses its disk),
            MEMBER_CHANGE_BUSY, WAIT_TIMEOUT (the new replica is still catching up),
            NOT_LEADER or NO_QUORUM.
        """
        found = await self._find_new_keeper(new_keeper)
        if isinstance(found, Err):
            return found
        new = found.unwrap()
        deadline_ms = monotonic_ms() + CATCH_UP_TIMEOUT_MS
        while True:
            now_ms = monotonic_ms()
            departure = self._find_departure(old_name_or_id, new, now_ms)
            async with self._lock:
                before = self._state.log.members
                step = await self._commit_next(departure, new, now_ms)
            if isinstance(step, Err):
                return step
            if step.unwrap() is None:
                return Success(self._state.log.members)
            if step.unwrap() == before:
                waited = await self._wait_for(new, now_ms, deadline_ms)
                if isinstance(waited, Err):
                    return waited

    async def _wait_for(
        self, new: Member, now_ms: float, deadline_ms: float
    ) -> Result[None, Failure]:
        """Wait a moment for a replica that is catching up, unless that is useless."""
        if now_ms > deadline_ms:
            return Err(failure(Code.WAIT_TIMEOUT, "the new keeper is catching up"))
        if not self._is_answering(new.replica_id, now_ms):
            identity = await self.query_identity(new.addr)
            if identity is not None and identity.replica_id != new.replica_id:
                return Err(_no_longer_at(new))
        await anyio.sleep(POLL_INTERVAL_MS / 1000)
        return Success(None)

    async def _commit_next(
        self, departure: Departure | None, new: Member, now_ms: float
    ) -> Result[tuple[Member, ...] | None, Failure]:
        state = self._state
        leadership = state.leadership
        if not isinstance(leadership, Leadership):
            return Err(failure(Code.NOT_LEADER))
        # A replica that is silent now may have been lost after it had caught up.
        is_caught_up = (
            leadership.match_index(new.replica_id) >= state.commit_index
        ) and self._is_answering(new.replica_id, now_ms)
        next_step = compute_next_members(
            state.log.members, departure, new, is_caught_up
        )
        members = next_step.value_or(None)
        if members is None or members == state.log.members:
            return next_step
        committed = await self._commit_members(leadership, members)
        return committed.map(lambda _: members)

    async def _commit_members(
        self, leadership: Leadership, members: tuple[Member, ...]
    ) -> Result[Any, Failure]:
        """Commit one step of the change.

        Fails with MEMBER_CHANGE_BUSY unless the step before and an entry of the current
        term are committed.
        """
        state = self._state
        is_settled = state.commit_index >= max(
            leadership.first_index, state.log.members_index
        )
        if not is_settled:
            return Err(failure(Code.MEMBER_CHANGE_BUSY, retry_after_ms=1_000))
        index = leadership.append(EntryKind.MEMBERS, encode_record(Members(members)))
        get_logger().info(
            "members_proposed",
            index=index,
            term=leadership.term,
            members=",".join(member.replica_id for member in members),
            voters=",".join(list_voter_ids(members)),
        )
        return await self._applier.wait_for_result(index, leadership.term)

    def _is_answering(self, replica_id: str, now_ms: float) -> bool:
        leadership = self._state.leadership
        if not isinstance(leadership, Leadership) or replica_id == (
            self._state.replica_id
        ):
            return True
        silent_ms = leadership.silent_ms_by_follower(now_ms)
        return silent_ms.get(replica_id, 0.0) < SILENT_AFTER_MS

    def _find_departure(
        self, old_name_or_id: str | None, new: Member, now_ms: float
    ) -> Departure | None:
        """Return the member that an operator names, as far as it is one."""
        if old_name_or_id is None:
            return None
        for member in self._state.log.members:
            names = (member.replica_id, member.name)
            if member.replica_id == new.replica_id or old_name_or_id not in names:
                continue
            if member.addr == new.addr:
                return Gone(member.replica_id)
            if not self._is_answering(member.replica_id, now_ms):
                return Silent(member.replica_id)
            return Answering(member.replica_id)
        return Answering(old_name_or_id)

    async def _find_new_keeper(self, new_keeper: Member) -> Result[Member, Failure]:
        """Ask the new keeper for its identity until it answers, and check it."""
        deadline_ms = monotonic_ms() + IDENTITY_SEARCH_TIMEOUT_MS
        while monotonic_ms() < deadline_ms:
            identity = await self.query_identity(new_keeper.addr)
            if identity is not None:
                return self._check_identity(new_keeper, identity)
            await anyio.sleep(POLL_INTERVAL_MS / 1000)
        return Err(_no_answer_at(new_keeper))

    async def _identify(self, new: Member) -> Result[Member, Failure]:
        """Ask the replica at an address for its identity once, and check it."""
        identity = await self.query_identity(new.addr)
        if identity is None:
            return Err(_no_answer_at(new))
        return self._check_identity(new._replace(replica_id=new.name), identity)

    async def query_identity(self, addr: str) -> Identity | None:
        """Return the identity of the replica at an address; None without an answer."""
        query = IdentityQuery(self._state.replica_id, "")
        result = await self._links.get_link(addr).request(
            query, IDENTITY_QUERY_TIMEOUT_MS
        )
        identity = result.value_or(None)
        return identity if isinstance(identity, Identity) else None

    def _check_identity(
        self, new_keeper: Member, identity: Identity
    ) -> Result[Member, Failure]:
        identified = Member(identity.replica_id, new_keeper.addr, False)
        if identified.name != new_keeper.replica_id:
            message = f"the keeper at {new_keeper.addr} is named {identified.name}"
            return Err(failure(Code.NO_SUCH_MEMBER, message))
        # Identities are random, so a log that names a member is a former state of this
        # one.
        member_ids = {member.replica_id for member in self._state.log.members}
        has_same_log = not member_ids.isdisjoint(identity.member_ids)
        is_known = identified.replica_id in member_ids or has_same_log
        if identity.formed and not is_known:
            message = (
                f"the keeper at {new_keeper.addr} has a log of its own;"
                " empty its folder"
            )
            return Err(failure(Code.NO_SUCH_MEMBER, message))
        return Success(identified)


def _no_answer_at(keeper: Member) -> Failure:
    return failure(Code.NO_SUCH_MEMBER, f"no keeper answers at {keeper.addr}")


def _no_longer_at(keeper: Member) -> Failure:
    message = f"{keeper.replica_id} is no longer at {keeper.addr}"
    return failure(Code.NO_SUCH_MEMBER, message)
