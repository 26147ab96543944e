"""Begins a new log, once, when every initial member has an empty disk or none.

A replica whose disk was lost is a new replica. It begins no log, because
another initial member answers that it holds a log or voted in one; and nobody
asks it to vote, because votes are asked of replicas by their identity.
"""

from collections.abc import Mapping

import anyio

from ..kernel.logs import get_logger
from ._log import members_entry
from ._messages import Identity, IdentityQuery, Member
from ._peers import PeerLinks
from ._state import ReplicaState

__all__ = ["canonical_peers", "form_log"]

QUERY_TIMEOUT_MS = 1_000
PAUSE_MS = 100
_FIRST_INDEX = 1
_FIRST_TERM = 0


def canonical_peers(peers: Mapping[str, str]) -> str:
    """Return the initial members in an order that all replicas share."""
    return ",".join(f"{name}={addr}" for name, addr in sorted(peers.items()))


async def form_log(
    state: ReplicaState, links: PeerLinks, name: str, peers: Mapping[str, str]
) -> None:
    """Return once the log has begun, here or through another replica.

    Parameters
    ----------
    state : ReplicaState
    links : PeerLinks
    name : str
        This keeper's name.
    peers : mapping of str to str
        ``ip:port`` of each initial member by name.
    """
    is_logged = False
    while not state.formed:
        identities = await _ask_all(state, links, name, peers)
        if any(identity.formed for identity in identities):
            if not is_logged:
                get_logger().info("waiting_to_join", replica=state.replica_id)
            is_logged = True
        elif peers and _all_agree(identities, peers) and _is_first(name, identities):
            await _begin(state, identities)
        await anyio.sleep(PAUSE_MS / 1000)


def _all_agree(identities: list[Identity], peers: Mapping[str, str]) -> bool:
    agreeing = [identity for identity in identities if identity.peers_agree]
    return len(agreeing) == len(peers)


def _is_first(name: str, identities: list[Identity]) -> bool:
    """Return whether a replica is the first by name of those that have a disk."""
    return name == min(member.name for member in _founders(identities))


def _founders(identities: list[Identity]) -> list[Member]:
    return [Member(i.replica_id, i.addr, True) for i in identities if i.replica_id]


async def _ask_all(
    state: ReplicaState, links: PeerLinks, name: str, peers: Mapping[str, str]
) -> list[Identity]:
    query = IdentityQuery(state.replica_id, canonical_peers(peers))
    identities = []
    if name in peers:
        own = Identity(state.replica_id, peers[name], state.has_taken_part, True)
        identities.append(own)

    async def ask(addr: str) -> None:
        result = await links.link(addr).request(query, QUERY_TIMEOUT_MS)
        identity = result.value_or(None)
        if isinstance(identity, Identity):
            identities.append(identity)

    async with anyio.create_task_group() as tasks:
        for peer, addr in peers.items():
            if peer != name:
                tasks.start_soon(ask, addr)
    return identities


async def _begin(state: ReplicaState, identities: list[Identity]) -> None:
    # The leader of another log may have reached this replica in the meantime.
    if state.formed:
        return
    members = sorted(_founders(identities))
    state.log.append([members_entry(_FIRST_INDEX, _FIRST_TERM, members)])
    await state.log.sync(_FIRST_INDEX)
    await state.note_log()
    state.changed.notify()
    get_logger().info("log_begun", members=len(members))
