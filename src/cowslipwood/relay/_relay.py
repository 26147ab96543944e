"""Relay: stands in for a keeper on a host that has no disk.

A relay has no log and never votes. It tells connecting processes the leader's
address, and tells initial members that form a log that it has no disk to take part
with. Keepers send it their addresses, because it has no other source for them when
all addresses in the settings belong to relays.
"""

from typing import Any

import anyio

from ..kernel.byte_budget import CloseRecorder
from ..kernel.channel import (
    MAX_FIRST_FRAME_BYTES,
    Channel,
    serve_channels,
    to_refused,
)
from ..kernel.codes import Code, failure
from ..kernel.keeper_link import KeeperLink
from ..kernel.logs import get_logger
from ..kernel.messages import Ack, Hello, KeepersUpdate, Welcome
from ..kernel.settings import parse_address
from ..kernel.tokens import token_matches
from ..replication import Identity, IdentityQuery

__all__ = ["run_relay"]

# Time without a message after which a connection is closed, in ms. A process that
# learnt the leader's address closes the connection itself; a process that leaves it
# open has stopped.
IDLE_TIMEOUT_MS = 10_000


async def run_relay(
    listen: str,
    keeper_id: str,
    cluster_token: str,
    link: KeeperLink,
    closes: CloseRecorder | None = None,
) -> None:
    """Serve connections of the system's processes until cancelled.

    Parameters
    ----------
    listen : str
        ``ip:port`` to listen on for connections of the system's processes.
    keeper_id : str
        Name of this host among the keepers.
    cluster_token : str
        Token that connecting processes must send.
    link : KeeperLink
        Connection to the leading keeper, which the calling code runs.
    closes : CloseRecorder or None
        Records connections that are closed for others; None only logs them.
    """
    host, port = parse_address(listen)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    get_logger().info("relaying", addr=listen)

    async def serve_channel(channel: Channel) -> None:
        received = await channel.receive(MAX_FIRST_FRAME_BYTES)
        hello = received.map(lambda pair: pair[1]).value_or(None)
        if not isinstance(hello, Hello) or not token_matches(
            cluster_token, hello.token
        ):
            await channel.send(to_refused(failure(Code.BAD_TOKEN)))
            return
        await channel.send(Welcome(keeper_id, link.term, link.leader_addr))
        await channel.run(answer_message)

    async def answer_message(message: Any) -> Any:
        if isinstance(message, IdentityQuery):
            # The initial members agree: a sender with other initial members in its
            # settings could not ask this host.
            return Identity("", listen, False, True)
        if isinstance(message, KeepersUpdate):
            link.keepers.set_members(message.addrs)
            return Ack(0)
        return to_refused(failure(Code.NOT_LEADER), link.leader_addr)

    await serve_channels(listener, IDLE_TIMEOUT_MS, serve_channel, closes)
