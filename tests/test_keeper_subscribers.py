"""What entries are told of backend servers."""

import unittest

import anyio

from cowslipwood.entry.choosing._view import View
from cowslipwood.entry.direct._servers import KnownServers
from cowslipwood.keeper._subscribers import LOAD_INTERVAL_MS, Subscriber
from cowslipwood.kernel.messages import FleetLoad, RoutingUpdate

from .direct_builders import listed
from .entry_builders import engine_view


class _Channel:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    async def send(self, value):
        self.sent.append(value)


class TestRouting(unittest.TestCase):
    """News is sent at once, load now and then."""

    def _told(self, *steps) -> list[list[str]]:
        """Return which servers each step tells; steps are views and a time."""
        channel = _Channel()
        subscriber = Subscriber(channel, "entry", "e1")

        async def run():
            told = []
            for views, now_ms in steps:
                channel.sent.clear()
                by_id = {view.server_id: view for view in views}
                await subscriber.tell_routing(by_id, ["e1"], now_ms)
                told.append([v.server_id for u in channel.sent for v in u.servers])
            return told

        return anyio.run(run)

    def test_load_waits_and_readiness_does_not(self):
        """A change of load waits for its interval; another change does not."""
        idle = [engine_view("s1", "m1"), engine_view("s2", "m1")]
        busy = [view._replace(n_in_flight=9) for view in idle]
        left = [busy[0]._replace(leaving=True), busy[1]]
        told = self._told(
            (idle, 0.0),
            (busy, 50.0),
            (left, 100.0),
            (left, LOAD_INTERVAL_MS - 1.0),
            (left, float(LOAD_INTERVAL_MS)),
            (left, LOAD_INTERVAL_MS + 50.0),
        )
        self.assertEqual(told, [["s1", "s2"], [], ["s1"], [], ["s2"], []])

    def test_removed_server_is_told_again(self):
        """A server that left the list and comes back is told anew."""
        view = engine_view("s1", "m1")
        told = self._told(([view], 0.0), ([], 50.0), ([view], 100.0))
        self.assertEqual(told, [["s1"], [], ["s1"]])

    def test_servers_before_their_load(self):
        """A new leader that reads its list late never tells of no servers."""
        channel = _Channel()
        subscriber = Subscriber(channel, "entry", "e1")
        known = KnownServers(View())
        view = engine_view("s1", "m1")
        known.take_list([listed("s1", "127.0.0.1:1")], 0.0)
        seen = []

        async def run():
            await subscriber.tell_servers({}, None, ["e1"], 10.0)
            load = FleetLoad(5.0, ("s1",), (0,), (0,))
            await subscriber.tell_servers({"s1": view}, load, ["e1"], 60.0)

        anyio.run(run)
        for number, message in enumerate(channel.sent):
            now_ms = 20.0 + number
            if isinstance(message, RoutingUpdate):
                known.take_update(message, now_ms)
            else:
                known.take_load(message, now_ms)
            seen.append(set(known._view.backends))
        self.assertEqual(seen, [{"s1"}] * len(channel.sent))
