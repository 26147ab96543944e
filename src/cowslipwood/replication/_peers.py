"""Connections that a replica opens to other replicas."""

from typing import Any

import anyio
import anyio.abc
from returns.result import Failure as Err
from returns.result import Result

from ..kernel.channel import Channel, open_channel
from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.messages import Hello, Welcome
from ..kernel.settings import parse_address
from ._messages import IdentityQuery

__all__ = ["PeerLink", "PeerLinks"]

# Time without a message after which a connection is closed, in ms.
IDLE_TIMEOUT_MS = 10_000
# Time limit for the peer's welcome after a connection is opened, in ms.
WELCOME_TIMEOUT_MS = 1_000
# Delay before a connection that failed or ended is opened again, in ms.
RECONNECT_DELAY_MS = 50
# Interval of keep-alive requests, in ms; well below the idle time-out.
KEEP_ALIVE_INTERVAL_MS = 3_000

# Time after which a connection that nobody has asked for is closed, in ms. Members are
# asked for several times in this time; other addresses belong to former members or
# former seeds.
UNUSED_LINK_TIMEOUT_MS = 10_000


async def _discard_message(message: Any) -> None:
    """Discard a message that a peer sends on a connection that it did not open."""


class PeerLink:
    """Connection to one replica, reopened whenever it ends.

    Parameters
    ----------
    addr : str
        ``ip:port``.
    hello : Hello
        First message on each connection, with this replica's identity and token.
    """

    def __init__(self, addr: str, hello: Hello):
        self._addr = addr
        self._hello = hello
        self._channel: Channel | None = None
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Connect, and reconnect after each failure, until stopped or cancelled."""
        with self._scope:
            while True:
                open_result = await open_channel(
                    *parse_address(self._addr), IDLE_TIMEOUT_MS
                )
                if not isinstance(open_result, Err):
                    await self._serve_channel(open_result.unwrap())
                await anyio.sleep(RECONNECT_DELAY_MS / 1000)

    def stop(self) -> None:
        """Close the connection and open no other."""
        self._scope.cancel()

    async def request(self, message: Any, timeout_ms: float) -> Result[Any, Failure]:
        """Send a request and return the answer; reconnect if none comes in time."""
        channel = self._channel
        if channel is None:
            return Err(failure(Code.PEER_GONE, f"{self._addr} is not connected"))
        result = await channel.request(message, timeout_ms)
        if isinstance(result, Err) and result.failure().code == Code.PEER_SILENT:
            await channel.close(result.failure())
        return result

    async def _serve_channel(self, channel: Channel) -> None:
        try:
            if await self._perform_handshake(channel):
                self._channel = channel
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._keep_alive)
                    await channel.run(_discard_message)
                    tasks.cancel_scope.cancel()
        finally:
            self._channel = None
            await channel.close(failure(Code.PEER_GONE))

    async def _keep_alive(self) -> None:
        """Keep an idle connection open, so that vote requests need not wait for one."""
        while True:
            await anyio.sleep(KEEP_ALIVE_INTERVAL_MS / 1000)
            await self.request(IdentityQuery(self._hello.peer_id, ""), IDLE_TIMEOUT_MS)

    async def _perform_handshake(self, channel: Channel) -> bool:
        await channel.send(self._hello)
        with anyio.move_on_after(WELCOME_TIMEOUT_MS / 1000):
            received = await channel.receive()
            return isinstance(
                received.map(lambda pair: pair[1]).value_or(None), Welcome
            )
        return False


class PeerLinks:
    """One `PeerLink` for each address that is requested now and then.

    Parameters
    ----------
    hello : Hello
    """

    def __init__(self, hello: Hello):
        self._hello = hello
        self._links: dict[str, PeerLink] = {}
        self._requested_at_ms: dict[str, float] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Keep all connections that are in use open until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for link in self._links.values():
                tasks.start_soon(link.run)
            while True:
                await anyio.sleep(UNUSED_LINK_TIMEOUT_MS / 2000)
                self._stop_unused_links(monotonic_ms())

    def get_link(self, addr: str) -> PeerLink:
        """Return the connection to an address; start connecting if it is new.

        The caller keeps the result no longer than `UNUSED_LINK_TIMEOUT_MS`, unless the
        address is that of a member.
        """
        self._requested_at_ms[addr] = monotonic_ms()
        link = self._links.get(addr)
        if link is None:
            link = PeerLink(addr, self._hello)
            self._links[addr] = link
            if self._tasks is not None:
                self._tasks.start_soon(link.run)
        return link

    def _stop_unused_links(self, now_ms: float) -> None:
        for addr, requested_at_ms in list(self._requested_at_ms.items()):
            if now_ms - requested_at_ms > UNUSED_LINK_TIMEOUT_MS:
                self._links.pop(addr).stop()
                del self._requested_at_ms[addr]
