"""The connection that an agent, entry or operator keeps to the leading keeper."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from returns.result import Failure as Err
from returns.result import Result

from .channel import Channel, Handler, failure_from_refused, open_channel
from .codes import Code, Failure, failure
from .logs import get_logger
from .messages import Hello, KeepersUpdate, Refused, Welcome
from .settings import parse_address

__all__ = ["KeeperLink"]

# Longer than two of the leader's heartbeats, and than an election takes; a leader
# whose host went dark is noticed by this alone.
IDLE_TIMEOUT_MS = 900
REDIAL_MS = 100
RETRY_AFTER_MS = 1_000


class KeeperLink:
    """Finds the leader among the keepers and stays connected to it.

    Parameters
    ----------
    keepers : str
        Comma-separated ``ip:port`` of the keepers.
    hello : Hello
        What this process says of itself.
    handle : callable
        Gets each message that the keeper sends of its own accord.
    on_connect : callable
        Called, with the new channel, after each connection to a leader.

    Attributes
    ----------
    leader_addr : str
        Where the leader is that is connected; empty while none is.
    term : int
        Term of the leader that was connected last.
    refusal : Failure or None
        Why a keeper refused this process; None while none has.
    """

    def __init__(
        self,
        keepers: str,
        hello: Hello,
        handle: Handler,
        on_connect: Callable[[Channel], Awaitable[None]] | None = None,
    ):
        self._configured = keepers.split(",")
        self._learned: tuple[str, ...] = ()
        self._hello = hello
        self._handle = handle
        self._on_connect = on_connect
        self._channel: Channel | None = None
        self.leader_addr = ""
        self.term = 0
        self.refusal: Failure | None = None

    @property
    def connected(self) -> bool:
        """Whether a leader is connected now."""
        return self._channel is not None

    async def run(self) -> None:
        """Dial for as long as the process runs."""
        turn = 0
        while True:
            addresses = [*dict.fromkeys([*self._learned, *self._configured])]
            address = addresses[turn % len(addresses)]
            turn += 1
            hint = await self._dial(address)
            if hint and hint != address:
                await self._dial(hint)
            await anyio.sleep(REDIAL_MS / 1000)

    def use_keepers(self, keepers: str) -> None:
        """Replace the configured addresses, after a reload of the settings."""
        self._configured = keepers.split(",")

    def learn_keepers(self, addrs: tuple[str, ...]) -> None:
        """Take in where the keepers are, beside the configured addresses."""
        self._learned = addrs

    async def request(self, value: Any, timeout_ms: float) -> Result[Any, Failure]:
        """Ask the leader; fails with NO_QUORUM when none is connected.

        A NOT_LEADER refusal drops the connection, so that the next one finds
        the new leader.
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
        """Send a one-way message, or drop it when no leader is connected."""
        if self._channel is not None:
            await self._channel.send(value)

    async def _dial(self, address: str) -> str:
        """Connect and stay; return the leader's address when it is elsewhere."""
        opened = await open_channel(*parse_address(address), IDLE_TIMEOUT_MS)
        if isinstance(opened, Err):
            return ""
        channel = opened.unwrap()
        welcomed = await _say_hello(channel, self._hello)
        if isinstance(welcomed, Err):
            fault = welcomed.failure()
            if fault.code == Code.BAD_TOKEN:
                self.refusal = fault
                get_logger().error("keeper_refused", code=fault.code.value)
            await channel.close(fault)
            return ""
        welcome = welcomed.unwrap()
        if welcome.leader_addr != address:
            await channel.close(failure(Code.NOT_LEADER))
            return welcome.leader_addr
        await self._stay(channel, welcome)
        return ""

    async def _on_message(self, value: Any) -> Any:
        if isinstance(value, KeepersUpdate):
            self.learn_keepers(value.addrs)
            return None
        return await self._handle(value)

    async def _stay(self, channel: Channel, welcome: Welcome) -> None:
        self.term = welcome.term
        self.leader_addr = welcome.leader_addr
        self._channel = channel
        log = get_logger()
        log.info("keeper_connected", keeper=welcome.keeper_id, term=welcome.term)
        try:
            async with anyio.create_task_group() as tasks:
                if self._on_connect is not None:
                    tasks.start_soon(self._on_connect, channel)
                why = await channel.run(self._on_message)
                tasks.cancel_scope.cancel()
        finally:
            self._channel = None
            self.leader_addr = ""
        log.info("keeper_lost", code=why.code.value, reason=why.code.name)


async def _say_hello(channel: Channel, hello: Hello) -> Result[Welcome, Failure]:
    sent = await channel.send(hello)
    if isinstance(sent, Err):
        return sent
    return (await channel.receive()).bind(_as_welcome)


def _as_welcome(received: tuple[Any, Any]) -> Result[Welcome, Failure]:
    _, value = received
    match value:
        case Welcome():
            return Result.from_value(value)
        case Refused():
            return Err(failure_from_refused(value))
        case _:
            return Err(failure(Code.BAD_MESSAGE, "expected Welcome"))
