"""Connections that a replica opens to the other replicas."""

from typing import Any

import anyio
import anyio.abc
from returns.result import Failure as Err
from returns.result import Result

from ..kernel.channel import Channel, open_channel
from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import Hello, Welcome
from ..kernel.settings import parse_address
from ._messages import IdentityQuery

__all__ = ["PeerLink", "PeerLinks"]

IDLE_TIMEOUT_MS = 10_000
WELCOME_TIMEOUT_MS = 1_000
REDIAL_MS = 50
KEEP_ALIVE_MS = 3_000


async def _ignore(value: Any) -> None:
    """Drop what a peer sends on a connection that it did not open."""


class PeerLink:
    """The connection to one replica.

    Parameters
    ----------
    addr : str
        ``ip:port``.
    hello : Hello
        What this replica says of itself.
    """

    def __init__(self, addr: str, hello: Hello):
        self._addr = addr
        self._hello = hello
        self._channel: Channel | None = None

    async def run(self) -> None:
        """Dial and stay connected until cancelled."""
        while True:
            opened = await open_channel(*parse_address(self._addr), IDLE_TIMEOUT_MS)
            if not isinstance(opened, Err):
                await self._stay(opened.unwrap())
            await anyio.sleep(REDIAL_MS / 1000)

    async def request(self, value: Any, timeout_ms: float) -> Result[Any, Failure]:
        """Ask the peer; a peer that does not answer in time is dialled anew."""
        channel = self._channel
        if channel is None:
            return Err(failure(Code.PEER_GONE, f"{self._addr} is not connected"))
        result = await channel.request(value, timeout_ms)
        if isinstance(result, Err) and result.failure().code == Code.PEER_SILENT:
            await channel.close(result.failure())
        return result

    async def _stay(self, channel: Channel) -> None:
        try:
            if await self._is_welcome(channel):
                self._channel = channel
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._keep_alive)
                    await channel.run(_ignore)
                    tasks.cancel_scope.cancel()
        finally:
            self._channel = None
            await channel.close(failure(Code.PEER_GONE))

    async def _keep_alive(self) -> None:
        """Keep an idle connection open, so that votes find it."""
        while True:
            await anyio.sleep(KEEP_ALIVE_MS / 1000)
            await self.request(IdentityQuery(self._hello.peer_id, ""), IDLE_TIMEOUT_MS)

    async def _is_welcome(self, channel: Channel) -> bool:
        await channel.send(self._hello)
        with anyio.move_on_after(WELCOME_TIMEOUT_MS / 1000):
            received = await channel.receive()
            return isinstance(
                received.map(lambda pair: pair[1]).value_or(None), Welcome
            )
        return False


class PeerLinks:
    """One `PeerLink` for each address that was ever asked for.

    Parameters
    ----------
    hello : Hello
    """

    def __init__(self, hello: Hello):
        self._hello = hello
        self._links: dict[str, PeerLink] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Keep the connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for link in self._links.values():
                tasks.start_soon(link.run)
            await anyio.sleep_forever()

    def link(self, addr: str) -> PeerLink:
        """Return the connection to an address, dialling from now on."""
        link = self._links.get(addr)
        if link is None:
            link = PeerLink(addr, self._hello)
            self._links[addr] = link
            if self._tasks is not None:
                self._tasks.start_soon(link.run)
        return link
