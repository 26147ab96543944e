"""Keeps an agent, entry, relay or operator connected to the leading keeper."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Result

from .channel import Channel, Handler, failure_from_refused, open_channel
from .codes import Code, Failure, failure
from .keeper_addresses import KeeperAddresses
from .logs import get_logger
from .messages import Hello, KeepersUpdate, Refused, Welcome
from .settings import parse_address

__all__ = ["KeeperLink"]

# Time in milliseconds without a message after which the leader counts as lost. It
# is longer than two intervals of the leader's heartbeats and longer than an election
# takes. If the leader's host loses power or network, this timeout is the only sign of
# it.
IDLE_TIMEOUT_MS = 900
# Time in milliseconds between two attempts to connect.
RECONNECT_INTERVAL_MS = 100
# Time in milliseconds after which a caller is told to retry while no leader is
# connected.
RETRY_AFTER_MS = 1_000


class KeeperLink:
    """Finds the leader among the keepers and stays connected to it.

    Parameters
    ----------
    keepers : KeeperAddresses
        Addresses to try; the leader's `KeepersUpdate` sets the members in it.
    hello : Hello
        The first message on each connection, which identifies this process.
    handle : callable
        Coroutine function that is called with each message of the leader that is
        not a reply, except `KeepersUpdate`.
    on_connect : callable
        Coroutine function that is started with the new channel after each
        connection to a leader and cancelled when the connection ends.

    Attributes
    ----------
    keepers : KeeperAddresses
    leader_addr : str
        Address of the connected leader; empty while none is connected.
    term : int
        Term of the leader that was connected last.
    token_refusal : Failure or None
        The failure with which a keeper refused this process's token; None when none
        did.
    """

    def __init__(
        self,
        keepers: KeeperAddresses,
        hello: Hello,
        handle: Handler,
        on_connect: Callable[[Channel], Awaitable[None]] | None = None,
    ):
        self.keepers = keepers
        self._hello = hello
        self._handle = handle
        self._on_connect = on_connect
        self._channel: Channel | None = None
        self.leader_addr = ""
        self.term = 0
        self.token_refusal: Failure | None = None

    @property
    def is_connected(self) -> bool:
        """Whether a leader is connected at present."""
        return self._channel is not None

    async def run(self) -> None:
        """Connect to the leader, and reconnect after each loss, without end.

        The addresses are tried in turn. A keeper that is not the leader names the
        leader's address, which is tried next.
        """
        n_attempts = 0
        while True:
            if addrs := self.keepers.list_in_order():
                await self._try(addrs[n_attempts % len(addrs)])
            n_attempts += 1
            await anyio.sleep(RECONNECT_INTERVAL_MS / 1000)

    async def request(self, value: Any, timeout_ms: float) -> Result[Any, Failure]:
        """Send a request to the leader and wait for its reply.

        Fails with NO_QUORUM when no leader is connected, and as `Channel.request`
        does. A NOT_LEADER refusal closes the connection, so that the next one is
        made to the new leader.
        """
        channel = self._channel
        if channel is None:
            return Err(
                Failure(
                    Code.NO_QUORUM, "no leading keeper is connected", RETRY_AFTER_MS
                )
            )
        result = await channel.request(value, timeout_ms)
        if isinstance(result, Err) and result.failure().code == Code.NOT_LEADER:
            await channel.close(result.failure())
        return result

    async def send(self, value: Any) -> None:
        """Send a one-way message; discard it when no leader is connected."""
        if self._channel is not None:
            await self._channel.send(value)

    async def _try(self, addr: str) -> None:
        """Connect to the leader, found through the keeper at an address."""
        leader_addr = await self._connect(addr)
        if leader_addr and leader_addr != addr:
            await self._connect(leader_addr)

    async def _connect(self, addr: str) -> str:
        """Connect to a keeper and, if it leads, serve the connection to its end.

        Returns
        -------
        str
            Address of the leader if another keeper leads; else an empty string.
        """
        opened = await open_channel(*parse_address(addr), IDLE_TIMEOUT_MS)
        if isinstance(opened, Err):
            return ""
        channel = opened.unwrap()
        welcomed = await _exchange_hello(channel, self._hello)
        if isinstance(welcomed, Err):
            fault = welcomed.failure()
            if fault.code == Code.BAD_TOKEN:
                self.token_refusal = fault
                get_logger().error("keeper_refused", code=fault.code.value)
            await channel.close(fault)
            return ""
        welcome = welcomed.unwrap()
        if welcome.leader_addr != addr:
            await channel.close(failure(Code.NOT_LEADER))
            return welcome.leader_addr
        await self._serve_channel(channel, welcome)
        return ""

    async def _on_message(self, value: Any) -> Any:
        if isinstance(value, KeepersUpdate):
            self.keepers.set_members(value.addrs)
            return None
        return await self._handle(value)

    async def _serve_channel(self, channel: Channel, welcome: Welcome) -> None:
        self.term = welcome.term
        self.leader_addr = welcome.leader_addr
        self._channel = channel
        log = get_logger()
        log.info("keeper_connected", keeper=welcome.keeper_id, term=welcome.term)
        try:
            async with anyio.create_task_group() as tasks:
                if self._on_connect is not None:
                    tasks.start_soon(self._on_connect, channel)
                reason = await channel.run(self._on_message)
                tasks.cancel_scope.cancel()
        finally:
            self._channel = None
            self.leader_addr = ""
        log.info("keeper_lost", code=reason.code.value, reason=reason.code.name)


async def _exchange_hello(channel: Channel, hello: Hello) -> Result[Welcome, Failure]:
    sent = await channel.send(hello)
    if isinstance(sent, Err):
        return sent
    return (await channel.receive()).bind(_welcome_from_message)


def _welcome_from_message(received: tuple[Any, Any]) -> Result[Welcome, Failure]:
    _, value = received
    match value:
        case Welcome():
            return Result.from_value(value)
        case Refused():
            return Err(failure_from_refused(value))
        case _:
            return Err(failure(Code.BAD_MESSAGE, "expected Welcome"))
