"""Answers what a keeper without a disk can answer.

It holds no log and never votes. Processes that dial it are told where the leader
is, and initial members that form a log are told not to count on it. Keepers tell it
who they are: where all that the settings name are relays, nobody else would.
"""

from typing import Any

import anyio

from ..kernel.channel import Channel, as_refused, serve_channels
from ..kernel.codes import Code, failure
from ..kernel.keeper_link import KeeperLink
from ..kernel.logs import get_logger
from ..kernel.messages import Ack, Hello, KeepersUpdate, Welcome
from ..kernel.settings import parse_address
from ..kernel.tokens import token_matches
from ..replication import Identity, IdentityQuery

__all__ = ["run_relay"]

# A process that was told of the leader closes the connection; one that does not
# has stopped.
IDLE_TIMEOUT_MS = 10_000


async def run_relay(
    listen: str, keeper_id: str, cluster_token: str, link: KeeperLink
) -> None:
    """Answer until cancelled.

    Parameters
    ----------
    listen : str
        ip:port for the system's own connections.
    keeper_id : str
        Name of this host among the keepers.
    cluster_token : str
        Token that peers have to give.
    link : KeeperLink
        Connection to the leading keeper, run by the caller.
    """
    host, port = parse_address(listen)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    get_logger().info("relaying", addr=listen)

    async def serve(channel: Channel) -> None:
        received = await channel.receive()
        hello = received.map(lambda pair: pair[1]).value_or(None)
        if not isinstance(hello, Hello) or not token_matches(
            cluster_token, hello.token
        ):
            await channel.send(as_refused(failure(Code.BAD_TOKEN)))
            return
        await channel.send(Welcome(keeper_id, link.term, link.leader_addr))
        await channel.run(answer)

    async def answer(value: Any) -> Any:
        if isinstance(value, IdentityQuery):
            # Both sides were given the same initial members, or it could not ask.
            return Identity("", listen, False, True)
        if isinstance(value, KeepersUpdate):
            link.set_announced_keepers(value.addrs)
            return Ack(0)
        return as_refused(failure(Code.NOT_LEADER), link.leader_addr)

    await serve_channels(listener, IDLE_TIMEOUT_MS, serve)
