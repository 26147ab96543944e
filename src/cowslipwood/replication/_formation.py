"""Creates the log once, when every initial member has an empty disk or none.

A replica whose disk was lost counts as a new replica. It creates no log, because
another initial member answers that it has a log or has voted in one. It gets no
vote request either, because vote requests are addressed to a replica's identity.

An initial member whose process ended before the log was created does not know the
initial members any more. It agrees with the others, and the first by name of those that
know them creates the log. `spec/formation.py` is a model of this protocol.
"""

from collections.abc import Mapping

import anyio

from ..kernel.logs import get_logger
from ._log import make_members_entry
from ._messages import Identity, IdentityQuery, Member
from ._peers import PeerLinks
from ._state import ReplicaState

__all__ = ["encode_peers", "form_log"]

# Time limit for the answer to one identity query, in ms.
IDENTITY_QUERY_TIMEOUT_MS = 1_000
# Delay between two rounds of identity queries, in ms.
QUERY_INTERVAL_MS = 100
# Index of the entry that sets the initial membership.
_FIRST_INDEX = 1
# Term of the entry that sets the initial membership; elections start with term 1.
_FIRST_TERM = 0


def encode_peers(peers: Mapping[str, str]) -> str:
    """Return the initial members as one text, in the same order on all replicas."""
    return ",".join(f"{name}={addr}" for name, addr in sorted(peers.items()))


async def form_log(
    state: ReplicaState, links: PeerLinks, name: str, peers: Mapping[str, str]
) -> None:
    """Return once the log exists, created here or received from another replica.

    Parameters
    ----------
    state : ReplicaState
    links : PeerLinks
    name : str
        This keeper's name.
    peers : mapping of str to str
        ``ip:port`` of each initial member by name.
    """
    is_waiting_logged = False
    was_founder = False
    while not state.has_log_entries:
        identities = await _query_identities(state, links, name, peers)
        if any(identity.formed for identity in identities):
            if not is_waiting_logged:
                get_logger().info("waiting_to_join", replica=state.replica_id)
            is_waiting_logged = True
            was_founder = False
        else:
            is_founder = (
                bool(peers)
                and _is_agreed_by_all(identities, peers)
                and _is_first(name, _list_able(identities))
            )
            # A member before this one may have created the log and lost it with its
            # disk after others had answered. They answer again after it did.
            if is_founder and (was_founder or _is_first(name, identities)):
                await _create_log(state, identities)
            was_founder = is_founder
        await anyio.sleep(QUERY_INTERVAL_MS / 1000)


def _is_agreed_by_all(identities: list[Identity], peers: Mapping[str, str]) -> bool:
    agreeing_identities = [
        identity
        for identity in identities
        if identity.peers_agree or identity.has_no_peers
    ]
    return len(agreeing_identities) == len(peers)


def _list_able(identities: list[Identity]) -> list[Identity]:
    """Return the replicas that know the initial members and can create the log."""
    return [identity for identity in identities if not identity.has_no_peers]


def _is_first(name: str, identities: list[Identity]) -> bool:
    """Return whether a keeper is the first by name of those that have a disk."""
    names = (member.name for member in _list_founders(identities))
    return name == min(names, default=None)


def _list_founders(identities: list[Identity]) -> list[Member]:
    return [
        Member(identity.replica_id, identity.addr, True)
        for identity in identities
        if identity.replica_id
    ]


async def _query_identities(
    state: ReplicaState, links: PeerLinks, name: str, peers: Mapping[str, str]
) -> list[Identity]:
    query = IdentityQuery(state.replica_id, encode_peers(peers))
    identities = []
    if name in peers:
        own_identity = Identity(
            state.replica_id, peers[name], state.has_taken_part, True
        )
        identities.append(own_identity)

    async def query_identity(addr: str) -> None:
        result = await links.get_link(addr).request(query, IDENTITY_QUERY_TIMEOUT_MS)
        identity = result.value_or(None)
        if isinstance(identity, Identity):
            identities.append(identity)

    async with anyio.create_task_group() as tasks:
        for peer_name, addr in peers.items():
            if peer_name != name:
                tasks.start_soon(query_identity, addr)
    return identities


async def _create_log(state: ReplicaState, identities: list[Identity]) -> None:
    # A leader may have sent its log to this replica since the identity queries.
    if state.has_log_entries:
        return
    members = sorted(_list_founders(identities))
    state.log.append([make_members_entry(_FIRST_INDEX, _FIRST_TERM, members)])
    await state.log.sync(_FIRST_INDEX)
    await state.record_log_exists()
    state.changed.notify()
    get_logger().info("log_begun", members=len(members))
