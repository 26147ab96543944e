"""Limits on connections between processes whose peers have sent no message yet."""

import contextlib
import unittest
from collections.abc import AsyncIterator
from unittest import mock

import anyio

from cowslipwood.kernel import channel as channel_module
from cowslipwood.kernel.byte_budget import CloseRecorder
from cowslipwood.kernel.channel import (
    MAX_FIRST_FRAME_BYTES,
    Channel,
    open_channel,
    serve_channels,
)
from cowslipwood.kernel.codes import Code, failure
from cowslipwood.kernel.messages import Ack, Hello
from cowslipwood.kernel.metrics import Metrics

from .processes import DEFAULT_TIMEOUT_S

MAX_CONNECTIONS = 3
IDLE_TIMEOUT_MS = DEFAULT_TIMEOUT_S * 1_000
HELLO = Hello("agent", "s1", "i1", "z", "t")


@contextlib.asynccontextmanager
async def serve(metrics: Metrics) -> AsyncIterator[int]:
    """Yield the port of a listener with few connections that answers a `Hello`."""

    async def serve_channel(channel: Channel) -> None:
        received = await channel.receive(MAX_FIRST_FRAME_BYTES)
        if received.map(lambda pair: isinstance(pair[1], Hello)).value_or(False):
            await channel.send(Ack(7))
            await channel.receive()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    with mock.patch.object(
        channel_module, "compute_max_connections", return_value=MAX_CONNECTIONS
    ):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                serve_channels,
                listener,
                IDLE_TIMEOUT_MS,
                serve_channel,
                CloseRecorder(metrics),
            )
            await anyio.sleep(0)
            yield port
            tasks.cancel_scope.cancel()


async def connect(port: int) -> Channel:
    """Return a connection to the listener."""
    return (await open_channel("127.0.0.1", port, IDLE_TIMEOUT_MS)).unwrap()


async def is_greeted(channel: Channel) -> bool:
    """Return whether a `Hello` is answered."""
    await channel.send(HELLO)
    received = await channel.receive()
    return received.map(lambda pair: pair[1] == Ack(7)).value_or(False)


class ChannelLimitsTest(unittest.IsolatedAsyncioTestCase):
    """A listener with as many connections as it serves."""

    def setUp(self):
        self.metrics = Metrics("keeper")

    async def test_silent_connections_are_replaced(self):
        """Guards against silent connections that keep processes out."""
        async with serve(self.metrics) as port:
            silent = [await connect(port) for _ in range(MAX_CONNECTIONS)]
            await anyio.sleep(1.5)
            channel = await connect(port)
            self.assertTrue(await is_greeted(channel))
            for one in (*silent, channel):
                await one.close(failure(Code.PEER_GONE))
        counted = self.metrics.value("connections_closed_total", reason="descriptors")
        self.assertEqual(counted, 1)

    async def test_greeted_connections_stay(self):
        """Guards against closing the connections of the system's processes."""
        async with serve(self.metrics) as port:
            greeted = [await connect(port) for _ in range(MAX_CONNECTIONS)]
            for channel in greeted:
                self.assertTrue(await is_greeted(channel))
            await anyio.sleep(1.5)
            further = await connect(port)
            self.assertFalse(await is_greeted(further))
            counted = self.metrics.value(
                "connections_closed_total", reason="descriptors"
            )
            self.assertEqual(counted, 0)
            for channel in (*greeted, further):
                await channel.close(failure(Code.PEER_GONE))

    async def test_first_message_too_large(self):
        """Guards against holding a large message of a sender without a token."""
        async with serve(self.metrics) as port:
            channel = await connect(port)
            large = HELLO._replace(zone="z" * MAX_FIRST_FRAME_BYTES)
            await channel.send(large)
            received = await channel.receive()
            self.assertIsNone(received.value_or(None))
            await channel.close(failure(Code.PEER_GONE))
